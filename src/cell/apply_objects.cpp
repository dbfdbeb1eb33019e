#include <algorithm>

#include "apply.h"

namespace mangoplank::cell {

using core::failure;
using core::invalid_request;
using core::overloaded;

namespace {

/// A key that ended as not_run is kept for the longest deadline of a call, so
/// that no delayed request can run it. If it were kept as long as an answer,
/// overload would fill the memory.
constexpr core::milliseconds kNotRunRetention = std::chrono::minutes(10);
/// Limit of the chain of parent departments.
constexpr int kMaxDepartmentDepth = 8;

failure Invalid(std::string field, std::string reason) {
  return invalid_request{{{std::move(field), std::move(reason)}}};
}

/// @return whether a job differs in fields other than those that may change.
template <class Job>
bool DiffersInFixedFields(Job before, const Job& after) {
  before.urgency = after.urgency;
  before.run_time = after.run_time;
  return before != after;
}

bool IsCellWide(object_kind kind) {
  return kind == object_kind::kDepartment || kind == object_kind::kWorker ||
         kind == object_kind::kConfiguration;
}

}  // namespace

effect applier::Run(const command_body& body) {
  answer result = std::visit(*this, body);
  return {std::move(result), std::move(changes_)};
}

std::optional<failure> applier::CheckPut(const put_object& command,
                                         const object* existing) const {
  std::vector<core::field_error> errors = Validate(command.key, command.spec);
  if (!errors.empty()) return invalid_request{std::move(errors)};
  if (command.create_only && existing)
    return core::already_exists{command.key.name};
  const bool must_exist = command.replace_only || command.expected;
  if (must_exist && !existing) return core::not_found{command.key.name};
  if (command.expected && *command.expected != existing->version) {
    return core::version_conflict{existing->version};
  }
  if (auto invalid = CheckReferences(command)) return invalid;
  if (existing) return CheckChange(*existing, command.spec);
  return std::nullopt;
}

std::optional<failure> applier::CheckReferences(
    const put_object& command) const {
  if (!IsCellWide(command.key.kind)) {
    const object_key department{
        object_kind::kDepartment, {}, command.key.department.v};
    if (!state_.Find(department))
      return Invalid("department", "does not exist");
    return std::nullopt;
  }
  const auto* const department = std::get_if<department_spec>(&command.spec);
  if (!department) return std::nullopt;
  std::string ancestor = department->parent.v;
  for (int depth = 0; !ancestor.empty(); ++depth) {
    if (ancestor == command.key.name || depth == kMaxDepartmentDepth) {
      return Invalid("spec.parent", "makes a cycle or is nested too deeply");
    }
    const object* const parent =
        state_.Find({object_kind::kDepartment, {}, ancestor});
    if (!parent) return Invalid("spec.parent", "does not exist");
    ancestor = std::get<department_spec>(parent->spec).parent.v;
  }
  return std::nullopt;
}

std::optional<failure> applier::CheckChange(const object& existing,
                                            const object_spec& spec) const {
  const bool differs = std::visit(
      overloaded{
          [&](const batch_job_spec& before) {
            return DiffersInFixedFields(before, std::get<batch_job_spec>(spec));
          },
          [&](const gang_job_spec& before) {
            return DiffersInFixedFields(before, std::get<gang_job_spec>(spec));
          },
          [](const auto&) { return false; }},
      existing.spec);
  // Tasks that have already run would not match the changed declaration.
  if (differs)
    return Invalid("spec", "only urgency and run_time_ms of a job change");
  return std::nullopt;
}

applier::answer applier::operator()(const put_object& command) {
  const object* const existing = state_.Find(command.key);
  if (auto refusal = CheckPut(command, existing)) return std::move(*refusal);
  accepted result = MakeAccepted();
  if (existing && existing->spec == command.spec) {
    result.object = *existing;
    return result;
  }
  object declared =
      existing ? *existing : object{.key = command.key, .uid = revision_};
  declared.generation = existing ? existing->generation + 1 : 1;
  declared.version = revision_;
  if (!existing) declared.created = now_;
  declared.spec = command.spec;
  state_.objects_[command.key] = declared;
  changes_.push_back(object_changed{declared});
  SyncTasks(declared);
  result.object = declared;
  return result;
}

void applier::SyncTasks(const object& declared) {
  std::visit(overloaded{[&](const service_spec& spec) {
                          ResizeTasks(declared, spec.replicas, spec.need);
                        },
                        [&](const batch_job_spec& spec) {
                          ResizeTasks(declared, spec.tasks, spec.need);
                        },
                        [&](const gang_job_spec& spec) {
                          ResizeTasks(declared, spec.tasks, spec.need);
                        },
                        [&](const worker_spec& spec) {
                          DrainWorker({declared.key.name}, spec.drain);
                        },
                        [](const department_spec&) {},
                        [](const configuration_spec&) {}},
             declared.spec);
}

void applier::ResizeTasks(const object& declared, std::int64_t count,
                          core::resources need) {
  for (std::uint32_t i = 0; i < count; ++i) {
    const task_record* const task = state_.FindTask({declared.uid, i});
    if (task && task->phase != task_phase::kWaiting) {
      // A replica that was stopping after a scale-down is needed again.
      if (task->stopping && KindOf(declared.spec) == object_kind::kService) {
        task_record restarted = *task;
        restarted.stopping = false;
        restarted.evicting = true;
        SetTask(restarted);
      }
      continue;
    }
    task_record next =
        task ? *task
             : task_record{.id = {declared.uid, i}, .job = declared.key};
    next.need = need;
    next.generation = declared.generation;
    if (!task) next.since = now_;
    SetTask(next);
  }
  EndTasksFrom(declared, static_cast<std::uint32_t>(count));
}

void applier::EndTasksFrom(const object& declared, std::uint32_t first) {
  std::vector<task_record> surplus;
  for (auto it = state_.tasks_.lower_bound({declared.uid, first});
       it != state_.tasks_.end() && it->first.job == declared.uid; ++it) {
    surplus.push_back(it->second);
  }
  for (const task_record& task : surplus) EndTask(task);
}

void applier::DrainWorker(const core::worker_id& id, bool drain) {
  const auto it = state_.workers_.find(id);
  if (it == state_.workers_.end() || it->second.drain == drain) return;
  it->second.drain = drain;
  changes_.push_back(worker_changed{it->second});
}

bool applier::IsDepartmentInUse(const core::department_id& department) const {
  for (const auto& [key, declared] : state_.objects_) {
    if (key.department == department) return true;
    const auto* const child = std::get_if<department_spec>(&declared.spec);
    if (child && child->parent == department) return true;
  }
  return false;
}

applier::answer applier::operator()(const delete_object& command) {
  const object* const existing = state_.Find(command.key);
  if (!existing) return failure(core::not_found{command.key.name});
  if (command.expected && *command.expected != existing->version) {
    return failure(core::version_conflict{existing->version});
  }
  if (command.key.kind == object_kind::kDepartment &&
      IsDepartmentInUse({command.key.name})) {
    return Invalid("name", "the department still owns objects");
  }
  if (command.key.kind == object_kind::kWorker)
    DrainWorker({command.key.name}, false);
  const object declared = *existing;
  state_.objects_.erase(command.key);
  changes_.push_back(object_deleted{declared.key});
  EndTasksFrom(declared, 0);
  return MakeAccepted();
}

applier::answer applier::operator()(const cancel_job& command) {
  const object* const declared = state_.Find(command.key);
  if (!declared) return failure(core::not_found{command.key.name});
  const bool is_job = command.key.kind == object_kind::kBatchJob ||
                      command.key.kind == object_kind::kGangJob;
  if (!is_job) return Invalid("kind", "only jobs can be cancelled");
  EndTasksFrom(*declared, 0);
  accepted result = MakeAccepted();
  result.object = *declared;
  return result;
}

applier::answer applier::operator()(const record_intent& command) {
  accepted result = MakeAccepted();
  const auto it = state_.calls_.find(command.key);
  // Another request with the same key, such as one delayed in a paused process,
  // must not run a call that was reported as not_run.
  const bool may_replace =
      it != state_.calls_.end() && command.replaces != 0 &&
      it->second.id == command.replaces && !it->second.outcome &&
      it->second.entry == command.entry &&
      it->second.entry_incarnation == command.entry_incarnation;
  if (it != state_.calls_.end() && !may_replace) {
    result.call = it->second;
    return result;
  }
  if (may_replace) RemoveOpenCall(it->second);
  call_record call{.key = command.key,
                   .operation_name = command.operation_name,
                   .digest = command.digest,
                   .entry = command.entry,
                   .entry_incarnation = command.entry_incarnation,
                   .worker = command.worker,
                   .worker_incarnation = command.worker_incarnation,
                   .id = revision_,
                   .created = now_};
  if (command.refused) {
    call.outcome = call_outcome{ending::kNotRun, ""};
  } else {
    state_.open_calls_[call.worker].insert(call.key);
  }
  state_.calls_[command.key] = call;
  changes_.push_back(call_changed{call});
  result.call = call;
  return result;
}

void applier::RemoveOpenCall(const call_record& call) {
  const auto it = state_.open_calls_.find(call.worker);
  if (it == state_.open_calls_.end()) return;
  it->second.erase(call.key);
  if (it->second.empty()) state_.open_calls_.erase(it);
}

void applier::SetOutcome(call_record* call, const call_outcome& outcome) {
  RemoveOpenCall(*call);
  call->outcome = outcome;
  changes_.push_back(call_changed{*call});
}

void applier::HandleLostCalls(const worker_record& worker) {
  const auto it = state_.open_calls_.find(worker.id);
  if (it == state_.open_calls_.end()) return;
  const std::set<call_key> keys = it->second;
  for (const call_key& key : keys) {
    call_record& call = state_.calls_.at(key);
    if (call.worker_incarnation > worker.incarnation) continue;
    // Whether the call ran can no longer be determined.
    SetOutcome(&call, {ending::kOutcomeUnknown, ""});
  }
}

applier::answer applier::operator()(const record_outcome& command) {
  const auto it = state_.calls_.find(command.key);
  if (it == state_.calls_.end() || it->second.id != command.id) {
    return failure(core::not_found{command.key.idempotency_key});
  }
  call_record& call = it->second;
  const bool is_open =
      !call.outcome || call.outcome->ending == ending::kOutcomeUnknown;
  if (is_open && call.outcome != command.outcome) {
    SetOutcome(&call, command.outcome);
  }
  accepted result = MakeAccepted();
  result.call = call;
  return result;
}

applier::answer applier::operator()(const compact_records& command) {
  std::erase_if(state_.requests_, [&](const auto& item) {
    return item.second.answered_at < command.before;
  });
  for (auto it = state_.calls_.begin(); it != state_.calls_.end();) {
    const call_record& call = it->second;
    const bool not_run =
        call.outcome && call.outcome->ending == ending::kNotRun;
    const core::wall_time_ms before =
        not_run ? std::max(command.before, now_ - kNotRunRetention.count())
                : command.before;
    if (!call.outcome || call.created >= before) {
      ++it;
      continue;
    }
    changes_.push_back(call_removed{call.key});
    it = state_.calls_.erase(it);
  }
  RemoveEndedJobs(command.jobs_before);
  return MakeAccepted();
}

void applier::RemoveEndedJobs(core::wall_time_ms before) {
  std::vector<object> ended;
  for (const auto& [key, declared] : state_.objects_) {
    if (key.kind != object_kind::kBatchJob &&
        key.kind != object_kind::kGangJob) {
      continue;
    }
    bool all_ended = true;
    for (auto it = state_.tasks_.lower_bound({declared.uid, 0});
         it != state_.tasks_.end() && it->first.job == declared.uid &&
         all_ended;
         ++it) {
      all_ended = IsFinal(it->second.phase) && it->second.since < before;
    }
    if (all_ended) ended.push_back(declared);
  }
  for (const object& declared : ended) {
    state_.objects_.erase(declared.key);
    changes_.push_back(object_deleted{declared.key});
    EndTasksFrom(declared, 0);
  }
}

}  // namespace mangoplank::cell
