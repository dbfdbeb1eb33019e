#include "mangoplank/wire/peers.h"

#include <spdlog/spdlog.h>

namespace mangoplank::wire {

using consensus::peer_link;
using core::connection_failed;

namespace {

class framed_link : public peer_link {
 public:
  explicit framed_link(std::shared_ptr<connection> conn)
      : connection_(std::move(conn)) {}

  core::awaitable<core::outcome<void>> Send(
      consensus::message message) override {
    const auto conn = connection_;
    std::string bytes = Encode(message);
    co_return co_await conn->SendAndWait(std::move(bytes));
  }

  core::awaitable<core::outcome<consensus::message>> Receive() override {
    const auto conn = connection_;
    const auto bytes = co_await conn->Receive();
    if (!bytes) co_return bytes.error();
    auto message = core::Capture([&] {
      return DecodeConsensusMessage(*bytes, Malformed(conn->Peer()));
    });
    if (!message) conn->Close();
    co_return message;
  }

  void Close() override { connection_->Close(); }

 private:
  std::shared_ptr<connection> connection_;
};

/// Waits for the hello of the peer. The connection is closed at the connect
/// timeout if the peer sends only heartbeats.
core::awaitable<core::outcome<peer_hello>> ReceiveHello(
    connection_context context, std::shared_ptr<connection> conn) {
  const auto timer = context.clock.CallAt(
      context.clock.Now() + context.settings.connect_timeout,
      [conn] { conn->Close(); });
  const auto bytes = co_await conn->Receive();
  context.clock.Cancel(timer);
  if (!bytes) co_return bytes.error();
  co_return core::Capture(
      [&] { return DecodePeerHello(*bytes, Malformed(conn->Peer())); });
}

/// @return kMalformed if the peer is of another cell or version.
core::awaitable<core::outcome<peer_hello>> ExchangeHellos(
    connection_context context, peer_hello self,
    std::shared_ptr<connection> conn) {
  const auto sent = conn->Send(Encode(self));
  if (!sent) co_return sent.error();
  auto hello = co_await ReceiveHello(context, conn);
  if (!hello) co_return hello;
  if (hello->cell != self.cell || hello->version != self.version) {
    spdlog::warn("link to {} refused: peer is of cell {}, version {}",
                 conn->Peer(), hello->cell.v, hello->version);
    conn->Close();
    co_return Malformed(conn->Peer());
  }
  co_return hello;
}

core::awaitable<void> ServeLink(connection_context context, peer_hello self,
                                region_predicate is_other_region,
                                peer_acceptor::link_handler handler,
                                std::shared_ptr<connection> conn) {
  const auto hello = co_await ExchangeHellos(context, self, conn);
  if (!hello) co_return;
  conn->SetPeer(hello->member.v, is_other_region(hello->member));
  std::shared_ptr<peer_link> framed = std::make_shared<framed_link>(conn);
  co_await handler(*hello, framed);
}

}  // namespace

peer_transport::peer_transport(connection_context context, peer_hello self,
                               region_predicate is_other_region)
    : context_(std::move(context)),
      self_(std::move(self)),
      is_other_region_(std::move(is_other_region)) {}

core::awaitable<core::outcome<std::shared_ptr<peer_link>>>
peer_transport::Connect(const consensus::member& member) {
  const core::member_id id = member.id;
  const auto conn = co_await wire::Connect(context_, member.address, id.v,
                                           is_other_region_(id));
  if (!conn) co_return conn.error();
  const auto hello = co_await ExchangeHellos(context_, self_, *conn);
  if (!hello) co_return hello.error();
  if (hello->member != id) {
    spdlog::warn("link to {} refused: member {} answered", id.v,
                 hello->member.v);
    co_return Malformed(id.v);
  }
  std::shared_ptr<peer_link> framed = std::make_shared<framed_link>(*conn);
  co_return framed;
}

peer_acceptor::peer_acceptor(connection_context context, peer_hello self,
                             region_predicate is_other_region,
                             link_handler handler)
    : self_(std::make_shared<peer_hello>(std::move(self))),
      listener_(
          context,
          [context, self = self_, is_other_region = std::move(is_other_region),
           handler = std::move(handler)](std::shared_ptr<connection> conn) {
            return ServeLink(context, *self, is_other_region, handler,
                             std::move(conn));
          },
          kMaxPeerLinks) {}

core::outcome<void> peer_acceptor::Start(const core::endpoint& local) {
  return listener_.Start(local);
}

void peer_acceptor::Stop() { listener_.Stop(); }

std::uint16_t peer_acceptor::Port() const { return listener_.Port(); }

}  // namespace mangoplank::wire
