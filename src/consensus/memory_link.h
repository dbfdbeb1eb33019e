#ifndef MANGOPLANK_SRC_CONSENSUS_MEMORY_LINK_H_
#define MANGOPLANK_SRC_CONSENSUS_MEMORY_LINK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "mangoplank/consensus/interfaces.h"

/// In-process links between members, for tests and benchmarks.
namespace mangoplank::consensus {

class memory_network {
 public:
  using acceptor = std::function<void(std::shared_ptr<peer_link>)>;
  /// Decides on the delivery of one message.
  /// @return its delay, or nullopt to drop it and, without an error, all later
  /// messages of this link in this direction.
  using delay_function = std::function<std::optional<core::duration>(
      const core::member_id& from, const core::member_id& to,
      const message& sent)>;

  /// @param delay if empty, all messages are delivered at once.
  memory_network(boost::asio::any_io_executor executor, core::clock& clock,
                 delay_function delay);
  ~memory_network();

  /// Sets the handler of new links to `self`; an empty one refuses them.
  void Listen(const core::member_id& self, acceptor accept);
  /// Closes all links of a member, as when its process ends.
  void CloseLinksOf(const core::member_id& self);
  /// @return a transport that opens links as `self`; must not outlive the
  /// network.
  std::unique_ptr<transport> TransportOf(core::member_id self);

 private:
  class link;
  class memory_transport;
  struct state;

  std::shared_ptr<state> state_;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_MEMORY_LINK_H_
