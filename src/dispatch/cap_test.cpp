#include "dispatch/tenant_fixture.h"

namespace mangoplank::dispatch {
namespace {

/// Time in which a round places tasks and their workers confirm them.
constexpr milliseconds kPlacementTime{200};
/// Time in which a worker's ends are read and the next tasks placed.
constexpr seconds kSettleTime{3};

class CapTest : public TenantTest {};

// Guards against a tenant that runs more than its cap, and against one that is
// held at its cap after some of its runs have ended.
TEST_F(CapTest, ATenantRunsUpToItsCap) {
  BeginTerm();
  DeclareCaps({{"a", 3'000}});
  AddWorker("w1");
  AddWorker("w2");
  SubmitFor("a", "j", {Step(10, 1'000)}, queue_);
  RunWithHeartbeats(kPlacementTime);
  EXPECT_EQ(RunningCpu("a"), 3'000);
  EndOneRun("j");
  EndOneRun("j");
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(RunningCpu("a"), 3'000);
  EXPECT_EQ(CountStarts("j"), 5u);
}

// Guards against a cap that doesn't bound the tasks that fill idle processors,
// since their workers don't count them.
TEST_F(CapTest, TasksThatFillCountWithTheirProcessors) {
  BeginTerm();
  DeclareCaps({{"a", 3'000}});
  AddWorker("w1");
  workflow::step filling = Step(10, 1'000);
  filling.filler = true;
  SubmitFor("a", "j", {filling}, queue_);
  RunWithHeartbeats(kPlacementTime);
  EXPECT_EQ(RunningCpu("a"), 3'000);
}

// Guards against a cap that counts for less than a job's lifetime: a tenant
// that is no longer declared would run without a limit.
TEST_F(CapTest, TheLastCapHoldsAfterTheTenantIsGone) {
  BeginTerm();
  DeclareCaps({{"a", 2'000}});
  AddWorker("w1");
  SubmitFor("a", "j", {Step(6, 1'000)}, queue_);
  RunWithHeartbeats(kPlacementTime);
  DeclareCaps({{"b", 0}});
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(RunningCpu("a"), 2'000);
}

// Guards against starts that were planned under an earlier, higher cap, and
// against rounds that plan the same runs again and again.
TEST_F(CapTest, ALoweredCapHoldsBackWhatIsNotOrderedYet) {
  BeginTerm();
  DeclareCaps({{"a", 8'000}});
  AddWorker("w1");
  RunWithHeartbeats(kPlacementTime);
  event_log_.latency = milliseconds(50);
  SubmitFor("a", "j", {Step(8, 1'000)}, queue_);
  RunFor(milliseconds(30));
  DeclareCaps({{"a", 2'000}});
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(RunningCpu("a"), 2'000);
  EXPECT_EQ(CountStarts("j"), 2u);
  // The tasks that were held back were planned once more at most.
  for (const workflow::task& task : event_log_.state.FindJob("j")->tasks) {
    EXPECT_LE(task.last_run, 2u);
  }
}

// Guards against a start that is repeated under a cap that no longer admits it:
// the order before it may have been lost.
TEST_F(CapTest, AStartIsNotRepeatedUnderALoweredCap) {
  BeginTerm();
  DeclareCaps({{"a", 8'000}});
  AddWorker("w1");
  RunWithHeartbeats(kPlacementTime);
  workers_.lost_starts = 1;
  SubmitFor("a", "j", {Step(1, 4'000)}, queue_);
  RunFor(milliseconds(30));
  ASSERT_EQ(workers_.starts.size(), 1u);
  DeclareCaps({{"a", 2'000}});
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(workers_.starts.size(), 1u);
  EXPECT_EQ(RunningCpu("a"), 0);
}

// Guards against a cap below what runs that stops work, or that is exceeded
// further; and against one that is raised without effect.
TEST_F(CapTest, ALoweredCapStopsNothingAndARaisedOneCountsAtOnce) {
  BeginTerm();
  DeclareCaps({{"a", 6'000}});
  AddWorker("w1");
  SubmitFor("a", "j", {Step(12, 1'000)}, queue_);
  RunWithHeartbeats(kPlacementTime);
  DeclareCaps({{"a", 1'000}});
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(RunningCpu("a"), 6'000);
  EXPECT_TRUE(workers_.stops.empty());
  EndOneRun("j");
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(RunningCpu("a"), 5'000);
  DeclareCaps({{"a", 8'000}});
  RunFor(kPlacementTime);
  EXPECT_EQ(RunningCpu("a"), 8'000);
}

// Guards against a gang of which only some members fit under the cap: they
// would wait for the others and break the cap's promise together.
TEST_F(CapTest, AGangStartsAsAWholeOrNotAtAll) {
  BeginTerm();
  DeclareCaps({{"a", 5'000}});
  AddWorker("w1");
  AddWorker("w2");
  SubmitFor("a", "first", {Gang(3, 1'000)}, queue_);
  SubmitFor("a", "second", {Gang(3, 1'000)}, queue_);
  RunWithHeartbeats(kPlacementTime);
  EXPECT_EQ(RunningCpu("a"), 3'000);
  EXPECT_EQ(CountStarts("second"), 0u);
  EndOneRun("first");
  workers_.states[{"w1"}].running.clear();
  workers_.states[{"w2"}].running.clear();
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(CountStarts("second"), 3u);
}

// Guards against a tenant at its cap that keeps others from free capacity: by
// the reservation of a gang, or by tasks that are noted as fitting nowhere.
TEST_F(CapTest, ATenantAtItsCapHoldsNobodyUp) {
  BeginTerm();
  DeclareCaps({{"a", 2'000}, {"b", 0}});
  AddWorker("w1");
  SubmitFor("a", "gang", {Gang(4, 1'000)}, queue_);
  SubmitFor("a", "tasks", {Step(9, 1'000)}, queue_);
  SubmitFor("b", "other", {Step(6, 1'000)}, queue_);
  RunWithHeartbeats(kPlacementTime);
  EXPECT_EQ(RunningCpu("a"), 2'000);
  EXPECT_EQ(RunningCpu("b"), 6'000);
}

// Guards against eligibility checks for tasks that the cap keeps back: each
// occupies a proxy that other tenants wait for.
TEST_F(CapTest, ATenantAtItsCapChecksNoEligibility) {
  queue_.eligibility = workflow::eligibility_policy{10, 0.1, 1'500};
  eligibility_.eligible = {{"w1"}};
  BeginTerm();
  DeclareCaps({{"a", 2'000}});
  AddWorker("w1");
  RunWithHeartbeats(kPlacementTime);
  SubmitFor("a", "j", {Step(2, 1'000)}, queue_);
  RunWithHeartbeats(kPlacementTime);
  ASSERT_EQ(RunningCpu("a"), 2'000);
  const std::size_t checks = eligibility_.checks.size();
  SubmitFor("a", "tasks", {Step(2, 1'000)}, queue_);
  SubmitFor("a", "gang", {Gang(2, 1'000)}, queue_);
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(eligibility_.checks.size(), checks);
}

// Guards against checks for many jobs that compete for the same rest of a cap,
// of which only one can start.
TEST_F(CapTest, PendingChecksCountAgainstTheRestOfTheCap) {
  queue_.eligibility = workflow::eligibility_policy{10, 0.1, 1'500};
  eligibility_.eligible = {{"w1"}};
  eligibility_.clock = &clock_;
  eligibility_.delay = milliseconds(100);
  BeginTerm();
  DeclareCaps({{"a", 2'000}});
  AddWorker("w1");
  RunWithHeartbeats(kPlacementTime);
  const std::size_t checks = eligibility_.checks.size();
  for (int i = 0; i < 20; ++i) {
    SubmitFor("a", "j" + std::to_string(i), {Step(1, 1'000)}, queue_);
  }
  RunFor(milliseconds(90));
  EXPECT_LE(eligibility_.checks.size(), checks + 2);
  RunWithHeartbeats(kPlacementTime);
  EXPECT_EQ(RunningCpu("a"), 2'000);
}

// Guards against a new leader that counts only what it has ordered itself.
TEST_F(CapTest, ANewLeaderCountsTheRunsOfTheFormerOne) {
  BeginTerm();
  DeclareCaps({{"a", 3'000}});
  AddWorker("w1");
  AddWorker("w2");
  SubmitFor("a", "j", {Step(3, 1'000)}, queue_);
  RunWithHeartbeats(kPlacementTime);
  ASSERT_EQ(RunningCpu("a"), 3'000);
  dispatcher_->Stop();
  Mute({"w1"});
  BeginTerm(kTerm + 1);
  SubmitFor("a", "next", {Step(3, 1'000)}, queue_);
  RunWithHeartbeats(kPlacementTime);
  EXPECT_EQ(CountStarts("next"), 0u);
}

// Guards against usage that is forgotten while an order has no answer: the
// worker may still carry it out.
TEST_F(CapTest, AStartWithoutAnAnswerCountsUntilItIsResolved) {
  BeginTerm();
  DeclareCaps({{"a", 1'000}});
  AddWorker("w1");
  AddWorker("w2");
  RunWithHeartbeats(kPlacementTime);
  workers_.on_start = [](const worker_target&, const start_order&) {
    return no_answer{};
  };
  SubmitFor("a", "j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_GE(CountStarts("j"), 1u);
  Mute({"w1"});
  Mute({"w2"});
  SubmitFor("a", "next", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(CountStarts("next"), 0u);
}

}  // namespace
}  // namespace mangoplank::dispatch
