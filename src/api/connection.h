#ifndef MANGOPLANK_API_CONNECTION_H_
#define MANGOPLANK_API_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "api/growing_body.h"
#include "mangoplank/api/server.h"

namespace mangoplank::api {

/// Limits the time of the operations on a socket during its lifetime. On expiry
/// it shuts the socket down for receiving or for both directions, so that
/// pending and later operations in those directions end.
class time_limit {
 public:
  enum class direction { kReceive, kBoth };
  time_limit(core::clock& clock, boost::asio::ip::tcp::socket& socket,
             core::milliseconds timeout, direction stopped);
  ~time_limit();
  time_limit(const time_limit&) = delete;
  time_limit& operator=(const time_limit&) = delete;

  bool HasExpired() const { return expired_; }

 private:
  core::clock& clock_;
  core::clock::timer_id timer_ = 0;
  bool expired_ = false;
};

/// A client connection; serves its requests one after another.
class connection {
 public:
  using socket = boost::asio::ip::tcp::socket;

  /// State that the connections of a server share.
  struct environment {
    core::clock& clock;
    api::handler& handler;
    process::memory_budget& budget;
    server_limits limits;
    /// Responses by the first digit of the status.
    std::array<metrics::counter*, 6> responses_by_class;
    metrics::histogram& request_seconds;
    /// Whether responses close their connections.
    bool stopping = false;
    /// While stopping: time until which an idle connection waits for a request
    /// that may already be under way.
    core::time_point idle_deadline{};
    /// Connections that discard input before they are closed.
    std::size_t lingering = 0;
  };

  connection(socket client_socket, connection::environment& environment);

  /// Serves requests until the client or a limit ends the connection.
  core::awaitable<void> Run();
  /// Responds that there are too many connections, and closes.
  core::awaitable<void> Reject();

  /// @return the start of the idle time, or no value while a request is served.
  std::optional<core::time_point> IdleSince() const { return idle_since_; }
  /// @return when the request that is being read, or the answer that is being
  /// sent, began; no value if there is neither.
  std::optional<core::time_point> StalledSince() const {
    return stalled_since_;
  }
  /// @return whether the server has chosen to close it. It may still serve a
  /// request that has already arrived.
  bool IsClosing() const { return closing_; }
  /// Ends the wait for the next request. Data already received is still served.
  void CloseIdle();
  /// Shuts the connection down at once.
  void Abort();

 private:
  using parser = boost::beast::http::request_parser<growing_body>;

  core::awaitable<bool> WaitForRequest();
  core::milliseconds IdleTimeout() const;
  /// @return whether the connection stays open.
  core::awaitable<bool> ServeRequest();
  std::size_t NextReadBytes(parser& request_parser) const;
  /// Parses what has been read.
  boost::system::error_code Parse(parser& request_parser);
  /// Reads once, after taking the memory for it from the budget.
  /// @return asio::error::no_memory if it was refused.
  core::awaitable<boost::system::error_code> ReadSome(parser& request_parser);
  enum class part { kHeader, kBody };
  core::awaitable<boost::system::error_code> ReadUntil(parser& request_parser,
                                                       part end);
  /// @return the memory that an unfinished request takes.
  std::uint64_t HeldBytes(parser& request_parser) const;
  /// Lets the kernel hold more of a body that needs several reads.
  void SetReceiveBuffer(int bytes);
  /// @return what the kernel may hold unsent of an answer with such a body.
  int SendBufferFor(std::size_t body_bytes) const;
  void SetSendBuffer(int bytes);
  /// Frees the request and its share of the budget.
  void ReleaseRequest(parser& request_parser);
  void OnEvicted();
  core::awaitable<bool> ReadHeader(parser& request_parser);
  core::awaitable<bool> ReadBody(parser& request_parser);
  core::awaitable<bool> SendContinue();
  core::awaitable<bool> Respond(parser& request_parser);
  core::awaitable<bool> SendReply(const reply& answer, bool keep_alive,
                                  bool head_only, bool is_http_1_0,
                                  core::time_point received);
  core::awaitable<bool> Send(const api::response& response, bool keep_alive,
                             bool head_only);
  core::awaitable<bool> SendStream(const streamed_response& response,
                                   bool head_only);
  core::awaitable<void> SendChunks(body_stream& body);
  core::awaitable<void> RespondToReadError(parser& request_parser,
                                           boost::system::error_code error,
                                           bool timed_out);
  core::awaitable<void> Linger();
  core::awaitable<void> Discard();
  void RecordResponse(unsigned status, core::time_point received);

  socket socket_;
  environment& environment_;
  boost::beast::flat_buffer buffer_;
  process::memory_lease lease_;
  std::size_t header_bytes_ = 0;
  int receive_buffer_bytes_;
  int send_buffer_bytes_;
  bool sending_ = false;
  bool closing_ = false;
  std::string peer_;
  std::optional<core::time_point> idle_since_;
  std::optional<core::time_point> stalled_since_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_CONNECTION_H_
