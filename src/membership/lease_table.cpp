#include "mangoplank/membership/lease_table.h"

namespace mangoplank::membership {

using cell::task_phase;
using core::overloaded;

namespace {

bool SameAnnouncedFacts(const cell::worker_record& known,
                        cell::worker_record announced) {
  announced.drain = known.drain;
  return known == announced;
}

/// @return what the worker says of the task, or nullptr.
const control::task_state* Find(const control::announcement& a,
                                const cell::task_record& t) {
  for (const control::task_state& said : a.tasks) {
    if (said.id == t.id && said.attempt == t.attempt) return &said;
  }
  return nullptr;
}

bool IsOn(const cell::task_record& t, const cell::worker_record& w) {
  return HoldsResources(t.phase) && t.worker == w.id &&
         t.worker_incarnation == w.incarnation;
}

bool WantsCheckpoint(const cell::object_spec& spec) {
  const auto* const batch = std::get_if<cell::batch_job_spec>(&spec);
  return batch && batch->checkpoint;
}

std::string ProgramOf(const cell::object_spec& spec) {
  return std::visit(
      overloaded{[](const cell::service_spec& s) { return s.program; },
                 [](const cell::batch_job_spec& s) { return s.program; },
                 [](const cell::gang_job_spec& s) { return s.program; },
                 [](const auto&) { return std::string(); }},
      spec);
}

control::start_order StartOf(const cell::task_record& t,
                             const cell::object* owner) {
  return {.id = t.id,
          .attempt = t.attempt,
          .need = t.need,
          .program = owner ? ProgramOf(owner->spec) : std::string(),
          .name = t.job.name,
          .department = t.job.department,
          .is_service = t.job.kind == cell::object_kind::kService};
}

/// The order that one placed task needs, if any.
std::optional<control::order> OrderFor(const cell::state& s,
                                       const cell::task_record& t,
                                       const control::task_state* said) {
  const cell::object* const owner = s.Find(t.job);
  if (t.stopping || t.evicting) {
    if (said && cell::IsFinal(said->phase)) return std::nullopt;
    const bool checkpoint =
        t.evicting && !t.stopping && owner && WantsCheckpoint(owner->spec);
    return control::stop_order{t.id, t.attempt, checkpoint};
  }
  if (!said && t.phase == task_phase::kAssigned) return StartOf(t, owner);
  // A worker that no longer knows a running task is told to stop it, and
  // answers with how it ended.
  if (!said) return control::stop_order{t.id, t.attempt, false};
  const bool runs = said->phase == task_phase::kRunning;
  if (runs && !t.need.Holds(said->used)) {
    return control::throttle_order{t.id, t.attempt, t.need};
  }
  return std::nullopt;
}

}  // namespace

core::duration lease_table::WholeLease() const {
  return settings_.lease * (100 + kMaxClockDriftPercent) / 100 +
         settings_.margin;
}

void lease_table::Reset(const cell::state& s, core::time_point now) {
  leases_.clear();
  for (const auto& [id, w] : s.Workers()) {
    leases_[id] = {w.incarnation, now + WholeLease()};
  }
}

admission lease_table::Admit(const cell::state& s,
                             const control::announcement& a,
                             core::time_point now) const {
  const cell::worker_record* const known = s.FindWorker(a.worker.id);
  if (!known) return needs_registration{{a.worker}};
  if (a.worker.incarnation < known->incarnation) return superseded{};
  cell::register_worker registration{a.worker};
  registration.worker.drain = a.leaving;
  const bool starts_leaving = a.leaving && !known->drain;
  if (SameAnnouncedFacts(*known, a.worker) && !starts_leaving) {
    return admitted{};
  }
  const auto held = leases_.find(a.worker.id);
  const bool other_vm = known->address != a.worker.address;
  // A restart keeps its address and proves that the old process is gone;
  // another address may be a second worker under the same name.
  if (other_vm && held != leases_.end() && now < held->second.end) {
    const auto left =
        std::chrono::duration_cast<core::milliseconds>(held->second.end - now);
    return name_in_use{left};
  }
  return needs_registration{registration};
}

void lease_table::Renew(const control::announcement& a,
                        core::time_point received) {
  lease& l = leases_[a.worker.id];
  const core::time_point end = received + WholeLease();
  const bool newer = a.worker.incarnation > l.incarnation;
  if (newer || end > l.end) l = {a.worker.incarnation, end};
}

std::vector<cell::remove_worker> lease_table::Expired(
    const cell::state& s, core::time_point now) const {
  std::vector<cell::remove_worker> expired;
  for (const auto& [id, w] : s.Workers()) {
    const auto it = leases_.find(id);
    if (it == leases_.end() || it->second.end > now) continue;
    if (it->second.incarnation > w.incarnation) continue;
    expired.push_back({id, w.incarnation});
  }
  return expired;
}

std::vector<control::order> OrdersFor(const cell::state& s,
                                      const control::announcement& a) {
  std::vector<control::order> orders;
  for (const cell::task_id& id : s.TasksOf(a.worker.id)) {
    const cell::task_record& t = *s.FindTask(id);
    if (!IsOn(t, a.worker)) continue;
    if (auto o = OrderFor(s, t, Find(a, t))) orders.push_back(std::move(*o));
  }
  for (const control::task_state& said : a.tasks) {
    if (said.phase != task_phase::kRunning) continue;
    const cell::task_record* const t = s.FindTask(said.id);
    const bool expected = t && t->attempt == said.attempt && IsOn(*t, a.worker);
    if (!expected) {
      orders.push_back(control::stop_order{said.id, said.attempt, false});
    }
  }
  return orders;
}

std::vector<cell::task_report> NewReports(const cell::state& s,
                                          const control::announcement& a) {
  std::vector<cell::task_report> reports;
  for (const control::task_state& said : a.tasks) {
    const cell::task_record* const t = s.FindTask(said.id);
    if (!t || t->attempt != said.attempt || !IsOn(*t, a.worker)) continue;
    if (t->phase == said.phase) continue;
    reports.push_back({said.id, said.attempt, said.phase, said.detail});
  }
  return reports;
}

}  // namespace mangoplank::membership
