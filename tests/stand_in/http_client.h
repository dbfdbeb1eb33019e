#ifndef MANGOPLANK_TESTS_STAND_IN_HTTP_CLIENT_H_
#define MANGOPLANK_TESTS_STAND_IN_HTTP_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace stand_in {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// @return the endpoints of a list `ADDRESS:PORT,ADDRESS:PORT`.
std::vector<boost::asio::ip::tcp::endpoint> ParseEndpoints(
    const std::string& list);

/// Requests to one server, on kept connections.
class http_client {
 public:
  explicit http_client(boost::asio::ip::tcp::endpoint server)
      : server_(std::move(server)) {}
  /// @return no value if no whole answer came within `timeout`.
  boost::asio::awaitable<std::optional<http_response>> Ask(
      http_request request, std::chrono::nanoseconds timeout);
  const boost::asio::ip::tcp::endpoint& Server() const { return server_; }

 private:
  boost::asio::ip::tcp::endpoint server_;
  std::vector<std::unique_ptr<boost::beast::tcp_stream>> idle_;
};

}  // namespace stand_in

#endif  // MANGOPLANK_TESTS_STAND_IN_HTTP_CLIENT_H_
