#ifndef MANGOPLANK_WORKFLOW_CLIENT_H_
#define MANGOPLANK_WORKFLOW_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangoplank/core/clock.h"
#include "mangoplank/wire/connection.h"
#include "mangoplank/workflow/messages.h"

namespace mangoplank::workflow {

struct client_settings {
  /// Said to the leader, for its logs.
  std::string name;
  /// Address of a control process that is tried while no member is known.
  std::vector<core::endpoint> seeds;
  /// Port at which all members accept links; a member's id is its IP address.
  std::uint16_t link_port = 0;
  /// Where this process runs itself as a member; empty if it does not.
  core::member_id self;
};

/// Asks the eligibility service of workers.
using eligibility_source =
    std::function<core::awaitable<std::optional<std::vector<eligible_worker>>>(
        task_id step, std::vector<core::worker_id> workers)>;

/// Keeps one connection to the leader and carries requests over it. All
/// requests are idempotent, so that one whose connection broke is sent again
/// to the next leader.
class client {
 public:
  /// @param ask may be empty.
  client(client_settings settings, const wire::connection_context& context,
         eligibility_source ask);
  ~client();

  void Start();

  /// @return the leader's answer. A failure `unavailable` says that the request
  /// reached no leader; commit_unknown that it did and its effect is not known.
  core::awaitable<answer_body> Ask(request_body body,
                                   core::time_point deadline);

  /// @return whether there is a connection to a leader.
  bool HasLeader() const;
  /// @return the leader's id, or empty.
  core::member_id Leader() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_CLIENT_H_
