#ifndef MANGOPLANK_WORKFLOW_MESSAGES_H_
#define MANGOPLANK_WORKFLOW_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "mangoplank/core/failure.h"
#include "mangoplank/workflow/orders.h"
#include "mangoplank/workflow/types.h"

/// Messages between the leader and its clients: gateways, and control processes
/// that are not the leader.
namespace mangoplank::workflow {

/// Address of a caller's request: selects the queue and the job.
struct job_address {
  std::string host;
  /// Prefix of the queue, followed by the job's id.
  std::string path;
  friend bool operator==(const job_address&, const job_address&) = default;
};

struct submit_job {
  job_address address;
  /// The leader sets the id from the address.
  job_spec spec;
  /// Digest of the caller's key; no value if it sent none.
  std::optional<tenancy::key_digest> key;
  friend bool operator==(const submit_job&, const submit_job&) = default;
};
/// Reads a job, or the queue if the address names no job.
struct get_job {
  job_address address;
  /// Digest of the caller's key; no value if it sent none.
  std::optional<tenancy::key_digest> key;
  /// Time for which the answer may wait for the end of a job whose tasks all
  /// run.
  core::milliseconds wait{0};
  friend bool operator==(const get_job&, const get_job&) = default;
};
struct cancel_job {
  job_address address;
  /// Digest of the caller's key; no value if it sent none.
  std::optional<tenancy::key_digest> key;
  friend bool operator==(const cancel_job&, const cancel_job&) = default;
};
/// A worker's periodic report of its state.
struct worker_heartbeat {
  workflow::worker worker;
  /// Reading of the worker's steady clock, in milliseconds.
  std::int64_t clock_ms = 0;
  friend bool operator==(const worker_heartbeat&,
                         const worker_heartbeat&) = default;
};
/// The worker has ended all tasks and leaves its pool.
struct deregister_worker {
  core::worker_id id;
  /// 0 if the worker did not report it.
  core::wall_time_ms incarnation = 0;
  friend bool operator==(const deregister_worker&,
                         const deregister_worker&) = default;
};
struct declare_catalog {
  workflow::catalog catalog;
  friend bool operator==(const declare_catalog&,
                         const declare_catalog&) = default;
};
struct read_catalog {
  friend bool operator==(const read_catalog&, const read_catalog&) = default;
};
/// Requests to become a voting member of the replicated log.
struct join_members {
  core::member_id id;
  core::endpoint address;
  friend bool operator==(const join_members&, const join_members&) = default;
};

using request_body = std::variant<submit_job, get_job, cancel_job,
                                  worker_heartbeat, deregister_worker,
                                  declare_catalog, read_catalog, join_members>;

/// The change is recorded.
struct accepted {
  friend bool operator==(const accepted&, const accepted&) = default;
};
struct job_view {
  job_phase phase = job_phase::kQueued;
  job_failure failure = job_failure::kNone;
  friend bool operator==(const job_view&, const job_view&) = default;
};
/// The queue exists and has no such job.
struct job_not_found {
  friend bool operator==(const job_not_found&, const job_not_found&) = default;
};
struct queue_view {
  std::uint64_t queued = 0;
  friend bool operator==(const queue_view&, const queue_view&) = default;
};
struct catalog_view {
  std::uint64_t version = 0;
  std::string document;
  friend bool operator==(const catalog_view&, const catalog_view&) = default;
};

using answer_body = std::variant<accepted, job_view, job_not_found, queue_view,
                                 catalog_view, core::failure>;

/// First message of the side that opened the connection.
struct hello {
  std::string name;
  /// Whether the client can call the eligibility service for the leader.
  bool can_check_eligibility = false;
  /// Whether the client can send orders to workers for the leader.
  bool can_relay_orders = false;
  std::string data_centre;
  friend bool operator==(const hello&, const hello&) = default;
};
/// The members of the replicated log, as one process knows them.
struct member_list {
  /// Revision of the log at which these became the members.
  core::revision revision = 0;
  std::vector<core::member_id> ids;
  friend bool operator==(const member_list&, const member_list&) = default;
};
/// First message of the accepting side, which closes the connection when it
/// loses leadership.
struct hello_reply {
  core::member_id self;
  /// Empty if none is known.
  core::member_id leader;
  member_list members;
  friend bool operator==(const hello_reply&, const hello_reply&) = default;
};
/// The leader reports new members to the clients that are connected.
struct members_changed {
  member_list members;
  friend bool operator==(const members_changed&,
                         const members_changed&) = default;
};
struct request {
  std::uint64_t id = 0;
  request_body body;
  friend bool operator==(const request&, const request&) = default;
};
struct answer {
  std::uint64_t id = 0;
  answer_body body;
  friend bool operator==(const answer&, const answer&) = default;
};

/// A worker that may run a step, with the ticket that a start must carry.
struct eligible_worker {
  core::worker_id id;
  std::string ticket;
  friend bool operator==(const eligible_worker&,
                         const eligible_worker&) = default;
};
/// The leader requests an eligibility check of workers for a step.
struct eligibility_request {
  std::uint64_t id = 0;
  /// Any task of the step.
  task_id step;
  std::vector<core::worker_id> workers;
  friend bool operator==(const eligibility_request&,
                         const eligibility_request&) = default;
};
struct eligibility_reply {
  std::uint64_t id = 0;
  /// Whether the service answered; otherwise `eligible` has no meaning.
  bool known = false;
  std::vector<eligible_worker> eligible;
  friend bool operator==(const eligibility_reply&,
                         const eligibility_reply&) = default;
};

/// The leader requests that a control process sends an order to a worker.
struct order_request {
  std::uint64_t id = 0;
  worker_key worker;
  core::endpoint address;
  workflow::order order;
  /// Time allowed for the worker's answer.
  core::milliseconds timeout{0};
  /// The leader's steady clock when it sent this, in milliseconds.
  std::int64_t sent_at_ms = 0;
  friend bool operator==(const order_request&, const order_request&) = default;
};
struct order_reply {
  std::uint64_t id = 0;
  order_answer answer;
  friend bool operator==(const order_reply&, const order_reply&) = default;
};

using message = std::variant<hello, hello_reply, members_changed, request,
                             answer, eligibility_request, eligibility_reply,
                             order_request, order_reply>;

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_MESSAGES_H_
