#ifndef MANGOPLANK_PLACEMENT_DECISION_H_
#define MANGOPLANK_PLACEMENT_DECISION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "mangoplank/cell/command.h"
#include "mangoplank/core/types.h"

namespace mangoplank::placement {

/// Assign these tasks, all or none.
struct place {
  std::vector<cell::task_placement> group;

  friend bool operator==(const place&, const place&) = default;
};

enum class evict_reason : std::uint8_t {
  /// The work runs on borrowed room that its owner needs.
  kReclaimed,
  /// More urgent work of the same department needs room, and with it the
  /// department is above its quota.
  kMoreUrgent,
  /// The work runs on room that was kept for a gang job and lent meanwhile.
  kLent,
  /// A newer generation of the service replaces the task.
  kReplaced,
  /// The worker of a service task is draining.
  kDrained
};

/// Stop these tasks and put them back to waiting.
struct evict {
  std::vector<cell::task_id> tasks;
  /// The tasks can save their progress first.
  bool checkpoint = false;
  evict_reason reason = evict_reason::kReclaimed;

  friend bool operator==(const evict&, const evict&) = default;
};

/// What a job asks for that no worker has.
struct shortage {
  enum class kind : std::uint8_t {
    kCpu,
    kMemory,
    kAccelerators,
    /// Each amount exists, but on no single worker together.
    kCombination,
    /// The region has no workers.
    kRegion,
    /// Single tasks fit, but never all of a gang at a time.
    kGangSize
  };
  kind k = kind::kCpu;
  /// Amount asked for, in the unit of the kind; tasks for kGangSize.
  std::int64_t need = 0;
  /// Largest amount that exists.
  std::int64_t most = 0;

  friend bool operator==(const shortage&, const shortage&) = default;
};

/// No worker could hold the job even if it were empty.
struct unsatisfiable {
  cell::object_key job;
  core::revision uid = 0;
  std::vector<shortage> what;

  friend bool operator==(const unsatisfiable&, const unsatisfiable&) = default;
};

using decision = std::variant<place, evict, unsatisfiable>;

/// Decisions of one call, in the order in which they were made.
struct round {
  std::vector<decision> decisions;

  friend bool operator==(const round&, const round&) = default;
};

/// Why a job's tasks wait, for its owner. Names no other department.
struct explanation {
  std::vector<std::string> lines;

  friend bool operator==(const explanation&, const explanation&) = default;
};

/// What a department uses against what it is due.
struct share {
  core::department_id department;
  /// Room held by its tasks, without its children's.
  core::resources used;
  /// Largest of the three parts of the cell that it uses, with its children,
  /// between 0 and 1.
  double dominant = 0;
  /// Decayed mean of `dominant`.
  double history = 0;
  /// Part of the cell due to it if every department wanted its share.
  double due = 0;
  /// Amounts above its quota.
  core::resources borrowed;

  friend bool operator==(const share&, const share&) = default;
};

/// @return one line of text with units, for operators and logs.
std::string Describe(const shortage& s);

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_DECISION_H_
