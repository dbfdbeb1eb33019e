#ifndef MANGOPLANK_PLACEMENT_POLICY_H_
#define MANGOPLANK_PLACEMENT_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "mangoplank/core/types.h"

namespace mangoplank::placement {

/// Relative weights of the placement objectives. Only the ratios matter.
struct weights {
  /// Waiting time of tasks.
  double waiting = 1;
  /// Fragmentation: free capacity of a worker that no task can use.
  double packing = 1;
  /// Bytes sent between regions.
  double cross_region = 1;

  friend bool operator==(const weights&, const weights&) = default;
};

/// Looks up workers by size class of free capacity and scores the best fits.
struct capacity_index {
  /// Workers scored for one task in each region.
  std::size_t candidates = 16;

  friend bool operator==(const capacity_index&,
                         const capacity_index&) = default;
};
/// Scores every worker. Reference for tests and benchmarks.
struct full_scan {
  friend bool operator==(const full_scan&, const full_scan&) = default;
};
/// Scores randomly sampled workers, and every worker if none of them fits.
struct sampled_scan {
  std::size_t samples = 32;

  friend bool operator==(const sampled_scan&, const sampled_scan&) = default;
};
/// Takes the first worker that fits. Baseline for benchmarks.
struct first_fit {
  friend bool operator==(const first_fit&, const first_fit&) = default;
};
/// Search strategy for the worker of a task.
using search = std::variant<capacity_index, full_scan, sampled_scan, first_fit>;

/// Scheduler parameters. Durations are in the units of their types.
struct policy {
  placement::weights weights;
  placement::search search;
  /// Maximum decisions of one round; bounds the size of one commit.
  std::size_t max_decisions = 1000;
  /// Maximum evictions of one round, since stopping a task costs more than
  /// starting one.
  std::size_t max_evictions = 200;
  /// Failed searches after which a department's queue is skipped for the rest
  /// of the round, which bounds the cost of a long queue of large tasks.
  std::size_t backfill_depth = 64;
  /// Half-life of past usage in a department's share.
  core::milliseconds history_half_life{std::chrono::minutes(10)};
  /// Weight of past usage in the share, between 0 and 1.
  double history_weight = 0.5;
  /// A short task may overtake tasks that arrived at most this much earlier.
  core::milliseconds max_run_time_credit{std::chrono::minutes(10)};
  /// Time that a task waits for capacity in the region of its job before it is
  /// placed in another one, for equal weights of waiting and cross_region.
  core::milliseconds cross_region_wait{std::chrono::seconds(5)};
  /// Workers with enough evictable tasks that are compared for one task.
  std::size_t reclaim_candidates = 16;
  /// Capacity freed by an eviction is earmarked this long for its task.
  core::milliseconds earmark_limit{std::chrono::seconds(15)};
  /// A gang job holds its reservation this long before another may reserve.
  core::milliseconds reservation_limit{std::chrono::minutes(10)};
  /// A worker is quarantined when this many distinct jobs fail on it without a
  /// success in between.
  std::size_t quarantine_min_jobs = 3;
  /// Failures of a job that failed on this many distinct workers without a
  /// success do not count against workers.
  std::size_t faulty_job_min_workers = 3;
  /// Time before the first probe of a quarantined worker; doubles each time.
  core::milliseconds initial_probe_delay{std::chrono::seconds(30)};
  core::milliseconds max_probe_delay{std::chrono::minutes(30)};
  /// Delay of a job after its second failure in a row; doubles each time.
  core::milliseconds initial_backoff{std::chrono::seconds(1)};
  core::milliseconds max_backoff{std::chrono::minutes(5)};
  /// Size of a department's retry budget, in restarts of failed tasks.
  double retry_burst = 100;
  /// Restarts of failed tasks that are added to the budget each second.
  double retries_per_second = 1;

  friend bool operator==(const policy&, const policy&) = default;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_POLICY_H_
