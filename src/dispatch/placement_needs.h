#ifndef MANGOPLANK_SRC_DISPATCH_PLACEMENT_NEEDS_H_
#define MANGOPLANK_SRC_DISPATCH_PLACEMENT_NEEDS_H_

#include "dispatch/planning_types.h"

/// What a step asks of a worker, and what a round has left of its resources.
namespace mangoplank::dispatch {

/// @return whether the worker has the label; true if `label` is empty.
bool HasLabel(const workflow::worker& worker, const std::string& label);

/// @return whether a task of the step has failed on the worker after `cutoff`.
bool HasFailed(const waiting_tasks& waiting, const usable_worker& worker,
               core::time_point cutoff);

/// @param view null if the step needs no tickets.
/// @return the time up to which failures of the step's tasks no longer count. A
/// failure counts for longer if other workers could run the tasks.
core::time_point FailureCutoff(const workflow::step& step,
                               const waiting_tasks& waiting,
                               const eligibility_view* view,
                               const usable_pool& pool, core::time_point now);

/// @return how many tasks of the step the worker may still get by the step's
/// own limit.
std::uint32_t MaxTasksOn(const workflow::step& step,
                         const waiting_tasks& waiting,
                         const core::worker_id& worker);

/// Takes resources of a worker for a task; a negative amount gives them back.
void Take(usable_pool& pool, usable_worker& worker,
          const core::resources& amount);

/// Keeps capacity of a worker from jobs of a lower rank until the next round.
void Reserve(usable_pool& pool, usable_worker& worker,
             const core::resources& amount);

/// @return the available resources that no job had reserved in the last round.
core::resources Unreserved(const usable_worker& worker);

/// @return whether the need is known to fit on no worker in this round.
bool IsUnplaceable(const usable_pool& pool, const core::resources& need);

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_PLACEMENT_NEEDS_H_
