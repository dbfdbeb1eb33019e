#include "apply.h"

namespace mangoplank::cell {

using core::failure;
using core::overloaded;

namespace {

constexpr std::size_t kMaxDetailBytes = 256;

/// What the kind of a job says about the end of its tasks.
struct task_rules {
  /// Runs again whatever the end.
  bool restarts = false;
  /// May run again after a start.
  bool idempotent = false;
  std::int64_t max_retries = 0;
  bool gang = false;
};

task_rules RulesOf(const object_spec& spec) {
  return std::visit(
      overloaded{[](const service_spec&) {
                   return task_rules{true, true, 0, false};
                 },
                 [](const batch_job_spec& s) {
                   return task_rules{false, s.idempotent, s.max_retries, false};
                 },
                 [](const gang_job_spec& s) {
                   return task_rules{false, s.idempotent, s.max_retries, true};
                 },
                 [](const auto&) { return task_rules{}; }},
      spec);
}

}  // namespace

const object* applier::OwnerOf(const task_record& t) const {
  const object* const o = s_.Find(t.job);
  return o && o->uid == t.id.job ? o : nullptr;
}

void applier::SetTask(const task_record& t) {
  const task_record* const before = s_.FindTask(t.id);
  if (before && HoldsResources(before->phase)) {
    core::resources& held = s_.committed_[before->worker];
    held = held - before->need;
    s_.tasks_of_worker_[before->worker].erase(t.id);
  }
  if (HoldsResources(t.phase)) {
    core::resources& held = s_.committed_[t.worker];
    held = held + t.need;
    s_.tasks_of_worker_[t.worker].insert(t.id);
  }
  if (before && *before == t) return;
  s_.tasks_[t.id] = t;
  changes_.push_back(task_changed{t});
}

void applier::RemoveTask(const task_id& id) {
  s_.tasks_.erase(id);
  changes_.push_back(task_removed{id});
}

void applier::Finish(task_record t, task_phase phase) {
  t.phase = phase;
  t.stopping = false;
  t.evicting = false;
  t.since = now_;
  SetTask(t);
  const object* const owner = OwnerOf(t);
  const bool is_surplus = owner && KindOf(owner->spec) == object_kind::kService;
  // Nobody can ask for the end of a task whose object is deleted, and a
  // service keeps no record of replicas it gave up.
  if (!owner || is_surplus) RemoveTask(t.id);
}

void applier::EndTask(task_record t) {
  if (t.phase == task_phase::kWaiting) {
    Finish(t, task_phase::kNotRun);
    return;
  }
  if (!HoldsResources(t.phase)) {
    if (!OwnerOf(t)) RemoveTask(t.id);
    return;
  }
  t.stopping = true;
  SetTask(t);
}

void applier::Requeue(task_record t) {
  const object* const owner = OwnerOf(t);
  t.phase = task_phase::kWaiting;
  t.evicting = false;
  t.since = now_;
  if (owner) t.generation = owner->generation;
  if (const auto* s =
          owner ? std::get_if<service_spec>(&owner->spec) : nullptr) {
    t.need = s->need;
  }
  SetTask(t);
}

void applier::RestartGang(const task_record& lost) {
  std::vector<task_record> others;
  for (auto it = s_.tasks_.lower_bound({lost.id.job, 0});
       it != s_.tasks_.end() && it->first.job == lost.id.job; ++it) {
    const bool other = it->first != lost.id;
    if (other && HoldsResources(it->second.phase)) others.push_back(it->second);
  }
  for (task_record t : others) {
    t.evicting = true;
    SetTask(t);
  }
}

void applier::LoseTask(task_record t) {
  const object* const owner = OwnerOf(t);
  t.detail = "the lease of the worker ended";
  if (!owner || t.stopping) {
    // Whether it had started or ended by itself can't be learned any more.
    Finish(t, task_phase::kUnknown);
    return;
  }
  const task_rules rules = RulesOf(owner->spec);
  if (!rules.restarts && !rules.idempotent) {
    Finish(t, task_phase::kUnknown);
    return;
  }
  Requeue(t);
  if (rules.gang) RestartGang(t);
}

void applier::LoseWorker(const worker_record& w) {
  LoseCalls(w);
  const auto it = s_.tasks_of_worker_.find(w.id);
  if (it == s_.tasks_of_worker_.end()) return;
  const std::set<task_id> tasks = it->second;
  for (const task_id& id : tasks) LoseTask(s_.tasks_.at(id));
  s_.tasks_of_worker_.erase(w.id);
  s_.committed_.erase(w.id);
}

applier::answer applier::operator()(const register_worker& c) {
  worker_record w = c.worker;
  const auto it = s_.workers_.find(w.id);
  if (it != s_.workers_.end()) {
    const worker_record& known = it->second;
    if (w.incarnation < known.incarnation) {
      return failure(core::version_conflict{known.incarnation});
    }
    if (w.incarnation > known.incarnation) LoseWorker(known);
    // Placed tasks may need what the worker had announced.
    if (!w.capacity.Holds(s_.Committed(w.id))) {
      return failure(core::invalid_request{
          {{"capacity", "is less than what placed tasks hold"}}});
    }
  }
  const object_key key{object_kind::kWorker, {}, w.id.v};
  const object* const declared = s_.Find(key);
  if (!declared) {
    const object o{.key = key,
                   .uid = at_,
                   .version = at_,
                   .created = now_,
                   .spec = worker_spec{}};
    s_.objects_[key] = o;
    changes_.push_back(object_changed{o});
  }
  // A worker that says it is leaving drains without an operator's word.
  const bool declared_drain =
      declared && std::get<worker_spec>(declared->spec).drain;
  w.drain = w.drain || declared_drain;
  s_.workers_[w.id] = w;
  changes_.push_back(worker_changed{w});
  return Accepted();
}

applier::answer applier::operator()(const remove_worker& c) {
  const auto it = s_.workers_.find(c.id);
  if (it == s_.workers_.end() || it->second.incarnation != c.incarnation) {
    return failure(core::not_found{c.id.v});
  }
  LoseWorker(it->second);
  s_.workers_.erase(it);
  changes_.push_back(worker_removed{c.id, c.incarnation});
  const object_key key{object_kind::kWorker, {}, c.id.v};
  const object* const declared = s_.Find(key);
  // A drain that an operator declared outlives the worker's absence.
  if (declared && !std::get<worker_spec>(declared->spec).drain) {
    s_.objects_.erase(key);
    changes_.push_back(object_deleted{key});
  }
  return Accepted();
}

bool applier::CanPlace(const std::vector<task_placement>& group) const {
  std::map<core::worker_id, core::resources> held;
  std::set<task_id> seen;
  for (const task_placement& p : group) {
    const task_record* const t = s_.FindTask(p.id);
    const worker_record* const w = s_.FindWorker(p.worker);
    if (!t || t->phase != task_phase::kWaiting || !seen.insert(p.id).second) {
      return false;
    }
    if (!w || w->drain || w->incarnation != p.worker_incarnation) return false;
    const auto it = held.try_emplace(p.worker, s_.Committed(p.worker)).first;
    it->second = it->second + t->need;
    if (!w->capacity.Holds(it->second)) return false;
  }
  return !group.empty();
}

void applier::Place(const task_placement& p) {
  task_record t = *s_.FindTask(p.id);
  t.phase = task_phase::kAssigned;
  t.attempt += 1;
  t.worker = p.worker;
  t.worker_incarnation = p.worker_incarnation;
  t.since = now_;
  t.detail.clear();
  SetTask(t);
}

applier::answer applier::operator()(const place_tasks& c) {
  accepted a = Accepted();
  for (std::uint32_t i = 0; i < c.groups.size(); ++i) {
    if (!CanPlace(c.groups[i])) {
      a.refused.push_back(i);
      continue;
    }
    for (const task_placement& p : c.groups[i]) Place(p);
  }
  return a;
}

applier::answer applier::operator()(const report_tasks& c) {
  for (const task_report& r : c.reports) ApplyReport(r);
  return Accepted();
}

void applier::ApplyFailure(task_record t, const std::string& detail) {
  t.failures += 1;
  t.detail = detail.substr(0, kMaxDetailBytes);
  const object* const owner = OwnerOf(t);
  const task_rules rules = owner ? RulesOf(owner->spec) : task_rules{};
  const bool retry =
      rules.restarts || (rules.idempotent && t.failures <= rules.max_retries);
  if (t.stopping || !retry) {
    Finish(t, task_phase::kFailed);
    if (rules.gang && owner) EndTasksFrom(*owner, 0);
    return;
  }
  Requeue(t);
  if (rules.gang) RestartGang(t);
}

void applier::ApplyReport(const task_report& r) {
  const task_record* const found = s_.FindTask(r.id);
  // Late reports of earlier attempts, and of tasks that have ended.
  if (!found || found->attempt != r.attempt || !HoldsResources(found->phase)) {
    return;
  }
  task_record t = *found;
  t.detail = r.detail.substr(0, kMaxDetailBytes);
  const object* const owner = OwnerOf(t);
  const task_rules rules = owner ? RulesOf(owner->spec) : task_rules{};
  switch (r.phase) {
    case task_phase::kRunning:
      if (t.phase == task_phase::kRunning) return;
      t.phase = task_phase::kRunning;
      t.since = now_;
      SetTask(t);
      return;
    case task_phase::kSucceeded:
      if (rules.restarts && !t.stopping) {
        Requeue(t);
      } else {
        Finish(t, task_phase::kSucceeded);
      }
      return;
    case task_phase::kFailed:
      ApplyFailure(t, r.detail);
      return;
    case task_phase::kWaiting:
    case task_phase::kNotRun:
      if (t.stopping) {
        Finish(t, task_phase::kNotRun);
      } else {
        Requeue(t);
        if (rules.gang) RestartGang(t);
      }
      return;
    case task_phase::kStopped:
      if (t.stopping || !(rules.restarts || rules.idempotent)) {
        Finish(t, task_phase::kStopped);
      } else {
        Requeue(t);
        if (rules.gang) RestartGang(t);
      }
      return;
    case task_phase::kAssigned:
    case task_phase::kUnknown:
      return;
  }
}

applier::answer applier::operator()(const evict_tasks& c) {
  for (const task_id& id : c.tasks) {
    const task_record* const found = s_.FindTask(id);
    if (!found || !HoldsResources(found->phase)) continue;
    task_record t = *found;
    t.evicting = true;
    SetTask(t);
  }
  return Accepted();
}

}  // namespace mangoplank::cell
