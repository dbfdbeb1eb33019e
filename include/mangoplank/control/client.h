#ifndef MANGOPLANK_CONTROL_CLIENT_H_
#define MANGOPLANK_CONTROL_CLIENT_H_

#include <memory>

#include "mangoplank/control/messages.h"
#include "mangoplank/core/clock.h"

namespace mangoplank::control {

/// A stream of committed changes, in order.
class feed {
 public:
  virtual ~feed() = default;
  /// @return the next batch, which is empty if it is a progress mark;
  /// revision_compacted if the history after the last batch is compacted, or
  /// unavailable if no control process could be reached before `deadline`.
  virtual core::awaitable<core::outcome<feed_batch>> Next(
      core::time_point deadline) = 0;
};

/// Sends requests to the control process that is the leader.
class client {
 public:
  virtual ~client() = default;
  /// Subscribes to changes after `from`; 0 requests a full copy first. The feed
  /// reconnects and resumes by itself, and ends when it is destroyed.
  virtual std::unique_ptr<feed> Subscribe(topic feed_topic,
                                          const core::department_id& department,
                                          core::revision from) = 0;
  /// Finds the leader, sends the request and waits for the answer. A request
  /// that may change the state is resent only if it carries a request id.
  /// @param deadline for finding the leader and for all attempts together.
  /// @return commit_unknown if the request was sent and no answer arrived.
  virtual core::awaitable<core::outcome<answer>> Request(
      request body, core::time_point deadline) = 0;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_CLIENT_H_
