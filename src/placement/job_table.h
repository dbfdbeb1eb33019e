#ifndef MANGOPLANK_PLACEMENT_JOB_TABLE_H_
#define MANGOPLANK_PLACEMENT_JOB_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "department_tree.h"
#include "mangoplank/cell/command.h"
#include "mangoplank/placement/decision.h"
#include "worker_pool.h"

namespace mangoplank::placement {

/// Replicas run until stopped; a new generation replaces the earlier one.
struct service_work {
  std::int64_t replicas = 1;
  std::int64_t max_unavailable = 1;

  friend bool operator==(const service_work&, const service_work&) = default;
};
/// Tasks start one by one, whenever one fits on a worker.
struct batch_work {
  bool idempotent = true;
  bool checkpoint = false;

  friend bool operator==(const batch_work&, const batch_work&) = default;
};
/// All tasks start together.
struct gang_work {
  std::int64_t tasks = 1;
  bool idempotent = true;

  friend bool operator==(const gang_work&, const gang_work&) = default;
};
/// Kind of a job, which determines how its tasks are placed.
using work = std::variant<service_work, batch_work, gang_work>;

enum class slot_state : std::uint8_t {
  /// Unknown or ended.
  kAbsent,
  kWaiting,
  /// Placed by a decision whose commit has not been observed.
  kProposed,
  /// Placed by a commit.
  kPlaced
};

struct task_slot {
  slot_state state = slot_state::kAbsent;
  /// The job's queue contains the task's index.
  bool queued = false;
  bool running = false;
  /// A decision stops the task; its commit may be pending.
  bool evicting = false;
  /// A commit stops the task.
  bool stop_committed = false;
  /// Placed on a worker that is reserved for another gang job.
  bool backfilled = false;
  /// Placed on a quarantined worker to probe it.
  bool is_probe = false;
  /// Urgency under which its resources are counted.
  cell::urgency urgency = cell::urgency::kNormal;
  std::int32_t worker = kNoIndex;
  std::int32_t rack = kNoIndex;
  std::int32_t region = kNoIndex;
  std::uint32_t position_on_worker = 0;
  std::uint32_t failures = 0;
  std::uint64_t generation = 0;
  core::resources need;
  /// Resources held but not used, as last reported.
  core::resources unused;
  core::wall_time_ms since = 0;
};

struct job_entry {
  core::revision uid = 0;
  cell::object_key key;
  /// The object exists; without it no task is placed.
  bool declared = false;
  std::uint64_t generation = 0;
  core::resources need;
  cell::urgency urgency = cell::urgency::kNormal;
  cell::constraints where;
  placement::work work = batch_work{};
  std::int32_t department = kNoIndex;
  std::int32_t region = kNoIndex;
  queue_key queue_position;
  bool in_queue = false;
  /// It does not fit even on empty workers of this capacity version.
  bool unsatisfiable = false;
  std::uint64_t checked_capacity_version = 0;
  std::vector<shortage> shortages;
  /// Back-off after failures: not placed before this time.
  core::time_point not_before{};
  /// Number of back-offs since the last success.
  std::uint32_t backoff_count = 0;
  bool has_succeeded = false;
  /// Distinct workers of the failures since the last success, at most
  /// policy::faulty_job_min_workers.
  std::vector<std::int32_t> failed_workers;
  /// A gang job whose reservation expired makes no new one before this time.
  core::time_point next_reservation{};
  /// Start of the time since when at least one task waits.
  core::time_point waiting_since{};

  std::vector<task_slot> tasks;
  /// Indices of waiting tasks, oldest first; some may no longer wait.
  std::vector<std::uint32_t> queue;
  std::size_t queue_head = 0;
  std::int64_t waiting = 0;
  std::int64_t proposed = 0;
  std::int64_t placed = 0;
  std::int64_t running = 0;
  location_counts tasks_by_rack;
  location_counts tasks_by_region;
  /// Workers on which capacity is being freed for it.
  std::vector<std::int32_t> earmarked_workers;

  /// @return whether its tasks may be stopped and run again later.
  bool IsRestartable() const;
  bool CanCheckpoint() const;
};

/// Jobs by uid and by key.
class job_table {
 public:
  /// @return the job, which is created on first use.
  job_entry& Intern(core::revision uid);
  /// @return nullptr if there is none.
  job_entry* Find(core::revision uid);
  const job_entry* Find(core::revision uid) const;
  const job_entry* FindByKey(const cell::object_key& key) const;
  /// Sets the key of a job and indexes the job by it.
  void SetKey(job_entry& job, const cell::object_key& key);
  /// Erases the job if it is not declared and has no active tasks.
  void EraseIfEmpty(core::revision uid);

  std::size_t Size() const { return jobs_.size(); }

 private:
  std::unordered_map<core::revision, job_entry> jobs_;
  std::map<cell::object_key, core::revision> by_key_;
};

/// Appends a waiting task to the job's queue.
void Enqueue(job_entry& job, std::uint32_t index);
/// @return index of the oldest waiting task, which stays in the queue.
std::optional<std::uint32_t> FirstWaiting(job_entry& job);

/// Clears the tasks of a job of which none waits or is placed.
void ClearTasks(job_entry& job);

/// Copies the placement fields of a spec. Ignores other kinds of objects.
void SetSpec(job_entry& job, const cell::object& object,
             const placement::policy& policy);

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_JOB_TABLE_H_
