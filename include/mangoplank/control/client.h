#ifndef MANGOPLANK_CONTROL_CLIENT_H_
#define MANGOPLANK_CONTROL_CLIENT_H_

#include "mangoplank/control/messages.h"
#include "mangoplank/core/clock.h"

namespace mangoplank::control {

/// Asks the leading control process, wherever it is.
class client {
 public:
  virtual ~client() = default;
  /// Finds the leader, sends the request and waits for the answer. A request
  /// that may change the state is sent again only under its request id.
  /// @param deadline of the whole search and request.
  /// @return commit_unknown if the request was sent and no answer came.
  virtual core::awaitable<core::outcome<answer>> Ask(
      request r, core::time_point deadline) = 0;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_CLIENT_H_
