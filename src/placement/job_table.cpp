#include "job_table.h"

#include <algorithm>

namespace mangoplank::placement {

namespace {

void SetCommon(job_entry& job, const core::resources& need,
               cell::urgency urgency, const cell::constraints& where) {
  job.need = need;
  job.urgency = urgency;
  job.where = where;
}

// A short task overtakes longer ones that arrived a little earlier. The credit
// is bounded, so an endless stream of short tasks cannot starve a long one.
std::int64_t QueueTime(core::wall_time_ms created, core::milliseconds run_time,
                       const placement::policy& policy) {
  const auto max_credit = policy.max_run_time_credit;
  const auto credit =
      run_time.count() <= 0 ? max_credit : std::min(run_time, max_credit);
  return created + credit.count();
}

}  // namespace

bool job_entry::IsRestartable() const {
  return std::visit(core::overloaded{
                        [](const service_work&) { return true; },
                        [](const batch_work& batch) {
                          return batch.idempotent || batch.checkpoint;
                        },
                        [](const gang_work& gang) { return gang.idempotent; },
                    },
                    work);
}

bool job_entry::CanCheckpoint() const {
  const auto* batch = std::get_if<batch_work>(&work);
  return batch != nullptr && batch->checkpoint;
}

job_entry& job_table::Intern(core::revision uid) {
  job_entry& job = jobs_[uid];
  job.uid = uid;
  return job;
}

job_entry* job_table::Find(core::revision uid) {
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? nullptr : &it->second;
}

const job_entry* job_table::Find(core::revision uid) const {
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? nullptr : &it->second;
}

const job_entry* job_table::FindByKey(const cell::object_key& key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : Find(it->second);
}

void job_table::SetKey(job_entry& job, const cell::object_key& key) {
  job.key = key;
  const auto [it, added] = by_key_.try_emplace(key, job.uid);
  // An object that is recreated under the same key has a larger uid.
  if (!added) it->second = std::max(it->second, job.uid);
}

void job_table::EraseIfEmpty(core::revision uid) {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return;
  const job_entry& job = it->second;
  if (job.declared || job.waiting + job.proposed + job.placed > 0) return;
  const auto named = by_key_.find(job.key);
  if (named != by_key_.end() && named->second == uid) by_key_.erase(named);
  jobs_.erase(it);
}

void Enqueue(job_entry& job, std::uint32_t index) {
  task_slot& slot = job.tasks[index];
  if (slot.queued) return;
  slot.queued = true;
  job.queue.push_back(index);
}

std::optional<std::uint32_t> FirstWaiting(job_entry& job) {
  while (job.queue_head < job.queue.size()) {
    const std::uint32_t index = job.queue[job.queue_head];
    if (job.tasks[index].state == slot_state::kWaiting) return index;
    job.tasks[index].queued = false;
    ++job.queue_head;
  }
  job.queue.clear();
  job.queue_head = 0;
  return std::nullopt;
}

void ClearTasks(job_entry& job) {
  job.tasks = {};
  job.queue = {};
  job.queue_head = 0;
}

void SetSpec(job_entry& job, const cell::object& object,
             const placement::policy& policy) {
  core::milliseconds run_time{0};
  std::visit(core::overloaded{
                 [&](const cell::service_spec& spec) {
                   SetCommon(job, spec.need, spec.urgency, spec.where);
                   job.work = service_work{spec.replicas, spec.max_unavailable};
                 },
                 [&](const cell::batch_job_spec& spec) {
                   SetCommon(job, spec.need, spec.urgency, spec.where);
                   job.work = batch_work{spec.idempotent, spec.checkpoint};
                   run_time = spec.run_time;
                 },
                 [&](const cell::gang_job_spec& spec) {
                   SetCommon(job, spec.need, spec.urgency, spec.where);
                   job.work = gang_work{spec.tasks, spec.idempotent};
                   run_time = spec.run_time;
                 },
                 [](const cell::department_spec&) {},
                 [](const cell::worker_spec&) {},
                 [](const cell::configuration_spec&) {},
             },
             object.spec);
  job.generation = object.generation;
  job.declared = true;
  job.queue_position = {
      .rank = -static_cast<std::int32_t>(job.urgency),
      .queue_time_ms = QueueTime(object.created, run_time, policy),
      .job = job.uid};
}

}  // namespace mangoplank::placement
