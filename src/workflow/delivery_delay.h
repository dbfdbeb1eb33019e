#ifndef MANGOPLANK_SRC_WORKFLOW_DELIVERY_DELAY_H_
#define MANGOPLANK_SRC_WORKFLOW_DELIVERY_DELAY_H_

#include <algorithm>
#include <cstdint>
#include <optional>

#include "mangoplank/core/clock.h"

namespace mangoplank::workflow {

/// Finds the messages of one connection that were held up on their way, also by
/// a pause of either process. The two clocks have no common start, so that a
/// message is compared with the fastest of the last seconds.
class delivery_delay {
 public:
  /// @param sent_at_ms the sender's steady clock when it sent the message.
  /// @param received_at the own clock.
  /// @return the delay of the message beyond that of the fastest one.
  core::milliseconds Note(std::int64_t sent_at_ms,
                          core::time_point received_at) {
    const std::int64_t difference =
        std::chrono::duration_cast<core::milliseconds>(
            received_at.time_since_epoch())
            .count() -
        sent_at_ms;
    if (!current_ || received_at >= current_since_ + kWindow) {
      former_ = current_;
      current_ = difference;
      current_since_ = received_at;
    }
    current_ = std::min(*current_, difference);
    const std::int64_t fastest =
        std::min(*current_, former_.value_or(*current_));
    return core::milliseconds(difference - fastest);
  }

 private:
  /// Steady clocks of two VMs drift apart by a few milliseconds in this time.
  static constexpr core::milliseconds kWindow{10'000};

  std::optional<std::int64_t> current_;
  std::optional<std::int64_t> former_;
  core::time_point current_since_{};
};

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_SRC_WORKFLOW_DELIVERY_DELAY_H_
