#include "mangoplank/api/server.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>
#include <utility>

#include "api/connection.h"
#include "mangoplank/core/task.h"

namespace mangoplank::api {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Delay after a failed accept, as for lack of file descriptors or memory.
constexpr core::milliseconds kAcceptRetryDelay(100);
/// Longest wait of a new connection for one that is being closed.
constexpr core::milliseconds kCloseTimeout(100);

std::array<metrics::counter*, 6> RegisterResponseCounters(
    metrics::registry& metrics) {
  std::array<metrics::counter*, 6> out{};
  for (std::size_t i = 0; i < out.size(); ++i) {
    const std::string code = std::to_string(i) + "xx";
    out[i] = &metrics.Counter("mangoplank_http_responses_total",
                              "HTTP responses by class of status",
                              {{"status", code}});
  }
  return out;
}

/// @return the most connections that are served or being closed.
std::size_t HardLimit(std::size_t max_connections) {
  return max_connections + max_connections / 10 + 1;
}

/// @return the most connections including those that are being rejected.
std::size_t RejectionLimit(std::size_t max_connections) {
  return HardLimit(max_connections) + max_connections / 10 + 1;
}

core::failure ListenFailed(const core::endpoint& endpoint,
                           const error_code& error) {
  spdlog::error("cannot listen on {}:{}: {}", endpoint.address, endpoint.port,
                error.message());
  return core::connection_failed{core::connection_failed::kind::kRefused,
                                 endpoint.address};
}

}  // namespace

struct server::impl : std::enable_shared_from_this<server::impl> {
  impl(asio::any_io_executor executor, core::clock& clock,
       api::handler& handler, metrics::registry& metrics,
       process::memory_budget& budget, server_limits limits)
      : acceptor(executor),
        environment{
            clock,
            handler,
            budget,
            limits,
            RegisterResponseCounters(metrics),
            metrics.Histogram("mangoplank_http_request_seconds",
                              "Time from a whole request to its response")},
        open_connections(metrics.Gauge("mangoplank_http_connections",
                                       "Open HTTP connections")),
        stalled_closed(metrics.Counter(
            "mangoplank_http_stalled_closed_total",
            "Connections closed for others as their clients stalled")),
        connection_closed(executor, clock) {}

  core::outcome<core::endpoint> Listen(const core::endpoint& endpoint);
  core::awaitable<void> AcceptConnections();
  /// Accepts the connections that the kernel has already established.
  void AcceptPending();
  void Admit(tcp::socket socket);
  core::awaitable<void> Serve(tcp::socket socket, bool has_place);
  /// Takes a place for a new connection, if need be one that is freed by
  /// closing an idle or stalled connection.
  /// @return whether there was one.
  bool TakePlace();
  /// The same, once connections that are being closed have ended.
  core::awaitable<bool> WaitForPlace();
  /// @return whether an idle connection was closed to free its place.
  bool CloseOldestIdle();
  /// @return whether the connection that has waited longest for its client,
  /// over the limit, was closed to free its place.
  bool CloseLongestStalled();
  core::awaitable<void> WaitUntilEmpty(core::time_point deadline);

  tcp::acceptor acceptor;
  connection::environment environment;
  metrics::gauge& open_connections;
  metrics::counter& stalled_closed;
  core::event connection_closed;
  std::set<connection*> connections;
  /// Connections that are served or being closed; the others are rejected.
  std::size_t places_taken = 0;
};

core::outcome<core::endpoint> server::impl::Listen(
    const core::endpoint& endpoint) {
  error_code ec;
  const auto address = asio::ip::make_address(endpoint.address, ec);
  if (ec) return ListenFailed(endpoint, ec);
  const tcp::endpoint local(address, endpoint.port);
  acceptor.open(local.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  // Accepted sockets inherit it; set later, it wouldn't bound the first window.
  const tcp::acceptor::receive_buffer_size unread(
      environment.limits.receive_buffer_bytes);
  if (!ec) acceptor.set_option(unread, ec);
  const tcp::acceptor::send_buffer_size unsent(
      environment.limits.send_buffer_bytes);
  if (!ec) acceptor.set_option(unsent, ec);
  if (!ec) acceptor.bind(local, ec);
  if (!ec) acceptor.listen(tcp::acceptor::max_listen_connections, ec);
  if (!ec) acceptor.non_blocking(true, ec);
  if (ec) return ListenFailed(endpoint, ec);
  const tcp::endpoint bound = acceptor.local_endpoint(ec);
  return core::endpoint{bound.address().to_string(), bound.port()};
}

core::awaitable<void> server::impl::AcceptConnections() {
  while (!environment.stopping) {
    auto [ec, socket] = co_await acceptor.async_accept(kTuple);
    if (ec == asio::error::operation_aborted) break;
    if (ec) {
      spdlog::warn("accept failed: {}", ec.message());
      co_await core::SleepFor(environment.clock, kAcceptRetryDelay);
      continue;
    }
    Admit(std::move(socket));
  }
}

void server::impl::AcceptPending() {
  error_code ec;
  while (!ec) {
    tcp::socket socket(acceptor.get_executor());
    acceptor.accept(socket, ec);
    if (!ec) Admit(std::move(socket));
  }
}

bool server::impl::CloseOldestIdle() {
  connection* oldest = nullptr;
  for (connection* const c : connections) {
    if (!c->IdleSince() || c->IsClosing()) continue;
    if (oldest == nullptr || *c->IdleSince() < *oldest->IdleSince()) oldest = c;
  }
  if (oldest == nullptr) return false;
  oldest->CloseIdle();
  return true;
}

bool server::impl::CloseLongestStalled() {
  const core::time_point latest =
      environment.clock.Now() - environment.limits.stall_limit;
  connection* longest = nullptr;
  for (connection* const c : connections) {
    const auto since = c->StalledSince();
    if (!since || *since > latest) continue;
    if (longest == nullptr || *since < *longest->StalledSince()) longest = c;
  }
  if (longest == nullptr) return false;
  longest->Abort();
  stalled_closed.Add();
  return true;
}

bool server::impl::TakePlace() {
  const std::size_t limit = environment.limits.max_connections;
  // A connection that is being closed still counts, so the number may exceed
  // the limit briefly.
  const bool is_full = places_taken >= limit;
  if (is_full && (places_taken >= HardLimit(limit) ||
                  (!CloseOldestIdle() && !CloseLongestStalled()))) {
    return false;
  }
  ++places_taken;
  return true;
}

core::awaitable<bool> server::impl::WaitForPlace() {
  const core::time_point deadline = environment.clock.Now() + kCloseTimeout;
  const auto is_closing = [](const connection* c) { return c->IsClosing(); };
  while (std::ranges::any_of(connections, is_closing)) {
    const bool closed = co_await connection_closed.WaitUntil(deadline);
    if (!closed) co_return false;
    if (TakePlace()) co_return true;
  }
  co_return false;
}

void server::impl::Admit(tcp::socket socket) {
  // Too many connections even to send a response. Those that are being rejected
  // count too, as the descriptors have to last for all.
  const std::size_t limit = environment.limits.max_connections;
  if (connections.size() >= RejectionLimit(limit)) return;
  const bool has_place = TakePlace();
  asio::co_spawn(
      acceptor.get_executor(),
      [](std::shared_ptr<impl> self, tcp::socket accepted,
         bool admitted) -> core::awaitable<void> {
        co_await self->Serve(std::move(accepted), admitted);
      }(shared_from_this(), std::move(socket), has_place),
      asio::detached);
}

core::awaitable<void> server::impl::Serve(tcp::socket socket, bool has_place) {
  connection served(std::move(socket), environment);
  connections.insert(&served);
  open_connections.Set(static_cast<double>(connections.size()));
  try {
    if (!has_place) has_place = co_await WaitForPlace();
    if (has_place) {
      co_await served.Run();
    } else {
      co_await served.Reject();
    }
  } catch (...) {
    core::LogTaskFailure("http_connection");
  }
  if (has_place) --places_taken;
  connections.erase(&served);
  open_connections.Set(static_cast<double>(connections.size()));
  connection_closed.NotifyAll();
}

core::awaitable<void> server::impl::WaitUntilEmpty(core::time_point deadline) {
  while (!connections.empty() && environment.clock.Now() < deadline) {
    co_await connection_closed.WaitUntil(deadline);
  }
}

server::server(asio::any_io_executor executor, core::clock& clock,
               api::handler& handler, metrics::registry& metrics,
               process::memory_budget& budget, server_limits limits)
    : impl_(std::make_shared<impl>(std::move(executor), clock, handler, metrics,
                                   budget, limits)) {}

server::~server() {
  impl_->environment.stopping = true;
  error_code ignored;
  impl_->acceptor.close(ignored);
  for (connection* const c : impl_->connections) c->Abort();
}

core::outcome<core::endpoint> server::Listen(const core::endpoint& endpoint) {
  auto bound = impl_->Listen(endpoint);
  if (!bound) return bound;
  asio::co_spawn(
      impl_->acceptor.get_executor(),
      [](std::shared_ptr<impl> self) -> core::awaitable<void> {
        co_await self->AcceptConnections();
      }(impl_),
      asio::detached);
  return bound;
}

core::awaitable<void> server::Stop(core::milliseconds linger,
                                   core::time_point deadline) {
  const std::shared_ptr<impl> self = impl_;
  self->environment.stopping = true;
  self->environment.idle_deadline =
      std::min(self->environment.clock.Now() + linger, deadline);
  self->AcceptPending();
  error_code ignored;
  self->acceptor.close(ignored);
  co_await self->WaitUntilEmpty(self->environment.idle_deadline);
  for (connection* const c : self->connections) c->CloseIdle();
  co_await self->WaitUntilEmpty(deadline);
  for (connection* const c : self->connections) c->Abort();
  co_await self->WaitUntilEmpty(self->environment.clock.Now() +
                                self->environment.limits.linger_timeout);
}

std::size_t MaxConnectionsWithin(std::size_t descriptors) {
  // The listener and one connection that is just being accepted.
  constexpr std::size_t kOthers = 2;
  const std::size_t usable = descriptors - std::min(descriptors, kOthers);
  std::size_t count = usable * 10 / 12;
  while (count > 0 && RejectionLimit(count) > usable) --count;
  return count;
}

void server::SetMaxConnections(std::size_t count) {
  impl_->environment.limits.max_connections = count;
}

std::size_t server::ConnectionCount() const {
  return impl_->connections.size();
}

}  // namespace mangoplank::api
