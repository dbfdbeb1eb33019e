#include "api/object_handlers.h"

#include <fmt/format.h>

#include <utility>

#include "api/problem.h"
#include "mangoplank/cell/state.h"

namespace mangoplank::api {

namespace {

namespace json = boost::json;

constexpr std::uint64_t kDefaultPage = 500;
constexpr std::uint64_t kLargestPage = 1000;

std::string TagOf(core::revision version) {
  return fmt::format("\"{}\"", version);
}

std::string PathOf(const cell::object_key& key) {
  const std::string own =
      fmt::format("{}/{}", CollectionWord(key.kind), EscapeSegment(key.name));
  return IsDepartmental(key.kind)
             ? fmt::format("/v1/departments/{}/{}", key.department.v, own)
             : "/v1/" + own;
}

// Hashes of tokens are for the cell's administrator only.
json::object Visible(const principal& who, const control::object_view& v) {
  json::object o = WriteView(v);
  const bool hide = v.object.key.kind == cell::object_kind::kDepartment &&
                    !std::holds_alternative<cell_admin>(who);
  if (hide) o["spec"].as_object().erase("tokens");
  return o;
}

// A department's member sees one element of the collection of departments.
void Narrow(const principal& who, control::list_request& ask) {
  const core::department_id own = DepartmentOf(who);
  if (ask.kind == cell::object_kind::kDepartment && !own.v.empty()) {
    ask.name = own.v;
  }
}

response WrittenResponse(const cell::accepted& a, bool dry_run) {
  if (!a.object) {
    return JsonResponse(200, json::object{{"revision", a.revision}});
  }
  const bool created = a.object->uid == a.revision;
  response r =
      JsonResponse(created && !dry_run ? 201 : 200, WriteObject(*a.object));
  r.headers["etag"] = TagOf(a.object->version);
  r.headers["location"] = PathOf(a.object->key);
  return r;
}

void MarkDryRun(response& r, bool dry_run) {
  if (dry_run) r.headers["mangoplank-dry-run"] = "true";
}

// Merges the version in a declaration with the one in If-Match.
core::outcome<change_options> Combine(change_options options,
                                      const declaration& d) {
  if (d.version == 0) return options;
  if (options.expected && *options.expected != d.version) {
    return InvalidField("version", "contradicts If-Match");
  }
  if (options.create_only) {
    return InvalidField("version", "contradicts a create");
  }
  options.expected = d.version;
  return options;
}

}  // namespace

core::awaitable<core::outcome<control::object_view>> object_handlers::Read(
    cell::object_key key, core::time_point deadline) {
  control::list_request ask;
  ask.department = key.department;
  ask.kind = key.kind;
  ask.name = key.name;
  ask.limit = 1;
  control::request r(std::move(ask));
  auto page =
      co_await AskFor<control::list_answer>(client_, std::move(r), deadline);
  if (!page) co_return page.error();
  if (page->objects.empty()) {
    co_return core::failure(core::not_found{std::move(key.name)});
  }
  co_return std::move(page->objects.front());
}

object_handlers::result object_handlers::List(const exchange& x,
                                              collection_route to) {
  const auto limit =
      ReadNumber(x.query, "limit", kDefaultPage, 1, kLargestPage);
  if (!limit) co_return limit.error();
  control::list_request ask;
  ask.department = to.department;
  ask.kind = to.k;
  ask.limit = static_cast<std::uint32_t>(*limit);
  const auto after = x.query.find("continue");
  if (after != x.query.end()) ask.after = after->second;
  Narrow(x.who, ask);
  control::request r(std::move(ask));
  const auto page =
      co_await AskFor<control::list_answer>(client_, std::move(r), x.deadline);
  if (!page) co_return page.error();

  json::array items;
  for (const auto& v : page->objects) items.push_back(Visible(x.who, v));
  json::object body;
  body["revision"] = page->revision;
  body["items"] = std::move(items);
  if (page->more && !page->objects.empty()) {
    body["continue"] = page->objects.back().object.key.name;
  }
  co_return JsonResponse(200, body);
}

object_handlers::result object_handlers::Get(const exchange& x, item_route to) {
  const auto v = co_await Read(std::move(to.key), x.deadline);
  if (!v) co_return v.error();
  response r = JsonResponse(200, Visible(x.who, *v));
  r.headers["etag"] = TagOf(v->object.version);
  co_return r;
}

object_handlers::result object_handlers::Write(const exchange& x,
                                               change_options options,
                                               declaration d) {
  auto combined = Combine(std::move(options), d);
  if (!combined) co_return combined.error();
  core::invalid_request wrong;
  wrong.fields = cell::Validate(d.key, d.spec);
  if (!wrong.fields.empty()) co_return core::failure(std::move(wrong));
  cell::put_object put;
  put.key = std::move(d.key);
  put.spec = std::move(d.spec);
  put.expected = combined->expected;
  put.create_only = combined->create_only;
  put.replace_only = combined->replace_only;
  cell::command_body body(std::move(put));
  const auto a = co_await Propose(client_, x, *combined, std::move(body));
  if (!a) co_return a.error();
  response r = WrittenResponse(*a, combined->dry_run);
  MarkDryRun(r, combined->dry_run);
  co_return r;
}

object_handlers::result object_handlers::Create(const exchange& x,
                                                collection_route to) {
  auto options = ReadOptions(x);
  if (!options) co_return options.error();
  const auto v = ParseJson(x.r.body);
  if (!v) co_return v.error();
  auto d = ReadDeclaration(*v, cell::object_key{to.k, to.department, ""});
  if (!d) co_return d.error();
  if (options->expected || options->replace_only) {
    co_return InvalidField("If-Match", "has no meaning for a create");
  }
  options->create_only = true;
  co_return co_await Write(x, std::move(*options), std::move(*d));
}

object_handlers::result object_handlers::Put(const exchange& x, item_route to) {
  auto options = ReadOptions(x);
  if (!options) co_return options.error();
  const auto v = ParseJson(x.r.body);
  if (!v) co_return v.error();
  auto d = ReadDeclaration(*v, to.key);
  if (!d) co_return d.error();
  co_return co_await Write(x, std::move(*options), std::move(*d));
}

object_handlers::result object_handlers::Patch(const exchange& x,
                                               item_route to) {
  auto options = ReadOptions(x);
  if (!options) co_return options.error();
  const auto patch = ParseJson(x.r.body);
  if (!patch) co_return patch.error();
  const auto now = co_await Read(to.key, x.deadline);
  if (!now) co_return now.error();
  auto spec =
      ReadSpec(MergePatch(WriteSpec(now->object.spec), *patch), to.key.kind);
  if (!spec) co_return spec.error();
  // A resend of a patch that took effect finds nothing to change.
  const bool unconditional = !options->expected;
  if (unconditional && *spec == now->object.spec) {
    response same = JsonResponse(200, Visible(x.who, *now));
    same.headers["etag"] = TagOf(now->object.version);
    MarkDryRun(same, options->dry_run);
    co_return same;
  }
  declaration d;
  d.key = std::move(to.key);
  d.spec = std::move(*spec);
  options->replace_only = true;
  if (unconditional) options->expected = now->object.version;
  co_return co_await Write(x, std::move(*options), std::move(d));
}

object_handlers::result object_handlers::Delete(const exchange& x,
                                                item_route to) {
  const auto options = ReadOptions(x);
  if (!options) co_return options.error();
  if (options->create_only) {
    co_return InvalidField("If-None-Match", "has no meaning for a delete");
  }
  cell::command_body body(
      cell::delete_object{std::move(to.key), options->expected});
  const auto a = co_await Propose(client_, x, *options, std::move(body));
  if (!a) co_return a.error();
  response r = WrittenResponse(*a, options->dry_run);
  MarkDryRun(r, options->dry_run);
  co_return r;
}

object_handlers::result object_handlers::Cancel(const exchange& x,
                                                cancel_route to) {
  const auto options = ReadOptions(x);
  if (!options) co_return options.error();
  if (options->expected) {
    co_return InvalidField("If-Match", "has no meaning for a cancel");
  }
  cell::command_body body(cell::cancel_job{std::move(to.key)});
  const auto a = co_await Propose(client_, x, *options, std::move(body));
  if (!a) co_return a.error();
  response r = JsonResponse(200, json::object{{"revision", a->revision}});
  MarkDryRun(r, options->dry_run);
  co_return r;
}

object_handlers::result object_handlers::Explain(const exchange& x,
                                                 explain_route to) {
  control::request r(control::explain_request{std::move(to.key)});
  const auto a = co_await AskFor<control::explain_answer>(client_, std::move(r),
                                                          x.deadline);
  if (!a) co_return a.error();
  json::array lines;
  for (const std::string& line : a->lines) lines.push_back(json::string(line));
  json::array tasks;
  for (const cell::task_record& t : a->tasks) tasks.push_back(WriteTask(t));
  json::object body;
  body["revision"] = a->revision;
  body["lines"] = std::move(lines);
  body["tasks"] = std::move(tasks);
  co_return JsonResponse(200, body);
}

object_handlers::result object_handlers::Drain(const exchange& x,
                                               drain_route to) {
  const auto options = ReadOptions(x);
  if (!options) co_return options.error();
  const bool known =
      view_.FindWorker(core::worker_id{to.key.name}) != nullptr ||
      view_.Find(to.key) != nullptr;
  // A misspelt name would otherwise declare a worker that does not exist.
  if (!known) co_return core::failure(core::not_found{to.key.name});
  declaration d;
  d.key = std::move(to.key);
  d.spec = cell::worker_spec{to.drain};
  co_return co_await Write(x, *options, std::move(d));
}

}  // namespace mangoplank::api
