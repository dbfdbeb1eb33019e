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

/// Scheduler state. observe.cpp applies changes of the cell, decide.cpp places
/// tasks, preemption.cpp evicts and reserves, explain.cpp explains waits.
class scheduler::impl {
 public:
  impl(const placement::policy& policy, std::uint64_t seed);

  void Observe(const cell::change& change, core::time_point now);
  void ObserveUsage(const cell::task_id& id, const core::resources& used);
  round Decide(core::time_point now);
  void Forget(const placement::decision& decision, core::time_point now);
  explanation Explain(const cell::object_key& key, core::time_point now) const;
  std::vector<share> Shares() const { return departments_.Shares(); }
  core::resources FreeOf(const core::worker_id& id) const;

 private:
  /// Result of one attempt to place tasks of a job.
  enum class attempt_result : std::uint8_t { kPlaced, kBlocked, kNoCapacity };

  /// Workers reserved for one gang job until all its tasks fit.
  struct reservation {
    core::revision job = 0;
    std::vector<std::int32_t> workers;
    core::time_point until;
  };

  /// Tasks to evict from one worker so that another task fits.
  struct victims {
    std::int32_t worker = kNoIndex;
    std::vector<cell::task_id> tasks;
    std::int64_t cost = 0;
  };

  /// Resources that are freed by evicting a task together with its gang.
  struct freed_resources {
    core::resources anywhere;
    core::resources on_worker;
  };

  // Applying changes of the cell.
  void OnObject(const cell::object& object, core::time_point now);
  void OnObjectDeleted(const cell::object_key& key, core::time_point now);
  void OnWorker(const cell::worker_record& record, core::time_point now);
  void OnTask(const cell::task_record& record, core::time_point now);
  void OnTaskRemoved(const cell::task_id& id, core::time_point now);
  void UpdateHealth(job_entry& job, const task_slot& slot,
                    const cell::task_record& record, core::time_point now);
  bool TryUpdateInPlace(job_entry& job, task_slot& slot,
                        const cell::task_record& record);
  void LeaveState(job_entry& job, std::uint32_t index);
  void EnterWaiting(job_entry& job, std::uint32_t index, core::time_point now);
  void EnterPlaced(job_entry& job, std::uint32_t index,
                   const cell::task_record& record);
  void SetRunning(job_entry& job, task_slot& slot, bool running);
  void AllocateResources(job_entry& job, std::uint32_t index,
                         std::int32_t worker, slot_state state);
  void ReleaseResources(job_entry& job, std::uint32_t index);
  void SetEvicting(job_entry& job, task_slot& slot, bool evicting);
  void UpdateOrEraseJob(core::revision uid, core::time_point now);
  task_slot* FindSlot(const cell::task_id& id);

  // Queues.
  void UpdateQueue(job_entry& job, core::time_point now);
  void RemoveFromQueue(job_entry& job);

  // Placing.
  void StartRound(core::time_point now);
  void EndRound();
  void CheckJobs(core::time_point now);
  bool CheckSatisfiable(job_entry& job);
  void UpdateDemand(std::int32_t department);
  void TryNextJob(std::int32_t department, core::time_point now);
  attempt_result TryJob(job_entry& job, core::time_point now);
  attempt_result TryOneTask(job_entry& job, core::time_point now);
  bool TryProbe(job_entry& job, std::uint32_t index, const worker_query& query,
                core::time_point now);
  attempt_result TryGang(job_entry& job, core::time_point now);
  bool ProposeGang(job_entry& job, std::int32_t region,
                   std::vector<std::uint32_t>& proposed);
  worker_query MakeQuery(const job_entry& job,
                         const core::resources& need) const;
  bool MayLeaveHomeRegion(const job_entry& job, core::time_point now) const;
  bool HasFailedThisRound(const worker_query& query) const;
  void Propose(job_entry& job, std::uint32_t index, std::int32_t worker);
  void PlaceTask(job_entry& job, std::uint32_t index, std::int32_t worker);
  cell::task_placement MakePlacement(const job_entry& job,
                                     std::uint32_t index) const;
  void ReplaceOutdated();
  void ReplaceReplicas(job_entry& job, const service_work& service);
  bool IsOutdated(const job_entry& job, const task_slot& slot) const;

  // Preemption and reservations.
  bool Reclaim(job_entry& job, const core::resources& need,
               core::time_point now);
  std::optional<victims> SelectVictims(std::int32_t worker,
                                       const job_entry& job,
                                       const core::resources& need,
                                       bool own_department_only) const;
  freed_resources FreedByEvicting(const cell::task_id& id,
                                  std::int32_t worker) const;
  bool MayEvict(const job_entry& owner, const task_slot& slot) const;
  void Evict(const std::vector<cell::task_id>& tasks, evict_reason reason);
  void AddEarmark(job_entry& job, std::int32_t worker,
                  const core::resources& need, core::time_point now);
  void DropEarmark(job_entry& job, std::int32_t worker);
  void DropEarmarks(job_entry& job);
  std::int32_t FindEarmarkedWorker(const job_entry& job,
                                   const worker_query& query) const;
  void ExpireEarmarks(core::time_point now);
  void Reserve(job_entry& job, core::time_point now);
  void EndReservation();
  void AdvanceReservation(core::time_point now);
  std::int64_t CountCopiesAfterEviction(
      std::int32_t worker, const job_entry& gang, bool entitled,
      std::vector<cell::task_id>& tasks) const;
  std::vector<std::int32_t> SelectReservationWorkers(
      const job_entry& job) const;

  // Explaining.
  void ExplainDelays(const job_entry& job, core::time_point now,
                     explanation& result) const;
  void ExplainDepartment(const job_entry& job, explanation& result) const;
  void ExplainCapacity(const job_entry& job, core::time_point now,
                       explanation& result) const;

  policy policy_;
  worker_pool pool_;
  department_tree departments_;
  job_table jobs_;
  health health_;
  usage_estimates estimates_;

  /// Jobs whose satisfiability must be checked before they are placed.
  std::set<core::revision> unchecked_jobs_;
  std::set<core::revision> unsatisfiable_jobs_;
  std::uint64_t checked_capacity_version_ = 0;
  /// Jobs in back-off, by its end.
  std::set<std::pair<core::time_point, core::revision>> delayed_jobs_;
  /// Services that may have outdated replicas.
  std::set<core::revision> outdated_services_;
  /// Departments whose queue is not empty.
  std::set<std::int32_t> active_departments_;
  /// Workers with earmarked capacity, by the end of the earmark.
  std::set<std::pair<core::time_point, std::int32_t>> earmarks_;
  std::optional<reservation> reservation_;
  /// Worker at which the next search for victims starts.
  std::size_t next_reclaim_worker_ = 0;

  // State of the current round.
  round round_;
  std::vector<worker_query> failed_queries_;
  std::size_t evictions_ = 0;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_SCHEDULER_IMPL_H_
