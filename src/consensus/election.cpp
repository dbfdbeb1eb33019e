#include <spdlog/spdlog.h>

#include <utility>

#include "consensus/node_impl.h"

/// The election timer, campaigns, votes and changes of role.
namespace mangoplank::consensus {

namespace {

// A voter refuses votes for one whole election timeout after it heard a leader,
// so the first candidate waits a little longer than that.
constexpr double kShortestWait = 1.05;
constexpr double kLongestWait = 1.5;
// A refused candidate tries again soon: the refusal is mostly due to another
// candidate or to a voter that heard the leader a little later.
constexpr double kShortestRetry = 0.1;
constexpr double kLongestRetry = 0.4;

}  // namespace

core::duration node::impl::RandomTimeout(double from, double to) {
  std::uniform_real_distribution<double> factor(from, to);
  const auto base =
      std::chrono::duration_cast<core::duration>(settings.election_timeout);
  return core::duration(static_cast<std::int64_t>(
      static_cast<double>(base.count()) * factor(random)));
}

core::awaitable<void> node::impl::ElectionTask() {
  core::duration wait = RandomTimeout(kShortestWait, kLongestWait);
  core::time_point since = leader_heard;
  while (!ended) {
    if (std::exchange(take_over_asked, false)) {
      co_await RunElection(true);
      continue;
    }
    const bool able = MayCampaign() && !Leads();
    // Nobody else can hold a lease in a cell of one voter.
    const bool alone = able && MajorityOf([&](const member& m) {
                                 return m.id == settings.self ? 1 : 0;
                               }) == 1;
    const core::time_point heard = std::max(leader_heard, voted_at);
    if (heard > since) {
      since = heard;
      wait = RandomTimeout(kShortestWait, kLongestWait);
    }
    if (!able) {
      co_await election_moved.Wait();
    } else if (!alone && clock.Now() < since + wait) {
      co_await election_moved.WaitUntil(since + wait);
    } else {
      co_await RunElection(false);
      since = clock.Now();
      wait = RandomTimeout(kShortestRetry, kLongestRetry);
    }
  }
}

core::awaitable<void> node::impl::RunElection(bool transfer) {
  if (!transfer) {
    const bool welcome = co_await Campaign(true, false);
    if (!welcome) co_return;
  }
  if (ended || Leads() || !MayCampaign()) co_return;
  Follow(hard.t + 1, std::nullopt);
  SetTerm(hard.t, settings.self);
  const core::term t = hard.t;
  const bool saved = co_await WaitHardState();
  if (!saved || hard.t != t || Leader()) co_return;
  const bool won = co_await Campaign(false, transfer);
  if (won) Lead();
}

/// @return whether a majority granted its vote while nothing else happened.
core::awaitable<bool> node::impl::Campaign(bool pre, bool transfer) {
  const core::time_point deadline = clock.Now() + RandomTimeout(0.5, 1.0);
  const std::uint64_t number = ++last_campaign;
  const core::term t = hard.t;
  current_role = campaigning{number, pre, transfer, {settings.self}};
  WakePeers();
  while (!ended) {
    const auto* c = std::get_if<campaigning>(&current_role);
    const bool current = c != nullptr && c->number == number && hard.t == t;
    if (!current) co_return false;
    const std::uint64_t majority = MajorityOf(
        [&](const member& m) { return c->granted.contains(m.id) ? 1 : 0; });
    if (majority == 1) co_return true;
    const bool moved = co_await election_moved.WaitUntil(deadline);
    if (!moved) break;
  }
  const auto* c = std::get_if<campaigning>(&current_role);
  if (c != nullptr && c->number == number) Follow(hard.t, std::nullopt);
  co_return false;
}

void node::impl::SetTerm(core::term t, core::member_id vote) {
  hard = {t, std::move(vote)};
  ++hard_version;
  writer_wake.NotifyAll();
}

void node::impl::Follow(core::term t, std::optional<core::member_id> leader) {
  const auto* l = std::get_if<leading>(&current_role);
  const bool led = l != nullptr;
  const bool announced = led && l->announced;
  const core::term old = hard.t;
  if (t > hard.t) SetTerm(t, {});
  current_role = following{std::move(leader)};
  if (led) {
    spdlog::info("{}: no longer leads term {}", settings.self.v, old);
    // The election timer begins anew.
    leader_heard = clock.Now();
    for (const auto& [at, p] : std::exchange(proposals, {})) {
      p->result = core::failure(core::commit_unknown{});
      p->done.NotifyAll();
    }
    if (announced) machine.OnLeadership(false, old);
  }
  WakePeers();
  election_moved.NotifyAll();
  progress_moved.NotifyAll();
}

void node::impl::Lead() {
  spdlog::info("{}: leads term {}", settings.self.v, hard.t);
  leading l;
  l.start_at = log.LastAt() + 1;
  l.answered_from = clock.Now();
  for (const auto& [id, p] : peers) {
    ResetProgress(*p);
    // Silence counts from the time that this member began to ask.
    p->heard = clock.Now();
  }
  current_role = std::move(l);
  AppendEntry(std::make_shared<const log_entry>(
      log_entry{log.LastAt() + 1, hard.t, entry_kind::kLeaderStart, {}}));
  Spawn(HeartbeatTask(hard.t));
}

bool node::impl::IsLogCurrent(const vote_request& m) const {
  return std::pair(m.last_term, m.last_at) >=
         std::pair(log.LastTerm(), log.LastAt());
}

core::awaitable<vote_reply> node::impl::OnVoteRequest(vote_request m) {
  vote_reply reply{hard.t, false, m.pre, own_disk};
  // Whoever follows a live leader neither votes nor moves to a new term: the
  // leader's lease relies on it.
  const bool lease_promised =
      Leads() || clock.Now() < leader_heard + settings.election_timeout;
  if (lease_promised && !m.transfer) co_return reply;
  if (m.t < hard.t || HasOtherDisk(m.candidate, m.disk)) co_return reply;
  if (m.pre) {
    reply.granted = m.t > hard.t && IsLogCurrent(m);
    if (reply.granted) reply.t = m.t;
    co_return reply;
  }
  if (m.t > hard.t) Follow(m.t, std::nullopt);
  const bool free = hard.vote.v.empty() || hard.vote == m.candidate;
  const bool granted = free && !Leader() && IsLogCurrent(m);
  if (granted) voted_at = clock.Now();
  if (granted && hard.vote.v.empty()) SetTerm(hard.t, m.candidate);
  reply.t = m.t;
  const bool saved = co_await WaitHardState();
  reply.granted = granted && saved;
  co_return reply;
}

void node::impl::OnVoteReply(peer& p, const vote_reply& m) {
  NoteDisk(p, m.disk);
  if (!m.granted && m.t > hard.t) Follow(m.t, std::nullopt);
  auto* c = std::get_if<campaigning>(&current_role);
  if (c == nullptr || !m.granted || c->pre != m.pre) return;
  const core::term asked = c->pre ? hard.t + 1 : hard.t;
  if (m.t != asked || !Counts(p.who.id, m.disk)) return;
  c->granted.insert(p.who.id);
  election_moved.NotifyAll();
}

}  // namespace mangoplank::consensus
