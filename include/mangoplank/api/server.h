#ifndef MANGOPLANK_API_SERVER_H_
#define MANGOPLANK_API_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "mangoplank/api/http.h"
#include "mangoplank/core/failure.h"
#include "mangoplank/metrics/registry.h"

namespace mangoplank::api {

/// Bounds of what one client can hold of the process.
struct server_limits {
  std::size_t connections = 4096;
  std::uint32_t header_bytes = 16 * 1024;
  /// A program of 256 KiB may grow sixfold when it is escaped in JSON.
  std::uint64_t body_bytes = 2 * 1024 * 1024;
  core::milliseconds idle_time{60'000};
  core::milliseconds header_time{5'000};
  core::milliseconds body_time{15'000};
  core::milliseconds write_time{15'000};
  /// How long a closed connection is read on, so that a client that still
  /// sends gets the response rather than a reset.
  core::milliseconds linger_time{1'000};

  friend bool operator==(const server_limits&, const server_limits&) = default;
};

/// HTTP/1.1 server with one coroutine for each connection.
class server {
 public:
  /// The references must outlive the server.
  server(boost::asio::any_io_executor executor, core::clock& clock, handler& h,
         metrics::registry& metrics, server_limits limits);
  /// Connections that still run after Stop end by themselves.
  ~server();

  /// Binds and starts to accept.
  /// @return the bound endpoint (port 0 chooses a free port), or
  /// connection_failed.
  core::outcome<core::endpoint> Listen(const core::endpoint& at);

  /// Accepts no more, finishes the requests in flight and closes. Connections
  /// without a request are closed after `linger`, so that a request on its way
  /// is still answered.
  /// @param deadline after which the remaining connections are cut.
  core::awaitable<void> Stop(core::milliseconds linger,
                             core::time_point deadline);

  std::size_t ConnectionCount() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_SERVER_H_
