#ifndef MANGOPLANK_DURATIONS_ESTIMATOR_H_
#define MANGOPLANK_DURATIONS_ESTIMATOR_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "mangoplank/core/types.h"

/// Run times of tasks, learned from finished runs. Knows no clock and sends no
/// messages: callers pass in when a step ended. docs/design describes the
/// estimator in expected-durations.md.
namespace mangoplank::durations {

/// What is known of a task before it runs.
struct task_kind {
  std::string queue;
  /// Number of the step in its job.
  std::uint32_t step = 0;
  /// The caller's estimate in milliseconds; none if not positive.
  double declared_ms = 0;

  friend bool operator==(const task_kind&, const task_kind&) = default;
  friend auto operator<=>(const task_kind&, const task_kind&) = default;
};

/// A run that did the whole work of its task.
struct whole_run {
  double run_ms = 0;
  /// Unset if the run does not show how fast the worker is, e.g. as it waited
  /// for others or was far from its data.
  std::optional<core::worker_id> worker;

  friend bool operator==(const whole_run&, const whole_run&) = default;
  friend auto operator<=>(const whole_run&, const whole_run&) = default;
};

/// The whole runs of a step that has succeeded.
struct finished_step {
  task_kind kind;
  std::vector<whole_run> runs;
  core::time_point ended_at{};

  friend bool operator==(const finished_step&, const finished_step&) = default;
};

/// Expected run time of a task: a log-logistic distribution, whose quantiles
/// have a closed form.
struct forecast {
  double median_ms = 0;
  /// Standard deviation of the logarithm.
  double log_deviation = 0;

  /// @param probability above 0 and below 1.
  /// @return the run time in milliseconds that a run stays below with this
  /// probability.
  double QuantileMs(double probability) const;

  friend bool operator==(const forecast&, const forecast&) = default;
  friend auto operator<=>(const forecast&, const forecast&) = default;
};

/// How long a run has worked.
struct run_progress {
  double elapsed_ms = 0;
  /// Share of the work that is done, as the worker reports it, in percent; 0
  /// if it reports none.
  int percent = 0;

  friend bool operator==(const run_progress&, const run_progress&) = default;
  friend auto operator<=>(const run_progress&, const run_progress&) = default;
};

/// @return the median of the time that the run still takes, in milliseconds,
/// given that it has not ended yet.
double RemainingMs(const forecast& whole, const run_progress& progress);

/// Speed of a worker.
struct worker_pace {
  /// Run times on the worker as a multiple of those elsewhere.
  double factor = 1;
  /// The worker is slower than this with a probability of about 84%.
  double least_factor = 0;

  friend bool operator==(const worker_pace&, const worker_pace&) = default;
  friend auto operator<=>(const worker_pace&, const worker_pace&) = default;
};

/// What a learned step has shown; for logs and metrics.
struct learned_step {
  /// Median of the step's run times, in milliseconds.
  double actual_ms = 0;
  /// What was expected before.
  forecast expected;

  friend bool operator==(const learned_step&, const learned_step&) = default;
};

/// Exponentially weighted moments of the logarithms of declared and actual run
/// times.
struct queue_moments {
  double weight = 0;
  double mean_declared = 0;
  double mean_actual = 0;
  double declared_variance = 0;
  double covariance = 0;
  /// Mean square of the errors of the forecasts.
  double error_variance = 0;
  /// Mean square of the differences between runs of one step.
  double run_variance = 0;

  friend bool operator==(const queue_moments&, const queue_moments&) = default;
  friend auto operator<=>(const queue_moments&, const queue_moments&) = default;
};

/// Mean error of the queue's forecasts for one step number.
struct step_offset {
  double weight = 0;
  double mean = 0;

  friend bool operator==(const step_offset&, const step_offset&) = default;
  friend auto operator<=>(const step_offset&, const step_offset&) = default;
};

/// What the runs on a worker tell of its pace, by the logarithm of the factor.
struct pace_evidence {
  /// Inverse of the variance.
  double precision = 0;
  double mean = 0;
  core::time_point updated_at{};

  friend bool operator==(const pace_evidence&, const pace_evidence&) = default;
  friend auto operator<=>(const pace_evidence&, const pace_evidence&) = default;
};

/// Least squares with exponential forgetting of the actual on the declared run
/// time in the log domain, by queue; Buehlmann credibility for step numbers;
/// normal shrinkage with inverse variances for workers.
class estimator {
 public:
  /// Bounds of the memory. The least recently updated queue or worker is
  /// dropped first; step numbers from kMaxStepsPerQueue on have no offset of
  /// their own.
  static constexpr std::size_t kMaxQueues = 1'024;
  static constexpr std::uint32_t kMaxStepsPerQueue = 16;
  static constexpr std::size_t kMaxWorkers = 4'096;

  /// @return what the step has shown; unset if it has no usable run.
  std::optional<learned_step> Learn(const finished_step& step);
  /// @return the expected run time of a task. Before the first step of its
  /// queue is learned, this is the declared one.
  forecast Forecast(const task_kind& kind) const;
  /// @return the pace of a worker; a factor of 1 if nothing is known of it.
  worker_pace PaceOf(const core::worker_id& worker, core::time_point now) const;

  std::size_t CountQueues() const { return queues_.size(); }
  std::size_t CountWorkers() const { return workers_.size(); }

  friend bool operator==(const estimator&, const estimator&) = default;

 private:
  struct queue_state {
    queue_moments moments;
    std::map<std::uint32_t, step_offset> steps;
    std::uint64_t last_learned = 0;

    friend bool operator==(const queue_state&, const queue_state&) = default;
  };

  void LearnPaces(const finished_step& step, double center, double variance);
  void AddEvidence(const core::worker_id& worker, double difference,
                   double variance, core::time_point now);
  void DropOldestQueue();
  void DropOldestWorker();

  std::map<std::string, queue_state> queues_;
  std::map<core::worker_id, pace_evidence> workers_;
  std::uint64_t learned_steps_ = 0;
};

}  // namespace mangoplank::durations

#endif  // MANGOPLANK_DURATIONS_ESTIMATOR_H_
