#include "http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>

#include "mangoplank/settings/settings.h"

namespace stand_in {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {
constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
}  // namespace

std::vector<asio::ip::tcp::endpoint> ParseEndpoints(const std::string& list) {
  std::vector<asio::ip::tcp::endpoint> all;
  std::istringstream in(list);
  for (std::string item; std::getline(in, item, ',');) {
    const auto e = mangoplank::core::Capture(
        [&] { return mangoplank::settings::ParseEndpoint(item); });
    if (!e) throw std::invalid_argument("not ADDRESS:PORT: " + item);
    all.emplace_back(asio::ip::make_address(e->address), e->port);
  }
  return all;
}

asio::awaitable<std::optional<http_response>> http_client::Ask(
    http_request request, std::chrono::nanoseconds timeout) {
  std::unique_ptr<beast::tcp_stream> stream;
  if (!idle_.empty()) {
    stream = std::move(idle_.back());
    idle_.pop_back();
    stream->expires_after(timeout);
  } else {
    const auto executor = co_await asio::this_coro::executor;
    stream = std::make_unique<beast::tcp_stream>(executor);
    stream->expires_after(timeout);
    const auto [refused] = co_await stream->async_connect(server_, kTuple);
    if (refused) co_return std::nullopt;
    stream->socket().set_option(asio::ip::tcp::no_delay(true));
  }
  request.set(http::field::host, server_.address().to_string());
  request.prepare_payload();
  const auto [unsent, out] =
      co_await http::async_write(*stream, request, kTuple);
  if (unsent) co_return std::nullopt;
  beast::flat_buffer buffer;
  http_response answer;
  const auto [broken, in] =
      co_await http::async_read(*stream, buffer, answer, kTuple);
  if (broken) co_return std::nullopt;
  if (answer.keep_alive()) idle_.push_back(std::move(stream));
  co_return std::move(answer);
}

}  // namespace stand_in
