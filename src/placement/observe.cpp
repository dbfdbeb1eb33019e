#include <utility>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

bool Holds(cell::task_phase p) {
  return p == cell::task_phase::kAssigned || p == cell::task_phase::kRunning;
}

bool IsWork(cell::object_kind k) {
  return k == cell::object_kind::kService ||
         k == cell::object_kind::kBatchJob || k == cell::object_kind::kGangJob;
}

}  // namespace

scheduler::impl::impl(const policy& p, std::uint64_t seed)
    : policy_(p), pool_(p, seed), departments_(p) {}

void scheduler::impl::Observe(const cell::change& c, core::time_point now) {
  std::visit(
      core::overloaded{
          [&](const cell::object_changed& e) { OnObject(e.now, now); },
          [&](const cell::object_deleted& e) { OnObjectDeleted(e.key, now); },
          [&](const cell::worker_changed& e) {
            pool_.Set(e.now);
            const std::int32_t w = pool_.IndexOf(e.now.id);
            if (!e.now.drain) return;
            for (const cell::task_id& t : pool_.At(w).tasks) {
              outdated_.insert(t.job);
            }
          },
          [&](const cell::worker_removed& e) {
            pool_.Remove(e.id, e.incarnation);
          },
          [&](const cell::task_changed& e) { OnTask(e.now, now); },
          [&](const cell::task_removed& e) { OnTaskRemoved(e.id, now); },
          [](const cell::call_changed&) {},
          [](const cell::call_removed&) {},
      },
      c);
}

void scheduler::impl::OnObject(const cell::object& o, core::time_point now) {
  if (const auto* d = std::get_if<cell::department_spec>(&o.spec)) {
    departments_.Set({o.key.name}, *d);
    return;
  }
  if (!IsWork(o.key.k)) return;
  job& j = jobs_.Intern(o.uid);
  LeaveQueue(j);
  const std::uint64_t generation = j.generation;
  jobs_.Name(j, o.key);
  j.department = departments_.Intern(o.key.department);
  SetSpec(j, o, policy_);
  j.region = j.where.region ? pool_.InternRegion(*j.where.region) : kNone;
  if (generation != j.generation) {
    // A new spec gets a new chance.
    j.failures_in_row = 0;
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
  if (key.k == cell::object_kind::kDepartment) {
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
  UpdateQueue(j, now);
  jobs_.EraseIfEmpty(j.uid);
}

task_slot& scheduler::impl::SlotOf(job& j, std::uint32_t index) {
  if (j.tasks.size() <= index) j.tasks.resize(index + 1);
  return j.tasks[index];
}

void scheduler::impl::OnTask(const cell::task_record& record,
                             core::time_point now) {
  job& j = jobs_.Intern(record.id.job);
  if (j.department == kNone) {
    jobs_.Name(j, record.job);
    j.department = departments_.Intern(record.job.department);
  }
  task_slot& t = SlotOf(j, record.id.index);
  Leave(j, record.id.index);
  t.failures = record.failures;
  t.since = record.since;
  if (record.phase == cell::task_phase::kWaiting) {
    t.need = record.need;
    EnterWaiting(j, record.id.index, now);
  } else if (Holds(record.phase)) {
    EnterHeld(j, record.id.index, record);
  }
  UpdateQueue(j, now);
  jobs_.EraseIfEmpty(record.id.job);
}

void scheduler::impl::OnTaskRemoved(const cell::task_id& id,
                                    core::time_point now) {
  job* j = jobs_.Find(id.job);
  if (j == nullptr || j->tasks.size() <= id.index) return;
  Leave(*j, id.index);
  UpdateQueue(*j, now);
  jobs_.EraseIfEmpty(id.job);
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
  task_slot& t = j.tasks[index];
  t.state = slot_state::kWaiting;
  if (j.waiting++ == 0) j.waiting_since = now;
  Enqueue(j, index);
}

void scheduler::impl::EnterHeld(job& j, std::uint32_t index,
                                const cell::task_record& record) {
  task_slot& t = j.tasks[index];
  t.need = record.need;
  t.generation = record.generation;
  Hold(j, index, pool_.Intern(record.worker), slot_state::kHeld);
  t.running = record.phase == cell::task_phase::kRunning;
  if (t.running) ++j.running;
  if (record.stopping) SetEvicting(j, t, true);
  if (IsOutdated(j, t)) outdated_.insert(j.uid);
  // A replica that came up may allow the next one to be replaced.
  if (t.running && std::holds_alternative<service_work>(j.w)) {
    outdated_.insert(j.uid);
  }
}

void scheduler::impl::Hold(job& j, std::uint32_t index, std::int32_t w,
                           slot_state state) {
  task_slot& t = j.tasks[index];
  t.state = state;
  t.worker = w;
  t.u = j.u;
  t.running = false;
  pool_.Take(w, t.need);
  departments_.Use(j.department, t.u, t.need);
  auto& tasks = pool_.TasksOf(w);
  t.position = static_cast<std::uint32_t>(tasks.size());
  tasks.push_back({j.uid, index});
  AddAt(j.by_rack, pool_.At(w).rack, 1);
  AddAt(j.by_region, pool_.At(w).region, 1);
  ++(state == slot_state::kHeld ? j.held : j.promised);
}

void scheduler::impl::Release(job& j, std::uint32_t index) {
  task_slot& t = j.tasks[index];
  SetEvicting(j, t, false);
  pool_.Give(t.worker, t.need);
  departments_.Release(j.department, t.u, t.need);
  auto& tasks = pool_.TasksOf(t.worker);
  const cell::task_id last = tasks.back();
  tasks[t.position] = last;
  jobs_.Find(last.job)->tasks[last.index].position = t.position;
  tasks.pop_back();
  AddAt(j.by_rack, pool_.At(t.worker).rack, -1);
  AddAt(j.by_region, pool_.At(t.worker).region, -1);
  if (t.running) --j.running;
  t.running = false;
  t.lent = false;
  --(t.state == slot_state::kHeld ? j.held : j.promised);
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

void scheduler::impl::Forget(const decision& d, core::time_point now) {
  std::visit(core::overloaded{
                 [&](const place& p) {
                   for (const cell::task_placement& t : p.group) {
                     job* j = jobs_.Find(t.id.job);
                     if (j == nullptr || j->tasks.size() <= t.id.index)
                       continue;
                     if (j->tasks[t.id.index].state != slot_state::kPromised)
                       continue;
                     Leave(*j, t.id.index);
                     EnterWaiting(*j, t.id.index, now);
                     UpdateQueue(*j, now);
                   }
                 },
                 [&](const evict& e) {
                   for (const cell::task_id& id : e.tasks) {
                     job* j = jobs_.Find(id.job);
                     if (j == nullptr || j->tasks.size() <= id.index) continue;
                     SetEvicting(*j, j->tasks[id.index], false);
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
