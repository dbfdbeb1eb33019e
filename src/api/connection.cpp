#include "api/connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "api/problem.h"
#include "api/target.h"

namespace mangoplank::api {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t kReadBytes = 64 * 1024;
/// Interval at which a stream without data checks for a shutdown.
constexpr core::milliseconds kStreamPollInterval(500);

problem ProblemOf(error_code error, bool timed_out) {
  if (timed_out) {
    return {408, "request-timeout", "The request was not received in time",
            "the client must send the whole request within the time limit"};
  }
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow) {
    return {431, "header-too-large", "The header is over the limit",
            error.message()};
  }
  if (error == http::error::body_limit) {
    return {413, "body-too-large", "The body is over the limit",
            error.message()};
  }
  return {400, "malformed", "The request is not valid HTTP", error.message()};
}

header_map HeadersOf(const http::fields& fields) {
  header_map out;
  for (const auto& f : fields) {
    std::string name(f.name_string());
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    const auto [it, added] = out.emplace(std::move(name), f.value());
    if (!added) it->second += ", " + std::string(f.value());
  }
  return out;
}

template <class Message>
void SetHead(Message& message, const api::response& response, bool keep_alive) {
  message.result(response.status);
  message.set(http::field::server, "mangoplank");
  for (const auto& [name, value] : response.headers) message.set(name, value);
  message.keep_alive(keep_alive);
}

bool ExpectsContinue(const http::fields& fields) {
  return beast::iequals(fields[http::field::expect], "100-continue");
}

}  // namespace

time_limit::time_limit(core::clock& clock, connection::socket& socket,
                       core::milliseconds timeout, direction stopped)
    : clock_(clock) {
  timer_ = clock_.CallAt(clock_.Now() + timeout, [this, &socket, stopped] {
    expired_ = true;
    timer_ = 0;
    error_code ignored;
    socket.shutdown(stopped == direction::kReceive
                        ? connection::socket::shutdown_receive
                        : connection::socket::shutdown_both,
                    ignored);
  });
}

time_limit::~time_limit() {
  if (timer_ != 0) clock_.Cancel(timer_);
}

connection::connection(socket client_socket,
                       connection::environment& environment)
    : socket_(std::move(client_socket)),
      environment_(environment),
      buffer_(environment.limits.max_header_bytes + 2 * kReadBytes) {
  error_code ec;
  const auto remote = socket_.remote_endpoint(ec);
  if (!ec) peer_ = remote.address().to_string();
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
}

void connection::CloseIdle() {
  error_code ignored;
  // Data that already arrived can still be read after this.
  if (idle_since_) socket_.shutdown(socket::shutdown_receive, ignored);
}

void connection::Abort() {
  error_code ignored;
  socket_.shutdown(socket::shutdown_both, ignored);
}

core::awaitable<void> connection::Run() {
  bool open = true;
  while (open) {
    const bool has_request = co_await WaitForRequest();
    // All responses were sent and followed by a wait, so the connection need
    // not linger.
    if (!has_request) co_return;
    open = co_await ServeRequest();
  }
  co_await Linger();
}

core::milliseconds connection::IdleTimeout() const {
  if (!environment_.stopping) return environment_.limits.idle_timeout;
  const auto remaining = std::chrono::ceil<core::milliseconds>(
      environment_.idle_deadline - environment_.clock.Now());
  return std::max(remaining, core::milliseconds(0));
}

core::awaitable<void> connection::Reject() {
  const problem too_many{503,
                         "too-many-connections",
                         "The entry has no free connection",
                         "try again, on another entry if possible",
                         {},
                         core::milliseconds(1000)};
  const response rejection = Render(too_many);
  co_await Send(rejection, false, false);
  co_await Linger();
}

core::awaitable<bool> connection::WaitForRequest() {
  if (buffer_.size() > 0) co_return true;
  const time_limit limit(environment_.clock, socket_, IdleTimeout(),
                         time_limit::direction::kReceive);
  idle_since_ = environment_.clock.Now();
  const auto space = buffer_.prepare(kReadBytes);
  const auto [ec, n] = co_await socket_.async_read_some(space, kTuple);
  idle_since_.reset();
  if (ec) co_return false;
  buffer_.commit(n);
  co_return true;
}

core::awaitable<bool> connection::ServeRequest() {
  parser request_parser;
  request_parser.header_limit(environment_.limits.max_header_bytes);
  request_parser.body_limit(environment_.limits.max_body_bytes);
  const bool has_header = co_await ReadHeader(request_parser);
  if (!has_header) co_return false;
  const bool has_body = co_await ReadBody(request_parser);
  if (!has_body) co_return false;
  co_return co_await Respond(request_parser);
}

core::awaitable<bool> connection::ReadHeader(parser& request_parser) {
  bool timed_out = false;
  error_code ec;
  {
    const time_limit limit(environment_.clock, socket_,
                           environment_.limits.header_timeout,
                           time_limit::direction::kReceive);
    const auto [failed, n] = co_await http::async_read_header(
        socket_, buffer_, request_parser, kTuple);
    ec = failed;
    timed_out = limit.HasExpired();
  }
  if (!ec) {
    // Checked before 100 Continue makes the client send the body.
    const auto length = request_parser.content_length();
    if (!length || *length <= environment_.limits.max_body_bytes)
      co_return true;
    ec = http::error::body_limit;
  }
  co_await RespondToReadError(request_parser, ec, timed_out);
  co_return false;
}

core::awaitable<bool> connection::SendContinue() {
  const time_limit limit(environment_.clock, socket_,
                         environment_.limits.write_timeout,
                         time_limit::direction::kBoth);
  const http::response<http::empty_body> interim(http::status::continue_, 11);
  const auto [ec, n] = co_await http::async_write(socket_, interim, kTuple);
  co_return !ec;
}

core::awaitable<bool> connection::ReadBody(parser& request_parser) {
  if (request_parser.is_done()) co_return true;
  if (ExpectsContinue(request_parser.get()) && buffer_.size() == 0) {
    const bool sent = co_await SendContinue();
    if (!sent) co_return false;
  }
  bool timed_out = false;
  error_code ec;
  {
    const time_limit limit(environment_.clock, socket_,
                           environment_.limits.body_timeout,
                           time_limit::direction::kReceive);
    const auto [failed, n] =
        co_await http::async_read(socket_, buffer_, request_parser, kTuple);
    ec = failed;
    timed_out = limit.HasExpired();
  }
  if (!ec) co_return true;
  co_await RespondToReadError(request_parser, ec, timed_out);
  co_return false;
}

core::awaitable<void> connection::RespondToReadError(
    const parser& request_parser, error_code error, bool timed_out) {
  // The client closed the connection before it sent a request.
  if (error == http::error::end_of_stream && !timed_out) co_return;
  const bool lost =
      error.category() != make_error_code(http::error::body_limit).category();
  if (lost && !timed_out) co_return;
  // Only a new call is known not to run; a query for the outcome of an earlier
  // call may be refused here too.
  const bool is_call = request_parser.get().method() == http::verb::post &&
                       IsCallPath(request_parser.get().target());
  const problem refusal = ProblemOf(error, timed_out);
  const api::response response =
      is_call ? Render(refusal, cell::ending::kNotRun) : Render(refusal);
  RecordResponse(response.status, environment_.clock.Now());
  co_await Send(response, false, false);
}

core::awaitable<bool> connection::Respond(parser& request_parser) {
  const core::time_point received = environment_.clock.Now();
  const bool head_only = request_parser.get().method() == http::verb::head;
  const bool is_http_1_0 = request_parser.get().version() < 11;
  const bool keep_alive = request_parser.keep_alive();
  api::request request;
  request.method = head_only
                       ? std::string("GET")
                       : std::string(request_parser.get().method_string());
  request.target = request_parser.get().target();
  request.headers = HeadersOf(request_parser.get());
  request.body = std::move(request_parser.get().body());
  request.peer = peer_;
  reply answer = co_await environment_.handler.Handle(std::move(request));
  bool open = false;
  if (auto* const complete = std::get_if<response>(&answer)) {
    RecordResponse(complete->status, received);
    open = co_await Send(*complete, keep_alive && !environment_.stopping,
                         head_only);
  } else if (is_http_1_0) {
    const problem unsupported{505, "http-version", "A watch needs HTTP/1.1",
                              ""};
    const response refusal = Render(unsupported);
    open = co_await Send(refusal, false, head_only);
  } else {
    const auto& stream = std::get<streamed_response>(answer);
    RecordResponse(stream.head.status, received);
    open = co_await SendStream(stream, head_only);
  }
  co_return open;
}

core::awaitable<bool> connection::Send(const api::response& response,
                                       bool keep_alive, bool head_only) {
  const time_limit limit(environment_.clock, socket_,
                         environment_.limits.write_timeout,
                         time_limit::direction::kBoth);
  if (head_only) {
    http::response<http::empty_body> message;
    SetHead(message, response, keep_alive);
    message.content_length(response.body.size());
    http::response_serializer<http::empty_body> serializer(message);
    const auto [ec, n] =
        co_await http::async_write_header(socket_, serializer, kTuple);
    co_return !ec && keep_alive;
  }
  http::response<http::span_body<const char>> message;
  SetHead(message, response, keep_alive);
  message.body() =
      beast::span<const char>(response.body.data(), response.body.size());
  message.prepare_payload();
  const auto [ec, n] = co_await http::async_write(socket_, message, kTuple);
  co_return !ec && keep_alive;
}

core::awaitable<bool> connection::SendStream(const streamed_response& response,
                                             bool head_only) {
  http::response<http::empty_body> message;
  SetHead(message, response.head, false);
  message.chunked(true);
  http::response_serializer<http::empty_body> serializer(message);
  {
    const time_limit limit(environment_.clock, socket_,
                           environment_.limits.write_timeout,
                           time_limit::direction::kBoth);
    const auto [ec, n] =
        co_await http::async_write_header(socket_, serializer, kTuple);
    if (ec) co_return false;
  }
  if (!head_only) co_await SendChunks(*response.body);
  co_return false;
}

core::awaitable<void> connection::SendChunks(body_stream& body) {
  while (!environment_.stopping) {
    const auto piece =
        co_await body.Next(environment_.clock.Now() + kStreamPollInterval);
    if (!piece) break;
    if (piece->empty()) continue;
    const time_limit limit(environment_.clock, socket_,
                           environment_.limits.write_timeout,
                           time_limit::direction::kBoth);
    const auto chunk = http::make_chunk(asio::buffer(*piece));
    const auto [ec, n] = co_await asio::async_write(socket_, chunk, kTuple);
    if (ec) co_return;
  }
  const time_limit limit(environment_.clock, socket_,
                         environment_.limits.write_timeout,
                         time_limit::direction::kBoth);
  const auto last = http::make_chunk_last();
  co_await asio::async_write(socket_, last, kTuple);
}

core::awaitable<void> connection::Linger() {
  error_code ec;
  socket_.shutdown(socket::shutdown_send, ec);
  if (ec) co_return;
  const time_limit limit(environment_.clock, socket_,
                         environment_.limits.linger_timeout,
                         time_limit::direction::kBoth);
  std::array<char, 4096> discarded{};
  while (!ec) {
    const auto space = asio::buffer(discarded);
    const auto [failed, n] = co_await socket_.async_read_some(space, kTuple);
    ec = failed;
  }
}

void connection::RecordResponse(unsigned status, core::time_point received) {
  environment_.responses_by_class.at(status / 100)->Add();
  const core::duration elapsed = environment_.clock.Now() - received;
  environment_.request_seconds.Add(
      std::chrono::duration<double>(elapsed).count());
}

}  // namespace mangoplank::api
