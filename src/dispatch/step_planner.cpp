#include <spdlog/spdlog.h>

#include <algorithm>
#include <limits>
#include <tuple>

#include "dispatch/dispatcher_impl.h"
#include "dispatch/placement_needs.h"

/// Assignment of the waiting tasks of one step to workers.
namespace mangoplank::dispatch {

namespace {

/// A gang reserves capacity if at least this fraction of its tasks fits now.
constexpr double kReservationThreshold = 0.75;
/// A worker that was alive this long ago is preferred for suspected tasks.
constexpr core::milliseconds kRecentTime{500};

/// Keeps other tasks off a worker from now on, until it has survived the start.
void Isolate(usable_pool& pool, usable_worker& worker,
             const workflow::run_id& run) {
  worker.monitor->suspected_run = run;
  Take(pool, worker, worker.available);
}

/// @return how many tasks with this need fit on the workers now, whether or not
/// the workers have a valid ticket.
std::size_t CountFittingTasks(const std::vector<placement_option>& options,
                              const core::resources& need) {
  std::size_t count = 0;
  for (const placement_option& option : options) {
    count += CountFitting(option.worker->available, need, option.max_tasks);
  }
  return count;
}

}  // namespace

/// @return whether the job's tenant is within its cap with all that it may have
/// running, planned runs included.
bool dispatcher::impl::IsWithinCap(const workflow::job& job) const {
  const tenancy::terms& tenant = event_log.State().TenantOf(job);
  return tenancy::IsWithinCap(tenant, placements.Usage().UsageOf(tenant.name));
}

/// @return how many of the tasks may start beside all that the tenant may have
/// running.
std::size_t dispatcher::impl::CountStartable(const tenancy::terms& tenant,
                                             const workflow::step& step,
                                             std::size_t tasks) const {
  const core::resources used = placements.Usage().UsageOf(tenant.name);
  return tenancy::CountWithinCap(tenant, used, step.need, tasks);
}

/// @return how many of the tasks a new eligibility check may be for: those that
/// may start beside what earlier checks of the tenant are for.
std::size_t dispatcher::impl::CountCheckable(const tenancy::terms& tenant,
                                             const workflow::step& step,
                                             std::size_t tasks) const {
  const core::resources used = placements.Usage().UsageOf(tenant.name) +
                               checked_usage.UsageOf(tenant.name);
  return tenancy::CountWithinCap(tenant, used, step.need, tasks);
}

/// Assigns the waiting tasks that can start, and removes them from `waiting`.
/// Tasks beyond the tenant's cap get no reservation and no eligibility check in
/// this round.
void dispatcher::impl::PlanStep(const workflow::job& job,
                                objective_status objective,
                                const workflow::queue& queue,
                                waiting_tasks& waiting) {
  const workflow::step& step = job.spec.steps[waiting.step];
  waiting.is_capped = false;
  const auto pool = usable_pools.find(queue.pool);
  if (pool == usable_pools.end()) return;
  if (!step.gang && IsUnplaceable(pool->second, NeedOf(step))) return;
  const tenancy::terms& tenant = event_log.State().TenantOf(job);
  const std::size_t startable =
      CountStartable(tenant, step, waiting.indexes.size());
  waiting.is_capped = startable < waiting.indexes.size();
  if (startable == 0 || (step.gang && waiting.is_capped)) return;
  waiting.checkable = CountCheckable(tenant, step, startable);
  eligibility_view* const view =
      queue.eligibility ? &eligibility_by_step[{job.spec.id, waiting.occurrence,
                                                waiting.step}]
                        : nullptr;
  if (!step.gang) {
    PlanTasks(job, queue, startable, waiting, view);
  } else if (waiting.indexes.size() == step.count) {
    // Otherwise some members of the gang's last run have not ended yet.
    PlanGang(job, objective, queue, waiting, view);
  }
  if (view == nullptr || view->pending_calls == 0) return;
  const std::size_t checked =
      std::min(waiting.checkable, waiting.indexes.size());
  checked_usage.Add(
      {tenant.name, step.need * static_cast<std::int64_t>(checked)});
}

/// Reserves the resources of a run on its worker.
planned_run dispatcher::impl::PlanRun(const workflow::job& job,
                                      const workflow::queue& queue,
                                      const workflow::task_id& task,
                                      std::uint32_t run_number,
                                      const placement_option& option) {
  const workflow::step& step = job.spec.steps[task.step];
  const workflow::run_id run{task, run_number};
  const auto& monitor = option.worker->monitor;
  monitor->runs.Add(run, {.need = NeedOf(step),
                          .tracked_since = clock.Now(),
                          .priority = queue.priority,
                          .resumable = step.checkpointing});
  placements.Place(run, {monitor, {job.tenant.name, step.need}});
  timeline.NoteAssigned({task.job, task.occurrence, task.step}, round_begin);
  return {monitor, run, option.ticket == nullptr ? "" : option.ticket->text};
}

/// Assigns as many tasks as fit, each on its own.
/// @param startable most tasks that the tenant's cap lets start.
void dispatcher::impl::PlanTasks(const workflow::job& job,
                                 const workflow::queue& queue,
                                 std::size_t startable, waiting_tasks& waiting,
                                 eligibility_view* view) {
  usable_pool& pool = usable_pools.find(queue.pool)->second;
  const workflow::step& step = job.spec.steps[waiting.step];
  const core::resources need = NeedOf(step);
  std::vector<placement_option> options =
      FindOptions(step, pool, waiting, view);
  std::vector<std::uint32_t> remaining;
  bool others_fit = true;
  bool suspects_fit = true;
  workflow::task_id id{job.spec.id, waiting.occurrence, waiting.step, 0};
  for (const std::uint32_t index : waiting.indexes) {
    if (startable == 0) {
      remaining.push_back(index);
      continue;
    }
    const bool suspected = waiting.suspects.contains(index);
    bool& may_fit = suspected ? suspects_fit : others_fit;
    placement_option* best = nullptr;
    if (may_fit) {
      best = suspected ? ChooseIsolatedOption(options, need)
                       : ChooseOption(options, need, true);
    }
    if (best == nullptr) {
      may_fit = false;
      remaining.push_back(index);
      continue;
    }
    Take(pool, *best->worker, need);
    --best->max_tasks;
    --startable;
    if (step.max_per_worker > 0) {
      ++waiting.placed_per_worker[best->worker->monitor->worker.key.id];
    }
    id.index = index;
    planned_run planned = PlanRun(
        job, queue, id, job.tasks[*job.FindTaskIndex(id)].last_run + 1, *best);
    if (!suspected) {
      planned_runs.push_back(std::move(planned));
      continue;
    }
    Isolate(pool, *best->worker, planned.run);
    planned_suspects.push_back({std::move(planned)});
  }
  waiting.indexes = std::move(remaining);
  if (waiting.indexes.empty()) return;
  if (view == nullptr) {
    const bool is_limited = step.max_per_worker > 0 ||
                            !step.required_label.empty() ||
                            !waiting.failed_workers.empty() || others_fit;
    if (!is_limited) pool.unplaceable.push_back(need);
    return;
  }
  const step_key key{job.spec.id, waiting.occurrence, waiting.step};
  waiting.checkable = CountCheckable(event_log.State().TenantOf(job), step,
                                     waiting.indexes.size());
  CheckTasks(queue, key, step, waiting, *view, pool);
  ReserveForCheck(step, *view, waiting.checkable, pool);
}

/// @return an upper bound of the tasks of a gang that can start now, or that
/// are expected to after a check.
double dispatcher::impl::MaxReachableTasks(const workflow::queue& queue,
                                           const usable_pool& pool,
                                           const core::resources& need,
                                           const eligibility_view* view) const {
  if (IsUnplaceable(pool, need)) return 0;
  // Processors bound only the tasks that need some.
  if (need.cpu_milli <= 0) return std::numeric_limits<double>::infinity();
  const double fitting = static_cast<double>(pool.available_cpu_milli) /
                         static_cast<double>(need.cpu_milli);
  const bool knows_none = view != nullptr && view->tickets.empty();
  return knows_none ? EligibleShare(queue) * fitting : fitting;
}

/// Assigns all tasks of a gang, or none.
void dispatcher::impl::PlanGang(const workflow::job& job,
                                objective_status objective,
                                const workflow::queue& queue,
                                waiting_tasks& waiting,
                                eligibility_view* view) {
  usable_pool& pool = usable_pools.find(queue.pool)->second;
  const workflow::step& step = job.spec.steps[waiting.step];
  const core::resources need = NeedOf(step);
  const std::size_t tasks = waiting.indexes.size();
  // Most waiting gangs end here when capacity is short.
  const bool may_be_first =
      objective == objective_status::kOnTime && !pool.has_reservation;
  const bool has_check = view != nullptr && view->pending_calls > 0;
  if (!may_be_first && !has_check &&
      MaxReachableTasks(queue, pool, need, view) <
          static_cast<double>(tasks) * kReservationThreshold) {
    return;
  }
  std::vector<placement_option> options =
      FindOptions(step, pool, waiting, view);
  const std::size_t fitting = CountFittingTasks(options, need);
  std::vector<placement_option*> chosen;
  while (fitting >= tasks && chosen.size() < tasks) {
    placement_option* const best = ChooseOption(options, need, true);
    if (best == nullptr) break;
    Take(pool, *best->worker, need);
    --best->max_tasks;
    chosen.push_back(best);
  }
  if (chosen.size() == tasks) {
    workflow::task_id id{job.spec.id, waiting.occurrence, waiting.step, 0};
    std::vector<planned_run> suspects;
    for (std::size_t i = 0; i < tasks; ++i) {
      id.index = waiting.indexes[i];
      planned_run planned =
          PlanRun(job, queue, id, waiting.last_run + 1, *chosen[i]);
      if (waiting.suspects.empty()) {
        planned_runs.push_back(std::move(planned));
        continue;
      }
      Isolate(pool, *chosen[i]->worker, planned.run);
      suspects.push_back(std::move(planned));
    }
    if (!suspects.empty()) planned_suspects.push_back(std::move(suspects));
    waiting.indexes.clear();
    return;
  }
  for (placement_option* const option : chosen) {
    Take(pool, *option->worker, need * -1);
    ++option->max_tasks;
  }
  std::size_t max_tasks = 0;
  for (const placement_option& option : options) max_tasks += option.max_tasks;
  // A gang reserves capacity only as its pool's first in this round or if it
  // nearly fits: capacity reserved for many gangs at once stays idle. One that
  // is late, or does not fit on its workers even when they are empty, must not
  // reserve capacity that others can use.
  const bool may_reserve =
      objective == objective_status::kOnTime &&
      (!pool.has_reservation ||
       static_cast<double>(fitting) >=
           static_cast<double>(tasks) * kReservationThreshold);
  if (view != nullptr) {
    const step_key key{job.spec.id, waiting.occurrence, waiting.step};
    CheckGang(queue, key, step, waiting, {max_tasks, may_reserve}, *view, pool);
    if (!view->reserved_on.empty()) {
      ReserveForCheck(step, *view, tasks, pool);
      return;
    }
  }
  if (!may_reserve || max_tasks < tasks) return;
  pool.has_reservation = true;
  ReserveForGang(pool, options, step, tasks, queue.priority);
}

/// Reserves capacity for the tasks of a gang that can't start now: jobs of a
/// lower rank do not get the resources that become free on these workers.
/// @param preempting_priority priority of the gang's queue: resumable tasks of
/// less urgent queues are preempted.
void dispatcher::impl::ReserveForGang(usable_pool& pool,
                                      std::vector<placement_option>& options,
                                      const workflow::step& step,
                                      std::size_t tasks,
                                      std::int32_t preempting_priority) {
  const core::resources need = NeedOf(step);
  for (std::size_t n = 0; n < tasks; ++n) {
    placement_option* const best = ChooseOption(options, need, false);
    if (best == nullptr) return;
    Reserve(pool, *best->worker, need);
    --best->max_tasks;
    // Without a ticket the gang could not use the capacity at once.
    if (best->has_valid_ticket) {
      PreemptRuns(*best->worker, preempting_priority);
    }
  }
}

/// Stops resumable runs of less urgent queues until the reserved tasks fit on
/// the worker. Stops none if that is not enough.
void dispatcher::impl::PreemptRuns(usable_worker& worker,
                                   std::int32_t priority) {
  const core::resources zero;
  std::vector<std::pair<workflow::run_id, core::resources>> victims;
  core::resources available = worker.available + worker.releasing;
  for (const auto& [run, tracked] : worker.monitor->runs.Runs()) {
    if (available.Holds(zero)) break;
    if (tracked.stopping || !tracked.resumable ||
        !tracked.resolved_after_poll) {
      continue;
    }
    if (tracked.priority <= priority) continue;
    victims.emplace_back(run, tracked.need);
    available = available + tracked.need;
  }
  if (!available.Holds(zero)) return;
  for (const auto& [run, need] : victims) {
    worker.releasing = worker.releasing + need;
    stats.preempted.Add();
    spdlog::info("run_preempted job={} step={} index={} worker={}",
                 run.task.job, run.task.step, run.task.index,
                 worker.monitor->worker.key.id.v);
    Spawn(StopRun(worker.monitor, run));
  }
}

/// @return the workers that may run tasks of the step. Those on which some have
/// failed lately are left out.
std::vector<placement_option> dispatcher::impl::FindOptions(
    const workflow::step& step, usable_pool& pool, const waiting_tasks& waiting,
    const eligibility_view* view) {
  std::vector<placement_option> options;
  const core::time_point cutoff =
      FailureCutoff(step, waiting, view, pool, clock.Now());
  const auto is_left_out = [&](const usable_worker& worker) {
    return HasFailed(waiting, worker, cutoff);
  };
  if (view == nullptr) {
    for (usable_worker& worker : pool.workers) {
      if (!is_left_out(worker)) {
        AddOption(options, worker, step, waiting, nullptr);
      }
    }
    return options;
  }
  for (const ticket& ticket : view->tickets) {
    usable_worker* const worker = FindUsable(ticket.slot, pool);
    if (worker == nullptr || is_left_out(*worker)) continue;
    AddOption(options, *worker, step, waiting, &ticket);
  }
  return options;
}

/// @param ticket the worker's ticket, or null if the step needs none.
void dispatcher::impl::AddOption(std::vector<placement_option>& options,
                                 usable_worker& candidate,
                                 const workflow::step& step,
                                 const waiting_tasks& waiting,
                                 const ticket* ticket) const {
  const core::resources need = NeedOf(step);
  // A gang may reserve capacity where it can't start yet; other steps may not.
  if (!step.gang && !candidate.available.Holds(need)) return;
  const bool has_valid_ticket = ticket == nullptr || IsValid(*ticket);
  if (!step.gang && !has_valid_ticket) return;
  const workflow::worker& worker = candidate.monitor->worker;
  if (!HasLabel(worker, step.required_label)) return;
  const auto max_tasks = static_cast<std::uint32_t>(CountFitting(
      candidate.capacity, need, MaxTasksOn(step, waiting, worker.key.id)));
  if (max_tasks == 0) return;
  options.push_back({&candidate, ticket, max_tasks,
                     HasLabel(worker, step.preferred_rack), has_valid_ticket,
                     waiting.lost_workers.contains(worker.key.id)});
}

bool dispatcher::impl::HasStartingRuns(const worker_monitor& monitor) const {
  const auto& runs = monitor.runs.Runs();
  return std::any_of(runs.begin(), runs.end(), [&](const auto& entry) {
    return !HasSurvivedStart(monitor, entry.second, kStartTime);
  });
}

/// @return whether a run that may crash the worker is starting on it.
bool dispatcher::impl::IsStartingSuspect(worker_monitor& monitor) const {
  if (!monitor.suspected_run) return false;
  const tracked_run* const tracked = monitor.runs.Find(*monitor.suspected_run);
  const bool is_starting =
      tracked != nullptr && !HasSurvivedStart(monitor, *tracked, kStartTime);
  if (!is_starting) monitor.suspected_run.reset();
  return is_starting;
}

/// @return the best option for a task that may crash its worker, or null: the
/// worker with the most available CPU, and so the least to lose, among those on
/// which nothing else is starting. In a wave of losses a worker with room may
/// be the one that was lost last, so that those heard of lately go first.
placement_option* dispatcher::impl::ChooseIsolatedOption(
    std::vector<placement_option>& options, const core::resources& need) const {
  const core::time_point recent = clock.Now() - kRecentTime;
  const auto preference = [&](const placement_option& option) {
    return std::tuple(!option.was_lost, option.is_near_data,
                      Unreserved(*option.worker).Holds(need),
                      option.worker->monitor->last_alive >= recent,
                      option.worker->available.cpu_milli);
  };
  placement_option* best = nullptr;
  for (placement_option& option : options) {
    const usable_worker& worker = *option.worker;
    if (option.max_tasks == 0 || !option.has_valid_ticket ||
        !worker.available.Holds(need) || HasStartingRuns(*worker.monitor)) {
      continue;
    }
    const bool better =
        best == nullptr || preference(option) > preference(*best);
    if (better) best = &option;
  }
  return best;
}

/// @param start_now chooses the fitting worker with the least available CPU, so
/// that large tasks find capacity elsewhere; otherwise the worker with the
/// most.
/// @return the best option for the next task, or null.
placement_option* dispatcher::impl::ChooseOption(
    std::vector<placement_option>& options, const core::resources& need,
    bool start_now) {
  placement_option* best = nullptr;
  for (placement_option& option : options) {
    if (option.max_tasks == 0) continue;
    if (start_now &&
        (!option.has_valid_ticket || !option.worker->available.Holds(need))) {
      continue;
    }
    const auto available_of = [start_now](const placement_option& candidate) {
      const std::int64_t releasing =
          start_now ? 0 : candidate.worker->releasing.cpu_milli;
      return candidate.worker->available.cpu_milli + releasing;
    };
    const auto is_unreserved = [&](const placement_option& candidate) {
      return !start_now || Unreserved(*candidate.worker).Holds(need);
    };
    const auto preference = [&](const placement_option& candidate) {
      const std::int64_t available = available_of(candidate);
      return std::tuple(!candidate.was_lost, candidate.is_near_data,
                        is_unreserved(candidate),
                        start_now ? -available : available);
    };
    const bool better =
        best == nullptr || preference(option) > preference(*best);
    if (better) best = &option;
  }
  return best;
}

}  // namespace mangoplank::dispatch
