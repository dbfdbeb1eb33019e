#include <algorithm>
#include <utility>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

bool IsWork(cell::object_kind kind) {
  return kind == cell::object_kind::kService ||
         kind == cell::object_kind::kBatchJob ||
         kind == cell::object_kind::kGangJob;
}

core::resources AtLeastZero(const core::resources& amount) {
  return {std::max<std::int64_t>(0, amount.cpu_milli),
          std::max<std::int64_t>(0, amount.memory_mib),
          std::max<std::int64_t>(0, amount.accelerators)};
}

}  // namespace

scheduler::impl::impl(const placement::policy& policy, std::uint64_t seed)
    : policy_(policy),
      pool_(policy, seed),
      departments_(policy),
      health_(policy, pool_) {}

void scheduler::impl::Observe(const cell::change& change,
                              core::time_point now) {
  std::visit(
      core::overloaded{
          [&](const cell::object_changed& event) {
            OnObject(event.object, now);
          },
          [&](const cell::object_deleted& event) {
            OnObjectDeleted(event.key, now);
          },
          [&](const cell::worker_changed& event) {
            OnWorker(event.record, now);
          },
          [&](const cell::worker_removed& event) {
            const std::int32_t worker = pool_.Intern(event.id);
            if (const auto& earmark = pool_.At(worker).earmark) {
              DropEarmark(*jobs_.Find(earmark->job), worker);
            }
            pool_.Remove(event.id, event.incarnation);
          },
          [&](const cell::task_changed& event) { OnTask(event.record, now); },
          [&](const cell::task_removed& event) {
            OnTaskRemoved(event.id, now);
          },
          [](const cell::call_changed&) {},
          [](const cell::call_removed&) {},
      },
      change);
}

void scheduler::impl::OnWorker(const cell::worker_record& record,
                               core::time_point now) {
  const std::int32_t worker = pool_.Intern(record.id);
  const bool restarted = pool_.At(worker).incarnation != record.incarnation;
  pool_.SetRecord(record);
  if (restarted) health_.OnRestart(worker, now);
  const worker_entry& entry = pool_.At(worker);
  for (const cell::task_id& id : entry.tasks) {
    job_entry& job = *jobs_.Find(id.job);
    task_slot& slot = job.tasks[id.index];
    if (entry.drain) outdated_services_.insert(id.job);
    if (slot.rack == entry.rack && slot.region == entry.region) continue;
    // The task was observed before the worker.
    AddAt(job.tasks_by_rack, slot.rack, -1);
    AddAt(job.tasks_by_region, slot.region, -1);
    slot.rack = entry.rack;
    slot.region = entry.region;
    AddAt(job.tasks_by_rack, slot.rack, 1);
    AddAt(job.tasks_by_region, slot.region, 1);
  }
}

void scheduler::impl::OnObject(const cell::object& object,
                               core::time_point now) {
  if (const auto* department =
          std::get_if<cell::department_spec>(&object.spec)) {
    departments_.SetSpec({object.key.name}, *department);
    return;
  }
  if (!IsWork(object.key.kind)) return;
  job_entry& job = jobs_.Intern(object.uid);
  RemoveFromQueue(job);
  const std::uint64_t generation = job.generation;
  jobs_.SetKey(job, object.key);
  job.department = departments_.Intern(object.key.department);
  SetSpec(job, object, policy_);
  job.region =
      job.where.region ? pool_.InternRegion(*job.where.region) : kNoIndex;
  if (generation != job.generation) {
    // A new spec resets the back-off.
    job.backoff_count = 0;
    job.not_before = {};
    outdated_services_.insert(job.uid);
  }
  job.unsatisfiable = false;
  unsatisfiable_jobs_.erase(job.uid);
  unchecked_jobs_.insert(job.uid);
  UpdateQueue(job, now);
}

void scheduler::impl::OnObjectDeleted(const cell::object_key& key,
                                      core::time_point now) {
  if (key.kind == cell::object_kind::kDepartment) {
    departments_.Remove({key.name});
    return;
  }
  const job_entry* found = jobs_.FindByKey(key);
  if (found == nullptr) return;
  job_entry& job = *jobs_.Find(found->uid);
  job.declared = false;
  unsatisfiable_jobs_.erase(job.uid);
  unchecked_jobs_.erase(job.uid);
  outdated_services_.erase(job.uid);
  UpdateOrEraseJob(job.uid, now);
}

void scheduler::impl::UpdateOrEraseJob(core::revision uid,
                                       core::time_point now) {
  job_entry* job = jobs_.Find(uid);
  if (job == nullptr) return;
  UpdateQueue(*job, now);
  if (job->waiting == 0) DropEarmarks(*job);
  if (job->waiting + job->proposed + job->placed > 0) return;
  if (!std::holds_alternative<service_work>(job->work)) {
    ClearTasks(*job);
    estimates_.Forget(uid);
  }
  jobs_.EraseIfEmpty(uid);
}

task_slot* scheduler::impl::FindSlot(const cell::task_id& id) {
  job_entry* job = jobs_.Find(id.job);
  if (job == nullptr || job->tasks.size() <= id.index) return nullptr;
  return &job->tasks[id.index];
}

void scheduler::impl::OnTask(const cell::task_record& record,
                             core::time_point now) {
  // Ended tasks that were not observed before need no slot.
  const bool ended = cell::IsFinal(record.phase);
  if (ended && FindSlot(record.id) == nullptr) return;
  job_entry& job = jobs_.Intern(record.id.job);
  if (job.department == kNoIndex) {
    jobs_.SetKey(job, record.job);
    job.department = departments_.Intern(record.job.department);
  }
  const std::uint32_t index = record.id.index;
  if (job.tasks.size() <= index) job.tasks.resize(index + 1);
  task_slot& slot = job.tasks[index];
  if (TryUpdateInPlace(job, slot, record)) return;
  const task_slot before = slot;
  LeaveState(job, index);
  UpdateHealth(job, before, record, now);
  slot.failures = record.failures;
  slot.since = record.since;
  slot.generation = record.generation;
  slot.need = record.need;
  if (record.phase == cell::task_phase::kWaiting) {
    EnterWaiting(job, index, now);
  } else if (cell::HoldsResources(record.phase)) {
    EnterPlaced(job, index, record);
  }
  UpdateOrEraseJob(record.id.job, now);
}

void scheduler::impl::UpdateHealth(job_entry& job, const task_slot& slot,
                                   const cell::task_record& record,
                                   core::time_point now) {
  if (slot.state != slot_state::kPlaced) return;
  if (record.failures > slot.failures) {
    health_.OnFailure(job, slot.worker, now);
  } else if (record.phase == cell::task_phase::kSucceeded) {
    health_.OnSuccess(job, slot.worker);
  } else if (slot.is_probe) {
    health_.OnProbeInconclusive(slot.worker, now);
  }
}

// Fast path: from proposed to assigned to running, no resources change.
bool scheduler::impl::TryUpdateInPlace(job_entry& job, task_slot& slot,
                                       const cell::task_record& record) {
  const bool placed =
      slot.state == slot_state::kProposed || slot.state == slot_state::kPlaced;
  if (!placed || !cell::HoldsResources(record.phase)) return false;
  if (slot.need != record.need || slot.failures != record.failures) {
    return false;
  }
  if (slot.worker != pool_.IndexOf(record.worker)) return false;
  if (slot.state == slot_state::kProposed) {
    slot.state = slot_state::kPlaced;
    --job.proposed;
    ++job.placed;
  }
  slot.since = record.since;
  slot.generation = record.generation;
  SetRunning(job, slot, record.phase == cell::task_phase::kRunning);
  slot.stop_committed = record.stopping || record.evicting;
  if (slot.stop_committed) SetEvicting(job, slot, true);
  if (IsOutdated(job, slot)) outdated_services_.insert(job.uid);
  return true;
}

void scheduler::impl::OnTaskRemoved(const cell::task_id& id,
                                    core::time_point now) {
  if (FindSlot(id) == nullptr) return;
  LeaveState(*jobs_.Find(id.job), id.index);
  UpdateOrEraseJob(id.job, now);
}

void scheduler::impl::LeaveState(job_entry& job, std::uint32_t index) {
  task_slot& slot = job.tasks[index];
  switch (slot.state) {
    case slot_state::kAbsent:
      return;
    case slot_state::kWaiting:
      --job.waiting;
      break;
    case slot_state::kProposed:
    case slot_state::kPlaced:
      ReleaseResources(job, index);
      break;
  }
  slot.state = slot_state::kAbsent;
}

void scheduler::impl::EnterWaiting(job_entry& job, std::uint32_t index,
                                   core::time_point now) {
  job.tasks[index].state = slot_state::kWaiting;
  if (job.waiting++ == 0) job.waiting_since = now;
  Enqueue(job, index);
}

void scheduler::impl::EnterPlaced(job_entry& job, std::uint32_t index,
                                  const cell::task_record& record) {
  task_slot& slot = job.tasks[index];
  AllocateResources(job, index, pool_.Intern(record.worker),
                    slot_state::kPlaced);
  SetRunning(job, slot, record.phase == cell::task_phase::kRunning);
  slot.stop_committed = record.stopping || record.evicting;
  if (slot.stop_committed) SetEvicting(job, slot, true);
  if (IsOutdated(job, slot)) outdated_services_.insert(job.uid);
}

void scheduler::impl::SetRunning(job_entry& job, task_slot& slot,
                                 bool running) {
  if (slot.running == running) return;
  slot.running = running;
  job.running += running ? 1 : -1;
  // A replica that starts running may allow the next one to be replaced.
  if (running && std::holds_alternative<service_work>(job.work)) {
    outdated_services_.insert(job.uid);
  }
}

void scheduler::impl::AllocateResources(job_entry& job, std::uint32_t index,
                                        std::int32_t worker, slot_state state) {
  task_slot& slot = job.tasks[index];
  const worker_entry& entry = pool_.At(worker);
  slot.state = state;
  slot.worker = worker;
  slot.rack = entry.rack;
  slot.region = entry.region;
  slot.urgency = job.urgency;
  slot.backfilled = entry.reserved_for != 0 && entry.reserved_for != job.uid;
  auto& tasks = pool_.TasksOf(worker);
  slot.position_on_worker = static_cast<std::uint32_t>(tasks.size());
  tasks.push_back({job.uid, index});
  pool_.Allocate(worker, slot.need);
  departments_.Allocate(job.department, slot.urgency, slot.need);
  AddAt(job.tasks_by_rack, slot.rack, 1);
  AddAt(job.tasks_by_region, slot.region, 1);
  ++(state == slot_state::kPlaced ? job.placed : job.proposed);
}

void scheduler::impl::ReleaseResources(job_entry& job, std::uint32_t index) {
  task_slot& slot = job.tasks[index];
  SetEvicting(job, slot, false);
  SetRunning(job, slot, false);
  auto& tasks = pool_.TasksOf(slot.worker);
  const cell::task_id last = tasks.back();
  tasks[slot.position_on_worker] = last;
  jobs_.Find(last.job)->tasks[last.index].position_on_worker =
      slot.position_on_worker;
  tasks.pop_back();
  pool_.AddUnused(slot.worker, core::resources{} - slot.unused);
  pool_.Release(slot.worker, slot.need);
  departments_.Release(job.department, slot.urgency, slot.need);
  AddAt(job.tasks_by_rack, slot.rack, -1);
  AddAt(job.tasks_by_region, slot.region, -1);
  --(slot.state == slot_state::kPlaced ? job.placed : job.proposed);
  slot.unused = {};
  slot.stop_committed = false;
  slot.backfilled = false;
  slot.is_probe = false;
}

void scheduler::impl::SetEvicting(job_entry& job, task_slot& slot,
                                  bool evicting) {
  if (slot.evicting == evicting) return;
  slot.evicting = evicting;
  department_node& node = departments_.At(job.department);
  node.stopping =
      evicting ? node.stopping + slot.need : node.stopping - slot.need;
}

void scheduler::impl::RemoveFromQueue(job_entry& job) {
  if (!job.in_queue) return;
  department_node& node = departments_.At(job.department);
  const auto it = node.queue.find(job.queue_position);
  if (node.next_job == it) ++node.next_job;
  node.queue.erase(it);
  job.in_queue = false;
  if (node.queue.empty()) active_departments_.erase(job.department);
}

void scheduler::impl::UpdateQueue(job_entry& job, core::time_point now) {
  bool schedulable = job.declared && job.waiting > 0 && !job.unsatisfiable;
  if (schedulable && job.not_before > now) {
    delayed_jobs_.insert({job.not_before, job.uid});
    schedulable = false;
  }
  if (schedulable == job.in_queue) return;
  if (!schedulable) {
    RemoveFromQueue(job);
    return;
  }
  departments_.At(job.department).queue.insert(job.queue_position);
  active_departments_.insert(job.department);
  job.in_queue = true;
}

void scheduler::impl::ObserveUsage(const cell::task_id& id,
                                   const core::resources& used) {
  task_slot* slot = FindSlot(id);
  if (slot == nullptr || slot->state != slot_state::kPlaced) return;
  const core::resources unused = AtLeastZero(slot->need - used);
  pool_.AddUnused(slot->worker, unused - slot->unused);
  slot->unused = unused;
  estimates_.Add(id.job, used);
}

void scheduler::impl::Forget(const placement::decision& decision,
                             core::time_point now) {
  std::visit(
      core::overloaded{
          [&](const place& placement) {
            for (const cell::task_placement& task : placement.group) {
              task_slot* slot = FindSlot(task.id);
              if (slot == nullptr || slot->state != slot_state::kProposed) {
                continue;
              }
              job_entry& job = *jobs_.Find(task.id.job);
              if (slot->is_probe) {
                health_.OnProbeInconclusive(slot->worker, now);
              }
              LeaveState(job, task.id.index);
              EnterWaiting(job, task.id.index, now);
              UpdateQueue(job, now);
            }
          },
          [&](const evict& eviction) {
            for (const cell::task_id& id : eviction.tasks) {
              task_slot* slot = FindSlot(id);
              if (slot == nullptr) continue;
              SetEvicting(*jobs_.Find(id.job), *slot, slot->stop_committed);
              outdated_services_.insert(id.job);
            }
          },
          [&](const unsatisfiable& unplaceable) {
            job_entry* job = jobs_.Find(unplaceable.uid);
            if (job == nullptr || !job->declared) return;
            // The next round reports it again.
            job->unsatisfiable = false;
            unchecked_jobs_.insert(unplaceable.uid);
          },
      },
      decision);
}

core::resources scheduler::impl::FreeOf(const core::worker_id& id) const {
  const std::int32_t worker = pool_.IndexOf(id);
  return worker == kNoIndex ? core::resources{} : pool_.At(worker).free;
}

}  // namespace mangoplank::placement
