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
/// A page of 1000 objects with programs of 256 KiB each.
constexpr std::uint64_t kMostBodyBytes = std::uint64_t{1} << 30;

core::failure Failed(const core::endpoint& server, const error_code& ec) {
  using kind = core::connection_failed::kind;
  kind k = kind::kClosed;
  if (ec == asio::error::connection_refused) k = kind::kRefused;
  if (ec == beast::error::timeout) k = kind::kSilent;
  if (ec == http::error::body_limit) k = kind::kTooLarge;
  return core::connection_failed{
      k, fmt::format("{}:{}", server.address, server.port)};
}

http::request<http::string_body> MessageOf(const api::request& r,
                                           const core::endpoint& server,
                                           const std::string& token) {
  http::request<http::string_body> m;
  m.version(11);
  m.method_string(r.method);
  m.target(r.target);
  m.set(http::field::host, fmt::format("{}:{}", server.address, server.port));
  m.set(http::field::user_agent, "mangoplank-ctl/" MANGOPLANK_VERSION);
  if (!token.empty()) m.set(http::field::authorization, "Bearer " + token);
  for (const auto& [name, value] : r.headers) m.set(name, value);
  m.keep_alive(false);
  m.body() = r.body;
  m.prepare_payload();
  return m;
}

template <class Fields>
api::response HeadOf(unsigned status, const Fields& fields) {
  api::response r;
  r.status = status;
  for (const auto& f : fields) {
    std::string name(f.name_string());
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    r.headers[std::move(name)] = f.value();
  }
  return r;
}

/// Calls `line` for each whole line in `pending` and removes it.
/// @return false once `line` did.
bool TakeLines(std::string& pending,
               const std::function<bool(std::string_view)>& line) {
  std::size_t end = pending.find('\n');
  while (end != std::string::npos) {
    const bool more = line(std::string_view(pending).substr(0, end));
    pending.erase(0, end + 1);
    if (!more) return false;
    end = pending.find('\n');
  }
  return true;
}

/// Connects and sends one request.
core::awaitable<error_code> Start(beast::tcp_stream& stream,
                                  const core::endpoint& server,
                                  const api::request& r,
                                  const std::string& token) {
  error_code ec;
  const auto address = asio::ip::make_address(server.address, ec);
  if (ec) co_return ec;
  const asio::ip::tcp::endpoint to(address, server.port);
  const auto [refused] = co_await stream.async_connect(to, kTuple);
  if (refused) co_return refused;
  const auto message = MessageOf(r, server, token);
  const auto [broken, n] = co_await http::async_write(stream, message, kTuple);
  co_return broken;
}

}  // namespace

core::awaitable<core::outcome<api::response>> http_client::Send(
    api::request r) {
  const auto executor = co_await asio::this_coro::executor;
  beast::tcp_stream stream(executor);
  stream.expires_after(timeout_);
  const error_code started = co_await Start(stream, server_, r, token_);
  if (started) co_return Failed(server_, started);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMostBodyBytes);
  const auto [ec, n] =
      co_await http::async_read(stream, buffer, parser, kTuple);
  if (ec) co_return Failed(server_, ec);
  api::response out = HeadOf(parser.get().result_int(), parser.get());
  out.body = std::move(parser.get().body());
  co_return out;
}

core::awaitable<core::outcome<api::response>> http_client::Stream(
    api::request r, std::function<bool(std::string_view)> line,
    core::milliseconds silence) {
  const auto executor = co_await asio::this_coro::executor;
  beast::tcp_stream stream(executor);
  stream.expires_after(timeout_);
  const error_code started = co_await Start(stream, server_, r, token_);
  if (started) co_return Failed(server_, started);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  const auto [ec, n] =
      co_await http::async_read_header(stream, buffer, parser, kTuple);
  if (ec) co_return Failed(server_, ec);
  api::response out = HeadOf(parser.get().result_int(), parser.get());
  std::string& body = parser.get().body();
  while (!parser.is_done()) {
    stream.expires_after(silence);
    const auto [failed, more] =
        co_await http::async_read_some(stream, buffer, parser, kTuple);
    if (failed) co_return Failed(server_, failed);
    if (out.status == 200 && !TakeLines(body, line)) co_return out;
  }
  out.body = std::move(body);
  co_return out;
}

}  // namespace mangoplank::ctl
