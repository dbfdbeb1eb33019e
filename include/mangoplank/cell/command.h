#ifndef MANGOPLANK_CELL_COMMAND_H_
#define MANGOPLANK_CELL_COMMAND_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoplank/cell/objects.h"
#include "mangoplank/core/failure.h"

/// Commands are the entries of the replicated log; changes are their effects.
namespace mangoplank::cell {

/// Creates or replaces an object.
struct put_object {
  object_key key;
  object_spec spec;
  /// Version that must be current; without a value any version is accepted.
  std::optional<core::revision> expected;
  /// The object must not exist.
  bool create_only = false;
  /// The object must exist.
  bool replace_only = false;

  friend bool operator==(const put_object&, const put_object&) = default;
};

/// Deletes an object. Waiting tasks end at once; placed tasks are stopped.
struct delete_object {
  object_key key;
  std::optional<core::revision> expected;

  friend bool operator==(const delete_object&, const delete_object&) = default;
};

/// Ends the tasks of a job but keeps the object.
struct cancel_job {
  object_key key;

  friend bool operator==(const cancel_job&, const cancel_job&) = default;
};

/// Registers a worker that announced a new name or incarnation. The tasks of an
/// earlier incarnation end.
struct register_worker {
  worker_record worker;

  friend bool operator==(const register_worker&,
                         const register_worker&) = default;
};

/// Removes a worker whose lease has provably ended.
struct remove_worker {
  core::worker_id id;
  core::incarnation incarnation = 0;

  friend bool operator==(const remove_worker&, const remove_worker&) = default;
};

struct task_placement {
  task_id id;
  core::worker_id worker;
  core::incarnation worker_incarnation = 0;

  friend bool operator==(const task_placement&,
                         const task_placement&) = default;
};

/// Assigns waiting tasks. Each group is applied as a whole or not at all.
struct place_tasks {
  std::vector<std::vector<task_placement>> groups;

  friend bool operator==(const place_tasks&, const place_tasks&) = default;
};

struct task_report {
  task_id id;
  std::uint32_t attempt = 0;
  /// kWaiting returns an assignment that the worker never started, or releases
  /// a task after its checkpoint.
  task_phase phase = task_phase::kRunning;
  std::string detail;

  friend bool operator==(const task_report&, const task_report&) = default;
};

/// Applies the reports of workers on their tasks.
struct report_tasks {
  std::vector<task_report> reports;

  friend bool operator==(const report_tasks&, const report_tasks&) = default;
};

/// Marks placed tasks to be stopped, to free capacity or to roll out a service.
struct evict_tasks {
  std::vector<task_id> tasks;

  friend bool operator==(const evict_tasks&, const evict_tasks&) = default;
};

/// Committed before the first byte of a non-idempotent call goes to a worker.
struct record_intent {
  call_key key;
  std::string operation_name;
  std::string digest;
  core::member_id entry;
  core::incarnation entry_incarnation = 0;
  core::worker_id worker;
  core::incarnation worker_incarnation = 0;
  /// Id of an intent of this entry that its worker provably did not start; 0
  /// for none. Only that intent, while it has no outcome, may be replaced.
  core::revision replaces = 0;
  /// The call is not sent: it ends as not_run, and its key never runs.
  bool refused = false;

  friend bool operator==(const record_intent&, const record_intent&) = default;
};

/// Sets the outcome of a call; the first final outcome is kept.
struct record_outcome {
  call_key key;
  core::revision id = 0;
  call_outcome outcome;

  friend bool operator==(const record_outcome&,
                         const record_outcome&) = default;
};

/// Removes old records and ended jobs.
struct compact_records {
  /// Call records and request ids older than this are removed.
  core::wall_time_ms before = 0;
  /// Jobs whose last task ended before this are removed with their tasks.
  core::wall_time_ms jobs_before = 0;

  friend bool operator==(const compact_records&,
                         const compact_records&) = default;
};

using command_body =
    std::variant<put_object, delete_object, cancel_job, register_worker,
                 remove_worker, place_tasks, report_tasks, evict_tasks,
                 record_intent, record_outcome, compact_records>;

struct command {
  /// Time of the proposal by the leader's clock.
  core::wall_time_ms proposed_at = 0;
  /// Unique to one request, or empty. A resend gets the first answer.
  core::request_id request;
  /// Department of the caller; empty for the system itself. Request ids of
  /// different departments are independent.
  core::department_id caller;
  command_body body;

  friend bool operator==(const command&, const command&) = default;
};

struct object_changed {
  cell::object object;
  friend bool operator==(const object_changed&,
                         const object_changed&) = default;
};
struct object_deleted {
  object_key key;
  friend bool operator==(const object_deleted&,
                         const object_deleted&) = default;
};
struct worker_changed {
  worker_record record;
  friend bool operator==(const worker_changed&,
                         const worker_changed&) = default;
};
struct worker_removed {
  core::worker_id id;
  core::incarnation incarnation = 0;
  friend bool operator==(const worker_removed&,
                         const worker_removed&) = default;
};
struct task_changed {
  task_record record;
  friend bool operator==(const task_changed&, const task_changed&) = default;
};
struct task_removed {
  task_id id;
  friend bool operator==(const task_removed&, const task_removed&) = default;
};
struct call_changed {
  call_record record;
  friend bool operator==(const call_changed&, const call_changed&) = default;
};
struct call_removed {
  call_key key;
  friend bool operator==(const call_removed&, const call_removed&) = default;
};

/// One change of the state by a command.
using change =
    std::variant<object_changed, object_deleted, worker_changed, worker_removed,
                 task_changed, task_removed, call_changed, call_removed>;

/// Answer to an accepted command.
struct accepted {
  /// Revision at which the command took effect; a resend gets the first one.
  core::revision revision = 0;
  /// The object after a put.
  std::optional<cell::object> object;
  /// The record after an intent or outcome. If the key already had a record, an
  /// intent gets that one.
  std::optional<call_record> call;
  /// For place_tasks: indices of the groups that no longer fitted.
  std::vector<std::uint32_t> refused_groups;

  friend bool operator==(const accepted&, const accepted&) = default;
};

/// Result of applying one command.
struct effect {
  core::outcome<accepted> answer;
  std::vector<change> changes;
};

}  // namespace mangoplank::cell

#endif  // MANGOPLANK_CELL_COMMAND_H_
