#include "mangoplank/durations/accuracy.h"

#include <algorithm>
#include <cmath>

namespace mangoplank::durations {

namespace {

/// Quantiles between which a forecast counts as right.
constexpr double kLow = 0.1;
constexpr double kHigh = 0.9;

/// Bounds of what is compared, in milliseconds.
constexpr double kMinMs = 1;
constexpr double kMaxMs = 1e9;

double LogOf(double ms) { return std::log(std::clamp(ms, kMinMs, kMaxMs)); }

}  // namespace

double LogError(double expected_ms, double actual_ms) {
  return std::abs(LogOf(expected_ms) - LogOf(actual_ms));
}

void accuracy_report::Add(const std::string& queue, const learned_step& step,
                          double declared_ms) {
  const bool is_known = queues_.contains(queue);
  if (!is_known && queues_.size() >= estimator::kMaxQueues) return;
  sums& sum = queues_[queue];
  ++sum.steps;
  sum.actual_log += LogOf(step.actual_ms);
  sum.expected_log += LogOf(step.expected.median_ms);
  sum.declared_log += LogOf(declared_ms);
  sum.forecast_error += LogError(step.expected.median_ms, step.actual_ms);
  sum.declared_error += LogError(declared_ms, step.actual_ms);
  const bool in_range = step.actual_ms >= step.expected.QuantileMs(kLow) &&
                        step.actual_ms <= step.expected.QuantileMs(kHigh);
  if (in_range) ++sum.in_range;
}

std::vector<queue_accuracy> accuracy_report::Take(std::size_t limit) {
  std::vector<queue_accuracy> report;
  for (const auto& [queue, sum] : queues_) {
    const auto steps = static_cast<double>(sum.steps);
    report.push_back({queue, sum.steps, std::exp(sum.actual_log / steps),
                      std::exp(sum.expected_log / steps),
                      std::exp(sum.declared_log / steps),
                      sum.forecast_error / steps, sum.declared_error / steps,
                      static_cast<double>(sum.in_range) / steps});
  }
  queues_.clear();
  std::stable_sort(report.begin(), report.end(),
                   [](const queue_accuracy& a, const queue_accuracy& b) {
                     return a.steps > b.steps;
                   });
  if (report.size() > limit) report.resize(limit);
  return report;
}

}  // namespace mangoplank::durations
