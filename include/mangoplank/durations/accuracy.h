#ifndef MANGOPLANK_DURATIONS_ACCURACY_H_
#define MANGOPLANK_DURATIONS_ACCURACY_H_

#include <string>
#include <vector>

#include "mangoplank/durations/estimator.h"

namespace mangoplank::durations {

/// @return the absolute difference of the logarithms: 0.69 is a factor of 2.
/// Times below 1 ms or above 1e9 ms count as the bound.
double LogError(double expected_ms, double actual_ms);

/// Expected against actual run times of the steps of one queue.
struct queue_accuracy {
  std::string queue;
  std::size_t steps = 0;
  /// Geometric means, in milliseconds.
  double actual_ms = 0;
  double expected_ms = 0;
  double declared_ms = 0;
  /// Mean absolute errors in the log domain.
  double forecast_error = 0;
  double declared_error = 0;
  /// Share of the steps between the 10% and the 90% quantile of their forecast.
  double share_in_range = 0;

  friend bool operator==(const queue_accuracy&,
                         const queue_accuracy&) = default;
  friend auto operator<=>(const queue_accuracy&,
                          const queue_accuracy&) = default;
};

/// Collects the accuracy of forecasts by queue between two reports.
class accuracy_report {
 public:
  /// @param declared_ms the caller's estimate.
  void Add(const std::string& queue, const learned_step& step,
           double declared_ms);
  /// @return the queues with the most steps since the last call, at most
  /// `limit` of them. What was collected is forgotten.
  std::vector<queue_accuracy> Take(std::size_t limit);

 private:
  struct sums {
    std::size_t steps = 0;
    double actual_log = 0;
    double expected_log = 0;
    double declared_log = 0;
    double forecast_error = 0;
    double declared_error = 0;
    std::size_t in_range = 0;
  };

  std::map<std::string, sums> queues_;
};

}  // namespace mangoplank::durations

#endif  // MANGOPLANK_DURATIONS_ACCURACY_H_
