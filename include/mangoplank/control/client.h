#ifndef MANGOPLANK_CONTROL_CLIENT_H_
#define MANGOPLANK_CONTROL_CLIENT_H_

#include <memory>

#include "mangoplank/control/messages.h"
#include "mangoplank/core/clock.h"

namespace mangoplank::control {

/// Committed changes, in order, as they come.
class feed {
 public:
  virtual ~feed() = default;
  /// @return the next batch, empty batches as progress marks included;
  /// revision_compacted if the history from the last batch on is gone, or
  /// unavailable if no control process could be reached until `deadline`.
  virtual core::awaitable<core::outcome<feed_batch>> Next(
      core::time_point deadline) = 0;
};

/// Asks the leading control process, wherever it is.
class client {
 public:
  virtual ~client() = default;
  /// Follows changes after `from`; 0 asks for a full copy first. Reconnects
  /// and resumes by itself. Ends when the feed is destroyed.
  virtual std::unique_ptr<feed> Subscribe(topic t,
                                          const core::department_id& department,
                                          core::revision from) = 0;
  /// Finds the leader, sends the request and waits for the answer. A request
  /// that may change the state is sent again only under its request id.
  /// @param deadline of the whole search and request.
  /// @return commit_unknown if the request was sent and no answer came.
  virtual core::awaitable<core::outcome<answer>> Request(
      request r, core::time_point deadline) = 0;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_CLIENT_H_
