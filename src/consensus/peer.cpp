#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "consensus/node_impl.h"

/// The task of each other member: opens a link while this process is leader or
/// candidate, and sends the member what it lacks.
namespace mangoplank::consensus {

namespace {

// Avoids a tight loop of attempts to a member that refuses connections.
constexpr core::milliseconds kReconnectDelay{50};

}  // namespace

receive_watchdog::receive_watchdog(core::clock& clock,
                                   std::shared_ptr<peer_link> link,
                                   core::duration timeout)
    : clock_(clock),
      link_(std::move(link)),
      timeout_(timeout),
      last_received_(clock.Now()) {
  Arm();
}

receive_watchdog::~receive_watchdog() { clock_.Cancel(timer_); }

void receive_watchdog::Arm() {
  timer_ = clock_.CallAt(last_received_ + timeout_, [this] {
    if (clock_.Now() >= last_received_ + timeout_) {
      link_->Close();
    } else {
      Arm();
    }
  });
}

bool node::impl::NeedsLink(const peer& peer) const {
  if (ended || peer.removed) return false;
  return std::visit(
      core::overloaded{[](const follower&) { return false; },
                       [&](const candidate&) { return peer.info.voter; },
                       [](const leader_role&) { return true; }},
      current_role);
}

core::awaitable<void> node::impl::PeerTask(std::shared_ptr<peer> peer) {
  while (!ended && !peer->removed) {
    if (!NeedsLink(*peer)) {
      co_await peer->wake.Wait();
      continue;
    }
    const member to = peer->info;
    const auto link = co_await peer_transport.Connect(to);
    if (link && NeedsLink(*peer)) {
      peer->link = *link;
      BeginSession(*peer);
      Spawn(ReplyLoop(peer, *link));
      co_await SendLoop(peer, *link);
    }
    if (link) (*link)->Close();
    peer->link.reset();
    if (NeedsLink(*peer)) co_await core::SleepFor(clock, kReconnectDelay);
  }
}

core::awaitable<void> node::impl::SendLoop(std::shared_ptr<peer> peer,
                                           std::shared_ptr<peer_link> link) {
  while (peer->link == link && NeedsLink(*peer)) {
    if (NeedsSnapshot(*peer) && !peer->sending_snapshot) {
      co_await LoadSnapshot(*peer);
    }
    auto m = NextMessage(*peer);
    if (!m) {
      co_await peer->wake.Wait();
      continue;
    }
    const auto sent = co_await link->Send(std::move(*m));
    if (!sent) co_return;
    if (settings.send_interval > core::milliseconds(0)) {
      co_await core::SleepFor(clock, settings.send_interval);
    }
  }
}

core::awaitable<void> node::impl::ReplyLoop(std::shared_ptr<peer> peer,
                                            std::shared_ptr<peer_link> link) {
  receive_watchdog watchdog(clock, link, ReceiveTimeout(settings));
  while (peer->link == link && !ended) {
    const auto m = co_await link->Receive();
    if (!m || peer->link != link || ended) break;
    watchdog.OnReceived();
    OnReply(*peer, *m);
  }
  if (peer->link == link) peer->link.reset();
  link->Close();
  peer->wake.NotifyAll();
}

void node::impl::WakePeers() {
  for (const auto& [id, p] : peers) p->wake.NotifyAll();
}

void node::impl::ResetProgress(peer& peer) {
  // The member may have had other disks since this process last led or
  // campaigned. An id from that time would demote a sound voter.
  peer.disk_id = 0;
  peer.last_progress = peer.last_stall_report = clock.Now();
  peer.match_revision = 0;
  peer.acknowledged_round = 0;
  peer.transfer_pending = false;
  peer.next_revision = log.LastRevision() + 1;
  BeginSession(peer);
}

/// Resets in-flight state; the member may not have received it.
void node::impl::BeginSession(peer& peer) {
  peer.sent_campaign_id = 0;
  peer.probing = true;
  peer.probe_revision.reset();
  peer.in_flight.clear();
  if (peer.match_revision > 0) peer.next_revision = peer.match_revision + 1;
  peer.sent_round = 0;
  peer.sent_commit = 0;
  peer.sending_snapshot.reset();
  peer.chunk_in_flight = false;
  peer.next_chunk_offset = 0;
}

bool node::impl::NeedsSnapshot(const peer& peer) const {
  return IsLeader() && peer.next_revision <= log.BaseRevision();
}

core::awaitable<void> node::impl::LoadSnapshot(peer& peer) {
  snapshot wanted = last_snapshot;
  const auto data = std::make_shared<std::string>();
  const auto self = shared_from_this();
  std::function<core::result<void>()> work = [self, revision = wanted.revision,
                                              data]() -> core::result<void> {
    BOOST_LEAF_ASSIGN(*data, self->storage.ReadSnapshot(revision));
    return {};
  };
  const auto read = co_await runner.Run(std::move(work));
  if (read) {
    wanted.data = data;
    peer.sending_snapshot = std::move(wanted);
    peer.next_chunk_offset = 0;
    peer.chunk_in_flight = false;
  } else if (last_snapshot.revision == wanted.revision) {
    End(read.error());
  }
}

std::optional<message> node::impl::NextMessage(peer& peer) {
  using maybe = std::optional<message>;
  return std::visit(core::overloaded{[](const follower&) { return maybe(); },
                                     [&](const candidate& candidate) {
                                       return NextVoteRequest(peer, candidate);
                                     },
                                     [&](const leader_role& leader) {
                                       return NextLeaderMessage(peer, leader);
                                     }},
                    current_role);
}

std::optional<message> node::impl::NextVoteRequest(peer& peer,
                                                   const candidate& candidate) {
  if (peer.sent_campaign_id == candidate.campaign_id) return std::nullopt;
  peer.sent_campaign_id = candidate.campaign_id;
  const core::term term =
      candidate.pre_vote ? hard_state.term + 1 : hard_state.term;
  return vote_request{
      term,           settings.self,      own_disk_id,       log.LastRevision(),
      log.LastTerm(), candidate.pre_vote, candidate.transfer};
}

std::optional<message> node::impl::NextLeaderMessage(
    peer& peer, const leader_role& leader) {
  const bool round_due = peer.sent_round < leader.round;
  if (NeedsSnapshot(peer) || peer.probing) {
    const bool needs_snapshot = NeedsSnapshot(peer);
    if (needs_snapshot && peer.sending_snapshot && !peer.chunk_in_flight) {
      return NextChunk(peer);
    }
    if (!needs_snapshot && !peer.probe_revision) {
      return NextAppend(peer, leader);
    }
    if (round_due) return NextHeartbeat(peer, leader);
    return std::nullopt;
  }
  if (peer.transfer_pending && peer.match_revision == log.LastRevision()) {
    peer.transfer_pending = false;
    return leadership_transfer{hard_state.term, settings.self};
  }
  const bool can_send_batch =
      peer.in_flight.size() < settings.max_inflight_batches;
  const bool entries_due =
      peer.next_revision <= log.LastRevision() && can_send_batch;
  const bool commit_due =
      peer.sent_commit < committed && peer.in_flight.empty();
  if (!entries_due && !round_due && !commit_due) return std::nullopt;
  return NextAppend(peer, leader);
}

message node::impl::NextAppend(peer& peer, const leader_role& leader) {
  append_request request;
  request.term = hard_state.term;
  request.leader = settings.self;
  request.previous_revision = peer.next_revision - 1;
  request.previous_term = log.TermAt(request.previous_revision);
  request.committed = committed;
  request.round = leader.round;
  const bool can_send_batch =
      peer.in_flight.size() < settings.max_inflight_batches;
  std::uint64_t bytes = 0;
  while (can_send_batch && peer.next_revision <= log.LastRevision() &&
         bytes < settings.max_batch_bytes) {
    const log_entry& entry = *log.At(peer.next_revision);
    bytes += entry_log::Size(entry);
    request.entries.push_back(entry);
    ++peer.next_revision;
  }
  if (!request.entries.empty()) {
    peer.in_flight.push_back(peer.next_revision - 1);
  }
  if (peer.probing) peer.probe_revision = request.previous_revision;
  peer.sent_round = leader.round;
  peer.sent_commit = committed;
  return request;
}

/// @return a heartbeat that matches any log; used while the log is unknown.
message node::impl::NextHeartbeat(peer& peer, const leader_role& leader) {
  append_request request;
  request.term = hard_state.term;
  request.leader = settings.self;
  request.round = leader.round;
  peer.sent_round = leader.round;
  return request;
}

std::optional<message> node::impl::NextChunk(peer& peer) {
  const snapshot& sent = *peer.sending_snapshot;
  snapshot_chunk chunk;
  chunk.term = hard_state.term;
  chunk.leader = settings.self;
  chunk.snapshot_revision = sent.revision;
  chunk.snapshot_term = sent.term;
  chunk.members = sent.members;
  chunk.offset =
      std::min<std::uint64_t>(peer.next_chunk_offset, sent.data->size());
  chunk.total = sent.data->size();
  chunk.data = sent.data->substr(chunk.offset, settings.snapshot_chunk_bytes);
  peer.chunk_in_flight = true;
  return chunk;
}

void node::impl::OnReply(peer& peer, const message& reply) {
  peer.last_contact = clock.Now();
  std::visit(core::overloaded{
                 [&](const vote_reply& r) { OnVoteReply(peer, r); },
                 [&](const append_reply& r) { OnAppendReply(peer, r); },
                 [&](const snapshot_reply& r) { OnSnapshotReply(peer, r); },
                 [&](const auto&) {
                   spdlog::warn(
                       "{}: received a request on the outbound link to {}",
                       settings.self.v, peer.info.id.v);
                   peer.link->Close();
                 }},
             reply);
}

void node::impl::UpdateDiskId(peer& peer, std::uint64_t disk_id) {
  if (peer.disk_id == disk_id) return;
  // Acknowledgements of another disk say nothing about this one.
  peer.disk_id = disk_id;
  peer.match_revision = 0;
  peer.acknowledged_round = 0;
}

void node::impl::OnAppendReply(peer& peer, const append_reply& reply) {
  if (reply.term > hard_state.term) {
    return BecomeFollower(reply.term, std::nullopt);
  }
  if (!IsLeader() || reply.term < hard_state.term) return;
  UpdateDiskId(peer, reply.disk_id);
  RecordDiskIds();
  if (reply.round > peer.acknowledged_round) {
    peer.acknowledged_round = reply.round;
    AdvanceQuorumRound();
  }
  if (!reply.matched) {
    peer.probing = true;
    peer.probe_revision.reset();
    peer.in_flight.clear();
    peer.next_revision =
        std::clamp(reply.matched_revision + 1, peer.match_revision + 1,
                   log.LastRevision() + 1);
    peer.wake.NotifyAll();
    return;
  }
  const bool probe_matched =
      peer.probe_revision && reply.matched_revision >= *peer.probe_revision;
  if (peer.probing && probe_matched) peer.probing = false;
  if (reply.matched_revision > peer.match_revision) {
    peer.match_revision = reply.matched_revision;
    peer.last_progress = clock.Now();
    peer.next_revision = std::max(peer.next_revision, peer.match_revision + 1);
    while (!peer.in_flight.empty() &&
           peer.in_flight.front() <= peer.match_revision) {
      peer.in_flight.pop_front();
    }
    progress_changed.NotifyAll();
    AdvanceCommit();
  }
  peer.wake.NotifyAll();
}

void node::impl::OnSnapshotReply(peer& peer, const snapshot_reply& reply) {
  if (reply.term > hard_state.term) {
    return BecomeFollower(reply.term, std::nullopt);
  }
  if (!IsLeader() || reply.term < hard_state.term) return;
  UpdateDiskId(peer, reply.disk_id);
  if (!peer.sending_snapshot ||
      peer.sending_snapshot->revision != reply.snapshot_revision) {
    return;
  }
  peer.chunk_in_flight = false;
  if (reply.next_offset > peer.next_chunk_offset) {
    peer.last_progress = clock.Now();
  }
  peer.next_chunk_offset = reply.next_offset;
  if (reply.next_offset >= peer.sending_snapshot->data->size()) {
    peer.match_revision =
        std::max(peer.match_revision, reply.snapshot_revision);
    peer.next_revision = peer.match_revision + 1;
    // The snapshot replaced the batches in flight: none is acknowledged.
    peer.in_flight.clear();
    peer.sending_snapshot.reset();
    peer.probing = true;
    peer.probe_revision.reset();
    AdvanceCommit();
  }
  peer.wake.NotifyAll();
}

}  // namespace mangoplank::consensus
