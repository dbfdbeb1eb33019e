#ifndef MANGOPLANK_CONTROL_MESSAGES_H_
#define MANGOPLANK_CONTROL_MESSAGES_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoplank/cell/command.h"
#include "mangoplank/cell/objects.h"
#include "mangoplank/core/failure.h"

/// Messages between an entry and a control process.
namespace mangoplank::control {

// --- Worker announcements and orders -------------------------------------

/// State of one task as its worker sees it.
struct task_state {
  cell::task_id id;
  std::uint32_t attempt = 0;
  cell::task_phase phase = cell::task_phase::kRunning;
  /// Use at the time of the report.
  core::resources used;
  std::string detail;

  friend bool operator==(const task_state&, const task_state&) = default;
};

/// A worker's message about itself, renewing its lease.
struct announcement {
  cell::worker_record worker;
  /// Grows with each announcement of an incarnation.
  std::uint64_t sequence = 0;
  std::vector<task_state> tasks;
  /// The worker will stop: it takes no new work.
  bool leaving = false;

  friend bool operator==(const announcement&, const announcement&) = default;
};

struct start_order {
  cell::task_id id;
  std::uint32_t attempt = 0;
  core::resources need;
  std::string program;
  /// Service or job name, for the worker's routing of calls.
  std::string name;
  core::department_id department;
  bool is_service = false;

  friend bool operator==(const start_order&, const start_order&) = default;
};
struct stop_order {
  cell::task_id id;
  std::uint32_t attempt = 0;
  /// Write a checkpoint first.
  bool checkpoint = false;

  friend bool operator==(const stop_order&, const stop_order&) = default;
};
struct throttle_order {
  cell::task_id id;
  std::uint32_t attempt = 0;
  core::resources limit;

  friend bool operator==(const throttle_order&,
                         const throttle_order&) = default;
};
using order = std::variant<start_order, stop_order, throttle_order>;

/// Answer to an announcement.
struct announcement_reply {
  core::worker_id worker;
  core::incarnation incarnation = 0;
  /// Sequence of the announcement that is answered.
  std::uint64_t sequence = 0;
  core::term term = 0;
  /// Time from the sending of the announcement for which the worker may go on.
  core::milliseconds lease{0};
  std::vector<order> orders;
  /// Another incarnation uses the name; the worker must end its tasks.
  bool superseded = false;

  friend bool operator==(const announcement_reply&,
                         const announcement_reply&) = default;
};

// --- Slot shares -----------------------------------------------------------

/// How many calls an entry wants to send at once, by service.
struct slot_demand {
  cell::object_key service;
  /// Calls in flight and waiting, smoothed.
  std::int64_t wanted = 0;

  friend bool operator==(const slot_demand&, const slot_demand&) = default;
};

/// Slots of one worker that the entry may use.
struct slot_grant {
  core::worker_id worker;
  core::incarnation incarnation = 0;
  std::int64_t slots = 0;

  friend bool operator==(const slot_grant&, const slot_grant&) = default;
};

/// All grants of an entry; replaces the earlier set.
struct slot_grants {
  core::term term = 0;
  /// Grows with each set; the entry reports the one it has gone back to.
  std::uint64_t sequence = 0;
  /// Number of the report that is answered.
  std::uint64_t report_number = 0;
  /// Time from the sending of that report for which the grants hold. Counted
  /// from there since a paused process may receive the answer late.
  core::milliseconds lease{0};
  std::vector<slot_grant> grants;

  friend bool operator==(const slot_grants&, const slot_grants&) = default;
};

/// Demand of an entry, and the set of grants it now keeps to.
struct slot_report {
  /// Grows with each report of an entry process.
  std::uint64_t number = 0;
  /// Term and sequence of the set of grants that the entry keeps to.
  core::term term = 0;
  std::uint64_t applied_sequence = 0;
  std::vector<slot_demand> demand;
  /// What that set grants and has not ended; lets a new leader renew it.
  std::vector<slot_grant> held;

  friend bool operator==(const slot_report&, const slot_report&) = default;
};

// --- Requests and answers --------------------------------------------------

struct propose_request {
  cell::command command;
  bool dry_run = false;
  friend bool operator==(const propose_request&,
                         const propose_request&) = default;
};
/// One page of objects with their status; linearizable.
struct list_request {
  core::department_id department;
  std::optional<cell::object_kind> kind;
  /// Only this name if not empty.
  std::string name;
  /// Name after which the page begins.
  std::string after;
  std::uint32_t limit = 500;
  friend bool operator==(const list_request&, const list_request&) = default;
};
struct object_view {
  cell::object object;
  cell::job_status status;
  /// Set for workers.
  std::optional<cell::worker_record> worker;
  /// What the worker's placed tasks hold.
  core::resources committed;

  friend bool operator==(const object_view&, const object_view&) = default;
};
struct list_answer {
  core::revision revision = 0;
  std::vector<object_view> objects;
  bool more = false;
  friend bool operator==(const list_answer&, const list_answer&) = default;
};
/// Why a job waits, runs or ended.
struct explain_request {
  cell::object_key key;
  friend bool operator==(const explain_request&,
                         const explain_request&) = default;
};
struct explain_answer {
  core::revision revision = 0;
  std::vector<std::string> lines;
  std::vector<cell::task_record> tasks;
  friend bool operator==(const explain_answer&,
                         const explain_answer&) = default;
};
/// The record of a non-idempotent call; linearizable.
struct call_request {
  cell::call_key key;
  friend bool operator==(const call_request&, const call_request&) = default;
};
struct call_answer {
  std::optional<cell::call_record> call;
  friend bool operator==(const call_answer&, const call_answer&) = default;
};
/// State of all processes, for operators.
struct status_request {
  friend bool operator==(const status_request&,
                         const status_request&) = default;
};
struct entry_status {
  core::member_id id;
  core::region_id region;
  core::revision in_force = 0;
  core::milliseconds last_heard{0};
  friend bool operator==(const entry_status&, const entry_status&) = default;
};
struct control_status {
  core::member_id id;
  bool is_leader = false;
  bool voter = true;
  friend bool operator==(const control_status&,
                         const control_status&) = default;
};
struct department_share {
  core::department_id department;
  /// Dominant share now, its entitled share, and the decayed average; of 1.
  double share = 0;
  double entitled = 0;
  double average = 0;
  std::int64_t waiting_tasks = 0;
  std::int64_t running_tasks = 0;
  friend bool operator==(const department_share&,
                         const department_share&) = default;
};
struct status_answer {
  core::revision revision = 0;
  core::term term = 0;
  std::vector<entry_status> entries;
  std::vector<control_status> members;
  std::vector<department_share> shares;
  friend bool operator==(const status_answer&, const status_answer&) = default;
};

using request = std::variant<propose_request, list_request, explain_request,
                             call_request, status_request>;
using answer = std::variant<cell::accepted, list_answer, explain_answer,
                            call_answer, status_answer>;

// --- Connection ------------------------------------------------------------

/// First message of an entry.
struct hello {
  core::cell_id cell;
  core::member_id entry;
  core::incarnation incarnation = 0;
  core::region_id region;
  /// Version of this protocol.
  std::uint32_t version = 1;
  friend bool operator==(const hello&, const hello&) = default;
};
struct numbered_request {
  std::uint64_t number = 0;
  /// Time left to the asker when it sent the request.
  core::milliseconds time_left{0};
  control::request request;
  friend bool operator==(const numbered_request&,
                         const numbered_request&) = default;
};
struct numbered_answer {
  std::uint64_t number = 0;
  core::outcome<control::answer> answer{control::answer{}};
  friend bool operator==(const numbered_answer&,
                         const numbered_answer&) = default;
};
/// What a follower of the feed wants to hear.
enum class topic : std::uint8_t {
  /// Objects other than jobs, workers, and placed service tasks: what an entry
  /// needs to serve.
  kRouting,
  /// All objects and tasks of one department.
  kDepartment
};
/// Starts a feed after `from`; 0 asks for a full copy.
struct subscribe_request {
  std::uint64_t feed = 0;
  control::topic topic = control::topic::kRouting;
  core::department_id department;
  core::revision from = 0;
  friend bool operator==(const subscribe_request&,
                         const subscribe_request&) = default;
};
struct unsubscribe_request {
  std::uint64_t feed = 0;
  friend bool operator==(const unsubscribe_request&,
                         const unsubscribe_request&) = default;
};
/// Changes up to and including `to`, in order. An empty batch is a progress
/// mark.
struct feed_batch {
  std::uint64_t feed = 0;
  core::revision to = 0;
  core::wall_time_ms sent_at = 0;
  /// A full copy begins: forget what was known.
  bool reset = false;
  std::vector<cell::change> changes;
  friend bool operator==(const feed_batch&, const feed_batch&) = default;
};
struct announcement_batch {
  std::vector<announcement> announcements;
  friend bool operator==(const announcement_batch&,
                         const announcement_batch&) = default;
};
struct reply_batch {
  std::vector<announcement_reply> replies;
  friend bool operator==(const reply_batch&, const reply_batch&) = default;
};
/// Sent by both sides when nothing else was sent for a while.
struct heartbeat {
  /// An entry's revision in force; a control process's applied revision.
  core::revision revision = 0;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};
/// The sender closes; the receiver connects again after the named delay, which
/// differs between receivers so that they do not all come at once.
struct shutdown_notice {
  core::milliseconds reconnect_after{0};
  friend bool operator==(const shutdown_notice&,
                         const shutdown_notice&) = default;
};

using message = std::variant<hello, numbered_request, numbered_answer,
                             subscribe_request, unsubscribe_request, feed_batch,
                             announcement_batch, reply_batch, slot_report,
                             slot_grants, heartbeat, shutdown_notice>;

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_MESSAGES_H_
