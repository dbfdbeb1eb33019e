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
/// How often a stream without data looks for a shutdown.
constexpr core::milliseconds kStreamWait(500);

problem ProblemOf(error_code ec, bool timed_out) {
  if (timed_out) {
    return {408, "request-timeout", "The request came too slowly",
            "the whole request must arrive in time"};
  }
  if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
    return {431, "header-too-large", "The header is over the limit",
            ec.message()};
  }
  if (ec == http::error::body_limit) {
    return {413, "body-too-large", "The body is over the limit", ec.message()};
  }
  return {400, "malformed", "The request is not valid HTTP", ec.message()};
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
void SetHead(Message& m, const response& r, bool keep) {
  m.result(r.status);
  m.set(http::field::server, "mangoplank");
  for (const auto& [name, value] : r.headers) m.set(name, value);
  m.keep_alive(keep);
}

bool ExpectsContinue(const http::fields& fields) {
  return beast::iequals(fields[http::field::expect], "100-continue");
}

}  // namespace

time_limit::time_limit(core::clock& clock, connection::socket& socket,
                       core::milliseconds d, side s)
    : clock_(clock) {
  timer_ = clock_.CallAt(clock_.Now() + d, [this, &socket, s] {
    passed_ = true;
    timer_ = 0;
    error_code ignored;
    socket.shutdown(s == side::kReceive ? connection::socket::shutdown_receive
                                        : connection::socket::shutdown_both,
                    ignored);
  });
}

time_limit::~time_limit() {
  if (timer_ != 0) clock_.Cancel(timer_);
}

connection::connection(socket s, environment& e)
    : socket_(std::move(s)),
      e_(e),
      buffer_(e.limits.header_bytes + 2 * kReadBytes) {
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
    // All responses were sent and followed by a wait, so there is nothing to
    // linger for.
    if (!has_request) co_return;
    open = co_await ServeOne();
  }
  co_await Linger();
}

core::milliseconds connection::IdleTime() const {
  if (!e_.stopping) return e_.limits.idle_time;
  const auto left =
      std::chrono::ceil<core::milliseconds>(e_.idle_end - e_.clock.Now());
  return std::max(left, core::milliseconds(0));
}

core::awaitable<void> connection::RunRefused() {
  const problem p{503,
                  "too-many-connections",
                  "The entry has no free connection",
                  "try again, on another entry if possible",
                  {},
                  core::milliseconds(1000)};
  const response r = Render(p);
  co_await Send(r, false, false);
  co_await Linger();
}

core::awaitable<bool> connection::WaitForRequest() {
  if (buffer_.size() > 0) co_return true;
  const time_limit limit(e_.clock, socket_, IdleTime(),
                         time_limit::side::kReceive);
  idle_since_ = e_.clock.Now();
  const auto space = buffer_.prepare(kReadBytes);
  const auto [ec, n] = co_await socket_.async_read_some(space, kTuple);
  idle_since_.reset();
  if (ec) co_return false;
  buffer_.commit(n);
  co_return true;
}

core::awaitable<bool> connection::ServeOne() {
  parser p;
  p.header_limit(e_.limits.header_bytes);
  p.body_limit(e_.limits.body_bytes);
  const bool has_header = co_await ReadHeader(p);
  if (!has_header) co_return false;
  const bool whole = co_await ReadBody(p);
  if (!whole) co_return false;
  co_return co_await Respond(p);
}

core::awaitable<bool> connection::ReadHeader(parser& p) {
  bool timed_out = false;
  error_code ec;
  {
    const time_limit limit(e_.clock, socket_, e_.limits.header_time,
                           time_limit::side::kReceive);
    const auto [failed, n] =
        co_await http::async_read_header(socket_, buffer_, p, kTuple);
    ec = failed;
    timed_out = limit.Passed();
  }
  if (!ec) {
    // Refused before the client is told to send the body.
    const auto length = p.content_length();
    if (!length || *length <= e_.limits.body_bytes) co_return true;
    ec = http::error::body_limit;
  }
  co_await Refuse(p, ec, timed_out);
  co_return false;
}

core::awaitable<bool> connection::Continue() {
  const time_limit limit(e_.clock, socket_, e_.limits.write_time,
                         time_limit::side::kBoth);
  const http::response<http::empty_body> go_on(http::status::continue_, 11);
  const auto [ec, n] = co_await http::async_write(socket_, go_on, kTuple);
  co_return !ec;
}

core::awaitable<bool> connection::ReadBody(parser& p) {
  if (p.is_done()) co_return true;
  if (ExpectsContinue(p.get()) && buffer_.size() == 0) {
    const bool told = co_await Continue();
    if (!told) co_return false;
  }
  bool timed_out = false;
  error_code ec;
  {
    const time_limit limit(e_.clock, socket_, e_.limits.body_time,
                           time_limit::side::kReceive);
    const auto [failed, n] =
        co_await http::async_read(socket_, buffer_, p, kTuple);
    ec = failed;
    timed_out = limit.Passed();
  }
  if (!ec) co_return true;
  co_await Refuse(p, ec, timed_out);
  co_return false;
}

core::awaitable<void> connection::Refuse(const parser& p, error_code ec,
                                         bool timed_out) {
  // The client is gone, or closed before it began a request.
  if (ec == http::error::end_of_stream && !timed_out) co_return;
  const bool lost =
      ec.category() != make_error_code(http::error::body_limit).category();
  if (lost && !timed_out) co_return;
  // Only a call that was to be made now is known not to run; a question for
  // the end of an earlier one may be refused here too.
  const bool is_call =
      p.get().method() == http::verb::post && IsCallPath(p.get().target());
  const problem refusal = ProblemOf(ec, timed_out);
  const response r =
      is_call ? Render(refusal, cell::ending::kNotRun) : Render(refusal);
  Count(r.status, e_.clock.Now());
  co_await Send(r, false, false);
}

core::awaitable<bool> connection::Respond(parser& p) {
  const core::time_point since = e_.clock.Now();
  const bool head = p.get().method() == http::verb::head;
  const bool is_old = p.get().version() < 11;
  const bool keep = p.keep_alive();
  request r;
  r.method = head ? std::string("GET") : std::string(p.get().method_string());
  r.target = p.get().target();
  r.headers = HeadersOf(p.get());
  r.body = std::move(p.get().body());
  r.peer = peer_;
  reply answer = co_await e_.h.Handle(std::move(r));
  bool open = false;
  if (auto* const whole = std::get_if<response>(&answer)) {
    Count(whole->status, since);
    open = co_await Send(*whole, keep && !e_.stopping, head);
  } else if (is_old) {
    const problem old{505, "http-version", "A watch needs HTTP/1.1", ""};
    const response refusal = Render(old);
    open = co_await Send(refusal, false, head);
  } else {
    const auto& stream = std::get<streamed_response>(answer);
    Count(stream.head.status, since);
    open = co_await SendStream(stream, head);
  }
  co_return open;
}

core::awaitable<bool> connection::Send(const response& r, bool keep,
                                       bool head) {
  const time_limit limit(e_.clock, socket_, e_.limits.write_time,
                         time_limit::side::kBoth);
  if (head) {
    http::response<http::empty_body> m;
    SetHead(m, r, keep);
    m.content_length(r.body.size());
    http::response_serializer<http::empty_body> s(m);
    const auto [ec, n] = co_await http::async_write_header(socket_, s, kTuple);
    co_return !ec && keep;
  }
  http::response<http::span_body<const char>> m;
  SetHead(m, r, keep);
  m.body() = beast::span<const char>(r.body.data(), r.body.size());
  m.prepare_payload();
  const auto [ec, n] = co_await http::async_write(socket_, m, kTuple);
  co_return !ec && keep;
}

core::awaitable<bool> connection::SendStream(const streamed_response& s,
                                             bool head) {
  http::response<http::empty_body> m;
  SetHead(m, s.head, false);
  m.chunked(true);
  http::response_serializer<http::empty_body> serializer(m);
  {
    const time_limit limit(e_.clock, socket_, e_.limits.write_time,
                           time_limit::side::kBoth);
    const auto [ec, n] =
        co_await http::async_write_header(socket_, serializer, kTuple);
    if (ec) co_return false;
  }
  if (!head) co_await SendChunks(*s.body);
  co_return false;
}

core::awaitable<void> connection::SendChunks(body_stream& body) {
  while (!e_.stopping) {
    const auto piece = co_await body.Next(e_.clock.Now() + kStreamWait);
    if (!piece) break;
    if (piece->empty()) continue;
    const time_limit limit(e_.clock, socket_, e_.limits.write_time,
                           time_limit::side::kBoth);
    const auto chunk = http::make_chunk(asio::buffer(*piece));
    const auto [ec, n] = co_await asio::async_write(socket_, chunk, kTuple);
    if (ec) co_return;
  }
  const time_limit limit(e_.clock, socket_, e_.limits.write_time,
                         time_limit::side::kBoth);
  const auto last = http::make_chunk_last();
  co_await asio::async_write(socket_, last, kTuple);
}

core::awaitable<void> connection::Linger() {
  error_code ec;
  socket_.shutdown(socket::shutdown_send, ec);
  if (ec) co_return;
  const time_limit limit(e_.clock, socket_, e_.limits.linger_time,
                         time_limit::side::kBoth);
  std::array<char, 4096> discarded{};
  while (!ec) {
    const auto space = asio::buffer(discarded);
    const auto [failed, n] = co_await socket_.async_read_some(space, kTuple);
    ec = failed;
  }
}

void connection::Count(unsigned status, core::time_point since) {
  e_.responses.at(status / 100)->Add();
  const core::duration d = e_.clock.Now() - since;
  e_.duration.Add(std::chrono::duration<double>(d).count());
}

}  // namespace mangoplank::api
