#include "mangoplank/durations/estimator.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace mangoplank::durations {

namespace {

/// Run times and estimates outside these bounds, in milliseconds, count as the
/// bound, so that no logarithm overflows.
constexpr double kMinMs = 1;
constexpr double kMaxMs = 1e9;
/// Steps after which the weight of a learned one has fallen by a factor of e.
constexpr double kMemorySteps = 60;
/// Steps' worth of evidence that the declared time is right.
constexpr double kDeclaredWeight = 1;
/// Steps' worth of evidence, and the standard deviation of the logarithm that
/// it assumes, for a slope of 1 and for the errors of forecasts.
constexpr double kPriorWeight = 3;
constexpr double kPriorDeviation = 0.5;
/// Credibility of a step number: the steps after which its own mean error
/// counts as much as that of the queue.
constexpr double kStepCredibility = 5;
/// Standard deviation of the logarithm of the runs of one step, before any is
/// known, and its weight in steps.
constexpr double kPriorRunDeviation = 0.4;
constexpr double kPriorRunWeight = 5;
/// Standard deviation of a normal distribution as a multiple of its median
/// absolute difference.
constexpr double kNormalDeviations = 1.4826;
/// Differences beyond this multiple of the standard deviation are clipped.
constexpr double kClip = 3;
/// Least standard deviation that is assumed.
constexpr double kMinDeviation = 0.1;
/// Standard deviation of the logarithms of the workers' factors.
constexpr double kPaceDeviation = 0.3;
/// Time in which the evidence of a worker's pace loses half of its weight: one
/// that is avoided is tried again.
constexpr double kPaceHalfLifeS = 10;
/// Standard deviation of the logarithm of a run time that is extrapolated from
/// the progress of a run that has just begun; it falls to the least one.
constexpr double kProgressDeviation = 0.3;
/// A run below this percentage does not show its pace.
constexpr int kMinPercent = 5;

double LogOf(double ms) { return std::log(std::clamp(ms, kMinMs, kMaxMs)); }

/// @return whether the value is a number above zero.
bool IsPositive(double value) { return std::isfinite(value) && value > 0; }

double Square(double value) { return value * value; }

double Clip(double value, double deviation) {
  const double bound = kClip * std::max(deviation, kMinDeviation);
  return std::clamp(value, -bound, bound);
}

/// @return a variance that is shrunk to its prior.
double Shrink(double variance, double weight, double prior_deviation,
              double prior_weight) {
  return (weight * variance + prior_weight * Square(prior_deviation)) /
         (weight + prior_weight);
}

double ErrorDeviation(const queue_moments& queue) {
  return std::sqrt(Shrink(queue.error_variance, queue.weight, kPriorDeviation,
                          kPriorWeight));
}

/// @return the logarithm of the declared time, without what lies far outside
/// the estimates of the queue; its mean if the caller gives none.
double DeclaredLog(const queue_moments& queue, double declared_ms) {
  if (!IsPositive(declared_ms)) return queue.mean_declared;
  const double declared = LogOf(declared_ms);
  if (queue.weight <= 0) return declared;
  const double deviation = std::sqrt(Shrink(
      queue.declared_variance, queue.weight, kPriorDeviation, kPriorWeight));
  return queue.mean_declared + Clip(declared - queue.mean_declared, deviation);
}

/// @return how much of a difference between estimates is a difference between
/// run times: 1 if the estimates of the queue are exact, 0 if they tell
/// nothing.
double Slope(const queue_moments& queue) {
  const double prior = kPriorWeight * Square(kPriorDeviation);
  const double slope = (queue.weight * queue.covariance + prior) /
                       (queue.weight * queue.declared_variance + prior);
  return std::clamp(slope, 0.0, 1.0);
}

/// @return the expected logarithm of the run time by queue alone.
double QueueMean(const queue_moments& queue, double declared) {
  const double regression =
      queue.mean_actual + Slope(queue) * (declared - queue.mean_declared);
  const double credibility = queue.weight / (queue.weight + kDeclaredWeight);
  return credibility * regression + (1 - credibility) * declared;
}

double StepOffset(const std::map<std::uint32_t, step_offset>& steps,
                  std::uint32_t step) {
  const auto it = steps.find(step);
  if (it == steps.end()) return 0;
  return it->second.mean * it->second.weight /
         (it->second.weight + kStepCredibility);
}

/// @return the moments after one more step.
queue_moments Add(queue_moments queue, double declared, double actual,
                  double error, double run_variance) {
  queue.weight = queue.weight * std::exp(-1 / kMemorySteps) + 1;
  const double share = 1 / queue.weight;
  const double from_declared = declared - queue.mean_declared;
  const double from_actual = actual - queue.mean_actual;
  queue.mean_declared += share * from_declared;
  queue.mean_actual += share * from_actual;
  const auto update = [share](double& moment, double product) {
    moment = (1 - share) * (moment + share * product);
  };
  update(queue.declared_variance, Square(from_declared));
  update(queue.covariance, from_declared * from_actual);
  queue.error_variance += share * (Square(error) - queue.error_variance);
  queue.run_variance += share * (run_variance - queue.run_variance);
  return queue;
}

step_offset Add(step_offset step, double error) {
  step.weight = step.weight * std::exp(-1 / kMemorySteps) + 1;
  step.mean += (error - step.mean) / step.weight;
  return step;
}

/// @return the logarithms of the usable run times, in order.
std::vector<double> LogsOf(const std::vector<whole_run>& runs) {
  std::vector<double> logs;
  for (const whole_run& run : runs) {
    if (IsPositive(run.run_ms)) logs.push_back(LogOf(run.run_ms));
  }
  std::sort(logs.begin(), logs.end());
  return logs;
}

double MedianOf(const std::vector<double>& sorted) {
  const std::size_t half = sorted.size() / 2;
  return sorted.size() % 2 == 1 ? sorted[half]
                                : (sorted[half - 1] + sorted[half]) / 2;
}

/// @return the variance that the median absolute difference from the center
/// stands for, so that some slow workers don't hide each other.
double RunVariance(const std::vector<double>& logs, double center,
                   double deviation) {
  if (logs.size() < 2) return Square(deviation);
  std::vector<double> differences;
  for (const double log : logs) differences.push_back(std::abs(log - center));
  std::sort(differences.begin(), differences.end());
  return Square(kNormalDeviations * MedianOf(differences));
}

/// @return the evidence with the weight that is left of it.
pace_evidence Age(pace_evidence evidence, core::time_point now) {
  const double age_s =
      std::chrono::duration<double>(now - evidence.updated_at).count();
  evidence.precision *= std::exp2(-std::max(0.0, age_s) / kPaceHalfLifeS);
  evidence.updated_at = now;
  return evidence;
}

/// @return the scale of a logistic distribution.
double ScaleOf(double deviation) {
  return std::max(deviation, 1e-3) * std::numbers::sqrt3 / std::numbers::pi;
}

}  // namespace

double forecast::QuantileMs(double probability) const {
  const double odds = probability / (1 - probability);
  return median_ms * std::pow(odds, ScaleOf(log_deviation));
}

double RemainingMs(const forecast& whole, const run_progress& progress) {
  const double elapsed = std::max(0.0, progress.elapsed_ms);
  // The run has survived `elapsed`: half of what is left of the distribution
  // ends by this time.
  const double scale = ScaleOf(whole.log_deviation);
  const double ratio = elapsed / std::max(whole.median_ms, kMinMs);
  // The power may be infinite for a small deviation.
  const double odds = std::pow(std::min(ratio, kMaxMs), 1 / scale);
  const double end = std::isfinite(2 * odds)
                         ? whole.median_ms * std::pow(1 + 2 * odds, scale)
                         : elapsed * std::pow(2, scale);
  if (progress.percent < kMinPercent) return std::max(0.0, end - elapsed);
  const double done = std::min(progress.percent, 100) / 100.0;
  const double end_by_progress = elapsed / done;
  if (end <= 0) return end_by_progress - elapsed;
  const double precision =
      1 / Square(std::max(kProgressDeviation * (1 - done), kMinDeviation));
  const double weight =
      precision / (precision + 1 / Square(whole.log_deviation));
  const double log_end =
      weight * LogOf(end_by_progress) + (1 - weight) * LogOf(end);
  return std::max(0.0, std::exp(log_end) - elapsed);
}

forecast estimator::Forecast(const task_kind& kind) const {
  const auto it = queues_.find(kind.queue);
  if (it == queues_.end()) {
    return {std::clamp(kind.declared_ms, 0.0, kMaxMs), kPriorDeviation};
  }
  const queue_moments& queue = it->second.moments;
  const double mean = QueueMean(queue, DeclaredLog(queue, kind.declared_ms)) +
                      StepOffset(it->second.steps, kind.step);
  return {std::exp(mean), ErrorDeviation(queue)};
}

std::optional<learned_step> estimator::Learn(const finished_step& step) {
  const std::vector<double> logs = LogsOf(step.runs);
  if (logs.empty()) return std::nullopt;
  const double actual = MedianOf(logs);
  const learned_step learned{std::exp(actual), Forecast(step.kind)};
  const bool is_known = queues_.contains(step.kind.queue);
  if (!is_known && queues_.size() >= kMaxQueues) DropOldestQueue();
  queue_state& queue = queues_[step.kind.queue];
  queue_moments& moments = queue.moments;
  // A first step without an estimate says nothing of estimates.
  const double declared = is_known || IsPositive(step.kind.declared_ms)
                              ? DeclaredLog(moments, step.kind.declared_ms)
                              : actual;
  const double base = QueueMean(moments, declared);
  const double deviation = ErrorDeviation(moments);
  const double error = Clip(actual - base, deviation);
  const std::uint32_t number = step.kind.step;
  const double offset = StepOffset(queue.steps, number);
  const double run_deviation =
      std::sqrt(Shrink(moments.run_variance, moments.weight, kPriorRunDeviation,
                       kPriorRunWeight));
  moments = Add(moments, declared, base + error,
                Clip(actual - base - offset, deviation),
                RunVariance(logs, actual, run_deviation));
  if (number < kMaxStepsPerQueue) {
    queue.steps[number] = Add(queue.steps[number], error);
  }
  queue.last_learned = ++learned_steps_;
  if (logs.size() > 1) LearnPaces(step, actual, Square(run_deviation));
  return learned;
}

/// Compares the runs of one step with each other: this is far more exact than a
/// comparison with a forecast.
void estimator::LearnPaces(const finished_step& step, double center,
                           double variance) {
  for (const whole_run& run : step.runs) {
    if (!run.worker || !IsPositive(run.run_ms)) continue;
    AddEvidence(*run.worker, LogOf(run.run_ms) - center, variance,
                step.ended_at);
  }
}

void estimator::AddEvidence(const core::worker_id& worker, double difference,
                            double variance, core::time_point now) {
  auto it = workers_.find(worker);
  if (it == workers_.end()) {
    if (workers_.size() >= kMaxWorkers) DropOldestWorker();
    it = workers_.emplace(worker, pace_evidence{0, 0, now}).first;
  }
  pace_evidence evidence = Age(it->second, now);
  const double precision = 1 / std::max(variance, Square(kMinDeviation));
  evidence.precision += precision;
  evidence.mean +=
      (difference - evidence.mean) * precision / evidence.precision;
  it->second = evidence;
}

worker_pace estimator::PaceOf(const core::worker_id& worker,
                              core::time_point now) const {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return {};
  const pace_evidence evidence = Age(it->second, now);
  const double precision = evidence.precision + 1 / Square(kPaceDeviation);
  const double mean = evidence.mean * evidence.precision / precision;
  return {std::exp(mean), std::exp(mean - 1 / std::sqrt(precision))};
}

void estimator::DropOldestQueue() {
  queues_.erase(std::min_element(
      queues_.begin(), queues_.end(), [](const auto& a, const auto& b) {
        return a.second.last_learned < b.second.last_learned;
      }));
}

void estimator::DropOldestWorker() {
  workers_.erase(std::min_element(
      workers_.begin(), workers_.end(), [](const auto& a, const auto& b) {
        return a.second.updated_at < b.second.updated_at;
      }));
}

}  // namespace mangoplank::durations
