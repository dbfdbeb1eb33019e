#include "api/request_context.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace mangoplank::api {

namespace {

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t n = 0;
  const char* const end = text.data() + text.size();
  const auto [at, ec] = std::from_chars(text.data(), end, n);
  if (ec != std::errc() || at != end) return std::nullopt;
  return n;
}

// @return the version in a strong entity tag, for example "12" in quotes.
std::optional<core::revision> ParseEntityTag(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
    return std::nullopt;
  }
  return ParseNumber(text.substr(1, text.size() - 2));
}

// Ids with a colon are reserved for ids that entries assign.
bool IsRequestId(std::string_view id) {
  constexpr std::size_t kMaxBytes = 128;
  return id.size() <= kMaxBytes && std::ranges::all_of(id, [](char c) {
           return c > ' ' && c < 0x7f && c != ':';
         });
}

}  // namespace

core::failure InvalidField(std::string field, std::string reason) {
  core::invalid_request failure;
  failure.fields.push_back({std::move(field), std::move(reason)});
  return failure;
}

core::outcome<std::uint64_t> ReadNumber(const query_map& query,
                                        std::string_view name,
                                        std::uint64_t fallback,
                                        std::uint64_t min, std::uint64_t max) {
  const auto it = query.find(name);
  if (it == query.end()) return fallback;
  const auto n = ParseNumber(it->second);
  if (n && *n >= min && *n <= max) return *n;
  return InvalidField(
      fmt::format("query.{}", name),
      fmt::format("must be a whole number from {} to {}", min, max));
}

core::outcome<bool> ReadFlag(const query_map& query, std::string_view name) {
  const auto it = query.find(name);
  if (it == query.end()) return false;
  if (it->second == "true") return true;
  if (it->second == "false") return false;
  return InvalidField(fmt::format("query.{}", name), "must be true or false");
}

core::outcome<change_options> ReadChangeOptions(
    const request_context& context) {
  change_options options;
  const std::string_view if_match = context.request.Header("if-match");
  if (if_match == "*") {
    options.replace_only = true;
  } else if (!if_match.empty()) {
    options.expected = ParseEntityTag(if_match);
    if (!options.expected) {
      return InvalidField("If-Match", "must be * or one version in quotes");
    }
  }
  const std::string_view if_none_match =
      context.request.Header("if-none-match");
  if (!if_none_match.empty() && if_none_match != "*") {
    return InvalidField("If-None-Match", "must be *");
  }
  options.create_only = !if_none_match.empty();
  if (options.create_only && !if_match.empty()) {
    return InvalidField("If-None-Match", "conflicts with If-Match");
  }
  const auto dry_run = ReadFlag(context.query, "dry_run");
  if (!dry_run) return dry_run.error();
  options.dry_run = *dry_run;
  options.request_id.v = context.request.Header("mangoplank-request-id");
  if (!IsRequestId(options.request_id.v)) {
    return InvalidField("Mangoplank-Request-Id",
                        "must be at most 128 printable characters without ':'");
  }
  if (options.request_id.v.empty())
    options.request_id.v = context.fallback_request_id;
  return options;
}

response MakeJsonResponse(unsigned status, const boost::json::value& body) {
  api::response response;
  response.status = status;
  response.headers["content-type"] = "application/json";
  response.body = boost::json::serialize(body) + "\n";
  return response;
}

core::awaitable<core::outcome<cell::accepted>> Propose(
    control::client& client, const request_context& context,
    const change_options& options, cell::command_body body) {
  control::propose_request proposal;
  proposal.command.request = options.request_id;
  proposal.command.caller = DepartmentOf(context.caller);
  proposal.command.body = std::move(body);
  proposal.dry_run = options.dry_run;
  control::request request(std::move(proposal));
  co_return co_await SendRequest<cell::accepted>(client, std::move(request),
                                                 context.deadline);
}

}  // namespace mangoplank::api
