#include "dispatch/dispatcher_fixture.h"
#include "mangoplank/workflow/limits.h"

/// Values at the bounds of what front ends accept.
namespace mangoplank::dispatch {
namespace {

using workflow::kMaxAmount;
using workflow::kMaxDurationMs;
using workflow::kMaxTimeMs;

class BoundsTest : public DispatcherTest {
 protected:
  void AddLargestWorker(const std::string& id) {
    workflow::worker worker;
    worker.key = {{id}, kMaxTimeMs};
    worker.pool = "pool";
    worker.capacity = {kMaxAmount, kMaxAmount, kMaxAmount};
    event_log_.Apply(workflow::worker_announced{worker});
    eligibility_.eligible.insert({id});
  }

  /// A queue whose numbers are the largest.
  static workflow::queue MakeLargestQueue(const workflow::queue& queue) {
    workflow::queue largest = queue;
    largest.timeout_ms = kMaxDurationMs;
    largest.target_latency_ms = kMaxDurationMs;
    largest.stretch_factor = workflow::kMaxStretchFactor;
    largest.max_attempts = INT32_MAX;
    const auto duration = static_cast<double>(kMaxDurationMs);
    largest.eligibility =
        workflow::eligibility_policy{duration, duration, kMaxDurationMs};
    return largest;
  }

  static workflow::step LargestStep(std::uint32_t count) {
    workflow::step step;
    step.count = count;
    step.need = {kMaxAmount, kMaxAmount, kMaxAmount};
    step.estimate_ms = kMaxDurationMs;
    return step;
  }
};

// Guards against sums over a pool, ranks and times of checks that overflow.
TEST_F(BoundsTest, TheLargestValuesArePlaced) {
  queue_ = MakeLargestQueue(queue_);
  BeginTerm();
  for (int i = 0; i < 20; ++i) AddLargestWorker("w" + std::to_string(i));
  RunFor(milliseconds(100));
  workflow::step gang = LargestStep(20);
  gang.gang = true;
  Submit("tasks", {LargestStep(10'000)}, queue_);
  Submit("gang", {gang}, queue_);
  Submit("second-gang", {gang, LargestStep(1)}, queue_);
  RunFor(seconds(2));
  EXPECT_EQ(workers_.starts.size(), 20u);
}

// Guards against due times that overflow.
TEST_F(BoundsTest, TheLatestOccurrencesAreNotDue) {
  BeginTerm();
  AddWorker("w");
  workflow::job_spec spec;
  spec.id = "late";
  spec.steps = {Step(1, 1)};
  spec.repeat_count = 10'000;
  spec.first_at = 0;
  spec.interval_ms = kMaxDurationMs;
  event_log_.Apply(workflow::job_accepted{spec, queue_, clock_.WallNow()});
  spec.id = "later";
  spec.first_at = kMaxTimeMs;
  event_log_.Apply(workflow::job_accepted{spec, queue_, clock_.WallNow()});
  RunFor(seconds(1));
  EXPECT_EQ(CountStarts("later"), 0u);
  EXPECT_GE(CountStarts("late"), 1u);
}

// Guards against leases that overflow the clock of a worker.
TEST_F(BoundsTest, TheLatestClockGetsALease) {
  BeginTerm();
  AddWorker("w");
  RunFor(milliseconds(100));
  dispatcher_->OnHeartbeat({{"w"}, 1}, kMaxTimeMs);
  Submit("j", {Step(1, 1)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(workers_.starts.size(), 1u);
  EXPECT_GT(workers_.starts[0].lease_until_ms, 0);
}

// Guards against a reading of the clock, from a report of another writer, that
// all later readings are compared with: each start counted as unconfirmed.
TEST_F(BoundsTest, AnAnswerCorrectsTheClock) {
  BeginTerm();
  AddWorker("w");
  RunFor(milliseconds(100));
  dispatcher_->OnHeartbeat({{"w"}, 1}, kMaxTimeMs);
  Submit("first", {Step(1, 1)}, queue_);
  RunFor(seconds(3));
  Submit("second", {Step(1, 1)}, queue_);
  RunFor(milliseconds(200));
  EXPECT_EQ(Phase("second"), workflow::job_phase::kRunning);
  ASSERT_EQ(CountStarts("second"), 1u);
  const std::int64_t lease_ms =
      workers_.starts.back().lease_until_ms - workers_.ClockMs();
  EXPECT_GT(lease_ms, 0);
  EXPECT_LE(lease_ms, 6'000);
}

}  // namespace
}  // namespace mangoplank::dispatch
