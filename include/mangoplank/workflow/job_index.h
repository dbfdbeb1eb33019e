#ifndef MANGOPLANK_WORKFLOW_JOB_INDEX_H_
#define MANGOPLANK_WORKFLOW_JOB_INDEX_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace mangoplank::workflow {

struct job;
struct queue;

/// Ids of the jobs that are not done with yet. Records of ended jobs are kept
/// for minutes, so that a search through all jobs takes the longer the more
/// have ended.
class job_index {
 public:
  /// Must be called after each change of a job's phase, and when its tasks are
  /// added or dropped.
  void Update(const job& job);

  /// @return the jobs at the address of a queue of which no task has started.
  const std::set<std::string>& Queued(const queue& queue) const;
  /// @return the jobs that still have tasks.
  const std::set<std::string>& WithTasks() const { return with_tasks_; }

  friend bool operator==(const job_index&, const job_index&) = default;

 private:
  /// Host and path prefix of a queue.
  using address = std::pair<std::string, std::string>;

  /// Without entries for queues that have none, so that equal jobs make equal
  /// indexes.
  std::map<address, std::set<std::string>> queued_;
  std::set<std::string> with_tasks_;
};

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_JOB_INDEX_H_
