#include "dispatch/load_run_impl.h"

/// Workers of a played load, which may leave orders unanswered.
namespace mangoplank::dispatch {

using core::awaitable;
using core::milliseconds;

namespace {

/// Bounds of the delay after which an order without an answer is carried out.
constexpr double kMinOrderDelayMs = 2'000;
constexpr double kMaxOrderDelayMs = 12'000;
/// Time for which members of a gang wait for the others.
constexpr milliseconds kGangWait{4'000};
/// Time that a task needs to resume from a checkpoint.
constexpr double kRestoreMs = 600;

}  // namespace

void load_run::impl::End(const core::worker_id& worker,
                         const workflow::run_id& run,
                         workflow::run_end ending) {
  worker_state& state = workers[worker];
  const auto it = state.running.find(run);
  if (it == state.running.end()) return;
  state.used = state.used - it->second.need;
  if (ending == workflow::run_end::kStopped) {
    SaveProgress(run, clock.Now() - it->second.began);
  }
  state.running.erase(it);
  --running_by_task[run.task];
  if (ending == workflow::run_end::kDone) succeeded.insert(run.task);
  std::uint32_t& last = state.last_ended[run.task];
  last = std::max(last, run.number);
  state.ended.push_back({state.next_end++, run, ending, {}});
  state.has_ends->NotifyAll();
  if (ending != workflow::run_end::kDone) BreakGang(run);
}

/// Ends the other members of a gang's run.
void load_run::impl::BreakGang(const workflow::run_id& member) {
  const auto it =
      gangs.find({member.task.job, member.task.step, member.number});
  if (it == gangs.end() || std::exchange(it->second.broken, true)) return;
  const auto members = it->second.members;
  for (const auto& [run, worker] : members) {
    End(worker, run, workflow::run_end::kGangMemberEnded);
  }
}

void load_run::impl::EndLeases() {
  for (auto& [id, worker] : workers) {
    if (worker.running.empty() || clock.WallNow() <= worker.lease_until_ms) {
      continue;
    }
    std::vector<workflow::run_id> expired;
    for (const auto& [run, active_run] : worker.running) expired.push_back(run);
    for (const workflow::run_id& run : expired) {
      End(id, run, workflow::run_end::kLeaseExpired);
    }
  }
}

/// A stopped task that saves checkpoints has less work left.
void load_run::impl::SaveProgress(const workflow::run_id& run,
                                  core::duration worked) {
  const workflow::job* const job = event_log.state.FindJob(run.task.job);
  const workflow::step& step = job->spec.steps[run.task.step];
  if (!step.checkpointing || step.gang) return;
  double& run_ms =
      plans.at(run.task.job).tasks[run.task.step][run.task.index].run_ms;
  run_ms = std::max(0.0, run_ms - ToMs(worked)) + kRestoreMs;
}

void load_run::impl::EndAfter(double run_ms, const core::worker_id& worker,
                              const workflow::run_id& run,
                              workflow::run_end ending) {
  const auto duration = std::chrono::duration_cast<core::duration>(
      std::chrono::duration<double, std::milli>(run_ms));
  clock.CallAt(clock.Now() + duration,
               [this, worker, run, ending] { End(worker, run, ending); });
}

double load_run::impl::SlownessOf(const worker_state& worker) const {
  const core::duration traffic =
      clock.Now() - traffic_end + settings.traffic_time;
  const bool is_slow_now =
      traffic >= settings.slow_begin && traffic < settings.slow_end;
  return is_slow_now ? worker.slowness : 1;
}

void load_run::impl::Begin(const core::worker_id& worker,
                           const workflow::run_id& run) {
  const job_plan& plan = plans.at(run.task.job);
  const workflow::job* const job = event_log.state.FindJob(run.task.job);
  const workflow::step& step = job->spec.steps[run.task.step];
  const task_plan& task = plan.tasks[run.task.step][run.task.index];
  worker_state& state = workers[worker];
  state.used = state.used + step.need;
  if (!settings.capacity.Holds(state.used)) ++overcommitted_starts;
  state.running.emplace(run, worker_state::run{step.need, clock.Now()});
  const bool is_repeated =
      running_by_task[run.task]++ > 0 || succeeded.contains(run.task);
  if (is_repeated) ++repeated_starts;
  if (!step.gang) {
    const bool fails = task.fails_once && run.number == 1;
    EndAfter(task.run_ms * SlownessOf(state), worker, run,
             fails ? workflow::run_end::kFailed : workflow::run_end::kDone);
    return;
  }
  gang_state& gang = gangs[{run.task.job, run.task.step, run.number}];
  auto& members = gang.members;
  members.emplace_back(run, worker);
  if (gang.broken || members.size() < step.count) {
    clock.CallAt(clock.Now() + kGangWait, [this, &gang, worker, run,
                                           count = step.count] {
      const bool is_complete = !gang.broken && gang.members.size() == count;
      if (!is_complete) End(worker, run, workflow::run_end::kGangIncomplete);
    });
    return;
  }
  double slowest = 1;
  for (const auto& [member, at] : members) {
    slowest = std::max(slowest, SlownessOf(workers[at]));
  }
  for (const auto& [member, at] : members) {
    EndAfter(task.run_ms * slowest, at, member, workflow::run_end::kDone);
  }
}

/// @return whether an order gets no answer.
bool load_run::impl::IsLate() {
  return settings.late_order_share > 0 &&
         losses.Uniform() < settings.late_order_share;
}

awaitable<void> load_run::impl::WaitForLateOrder() {
  const double delay_ms =
      kMinOrderDelayMs +
      losses.Uniform() * (kMaxOrderDelayMs - kMinOrderDelayMs);
  co_await core::SleepFor(
      clock, std::chrono::duration_cast<core::duration>(
                 std::chrono::duration<double, std::milli>(delay_ms)));
}

awaitable<void> load_run::impl::StartLate(core::worker_id worker,
                                          start_order order) {
  co_await WaitForLateOrder();
  CarryOut(worker, order);
}

awaitable<void> load_run::impl::StopLate(core::worker_id worker,
                                         workflow::run_id run) {
  co_await WaitForLateOrder();
  CarryOutStop(worker, run);
}

order_result load_run::impl::CarryOut(const core::worker_id& worker,
                                      const start_order& order) {
  worker_state& state = workers[worker];
  if (state.running.contains(order.run)) return order_done{clock.WallNow()};
  const auto last = state.last_ended.find(order.run.task);
  if (last != state.last_ended.end() && order.run.number <= last->second) {
    return order_refused{refusal::kOldRun};
  }
  if (order.lease_until_ms <= clock.WallNow()) {
    return order_refused{refusal::kLeaseExpired};
  }
  state.lease_until_ms = std::max(state.lease_until_ms, order.lease_until_ms);
  Begin(worker, order.run);
  return order_done{clock.WallNow()};
}

void load_run::impl::CarryOutStop(const core::worker_id& worker,
                                  const workflow::run_id& run) {
  std::uint32_t& last = workers[worker].last_ended[run.task];
  last = std::max(last, run.number);
  End(worker, run, workflow::run_end::kStopped);
}

awaitable<order_result> load_run::impl::Start(worker_target to,
                                              start_order order,
                                              milliseconds timeout) {
  if (IsLate()) {
    Spawn(StartLate(to.key.id, std::move(order)));
    co_await core::SleepFor(clock, timeout);
    co_return no_answer{};
  }
  co_await core::SleepFor(clock, settings.network_delay);
  ++starts;
  const order_result result = CarryOut(to.key.id, order);
  co_await core::SleepFor(clock, settings.network_delay);
  co_return result;
}

awaitable<order_result> load_run::impl::Stop(worker_target to, stop_order order,
                                             milliseconds timeout) {
  if (IsLate()) {
    Spawn(StopLate(to.key.id, order.run));
    co_await core::SleepFor(clock, timeout);
    co_return no_answer{};
  }
  co_await core::SleepFor(clock, settings.network_delay);
  CarryOutStop(to.key.id, order.run);
  co_await core::SleepFor(clock, settings.network_delay);
  co_return order_done{clock.WallNow()};
}

awaitable<poll_result> load_run::impl::Poll(worker_target to, poll_order order,
                                            milliseconds timeout) {
  if (IsLate()) {
    co_await core::SleepFor(clock, timeout);
    co_return no_answer{};
  }
  co_await core::SleepFor(clock, settings.network_delay);
  worker_state& state = workers[to.key.id];
  if (order.lease_until_ms) {
    state.lease_until_ms =
        std::max(state.lease_until_ms, *order.lease_until_ms);
  }
  std::erase_if(state.ended, [&](const ended_run& end) {
    return end.number <= order.acknowledged_ends;
  });
  const core::time_point until = clock.Now() + order.wait;
  while (state.ended.empty() && clock.Now() < until) {
    co_await state.has_ends->WaitUntil(until);
  }
  worker_report report;
  report.clock_ms = clock.WallNow();
  for (const auto& [run, active_run] : state.running) {
    report.running.push_back({run, {}, 0});
  }
  report.ended = state.ended;
  co_await core::SleepFor(clock, settings.network_delay);
  co_return report;
}

}  // namespace mangoplank::dispatch
