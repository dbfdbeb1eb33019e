#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>

#include "dispatch/dispatcher_impl.h"
#include "dispatch/placement_needs.h"

/// Rounds of placement, and the order of the waiting jobs.
namespace mangoplank::dispatch {

using core::awaitable;

namespace {

/// Changes within this time are planned together.
constexpr core::milliseconds kRoundInterval{10};
/// A round is followed by a pause of this multiple of its time, so that orders
/// and requests get most of the processor.
constexpr int kPauseFactor = 4;
/// Time for which a rank is used: whether a job is late changes slowly.
constexpr core::milliseconds kRankInterval{100};
/// Longest time between rounds: tickets expire and periodic jobs become due.
constexpr core::milliseconds kMaxRoundInterval{100};
/// Fraction of the remaining work that must still fit before the objective.
/// Below 1, as estimates are rough and giving up early costs more than trying.
constexpr double kFeasibleFraction = 0.7;
/// A job that takes this multiple of its objective is no longer useful.
constexpr int kUnreachableFactor = 3;
/// Number of workers per eligibility check that the objective assumes.
constexpr int kTypicalWorkersPerCheck = 30;
/// Share of the workers of a pool that must be left by the back-off of the
/// others. If fewer are left, the fault is a general one, and leaving out most
/// of the workers would stop the pool.
constexpr double kMinShareWithBackoff = 0.5;
/// Time in which the workers of suspected tasks have to answer, and what they
/// report is recorded. Later, an answer no longer shows that they are alive.
constexpr core::milliseconds kConfirmationTime{1'500};

/// @return the time of the critical path of one occurrence, in milliseconds.
/// @param step_time time of a step in milliseconds; 0 if the step is done.
template <class F>
double LongestChain(const workflow::job_spec& spec, F&& step_time) {
  std::vector<double> ends;
  double longest = 0;
  for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
    double begin = 0;
    for (const std::uint32_t dependency : spec.steps[i].depends_on) {
      begin = std::max(begin, ends[dependency]);
    }
    ends.push_back(begin + step_time(i));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

/// @return whether so many workers of the pool are in back-off that only its
/// first part counts.
bool NeedsAllWorkers(const usable_pool& pool) {
  const auto left = static_cast<double>(pool.answering - pool.in_backoff);
  return left < kMinShareWithBackoff * static_cast<double>(pool.answering);
}

}  // namespace

awaitable<void> dispatcher::impl::PlanLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    round_due = false;
    const core::time_point begin = clock.Now();
    const core::duration cpu_begin = ThreadCpuTime();
    PlanRound();
    const core::duration round_time = ThreadCpuTime() - cpu_begin;
    ++load.rounds;
    load.round_time += round_time;
    stats.round_time.Add(std::chrono::duration<double>(round_time).count());
    // The upper bound matters if the VM was suspended during the round.
    co_await core::SleepFor(
        clock, std::clamp<core::duration>(kPauseFactor * (clock.Now() - begin),
                                          kRoundInterval, kMaxRoundInterval));
    if (stopped) co_return;
    if (!round_due) {
      co_await round_requested.WaitUntil(clock.Now() + kMaxRoundInterval);
    }
  }
}

/// Ranks a job by whether it can still be on time, then by the priority of its
/// queue and its age.
job_rank dispatcher::impl::RankOf(const workflow::job& job) const {
  const workflow::queue& queue = event_log.State().QueueOf(job);
  job_rank rank{objective_status::kOnTime, queue.priority, job.accepted_at,
                job.spec.id};
  if (job.spec.repeat_count > 0) return rank;
  double check_ms_per_step = 0;
  if (queue.eligibility) {
    check_ms_per_step =
        queue.eligibility->decision_ms +
        kTypicalWorkersPerCheck * queue.eligibility->per_worker_ms;
  }
  const double total_ms = LongestChain(job.spec, [&](std::uint32_t i) {
    return ExpectedRunTimeMs(queue, i, job.spec.steps[i]) + check_ms_per_step;
  });
  const double remaining_ms = LongestChain(job.spec, [&](std::uint32_t i) {
    return job.unfinished_tasks[job.StepIndex(0, i)] == 0
               ? 0.0
               : ExpectedRunTimeMs(queue, i, job.spec.steps[i]);
  });
  const double objective_ms = queue.stretch_factor * total_ms +
                              static_cast<double>(queue.target_latency_ms);
  const double expected_end_ms =
      static_cast<double>(clock.WallNow() - job.accepted_at) +
      kFeasibleFraction * remaining_ms;
  if (expected_end_ms > objective_ms) rank.objective = objective_status::kLate;
  if (expected_end_ms > kUnreachableFactor * objective_ms) {
    rank.objective = objective_status::kUnreachable;
  }
  return rank;
}

void dispatcher::impl::MarkWaiting(const std::string& job) {
  waiting_jobs[job].changed = true;
}

void dispatcher::impl::PlanRound() {
  BeginRound();
  struct candidate {
    const workflow::job* job = nullptr;
    waiting_job* waiting = nullptr;
  };
  std::vector<candidate> candidates;
  candidates.reserve(waiting_jobs.size());
  const core::time_point now = clock.Now();
  for (auto it = waiting_jobs.begin(); it != waiting_jobs.end();) {
    const workflow::job* const job = event_log.State().FindJob(it->first);
    if (job == nullptr || IsFinal(job->phase)) {
      it = waiting_jobs.erase(it);
      continue;
    }
    waiting_job& waiting = it->second;
    if (waiting.changed || now >= waiting.rank_expires) {
      waiting.rank = RankOf(*job);
      waiting.rank_expires = now + kRankInterval;
    }
    candidates.push_back({job, &waiting});
    ++it;
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const candidate& a, const candidate& b) {
              return a.waiting->rank < b.waiting->rank;
            });
  for (const candidate& next : candidates) {
    const bool waits = PlanJob(*next.job, *next.waiting);
    if (!waits) waiting_jobs.erase(next.job->spec.id);
  }
  stats.active_jobs.Set(static_cast<double>(active_jobs.size()));
  if (!planned_runs.empty()) {
    Spawn(CommitRuns(std::exchange(planned_runs, {})));
  }
  for (std::vector<planned_run>& runs : std::exchange(planned_suspects, {})) {
    Spawn(CommitSuspects(std::move(runs)));
  }
}

/// @return whether the worker answers polls and can accept tasks at all.
bool dispatcher::impl::IsAnswering(const worker_monitor& monitor,
                                   core::time_point now) const {
  return monitor.synced && !monitor.unanswered && !monitor.removing &&
         monitor.clock_ms && !monitor.worker.draining &&
         !monitor.deregistered_at &&
         now < monitor.last_reported + settings.worker_silence;
}

void dispatcher::impl::CountBackoff(core::time_point now) {
  for (auto& [name, pool] : usable_pools) pool.answering = pool.in_backoff = 0;
  for (const auto& [id, monitor] : monitors) {
    if (!IsAnswering(*monitor, now)) continue;
    ++monitor->pool->answering;
    if (monitor->backoff.IsActive(now)) ++monitor->pool->in_backoff;
  }
}

/// Collects the workers that can accept tasks, with their free capacity. The
/// clock is read once: a round looks at each worker.
void dispatcher::impl::BeginRound() {
  for (auto& [name, pool] : usable_pools) {
    pool.workers.clear();
    pool.unplaceable.clear();
    pool.available_cpu_milli = 0;
    pool.has_reservation = false;
  }
  usable_by_slot.assign(monitors.size() + free_slots.size(), nullptr);
  checked_usage = {};
  round_begin = clock.Now();
  proxies.Reset(eligibility_service.CountProxies());
  const core::time_point now = round_begin;
  CountBackoff(now);
  for (const auto& [id, monitor] : monitors) {
    usable_pool& pool = *monitor->pool;
    const bool is_in_backoff = NeedsAllWorkers(pool)
                                   ? monitor->backoff.IsFirstPartActive(now)
                                   : monitor->backoff.IsActive(now);
    const bool is_usable = IsAnswering(*monitor, now) && !is_in_backoff &&
                           now >= monitor->avoid_until && !monitor->is_slow;
    if (!is_usable || IsStartingSuspect(*monitor)) continue;
    const core::resources& capacity = monitor->worker.capacity;
    const core::resources free = capacity - monitor->runs.Used();
    pool.available_cpu_milli += std::max<std::int64_t>(0, free.cpu_milli);
    pool.workers.push_back({monitor, monitor->slot, capacity, free, free,
                            monitor->runs.Releasing(),
                            std::exchange(monitor->reserved, {})});
  }
  for (auto& [name, pool] : usable_pools) {
    pool.by_availability.Reset(pool.workers.size());
    for (std::uint32_t i = 0; i < pool.workers.size(); ++i) {
      usable_worker& worker = pool.workers[i];
      usable_by_slot[worker.slot] = &worker;
      pool.by_availability.Set(i, Unreserved(worker).cpu_milli);
    }
  }
}

bool dispatcher::impl::IsDue(const workflow::job& job,
                             std::uint32_t occurrence) const {
  if (job.spec.repeat_count == 0) return true;
  return clock.WallNow() >=
         job.spec.first_at + std::int64_t{occurrence} * job.spec.interval_ms;
}

/// Reads the unassigned tasks of the steps that can start.
void dispatcher::impl::Refresh(const workflow::job& job, waiting_job& waiting) {
  // Occurrences become due without a change of the job.
  waiting.changed = job.spec.repeat_count > 0;
  waiting.steps.clear();
  for (std::uint32_t occurrence = 0;
       occurrence < job.CountOccurrences() && IsDue(job, occurrence);
       ++occurrence) {
    for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
      if (job.unfinished_tasks[job.StepIndex(occurrence, step)] == 0 ||
          !job.IsStepReady(occurrence, step)) {
        continue;
      }
      waiting_tasks tasks = FindWaitingTasks(job, occurrence, step);
      if (tasks.indexes.empty()) continue;
      timeline.NoteReady({job.spec.id, occurrence, step}, round_begin);
      waiting.steps.push_back(std::move(tasks));
    }
  }
}

/// @return whether the job may still have unassigned tasks, or occurrences that
/// are not due.
bool dispatcher::impl::PlanJob(const workflow::job& job, waiting_job& waiting) {
  if (waiting.changed) Refresh(job, waiting);
  const workflow::queue& queue = event_log.State().QueueOf(job);
  for (waiting_tasks& tasks : waiting.steps) {
    PlanStep(job, waiting.rank.objective, queue, tasks);
  }
  std::erase_if(waiting.steps, [](const waiting_tasks& tasks) {
    return tasks.indexes.empty();
  });
  return job.spec.repeat_count > 0 || !waiting.steps.empty();
}

/// @return the unassigned tasks of a step, its tasks' highest run number, and
/// how many of its other tasks each worker has.
waiting_tasks dispatcher::impl::FindWaitingTasks(const workflow::job& job,
                                                 std::uint32_t occurrence,
                                                 std::uint32_t step) const {
  waiting_tasks waiting;
  waiting.occurrence = occurrence;
  waiting.step = step;
  const workflow::step& step_spec = job.spec.steps[step];
  const auto failed = failed_workers.find({job.spec.id, occurrence, step});
  if (failed != failed_workers.end()) waiting.failed_workers = failed->second;
  const auto lost = lost_workers.find({job.spec.id, occurrence, step});
  if (lost != lost_workers.end()) waiting.lost_workers = lost->second;
  workflow::task_id id{job.spec.id, occurrence, step, 0};
  for (; id.index < step_spec.count; ++id.index) {
    const workflow::task& task = job.tasks[*job.FindTaskIndex(id)];
    waiting.last_run = std::max(waiting.last_run, task.last_run);
    // A run whose assignment is still being recorded already has a worker.
    const auto placed_run = placements.Runs().lower_bound({id, 0});
    const bool is_placed =
        placed_run != placements.Runs().end() && placed_run->first.task == id;
    if (is_placed && step_spec.max_per_worker > 0) {
      ++waiting.placed_per_worker[placed_run->second.monitor->worker.key.id];
    }
    if (task.phase == workflow::task_phase::kWaiting && !is_placed) {
      waiting.indexes.push_back(id.index);
      // The next loss has to be evidence, also if the last run was not lost.
      const bool is_suspect = task.suspected || task.losses > 0;
      if (is_suspect) waiting.suspects.insert(id.index);
    }
  }
  return waiting;
}

/// @return whether the run is recorded as assigned to this incarnation.
bool dispatcher::impl::IsAssignedTo(const workflow::run_id& run,
                                    const worker_monitor& monitor) const {
  const workflow::worker_key* const assigned_worker =
      event_log.State().FindAssignedWorker(run);
  return assigned_worker != nullptr && *assigned_worker == monitor.worker.key;
}

/// Polls a worker once for a confirmation.
awaitable<void> dispatcher::impl::ConfirmWorker(
    std::shared_ptr<worker_monitor> monitor,
    std::shared_ptr<worker_confirmation> confirmation) {
  const auto self = shared_from_this();
  const poll_outcome outcome = co_await Poll(monitor, core::milliseconds(0));
  if (outcome != poll_outcome::kAnswered || monitor->removed) {
    confirmation->all_answered = false;
    // The monitor of an idle worker waits until it has something to do: it has
    // to poll until the worker answers again.
    monitor->wakeup.NotifyAll();
    spdlog::info("worker_not_confirmed worker={} born={}",
                 monitor->worker.key.id.v, monitor->worker.key.incarnation);
  }
  --confirmation->pending;
  confirmation->changed.NotifyAll();
}

/// @return whether all workers of the runs answer now.
awaitable<bool> dispatcher::impl::ConfirmWorkers(
    const std::vector<planned_run>& runs) {
  std::set<std::shared_ptr<worker_monitor>> chosen;
  for (const planned_run& planned : runs) chosen.insert(planned.monitor);
  const auto confirmation =
      std::make_shared<worker_confirmation>(chosen.size(), executor, clock);
  for (const auto& monitor : chosen) {
    Spawn(ConfirmWorker(monitor, confirmation));
  }
  const core::time_point deadline = clock.Now() + kConfirmationTime;
  while (confirmation->pending > 0) {
    if (!co_await confirmation->changed.WaitUntil(deadline)) co_return false;
  }
  co_return confirmation->all_answered;
}

/// Gives up the plan for a run that was not assigned.
void dispatcher::impl::DropPlanned(const planned_run& planned) {
  planned.monitor->runs.Remove(planned.run);
  placements.Remove(planned.run);
  MarkWaiting(planned.run.task.job);
}

/// Starts a task that may crash its worker, or a gang with one, on workers that
/// have just answered: if one is lost then, the order has reached it alive.
awaitable<void> dispatcher::impl::CommitSuspects(
    std::vector<planned_run> runs) {
  const auto self = shared_from_this();
  const bool confirmed = co_await ConfirmWorkers(runs);
  if (stopped) co_return;
  if (!confirmed) {
    for (const planned_run& planned : runs) {
      if (!planned.monitor->removed) DropPlanned(planned);
    }
    RequestRound();
    co_return;
  }
  for (planned_run& planned : runs) {
    planned.worker_confirmed = true;
    tracked_run* const tracked = planned.monitor->runs.Find(planned.run);
    if (tracked != nullptr) tracked->worker_confirmed = true;
  }
  co_await CommitRuns(std::move(runs));
}

awaitable<void> dispatcher::impl::CommitRuns(std::vector<planned_run> runs) {
  const auto self = shared_from_this();
  std::vector<workflow::event> events;
  for (const planned_run& planned : runs) {
    events.emplace_back(workflow::run_assigned{
        planned.run, planned.monitor->worker.key, planned.worker_confirmed});
  }
  const auto recorded = co_await Record(std::move(events));
  if (stopped) co_return;
  for (planned_run& planned : runs) {
    // If the worker was removed in the meantime, its runs were dropped, and the
    // run's number may belong to an assignment to another worker.
    if (planned.monitor->removed) continue;
    if (recorded && IsAssignedTo(planned.run, *planned.monitor)) {
      Spawn(StartRun(std::move(planned)));
      continue;
    }
    // Not recorded, or rejected by the state, e.g. as the job was cancelled.
    DropPlanned(planned);
  }
  if (!recorded) {
    spdlog::warn("placement_not_recorded runs={} error={}", runs.size(),
                 core::Describe(recorded.error()));
  }
}

}  // namespace mangoplank::dispatch
