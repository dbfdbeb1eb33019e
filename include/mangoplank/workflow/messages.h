#ifndef MANGOPLANK_WORKFLOW_MESSAGES_H_
#define MANGOPLANK_WORKFLOW_MESSAGES_H_

#include <string>
#include <variant>
#include <vector>

#include "mangoplank/core/failure.h"
#include "mangoplank/workflow/types.h"

/// Messages between a gateway, or a control process that does not lead, and
/// the leader.
namespace mangoplank::workflow {

/// Where a caller's request was sent: selects queue and job.
struct job_address {
  std::string host;
  /// Prefix of the queue, followed by the job's id.
  std::string path;
  friend bool operator==(const job_address&, const job_address&) = default;
};

struct submit_job {
  job_address to;
  /// The leader sets the id from the address.
  job_spec spec;
  friend bool operator==(const submit_job&, const submit_job&) = default;
};
/// Asks for a job, or for the queue if the address names no job.
struct get_job {
  job_address to;
  friend bool operator==(const get_job&, const get_job&) = default;
};
struct cancel_job {
  job_address to;
  friend bool operator==(const cancel_job&, const cancel_job&) = default;
};
/// A worker's report about itself.
struct announce_worker {
  worker w;
  /// Steady clock of the worker, in milliseconds.
  std::int64_t clock_ms = 0;
  friend bool operator==(const announce_worker&,
                         const announce_worker&) = default;
};
/// The worker has ended everything and leaves.
struct remove_worker {
  core::worker_id id;
  /// 0 if the worker did not say.
  core::wall_time_ms born = 0;
  friend bool operator==(const remove_worker&, const remove_worker&) = default;
};
struct declare_catalog {
  catalog c;
  friend bool operator==(const declare_catalog&,
                         const declare_catalog&) = default;
};
struct read_catalog {
  friend bool operator==(const read_catalog&, const read_catalog&) = default;
};
/// Asks to become a voting member of the log.
struct join_members {
  core::member_id id;
  core::endpoint address;
  friend bool operator==(const join_members&, const join_members&) = default;
};

using request_body =
    std::variant<submit_job, get_job, cancel_job, announce_worker,
                 remove_worker, declare_catalog, read_catalog, join_members>;

/// The change is recorded.
struct accepted {
  friend bool operator==(const accepted&, const accepted&) = default;
};
struct job_view {
  job_phase phase = job_phase::kQueued;
  friend bool operator==(const job_view&, const job_view&) = default;
};
/// The queue exists and has no such job.
struct no_such_job {
  friend bool operator==(const no_such_job&, const no_such_job&) = default;
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

using answer_body = std::variant<accepted, job_view, no_such_job, queue_view,
                                 catalog_view, core::failure>;

/// First message of the side that opened the connection.
struct hello {
  std::string name;
  /// Can ask the eligibility service for the leader.
  bool asks_eligibility = false;
  friend bool operator==(const hello&, const hello&) = default;
};
/// First message of the other side. It closes the connection when it stops
/// leading.
struct greeting {
  core::member_id self;
  /// Empty if none is known.
  core::member_id leader;
  std::vector<core::member_id> members;
  friend bool operator==(const greeting&, const greeting&) = default;
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

/// A worker that may run a step, with the ticket that a start must show.
struct eligible_worker {
  core::worker_id id;
  std::string ticket;
  friend bool operator==(const eligible_worker&,
                         const eligible_worker&) = default;
};
/// The leader asks for workers that may run a step.
struct ask_eligibility {
  std::uint64_t id = 0;
  /// Any task of the step.
  task_id step;
  std::vector<core::worker_id> workers;
  friend bool operator==(const ask_eligibility&,
                         const ask_eligibility&) = default;
};
struct eligibility {
  std::uint64_t id = 0;
  /// The service gave an answer; without one nothing is known.
  bool known = false;
  std::vector<eligible_worker> eligible;
  friend bool operator==(const eligibility&, const eligibility&) = default;
};

using message = std::variant<hello, greeting, request, answer, ask_eligibility,
                             eligibility>;

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_MESSAGES_H_
