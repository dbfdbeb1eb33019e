#ifndef MANGOPLANK_CALLS_ESTIMATE_H_
#define MANGOPLANK_CALLS_ESTIMATE_H_

#include <algorithm>
#include <cstdint>

#include "mangoplank/core/clock.h"

namespace mangoplank::calls {

/// Running mean and 95th percentile of a duration, in constant space.
class duration_estimate {
 public:
  void Add(core::duration sample) {
    const double x = std::chrono::duration<double>(sample).count();
    ++count_;
    const double weight = std::max(kWeight, 1.0 / static_cast<double>(count_));
    mean_ += weight * (x - mean_);
    if (count_ == 1) tail_ = x;
    // Steps up 19 times as large as those down balance where one sample in 20
    // is above.
    const double step = kTailStep * std::max(mean_, 1e-5);
    tail_ = std::max(mean_, x > tail_ ? tail_ + 19 * step : tail_ - step);
  }
  bool IsKnown() const { return count_ >= kFewestSamples; }
  core::duration Mean() const { return Duration(mean_); }
  core::duration Tail() const { return Duration(tail_); }

 private:
  static constexpr double kWeight = 0.05;
  static constexpr double kTailStep = 0.01;
  static constexpr std::uint64_t kFewestSamples = 20;
  static core::duration Duration(double seconds) {
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(seconds));
  }

  std::uint64_t count_ = 0;
  double mean_ = 0;
  double tail_ = 0;
};

/// Tokens earned by first attempts and spent by further ones.
class attempt_budget {
 public:
  explicit attempt_budget(double share) : share_(share) {}
  void Earn() { tokens_ = std::min(kMostTokens, tokens_ + share_); }
  bool Spend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  /// Allows a short burst after a worker failed.
  static constexpr double kMostTokens = 20;
  double share_;
  double tokens_ = kMostTokens / 2;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_ESTIMATE_H_
