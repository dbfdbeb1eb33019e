#ifndef MANGOPLANK_WORKFLOW_STATE_H_
#define MANGOPLANK_WORKFLOW_STATE_H_

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "mangoplank/workflow/types.h"

/// Replicated state of workflows. Every change is an event in the log; a
/// process applies the same events in the same order as all others.
namespace mangoplank::workflow {

/// A higher version replaces the catalog; others change nothing.
struct catalog_declared {
  catalog c;
  friend bool operator==(const catalog_declared&,
                         const catalog_declared&) = default;
};
/// A resend of a known job changes nothing.
struct job_accepted {
  job_spec spec;
  /// The queue as it was declared then. It serves the job on if it is removed.
  workflow::queue q;
  core::wall_time_ms at = 0;
  friend bool operator==(const job_accepted&, const job_accepted&) = default;
};
struct job_cancelled {
  std::string job;
  friend bool operator==(const job_cancelled&, const job_cancelled&) = default;
};
/// Recorded before the order to start is sent, so that every later leader
/// knows where the run may be. Changes nothing unless the task waits and the
/// number is the next one.
struct run_assigned {
  run_id run;
  worker_key worker;
  friend bool operator==(const run_assigned&, const run_assigned&) = default;
};
/// Changes nothing if the run is not the assigned one.
struct run_ended {
  run_id run;
  run_end how = run_end::kDone;
  /// Progress to resume from; empty for none.
  std::string checkpoint;
  friend bool operator==(const run_ended&, const run_ended&) = default;
};
/// A worker announced itself, or changed.
struct worker_announced {
  worker w;
  friend bool operator==(const worker_announced&,
                         const worker_announced&) = default;
};
/// A worker is gone for good, and with it all that ran there.
struct worker_removed {
  worker_key worker;
  friend bool operator==(const worker_removed&,
                         const worker_removed&) = default;
};
/// Records of ended jobs that need not be kept any longer.
struct jobs_forgotten {
  std::vector<std::string> jobs;
  friend bool operator==(const jobs_forgotten&,
                         const jobs_forgotten&) = default;
};

using event =
    std::variant<catalog_declared, job_accepted, job_cancelled, run_assigned,
                 run_ended, worker_announced, worker_removed, jobs_forgotten>;

enum class task_phase : std::uint8_t { kWaiting, kAssigned, kDone };

struct task {
  task_phase phase = task_phase::kWaiting;
  /// Number of the last run; 0 before the first.
  std::uint32_t last_run = 0;
  /// Runs that ended as failed.
  std::uint32_t failures = 0;
  /// Worker of the assigned run.
  worker_key where;
  std::string checkpoint;

  friend bool operator==(const task&, const task&) = default;
};

/// A job and the tasks of all its occurrences.
struct job {
  job_spec spec;
  /// The queue as declared when the job was accepted.
  workflow::queue q;
  core::wall_time_ms accepted_at = 0;
  job_phase phase = job_phase::kQueued;
  /// Tasks by occurrence, step and index. Empty once the job is final and no
  /// run is assigned, as are `left` and the payload.
  std::vector<task> tasks;
  /// Tasks that have not succeeded, by occurrence and step.
  std::vector<std::uint32_t> left;

  std::uint32_t Occurrences() const {
    return spec.repeat_count == 0 ? 1 : spec.repeat_count;
  }
  /// @return position in `left` of a step of an occurrence.
  std::size_t StepAt(std::uint32_t occurrence, std::uint32_t step) const {
    return occurrence * spec.steps.size() + step;
  }
  /// @return position in `tasks`, or no value if there is no such task or the
  /// job has ended and keeps none.
  std::optional<std::size_t> TaskAt(const task_id& id) const;
  /// @return whether all steps that this one depends on have succeeded.
  bool IsStepReady(std::uint32_t occurrence, std::uint32_t step) const;

  friend bool operator==(const job&, const job&) = default;
};

class state {
 public:
  void Apply(const event& e);

  const catalog& Catalog() const { return catalog_; }
  const std::map<std::string, job>& Jobs() const { return jobs_; }
  const std::map<core::worker_id, worker>& Workers() const { return workers_; }

  /// @return the job, or null.
  const job* FindJob(const std::string& id) const;
  /// @return the job's queue as it is declared now, or as it was if it is not
  /// declared any longer.
  const queue& QueueOf(const job& j) const;
  /// @return the queue that serves a request: same host and longest prefix of
  /// the path; null if there is none.
  const queue* Route(const std::string& host, const std::string& path) const;
  /// @return the worker if this life of it is known, else null.
  const worker* FindWorker(const worker_key& key) const;
  /// @return whether the run is the assigned one of its task.
  bool IsAssigned(const run_id& run) const { return PlaceOf(run) != nullptr; }
  /// @return the worker that the run is assigned to, or null.
  const worker_key* PlaceOf(const run_id& run) const;
  /// @return jobs of a queue that no task of has been started.
  std::size_t CountQueued(const std::string& queue) const;

  /// What a snapshot holds.
  struct image {
    catalog c;
    std::vector<job> jobs;
    std::vector<worker> workers;
    friend bool operator==(const image&, const image&) = default;
  };
  image Image() const;
  static state FromImage(const image& i);

  friend bool operator==(const state&, const state&) = default;

 private:
  void On(const catalog_declared& e);
  void On(const job_accepted& e);
  void On(const job_cancelled& e);
  void On(const run_assigned& e);
  void On(const run_ended& e);
  void On(const worker_announced& e);
  void On(const worker_removed& e);
  void On(const jobs_forgotten& e);
  void Finish(job& j, const task_id& id);
  void EndRun(job& j, const run_ended& e);
  void EndRuns(const worker_key& w);

  void IndexQueues();

  catalog catalog_;
  /// Positions of the catalog's queues by name; there may be hundreds.
  std::unordered_map<std::string, std::size_t> queue_at_;
  std::map<std::string, job> jobs_;
  std::map<core::worker_id, worker> workers_;
};

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_STATE_H_
