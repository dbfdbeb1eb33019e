#ifndef MANGOPLANK_API_JSON_SCHEMA_H_
#define MANGOPLANK_API_JSON_SCHEMA_H_

#include <array>
#include <string_view>

#include "api/json_fields.h"
#include "mangoplank/control/messages.h"

/// The members of each value and the names of each enumeration in JSON. A
/// visitor is an object_reader with a mutable value or an object_writer with a
/// const one. The functions are found by argument-dependent lookup, so they are
/// in the namespaces of the values.
namespace mangoplank::core {

template <class T, class U>
concept same_value = std::same_as<std::remove_cvref_t<T>, U>;

void VisitFields(auto& visitor, same_value<resources> auto& value) {
  visitor("cpu_milli", value.cpu_milli);
  visitor("memory_mib", value.memory_mib);
  visitor("accelerators", value.accelerators);
}

}  // namespace mangoplank::core

namespace mangoplank::cell {

using core::same_value;

inline constexpr auto kUrgencyNames =
    std::to_array<api::enum_name<urgency>>({{"low", urgency::kLow},
                                            {"normal", urgency::kNormal},
                                            {"urgent", urgency::kUrgent}});
inline constexpr auto kSpreadNames =
    std::to_array<api::enum_name<spread>>({{"none", spread::kNone},
                                           {"racks", spread::kRacks},
                                           {"regions", spread::kRegions}});
inline constexpr auto kRoleNames =
    std::to_array<api::enum_name<role>>({{"viewer", role::kViewer},
                                         {"operator", role::kOperator},
                                         {"admin", role::kAdmin}});
inline constexpr auto kPhaseNames = std::to_array<api::enum_name<task_phase>>(
    {{"waiting", task_phase::kWaiting},
     {"assigned", task_phase::kAssigned},
     {"running", task_phase::kRunning},
     {"succeeded", task_phase::kSucceeded},
     {"failed", task_phase::kFailed},
     {"not_run", task_phase::kNotRun},
     {"stopped", task_phase::kStopped},
     {"unknown", task_phase::kUnknown}});
inline constexpr auto kEndingNames = std::to_array<api::enum_name<ending>>(
    {{"done", ending::kDone},
     {"failed", ending::kFailed},
     {"not_run", ending::kNotRun},
     {"outcome_unknown", ending::kOutcomeUnknown}});
inline constexpr auto kKindNames = std::to_array<api::enum_name<object_kind>>(
    {{"service", object_kind::kService},
     {"batch_job", object_kind::kBatchJob},
     {"gang_job", object_kind::kGangJob},
     {"department", object_kind::kDepartment},
     {"worker", object_kind::kWorker},
     {"configuration", object_kind::kConfiguration}});

constexpr const auto& EnumNames(urgency*) { return kUrgencyNames; }
constexpr const auto& EnumNames(spread*) { return kSpreadNames; }
constexpr const auto& EnumNames(role*) { return kRoleNames; }
constexpr const auto& EnumNames(task_phase*) { return kPhaseNames; }
constexpr const auto& EnumNames(ending*) { return kEndingNames; }
constexpr const auto& EnumNames(object_kind*) { return kKindNames; }

void VisitFields(auto& visitor, same_value<constraints> auto& value) {
  visitor("region", value.region);
  visitor("spread", value.spread);
  visitor("one_region", value.one_region);
}

void VisitFields(auto& visitor, same_value<operation> auto& value) {
  visitor.Require("name");
  visitor("name", value.name);
  visitor("idempotent", value.idempotent);
  visitor("deadline_ms", value.deadline);
}

void VisitFields(auto& visitor, same_value<service_spec> auto& value) {
  visitor("replicas", value.replicas);
  visitor("need", value.need);
  visitor("urgency", value.urgency);
  visitor("where", value.where);
  visitor("operations", value.operations);
  visitor("program", value.program);
  visitor("max_unavailable", value.max_unavailable);
}

void VisitFields(auto& visitor, same_value<batch_job_spec> auto& value) {
  visitor("tasks", value.tasks);
  visitor("need", value.need);
  visitor("urgency", value.urgency);
  visitor("where", value.where);
  visitor("run_time_ms", value.run_time);
  visitor("max_retries", value.max_retries);
  visitor("idempotent", value.idempotent);
  visitor("checkpoint", value.checkpoint);
  visitor("program", value.program);
}

void VisitFields(auto& visitor, same_value<gang_job_spec> auto& value) {
  visitor("tasks", value.tasks);
  visitor("need", value.need);
  visitor("urgency", value.urgency);
  visitor("where", value.where);
  visitor("run_time_ms", value.run_time);
  visitor("max_retries", value.max_retries);
  visitor("idempotent", value.idempotent);
  visitor("program", value.program);
}

void VisitFields(auto& visitor, same_value<token_grant> auto& value) {
  visitor.Require("sha256");
  visitor("name", value.name);
  visitor("sha256", value.sha256);
  visitor("role", value.role);
}

void VisitFields(auto& visitor, same_value<department_spec> auto& value) {
  visitor("weight", value.weight);
  visitor("quota", value.quota);
  visitor("parent", value.parent);
  visitor("tokens", value.tokens);
}

void VisitFields(auto& visitor, same_value<worker_spec> auto& value) {
  visitor("drain", value.drain);
}

void VisitFields(auto& visitor, same_value<configuration_spec> auto& value) {
  visitor("values", value.values);
}

void VisitFields(auto& visitor, same_value<job_status> auto& value) {
  visitor("waiting", value.waiting);
  visitor("assigned", value.assigned);
  visitor("running", value.running);
  visitor("succeeded", value.succeeded);
  visitor("failed", value.failed);
  visitor("not_run", value.not_run);
  visitor("stopped", value.stopped);
  visitor("unknown", value.unknown);
}

}  // namespace mangoplank::cell

namespace mangoplank::control {

using core::same_value;

void VisitFields(auto& visitor, same_value<task_state> auto& value) {
  visitor.Require("job");
  visitor.Require("index");
  visitor.Require("attempt");
  visitor.Require("phase");
  visitor("job", value.id.job);
  visitor("index", value.id.index);
  visitor("attempt", value.attempt);
  visitor("phase", value.phase);
  visitor("used", value.used);
  visitor("detail", value.detail);
}

void VisitFields(auto& visitor, same_value<entry_status> auto& value) {
  visitor("id", value.id);
  visitor("region", value.region);
  visitor("in_force", value.in_force);
  visitor("last_heard_ms", value.last_heard);
}

void VisitFields(auto& visitor, same_value<control_status> auto& value) {
  visitor("id", value.id);
  visitor("leads", value.is_leader);
  visitor("voter", value.voter);
}

void VisitFields(auto& visitor, same_value<department_share> auto& value) {
  visitor("department", value.department);
  visitor("share", value.share);
  visitor("entitled", value.entitled);
  visitor("average", value.average);
  visitor("waiting_tasks", value.waiting_tasks);
  visitor("running_tasks", value.running_tasks);
}

void VisitFields(auto& visitor, same_value<status_answer> auto& value) {
  visitor("revision", value.revision);
  visitor("term", value.term);
  visitor("entries", value.entries);
  visitor("members", value.members);
  visitor("shares", value.shares);
}

}  // namespace mangoplank::control

#endif  // MANGOPLANK_API_JSON_SCHEMA_H_
