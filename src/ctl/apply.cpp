#include <fmt/format.h>

#include <set>
#include <utility>

#include "ctl/output.h"
#include "ctl/session.h"

namespace mangoplank::ctl {

namespace {

namespace json = boost::json;

/// @return the path of the collection that holds `key`.
std::string CollectionPath(const cell::object_key& key) {
  return PathOf(key.kind, key.department.v, "");
}

/// @return the body of a PUT, with all fields set explicitly.
std::string BodyOf(const api::declaration& declaration) {
  json::object body = api::WriteKey(declaration.key);
  body["spec"] = api::WriteSpec(declaration.spec);
  return json::serialize(body);
}

}  // namespace

core::awaitable<std::optional<session::step>> session::PlanOne(
    loaded_declaration loaded) {
  const cell::object_key& key = loaded.declaration.key;
  step planned;
  planned.key = key;
  planned.body = BodyOf(loaded.declaration);
  api::request request;
  request.method = "GET";
  request.target = PathOf(key.kind, key.department.v, key.name);
  const auto answer = co_await SendWithRetries(std::move(request));
  if (!answer) {
    ReportFailure(answer.error(), false);
    co_return std::nullopt;
  }
  if (answer->status == 404) {
    planned.action = step::action_kind::kCreate;
    planned.differences = {
        "+ spec: " + json::serialize(api::WriteSpec(loaded.declaration.spec))};
    co_return planned;
  }
  if (answer->status != 200) {
    ReportFailure(*answer);
    co_return std::nullopt;
  }
  const auto body = api::ParseJson(answer->body);
  const json::value* const before = body && body->is_object()
                                        ? body->get_object().if_contains("spec")
                                        : nullptr;
  if (before == nullptr || !before->is_object()) {
    ReportMalformedAnswer();
    co_return std::nullopt;
  }
  planned.version = static_cast<core::revision>(NumberAt(*body, "version"));
  // A declaration based on an older version must not undo later changes.
  if (loaded.declaration.version != 0) {
    planned.version = loaded.declaration.version;
  }
  planned.differences =
      ListDifferences(*before, api::WriteSpec(loaded.declaration.spec), "spec");
  planned.action = planned.differences.empty() ? step::action_kind::kNone
                                               : step::action_kind::kReplace;
  co_return planned;
}

core::awaitable<bool> session::PlanPrune(std::vector<loaded_declaration> all,
                                         std::vector<step>& steps) {
  std::set<cell::object_key> declared;
  std::set<cell::object_key> collections;
  for (const loaded_declaration& loaded : all) {
    declared.insert(loaded.declaration.key);
    collections.insert(
        {loaded.declaration.key.kind, loaded.declaration.key.department, ""});
  }
  for (const cell::object_key& collection : collections) {
    const auto found = co_await ReadAll(CollectionPath(collection));
    if (!found) co_return false;
    for (const json::value& object : *found) {
      step planned;
      planned.key = collection;
      planned.key.name = TextAt(object, "name");
      if (declared.contains(planned.key)) continue;
      planned.action = step::action_kind::kDelete;
      planned.version =
          static_cast<core::revision>(NumberAt(object, "version"));
      steps.push_back(std::move(planned));
    }
  }
  co_return true;
}

core::awaitable<std::optional<std::vector<session::step>>> session::Plan(
    std::string path, bool prune) {
  const auto all = LoadDeclarations(path, command_.department);
  if (!all) {
    failure_code_ = exit_code::kUsage;
    err_ << "error: the declarations are not valid\n";
    const core::failure failure = all.error();
    const auto* const invalid = std::get_if<core::invalid_request>(&failure);
    for (const core::field_error& error : invalid->fields) {
      err_ << fmt::format("  {}: {}\n", error.field, error.reason);
    }
    co_return std::nullopt;
  }
  std::vector<step> steps;
  for (const loaded_declaration& loaded : *all) {
    auto planned = co_await PlanOne(loaded);
    if (!planned) co_return std::nullopt;
    steps.push_back(std::move(*planned));
  }
  if (prune) {
    const bool pruned = co_await PlanPrune(*all, steps);
    if (!pruned) co_return std::nullopt;
  }
  co_return steps;
}

void session::PrintStep(const step& planned, std::string_view status) {
  const std::string name =
      planned.key.department.v.empty()
          ? planned.key.name
          : fmt::format("{}/{}", planned.key.department.v, planned.key.name);
  if (command_.output == output_format::kTable) {
    out_ << fmt::format("{} {} {}\n", api::KindName(planned.key.kind), name,
                        status);
    return;
  }
  json::object printed = api::WriteKey(planned.key);
  printed["action"] = json::string(status);
  out_ << json::serialize(printed) << "\n";
}

core::awaitable<bool> session::ApplyStep(step planned, bool dry_run) {
  std::string_view status = "unchanged";
  api::request request;
  request.target =
      PathOf(planned.key.kind, planned.key.department.v, planned.key.name);
  if (dry_run) request.target += "?dry_run=true";
  const std::string tag = fmt::format("\"{}\"", planned.version);
  switch (planned.action) {
    case step::action_kind::kNone:
      break;
    case step::action_kind::kCreate:
      request.method = "PUT";
      request.body = planned.body;
      request.headers["if-none-match"] = "*";
      status = "created";
      break;
    case step::action_kind::kReplace:
      request.method = "PUT";
      request.body = planned.body;
      request.headers["if-match"] = tag;
      status = "changed";
      break;
    case step::action_kind::kDelete:
      request.method = "DELETE";
      request.headers["if-match"] = tag;
      status = "deleted";
      break;
  }
  if (!request.method.empty()) {
    const auto answer = co_await SendChange(std::move(request));
    if (!answer) {
      PrintStep(planned, "failed");
      co_return false;
    }
  }
  PrintStep(planned, dry_run ? fmt::format("{} (dry run)", status) : status);
  co_return true;
}

session::result session::Execute(apply_verb verb) {
  const auto steps = co_await Plan(verb.path, verb.prune);
  if (!steps) co_return failure_code_;
  exit_code code = exit_code::kOk;
  for (const step& planned : *steps) {
    const bool done = co_await ApplyStep(planned, verb.dry_run);
    // Steps are independent; the exit code is that of the first failure.
    if (!done && code == exit_code::kOk) code = failure_code_;
  }
  co_return code;
}

session::result session::Execute(diff_verb verb) {
  const auto steps = co_await Plan(verb.path, verb.prune);
  if (!steps) co_return failure_code_;
  exit_code code = exit_code::kOk;
  for (const step& planned : *steps) {
    if (planned.action == step::action_kind::kNone) continue;
    code = exit_code::kDiffers;
    PrintStep(planned, planned.action == step::action_kind::kDelete
                           ? "would be deleted"
                       : planned.action == step::action_kind::kCreate
                           ? "would be created"
                           : "would be changed");
    for (const std::string& line : planned.differences) {
      if (command_.output == output_format::kTable) {
        out_ << "  " << Printable(line) << "\n";
      }
    }
  }
  co_return code;
}

}  // namespace mangoplank::ctl
