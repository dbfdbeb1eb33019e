#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

/// Time within which some further tries of an order have been sent and
/// answered; less than the time-out of an order.
constexpr milliseconds kTriesTime{500};

/// Orders that are lost, or whose answers are.
class OrderTriesTest : public DispatcherTest {
 protected:
  bool AllStartsAreOf(const workflow::run_id& run) const {
    return std::all_of(
        workers_.starts.begin(), workers_.starts.end(),
        [&](const start_order& order) { return order.run == run; });
  }
};

// Guards against a worker that is left out, and a gang that is placed anew, as
// a single start order was lost; and against a lease that grows with the tries.
TEST_F(OrderTriesTest, ALostStartIsSentAgainUnderTheSameRun) {
  AddWorker("w1");
  BeginTerm();
  workers_.lost_starts = 1;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(kTriesTime);
  ASSERT_EQ(workers_.starts.size(), 2u);
  EXPECT_EQ(workers_.starts[0], workers_.starts[1]);
  EXPECT_TRUE(workers_.states[{"w1"}].running.contains(RunOf("j", 0, 1)));
  EXPECT_TRUE(workers_.stops.empty());
  Submit("k", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(50));
  EXPECT_EQ(CountStarts("k"), 1u);
}

// Guards against a second run of a task: a later try is refused, and the
// earlier one without an answer is carried out after that.
TEST_F(OrderTriesTest, ARefusalAfterALostStartDoesNotResolveTheRun) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  workers_.lost_starts = 1;
  workers_.on_start = [&](const worker_target& to,
                          const start_order& order) -> order_result {
    if (order.run.number == 1) return order_refused{refusal::kNoCapacity};
    EXPECT_EQ(workers_.stops.size(), 1u);
    workers_.states[to.key.id].running[order.run] = "";
    return order_done{workers_.ClockMs()};
  };
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(seconds(2));
  ASSERT_GE(workers_.starts.size(), 3u);
  EXPECT_EQ(workers_.stops[0].run, RunOf("j", 0, 1));
  EXPECT_EQ(workers_.starts.back().run, RunOf("j", 0, 2));
}

// Guards against a second run of a task in the next incarnation of its worker,
// which a try without an answer may still reach although another was confirmed.
TEST_F(OrderTriesTest, ALostTryIsStoppedInTheNextIncarnation) {
  AddWorker("w1");
  BeginTerm();
  workers_.lost_starts = 1;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(kTriesTime);
  ASSERT_TRUE(workers_.states[{"w1"}].running.contains(RunOf("j", 0, 1)));
  workers_.states[{"w1"}] = {};
  AddWorker("w1", 2);
  workers_.on_start = [&](const worker_target& to,
                          const start_order& order) -> order_result {
    EXPECT_EQ(workers_.stops.size(), 1u);
    workers_.states[to.key.id].running[order.run] = "";
    return order_done{workers_.ClockMs()};
  };
  RunFor(seconds(1));
  ASSERT_EQ(workers_.stops.size(), 1u);
  EXPECT_EQ(workers_.stops[0].run, RunOf("j", 0, 1));
  EXPECT_EQ(workers_.starts.back().run, RunOf("j", 0, 2));
}

// Guards against a task that crashes its worker and is started once more in the
// next incarnation: a connection that fails may show a crash.
TEST_F(OrderTriesTest, AStartIsNotSentAgainAfterAFailedConnection) {
  AddWorker("w1");
  BeginTerm();
  workers_.on_start = [&](const worker_target&,
                          const start_order& order) -> order_result {
    if (order.run.number == 1) return no_answer{};
    return order_done{workers_.ClockMs()};
  };
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(seconds(3));
  ASSERT_GE(workers_.starts.size(), 2u);
  EXPECT_EQ(workers_.starts[1].run, RunOf("j", 0, 2));
}

// Guards against starting a task after its job was cancelled.
TEST_F(OrderTriesTest, ACancelledStartIsNotSentAgain) {
  AddWorker("w1");
  BeginTerm();
  workers_.lost_starts = 10;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(50));
  ASSERT_EQ(workers_.starts.size(), 1u);
  event_log_.Apply(workflow::job_cancelled{"j"});
  RunFor(seconds(3));
  EXPECT_EQ(workers_.starts.size(), 1u);
  EXPECT_FALSE(event_log_.state.IsAssigned(RunOf("j", 0, 1)));
}

// Guards against a worker that is filled beyond its capacity, which has shrunk
// since the first try.
TEST_F(OrderTriesTest, AStartThatNoLongerFitsIsNotSentAgain) {
  AddWorker("w1");
  BeginTerm();
  workers_.lost_starts = 10;
  Submit("j", {Step(1, 6'000)}, queue_);
  RunFor(milliseconds(50));
  ASSERT_EQ(workers_.starts.size(), 1u);
  AddWorker("w1", 1, 4'000);
  RunFor(seconds(3));
  EXPECT_EQ(workers_.starts.size(), 1u);
}

// Guards against a task that waits for the time-out of a lost stop order before
// it can start again.
TEST_F(OrderTriesTest, ALostStopIsSentAgain) {
  AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  workers_.lost_stops = 1;
  event_log_.Apply(workflow::job_cancelled{"j"});
  RunFor(kTriesTime);
  EXPECT_EQ(workers_.stops.size(), 2u);
  EXPECT_FALSE(event_log_.state.IsAssigned(RunOf("j", 0, 1)));
}

// Guards against ends that are hidden for the wait of a poll whose answer is
// lost, again and again, and against a worker that is not usable meanwhile.
TEST_F(OrderTriesTest, PollsWaitLessWhileAnswersAreLost) {
  AddWorker("w1");
  BeginTerm();
  workers_.lost_polls = 1;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(2'500));
  ASSERT_EQ(workers_.lost_polls, 0);
  const milliseconds short_wait = workers_.polls.back().wait;
  EXPECT_LE(short_wait, milliseconds(500));
  workers_.lost_polls = 1;
  workers_.End({"w1"}, RunOf("j", 0, 1), run_end::kDone);
  Submit("k", {Step(1, 1'000)}, queue_);
  RunFor(2 * short_wait + milliseconds(300));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
  EXPECT_EQ(CountStarts("k"), 1u);
  // Each look at a worker has a price: calm workers are polled less often.
  RunFor(seconds(14));
  EXPECT_EQ(workers_.polls.back().wait, milliseconds(2'000));
}

// Guards against a quick task that waits for the retransmission of a packet to
// or from a relay: one of the orders that it holds up is a part of most jobs.
TEST_F(OrderTriesTest, AStartThatIsHeldUpIsSoonSentAnotherWay) {
  workers_.slow_starts = 1;
  workers_.start_delay = milliseconds(200);
  AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(110));
  EXPECT_EQ(workers_.starts.size(), 2u);
  EXPECT_EQ(Phase("j"), workflow::job_phase::kRunning);
}

// Guards against polls that wait less for seconds, and cost many times as much,
// after an answer that was late and not lost.
TEST_F(OrderTriesTest, ALateAnswerIsNotALostOne) {
  workers_.slow_starts = 1;
  workers_.start_delay = milliseconds(200);
  AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(seconds(4));
  ASSERT_EQ(workers_.starts.size(), 2u);
  EXPECT_EQ(workers_.polls.back().wait, milliseconds(2'000));
}

// Guards against twice the load on workers that are all slow to answer.
TEST_F(OrderTriesTest, FewOrdersAreSentTwiceIfAllAreSlow) {
  constexpr std::size_t kWorkers = 400;
  workers_.slow_starts = static_cast<int>(kWorkers);
  workers_.start_delay = milliseconds(140);
  for (std::size_t i = 0; i < kWorkers; ++i) AddWorker("w" + std::to_string(i));
  BeginTerm();
  Submit("j", {Step(kWorkers, 8'000)}, queue_);
  RunFor(seconds(1));
  EXPECT_EQ(workers_.states.size(), kWorkers);
  EXPECT_LT(workers_.starts.size(), kWorkers * 5 / 4);
}

}  // namespace
}  // namespace mangoplank::dispatch
