#ifndef MANGOPLANK_WORKFLOW_TYPES_H_
#define MANGOPLANK_WORKFLOW_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mangoplank/core/types.h"
#include "mangoplank/tenancy/tenant.h"

/// Workflows: jobs made of steps that depend on each other, submitted to
/// queues that operators declare.
namespace mangoplank::workflow {

/// Tasks of one step; all are alike.
struct step {
  std::uint32_t count = 1;
  core::resources need;
  /// Declared estimate of the run time of one task; may be far off.
  std::int64_t estimate_ms = 0;
  /// Earlier steps whose tasks must all have succeeded first.
  std::vector<std::uint32_t> depends_on;
  /// The tasks work only while all of them run, and succeed together.
  bool gang = false;
  /// Tasks on more than one rack are slower.
  bool same_rack = false;
  /// Label that a worker must have; empty for none.
  std::string required_label;
  /// Rack that holds the data; other racks are slower. Empty for none.
  std::string preferred_rack;
  /// Most tasks of the step on one worker; 0 for no limit.
  std::uint32_t max_per_worker = 0;
  /// Tasks save their progress and can resume from it.
  bool checkpointing = false;
  /// Runs until the job is cancelled and is restarted however it ends.
  bool long_running = false;
  /// CPU is not counted: the tasks use what other tasks leave idle.
  bool filler = false;

  friend bool operator==(const step&, const step&) = default;
};

/// What a caller submits.
struct job_spec {
  /// Chosen by the caller; names the job in every resend.
  std::string id;
  /// Opaque data that is passed to each task.
  std::string payload;
  std::vector<step> steps;
  /// Number of occurrences; 0 for a single one that is due at once.
  std::uint32_t repeat_count = 0;
  /// Due time of the first occurrence.
  core::wall_time_ms first_at = 0;
  std::int64_t interval_ms = 0;

  friend bool operator==(const job_spec&, const job_spec&) = default;
};

/// Cost of eligibility checks, and the validity of their tickets.
struct eligibility_policy {
  /// Time of a check, and the additional time for each worker in it.
  double decision_ms = 0;
  double per_worker_ms = 0;
  /// Time for which a ticket is valid.
  std::int64_t ticket_validity_ms = 0;

  friend bool operator==(const eligibility_policy&,
                         const eligibility_policy&) = default;
};

/// A queue for jobs, declared by the operator.
struct queue {
  std::string name;
  /// Host and longest matching path prefix select the queue of a request.
  std::string host;
  std::string path_prefix;
  std::int64_t timeout_ms = 0;
  /// Time allowed for a job in addition to its work.
  std::int64_t target_latency_ms = 0;
  /// 0 is the most urgent.
  std::int32_t priority = 0;
  /// Pool of workers that runs the tasks.
  std::string pool;
  /// Runs of a task that may fail before its job fails.
  std::uint32_t max_attempts = 1;
  /// A job is on time if it takes at most this multiple of its work.
  double stretch_factor = 1;
  /// Set if only some workers may run a step.
  std::optional<eligibility_policy> eligibility;
  /// Callers need no key, and the jobs belong to no tenant.
  bool anonymous = false;

  friend bool operator==(const queue&, const queue&) = default;
};

/// @return whether requests for one queue reach the other, whatever its name
/// in a later declaration.
inline bool HaveSameAddress(const queue& a, const queue& b) {
  return a.host == b.host && a.path_prefix == b.path_prefix;
}

/// Workers of one kind of service.
struct pool {
  std::string name;
  /// The workers refuse tasks that exceed their capacity.
  bool enforces_capacity = false;
  /// The VMs of the pool are powered off.
  bool standby = false;

  friend bool operator==(const pool&, const pool&) = default;
};

/// Queues, pools and tenants that operators declare, under one version.
struct catalog {
  std::uint64_t version = 0;
  std::vector<queue> queues;
  std::vector<pool> pools;
  /// Callers need a key of a tenant; without a value every caller is anonymous.
  std::optional<std::vector<tenancy::tenant>> tenants;
  /// The declaration as it was received, for reading it back. It contains the
  /// API keys as text and must not be logged.
  std::string document;

  friend bool operator==(const catalog&, const catalog&) = default;
};

/// One incarnation of a worker process.
struct worker_key {
  core::worker_id id;
  /// Start as Unix time in milliseconds; identifies an incarnation of one id.
  core::wall_time_ms incarnation = 0;

  friend bool operator==(const worker_key&, const worker_key&) = default;
  friend auto operator<=>(const worker_key&, const worker_key&) = default;
};

struct worker {
  worker_key key;
  core::endpoint address;
  std::string pool;
  std::string zone;
  core::resources capacity;
  std::vector<std::string> labels;
  /// The worker is about to deregister and accepts no new tasks.
  bool draining = false;
  /// Number of the worker's report that this is taken from; increases with
  /// each report of an incarnation.
  std::int64_t report_sequence = 0;

  friend bool operator==(const worker&, const worker&) = default;
};

/// One task of a job.
struct task_id {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  friend bool operator==(const task_id&, const task_id&) = default;
  friend auto operator<=>(const task_id&, const task_id&) = default;
};

/// One run of a task. The number increases with each run.
struct run_id {
  task_id task;
  std::uint32_t number = 0;

  friend bool operator==(const run_id&, const run_id&) = default;
  friend auto operator<=>(const run_id&, const run_id&) = default;
};

/// How a run ended.
enum class run_end : std::uint8_t {
  kDone,
  kFailed,
  /// Stopped by an order of the leader.
  kStopped,
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangMemberEnded,
  /// The other members of the gang did not start.
  kGangIncomplete,
  /// The worker has not started the run and never will.
  kNotStarted,
  /// The worker was lost long after the start, so that the run is not the
  /// likely cause.
  kLost,
  /// The worker did not answer until its lease had ended: it may have crashed,
  /// or be cut off.
  kUnreachable,
  /// The worker crashed while the run was at work.
  kCrashed,
  /// The worker crashed while the run was starting.
  kCrashedAtStart,
  /// The worker was lost, and nothing shows that it was alive when the start
  /// order was sent, or that it had the run.
  kLostUnconfirmed,
  /// The worker has had the run and lists neither it nor its end, which it has
  /// discarded unread. The run may have succeeded.
  kEndUnread,
};
inline constexpr run_end kLastRunEnd = run_end::kEndUnread;
inline constexpr std::size_t kRunEndCount =
    static_cast<std::size_t>(kLastRunEnd) + 1;

/// @return whether a run with this end is known to have started.
constexpr bool HadStarted(run_end ending) {
  return ending != run_end::kNotStarted && ending != run_end::kUnreachable &&
         ending != run_end::kCrashedAtStart &&
         ending != run_end::kLostUnconfirmed;
}

/// @return whether the run was lost with its worker.
constexpr bool IsLoss(run_end ending) {
  return ending == run_end::kLost || ending == run_end::kUnreachable ||
         ending == run_end::kCrashed || ending == run_end::kCrashedAtStart ||
         ending == run_end::kLostUnconfirmed;
}

enum class job_phase : std::uint8_t {
  kQueued,
  kRunning,
  kSucceeded,
  kFailed,
  kCancelled
};

/// Why a job has failed.
enum class job_failure : std::uint8_t {
  kNone,
  /// A task has failed as often as its queue allows.
  kAttempts,
  /// Workers crash when they start a task of the job.
  kWorkerCrashes
};

/// @return the name used in logs and answers.
constexpr std::string_view Name(job_failure failure) {
  constexpr std::string_view kNames[] = {"none", "attempts", "worker_crashes"};
  return kNames[static_cast<std::size_t>(failure)];
}

/// @return the name used in logs and metrics.
constexpr std::string_view Name(run_end ending) {
  constexpr std::string_view kNames[kRunEndCount] = {
      "done",        "failed",  "stopped",          "lapsed",
      "broken",      "alone",   "not_started",      "worker_lost",
      "unreachable", "crashed", "crashed_at_start", "lost_unconfirmed",
      "end_unread"};
  return kNames[static_cast<std::size_t>(ending)];
}
constexpr std::string_view Name(job_phase phase) {
  constexpr std::string_view kNames[] = {"queued", "running", "succeeded",
                                         "failed", "cancelled"};
  return kNames[static_cast<std::size_t>(phase)];
}

inline bool IsFinal(job_phase phase) { return phase >= job_phase::kSucceeded; }

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_TYPES_H_
