#ifndef MANGOPLANK_WIRE_PEERS_H_
#define MANGOPLANK_WIRE_PEERS_H_

#include <functional>
#include <memory>

#include "mangoplank/consensus/interfaces.h"
#include "mangoplank/wire/codec.h"
#include "mangoplank/wire/connection.h"

/// Links between control processes.
namespace mangoplank::wire {

/// @return whether a member stands in another region than this process.
using region_check = std::function<bool(const core::member_id&)>;

/// Opens links to other members. The first frame in each direction is a
/// peer_hello; a link to another cell, or to another member than the one that
/// was meant, is closed.
class peer_transport : public consensus::transport {
 public:
  /// @param self said to the other side of each link.
  peer_transport(connection_context context, peer_hello self,
                 region_check other_region);

  core::awaitable<core::outcome<std::shared_ptr<consensus::peer_link>>> Connect(
      const consensus::member& to) override;

 private:
  connection_context context_;
  peer_hello self_;
  region_check other_region_;
};

/// Accepts links that other members open.
class peer_acceptor {
 public:
  /// Serves one link until it fails.
  using server = std::function<core::awaitable<void>(
      peer_hello from, std::shared_ptr<consensus::peer_link>)>;

  peer_acceptor(connection_context context, peer_hello self,
                region_check other_region, server serve);

  /// @return as listener::Start.
  core::outcome<void> Start(const core::endpoint& at);
  void Stop();
  std::uint16_t Port() const;

 private:
  std::shared_ptr<peer_hello> self_;
  listener listener_;
};

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_WIRE_PEERS_H_
