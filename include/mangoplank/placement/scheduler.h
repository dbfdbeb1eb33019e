#ifndef MANGOPLANK_PLACEMENT_SCHEDULER_H_
#define MANGOPLANK_PLACEMENT_SCHEDULER_H_

#include <cstdint>
#include <memory>
#include <vector>

#include "mangoplank/cell/command.h"
#include "mangoplank/placement/decision.h"
#include "mangoplank/placement/policy.h"

namespace mangoplank::placement {

/// Decides which waiting task goes to which worker. Holds a model of the cell
/// that follows committed changes. Does no input or output and reads no clock.
/// The same seed and calls give the same decisions. Not thread-safe.
class scheduler {
 public:
  /// @param seed orders equal candidates.
  scheduler(policy p, std::uint64_t seed);
  ~scheduler();
  scheduler(scheduler&&) noexcept;
  scheduler& operator=(scheduler&&) noexcept;

  /// Takes in a committed change. A new leader calls it for every object,
  /// worker and task of the state, in any order. Failures of a worker are
  /// learnt from changes of its tasks.
  void Observe(const cell::change& c, core::time_point now);

  /// Takes in what a running task was last seen to use.
  void ObserveUsage(const cell::task_id& id, core::resources used,
                    core::time_point now);

  /// Decides what to do now. Room for the placements is held until their
  /// commit is observed or Forget() is called.
  /// @return at most policy::max_decisions decisions.
  round Decide(core::time_point now);

  /// Takes back a decision that was not committed.
  void Forget(const decision& d, core::time_point now);

  /// @return why the tasks of a job wait; one line if the job is not known.
  explanation Explain(const cell::object_key& job, core::time_point now) const;

  /// @return one entry for each department, by name.
  std::vector<share> Shares(core::time_point now) const;

  /// @return room of a worker that is neither held nor promised to a placement
  /// that waits for its commit; zero if the worker is not known.
  core::resources FreeOf(const core::worker_id& id) const;

 private:
  class impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_SCHEDULER_H_
