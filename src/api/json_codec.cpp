#include "api/json_codec.h"

#include <fmt/format.h>

#include <utility>

#include "api/json_schema.h"

namespace mangoplank::api {

namespace {

using core::overloaded;

cell::object_spec EmptySpec(cell::object_kind kind) {
  switch (kind) {
    case cell::object_kind::kService:
      return cell::service_spec{};
    case cell::object_kind::kBatchJob:
      return cell::batch_job_spec{};
    case cell::object_kind::kGangJob:
      return cell::gang_job_spec{};
    case cell::object_kind::kDepartment:
      return cell::department_spec{};
    case cell::object_kind::kWorker:
      return cell::worker_spec{};
    case cell::object_kind::kConfiguration:
      break;
  }
  return cell::configuration_spec{};
}

cell::object_spec ReadSpecMembers(const json::value& value,
                                  cell::object_kind kind,
                                  field_errors& errors) {
  cell::object_spec spec = EmptySpec(kind);
  object_reader reader(value, "spec", errors);
  std::visit([&](auto& fields) { VisitFields(reader, fields); }, spec);
  reader.ReportUnknownMembers();
  return spec;
}

// A member of a declaration that repeats part of the path must agree with it.
void CheckRepeated(object_reader& reader, std::string_view name,
                   std::string_view expected, field_errors& errors) {
  std::string actual(expected);
  reader(name, actual);
  if (actual == expected) return;
  errors.push_back({std::string(name), fmt::format("must be {}", expected)});
}

}  // namespace

std::string_view KindName(cell::object_kind kind) { return EnumName(kind); }

std::string_view CollectionName(cell::object_kind kind) {
  switch (kind) {
    case cell::object_kind::kService:
      return "services";
    case cell::object_kind::kBatchJob:
      return "batch_jobs";
    case cell::object_kind::kGangJob:
      return "gang_jobs";
    case cell::object_kind::kDepartment:
      return "departments";
    case cell::object_kind::kWorker:
      return "workers";
    case cell::object_kind::kConfiguration:
      break;
  }
  return "configurations";
}

std::optional<cell::object_kind> KindFromCollection(
    std::string_view collection) {
  for (const auto& [name, kind] : cell::kKindNames) {
    if (CollectionName(kind) == collection) return kind;
  }
  return std::nullopt;
}

std::optional<cell::object_kind> KindFromName(std::string_view name) {
  return ParseEnumName<cell::object_kind>(name);
}

bool IsDepartmental(cell::object_kind kind) {
  return kind == cell::object_kind::kService ||
         kind == cell::object_kind::kBatchJob ||
         kind == cell::object_kind::kGangJob;
}

std::string_view EndingName(cell::ending ending) { return EnumName(ending); }

std::string_view PhaseName(cell::task_phase phase) { return EnumName(phase); }

core::outcome<json::value> ParseJson(std::string_view text) {
  json::stream_parser parser;
  boost::system::error_code ec;
  const std::size_t read = parser.write_some(text.data(), text.size(), ec);
  if (!ec && read == text.size()) parser.finish(ec);
  if (!ec && read < text.size()) ec = json::error::extra_data;
  if (!ec) return parser.release();
  core::invalid_request failure;
  failure.fields.push_back(
      {"", fmt::format("not valid JSON: {} at byte {}", ec.message(), read)});
  return core::failure(std::move(failure));
}

core::outcome<cell::object_spec> ReadSpec(const json::value& value,
                                          cell::object_kind kind) {
  core::invalid_request failure;
  cell::object_spec spec = ReadSpecMembers(value, kind, failure.fields);
  if (!failure.fields.empty()) return core::failure(std::move(failure));
  return spec;
}

core::outcome<declaration> ReadDeclaration(const json::value& value,
                                           const cell::object_key& key) {
  core::invalid_request failure;
  api::declaration declaration;
  declaration.key = key;
  object_reader reader(value, "", failure.fields);
  CheckRepeated(reader, "kind", KindName(key.kind), failure.fields);
  if (IsDepartmental(key.kind)) {
    CheckRepeated(reader, "department", key.department.v, failure.fields);
  }
  if (key.name.empty()) {
    reader.Require("name");
    reader("name", declaration.key.name);
  } else {
    CheckRepeated(reader, "name", key.name, failure.fields);
  }
  reader("version", declaration.version);
  for (const char* const set_by_system :
       {"uid", "generation", "created_ms", "status", "worker", "committed"}) {
    reader.Skip(set_by_system);
  }
  reader.Require("spec");
  const json::value* const spec = reader.FindMember("spec");
  if (spec != nullptr && !spec->is_null()) {
    declaration.spec = ReadSpecMembers(*spec, key.kind, failure.fields);
  }
  reader.ReportUnknownMembers();
  if (!failure.fields.empty()) return core::failure(std::move(failure));
  return declaration;
}

json::value WriteSpec(const cell::object_spec& spec) {
  return std::visit([](const auto& s) { return object_writer::Value(s); },
                    spec);
}

json::object WriteKey(const cell::object_key& key) {
  json::object o;
  o["kind"] = json::string(KindName(key.kind));
  if (IsDepartmental(key.kind)) o["department"] = key.department.v;
  o["name"] = key.name;
  return o;
}

json::object WriteObject(const cell::object& object) {
  json::object o = WriteKey(object.key);
  o["uid"] = object.uid;
  o["generation"] = object.generation;
  o["version"] = object.version;
  o["created_ms"] = object.created;
  o["spec"] = WriteSpec(object.spec);
  return o;
}

json::object WriteWorker(const cell::worker_record& worker) {
  json::object o;
  o["incarnation"] = worker.incarnation;
  o["address"] =
      fmt::format("{}:{}", worker.address.address, worker.address.port);
  o["region"] = worker.location.region.v;
  o["data_centre"] = worker.location.data_centre.v;
  o["rack"] = worker.location.rack.v;
  o["capacity"] = object_writer::Value(worker.capacity);
  o["slots"] = worker.slots;
  o["drain"] = worker.drain;
  return o;
}

json::object WriteView(const control::object_view& view) {
  json::object o = WriteObject(view.object);
  if (IsDepartmental(view.object.key.kind))
    o["status"] = object_writer::Value(view.status);
  if (view.object.key.kind == cell::object_kind::kWorker) {
    o["committed"] = object_writer::Value(view.committed);
  }
  if (view.worker) o["worker"] = WriteWorker(*view.worker);
  return o;
}

json::object WriteTask(const cell::task_record& task) {
  json::object o;
  o["job"] = task.id.job;
  o["index"] = task.id.index;
  o["phase"] = json::string(PhaseName(task.phase));
  o["attempt"] = task.attempt;
  o["failures"] = task.failures;
  o["stopping"] = task.stopping;
  o["evicting"] = task.evicting;
  o["generation"] = task.generation;
  o["since_ms"] = task.since;
  if (!task.worker.v.empty()) o["worker"] = task.worker.v;
  if (!task.detail.empty()) o["detail"] = task.detail;
  return o;
}

json::object WriteStatus(const control::status_answer& status) {
  return object_writer::Value(status).as_object();
}

json::value MergePatch(json::value target, const json::value& patch) {
  const json::object* const changes = patch.if_object();
  if (changes == nullptr) return patch;
  if (!target.is_object()) target = json::object();
  json::object& o = target.get_object();
  for (const auto& member : *changes) {
    if (member.value().is_null()) {
      o.erase(member.key());
    } else {
      json::value& slot = o[member.key()];
      slot = MergePatch(std::move(slot), member.value());
    }
  }
  return target;
}

}  // namespace mangoplank::api
