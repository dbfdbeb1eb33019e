#ifndef MANGOPLANK_SRC_DISPATCH_ORDER_BACKOFF_H_
#define MANGOPLANK_SRC_DISPATCH_ORDER_BACKOFF_H_

#include <algorithm>

#include "mangoplank/core/clock.h"

namespace mangoplank::dispatch {

/// Exponential back-off of a worker whose orders fail: time for which it gets
/// no new tasks. A single failure costs little, as any answer may be lost; a
/// worker that fails again and again does not draw a gang each time.
class order_backoff {
 public:
  static constexpr core::milliseconds kFirst{250};
  static constexpr core::milliseconds kLongest{4'000};
  /// Failures are forgotten after this time without any.
  static constexpr core::milliseconds kMemory{10'000};

  /// Failures during a back-off don't lengthen it: they are of orders that were
  /// sent before it began, or although it is disregarded.
  void NoteFailure(core::time_point now) {
    if (IsFirstPartActive(now)) return;
    failed_at_ = now;
    if (IsActive(now)) return;
    if (now >= until_ + kMemory) length_ = core::milliseconds(0);
    length_ = std::clamp(2 * length_, kFirst, kLongest);
    until_ = now + length_;
  }
  bool IsActive(core::time_point now) const { return now < until_; }
  /// @return whether the last failure was so recently that the worker gets no
  /// tasks even where the back-off is disregarded.
  bool IsFirstPartActive(core::time_point now) const {
    return now < failed_at_ + kFirst;
  }

  friend bool operator==(const order_backoff&, const order_backoff&) = default;

 private:
  core::milliseconds length_{0};
  core::time_point failed_at_{};
  core::time_point until_{};
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_ORDER_BACKOFF_H_
