#ifndef MANGOPLANK_PLACEMENT_SCHEDULER_H_
#define MANGOPLANK_PLACEMENT_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "mangoplank/cell/command.h"
#include "mangoplank/placement/decision.h"
#include "mangoplank/placement/policy.h"

namespace mangoplank::placement {

/// Decides which waiting task goes to which worker. Keeps a model of the cell
/// that is updated from committed changes. Performs no I/O and reads no clock.
/// The same seed and calls give the same decisions. Not thread-safe.
class scheduler {
 public:
  /// @param seed breaks ties between equal candidates.
  scheduler(placement::policy policy, std::uint64_t seed);
  ~scheduler();
  scheduler(scheduler&&) noexcept;
  scheduler& operator=(scheduler&&) noexcept;

  /// Applies a committed change. A new leader calls it for every object,
  /// worker and task of the state, in any order. Failures of a worker are
  /// derived from changes of its tasks.
  void Observe(const cell::change& change, core::time_point now);

  /// Records the last reported resource usage of a running task.
  void ObserveUsage(const cell::task_id& id, core::resources used,
                    core::time_point now);

  /// Runs one scheduling round. Resources of its placements stay allocated
  /// until their commit is observed or Forget() is called.
  /// @return at most policy::max_decisions decisions.
  round Decide(core::time_point now);

  /// Reverts a decision that was not committed.
  void Forget(const placement::decision& decision, core::time_point now);

  /// @return why the tasks of a job wait; one line if the job is not known.
  explanation Explain(const cell::object_key& job, core::time_point now) const;

  /// @return one entry for each department, by name.
  std::vector<share> Shares(core::time_point now) const;

  /// @return capacity of a worker that is allocated neither to a task nor to a
  /// proposed placement whose commit is pending; zero for an unknown worker.
  core::resources FreeOf(const core::worker_id& id) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_SCHEDULER_H_
