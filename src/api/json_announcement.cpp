#include <fmt/format.h>

#include <utility>

#include "api/json_codec.h"
#include "api/json_schema.h"
#include "mangoplank/settings/settings.h"

namespace mangoplank::api {

namespace {

using core::overloaded;

// The phases that a worker may report (docs/worker_protocol.md).
bool IsReported(cell::task_phase p) {
  return p == cell::task_phase::kRunning || p == cell::task_phase::kSucceeded ||
         p == cell::task_phase::kFailed || p == cell::task_phase::kStopped ||
         p == cell::task_phase::kNotRun;
}

void CheckNotNegative(const core::resources& r, const std::string& path,
                      field_errors& errors) {
  if (r.Holds(core::resources{})) return;
  errors.push_back({path, "must not be negative"});
}

void CheckTasks(const std::vector<control::task_state>& tasks,
                field_errors& errors) {
  // The first wrong ones suffice; a body may hold thousands.
  constexpr std::size_t kMostErrors = 32;
  for (std::size_t i = 0; i < tasks.size() && errors.size() < kMostErrors;
       ++i) {
    const std::string path = fmt::format("tasks[{}]", i);
    if (!IsReported(tasks[i].phase)) {
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

void CheckWorker(const cell::worker_record& w, field_errors& errors) {
  constexpr std::int64_t kMostSlots = 4096;
  CheckNotNegative(w.capacity, "capacity", errors);
  CheckName(w.location.region.v, "region", errors);
  CheckName(w.location.data_centre.v, "data_centre", errors);
  CheckName(w.location.rack.v, "rack", errors);
  if (w.slots < 0 || w.slots > kMostSlots) {
    errors.push_back(
        {"slots", fmt::format("must be from 0 to {}", kMostSlots)});
  }
}

json::object WriteOrderHead(std::string_view word, const cell::task_id& id,
                            std::uint32_t attempt) {
  json::object o;
  o["order"] = json::string(word);
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
    const json::value& v, const core::worker_id& name) {
  core::invalid_request failure;
  control::announcement a;
  cell::worker_record& w = a.worker;
  w.id = name;
  std::string address;
  object_reader reader(v, "", failure.fields);
  for (const char* const needed :
       {"incarnation", "sequence", "address", "region", "data_centre", "rack",
        "capacity"}) {
    reader.Require(needed);
  }
  reader("incarnation", w.incarnation);
  reader("sequence", a.sequence);
  reader("address", address);
  reader("region", w.location.region);
  reader("data_centre", w.location.data_centre);
  reader("rack", w.location.rack);
  reader("capacity", w.capacity);
  reader("slots", w.slots);
  reader("leaving", a.leaving);
  reader("tasks", a.tasks);
  reader.Finish();
  if (!failure.fields.empty()) return core::failure(std::move(failure));

  const auto endpoint =
      core::Capture([&] { return settings::ParseEndpoint(address); });
  if (endpoint) {
    w.address = *endpoint;
  } else {
    failure.fields.push_back({"address", "must be IP-ADDRESS:PORT"});
  }
  CheckWorker(w, failure.fields);
  CheckTasks(a.tasks, failure.fields);
  if (!failure.fields.empty()) return core::failure(std::move(failure));
  return a;
}

json::object WriteReply(const control::announcement_reply& r) {
  json::object o;
  o["worker"] = r.worker.v;
  o["incarnation"] = r.incarnation;
  o["sequence"] = r.sequence;
  o["term"] = r.term;
  o["lease_ms"] = std::int64_t{r.lease.count()};
  o["superseded"] = r.superseded;
  json::array orders;
  for (const control::order& order : r.orders) {
    orders.push_back(WriteOrder(order));
  }
  o["orders"] = std::move(orders);
  return o;
}

}  // namespace mangoplank::api
