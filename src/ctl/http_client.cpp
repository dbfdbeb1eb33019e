#include "ctl/http_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <utility>

namespace mangoplank::ctl {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Limit of a response; a page has up to 1000 objects with programs of 256 KiB.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{1} << 30;

core::failure FailureOf(const core::endpoint& server, const error_code& ec) {
  using kind = core::connection_failed::kind;
  kind reason = kind::kClosed;
  if (ec == asio::error::connection_refused) reason = kind::kRefused;
  if (ec == beast::error::timeout) reason = kind::kSilent;
  if (ec == http::error::body_limit) reason = kind::kTooLarge;
  return core::connection_failed{
      reason, fmt::format("{}:{}", server.address, server.port)};
}

http::request<http::string_body> MessageOf(const api::request& request,
                                           const core::endpoint& server,
                                           const std::string& token) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host,
              fmt::format("{}:{}", server.address, server.port));
  message.set(http::field::user_agent, "mangoplank-ctl/" MANGOPLANK_VERSION);
  if (!token.empty()) {
    message.set(http::field::authorization, "Bearer " + token);
  }
  for (const auto& [name, value] : request.headers) message.set(name, value);
  message.keep_alive(false);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

template <class Fields>
api::response HeadOf(unsigned status, const Fields& fields) {
  api::response head;
  head.status = status;
  for (const auto& field : fields) {
    std::string name(field.name_string());
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    head.headers[std::move(name)] = field.value();
  }
  return head;
}

/// Calls `on_line` for each complete line in `pending` and removes the line.
/// @return false if `on_line` returned false.
bool ConsumeLines(std::string& pending,
                  const std::function<bool(std::string_view)>& on_line) {
  std::size_t end = pending.find('\n');
  while (end != std::string::npos) {
    const bool more = on_line(std::string_view(pending).substr(0, end));
    pending.erase(0, end + 1);
    if (!more) return false;
    end = pending.find('\n');
  }
  return true;
}

/// Connects and sends one request.
core::awaitable<error_code> SendRequest(beast::tcp_stream& stream,
                                        const core::endpoint& server,
                                        const api::request& request,
                                        const std::string& token) {
  error_code ec;
  const auto address = asio::ip::make_address(server.address, ec);
  if (ec) co_return ec;
  const asio::ip::tcp::endpoint endpoint(address, server.port);
  const auto [connect_error] = co_await stream.async_connect(endpoint, kTuple);
  if (connect_error) co_return connect_error;
  const auto message = MessageOf(request, server, token);
  const auto [write_error, n] =
      co_await http::async_write(stream, message, kTuple);
  co_return write_error;
}

}  // namespace

core::awaitable<core::outcome<api::response>> http_client::Send(
    api::request request) {
  const auto executor = co_await asio::this_coro::executor;
  beast::tcp_stream stream(executor);
  stream.expires_after(timeout_);
  const error_code send_error =
      co_await SendRequest(stream, server_, request, token_);
  if (send_error) co_return FailureOf(server_, send_error);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  const auto [ec, n] =
      co_await http::async_read(stream, buffer, parser, kTuple);
  if (ec) co_return FailureOf(server_, ec);
  api::response response = HeadOf(parser.get().result_int(), parser.get());
  response.body = std::move(parser.get().body());
  co_return response;
}

core::awaitable<core::outcome<api::response>> http_client::Stream(
    api::request request, std::function<bool(std::string_view)> on_line,
    core::milliseconds idle_timeout) {
  const auto executor = co_await asio::this_coro::executor;
  beast::tcp_stream stream(executor);
  stream.expires_after(timeout_);
  const error_code send_error =
      co_await SendRequest(stream, server_, request, token_);
  if (send_error) co_return FailureOf(server_, send_error);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  const auto [ec, n] =
      co_await http::async_read_header(stream, buffer, parser, kTuple);
  if (ec) co_return FailureOf(server_, ec);
  api::response response = HeadOf(parser.get().result_int(), parser.get());
  std::string& body = parser.get().body();
  while (!parser.is_done()) {
    stream.expires_after(idle_timeout);
    const auto [read_error, bytes] =
        co_await http::async_read_some(stream, buffer, parser, kTuple);
    if (read_error) co_return FailureOf(server_, read_error);
    if (response.status == 200 && !ConsumeLines(body, on_line))
      co_return response;
  }
  response.body = std::move(body);
  co_return response;
}

}  // namespace mangoplank::ctl
