#ifndef MANGOPLANK_DISPATCH_CONNECTION_SERVER_H_
#define MANGOPLANK_DISPATCH_CONNECTION_SERVER_H_

#include <memory>

#include "mangoplank/dispatch/relayed_worker_port.h"
#include "mangoplank/dispatch/service.h"
#include "mangoplank/wire/connection.h"

namespace mangoplank::dispatch {

/// Serves the connections of workflow clients, and sends eligibility checks to
/// the clients that can call the eligibility service: that service handles one
/// call at a time from each machine, so the calls are distributed. Clients that
/// can relay orders are registered as relays.
class connection_server : public eligibility_port {
 public:
  /// All references must outlive the server.
  /// @param max_connections of clients that are open at once.
  connection_server(const wire::connection_context& context,
                    consensus::node& node, core::member_id self,
                    relayed_worker_port& relayed_orders,
                    std::size_t max_connections);
  ~connection_server() override;

  /// @param handler must outlive the server.
  core::outcome<void> Start(const core::endpoint& address, service& handler);

  /// Connections above a lower limit stay open until they end.
  void SetMaxConnections(std::size_t count);

  proxy_count CountProxies() const override;
  core::awaitable<std::optional<std::vector<workflow::eligible_worker>>> Check(
      workflow::task_id step, std::vector<core::worker_id> workers,
      core::milliseconds cost, std::int32_t priority) override;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_CONNECTION_SERVER_H_
