#ifndef MANGOPLANK_SRC_DISPATCH_PROXY_BUDGET_H_
#define MANGOPLANK_SRC_DISPATCH_PROXY_BUDGET_H_

#include "mangoplank/dispatch/ports.h"

namespace mangoplank::dispatch {

/// Calls to the eligibility service that would be answered without a wait for a
/// proxy. The capacity for the tasks of a call is reserved until its answer, so
/// that a call that waits keeps capacity idle, and its tickets come too late.
class proxy_budget {
 public:
  /// @param now the proxies at the begin of a round of placement.
  void Reset(const proxy_count& now) {
    proxies_ = now;
    left_ = static_cast<double>(now.idle);
  }
  /// @return how many calls of this expected time may be made now, at most
  /// `wanted`.
  std::size_t Allow(core::milliseconds cost, std::size_t wanted) const;
  /// Notes that calls are made.
  void Take(core::milliseconds cost, std::size_t calls) {
    left_ -= PartOf(cost) * static_cast<double>(calls);
  }
  /// @return whether so many proxies are idle that a check may take more of
  /// their time to be answered sooner.
  bool IsPlentiful() const {
    return 2 * left_ > static_cast<double>(proxies_.all);
  }

 private:
  /// @return the part of a proxy that a call takes.
  static double PartOf(core::milliseconds cost);

  proxy_count proxies_;
  double left_ = 0;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_PROXY_BUDGET_H_
