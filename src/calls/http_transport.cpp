#include "mangoplank/calls/http_transport.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <list>
#include <map>

#include "mangoplank/cell/objects.h"

namespace mangoplank::calls {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using core::overloaded;

namespace {

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Bodies are bounded by the protocol; headers take little more.
constexpr std::size_t kMaxAnswerBytes = cell::kMaxPayloadBytes + 16 * 1024;

struct connection {
  explicit connection(const asio::any_io_executor& executor)
      : stream(executor) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer{kMaxAnswerBytes};
  core::time_point last_used{};
};

struct pool_key {
  core::worker_id worker;
  core::incarnation incarnation = 0;
  core::endpoint address;
  friend auto operator<=>(const pool_key&, const pool_key&) = default;
};

/// Connections to one incarnation of a worker.
struct pool {
  pool(const asio::any_io_executor& executor, core::clock& clock)
      : freed(executor, clock) {}
  std::list<std::unique_ptr<connection>> idle;
  std::size_t open = 0;
  core::event freed;
};

http::request<http::string_body> Encode(const worker_target& to,
                                        const worker_request& r,
                                        core::time_point now) {
  const http::verb verb = r.k == request_kind::kRun   ? http::verb::post
                          : r.k == request_kind::kAsk ? http::verb::get
                                                      : http::verb::delete_;
  http::request<http::string_body> m(verb, "/v1/calls/" + r.id, 11);
  m.set(http::field::host, to.address.address);
  m.set("Mangoplank-Incarnation", std::to_string(to.incarnation));
  if (r.k == request_kind::kRun) {
    const auto left =
        std::chrono::ceil<core::milliseconds>(r.deadline - now).count();
    m.set("Mangoplank-Department", r.department.v);
    m.set("Mangoplank-Service", r.service);
    m.set("Mangoplank-Operation", r.operation);
    m.set("Mangoplank-Deadline-Ms", std::to_string(std::max<long>(left, 1)));
    if (r.once) m.set("Mangoplank-Once", "true");
    m.set(http::field::content_type, "application/json");
    m.body() = r.body;
  }
  m.prepare_payload();
  return m;
}

refusal RefusalOf(std::string_view reason) {
  for (const refusal r : {refusal::kNoSlot, refusal::kLeaseEnded,
                          refusal::kOtherIncarnation, refusal::kGivenUp}) {
    if (reason == Name(r)) return r;
  }
  return refusal::kOther;
}

/// @return what a whole answer says.
worker_reply Decode(const worker_request& r,
                    http::response<http::string_body>& m) {
  const bool ends =
      m.result_int() == 200 || m.result_int() == 422 || m.result_int() == 503;
  const std::string_view named = m["Mangoplank-Call"];
  if (!named.empty() && named != r.id) {
    return exchange_fault{fault_kind::kOtherCall, true};
  }
  const bool measured = m.find(http::field::content_length) != m.end();
  if (ends && (named.empty() || !measured)) {
    return exchange_fault{fault_kind::kMalformed, true};
  }
  switch (m.result_int()) {
    case 200:
      return worker_done{std::move(m.body())};
    case 422:
      return worker_failed{std::move(m.body())};
    case 503:
      if (m["Mangoplank-End"] != "not_run") break;
      return worker_refused{RefusalOf(m["Mangoplank-Reason"])};
    case 202:
      if (r.k == request_kind::kRun) break;
      return worker_running{};
    case 404:
      if (r.k != request_kind::kAsk) break;
      return worker_unknown_id{};
    case 410:
      if (r.k != request_kind::kGiveUp) break;
      return worker_gave_up{};
    default:
      break;
  }
  return exchange_fault{fault_kind::kMalformed, true};
}

/// @param got_bytes whether a part of the answer had come.
fault_kind FaultOf(beast::error_code ec, bool got_bytes) {
  if (ec == beast::error::timeout) {
    return got_bytes ? fault_kind::kClosedInAnswer : fault_kind::kNoAnswer;
  }
  if (ec == http::error::end_of_stream) return fault_kind::kClosed;
  if (ec == http::error::partial_message) return fault_kind::kClosedInAnswer;
  const bool is_http =
      ec.category() ==
      http::make_error_code(http::error::bad_version).category();
  if (is_http) return fault_kind::kMalformed;
  return got_bytes ? fault_kind::kClosedInAnswer : fault_kind::kClosed;
}

}  // namespace

struct http_transport::impl {
  impl(http_transport_settings s, asio::any_io_executor e, core::clock& c,
       metrics::registry& m)
      : settings(s),
        executor(std::move(e)),
        clock(c),
        metrics(m),
        open(m.Gauge("mangoplank_call_connections",
                     "Open connections to workers.")) {}

  /// Returns a connection to its pool, or counts it closed.
  struct lease {
    lease(std::shared_ptr<impl> i, std::shared_ptr<pool> p)
        : self(std::move(i)), of(std::move(p)) {
      ++of->open;
      self->open.Set(self->open.Value() + 1);
    }
    lease(const lease&) = delete;
    lease& operator=(const lease&) = delete;
    ~lease() {
      if (keep && c) {
        c->last_used = self->clock.Now();
        of->idle.push_back(std::move(c));
      }
      --of->open;
      self->open.Set(self->open.Value() - 1);
      of->freed.NotifyAll();
    }
    std::shared_ptr<impl> self;
    std::shared_ptr<pool> of;
    std::unique_ptr<connection> c;
    bool keep = false;
  };

  std::shared_ptr<pool> PoolOf(const worker_target& to) {
    const pool_key key{to.worker, to.incarnation, to.address};
    const auto it = pools.find(key);
    if (it != pools.end()) return it->second;
    // A new incarnation is the time to drop the pools of ended ones.
    DropUnused();
    return pools[key] = std::make_shared<pool>(executor, clock);
  }

  void DropUnused() {
    const core::time_point oldest = clock.Now() - settings.idle_timeout;
    std::erase_if(pools, [&](const auto& entry) {
      pool& p = *entry.second;
      std::erase_if(p.idle,
                    [&](const auto& c) { return c->last_used < oldest; });
      return p.open == 0 && p.idle.empty();
    });
  }

  /// @return an idle connection on which nothing has happened since its last
  /// use, or null.
  std::unique_ptr<connection> TakeIdle(pool& p) {
    while (!p.idle.empty()) {
      auto c = std::move(p.idle.back());
      p.idle.pop_back();
      if (IsUsable(*c)) return c;
    }
    return nullptr;
  }

  bool IsUsable(connection& c) {
    if (c.last_used + settings.idle_timeout < clock.Now()) return false;
    auto& socket = c.stream.socket();
    beast::error_code ec;
    if (!socket.non_blocking()) socket.non_blocking(true, ec);
    char byte = 0;
    const std::size_t n = socket.receive(asio::buffer(&byte, 1),
                                         asio::socket_base::message_peek, ec);
    if (!ec && n > 0) CountFault(metrics, fault_kind::kSecondAnswer);
    return ec == asio::error::would_block;
  }

  static core::awaitable<exchange_result> Exchange(std::shared_ptr<impl> self,
                                                   worker_target to,
                                                   worker_request r,
                                                   core::time_point deadline);
  static core::awaitable<std::optional<fault_kind>> Connect(
      std::shared_ptr<impl> self, connection& c, worker_target to,
      core::time_point deadline);

  http_transport_settings settings;
  asio::any_io_executor executor;
  core::clock& clock;
  metrics::registry& metrics;
  metrics::gauge& open;
  std::map<pool_key, std::shared_ptr<pool>> pools;
};

core::awaitable<std::optional<fault_kind>> http_transport::impl::Connect(
    std::shared_ptr<impl> self, connection& c, worker_target to,
    core::time_point deadline) {
  beast::error_code ec;
  const auto address = asio::ip::make_address(to.address.address, ec);
  if (ec) co_return fault_kind::kConnectRefused;
  const core::time_point latest =
      self->clock.Now() + self->settings.connect_timeout;
  const asio::ip::tcp::endpoint peer(address, to.address.port);
  c.stream.expires_at(std::min(deadline, latest));
  const auto [failed] = co_await c.stream.async_connect(peer, kTuple);
  if (failed == beast::error::timeout) co_return fault_kind::kSilent;
  if (failed) co_return fault_kind::kConnectRefused;
  c.stream.socket().set_option(asio::ip::tcp::no_delay(true), ec);
  co_return std::nullopt;
}

core::awaitable<exchange_result> http_transport::impl::Exchange(
    std::shared_ptr<impl> self, worker_target to, worker_request r,
    core::time_point deadline) {
  const auto failed = [](fault_kind k, bool sent) {
    return exchange_result{exchange_fault{k, sent}, 0, 0};
  };
  const std::shared_ptr<pool> p = self->PoolOf(to);
  while (p->open >= self->settings.max_connections) {
    const bool freed = co_await p->freed.WaitUntil(deadline);
    if (!freed) co_return failed(fault_kind::kNoConnection, false);
  }
  lease l(self, p);
  l.c = self->TakeIdle(*p);
  if (!l.c) {
    l.c = std::make_unique<connection>(self->executor);
    const auto fault = co_await Connect(self, *l.c, to, deadline);
    if (fault) co_return failed(*fault, false);
  }
  connection& c = *l.c;
  c.stream.expires_at(deadline);
  const auto request = Encode(to, r, self->clock.Now());
  const auto [unsent, out] =
      co_await http::async_write(c.stream, request, kTuple);
  if (unsent) {
    // Other idle connections to this worker may have stopped as well.
    p->idle.clear();
    const bool late = unsent == beast::error::timeout;
    auto result =
        failed(late ? fault_kind::kSilent : fault_kind::kClosed, true);
    result.bytes_out = out;
    co_return result;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(cell::kMaxPayloadBytes);
  const auto [broken, in] =
      co_await http::async_read(c.stream, c.buffer, parser, kTuple);
  exchange_result result{exchange_fault{}, out, in};
  if (broken) {
    p->idle.clear();
    result.reply = exchange_fault{FaultOf(broken, parser.got_some()), true};
    co_return result;
  }
  const bool stays_open = parser.get().keep_alive();
  result.reply = Decode(r, parser.get());
  if (c.buffer.size() > 0) CountFault(self->metrics, fault_kind::kSecondAnswer);
  l.keep = stays_open && c.buffer.size() == 0 &&
           !std::holds_alternative<exchange_fault>(result.reply);
  co_return result;
}

http_transport::http_transport(http_transport_settings settings,
                               asio::any_io_executor executor,
                               core::clock& clock, metrics::registry& metrics)
    : impl_(std::make_shared<impl>(settings, std::move(executor), clock,
                                   metrics)) {}

http_transport::~http_transport() { impl_->pools.clear(); }

core::awaitable<exchange_result> http_transport::Exchange(
    worker_target to, worker_request r, core::time_point deadline) {
  return impl::Exchange(impl_, std::move(to), std::move(r), deadline);
}

void http_transport::CloseIdle() { impl_->DropUnused(); }

}  // namespace mangoplank::calls
