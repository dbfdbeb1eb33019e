#ifndef MANGOPLANK_CELL_COMMAND_H_
#define MANGOPLANK_CELL_COMMAND_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoplank/cell/objects.h"
#include "mangoplank/core/failure.h"

/// Commands are the entries of the replicated log; changes are what they did.
namespace mangoplank::cell {

/// Creates or replaces an object.
struct put_object {
  object_key key;
  object_spec spec;
  /// Version that must be current; no value allows any.
  std::optional<core::revision> expected;
  /// The object must not exist.
  bool create_only = false;
  /// The object must exist.
  bool replace_only = false;

  friend bool operator==(const put_object&, const put_object&) = default;
};

/// Deletes an object; tasks not started are ended, others are stopped.
struct delete_object {
  object_key key;
  std::optional<core::revision> expected;

  friend bool operator==(const delete_object&, const delete_object&) = default;
};

/// Ends a job's tasks but keeps the object.
struct cancel_job {
  object_key key;

  friend bool operator==(const cancel_job&, const cancel_job&) = default;
};

/// A worker announced itself under a new name or incarnation. The tasks of an
/// earlier incarnation end.
struct register_worker {
  worker_record worker;

  friend bool operator==(const register_worker&,
                         const register_worker&) = default;
};

/// The lease of a worker has certainly ended.
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

/// Assigns waiting tasks. Each group is applied whole or not at all.
struct place_tasks {
  std::vector<std::vector<task_placement>> groups;

  friend bool operator==(const place_tasks&, const place_tasks&) = default;
};

struct task_report {
  task_id id;
  std::uint32_t attempt = 0;
  /// kWaiting takes an assignment back that the worker never started, or
  /// releases a task after its checkpoint.
  task_phase phase = task_phase::kRunning;
  std::string detail;

  friend bool operator==(const task_report&, const task_report&) = default;
};

/// What workers said about their tasks.
struct report_tasks {
  std::vector<task_report> reports;

  friend bool operator==(const report_tasks&, const report_tasks&) = default;
};

/// Asks for running tasks to be stopped, to give room or to roll a service.
struct evict_tasks {
  std::vector<task_id> tasks;

  friend bool operator==(const evict_tasks&, const evict_tasks&) = default;
};

/// Recorded before the first byte of a non-idempotent call goes to a worker.
struct record_intent {
  call_key key;
  std::string operation_name;
  std::string digest;
  core::member_id entry;
  core::incarnation entry_incarnation = 0;
  core::worker_id worker;
  core::incarnation worker_incarnation = 0;
  /// Id of this entry's own intent that its worker certainly did not start;
  /// 0 for none. Only that one, while open, may be replaced.
  core::revision replaces = 0;
  /// Nothing will be sent: the call ends as not_run, and its key never runs.
  bool refused = false;

  friend bool operator==(const record_intent&, const record_intent&) = default;
};

/// Sets the outcome of a call; the first final one stays.
struct record_outcome {
  call_key key;
  core::revision id = 0;
  call_outcome outcome;

  friend bool operator==(const record_outcome&,
                         const record_outcome&) = default;
};

/// Forgets what ended long ago.
struct compact_records {
  /// Call records and request ids older than this.
  core::wall_time_ms before = 0;
  /// Jobs whose last task ended before this, with their tasks.
  core::wall_time_ms jobs_before = 0;

  friend bool operator==(const compact_records&,
                         const compact_records&) = default;
};

using command_body =
    std::variant<put_object, delete_object, cancel_job, register_worker,
                 remove_worker, place_tasks, report_tasks, evict_tasks,
                 record_intent, record_outcome, compact_records>;

struct command {
  /// Leader's time when it was proposed.
  core::wall_time_ms proposed_at = 0;
  /// Empty, or unique to one request: a resend gets the first answer.
  core::request_id request;
  /// Department of the caller; empty for the system itself. Request ids of
  /// different departments do not meet.
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

/// One difference that a command made to the state.
using change =
    std::variant<object_changed, object_deleted, worker_changed, worker_removed,
                 task_changed, task_removed, call_changed, call_removed>;

/// Answer to an accepted command.
struct accepted {
  /// Revision at which the command took effect; a resend hears the first.
  core::revision revision = 0;
  /// The object after a put.
  std::optional<cell::object> object;
  /// The record after an intent or outcome; an intent that met an earlier one
  /// of the same key hears that one.
  std::optional<call_record> call;
  /// For place_tasks: groups that no longer fitted, by index.
  std::vector<std::uint32_t> refused;

  friend bool operator==(const accepted&, const accepted&) = default;
};

/// Result of applying one command.
struct effect {
  core::outcome<accepted> answer;
  std::vector<change> changes;
};

}  // namespace mangoplank::cell

#endif  // MANGOPLANK_CELL_COMMAND_H_
