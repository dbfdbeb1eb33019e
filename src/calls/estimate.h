#ifndef MANGOPLANK_CALLS_ESTIMATE_H_
#define MANGOPLANK_CALLS_ESTIMATE_H_

#include <algorithm>
#include <cstdint>

#include "mangoplank/core/clock.h"

namespace mangoplank::calls {

/// Moving average and estimated 95th percentile of a duration, in O(1) space.
class duration_estimate {
 public:
  void Add(core::duration sample) {
    const double seconds = std::chrono::duration<double>(sample).count();
    ++count_;
    const double weight =
        std::max(kMinSampleWeight, 1.0 / static_cast<double>(count_));
    mean_ += weight * (seconds - mean_);
    if (count_ == 1) percentile_95_ = seconds;
    // The estimate settles where one sample in 20 is above it, as steps up are
    // 19 times as large as steps down.
    const double step = kPercentileStep * std::max(mean_, 1e-5);
    percentile_95_ =
        std::max(mean_, seconds > percentile_95_ ? percentile_95_ + 19 * step
                                                 : percentile_95_ - step);
  }
  bool HasEnoughSamples() const { return count_ >= kMinSamples; }
  core::duration Mean() const { return ToDuration(mean_); }
  core::duration Percentile95() const { return ToDuration(percentile_95_); }

 private:
  static constexpr double kMinSampleWeight = 0.05;
  static constexpr double kPercentileStep = 0.01;
  static constexpr std::uint64_t kMinSamples = 20;
  static core::duration ToDuration(double seconds) {
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(seconds));
  }

  std::uint64_t count_ = 0;
  double mean_ = 0;
  double percentile_95_ = 0;
};

/// Token bucket: first attempts earn tokens, retries or hedges spend them.
class attempt_budget {
 public:
  explicit attempt_budget(double tokens_per_attempt)
      : tokens_per_attempt_(tokens_per_attempt) {}
  void Earn() { tokens_ = std::min(kMaxTokens, tokens_ + tokens_per_attempt_); }
  bool TrySpend() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
  }

 private:
  /// Allows a short burst of attempts after a worker failed.
  static constexpr double kMaxTokens = 20;
  double tokens_per_attempt_;
  double tokens_ = kMaxTokens / 2;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_ESTIMATE_H_
