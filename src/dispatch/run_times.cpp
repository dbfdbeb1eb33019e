#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/dispatcher_impl.h"
#include "dispatch/placement_needs.h"
#include "mangoplank/durations/slow_workers.h"

/// Learning of run times, and the decisions that use them.
namespace mangoplank::dispatch {

namespace {

/// Most lines of one report on run times.
constexpr std::size_t kMaxReportedQueues = 8;

double ToMs(core::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

durations::task_kind KindOf(const std::string& queue, std::uint32_t number,
                            const workflow::step& step) {
  return {queue, number, static_cast<double>(step.estimate_ms)};
}

/// @return whether a run of the step shows the pace of its worker. A gang works
/// at the pace of its slowest member, and remote data takes time of its own.
bool ShowsPace(const workflow::step& step, const workflow::worker& worker) {
  return !step.gang && !step.same_rack && HasLabel(worker, step.preferred_rack);
}

}  // namespace

/// Notes the time of a run that has succeeded. Runs of which the leader does
/// not know the start, that resumed from a checkpoint, or of which it may have
/// read the end late, are left out.
void dispatcher::impl::NoteRunTime(const worker_monitor& monitor,
                                   const workflow::run_id& run,
                                   const tracked_run& tracked) {
  const workflow::job* const job = event_log.State().FindJob(run.task.job);
  if (!settings.learn_run_times || job == nullptr || !tracked.is_whole ||
      !tracked.started_at || monitor.unanswered_since >= *tracked.started_at ||
      !active_jobs.contains(run.task.job)) {
    return;
  }
  const workflow::step& step = job->spec.steps[run.task.step];
  // Such a step is never done, so that nothing would be learned.
  if (step.long_running) return;
  durations::whole_run whole{ToMs(clock.Now() - *tracked.started_at), {}};
  if (ShowsPace(step, monitor.worker)) whole.worker = monitor.worker.key.id;
  finished_runs.Add({run.task.job, run.task.occurrence, run.task.step},
                    std::move(whole));
}

/// Learns the run times of a step that has succeeded.
void dispatcher::impl::LearnStep(const workflow::job& job,
                                 const step_key& key) {
  std::vector<durations::whole_run> runs = finished_runs.Take(key);
  if (runs.empty()) return;
  const workflow::step& step = job.spec.steps[key.step];
  if (step.gang) {
    // The members work from the start of the last one on.
    if (runs.size() != step.count) return;
    runs = {*std::min_element(runs.begin(), runs.end())};
  }
  const auto learned = run_times.Learn(
      {KindOf(job.queue.name, key.step, step), std::move(runs), clock.Now()});
  if (!learned) return;
  stats.steps_learned.Add();
  accuracy.Add(job.queue.name, *learned, static_cast<double>(step.estimate_ms));
}

/// @return the expected run time of a task in milliseconds.
double dispatcher::impl::ExpectedRunTimeMs(const workflow::queue& queue,
                                           std::uint32_t number,
                                           const workflow::step& step) const {
  return run_times.Forecast(KindOf(queue.name, number, step)).median_ms;
}

/// Decides anew which workers are set aside because they are slow.
void dispatcher::impl::ReviewPaces() {
  if (!settings.avoid_slow_workers) return;
  const core::time_point now = clock.Now();
  std::map<std::string, std::vector<durations::paced_worker>> pools;
  for (const auto& [id, monitor] : monitors) {
    if (!IsAnswering(*monitor, now)) continue;
    pools[monitor->worker.pool].push_back(
        {id, run_times.PaceOf(id, now), monitor->is_slow});
  }
  std::size_t slow_count = 0;
  for (const auto& [pool, workers] : pools) {
    const auto slow = durations::ChooseSlowWorkers(workers, {});
    for (const durations::paced_worker& worker : workers) {
      const bool is_slow =
          std::binary_search(slow.begin(), slow.end(), worker.worker);
      if (is_slow == worker.is_set_aside) continue;
      monitors[worker.worker]->is_slow = is_slow;
      spdlog::info("worker_pace worker={} set_aside={} factor={:.2f}",
                   worker.worker.v, is_slow, worker.pace.factor);
    }
    slow_count += slow.size();
  }
  stats.slow_workers.Set(static_cast<double>(slow_count));
}

/// Logs expected against actual run times by queue since the last report.
void dispatcher::impl::ReportRunTimes() {
  const auto queues = accuracy.Take(kMaxReportedQueues);
  double steps = 0;
  double forecast_error = 0;
  double declared_error = 0;
  for (const durations::queue_accuracy& queue : queues) {
    const auto weight = static_cast<double>(queue.steps);
    steps += weight;
    forecast_error += weight * queue.forecast_error;
    declared_error += weight * queue.declared_error;
    spdlog::info(
        "run_times queue={} steps={} actual_ms={:.0f} expected_ms={:.0f} "
        "declared_ms={:.0f} forecast_error={:.2f} declared_error={:.2f} "
        "in_range={:.2f}",
        queue.queue, queue.steps, queue.actual_ms, queue.expected_ms,
        queue.declared_ms, queue.forecast_error, queue.declared_error,
        queue.share_in_range);
  }
  if (steps <= 0) return;
  stats.forecast_error.Set(forecast_error / steps);
  stats.declared_error.Set(declared_error / steps);
}

}  // namespace mangoplank::dispatch
