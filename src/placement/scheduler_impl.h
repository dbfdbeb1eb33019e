#ifndef MANGOPLANK_PLACEMENT_SCHEDULER_IMPL_H_
#define MANGOPLANK_PLACEMENT_SCHEDULER_IMPL_H_

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "department_tree.h"
#include "health.h"
#include "job_table.h"
#include "mangoplank/placement/scheduler.h"
#include "usage_estimates.h"
#include "worker_pool.h"

namespace mangoplank::placement {

/// State and steps of the scheduler. observe.cpp follows the cell, decide.cpp
/// places tasks, make_room.cpp evicts and reserves, explain.cpp reports.
class scheduler::impl {
 public:
  impl(const policy& p, std::uint64_t seed);

  void Observe(const cell::change& c, core::time_point now);
  void ObserveUsage(const cell::task_id& id, const core::resources& used);
  round Decide(core::time_point now);
  void Forget(const decision& d, core::time_point now);
  explanation Explain(const cell::object_key& key, core::time_point now) const;
  std::vector<share> Shares() const { return departments_.Shares(); }
  core::resources FreeOf(const core::worker_id& id) const;

 private:
  /// What one attempt to place a job did.
  enum class attempt : std::uint8_t { kPlaced, kBlocked, kNoRoom };

  /// Workers kept for one gang job until all its tasks fit.
  struct reservation {
    core::revision job = 0;
    std::vector<std::int32_t> workers;
    core::time_point until;
  };

  /// Tasks to stop on one worker so that another task fits.
  struct victims {
    std::int32_t worker = kNone;
    std::vector<cell::task_id> tasks;
    std::int64_t cost = 0;
  };

  /// Room that stopping a task, and with it its gang, frees.
  struct freed {
    core::resources anywhere;
    core::resources on_worker;
  };

  // Following the cell.
  void OnObject(const cell::object& o, core::time_point now);
  void OnObjectDeleted(const cell::object_key& key, core::time_point now);
  void OnWorker(const cell::worker_record& record, core::time_point now);
  void OnTask(const cell::task_record& record, core::time_point now);
  void OnTaskRemoved(const cell::task_id& id, core::time_point now);
  void JudgeEnd(job& j, const task_slot& t, const cell::task_record& record,
                core::time_point now);
  bool StaysHeld(job& j, task_slot& t, const cell::task_record& record);
  void Leave(job& j, std::uint32_t index);
  void EnterWaiting(job& j, std::uint32_t index, core::time_point now);
  void EnterHeld(job& j, std::uint32_t index, const cell::task_record& record);
  void SetRunning(job& j, task_slot& t, bool running);
  void Hold(job& j, std::uint32_t index, std::int32_t w, slot_state state);
  void Release(job& j, std::uint32_t index);
  void SetEvicting(job& j, task_slot& t, bool evicting);
  void Settle(core::revision uid, core::time_point now);
  task_slot* FindSlot(const cell::task_id& id);

  // Queues.
  void UpdateQueue(job& j, core::time_point now);
  void LeaveQueue(job& j);

  // Placing.
  void StartRound(core::time_point now);
  void EndRound();
  void CheckJobs(core::time_point now);
  bool CheckSatisfiable(job& j);
  void SetNext(std::int32_t d);
  void TryNext(std::int32_t d, core::time_point now);
  attempt Try(job& j, core::time_point now);
  attempt TryOne(job& j, core::time_point now);
  bool TryProbe(job& j, std::uint32_t index, const worker_query& q,
                core::time_point now);
  attempt TryGang(job& j, core::time_point now);
  bool FillGang(job& j, std::int32_t region, std::vector<std::uint32_t>& taken);
  worker_query QueryFor(const job& j, const core::resources& need) const;
  bool MayCross(const job& j, core::time_point now) const;
  bool FailedThisRound(const worker_query& q) const;
  void Promise(job& j, std::uint32_t index, std::int32_t w);
  void PlaceOne(job& j, std::uint32_t index, std::int32_t w);
  cell::task_placement Placement(const job& j, std::uint32_t index) const;
  void ReplaceOutdated();
  void Replace(job& j, const service_work& service);
  bool IsOutdated(const job& j, const task_slot& t) const;

  // Making room.
  bool Reclaim(job& j, const core::resources& need, core::time_point now);
  std::optional<victims> VictimsOn(std::int32_t w, const job& j,
                                   const core::resources& need,
                                   bool own_only) const;
  freed FreedBy(const cell::task_id& id, std::int32_t w) const;
  bool MayEvict(const job& owner, const task_slot& t) const;
  void Evict(const std::vector<cell::task_id>& tasks, evict_reason reason);
  void Pledge(job& j, std::int32_t w, const core::resources& need,
              core::time_point now);
  void DropPledge(job& j, std::int32_t w);
  void DropPledges(job& j);
  std::int32_t PledgedWorker(const job& j, const worker_query& q) const;
  void ExpirePledges(core::time_point now);
  void Reserve(job& j, core::time_point now);
  void EndReservation();
  void AdvanceReservation(core::time_point now);
  std::int64_t Evictable(std::int32_t w, const job& gang, bool entitled,
                         std::vector<cell::task_id>& tasks) const;
  std::vector<std::int32_t> WorkersFor(const job& j) const;

  // Explaining.
  void ExplainDelays(const job& j, core::time_point now, explanation& e) const;
  void ExplainDepartment(const job& j, explanation& e) const;
  void ExplainRoom(const job& j, core::time_point now, explanation& e) const;

  policy policy_;
  worker_pool pool_;
  department_tree departments_;
  job_table jobs_;
  health health_;
  usage_estimates estimates_;

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
  /// Workers with a pledge, by its end.
  std::set<std::pair<core::time_point, std::int32_t>> pledges_;
  std::optional<reservation> reservation_;
  /// Worker at which the next search for victims starts.
  std::size_t reclaim_from_ = 0;

  // Of the current round.
  round round_;
  std::vector<worker_query> failed_queries_;
  std::size_t evictions_ = 0;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_SCHEDULER_IMPL_H_
