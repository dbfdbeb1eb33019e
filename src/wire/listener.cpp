#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <set>

#include "mangoplank/wire/connection.h"

namespace mangoplank::wire {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Wait after a failed accept, for instance without a free descriptor, so that
/// the task does not retry in a loop.
constexpr core::milliseconds kAcceptPause{100};

}  // namespace

struct listener::impl {
  impl(connection_context c, server s, std::size_t limit)
      : context(std::move(c)),
        serve(std::move(s)),
        max_connections(limit),
        acceptor(context.executor) {}

  static core::awaitable<void> Accept(std::shared_ptr<impl> self);
  static core::awaitable<void> Serve(std::shared_ptr<impl> self,
                                     std::shared_ptr<connection> link);
  void Take(asio::ip::tcp::socket socket, const asio::ip::tcp::endpoint& remote,
            const std::shared_ptr<impl>& self);

  const connection_context context;
  const server serve;
  const std::size_t max_connections;
  asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<connection>> served;
  bool stopped = false;
};

void listener::impl::Take(asio::ip::tcp::socket socket,
                          const asio::ip::tcp::endpoint& remote,
                          const std::shared_ptr<impl>& self) {
  const std::string name = remote.address().to_string();
  if (served.size() >= max_connections) {
    spdlog::warn("connection from {} closed: {} are open", name, served.size());
    return;
  }
  auto link =
      std::make_shared<connection>(context, std::move(socket), name, false);
  served.insert(link);
  asio::co_spawn(context.executor, Serve(self, std::move(link)),
                 asio::detached);
}

core::awaitable<void> listener::impl::Accept(std::shared_ptr<impl> self) {
  while (!self->stopped) {
    error_code ec;
    asio::ip::tcp::endpoint remote;
    auto socket = co_await self->acceptor.async_accept(
        remote, asio::redirect_error(asio::use_awaitable, ec));
    if (self->stopped) co_return;
    if (ec) {
      co_await core::SleepFor(self->context.clock, kAcceptPause);
      continue;
    }
    self->Take(std::move(socket), remote, self);
  }
}

core::awaitable<void> listener::impl::Serve(std::shared_ptr<impl> self,
                                            std::shared_ptr<connection> link) {
  co_await self->serve(link);
  link->Close();
  self->served.erase(link);
}

listener::listener(connection_context context, server serve,
                   std::size_t max_connections)
    : impl_(std::make_shared<impl>(std::move(context), std::move(serve),
                                   max_connections)) {}

listener::~listener() { Stop(); }

core::outcome<void> listener::Start(const core::endpoint& at) {
  error_code ec;
  const auto address = asio::ip::make_address(at.address, ec);
  const asio::ip::tcp::endpoint local(address, at.port);
  auto& acceptor = impl_->acceptor;
  if (!ec) acceptor.open(local.protocol(), ec);
  if (!ec) {
    acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  }
  if (!ec) acceptor.bind(local, ec);
  if (!ec) acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec) {
    return core::failure(core::connection_failed{
        core::connection_failed::kind::kRefused, at.address});
  }
  asio::co_spawn(impl_->context.executor, impl::Accept(impl_), asio::detached);
  return core::outcome<void>();
}

void listener::Stop() {
  impl_->stopped = true;
  error_code ignored;
  impl_->acceptor.close(ignored);
  for (const auto& link : impl_->served) link->Close();
}

std::uint16_t listener::Port() const {
  error_code ignored;
  return impl_->acceptor.local_endpoint(ignored).port();
}

}  // namespace mangoplank::wire
