#include <spdlog/spdlog.h>

#include <utility>

#include "consensus/node_impl.h"

/// Election timer, campaigns, votes and role changes.
namespace mangoplank::consensus {

namespace {

// A voter refuses votes for a whole election timeout after a message from a
// leader, so the first candidate waits slightly longer than that.
constexpr double kMinElectionWaitFactor = 1.05;
constexpr double kMaxElectionWaitFactor = 1.5;
// A refused candidate retries soon: most refusals are due to another candidate,
// or to a voter that received its last message from the leader slightly later.
constexpr double kMinRetryFactor = 0.1;
constexpr double kMaxRetryFactor = 0.4;

}  // namespace

core::duration node::impl::RandomTimeout(double min_factor, double max_factor) {
  std::uniform_real_distribution<double> factor(min_factor, max_factor);
  const auto base =
      std::chrono::duration_cast<core::duration>(settings.election_timeout);
  return core::duration(static_cast<std::int64_t>(
      static_cast<double>(base.count()) * factor(random)));
}

core::awaitable<void> node::impl::ElectionTask() {
  core::duration wait =
      RandomTimeout(kMinElectionWaitFactor, kMaxElectionWaitFactor);
  core::time_point since = last_leader_contact;
  while (!ended) {
    if (std::exchange(transfer_term, std::nullopt) == hard_state.term) {
      co_await RunElection(true);
      continue;
    }
    const bool can_campaign = CanCampaign() && !IsLeader();
    // With a single voter, no other member can hold a lease.
    const bool is_only_voter =
        can_campaign && QuorumValue([&](const member& m) {
                          return m.id == settings.self ? 1 : 0;
                        }) == 1;
    const core::time_point last_contact =
        std::max(last_leader_contact, last_vote_time);
    if (last_contact > since) {
      since = last_contact;
      wait = RandomTimeout(kMinElectionWaitFactor, kMaxElectionWaitFactor);
    }
    if (!can_campaign) {
      co_await election_changed.Wait();
    } else if (!is_only_voter && clock.Now() < since + wait) {
      co_await election_changed.WaitUntil(since + wait);
    } else {
      const core::time_point contact_before = last_leader_contact;
      co_await RunElection(false);
      // A leader that was heard of meanwhile gets the full wait.
      if (last_leader_contact != contact_before) continue;
      since = clock.Now();
      wait = RandomTimeout(kMinRetryFactor, kMaxRetryFactor);
    }
  }
}

core::awaitable<void> node::impl::RunElection(bool transfer) {
  const core::time_point contact_before = last_leader_contact;
  if (!transfer) {
    const bool pre_vote_won = co_await Campaign(true, false);
    if (!pre_vote_won) co_return;
  }
  if (ended || IsLeader() || !CanCampaign()) co_return;
  // The own vote backs the lease of a leader as the votes of others do.
  const bool backs_lease =
      !transfer && last_leader_contact != contact_before &&
      clock.Now() < last_leader_contact + settings.election_timeout;
  if (backs_lease) co_return;
  BecomeFollower(hard_state.term + 1, std::nullopt);
  SetTermAndVote(hard_state.term, settings.self);
  const core::term term = hard_state.term;
  const bool saved = co_await WaitUntilHardStateDurable();
  if (!saved || hard_state.term != term || Leader()) co_return;
  const bool won = co_await Campaign(false, transfer);
  if (won) BecomeLeader();
}

/// @return whether a majority granted its vote before the role or term changed.
core::awaitable<bool> node::impl::Campaign(bool pre_vote, bool transfer) {
  const core::time_point deadline = clock.Now() + RandomTimeout(0.5, 1.0);
  const std::uint64_t campaign_id = ++last_campaign_id;
  const core::term term = hard_state.term;
  current_role = candidate{campaign_id, pre_vote, transfer, {settings.self}};
  WakePeers();
  while (!ended) {
    const auto* c = std::get_if<candidate>(&current_role);
    const bool current = c != nullptr && c->campaign_id == campaign_id &&
                         hard_state.term == term;
    if (!current) co_return false;
    const std::uint64_t majority = QuorumValue([&](const member& m) {
      return c->votes_granted.contains(m.id) ? 1 : 0;
    });
    if (majority == 1) co_return true;
    const bool notified = co_await election_changed.WaitUntil(deadline);
    if (!notified) break;
  }
  const auto* c = std::get_if<candidate>(&current_role);
  if (c != nullptr && c->campaign_id == campaign_id) {
    BecomeFollower(hard_state.term, std::nullopt);
  }
  co_return false;
}

void node::impl::SetTermAndVote(core::term term, core::member_id vote) {
  hard_state = {term, std::move(vote)};
  ++hard_state_version;
  writer_wake.NotifyAll();
}

void node::impl::BecomeFollower(core::term term,
                                std::optional<core::member_id> leader) {
  const auto* l = std::get_if<leader_role>(&current_role);
  const bool was_leader = l != nullptr;
  const bool first_entry_committed = was_leader && l->first_entry_committed;
  const core::term old_term = hard_state.term;
  if (term > hard_state.term) SetTermAndVote(term, {});
  current_role = follower{std::move(leader)};
  if (was_leader) {
    spdlog::info("{}: no longer leads term {}", settings.self.v, old_term);
    // Restarts the election timer.
    last_leader_contact = clock.Now();
    for (const auto& [revision, p] : std::exchange(proposals, {})) {
      p->result = core::failure(core::commit_unknown{});
      p->done.NotifyAll();
    }
    if (first_entry_committed) machine.OnLeadershipChange(false, old_term);
  }
  WakePeers();
  election_changed.NotifyAll();
  progress_changed.NotifyAll();
}

void node::impl::BecomeLeader() {
  spdlog::info("{}: leads term {}", settings.self.v, hard_state.term);
  leader_role l;
  l.first_revision = log.LastRevision() + 1;
  l.quorum_round_start = clock.Now();
  for (const auto& [id, p] : peers) {
    ResetProgress(*p);
    // Replies are expected only from this time on.
    p->last_contact = clock.Now();
  }
  current_role = std::move(l);
  AppendEntry(std::make_shared<const log_entry>(log_entry{
      log.LastRevision() + 1, hard_state.term, entry_kind::kLeaderStart, {}}));
  Spawn(HeartbeatTask(hard_state.term));
}

bool node::impl::IsLogUpToDate(const vote_request& request) const {
  return std::pair(request.last_term, request.last_revision) >=
         std::pair(log.LastTerm(), log.LastRevision());
}

core::awaitable<vote_reply> node::impl::OnVoteRequest(vote_request request) {
  vote_reply reply{hard_state.term, false, request.pre_vote, own_disk_id};
  // A member that follows a live leader neither votes nor moves to a new term:
  // the leader's lease relies on it.
  const bool may_back_lease =
      IsLeader() ||
      clock.Now() < last_leader_contact + settings.election_timeout;
  if (may_back_lease && !request.transfer) co_return reply;
  if (request.term < hard_state.term || !KnowsMembers() ||
      HasOtherDiskId(request.candidate, request.disk_id)) {
    co_return reply;
  }
  if (request.pre_vote) {
    reply.granted = request.term > hard_state.term && IsLogUpToDate(request);
    if (reply.granted) reply.term = request.term;
    co_return reply;
  }
  if (request.term > hard_state.term) {
    BecomeFollower(request.term, std::nullopt);
  }
  const bool can_vote =
      hard_state.vote.v.empty() || hard_state.vote == request.candidate;
  const bool granted = can_vote && !Leader() && IsLogUpToDate(request);
  if (granted) last_vote_time = clock.Now();
  if (granted && hard_state.vote.v.empty()) {
    SetTermAndVote(hard_state.term, request.candidate);
  }
  reply.term = request.term;
  const bool saved = co_await WaitUntilHardStateDurable();
  reply.granted = granted && saved;
  co_return reply;
}

void node::impl::OnVoteReply(peer& peer, const vote_reply& reply) {
  UpdateDiskId(peer, reply.disk_id);
  if (!reply.granted && reply.term > hard_state.term) {
    BecomeFollower(reply.term, std::nullopt);
  }
  auto* c = std::get_if<candidate>(&current_role);
  if (c == nullptr || !reply.granted || c->pre_vote != reply.pre_vote) return;
  const core::term requested_term =
      c->pre_vote ? hard_state.term + 1 : hard_state.term;
  if (reply.term != requested_term ||
      !CountsTowardQuorum(peer.info.id, reply.disk_id)) {
    return;
  }
  c->votes_granted.insert(peer.info.id);
  election_changed.NotifyAll();
}

}  // namespace mangoplank::consensus
