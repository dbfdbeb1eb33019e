#ifndef MANGOPLANK_CTL_HTTP_CLIENT_H_
#define MANGOPLANK_CTL_HTTP_CLIENT_H_

#include <functional>
#include <string>
#include <string_view>

#include "mangoplank/api/http.h"
#include "mangoplank/core/failure.h"

namespace mangoplank::ctl {

/// HTTP client with one connection for each request, so that a connection on
/// which packets are silently dropped costs one timeout at most.
class http_client {
 public:
  /// @param token sent with each request; none if empty.
  /// @param timeout for connecting and for each answer.
  http_client(core::endpoint server, std::string token,
              core::milliseconds timeout)
      : server_(std::move(server)),
        token_(std::move(token)),
        timeout_(timeout) {}

  /// @return the response with any status, or connection_failed.
  core::awaitable<core::outcome<api::response>> Send(api::request request);

  /// Sends a request and passes on the lines of the body as they arrive.
  /// @param on_line is called with each line; it returns false to stop reading.
  /// @param idle_timeout longest wait for more bytes.
  /// @return the head, with the body if the status is not 200.
  core::awaitable<core::outcome<api::response>> Stream(
      api::request request, std::function<bool(std::string_view)> on_line,
      core::milliseconds idle_timeout);

 private:
  core::endpoint server_;
  std::string token_;
  core::milliseconds timeout_;
};

}  // namespace mangoplank::ctl

#endif  // MANGOPLANK_CTL_HTTP_CLIENT_H_
