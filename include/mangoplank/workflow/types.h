#ifndef MANGOPLANK_WORKFLOW_TYPES_H_
#define MANGOPLANK_WORKFLOW_TYPES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mangoplank/core/types.h"

/// Workflows: jobs made of steps that depend on each other, submitted to
/// queues that operators declare.
namespace mangoplank::workflow {

/// Tasks of one step; all are alike.
struct step {
  std::uint32_t count = 1;
  core::resources need;
  /// Rough run time of one task, as declared; may be far off.
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
  /// Its processors are not counted: it uses what other tasks leave.
  bool filler = false;

  friend bool operator==(const step&, const step&) = default;
};

/// What a caller submits.
struct job_spec {
  /// Chosen by the caller; names the job in every resend.
  std::string id;
  /// Passed to each task unread.
  std::string payload;
  std::vector<step> steps;
  /// Times that the steps run; 0 for once, at once.
  std::uint32_t repeat_count = 0;
  /// Due time of the first occurrence.
  core::wall_time_ms first_at = 0;
  std::int64_t interval_ms = 0;

  friend bool operator==(const job_spec&, const job_spec&) = default;
};

/// Costs of asking the eligibility service about one step.
struct eligibility_policy {
  /// Time of a call, and what each named worker adds to it.
  double decision_ms = 0;
  double per_worker_ms = 0;
  /// Life of a ticket.
  std::int64_t ticket_life_ms = 0;

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
  /// Time allowed for a job beside its work.
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

  friend bool operator==(const queue&, const queue&) = default;
};

/// Workers of one kind of service.
struct pool {
  std::string name;
  /// The workers refuse what does not fit by themselves.
  bool enforces_capacity = false;
  /// The VMs of the pool are off.
  bool standby = false;

  friend bool operator==(const pool&, const pool&) = default;
};

/// What operators declare, as one versioned whole.
struct catalog {
  std::uint64_t version = 0;
  std::vector<queue> queues;
  std::vector<pool> pools;
  /// The declaration as it was received, for reading it back.
  std::string document;

  friend bool operator==(const catalog&, const catalog&) = default;
};

/// One life of a worker process.
struct worker_key {
  core::worker_id id;
  /// Unix time of the start in milliseconds; tells lives of one id apart.
  core::wall_time_ms born = 0;

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
  /// Is leaving and takes no new tasks.
  bool draining = false;

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

/// One start of a task. Numbers rise with each start.
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
  /// By an order of ours.
  kStopped,
  /// The worker's lease expired.
  kLapsed,
  /// Another member of the gang ended.
  kBroken,
  /// The rest of the gang did not come.
  kAlone,
  /// The worker never began it and never will.
  kNotStarted,
  /// The worker is gone.
  kLost,
};

enum class job_phase : std::uint8_t {
  kQueued,
  kRunning,
  kSucceeded,
  kFailed,
  kCancelled
};

/// @return the word for logs and metrics.
constexpr std::string_view Name(run_end how) {
  constexpr std::string_view kNames[] = {"done",        "failed",     "stopped",
                                         "lapsed",      "broken",     "alone",
                                         "not_started", "worker_lost"};
  return kNames[static_cast<std::size_t>(how)];
}
constexpr std::string_view Name(job_phase p) {
  constexpr std::string_view kNames[] = {"queued", "running", "succeeded",
                                         "failed", "cancelled"};
  return kNames[static_cast<std::size_t>(p)];
}

inline bool IsFinal(job_phase p) { return p >= job_phase::kSucceeded; }

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_TYPES_H_
