#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

namespace asio = boost::asio;

/// Time in which a poll is answered, and the next one begun.
constexpr milliseconds kPollTime{500};
/// Time of some polls with their tries.
constexpr seconds kSettleTime{3};

/// Orders to a worker that restarts under its id and address: what was sent to
/// the former incarnation and had no answer may be carried out by the next one.
class LateOrderTest : public DispatcherTest {
 protected:
  /// Runs a task to its end on the one worker, and loses the answers to all
  /// polls that acknowledge this end.
  /// @return the first of these polls; no value if there was none.
  std::optional<poll_order> LoseAcknowledgement() {
    Submit("former", {Step(1, 1'000)}, queue_);
    RunWithHeartbeats(kPollTime);
    workers_.loses_acknowledgements = true;
    workers_.End(kWorker, RunOf("former", 0, 1), run_end::kDone);
    const std::size_t polls_before = workers_.polls.size();
    RunWithHeartbeats(kSettleTime);
    workers_.loses_acknowledgements = false;
    for (std::size_t i = polls_before; i < workers_.polls.size(); ++i) {
      if (workers_.polls[i].recorded_ends > 0) return workers_.polls[i];
    }
    return std::nullopt;
  }

  /// The worker crashes and reports its next incarnation.
  void RestartWorker(core::wall_time_ms incarnation) {
    workers_.Restart(kWorker);
    AddWorker(kWorker.v, incarnation);
    RunWithHeartbeats(kPollTime);
  }

  const core::worker_id kWorker{"w1"};
};

// Guards against TWICE: a poll that acknowledged ends of the former incarnation
// is carried out by the next one, which numbers its ends anew. It discards ends
// that nobody has read, and their tasks are started again.
TEST_F(LateOrderTest, APollForAFormerIncarnationDiscardsNoEnds) {
  AddWorker(kWorker.v, 1);
  BeginTerm();
  const std::optional<poll_order> late = LoseAcknowledgement();
  ASSERT_TRUE(late);
  RestartWorker(2);
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(kPollTime);
  ASSERT_TRUE(workers_.states[kWorker].running.contains(RunOf("j", 0, 1)));
  // The run ends while the worker is cut off; the poll arrived before the cut.
  Mute(kWorker);
  workers_.End(kWorker, RunOf("j", 0, 1), run_end::kDone);
  workers_.CarryOut(kWorker, *late);
  RunWithHeartbeats(kPollTime);
  workers_.silent.clear();
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(CountStarts("j"), 1u);
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
}

// Guards against TWICE: the same by a start. The next incarnation runs a task
// that was meant for the former one, beside the run that replaced it.
TEST_F(LateOrderTest, AStartForAFormerIncarnationIsRefused) {
  AddWorker(kWorker.v, 1);
  BeginTerm();
  RunWithHeartbeats(kPollTime);
  Mute(kWorker);
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(kPollTime);
  ASSERT_EQ(CountStarts("j"), 1u);
  const start_order late = workers_.starts.back();
  workers_.silent.clear();
  RestartWorker(2);
  EXPECT_FALSE(workers_.CarryOut(kWorker, late));
}

// Guards against TWICE without a late order: the check whether a registered
// incarnation still answers goes to the address at which the next one may have
// ended a run already.
TEST_F(LateOrderTest, TheCheckOfAnIncarnationAcknowledgesNoEnds) {
  const workflow::worker_key registered = AddWorker(kWorker.v, 1);
  BeginTerm();
  ASSERT_TRUE(LoseAcknowledgement());
  RunWithHeartbeats(kSettleTime);
  ASSERT_EQ(workers_.states[kWorker].acknowledged_ends, 1u);
  const std::size_t polls_before = workers_.polls.size();
  asio::co_spawn(context_, dispatcher_->ConfirmIncarnation(registered),
                 asio::detached);
  RunFor(kPollTime);
  ASSERT_GT(workers_.polls.size(), polls_before);
  EXPECT_EQ(workers_.polls[polls_before].recorded_ends, 0u);
}

// Guards against TWICE without a late order: a poll gets no answer because its
// worker has crashed, and its further tries reach the next incarnation, which
// discards the ends that they acknowledge.
TEST_F(LateOrderTest, OnlyAPollAfterAnAnswerAcknowledgesEnds) {
  AddWorker(kWorker.v, 1);
  BeginTerm();
  const std::optional<poll_order> first = LoseAcknowledgement();
  ASSERT_TRUE(first);
  // Each acknowledgement had no answer, so that another one may follow only
  // after a poll without one was answered.
  std::uint64_t acknowledged_before = 0;
  for (const poll_order& poll : workers_.polls) {
    EXPECT_FALSE(acknowledged_before > 0 && poll.recorded_ends > 0);
    acknowledged_before = poll.recorded_ends;
  }
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(workers_.states[kWorker].acknowledged_ends, 1u);
  EXPECT_TRUE(workers_.states[kWorker].ended.empty());
}

// Guards against a job that never ends, and against logs that tell a run whose
// end was discarded from one that was never started as the same.
TEST_F(LateOrderTest, ARunWhoseEndWasDiscardedUnreadStartsAgain) {
  AddWorker(kWorker.v, 1);
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(kPollTime);
  workers_.End(kWorker, RunOf("j", 0, 1), run_end::kDone);
  workers_.states[kWorker].ended.clear();
  RunWithHeartbeats(kSettleTime);
  EXPECT_EQ(CountStarts("j"), 2u);
  const auto& counter = registry_.Counter(
      "mangoplank_workflow_runs_ended_total", "Ended runs by how they ended",
      {{"how", "end_unread"}});
  EXPECT_EQ(counter.Value(), 1u);
}

// Guards against orders to a worker that was removed and has returned, or to
// its next incarnation, that it refuses since it has had a higher fence.
TEST_F(LateOrderTest, EachIncarnationHasAHigherFence) {
  workflow::worker_key worker = AddWorker(kWorker.v, 1);
  AddWorker("w2");
  BeginTerm();
  RunWithHeartbeats(kPollTime);
  fence highest = workers_.states[kWorker].fence;
  for (core::wall_time_ms incarnation = 1; incarnation <= 3; ++incarnation) {
    event_log_.Apply(workflow::worker_removed{worker});
    RunWithHeartbeats(kPollTime);
    worker = AddWorker(kWorker.v, incarnation);
    RunWithHeartbeats(kPollTime);
    EXPECT_GT(workers_.states[kWorker].fence, highest);
    highest = workers_.states[kWorker].fence;
  }
  EXPECT_LT(highest, workflow::MakeFence(kTerm + 1, 0));
}

// Guards against a leader whose orders are refused since the one before it has
// known more incarnations than a term has fences.
TEST(FenceTest, ALaterTermIsAboveAllIncarnationsOfAnEarlierOne) {
  using workflow::kFencesPerTerm;
  using workflow::MakeFence;
  EXPECT_LT(MakeFence(4, kFencesPerTerm - 2), MakeFence(4, kFencesPerTerm - 1));
  EXPECT_LT(MakeFence(4, 2 * kFencesPerTerm), MakeFence(5, 0));
}

}  // namespace
}  // namespace mangoplank::dispatch
