#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

class EligibilityTest : public DispatcherTest {};

// Guards against using tickets and refusals of a worker's previous incarnation,
// which may be of another kind.
TEST_F(EligibilityTest, EligibilityEndsWithTheIncarnation) {
  AddWorker("w1");
  queue_.eligibility = workflow::eligibility_policy{10, 1, 60'000};
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(300));
  EXPECT_TRUE(workers_.starts.empty());
  eligibility_.eligible = {{"w1"}};
  AddWorker("w1", 2);
  RunFor(milliseconds(300));
  EXPECT_EQ(workers_.starts.size(), 1u);
}

// Guards against a ticket of a former incarnation: the call for advice was sent
// before the worker restarted, and answered after that.
TEST_F(EligibilityTest, AnAnswerAboutAFormerIncarnationGivesNoTicket) {
  AddWorker("w1");
  queue_.eligibility = workflow::eligibility_policy{10, 1, 60'000};
  eligibility_.eligible = {{"w1"}};
  eligibility_.clock = &clock_;
  eligibility_.delay = seconds(1);
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(milliseconds(300));
  ASSERT_EQ(eligibility_.checks.size(), 1u);
  AddWorker("w1", 2);
  RunWithHeartbeats(milliseconds(800));
  EXPECT_TRUE(workers_.starts.empty());
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(eligibility_.checks.size(), 2u);
  EXPECT_EQ(workers_.starts.size(), 1u);
}

// Guards against starts on workers that may not run the step, and starts
// without a ticket.
TEST_F(EligibilityTest, StartsOnlyOnEligibleWorkersWithTheirTicket) {
  AddWorker("w1");
  AddWorker("w2");
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  eligibility_.eligible = {{"w2"}};
  BeginTerm();
  Submit("j", {Step(2, 1'000)}, queue_);
  RunFor(milliseconds(200));
  ASSERT_EQ(workers_.starts.size(), 2u);
  EXPECT_TRUE(workers_.states[{"w1"}].running.empty());
  EXPECT_EQ(workers_.starts[0].ticket, "ticket-w2");
}

// Guards against an eligibility check that starts only after the job is
// recorded, and against keeping results for a job that was not recorded.
TEST_F(EligibilityTest, ChecksEligibilityWhileAJobIsRecorded) {
  AddWorker("w1");
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  eligibility_.eligible = {{"w1"}};
  BeginTerm();
  workflow::job_spec spec;
  spec.id = "j";
  spec.steps = {Step(2, 1'000)};
  dispatcher_->Prepare(spec, queue_, {});
  RunFor(milliseconds(50));
  EXPECT_EQ(eligibility_.checks.size(), 1u);
  Submit("j", spec.steps, queue_);
  RunFor(milliseconds(50));
  EXPECT_EQ(workers_.starts.size(), 2u);
  EXPECT_EQ(eligibility_.checks.size(), 1u);
  spec.id = "k";
  dispatcher_->Prepare(spec, queue_, {});
  RunFor(milliseconds(50));
  dispatcher_->DiscardPrepared("k");
  Submit("k", spec.steps, queue_);
  RunFor(milliseconds(50));
  EXPECT_EQ(eligibility_.checks.size(), 3u);
}

// Guards against an endless planning round for a step without resource needs.
TEST_F(EligibilityTest, StepsWithoutResourceNeedsAreStarted) {
  AddWorker("w1");
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  eligibility_.eligible = {{"w1"}};
  BeginTerm();
  workflow::step nothing;
  nothing.count = 3;
  Submit("j", {nothing}, queue_);
  RunFor(milliseconds(200));
  EXPECT_EQ(workers_.starts.size(), 3u);
}

// Guards against starvation of a gang that does not fit on the workers of one
// eligibility check.
TEST_F(EligibilityTest, AWideGangChecksMoreWorkers) {
  for (int i = 0; i < 120; ++i) {
    const std::string id = "w" + std::to_string(i);
    AddWorker(id);
    eligibility_.eligible.insert({id});
  }
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  BeginTerm();
  workflow::step gang = Step(110, 8'000);
  gang.gang = true;
  Submit("j", {gang}, queue_);
  RunFor(seconds(1));
  EXPECT_EQ(workers_.starts.size(), 110u);
}

// Guards against a gang that waits for capacity on the workers that its first
// check found eligible, while other eligible workers are free.
TEST_F(EligibilityTest, AGangChecksOtherWorkersWithFreeCapacity) {
  for (int i = 0; i < 100; ++i) {
    workflow::worker w;
    w.key = {{"a" + std::to_string(i)}, 1};
    w.pool = "pool";
    w.capacity = {16'000, 100'000, 0};
    if (i < 4) {
      w.capacity.cpu_milli = 24'000;
      w.labels = {"x"};
      eligibility_.eligible.insert(w.key.id);
    }
    event_log_.Apply(workflow::worker_announced{w});
  }
  for (const char* id : {"b1", "b2"}) {
    AddWorker(id);
    eligibility_.eligible.insert({id});
  }
  urgent_ = queue_;
  urgent_.name = "urgent";
  urgent_.path_prefix = "/urgent/";
  queue_.eligibility = workflow::eligibility_policy{10, 1, 300};
  BeginTerm();
  workflow::job_spec spec;
  spec.id = "gang";
  spec.steps = {Step(2, 8'000)};
  spec.steps[0].gang = true;
  dispatcher_->Prepare(spec, queue_, {});
  RunFor(milliseconds(400));
  workflow::step filling = Step(12, 8'000);
  filling.required_label = "x";
  Submit("filling", {filling}, urgent_);
  RunFor(milliseconds(100));
  ASSERT_EQ(CountStarts("filling"), 12u);
  Submit("gang", spec.steps, queue_);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountStarts("gang"), 2u);
  // Workers that are known not to be eligible or to be full are not checked
  // again.
  std::set<core::worker_id> checked;
  for (const auto& check : eligibility_.checks) {
    for (const core::worker_id& id : check) {
      EXPECT_TRUE(checked.insert(id).second) << id.v;
    }
  }
}

// Guards against a task that waits for ever because its only eligible workers
// are those on which it has failed: their tickets have to be renewed.
TEST_F(EligibilityTest, AFailedTaskIsCheckedAgainOnItsOnlyWorker) {
  AddWorker("w1");
  AddWorker("w2");
  queue_.eligibility = workflow::eligibility_policy{10, 1, 500};
  eligibility_.eligible = {{"w1"}};
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(seconds(2));
  ASSERT_EQ(workers_.starts.size(), 1u);
  workers_.End({"w1"}, RunOf("j", 0, 1), run_end::kFailed);
  RunWithHeartbeats(seconds(3));
  EXPECT_EQ(workers_.starts.size(), 2u);
}

// Guards against checks of steps that can't start: they would occupy the
// proxies, and their tickets would expire unused.
TEST_F(EligibilityTest, AStepIsCheckedOnlyWhenThereIsCapacity) {
  AddWorker("w1");
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  eligibility_.eligible = {{"w1"}};
  BeginTerm();
  Submit("a", {Step(2, 4'000)}, queue_);
  RunFor(milliseconds(200));
  ASSERT_EQ(CountStarts("a"), 2u);
  const std::size_t checks = eligibility_.checks.size();
  Submit("b", {Step(1, 4'000)}, queue_);
  for (int i = 0; i < 5; ++i) {
    dispatcher_->OnHeartbeat({{"w1"}, 1}, workers_.ClockMs());
    RunFor(seconds(1));
  }
  EXPECT_EQ(eligibility_.checks.size(), checks);
  workers_.End({"w1"}, RunOf("a", 0, 1), run_end::kDone);
  RunFor(milliseconds(200));
  EXPECT_EQ(CountStarts("b"), 1u);
}

}  // namespace
}  // namespace mangoplank::dispatch
