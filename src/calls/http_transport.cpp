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
/// Limit of the protocol for bodies, plus 16 KiB for headers.
constexpr std::size_t kMaxAnswerBytes = cell::kMaxPayloadBytes + 16 * 1024;

/// Counts itself among the open connections.
struct connection {
  connection(const asio::any_io_executor& executor, metrics::gauge& counter)
      : open_connections(counter), stream(executor) {
    open_connections.Set(open_connections.Value() + 1);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;
  ~connection() { open_connections.Set(open_connections.Value() - 1); }

  metrics::gauge& open_connections;
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
      : released(executor, clock) {}
  std::list<std::unique_ptr<connection>> idle;
  std::size_t in_use = 0;
  core::event released;
};

http::request<http::string_body> Encode(const worker_target& to,
                                        const worker_request& request,
                                        core::time_point now) {
  const http::verb verb = request.kind == request_kind::kRun ? http::verb::post
                          : request.kind == request_kind::kQuery
                              ? http::verb::get
                              : http::verb::delete_;
  http::request<http::string_body> message(verb, "/v1/calls/" + request.id, 11);
  message.set(http::field::host, to.address.address);
  message.set("Mangoplank-Incarnation", std::to_string(to.incarnation));
  if (request.kind == request_kind::kRun) {
    const auto remaining_ms =
        std::chrono::ceil<core::milliseconds>(request.deadline - now).count();
    message.set("Mangoplank-Department", request.department.v);
    message.set("Mangoplank-Service", request.service);
    message.set("Mangoplank-Operation", request.operation);
    message.set("Mangoplank-Deadline-Ms",
                std::to_string(std::max<long>(remaining_ms, 1)));
    if (request.at_most_once) message.set("Mangoplank-Once", "true");
    message.set(http::field::content_type, "application/json");
    message.body() = request.body;
  }
  message.prepare_payload();
  return message;
}

refusal RefusalOf(std::string_view reason) {
  for (const refusal value :
       {refusal::kNoSlot, refusal::kLeaseEnded, refusal::kOtherIncarnation,
        refusal::kCancelled}) {
    if (reason == Name(value)) return value;
  }
  return refusal::kOther;
}

/// @return the reply that a complete answer encodes.
worker_reply Decode(const worker_request& request,
                    http::response<http::string_body>& response) {
  const bool is_outcome = response.result_int() == 200 ||
                          response.result_int() == 422 ||
                          response.result_int() == 503;
  const std::string_view call_id = response["Mangoplank-Call"];
  if (!call_id.empty() && call_id != request.id) {
    return exchange_fault{fault_kind::kOtherCall, true};
  }
  const bool has_length =
      response.find(http::field::content_length) != response.end();
  if (is_outcome && (call_id.empty() || !has_length)) {
    return exchange_fault{fault_kind::kMalformed, true};
  }
  switch (response.result_int()) {
    case 200:
      return worker_done{std::move(response.body())};
    case 422:
      return worker_failed{std::move(response.body())};
    case 503:
      if (response["Mangoplank-End"] != "not_run") break;
      return worker_refused{RefusalOf(response["Mangoplank-Reason"])};
    case 202:
      if (request.kind == request_kind::kRun) break;
      return worker_running{};
    case 404:
      if (request.kind != request_kind::kQuery) break;
      return worker_unknown_id{};
    case 410:
      if (request.kind != request_kind::kCancel) break;
      return worker_cancelled{};
    default:
      break;
  }
  return exchange_fault{fault_kind::kMalformed, true};
}

/// @param got_bytes whether a part of the answer was received.
fault_kind FaultOf(beast::error_code error, bool got_bytes) {
  if (error == beast::error::timeout) {
    return got_bytes ? fault_kind::kClosedInAnswer : fault_kind::kNoAnswer;
  }
  if (error == http::error::end_of_stream) return fault_kind::kClosed;
  if (error == http::error::partial_message) return fault_kind::kClosedInAnswer;
  const bool is_http =
      error.category() ==
      http::make_error_code(http::error::bad_version).category();
  if (is_http) return fault_kind::kMalformed;
  return got_bytes ? fault_kind::kClosedInAnswer : fault_kind::kClosed;
}

}  // namespace

struct http_transport::impl {
  impl(http_transport_settings options, asio::any_io_executor task_executor,
       core::clock& time_source, metrics::registry& registry)
      : settings(options),
        executor(std::move(task_executor)),
        clock(time_source),
        metrics(registry),
        open_connections(registry.Gauge("mangoplank_call_connections",
                                        "Open connections to workers.")) {}

  /// On destruction, returns the connection to its pool if reusable.
  struct connection_lease {
    connection_lease(std::shared_ptr<impl> owner,
                     std::shared_ptr<pool> from_pool)
        : self(std::move(owner)), connection_pool(std::move(from_pool)) {
      ++connection_pool->in_use;
    }
    connection_lease(const connection_lease&) = delete;
    connection_lease& operator=(const connection_lease&) = delete;
    ~connection_lease() {
      if (reusable && conn) {
        conn->last_used = self->clock.Now();
        connection_pool->idle.push_back(std::move(conn));
      }
      --connection_pool->in_use;
      connection_pool->released.NotifyAll();
    }
    std::shared_ptr<impl> self;
    std::shared_ptr<pool> connection_pool;
    std::unique_ptr<connection> conn;
    bool reusable = false;
  };

  std::shared_ptr<pool> FindOrAddPool(const worker_target& to) {
    const pool_key key{to.worker, to.incarnation, to.address};
    const auto it = pools.find(key);
    if (it != pools.end()) return it->second;
    // When a new incarnation appears, the pools of ended ones are dropped.
    DropUnused();
    return pools[key] = std::make_shared<pool>(executor, clock);
  }

  void DropUnused() {
    const core::time_point oldest = clock.Now() - settings.idle_timeout;
    std::erase_if(pools, [&](const auto& entry) {
      pool& worker_pool = *entry.second;
      std::erase_if(worker_pool.idle,
                    [&](const auto& conn) { return conn->last_used < oldest; });
      return worker_pool.in_use == 0 && worker_pool.idle.empty();
    });
  }

  /// @return an idle connection that is open and received nothing since its
  /// last use, or null.
  std::unique_ptr<connection> TakeIdle(pool& worker_pool) {
    while (!worker_pool.idle.empty()) {
      auto conn = std::move(worker_pool.idle.back());
      worker_pool.idle.pop_back();
      if (IsUsable(*conn)) return conn;
    }
    return nullptr;
  }

  bool IsUsable(connection& conn) {
    if (conn.last_used + settings.idle_timeout < clock.Now()) return false;
    auto& socket = conn.stream.socket();
    beast::error_code error;
    if (!socket.non_blocking()) socket.non_blocking(true, error);
    char byte = 0;
    const std::size_t received = socket.receive(
        asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (!error && received > 0) CountFault(metrics, fault_kind::kSecondAnswer);
    return error == asio::error::would_block;
  }

  static core::awaitable<exchange_result> Exchange(std::shared_ptr<impl> self,
                                                   worker_target to,
                                                   worker_request request,
                                                   core::time_point deadline);
  static core::awaitable<std::optional<fault_kind>> Connect(
      std::shared_ptr<impl> self, connection& conn, worker_target to,
      core::time_point deadline);

  http_transport_settings settings;
  asio::any_io_executor executor;
  core::clock& clock;
  metrics::registry& metrics;
  metrics::gauge& open_connections;
  std::map<pool_key, std::shared_ptr<pool>> pools;
};

core::awaitable<std::optional<fault_kind>> http_transport::impl::Connect(
    std::shared_ptr<impl> self, connection& conn, worker_target to,
    core::time_point deadline) {
  beast::error_code error;
  const auto address = asio::ip::make_address(to.address.address, error);
  if (error) co_return fault_kind::kConnectRefused;
  const core::time_point connect_deadline =
      self->clock.Now() + self->settings.connect_timeout;
  const asio::ip::tcp::endpoint peer(address, to.address.port);
  conn.stream.expires_at(std::min(deadline, connect_deadline));
  const auto [connect_error] = co_await conn.stream.async_connect(peer, kTuple);
  if (connect_error == beast::error::timeout) co_return fault_kind::kSilent;
  if (connect_error) co_return fault_kind::kConnectRefused;
  conn.stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
  co_return std::nullopt;
}

core::awaitable<exchange_result> http_transport::impl::Exchange(
    std::shared_ptr<impl> self, worker_target to, worker_request request,
    core::time_point deadline) {
  const auto failed = [](fault_kind kind, bool sent) {
    return exchange_result{exchange_fault{kind, sent}, 0, 0};
  };
  const std::shared_ptr<pool> worker_pool = self->FindOrAddPool(to);
  while (worker_pool->in_use >= self->settings.max_connections) {
    const bool released = co_await worker_pool->released.WaitUntil(deadline);
    if (!released) co_return failed(fault_kind::kNoConnection, false);
  }
  connection_lease held(self, worker_pool);
  held.conn = self->TakeIdle(*worker_pool);
  if (!held.conn) {
    held.conn =
        std::make_unique<connection>(self->executor, self->open_connections);
    const auto fault = co_await Connect(self, *held.conn, to, deadline);
    if (fault) co_return failed(*fault, false);
  }
  connection& conn = *held.conn;
  conn.stream.expires_at(deadline);
  const auto message = Encode(to, request, self->clock.Now());
  const auto [write_error, bytes_out] =
      co_await http::async_write(conn.stream, message, kTuple);
  if (write_error) {
    // Other idle connections to this worker may be broken as well.
    worker_pool->idle.clear();
    const bool is_timeout = write_error == beast::error::timeout;
    auto result =
        failed(is_timeout ? fault_kind::kSilent : fault_kind::kClosed, true);
    result.bytes_out = bytes_out;
    co_return result;
  }
  http::response_parser<http::string_body> parser;
  parser.body_limit(cell::kMaxPayloadBytes);
  const auto [read_error, bytes_in] =
      co_await http::async_read(conn.stream, conn.buffer, parser, kTuple);
  exchange_result result{exchange_fault{}, bytes_out, bytes_in};
  if (read_error) {
    worker_pool->idle.clear();
    result.reply = exchange_fault{FaultOf(read_error, parser.got_some()), true};
    co_return result;
  }
  const bool is_keep_alive = parser.get().keep_alive();
  result.reply = Decode(request, parser.get());
  if (conn.buffer.size() > 0)
    CountFault(self->metrics, fault_kind::kSecondAnswer);
  held.reusable = is_keep_alive && conn.buffer.size() == 0 &&
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
    worker_target to, worker_request request, core::time_point deadline) {
  return impl::Exchange(impl_, std::move(to), std::move(request), deadline);
}

void http_transport::CloseIdle() { impl_->DropUnused(); }

}  // namespace mangoplank::calls
