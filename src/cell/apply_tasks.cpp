#include "apply.h"

namespace mangoplank::cell {

using core::failure;
using core::overloaded;

namespace {

constexpr std::size_t kMaxDetailBytes = 256;

/// How the kind of a job determines the handling of ended tasks.
struct task_rules {
  /// A task runs again however it ended.
  bool restarts = false;
  /// A task may run again after a start.
  bool idempotent = false;
  std::int64_t max_retries = 0;
  bool gang = false;
};

task_rules GetRules(const object_spec& spec) {
  return std::visit(
      overloaded{
          [](const service_spec&) {
            return task_rules{true, true, 0, false};
          },
          [](const batch_job_spec& spec) {
            return task_rules{false, spec.idempotent, spec.max_retries, false};
          },
          [](const gang_job_spec& spec) {
            return task_rules{false, spec.idempotent, spec.max_retries, true};
          },
          [](const auto&) { return task_rules{}; }},
      spec);
}

}  // namespace

const object* applier::FindOwner(const task_record& task) const {
  const object* const owner = state_.Find(task.job);
  return owner && owner->uid == task.id.job ? owner : nullptr;
}

void applier::SetTask(const task_record& task) {
  const task_record* const before = state_.FindTask(task.id);
  if (before && HoldsResources(before->phase)) {
    core::resources& held = state_.committed_[before->worker];
    held = held - before->need;
    state_.tasks_of_worker_[before->worker].erase(task.id);
  }
  if (HoldsResources(task.phase)) {
    core::resources& held = state_.committed_[task.worker];
    held = held + task.need;
    state_.tasks_of_worker_[task.worker].insert(task.id);
  }
  if (before && *before == task) return;
  state_.tasks_[task.id] = task;
  changes_.push_back(task_changed{task});
}

void applier::RemoveTask(const task_id& id) {
  state_.tasks_.erase(id);
  changes_.push_back(task_removed{id});
}

void applier::Finish(task_record task, task_phase phase) {
  task.phase = phase;
  task.stopping = false;
  task.evicting = false;
  task.since = now_;
  SetTask(task);
  const object* const owner = FindOwner(task);
  const bool is_surplus = owner && KindOf(owner->spec) == object_kind::kService;
  // The end of a task can't be read once its object is deleted, and a service
  // keeps no records of removed replicas.
  if (!owner || is_surplus) RemoveTask(task.id);
}

void applier::EndTask(task_record task) {
  if (task.phase == task_phase::kWaiting) {
    Finish(task, task_phase::kNotRun);
    return;
  }
  if (!HoldsResources(task.phase)) {
    if (!FindOwner(task)) RemoveTask(task.id);
    return;
  }
  task.stopping = true;
  SetTask(task);
}

void applier::Requeue(task_record task) {
  const object* const owner = FindOwner(task);
  task.phase = task_phase::kWaiting;
  task.evicting = false;
  task.since = now_;
  if (owner) task.generation = owner->generation;
  if (const auto* service =
          owner ? std::get_if<service_spec>(&owner->spec) : nullptr) {
    task.need = service->need;
  }
  SetTask(task);
}

void applier::RestartGang(const task_record& lost) {
  std::vector<task_record> others;
  for (auto it = state_.tasks_.lower_bound({lost.id.job, 0});
       it != state_.tasks_.end() && it->first.job == lost.id.job; ++it) {
    const bool other = it->first != lost.id;
    if (other && HoldsResources(it->second.phase)) others.push_back(it->second);
  }
  for (task_record task : others) {
    task.evicting = true;
    SetTask(task);
  }
}

void applier::HandleLostTask(task_record task) {
  const object* const owner = FindOwner(task);
  task.detail = "the lease of the worker ended";
  if (!owner || task.stopping) {
    // Whether it had started or ended can no longer be determined.
    Finish(task, task_phase::kUnknown);
    return;
  }
  const task_rules rules = GetRules(owner->spec);
  if (!rules.restarts && !rules.idempotent) {
    Finish(task, task_phase::kUnknown);
    return;
  }
  Requeue(task);
  if (rules.gang) RestartGang(task);
}

void applier::HandleLostWorker(const worker_record& worker) {
  HandleLostCalls(worker);
  const auto it = state_.tasks_of_worker_.find(worker.id);
  if (it == state_.tasks_of_worker_.end()) return;
  const std::set<task_id> tasks = it->second;
  for (const task_id& id : tasks) HandleLostTask(state_.tasks_.at(id));
  state_.tasks_of_worker_.erase(worker.id);
  state_.committed_.erase(worker.id);
}

applier::answer applier::operator()(const register_worker& command) {
  worker_record worker = command.worker;
  const auto it = state_.workers_.find(worker.id);
  if (it != state_.workers_.end()) {
    const worker_record& known = it->second;
    if (worker.incarnation < known.incarnation) {
      return failure(core::version_conflict{known.incarnation});
    }
    if (worker.incarnation > known.incarnation) HandleLostWorker(known);
    // Placed tasks may need the capacity that the worker announced before.
    if (!worker.capacity.Holds(state_.Committed(worker.id))) {
      return failure(core::invalid_request{
          {{"capacity", "is less than what placed tasks hold"}}});
    }
  }
  const object_key key{object_kind::kWorker, {}, worker.id.v};
  const object* const declared = state_.Find(key);
  if (!declared) {
    const object created{.key = key,
                         .uid = revision_,
                         .version = revision_,
                         .created = now_,
                         .spec = worker_spec{}};
    state_.objects_[key] = created;
    changes_.push_back(object_changed{created});
  }
  // A worker that announces that it is leaving drains without an operator.
  const bool declared_drain =
      declared && std::get<worker_spec>(declared->spec).drain;
  worker.drain = worker.drain || declared_drain;
  state_.workers_[worker.id] = worker;
  changes_.push_back(worker_changed{worker});
  return MakeAccepted();
}

applier::answer applier::operator()(const remove_worker& command) {
  const auto it = state_.workers_.find(command.id);
  if (it == state_.workers_.end() ||
      it->second.incarnation != command.incarnation) {
    return failure(core::not_found{command.id.v});
  }
  HandleLostWorker(it->second);
  state_.workers_.erase(it);
  changes_.push_back(worker_removed{command.id, command.incarnation});
  const object_key key{object_kind::kWorker, {}, command.id.v};
  const object* const declared = state_.Find(key);
  // A drain that an operator declared is kept while the worker is absent.
  if (declared && !std::get<worker_spec>(declared->spec).drain) {
    state_.objects_.erase(key);
    changes_.push_back(object_deleted{key});
  }
  return MakeAccepted();
}

bool applier::CanPlace(const std::vector<task_placement>& group) const {
  std::map<core::worker_id, core::resources> held;
  std::set<task_id> seen;
  for (const task_placement& placement : group) {
    const task_record* const task = state_.FindTask(placement.id);
    const worker_record* const worker = state_.FindWorker(placement.worker);
    if (!task || task->phase != task_phase::kWaiting ||
        !seen.insert(placement.id).second) {
      return false;
    }
    if (!worker || worker->drain ||
        worker->incarnation != placement.worker_incarnation)
      return false;
    const auto it =
        held.try_emplace(placement.worker, state_.Committed(placement.worker))
            .first;
    it->second = it->second + task->need;
    if (!worker->capacity.Holds(it->second)) return false;
  }
  return !group.empty();
}

void applier::Place(const task_placement& placement) {
  task_record task = *state_.FindTask(placement.id);
  task.phase = task_phase::kAssigned;
  task.attempt += 1;
  task.worker = placement.worker;
  task.worker_incarnation = placement.worker_incarnation;
  task.since = now_;
  task.detail.clear();
  SetTask(task);
}

applier::answer applier::operator()(const place_tasks& command) {
  accepted result = MakeAccepted();
  for (std::uint32_t i = 0; i < command.groups.size(); ++i) {
    if (!CanPlace(command.groups[i])) {
      result.refused_groups.push_back(i);
      continue;
    }
    for (const task_placement& placement : command.groups[i]) Place(placement);
  }
  return result;
}

applier::answer applier::operator()(const report_tasks& command) {
  for (const task_report& report : command.reports) ApplyReport(report);
  return MakeAccepted();
}

void applier::ApplyFailure(task_record task, const std::string& detail) {
  task.failures += 1;
  task.detail = detail.substr(0, kMaxDetailBytes);
  const object* const owner = FindOwner(task);
  const task_rules rules = owner ? GetRules(owner->spec) : task_rules{};
  const bool retry = rules.restarts ||
                     (rules.idempotent && task.failures <= rules.max_retries);
  if (task.stopping || !retry) {
    Finish(task, task_phase::kFailed);
    if (rules.gang && owner) EndTasksFrom(*owner, 0);
    return;
  }
  Requeue(task);
  if (rules.gang) RestartGang(task);
}

void applier::ApplyReport(const task_report& report) {
  const task_record* const found = state_.FindTask(report.id);
  // Late reports of earlier attempts and of ended tasks are ignored.
  if (!found || found->attempt != report.attempt ||
      !HoldsResources(found->phase)) {
    return;
  }
  task_record task = *found;
  task.detail = report.detail.substr(0, kMaxDetailBytes);
  const object* const owner = FindOwner(task);
  const task_rules rules = owner ? GetRules(owner->spec) : task_rules{};
  switch (report.phase) {
    case task_phase::kRunning:
      if (task.phase == task_phase::kRunning) return;
      task.phase = task_phase::kRunning;
      task.since = now_;
      SetTask(task);
      return;
    case task_phase::kSucceeded:
      if (rules.restarts && !task.stopping) {
        Requeue(task);
      } else {
        Finish(task, task_phase::kSucceeded);
      }
      return;
    case task_phase::kFailed:
      ApplyFailure(task, report.detail);
      return;
    case task_phase::kWaiting:
    case task_phase::kNotRun:
      if (task.stopping) {
        Finish(task, task_phase::kNotRun);
      } else {
        Requeue(task);
        if (rules.gang) RestartGang(task);
      }
      return;
    case task_phase::kStopped:
      if (task.stopping || !(rules.restarts || rules.idempotent)) {
        Finish(task, task_phase::kStopped);
      } else {
        Requeue(task);
        if (rules.gang) RestartGang(task);
      }
      return;
    case task_phase::kAssigned:
    case task_phase::kUnknown:
      return;
  }
}

applier::answer applier::operator()(const evict_tasks& command) {
  for (const task_id& id : command.tasks) {
    const task_record* const found = state_.FindTask(id);
    if (!found || !HoldsResources(found->phase)) continue;
    task_record task = *found;
    task.evicting = true;
    SetTask(task);
  }
  return MakeAccepted();
}

}  // namespace mangoplank::cell
