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
  const cell::state& s = replicated.State();
  leases.Reset(s, now);
  slots.Reset(term, now);
  scheduler.emplace(settings.policy, settings.seed);
  for (const auto& [key, o] : s.Objects()) {
    scheduler->Observe(cell::object_changed{o}, now);
  }
  for (const auto& [id, w] : s.Workers()) {
    scheduler->Observe(cell::worker_changed{w}, now);
  }
  for (const auto& [id, t] : s.Tasks()) {
    scheduler->Observe(cell::task_changed{t}, now);
  }
}

void leader::OnLeadership(bool leads, core::term t) {
  impl& i = *impl_;
  i.leads = leads;
  i.term = t;
  ++i.epoch;
  i.held.clear();
  i.due.clear();
  i.touched.clear();
  i.scheduler.reset();
  if (leads) i.Rebuild();
  spdlog::info("{} in term {}", leads ? "leads" : "does not lead", t);
  i.work.NotifyAll();
  i.replies.NotifyAll();
}

void leader::OnRestored() {
  if (impl_->leads) impl_->Rebuild();
}

void leader::OnChanges(const std::vector<cell::change>& changes) {
  impl& i = *impl_;
  if (!i.leads) return;
  const core::time_point now = i.clock.Now();
  for (const cell::change& c : changes) {
    i.scheduler->Observe(c, now);
    const auto* const t = std::get_if<cell::task_changed>(&c);
    if (t && cell::HoldsResources(t->record.phase)) {
      i.touched.insert(t->record.worker);
    }
  }
  i.work_waits = true;
  i.work.NotifyAll();
  if (!i.touched.empty()) i.replies.NotifyAll();
}

awaitable<void> leader::impl::PlacementLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    const core::time_point now = clock.Now();
    placement::round round;
    if (Leads()) {
      work_waits = false;
      round = scheduler->Decide(now);
      decide_time.Add(std::chrono::duration<double>(clock.Now() - now).count());
    }
    if (!round.decisions.empty()) co_await Commit(round);
    if (round.decisions.empty() && !work_waits) {
      co_await work.WaitUntil(now + kLeaderTick);
    }
    co_await core::SleepUntil(clock, now + settings.round_interval);
  }
}

awaitable<void> leader::impl::Commit(const placement::round& round) {
  co_await Evict(round);
  co_await Assign(round);
}

awaitable<void> leader::impl::Assign(const placement::round& round) {
  std::vector<placement::decision> proposed;
  cell::place_tasks command;
  for (const placement::decision& d : round.decisions) {
    const auto* const p = std::get_if<placement::place>(&d);
    if (!p) continue;
    proposed.push_back(d);
    command.groups.push_back(p->group);
  }
  if (command.groups.empty()) co_return;
  const std::uint64_t started = epoch;
  cell::command c;
  c.body = command;
  const auto answer = co_await replicated.Propose(node, std::move(c));
  if (epoch != started) co_return;
  const core::time_point now = clock.Now();
  if (!answer) {
    spdlog::warn("placement of {} groups: {}", proposed.size(),
                 core::Describe(answer.error()));
    for (const placement::decision& d : proposed) scheduler->Forget(d, now);
    co_return;
  }
  for (const auto& group : command.groups) placed.Add(group.size());
  for (const std::uint32_t i : answer->refused) {
    refused.Add();
    scheduler->Forget(proposed[i], now);
  }
}

awaitable<void> leader::impl::Evict(const placement::round& round) {
  cell::evict_tasks command;
  for (const placement::decision& d : round.decisions) {
    const auto* const e = std::get_if<placement::evict>(&d);
    if (!e) continue;
    command.tasks.insert(command.tasks.end(), e->tasks.begin(), e->tasks.end());
  }
  if (command.tasks.empty()) co_return;
  evicted.Add(command.tasks.size());
  const std::uint64_t started = epoch;
  cell::command c;
  c.body = std::move(command);
  const auto answer = co_await replicated.Propose(node, std::move(c));
  if (answer || epoch != started) co_return;
  spdlog::warn("eviction: {}", core::Describe(answer.error()));
  for (const placement::decision& d : round.decisions) {
    if (std::holds_alternative<placement::evict>(d)) {
      scheduler->Forget(d, clock.Now());
    }
  }
}

cell::compact_records leader::impl::Compaction() const {
  std::vector<core::wall_time_ms> ended;
  for (const auto& [id, t] : replicated.State().Tasks()) {
    if (cell::IsFinal(t.phase)) ended.push_back(t.since);
  }
  const core::wall_time_ms before =
      clock.WallNow() - settings.retention.count();
  cell::compact_records c{.before = before, .jobs_before = before};
  if (ended.size() <= settings.max_ended_tasks) return c;
  const auto first_kept =
      ended.end() - static_cast<std::ptrdiff_t>(settings.max_ended_tasks);
  std::nth_element(ended.begin(), first_kept, ended.end());
  c.jobs_before = std::max(before, *first_kept);
  return c;
}

/// A member that came back with another disk is a learner. It votes again once
/// it has caught up, so that the loss of a second VM leaves a majority.
awaitable<void> leader::impl::PromotionLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kPromotionInterval);
    if (stopped || !Leads()) continue;
    const consensus::membership known = node.Status().members;
    for (consensus::member m : known.members) {
      if (m.voter) continue;
      m.voter = true;
      const auto changed = co_await node.ChangeMember(m, false);
      spdlog::info("member {}: {}", m.id.v,
                   changed ? "votes" : core::Describe(changed.error()));
    }
  }
}

awaitable<void> leader::impl::CompactionLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kCompactionInterval);
    if (stopped || !Leads()) continue;
    cell::command c;
    c.body = Compaction();
    co_await replicated.Propose(node, std::move(c));
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
  impl_->work.NotifyAll();
  impl_->replies.NotifyAll();
}

outcome<slot_grants> leader::OnSlotReport(const hello& entry,
                                          const slot_report& r) {
  impl& i = *impl_;
  if (!i.Leads())
    return core::failure(core::not_leader{i.node.Status().leader});
  return i.slots.Report(entry.entry, entry.region, r, i.replicated.State(),
                        i.clock.Now());
}

void leader::OnEntryHeartbeat(const hello& entry, core::revision in_force) {
  impl_->entries[entry.entry] = {entry, in_force, impl_->clock.Now()};
}

}  // namespace mangoplank::control
