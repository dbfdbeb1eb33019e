#ifndef MANGOPLANK_WIRE_CONNECTION_H_
#define MANGOPLANK_WIRE_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "mangoplank/core/clock.h"
#include "mangoplank/core/failure.h"
#include "mangoplank/metrics/registry.h"

/// Framed connections between our own processes.
namespace mangoplank::wire {

struct connection_settings {
  /// Largest payload of a frame, in both directions.
  std::uint64_t max_frame_bytes = 16 * 1024 * 1024;
  /// Frames that wait to be written. Beyond it the peer is too slow and the
  /// connection is closed.
  std::uint64_t max_queue_bytes = 32 * 1024 * 1024;
  /// Received frames that wait for Receive. Beyond it nothing more is read.
  std::uint64_t max_received_bytes = 16 * 1024 * 1024;
  /// A heartbeat is sent after this time without another frame.
  core::milliseconds heartbeat_interval{500};
  /// The connection is closed after this time without a byte from the peer.
  core::milliseconds silence_limit{1500};
  /// The connection is closed after this time without progress of a write: the
  /// peer sends heartbeats, but does not read.
  core::milliseconds write_stall_limit{5000};
  core::milliseconds connect_timeout{1000};

  friend bool operator==(const connection_settings&,
                         const connection_settings&) = default;
};

/// What a connection needs of its process. All outlive the connection.
struct connection_context {
  boost::asio::any_io_executor executor;
  core::clock& clock;
  metrics::registry& registry;
  connection_settings settings;
};

/// A TCP connection that carries frames: length (4 bytes, little-endian),
/// CRC-32 of the length and the payload (4 bytes), payload. An empty payload is
/// a heartbeat. Used from one thread.
///
/// One task reads and one writes. They end when the connection is closed, by
/// either side or by a deadline.
class connection {
 public:
  /// Makes the payload of a heartbeat.
  using heartbeat_source = std::function<std::string()>;

  /// Takes over a connected socket and starts its tasks.
  /// @param peer name for log lines and failures.
  /// @param other_region whether the bytes are billed as cross-region ones.
  connection(const connection_context& context,
             boost::asio::ip::tcp::socket socket, std::string peer,
             bool other_region);
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection();

  /// Names the peer once it is known who it is.
  void SetPeer(std::string peer, bool other_region);
  /// Sends the payload of `source` as a heartbeat at each interval, also
  /// between other frames, so that the peer learns of it in time.
  void SetHeartbeat(heartbeat_source source);

  /// Queues a frame.
  /// @return kTooLarge if it is over the limit, which leaves the connection
  /// open; the reason of the close if it is closed. A full queue closes it.
  core::outcome<void> Send(std::string payload);
  /// Queues a frame and waits until it is handed to the network.
  core::awaitable<core::outcome<void>> SendAndWait(std::string payload);
  /// Waits until all queued frames are handed to the network.
  core::awaitable<core::outcome<void>> Flush();
  /// @return the next frame, or the reason of the close once all frames that
  /// came before it were taken.
  core::awaitable<core::outcome<std::string>> Receive();

  /// Closes at once. Pending calls end with kClosed.
  void Close();
  bool IsOpen() const;
  const std::string& Peer() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

/// Opens a connection.
/// @return kRefused if it can't be opened within the connect timeout.
core::awaitable<core::outcome<std::shared_ptr<connection>>> Connect(
    const connection_context& context, core::endpoint to, std::string peer,
    bool other_region);

/// Accepts connections and starts one task for each.
class listener {
 public:
  /// Serves one connection until it returns.
  using server =
      std::function<core::awaitable<void>(std::shared_ptr<connection>)>;

  /// @param max_connections served at once; others are closed on arrival.
  listener(connection_context context, server serve,
           std::size_t max_connections);
  listener(const listener&) = delete;
  listener& operator=(const listener&) = delete;
  ~listener();

  /// Binds and starts to accept.
  /// @return connection_failed with kRefused if the address can't be bound.
  core::outcome<void> Start(const core::endpoint& at);
  /// Stops accepting and closes all connections that are served.
  void Stop();
  /// @return the bound port, which the system chose if 0 was asked for.
  std::uint16_t Port() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_WIRE_CONNECTION_H_
