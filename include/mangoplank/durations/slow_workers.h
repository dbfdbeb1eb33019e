#ifndef MANGOPLANK_DURATIONS_SLOW_WORKERS_H_
#define MANGOPLANK_DURATIONS_SLOW_WORKERS_H_

#include <vector>

#include "mangoplank/durations/estimator.h"

namespace mangoplank::durations {

/// A worker of a pool that answers.
struct paced_worker {
  core::worker_id worker;
  worker_pace pace;
  /// Whether the last decision has set it aside.
  bool is_set_aside = false;

  friend bool operator==(const paced_worker&, const paced_worker&) = default;
  friend auto operator<=>(const paced_worker&, const paced_worker&) = default;
};

/// When a worker counts as slow.
struct slow_worker_limits {
  /// A worker is set aside if its least factor is at least this.
  double enter_factor = 1.4;
  /// One that is set aside comes back below this factor.
  double leave_factor = 1.2;
  /// Largest share of the pool's workers that may be set aside.
  double max_share = 0.2;

  friend bool operator==(const slow_worker_limits&,
                         const slow_worker_limits&) = default;
};

/// Decides which workers of a pool get no new tasks for now because they are
/// slow. The slowest go first; the share is bounded, so that the rest can carry
/// the load. Evidence grows old, so that each one is tried again.
/// @return ids in ascending order.
std::vector<core::worker_id> ChooseSlowWorkers(
    const std::vector<paced_worker>& pool, const slow_worker_limits& limits);

}  // namespace mangoplank::durations

#endif  // MANGOPLANK_DURATIONS_SLOW_WORKERS_H_
