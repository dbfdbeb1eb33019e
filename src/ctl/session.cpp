#include "ctl/session.h"

#include <fmt/format.h>

#include <utility>

#include "api/target.h"
#include "ctl/output.h"

namespace mangoplank::ctl {

namespace {

namespace json = boost::json;

/// Time for the response to a call to arrive after the call's deadline.
constexpr core::milliseconds kCallResponseMargin(2'000);

core::milliseconds ClientTimeoutOf(const command& command) {
  const auto* const call = std::get_if<call_verb>(&command.verb);
  if (call == nullptr) return command.timeout;
  const core::milliseconds deadline(call->deadline_ms);
  return std::max(command.timeout, deadline + kCallResponseMargin);
}

exit_code ExitCodeOf(unsigned status) {
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

/// @return whether a request with this response may be retried.
bool IsTransient(unsigned status) {
  return status == 408 || status == 429 || status == 503 || status == 504;
}

}  // namespace

std::string PathOf(cell::object_kind kind, const std::string& department,
                   const std::string& name) {
  std::string path = "/v1/";
  if (api::IsDepartmental(kind)) {
    path += fmt::format("departments/{}/", api::EscapeSegment(department));
  }
  path += api::CollectionName(kind);
  if (!name.empty()) path += "/" + api::EscapeSegment(name);
  return path;
}

session::session(const command& command, session_settings settings,
                 core::clock& clock, std::istream& in, std::ostream& out,
                 std::ostream& err)
    : command_(command),
      settings_(std::move(settings)),
      clock_(clock),
      in_(in),
      out_(out),
      err_(err),
      http_(command.server, command.token, ClientTimeoutOf(command)) {}

core::awaitable<exit_code> session::Run() {
  return std::visit([this](const auto& verb) { return Execute(verb); },
                    command_.verb);
}

void session::ReportFailure(const api::response& response) {
  failure_code_ = ExitCodeOf(response.status);
  const auto body = api::ParseJson(response.body);
  if (!body || !body->is_object()) {
    err_ << fmt::format("error: status {}\n", response.status);
    return;
  }
  err_ << fmt::format("error: {}: {}\n", TextAt(*body, "title"),
                      TextAt(*body, "detail"));
  const json::value* const fields = body->get_object().if_contains("fields");
  if (fields == nullptr || !fields->is_array()) return;
  for (const json::value& error : fields->get_array()) {
    err_ << fmt::format("  {}: {}\n", TextAt(error, "field"),
                        TextAt(error, "reason"));
  }
}

void session::ReportFailure(const core::failure& failure, bool is_change) {
  const auto* const disconnect = std::get_if<core::connection_failed>(&failure);
  const bool may_be_sent =
      disconnect != nullptr &&
      disconnect->k != core::connection_failed::kind::kRefused;
  failure_code_ = is_change && may_be_sent ? exit_code::kOutcomeUnknown
                                           : exit_code::kUnavailable;
  err_ << "error: " << core::Describe(failure) << "\n";
  if (is_change && may_be_sent) {
    err_ << "it is unknown whether the change was made\n";
  }
}

void session::ReportMalformedAnswer() {
  failure_code_ = exit_code::kUnavailable;
  err_ << "error: the answer is not of the resource interface\n";
}

void session::PrintValue(const json::value& value) {
  if (command_.output == output_format::kJson) {
    out_ << json::serialize(value) << "\n";
  } else {
    PrintIndented(out_, value);
  }
}

core::awaitable<core::outcome<api::response>> session::SendWithRetries(
    api::request request) {
  for (int attempts_left = settings_.max_attempts;; --attempts_left) {
    auto answer = co_await http_.Send(request);
    const bool retry = !answer || IsTransient(answer->status);
    if (!retry || attempts_left <= 1) co_return answer;
    co_await core::SleepFor(clock_, settings_.retry_delay);
  }
}

core::awaitable<std::optional<json::value>> session::Read(std::string path) {
  api::request request;
  request.method = "GET";
  request.target = std::move(path);
  const auto answer = co_await SendWithRetries(std::move(request));
  if (!answer) {
    ReportFailure(answer.error(), false);
    co_return std::nullopt;
  }
  if (answer->status != 200) {
    ReportFailure(*answer);
    // A read changes nothing, so 504 leaves no outcome unknown.
    if (answer->status == 504) failure_code_ = exit_code::kUnavailable;
    co_return std::nullopt;
  }
  const auto value = api::ParseJson(answer->body);
  if (value) co_return *value;
  ReportFailure(value.error(), false);
  co_return std::nullopt;
}

core::awaitable<std::optional<json::array>> session::ReadAll(std::string path) {
  json::array all;
  std::string after;
  do {
    const std::string query =
        after.empty() ? "" : "?continue=" + api::EscapeSegment(after);
    const auto page = co_await Read(path + query);
    if (!page) co_return std::nullopt;
    if (!page->is_object()) {
      ReportMalformedAnswer();
      co_return std::nullopt;
    }
    const json::value* const items = page->get_object().if_contains("items");
    if (items != nullptr && items->is_array()) {
      all.insert(all.end(), items->get_array().begin(),
                 items->get_array().end());
    }
    after = TextAt(*page, "continue");
  } while (after != "-");
  co_return all;
}

core::awaitable<std::optional<api::response>> session::SendChange(
    api::request request) {
  request.headers["mangoplank-request-id"] =
      fmt::format("{}-{}", settings_.run_id, next_id_++);
  auto answer = co_await SendWithRetries(std::move(request));
  if (!answer) {
    ReportFailure(answer.error(), true);
    co_return std::nullopt;
  }
  if (answer->status == 200 || answer->status == 201) {
    co_return std::move(*answer);
  }
  ReportFailure(*answer);
  co_return std::nullopt;
}

session::result session::SendChangeAndPrint(api::request request,
                                            std::string message) {
  const auto answer = co_await SendChange(std::move(request));
  if (!answer) co_return failure_code_;
  if (command_.output == output_format::kJson) {
    out_ << answer->body;
  } else {
    out_ << message << "\n";
  }
  co_return exit_code::kOk;
}

session::result session::Execute(get_verb verb) {
  const std::string path =
      PathOf(verb.target.kind, verb.target.department, verb.target.name);
  std::optional<json::array> objects;
  if (verb.target.name.empty()) {
    objects = co_await ReadAll(path);
  } else {
    const auto object = co_await Read(path);
    if (object) objects = json::array{*object};
  }
  if (!objects) co_return failure_code_;
  if (command_.output == output_format::kJson) {
    out_ << (verb.target.name.empty() ? json::serialize(*objects)
                                      : json::serialize((*objects)[0]))
         << "\n";
  } else {
    PrintTable(out_, MakeObjectTable(verb.target.kind, *objects));
  }
  co_return exit_code::kOk;
}

session::result session::Execute(describe_verb verb) {
  const std::string path =
      PathOf(verb.target.kind, verb.target.department, verb.target.name);
  auto object = co_await Read(path);
  if (!object) co_return failure_code_;
  if (api::IsDepartmental(verb.target.kind) && object->is_object()) {
    const auto explanation = co_await Read(path + "/explain");
    if (!explanation) co_return failure_code_;
    object->get_object()["explain"] = *explanation;
  }
  PrintValue(*object);
  co_return exit_code::kOk;
}

session::result session::Execute(explain_verb verb) {
  const auto explanation = co_await Read(
      PathOf(verb.target.kind, verb.target.department, verb.target.name) +
      "/explain");
  if (!explanation) co_return failure_code_;
  const json::value* const lines =
      explanation->is_object() ? explanation->get_object().if_contains("lines")
                               : nullptr;
  const bool print_lines = command_.output == output_format::kTable &&
                           lines != nullptr && lines->is_array();
  if (!print_lines) {
    PrintValue(*explanation);
    co_return exit_code::kOk;
  }
  for (const json::value& line : lines->get_array()) {
    out_ << TextAt(line, "") << "\n";
  }
  co_return exit_code::kOk;
}

session::result session::Execute(drain_verb verb) {
  const std::string action = verb.drain ? "drain" : "undrain";
  api::request request;
  request.method = "POST";
  request.target =
      PathOf(cell::object_kind::kWorker, "", verb.worker) + "/" + action;
  co_return co_await SendChangeAndPrint(
      std::move(request), fmt::format("{}: {}", verb.worker, action));
}

session::result session::Execute(cancel_verb verb) {
  api::request request;
  request.method = "POST";
  request.target =
      PathOf(verb.target.kind, verb.target.department, verb.target.name) +
      "/cancel";
  co_return co_await SendChangeAndPrint(std::move(request),
                                        verb.target.name + ": cancelled");
}

session::result session::Execute(delete_verb verb) {
  api::request request;
  request.method = "DELETE";
  request.target =
      PathOf(verb.target.kind, verb.target.department, verb.target.name);
  if (verb.expected_version)
    request.headers["if-match"] = fmt::format("\"{}\"", *verb.expected_version);
  co_return co_await SendChangeAndPrint(std::move(request),
                                        verb.target.name + ": deleted");
}

session::result session::Execute(top_verb) {
  const auto status = co_await Read("/v1/status");
  if (!status) co_return failure_code_;
  if (!status->is_object()) {
    ReportMalformedAnswer();
    co_return failure_code_;
  }
  if (command_.output == output_format::kJson) {
    PrintValue(*status);
    co_return exit_code::kOk;
  }
  table shares{
      {"DEPARTMENT", "SHARE", "ENTITLED", "AVERAGE", "WAITING", "RUNNING"}};
  if (const auto* const all = status->get_object().if_contains("shares")) {
    for (const json::value& share : all->as_array()) {
      shares.push_back({TextAt(share, "department"), TextAt(share, "share"),
                        TextAt(share, "entitled"), TextAt(share, "average"),
                        TextAt(share, "waiting_tasks"),
                        TextAt(share, "running_tasks")});
    }
  }
  PrintTable(out_, shares);
  table processes{{"PROCESS", "ROLE", "REGION", "IN-FORCE", "HEARD-MS"}};
  if (const auto* const all = status->get_object().if_contains("members")) {
    for (const json::value& member : all->as_array()) {
      const bool is_leader = TextAt(member, "leads") == "true";
      processes.push_back({TextAt(member, "id"),
                           is_leader ? "leader" : "follower", "-", "-", "-"});
    }
  }
  if (const auto* const all = status->get_object().if_contains("entries")) {
    for (const json::value& entry : all->as_array()) {
      processes.push_back({TextAt(entry, "id"), "entry",
                           TextAt(entry, "region"), TextAt(entry, "in_force"),
                           TextAt(entry, "last_heard_ms")});
    }
  }
  if (processes.size() > 1) PrintTable(out_, processes);
  out_ << "revision " << TextAt(*status, "revision") << ", term "
       << TextAt(*status, "term") << "\n";
  co_return exit_code::kOk;
}

}  // namespace mangoplank::ctl
