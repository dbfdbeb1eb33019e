#ifndef MANGOPLANK_SRC_DISPATCH_METERS_H_
#define MANGOPLANK_SRC_DISPATCH_METERS_H_

#include <array>
#include <string>

#include "mangoplank/metrics/registry.h"
#include "mangoplank/workflow/types.h"

namespace mangoplank::dispatch {

/// Metrics of the leader's work.
struct meters {
  explicit meters(metrics::registry& r)
      : orders_unanswered(
            r.Counter("mangoplank_workflow_orders_unanswered_total",
                      "Starts that no worker confirmed in time")),
        starts(r.Counter("mangoplank_workflow_starts_total",
                         "Starts that a worker confirmed")),
        workers_removed(r.Counter("mangoplank_workflow_workers_removed_total",
                                  "Workers given up by the leader")),
        preempted(r.Counter("mangoplank_workflow_preempted_total",
                            "Runs stopped for a more urgent gang")),
        inquiries(r.Counter("mangoplank_workflow_inquiries_total",
                            "Calls to the eligibility service")),
        active_jobs(r.Gauge("mangoplank_workflow_active_jobs",
                            "Accepted jobs that are not final")),
        first_start(r.Histogram("mangoplank_workflow_first_start_seconds",
                                "Time from a job's acceptance to its first "
                                "confirmed start")),
        ends(Ends(r)) {}

  metrics::counter& Ended(workflow::run_end how) {
    return *ends.at(static_cast<std::size_t>(how));
  }

  metrics::counter& orders_unanswered;
  metrics::counter& starts;
  metrics::counter& workers_removed;
  metrics::counter& preempted;
  metrics::counter& inquiries;
  metrics::gauge& active_jobs;
  metrics::histogram& first_start;
  /// Ended runs, by workflow::run_end.
  std::array<metrics::counter*, 8> ends;

 private:
  static std::array<metrics::counter*, 8> Ends(metrics::registry& r) {
    std::array<metrics::counter*, 8> out{};
    for (std::size_t i = 0; i < out.size(); ++i) {
      out.at(i) = &r.Counter(
          "mangoplank_workflow_runs_ended_total",
          "Ended runs by how they ended",
          {{"how", std::string(Name(static_cast<workflow::run_end>(i)))}});
    }
    return out;
  }
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_METERS_H_
