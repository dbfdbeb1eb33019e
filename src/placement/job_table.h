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

/// Replicas run until stopped and are replaced one generation after another.
struct service_work {
  std::int64_t replicas = 1;
  std::int64_t max_unavailable = 1;

  friend bool operator==(const service_work&, const service_work&) = default;
};
/// Tasks start one by one, whenever there is room.
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
/// How the tasks of a job are placed.
using work = std::variant<service_work, batch_work, gang_work>;

enum class slot_state : std::uint8_t {
  /// Not known, or ended.
  kAbsent,
  kWaiting,
  /// Placed by a decision whose commit has not been observed.
  kPromised,
  /// Placed by a commit.
  kHeld
};

struct task_slot {
  slot_state state = slot_state::kAbsent;
  /// The job's queue holds the index.
  bool queued = false;
  bool running = false;
  /// Asked to stop by a decision.
  bool evicting = false;
  /// Asked to stop by a commit.
  bool ending = false;
  /// Placed on room that another gang job waits for.
  bool lent = false;
  /// Placed on a quarantined worker to examine it.
  bool probe = false;
  /// Urgency under which its room is counted.
  cell::urgency u = cell::urgency::kNormal;
  std::int32_t worker = kNone;
  std::int32_t rack = kNone;
  std::int32_t region = kNone;
  std::uint32_t position = 0;
  std::uint32_t failures = 0;
  std::uint64_t generation = 0;
  core::resources need;
  /// Held and not used, as last reported.
  core::resources unused;
  core::wall_time_ms since = 0;
};

struct job {
  core::revision uid = 0;
  cell::object_key key;
  /// The object exists; without it nothing is placed.
  bool declared = false;
  std::uint64_t generation = 0;
  core::resources need;
  cell::urgency u = cell::urgency::kNormal;
  cell::constraints where;
  work w = batch_work{};
  std::int32_t department = kNone;
  std::int32_t region = kNone;
  queue_key order;
  bool in_queue = false;
  /// No worker could hold it; found at this version of the capacity.
  bool unsatisfiable = false;
  std::uint64_t checked_at = 0;
  std::vector<shortage> shortages;
  /// Not placed before this time, after failures.
  core::time_point not_before{};
  /// Delays since the last success.
  std::uint32_t delays = 0;
  bool succeeded_once = false;
  /// Distinct workers of the failures since the last success, at most
  /// policy::bad_job_workers.
  std::vector<std::int32_t> failed_on;
  /// A gang job that gave up a reservation does not make another before this.
  core::time_point reserve_after{};
  /// Since when a task has waited.
  core::time_point waiting_since{};

  std::vector<task_slot> tasks;
  /// Indices of waiting tasks, oldest first; some may have changed since.
  std::vector<std::uint32_t> queue;
  std::size_t queue_head = 0;
  std::int64_t waiting = 0;
  std::int64_t promised = 0;
  std::int64_t held = 0;
  std::int64_t running = 0;
  location_counts by_rack;
  location_counts by_region;
  /// Workers on which room is being freed for it.
  std::vector<std::int32_t> pledges;

  /// @return whether its tasks may be stopped and run again later.
  bool Restartable() const;
  bool Checkpoints() const;
};

/// Jobs by uid and by name.
class job_table {
 public:
  /// @return the job, made on first use.
  job& Intern(core::revision uid);
  /// @return nullptr if there is none.
  job* Find(core::revision uid);
  const job* Find(core::revision uid) const;
  const job* FindByKey(const cell::object_key& key) const;
  /// Sets the key of a job, so that it is found by it.
  void Name(job& j, const cell::object_key& key);
  /// Drops the job if it is not declared and has no tasks.
  void EraseIfEmpty(core::revision uid);

  std::size_t Size() const { return jobs_.size(); }

 private:
  std::unordered_map<core::revision, job> jobs_;
  std::map<cell::object_key, core::revision> by_key_;
};

/// Puts a waiting task at the end of the job's queue.
void Enqueue(job& j, std::uint32_t index);
/// @return index of the oldest waiting task, without taking it.
std::optional<std::uint32_t> FirstWaiting(job& j);

/// Drops the tasks of a job of which none waits or is placed.
void Shrink(job& j);

/// Takes over what a spec says about placement. Other kinds change nothing.
void SetSpec(job& j, const cell::object& o, const policy& p);

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_JOB_TABLE_H_
