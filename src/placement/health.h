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

/// Tells workers that fail every task from jobs that fail on every worker.
/// A worker on which several different jobs fail, none succeeding between, is
/// quarantined and then probed with one task at a time. A job that fails on
/// several workers without a success is delayed and not held against workers.
class health {
 public:
  health(const policy& p, worker_pool& pool);

  /// A start of `j` failed on `w`.
  void OnFailure(job& j, std::int32_t w, core::time_point now);
  /// A task of `j` ended well on `w`.
  void OnSuccess(job& j, std::int32_t w);
  /// A worker came back under a new incarnation; its next probe is due.
  void OnRestart(std::int32_t w, core::time_point now);
  /// A probe ended without a verdict.
  void OnProbeLost(std::int32_t w, core::time_point now);

  /// @return a worker whose probe is due and that has room.
  std::optional<std::int32_t> ProbeFor(const worker_query& q,
                                       core::time_point now) const;
  void ProbeStarted(std::int32_t w);

  /// @return whether the job's failures don't count against workers.
  bool IsBad(const job& j) const;
  std::size_t Quarantined() const { return quarantined_; }

 private:
  struct record {
    /// Distinct jobs that failed since the last success.
    std::vector<core::revision> failed;
    core::duration interval{};
    core::time_point probe_at{};
    bool scheduled = false;
  };

  record& Of(std::int32_t w);
  void Schedule(std::int32_t w, core::time_point at);
  void Unschedule(std::int32_t w);
  void Quarantine(std::int32_t w, core::time_point now);
  void Release(std::int32_t w);
  void Delay(job& j, core::time_point now) const;
  void Acquit(core::revision job, std::int32_t w);

  policy policy_;
  worker_pool& pool_;
  std::vector<record> records_;
  std::set<std::pair<core::time_point, std::int32_t>> probes_;
  std::size_t quarantined_ = 0;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_HEALTH_H_
