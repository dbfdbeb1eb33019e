#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

/// Longest delay with which a worker carries out an order.
constexpr seconds kMaxOrderDelay{12};
/// Time in which the lease of a silent worker ends and its removal is recorded.
constexpr seconds kRemovalTime{9};
/// Time in which a worker that is announced has answered its first poll.
constexpr milliseconds kFirstPollTime{500};

/// A worker that is silent under a start without an answer, and another one
/// that is free. What was sent to the silent incarnation may be carried out by
/// the next one.
class FormerIncarnationTest : public DispatcherTest {
 protected:
  /// @return the start order for task `j` that got no answer.
  start_order StartOnSilentWorker() {
    AddWorker(kSilent.v, 1);
    BeginTerm();
    RunWithHeartbeats(seconds(1));
    Mute(kSilent);
    unreported_.insert(kSilent);
    ordered_at_ = clock_.Now();
    Submit("j", {Step(1, 1'000)}, queue_);
    RunWithHeartbeats(seconds(1));
    AddWorker(kFree.v);
    EXPECT_EQ(CountStarts("j"), 1u);
    return workers_.starts.back();
  }
  /// The worker is there again under its id and address. Its orders and reports
  /// arrive, unless it is cut off.
  void Restart() { workers_.Restart(kSilent); }
  void EndCut() {
    workers_.silent.erase(kSilent);
    unreported_.erase(kSilent);
  }

  const core::worker_id kSilent{"w1"};
  const core::worker_id kFree{"w2"};
  core::time_point ordered_at_{};
};

// Guards against TWICE: a silent worker is removed with the end of its lease,
// and its task starts elsewhere. The start without an answer is carried out
// later, by an incarnation that is cut off, has seen no fence and counts the
// lease on a clock that begins anew.
TEST_F(FormerIncarnationTest, ARemovedWorkersStartMayReachItsNextIncarnation) {
  const start_order late = StartOnSilentWorker();
  RunWithHeartbeats(ordered_at_ + kMaxOrderDelay - clock_.Now());
  Restart();
  ASSERT_TRUE(workers_.CarryOut(kSilent, late));
  EXPECT_EQ(CountStarts("j"), 1u);
  EXPECT_TRUE(workers_.states[kFree].running.empty());
}

// Guards against a late start at a worker that was removed and has returned:
// the leader knows nothing of its former incarnation, and the run is replaced.
TEST_F(FormerIncarnationTest, AWorkerThatReturnsAfterItsRemovalRefusesOrders) {
  const start_order late = StartOnSilentWorker();
  RunWithHeartbeats(kRemovalTime);
  ASSERT_FALSE(event_log_.state.Workers().contains(kSilent));
  Restart();
  EndCut();
  AddWorker(kSilent.v, 2);
  RunWithHeartbeats(kFirstPollTime);
  EXPECT_FALSE(workers_.CarryOut(kSilent, late));
}

// Guards against two runs that go on side by side until the first one's lease
// ends: the start was carried out before the incarnation was announced, after
// the run had been replaced.
TEST_F(FormerIncarnationTest, AReplacedRunIsStoppedOnAWorkerThatReturns) {
  const start_order late = StartOnSilentWorker();
  RunWithHeartbeats(kRemovalTime);
  ASSERT_EQ(CountStarts("j"), 2u);
  Restart();
  ASSERT_TRUE(workers_.CarryOut(kSilent, late));
  EndCut();
  AddWorker(kSilent.v, 2);
  RunWithHeartbeats(kFirstPollTime);
  EXPECT_TRUE(workers_.states[kSilent].running.empty());
  EXPECT_TRUE(workers_.states[kFree].running.contains(RunOf("j", 0, 2)));
}

// Guards against a late try of a start whose run has ended, been read and
// acknowledged: the next incarnation remembers no end and would start a task
// that is done (TWICE).
TEST_F(FormerIncarnationTest, AFurtherTryOfAnEndedRunIsRefused) {
  AddWorker(kSilent.v, 1);
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  workers_.lost_starts = 1;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  const start_order late = workers_.starts.front();
  ASSERT_TRUE(workers_.states[kSilent].running.contains(late.run));
  workers_.End(kSilent, late.run, run_end::kDone);
  RunWithHeartbeats(seconds(3));
  ASSERT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
  Restart();
  AddWorker(kSilent.v, 2);
  RunWithHeartbeats(kFirstPollTime);
  EXPECT_FALSE(workers_.CarryOut(kSilent, late));
}

// Guards against a lease that a late poll renews at an incarnation that no
// longer has it from the present leader: the poll carries a time on the clock
// of the former incarnation.
TEST_F(FormerIncarnationTest, APollForAFormerIncarnationRenewsNoLease) {
  AddWorker(kSilent.v, 1);
  BeginTerm();
  Submit("i", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  const poll_order late = workers_.polls.back();
  ASSERT_TRUE(late.lease_until_ms.has_value());
  Restart();
  AddWorker(kSilent.v, 2);
  RunWithHeartbeats(kFirstPollTime);
  EXPECT_FALSE(workers_.CarryOut(kSilent, late));
}

// Guards against TWICE without a late order: a poll that acknowledges ends is
// open when its worker crashes, and the poll that follows a start without an
// answer acknowledges them again. The next incarnation would discard its own.
TEST_F(FormerIncarnationTest, OneOpenPollAtATimeAcknowledgesEnds) {
  AddWorker(kSilent.v, 1);
  BeginTerm();
  Submit("i", {Step(2, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  workers_.End(kSilent, RunOf("i", 0, 1), run_end::kDone);
  RunWithHeartbeats(milliseconds(100));
  ASSERT_EQ(workers_.polls.back().recorded_ends, 1u);
  ASSERT_GT(workers_.polls.back().wait, seconds(1));
  const std::size_t polls_before = workers_.polls.size();
  constexpr int kTries = 5;
  workers_.lost_starts = kTries;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(workers_.lost_starts, 0);
  ASSERT_GT(workers_.polls.size(), polls_before);
  for (std::size_t i = polls_before; i < workers_.polls.size(); ++i) {
    EXPECT_EQ(workers_.polls[i].recorded_ends, 0u) << i - polls_before;
  }
}

// Guards against a job id that is free again, so that its runs are numbered
// from 1, while an order or an end of the former job may still be on its way.
TEST(JobRetentionTest, AJobOutlastsTheOrdersOfItsRuns) {
  const dispatcher_settings settings;
  EXPECT_GT(settings.ended_job_retention,
            kMaxOrderDelay + 2 * settings.max_lease);
}

}  // namespace
}  // namespace mangoplank::dispatch
