#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

std::string Cores(std::int64_t milli) {
  return fmt::format("{:g} cores", static_cast<double>(milli) / 1000);
}

std::int64_t Milliseconds(core::duration duration) {
  return std::chrono::duration_cast<core::milliseconds>(duration).count();
}

}  // namespace

std::string Describe(const placement::shortage& shortage) {
  switch (shortage.kind) {
    case shortage::constraint_kind::kCpu:
      return fmt::format("a task needs {}, the largest worker has {}",
                         Cores(shortage.requested), Cores(shortage.available));
    case shortage::constraint_kind::kMemory:
      return fmt::format("a task needs {} MiB, the largest worker has {} MiB",
                         shortage.requested, shortage.available);
    case shortage::constraint_kind::kAccelerators:
      return fmt::format(
          "a task needs {} accelerators, the largest worker has {}",
          shortage.requested, shortage.available);
    case shortage::constraint_kind::kCombination:
      return "no single worker has all the resources that a task needs";
    case shortage::constraint_kind::kRegion:
      return "there are no workers in the required region";
    case shortage::constraint_kind::kGangSize:
      return fmt::format(
          "{} tasks must run together, but only {} fit on empty workers",
          shortage.requested, shortage.available);
  }
  return "unknown shortage";
}

explanation scheduler::impl::Explain(const cell::object_key& key,
                                     core::time_point now) const {
  const job_entry* job = jobs_.FindByKey(key);
  if (job == nullptr) return {{"The job is not known or has ended."}};
  explanation result;
  result.lines.push_back(fmt::format("{} waiting, {} being placed, {} placed.",
                                     job->waiting, job->proposed, job->placed));
  if (job->waiting == 0) return result;
  if (!job->declared) {
    result.lines.emplace_back("The job is deleted; its tasks are ending.");
    return result;
  }
  if (job->unsatisfiable) {
    for (const placement::shortage& shortage : job->shortages) {
      result.lines.emplace_back("Cannot run: " + Describe(shortage) + ".");
    }
    return result;
  }
  ExplainDelays(*job, now, result);
  ExplainDepartment(*job, result);
  ExplainCapacity(*job, now, result);
  return result;
}

void scheduler::impl::ExplainDelays(const job_entry& job, core::time_point now,
                                    explanation& result) const {
  if (job.not_before > now) {
    result.lines.emplace_back(fmt::format(
        "Delayed for {} more ms, because its tasks failed on {} "
        "workers and none has succeeded since.",
        Milliseconds(job.not_before - now), job.failed_workers.size()));
  }
  const department_node& node = departments_.At(job.department);
  const bool has_retries = std::any_of(
      job.tasks.begin(), job.tasks.end(), [](const task_slot& slot) {
        return slot.state == slot_state::kWaiting && slot.failures > 0;
      });
  if (has_retries && node.retry_tokens < 1) {
    result.lines.emplace_back(
        fmt::format("The department's retry budget for failed tasks is used "
                    "up; it gains {:g} restarts per second.",
                    policy_.retries_per_second));
  }
}

void scheduler::impl::ExplainDepartment(const job_entry& job,
                                        explanation& result) const {
  const department_node& node = departments_.At(job.department);
  const auto it = node.queue.find(job.queue_position);
  const auto jobs_ahead = std::distance(node.queue.begin(), it);
  if (job.in_queue && jobs_ahead > 0) {
    result.lines.emplace_back(
        fmt::format("{} jobs of the department come before it.", jobs_ahead));
  }
  if (!departments_.IsWithinQuota(job.department, job.need)) {
    result.lines.emplace_back(
        "The department's quota is used up; the job can only run on borrowed "
        "capacity, and may be stopped when another department reclaims it.");
  }
}

void scheduler::impl::ExplainCapacity(const job_entry& job,
                                      core::time_point now,
                                      explanation& result) const {
  worker_query query = MakeQuery(job, job.need);
  std::int64_t fitting = 0;
  std::int64_t fitting_in_home_region = 0;
  for (std::int32_t worker = 0;
       worker < static_cast<std::int32_t>(pool_.Size()); ++worker) {
    const worker_entry& entry = pool_.At(worker);
    if (!pool_.Fits(entry, query)) continue;
    ++fitting;
    fitting_in_home_region += entry.region == query.home_region;
  }
  if (fitting == 0) {
    result.lines.emplace_back(
        "No worker has enough free capacity for one of its tasks.");
  } else if (query.home_region != kNoIndex && fitting_in_home_region == 0 &&
             !MayLeaveHomeRegion(job, now)) {
    result.lines.emplace_back(
        "No worker in the region of its other tasks has enough free capacity; "
        "it will use another region if it waits longer.");
  } else if (std::holds_alternative<gang_work>(job.work)) {
    result.lines.push_back(fmt::format(
        "{} workers have enough free capacity for one of its tasks, but {} "
        "tasks must start together.",
        fitting, job.waiting));
  } else {
    result.lines.emplace_back(
        fmt::format("{} workers have enough free capacity for one of its "
                    "tasks; it waits for its turn by department share and "
                    "queue order.",
                    fitting));
  }
  if (!job.earmarked_workers.empty()) {
    result.lines.push_back(
        fmt::format("Capacity is being freed for it on {} workers.",
                    job.earmarked_workers.size()));
  }
  if (reservation_ && reservation_->job == job.uid) {
    result.lines.push_back(fmt::format(
        "{} workers are reserved for it for {} more ms.",
        reservation_->workers.size(), Milliseconds(reservation_->until - now)));
  }
  if (health_.QuarantinedCount() > 0) {
    result.lines.emplace_back(
        fmt::format("{} workers are quarantined because tasks of several "
                    "jobs failed on them.",
                    health_.QuarantinedCount()));
  }
}

}  // namespace mangoplank::placement
