#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

#include "mangoplank/core/task.h"
#include "mangoplank/wire/connection.h"

namespace mangoplank::wire {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Delay after a failed accept, so that the task does not spin while, for
/// instance, no file descriptor is free.
constexpr core::milliseconds kAcceptRetryDelay{100};

}  // namespace

struct listener::impl {
  impl(connection_context ctx, connection_handler on_connection,
       std::size_t limit)
      : context(std::move(ctx)),
        handler(std::move(on_connection)),
        max_connections(limit),
        acceptor(context.executor) {}

  static core::awaitable<void> AcceptConnections(std::shared_ptr<impl> self);
  static core::awaitable<void> ServeConnection(
      std::shared_ptr<impl> self, std::shared_ptr<connection> conn);
  void StartServing(asio::ip::tcp::socket socket,
                    const asio::ip::tcp::endpoint& remote,
                    const std::shared_ptr<impl>& self);

  const connection_context context;
  const connection_handler handler;
  std::size_t max_connections;
  asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<connection>> connections;
  bool stopped = false;
};

void listener::impl::StartServing(asio::ip::tcp::socket socket,
                                  const asio::ip::tcp::endpoint& remote,
                                  const std::shared_ptr<impl>& self) {
  const std::string peer = remote.address().to_string();
  if (connections.size() >= max_connections) {
    spdlog::warn("connection from {} closed: {} connections are open", peer,
                 connections.size());
    return;
  }
  auto conn =
      std::make_shared<connection>(context, std::move(socket), peer, false);
  connections.insert(conn);
  core::SpawnTask(context.executor, ServeConnection(self, std::move(conn)),
                  "wire_connection");
}

core::awaitable<void> listener::impl::AcceptConnections(
    std::shared_ptr<impl> self) {
  while (!self->stopped) {
    error_code ec;
    asio::ip::tcp::endpoint remote;
    auto socket = co_await self->acceptor.async_accept(
        remote, asio::redirect_error(asio::use_awaitable, ec));
    if (self->stopped) co_return;
    if (ec) {
      co_await core::SleepFor(self->context.clock, kAcceptRetryDelay);
      continue;
    }
    self->StartServing(std::move(socket), remote, self);
  }
}

core::awaitable<void> listener::impl::ServeConnection(
    std::shared_ptr<impl> self, std::shared_ptr<connection> conn) {
  try {
    co_await self->handler(conn);
  } catch (...) {
    core::LogTaskFailure("wire_connection");
  }
  conn->Close();
  self->connections.erase(conn);
}

listener::listener(connection_context context, connection_handler handler,
                   std::size_t max_connections)
    : impl_(std::make_shared<impl>(std::move(context), std::move(handler),
                                   max_connections)) {}

listener::~listener() { Stop(); }

core::outcome<void> listener::Start(const core::endpoint& local) {
  error_code ec;
  const auto address = asio::ip::make_address(local.address, ec);
  const asio::ip::tcp::endpoint endpoint(address, local.port);
  auto& acceptor = impl_->acceptor;
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) {
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return core::failure(core::connection_failed{
        core::connection_failed::kind::kRefused, local.address});
  }
  asio::co_spawn(impl_->context.executor, impl::AcceptConnections(impl_),
                 asio::detached);
  return core::outcome<void>();
}

void listener::SetMaxConnections(std::size_t count) {
  impl_->max_connections = count;
}

void listener::Stop() {
  impl_->stopped = true;
  error_code ignored;
  impl_->acceptor.close(ignored);
  for (const auto& conn : impl_->connections) conn->Close();
}

std::uint16_t listener::Port() const {
  error_code ignored;
  return impl_->acceptor.local_endpoint(ignored).port();
}

}  // namespace mangoplank::wire
