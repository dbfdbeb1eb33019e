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
/// Read buffer of a connection at rest; most requests fit.
constexpr std::size_t kReadBytes = 4 * 1024;
/// Read buffer for a body that has outgrown the first one.
constexpr std::size_t kBodyReadBytes = 16 * 1024;
/// Copies of a body on its way: as received, its values, the encoded message
/// and the queue of the connection to the leader.
constexpr std::uint64_t kBodyCopies = 4;
/// The header as received and its fields as the handler gets them.
constexpr std::uint64_t kHeaderCopies = 2;
/// Taken before a request is handled, so that an ordinary answer always has
/// its memory.
constexpr std::uint64_t kAnswerBytes = 4 * 1024;
constexpr core::milliseconds kRetryAfter(1'000);
/// Interval at which a stream without data checks for a shutdown.
constexpr core::milliseconds kStreamPollInterval(500);

problem ProblemOf(error_code error, bool timed_out) {
  if (timed_out) {
    return {408, "request-timeout", "The request was not received in time",
            "the client must send the whole request within the time limit"};
  }
  if (error == asio::error::no_memory) {
    return {503,
            "no-memory",
            "The entry has no memory left for the request",
            "try again, on another entry if possible",
            {},
            kRetryAfter};
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
      buffer_(environment.limits.max_header_bytes + kBodyReadBytes),
      lease_(environment.budget, [this] { OnEvicted(); }),
      receive_buffer_bytes_(environment.limits.receive_buffer_bytes),
      send_buffer_bytes_(environment.limits.send_buffer_bytes) {
  error_code ec;
  const auto remote = socket_.remote_endpoint(ec);
  if (!ec) peer_ = remote.address().to_string();
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
}

void connection::CloseIdle() {
  if (!idle_since_) return;
  closing_ = true;
  error_code ignored;
  // Data that already arrived can still be read after this.
  socket_.shutdown(socket::shutdown_receive, ignored);
}

void connection::Abort() {
  closing_ = true;
  // The server doesn't choose it again while its task ends.
  stalled_since_.reset();
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
                         kRetryAfter};
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
  header_bytes_ = 0;
  stalled_since_ = environment_.clock.Now();
  const bool has_header = co_await ReadHeader(request_parser);
  if (!has_header) co_return false;
  const bool has_body = co_await ReadBody(request_parser);
  if (!has_body) co_return false;
  stalled_since_.reset();
  const bool open = co_await Respond(request_parser);
  stalled_since_.reset();
  ReleaseRequest(request_parser);
  co_return open;
}

void connection::OnEvicted() {
  error_code ignored;
  if (sending_) {
    socket_.shutdown(socket::shutdown_both, ignored);
  } else {
    socket_.cancel(ignored);
  }
}

void connection::SetReceiveBuffer(int bytes) {
  if (receive_buffer_bytes_ == bytes) return;
  error_code ignored;
  socket_.set_option(socket::receive_buffer_size(bytes), ignored);
  receive_buffer_bytes_ = bytes;
}

void connection::SetSendBuffer(int bytes) {
  if (send_buffer_bytes_ == bytes) return;
  error_code ignored;
  socket_.set_option(socket::send_buffer_size(bytes), ignored);
  send_buffer_bytes_ = bytes;
}

void connection::ReleaseRequest(parser& request_parser) {
  request_parser.get().body() = std::string();
  if (buffer_.capacity() > kReadBytes) buffer_.shrink_to_fit();
  SetReceiveBuffer(environment_.limits.receive_buffer_bytes);
  SetSendBuffer(environment_.limits.send_buffer_bytes);
  lease_.Release();
  sending_ = false;
}

std::uint64_t connection::HeldBytes(parser& request_parser) const {
  const std::string& body = request_parser.get().body();
  const std::size_t buffered = buffer_.capacity();
  // A string that grows has up to twice its size.
  return header_bytes_ + std::min(body.capacity(), 2 * body.size()) +
         (buffered - std::min(buffered, kReadBytes)) +
         static_cast<std::uint64_t>(receive_buffer_bytes_ -
                                    environment_.limits.receive_buffer_bytes);
}

error_code connection::Parse(parser& request_parser) {
  error_code ec;
  if (buffer_.size() == 0) return ec;
  const bool is_header = !request_parser.is_header_done();
  const std::size_t parsed = request_parser.put(buffer_.data(), ec);
  buffer_.consume(parsed);
  if (is_header) header_bytes_ += parsed;
  if (ec == http::error::need_more) ec = {};
  return ec;
}

std::size_t connection::NextReadBytes(parser& request_parser) const {
  const std::size_t free = buffer_.capacity() - buffer_.size();
  const std::size_t least = free > 0 ? free : kReadBytes;
  // What is left of a body with an announced length; the rest of a chunked one
  // is taken to be as long as what came before.
  const std::uint64_t expected =
      request_parser.content_length_remaining().value_or(
          request_parser.get().body().size());
  const std::size_t wanted =
      request_parser.is_header_done()
          ? std::clamp<std::uint64_t>(expected, least,
                                      std::max(least, kBodyReadBytes))
          : least;
  return std::min(wanted, buffer_.max_size() - buffer_.size());
}

core::awaitable<error_code> connection::ReadSome(parser& request_parser) {
  const std::size_t free = buffer_.capacity() - buffer_.size();
  const bool is_large = request_parser.get().body().size() >= kBodyReadBytes;
  const std::size_t size = NextReadBytes(request_parser);
  if (size == 0) co_return http::error::buffer_overflow;
  const int unread = is_large ? environment_.limits.body_receive_buffer_bytes
                              : environment_.limits.receive_buffer_bytes;
  // The buffer doubles when it grows, and so does the body.
  const std::uint64_t more =
      (size > free ? 2 * buffer_.size() + size : 0) + 2 * size +
      static_cast<std::uint64_t>(std::max(0, unread - receive_buffer_bytes_));
  const bool granted = co_await lease_.Resize(HeldBytes(request_parser) + more);
  if (!granted) co_return asio::error::no_memory;
  SetReceiveBuffer(unread);
  const auto space = buffer_.prepare(size);
  auto [ec, n] = co_await socket_.async_read_some(space, kTuple);
  buffer_.commit(n);
  if (lease_.IsEvicted()) co_return asio::error::no_memory;
  if (ec == asio::error::eof) {
    ec = http::error::end_of_stream;
    if (request_parser.got_some()) request_parser.put_eof(ec);
  }
  co_return ec;
}

core::awaitable<error_code> connection::ReadUntil(parser& request_parser,
                                                  part end) {
  while (true) {
    error_code ec = Parse(request_parser);
    const bool is_read = end == part::kHeader ? request_parser.is_header_done()
                                              : request_parser.is_done();
    if (!ec && is_read) co_return ec;
    if (!ec) ec = co_await ReadSome(request_parser);
    if (ec) co_return ec;
  }
}

core::awaitable<bool> connection::ReadHeader(parser& request_parser) {
  bool timed_out = false;
  error_code ec;
  {
    const time_limit limit(environment_.clock, socket_,
                           environment_.limits.header_timeout,
                           time_limit::direction::kReceive);
    ec = co_await ReadUntil(request_parser, part::kHeader);
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
    if (!sent) {
      ReleaseRequest(request_parser);
      co_return false;
    }
  }
  bool timed_out = false;
  error_code ec;
  request_parser.eager(true);
  {
    const time_limit limit(environment_.clock, socket_,
                           environment_.limits.body_timeout,
                           time_limit::direction::kReceive);
    ec = co_await ReadUntil(request_parser, part::kBody);
    timed_out = limit.HasExpired();
  }
  if (!ec) co_return true;
  co_await RespondToReadError(request_parser, ec, timed_out);
  co_return false;
}

core::awaitable<void> connection::RespondToReadError(parser& request_parser,
                                                     error_code error,
                                                     bool timed_out) {
  buffer_.clear();
  ReleaseRequest(request_parser);
  // The client closed the connection before it sent a request.
  if (error == http::error::end_of_stream && !timed_out) co_return;
  const bool lost =
      error != asio::error::no_memory &&
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
  if (buffer_.capacity() > kReadBytes) buffer_.shrink_to_fit();
  SetReceiveBuffer(environment_.limits.receive_buffer_bytes);
  // What is left in the buffer are requests that the client has pipelined.
  const bool granted =
      co_await lease_.Resize(kHeaderCopies * header_bytes_ +
                             kBodyCopies * request_parser.get().body().size() +
                             kAnswerBytes + buffer_.size());
  if (!granted) {
    co_await RespondToReadError(request_parser, asio::error::no_memory, false);
    co_return false;
  }
  lease_.Pin();
  api::request request;
  request.method = head_only
                       ? std::string("GET")
                       : std::string(request_parser.get().method_string());
  request.target = request_parser.get().target();
  request.headers = HeadersOf(request_parser.get());
  request.body = std::move(request_parser.get().body());
  request.peer = peer_;
  const reply answer = co_await environment_.handler.Handle(std::move(request));
  lease_.Unpin();
  sending_ = true;
  stalled_since_ = environment_.clock.Now();
  co_return co_await SendReply(answer, keep_alive, head_only, is_http_1_0,
                               received);
}

int connection::SendBufferFor(std::size_t body_bytes) const {
  const server_limits& limits = environment_.limits;
  const bool is_large =
      body_bytes > static_cast<std::size_t>(limits.send_buffer_bytes);
  return is_large ? limits.body_send_buffer_bytes : limits.send_buffer_bytes;
}

core::awaitable<bool> connection::SendReply(const reply& answer,
                                            bool keep_alive, bool head_only,
                                            bool is_http_1_0,
                                            core::time_point received) {
  if (const auto* const complete = std::get_if<response>(&answer)) {
    RecordResponse(complete->status, received);
    const int unsent = SendBufferFor(complete->body.size());
    const auto more = static_cast<std::uint64_t>(
        unsent - environment_.limits.send_buffer_bytes);
    const bool granted = co_await lease_.Resize(std::max<std::uint64_t>(
        kAnswerBytes, complete->body.capacity() + more));
    // Another answer would not be true: the request may have taken effect.
    if (!granted) co_return false;
    SetSendBuffer(unsent);
    co_return co_await Send(*complete, keep_alive && !environment_.stopping,
                            head_only);
  }
  if (is_http_1_0) {
    const problem unsupported{505, "http-version", "A watch needs HTTP/1.1",
                              ""};
    const response refusal = Render(unsupported);
    co_return co_await Send(refusal, false, head_only);
  }
  const auto& stream = std::get<streamed_response>(answer);
  RecordResponse(stream.head.status, received);
  // A stream may last for hours and holds a piece at a time.
  lease_.Release();
  stalled_since_.reset();
  co_return co_await SendStream(stream, head_only);
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
  if (environment_.lingering >= environment_.limits.max_lingering) co_return;
  ++environment_.lingering;
  co_await Discard();
  --environment_.lingering;
}

core::awaitable<void> connection::Discard() {
  const time_limit limit(environment_.clock, socket_,
                         environment_.limits.linger_timeout,
                         time_limit::direction::kBoth);
  std::array<char, kReadBytes> discarded{};
  std::uint64_t total = 0;
  error_code ec;
  while (!ec && total < environment_.limits.max_linger_bytes) {
    const auto space = asio::buffer(discarded);
    const auto [failed, n] = co_await socket_.async_read_some(space, kTuple);
    ec = failed;
    total += n;
  }
}

void connection::RecordResponse(unsigned status, core::time_point received) {
  environment_.responses_by_class.at(status / 100)->Add();
  const core::duration elapsed = environment_.clock.Now() - received;
  environment_.request_seconds.Add(
      std::chrono::duration<double>(elapsed).count());
}

}  // namespace mangoplank::api
