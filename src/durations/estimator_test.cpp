#include "mangoplank/durations/estimator.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <numbers>
#include <random>

#include "mangoplank/durations/accuracy.h"

namespace mangoplank::durations {
namespace {

using std::chrono::milliseconds;

/// Draws that are the same with every standard library.
class draws {
 public:
  explicit draws(std::uint32_t seed) : engine_(seed) {}

  double Uniform() { return (engine_() + 0.5) / 4294967296.0; }
  double Normal() {
    return std::sqrt(-2 * std::log(Uniform())) *
           std::cos(2 * std::numbers::pi * Uniform());
  }
  double LogNormal(double median, double deviation) {
    return median * std::exp(deviation * Normal());
  }

 private:
  std::mt19937 engine_;
};

/// The rule before: the geometric mean of the declared time and an
/// exponentially weighted mean of the queue's run times.
class plain_mean {
 public:
  double Expect(double declared_ms) const {
    if (mean_ms_ <= 0) return declared_ms;
    return declared_ms <= 0 ? mean_ms_ : std::sqrt(mean_ms_ * declared_ms);
  }
  void Learn(double run_ms) {
    mean_ms_ += (mean_ms_ <= 0 ? 1 : kWeight) * (run_ms - mean_ms_);
  }

 private:
  static constexpr double kWeight = 0.05;
  double mean_ms_ = 0;
};

struct sample {
  double actual_ms = 0;
  double declared_ms = 0;
  std::uint32_t step = 0;
};

/// Mean absolute errors in the log domain.
struct errors {
  double forecast = 0;
  double declared = 0;
  double plain_mean = 0;
  double in_range = 0;
};

/// Learns a series of steps, and measures the errors after the first ones.
errors Measure(std::size_t count, std::size_t skipped,
               const std::function<sample(std::size_t)>& draw) {
  estimator learned;
  plain_mean mean;
  errors sum;
  for (std::size_t i = 0; i < count; ++i) {
    const sample next = draw(i);
    const task_kind kind{"queue", next.step, next.declared_ms};
    const forecast expected = learned.Forecast(kind);
    if (i >= skipped) {
      sum.forecast += LogError(expected.median_ms, next.actual_ms);
      sum.declared += LogError(next.declared_ms, next.actual_ms);
      sum.plain_mean += LogError(mean.Expect(next.declared_ms), next.actual_ms);
      const bool in_range = next.actual_ms >= expected.QuantileMs(0.1) &&
                            next.actual_ms <= expected.QuantileMs(0.9);
      sum.in_range += in_range ? 1 : 0;
    }
    learned.Learn({kind, {{next.actual_ms, {}}}, {}});
    mean.Learn(next.actual_ms);
  }
  const auto measured = static_cast<double>(count - skipped);
  return {sum.forecast / measured, sum.declared / measured,
          sum.plain_mean / measured, sum.in_range / measured};
}

void Print(const char* series, const errors& e) {
  std::printf(
      "error %-12s forecast %.3f declared %.3f mean %.3f in_range %.2f\n",
      series, e.forecast, e.declared, e.plain_mean, e.in_range);
}

/// Deviation of the logarithm of run times between steps of a queue.
constexpr double kRunDeviation = 0.47;
constexpr std::size_t kSteps = 2'000;
constexpr std::size_t kWarmUp = 100;
/// What a series may cost against the better one of two simple rules.
constexpr double kTolerance = 1.05;

/// Deviation of the logarithm of the callers' estimates.
class EstimateErrorTest : public testing::TestWithParam<double> {};

// Guards against forecasts that are worse than the callers' estimates where
// these are good, or than the plain mean where these are far off.
TEST_P(EstimateErrorTest, IsAsGoodAsTheBetterSource) {
  draws random(7);
  const errors e = Measure(kSteps, kWarmUp, [&](std::size_t) {
    const double actual = random.LogNormal(2'000, kRunDeviation);
    return sample{actual, random.LogNormal(actual, GetParam()), 0};
  });
  Print(("spread_" + std::to_string(GetParam()).substr(0, 3)).c_str(), e);
  EXPECT_LE(e.forecast, e.declared * kTolerance);
  EXPECT_LE(e.forecast, e.plain_mean * kTolerance);
  // 80% are meant to lie between the two quantiles.
  EXPECT_GE(e.in_range, 0.7);
  EXPECT_LE(e.in_range, 0.9);
}

INSTANTIATE_TEST_SUITE_P(Deviations, EstimateErrorTest,
                         testing::Values(0.2, 0.4, 0.9, 2.0),
                         [](const auto& param) {
                           return "Percent" + std::to_string(std::lround(
                                                  100 * param.param));
                         });

// Guards against a queue whose callers all estimate too low or too high.
TEST(EstimatorTest, LearnsTheBiasOfEstimates) {
  draws random(8);
  const errors e = Measure(kSteps, kWarmUp, [&](std::size_t) {
    const double actual = random.LogNormal(2'000, kRunDeviation);
    return sample{actual, random.LogNormal(actual / 10, 0.2), 0};
  });
  Print("bias", e);
  EXPECT_LE(e.forecast, 0.25);
}

// Guards against a cold estimator that invents a time.
TEST(EstimatorTest, StartsWithTheDeclaredTime) {
  const estimator cold;
  EXPECT_EQ(cold.Forecast({"queue", 0, 1'234}).median_ms, 1'234);
  EXPECT_EQ(cold.Forecast({"queue", 0, 0}).median_ms, 0);
  EXPECT_EQ(cold.Forecast({"queue", 0, -5}).median_ms, 0);
  EXPECT_EQ(cold.PaceOf({"worker"}, {}), worker_pace{});
}

// Guards against a new leader that needs minutes to learn: ten steps suffice to
// beat estimates that are far off.
TEST(EstimatorTest, TenSamplesBeatFarEstimates) {
  errors sum;
  for (std::uint32_t seed = 0; seed < 200; ++seed) {
    draws random(seed);
    const errors e = Measure(11, 10, [&](std::size_t) {
      const double actual = random.LogNormal(2'000, kRunDeviation);
      return sample{actual, random.LogNormal(actual, 0.9), 0};
    });
    sum.forecast += e.forecast / 200;
    sum.declared += e.declared / 200;
    sum.plain_mean += e.plain_mean / 200;
    sum.in_range += e.in_range / 200;
  }
  Print("ten_samples", sum);
  EXPECT_LE(sum.forecast, 0.75 * sum.declared);
}

// Guards against a forecast that holds on to what was learned after a change of
// the program that the tasks run.
TEST(EstimatorTest, FollowsAShift) {
  draws random(9);
  const errors e = Measure(600, 400, [&](std::size_t i) {
    const double actual = random.LogNormal(i < 200 ? 1'000 : 4'000, 0.3);
    return sample{actual, random.LogNormal(1'500, 0.5), 0};
  });
  Print("shift", e);
  EXPECT_LE(e.forecast, 0.3);
}

// Guards against one mean for two kinds of jobs in one queue, which the
// estimates tell apart.
TEST(EstimatorTest, EstimatesTellAMixtureApart) {
  draws random(10);
  const errors e = Measure(kSteps, kWarmUp, [&](std::size_t) {
    const double median = random.Uniform() < 0.5 ? 300 : 6'000;
    const double actual = random.LogNormal(median, 0.2);
    return sample{actual, random.LogNormal(median, 0.3), 0};
  });
  Print("mixture", e);
  EXPECT_LE(e.forecast, e.plain_mean);
  EXPECT_LE(e.forecast, e.declared * kTolerance);
}

// Guards against one figure for the steps of a job that differ.
TEST(EstimatorTest, LearnsBySteps) {
  draws random(11);
  const errors e = Measure(kSteps, kWarmUp, [&](std::size_t i) {
    const auto step = static_cast<std::uint32_t>(i % 2);
    const double actual = random.LogNormal(step == 0 ? 500 : 5'000, 0.2);
    return sample{actual, 0, step};
  });
  Print("steps", e);
  EXPECT_LE(e.forecast, 0.3);
}

// Guards against callers who spoil the forecasts of a queue by estimates that
// are 100 times off, zero, negative or huge, while most are good.
TEST(EstimatorTest, BearsAdversarialEstimates) {
  draws random(12);
  const errors e = Measure(kSteps, kWarmUp, [&](std::size_t i) {
    const double actual = random.LogNormal(2'000, kRunDeviation);
    const double bad[] = {actual * 100, actual / 100, 0, -1e18, 1e300};
    const double declared =
        i % 4 == 0 ? bad[i / 4 % 5] : random.LogNormal(actual, 0.2);
    return sample{actual, declared, 0};
  });
  Print("adversarial", e);
  // Without any estimate, the mean absolute error would be that of the run
  // times: 0.8 standard deviations.
  EXPECT_LE(e.forecast, 0.8 * kRunDeviation);
}

// Guards against numbers that are none: they must not get into what is learned.
TEST(EstimatorTest, IgnoresRunTimesThatAreNone) {
  estimator learned;
  constexpr double kInfinity = std::numeric_limits<double>::infinity();
  for (const double bad : {0.0, -1.0, std::nan(""), kInfinity}) {
    EXPECT_FALSE(learned.Learn({{"queue", 0, 100}, {{bad, {}}}, {}}));
  }
  EXPECT_EQ(learned, estimator());
  learned.Learn({{"queue", 0, std::nan("")}, {{1e300, {}}}, {}});
  EXPECT_TRUE(std::isfinite(learned.Forecast({"queue", 0, 1}).median_ms));
}

/// Learns steps of `tasks` tasks on workers in turn.
/// @param factor of run times on a worker.
core::time_point LearnOnWorkers(estimator& learned, draws& random, int steps,
                                const std::function<double(int)>& factor) {
  constexpr int kTasks = 5;
  constexpr int kWorkers = 50;
  core::time_point now{};
  int worker = 0;
  for (int i = 0; i < steps; ++i) {
    finished_step step{{"queue", 0, 1'000}, {}, now += milliseconds(20)};
    const double median = random.LogNormal(1'000, kRunDeviation);
    for (int task = 0; task < kTasks; ++task) {
      const int id = worker++ % kWorkers;
      step.runs.push_back({random.LogNormal(median, 0.15) * factor(id),
                           core::worker_id{std::to_string(id)}});
    }
    learned.Learn(step);
  }
  return now;
}

// Guards against slow workers that are not found after a few runs, sound ones
// that are taken for slow, and a slow one that never gets tasks again.
TEST(EstimatorTest, FindsSlowWorkersAndForgets) {
  estimator learned;
  draws random(13);
  const core::time_point now = LearnOnWorkers(
      learned, random, 40, [](int id) { return id % 10 == 0 ? 2.5 : 1.0; });
  for (int id = 0; id < 50; ++id) {
    const worker_pace pace = learned.PaceOf({std::to_string(id)}, now);
    EXPECT_EQ(pace.least_factor > 1.4, id % 10 == 0) << id << pace.factor;
  }
  const auto later = now + std::chrono::seconds(60);
  EXPECT_LT(learned.PaceOf({"0"}, later).factor, 1.2);
}

// Guards against memory that grows with the queues, steps and workers that come
// and go.
TEST(EstimatorTest, IsBoundedInMemory) {
  estimator learned;
  for (int i = 0; i < 10'000; ++i) {
    const std::string name = std::to_string(i);
    const core::time_point now{milliseconds(i)};
    const auto number = static_cast<std::uint32_t>(i);
    learned.Learn({{name, number, 100}, {{200, {{name}}}, {100, {}}}, now});
  }
  EXPECT_EQ(learned.CountQueues(), estimator::kMaxQueues);
  EXPECT_EQ(learned.CountWorkers(), estimator::kMaxWorkers);
  // The last ones are known.
  EXPECT_GT(learned.PaceOf({"9999"}, core::time_point{milliseconds(10'000)}),
            worker_pace{});
}

// Guards against remaining times that are negative, not finite, or shrink to
// nothing for a run that takes longer than expected.
TEST(RemainingTest, IsPositiveForRunsThatTakeLong) {
  const forecast expected{1'000, 0.4};
  EXPECT_NEAR(RemainingMs(expected, {0, 0}), 1'000, 1);
  EXPECT_NEAR(RemainingMs(expected, {900, 90}), 100, 60);
  EXPECT_NEAR(RemainingMs(expected, {5'000, 50}), 5'000, 2'000);
  for (const double elapsed : {0.0, 1e3, 1e4, 1e6, 1e12}) {
    const double remaining = RemainingMs(expected, {elapsed, 0});
    EXPECT_TRUE(std::isfinite(remaining));
    EXPECT_GT(remaining, 0) << elapsed;
  }
  EXPECT_EQ(RemainingMs({0, 0.5}, {100, 0}), 0);
}

}  // namespace
}  // namespace mangoplank::durations
