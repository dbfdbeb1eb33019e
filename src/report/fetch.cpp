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

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned kHttpVersion = 11;
/// Twice the size of the recording of an entry with 200 objectives that have
/// calls in every bucket.
constexpr std::uint64_t kMaxBodyBytes = 16 << 20;

using http_request = http::request<http::empty_body>;
using http_response = http::response<http::string_body>;

http_request BuildRequest(const core::endpoint& entry,
                          const std::string& token) {
  http_request request(http::verb::get, kObjectivesPath, kHttpVersion);
  request.set(http::field::host, Format(entry));
  request.set(http::field::user_agent, "mangoplank-report/" MANGOPLANK_VERSION);
  request.set(http::field::accept, "application/json");
  if (!token.empty()) {
    request.set(http::field::authorization, "Bearer " + token);
  }
  request.keep_alive(false);
  return request;
}

core::failure ToFailure(const core::endpoint& entry, error_code ec) {
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
  return core::connection_failed{k, Format(entry)};
}

core::outcome<recording> ParseResponse(const http_response& response) {
  switch (response.result()) {
    case http::status::ok:
      return core::Capture([&] { return FromJson(response.body()); });
    case http::status::unauthorized:
      return core::failure(core::unauthenticated{});
    case http::status::forbidden:
      return core::failure(core::forbidden{"of the token"});
    case http::status::not_found:
      return core::failure(core::not_found{kObjectivesPath});
    default:
      return core::failure(core::unavailable{
          fmt::format("HTTP status {}", response.result_int())});
  }
}

/// Sends the request and reads the response on a connected stream.
core::awaitable<error_code> Exchange(
    beast::tcp_stream& stream, const http_request& request,
    http::response_parser<http::string_body>& parser) {
  const auto [write_error, written] =
      co_await http::async_write(stream, request, kAsTuple);
  if (write_error) co_return write_error;
  beast::flat_buffer buffer;
  const auto [read_error, read] =
      co_await http::async_read(stream, buffer, parser, kAsTuple);
  co_return read_error;
}

}  // namespace

core::awaitable<core::outcome<recording>> FetchRecording(
    core::endpoint entry, std::string token, core::milliseconds timeout) {
  error_code ec;
  const auto address = asio::ip::make_address(entry.address, ec);
  if (ec) co_return ToFailure(entry, ec);
  beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(timeout);
  const asio::ip::tcp::endpoint peer(address, entry.port);
  const auto [connect_error] = co_await stream.async_connect(peer, kAsTuple);
  if (connect_error) co_return ToFailure(entry, connect_error);
  const http_request request = BuildRequest(entry, token);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  ec = co_await Exchange(stream, request, parser);
  if (ec) co_return ToFailure(entry, ec);
  co_return ParseResponse(parser.get());
}

}  // namespace mangoplank::report
