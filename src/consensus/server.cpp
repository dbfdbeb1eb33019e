#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "consensus/node_impl.h"

/// Links opened by other members: handles votes, appends and snapshots.
namespace mangoplank::consensus {

core::awaitable<void> node::impl::Serve(std::shared_ptr<peer_link> link) {
  if (!started || ended) {
    link->Close();
    co_return;
  }
  const auto inbound = std::make_shared<inbound_link>(link, executor, clock);
  inbound_links.insert(inbound);
  Spawn(AckLoop(inbound));
  receive_watchdog watchdog(clock, link, ReceiveTimeout(settings));
  while (!ended) {
    auto received = co_await link->Receive();
    if (!received || ended) break;
    watchdog.OnReceived();
    co_await OnRequest(inbound, std::move(*received));
  }
  inbound->closed = true;
  inbound->wake.NotifyAll();
  inbound_links.erase(inbound);
  link->Close();
}

core::awaitable<void> node::impl::OnRequest(
    std::shared_ptr<inbound_link> inbound, message request) {
  if (auto* append = std::get_if<append_request>(&request)) {
    OnAppend(*inbound, *append);
  } else if (auto* chunk = std::get_if<snapshot_chunk>(&request)) {
    OnChunk(*inbound, std::move(*chunk));
  } else if (auto* vote = std::get_if<vote_request>(&request)) {
    message reply = co_await OnVoteRequest(std::move(*vote));
    co_await inbound->link->Send(std::move(reply));
  } else if (const auto* transfer =
                 std::get_if<leadership_transfer>(&request)) {
    OnLeadershipTransfer(*transfer);
  } else {
    spdlog::warn("{}: received a reply on an inbound link", settings.self.v);
    inbound->link->Close();
  }
}

void node::impl::OnLeadershipTransfer(const leadership_transfer& request) {
  if (request.term != hard_state.term || Leader() != request.leader ||
      !IsVoter()) {
    return;
  }
  transfer_term = request.term;
  election_changed.NotifyAll();
}

/// @return whether the sender is leader of the current term.
bool node::impl::AcceptLeader(inbound_link& inbound, core::term term,
                              const core::member_id& from) {
  inbound.has_stale_term = term < hard_state.term;
  if (inbound.has_stale_term) return false;
  if (term > hard_state.term || Leader() != from) BecomeFollower(term, from);
  last_leader_contact = clock.Now();
  if (inbound.term != term) {
    inbound.term = term;
    inbound.match_revision = 0;
    inbound.round = 0;
    inbound.mismatch_hint.reset();
    inbound.replied_revision = 0;
    inbound.replied_round = 0;
  }
  return true;
}

/// @return a hint where the leader should continue, if the logs differ at the
/// previous entry.
std::optional<core::revision> node::impl::FindMismatch(
    const append_request& request) const {
  // Every leader has all committed entries.
  if (request.previous_revision <= committed) return std::nullopt;
  if (request.previous_revision > log.LastRevision()) return log.LastRevision();
  const core::term own_term = log.TermAt(request.previous_revision);
  if (own_term == request.previous_term) return std::nullopt;
  core::revision revision = request.previous_revision;
  while (revision > committed && log.TermAt(revision) == own_term) --revision;
  return revision;
}

void node::impl::OnAppend(inbound_link& inbound, append_request& request) {
  if (AcceptLeader(inbound, request.term, request.leader)) {
    inbound.round = std::max(inbound.round, request.round);
    const auto mismatch_hint = FindMismatch(request);
    // Kept until a reply reports it, also if a heartbeat arrives before that.
    if (mismatch_hint) inbound.mismatch_hint = mismatch_hint;
    if (!mismatch_hint) {
      for (log_entry& entry : request.entries) {
        const bool known = entry.revision <= log.LastRevision();
        if (entry.revision <= committed ||
            (known && log.TermAt(entry.revision) == entry.term)) {
          continue;
        }
        if (known) TruncateLog(entry.revision - 1);
        AppendEntry(std::make_shared<const log_entry>(std::move(entry)));
      }
      const core::revision end =
          request.previous_revision + request.entries.size();
      inbound.match_revision = std::max(inbound.match_revision, end);
      const core::revision commit = std::min(request.committed, end);
      if (commit > committed) CommitUpTo(commit);
    }
  }
  inbound.wake.NotifyAll();
}

/// The reply to the last chunk waits for the disk in the task that sends
/// replies, so that the heartbeats behind the chunk are read and answered.
void node::impl::OnChunk(inbound_link& inbound, snapshot_chunk chunk) {
  inbound.wake.NotifyAll();
  if (!AcceptLeader(inbound, chunk.term, chunk.leader)) return;
  snapshot_reply reply{chunk.term, chunk.snapshot_revision, chunk.total,
                       own_disk_id};
  const bool log_contains_snapshot =
      chunk.snapshot_revision > committed &&
      chunk.snapshot_revision <= log.LastRevision() &&
      chunk.snapshot_revision >= log.BaseRevision() &&
      log.TermAt(chunk.snapshot_revision) == chunk.snapshot_term;
  if (log_contains_snapshot) CommitUpTo(chunk.snapshot_revision);
  if (chunk.snapshot_revision > committed) {
    if (inbound.snapshot_revision != chunk.snapshot_revision) {
      inbound.snapshot_data.clear();
    }
    inbound.snapshot_revision = chunk.snapshot_revision;
    if (chunk.offset == inbound.snapshot_data.size()) {
      inbound.snapshot_data += chunk.data;
    }
    reply.next_offset = inbound.snapshot_data.size();
  }
  const bool is_complete = reply.next_offset == chunk.total;
  if (chunk.snapshot_revision > committed && is_complete) {
    const auto data =
        std::make_shared<const std::string>(std::move(inbound.snapshot_data));
    inbound.snapshot_data.clear();
    inbound.snapshot_revision = 0;
    snapshot complete{chunk.snapshot_revision, chunk.snapshot_term,
                      chunk.members, data};
    if (!InstallSnapshot(std::move(complete))) return;
  }
  inbound.chunk_reply = reply;
  inbound.chunk_durable_at = is_complete ? chunk.snapshot_revision : 0;
}

bool node::impl::InstallSnapshot(snapshot received) {
  const auto restored = core::Capture(
      [&] { return machine.Restore(*received.data, received.revision); });
  if (!restored) {
    End(restored.error());
    return false;
  }
  spdlog::info("{}: installed the snapshot at revision {}", settings.self.v,
               received.revision);
  log.Reset(received.revision, received.term);
  committed = applied = received.revision;
  bytes_since_snapshot = 0;
  memberships = {received.members};
  UpdatePeers();
  durable_revision = std::min(durable_revision, received.revision - 1);
  truncated_while_writing = std::min(
      truncated_while_writing.value_or(received.revision), received.revision);
  first_unsaved = received.revision + 1;
  last_snapshot = received;
  last_snapshot.data.reset();
  unsaved_snapshot = std::move(received);
  unsaved_discard_log = true;
  writer_wake.NotifyAll();
  progress_changed.NotifyAll();
  return true;
}

bool node::impl::NeedsReply(const inbound_link& inbound) const {
  if (inbound.has_stale_term || inbound.mismatch_hint) return true;
  if (inbound.round > inbound.replied_round) return true;
  return std::min(durable_revision, inbound.match_revision) >
         inbound.replied_revision;
}

bool node::impl::IsChunkReplyDue(const inbound_link& inbound) const {
  return inbound.chunk_reply && durable_revision >= inbound.chunk_durable_at;
}

message node::impl::NextOutgoing(inbound_link& inbound) {
  if (!IsChunkReplyDue(inbound)) return NextReply(inbound);
  return *std::exchange(inbound.chunk_reply, std::nullopt);
}

append_reply node::impl::NextReply(inbound_link& inbound) {
  append_reply reply;
  reply.term = hard_state.term;
  reply.disk_id = own_disk_id;
  const bool current =
      inbound.term == hard_state.term && !inbound.has_stale_term;
  inbound.has_stale_term = false;
  reply.matched = current && !inbound.mismatch_hint;
  reply.matched_revision = std::min(durable_revision, inbound.match_revision);
  if (inbound.mismatch_hint) reply.matched_revision = *inbound.mismatch_hint;
  inbound.mismatch_hint.reset();
  if (current) reply.round = inbound.round;
  inbound.replied_round = inbound.round;
  inbound.replied_revision =
      std::max(inbound.replied_revision,
               std::min(durable_revision, inbound.match_revision));
  return reply;
}

/// Sends one reply for everything received or synced since the last reply.
core::awaitable<void> node::impl::AckLoop(
    std::shared_ptr<inbound_link> inbound) {
  while (!inbound->closed && !ended) {
    if (!NeedsReply(*inbound) && !IsChunkReplyDue(*inbound)) {
      co_await inbound->wake.Wait();
      continue;
    }
    const bool saved = co_await WaitUntilHardStateDurable();
    if (!saved || inbound->closed) co_return;
    message reply = NextOutgoing(*inbound);
    const auto sent = co_await inbound->link->Send(std::move(reply));
    if (!sent) co_return;
  }
}

}  // namespace mangoplank::consensus
