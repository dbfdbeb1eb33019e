#ifndef MANGOPLANK_API_CONNECTION_H_
#define MANGOPLANK_API_CONNECTION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "mangoplank/api/server.h"

namespace mangoplank::api {

/// Limits the time of the operations on a socket while it exists. When the
/// time is over it shuts the socket down in one direction, so that pending and
/// later operations of that direction end.
class time_limit {
 public:
  enum class side { kReceive, kBoth };
  time_limit(core::clock& clock, boost::asio::ip::tcp::socket& socket,
             core::milliseconds d, side s);
  ~time_limit();
  time_limit(const time_limit&) = delete;
  time_limit& operator=(const time_limit&) = delete;

  bool Passed() const { return passed_; }

 private:
  core::clock& clock_;
  core::clock::timer_id timer_ = 0;
  bool passed_ = false;
};

/// One client's connection; serves its requests one after the other.
class connection {
 public:
  using socket = boost::asio::ip::tcp::socket;

  /// What the connections of a server share.
  struct environment {
    core::clock& clock;
    handler& h;
    const server_limits limits;
    /// Responses by hundreds of the status.
    std::array<metrics::counter*, 6> responses;
    metrics::histogram& duration;
    /// Responses close their connections.
    bool stopping = false;
    /// While stopping: until then a connection waits for a request that may be
    /// on its way.
    core::time_point idle_end{};
  };

  connection(socket s, environment& e);

  /// Serves until the client or a limit ends the connection.
  core::awaitable<void> Run();
  /// Answers that there are too many connections, and closes.
  core::awaitable<void> RunRefused();

  /// @return since when no request has come, or no value while one is served.
  std::optional<core::time_point> IdleSince() const { return idle_since_; }
  /// Ends the wait for a next request. What already arrived is still served.
  void CloseIdle();
  /// Cuts the connection.
  void Abort();

 private:
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  core::awaitable<bool> WaitForRequest();
  core::milliseconds IdleTime() const;
  /// @return whether the connection stays open.
  core::awaitable<bool> ServeOne();
  core::awaitable<bool> ReadHeader(parser& p);
  core::awaitable<bool> ReadBody(parser& p);
  core::awaitable<bool> Continue();
  core::awaitable<bool> Respond(parser& p);
  core::awaitable<bool> Send(const response& r, bool keep, bool head);
  core::awaitable<bool> SendStream(const streamed_response& s, bool head);
  core::awaitable<void> SendChunks(body_stream& body);
  core::awaitable<void> Refuse(const parser& p, boost::system::error_code ec,
                               bool timed_out);
  core::awaitable<void> Linger();
  void Count(unsigned status, core::time_point since);

  socket socket_;
  environment& e_;
  boost::beast::flat_buffer buffer_;
  std::string peer_;
  std::optional<core::time_point> idle_since_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_CONNECTION_H_
