#ifndef MANGOPLANK_API_REQUEST_CONTEXT_H_
#define MANGOPLANK_API_REQUEST_CONTEXT_H_

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "api/access.h"
#include "api/target.h"
#include "mangoplank/api/http.h"
#include "mangoplank/control/client.h"

/// State and helpers that the handlers of a request share.
namespace mangoplank::api {

/// One authorized request. Lives until its reply is complete.
struct request_context {
  api::request request;
  query_map query;
  principal caller;
  /// Deadline of reads and changes.
  core::time_point deadline;
  /// Request id of a change that was sent without one.
  std::string fallback_request_id;
};

/// Preconditions and options of a change.
struct change_options {
  /// Version from If-Match.
  std::optional<core::revision> expected;
  /// If-None-Match: *
  bool create_only = false;
  /// If-Match: *
  bool replace_only = false;
  bool dry_run = false;
  core::request_id request_id;

  friend bool operator==(const change_options&,
                         const change_options&) = default;
};

/// Reads If-Match, If-None-Match, Mangoplank-Request-Id and `dry_run`.
core::outcome<change_options> ReadChangeOptions(const request_context& context);

/// @return the integer in a query parameter, `fallback` if it is absent, or
/// invalid_request.
core::outcome<std::uint64_t> ReadNumber(const query_map& query,
                                        std::string_view name,
                                        std::uint64_t fallback,
                                        std::uint64_t min, std::uint64_t max);

/// @return the flag in a query parameter, false if it is absent, or
/// invalid_request.
core::outcome<bool> ReadFlag(const query_map& query, std::string_view name);

/// @return an invalid_request that names one field.
core::failure InvalidField(std::string field, std::string reason);

/// @return a response with a JSON body.
response MakeJsonResponse(unsigned status, const boost::json::value& body);

/// Sends a request to the leader and expects an answer of type `Answer`.
template <class Answer>
core::awaitable<core::outcome<Answer>> SendRequest(control::client& client,
                                                   control::request request,
                                                   core::time_point deadline) {
  auto answer = co_await client.Request(std::move(request), deadline);
  if (!answer) co_return answer.error();
  Answer* const expected = std::get_if<Answer>(&*answer);
  if (expected != nullptr) co_return std::move(*expected);
  co_return core::failure(core::connection_failed{
      core::connection_failed::kind::kMalformed, "control"});
}

/// Proposes a command on behalf of the caller.
core::awaitable<core::outcome<cell::accepted>> Propose(
    control::client& client, const request_context& context,
    const change_options& options, cell::command_body body);

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_REQUEST_CONTEXT_H_
