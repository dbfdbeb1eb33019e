#include "api/exchange.h"

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

// @return the version in a strong entity tag, for example "12" with quotes.
std::optional<core::revision> ParseTag(std::string_view text) {
  if (text.size() < 3 || text.front() != '"' || text.back() != '"') {
    return std::nullopt;
  }
  return ParseNumber(text.substr(1, text.size() - 2));
}

// Ids with a colon are the ones that entries make.
bool IsRequestId(std::string_view id) {
  constexpr std::size_t kMostBytes = 128;
  return id.size() <= kMostBytes && std::ranges::all_of(id, [](char c) {
           return c > ' ' && c < 0x7f && c != ':';
         });
}

}  // namespace

core::failure InvalidField(std::string field, std::string reason) {
  core::invalid_request e;
  e.fields.push_back({std::move(field), std::move(reason)});
  return e;
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

core::outcome<change_options> ReadOptions(const exchange& x) {
  change_options o;
  const std::string_view match = x.r.Header("if-match");
  if (match == "*") {
    o.replace_only = true;
  } else if (!match.empty()) {
    o.expected = ParseTag(match);
    if (!o.expected) {
      return InvalidField("If-Match", "must be * or one version in quotes");
    }
  }
  const std::string_view none = x.r.Header("if-none-match");
  if (!none.empty() && none != "*") {
    return InvalidField("If-None-Match", "must be *");
  }
  o.create_only = !none.empty();
  if (o.create_only && !match.empty()) {
    return InvalidField("If-None-Match", "contradicts If-Match");
  }
  const auto dry = ReadFlag(x.query, "dry_run");
  if (!dry) return dry.error();
  o.dry_run = *dry;
  o.id.v = x.r.Header("mangoplank-request-id");
  if (!IsRequestId(o.id.v)) {
    return InvalidField("Mangoplank-Request-Id",
                        "must be at most 128 printable characters without ':'");
  }
  if (o.id.v.empty()) o.id.v = x.fallback_request_id;
  return o;
}

response JsonResponse(unsigned status, const boost::json::value& body) {
  response r;
  r.status = status;
  r.headers["content-type"] = "application/json";
  r.body = boost::json::serialize(body) + "\n";
  return r;
}

core::awaitable<core::outcome<cell::accepted>> Propose(
    control::client& client, const exchange& x, const change_options& options,
    cell::command_body body) {
  control::propose_request proposal;
  proposal.command.request = options.id;
  proposal.command.caller = DepartmentOf(x.who);
  proposal.command.body = std::move(body);
  proposal.dry_run = options.dry_run;
  control::request r(std::move(proposal));
  co_return co_await AskFor<cell::accepted>(client, std::move(r), x.deadline);
}

}  // namespace mangoplank::api
