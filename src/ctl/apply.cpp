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

/// @return the declaration as sent, with all fields written out.
std::string BodyOf(const api::declaration& d) {
  json::object o = api::WriteKey(d.key);
  o["spec"] = api::WriteSpec(d.spec);
  return json::serialize(o);
}

}  // namespace

core::awaitable<std::optional<session::step>> session::PlanOne(declared d) {
  const cell::object_key& key = d.d.key;
  step s;
  s.key = key;
  s.body = BodyOf(d.d);
  api::request r;
  r.method = "GET";
  r.target = PathOf(key.kind, key.department.v, key.name);
  const auto now = co_await SendPatiently(std::move(r));
  if (!now) {
    Report(now.error(), false);
    co_return std::nullopt;
  }
  if (now->status == 404) {
    s.k = step::kind::kCreate;
    s.differences = {"+ spec: " + json::serialize(api::WriteSpec(d.d.spec))};
    co_return s;
  }
  if (now->status != 200) {
    Report(*now);
    co_return std::nullopt;
  }
  const auto body = api::ParseJson(now->body);
  if (!body || !body->is_object()) co_return std::nullopt;
  s.version = static_cast<core::revision>(NumberAt(*body, "version"));
  // A declaration made from an older version must not undo what came since.
  if (d.d.version != 0) s.version = d.d.version;
  const json::value* const before = body->get_object().if_contains("spec");
  if (before == nullptr) co_return std::nullopt;
  s.differences = Differences(*before, api::WriteSpec(d.d.spec), "spec");
  s.k = s.differences.empty() ? step::kind::kNone : step::kind::kReplace;
  co_return s;
}

core::awaitable<bool> session::PlanPrune(std::vector<declared> all,
                                         std::vector<step>& steps) {
  std::set<cell::object_key> kept;
  std::set<cell::object_key> collections;
  for (const declared& d : all) {
    kept.insert(d.d.key);
    collections.insert({d.d.key.kind, d.d.key.department, ""});
  }
  for (const cell::object_key& collection : collections) {
    const auto found = co_await ReadAll(CollectionPath(collection));
    if (!found) co_return false;
    for (const json::value& o : *found) {
      step s;
      s.key = collection;
      s.key.name = TextAt(o, "name");
      if (kept.contains(s.key)) continue;
      s.k = step::kind::kDelete;
      s.version = static_cast<core::revision>(NumberAt(o, "version"));
      steps.push_back(std::move(s));
    }
  }
  co_return true;
}

core::awaitable<std::optional<std::vector<session::step>>> session::Plan(
    std::string path, bool prune) {
  const auto all = LoadDeclarations(path, c_.department);
  if (!all) {
    failed_ = exit_code::kUsage;
    err_ << "error: the declarations are not valid\n";
    const core::failure failure = all.error();
    const auto* const e = std::get_if<core::invalid_request>(&failure);
    for (const core::field_error& f : e->fields) {
      err_ << fmt::format("  {}: {}\n", f.field, f.reason);
    }
    co_return std::nullopt;
  }
  std::vector<step> steps;
  for (const declared& d : *all) {
    auto s = co_await PlanOne(d);
    if (!s) co_return std::nullopt;
    steps.push_back(std::move(*s));
  }
  if (prune) {
    const bool planned = co_await PlanPrune(*all, steps);
    if (!planned) co_return std::nullopt;
  }
  co_return steps;
}

void session::PrintStep(const step& s, std::string_view word) {
  const std::string name =
      s.key.department.v.empty()
          ? s.key.name
          : fmt::format("{}/{}", s.key.department.v, s.key.name);
  if (c_.output == output_format::kTable) {
    out_ << fmt::format("{} {} {}\n", api::KindName(s.key.kind), name, word);
    return;
  }
  json::object o = api::WriteKey(s.key);
  o["action"] = json::string(word);
  out_ << json::serialize(o) << "\n";
}

core::awaitable<bool> session::Carry(step s, bool dry_run) {
  std::string_view word = "unchanged";
  api::request r;
  r.target = PathOf(s.key.kind, s.key.department.v, s.key.name);
  if (dry_run) r.target += "?dry_run=true";
  const std::string tag = fmt::format("\"{}\"", s.version);
  switch (s.k) {
    case step::kind::kNone:
      break;
    case step::kind::kCreate:
      r.method = "PUT";
      r.body = s.body;
      r.headers["if-none-match"] = "*";
      word = "created";
      break;
    case step::kind::kReplace:
      r.method = "PUT";
      r.body = s.body;
      r.headers["if-match"] = tag;
      word = "changed";
      break;
    case step::kind::kDelete:
      r.method = "DELETE";
      r.headers["if-match"] = tag;
      word = "deleted";
      break;
  }
  if (!r.method.empty()) {
    const auto answer = co_await Change(std::move(r));
    if (!answer) {
      PrintStep(s, "failed");
      co_return false;
    }
  }
  PrintStep(s, dry_run ? fmt::format("{} (dry run)", word) : word);
  co_return true;
}

session::result session::Do(apply_verb v) {
  const auto steps = co_await Plan(v.path, v.prune);
  if (!steps) co_return failed_;
  exit_code worst = exit_code::kOk;
  for (const step& s : *steps) {
    const bool done = co_await Carry(s, v.dry_run);
    // The others do not depend on this one; the first failure is reported.
    if (!done && worst == exit_code::kOk) worst = failed_;
  }
  co_return worst;
}

session::result session::Do(diff_verb v) {
  const auto steps = co_await Plan(v.path, v.prune);
  if (!steps) co_return failed_;
  exit_code code = exit_code::kOk;
  for (const step& s : *steps) {
    if (s.k == step::kind::kNone) continue;
    code = exit_code::kDiffers;
    PrintStep(s, s.k == step::kind::kDelete   ? "would be deleted"
                 : s.k == step::kind::kCreate ? "would be created"
                                              : "would be changed");
    for (const std::string& line : s.differences) {
      if (c_.output == output_format::kTable) {
        out_ << "  " << Printable(line) << "\n";
      }
    }
  }
  co_return code;
}

}  // namespace mangoplank::ctl
