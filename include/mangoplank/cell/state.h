#ifndef MANGOPLANK_CELL_STATE_H_
#define MANGOPLANK_CELL_STATE_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoplank/cell/command.h"

namespace mangoplank::cell {

/// The answer that is kept for a resend of a request.
struct answered_request {
  /// Identifies the command, so that another command with the same id is
  /// rejected.
  std::uint64_t digest = 0;
  core::wall_time_ms answered_at = 0;
  core::outcome<accepted> answer;

  friend bool operator==(const answered_request&,
                         const answered_request&) = default;
};

/// The whole state, as it is written to a snapshot.
struct state_image {
  core::revision revision = 0;
  std::vector<object> objects;
  std::vector<worker_record> workers;
  std::vector<task_record> tasks;
  std::vector<call_record> calls;
  /// Caller, request id, answer.
  struct request_image {
    core::department_id caller;
    core::request_id id;
    answered_request answered;

    friend bool operator==(const request_image&,
                           const request_image&) = default;
  };
  std::vector<request_image> requests;

  friend bool operator==(const state_image&, const state_image&) = default;
};

/// The replicated state of a cell. Apply is deterministic: the same commands
/// in the same order give the same state in every process.
class state {
 public:
  /// Applies one committed command.
  /// @param revision of the command, one more than the last.
  effect Apply(core::revision revision, const command& proposed);

  /// @return the result of Apply, without a change of the state.
  effect DryRun(const command& proposed) const;

  core::revision Revision() const { return revision_; }
  /// @return nullptr if there is none.
  const object* Find(const object_key& key) const;
  const worker_record* FindWorker(const core::worker_id& id) const;
  const task_record* FindTask(const task_id& id) const;
  const call_record* FindCall(const call_key& key) const;
  const std::map<object_key, object>& Objects() const { return objects_; }
  const std::map<core::worker_id, worker_record>& Workers() const {
    return workers_;
  }
  const std::map<task_id, task_record>& Tasks() const { return tasks_; }
  const std::map<call_key, call_record>& Calls() const { return calls_; }
  /// @return resources of the worker that are held by its placed tasks.
  core::resources Committed(const core::worker_id& id) const;
  /// @return tasks that hold resources of the worker.
  const std::set<task_id>& TasksOf(const core::worker_id& id) const;
  job_status StatusOf(core::revision job_uid) const;

  state_image Image() const;
  static state FromImage(const state_image& image);

 private:
  friend class applier;

  core::revision revision_ = 0;
  std::map<object_key, object> objects_;
  std::map<core::worker_id, worker_record> workers_;
  std::map<task_id, task_record> tasks_;
  std::map<call_key, call_record> calls_;
  std::unordered_map<core::worker_id, core::resources> committed_;
  std::unordered_map<core::worker_id, std::set<task_id>> tasks_of_worker_;
  /// Calls without an outcome, by the worker that may run them.
  std::unordered_map<core::worker_id, std::set<call_key>> open_calls_;
  std::map<std::pair<core::department_id, core::request_id>, answered_request>
      requests_;
};

/// Validates an object before it is proposed.
/// @return one error for each invalid field; empty if there is none.
std::vector<core::field_error> Validate(const object_key& key,
                                        const object_spec& spec);

}  // namespace mangoplank::cell

#endif  // MANGOPLANK_CELL_STATE_H_
