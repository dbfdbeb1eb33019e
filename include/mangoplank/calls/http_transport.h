#ifndef MANGOPLANK_CALLS_HTTP_TRANSPORT_H_
#define MANGOPLANK_CALLS_HTTP_TRANSPORT_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "mangoplank/calls/worker_transport.h"

namespace mangoplank::calls {

struct http_transport_settings {
  /// Connections to one incarnation of a worker.
  std::size_t max_connections = 64;
  /// Longest wait for a connection to be set up.
  core::duration connect_timeout = std::chrono::milliseconds(500);
  /// An idle connection is closed after this time.
  core::duration idle_timeout = std::chrono::seconds(30);
};

/// Worker protocol over HTTP/1.1, with a connection pool for each incarnation
/// of a worker. Used from one thread; time is the system's steady time.
class http_transport : public worker_transport {
 public:
  http_transport(http_transport_settings settings,
                 boost::asio::any_io_executor executor, core::clock& clock,
                 metrics::registry& metrics);
  ~http_transport() override;

  core::awaitable<exchange_result> Exchange(worker_target to,
                                            worker_request request,
                                            core::time_point deadline) override;
  /// Closes the idle connections of all incarnations that are not used.
  void CloseIdle();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_HTTP_TRANSPORT_H_
