#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

class PlannerTest : public DispatcherTest {};

// Guards against overcommitting a worker.
TEST_F(PlannerTest, StaysWithinTheCapacity) {
  AddWorker("w1");
  BeginTerm();
  Submit("a", {Step(3, 3'000)}, queue_);
  Submit("b", {Step(3, 3'000)}, queue_);
  RunFor(seconds(1));
  EXPECT_EQ(workers_.starts.size(), 2u);
  workers_.End({"w1"}, RunOf("a", 0, 1), run_end::kDone);
  RunFor(milliseconds(200));
  EXPECT_EQ(workers_.starts.size(), 3u);
}

// Guards against more tasks of a step on one worker than the step allows, even
// while the first assignments are being recorded.
TEST_F(PlannerTest, RespectsMaxTasksPerWorker) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  workflow::step s = Step(6, 100);
  s.max_per_worker = 2;
  Submit("j", {s}, queue_);
  RunFor(seconds(1));
  EXPECT_EQ(workers_.states[{"w1"}].running.size(), 2u);
  EXPECT_EQ(workers_.states[{"w2"}].running.size(), 2u);
}

// Guards against a gang that starts partially.
TEST_F(PlannerTest, AGangStartsAsAWhole) {
  AddWorker("w1");
  BeginTerm();
  workflow::step gang = Step(2, 5'000);
  gang.gang = true;
  Submit("j", {gang}, queue_);
  RunFor(milliseconds(300));
  EXPECT_TRUE(workers_.starts.empty());
  AddWorker("w2");
  RunFor(milliseconds(300));
  ASSERT_EQ(workers_.starts.size(), 2u);
  EXPECT_EQ(workers_.starts[0].run.number, workers_.starts[1].run.number);
}

// Guards against members of a gang that wait for one whose start was refused
// (found on mzpz-sieradz-grown, quiet-1).
TEST_F(PlannerTest, AGangIsStoppedIfAMemberCannotStart) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  int refusals = 1;
  workers_.on_start = [&](const worker_target& to,
                          const start_order& order) -> order_result {
    if (order.run.task.index == 1 && refusals-- > 0) {
      return order_refused{refusal::kInvalidTicket};
    }
    workers_.states[to.key.id].running[order.run] = "";
    return order_done{workers_.ClockMs()};
  };
  workflow::step gang = Step(2, 5'000);
  gang.gang = true;
  Submit("j", {gang}, queue_);
  RunFor(milliseconds(500));
  ASSERT_EQ(workers_.stops.size(), 1u);
  EXPECT_EQ(workers_.stops[0].run, RunOf("j", 0, 1));
  EXPECT_EQ(CountStarts("j"), 4u);
}

// Guards against using up a task's attempts on a worker that fails all of its
// runs.
TEST_F(PlannerTest, AFailedTaskIsRetriedOnAnotherWorker) {
  AddWorker("w1", 1, 8'000);
  AddWorker("w2", 1, 16'000);
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_TRUE(workers_.states[{"w1"}].running.contains(RunOf("j", 0, 1)));
  workers_.End({"w1"}, RunOf("j", 0, 1), run_end::kFailed);
  RunFor(milliseconds(200));
  EXPECT_TRUE(workers_.states[{"w2"}].running.contains(RunOf("j", 0, 2)));
}

class FailedTaskTest : public DispatcherTest {
 protected:
  workflow::worker_key AddLabelled(const std::string& id,
                                   const std::string& label) {
    workflow::worker worker;
    worker.key = {{id}, 1};
    worker.pool = "pool";
    worker.capacity = {8'000, 100'000, 0};
    worker.labels = {label};
    event_log_.Apply(workflow::worker_announced{worker});
    return worker.key;
  }
  void FailOn(const std::string& worker, const workflow::run_id& run) {
    ASSERT_TRUE(workers_.states[{worker}].running.contains(run));
    workers_.End({worker}, run, run_end::kFailed);
  }
};

// Guards against a task that is never tried again because workers that lack its
// label count as others that could run it.
TEST_F(FailedTaskTest, IsRetriedOnTheOnlyWorkerWithItsLabel) {
  AddLabelled("w1", "b");
  AddLabelled("w2", "a");
  AddLabelled("w3", "a");
  BeginTerm();
  workflow::step s = Step(1, 1'000);
  s.required_label = "b";
  Submit("j", {s}, queue_);
  RunWithHeartbeats(milliseconds(500));
  FailOn("w1", RunOf("j", 0, 1));
  // A worker that fails all tasks at once must not use up the attempts.
  RunWithHeartbeats(milliseconds(1'500));
  EXPECT_EQ(CountStarts("j"), 1u);
  RunWithHeartbeats(milliseconds(1'000));
  EXPECT_EQ(CountStarts("j"), 2u);
}

// Guards against the same for workers that have as many tasks of the step as it
// allows.
TEST_F(FailedTaskTest, IsRetriedIfTheOthersHaveAllTasksThatTheStepAllows) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  workflow::step s = Step(2, 1'000);
  s.max_per_worker = 1;
  Submit("j", {s}, queue_);
  RunWithHeartbeats(milliseconds(500));
  ASSERT_EQ(CountStarts("j"), 2u);
  const auto run = workers_.states[{"w2"}].running.begin()->first;
  FailOn("w2", run);
  RunWithHeartbeats(milliseconds(2'500));
  EXPECT_EQ(CountStarts("j"), 3u);
}

// Guards against the same for a gang: the other workers can't hold all of it.
TEST_F(FailedTaskTest, AGangIsRetriedIfTheOthersCannotHoldAllOfIt) {
  AddWorker("w1");
  AddWorker("w2");
  AddWorker("w3", 1, 1'000);
  BeginTerm();
  workflow::step gang = Step(2, 5'000);
  gang.gang = true;
  Submit("j", {gang}, queue_);
  RunWithHeartbeats(milliseconds(500));
  ASSERT_EQ(CountStarts("j"), 2u);
  const auto failed = workers_.states[{"w1"}].running.begin()->first;
  const auto broken = workers_.states[{"w2"}].running.begin()->first;
  FailOn("w1", failed);
  workers_.End({"w2"}, broken, run_end::kGangMemberEnded);
  RunWithHeartbeats(milliseconds(2'500));
  EXPECT_EQ(CountStarts("j"), 4u);
}

// Guards against members of one run of a gang that use up all of its attempts
// (review/8): on several workers that fail all tasks, reported one after the
// other, with a change of leader in between, and one of them after the next run
// was ordered.
TEST_F(FailedTaskTest, AGangOnSeveralFailingWorkersUsesOneAttempt) {
  for (int i = 1; i <= 6; ++i) AddWorker("w" + std::to_string(i));
  BeginTerm();
  workflow::step gang = Step(6, 4'000);
  gang.gang = true;
  Submit("j", {gang}, queue_);
  RunWithHeartbeats(milliseconds(500));
  ASSERT_EQ(CountStarts("j"), 6u);
  std::map<core::worker_id, std::vector<workflow::run_id>> members;
  for (std::uint32_t i = 0; i < 6; ++i) {
    members[WorkerOf(RunOf("j", i, 1))].push_back(RunOf("j", i, 1));
  }
  ASSERT_EQ(members.size(), 3u);
  const core::worker_id late = members.rbegin()->first;
  Mute(late);
  for (const auto& [worker, runs] : members) {
    if (worker == late) continue;
    for (const workflow::run_id& run : runs) FailOn(worker.v, run);
    RunWithHeartbeats(milliseconds(200));
    dispatcher_->Stop();
    BeginTerm();
  }
  // The runs of the worker that doesn't answer end with their lease.
  RunWithHeartbeats(seconds(16));
  ASSERT_EQ(CountStarts("j"), 12u);
  for (const workflow::run_id& run : members[late]) FailOn(late.v, run);
  workers_.silent.clear();
  RunWithHeartbeats(seconds(1));
  ASSERT_FALSE(IsFinal(Phase("j")));
  workers_.End(WorkerOf(RunOf("j", 0, 2)), RunOf("j", 0, 2), run_end::kDone);
  RunWithHeartbeats(seconds(1));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
}

// Guards against a task that waits for as long as the other workers are full,
// which may be for good.
TEST_F(FailedTaskTest, IsRetriedWhileTheOthersStayFull) {
  AddLabelled("w1", "b");
  AddLabelled("w2", "b");
  AddLabelled("w3", "a");
  BeginTerm();
  workflow::step s = Step(1, 8'000);
  s.required_label = "b";
  Submit("j", {s}, queue_);
  Submit("k", {s}, queue_);
  RunWithHeartbeats(milliseconds(500));
  const bool is_on_first =
      workers_.states[{"w1"}].running.contains(RunOf("j", 0, 1));
  FailOn(is_on_first ? "w1" : "w2", RunOf("j", 0, 1));
  RunWithHeartbeats(seconds(5));
  EXPECT_EQ(CountStarts("j"), 1u);
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("j"), 2u);
}

// Guards against the same for a step with tickets, of which the failed worker
// has one and another one that is full.
TEST_F(FailedTaskTest, IsRetriedWhileTheOthersWithTicketsStayFull) {
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  eligibility_.eligible = {{"w1"}, {"w2"}};
  AddWorker("w1");
  AddWorker("w2");
  AddWorker("w3");
  BeginTerm();
  Submit("j", {Step(1, 8'000)}, queue_);
  Submit("k", {Step(1, 8'000)}, queue_);
  RunWithHeartbeats(seconds(2));
  ASSERT_EQ(CountStarts("j"), 1u);
  ASSERT_EQ(CountStarts("k"), 1u);
  FailOn(WorkerOf(RunOf("j", 0, 1)).v, RunOf("j", 0, 1));
  RunWithHeartbeats(seconds(7));
  EXPECT_EQ(CountStarts("j"), 2u);
}

// Guards against placing jobs on a worker that fails all of its runs.
TEST_F(PlannerTest, AWorkerThatFailsSeveralJobsIsQuarantined) {
  AddWorker("w1", 1, 8'000);
  AddWorker("w2", 1, 16'000);
  BeginTerm();
  for (const char* job : {"a", "b"}) {
    Submit(job, {Step(1, 1'000)}, queue_);
    RunFor(milliseconds(100));
    ASSERT_TRUE(workers_.states[{"w1"}].running.contains(RunOf(job, 0, 1)));
    workers_.End({"w1"}, RunOf(job, 0, 1), run_end::kFailed);
    RunFor(milliseconds(100));
  }
  Submit("c", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  EXPECT_TRUE(workers_.states[{"w2"}].running.contains(RunOf("c", 0, 1)));
}

// Guards against starvation of a gang by smaller tasks of a less urgent queue:
// resumable ones are preempted, and resume later from their checkpoints.
TEST_F(PlannerTest, AGangPreemptsResumableTasksOfALessUrgentQueue) {
  AddWorker("w1");
  queue_.priority = 2;
  urgent_ = queue_;
  urgent_.name = "urgent";
  urgent_.path_prefix = "/urgent/";
  urgent_.priority = 1;
  BeginTerm();
  workflow::step small = Step(4, 2'000);
  small.checkpointing = true;
  Submit("small", {small}, queue_);
  RunFor(milliseconds(200));
  ASSERT_EQ(CountStarts("small"), 4u);
  workflow::step gang = Step(2, 3'000);
  gang.gang = true;
  Submit("gang", {gang}, urgent_);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountStarts("gang"), 2u);
  EXPECT_EQ(workers_.stops.size(), 3u);
  workers_.End({"w1"}, RunOf("gang", 0, 1), run_end::kDone);
  workers_.states[{"w1"}].running.erase(RunOf("gang", 1, 1));
  RunFor(milliseconds(300));
  EXPECT_EQ(CountStarts("small"), 7u);
  EXPECT_EQ(workers_.starts.back().checkpoint, "saved");
}

// Guards against a change between two rounds that waits for the next timer: a
// start would be 100 ms late.
TEST_F(PlannerTest, AChangeBetweenRoundsStartsARound) {
  AddWorker("w1");
  BeginTerm();
  Submit("a", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(1));
  Submit("b", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(30));
  EXPECT_EQ(workers_.starts.size(), 2u);
}

// Guards against starvation of other jobs by the reservation of a gang that
// does not fit on all of its workers together.
TEST_F(PlannerTest, AGangThatCanNeverFitReservesNothing) {
  AddWorker("w1");
  BeginTerm();
  workflow::step gang = Step(3, 5'000);
  gang.gang = true;
  Submit("gang", {gang}, queue_);
  RunFor(milliseconds(100));
  Submit("small", {Step(2, 1'000)}, queue_);
  RunFor(milliseconds(200));
  EXPECT_EQ(CountStarts("gang"), 0u);
  EXPECT_EQ(CountStarts("small"), 2u);
}

// Guards against preemption for a job that is not more urgent.
TEST_F(PlannerTest, NoPreemptionAtTheSamePriority) {
  AddWorker("w1");
  BeginTerm();
  workflow::step small = Step(4, 2'000);
  small.checkpointing = true;
  Submit("small", {small}, queue_);
  RunFor(milliseconds(200));
  workflow::step gang = Step(2, 3'000);
  gang.gang = true;
  Submit("gang", {gang}, queue_);
  RunFor(milliseconds(300));
  EXPECT_TRUE(workers_.stops.empty());
}

}  // namespace
}  // namespace mangoplank::dispatch
