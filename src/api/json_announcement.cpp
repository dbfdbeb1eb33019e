#include <fmt/format.h>

#include <utility>

#include "api/json_codec.h"
#include "api/json_schema.h"
#include "mangoplank/settings/settings.h"

namespace mangoplank::api {

namespace {

using core::overloaded;

// Whether a worker may report the phase (docs/worker_protocol.md).
bool IsReportable(cell::task_phase phase) {
  return phase == cell::task_phase::kRunning ||
         phase == cell::task_phase::kSucceeded ||
         phase == cell::task_phase::kFailed ||
         phase == cell::task_phase::kStopped ||
         phase == cell::task_phase::kNotRun;
}

void CheckNotNegative(const core::resources& resources, const std::string& path,
                      field_errors& errors) {
  if (resources.Holds(core::resources{})) return;
  errors.push_back({path, "must not be negative"});
}

void CheckTasks(const std::vector<control::task_state>& tasks,
                field_errors& errors) {
  // A body may have thousands of invalid tasks; the first ones suffice.
  constexpr std::size_t kMaxErrors = 32;
  for (std::size_t i = 0; i < tasks.size() && errors.size() < kMaxErrors; ++i) {
    const std::string path = fmt::format("tasks[{}]", i);
    if (!IsReportable(tasks[i].phase)) {
      errors.push_back({path + ".phase",
                        "must be running, succeeded, failed, stopped or "
                        "not_run"});
    }
    CheckNotNegative(tasks[i].used, path + ".used", errors);
  }
}

void CheckName(std::string_view name, const std::string& path,
               field_errors& errors) {
  if (!name.empty() && name.size() <= cell::kMaxNameBytes) return;
  errors.push_back(
      {path, fmt::format("must be 1 to {} bytes", cell::kMaxNameBytes)});
}

void CheckWorker(const cell::worker_record& worker, field_errors& errors) {
  constexpr std::int64_t kMaxSlots = 4096;
  CheckNotNegative(worker.capacity, "capacity", errors);
  CheckName(worker.location.region.v, "region", errors);
  CheckName(worker.location.data_centre.v, "data_centre", errors);
  CheckName(worker.location.rack.v, "rack", errors);
  if (worker.slots < 0 || worker.slots > kMaxSlots) {
    errors.push_back({"slots", fmt::format("must be from 0 to {}", kMaxSlots)});
  }
}

json::object WriteOrderHead(std::string_view name, const cell::task_id& id,
                            std::uint32_t attempt) {
  json::object o;
  o["order"] = json::string(name);
  o["job"] = id.job;
  o["index"] = id.index;
  o["attempt"] = attempt;
  return o;
}

json::object WriteOrder(const control::order& order) {
  return std::visit(
      overloaded{[](const control::start_order& s) {
                   json::object o = WriteOrderHead("start", s.id, s.attempt);
                   o["program"] = s.program;
                   o["name"] = s.name;
                   o["department"] = s.department.v;
                   o["service"] = s.is_service;
                   o["need"] = object_writer::Value(s.need);
                   return o;
                 },
                 [](const control::stop_order& s) {
                   json::object o = WriteOrderHead("stop", s.id, s.attempt);
                   o["checkpoint"] = s.checkpoint;
                   return o;
                 },
                 [](const control::throttle_order& t) {
                   json::object o = WriteOrderHead("throttle", t.id, t.attempt);
                   o["limit"] = object_writer::Value(t.limit);
                   return o;
                 }},
      order);
}

}  // namespace

core::outcome<control::announcement> ReadAnnouncement(
    const json::value& value, const core::worker_id& name) {
  core::invalid_request failure;
  control::announcement announcement;
  cell::worker_record& worker = announcement.worker;
  worker.id = name;
  std::string address;
  object_reader reader(value, "", failure.fields);
  for (const char* const required :
       {"incarnation", "sequence", "address", "region", "data_centre", "rack",
        "capacity"}) {
    reader.Require(required);
  }
  reader("incarnation", worker.incarnation);
  reader("sequence", announcement.sequence);
  reader("address", address);
  reader("region", worker.location.region);
  reader("data_centre", worker.location.data_centre);
  reader("rack", worker.location.rack);
  reader("capacity", worker.capacity);
  reader("slots", worker.slots);
  reader("leaving", announcement.leaving);
  reader("tasks", announcement.tasks);
  reader.ReportUnknownMembers();
  if (!failure.fields.empty()) return core::failure(std::move(failure));

  const auto endpoint =
      core::Capture([&] { return settings::ParseEndpoint(address); });
  if (endpoint) {
    worker.address = *endpoint;
  } else {
    failure.fields.push_back({"address", "must be IP-ADDRESS:PORT"});
  }
  CheckWorker(worker, failure.fields);
  CheckTasks(announcement.tasks, failure.fields);
  if (!failure.fields.empty()) return core::failure(std::move(failure));
  return announcement;
}

json::object WriteReply(const control::announcement_reply& reply) {
  json::object o;
  o["worker"] = reply.worker.v;
  o["incarnation"] = reply.incarnation;
  o["sequence"] = reply.sequence;
  o["term"] = reply.term;
  o["lease_ms"] = std::int64_t{reply.lease.count()};
  o["superseded"] = reply.superseded;
  json::array orders;
  for (const control::order& order : reply.orders) {
    orders.push_back(WriteOrder(order));
  }
  o["orders"] = std::move(orders);
  return o;
}

}  // namespace mangoplank::api
