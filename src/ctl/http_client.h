#ifndef MANGOPLANK_CTL_HTTP_CLIENT_H_
#define MANGOPLANK_CTL_HTTP_CLIENT_H_

#include <functional>
#include <string>
#include <string_view>

#include "mangoplank/api/http.h"
#include "mangoplank/core/failure.h"

namespace mangoplank::ctl {

/// HTTP client with one connection for each request, so that a connection that
/// silently stopped carrying data costs one timeout at most.
class http_client {
 public:
  /// @param token sent with each request; none if empty.
  /// @param timeout for connecting and for each answer.
  http_client(core::endpoint server, std::string token,
              core::milliseconds timeout)
      : server_(std::move(server)),
        token_(std::move(token)),
        timeout_(timeout) {}

  /// @return the response whatever its status, or connection_failed.
  core::awaitable<core::outcome<api::response>> Send(api::request r);

  /// Reads a body as it comes.
  /// @param line is called with each line; false ends the read.
  /// @param silence longest wait for more bytes.
  /// @return the head, with the body if the status is not 200.
  core::awaitable<core::outcome<api::response>> Stream(
      api::request r, std::function<bool(std::string_view)> line,
      core::milliseconds silence);

 private:
  core::endpoint server_;
  std::string token_;
  core::milliseconds timeout_;
};

}  // namespace mangoplank::ctl

#endif  // MANGOPLANK_CTL_HTTP_CLIENT_H_
