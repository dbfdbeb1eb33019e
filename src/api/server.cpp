#include "mangoplank/api/server.h"

#include <spdlog/spdlog.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>
#include <utility>

#include "api/connection.h"

namespace mangoplank::api {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
/// Pause after an accept failed for want of descriptors or memory.
constexpr core::milliseconds kAcceptPause(100);

std::array<metrics::counter*, 6> ResponseCounters(metrics::registry& metrics) {
  std::array<metrics::counter*, 6> out{};
  for (std::size_t i = 0; i < out.size(); ++i) {
    const std::string code = std::to_string(i) + "xx";
    out[i] = &metrics.Counter("mangoplank_http_responses_total",
                              "HTTP responses by class of status",
                              {{"status", code}});
  }
  return out;
}

core::failure Refused(const core::endpoint& at, const error_code& ec) {
  spdlog::error("can't listen at {}:{}: {}", at.address, at.port, ec.message());
  return core::connection_failed{core::connection_failed::kind::kRefused,
                                 at.address};
}

}  // namespace

struct server::impl : std::enable_shared_from_this<server::impl> {
  impl(asio::any_io_executor executor, core::clock& clock, handler& h,
       metrics::registry& metrics, server_limits limits)
      : acceptor(executor),
        e{clock, h, limits, ResponseCounters(metrics),
          metrics.Histogram("mangoplank_http_request_seconds",
                            "Time from a whole request to its response")},
        open_gauge(metrics.Gauge("mangoplank_http_connections",
                                 "Open HTTP connections")),
        ended(executor, clock) {}

  core::outcome<core::endpoint> Listen(const core::endpoint& at);
  core::awaitable<void> Accept();
  /// Takes what the kernel has already accepted.
  void AcceptRest();
  void Admit(tcp::socket socket);
  core::awaitable<void> Serve(tcp::socket socket, bool refuse);
  /// @return whether an idle connection was closed to make room.
  bool CloseOldestIdle();
  core::awaitable<void> WaitUntilEmpty(core::time_point deadline);

  tcp::acceptor acceptor;
  connection::environment e;
  metrics::gauge& open_gauge;
  core::event ended;
  std::set<connection*> connections;
};

core::outcome<core::endpoint> server::impl::Listen(const core::endpoint& at) {
  error_code ec;
  const auto address = asio::ip::make_address(at.address, ec);
  if (ec) return Refused(at, ec);
  const tcp::endpoint local(address, at.port);
  acceptor.open(local.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(local, ec);
  if (!ec) acceptor.listen(tcp::acceptor::max_listen_connections, ec);
  if (!ec) acceptor.non_blocking(true, ec);
  if (ec) return Refused(at, ec);
  const tcp::endpoint bound = acceptor.local_endpoint(ec);
  return core::endpoint{bound.address().to_string(), bound.port()};
}

core::awaitable<void> server::impl::Accept() {
  while (!e.stopping) {
    auto [ec, socket] = co_await acceptor.async_accept(kTuple);
    if (ec == asio::error::operation_aborted) break;
    if (ec) {
      spdlog::warn("accept failed: {}", ec.message());
      co_await core::SleepFor(e.clock, kAcceptPause);
      continue;
    }
    Admit(std::move(socket));
  }
}

void server::impl::AcceptRest() {
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
    if (!c->IdleSince()) continue;
    if (oldest == nullptr || *c->IdleSince() < *oldest->IdleSince()) oldest = c;
  }
  if (oldest == nullptr) return false;
  oldest->CloseIdle();
  return true;
}

void server::impl::Admit(tcp::socket socket) {
  const bool full = connections.size() >= e.limits.connections;
  // A connection that is being closed still counts, so the sum may exceed the
  // limit for a moment; beyond a tenth more nothing is admitted.
  const std::size_t most = e.limits.connections + e.limits.connections / 10 + 1;
  const bool refuse =
      full && (connections.size() >= most || !CloseOldestIdle());
  // Too many even to be told so.
  if (refuse && connections.size() >= 2 * most) return;
  asio::co_spawn(
      acceptor.get_executor(),
      [](std::shared_ptr<impl> self, tcp::socket s,
         bool refused) -> core::awaitable<void> {
        co_await self->Serve(std::move(s), refused);
      }(shared_from_this(), std::move(socket), refuse),
      asio::detached);
}

core::awaitable<void> server::impl::Serve(tcp::socket socket, bool refuse) {
  connection c(std::move(socket), e);
  connections.insert(&c);
  open_gauge.Set(static_cast<double>(connections.size()));
  if (refuse) {
    co_await c.RunRefused();
  } else {
    co_await c.Run();
  }
  connections.erase(&c);
  open_gauge.Set(static_cast<double>(connections.size()));
  ended.NotifyAll();
}

core::awaitable<void> server::impl::WaitUntilEmpty(core::time_point deadline) {
  while (!connections.empty() && e.clock.Now() < deadline) {
    co_await ended.WaitUntil(deadline);
  }
}

server::server(asio::any_io_executor executor, core::clock& clock, handler& h,
               metrics::registry& metrics, server_limits limits)
    : impl_(std::make_shared<impl>(std::move(executor), clock, h, metrics,
                                   limits)) {}

server::~server() {
  impl_->e.stopping = true;
  error_code ignored;
  impl_->acceptor.close(ignored);
  for (connection* const c : impl_->connections) c->Abort();
}

core::outcome<core::endpoint> server::Listen(const core::endpoint& at) {
  auto bound = impl_->Listen(at);
  if (!bound) return bound;
  asio::co_spawn(
      impl_->acceptor.get_executor(),
      [](std::shared_ptr<impl> self) -> core::awaitable<void> {
        co_await self->Accept();
      }(impl_),
      asio::detached);
  return bound;
}

core::awaitable<void> server::Stop(core::milliseconds linger,
                                   core::time_point deadline) {
  const std::shared_ptr<impl> self = impl_;
  self->e.stopping = true;
  self->e.idle_end = std::min(self->e.clock.Now() + linger, deadline);
  self->AcceptRest();
  error_code ignored;
  self->acceptor.close(ignored);
  co_await self->WaitUntilEmpty(self->e.idle_end);
  for (connection* const c : self->connections) c->CloseIdle();
  co_await self->WaitUntilEmpty(deadline);
  for (connection* const c : self->connections) c->Abort();
  co_await self->WaitUntilEmpty(self->e.clock.Now() +
                                self->e.limits.linger_time);
}

std::size_t server::ConnectionCount() const {
  return impl_->connections.size();
}

}  // namespace mangoplank::api
