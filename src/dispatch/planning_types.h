#ifndef MANGOPLANK_SRC_DISPATCH_PLANNING_TYPES_H_
#define MANGOPLANK_SRC_DISPATCH_PLANNING_TYPES_H_

#include <algorithm>
#include <compare>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dispatch/availability_index.h"
#include "dispatch/run_table.h"

/// What a planning round works on. Workers are named by their slot, a small
/// number, so that a round neither compares nor hashes their ids.
namespace mangoplank::dispatch {

struct worker_monitor;

/// Number of an incarnation of a worker; reused after it has ended.
using worker_slot = std::uint32_t;

/// @return the resources that a task of the step uses on a worker.
core::resources NeedOf(const workflow::step& step);

/// @return how many tasks with this need fit, at most `limit`.
std::size_t CountFitting(const core::resources& available,
                         const core::resources& need, std::size_t limit);

/// One step of one occurrence of a job.
struct step_key {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend auto operator<=>(const step_key&, const step_key&) = default;
};

struct ticket {
  worker_slot slot = 0;
  std::string text;
  core::time_point expires;

  friend bool operator==(const ticket&, const ticket&) = default;
};

enum class eligibility : std::uint8_t { kUnknown, kIneligible, kEligible };

/// Known results of the eligibility checks of a step.
struct eligibility_view {
  /// Calls that are not answered yet: one check may take several, side by side.
  std::size_t pending_calls = 0;
  core::time_point retry_after{};
  /// Workers on which capacity is reserved until the pending check is answered:
  /// those that it names, and those whose tickets outlast it.
  std::vector<worker_slot> reserved_on;
  /// By slot; slots beyond the end are unknown.
  std::vector<eligibility> known;
  /// One ticket for each eligible worker, valid or expired.
  std::vector<ticket> tickets;

  eligibility Of(worker_slot slot) const {
    return slot < known.size() ? known[slot] : eligibility::kUnknown;
  }
  /// @return the worker's ticket, or null if it is not known to be eligible.
  const ticket* FindTicket(worker_slot slot) const {
    const auto it = std::find_if(
        tickets.begin(), tickets.end(),
        [slot](const ticket& known) { return known.slot == slot; });
    return it == tickets.end() ? nullptr : &*it;
  }
  void Set(worker_slot slot, eligibility value) {
    if (slot >= known.size()) known.resize(slot + 1, eligibility::kUnknown);
    known[slot] = value;
  }
};

/// Whether a job can still meet the latency objective of its queue.
enum class objective_status : std::uint8_t { kOnTime, kLate, kUnreachable };

/// Order of a job among the waiting jobs.
struct job_rank {
  objective_status objective = objective_status::kOnTime;
  std::int32_t priority = 0;
  core::wall_time_ms accepted_at = 0;
  std::string id;

  friend auto operator<=>(const job_rank&, const job_rank&) = default;
};

/// A worker that can accept tasks, and its available resources in the current
/// round: without those assigned to or reserved for jobs of a higher rank.
struct usable_worker {
  std::shared_ptr<worker_monitor> monitor;
  worker_slot slot = 0;
  core::resources capacity;
  core::resources free_at_round_start;
  core::resources available;
  /// Resources of runs that are being stopped.
  core::resources releasing;
  /// Reserved in the last round, by any job. Jobs of a higher rank use it only
  /// if nothing else fits: whoever reserved it would have to start over.
  core::resources reserved_before;
};

/// The usable workers of one pool in the current round.
struct usable_pool {
  std::vector<usable_worker> workers;
  /// Positions in `workers`, by processors that are available and were not
  /// reserved in the last round.
  availability_index by_availability;
  /// Workers of the pool that answer, and those of them in back-off.
  std::size_t answering = 0;
  std::size_t in_backoff = 0;
  /// Available processors of all workers, in thousandths.
  std::int64_t available_cpu_milli = 0;
  /// A gang has reserved capacity of the pool in the current round.
  bool has_reservation = false;
  /// Needs that fitted on no worker; what is available only shrinks during a
  /// round, so that equal and larger ones don't fit either.
  std::vector<core::resources> unplaceable;
};

/// A worker that can run tasks of one step.
struct placement_option {
  usable_worker* worker = nullptr;
  /// Null if the step needs no ticket.
  const dispatch::ticket* ticket = nullptr;
  /// Tasks of the step that the worker may still get.
  std::uint32_t max_tasks = 0;
  /// Whether the worker is in the rack that holds the data.
  bool is_near_data = false;
  bool has_valid_ticket = false;
  /// Whether the worker was lost under a run of the step.
  bool was_lost = false;
};

/// Tasks of one step that are not assigned to a worker.
struct waiting_tasks {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::vector<std::uint32_t> indexes;
  /// Those of the tasks that may have crashed the worker of their last run.
  std::set<std::uint32_t> suspects;
  /// The tenant's cap keeps some of the tasks back in this round.
  bool is_capped = false;
  /// How many of the tasks a new eligibility check may be for.
  std::size_t checkable = 0;
  /// Highest run number of any task of the step.
  std::uint32_t last_run = 0;
  /// Only if the step limits its tasks on one worker.
  std::map<core::worker_id, std::uint32_t> placed_per_worker;
  /// Workers on which tasks of the step have failed, and when one last did.
  std::map<core::worker_id, core::time_point> failed_workers;
  /// Workers that were lost under runs of the step.
  std::set<core::worker_id> lost_workers;
};

/// What the rounds know of a job that may have unassigned tasks.
struct waiting_job {
  /// The job has changed since `steps` was read from the state.
  bool changed = true;
  job_rank rank;
  core::time_point rank_expires{};
  /// Steps that can start now.
  std::vector<waiting_tasks> steps;
};

/// What a gang may do while it can't start.
struct gang_status {
  /// Tasks that would fit if the workers that are known to be eligible were
  /// empty.
  std::size_t max_tasks = 0;
  /// Whether the gang may reserve capacity until there is enough.
  bool may_reserve = false;

  friend bool operator==(const gang_status&, const gang_status&) = default;
};

/// A worker that an eligibility check may name.
struct check_candidate {
  usable_worker* worker = nullptr;
  /// Tasks of the step that fit now.
  std::size_t fitting = 0;
  /// Null if the worker is not known to be eligible.
  const dispatch::ticket* ticket = nullptr;
};

/// Workers with available capacity for a step.
struct check_candidates {
  /// Known to be eligible.
  std::vector<check_candidate> eligible;
  std::vector<check_candidate> unknown;
};

/// Number of tasks that must be expected to fit on the workers of a check.
struct check_size {
  double tasks_if_known = 0;
  double tasks = 0;

  friend bool operator==(const check_size&, const check_size&) = default;
};

/// A run that a round has decided to start.
struct planned_run {
  std::shared_ptr<worker_monitor> monitor;
  workflow::run_id run;
  std::string ticket;
  /// The worker has answered since the round.
  bool worker_confirmed = false;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_PLANNING_TYPES_H_
