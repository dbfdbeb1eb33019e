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
  /// Sent to the leader, for its logs.
  std::string name;
  /// Port on which members accept connections; a member's id is its IP address.
  std::uint16_t port = 0;
  /// Id of this process if it is a member itself; empty otherwise.
  core::member_id self;
  /// Data centre of this process.
  std::string data_centre;
};

/// Returns the addresses of control processes that are tried in addition to the
/// members. They may change while the process runs.
using seed_source = std::function<std::vector<core::endpoint>()>;

/// Checks with the eligibility service which of the workers may run a step.
using eligibility_checker =
    std::function<core::awaitable<std::optional<std::vector<eligible_worker>>>(
        task_id step, std::vector<core::worker_id> workers)>;

/// Sends an order to a worker.
using order_sender =
    std::function<core::awaitable<order_answer>(order_request)>;

/// What a process does for the leader over its connection; each may be empty.
struct client_duties {
  eligibility_checker check_eligibility;
  order_sender send_order;
};

/// Maintains one connection to the leader and sends requests over it. All
/// requests are idempotent: a request whose connection is lost is sent again to
/// the next leader.
class client {
 public:
  /// @param seeds called again while no leader is found; may be empty.
  client(client_settings settings, const wire::connection_context& context,
         seed_source seeds, client_duties duties);
  ~client();

  void Start();

  /// @return the leader's answer; `unavailable` if the request reached no
  /// leader, `commit_unknown` if it may have been recorded.
  core::awaitable<answer_body> Request(request_body body,
                                       core::time_point deadline);

  /// @return whether this client is connected to a leader.
  bool HasLeader() const;
  /// @return the leader's id, or empty.
  core::member_id Leader() const;
  /// @return the newest members that a control process has reported.
  const member_list& Members() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_CLIENT_H_
