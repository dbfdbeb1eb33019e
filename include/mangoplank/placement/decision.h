#ifndef MANGOPLANK_PLACEMENT_DECISION_H_
#define MANGOPLANK_PLACEMENT_DECISION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "mangoplank/cell/command.h"
#include "mangoplank/core/types.h"

namespace mangoplank::placement {

/// Assigns tasks to workers, all or none of the group.
struct place {
  std::vector<cell::task_placement> group;

  friend bool operator==(const place&, const place&) = default;
};

enum class evict_reason : std::uint8_t {
  /// The task uses borrowed capacity that the owning department needs.
  kReclaimed,
  /// More urgent work of the same department needs the resources, and with it
  /// the department is above its quota.
  kPreempted,
  /// The task was backfilled onto a worker reserved for a gang job.
  kBackfilled,
  /// A newer generation of the service replaces the task.
  kReplaced,
  /// The worker of a service task is draining.
  kDrained
};

/// Stops tasks and returns them to the waiting state.
struct evict {
  std::vector<cell::task_id> tasks;
  /// The tasks can save a checkpoint first.
  bool checkpoint = false;
  evict_reason reason = evict_reason::kReclaimed;

  friend bool operator==(const evict&, const evict&) = default;
};

/// A request of a job that no worker can satisfy.
struct shortage {
  enum class constraint_kind : std::uint8_t {
    kCpu,
    kMemory,
    kAccelerators,
    /// Each amount is available, but no single worker has all of them.
    kCombination,
    /// The region has no workers.
    kRegion,
    /// Single tasks fit, but not all tasks of the gang at once.
    kGangSize
  };
  constraint_kind kind = constraint_kind::kCpu;
  /// Requested amount, in the unit of the kind; tasks for kGangSize.
  std::int64_t requested = 0;
  /// Largest available amount.
  std::int64_t available = 0;

  friend bool operator==(const shortage&, const shortage&) = default;
};

/// The job does not fit even if all workers are empty.
struct unsatisfiable {
  cell::object_key job;
  core::revision uid = 0;
  std::vector<shortage> shortages;

  friend bool operator==(const unsatisfiable&, const unsatisfiable&) = default;
};

using decision = std::variant<place, evict, unsatisfiable>;

/// Decisions of one scheduling round, in the order in which they were made.
struct round {
  std::vector<decision> decisions;

  friend bool operator==(const round&, const round&) = default;
};

/// Why a job's tasks wait, for its owner. Does not name other departments.
struct explanation {
  std::vector<std::string> lines;

  friend bool operator==(const explanation&, const explanation&) = default;
};

/// Resource usage of a department and the share it is entitled to.
struct share {
  core::department_id department;
  /// Resources held by its own tasks, without those of its children.
  core::resources used;
  /// Largest of the three fractions of the cell's resources that it uses, with
  /// its children, between 0 and 1.
  double dominant_share = 0;
  /// Exponentially decayed mean of `dominant_share`.
  double average_share = 0;
  /// Fraction of the cell that it gets if every department uses its share.
  double entitled = 0;
  /// Amounts above its quota.
  core::resources borrowed;

  friend bool operator==(const share&, const share&) = default;
};

/// @return one line of text with units, for operators and logs.
std::string Describe(const placement::shortage& shortage);

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_DECISION_H_
