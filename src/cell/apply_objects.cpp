#include <algorithm>

#include "apply.h"

namespace mangoplank::cell {

using core::failure;
using core::invalid_request;
using core::overloaded;

namespace {

/// A refused key is kept for the longest deadline of a call, so that no request
/// that is still on its way can run it. Overload would fill the memory if it
/// were kept as long as an answer.
constexpr core::milliseconds kNotRunKept = std::chrono::minutes(10);
/// Longest chain of parents.
constexpr int kMaxDepth = 8;

failure Invalid(std::string field, std::string reason) {
  return invalid_request{{{std::move(field), std::move(reason)}}};
}

/// @return `spec` of a job with the parts that may change taken from `with`.
template <class Job>
bool DiffersInFixedParts(Job before, const Job& after) {
  before.urgency = after.urgency;
  before.run_time = after.run_time;
  return before != after;
}

bool IsCellWide(object_kind k) {
  return k == object_kind::kDepartment || k == object_kind::kWorker ||
         k == object_kind::kConfiguration;
}

}  // namespace

effect applier::Run(const command_body& body) {
  answer a = std::visit(*this, body);
  return {std::move(a), std::move(changes_)};
}

std::optional<failure> applier::CheckPut(const put_object& c,
                                         const object* existing) const {
  std::vector<core::field_error> errors = Validate(c.key, c.spec);
  if (!errors.empty()) return invalid_request{std::move(errors)};
  if (c.create_only && existing) return core::already_exists{c.key.name};
  const bool must_exist = c.replace_only || c.expected;
  if (must_exist && !existing) return core::not_found{c.key.name};
  if (c.expected && *c.expected != existing->version) {
    return core::version_conflict{existing->version};
  }
  if (auto f = CheckReferences(c)) return f;
  if (existing) return CheckChange(*existing, c.spec);
  return std::nullopt;
}

std::optional<failure> applier::CheckReferences(const put_object& c) const {
  if (!IsCellWide(c.key.kind)) {
    const object_key department{
        object_kind::kDepartment, {}, c.key.department.v};
    if (!s_.Find(department)) return Invalid("department", "does not exist");
    return std::nullopt;
  }
  const auto* const d = std::get_if<department_spec>(&c.spec);
  if (!d) return std::nullopt;
  std::string ancestor = d->parent.v;
  for (int depth = 0; !ancestor.empty(); ++depth) {
    if (ancestor == c.key.name || depth == kMaxDepth) {
      return Invalid("spec.parent", "makes a cycle or is nested too deeply");
    }
    const object* const o = s_.Find({object_kind::kDepartment, {}, ancestor});
    if (!o) return Invalid("spec.parent", "does not exist");
    ancestor = std::get<department_spec>(o->spec).parent.v;
  }
  return std::nullopt;
}

std::optional<failure> applier::CheckChange(const object& existing,
                                            const object_spec& spec) const {
  const bool fixed = std::visit(
      overloaded{
          [&](const batch_job_spec& before) {
            return DiffersInFixedParts(before, std::get<batch_job_spec>(spec));
          },
          [&](const gang_job_spec& before) {
            return DiffersInFixedParts(before, std::get<gang_job_spec>(spec));
          },
          [](const auto&) { return false; }},
      existing.spec);
  // Tasks that already ran would not match the changed declaration.
  if (fixed)
    return Invalid("spec", "only urgency and run_time_ms of a job change");
  return std::nullopt;
}

applier::answer applier::operator()(const put_object& c) {
  const object* const existing = s_.Find(c.key);
  if (auto f = CheckPut(c, existing)) return std::move(*f);
  accepted a = Accepted();
  if (existing && existing->spec == c.spec) {
    a.object = *existing;
    return a;
  }
  object o = existing ? *existing : object{.key = c.key, .uid = at_};
  o.generation = existing ? existing->generation + 1 : 1;
  o.version = at_;
  if (!existing) o.created = now_;
  o.spec = c.spec;
  s_.objects_[c.key] = o;
  changes_.push_back(object_changed{o});
  SyncTasks(o);
  a.object = o;
  return a;
}

void applier::SyncTasks(const object& o) {
  std::visit(
      overloaded{
          [&](const service_spec& s) { ResizeTasks(o, s.replicas, s.need); },
          [&](const batch_job_spec& s) { ResizeTasks(o, s.tasks, s.need); },
          [&](const gang_job_spec& s) { ResizeTasks(o, s.tasks, s.need); },
          [&](const worker_spec& s) { DrainWorker({o.key.name}, s.drain); },
          [](const department_spec&) {}, [](const configuration_spec&) {}},
      o.spec);
}

void applier::ResizeTasks(const object& o, std::int64_t count,
                          core::resources need) {
  for (std::uint32_t i = 0; i < count; ++i) {
    const task_record* const t = s_.FindTask({o.uid, i});
    if (t && t->phase != task_phase::kWaiting) {
      // A replica that a smaller size was ending is wanted again.
      if (t->stopping && KindOf(o.spec) == object_kind::kService) {
        task_record kept = *t;
        kept.stopping = false;
        kept.evicting = true;
        SetTask(kept);
      }
      continue;
    }
    task_record next = t ? *t : task_record{.id = {o.uid, i}, .job = o.key};
    next.need = need;
    next.generation = o.generation;
    if (!t) next.since = now_;
    SetTask(next);
  }
  EndTasksFrom(o, static_cast<std::uint32_t>(count));
}

void applier::EndTasksFrom(const object& o, std::uint32_t first) {
  std::vector<task_record> rest;
  for (auto it = s_.tasks_.lower_bound({o.uid, first});
       it != s_.tasks_.end() && it->first.job == o.uid; ++it) {
    rest.push_back(it->second);
  }
  for (const task_record& t : rest) EndTask(t);
}

void applier::DrainWorker(const core::worker_id& id, bool drain) {
  const auto it = s_.workers_.find(id);
  if (it == s_.workers_.end() || it->second.drain == drain) return;
  it->second.drain = drain;
  changes_.push_back(worker_changed{it->second});
}

bool applier::DepartmentInUse(const core::department_id& d) const {
  for (const auto& [key, o] : s_.objects_) {
    if (key.department == d) return true;
    const auto* const child = std::get_if<department_spec>(&o.spec);
    if (child && child->parent == d) return true;
  }
  return false;
}

applier::answer applier::operator()(const delete_object& c) {
  const object* const existing = s_.Find(c.key);
  if (!existing) return failure(core::not_found{c.key.name});
  if (c.expected && *c.expected != existing->version) {
    return failure(core::version_conflict{existing->version});
  }
  if (c.key.kind == object_kind::kDepartment && DepartmentInUse({c.key.name})) {
    return Invalid("name", "the department still owns objects");
  }
  if (c.key.kind == object_kind::kWorker) DrainWorker({c.key.name}, false);
  const object o = *existing;
  s_.objects_.erase(c.key);
  changes_.push_back(object_deleted{o.key});
  EndTasksFrom(o, 0);
  return Accepted();
}

applier::answer applier::operator()(const cancel_job& c) {
  const object* const o = s_.Find(c.key);
  if (!o) return failure(core::not_found{c.key.name});
  const bool is_job = c.key.kind == object_kind::kBatchJob ||
                      c.key.kind == object_kind::kGangJob;
  if (!is_job) return Invalid("kind", "only jobs can be cancelled");
  EndTasksFrom(*o, 0);
  accepted a = Accepted();
  a.object = *o;
  return a;
}

applier::answer applier::operator()(const record_intent& c) {
  accepted a = Accepted();
  const auto it = s_.calls_.find(c.key);
  // Another request of the same key, perhaps one that waited in a paused
  // process, must not run what a caller was told has not run.
  const bool may_replace = it != s_.calls_.end() && c.replaces != 0 &&
                           it->second.id == c.replaces && !it->second.outcome &&
                           it->second.entry == c.entry &&
                           it->second.entry_incarnation == c.entry_incarnation;
  if (it != s_.calls_.end() && !may_replace) {
    a.call = it->second;
    return a;
  }
  if (may_replace) CloseCall(it->second);
  call_record r{.key = c.key,
                .operation_name = c.operation_name,
                .digest = c.digest,
                .entry = c.entry,
                .entry_incarnation = c.entry_incarnation,
                .worker = c.worker,
                .worker_incarnation = c.worker_incarnation,
                .id = at_,
                .created = now_};
  if (c.refused) {
    r.outcome = call_outcome{ending::kNotRun, ""};
  } else {
    s_.open_calls_[r.worker].insert(r.key);
  }
  s_.calls_[c.key] = r;
  changes_.push_back(call_changed{r});
  a.call = r;
  return a;
}

void applier::CloseCall(const call_record& r) {
  const auto it = s_.open_calls_.find(r.worker);
  if (it == s_.open_calls_.end()) return;
  it->second.erase(r.key);
  if (it->second.empty()) s_.open_calls_.erase(it);
}

void applier::SetOutcome(call_record* r, const call_outcome& outcome) {
  CloseCall(*r);
  r->outcome = outcome;
  changes_.push_back(call_changed{*r});
}

void applier::LoseCalls(const worker_record& w) {
  const auto it = s_.open_calls_.find(w.id);
  if (it == s_.open_calls_.end()) return;
  const std::set<call_key> keys = it->second;
  for (const call_key& key : keys) {
    call_record& r = s_.calls_.at(key);
    if (r.worker_incarnation > w.incarnation) continue;
    // Nobody is left who could say whether the call ran.
    SetOutcome(&r, {ending::kOutcomeUnknown, ""});
  }
}

applier::answer applier::operator()(const record_outcome& c) {
  const auto it = s_.calls_.find(c.key);
  if (it == s_.calls_.end() || it->second.id != c.id) {
    return failure(core::not_found{c.key.idempotency_key});
  }
  call_record& r = it->second;
  const bool open = !r.outcome || r.outcome->ending == ending::kOutcomeUnknown;
  if (open && r.outcome != c.outcome) {
    SetOutcome(&r, c.outcome);
  }
  accepted a = Accepted();
  a.call = r;
  return a;
}

applier::answer applier::operator()(const compact_records& c) {
  std::erase_if(s_.requests_, [&](const auto& item) {
    return item.second.answered_at < c.before;
  });
  for (auto it = s_.calls_.begin(); it != s_.calls_.end();) {
    const call_record& r = it->second;
    const bool not_run = r.outcome && r.outcome->ending == ending::kNotRun;
    const core::wall_time_ms before =
        not_run ? std::max(c.before, now_ - kNotRunKept.count()) : c.before;
    if (!r.outcome || r.created >= before) {
      ++it;
      continue;
    }
    changes_.push_back(call_removed{r.key});
    it = s_.calls_.erase(it);
  }
  ForgetEndedJobs(c.jobs_before);
  return Accepted();
}

void applier::ForgetEndedJobs(core::wall_time_ms before) {
  std::vector<object> ended;
  for (const auto& [key, o] : s_.objects_) {
    if (key.kind != object_kind::kBatchJob &&
        key.kind != object_kind::kGangJob) {
      continue;
    }
    bool all_ended = true;
    for (auto it = s_.tasks_.lower_bound({o.uid, 0});
         it != s_.tasks_.end() && it->first.job == o.uid && all_ended; ++it) {
      all_ended = IsFinal(it->second.phase) && it->second.since < before;
    }
    if (all_ended) ended.push_back(o);
  }
  for (const object& o : ended) {
    s_.objects_.erase(o.key);
    changes_.push_back(object_deleted{o.key});
    EndTasksFrom(o, 0);
  }
}

}  // namespace mangoplank::cell
