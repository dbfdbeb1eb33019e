#include "mangoplank/api/resource_interface.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "api/access.h"
#include "api/call_handlers.h"
#include "api/exchange.h"
#include "api/json_codec.h"
#include "api/object_handlers.h"
#include "api/problem.h"
#include "api/watch.h"

namespace mangoplank::api {

namespace {

namespace json = boost::json;
using core::overloaded;

response TextResponse(std::string body) {
  response r;
  r.headers["content-type"] = "text/plain; version=0.0.4; charset=utf-8";
  r.body = std::move(body);
  return r;
}

response MethodNotAllowed(std::string allowed) {
  response r = Render(problem{405, "method-not-allowed",
                              "The resource does not know this method", ""});
  r.headers["allow"] = std::move(allowed);
  return r;
}

response WrongPatchType() {
  response r =
      Render(problem{415, "unsupported-media-type",
                     "A patch must be application/merge-patch+json", ""});
  r.headers["accept-patch"] = "application/merge-patch+json";
  return r;
}

/// Methods that a route knows, for the header Allow.
std::string AllowedMethods(const route& r) {
  return std::visit(
      overloaded{
          [](const collection_route&) { return "GET, HEAD, POST"; },
          [](const item_route&) { return "GET, HEAD, PUT, PATCH, DELETE"; },
          [](const cancel_route&) { return "POST"; },
          [](const drain_route&) { return "POST"; },
          [](const announce_route&) { return "POST"; },
          [](const call_route&) { return "POST"; },
          [](const auto&) { return "GET, HEAD"; }},
      r);
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

access_need NeedOfObject(const cell::object_key& key, bool reads) {
  using level = access_need::level;
  if (IsDepartmental(key.kind)) {
    return {reads ? level::kRead : level::kOperate, key.department};
  }
  const bool department = key.kind == cell::object_kind::kDepartment;
  return {department && reads ? level::kRead : level::kAdminister,
          department ? core::department_id{key.name} : core::department_id{}};
}

access_need NeedOf(const route& r, bool reads) {
  using level = access_need::level;
  return std::visit(
      overloaded{
          [&](const collection_route& c) {
            return NeedOfObject({c.k, c.department, ""}, reads);
          },
          [&](const item_route& i) { return NeedOfObject(i.key, reads); },
          [](const cancel_route& c) { return NeedOfObject(c.key, false); },
          [](const explain_route& e) { return NeedOfObject(e.key, true); },
          [](const drain_route& d) { return NeedOfObject(d.key, false); },
          [](const announce_route&) {
            return access_need{level::kAnnounce, {}};
          },
          [](const call_route& c) {
            return access_need{level::kOperate, c.department};
          },
          [](const call_record_route& c) {
            return access_need{level::kOperate, c.department};
          },
          [](const status_route&) {
            return access_need{level::kRead, {}};
          },
          [](const objectives_route&) {
            return access_need{level::kRead, {}};
          },
          [](const auto&) {
            return access_need{level::kAdminister, {}};
          }},
      r);
}

/// @return the path without the query and without control characters.
std::string ForLog(std::string_view target) {
  constexpr std::size_t kMostBytes = 200;
  std::string out(target.substr(0, std::min(target.find('?'), kMostBytes)));
  std::ranges::replace_if(
      out, [](char c) { return c <= ' ' || c >= 0x7f; }, '?');
  return out;
}

/// A department sees its own share, and how far the entries are, unnamed.
json::object StatusForMember(const control::status_answer& s,
                             const core::department_id& own) {
  control::status_answer visible;
  visible.revision = s.revision;
  visible.term = s.term;
  for (const auto& share : s.shares) {
    if (share.department == own) visible.shares.push_back(share);
  }
  json::object o = WriteStatus(visible);
  o.erase("members");
  o.erase("entries");
  core::revision slowest = s.revision;
  for (const auto& e : s.entries) slowest = std::min(slowest, e.in_force);
  o["in_force_everywhere"] = slowest;
  return o;
}

}  // namespace

struct resource_interface::impl {
  using result = core::awaitable<core::outcome<reply>>;

  impl(interface_parts p, interface_settings s);

  core::awaitable<reply> Handle(request r);
  core::awaitable<reply> Admit(request r, target t);
  reply Open(const request& r, const route& to);
  result Dispatch(const exchange& x, route to);
  result Collection(const exchange& x, collection_route to);
  result Item(const exchange& x, item_route to);
  result Announce(const exchange& x, announce_route to);
  result Status(const exchange& x);
  result Objectives(const exchange& x);
  result Text(const exchange& x, route to);
  result Watch(const exchange& x, watch_filter filter);
  template <class R>
  result Wrap(R pending);

  bool IsFresh() const;
  std::optional<core::failure> Refusal(const request& r, const target& t,
                                       std::optional<principal>& who);
  response Failed(const request& r, const core::failure& f) const;
  void LogRefusal(const request& r, const std::optional<principal>& who,
                  const core::failure& f);

  interface_parts parts;
  interface_settings settings;
  authority tokens;
  object_handlers objects;
  call_handlers calls;
  watch_handlers watches;
  metrics::counter& refusals;
  std::uint64_t next_id = 1;
  bool draining = false;
};

resource_interface::impl::impl(interface_parts p, interface_settings s)
    : parts(p),
      settings(std::move(s)),
      tokens(p.view, settings),
      objects(p.control, p.view),
      calls(p.calls, p.view, p.clock, settings.max_call_time),
      watches(p.control, p.clock, settings.max_watches),
      refusals(p.metrics.Counter("mangoplank_api_refusals_total",
                                 "Requests refused by authentication")) {}

bool resource_interface::impl::IsFresh() const {
  return parts.view.Revision() > 0 &&
         parts.clock.Now() - parts.view.ConfirmedAt() < settings.freshness;
}

response resource_interface::impl::Failed(const request& r,
                                          const core::failure& f) const {
  const problem p = ProblemOf(f);
  if (!IsCallPath(r.target)) return Render(p);
  // A question that could not be answered says nothing of the call, and a
  // well-formed request with a key may be a resend of one that ran.
  const bool can_be_resend = !r.Header("idempotency-key").empty() &&
                             !std::holds_alternative<core::invalid_request>(f);
  const bool is_not_run = r.method == "POST" && !can_be_resend;
  return Render(
      p, is_not_run ? cell::ending::kNotRun : cell::ending::kOutcomeUnknown);
}

void resource_interface::impl::LogRefusal(const request& r,
                                          const std::optional<principal>& who,
                                          const core::failure& f) {
  refusals.Add();
  spdlog::warn("refused {} {} from {} as {}: {}", r.method, ForLog(r.target),
               r.peer, who ? NameOf(*who) : "unknown", core::Describe(f));
}

reply resource_interface::impl::Open(const request& r, const route& to) {
  if (std::holds_alternative<health_route>(to)) return TextResponse("ok\n");
  if (std::holds_alternative<metrics_route>(to)) {
    return TextResponse(parts.metrics.Expose());
  }
  if (draining) return Failed(r, core::shutting_down{});
  if (IsFresh()) return TextResponse("ready\n");
  return Failed(r, core::unavailable{"no recent word from control"});
}

std::optional<core::failure> resource_interface::impl::Refusal(
    const request& r, const target& t, std::optional<principal>& who) {
  who = tokens.Find(r.Header("authorization"));
  const core::unavailable cut_off{"cut off from the control processes"};
  // Without a recent view an unknown token may be a new one.
  if (!who && !IsFresh()) return cut_off;
  const bool reads = r.method == "GET";
  const std::optional<core::failure> refusal =
      who ? RefusalOf(*who, NeedOf(t.r, reads))
          : std::optional<core::failure>(core::unauthenticated{});
  if (refusal) {
    LogRefusal(r, who, *refusal);
    return refusal;
  }
  const bool needs_view = !std::holds_alternative<announce_route>(t.r) &&
                          !std::holds_alternative<metrics_route>(t.r);
  if (needs_view && !IsFresh()) return cut_off;
  return std::nullopt;
}

core::awaitable<reply> resource_interface::impl::Handle(request r) {
  auto t = ParseTarget(r.target);
  const bool open =
      t &&
      (std::holds_alternative<health_route>(t->r) ||
       std::holds_alternative<ready_route>(t->r) ||
       (std::holds_alternative<metrics_route>(t->r) && settings.open_metrics));
  if (open && r.method == "GET") co_return Open(r, t->r);
  if (t) co_return co_await Admit(std::move(r), std::move(*t));
  // Who is not known does not learn which paths exist.
  if (tokens.Find(r.Header("authorization"))) co_return Failed(r, t.error());
  const core::failure refusal = core::unauthenticated{};
  LogRefusal(r, std::nullopt, refusal);
  co_return Failed(r, refusal);
}

core::awaitable<reply> resource_interface::impl::Admit(request r, target t) {
  std::optional<principal> who;
  const auto refusal = Refusal(r, t, who);
  if (refusal) co_return Failed(r, *refusal);
  const std::string allowed = AllowedMethods(t.r);
  if (!IsAllowed(allowed, r.method)) co_return MethodNotAllowed(allowed);
  exchange x;
  x.r = std::move(r);
  x.query = std::move(t.query);
  x.who = std::move(*who);
  x.deadline = parts.clock.Now() + settings.request_time;
  x.fallback_request_id = fmt::format("{}:{}", settings.process_id, next_id++);
  auto done = co_await Dispatch(x, std::move(t.r));
  if (done) co_return std::move(*done);
  co_return Failed(x.r, done.error());
}

template <class R>
resource_interface::impl::result resource_interface::impl::Wrap(R pending) {
  auto done = co_await std::move(pending);
  if (!done) co_return done.error();
  co_return reply(std::move(*done));
}

resource_interface::impl::result resource_interface::impl::Dispatch(
    const exchange& x, route to) {
  return std::visit(
      overloaded{
          [&](collection_route& c) { return Collection(x, std::move(c)); },
          [&](item_route& i) { return Item(x, std::move(i)); },
          [&](cancel_route& c) {
            return Wrap(objects.Cancel(x, std::move(c)));
          },
          [&](explain_route& e) {
            return Wrap(objects.Explain(x, std::move(e)));
          },
          [&](drain_route& d) { return Wrap(objects.Drain(x, std::move(d))); },
          [&](announce_route& a) { return Announce(x, std::move(a)); },
          [&](call_route& c) { return Wrap(calls.Call(x, std::move(c))); },
          [&](call_record_route& c) {
            return Wrap(calls.Resolve(x, std::move(c)));
          },
          [&](const status_route&) { return Status(x); },
          [&](const objectives_route&) { return Objectives(x); },
          [&](const auto& open) { return Text(x, open); }},
      to);
}

resource_interface::impl::result resource_interface::impl::Text(
    const exchange& x, route to) {
  co_return Open(x.r, to);
}

resource_interface::impl::result resource_interface::impl::Collection(
    const exchange& x, collection_route to) {
  if (x.r.method == "POST") {
    co_return co_await Wrap(objects.Create(x, std::move(to)));
  }
  const auto watch = ReadFlag(x.query, "watch");
  if (!watch) co_return watch.error();
  watch_filter filter{to.k, to.department, ""};
  if (*watch) co_return co_await Watch(x, std::move(filter));
  co_return co_await Wrap(objects.List(x, std::move(to)));
}

resource_interface::impl::result resource_interface::impl::Item(
    const exchange& x, item_route to) {
  if (x.r.method == "PUT") {
    co_return co_await Wrap(objects.Put(x, std::move(to)));
  }
  if (x.r.method == "DELETE") {
    co_return co_await Wrap(objects.Delete(x, std::move(to)));
  }
  if (x.r.method == "PATCH") {
    const std::string_view type = x.r.Header("content-type");
    if (!type.starts_with("application/merge-patch+json")) {
      co_return reply(WrongPatchType());
    }
    co_return co_await Wrap(objects.Patch(x, std::move(to)));
  }
  const auto watch = ReadFlag(x.query, "watch");
  if (!watch) co_return watch.error();
  watch_filter filter{to.key.kind, to.key.department, to.key.name};
  if (*watch) co_return co_await Watch(x, std::move(filter));
  co_return co_await Wrap(objects.Get(x, std::move(to)));
}

resource_interface::impl::result resource_interface::impl::Watch(
    const exchange& x, watch_filter filter) {
  const bool cell_level = !IsDepartmental(filter.k);
  if (cell_level && !std::holds_alternative<cell_admin>(x.who)) {
    const core::failure refusal = core::forbidden{NameOf(x.who)};
    LogRefusal(x.r, x.who, refusal);
    co_return refusal;
  }
  watch_limits limits;
  limits.progress = settings.watch_progress;
  limits.silence = settings.freshness;
  limits.allowed = [this, who = x.who,
                    header = std::string(x.r.Header("authorization"))] {
    return tokens.Find(header) == who;
  };
  co_return co_await watches.Watch(x, std::move(filter), std::move(limits));
}

resource_interface::impl::result resource_interface::impl::Announce(
    const exchange& x, announce_route to) {
  const auto v = ParseJson(x.r.body);
  if (!v) co_return v.error();
  auto a = ReadAnnouncement(*v, to.worker);
  if (!a) co_return a.error();
  const core::time_point deadline = parts.clock.Now() + settings.announce_time;
  const auto answer =
      co_await parts.announcer.Announce(std::move(*a), deadline);
  if (!answer) co_return answer.error();
  co_return reply(JsonResponse(200, WriteReply(*answer)));
}

resource_interface::impl::result resource_interface::impl::Objectives(
    const exchange& x) {
  if (!parts.objectives) co_return core::failure(core::not_found{"objectives"});
  response r{.body = parts.objectives(DepartmentOf(x.who))};
  r.headers["content-type"] = "application/json";
  co_return reply(std::move(r));
}

resource_interface::impl::result resource_interface::impl::Status(
    const exchange& x) {
  control::request ask(control::status_request{});
  const auto s = co_await AskFor<control::status_answer>(
      parts.control, std::move(ask), x.deadline);
  if (!s) co_return s.error();
  const core::department_id own = DepartmentOf(x.who);
  const json::object body =
      own.v.empty() ? WriteStatus(*s) : StatusForMember(*s, own);
  co_return reply(JsonResponse(200, body));
}

resource_interface::resource_interface(interface_parts parts,
                                       interface_settings settings)
    : impl_(std::make_unique<impl>(parts, std::move(settings))) {}

resource_interface::~resource_interface() = default;

core::awaitable<reply> resource_interface::Handle(request r) {
  co_return co_await impl_->Handle(std::move(r));
}

void resource_interface::BeginDrain() { impl_->draining = true; }

}  // namespace mangoplank::api
