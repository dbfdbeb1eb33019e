#include "mangoplank/dispatch/dispatcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/dispatcher_impl.h"
#include "mangoplank/core/task.h"

namespace mangoplank::dispatch {

namespace asio = boost::asio;
using core::awaitable;
using core::overloaded;

namespace {

constexpr core::milliseconds kPruneInterval{5'000};
constexpr core::milliseconds kReportInterval{1'000};
/// Interval of the lines on jobs that wait.
constexpr core::milliseconds kWaitReportInterval{5'000};
/// Interval of the timer whose delay shows how long work waits for its turn.
constexpr core::milliseconds kLoopDelayInterval{50};
/// Consecutive failed jobs after which a worker is quarantined; a single job
/// may fail by its own fault.
constexpr std::size_t kQuarantineThreshold = 2;
/// Time for which a quarantined worker gets no tasks.
constexpr core::milliseconds kQuarantineTime{2'000};

}  // namespace

dispatcher::impl::impl(dispatcher_settings settings, core::term term,
                       asio::any_io_executor io_executor, core::clock& clock,
                       dispatch::event_log& event_log, worker_port& workers,
                       eligibility_port& eligibility,
                       metrics::registry& registry)
    : settings(settings),
      term(term),
      executor(std::move(io_executor)),
      clock(clock),
      event_log(event_log),
      workers(workers),
      eligibility_service(eligibility),
      stats(registry),
      term_start(clock.Now()),
      round_requested(executor, clock) {}

void dispatcher::impl::Spawn(awaitable<void> task) {
  core::SpawnTask(executor, std::move(task), "dispatcher");
}

/// Requests a planning round, even if the loop is not waiting for a request.
void dispatcher::impl::RequestRound() {
  round_due = true;
  round_requested.NotifyAll();
}

void dispatcher::impl::Start() {
  for (const auto& [id, job] : event_log.State().Jobs()) TrackJob(job);
  SyncWorkers();
  AdoptRuns();
  Spawn(PlanLoop());
  Spawn(PruneLoop());
  Spawn(ReportLoop());
}

void dispatcher::impl::Stop() {
  stopped = true;
  for (const auto& [id, monitor] : monitors) {
    monitor->removed = true;
    monitor->wakeup.NotifyAll();
  }
  RequestRound();
}

/// Tracks a job that is new to this term.
void dispatcher::impl::TrackJob(const workflow::job& job) {
  if (!IsFinal(job.phase)) {
    active_jobs.insert(job.spec.id);
    MarkWaiting(job.spec.id);
  } else {
    ended_jobs.emplace_back(clock.Now() + settings.ended_job_retention,
                            job.spec.id);
  }
}

/// Tracks the runs that earlier leaders have recorded.
void dispatcher::impl::AdoptRuns() {
  for (const auto& [name, job] : event_log.State().Jobs()) {
    workflow::task_id id{name, 0, 0, 0};
    for (std::size_t task_index = 0; task_index < job.tasks.size();
         ++task_index) {
      const workflow::task& task = job.tasks[task_index];
      const workflow::step& step = job.spec.steps[id.step];
      if (task.phase == workflow::task_phase::kAssigned) {
        const auto monitor = monitors.find(task.worker.id);
        const workflow::run_id run{id, task.last_run};
        if (monitor != monitors.end()) {
          // The worker's incarnation has ended under the run.
          const bool has_ended = monitor->second->worker.key != task.worker;
          const workflow::run_end loss =
              task.worker_confirmed ? workflow::run_end::kCrashedAtStart
                                    : workflow::run_end::kLostUnconfirmed;
          monitor->second->runs.Add(
              run, {.need = NeedOf(step),
                    .tracked_since = clock.Now(),
                    .ordered = true,
                    .worker_confirmed = task.worker_confirmed,
                    .resolved_after_poll = 0,
                    .loss = has_ended ? std::optional(loss) : std::nullopt,
                    .priority = event_log.State().QueueOf(job).priority,
                    .resumable = step.checkpointing});
          placements.Place(run, {monitor->second, UsageOf(run)});
          if (IsFinal(job.phase)) Spawn(StopRun(monitor->second, run));
        }
      }
      if (++id.index < step.count) continue;
      id.index = 0;
      if (++id.step < job.spec.steps.size()) continue;
      id.step = 0;
      ++id.occurrence;
    }
  }
}

/// Updates the worker monitors to match the registered workers.
void dispatcher::impl::SyncWorkers() {
  std::set<core::worker_id> ids;
  for (const auto& [id, monitor] : monitors) ids.insert(id);
  for (const auto& [id, worker] : event_log.State().Workers()) ids.insert(id);
  for (const core::worker_id& id : ids) SyncWorker(id);
}

/// The same for one worker: workers are announced one by one, also where
/// hundreds of them arrive.
void dispatcher::impl::SyncWorker(const core::worker_id& id) {
  const auto& known = event_log.State().Workers();
  const auto registered = known.find(id);
  const auto tracked = monitors.find(id);
  RequestRound();
  if (tracked == monitors.end()) {
    if (registered != known.end()) AddWorker(registered->second, kNever);
    return;
  }
  const std::shared_ptr<worker_monitor> monitor = tracked->second;
  if (registered != known.end() &&
      registered->second.key == monitor->worker.key) {
    monitor->worker = registered->second;
    monitor->pool = &usable_pools[monitor->worker.pool];
    return;
  }
  if (registered != known.end()) {
    OnWorkerLost(*monitor, worker_loss::kNewIncarnation);
  }
  monitor->removed = true;
  monitor->wakeup.NotifyAll();
  for (const auto& [run, ended] : monitor->runs.Runs()) {
    placements.Remove(run);
    MarkWaiting(run.task.job);
  }
  DropEligibility(monitor->slot);
  free_slots.push_back(monitor->slot);
  monitors.erase(tracked);
  if (registered == known.end()) return;
  AddWorker(registered->second, monitor->leased_at);
  // No leader knew of this incarnation before, nor acknowledged its ends.
  monitors[id]->listed_ends = 0;
  for (const auto& [run, former] : monitor->runs.Runs()) {
    TransferRun(id, run, former);
  }
}

/// Moves a run of an earlier incarnation of a worker to the current one, which
/// the start may have reached. The first poll shows whether a confirmed start
/// did, before the incarnation was announced. A start order without an answer
/// may still reach it, also if the run was found or another try was confirmed,
/// so that the run is stopped.
void dispatcher::impl::TransferRun(const core::worker_id& id,
                                   const workflow::run_id& run,
                                   const tracked_run& previous) {
  if (!event_log.State().IsAssigned(run)) return;
  if (!previous.ordered) {
    Spawn(RecordRunEnd(run, workflow::run_end::kNotStarted));
    return;
  }
  const auto& monitor = monitors[id];
  tracked_run transferred = previous;
  transferred.stopping = false;
  transferred.started_at.reset();
  transferred.is_whole = false;
  tracked_run& tracked = monitor->runs.Add(run, std::move(transferred));
  placements.Place(run, {monitor, UsageOf(run)});
  if (previous.resolved_after_poll && !previous.stopping &&
      !previous.may_arrive) {
    tracked.resolved_after_poll = 0;
    return;
  }
  tracked.resolved_after_poll.reset();
  tracked.start_expires = monitor->lease_end;
  Spawn(StopRun(monitor, run));
}

/// @return what a run uses of its tenant's cap: all that its step declares,
/// also the processors of a task that fills, which its worker doesn't count.
tenancy::usage dispatcher::impl::UsageOf(const workflow::run_id& run) const {
  const workflow::job* const job = event_log.State().FindJob(run.task.job);
  if (job == nullptr || run.task.step >= job->spec.steps.size()) return {};
  return {job->tenant.name, job->spec.steps[run.task.step].need};
}

/// @param leased_at time of the last order with a lease to an earlier
/// incarnation. It may still reach this one, which then grants its longest
/// lease at that moment, as the order's lease is a time on the earlier clock.
void dispatcher::impl::AddWorker(const workflow::worker& worker,
                                 core::time_point leased_at) {
  worker_slot slot = static_cast<worker_slot>(monitors.size());
  if (!free_slots.empty()) {
    slot = free_slots.back();
    free_slots.pop_back();
  }
  const auto monitor = std::make_shared<worker_monitor>(
      worker, workflow::MakeFencingToken(term, incarnation_count++), slot,
      executor, clock);
  monitor->pool = &usable_pools[worker.pool];
  // An earlier leader may have renewed the lease until this term began.
  monitor->leased_at = leased_at;
  monitor->lease_end =
      std::max({clock.Now(), term_start, leased_at + kMaxOrderDelay}) +
      std::chrono::duration_cast<core::duration>(settings.max_lease *
                                                 (1 + settings.clock_drift));
  monitor->last_heard = clock.Now();
  monitor->last_alive = clock.Now();
  monitor->last_reported = clock.Now();
  monitors[worker.key.id] = monitor;
  Spawn(MonitorWorker(monitor));
}

void dispatcher::impl::OnEvent(const workflow::event& event) {
  const workflow::state& state = event_log.State();
  const auto final_job = [&](const std::string& id) {
    const workflow::job* const job = state.FindJob(id);
    if (job != nullptr && IsFinal(job->phase)) OnJobFinal(*job);
  };
  std::visit(overloaded{[&](const workflow::job_accepted& applied) {
                          const workflow::job* const job =
                              state.FindJob(applied.spec.id);
                          if (job != nullptr && !IsFinal(job->phase))
                            TrackJob(*job);
                        },
                        [&](const workflow::job_cancelled& applied) {
                          final_job(applied.job);
                        },
                        [&](const workflow::run_ended& applied) {
                          OnRunEnded(applied);
                          final_job(applied.run.task.job);
                        },
                        [&](const workflow::worker_announced& applied) {
                          SyncWorker(applied.worker.key.id);
                        },
                        [&](const workflow::worker_removed& applied) {
                          SyncWorker(applied.worker.id);
                        },
                        [](const auto&) {}},
             event);
  RequestRound();
}

/// Logs how many attempts are used after a failed run. Members of a gang that
/// fail in one run show the same number.
void dispatcher::impl::LogAttempts(const workflow::job& job,
                                   const workflow::run_id& run) const {
  const std::uint32_t most = event_log.State().QueueOf(job).max_attempts;
  // The tasks of a job that has failed are dropped with its last run.
  const bool is_known = job.FindTaskIndex(run.task).has_value();
  spdlog::info("attempt_failed run={} gang={} attempts={} max_attempts={}",
               Name(run), job.spec.steps[run.task.step].gang,
               is_known ? job.CountAttempts(run.task) : most, most);
}

void dispatcher::impl::OnRunEnded(const workflow::run_ended& event) {
  // The end of one member ends the runs of the whole gang.
  const workflow::job* const job =
      event_log.State().FindJob(event.run.task.job);
  if (job == nullptr) return;
  ++load.ends;
  MarkWaiting(event.run.task.job);
  if (event.ending == workflow::run_end::kFailed) LogAttempts(*job, event.run);
  const workflow::task_id& task = event.run.task;
  const workflow::step& step = job->spec.steps[task.step];
  // The tasks of a job are dropped with its last run.
  const bool is_step_done =
      job->unfinished_tasks.empty()
          ? job->phase == workflow::job_phase::kSucceeded
          : job->unfinished_tasks[job->StepIndex(task.occurrence, task.step)] ==
                0;
  if (is_step_done) {
    timeline.LogEnd({task.job, task.occurrence, task.step}, job->queue.name,
                    step.gang, step.count, clock.Now());
  }
  workflow::run_id run = event.run;
  const std::uint32_t first = step.gang ? 0 : run.task.index;
  const std::uint32_t last = step.gang ? step.count - 1 : run.task.index;
  for (run.task.index = first; run.task.index <= last; ++run.task.index) {
    const auto monitor = placements.FindWorker(run);
    if (monitor == nullptr || event_log.State().IsAssigned(run)) continue;
    stats.EndedRuns(event.ending).Add();
    UpdateStatistics(*monitor, run, event.ending);
    monitor->runs.Remove(run);
    if (monitor->deregistered_at) monitor->wakeup.NotifyAll();
    placements.Remove(run);
  }
  if (is_step_done) LearnStep(*job, {task.job, task.occurrence, task.step});
  // If a member that has started ends, the workers end the rest of the gang.
  if (step.gang && !workflow::HadStarted(event.ending)) {
    StopGang(event.run, step.count);
  }
}

/// Notes the run time and the workers to avoid, and quarantines a worker
/// that keeps failing.
void dispatcher::impl::UpdateStatistics(worker_monitor& monitor,
                                        const workflow::run_id& run,
                                        workflow::run_end ending) {
  if (ending == workflow::run_end::kDone) {
    const tracked_run* const tracked = monitor.runs.Find(run);
    if (tracked != nullptr) NoteRunTime(monitor, run, *tracked);
    monitor.failed_jobs.clear();
  }
  const workflow::task_id& task = run.task;
  const step_key step{task.job, task.occurrence, task.step};
  if (workflow::IsLoss(ending))
    lost_workers[step].insert(monitor.worker.key.id);
  if (ending != workflow::run_end::kFailed) return;
  failed_workers[step][monitor.worker.key.id] = clock.Now();
  monitor.failed_jobs.insert(task.job);
  if (monitor.failed_jobs.size() < kQuarantineThreshold) return;
  monitor.avoid_until = clock.Now() + kQuarantineTime;
  spdlog::info("worker_quarantined worker={} failed_jobs={} avoided_ms={}",
               monitor.worker.key.id.v, monitor.failed_jobs.size(),
               kQuarantineTime.count());
}

/// Stops the other members of a gang's run, which would wait for the one that
/// was not started.
void dispatcher::impl::StopGang(const workflow::run_id& member,
                                std::uint32_t count) {
  workflow::run_id run = member;
  for (run.task.index = 0; run.task.index < count; ++run.task.index) {
    const auto monitor = placements.FindWorker(run);
    if (monitor != nullptr) Spawn(StopRun(monitor, run));
  }
}

void dispatcher::impl::OnJobFinal(const workflow::job& job) {
  if (active_jobs.erase(job.spec.id) == 0) return;
  spdlog::info("job_ended job={} phase={} failure={} queue={} age_ms={}",
               job.spec.id, Name(job.phase), Name(job.failure), job.queue.name,
               clock.WallNow() - job.accepted_at);
  ended_jobs.emplace_back(clock.Now() + settings.ended_job_retention,
                          job.spec.id);
  DropEligibility(job.spec.id);
  timeline.Drop(job.spec.id);
  finished_runs.Drop(job.spec.id);
  const auto is_of_job = [&](const auto& entry) {
    return entry.first.job == job.spec.id;
  };
  std::erase_if(failed_workers, is_of_job);
  std::erase_if(lost_workers, is_of_job);
  // A stop that is answered at once removes its run.
  std::vector<std::pair<workflow::run_id, std::shared_ptr<worker_monitor>>>
      runs;
  const placement_table::map& placed = placements.Runs();
  for (auto it = placed.lower_bound({{job.spec.id, 0, 0, 0}, 0});
       it != placed.end() && it->first.task.job == job.spec.id; ++it) {
    runs.emplace_back(it->first, it->second.monitor);
  }
  for (const auto& [run, monitor] : runs) Spawn(StopRun(monitor, run));
}

void dispatcher::impl::OnHeartbeat(const workflow::worker_key& key,
                                   std::int64_t clock_ms) {
  const auto it = monitors.find(key.id);
  ++load.heartbeats;
  if (it == monitors.end() || it->second->worker.key != key) return;
  CheckClock(*it->second, clock_ms);
  // It may be another writer's.
  if (!IsPossibleClock(*it->second, clock_ms)) return;
  worker_monitor& monitor = *it->second;
  monitor.last_reported =
      std::max(monitor.last_reported, SentAt(monitor, clock_ms));
  UpdateClock(monitor, clock_ms, reading_source::kReport);
}

/// Records events together with the jobs that have started since, and how long
/// that takes.
awaitable<core::outcome<void>> dispatcher::impl::Record(
    std::vector<workflow::event> events) {
  const core::time_point begin = clock.Now();
  std::set<std::string> started = std::exchange(started_jobs, {});
  for (const std::string& job : started) {
    events.emplace_back(workflow::job_started{job});
  }
  auto recorded = co_await event_log.Record(std::move(events));
  if (!recorded) started_jobs.merge(started);
  ++load.commits;
  load.commit_time += clock.Now() - begin;
  co_return recorded;
}

/// Notes that a worker has confirmed the start of a task of the job. The next
/// Record, a few milliseconds later in a busy cell, records it.
void dispatcher::impl::NoteStarted(const std::string& job) {
  const workflow::job* const found = event_log.State().FindJob(job);
  const bool is_queued =
      found != nullptr && found->phase == workflow::job_phase::kQueued;
  if (is_queued) started_jobs.insert(job);
}

awaitable<void> dispatcher::impl::RecordStartedJobs() {
  const auto self = shared_from_this();
  std::vector<workflow::event> no_others;
  const auto recorded = co_await Record(std::move(no_others));
  if (!recorded) {
    spdlog::warn("job_starts_not_recorded jobs={} error={}",
                 started_jobs.size(), core::Describe(recorded.error()));
  }
}

load_state dispatcher::impl::LoadState() const {
  load_state state;
  state.workers = monitors.size();
  state.waiting_jobs = waiting_jobs.size();
  for (const auto& [id, monitor] : monitors) {
    if (monitor->unanswered) {
      ++state.unanswering_workers;
      state.held_runs += monitor->runs.Size();
    } else if (clock.Now() < monitor->avoid_until ||
               monitor->backoff.IsActive(clock.Now())) {
      ++state.avoided_workers;
    }
  }
  for (const auto& [name, pool] : usable_pools) {
    state.usable_workers += pool.workers.size();
    for (const usable_worker& worker : pool.workers) {
      state.cpu_milli += worker.capacity.cpu_milli;
      // Negative where the capacity has shrunk below what runs.
      state.free_cpu_milli +=
          std::max<std::int64_t>(0, worker.free_at_round_start.cpu_milli);
    }
  }
  for (const auto& [key, view] : eligibility_by_step) {
    state.pending_checks += view.pending_calls;
  }
  return state;
}

/// Logs the load of the leader, so that a shortage of its processor time can be
/// told from a shortage of capacity or of tickets.
awaitable<void> dispatcher::impl::ReportLoop() {
  const auto self = shared_from_this();
  core::time_point begin = clock.Now();
  core::time_point waits_due = begin + kWaitReportInterval;
  while (!stopped) {
    const core::time_point due = clock.Now() + kLoopDelayInterval;
    co_await core::SleepUntil(clock, due);
    if (stopped) co_return;
    if (!started_jobs.empty()) Spawn(RecordStartedJobs());
    const core::time_point now = clock.Now();
    load.max_loop_delay = std::max(load.max_loop_delay, now - due);
    stats.loop_delay.Add(std::chrono::duration<double>(now - due).count());
    if (now < begin + kReportInterval) continue;
    ReviewPaces();
    LogLoad(load, LoadState(), now - begin);
    load = {};
    begin = now;
    if (now < waits_due) continue;
    LogUnansweringWorkers();
    LogWaitingJobs();
    ReportRunTimes();
    waits_due = now + kWaitReportInterval;
  }
}

awaitable<void> dispatcher::impl::PruneLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kPruneInterval);
    workflow::jobs_pruned due;
    const auto end = std::find_if(
        ended_jobs.begin(), ended_jobs.end(),
        [&](const auto& entry) { return entry.first > clock.Now(); });
    for (auto it = ended_jobs.begin(); it != end; ++it) {
      due.jobs.push_back(it->second);
    }
    const auto due_count = static_cast<std::ptrdiff_t>(due.jobs.size());
    if (stopped || due.jobs.empty()) continue;
    std::vector<workflow::event> events;
    events.emplace_back(std::move(due));
    const auto recorded = co_await Record(std::move(events));
    if (!recorded) {
      spdlog::warn("jobs_not_pruned error={}",
                   core::Describe(recorded.error()));
      continue;
    }
    // Jobs that have ended meanwhile are behind those that were due.
    ended_jobs.erase(ended_jobs.begin(), ended_jobs.begin() + due_count);
  }
}

dispatcher::dispatcher(dispatcher_settings settings, core::term term,
                       asio::any_io_executor executor, core::clock& clock,
                       event_log& event_log, worker_port& workers,
                       eligibility_port& eligibility,
                       metrics::registry& registry)
    : impl_(std::make_shared<impl>(settings, term, std::move(executor), clock,
                                   event_log, workers, eligibility, registry)) {
}

dispatcher::~dispatcher() { Stop(); }

void dispatcher::Start() { impl_->Start(); }
void dispatcher::Stop() { impl_->Stop(); }
void dispatcher::Prepare(const workflow::job_spec& spec,
                         const workflow::queue& queue,
                         const tenancy::terms& tenant) {
  impl_->Prepare(spec, queue, tenant);
}
void dispatcher::DiscardPrepared(const std::string& job) {
  impl_->DropEligibility(job);
}
void dispatcher::OnEvent(const workflow::event& event) {
  impl_->OnEvent(event);
}
void dispatcher::OnHeartbeat(const workflow::worker_key& key,
                             std::int64_t clock_ms) {
  impl_->OnHeartbeat(key, clock_ms);
}
void dispatcher::OnWorkerRefused() {
  ++impl_->load.workers_refused;
  impl_->stats.workers_refused.Add();
}
awaitable<core::outcome<bool>> dispatcher::ConfirmIncarnation(
    workflow::worker_key worker) {
  const auto self = impl_;
  co_return co_await self->ConfirmIncarnation(std::move(worker));
}
awaitable<bool> dispatcher::RemoveUnconfirmed(workflow::worker_key worker) {
  const auto self = impl_;
  co_return co_await self->RemoveUnconfirmed(std::move(worker));
}
awaitable<bool> dispatcher::Deregister(workflow::worker_key worker) {
  const auto self = impl_;
  co_return co_await self->Deregister(std::move(worker));
}

}  // namespace mangoplank::dispatch
