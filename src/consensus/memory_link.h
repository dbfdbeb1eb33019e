#ifndef MANGOPLANK_SRC_CONSENSUS_MEMORY_LINK_H_
#define MANGOPLANK_SRC_CONSENSUS_MEMORY_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "mangoplank/consensus/interfaces.h"

/// Links between members of one process, for tests and the bench.
namespace mangoplank::consensus {

class memory_network {
 public:
  using acceptor = std::function<void(std::shared_ptr<peer_link>)>;
  /// Decides about one message.
  /// @return its delay, or nothing if the link stops carrying data in this
  /// direction from then on, without an error.
  using fate = std::function<std::optional<core::duration>(
      const core::member_id& from, const core::member_id& to,
      const message& m)>;

  /// @param decide no value delivers all messages at once.
  memory_network(boost::asio::any_io_executor executor, core::clock& clock,
                 fate decide);
  ~memory_network();

  /// Sets who serves the links to `self`; an empty one refuses them.
  void Listen(const core::member_id& self, acceptor a);
  /// Closes all links of a member, as at the end of its process.
  void CloseLinksOf(const core::member_id& self);
  /// @return a transport that opens links as `self`; valid as long as the
  /// network.
  std::unique_ptr<transport> TransportOf(core::member_id self);

 private:
  class link;
  class opener;
  struct state;

  std::shared_ptr<state> state_;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_MEMORY_LINK_H_
