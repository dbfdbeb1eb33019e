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

/// State of one task as its worker reports it.
struct task_state {
  cell::task_id id;
  std::uint32_t attempt = 0;
  cell::task_phase phase = cell::task_phase::kRunning;
  /// Usage at the time of the report.
  core::resources used;
  std::string detail;

  friend bool operator==(const task_state&, const task_state&) = default;
};

/// A worker's report on itself and its tasks; renews its lease.
struct announcement {
  cell::worker_record worker;
  /// Increases with each announcement of an incarnation.
  std::uint64_t sequence = 0;
  std::vector<task_state> tasks;
  /// The worker will stop and accepts no new tasks.
  bool leaving = false;

  friend bool operator==(const announcement&, const announcement&) = default;
};

struct start_order {
  cell::task_id id;
  std::uint32_t attempt = 0;
  core::resources need;
  std::string program;
  /// Name of the service or job, by which the worker routes calls.
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

/// Reply to an announcement.
struct announcement_reply {
  core::worker_id worker;
  core::incarnation incarnation = 0;
  /// Sequence of the announcement that this replies to.
  std::uint64_t sequence = 0;
  core::term term = 0;
  /// Lease, counted from the time at which the announcement was sent.
  core::milliseconds lease{0};
  std::vector<order> orders;
  /// Another incarnation has this name; the worker must end its tasks.
  bool superseded = false;

  friend bool operator==(const announcement_reply&,
                         const announcement_reply&) = default;
};

// --- Slot shares -----------------------------------------------------------

/// Concurrent calls that an entry needs for a service.
struct slot_demand {
  cell::object_key service;
  /// Smoothed number of calls in flight or queued.
  std::int64_t wanted = 0;

  friend bool operator==(const slot_demand&, const slot_demand&) = default;
};

/// Slots of one worker that an entry may use.
struct slot_grant {
  core::worker_id worker;
  core::incarnation incarnation = 0;
  std::int64_t slots = 0;

  friend bool operator==(const slot_grant&, const slot_grant&) = default;
};

/// All grants of an entry; replaces the previous set.
struct slot_grants {
  core::term term = 0;
  /// Increases with each set; the entry reports the one that it applied.
  std::uint64_t sequence = 0;
  /// Number of the report that this replies to.
  std::uint64_t report_number = 0;
  /// Lease of the grants, counted from the time at which that report was sent,
  /// since a paused process may receive the reply late.
  core::milliseconds lease{0};
  std::vector<slot_grant> grants;

  friend bool operator==(const slot_grants&, const slot_grants&) = default;
};

/// Demand of an entry, and the set of grants that it has applied.
struct slot_report {
  /// Increases with each report of an entry process.
  std::uint64_t number = 0;
  /// Term and sequence of the set of grants that the entry has applied.
  core::term term = 0;
  std::uint64_t applied_sequence = 0;
  std::vector<slot_demand> demand;
  /// Grants of that set that have not expired; a new leader can renew them.
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
/// Reads one page of objects with their status; linearizable.
struct list_request {
  core::department_id department;
  std::optional<cell::object_kind> kind;
  /// If not empty, only the object of this name is listed.
  std::string name;
  /// The page begins after this name.
  std::string after;
  std::uint32_t limit = 500;
  friend bool operator==(const list_request&, const list_request&) = default;
};
struct object_view {
  cell::object object;
  cell::job_status status;
  /// Set for workers.
  std::optional<cell::worker_record> worker;
  /// Resources held by the tasks that are placed on the worker.
  core::resources committed;

  friend bool operator==(const object_view&, const object_view&) = default;
};
struct list_answer {
  core::revision revision = 0;
  std::vector<object_view> objects;
  bool more = false;
  friend bool operator==(const list_answer&, const list_answer&) = default;
};
/// Reads why a job waits, runs or has ended.
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
/// Reads the record of a non-idempotent call; linearizable.
struct call_request {
  cell::call_key key;
  friend bool operator==(const call_request&, const call_request&) = default;
};
struct call_answer {
  std::optional<cell::call_record> call;
  friend bool operator==(const call_answer&, const call_answer&) = default;
};
/// Reads the status of all processes, for operators.
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
  /// Current dominant share, entitled share and decayed average, from 0 to 1.
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

/// First message of an entry on a connection.
struct hello {
  core::cell_id cell;
  core::member_id entry;
  core::incarnation incarnation = 0;
  core::region_id region;
  /// Protocol version.
  std::uint32_t version = 1;
  friend bool operator==(const hello&, const hello&) = default;
};
struct numbered_request {
  std::uint64_t number = 0;
  /// Time left until the deadline when the request was sent.
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
/// Selects the changes of a feed.
enum class topic : std::uint8_t {
  /// What an entry needs for routing: objects other than jobs, workers, and
  /// placed service tasks.
  kRouting,
  /// All objects and tasks of one department.
  kDepartment
};
/// Starts a feed after `from`; 0 requests a full copy.
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
  /// A full copy begins; the receiver discards its previous state.
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
/// Sent by both sides after a time without other messages.
struct heartbeat {
  /// An entry's revision in force; a control process's applied revision.
  core::revision revision = 0;
  friend bool operator==(const heartbeat&, const heartbeat&) = default;
};
/// The sender shuts down. The receiver reconnects after the given delay, which
/// differs between receivers so that they do not all connect at once.
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
