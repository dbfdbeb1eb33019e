#ifndef MANGOPLANK_PLACEMENT_SCHEDULER_IMPL_H_
#define MANGOPLANK_PLACEMENT_SCHEDULER_IMPL_H_

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "department_tree.h"
#include "job_table.h"
#include "mangoplank/placement/scheduler.h"
#include "worker_pool.h"

namespace mangoplank::placement {

/// State and steps of the scheduler. observe.cpp follows the cell, decide.cpp
/// decides, explain.cpp reports.
class scheduler::impl {
 public:
  impl(const policy& p, std::uint64_t seed);

  void Observe(const cell::change& c, core::time_point now);
  round Decide(core::time_point now);
  void Forget(const decision& d, core::time_point now);
  explanation Explain(const cell::object_key& key, core::time_point now) const;
  std::vector<share> Shares() const { return departments_.Shares(); }
  core::resources FreeOf(const core::worker_id& id) const;

 private:
  /// What one attempt to place a job did.
  enum class attempt : std::uint8_t { kPlaced, kBlocked, kNoRoom };

  // Following the cell.
  void OnObject(const cell::object& o, core::time_point now);
  void OnObjectDeleted(const cell::object_key& key, core::time_point now);
  void OnTask(const cell::task_record& record, core::time_point now);
  void OnTaskRemoved(const cell::task_id& id, core::time_point now);
  task_slot& SlotOf(job& j, std::uint32_t index);
  void Leave(job& j, std::uint32_t index);
  void EnterWaiting(job& j, std::uint32_t index, core::time_point now);
  void EnterHeld(job& j, std::uint32_t index, const cell::task_record& record);
  void Hold(job& j, std::uint32_t index, std::int32_t w, slot_state state);
  void Release(job& j, std::uint32_t index);
  void SetEvicting(job& j, task_slot& t, bool evicting);

  // Queues.
  void UpdateQueue(job& j, core::time_point now);
  void LeaveQueue(job& j);

  // Deciding.
  void StartRound(core::time_point now);
  void EndRound();
  void CheckJobs(core::time_point now);
  bool CheckSatisfiable(job& j);
  void SetNext(std::int32_t d);
  void TryNext(std::int32_t d, core::time_point now);
  attempt Try(job& j, core::time_point now);
  attempt TryOne(job& j, core::time_point now);
  attempt TryGang(job& j, core::time_point now);
  bool FillGang(job& j, std::int32_t region, std::vector<std::uint32_t>& taken);
  worker_query QueryFor(const job& j, const core::resources& need) const;
  bool FailedThisRound(const worker_query& q) const;
  void Promise(job& j, std::uint32_t index, std::int32_t w);
  cell::task_placement Placement(const job& j, std::uint32_t index) const;
  void ReplaceOutdated();
  bool IsOutdated(const job& j, const task_slot& t) const;

  policy policy_;
  worker_pool pool_;
  department_tree departments_;
  job_table jobs_;

  /// Jobs to be checked before they are placed.
  std::set<core::revision> unchecked_;
  std::set<core::revision> unsatisfiable_;
  std::uint64_t checked_version_ = 0;
  /// Jobs that wait for the end of a delay.
  std::set<std::pair<core::time_point, core::revision>> delayed_;
  /// Services that may have replicas to replace.
  std::set<core::revision> outdated_;
  /// Departments with jobs in their queue.
  std::set<std::int32_t> active_;

  // Of the current round.
  round round_;
  std::vector<worker_query> failed_queries_;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_SCHEDULER_IMPL_H_
