#include <spdlog/spdlog.h>

#include "dispatch/dispatcher_impl.h"

/// Ends of workers, and what they mean for their runs.
namespace mangoplank::dispatch {

using core::awaitable;

namespace {

/// A run that is at work for this long does not crash its worker.
constexpr core::milliseconds kProvenTime{30'000};

}  // namespace

/// @return whether the worker was alive that long after the run had started.
bool dispatcher::impl::HasSurvivedStart(const worker_monitor& monitor,
                                        const tracked_run& tracked,
                                        core::milliseconds time) const {
  return tracked.started_at && monitor.last_alive >= *tracked.started_at + time;
}

/// Attributes the loss of a worker that was not draining to the runs that it
/// had, unless they had been at work for long. An order may also have reached a
/// worker that had crashed before.
void dispatcher::impl::OnWorkerLost(worker_monitor& monitor, worker_loss loss) {
  if (monitor.worker.draining) return;
  stats.LostWorkers(Name(loss)).Add();
  std::size_t starting = 0;
  std::string first;
  for (const auto& [run, tracked] : monitor.runs.Runs()) {
    if (!tracked.ordered) continue;
    const bool survived = HasSurvivedStart(monitor, tracked, kStartTime);
    if (!survived && starting++ == 0) first = Name(run);
    auto ending = workflow::run_end::kCrashedAtStart;
    if (HasSurvivedStart(monitor, tracked, kProvenTime)) {
      ending = workflow::run_end::kLost;
    } else if (loss == worker_loss::kSilent) {
      ending = workflow::run_end::kUnreachable;
    } else if (survived) {
      ending = workflow::run_end::kCrashed;
    }
    monitor.runs.Find(run)->loss = ending;
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
      spdlog::info("run_lost run={} worker={} how={}", Name(run),
                   monitor->worker.key.id.v, Name(*tracked.loss));
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
