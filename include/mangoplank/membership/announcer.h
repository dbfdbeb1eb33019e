#ifndef MANGOPLANK_MEMBERSHIP_ANNOUNCER_H_
#define MANGOPLANK_MEMBERSHIP_ANNOUNCER_H_

#include "mangoplank/control/messages.h"
#include "mangoplank/core/clock.h"

/// Announcements and leases of workers, and orders to them.
namespace mangoplank::membership {

/// Forwards announcements of workers to the leader.
class announcer {
 public:
  virtual ~announcer() = default;
  /// @param deadline until which the reply may be delayed to wait for orders.
  /// @return the leader's reply, or unavailable if none came; the worker's
  /// lease is then not renewed.
  virtual core::awaitable<core::outcome<control::announcement_reply>> Announce(
      control::announcement announcement, core::time_point deadline) = 0;
};

}  // namespace mangoplank::membership

#endif  // MANGOPLANK_MEMBERSHIP_ANNOUNCER_H_
