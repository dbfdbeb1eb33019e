#ifndef MANGOPLANK_CELL_APPLY_H_
#define MANGOPLANK_CELL_APPLY_H_

#include <vector>

#include "mangoplank/cell/state.h"

namespace mangoplank::cell {

/// Applies one command to a state and collects the changes.
class applier {
 public:
  applier(state* s, core::revision at, core::wall_time_ms now)
      : s_(*s), at_(at), now_(now) {}

  effect Run(const command_body& body);

  using answer = core::outcome<accepted>;
  answer operator()(const put_object& c);
  answer operator()(const delete_object& c);
  answer operator()(const cancel_job& c);
  answer operator()(const register_worker& c);
  answer operator()(const remove_worker& c);
  answer operator()(const place_tasks& c);
  answer operator()(const report_tasks& c);
  answer operator()(const evict_tasks& c);
  answer operator()(const record_intent& c);
  answer operator()(const record_outcome& c);
  answer operator()(const compact_records& c);

 private:
  // Objects, in apply_objects.cpp.
  std::optional<core::failure> CheckPut(const put_object& c,
                                        const object* existing) const;
  std::optional<core::failure> CheckReferences(const put_object& c) const;
  std::optional<core::failure> CheckChange(const object& existing,
                                           const object_spec& spec) const;
  void SyncTasks(const object& o);
  void ResizeTasks(const object& o, std::int64_t count, core::resources need);
  void EndTasksFrom(const object& o, std::uint32_t first);
  void DrainWorker(const core::worker_id& id, bool drain);
  bool DepartmentInUse(const core::department_id& d) const;
  void ForgetEndedJobs(core::wall_time_ms before);

  // Tasks, in apply_tasks.cpp.
  void EndTask(task_record t);
  void LoseWorker(const worker_record& w);
  void LoseTask(task_record t);
  void LoseCalls(const worker_record& w);
  void CloseCall(const call_record& r);
  void SetOutcome(call_record* r, const call_outcome& outcome);
  void ApplyReport(const task_report& r);
  void ApplyFailure(task_record t, const std::string& detail);
  void Requeue(task_record t);
  void RestartGang(const task_record& lost);
  bool CanPlace(const std::vector<task_placement>& group) const;
  void Place(const task_placement& p);
  void Finish(task_record t, task_phase phase);
  void SetTask(const task_record& t);
  void RemoveTask(const task_id& id);
  /// @return the object that the task belongs to; nullptr if it is deleted.
  const object* OwnerOf(const task_record& t) const;

  accepted Accepted() const { return {.revision = at_}; }

  state& s_;
  core::revision at_;
  core::wall_time_ms now_;
  std::vector<change> changes_;
};

}  // namespace mangoplank::cell

#endif  // MANGOPLANK_CELL_APPLY_H_
