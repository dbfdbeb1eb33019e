#ifndef MANGOPLANK_WIRE_PEERS_H_
#define MANGOPLANK_WIRE_PEERS_H_

#include <functional>
#include <memory>

#include "mangoplank/consensus/interfaces.h"
#include "mangoplank/wire/codec.h"
#include "mangoplank/wire/connection.h"

/// Links between control processes.
namespace mangoplank::wire {

/// Links that an acceptor serves at once: exceeds the members of any cell and
/// leaves spare links for reconnects.
inline constexpr std::size_t kMaxPeerLinks = 64;

/// @return whether a member is in another region than this process.
using region_predicate = std::function<bool(const core::member_id&)>;

/// Opens links to other members. The first frame in each direction is a
/// peer_hello; a link is closed if the peer belongs to another cell or is not
/// the intended member.
class peer_transport : public consensus::transport {
 public:
  /// @param self sent to the peer on each link.
  peer_transport(connection_context context, peer_hello self,
                 region_predicate is_other_region);

  core::awaitable<core::outcome<std::shared_ptr<consensus::peer_link>>> Connect(
      const consensus::member& member) override;

 private:
  connection_context context_;
  peer_hello self_;
  region_predicate is_other_region_;
};

/// Accepts links from other members.
class peer_acceptor {
 public:
  /// Serves one link until it fails.
  using link_handler = std::function<core::awaitable<void>(
      peer_hello remote, std::shared_ptr<consensus::peer_link>)>;

  peer_acceptor(connection_context context, peer_hello self,
                region_predicate is_other_region, link_handler handler);

  /// @return as for listener::Start.
  core::outcome<void> Start(const core::endpoint& local);
  void Stop();
  std::uint16_t Port() const;

 private:
  std::shared_ptr<peer_hello> self_;
  listener listener_;
};

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_WIRE_PEERS_H_
