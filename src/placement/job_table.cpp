#include "job_table.h"

#include <algorithm>

namespace mangoplank::placement {

namespace {

void SetCommon(job& j, const core::resources& need, cell::urgency u,
               const cell::constraints& where) {
  j.need = need;
  j.u = u;
  j.where = where;
}

// A short task passes longer ones that arrived a little earlier. The credit is
// bounded, so no task waits behind an endless stream of short ones.
std::int64_t Order(core::wall_time_ms created, core::milliseconds run_time,
                   const policy& p) {
  const auto unknown = p.max_run_time_credit;
  const auto counted =
      run_time.count() <= 0 ? unknown : std::min(run_time, unknown);
  return created + counted.count();
}

}  // namespace

bool job::Restartable() const {
  return std::visit(
      core::overloaded{
          [](const service_work&) { return true; },
          [](const batch_work& b) { return b.idempotent || b.checkpoint; },
          [](const gang_work& g) { return g.idempotent; },
      },
      w);
}

bool job::Checkpoints() const {
  const auto* batch = std::get_if<batch_work>(&w);
  return batch != nullptr && batch->checkpoint;
}

job& job_table::Intern(core::revision uid) {
  job& j = jobs_[uid];
  j.uid = uid;
  return j;
}

job* job_table::Find(core::revision uid) {
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? nullptr : &it->second;
}

const job* job_table::Find(core::revision uid) const {
  const auto it = jobs_.find(uid);
  return it == jobs_.end() ? nullptr : &it->second;
}

const job* job_table::FindByKey(const cell::object_key& key) const {
  const auto it = by_key_.find(key);
  return it == by_key_.end() ? nullptr : Find(it->second);
}

void job_table::Name(job& j, const cell::object_key& key) {
  j.key = key;
  const auto [it, added] = by_key_.try_emplace(key, j.uid);
  // Of two objects of one name in turn, the later one has the larger uid.
  if (!added) it->second = std::max(it->second, j.uid);
}

void job_table::EraseIfEmpty(core::revision uid) {
  const auto it = jobs_.find(uid);
  if (it == jobs_.end()) return;
  const job& j = it->second;
  if (j.declared || j.waiting + j.promised + j.held > 0) return;
  const auto named = by_key_.find(j.key);
  if (named != by_key_.end() && named->second == uid) by_key_.erase(named);
  jobs_.erase(it);
}

void Enqueue(job& j, std::uint32_t index) {
  task_slot& t = j.tasks[index];
  if (t.queued) return;
  t.queued = true;
  j.queue.push_back(index);
}

std::optional<std::uint32_t> FirstWaiting(job& j) {
  while (j.queue_head < j.queue.size()) {
    const std::uint32_t index = j.queue[j.queue_head];
    if (j.tasks[index].state == slot_state::kWaiting) return index;
    j.tasks[index].queued = false;
    ++j.queue_head;
  }
  j.queue.clear();
  j.queue_head = 0;
  return std::nullopt;
}

void Shrink(job& j) {
  j.tasks = {};
  j.queue = {};
  j.queue_head = 0;
}

void SetSpec(job& j, const cell::object& o, const policy& p) {
  core::milliseconds run_time{0};
  std::visit(core::overloaded{
                 [&](const cell::service_spec& s) {
                   SetCommon(j, s.need, s.urgency, s.where);
                   j.w = service_work{s.replicas, s.max_unavailable};
                 },
                 [&](const cell::batch_job_spec& s) {
                   SetCommon(j, s.need, s.urgency, s.where);
                   j.w = batch_work{s.idempotent, s.checkpoint};
                   run_time = s.run_time;
                 },
                 [&](const cell::gang_job_spec& s) {
                   SetCommon(j, s.need, s.urgency, s.where);
                   j.w = gang_work{s.tasks, s.idempotent};
                   run_time = s.run_time;
                 },
                 [](const cell::department_spec&) {},
                 [](const cell::worker_spec&) {},
                 [](const cell::configuration_spec&) {},
             },
             o.spec);
  j.generation = o.generation;
  j.declared = true;
  j.order = {.rank = -static_cast<std::int32_t>(j.u),
             .order = Order(o.created, run_time, p),
             .job = j.uid};
}

}  // namespace mangoplank::placement
