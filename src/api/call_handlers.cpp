#include "api/call_handlers.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "api/json_codec.h"
#include "api/problem.h"

namespace mangoplank::api {

namespace {

using calls::end_reason;

problem ProblemOfReason(end_reason reason) {
  switch (reason) {
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
      return {429, "overloaded", "Too many calls are waiting", ""};
    case end_reason::kNoWorker:
      return {503, "no-worker", "No worker runs the service", ""};
    case end_reason::kDraining:
      return {503, "draining", "The entry or worker is draining", ""};
    case end_reason::kCutOff:
      return {503, "cut-off", "The entry is cut off from the control processes",
              ""};
    case end_reason::kDeadline:
      return {503, "deadline", "The deadline passed", ""};
    case end_reason::kWorkerError:
      return {503, "worker-error", "The worker reported an error", ""};
    case end_reason::kConnection:
      return {503, "connection", "The connection to the worker failed", ""};
  }
  return {503, "not-run", "The call was not run", ""};
}

response MakeRawResponse(unsigned status, cell::ending ending, std::string body,
                         std::string_view content_type) {
  api::response response;
  response.status = status;
  response.headers["content-type"] = content_type;
  response.headers[std::string(kOutcomeHeader)] = EndingName(ending);
  response.body = std::move(body);
  return response;
}

response RenderFailed(const calls::call_end& end) {
  if (!end.body.empty()) {
    return MakeRawResponse(422, end.ending, end.body,
                           "application/octet-stream");
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

std::string MakeOutcomePath(const cell::call_key& key) {
  return fmt::format("/v1/departments/{}/services/{}/calls?key={}",
                     key.department.v, key.service,
                     EscapeSegment(key.idempotency_key));
}

response RenderUnknown(const calls::call_end& end) {
  problem p{504, "outcome-unknown", "Whether the call was run is not known",
            "query the outcome at the path in Location"};
  p.retry_after = end.retry_after.value_or(core::milliseconds(1000));
  response r = Render(p, end.ending);
  if (end.handle) r.headers["location"] = MakeOutcomePath(*end.handle);
  return r;
}

bool IsKey(std::string_view key) {
  constexpr std::size_t kMaxBytes = 128;
  return key.size() <= kMaxBytes &&
         std::ranges::all_of(key, [](char c) { return c > ' ' && c < 0x7f; });
}

core::failure InvalidKey(std::string field) {
  return InvalidField(std::move(field),
                      "must be at most 128 printable characters");
}

}  // namespace

response RenderCallEnd(const calls::call_end& end) {
  switch (end.ending) {
    case cell::ending::kDone:
      return MakeRawResponse(200, end.ending, end.body,
                             "application/octet-stream");
    case cell::ending::kFailed:
      return RenderFailed(end);
    case cell::ending::kNotRun:
      return RenderNotRun(end);
    case cell::ending::kOutcomeUnknown:
      break;
  }
  return RenderUnknown(end);
}

core::outcome<core::milliseconds> call_handlers::TimeoutFor(
    const request_context& context, const call_route& route) const {
  constexpr core::milliseconds kDefaultTimeout(1000);
  query_map header;
  const std::string_view text =
      context.request.Header("mangoplank-deadline-ms");
  if (!text.empty()) {
    header["deadline"] = text;
    const auto max = static_cast<std::uint64_t>(max_timeout_.count());
    const auto n = ReadNumber(header, "deadline", 0, 1, max);
    if (n) return core::milliseconds(*n);
    return InvalidField("Mangoplank-Deadline-Ms",
                        fmt::format("must be from 1 to {}", max));
  }
  const cell::object* const service = view_.Find(
      {cell::object_kind::kService, route.department, route.service});
  if (service == nullptr) return kDefaultTimeout;
  for (const auto& op :
       std::get<cell::service_spec>(service->spec).operations) {
    if (op.name == route.operation) return op.deadline;
  }
  return kDefaultTimeout;
}

call_handlers::result call_handlers::Call(const request_context& context,
                                          call_route route) {
  const auto timeout = TimeoutFor(context, route);
  if (!timeout) co_return timeout.error();
  const std::string_view key = context.request.Header("idempotency-key");
  if (!IsKey(key)) co_return InvalidKey("Idempotency-Key");
  if (context.request.body.size() > cell::kMaxPayloadBytes) {
    problem p{
        413, "body-too-large", "The body is over the limit",
        fmt::format("a call holds at most {} bytes", cell::kMaxPayloadBytes)};
    co_return Render(p, cell::ending::kNotRun);
  }
  calls::call call;
  call.department = std::move(route.department);
  call.service = std::move(route.service);
  call.operation = std::move(route.operation);
  call.idempotency_key = key;
  call.body = context.request.body;
  call.deadline = clock_.Now() + *timeout;
  const calls::call_end end = co_await runner_.Run(std::move(call));
  co_return RenderCallEnd(end);
}

call_handlers::result call_handlers::Resolve(const request_context& context,
                                             call_record_route route) {
  const auto it = context.query.find("key");
  if (it == context.query.end() || it->second.empty()) {
    co_return InvalidField("query.key", "is required");
  }
  if (!IsKey(it->second)) co_return InvalidKey("query.key");
  cell::call_key key{std::move(route.department), std::move(route.service),
                     it->second};
  const auto end = co_await runner_.Resolve(std::move(key), context.deadline);
  if (!end) co_return end.error();
  co_return RenderCallEnd(*end);
}

}  // namespace mangoplank::api
