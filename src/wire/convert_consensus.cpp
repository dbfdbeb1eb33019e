#include "wire/convert.h"

namespace mangoplank::wire {

using core::overloaded;

void Write(const consensus::member& v, schema::Member::Builder b) {
  b.setId(Text(v.id.v));
  Write(v.address, b.initAddress());
  b.setVoter(v.voter);
  b.setDisk(v.disk_id);
}

void Read(schema::Member::Reader r, consensus::member& v, budget& left) {
  v.id.v = String(r.getId());
  Read(r.getAddress(), v.address, left);
  v.voter = r.getVoter();
  v.disk_id = r.getDisk();
}

void Write(const consensus::membership& v, schema::Membership::Builder b) {
  b.setAt(v.revision);
  WriteList(v.members, b.initMembers(v.members.size()));
}

void Read(schema::Membership::Reader r, consensus::membership& v,
          budget& left) {
  v.revision = r.getAt();
  ReadList(r.getMembers(), v.members, left);
}

void Write(const consensus::log_entry& v, schema::LogEntry::Builder b) {
  b.setAt(v.revision);
  b.setTerm(v.term);
  b.setKind(Number(v.kind));
  b.setData(Data(v.data));
}

void Read(schema::LogEntry::Reader r, consensus::log_entry& v, budget&) {
  v.revision = r.getAt();
  v.term = r.getTerm();
  v.kind = Enumerator(r.getKind(), consensus::entry_kind::kLeaderStart);
  v.data = String(r.getData());
}

namespace {

void WriteAlternative(const consensus::vote_request& v,
                      schema::ConsensusMessage::Builder m) {
  auto b = m.initVoteRequest();
  b.setTerm(v.term);
  b.setCandidate(Text(v.candidate.v));
  b.setDisk(v.disk_id);
  b.setLastAt(v.last_revision);
  b.setLastTerm(v.last_term);
  b.setPre(v.pre_vote);
  b.setTransfer(v.transfer);
}

consensus::vote_request ReadAlternative(schema::VoteRequest::Reader r,
                                        budget&) {
  return {r.getTerm(),     {String(r.getCandidate())},
          r.getDisk(),     r.getLastAt(),
          r.getLastTerm(), r.getPre(),
          r.getTransfer()};
}

void WriteAlternative(const consensus::vote_reply& v,
                      schema::ConsensusMessage::Builder m) {
  auto b = m.initVoteReply();
  b.setTerm(v.term);
  b.setGranted(v.granted);
  b.setPre(v.pre_vote);
  b.setDisk(v.disk_id);
}

consensus::vote_reply ReadAlternative(schema::VoteReply::Reader r, budget&) {
  return {r.getTerm(), r.getGranted(), r.getPre(), r.getDisk()};
}

void WriteAlternative(const consensus::append_request& v,
                      schema::ConsensusMessage::Builder m) {
  auto b = m.initAppendRequest();
  b.setTerm(v.term);
  b.setLeader(Text(v.leader.v));
  b.setPreviousAt(v.previous_revision);
  b.setPreviousTerm(v.previous_term);
  b.setCommitted(v.committed);
  b.setRound(v.round);
  WriteList(v.entries, b.initEntries(v.entries.size()));
}

consensus::append_request ReadAlternative(schema::AppendRequest::Reader r,
                                          budget& left) {
  consensus::append_request v;
  v.term = r.getTerm();
  v.leader.v = String(r.getLeader());
  v.previous_revision = r.getPreviousAt();
  v.previous_term = r.getPreviousTerm();
  v.committed = r.getCommitted();
  v.round = r.getRound();
  ReadList(r.getEntries(), v.entries, left);
  return v;
}

void WriteAlternative(const consensus::append_reply& v,
                      schema::ConsensusMessage::Builder m) {
  auto b = m.initAppendReply();
  b.setTerm(v.term);
  b.setMatched(v.matched);
  b.setMatchedAt(v.matched_revision);
  b.setRound(v.round);
  b.setDisk(v.disk_id);
}

consensus::append_reply ReadAlternative(schema::AppendReply::Reader r,
                                        budget&) {
  return {r.getTerm(), r.getMatched(), r.getMatchedAt(), r.getRound(),
          r.getDisk()};
}

void WriteAlternative(const consensus::snapshot_chunk& v,
                      schema::ConsensusMessage::Builder m) {
  auto b = m.initSnapshotChunk();
  b.setTerm(v.term);
  b.setLeader(Text(v.leader.v));
  b.setAt(v.snapshot_revision);
  b.setAtTerm(v.snapshot_term);
  Write(v.members, b.initMembers());
  b.setOffset(v.offset);
  b.setTotal(v.total);
  b.setData(Data(v.data));
}

consensus::snapshot_chunk ReadAlternative(schema::SnapshotChunk::Reader r,
                                          budget& left) {
  consensus::snapshot_chunk v;
  v.term = r.getTerm();
  v.leader.v = String(r.getLeader());
  v.snapshot_revision = r.getAt();
  v.snapshot_term = r.getAtTerm();
  Read(r.getMembers(), v.members, left);
  v.offset = r.getOffset();
  v.total = r.getTotal();
  v.data = String(r.getData());
  return v;
}

void WriteAlternative(const consensus::snapshot_reply& v,
                      schema::ConsensusMessage::Builder m) {
  auto b = m.initSnapshotReply();
  b.setTerm(v.term);
  b.setAt(v.snapshot_revision);
  b.setNextOffset(v.next_offset);
  b.setDisk(v.disk_id);
}

consensus::snapshot_reply ReadAlternative(schema::SnapshotReply::Reader r,
                                          budget&) {
  return {r.getTerm(), r.getAt(), r.getNextOffset(), r.getDisk()};
}

void WriteAlternative(const consensus::leadership_transfer& v,
                      schema::ConsensusMessage::Builder m) {
  auto b = m.initTakeOver();
  b.setTerm(v.term);
  b.setLeader(Text(v.leader.v));
}

consensus::leadership_transfer ReadAlternative(schema::TakeOver::Reader r,
                                               budget&) {
  return {r.getTerm(), {String(r.getLeader())}};
}

}  // namespace

void Write(const consensus::message& v, schema::ConsensusMessage::Builder b) {
  std::visit([&](const auto& m) { WriteAlternative(m, b); }, v);
}

void Read(schema::ConsensusMessage::Reader r, consensus::message& v,
          budget& left) {
  using schema::ConsensusMessage;
  switch (r.which()) {
    case ConsensusMessage::VOTE_REQUEST:
      v = ReadAlternative(r.getVoteRequest(), left);
      return;
    case ConsensusMessage::VOTE_REPLY:
      v = ReadAlternative(r.getVoteReply(), left);
      return;
    case ConsensusMessage::APPEND_REQUEST:
      v = ReadAlternative(r.getAppendRequest(), left);
      return;
    case ConsensusMessage::APPEND_REPLY:
      v = ReadAlternative(r.getAppendReply(), left);
      return;
    case ConsensusMessage::SNAPSHOT_CHUNK:
      v = ReadAlternative(r.getSnapshotChunk(), left);
      return;
    case ConsensusMessage::SNAPSHOT_REPLY:
      v = ReadAlternative(r.getSnapshotReply(), left);
      return;
    case ConsensusMessage::TAKE_OVER:
      v = ReadAlternative(r.getTakeOver(), left);
      return;
  }
  KJ_FAIL_REQUIRE("unknown alternative of consensus message");
}

void Write(const peer_hello& v, schema::PeerHello::Builder b) {
  b.setCell(Text(v.cell.v));
  b.setMember(Text(v.member.v));
  b.setDisk(v.disk_id);
  b.setVersion(v.version);
}

void Read(schema::PeerHello::Reader r, peer_hello& v, budget&) {
  v.cell.v = String(r.getCell());
  v.member.v = String(r.getMember());
  v.disk_id = r.getDisk();
  v.version = r.getVersion();
}

}  // namespace mangoplank::wire
