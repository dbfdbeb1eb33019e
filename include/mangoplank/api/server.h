#ifndef MANGOPLANK_API_SERVER_H_
#define MANGOPLANK_API_SERVER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <memory>

#include "mangoplank/api/http.h"
#include "mangoplank/core/failure.h"
#include "mangoplank/metrics/registry.h"
#include "mangoplank/process/memory_budget.h"

namespace mangoplank::api {

/// Limits on the resources that clients can use.
struct server_limits {
  std::size_t max_connections = 4096;
  std::uint32_t max_header_bytes = 16 * 1024;
  /// A program of 256 KiB may grow sixfold when it is escaped in JSON.
  std::uint64_t max_body_bytes = 2 * 1024 * 1024;
  core::milliseconds idle_timeout{60'000};
  core::milliseconds header_timeout{5'000};
  core::milliseconds body_timeout{15'000};
  core::milliseconds write_timeout{15'000};
  /// Once all connections are taken, one may be closed for a new one if its
  /// request, or the sending of its answer, has taken longer than this, however
  /// many bytes were transferred.
  core::milliseconds stall_limit{1'000};
  /// Time for which input is read and discarded before a connection is closed,
  /// so that a client that is still sending gets the response, not a reset.
  core::milliseconds linger_timeout{1'000};
  /// Limits for connections that discard input: bytes for each, and their
  /// number.
  std::uint64_t max_linger_bytes = 1024 * 1024;
  std::size_t max_lingering = 128;
  /// What the kernel may hold unread for a connection, and for one whose large
  /// body is being read.
  int receive_buffer_bytes = 8 * 1024;
  int body_receive_buffer_bytes = 64 * 1024;
  /// What the kernel may hold unsent for a connection, and for one whose large
  /// answer is being sent. It allows itself twice as much.
  int send_buffer_bytes = 8 * 1024;
  int body_send_buffer_bytes = 64 * 1024;

  friend bool operator==(const server_limits&, const server_limits&) = default;
};

/// @return the connections that a server may serve with so many descriptors: it
/// has more open for a moment while it rejects others or closes idle ones.
std::size_t MaxConnectionsWithin(std::size_t descriptors);

/// HTTP/1.1 server with one coroutine for each connection.
class server {
 public:
  /// The references must outlive the server and its connections.
  /// @param budget that the servers of a process share.
  server(boost::asio::any_io_executor executor, core::clock& clock,
         api::handler& handler, metrics::registry& metrics,
         process::memory_budget& budget, server_limits limits);
  /// Aborts the connections that are still open; they end by themselves.
  ~server();

  /// Binds and starts to accept connections.
  /// @return the bound endpoint (port 0 chooses a free port), or
  /// connection_failed.
  core::outcome<core::endpoint> Listen(const core::endpoint& endpoint);

  /// Stops accepting, finishes the requests in flight and closes. Idle
  /// connections are closed after `linger`, so that a request that is already
  /// under way is still answered.
  /// @param deadline after which the remaining connections are aborted.
  core::awaitable<void> Stop(core::milliseconds linger,
                             core::time_point deadline);

  std::size_t ConnectionCount() const;
  /// Connections above a lower limit stay open until they end; the idle ones
  /// among them are closed when others arrive.
  void SetMaxConnections(std::size_t count);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_SERVER_H_
