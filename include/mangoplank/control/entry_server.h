#ifndef MANGOPLANK_CONTROL_ENTRY_SERVER_H_
#define MANGOPLANK_CONTROL_ENTRY_SERVER_H_

#include <memory>

#include "mangoplank/control/leader.h"
#include "mangoplank/control/machine.h"
#include "mangoplank/control/messages.h"
#include "mangoplank/distribution/history.h"

namespace mangoplank::control {

/// A connection to an entry.
class entry_connection {
 public:
  virtual ~entry_connection() = default;
  /// Queues a message, bounded in bytes; a slow reader is disconnected.
  virtual void Post(message outgoing) = 0;
  /// @return the next message, or connection_failed once it is closed.
  virtual core::awaitable<core::outcome<message>> Receive() = 0;
  /// Waits until all queued messages are handed to the network.
  virtual core::awaitable<core::outcome<void>> Flush() = 0;
  virtual void Close() = 0;
};

struct entry_server_settings {
  core::cell_id cell;
  /// Interval between progress marks while there are no changes.
  core::milliseconds progress_interval{500};
  /// Limit of requests in progress for one entry.
  std::size_t max_requests = 1024;
  /// After a shutdown, entries reconnect one after another at this interval, so
  /// that they do not all connect at once (draft-ietf-dnssd-push-07, 6.6).
  core::milliseconds reconnect_interval{100};
};

/// Serves entries: requests, announcements, slot reports and feeds.
class entry_server {
 public:
  entry_server(entry_server_settings settings,
               boost::asio::any_io_executor executor, core::clock& clock,
               machine& machine, consensus::node& node, leader& leader,
               const distribution::history& history);
  ~entry_server();

  /// Serves one connection until it closes; each connection has its own task.
  core::awaitable<void> Serve(std::shared_ptr<entry_connection> connection);

  /// Sends each entry a shutdown notice with its reconnect delay.
  void Stop();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_ENTRY_SERVER_H_
