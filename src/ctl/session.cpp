#include "ctl/session.h"

#include <fmt/format.h>

#include <utility>

#include "api/target.h"
#include "ctl/output.h"

namespace mangoplank::ctl {

namespace {

namespace json = boost::json;

/// The client waits a little longer than the deadline of a call.
constexpr core::milliseconds kCallMargin(2'000);

core::milliseconds ClientTimeout(const command& c) {
  const auto* const call = std::get_if<call_verb>(&c.v);
  if (call == nullptr) return c.timeout;
  const core::milliseconds deadline(call->deadline_ms);
  return std::max(c.timeout, deadline + kCallMargin);
}

exit_code CodeOf(unsigned status) {
  switch (status) {
    case 404:
    case 410:
      return exit_code::kNotFound;
    case 409:
    case 412:
      return exit_code::kConflict;
    case 401:
    case 403:
      return exit_code::kNotAllowed;
    case 408:
    case 429:
    case 503:
      return exit_code::kUnavailable;
    case 504:
      return exit_code::kOutcomeUnknown;
    default:
      return exit_code::kRefused;
  }
}

/// Whether a response says that the request may be sent again.
bool IsTransient(unsigned status) {
  return status == 408 || status == 429 || status == 503 || status == 504;
}

}  // namespace

std::string PathOf(cell::object_kind k, const std::string& department,
                   const std::string& name) {
  std::string path = "/v1/";
  if (api::IsDepartmental(k)) {
    path += fmt::format("departments/{}/", api::EscapeSegment(department));
  }
  path += api::CollectionName(k);
  if (!name.empty()) path += "/" + api::EscapeSegment(name);
  return path;
}

session::session(const command& c, session_settings settings,
                 core::clock& clock, std::istream& in, std::ostream& out,
                 std::ostream& err)
    : c_(c),
      settings_(std::move(settings)),
      clock_(clock),
      in_(in),
      out_(out),
      err_(err),
      http_(c.server, c.token, ClientTimeout(c)) {}

core::awaitable<exit_code> session::Run() {
  return std::visit([this](const auto& v) { return Do(v); }, c_.v);
}

void session::Report(const api::response& r) {
  failed_ = CodeOf(r.status);
  const auto body = api::ParseJson(r.body);
  if (!body || !body->is_object()) {
    err_ << fmt::format("error: status {}\n", r.status);
    return;
  }
  err_ << fmt::format("error: {}: {}\n", TextAt(*body, "title"),
                      TextAt(*body, "detail"));
  const json::value* const fields = body->get_object().if_contains("fields");
  if (fields == nullptr || !fields->is_array()) return;
  for (const json::value& f : fields->get_array()) {
    err_ << fmt::format("  {}: {}\n", TextAt(f, "field"), TextAt(f, "reason"));
  }
}

void session::Report(const core::failure& f, bool changes) {
  const auto* const broken = std::get_if<core::connection_failed>(&f);
  const bool sent =
      broken != nullptr && broken->k != core::connection_failed::kind::kRefused;
  failed_ =
      changes && sent ? exit_code::kOutcomeUnknown : exit_code::kUnavailable;
  err_ << "error: " << core::Describe(f) << "\n";
  if (changes && sent) {
    err_ << "whether the change was made is not known\n";
  }
}

void session::PrintValue(const json::value& v) {
  if (c_.output == output_format::kJson) {
    out_ << json::serialize(v) << "\n";
  } else {
    PrintIndented(out_, v);
  }
}

core::awaitable<core::outcome<api::response>> session::SendPatiently(
    api::request r) {
  for (int left = settings_.tries;; --left) {
    auto answer = co_await http_.Send(r);
    const bool again = !answer || IsTransient(answer->status);
    if (!again || left <= 1) co_return answer;
    co_await core::SleepFor(clock_, settings_.pause);
  }
}

core::awaitable<std::optional<json::value>> session::Read(std::string path) {
  api::request r;
  r.method = "GET";
  r.target = std::move(path);
  const auto answer = co_await SendPatiently(std::move(r));
  if (!answer) {
    Report(answer.error(), false);
    co_return std::nullopt;
  }
  if (answer->status != 200) {
    Report(*answer);
    // A read that was not answered leaves nothing in doubt.
    if (answer->status == 504) failed_ = exit_code::kUnavailable;
    co_return std::nullopt;
  }
  const auto v = api::ParseJson(answer->body);
  if (v) co_return *v;
  Report(v.error(), false);
  co_return std::nullopt;
}

core::awaitable<std::optional<json::array>> session::ReadAll(std::string path) {
  json::array all;
  std::string after;
  do {
    const std::string rest =
        after.empty() ? "" : "?continue=" + api::EscapeSegment(after);
    const auto page = co_await Read(path + rest);
    if (!page || !page->is_object()) co_return std::nullopt;
    const json::value* const items = page->get_object().if_contains("items");
    if (items != nullptr && items->is_array()) {
      all.insert(all.end(), items->get_array().begin(),
                 items->get_array().end());
    }
    after = TextAt(*page, "continue");
  } while (after != "-");
  co_return all;
}

core::awaitable<std::optional<api::response>> session::Change(api::request r) {
  r.headers["mangoplank-request-id"] =
      fmt::format("{}-{}", settings_.run_id, next_id_++);
  auto answer = co_await SendPatiently(std::move(r));
  if (!answer) {
    Report(answer.error(), true);
    co_return std::nullopt;
  }
  if (answer->status == 200 || answer->status == 201) {
    co_return std::move(*answer);
  }
  Report(*answer);
  co_return std::nullopt;
}

session::result session::ChangeAndPrint(api::request r, std::string done) {
  const auto answer = co_await Change(std::move(r));
  if (!answer) co_return failed_;
  if (c_.output == output_format::kJson) {
    out_ << answer->body;
  } else {
    out_ << done << "\n";
  }
  co_return exit_code::kOk;
}

session::result session::Do(get_verb v) {
  const std::string path = PathOf(v.of.k, v.of.department, v.of.name);
  std::optional<json::array> objects;
  if (v.of.name.empty()) {
    objects = co_await ReadAll(path);
  } else {
    const auto one = co_await Read(path);
    if (one) objects = json::array{*one};
  }
  if (!objects) co_return failed_;
  if (c_.output == output_format::kJson) {
    out_ << (v.of.name.empty() ? json::serialize(*objects)
                               : json::serialize((*objects)[0]))
         << "\n";
  } else {
    PrintTable(out_, ObjectTable(v.of.k, *objects));
  }
  co_return exit_code::kOk;
}

session::result session::Do(describe_verb v) {
  const std::string path = PathOf(v.of.k, v.of.department, v.of.name);
  auto object = co_await Read(path);
  if (!object) co_return failed_;
  if (api::IsDepartmental(v.of.k) && object->is_object()) {
    const auto why = co_await Read(path + "/explain");
    if (!why) co_return failed_;
    object->get_object()["explain"] = *why;
  }
  PrintValue(*object);
  co_return exit_code::kOk;
}

session::result session::Do(explain_verb v) {
  const auto why =
      co_await Read(PathOf(v.of.k, v.of.department, v.of.name) + "/explain");
  if (!why) co_return failed_;
  const json::value* const lines =
      why->is_object() ? why->get_object().if_contains("lines") : nullptr;
  const bool plain = c_.output == output_format::kTable && lines != nullptr &&
                     lines->is_array();
  if (!plain) {
    PrintValue(*why);
    co_return exit_code::kOk;
  }
  for (const json::value& line : lines->get_array()) {
    out_ << TextAt(line, "") << "\n";
  }
  co_return exit_code::kOk;
}

session::result session::Do(drain_verb v) {
  const std::string word = v.drain ? "drain" : "undrain";
  api::request r;
  r.method = "POST";
  r.target = PathOf(cell::object_kind::kWorker, "", v.worker) + "/" + word;
  co_return co_await ChangeAndPrint(std::move(r),
                                    fmt::format("{}: {}", v.worker, word));
}

session::result session::Do(cancel_verb v) {
  api::request r;
  r.method = "POST";
  r.target = PathOf(v.of.k, v.of.department, v.of.name) + "/cancel";
  co_return co_await ChangeAndPrint(std::move(r), v.of.name + ": cancelled");
}

session::result session::Do(delete_verb v) {
  api::request r;
  r.method = "DELETE";
  r.target = PathOf(v.of.k, v.of.department, v.of.name);
  if (v.expected) r.headers["if-match"] = fmt::format("\"{}\"", *v.expected);
  co_return co_await ChangeAndPrint(std::move(r), v.of.name + ": deleted");
}

session::result session::Do(top_verb) {
  const auto status = co_await Read("/v1/status");
  if (!status || !status->is_object()) co_return failed_;
  if (c_.output == output_format::kJson) {
    PrintValue(*status);
    co_return exit_code::kOk;
  }
  table shares{
      {"DEPARTMENT", "SHARE", "ENTITLED", "AVERAGE", "WAITING", "RUNNING"}};
  if (const auto* const all = status->get_object().if_contains("shares")) {
    for (const json::value& s : all->as_array()) {
      shares.push_back({TextAt(s, "department"), TextAt(s, "share"),
                        TextAt(s, "entitled"), TextAt(s, "average"),
                        TextAt(s, "waiting_tasks"),
                        TextAt(s, "running_tasks")});
    }
  }
  PrintTable(out_, shares);
  table processes{{"PROCESS", "ROLE", "REGION", "IN-FORCE", "HEARD-MS"}};
  if (const auto* const all = status->get_object().if_contains("members")) {
    for (const json::value& m : all->as_array()) {
      const bool leads = TextAt(m, "leads") == "true";
      processes.push_back(
          {TextAt(m, "id"), leads ? "leader" : "follower", "-", "-", "-"});
    }
  }
  if (const auto* const all = status->get_object().if_contains("entries")) {
    for (const json::value& e : all->as_array()) {
      processes.push_back({TextAt(e, "id"), "entry", TextAt(e, "region"),
                           TextAt(e, "in_force"), TextAt(e, "last_heard_ms")});
    }
  }
  if (processes.size() > 1) PrintTable(out_, processes);
  out_ << "revision " << TextAt(*status, "revision") << ", term "
       << TextAt(*status, "term") << "\n";
  co_return exit_code::kOk;
}

}  // namespace mangoplank::ctl
