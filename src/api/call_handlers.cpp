#include "api/call_handlers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "api/json_codec.h"
#include "api/problem.h"

namespace mangoplank::api {

namespace {

using calls::end_reason;

problem ProblemOfReason(end_reason why) {
  switch (why) {
    case end_reason::kNone:
      return {503, "not-run", "The call was not run", ""};
    case end_reason::kUnknownService:
      return {404, "unknown-service", "There is no such service", ""};
    case end_reason::kUnknownOperation:
      return {404, "unknown-operation", "The service has no such operation",
              ""};
    case end_reason::kKeyMissing:
      return {400,
              "key-missing",
              "The operation needs the header Idempotency-Key",
              "",
              {{"Idempotency-Key", "is required"}}};
    case end_reason::kKeyReused:
      return {409,
              "key-reused",
              "The idempotency key was used with another body",
              "",
              {{"Idempotency-Key", "was used with another body"}}};
    case end_reason::kOverloaded:
      return {429, "overloaded", "More calls wait than may", ""};
    case end_reason::kNoWorker:
      return {503, "no-worker", "No worker runs the service", ""};
    case end_reason::kDraining:
      return {503, "draining", "The entry or worker is leaving", ""};
    case end_reason::kCutOff:
      return {503, "cut-off", "The entry is cut off from control", ""};
    case end_reason::kDeadline:
      return {503, "deadline", "The deadline passed", ""};
    case end_reason::kWorkerError:
      return {503, "worker-error", "The worker reported an error", ""};
    case end_reason::kConnection:
      return {503, "connection", "The connection to the worker failed", ""};
  }
  return {503, "not-run", "The call was not run", ""};
}

response RawResponse(unsigned status, cell::ending e, std::string body,
                     std::string_view type) {
  response r;
  r.status = status;
  r.headers["content-type"] = type;
  r.headers[std::string(kOutcomeHeader)] = EndingWord(e);
  r.body = std::move(body);
  return r;
}

response RenderFailed(const calls::call_end& end) {
  if (!end.body.empty()) {
    return RawResponse(422, end.ending, end.body, "application/octet-stream");
  }
  problem p = ProblemOfReason(end.reason);
  p.status = 422;
  return Render(p, end.ending);
}

response RenderNotRun(const calls::call_end& end) {
  problem p = ProblemOfReason(end.reason);
  p.retry_after = end.retry_after;
  const bool retryable = p.status == 503 || p.status == 429;
  if (retryable && !p.retry_after) p.retry_after = core::milliseconds(1000);
  return Render(p, end.ending);
}

std::string HandlePath(const cell::call_key& key) {
  return fmt::format("/v1/departments/{}/services/{}/calls?key={}",
                     key.department.v, key.service,
                     EscapeSegment(key.idempotency_key));
}

response RenderUnknown(const calls::call_end& end) {
  problem p{504, "outcome-unknown", "Whether the call was run is not known",
            "ask again at the path in Location"};
  p.retry_after = end.retry_after.value_or(core::milliseconds(1000));
  response r = Render(p, end.ending);
  if (end.handle) r.headers["location"] = HandlePath(*end.handle);
  return r;
}

bool IsKey(std::string_view key) {
  constexpr std::size_t kMostBytes = 128;
  return key.size() <= kMostBytes &&
         std::ranges::all_of(key, [](char c) { return c > ' ' && c < 0x7f; });
}

core::failure BadKey(std::string field) {
  return InvalidField(std::move(field),
                      "must be at most 128 printable characters");
}

}  // namespace

response RenderEnd(const calls::call_end& end) {
  switch (end.ending) {
    case cell::ending::kDone:
      return RawResponse(200, end.ending, end.body, "application/octet-stream");
    case cell::ending::kFailed:
      return RenderFailed(end);
    case cell::ending::kNotRun:
      return RenderNotRun(end);
    case cell::ending::kOutcomeUnknown:
      break;
  }
  return RenderUnknown(end);
}

core::outcome<core::milliseconds> call_handlers::TimeFor(
    const exchange& x, const call_route& to) const {
  constexpr core::milliseconds kFallback(1000);
  query_map header;
  const std::string_view text = x.r.Header("mangoplank-deadline-ms");
  if (!text.empty()) {
    header["deadline"] = text;
    const auto most = static_cast<std::uint64_t>(max_time_.count());
    const auto n = ReadNumber(header, "deadline", 0, 1, most);
    if (n) return core::milliseconds(*n);
    return InvalidField("Mangoplank-Deadline-Ms",
                        fmt::format("must be from 1 to {}", most));
  }
  const cell::object* const o =
      view_.Find({cell::object_kind::kService, to.department, to.service});
  if (o == nullptr) return kFallback;
  for (const auto& op : std::get<cell::service_spec>(o->spec).operations) {
    if (op.name == to.operation) return op.deadline;
  }
  return kFallback;
}

call_handlers::result call_handlers::Call(const exchange& x, call_route to) {
  const auto time = TimeFor(x, to);
  if (!time) co_return time.error();
  const std::string_view key = x.r.Header("idempotency-key");
  if (!IsKey(key)) co_return BadKey("Idempotency-Key");
  if (x.r.body.size() > cell::kMaxPayloadBytes) {
    problem p{
        413, "body-too-large", "The body is over the limit",
        fmt::format("a call holds at most {} bytes", cell::kMaxPayloadBytes)};
    co_return Render(p, cell::ending::kNotRun);
  }
  calls::call c;
  c.department = std::move(to.department);
  c.service = std::move(to.service);
  c.operation = std::move(to.operation);
  c.idempotency_key = key;
  c.body = x.r.body;
  c.deadline = clock_.Now() + *time;
  const calls::call_end end = co_await runner_.Run(std::move(c));
  co_return RenderEnd(end);
}

call_handlers::result call_handlers::Resolve(const exchange& x,
                                             call_record_route to) {
  const auto it = x.query.find("key");
  if (it == x.query.end() || it->second.empty()) {
    co_return InvalidField("query.key", "is required");
  }
  if (!IsKey(it->second)) co_return BadKey("query.key");
  cell::call_key key{std::move(to.department), std::move(to.service),
                     it->second};
  const auto end = co_await runner_.Resolve(std::move(key), x.deadline);
  if (!end) co_return end.error();
  co_return RenderEnd(*end);
}

}  // namespace mangoplank::api
