#ifndef MANGOPLANK_CELL_APPLY_H_
#define MANGOPLANK_CELL_APPLY_H_

#include <vector>

#include "mangoplank/cell/state.h"

namespace mangoplank::cell {

/// Applies one command to a state and collects the changes.
class applier {
 public:
  applier(state* target, core::revision revision, core::wall_time_ms now)
      : state_(*target), revision_(revision), now_(now) {}

  effect Run(const command_body& body);

  using answer = core::outcome<accepted>;
  answer operator()(const put_object& command);
  answer operator()(const delete_object& command);
  answer operator()(const cancel_job& command);
  answer operator()(const register_worker& command);
  answer operator()(const remove_worker& command);
  answer operator()(const place_tasks& command);
  answer operator()(const report_tasks& command);
  answer operator()(const evict_tasks& command);
  answer operator()(const record_intent& command);
  answer operator()(const record_outcome& command);
  answer operator()(const compact_records& command);

 private:
  // Objects, in apply_objects.cpp.
  std::optional<core::failure> CheckPut(const put_object& command,
                                        const object* existing) const;
  std::optional<core::failure> CheckReferences(const put_object& command) const;
  std::optional<core::failure> CheckChange(const object& existing,
                                           const object_spec& spec) const;
  void SyncTasks(const object& owner);
  void ResizeTasks(const object& owner, std::int64_t count,
                   core::resources need);
  void EndTasksFrom(const object& owner, std::uint32_t first);
  void DrainWorker(const core::worker_id& id, bool drain);
  bool IsDepartmentInUse(const core::department_id& department) const;
  void RemoveEndedJobs(core::wall_time_ms before);

  // Tasks, in apply_tasks.cpp.
  void EndTask(task_record task);
  void HandleLostWorker(const worker_record& worker);
  void HandleLostTask(task_record task);
  void HandleLostCalls(const worker_record& worker);
  void RemoveOpenCall(const call_record& call);
  void SetOutcome(call_record* call, const call_outcome& outcome);
  void ApplyReport(const task_report& report);
  void ApplyFailure(task_record task, const std::string& detail);
  void Requeue(task_record task);
  void RestartGang(const task_record& lost);
  bool CanPlace(const std::vector<task_placement>& group) const;
  void Place(const task_placement& placement);
  void Finish(task_record task, task_phase phase);
  void SetTask(const task_record& task);
  void RemoveTask(const task_id& id);
  /// @return the object that the task belongs to; nullptr if it is deleted.
  const object* FindOwner(const task_record& task) const;

  accepted MakeAccepted() const { return {.revision = revision_}; }

  state& state_;
  core::revision revision_;
  core::wall_time_ms now_;
  std::vector<change> changes_;
};

}  // namespace mangoplank::cell

#endif  // MANGOPLANK_CELL_APPLY_H_
