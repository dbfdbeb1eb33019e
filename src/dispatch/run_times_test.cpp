#include <gtest/gtest.h>

#include "dispatch/dispatch_metrics.h"
#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

/// Which runs the leader learns from, and how it uses slow workers.
class RunTimesTest : public DispatcherTest {
 protected:
  std::uint64_t CountLearnedSteps() {
    return dispatch_metrics(registry_).steps_learned.Value();
  }
  void EndRun(const std::string& job, std::uint32_t index,
              std::uint32_t number) {
    const workflow::run_id run = RunOf(job, index, number);
    workers_.End(WorkerOf(run), run, run_end::kDone);
  }
  /// Runs a job of one task for each worker, which takes 3 s on the slow one
  /// and 1 s elsewhere.
  void RunOnAll(const std::string& job, std::uint32_t workers,
                const core::worker_id& slow) {
    Submit(job, {Step(workers, 5'000)}, queue_);
    RunWithHeartbeats(seconds(1));
    std::optional<std::uint32_t> slow_index;
    for (std::uint32_t i = 0; i < workers; ++i) {
      if (WorkerOf(RunOf(job, i, 1)) == slow) {
        slow_index = i;
      } else {
        EndRun(job, i, 1);
      }
    }
    RunWithHeartbeats(seconds(2));
    if (slow_index) EndRun(job, *slow_index, 1);
    RunWithHeartbeats(seconds(2));
  }
  bool RunsOn(const core::worker_id& worker) {
    return !workers_.states[worker].running.empty();
  }
};

// Guards against the time of a part of the work that is learned as that of all
// of it.
TEST_F(RunTimesTest, AResumedRunIsNotLearned) {
  AddWorker("w");
  BeginTerm();
  workflow::step step = Step(1, 1'000);
  step.checkpointing = true;
  Submit("j", {step}, queue_);
  RunWithHeartbeats(seconds(1));
  workers_.End({"w"}, RunOf("j", 0, 1), run_end::kStopped, "half");
  RunWithHeartbeats(seconds(1));
  EndRun("j", 0, 2);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
  EXPECT_EQ(CountLearnedSteps(), 0u);
  Submit("whole", {step}, queue_);
  RunWithHeartbeats(seconds(1));
  EndRun("whole", 0, 1);
  RunWithHeartbeats(seconds(1));
  EXPECT_EQ(CountLearnedSteps(), 1u);
}

// Guards against a new leader that takes the time since it found a run for the
// run's time.
TEST_F(RunTimesTest, ARunOfAnEarlierLeaderIsNotLearned) {
  AddWorker("w");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  dispatcher_->Stop();
  BeginTerm(kTerm + 1);
  RunWithHeartbeats(seconds(1));
  EndRun("j", 0, 1);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
  EXPECT_EQ(CountLearnedSteps(), 0u);
}

// Guards against members of a gang that count their wait for the others as
// work: all but the last one started seconds before.
TEST_F(RunTimesTest, AGangIsLearnedFromItsLastStart) {
  AddWorker("w1", 1, 1'000);
  AddWorker("w2", 1, 1'000);
  BeginTerm();
  workflow::step gang = Step(2, 1'000);
  gang.gang = true;
  Submit("j", {gang}, queue_);
  RunWithHeartbeats(seconds(1));
  for (std::uint32_t i = 0; i < 2; ++i) EndRun("j", i, 1);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
  EXPECT_EQ(CountLearnedSteps(), 1u);
}

// Guards against tasks that are placed on a worker on which they take three
// times as long, and against one that is never used again.
TEST_F(RunTimesTest, ASlowWorkerIsSetAsideForATime) {
  constexpr std::uint32_t kWorkers = 6;
  const core::worker_id slow{"w3"};
  for (std::uint32_t i = 0; i < kWorkers; ++i) {
    AddWorker("w" + std::to_string(i));
  }
  BeginTerm();
  for (const char* job : {"first", "second", "third"}) {
    RunOnAll(job, kWorkers, slow);
  }
  Submit("last", {Step(kWorkers, 5'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  EXPECT_FALSE(RunsOn(slow));
  EXPECT_EQ(CountStarts("last"), kWorkers - 1);
  RunWithHeartbeats(seconds(60));
  EXPECT_TRUE(RunsOn(slow));
}

// Guards against a switch that has no effect: without the feature all workers
// are used.
TEST_F(RunTimesTest, SlowWorkersAreUsedIfSwitchedOff) {
  constexpr std::uint32_t kWorkers = 6;
  const core::worker_id slow{"w3"};
  settings_.avoid_slow_workers = false;
  for (std::uint32_t i = 0; i < kWorkers; ++i) {
    AddWorker("w" + std::to_string(i));
  }
  BeginTerm();
  for (const char* job : {"first", "second", "third"}) {
    RunOnAll(job, kWorkers, slow);
  }
  Submit("last", {Step(kWorkers, 5'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  EXPECT_EQ(CountStarts("last"), kWorkers);
}

}  // namespace
}  // namespace mangoplank::dispatch
