#include "mangoplank/membership/lease_table.h"

#include <algorithm>

namespace mangoplank::membership {

using cell::task_phase;
using core::overloaded;

namespace {

bool HasSameRegistration(const cell::worker_record& known,
                         cell::worker_record announced) {
  announced.drain = known.drain;
  return known == announced;
}

/// @return the task state that the worker announced, or nullptr.
const control::task_state* FindAnnounced(
    const control::announcement& announcement, const cell::task_record& task) {
  for (const control::task_state& announced : announcement.tasks) {
    if (announced.id == task.id && announced.attempt == task.attempt) {
      return &announced;
    }
  }
  return nullptr;
}

bool IsOn(const cell::task_record& task, const cell::worker_record& worker) {
  return HoldsResources(task.phase) && task.worker == worker.id &&
         task.worker_incarnation == worker.incarnation;
}

bool CanCheckpoint(const cell::object_spec& spec) {
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

control::start_order StartOrderFor(const cell::task_record& task,
                                   const cell::object* owner) {
  return {.id = task.id,
          .attempt = task.attempt,
          .need = task.need,
          .program = owner ? ProgramOf(owner->spec) : std::string(),
          .name = task.job.name,
          .department = task.job.department,
          .is_service = task.job.kind == cell::object_kind::kService};
}

/// @return the order that a placed task needs, if any.
std::optional<control::order> OrderFor(const cell::state& state,
                                       const cell::task_record& task,
                                       const control::task_state* announced) {
  const cell::object* const owner = state.Find(task.job);
  if (task.stopping || task.evicting) {
    if (announced && cell::IsFinal(announced->phase)) return std::nullopt;
    const bool checkpoint =
        task.evicting && !task.stopping && owner && CanCheckpoint(owner->spec);
    return control::stop_order{task.id, task.attempt, checkpoint};
  }
  if (!announced && task.phase == task_phase::kAssigned) {
    return StartOrderFor(task, owner);
  }
  // A worker that no longer knows a running task gets a stop order, and reports
  // how the task ended.
  if (!announced) return control::stop_order{task.id, task.attempt, false};
  const bool runs = announced->phase == task_phase::kRunning;
  if (runs && !task.need.Holds(announced->used)) {
    return control::throttle_order{task.id, task.attempt, task.need};
  }
  return std::nullopt;
}

}  // namespace

core::duration lease_table::FullLease() const {
  return settings_.lease * (100 + kMaxClockDriftPercent) / 100 +
         settings_.margin;
}

void lease_table::Reset(const cell::state& state, core::time_point now) {
  leases_.clear();
  for (const auto& [id, worker] : state.Workers()) {
    leases_[id] = {worker.incarnation, now + FullLease(), 0};
  }
}

admission lease_table::Admit(const cell::state& state,
                             const control::announcement& announcement,
                             core::time_point now) const {
  const cell::worker_record* const known =
      state.FindWorker(announcement.worker.id);
  const auto held = leases_.find(announcement.worker.id);
  if (!known) {
    // Its announcement may be late: a worker whose lease has ended announces
    // itself under a new incarnation.
    const bool has_ended =
        held != leases_.end() && held->second.end <= now &&
        announcement.worker.incarnation <= held->second.incarnation;
    if (has_ended) return lease_ended{};
    return needs_registration{{announcement.worker}};
  }
  if (announcement.worker.incarnation < known->incarnation) return superseded{};
  const bool is_overtaken =
      held != leases_.end() &&
      held->second.incarnation == announcement.worker.incarnation &&
      announcement.sequence < held->second.sequence;
  if (is_overtaken) return overtaken{};
  cell::register_worker registration{announcement.worker};
  registration.worker.drain = announcement.leaving;
  const bool starts_leaving = announcement.leaving && !known->drain;
  if (HasSameRegistration(*known, announcement.worker) && !starts_leaving) {
    return admitted{};
  }
  const bool is_other_vm = known->address != announcement.worker.address;
  // A restart keeps its address and proves that the old process has ended;
  // another address may be a second worker with the same name.
  if (is_other_vm && held != leases_.end() && now < held->second.end) {
    const auto remaining =
        std::chrono::duration_cast<core::milliseconds>(held->second.end - now);
    return name_in_use{remaining};
  }
  return needs_registration{registration};
}

void lease_table::Renew(const control::announcement& announcement,
                        core::time_point received) {
  lease& held = leases_[announcement.worker.id];
  const core::time_point end = received + FullLease();
  const core::incarnation incarnation = announcement.worker.incarnation;
  std::uint64_t sequence = announcement.sequence;
  if (incarnation == held.incarnation) {
    sequence = std::max(sequence, held.sequence);
  }
  const bool newer = incarnation > held.incarnation;
  if (newer || end > held.end) held = {incarnation, end, sequence};
  if (incarnation == held.incarnation) held.sequence = sequence;
}

std::vector<cell::remove_worker> lease_table::FindExpired(
    const cell::state& state, core::time_point now) const {
  std::vector<cell::remove_worker> expired;
  for (const auto& [id, worker] : state.Workers()) {
    const auto it = leases_.find(id);
    if (it == leases_.end() || it->second.end > now) continue;
    if (it->second.incarnation > worker.incarnation) continue;
    expired.push_back({id, worker.incarnation});
  }
  return expired;
}

std::vector<control::order> OrdersFor(
    const cell::state& state, const control::announcement& announcement) {
  std::vector<control::order> orders;
  for (const cell::task_id& id : state.TasksOf(announcement.worker.id)) {
    const cell::task_record& task = *state.FindTask(id);
    if (!IsOn(task, announcement.worker)) continue;
    if (auto order = OrderFor(state, task, FindAnnounced(announcement, task))) {
      orders.push_back(std::move(*order));
    }
  }
  for (const control::task_state& announced : announcement.tasks) {
    if (announced.phase != task_phase::kRunning) continue;
    const cell::task_record* const task = state.FindTask(announced.id);
    const bool expected = task && task->attempt == announced.attempt &&
                          IsOn(*task, announcement.worker);
    if (!expected) {
      orders.push_back(
          control::stop_order{announced.id, announced.attempt, false});
    }
  }
  return orders;
}

std::vector<cell::task_report> NewReports(
    const cell::state& state, const control::announcement& announcement) {
  std::vector<cell::task_report> reports;
  for (const control::task_state& announced : announcement.tasks) {
    const cell::task_record* const task = state.FindTask(announced.id);
    if (!task || task->attempt != announced.attempt ||
        !IsOn(*task, announcement.worker)) {
      continue;
    }
    if (task->phase == announced.phase) continue;
    reports.push_back(
        {announced.id, announced.attempt, announced.phase, announced.detail});
  }
  return reports;
}

}  // namespace mangoplank::membership
