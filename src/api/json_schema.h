#ifndef MANGOPLANK_API_JSON_SCHEMA_H_
#define MANGOPLANK_API_JSON_SCHEMA_H_

#include <array>
#include <string_view>

#include "api/json_fields.h"
#include "mangoplank/control/messages.h"

/// The members of each value and the words of each enumeration in JSON. `V` is
/// object_reader with a mutable value or object_writer with a const one. The
/// functions are found by their arguments, so they stand in the namespaces of
/// the values.
namespace mangoplank::core {

template <class T, class U>
concept same_value = std::same_as<std::remove_cvref_t<T>, U>;

void Fields(auto& v, same_value<resources> auto& r) {
  v("cpu_milli", r.cpu_milli);
  v("memory_mib", r.memory_mib);
  v("accelerators", r.accelerators);
}

}  // namespace mangoplank::core

namespace mangoplank::cell {

using core::same_value;

inline constexpr auto kUrgencyWords =
    std::to_array<api::word<urgency>>({{"low", urgency::kLow},
                                       {"normal", urgency::kNormal},
                                       {"urgent", urgency::kUrgent}});
inline constexpr auto kSpreadWords =
    std::to_array<api::word<spread>>({{"none", spread::kNone},
                                      {"racks", spread::kRacks},
                                      {"regions", spread::kRegions}});
inline constexpr auto kRoleWords =
    std::to_array<api::word<role>>({{"viewer", role::kViewer},
                                    {"operator", role::kOperator},
                                    {"admin", role::kAdmin}});
inline constexpr auto kPhaseWords =
    std::to_array<api::word<task_phase>>({{"waiting", task_phase::kWaiting},
                                          {"assigned", task_phase::kAssigned},
                                          {"running", task_phase::kRunning},
                                          {"succeeded", task_phase::kSucceeded},
                                          {"failed", task_phase::kFailed},
                                          {"not_run", task_phase::kNotRun},
                                          {"stopped", task_phase::kStopped},
                                          {"unknown", task_phase::kUnknown}});
inline constexpr auto kEndingWords = std::to_array<api::word<ending>>(
    {{"done", ending::kDone},
     {"failed", ending::kFailed},
     {"not_run", ending::kNotRun},
     {"outcome_unknown", ending::kOutcomeUnknown}});
inline constexpr auto kKindWords = std::to_array<api::word<object_kind>>(
    {{"service", object_kind::kService},
     {"batch_job", object_kind::kBatchJob},
     {"gang_job", object_kind::kGangJob},
     {"department", object_kind::kDepartment},
     {"worker", object_kind::kWorker},
     {"configuration", object_kind::kConfiguration}});

constexpr const auto& Words(urgency*) { return kUrgencyWords; }
constexpr const auto& Words(spread*) { return kSpreadWords; }
constexpr const auto& Words(role*) { return kRoleWords; }
constexpr const auto& Words(task_phase*) { return kPhaseWords; }
constexpr const auto& Words(ending*) { return kEndingWords; }
constexpr const auto& Words(object_kind*) { return kKindWords; }

void Fields(auto& v, same_value<constraints> auto& c) {
  v("region", c.region);
  v("spread", c.spread);
  v("one_region", c.one_region);
}

void Fields(auto& v, same_value<operation> auto& o) {
  v.Require("name");
  v("name", o.name);
  v("idempotent", o.idempotent);
  v("deadline_ms", o.deadline);
}

void Fields(auto& v, same_value<service_spec> auto& s) {
  v("replicas", s.replicas);
  v("need", s.need);
  v("urgency", s.urgency);
  v("where", s.where);
  v("operations", s.operations);
  v("program", s.program);
  v("max_unavailable", s.max_unavailable);
}

void Fields(auto& v, same_value<batch_job_spec> auto& s) {
  v("tasks", s.tasks);
  v("need", s.need);
  v("urgency", s.urgency);
  v("where", s.where);
  v("run_time_ms", s.run_time);
  v("max_retries", s.max_retries);
  v("idempotent", s.idempotent);
  v("checkpoint", s.checkpoint);
  v("program", s.program);
}

void Fields(auto& v, same_value<gang_job_spec> auto& s) {
  v("tasks", s.tasks);
  v("need", s.need);
  v("urgency", s.urgency);
  v("where", s.where);
  v("run_time_ms", s.run_time);
  v("max_retries", s.max_retries);
  v("idempotent", s.idempotent);
  v("program", s.program);
}

void Fields(auto& v, same_value<token_grant> auto& g) {
  v.Require("sha256");
  v("name", g.name);
  v("sha256", g.sha256);
  v("role", g.role);
}

void Fields(auto& v, same_value<department_spec> auto& s) {
  v("weight", s.weight);
  v("quota", s.quota);
  v("parent", s.parent);
  v("tokens", s.tokens);
}

void Fields(auto& v, same_value<worker_spec> auto& s) { v("drain", s.drain); }

void Fields(auto& v, same_value<configuration_spec> auto& s) {
  v("values", s.values);
}

void Fields(auto& v, same_value<job_status> auto& s) {
  v("waiting", s.waiting);
  v("assigned", s.assigned);
  v("running", s.running);
  v("succeeded", s.succeeded);
  v("failed", s.failed);
  v("not_run", s.not_run);
  v("stopped", s.stopped);
  v("unknown", s.unknown);
}

}  // namespace mangoplank::cell

namespace mangoplank::control {

using core::same_value;

void Fields(auto& v, same_value<task_state> auto& t) {
  v.Require("job");
  v.Require("index");
  v.Require("attempt");
  v.Require("phase");
  v("job", t.id.job);
  v("index", t.id.index);
  v("attempt", t.attempt);
  v("phase", t.phase);
  v("used", t.used);
  v("detail", t.detail);
}

void Fields(auto& v, same_value<entry_status> auto& s) {
  v("id", s.id);
  v("region", s.region);
  v("in_force", s.in_force);
  v("last_heard_ms", s.last_heard);
}

void Fields(auto& v, same_value<control_status> auto& s) {
  v("id", s.id);
  v("leads", s.is_leader);
  v("voter", s.voter);
}

void Fields(auto& v, same_value<department_share> auto& s) {
  v("department", s.department);
  v("share", s.share);
  v("entitled", s.entitled);
  v("average", s.average);
  v("waiting_tasks", s.waiting_tasks);
  v("running_tasks", s.running_tasks);
}

void Fields(auto& v, same_value<status_answer> auto& s) {
  v("revision", s.revision);
  v("term", s.term);
  v("entries", s.entries);
  v("members", s.members);
  v("shares", s.shares);
}

}  // namespace mangoplank::control

#endif  // MANGOPLANK_API_JSON_SCHEMA_H_
