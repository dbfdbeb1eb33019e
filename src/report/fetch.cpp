#include "mangoplank/report/fetch.h"

#include <fmt/format.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "mangoplank/report/burn.h"
#include "mangoplank/report/json.h"

namespace mangoplank::report {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttpVersion = 11;
/// Twice the recording of an entry with 200 objectives that all had calls in
/// each bucket.
constexpr std::uint64_t kMaxBodyBytes = 16 << 20;

using request = http::request<http::empty_body>;
using response = http::response<http::string_body>;

request MakeRequest(const core::endpoint& entry, const std::string& token) {
  request r(http::verb::get, kObjectivesPath, kHttpVersion);
  r.set(http::field::host, Text(entry));
  r.set(http::field::user_agent, "mangoplank-report/" MANGOPLANK_VERSION);
  r.set(http::field::accept, "application/json");
  if (!token.empty()) r.set(http::field::authorization, "Bearer " + token);
  r.keep_alive(false);
  return r;
}

core::failure FailureOf(const core::endpoint& entry, error_code ec) {
  using kind = core::connection_failed::kind;
  if (ec == beast::error::timeout) return core::deadline_exceeded{};
  kind k = kind::kClosed;
  if (ec == asio::error::connection_refused) k = kind::kRefused;
  if (ec == http::error::body_limit) k = kind::kTooLarge;
  const bool is_protocol =
      ec.category() ==
      http::make_error_code(http::error::bad_version).category();
  if (is_protocol && k == kind::kClosed && ec != http::error::end_of_stream &&
      ec != http::error::partial_message) {
    k = kind::kMalformed;
  }
  return core::connection_failed{k, Text(entry)};
}

core::outcome<recording> Read(const response& r) {
  switch (r.result()) {
    case http::status::ok:
      return core::Capture([&] { return FromJson(r.body()); });
    case http::status::unauthorized:
      return core::failure(core::unauthenticated{});
    case http::status::forbidden:
      return core::failure(core::forbidden{"of the token"});
    case http::status::not_found:
      return core::failure(core::not_found{kObjectivesPath});
    default:
      return core::failure(
          core::unavailable{fmt::format("HTTP status {}", r.result_int())});
  }
}

/// Sends the request and reads the answer on a connected stream.
core::awaitable<error_code> Exchange(
    beast::tcp_stream& stream, const request& r,
    http::response_parser<http::string_body>& parser) {
  const auto [unsent, written] = co_await http::async_write(stream, r, kTuple);
  if (unsent) co_return unsent;
  beast::flat_buffer buffer;
  const auto [unread, read] =
      co_await http::async_read(stream, buffer, parser, kTuple);
  co_return unread;
}

}  // namespace

core::awaitable<core::outcome<recording>> Fetch(core::endpoint entry,
                                                std::string token,
                                                core::milliseconds timeout) {
  error_code ec;
  const auto address = asio::ip::make_address(entry.address, ec);
  if (ec) co_return FailureOf(entry, ec);
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  const asio::ip::tcp::endpoint peer(address, entry.port);
  const auto [refused] = co_await stream.async_connect(peer, kTuple);
  if (refused) co_return FailureOf(entry, refused);
  const request r = MakeRequest(entry, token);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  ec = co_await Exchange(stream, r, parser);
  if (ec) co_return FailureOf(entry, ec);
  co_return Read(parser.get());
}

}  // namespace mangoplank::report
