#ifndef MANGOPLANK_SRC_DISPATCH_STEP_RUNS_H_
#define MANGOPLANK_SRC_DISPATCH_STEP_RUNS_H_

#include <map>
#include <utility>
#include <vector>

#include "dispatch/planning_types.h"
#include "mangoplank/durations/estimator.h"

namespace mangoplank::dispatch {

/// Run times of the tasks that have succeeded, by step, until the step has
/// ended. Holds at most one entry for each task of the jobs that are not final.
class step_runs {
 public:
  void Add(const step_key& step, durations::whole_run run) {
    runs_[step].push_back(std::move(run));
  }
  /// @return the runs of the step, which are forgotten.
  std::vector<durations::whole_run> Take(const step_key& step) {
    const auto node = runs_.extract(step);
    if (node.empty()) return {};
    return std::move(node.mapped());
  }
  /// Forgets the steps of a job that has ended.
  void Drop(const std::string& job) {
    const auto first = runs_.lower_bound({job, 0, 0});
    auto last = first;
    while (last != runs_.end() && last->first.job == job) ++last;
    runs_.erase(first, last);
  }

 private:
  std::map<step_key, std::vector<durations::whole_run>> runs_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_STEP_RUNS_H_
