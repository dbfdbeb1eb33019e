#ifndef MANGOPLANK_MEMBERSHIP_ANNOUNCER_H_
#define MANGOPLANK_MEMBERSHIP_ANNOUNCER_H_

#include "mangoplank/control/messages.h"
#include "mangoplank/core/clock.h"

/// Workers announce themselves, hold leases and receive orders.
namespace mangoplank::membership {

/// Passes a worker's announcement to the leader.
class announcer {
 public:
  virtual ~announcer() = default;
  /// @param deadline until which the reply may be held back for orders.
  /// @return the leader's reply, or unavailable if none came; the worker's
  /// lease is then not renewed.
  virtual core::awaitable<core::outcome<control::announcement_reply>> Announce(
      control::announcement a, core::time_point deadline) = 0;
};

}  // namespace mangoplank::membership

#endif  // MANGOPLANK_MEMBERSHIP_ANNOUNCER_H_
