#include "api/object_handlers.h"

#include <fmt/format.h>

#include <utility>

#include "api/problem.h"
#include "mangoplank/cell/state.h"

namespace mangoplank::api {

namespace {

namespace json = boost::json;

constexpr std::uint64_t kDefaultPageSize = 500;
constexpr std::uint64_t kMaxPageSize = 1000;

std::string MakeEntityTag(core::revision version) {
  return fmt::format("\"{}\"", version);
}

std::string PathOf(const cell::object_key& key) {
  const std::string own =
      fmt::format("{}/{}", CollectionName(key.kind), EscapeSegment(key.name));
  return IsDepartmental(key.kind)
             ? fmt::format("/v1/departments/{}/{}", key.department.v, own)
             : "/v1/" + own;
}

// Only the cell's administrator may see token hashes.
json::object WriteVisibleView(const principal& caller,
                              const control::object_view& view) {
  json::object o = WriteView(view);
  const bool hide = view.object.key.kind == cell::object_kind::kDepartment &&
                    !std::holds_alternative<cell_admin>(caller);
  if (hide) o["spec"].as_object().erase("tokens");
  return o;
}

// A member of a department sees only that department in the collection.
void RestrictToOwnDepartment(const principal& caller,
                             control::list_request& list) {
  const core::department_id own = DepartmentOf(caller);
  if (list.kind == cell::object_kind::kDepartment && !own.v.empty()) {
    list.name = own.v;
  }
}

response MakeChangeResponse(const cell::accepted& change, bool dry_run) {
  if (!change.object) {
    return MakeJsonResponse(200, json::object{{"revision", change.revision}});
  }
  const bool created = change.object->uid == change.revision;
  api::response response = MakeJsonResponse(created && !dry_run ? 201 : 200,
                                            WriteObject(*change.object));
  response.headers["etag"] = MakeEntityTag(change.object->version);
  response.headers["location"] = PathOf(change.object->key);
  return response;
}

void MarkDryRun(api::response& response, bool dry_run) {
  if (dry_run) response.headers["mangoplank-dry-run"] = "true";
}

// Merges the version in a declaration with the one in If-Match.
core::outcome<change_options> MergeExpectedVersion(
    change_options options, const api::declaration& declaration) {
  if (declaration.version == 0) return options;
  if (options.expected && *options.expected != declaration.version) {
    return InvalidField("version", "conflicts with If-Match");
  }
  if (options.create_only) {
    return InvalidField("version", "is not allowed when creating");
  }
  options.expected = declaration.version;
  return options;
}

}  // namespace

core::awaitable<core::outcome<control::object_view>>
object_handlers::ReadObject(cell::object_key key, core::time_point deadline) {
  control::list_request list;
  list.department = key.department;
  list.kind = key.kind;
  list.name = key.name;
  list.limit = 1;
  control::request request(std::move(list));
  auto page = co_await SendRequest<control::list_answer>(
      client_, std::move(request), deadline);
  if (!page) co_return page.error();
  if (page->objects.empty()) {
    co_return core::failure(core::not_found{std::move(key.name)});
  }
  co_return std::move(page->objects.front());
}

object_handlers::result object_handlers::List(const request_context& context,
                                              collection_route route) {
  const auto limit =
      ReadNumber(context.query, "limit", kDefaultPageSize, 1, kMaxPageSize);
  if (!limit) co_return limit.error();
  control::list_request list;
  list.department = route.department;
  list.kind = route.kind;
  list.limit = static_cast<std::uint32_t>(*limit);
  const auto after = context.query.find("continue");
  if (after != context.query.end()) list.after = after->second;
  RestrictToOwnDepartment(context.caller, list);
  control::request request(std::move(list));
  const auto page = co_await SendRequest<control::list_answer>(
      client_, std::move(request), context.deadline);
  if (!page) co_return page.error();

  json::array items;
  for (const auto& view : page->objects)
    items.push_back(WriteVisibleView(context.caller, view));
  json::object body;
  body["revision"] = page->revision;
  body["items"] = std::move(items);
  if (page->more && !page->objects.empty()) {
    body["continue"] = page->objects.back().object.key.name;
  }
  co_return MakeJsonResponse(200, body);
}

object_handlers::result object_handlers::Get(const request_context& context,
                                             item_route route) {
  const auto view = co_await ReadObject(std::move(route.key), context.deadline);
  if (!view) co_return view.error();
  api::response response =
      MakeJsonResponse(200, WriteVisibleView(context.caller, *view));
  response.headers["etag"] = MakeEntityTag(view->object.version);
  co_return response;
}

object_handlers::result object_handlers::Write(const request_context& context,
                                               change_options options,
                                               api::declaration declaration) {
  auto combined = MergeExpectedVersion(std::move(options), declaration);
  if (!combined) co_return combined.error();
  core::invalid_request failure;
  failure.fields = cell::Validate(declaration.key, declaration.spec);
  if (!failure.fields.empty()) co_return core::failure(std::move(failure));
  cell::put_object put;
  put.key = std::move(declaration.key);
  put.spec = std::move(declaration.spec);
  put.expected = combined->expected;
  put.create_only = combined->create_only;
  put.replace_only = combined->replace_only;
  cell::command_body body(std::move(put));
  const auto change =
      co_await Propose(client_, context, *combined, std::move(body));
  if (!change) co_return change.error();
  api::response response = MakeChangeResponse(*change, combined->dry_run);
  MarkDryRun(response, combined->dry_run);
  co_return response;
}

object_handlers::result object_handlers::Create(const request_context& context,
                                                collection_route route) {
  auto options = ReadChangeOptions(context);
  if (!options) co_return options.error();
  const auto v = ParseJson(context.request.body);
  if (!v) co_return v.error();
  auto declared =
      ReadDeclaration(*v, cell::object_key{route.kind, route.department, ""});
  if (!declared) co_return declared.error();
  if (options->expected || options->replace_only) {
    co_return InvalidField("If-Match", "is not supported when creating");
  }
  options->create_only = true;
  co_return co_await Write(context, std::move(*options), std::move(*declared));
}

object_handlers::result object_handlers::Put(const request_context& context,
                                             item_route route) {
  auto options = ReadChangeOptions(context);
  if (!options) co_return options.error();
  const auto v = ParseJson(context.request.body);
  if (!v) co_return v.error();
  auto declared = ReadDeclaration(*v, route.key);
  if (!declared) co_return declared.error();
  co_return co_await Write(context, std::move(*options), std::move(*declared));
}

object_handlers::result object_handlers::Patch(const request_context& context,
                                               item_route route) {
  auto options = ReadChangeOptions(context);
  if (!options) co_return options.error();
  const auto patch = ParseJson(context.request.body);
  if (!patch) co_return patch.error();
  const auto current = co_await ReadObject(route.key, context.deadline);
  if (!current) co_return current.error();
  auto spec = ReadSpec(MergePatch(WriteSpec(current->object.spec), *patch),
                       route.key.kind);
  if (!spec) co_return spec.error();
  // A resent patch that has already taken effect changes nothing.
  const bool unconditional = !options->expected;
  if (unconditional && *spec == current->object.spec) {
    response unchanged =
        MakeJsonResponse(200, WriteVisibleView(context.caller, *current));
    unchanged.headers["etag"] = MakeEntityTag(current->object.version);
    MarkDryRun(unchanged, options->dry_run);
    co_return unchanged;
  }
  declaration patched;
  patched.key = std::move(route.key);
  patched.spec = std::move(*spec);
  options->replace_only = true;
  if (unconditional) options->expected = current->object.version;
  co_return co_await Write(context, std::move(*options), std::move(patched));
}

object_handlers::result object_handlers::Delete(const request_context& context,
                                                item_route route) {
  const auto options = ReadChangeOptions(context);
  if (!options) co_return options.error();
  if (options->create_only) {
    co_return InvalidField("If-None-Match", "is not supported when deleting");
  }
  cell::command_body body(
      cell::delete_object{std::move(route.key), options->expected});
  const auto change =
      co_await Propose(client_, context, *options, std::move(body));
  if (!change) co_return change.error();
  api::response response = MakeChangeResponse(*change, options->dry_run);
  MarkDryRun(response, options->dry_run);
  co_return response;
}

object_handlers::result object_handlers::Cancel(const request_context& context,
                                                cancel_route route) {
  const auto options = ReadChangeOptions(context);
  if (!options) co_return options.error();
  if (options->expected) {
    co_return InvalidField("If-Match", "is not supported when cancelling");
  }
  cell::command_body body(cell::cancel_job{std::move(route.key)});
  const auto change =
      co_await Propose(client_, context, *options, std::move(body));
  if (!change) co_return change.error();
  api::response response =
      MakeJsonResponse(200, json::object{{"revision", change->revision}});
  MarkDryRun(response, options->dry_run);
  co_return response;
}

object_handlers::result object_handlers::Explain(const request_context& context,
                                                 explain_route route) {
  control::request request(control::explain_request{std::move(route.key)});
  const auto explanation = co_await SendRequest<control::explain_answer>(
      client_, std::move(request), context.deadline);
  if (!explanation) co_return explanation.error();
  json::array lines;
  for (const std::string& line : explanation->lines)
    lines.push_back(json::string(line));
  json::array tasks;
  for (const cell::task_record& t : explanation->tasks)
    tasks.push_back(WriteTask(t));
  json::object body;
  body["revision"] = explanation->revision;
  body["lines"] = std::move(lines);
  body["tasks"] = std::move(tasks);
  co_return MakeJsonResponse(200, body);
}

object_handlers::result object_handlers::Drain(const request_context& context,
                                               drain_route route) {
  const auto options = ReadChangeOptions(context);
  if (!options) co_return options.error();
  const bool known =
      view_.FindWorker(core::worker_id{route.key.name}) != nullptr ||
      view_.Find(route.key) != nullptr;
  // Otherwise a misspelt name would declare a worker that does not exist.
  if (!known) co_return core::failure(core::not_found{route.key.name});
  declaration worker;
  worker.key = std::move(route.key);
  worker.spec = cell::worker_spec{route.drain};
  co_return co_await Write(context, *options, std::move(worker));
}

}  // namespace mangoplank::api
