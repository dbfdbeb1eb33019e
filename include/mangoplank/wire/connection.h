#ifndef MANGOPLANK_WIRE_CONNECTION_H_
#define MANGOPLANK_WIRE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "mangoplank/core/clock.h"
#include "mangoplank/core/failure.h"
#include "mangoplank/metrics/registry.h"

/// Framed connections between mangoplank processes.
namespace mangoplank::wire {

struct connection_settings {
  /// Largest payload of a frame, in both directions.
  std::uint64_t max_frame_bytes = 16 * 1024 * 1024;
  /// Bound of the frames queued for writing. A peer that reads so slowly that
  /// the queue exceeds it is disconnected.
  std::uint64_t max_queue_bytes = 32 * 1024 * 1024;
  /// Received frames queued for Receive. Reading pauses above this bound.
  std::uint64_t max_received_bytes = 16 * 1024 * 1024;
  /// A heartbeat is sent after this time without any other frame.
  core::milliseconds heartbeat_interval{500};
  /// The connection is closed if no byte arrives from the peer for this time.
  core::milliseconds receive_timeout{1500};
  /// The connection is closed if a write makes no progress for this time, as
  /// with a peer that sends heartbeats but does not read.
  core::milliseconds write_stall_timeout{5000};
  core::milliseconds connect_timeout{1000};

  friend bool operator==(const connection_settings&,
                         const connection_settings&) = default;
};

/// Process-wide dependencies of a connection. They must outlive it.
struct connection_context {
  boost::asio::any_io_executor executor;
  core::clock& clock;
  metrics::registry& registry;
  connection_settings settings;
};

/// A TCP connection that carries frames: length (4 bytes, little-endian),
/// CRC-32 of the length and the payload (4 bytes), payload. An empty payload is
/// a heartbeat. Must be used from a single thread.
///
/// One task reads and one task writes. Both end when either side or a timeout
/// closes the connection.
class connection {
 public:
  /// Creates the payload of a heartbeat.
  using heartbeat_source = std::function<std::string()>;

  /// Takes ownership of a connected socket and starts the tasks.
  /// @param peer name for log lines and failures.
  /// @param other_region whether the traffic is billed as cross-region.
  connection(const connection_context& context,
             boost::asio::ip::tcp::socket socket, std::string peer,
             bool other_region);
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection();

  /// Sets the name and the region of the peer once they are known.
  void SetPeer(std::string peer, bool other_region);
  /// Sends the payload of `source` as a heartbeat at each interval, even if
  /// other frames were sent, so that other traffic does not delay the payload.
  void SetHeartbeat(heartbeat_source source);

  /// Queues a frame.
  /// @return kTooLarge if the payload exceeds the limit (the connection stays
  /// open), or the close reason if it is closed. A full queue closes it.
  core::outcome<void> Send(std::string payload);
  /// Queues a frame and waits until it is written to the socket.
  core::awaitable<core::outcome<void>> SendAndWait(std::string payload);
  /// Waits until all queued frames are written to the socket.
  core::awaitable<core::outcome<void>> Flush();
  /// @return the next frame, or the close reason once all frames received
  /// before the close have been returned.
  core::awaitable<core::outcome<std::string>> Receive();

  /// Closes immediately. Pending calls fail with kClosed.
  void Close();
  bool IsOpen() const;
  const std::string& Peer() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

/// Opens a connection.
/// @return kRefused if it can't be established within the connect timeout.
core::awaitable<core::outcome<std::shared_ptr<connection>>> Connect(
    const connection_context& context, core::endpoint remote, std::string peer,
    bool other_region);

/// Accepts connections and starts one task for each.
class listener {
 public:
  /// Serves one connection. The connection is closed when the handler returns.
  using connection_handler =
      std::function<core::awaitable<void>(std::shared_ptr<connection>)>;

  /// @param max_connections open at once; others are closed on arrival.
  listener(connection_context context, connection_handler handler,
           std::size_t max_connections);
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  ~listener();

  /// Binds the address and starts accepting.
  /// @return connection_failed with kRefused if the address can't be bound.
  core::outcome<void> Start(const core::endpoint& local);
  /// Connections above a lower limit stay open until they end.
  void SetMaxConnections(std::size_t count);
  /// Stops accepting and closes all open connections.
  void Stop();
  /// @return the bound port; chosen by the system if port 0 was requested.
  std::uint16_t Port() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_WIRE_CONNECTION_H_
