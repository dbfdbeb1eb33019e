#ifndef MANGOPLANK_SRC_DISPATCH_RUN_TABLE_H_
#define MANGOPLANK_SRC_DISPATCH_RUN_TABLE_H_

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "mangoplank/core/clock.h"
#include "mangoplank/workflow/types.h"

namespace mangoplank::dispatch {

/// @return the name of a run in logs.
inline std::string Name(const workflow::run_id& run) {
  return fmt::format("{}.{}.{}.{}/{}", run.task.job, run.task.occurrence,
                     run.task.step, run.task.index, run.number);
}

/// A run that is being started on a worker or is active there.
struct tracked_run {
  core::resources need;
  core::time_point tracked_since;
  /// A start order was sent; always set for runs of an earlier leader.
  bool ordered = false;
  /// The worker had answered just before the run was assigned to it.
  bool worker_confirmed = false;
  /// A start order is on its way, or had no answer: it may still be carried
  /// out, also by a later incarnation of the worker.
  bool may_arrive = false;
  /// Time at which the worker confirmed the start or first listed the run.
  std::optional<core::time_point> started_at;
  /// The worker confirmed the only order to start the run, which had no
  /// checkpoint: the time since `started_at` is that of all its work.
  bool is_whole = false;
  /// Number of polls sent when the worker confirmed the start or a stop, or 0
  /// if an earlier leader recorded the run; unset until then. If a later poll
  /// does not list the run, the worker does not have it.
  std::optional<std::uint64_t> resolved_after_poll;
  /// Time by which the worker refuses the start as late.
  core::time_point start_expires{};
  /// How the run ends if it is not found on the worker's next incarnation.
  std::optional<workflow::run_end> loss;
  bool stopping = false;
  /// Priority of the job's queue.
  std::int32_t priority = 0;
  /// Whether the run can be stopped without loss of work.
  bool resumable = false;
  int percent = 0;
  std::string checkpoint;

  friend bool operator==(const tracked_run&, const tracked_run&) = default;
};

/// The runs of one worker, with the sums of their resources, which each
/// planning round needs for all workers.
class run_table {
 public:
  using map = std::map<workflow::run_id, tracked_run>;

  /// Adds a run, or replaces it.
  tracked_run& Add(const workflow::run_id& run, tracked_run tracked) {
    Remove(run);
    used_ = used_ + tracked.need;
    if (tracked.stopping) releasing_ = releasing_ + tracked.need;
    if (tracked.ordered) ordered_ = ordered_ + tracked.need;
    return runs_.emplace(run, std::move(tracked)).first->second;
  }
  /// Does nothing if there is no such run.
  void Remove(const workflow::run_id& run) {
    const auto it = runs_.find(run);
    if (it != runs_.end()) Remove(it);
  }
  /// Removes the runs for which `predicate(run, tracked)` is true.
  template <class F>
  void RemoveIf(F&& predicate) {
    for (auto it = runs_.begin(); it != runs_.end();) {
      const auto current = it++;
      if (predicate(current->first, current->second)) Remove(current);
    }
  }
  /// @return the run, or null. Its need, `stopping` and `ordered` must not be
  /// changed.
  tracked_run* Find(const workflow::run_id& run) {
    const auto it = runs_.find(run);
    return it == runs_.end() ? nullptr : &it->second;
  }
  /// Notes that a run of the table is being stopped.
  void SetStopping(tracked_run& tracked) {
    if (tracked.stopping) return;
    tracked.stopping = true;
    releasing_ = releasing_ + tracked.need;
  }
  /// Notes that the order to start a run of the table is being sent.
  void SetOrdered(tracked_run& tracked) {
    if (tracked.ordered) return;
    tracked.ordered = true;
    ordered_ = ordered_ + tracked.need;
  }

  bool Contains(const workflow::run_id& run) const {
    return runs_.contains(run);
  }
  bool IsEmpty() const { return runs_.empty(); }
  std::size_t Size() const { return runs_.size(); }
  const map& Runs() const { return runs_; }
  /// Resources of all runs.
  const core::resources& Used() const { return used_; }
  /// Resources of the runs that the worker may have: those for which a start
  /// order was sent.
  core::resources Ordered() const { return ordered_; }
  /// Resources of the runs that are being stopped.
  const core::resources& Releasing() const { return releasing_; }

 private:
  void Remove(map::iterator it) {
    used_ = used_ - it->second.need;
    if (it->second.stopping) releasing_ = releasing_ - it->second.need;
    if (it->second.ordered) ordered_ = ordered_ - it->second.need;
    runs_.erase(it);
  }

  map runs_;
  core::resources used_;
  core::resources releasing_;
  core::resources ordered_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_RUN_TABLE_H_
