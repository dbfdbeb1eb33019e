#include <utility>

#include "consensus/node_impl.h"

/// Heartbeat rounds, the leader's lease and the commit rule.
namespace mangoplank::consensus {

namespace {

// Part of the election timeout for which a lease holds. The rest covers a
// difference of 5% between the rates of two clocks.
constexpr double kLeaseFactor = 0.9;

}  // namespace

core::awaitable<void> node::impl::HeartbeatTask(core::term t) {
  while (!ended && Leads() && hard.t == t) {
    auto& l = std::get<leading>(current_role);
    if (clock.Now() - l.answered_from > settings.election_timeout) {
      // Others may have elected a leader; open proposals must not wait.
      Follow(hard.t, std::nullopt);
      co_return;
    }
    BeginRound(l);
    const auto next = clock.Now() + settings.heartbeat_interval;
    while (!ended && Leads() && hard.t == t && clock.Now() < next) {
      co_await election_moved.WaitUntil(next);
    }
  }
}

void node::impl::BeginRound(leading& l) {
  ++l.round;
  l.round_starts.emplace_back(l.round, clock.Now());
  OnRoundAnswered();
  WakePeers();
}

void node::impl::OnRoundAnswered() {
  auto* l = std::get_if<leading>(&current_role);
  if (l == nullptr) return;
  const std::uint64_t majority =
      MajorityOf([&](const member& m) -> std::uint64_t {
        if (m.id == settings.self) return l->round;
        const auto it = peers.find(m.id);
        return it == peers.end() ? 0 : it->second->answered_round;
      });
  if (majority <= l->answered_round) return;
  l->answered_round = majority;
  while (l->round_starts.front().first < majority) l->round_starts.pop_front();
  l->answered_from = l->round_starts.front().second;
  progress_moved.NotifyAll();
}

bool node::impl::HoldsLease() const {
  const auto* l = std::get_if<leading>(&current_role);
  if (l == nullptr || ended || !l->announced || l->lease_given_up) return false;
  const auto length = std::chrono::duration_cast<core::duration>(
      settings.election_timeout * kLeaseFactor);
  return l->answered_round > 0 && clock.Now() < l->answered_from + length;
}

core::time_point node::impl::LeadConfirmedAt() const {
  const auto* l = std::get_if<leading>(&current_role);
  const bool is_known = l != nullptr && l->answered_round > 0;
  return is_known ? l->answered_from : core::time_point();
}

void node::impl::AdvanceCommit() {
  if (!Leads()) return;
  const core::revision majority =
      MajorityOf([&](const member& m) -> std::uint64_t {
        if (m.id == settings.self) return durable_at;
        const auto it = peers.find(m.id);
        return it == peers.end() ? 0 : it->second->match;
      });
  // An entry of an earlier term counts only together with one of this term.
  if (majority <= committed || log.TermAt(majority) != hard.t) return;
  Commit(majority);
  WakePeers();
}

void node::impl::Commit(core::revision at) {
  committed = at;
  ApplyCommitted();
  progress_moved.NotifyAll();
  const bool removed = Members().at <= committed && !IsVoter();
  if (Leads() && removed) Follow(hard.t, std::nullopt);
  MaintainDisks();
}

}  // namespace mangoplank::consensus
