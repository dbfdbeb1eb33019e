#ifndef MANGOPLANK_SRC_DISPATCH_HEDGE_BUDGET_H_
#define MANGOPLANK_SRC_DISPATCH_HEDGE_BUDGET_H_

#include <algorithm>

namespace mangoplank::dispatch {

/// Allows a second try of a part of the orders before their answer is overdue.
/// If most answers are slow, the fault is a general one, and second tries of
/// all orders would add to the load that causes it.
class hedge_budget {
 public:
  /// Second tries for each order that is sent.
  static constexpr double kShare = 0.1;
  /// Most second tries at once: the orders that one relay holds up together.
  static constexpr double kMost = 40;

  void NoteOrder() { left_ = std::min(kMost, left_ + kShare); }
  /// @return whether a second try may be sent; it is then counted.
  bool Take() {
    if (left_ < 1) return false;
    left_ -= 1;
    return true;
  }

  friend bool operator==(const hedge_budget&, const hedge_budget&) = default;

 private:
  double left_ = kMost;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_HEDGE_BUDGET_H_
