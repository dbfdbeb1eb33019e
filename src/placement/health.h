#ifndef MANGOPLANK_PLACEMENT_HEALTH_H_
#define MANGOPLANK_PLACEMENT_HEALTH_H_

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "job_table.h"
#include "mangoplank/placement/policy.h"
#include "worker_pool.h"

namespace mangoplank::placement {

/// Tells faulty workers from faulty jobs. A worker on which several different
/// jobs fail without a success in between is quarantined and then probed with
/// one task at a time. A job that fails on several workers without a success
/// is delayed, and its failures do not count against workers.
class health {
 public:
  health(const placement::policy& policy, worker_pool& pool);

  /// Records that a task of the job failed on the worker.
  void OnFailure(job_entry& job, std::int32_t worker, core::time_point now);
  /// Records that a task of the job succeeded on the worker.
  void OnSuccess(job_entry& job, std::int32_t worker);
  /// Makes the next probe due, as the worker has a new incarnation.
  void OnRestart(std::int32_t worker, core::time_point now);
  /// Schedules another probe, as one ended without success or failure.
  void OnProbeInconclusive(std::int32_t worker, core::time_point now);

  /// @return a quarantined worker whose probe is due and that fits the task.
  std::optional<std::int32_t> FindProbeWorker(const worker_query& query,
                                              core::time_point now) const;
  void OnProbeStarted(std::int32_t worker);

  /// @return whether the job's failures do not count against workers.
  bool IsFaulty(const job_entry& job) const;
  std::size_t QuarantinedCount() const { return quarantined_count_; }

 private:
  struct record {
    /// Distinct jobs that failed since the last success.
    std::vector<core::revision> failed_jobs;
    core::duration probe_interval{};
    core::time_point probe_at{};
    bool probe_scheduled = false;
  };

  record& RecordOf(std::int32_t worker);
  void ScheduleProbe(std::int32_t worker, core::time_point at);
  void CancelProbe(std::int32_t worker);
  void Quarantine(std::int32_t worker, core::time_point now);
  void EndQuarantine(std::int32_t worker);
  void DelayJob(job_entry& job, core::time_point now) const;
  void RemoveFailure(core::revision job, std::int32_t worker);

  policy policy_;
  worker_pool& pool_;
  std::vector<record> records_;
  std::set<std::pair<core::time_point, std::int32_t>> probes_;
  std::size_t quarantined_count_ = 0;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_HEALTH_H_
