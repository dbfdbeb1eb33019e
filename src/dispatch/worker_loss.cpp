#include <spdlog/spdlog.h>

#include "dispatch/dispatcher_impl.h"

/// Ends of workers and of their leases, and what they mean for the runs there.
namespace mangoplank::dispatch {

using core::awaitable;

namespace {

/// A run that is at work for this long does not crash its worker.
constexpr core::milliseconds kProvenTime{30'000};
/// Longest wait of a request to deregister: a worker expects the answer within
/// a second.
constexpr core::milliseconds kDeregistrationWait{600};
/// Time after the first request to deregister in which a worker is kept waiting
/// for its runs to stop.
constexpr core::milliseconds kMaxStopWait{2'000};

bool IsGangMember(const workflow::state& state, const workflow::run_id& run) {
  const workflow::job* const job = state.FindJob(run.task.job);
  return job != nullptr && job->spec.steps[run.task.step].gang;
}

}  // namespace

/// @return whether the worker was alive that long after the run had started.
bool dispatcher::impl::HasSurvivedStart(const worker_monitor& monitor,
                                        const tracked_run& tracked,
                                        core::milliseconds time) const {
  return tracked.started_at && monitor.last_alive >= *tracked.started_at + time;
}

/// An order may have gone to a worker that had crashed before. So a loss says
/// something about a task only if the worker had its run, or had answered just
/// before the order.
/// @return how an ordered run ends whose worker is lost.
workflow::run_end dispatcher::impl::EndingAfterLoss(
    const worker_monitor& monitor, const tracked_run& tracked,
    worker_loss loss) const {
  if (HasSurvivedStart(monitor, tracked, kProvenTime)) {
    return workflow::run_end::kLost;
  }
  if (!tracked.started_at && !tracked.worker_confirmed) {
    return workflow::run_end::kLostUnconfirmed;
  }
  if (loss == worker_loss::kSilent) return workflow::run_end::kUnreachable;
  return HasSurvivedStart(monitor, tracked, kStartTime)
             ? workflow::run_end::kCrashed
             : workflow::run_end::kCrashedAtStart;
}

/// Decides how the runs of a worker end that was lost without draining.
void dispatcher::impl::OnWorkerLost(worker_monitor& monitor, worker_loss loss) {
  if (monitor.worker.draining || monitor.deregistered_at) return;
  stats.LostWorkers(Name(loss)).Add();
  std::size_t starting = 0;
  std::string first;
  for (const auto& [run, tracked] : monitor.runs.Runs()) {
    if (!tracked.ordered) continue;
    // Lost with a former incarnation.
    if (tracked.loss) continue;
    const bool survived = HasSurvivedStart(monitor, tracked, kStartTime);
    if (!survived && starting++ == 0) first = Name(run);
    monitor.runs.Find(run)->loss = EndingAfterLoss(monitor, tracked, loss);
  }
  spdlog::warn(
      "worker_lost worker={} born={} evidence={} runs={} starting={} "
      "first_starting={}",
      monitor.worker.key.id.v, monitor.worker.key.incarnation, Name(loss),
      monitor.runs.Size(), starting, first);
}

awaitable<void> dispatcher::impl::RemoveWorker(
    std::shared_ptr<worker_monitor> monitor, worker_loss loss,
    std::string reason) {
  const auto self = shared_from_this();
  if (monitor->removed || std::exchange(monitor->removing, true)) co_return;
  OnWorkerLost(*monitor, loss);
  stats.workers_removed.Add();
  spdlog::warn("worker_removed worker={} born={} reason=\"{}\" runs={}",
               monitor->worker.key.id.v, monitor->worker.key.incarnation,
               reason, monitor->runs.Size());
  while (!stopped && !monitor->removed) {
    std::vector<workflow::event> events;
    for (const auto& [run, tracked] : monitor->runs.Runs()) {
      if (!tracked.loss || !event_log.State().IsAssigned(run)) continue;
      spdlog::info("run_lost run={} worker={} how={} started={} confirmed={}",
                   Name(run), monitor->worker.key.id.v, Name(*tracked.loss),
                   tracked.started_at.has_value(), tracked.worker_confirmed);
      events.emplace_back(workflow::run_ended{run, *tracked.loss, {}});
    }
    events.emplace_back(workflow::worker_removed{monitor->worker.key});
    const auto recorded = co_await Record(std::move(events));
    if (recorded) co_return;
    spdlog::warn("removal_not_recorded worker={} error={}",
                 monitor->worker.key.id.v, core::Describe(recorded.error()));
    co_await core::SleepFor(clock, kRetryPause);
  }
}

/// @return how a run ends whose worker's lease has ended without an answer.
workflow::run_end dispatcher::impl::EndingAfterLease(
    const tracked_run& tracked) const {
  if (tracked.loss) return *tracked.loss;
  return tracked.started_at ? workflow::run_end::kLeaseExpired
                            : workflow::run_end::kNotStarted;
}

/// Ends the runs of a worker that sends heartbeats and answers no order. Its
/// lease has ended by all orders that were sent, so that it has killed what it
/// ran and refuses the starts that are still on their way. The worker stays
/// registered: it may answer again.
awaitable<void> dispatcher::impl::EndLapsedRuns(
    std::shared_ptr<worker_monitor> monitor) {
  const auto self = shared_from_this();
  std::vector<workflow::event> events;
  std::vector<workflow::run_id> unrecorded;
  for (const auto& [run, tracked] : monitor->runs.Runs()) {
    if (!tracked.ordered) continue;
    if (!event_log.State().IsAssigned(run)) {
      unrecorded.push_back(run);
      continue;
    }
    const workflow::run_end ending = EndingAfterLease(tracked);
    spdlog::info("run_lapsed run={} worker={} how={}", Name(run),
                 monitor->worker.key.id.v, Name(ending));
    // The other members of a gang have listed a later checkpoint with their
    // ends.
    const bool is_gang = IsGangMember(event_log.State(), run);
    events.emplace_back(workflow::run_ended{
        run, ending, is_gang ? std::string() : tracked.checkpoint});
  }
  for (const workflow::run_id& run : unrecorded) {
    monitor->runs.Remove(run);
    placements.Remove(run);
    MarkWaiting(run.task.job);
  }
  if (events.empty()) co_return;
  monitor->has_lapsed = true;
  stats.leases_ended.Add();
  spdlog::warn("worker_lease_ended worker={} born={} unanswered_ms={} runs={}",
               monitor->worker.key.id.v, monitor->worker.key.incarnation,
               std::chrono::duration_cast<core::milliseconds>(
                   clock.Now() - monitor->unanswered_since)
                   .count(),
               events.size());
  const auto recorded = co_await Record(std::move(events));
  if (!recorded) {
    spdlog::warn("lapses_not_recorded worker={} error={}",
                 monitor->worker.key.id.v, core::Describe(recorded.error()));
  }
}

/// A worker that deregisters runs its tasks on until it has the answer, or for
/// some seconds if that is lost. Runs that it does not report as ended count as
/// active until its lease has ended; see MonitorWorker.
awaitable<bool> dispatcher::impl::Deregister(workflow::worker_key worker) {
  const auto self = shared_from_this();
  const auto monitor = FindMonitor(worker);
  if (monitor == nullptr || monitor->removed) co_return true;
  const core::time_point now = clock.Now();
  if (!monitor->deregistered_at) monitor->deregistered_at = now;
  spdlog::info(
      "worker_deregisters worker={} born={} runs={} lease_ms={}", worker.id.v,
      worker.incarnation, monitor->runs.Size(),
      std::chrono::duration_cast<core::milliseconds>(monitor->lease_end - now)
          .count());
  monitor->wakeup.NotifyAll();
  std::vector<workflow::run_id> ordered;
  for (const auto& [run, tracked] : monitor->runs.Runs()) {
    if (tracked.ordered) ordered.push_back(run);
  }
  for (const workflow::run_id& run : ordered) Spawn(StopRun(monitor, run));
  while (!stopped && !monitor->removed) {
    if (monitor->runs.IsEmpty()) {
      std::string reason = "deregistered, and all runs have ended";
      Spawn(
          RemoveWorker(monitor, worker_loss::kDeregistered, std::move(reason)));
    }
    const bool notified =
        co_await monitor->wakeup.WaitUntil(now + kDeregistrationWait);
    if (!notified) break;
  }
  co_return !stopped &&
      (monitor->removed ||
       clock.Now() >= *monitor->deregistered_at + kMaxStopWait);
}

awaitable<bool> dispatcher::impl::RemoveUnconfirmed(
    workflow::worker_key worker) {
  const auto monitor = FindMonitor(worker);
  if (monitor == nullptr || monitor->removed || monitor->synced ||
      clock.Now() <= monitor->lease_end) {
    co_return false;
  }
  std::string reason = "never answered, and an earlier incarnation reports";
  co_await RemoveWorker(monitor, worker_loss::kSilent, std::move(reason));
  co_return monitor->removed;
}

}  // namespace mangoplank::dispatch
