#include "mangoplank/wire/peers.h"

#include <spdlog/spdlog.h>

namespace mangoplank::wire {

using consensus::peer_link;
using core::connection_failed;

namespace {

/// More than the members of any cell, with room for links that are replaced.
constexpr std::size_t kMaxPeerLinks = 64;

class framed_link : public peer_link {
 public:
  explicit framed_link(std::shared_ptr<connection> c)
      : connection_(std::move(c)) {}

  core::awaitable<core::outcome<void>> Send(consensus::message m) override {
    const auto kept = connection_;
    std::string bytes = Encode(m);
    co_return co_await kept->SendAndWait(std::move(bytes));
  }

  core::awaitable<core::outcome<consensus::message>> Receive() override {
    const auto kept = connection_;
    const auto bytes = co_await kept->Receive();
    if (!bytes) co_return bytes.error();
    auto message = core::Capture([&] {
      return DecodeConsensusMessage(*bytes, Malformed(kept->Peer()));
    });
    if (!message) kept->Close();
    co_return message;
  }

  void Close() override { connection_->Close(); }

 private:
  std::shared_ptr<connection> connection_;
};

/// Waits for the hello of the other side. A peer that sends heartbeats but no
/// hello is closed at the connect timeout.
core::awaitable<core::outcome<peer_hello>> ReceiveHello(
    connection_context context, std::shared_ptr<connection> link) {
  const auto timer = context.clock.CallAt(
      context.clock.Now() + context.settings.connect_timeout,
      [link] { link->Close(); });
  const auto bytes = co_await link->Receive();
  context.clock.Cancel(timer);
  if (!bytes) co_return bytes.error();
  co_return core::Capture(
      [&] { return DecodePeerHello(*bytes, Malformed(link->Peer())); });
}

/// @return kMalformed if the other side is not of this cell and version.
core::awaitable<core::outcome<peer_hello>> Greet(
    connection_context context, peer_hello self,
    std::shared_ptr<connection> link) {
  const auto sent = link->Send(Encode(self));
  if (!sent) co_return sent.error();
  auto hello = co_await ReceiveHello(context, link);
  if (!hello) co_return hello;
  if (hello->cell != self.cell || hello->version != self.version) {
    spdlog::warn("link to {} refused: it is of cell {}, version {}",
                 link->Peer(), hello->cell.v, hello->version);
    link->Close();
    co_return Malformed(link->Peer());
  }
  co_return hello;
}

core::awaitable<void> ServeLink(connection_context context, peer_hello self,
                                region_check other_region,
                                peer_acceptor::server serve,
                                std::shared_ptr<connection> link) {
  const auto hello = co_await Greet(context, self, link);
  if (!hello) co_return;
  link->SetPeer(hello->member.v, other_region(hello->member));
  std::shared_ptr<peer_link> framed = std::make_shared<framed_link>(link);
  co_await serve(*hello, framed);
}

}  // namespace

peer_transport::peer_transport(connection_context context, peer_hello self,
                               region_check other_region)
    : context_(std::move(context)),
      self_(std::move(self)),
      other_region_(std::move(other_region)) {}

core::awaitable<core::outcome<std::shared_ptr<peer_link>>>
peer_transport::Connect(const consensus::member& to) {
  const core::member_id id = to.id;
  const auto link =
      co_await wire::Connect(context_, to.address, id.v, other_region_(id));
  if (!link) co_return link.error();
  const auto hello = co_await Greet(context_, self_, *link);
  if (!hello) co_return hello.error();
  if (hello->member != id) {
    spdlog::warn("link to {} refused: {} answered", id.v, hello->member.v);
    co_return Malformed(id.v);
  }
  std::shared_ptr<peer_link> framed = std::make_shared<framed_link>(*link);
  co_return framed;
}

peer_acceptor::peer_acceptor(connection_context context, peer_hello self,
                             region_check other_region, server serve)
    : self_(std::make_shared<peer_hello>(std::move(self))),
      listener_(
          context,
          [context, self = self_, other_region = std::move(other_region),
           serve = std::move(serve)](std::shared_ptr<connection> link) {
            return ServeLink(context, *self, other_region, serve,
                             std::move(link));
          },
          kMaxPeerLinks) {}

core::outcome<void> peer_acceptor::Start(const core::endpoint& at) {
  return listener_.Start(at);
}

void peer_acceptor::Stop() { listener_.Stop(); }

std::uint16_t peer_acceptor::Port() const { return listener_.Port(); }

}  // namespace mangoplank::wire
