#ifndef MANGOPLANK_PLACEMENT_POLICY_H_
#define MANGOPLANK_PLACEMENT_POLICY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>

#include "mangoplank/core/types.h"

namespace mangoplank::placement {

/// What a placement should favour. Only the ratios matter.
struct weights {
  /// Time that a task waits.
  double waiting = 1;
  /// Room left over on a worker in amounts that no task can use.
  double packing = 1;
  /// Bytes between regions.
  double control = 1;

  friend bool operator==(const weights&, const weights&) = default;
};

/// Looks up workers by class of free room and scores the tightest ones.
struct room_index {
  /// Workers scored for one task in each region.
  std::size_t candidates = 16;

  friend bool operator==(const room_index&, const room_index&) = default;
};
/// Scores every worker. Reference for tests and measurements.
struct full_scan {
  friend bool operator==(const full_scan&, const full_scan&) = default;
};
/// Scores workers drawn at random, and every worker if none of them has room.
struct sampled_scan {
  std::size_t samples = 32;

  friend bool operator==(const sampled_scan&, const sampled_scan&) = default;
};
/// Takes the first worker with room. Baseline for measurements.
struct first_fit {
  friend bool operator==(const first_fit&, const first_fit&) = default;
};
/// How a worker is found for a task.
using search = std::variant<room_index, full_scan, sampled_scan, first_fit>;

/// Tuning of the scheduler. Durations are in the units of their types.
struct policy {
  weights w;
  search s;
  /// Most decisions of one round; bounds the size of one commit.
  std::size_t max_decisions = 1000;
  /// Most evictions of one round, since stopping a task costs more than
  /// starting one.
  std::size_t max_evictions = 200;
  /// Searches without a result after which a department's queue is left for
  /// this round, so that a long queue of large tasks has a bounded cost.
  std::size_t backfill_depth = 64;
  /// Time after which past usage counts half in a department's share.
  core::milliseconds history_half_life{std::chrono::minutes(10)};
  /// Part of the share that past usage decides, between 0 and 1.
  double history_weight = 0.5;
  /// A short task may pass tasks that arrived at most this much earlier.
  core::milliseconds max_run_time_credit{std::chrono::minutes(10)};
  /// Time that a task of equal weights for waiting and control waits for room
  /// in the region of its job before it goes to another one.
  core::milliseconds cross_region_wait{std::chrono::seconds(5)};
  /// Workers with enough to evict that are compared before one is chosen.
  std::size_t reclaim_candidates = 16;
  /// Room freed by an eviction is held this long for the task it is meant for.
  core::milliseconds pledge_limit{std::chrono::seconds(15)};
  /// A gang job holds its reservation this long before the next one may try.
  core::milliseconds reservation_limit{std::chrono::minutes(10)};
  /// Distinct jobs that must fail on a worker, without a success between, to
  /// quarantine it.
  std::size_t quarantine_jobs = 3;
  /// Distinct workers on which a job must fail, without a success, for its
  /// failures not to count against workers.
  std::size_t bad_job_workers = 3;
  /// Time before the first probe of a quarantined worker; doubles each time.
  core::milliseconds probe_after{std::chrono::seconds(30)};
  core::milliseconds probe_after_max{std::chrono::minutes(30)};
  /// Delay of a job after its second failure in a row; doubles each time.
  core::milliseconds backoff{std::chrono::seconds(1)};
  core::milliseconds backoff_max{std::chrono::minutes(5)};
  /// Restarts of failed tasks that a department may save up.
  double retry_burst = 100;
  /// Restarts of failed tasks that a department gains each second.
  double retry_rate = 1;

  friend bool operator==(const policy&, const policy&) = default;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_POLICY_H_
