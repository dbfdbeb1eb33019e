#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <string>
#include <utility>

#include "consensus/node_impl.h"

/// Heartbeat rounds, leader lease and commit rule.
namespace mangoplank::consensus {

namespace {

// Fraction of the election timeout for which a lease is valid. The rest covers
// a difference of 5% between the rates of two clocks.
constexpr double kLeaseFactor = 0.9;
// A member that answers and lacks entries takes some of them within a round
// trip and a sync. Elections and slow syncs take less than two timeouts.
constexpr int kStallTimeouts = 2;

std::string DescribeProgress(const peer& peer) {
  const std::string snapshot =
      peer.sending_snapshot
          ? fmt::format("snapshot {} offset {} chunk in flight {}",
                        peer.sending_snapshot->revision, peer.next_chunk_offset,
                        peer.chunk_in_flight)
          : "no snapshot";
  const std::string probe =
      peer.probe_revision ? std::to_string(*peer.probe_revision) : "none";
  return fmt::format(
      "match {} next {} probing {} probe {} batches in flight {}, {}",
      peer.match_revision, peer.next_revision, peer.probing, probe,
      peer.in_flight.size(), snapshot);
}

}  // namespace

core::awaitable<void> node::impl::HeartbeatTask(core::term term) {
  while (!ended && IsLeader() && hard_state.term == term) {
    auto& l = std::get<leader_role>(current_role);
    if (clock.Now() - l.quorum_round_start > settings.election_timeout) {
      // Others may have elected a leader; pending proposals must not wait.
      BecomeFollower(hard_state.term, std::nullopt);
      co_return;
    }
    BeginHeartbeatRound(l);
    ReportStalledPeers();
    const auto next = clock.Now() + settings.heartbeat_interval;
    while (!ended && IsLeader() && hard_state.term == term &&
           clock.Now() < next) {
      co_await election_changed.WaitUntil(next);
    }
  }
}

void node::impl::ReportStalledPeers() {
  const core::time_point now = clock.Now();
  const core::duration limit = kStallTimeouts * settings.election_timeout;
  for (const auto& [id, p] : peers) {
    const bool answers = now < p->last_contact + settings.election_timeout;
    if (!answers || p->match_revision >= committed) p->last_progress = now;
    const core::time_point since =
        std::max(p->last_progress, p->last_stall_report);
    if (now < since + limit) continue;
    p->last_stall_report = now;
    const auto stalled_ms =
        std::chrono::duration_cast<core::milliseconds>(now - p->last_progress);
    spdlog::warn("{}: member {} answers and takes no entries for {} ms: {}",
                 settings.self.v, id.v, stalled_ms.count(),
                 DescribeProgress(*p));
  }
}

void node::impl::BeginHeartbeatRound(leader_role& leader) {
  ++leader.round;
  leader.round_starts.emplace_back(leader.round, clock.Now());
  AdvanceQuorumRound();
  WakePeers();
}

void node::impl::AdvanceQuorumRound() {
  auto* l = std::get_if<leader_role>(&current_role);
  if (l == nullptr) return;
  const std::uint64_t majority =
      QuorumValue([&](const member& m) -> std::uint64_t {
        if (m.id == settings.self) return l->round;
        const auto it = peers.find(m.id);
        return it == peers.end() ? 0 : it->second->acknowledged_round;
      });
  if (majority <= l->quorum_round) return;
  l->quorum_round = majority;
  while (l->round_starts.front().first < majority) l->round_starts.pop_front();
  l->quorum_round_start = l->round_starts.front().second;
  progress_changed.NotifyAll();
}

bool node::impl::HoldsLease() const {
  const auto* l = std::get_if<leader_role>(&current_role);
  if (l == nullptr || ended || !l->first_entry_committed || l->lease_released) {
    return false;
  }
  const auto lease_duration = std::chrono::duration_cast<core::duration>(
      settings.election_timeout * kLeaseFactor);
  return l->quorum_round > 0 &&
         clock.Now() < l->quorum_round_start + lease_duration;
}

core::time_point node::impl::LeadershipConfirmedAt() const {
  const auto* l = std::get_if<leader_role>(&current_role);
  const bool is_known = l != nullptr && l->quorum_round > 0;
  return is_known ? l->quorum_round_start : core::time_point();
}

void node::impl::AdvanceCommit() {
  if (!IsLeader()) return;
  const core::revision majority =
      QuorumValue([&](const member& m) -> std::uint64_t {
        if (m.id == settings.self) return durable_revision;
        const auto it = peers.find(m.id);
        return it == peers.end() ? 0 : it->second->match_revision;
      });
  // Entries of earlier terms are committed only with an entry of this term.
  if (majority <= committed || log.TermAt(majority) != hard_state.term) return;
  CommitUpTo(majority);
  WakePeers();
}

void node::impl::CommitUpTo(core::revision revision) {
  committed = revision;
  ApplyCommitted();
  progress_changed.NotifyAll();
  const bool removed = CurrentMembership().revision <= committed && !IsVoter();
  if (IsLeader() && removed) BecomeFollower(hard_state.term, std::nullopt);
  RecordDiskIds();
}

}  // namespace mangoplank::consensus
