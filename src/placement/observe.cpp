#include <algorithm>
#include <utility>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

bool IsWork(cell::object_kind k) {
  return k == cell::object_kind::kService ||
         k == cell::object_kind::kBatchJob || k == cell::object_kind::kGangJob;
}

core::resources AtLeastZero(const core::resources& r) {
  return {std::max<std::int64_t>(0, r.cpu_milli),
          std::max<std::int64_t>(0, r.memory_mib),
          std::max<std::int64_t>(0, r.accelerators)};
}

}  // namespace

scheduler::impl::impl(const policy& p, std::uint64_t seed)
    : policy_(p), pool_(p, seed), departments_(p), health_(p, pool_) {}

void scheduler::impl::Observe(const cell::change& c, core::time_point now) {
  std::visit(
      core::overloaded{
          [&](const cell::object_changed& e) { OnObject(e.object, now); },
          [&](const cell::object_deleted& e) { OnObjectDeleted(e.key, now); },
          [&](const cell::worker_changed& e) { OnWorker(e.record, now); },
          [&](const cell::worker_removed& e) {
            const std::int32_t w = pool_.Intern(e.id);
            if (const auto& kept = pool_.At(w).kept) {
              DropPledge(*jobs_.Find(kept->job), w);
            }
            pool_.Remove(e.id, e.incarnation);
          },
          [&](const cell::task_changed& e) { OnTask(e.record, now); },
          [&](const cell::task_removed& e) { OnTaskRemoved(e.id, now); },
          [](const cell::call_changed&) {},
          [](const cell::call_removed&) {},
      },
      c);
}

void scheduler::impl::OnWorker(const cell::worker_record& record,
                               core::time_point now) {
  const std::int32_t w = pool_.Intern(record.id);
  const bool restarted = pool_.At(w).incarnation != record.incarnation;
  pool_.Set(record);
  if (restarted) health_.OnRestart(w, now);
  const worker& n = pool_.At(w);
  for (const cell::task_id& id : n.tasks) {
    job& j = *jobs_.Find(id.job);
    task_slot& t = j.tasks[id.index];
    if (n.drain) outdated_.insert(id.job);
    if (t.rack == n.rack && t.region == n.region) continue;
    // The task was seen before the worker.
    AddAt(j.by_rack, t.rack, -1);
    AddAt(j.by_region, t.region, -1);
    t.rack = n.rack;
    t.region = n.region;
    AddAt(j.by_rack, t.rack, 1);
    AddAt(j.by_region, t.region, 1);
  }
}

void scheduler::impl::OnObject(const cell::object& o, core::time_point now) {
  if (const auto* d = std::get_if<cell::department_spec>(&o.spec)) {
    departments_.Set({o.key.name}, *d);
    return;
  }
  if (!IsWork(o.key.kind)) return;
  job& j = jobs_.Intern(o.uid);
  LeaveQueue(j);
  const std::uint64_t generation = j.generation;
  jobs_.Name(j, o.key);
  j.department = departments_.Intern(o.key.department);
  SetSpec(j, o, policy_);
  j.region = j.where.region ? pool_.InternRegion(*j.where.region) : kNone;
  if (generation != j.generation) {
    // A new spec gets a new chance.
    j.delays = 0;
    j.not_before = {};
    outdated_.insert(j.uid);
  }
  j.unsatisfiable = false;
  unsatisfiable_.erase(j.uid);
  unchecked_.insert(j.uid);
  UpdateQueue(j, now);
}

void scheduler::impl::OnObjectDeleted(const cell::object_key& key,
                                      core::time_point now) {
  if (key.kind == cell::object_kind::kDepartment) {
    departments_.Remove({key.name});
    return;
  }
  const job* found = jobs_.FindByKey(key);
  if (found == nullptr) return;
  job& j = *jobs_.Find(found->uid);
  j.declared = false;
  unsatisfiable_.erase(j.uid);
  unchecked_.erase(j.uid);
  outdated_.erase(j.uid);
  Settle(j.uid, now);
}

void scheduler::impl::Settle(core::revision uid, core::time_point now) {
  job* j = jobs_.Find(uid);
  if (j == nullptr) return;
  UpdateQueue(*j, now);
  if (j->waiting == 0) DropPledges(*j);
  if (j->waiting + j->promised + j->held > 0) return;
  if (!std::holds_alternative<service_work>(j->w)) {
    Shrink(*j);
    estimates_.Forget(uid);
  }
  jobs_.EraseIfEmpty(uid);
}

task_slot* scheduler::impl::FindSlot(const cell::task_id& id) {
  job* j = jobs_.Find(id.job);
  if (j == nullptr || j->tasks.size() <= id.index) return nullptr;
  return &j->tasks[id.index];
}

void scheduler::impl::OnTask(const cell::task_record& record,
                             core::time_point now) {
  // Ended tasks that were never placed or waiting here are of no interest.
  const bool ended = cell::IsFinal(record.phase);
  if (ended && FindSlot(record.id) == nullptr) return;
  job& j = jobs_.Intern(record.id.job);
  if (j.department == kNone) {
    jobs_.Name(j, record.job);
    j.department = departments_.Intern(record.job.department);
  }
  const std::uint32_t index = record.id.index;
  if (j.tasks.size() <= index) j.tasks.resize(index + 1);
  task_slot& t = j.tasks[index];
  if (StaysHeld(j, t, record)) return;
  const task_slot before = t;
  Leave(j, index);
  JudgeEnd(j, before, record, now);
  t.failures = record.failures;
  t.since = record.since;
  t.generation = record.generation;
  t.need = record.need;
  if (record.phase == cell::task_phase::kWaiting) {
    EnterWaiting(j, index, now);
  } else if (cell::HoldsResources(record.phase)) {
    EnterHeld(j, index, record);
  }
  Settle(record.id.job, now);
}

void scheduler::impl::JudgeEnd(job& j, const task_slot& t,
                               const cell::task_record& record,
                               core::time_point now) {
  if (t.state != slot_state::kHeld) return;
  if (record.failures > t.failures) {
    health_.OnFailure(j, t.worker, now);
  } else if (record.phase == cell::task_phase::kSucceeded) {
    health_.OnSuccess(j, t.worker);
  } else if (t.probe) {
    health_.OnProbeLost(t.worker, now);
  }
}

// The common change from promised to assigned to running moves no room.
bool scheduler::impl::StaysHeld(job& j, task_slot& t,
                                const cell::task_record& record) {
  const bool held =
      t.state == slot_state::kPromised || t.state == slot_state::kHeld;
  if (!held || !cell::HoldsResources(record.phase)) return false;
  if (t.need != record.need || t.failures != record.failures) return false;
  if (t.worker != pool_.IndexOf(record.worker)) return false;
  if (t.state == slot_state::kPromised) {
    t.state = slot_state::kHeld;
    --j.promised;
    ++j.held;
  }
  t.since = record.since;
  t.generation = record.generation;
  SetRunning(j, t, record.phase == cell::task_phase::kRunning);
  t.ending = record.stopping || record.evicting;
  if (t.ending) SetEvicting(j, t, true);
  if (IsOutdated(j, t)) outdated_.insert(j.uid);
  return true;
}

void scheduler::impl::OnTaskRemoved(const cell::task_id& id,
                                    core::time_point now) {
  if (FindSlot(id) == nullptr) return;
  Leave(*jobs_.Find(id.job), id.index);
  Settle(id.job, now);
}

void scheduler::impl::Leave(job& j, std::uint32_t index) {
  task_slot& t = j.tasks[index];
  switch (t.state) {
    case slot_state::kAbsent:
      return;
    case slot_state::kWaiting:
      --j.waiting;
      break;
    case slot_state::kPromised:
    case slot_state::kHeld:
      Release(j, index);
      break;
  }
  t.state = slot_state::kAbsent;
}

void scheduler::impl::EnterWaiting(job& j, std::uint32_t index,
                                   core::time_point now) {
  j.tasks[index].state = slot_state::kWaiting;
  if (j.waiting++ == 0) j.waiting_since = now;
  Enqueue(j, index);
}

void scheduler::impl::EnterHeld(job& j, std::uint32_t index,
                                const cell::task_record& record) {
  task_slot& t = j.tasks[index];
  Hold(j, index, pool_.Intern(record.worker), slot_state::kHeld);
  SetRunning(j, t, record.phase == cell::task_phase::kRunning);
  t.ending = record.stopping || record.evicting;
  if (t.ending) SetEvicting(j, t, true);
  if (IsOutdated(j, t)) outdated_.insert(j.uid);
}

void scheduler::impl::SetRunning(job& j, task_slot& t, bool running) {
  if (t.running == running) return;
  t.running = running;
  j.running += running ? 1 : -1;
  // A replica that came up may allow the next one to be replaced.
  if (running && std::holds_alternative<service_work>(j.w)) {
    outdated_.insert(j.uid);
  }
}

void scheduler::impl::Hold(job& j, std::uint32_t index, std::int32_t w,
                           slot_state state) {
  task_slot& t = j.tasks[index];
  const worker& n = pool_.At(w);
  t.state = state;
  t.worker = w;
  t.rack = n.rack;
  t.region = n.region;
  t.u = j.u;
  t.lent = n.reserved_for != 0 && n.reserved_for != j.uid;
  auto& tasks = pool_.TasksOf(w);
  t.position = static_cast<std::uint32_t>(tasks.size());
  tasks.push_back({j.uid, index});
  pool_.Take(w, t.need);
  departments_.Use(j.department, t.u, t.need);
  AddAt(j.by_rack, t.rack, 1);
  AddAt(j.by_region, t.region, 1);
  ++(state == slot_state::kHeld ? j.held : j.promised);
}

void scheduler::impl::Release(job& j, std::uint32_t index) {
  task_slot& t = j.tasks[index];
  SetEvicting(j, t, false);
  SetRunning(j, t, false);
  auto& tasks = pool_.TasksOf(t.worker);
  const cell::task_id last = tasks.back();
  tasks[t.position] = last;
  jobs_.Find(last.job)->tasks[last.index].position = t.position;
  tasks.pop_back();
  pool_.AddUnused(t.worker, core::resources{} - t.unused);
  pool_.Give(t.worker, t.need);
  departments_.Release(j.department, t.u, t.need);
  AddAt(j.by_rack, t.rack, -1);
  AddAt(j.by_region, t.region, -1);
  --(t.state == slot_state::kHeld ? j.held : j.promised);
  t.unused = {};
  t.ending = false;
  t.lent = false;
  t.probe = false;
}

void scheduler::impl::SetEvicting(job& j, task_slot& t, bool evicting) {
  if (t.evicting == evicting) return;
  t.evicting = evicting;
  department& d = departments_.At(j.department);
  d.stopping = evicting ? d.stopping + t.need : d.stopping - t.need;
}

void scheduler::impl::LeaveQueue(job& j) {
  if (!j.in_queue) return;
  department& d = departments_.At(j.department);
  const auto it = d.queue.find(j.order);
  if (d.next == it) ++d.next;
  d.queue.erase(it);
  j.in_queue = false;
  if (d.queue.empty()) active_.erase(j.department);
}

void scheduler::impl::UpdateQueue(job& j, core::time_point now) {
  bool wanted = j.declared && j.waiting > 0 && !j.unsatisfiable;
  if (wanted && j.not_before > now) {
    delayed_.insert({j.not_before, j.uid});
    wanted = false;
  }
  if (wanted == j.in_queue) return;
  if (!wanted) {
    LeaveQueue(j);
    return;
  }
  departments_.At(j.department).queue.insert(j.order);
  active_.insert(j.department);
  j.in_queue = true;
}

void scheduler::impl::ObserveUsage(const cell::task_id& id,
                                   const core::resources& used) {
  task_slot* t = FindSlot(id);
  if (t == nullptr || t->state != slot_state::kHeld) return;
  const core::resources unused = AtLeastZero(t->need - used);
  pool_.AddUnused(t->worker, unused - t->unused);
  t->unused = unused;
  estimates_.Add(id.job, used);
}

void scheduler::impl::Forget(const decision& d, core::time_point now) {
  std::visit(core::overloaded{
                 [&](const place& p) {
                   for (const cell::task_placement& placed : p.group) {
                     task_slot* t = FindSlot(placed.id);
                     if (t == nullptr || t->state != slot_state::kPromised)
                       continue;
                     job& j = *jobs_.Find(placed.id.job);
                     if (t->probe) health_.OnProbeLost(t->worker, now);
                     Leave(j, placed.id.index);
                     EnterWaiting(j, placed.id.index, now);
                     UpdateQueue(j, now);
                   }
                 },
                 [&](const evict& e) {
                   for (const cell::task_id& id : e.tasks) {
                     task_slot* t = FindSlot(id);
                     if (t == nullptr) continue;
                     SetEvicting(*jobs_.Find(id.job), *t, t->ending);
                     outdated_.insert(id.job);
                   }
                 },
                 [&](const unsatisfiable& u) {
                   job* j = jobs_.Find(u.uid);
                   if (j == nullptr || !j->declared) return;
                   // Reported again by the next round.
                   j->unsatisfiable = false;
                   unchecked_.insert(u.uid);
                 },
             },
             d);
}

core::resources scheduler::impl::FreeOf(const core::worker_id& id) const {
  const std::int32_t w = pool_.IndexOf(id);
  return w == kNone ? core::resources{} : pool_.At(w).free;
}

}  // namespace mangoplank::placement
