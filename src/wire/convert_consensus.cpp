#include "wire/convert.h"

namespace mangoplank::wire {

using core::overloaded;

void Write(const consensus::member& value, schema::Member::Builder builder) {
  builder.setId(Text(value.id.v));
  Write(value.address, builder.initAddress());
  builder.setVoter(value.voter);
  builder.setDisk(value.disk_id);
}

void Read(schema::Member::Reader reader, consensus::member& value,
          memory_budget& budget) {
  value.id.v = String(reader.getId());
  Read(reader.getAddress(), value.address, budget);
  value.voter = reader.getVoter();
  value.disk_id = reader.getDisk();
}

void Write(const consensus::membership& value,
           schema::Membership::Builder builder) {
  builder.setAt(value.revision);
  WriteList(value.members, builder.initMembers(value.members.size()));
}

void Read(schema::Membership::Reader reader, consensus::membership& value,
          memory_budget& budget) {
  value.revision = reader.getAt();
  ReadList(reader.getMembers(), value.members, budget);
}

void Write(const consensus::log_entry& value,
           schema::LogEntry::Builder builder) {
  builder.setAt(value.revision);
  builder.setTerm(value.term);
  builder.setKind(Number(value.kind));
  builder.setData(Data(value.data));
}

void Read(schema::LogEntry::Reader reader, consensus::log_entry& value,
          memory_budget&) {
  value.revision = reader.getAt();
  value.term = reader.getTerm();
  value.kind =
      Enumerator(reader.getKind(), consensus::entry_kind::kLeaderStart);
  value.data = String(reader.getData());
}

namespace {

void WriteAlternative(const consensus::vote_request& value,
                      schema::ConsensusMessage::Builder message) {
  auto builder = message.initVoteRequest();
  builder.setTerm(value.term);
  builder.setCandidate(Text(value.candidate.v));
  builder.setDisk(value.disk_id);
  builder.setLastAt(value.last_revision);
  builder.setLastTerm(value.last_term);
  builder.setPre(value.pre_vote);
  builder.setTransfer(value.transfer);
}

consensus::vote_request ReadAlternative(schema::VoteRequest::Reader reader,
                                        memory_budget&) {
  return {reader.getTerm(),     {String(reader.getCandidate())},
          reader.getDisk(),     reader.getLastAt(),
          reader.getLastTerm(), reader.getPre(),
          reader.getTransfer()};
}

void WriteAlternative(const consensus::vote_reply& value,
                      schema::ConsensusMessage::Builder message) {
  auto builder = message.initVoteReply();
  builder.setTerm(value.term);
  builder.setGranted(value.granted);
  builder.setPre(value.pre_vote);
  builder.setDisk(value.disk_id);
}

consensus::vote_reply ReadAlternative(schema::VoteReply::Reader reader,
                                      memory_budget&) {
  return {reader.getTerm(), reader.getGranted(), reader.getPre(),
          reader.getDisk()};
}

void WriteAlternative(const consensus::append_request& value,
                      schema::ConsensusMessage::Builder message) {
  auto builder = message.initAppendRequest();
  builder.setTerm(value.term);
  builder.setLeader(Text(value.leader.v));
  builder.setPreviousAt(value.previous_revision);
  builder.setPreviousTerm(value.previous_term);
  builder.setCommitted(value.committed);
  builder.setRound(value.round);
  WriteList(value.entries, builder.initEntries(value.entries.size()));
}

consensus::append_request ReadAlternative(schema::AppendRequest::Reader reader,
                                          memory_budget& budget) {
  consensus::append_request value;
  value.term = reader.getTerm();
  value.leader.v = String(reader.getLeader());
  value.previous_revision = reader.getPreviousAt();
  value.previous_term = reader.getPreviousTerm();
  value.committed = reader.getCommitted();
  value.round = reader.getRound();
  ReadList(reader.getEntries(), value.entries, budget);
  return value;
}

void WriteAlternative(const consensus::append_reply& value,
                      schema::ConsensusMessage::Builder message) {
  auto builder = message.initAppendReply();
  builder.setTerm(value.term);
  builder.setMatched(value.matched);
  builder.setMatchedAt(value.matched_revision);
  builder.setRound(value.round);
  builder.setDisk(value.disk_id);
}

consensus::append_reply ReadAlternative(schema::AppendReply::Reader reader,
                                        memory_budget&) {
  return {reader.getTerm(), reader.getMatched(), reader.getMatchedAt(),
          reader.getRound(), reader.getDisk()};
}

void WriteAlternative(const consensus::snapshot_chunk& value,
                      schema::ConsensusMessage::Builder message) {
  auto builder = message.initSnapshotChunk();
  builder.setTerm(value.term);
  builder.setLeader(Text(value.leader.v));
  builder.setAt(value.snapshot_revision);
  builder.setAtTerm(value.snapshot_term);
  Write(value.members, builder.initMembers());
  builder.setOffset(value.offset);
  builder.setTotal(value.total);
  builder.setData(Data(value.data));
}

consensus::snapshot_chunk ReadAlternative(schema::SnapshotChunk::Reader reader,
                                          memory_budget& budget) {
  consensus::snapshot_chunk value;
  value.term = reader.getTerm();
  value.leader.v = String(reader.getLeader());
  value.snapshot_revision = reader.getAt();
  value.snapshot_term = reader.getAtTerm();
  Read(reader.getMembers(), value.members, budget);
  value.offset = reader.getOffset();
  value.total = reader.getTotal();
  value.data = String(reader.getData());
  return value;
}

void WriteAlternative(const consensus::snapshot_reply& value,
                      schema::ConsensusMessage::Builder message) {
  auto builder = message.initSnapshotReply();
  builder.setTerm(value.term);
  builder.setAt(value.snapshot_revision);
  builder.setNextOffset(value.next_offset);
  builder.setDisk(value.disk_id);
}

consensus::snapshot_reply ReadAlternative(schema::SnapshotReply::Reader reader,
                                          memory_budget&) {
  return {reader.getTerm(), reader.getAt(), reader.getNextOffset(),
          reader.getDisk()};
}

void WriteAlternative(const consensus::leadership_transfer& value,
                      schema::ConsensusMessage::Builder message) {
  auto builder = message.initTakeOver();
  builder.setTerm(value.term);
  builder.setLeader(Text(value.leader.v));
}

consensus::leadership_transfer ReadAlternative(schema::TakeOver::Reader reader,
                                               memory_budget&) {
  return {reader.getTerm(), {String(reader.getLeader())}};
}

}  // namespace

void Write(const consensus::message& value,
           schema::ConsensusMessage::Builder builder) {
  std::visit([&](const auto& m) { WriteAlternative(m, builder); }, value);
}

void Read(schema::ConsensusMessage::Reader reader, consensus::message& value,
          memory_budget& budget) {
  using schema::ConsensusMessage;
  switch (reader.which()) {
    case ConsensusMessage::VOTE_REQUEST:
      value = ReadAlternative(reader.getVoteRequest(), budget);
      return;
    case ConsensusMessage::VOTE_REPLY:
      value = ReadAlternative(reader.getVoteReply(), budget);
      return;
    case ConsensusMessage::APPEND_REQUEST:
      value = ReadAlternative(reader.getAppendRequest(), budget);
      return;
    case ConsensusMessage::APPEND_REPLY:
      value = ReadAlternative(reader.getAppendReply(), budget);
      return;
    case ConsensusMessage::SNAPSHOT_CHUNK:
      value = ReadAlternative(reader.getSnapshotChunk(), budget);
      return;
    case ConsensusMessage::SNAPSHOT_REPLY:
      value = ReadAlternative(reader.getSnapshotReply(), budget);
      return;
    case ConsensusMessage::TAKE_OVER:
      value = ReadAlternative(reader.getTakeOver(), budget);
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of consensus message");
}

void Write(const peer_hello& value, schema::PeerHello::Builder builder) {
  builder.setCell(Text(value.cell.v));
  builder.setMember(Text(value.member.v));
  builder.setDisk(value.disk_id);
  builder.setVersion(value.version);
}

void Read(schema::PeerHello::Reader reader, peer_hello& value, memory_budget&) {
  value.cell.v = String(reader.getCell());
  value.member.v = String(reader.getMember());
  value.disk_id = reader.getDisk();
  value.version = reader.getVersion();
}

}  // namespace mangoplank::wire
