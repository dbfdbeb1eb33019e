#include "dispatch/order_backoff.h"

#include "dispatch/dispatcher_fixture.h"
#include "dispatch/order_tries.h"

namespace mangoplank::dispatch {
namespace {

constexpr core::time_point kStart{std::chrono::hours(1)};

// Guards against a worker that is left out for long after a single failure.
TEST(OrderBackoffTest, ASingleFailureCostsLittle) {
  order_backoff backoff;
  EXPECT_FALSE(backoff.IsActive(kStart));
  backoff.NoteFailure(kStart);
  EXPECT_TRUE(backoff.IsActive(kStart));
  EXPECT_FALSE(backoff.IsActive(kStart + order_backoff::kFirst));
}

// Guards against a worker that fails all the time and draws a gang each time,
// and against one that is left out for good.
TEST(OrderBackoffTest, FailuresCloseToEachOtherDoubleTheTime) {
  order_backoff backoff;
  core::time_point now = kStart;
  for (const int length_ms : {250, 500, 1'000, 2'000, 4'000, 4'000}) {
    backoff.NoteFailure(now);
    EXPECT_TRUE(backoff.IsActive(now + milliseconds(length_ms - 1)));
    EXPECT_EQ(backoff.IsFirstPartActive(now + milliseconds(249)), true);
    EXPECT_FALSE(backoff.IsFirstPartActive(now + milliseconds(250)));
    now += milliseconds(length_ms);
    EXPECT_FALSE(backoff.IsActive(now));
  }
}

// Guards against a long back-off after the loss of one gang's orders, which
// fail together.
TEST(OrderBackoffTest, FailuresOfOrdersSentTogetherCountOnce) {
  order_backoff backoff;
  for (int i = 0; i < 8; ++i) backoff.NoteFailure(kStart + milliseconds(i));
  EXPECT_FALSE(backoff.IsActive(kStart + order_backoff::kFirst));
}

// Guards against failures of long ago that lengthen a back-off.
TEST(OrderBackoffTest, FailuresAreForgotten) {
  order_backoff backoff;
  backoff.NoteFailure(kStart);
  const core::time_point later =
      kStart + order_backoff::kFirst + order_backoff::kMemory;
  backoff.NoteFailure(later);
  EXPECT_FALSE(backoff.IsActive(later + order_backoff::kFirst));
}

/// Workers of which some refuse each start as unhealthy.
class BackoffTest : public DispatcherTest {
 protected:
  /// Runs a cell of which the given workers refuse, with a backlog.
  void RunRefusing(int workers, int refusing) {
    for (int i = 1; i <= workers; ++i) {
      AddWorker("w" + std::to_string(i), 1, 1'000);
    }
    workers_.on_start = [this, refusing](
                            const worker_target& to,
                            const start_order& order) -> order_result {
      if (std::stoi(to.key.id.v.substr(1)) <= refusing) {
        ++refusals_[to.key.id];
        return order_refused{refusal::kUnhealthy};
      }
      workers_.states[to.key.id].running[order.run] = "";
      return order_done{workers_.ClockMs()};
    };
    BeginTerm();
    Submit("j", {Step(static_cast<std::uint32_t>(workers), 1'000)}, queue_);
    RunFor(seconds(2));
  }

  std::map<core::worker_id, int> refusals_;
};

// Guards against a general fault that takes out the cell: all workers would
// wait for ever longer times, and tasks with them.
TEST_F(BackoffTest, AGeneralFaultDoesNotTakeOutTheCell) {
  RunRefusing(4, 4);
  for (const auto& [id, refusals] : refusals_) {
    // With an unbounded back-off there would be four starts in 2 s.
    EXPECT_GE(refusals, 6) << id.v;
    // One at once, and one after each first part of the back-off.
    EXPECT_LE(refusals, 1 + seconds(2) / order_backoff::kFirst) << id.v;
  }
  EXPECT_EQ(refusals_.size(), 4u);
}

// Guards against a worker that refuses all orders and gets as many as others.
TEST_F(BackoffTest, AWorkerThatKeepsFailingGetsFewerAndFewerTasks) {
  RunRefusing(4, 1);
  EXPECT_LE(refusals_[{"w1"}], 4);
  EXPECT_GE(refusals_[{"w1"}], 2);
}

// Guards against a worker that is left out for seconds, and gangs that wait for
// it, as one start was not confirmed.
TEST_F(BackoffTest, ASingleUnconfirmedStartCostsLittle) {
  AddWorker("w1");
  BeginTerm();
  workers_.lost_starts = 1 + static_cast<int>(kFurtherTries.size());
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(kOrderTimeout + order_backoff::kFirst + milliseconds(200));
  EXPECT_TRUE(workers_.states[{"w1"}].running.contains(RunOf("j", 0, 2)));
}

}  // namespace
}  // namespace mangoplank::dispatch
