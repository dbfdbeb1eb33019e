#ifndef MANGOPLANK_SRC_DISPATCH_PLACEMENT_TABLE_H_
#define MANGOPLANK_SRC_DISPATCH_PLACEMENT_TABLE_H_

#include <map>
#include <memory>

#include "mangoplank/tenancy/usage_ledger.h"
#include "mangoplank/workflow/types.h"

namespace mangoplank::dispatch {

struct worker_monitor;

/// A run that its worker has, is to get, or may still have.
struct placed_run {
  std::shared_ptr<worker_monitor> monitor;
  tenancy::usage usage;
};

/// The worker of each tracked run, and what the runs of each tenant use. A run
/// counts from its plan until its end is recorded or its plan is dropped, so
/// that the usage is never below what runs.
class placement_table {
 public:
  using map = std::map<workflow::run_id, placed_run>;

  /// Adds a run, or replaces it.
  void Place(const workflow::run_id& run, placed_run placed) {
    Remove(run);
    usage_.Add(placed.usage);
    runs_.emplace(run, std::move(placed));
  }
  /// Does nothing if there is no such run.
  void Remove(const workflow::run_id& run) {
    const auto it = runs_.find(run);
    if (it == runs_.end()) return;
    usage_.Remove(it->second.usage);
    runs_.erase(it);
  }

  bool Contains(const workflow::run_id& run) const {
    return runs_.contains(run);
  }
  /// @return the worker of the run, or null.
  std::shared_ptr<worker_monitor> FindWorker(
      const workflow::run_id& run) const {
    const auto it = runs_.find(run);
    return it == runs_.end() ? nullptr : it->second.monitor;
  }
  const map& Runs() const { return runs_; }
  const tenancy::usage_ledger& Usage() const { return usage_; }

 private:
  map runs_;
  tenancy::usage_ledger usage_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_PLACEMENT_TABLE_H_
