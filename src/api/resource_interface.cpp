#include "mangoplank/api/resource_interface.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "api/access.h"
#include "api/call_handlers.h"
#include "api/json_codec.h"
#include "api/object_handlers.h"
#include "api/problem.h"
#include "api/request_context.h"
#include "api/watch.h"

namespace mangoplank::api {

namespace {

namespace json = boost::json;
using core::overloaded;

response MakeTextResponse(std::string body) {
  api::response response;
  response.headers["content-type"] = "text/plain; version=0.0.4; charset=utf-8";
  response.body = std::move(body);
  return response;
}

response MakeMethodNotAllowed(std::string allowed) {
  api::response response =
      Render(problem{405, "method-not-allowed",
                     "The resource does not support this method", ""});
  response.headers["allow"] = std::move(allowed);
  return response;
}

response MakeUnsupportedPatchType() {
  api::response response =
      Render(problem{415, "unsupported-media-type",
                     "A patch must be application/merge-patch+json", ""});
  response.headers["accept-patch"] = "application/merge-patch+json";
  return response;
}

/// @return the methods that a route supports, for the header Allow.
std::string AllowedMethods(const api::route& route) {
  return std::visit(
      overloaded{
          [](const collection_route&) { return "GET, HEAD, POST"; },
          [](const item_route&) { return "GET, HEAD, PUT, PATCH, DELETE"; },
          [](const cancel_route&) { return "POST"; },
          [](const drain_route&) { return "POST"; },
          [](const announce_route&) { return "POST"; },
          [](const call_route&) { return "POST"; },
          [](const auto&) { return "GET, HEAD"; }},
      route);
}

bool IsAllowed(const std::string& allowed, const std::string& method) {
  std::string_view rest = allowed;
  while (!rest.empty()) {
    const std::size_t comma = rest.find(", ");
    if (rest.substr(0, comma) == method) return true;
    if (comma == std::string_view::npos) break;
    rest.remove_prefix(comma + 2);
  }
  return false;
}

required_access AccessForObject(const cell::object_key& key, bool is_read) {
  using level = required_access::access_level;
  if (IsDepartmental(key.kind)) {
    return {is_read ? level::kRead : level::kOperate, key.department};
  }
  const bool is_department = key.kind == cell::object_kind::kDepartment;
  return {
      is_department && is_read ? level::kRead : level::kAdminister,
      is_department ? core::department_id{key.name} : core::department_id{}};
}

required_access AccessFor(const api::route& route, bool is_read) {
  using level = required_access::access_level;
  return std::visit(
      overloaded{
          [&](const collection_route& c) {
            return AccessForObject({c.kind, c.department, ""}, is_read);
          },
          [&](const item_route& i) { return AccessForObject(i.key, is_read); },
          [](const cancel_route& c) { return AccessForObject(c.key, false); },
          [](const explain_route& e) { return AccessForObject(e.key, true); },
          [](const drain_route& d) { return AccessForObject(d.key, false); },
          [](const announce_route&) {
            return required_access{level::kAnnounce, {}};
          },
          [](const call_route& c) {
            return required_access{level::kOperate, c.department};
          },
          [](const call_record_route& c) {
            return required_access{level::kOperate, c.department};
          },
          [](const status_route&) {
            return required_access{level::kRead, {}};
          },
          [](const objectives_route&) {
            return required_access{level::kRead, {}};
          },
          [](const auto&) {
            return required_access{level::kAdminister, {}};
          }},
      route);
}

/// @return the path without the query and without control characters.
std::string SanitizeForLog(std::string_view target) {
  constexpr std::size_t kMaxBytes = 200;
  std::string out(target.substr(0, std::min(target.find('?'), kMaxBytes)));
  std::ranges::replace_if(
      out, [](char c) { return c <= ' ' || c >= 0x7f; }, '?');
  return out;
}

/// A department sees its own share and the revision in force at all entries.
json::object StatusForDepartment(const control::status_answer& status,
                                 const core::department_id& own) {
  control::status_answer visible;
  visible.revision = status.revision;
  visible.term = status.term;
  for (const auto& share : status.shares) {
    if (share.department == own) visible.shares.push_back(share);
  }
  json::object o = WriteStatus(visible);
  o.erase("members");
  o.erase("entries");
  core::revision slowest = status.revision;
  for (const auto& e : status.entries) slowest = std::min(slowest, e.in_force);
  o["in_force_everywhere"] = slowest;
  return o;
}

}  // namespace

struct resource_interface::impl {
  using result = core::awaitable<core::outcome<reply>>;

  impl(interface_dependencies provided, interface_settings configured);

  core::awaitable<reply> Handle(api::request request);
  core::awaitable<reply> HandleTarget(api::request request, api::target target);
  reply HandlePublic(const api::request& request, const api::route& route);
  result Dispatch(const request_context& context, api::route route);
  result HandleCollection(const request_context& context,
                          collection_route route);
  result HandleItem(const request_context& context, item_route route);
  result HandleAnnouncement(const request_context& context,
                            announce_route route);
  result HandleStatus(const request_context& context);
  result HandleObjectives(const request_context& context);
  result HandlePublicRoute(const request_context& context, api::route route);
  result HandleWatch(const request_context& context, watch_filter filter);
  template <class R>
  result AwaitReply(R pending);

  bool IsFresh() const;
  std::optional<core::failure> Authorize(const api::request& request,
                                         const api::target& target,
                                         std::optional<principal>& caller);
  response RenderFailure(const api::request& request,
                         const core::failure& failure) const;
  void LogRefusal(const api::request& request,
                  const std::optional<principal>& caller,
                  const core::failure& failure);

  interface_dependencies dependencies;
  interface_settings settings;
  authenticator tokens;
  object_handlers objects;
  call_handlers calls;
  watch_handlers watches;
  metrics::counter& refusals;
  std::uint64_t next_id = 1;
  bool draining = false;
};

resource_interface::impl::impl(interface_dependencies provided,
                               interface_settings configured)
    : dependencies(provided),
      settings(std::move(configured)),
      tokens(provided.view, settings),
      objects(provided.control, provided.view),
      calls(provided.calls, provided.view, provided.clock,
            settings.max_call_timeout),
      watches(provided.control, provided.clock, settings.max_watches),
      refusals(provided.metrics.Counter("mangoplank_api_refusals_total",
                                        "Requests refused by authentication")) {
}

bool resource_interface::impl::IsFresh() const {
  return dependencies.view.Revision() > 0 &&
         dependencies.clock.Now() - dependencies.view.ConfirmedAt() <
             settings.max_view_age;
}

response resource_interface::impl::RenderFailure(
    const api::request& request, const core::failure& failure) const {
  const api::problem problem = ProblemOf(failure);
  if (!IsCallPath(request.target)) return Render(problem);
  // A failed query says nothing about the call, and a well-formed request with
  // a key may be a resend of a call that ran.
  const bool can_be_resend =
      !request.Header("idempotency-key").empty() &&
      !std::holds_alternative<core::invalid_request>(failure);
  const bool is_not_run = request.method == "POST" && !can_be_resend;
  return Render(problem, is_not_run ? cell::ending::kNotRun
                                    : cell::ending::kOutcomeUnknown);
}

void resource_interface::impl::LogRefusal(
    const api::request& request, const std::optional<principal>& caller,
    const core::failure& failure) {
  refusals.Add();
  spdlog::warn("refused {} {} from {} as {}: {}", request.method,
               SanitizeForLog(request.target), request.peer,
               caller ? NameOf(*caller) : "unknown", core::Describe(failure));
}

reply resource_interface::impl::HandlePublic(const api::request& request,
                                             const api::route& route) {
  if (std::holds_alternative<health_route>(route))
    return MakeTextResponse("ok\n");
  if (std::holds_alternative<metrics_route>(route)) {
    return MakeTextResponse(dependencies.metrics.Expose());
  }
  if (draining) return RenderFailure(request, core::shutting_down{});
  if (IsFresh()) return MakeTextResponse("ready\n");
  return RenderFailure(
      request,
      core::unavailable{"no recent update from the control processes"});
}

std::optional<core::failure> resource_interface::impl::Authorize(
    const api::request& request, const api::target& target,
    std::optional<principal>& caller) {
  caller = tokens.Authenticate(request.Header("authorization"));
  const core::unavailable cut_off{"cut off from the control processes"};
  // In an outdated view, an unknown token may be a new one.
  if (!caller && !IsFresh()) return cut_off;
  const bool is_read = request.method == "GET";
  const std::optional<core::failure> refusal =
      caller ? CheckAccess(*caller, AccessFor(target.route, is_read))
             : std::optional<core::failure>(core::unauthenticated{});
  if (refusal) {
    LogRefusal(request, caller, *refusal);
    return refusal;
  }
  const bool needs_view =
      !std::holds_alternative<announce_route>(target.route) &&
      !std::holds_alternative<metrics_route>(target.route);
  if (needs_view && !IsFresh()) return cut_off;
  return std::nullopt;
}

core::awaitable<reply> resource_interface::impl::Handle(api::request request) {
  auto target = ParseTarget(request.target);
  const bool is_public =
      target && (std::holds_alternative<health_route>(target->route) ||
                 std::holds_alternative<ready_route>(target->route) ||
                 (std::holds_alternative<metrics_route>(target->route) &&
                  settings.public_metrics));
  if (is_public && request.method == "GET")
    co_return HandlePublic(request, target->route);
  if (target)
    co_return co_await HandleTarget(std::move(request), std::move(*target));
  // Unauthenticated clients must not learn which paths exist.
  if (tokens.Authenticate(request.Header("authorization")))
    co_return RenderFailure(request, target.error());
  const core::failure refusal = core::unauthenticated{};
  LogRefusal(request, std::nullopt, refusal);
  co_return RenderFailure(request, refusal);
}

core::awaitable<reply> resource_interface::impl::HandleTarget(
    api::request request, api::target target) {
  std::optional<principal> caller;
  const auto refusal = Authorize(request, target, caller);
  if (refusal) co_return RenderFailure(request, *refusal);
  const std::string allowed = AllowedMethods(target.route);
  if (!IsAllowed(allowed, request.method))
    co_return MakeMethodNotAllowed(allowed);
  request_context context;
  context.request = std::move(request);
  context.query = std::move(target.query);
  context.caller = std::move(*caller);
  context.deadline = dependencies.clock.Now() + settings.request_timeout;
  context.fallback_request_id =
      fmt::format("{}:{}", settings.process_id, next_id++);
  auto result = co_await Dispatch(context, std::move(target.route));
  if (result) co_return std::move(*result);
  co_return RenderFailure(context.request, result.error());
}

template <class R>
resource_interface::impl::result resource_interface::impl::AwaitReply(
    R pending) {
  auto response = co_await std::move(pending);
  if (!response) co_return response.error();
  co_return reply(std::move(*response));
}

resource_interface::impl::result resource_interface::impl::Dispatch(
    const request_context& context, api::route route) {
  return std::visit(
      overloaded{
          [&](collection_route& c) {
            return HandleCollection(context, std::move(c));
          },
          [&](item_route& i) { return HandleItem(context, std::move(i)); },
          [&](cancel_route& c) {
            return AwaitReply(objects.Cancel(context, std::move(c)));
          },
          [&](explain_route& e) {
            return AwaitReply(objects.Explain(context, std::move(e)));
          },
          [&](drain_route& d) {
            return AwaitReply(objects.Drain(context, std::move(d)));
          },
          [&](announce_route& a) {
            return HandleAnnouncement(context, std::move(a));
          },
          [&](call_route& c) {
            return AwaitReply(calls.Call(context, std::move(c)));
          },
          [&](call_record_route& c) {
            return AwaitReply(calls.Resolve(context, std::move(c)));
          },
          [&](const status_route&) { return HandleStatus(context); },
          [&](const objectives_route&) { return HandleObjectives(context); },
          [&](const auto& public_route) {
            return HandlePublicRoute(context, public_route);
          }},
      route);
}

resource_interface::impl::result resource_interface::impl::HandlePublicRoute(
    const request_context& context, api::route route) {
  co_return HandlePublic(context.request, route);
}

resource_interface::impl::result resource_interface::impl::HandleCollection(
    const request_context& context, collection_route route) {
  if (context.request.method == "POST") {
    co_return co_await AwaitReply(objects.Create(context, std::move(route)));
  }
  const auto watch = ReadFlag(context.query, "watch");
  if (!watch) co_return watch.error();
  watch_filter filter{route.kind, route.department, ""};
  if (*watch) co_return co_await HandleWatch(context, std::move(filter));
  co_return co_await AwaitReply(objects.List(context, std::move(route)));
}

resource_interface::impl::result resource_interface::impl::HandleItem(
    const request_context& context, item_route route) {
  if (context.request.method == "PUT") {
    co_return co_await AwaitReply(objects.Put(context, std::move(route)));
  }
  if (context.request.method == "DELETE") {
    co_return co_await AwaitReply(objects.Delete(context, std::move(route)));
  }
  if (context.request.method == "PATCH") {
    const std::string_view content_type =
        context.request.Header("content-type");
    if (!content_type.starts_with("application/merge-patch+json")) {
      co_return reply(MakeUnsupportedPatchType());
    }
    co_return co_await AwaitReply(objects.Patch(context, std::move(route)));
  }
  const auto watch = ReadFlag(context.query, "watch");
  if (!watch) co_return watch.error();
  watch_filter filter{route.key.kind, route.key.department, route.key.name};
  if (*watch) co_return co_await HandleWatch(context, std::move(filter));
  co_return co_await AwaitReply(objects.Get(context, std::move(route)));
}

resource_interface::impl::result resource_interface::impl::HandleWatch(
    const request_context& context, watch_filter filter) {
  const bool is_cell_level = !IsDepartmental(filter.kind);
  if (is_cell_level && !std::holds_alternative<cell_admin>(context.caller)) {
    const core::failure refusal = core::forbidden{NameOf(context.caller)};
    LogRefusal(context.request, context.caller, refusal);
    co_return refusal;
  }
  watch_limits limits;
  limits.progress_interval = settings.watch_progress_interval;
  limits.feed_timeout = settings.max_view_age;
  limits.is_authorized =
      [this, caller = context.caller,
       header = std::string(context.request.Header("authorization"))] {
        return tokens.Authenticate(header) == caller;
      };
  co_return co_await watches.Watch(context, std::move(filter),
                                   std::move(limits));
}

resource_interface::impl::result resource_interface::impl::HandleAnnouncement(
    const request_context& context, announce_route route) {
  const auto v = ParseJson(context.request.body);
  if (!v) co_return v.error();
  auto announcement = ReadAnnouncement(*v, route.worker);
  if (!announcement) co_return announcement.error();
  const core::time_point deadline =
      dependencies.clock.Now() + settings.announce_timeout;
  const auto answer = co_await dependencies.announcer.Announce(
      std::move(*announcement), deadline);
  if (!answer) co_return answer.error();
  co_return reply(MakeJsonResponse(200, WriteReply(*answer)));
}

resource_interface::impl::result resource_interface::impl::HandleObjectives(
    const request_context& context) {
  if (!dependencies.objectives)
    co_return core::failure(core::not_found{"objectives"});
  api::response response{
      .body = dependencies.objectives(DepartmentOf(context.caller))};
  response.headers["content-type"] = "application/json";
  co_return reply(std::move(response));
}

resource_interface::impl::result resource_interface::impl::HandleStatus(
    const request_context& context) {
  control::request query(control::status_request{});
  const auto status = co_await SendRequest<control::status_answer>(
      dependencies.control, std::move(query), context.deadline);
  if (!status) co_return status.error();
  const core::department_id own = DepartmentOf(context.caller);
  const json::object body =
      own.v.empty() ? WriteStatus(*status) : StatusForDepartment(*status, own);
  co_return reply(MakeJsonResponse(200, body));
}

resource_interface::resource_interface(interface_dependencies dependencies,
                                       interface_settings settings)
    : impl_(std::make_unique<impl>(dependencies, std::move(settings))) {}

resource_interface::~resource_interface() = default;

core::awaitable<reply> resource_interface::Handle(api::request request) {
  co_return co_await impl_->Handle(std::move(request));
}

void resource_interface::BeginDrain() { impl_->draining = true; }

}  // namespace mangoplank::api
