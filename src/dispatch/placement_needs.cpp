#include "dispatch/placement_needs.h"

#include <algorithm>

#include "dispatch/dispatcher_impl.h"

namespace mangoplank::dispatch {

namespace {

/// Time for which a worker gets no more tasks of a step that has failed there,
/// if others could run them: longer than a worker usually fails all tasks.
constexpr core::milliseconds kFailureMemory{6'000};
/// The same if no other worker could run the tasks. A worker that fails all of
/// them at once must not use up their attempts.
constexpr core::milliseconds kRetryDelay{2'000};

}  // namespace

core::resources NeedOf(const workflow::step& step) {
  core::resources need = step.need;
  if (step.filler) need.cpu_milli = 0;
  return need;
}

std::size_t CountFitting(const core::resources& available,
                         const core::resources& need, std::size_t limit) {
  if (!available.Holds(need)) return 0;
  auto count = static_cast<std::int64_t>(limit);
  if (need.cpu_milli > 0) {
    count = std::min(count, available.cpu_milli / need.cpu_milli);
  }
  if (need.memory_mib > 0) {
    count = std::min(count, available.memory_mib / need.memory_mib);
  }
  if (need.accelerators > 0) {
    count = std::min(count, available.accelerators / need.accelerators);
  }
  return static_cast<std::size_t>(count);
}

bool HasLabel(const workflow::worker& worker, const std::string& label) {
  return label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                    label) != worker.labels.end();
}

bool HasFailed(const waiting_tasks& waiting, const usable_worker& worker,
               core::time_point cutoff) {
  if (waiting.failed_workers.empty()) return false;
  const auto failed =
      waiting.failed_workers.find(worker.monitor->worker.key.id);
  return failed != waiting.failed_workers.end() && failed->second > cutoff;
}

core::time_point FailureCutoff(const workflow::step& step,
                               const waiting_tasks& waiting,
                               const eligibility_view* view,
                               const usable_pool& pool, core::time_point now) {
  if (waiting.failed_workers.empty()) return now;
  const core::resources need = NeedOf(step);
  // A gang needs workers for all of its tasks.
  const std::size_t needed = step.gang ? waiting.indexes.size() : 1;
  std::size_t fitting = 0;
  for (const usable_worker& worker : pool.workers) {
    const workflow::worker& other = worker.monitor->worker;
    const bool is_eligible =
        view == nullptr || view->Of(worker.slot) != eligibility::kIneligible;
    if (!is_eligible || !HasLabel(other, step.required_label) ||
        HasFailed(waiting, worker, now - kFailureMemory)) {
      continue;
    }
    fitting += CountFitting(worker.capacity, need,
                            MaxTasksOn(step, waiting, other.key.id));
    if (fitting >= needed) return now - kFailureMemory;
  }
  return now - kRetryDelay;
}

std::uint32_t MaxTasksOn(const workflow::step& step,
                         const waiting_tasks& waiting,
                         const core::worker_id& worker) {
  if (step.max_per_worker == 0) return step.count;
  const auto placed = waiting.placed_per_worker.find(worker);
  const std::uint32_t used =
      placed == waiting.placed_per_worker.end() ? 0 : placed->second;
  return step.max_per_worker > used ? step.max_per_worker - used : 0;
}

void Take(usable_pool& pool, usable_worker& worker,
          const core::resources& amount) {
  const std::int64_t before =
      std::max<std::int64_t>(0, worker.available.cpu_milli);
  worker.available = worker.available - amount;
  const std::int64_t after =
      std::max<std::int64_t>(0, worker.available.cpu_milli);
  pool.available_cpu_milli += after - before;
  const auto position =
      static_cast<std::uint32_t>(&worker - pool.workers.data());
  pool.by_availability.Set(position, Unreserved(worker).cpu_milli);
}

void Reserve(usable_pool& pool, usable_worker& worker,
             const core::resources& amount) {
  Take(pool, worker, amount);
  worker.monitor->reserved = worker.monitor->reserved + amount;
}

core::resources Unreserved(const usable_worker& worker) {
  return worker.available - worker.reserved_before;
}

bool IsUnplaceable(const usable_pool& pool, const core::resources& need) {
  return std::any_of(
      pool.unplaceable.begin(), pool.unplaceable.end(),
      [&](const core::resources& refused) { return need.Holds(refused); });
}

}  // namespace mangoplank::dispatch
