#ifndef MANGOPLANK_CALLS_HTTP_TRANSPORT_H_
#define MANGOPLANK_CALLS_HTTP_TRANSPORT_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "mangoplank/calls/worker_transport.h"

namespace mangoplank::calls {

struct http_transport_settings {
  /// Maximum number of connections in use to one incarnation of a worker.
  std::size_t max_connections = 64;
  /// Timeout for establishing a connection.
  core::duration connect_timeout = std::chrono::milliseconds(500);
  /// An idle connection is closed after this time.
  core::duration idle_timeout = std::chrono::seconds(30);
};

/// Worker protocol over HTTP/1.1, with a connection pool for each incarnation
/// of a worker. Used from one thread; uses the system's steady clock.
class http_transport : public worker_transport {
 public:
  http_transport(http_transport_settings settings,
                 boost::asio::any_io_executor executor, core::clock& clock,
                 metrics::registry& metrics);
  ~http_transport() override;

  core::awaitable<exchange_result> Exchange(worker_target to,
                                            worker_request request,
                                            core::time_point deadline) override;
  /// Closes the connections that were idle for longer than idle_timeout.
  void CloseIdle();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_HTTP_TRANSPORT_H_
