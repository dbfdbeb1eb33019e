#include "api/json_codec.h"

#include <fmt/format.h>

#include <utility>

#include "api/json_schema.h"

namespace mangoplank::api {

namespace {

using core::overloaded;

cell::object_spec EmptySpec(cell::object_kind k) {
  switch (k) {
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

cell::object_spec ReadSpecInto(const json::value& v, cell::object_kind k,
                               field_errors& errors) {
  cell::object_spec spec = EmptySpec(k);
  object_reader reader(v, "spec", errors);
  std::visit([&](auto& s) { Fields(reader, s); }, spec);
  reader.Finish();
  return spec;
}

// A member of a declaration that repeats a part of its path must agree with it.
void ReadSame(object_reader& reader, std::string_view name,
              std::string_view expected, field_errors& errors) {
  std::string said(expected);
  reader(name, said);
  if (said == expected) return;
  errors.push_back({std::string(name), fmt::format("must be {}", expected)});
}

}  // namespace

std::string_view KindWord(cell::object_kind k) { return WordOf(k); }

std::string_view CollectionWord(cell::object_kind k) {
  switch (k) {
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

std::optional<cell::object_kind> KindOfCollection(std::string_view word) {
  for (const auto& [name, kind] : cell::kKindWords) {
    if (CollectionWord(kind) == word) return kind;
  }
  return std::nullopt;
}

std::optional<cell::object_kind> KindOfWord(std::string_view word) {
  return FromWord<cell::object_kind>(word);
}

bool IsDepartmental(cell::object_kind k) {
  return k == cell::object_kind::kService ||
         k == cell::object_kind::kBatchJob || k == cell::object_kind::kGangJob;
}

std::string_view EndingWord(cell::ending e) { return WordOf(e); }

std::string_view PhaseWord(cell::task_phase p) { return WordOf(p); }

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

core::outcome<cell::object_spec> ReadSpec(const json::value& v,
                                          cell::object_kind k) {
  core::invalid_request failure;
  cell::object_spec spec = ReadSpecInto(v, k, failure.fields);
  if (!failure.fields.empty()) return core::failure(std::move(failure));
  return spec;
}

core::outcome<declaration> ReadDeclaration(const json::value& v,
                                           const cell::object_key& key) {
  core::invalid_request failure;
  declaration d;
  d.key = key;
  object_reader reader(v, "", failure.fields);
  ReadSame(reader, "kind", KindWord(key.kind), failure.fields);
  if (IsDepartmental(key.kind)) {
    ReadSame(reader, "department", key.department.v, failure.fields);
  }
  if (key.name.empty()) {
    reader.Require("name");
    reader("name", d.key.name);
  } else {
    ReadSame(reader, "name", key.name, failure.fields);
  }
  reader("version", d.version);
  for (const char* const set_by_system :
       {"uid", "generation", "created_ms", "status", "worker", "committed"}) {
    reader.Skip(set_by_system);
  }
  reader.Require("spec");
  const json::value* const spec = reader.Raw("spec");
  if (spec != nullptr && !spec->is_null()) {
    d.spec = ReadSpecInto(*spec, key.kind, failure.fields);
  }
  reader.Finish();
  if (!failure.fields.empty()) return core::failure(std::move(failure));
  return d;
}

json::value WriteSpec(const cell::object_spec& spec) {
  return std::visit([](const auto& s) { return object_writer::Value(s); },
                    spec);
}

json::object WriteKey(const cell::object_key& key) {
  json::object o;
  o["kind"] = json::string(KindWord(key.kind));
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

json::object WriteWorker(const cell::worker_record& w) {
  json::object o;
  o["incarnation"] = w.incarnation;
  o["address"] = fmt::format("{}:{}", w.address.address, w.address.port);
  o["region"] = w.location.region.v;
  o["data_centre"] = w.location.data_centre.v;
  o["rack"] = w.location.rack.v;
  o["capacity"] = object_writer::Value(w.capacity);
  o["slots"] = w.slots;
  o["drain"] = w.drain;
  return o;
}

json::object WriteView(const control::object_view& v) {
  json::object o = WriteObject(v.object);
  if (IsDepartmental(v.object.key.kind))
    o["status"] = object_writer::Value(v.status);
  if (v.object.key.kind == cell::object_kind::kWorker) {
    o["committed"] = object_writer::Value(v.committed);
  }
  if (v.worker) o["worker"] = WriteWorker(*v.worker);
  return o;
}

json::object WriteTask(const cell::task_record& t) {
  json::object o;
  o["job"] = t.id.job;
  o["index"] = t.id.index;
  o["phase"] = json::string(PhaseWord(t.phase));
  o["attempt"] = t.attempt;
  o["failures"] = t.failures;
  o["stopping"] = t.stopping;
  o["evicting"] = t.evicting;
  o["generation"] = t.generation;
  o["since_ms"] = t.since;
  if (!t.worker.v.empty()) o["worker"] = t.worker.v;
  if (!t.detail.empty()) o["detail"] = t.detail;
  return o;
}

json::object WriteStatus(const control::status_answer& s) {
  return object_writer::Value(s).as_object();
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
