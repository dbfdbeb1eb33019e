#ifndef MANGOPLANK_DISPATCH_LINK_SERVER_H_
#define MANGOPLANK_DISPATCH_LINK_SERVER_H_

#include <memory>

#include "mangoplank/dispatch/service.h"
#include "mangoplank/wire/connection.h"

namespace mangoplank::dispatch {

/// Serves the connections of workflow clients, and lets those that can ask the
/// eligibility service for the leader: that service takes one call at a time
/// from each machine, so the calls are spread.
class link_server : public eligibility_port {
 public:
  link_server(const wire::connection_context& context, consensus::node& node,
              core::member_id self);
  ~link_server() override;

  /// @param s must outlive the server.
  core::outcome<void> Start(const core::endpoint& at, service& s);

  core::awaitable<std::optional<std::vector<workflow::eligible_worker>>> Ask(
      workflow::task_id step, std::vector<core::worker_id> workers,
      core::milliseconds cost, std::int32_t priority) override;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_LINK_SERVER_H_
