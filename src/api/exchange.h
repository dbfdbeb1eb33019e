#ifndef MANGOPLANK_API_EXCHANGE_H_
#define MANGOPLANK_API_EXCHANGE_H_

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "api/access.h"
#include "api/target.h"
#include "mangoplank/api/http.h"
#include "mangoplank/control/client.h"

/// What the handlers of one request share.
namespace mangoplank::api {

/// One admitted request. Lives until its reply is complete.
struct exchange {
  request r;
  query_map query;
  principal who;
  /// End of the time for reads and changes.
  core::time_point deadline;
  /// Given to a change that came without a request id.
  std::string fallback_request_id;
};

/// How a change is to be made.
struct change_options {
  /// Version from If-Match.
  std::optional<core::revision> expected;
  /// If-None-Match: *
  bool create_only = false;
  /// If-Match: *
  bool replace_only = false;
  bool dry_run = false;
  core::request_id id;

  friend bool operator==(const change_options&,
                         const change_options&) = default;
};

/// Reads If-Match, If-None-Match, Mangoplank-Request-Id and `dry_run`.
core::outcome<change_options> ReadOptions(const exchange& x);

/// @return the whole number in a query parameter, `fallback` if it is absent,
/// or invalid_request.
core::outcome<std::uint64_t> ReadNumber(const query_map& query,
                                        std::string_view name,
                                        std::uint64_t fallback,
                                        std::uint64_t min, std::uint64_t max);

/// @return the flag in a query parameter, false if it is absent, or
/// invalid_request.
core::outcome<bool> ReadFlag(const query_map& query, std::string_view name);

/// @return an invalid_request about one field.
core::failure InvalidField(std::string field, std::string reason);

/// @return a response with a JSON body.
response JsonResponse(unsigned status, const boost::json::value& body);

/// Asks for an answer of type `A`.
template <class A>
core::awaitable<core::outcome<A>> AskFor(control::client& client,
                                         control::request r,
                                         core::time_point deadline) {
  auto answer = co_await client.Request(std::move(r), deadline);
  if (!answer) co_return answer.error();
  A* const a = std::get_if<A>(&*answer);
  if (a != nullptr) co_return std::move(*a);
  co_return core::failure(core::connection_failed{
      core::connection_failed::kind::kMalformed, "control"});
}

/// Proposes a command in the caller's name.
core::awaitable<core::outcome<cell::accepted>> Propose(
    control::client& client, const exchange& x, const change_options& options,
    cell::command_body body);

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_EXCHANGE_H_
