#include "mangoplank/control/leader.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "leader_impl.h"

namespace mangoplank::control {

namespace asio = boost::asio;
using core::awaitable;
using core::outcome;

namespace {

constexpr core::milliseconds kPromotionInterval{1'000};
constexpr core::milliseconds kCompactionInterval{30'000};

}  // namespace

void leader::impl::Rebuild() {
  const core::time_point now = clock.Now();
  const cell::state& state = state_machine.State();
  leases.Reset(state, now);
  slots.Reset(term, now);
  scheduler.emplace(settings.policy, settings.seed);
  for (const auto& [key, object] : state.Objects()) {
    scheduler->Observe(cell::object_changed{object}, now);
  }
  for (const auto& [id, worker] : state.Workers()) {
    scheduler->Observe(cell::worker_changed{worker}, now);
  }
  for (const auto& [id, task] : state.Tasks()) {
    scheduler->Observe(cell::task_changed{task}, now);
  }
}

void leader::OnLeadershipChange(bool leads, core::term t) {
  impl& i = *impl_;
  i.is_leader = leads;
  i.term = t;
  ++i.epoch;
  i.deferred_replies.clear();
  i.reply_deadlines.clear();
  i.changed_workers.clear();
  i.scheduler.reset();
  if (leads) i.Rebuild();
  spdlog::info("{} in term {}", leads ? "leads" : "does not lead", t);
  i.work_available.NotifyAll();
  i.replies_available.NotifyAll();
}

void leader::OnRestored() {
  if (impl_->is_leader) impl_->Rebuild();
}

void leader::OnChanges(const std::vector<cell::change>& changes) {
  impl& i = *impl_;
  if (!i.is_leader) return;
  const core::time_point now = i.clock.Now();
  for (const cell::change& change : changes) {
    i.scheduler->Observe(change, now);
    const auto* const task = std::get_if<cell::task_changed>(&change);
    if (task && cell::HoldsResources(task->record.phase)) {
      i.changed_workers.insert(task->record.worker);
    }
  }
  i.has_new_changes = true;
  i.work_available.NotifyAll();
  if (!i.changed_workers.empty()) i.replies_available.NotifyAll();
}

awaitable<void> leader::impl::PlacementLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    const core::time_point now = clock.Now();
    placement::round round;
    if (IsLeaderWithLease()) {
      has_new_changes = false;
      round = scheduler->Decide(now);
      placement_round_time.Add(
          std::chrono::duration<double>(clock.Now() - now).count());
    }
    if (!round.decisions.empty()) co_await ProposeRound(round);
    if (round.decisions.empty() && !has_new_changes) {
      co_await work_available.WaitUntil(now + kLeaderTick);
    }
    co_await core::SleepUntil(clock, now + settings.round_interval);
  }
}

awaitable<void> leader::impl::ProposeRound(const placement::round& round) {
  co_await ProposeEvictions(round);
  co_await ProposePlacements(round);
}

awaitable<void> leader::impl::ProposePlacements(const placement::round& round) {
  std::vector<placement::decision> proposed;
  cell::place_tasks command;
  for (const placement::decision& decision : round.decisions) {
    const auto* const place = std::get_if<placement::place>(&decision);
    if (!place) continue;
    proposed.push_back(decision);
    command.groups.push_back(place->group);
  }
  if (command.groups.empty()) co_return;
  const std::uint64_t started_epoch = epoch;
  cell::command c;
  c.body = command;
  const auto answer = co_await state_machine.Propose(node, std::move(c));
  if (epoch != started_epoch) co_return;
  const core::time_point now = clock.Now();
  if (!answer) {
    spdlog::warn("placement of {} groups: {}", proposed.size(),
                 core::Describe(answer.error()));
    for (const placement::decision& decision : proposed) {
      scheduler->Forget(decision, now);
    }
    co_return;
  }
  for (const auto& group : command.groups) tasks_placed.Add(group.size());
  for (const std::uint32_t i : answer->refused_groups) {
    groups_refused.Add();
    scheduler->Forget(proposed[i], now);
  }
}

awaitable<void> leader::impl::ProposeEvictions(const placement::round& round) {
  cell::evict_tasks command;
  for (const placement::decision& decision : round.decisions) {
    const auto* const evict = std::get_if<placement::evict>(&decision);
    if (!evict) continue;
    command.tasks.insert(command.tasks.end(), evict->tasks.begin(),
                         evict->tasks.end());
  }
  if (command.tasks.empty()) co_return;
  tasks_evicted.Add(command.tasks.size());
  const std::uint64_t started_epoch = epoch;
  cell::command c;
  c.body = std::move(command);
  const auto answer = co_await state_machine.Propose(node, std::move(c));
  if (answer || epoch != started_epoch) co_return;
  spdlog::warn("eviction: {}", core::Describe(answer.error()));
  for (const placement::decision& decision : round.decisions) {
    if (std::holds_alternative<placement::evict>(decision)) {
      scheduler->Forget(decision, clock.Now());
    }
  }
}

cell::compact_records leader::impl::MakeCompaction() const {
  std::vector<core::wall_time_ms> end_times;
  for (const auto& [id, task] : state_machine.State().Tasks()) {
    if (cell::IsFinal(task.phase)) end_times.push_back(task.since);
  }
  const core::wall_time_ms before =
      clock.WallNow() - settings.retention.count();
  cell::compact_records command{.before = before, .jobs_before = before};
  if (end_times.size() <= settings.max_ended_tasks) return command;
  const auto first_kept =
      end_times.end() - static_cast<std::ptrdiff_t>(settings.max_ended_tasks);
  std::nth_element(end_times.begin(), first_kept, end_times.end());
  command.jobs_before = std::max(before, *first_kept);
  return command;
}

/// A member that restarts with another disk id is a learner. It becomes a voter
/// once it has caught up, so that the loss of a second VM leaves a majority.
awaitable<void> leader::impl::PromotionLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kPromotionInterval);
    if (stopped || !IsLeaderWithLease()) continue;
    const consensus::membership known = node.Status().members;
    for (consensus::member member : known.members) {
      if (member.voter) continue;
      member.voter = true;
      const auto changed = co_await node.ChangeMember(member, false);
      spdlog::info("member {}: {}", member.id.v,
                   changed ? "votes" : core::Describe(changed.error()));
    }
  }
}

awaitable<void> leader::impl::CompactionLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kCompactionInterval);
    if (stopped || !IsLeaderWithLease()) continue;
    cell::command c;
    c.body = MakeCompaction();
    co_await state_machine.Propose(node, std::move(c));
  }
}

leader::leader(leader_settings settings, asio::any_io_executor executor,
               core::clock& clock, machine& machine, consensus::node& node,
               metrics::registry& metrics)
    : impl_(std::make_shared<impl>(std::move(settings), std::move(executor),
                                   clock, machine, node, metrics)) {}

leader::~leader() { Stop(); }

void leader::Start() {
  const auto spawn = [&](awaitable<void> task) {
    asio::co_spawn(impl_->executor, std::move(task), asio::detached);
  };
  spawn(impl_->PlacementLoop());
  spawn(impl_->LeaseLoop());
  spawn(impl_->CompactionLoop());
  spawn(impl_->PromotionLoop());
  spawn(impl_->ReplyLoop());
}

void leader::Stop() {
  impl_->stopped = true;
  impl_->work_available.NotifyAll();
  impl_->replies_available.NotifyAll();
}

outcome<slot_grants> leader::OnSlotReport(const hello& entry,
                                          const slot_report& report) {
  impl& i = *impl_;
  if (!i.IsLeaderWithLease())
    return core::failure(core::not_leader{i.node.Status().leader});
  return i.slots.OnReport(entry.entry, entry.region, report,
                          i.state_machine.State(), i.clock.Now());
}

void leader::OnEntryHeartbeat(const hello& entry, core::revision in_force) {
  impl_->entries[entry.entry] = {entry, in_force, impl_->clock.Now()};
}

}  // namespace mangoplank::control
