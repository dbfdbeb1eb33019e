#ifndef MANGOPLANK_SRC_DISPATCH_DISPATCH_METRICS_H_
#define MANGOPLANK_SRC_DISPATCH_DISPATCH_METRICS_H_

#include <array>
#include <string>

#include "mangoplank/metrics/registry.h"
#include "mangoplank/workflow/types.h"

namespace mangoplank::dispatch {

/// Metrics of the dispatcher.
struct dispatch_metrics {
  explicit dispatch_metrics(metrics::registry& metrics_registry)
      : registry(metrics_registry),
        orders_unanswered(
            registry.Counter("mangoplank_workflow_orders_unanswered_total",
                             "Starts that no worker confirmed in time")),
        starts(registry.Counter("mangoplank_workflow_starts_total",
                                "Starts that a worker confirmed")),
        workers_removed(
            registry.Counter("mangoplank_workflow_workers_removed_total",
                             "Workers given up by the leader")),
        workers_refused(
            registry.Counter("mangoplank_workflow_workers_refused_total",
                             "Reports of workers that could not be registered "
                             "for lack of connections")),
        ends_unread(registry.Counter(
            "mangoplank_workflow_ends_unread_total",
            "Ends of runs that a worker discarded before they were read")),
        leases_ended(registry.Counter(
            "mangoplank_workflow_leases_ended_total",
            "Leases that ended with runs on workers that sent heartbeats")),
        preempted(registry.Counter("mangoplank_workflow_preempted_total",
                                   "Runs stopped for a more urgent gang")),
        eligibility_checks(
            registry.Counter("mangoplank_workflow_inquiries_total",
                             "Calls to the eligibility service")),
        steps_learned(
            registry.Counter("mangoplank_workflow_steps_learned_total",
                             "Steps whose run time was learned")),
        forecast_error(registry.Gauge(
            "mangoplank_workflow_run_time_error",
            "Mean absolute error of expected run times, as a logarithm",
            {{"of", "forecast"}})),
        declared_error(registry.Gauge(
            "mangoplank_workflow_run_time_error",
            "Mean absolute error of expected run times, as a logarithm",
            {{"of", "declared"}})),
        slow_workers(registry.Gauge("mangoplank_workflow_slow_workers",
                                    "Workers set aside as slow")),
        active_jobs(registry.Gauge("mangoplank_workflow_active_jobs",
                                   "Accepted jobs that are not final")),
        first_start(
            registry.Histogram("mangoplank_workflow_first_start_seconds",
                               "Time from a job's acceptance to its first "
                               "confirmed start")),
        round_time(registry.Histogram("mangoplank_workflow_round_seconds",
                                      "Processor time of one round")),
        loop_delay(registry.Histogram("mangoplank_workflow_loop_delay_seconds",
                                      "Delay of a timer of the leader")),
        ended_runs(EndedRunCounters(registry)) {}

  metrics::counter& EndedRuns(workflow::run_end ending) {
    return *ended_runs.at(static_cast<std::size_t>(ending));
  }

  /// @param evidence by which the leader knows of the loss.
  metrics::counter& LostWorkers(std::string_view evidence) {
    return registry.Counter("mangoplank_workflow_workers_lost_total",
                            "Workers lost that were not draining",
                            {{"evidence", std::string(evidence)}});
  }

  metrics::registry& registry;
  metrics::counter& orders_unanswered;
  metrics::counter& starts;
  metrics::counter& workers_removed;
  metrics::counter& workers_refused;
  metrics::counter& ends_unread;
  metrics::counter& leases_ended;
  metrics::counter& preempted;
  metrics::counter& eligibility_checks;
  metrics::counter& steps_learned;
  metrics::gauge& forecast_error;
  metrics::gauge& declared_error;
  metrics::gauge& slow_workers;
  metrics::gauge& active_jobs;
  metrics::histogram& first_start;
  metrics::histogram& round_time;
  metrics::histogram& loop_delay;
  /// Ended runs, by workflow::run_end.
  std::array<metrics::counter*, workflow::kRunEndCount> ended_runs;

 private:
  static std::array<metrics::counter*, workflow::kRunEndCount> EndedRunCounters(
      metrics::registry& registry) {
    std::array<metrics::counter*, workflow::kRunEndCount> counters{};
    for (std::size_t i = 0; i < counters.size(); ++i) {
      counters.at(i) = &registry.Counter(
          "mangoplank_workflow_runs_ended_total",
          "Ended runs by how they ended",
          {{"how", std::string(Name(static_cast<workflow::run_end>(i)))}});
    }
    return counters;
  }
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_DISPATCH_METRICS_H_
