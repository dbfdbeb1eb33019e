#ifndef MANGOPLANK_WORKFLOW_STATE_H_
#define MANGOPLANK_WORKFLOW_STATE_H_

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "mangoplank/tenancy/directory.h"
#include "mangoplank/workflow/job_index.h"
#include "mangoplank/workflow/types.h"

/// Replicated state of workflows. Every change is an event in the log; all
/// processes apply the same events in the same order.
namespace mangoplank::workflow {

/// Replaces the catalog if the version is higher; otherwise changes nothing.
struct catalog_declared {
  workflow::catalog catalog;
  friend bool operator==(const catalog_declared&,
                         const catalog_declared&) = default;
};
/// Changes nothing if the job is known already or has too many tasks.
struct job_accepted {
  job_spec spec;
  /// The queue as declared then; stays valid for the job if it is removed.
  workflow::queue queue;
  core::wall_time_ms accepted_at = 0;
  /// The tenant as declared then.
  tenancy::terms tenant;
  friend bool operator==(const job_accepted&, const job_accepted&) = default;
};
struct job_cancelled {
  std::string job;
  friend bool operator==(const job_cancelled&, const job_cancelled&) = default;
};
/// Recorded before the start order is sent, so that every later leader knows
/// which worker may have the run. Changes nothing unless the task is waiting
/// and the run number is higher than the last one.
struct run_assigned {
  run_id run;
  worker_key worker;
  /// The worker has answered just before, so that its loss after the order says
  /// something about the task.
  bool worker_confirmed = false;
  friend bool operator==(const run_assigned&, const run_assigned&) = default;
};
/// A worker has confirmed that it has started a task of the job.
struct job_started {
  std::string job;
  friend bool operator==(const job_started&, const job_started&) = default;
};
/// Changes nothing if the run is not the assigned one of its task.
struct run_ended {
  run_id run;
  run_end ending = run_end::kDone;
  /// Progress to resume from; empty for none.
  std::string checkpoint;
  friend bool operator==(const run_ended&, const run_ended&) = default;
};
/// A worker has registered, or its state has changed.
struct worker_announced {
  workflow::worker worker;
  friend bool operator==(const worker_announced&,
                         const worker_announced&) = default;
};
/// An incarnation of a worker has ended, and with it all of its runs.
struct worker_removed {
  worker_key worker;
  friend bool operator==(const worker_removed&,
                         const worker_removed&) = default;
};
/// The records of these ended jobs are removed.
struct jobs_pruned {
  std::vector<std::string> jobs;
  friend bool operator==(const jobs_pruned&, const jobs_pruned&) = default;
};

using event = std::variant<catalog_declared, job_accepted, job_cancelled,
                           run_assigned, job_started, run_ended,
                           worker_announced, worker_removed, jobs_pruned>;

enum class task_phase : std::uint8_t { kWaiting, kAssigned, kDone };

/// A worker that fell silent under a run of a task. It may have been cut off:
/// if the same incarnation returns, it has not crashed.
struct silent_loss {
  worker_key worker;
  bool counted_as_crash = false;

  friend bool operator==(const silent_loss&, const silent_loss&) = default;
};

struct task {
  task_phase phase = task_phase::kWaiting;
  /// Number of the last run; 0 before the first.
  std::uint32_t last_run = 0;
  /// Number of runs that ended as failed. Of the members of a gang that fail in
  /// one run only the first counts it, so that their sum is the gang's number.
  std::uint32_t failures = 0;
  /// Number of the last run that ended as failed; 0 if none has.
  std::uint32_t last_failed_run = 0;
  /// Number of workers that crashed under runs of the task, and of these and
  /// the unreachable ones together. Recorded before the next start, so that
  /// every leader knows them.
  std::uint32_t crashes = 0;
  std::uint32_t losses = 0;
  /// Those of the losses that are taken back if their worker returns.
  std::vector<silent_loss> silent_losses;
  /// The last run was lost at its start and may have crashed its worker.
  bool suspected = false;
  /// Worker of the assigned run, and whether it had answered just before.
  worker_key worker;
  bool worker_confirmed = false;
  std::string checkpoint;

  friend bool operator==(const task&, const task&) = default;
};

/// A job and the tasks of all its occurrences.
struct job {
  job_spec spec;
  /// The queue as declared when the job was accepted.
  workflow::queue queue;
  core::wall_time_ms accepted_at = 0;
  /// The tenant as last declared: the terms of one that is removed stay valid.
  tenancy::terms tenant;
  /// Queued until a worker has confirmed the start of a task; an assigned run
  /// may wait for a worker that does not answer.
  job_phase phase = job_phase::kQueued;
  /// Set if the phase is failed.
  job_failure failure = job_failure::kNone;
  /// Tasks by occurrence, step and index. Empty once the job is final and no
  /// run is assigned, as are `unfinished_tasks` and the payload.
  std::vector<task> tasks;
  /// Number of tasks that have not succeeded, by occurrence and step.
  std::vector<std::uint32_t> unfinished_tasks;

  std::uint32_t CountOccurrences() const {
    return spec.repeat_count == 0 ? 1 : spec.repeat_count;
  }
  /// @return the index in `unfinished_tasks` of a step of an occurrence.
  std::size_t StepIndex(std::uint32_t occurrence, std::uint32_t step) const {
    return occurrence * spec.steps.size() + step;
  }
  /// @return the index in `tasks`, or no value if there is no such task or the
  /// tasks of the ended job were dropped.
  std::optional<std::size_t> FindTaskIndex(const task_id& id) const;
  /// @return how many attempts the task has used; for the member of a gang
  /// those of the gang, which uses one for each run that fails. The task must
  /// be known.
  std::uint32_t CountAttempts(const task_id& id) const;
  /// @return whether all dependencies of the step have succeeded.
  bool IsStepReady(std::uint32_t occurrence, std::uint32_t step) const;

  friend bool operator==(const job&, const job&) = default;
};

class state {
 public:
  void Apply(const event& event);

  const catalog& Catalog() const { return catalog_; }
  const std::map<std::string, job>& Jobs() const { return jobs_; }
  const std::map<core::worker_id, worker>& Workers() const { return workers_; }

  /// @return the job, or null.
  const job* FindJob(const std::string& id) const;
  /// @return the queue at the address of the job's queue as currently declared,
  /// or as it was when the job was accepted if none is declared there.
  const queue& QueueOf(const job& job) const;
  /// @return the terms of the job's tenant as last declared.
  static const tenancy::terms& TenantOf(const job& job) { return job.tenant; }
  /// @return whether callers of queues that are not anonymous need a key.
  bool HasTenants() const { return catalog_.tenants.has_value(); }
  const tenancy::directory& Tenants() const { return tenants_; }
  /// @return the terms of the caller's tenant, with an empty name if the queue
  /// needs no key; null if it needs one and `key` is missing or unknown.
  const tenancy::terms* Authenticate(
      const queue& queue, const std::optional<tenancy::key_digest>& key) const;
  /// @return the queue of a request: the one with the same host and the longest
  /// prefix of the path; null if there is none.
  const queue* Route(const std::string& host, const std::string& path) const;
  /// @return the worker if this incarnation of it is known, else null.
  const worker* FindWorker(const worker_key& key) const;
  /// @return whether the run is the assigned one of its task.
  bool IsAssigned(const run_id& run) const {
    return FindAssignedWorker(run) != nullptr;
  }
  /// @return the worker that the run is assigned to, or null.
  const worker_key* FindAssignedWorker(const run_id& run) const;
  /// @return the number of jobs at the address of a queue of which no task has
  /// started.
  std::size_t CountQueued(const queue& queue) const;
  /// @return the number of these jobs that have been assigned to workers.
  std::size_t CountOnlyAssigned(const queue& queue) const;

  /// Content of a snapshot.
  struct image {
    workflow::catalog catalog;
    std::vector<job> jobs;
    std::vector<worker> workers;
    friend bool operator==(const image&, const image&) = default;
  };
  image Image() const;
  static state FromImage(const image& image);

  friend bool operator==(const state&, const state&) = default;

 private:
  void On(const catalog_declared& event);
  void On(const job_accepted& event);
  void On(const job_cancelled& event);
  void On(const run_assigned& event);
  void On(const job_started& event);
  void On(const run_ended& event);
  void On(const worker_announced& event);
  void On(const worker_removed& event);
  void On(const jobs_pruned& event);
  void FinishTask(job& job, const task_id& id);
  void EndRun(job& job, const run_ended& event);
  void KeepCheckpoint(job& job, const run_ended& event);
  void CountFailure(job& job, const run_id& run);
  void EndRuns(const worker_key& worker);
  void TakeBackLosses(const worker_key& returned);

  void IndexCatalog();
  /// Gives jobs the terms of their tenants in the catalog.
  void UpdateTenants();

  catalog catalog_;
  /// Indexes of the catalog's queues, ordered by address; there may be hundreds
  /// of queues.
  std::vector<std::size_t> queues_by_address_;
  tenancy::directory tenants_;
  std::map<std::string, job> jobs_;
  job_index index_;
  std::map<core::worker_id, worker> workers_;
};

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_STATE_H_
