#include <fmt/format.h>

#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

/// Longest delay with which a worker carries out an order.
constexpr milliseconds kMaxOrderDelay{12'000};

/// Workers whose heartbeats go on, whatever orders they answer.
class LapsedRunTest : public DispatcherTest {};

// Guards against a second run beside a late one (TWICE): a start that had no
// answer is carried out 12 s later by the worker's next incarnation. Its lease
// is a time on the earlier incarnation's clock, so that the next one does not
// refuse it as late. No stop of the run was answered, so that it may start.
TEST_F(LapsedRunTest, AStartForAnEarlierIncarnationOutlastsTheLease) {
  AddWorker("w1");
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  Mute({"w1"});
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(CountStarts("j"), 1u);
  const core::time_point ordered_at = clock_.Now() - seconds(1);
  AddWorker("w2");
  AddWorker("w1", 2);
  RunWithHeartbeats(ordered_at + kMaxOrderDelay - clock_.Now());
  // At this moment the new incarnation carries the start out.
  EXPECT_EQ(CountStarts("j"), 1u);
  EXPECT_TRUE(event_log_.state.IsAssigned(RunOf("j", 0, 1)));
}

// Guards against a second run beside one whose lease a late poll has renewed:
// the poll had no answer and is carried out by the worker's next incarnation.
// The lease that it carries is a time on the earlier incarnation's clock, so
// that the next one grants its longest lease from that moment.
TEST_F(LapsedRunTest, APollForAnEarlierIncarnationRenewsTheLeaseLate) {
  AddWorker("w1");
  BeginTerm();
  Submit("i", {Step(1, 1'000)}, queue_);
  const core::time_point polled_at = clock_.Now();
  RunWithHeartbeats(seconds(1));
  // This poll is open when the worker falls mute.
  ASSERT_TRUE(workers_.polls.back().lease_until_ms.has_value());
  Mute({"w1"});
  RunWithHeartbeats(milliseconds(500));
  workers_.silent.clear();
  workers_.states[{"w1"}] = {};
  AddWorker("w1", 2);
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(2));
  ASSERT_EQ(CountStarts("j"), 1u);
  Mute({"w1"});
  AddWorker("w2");
  // The late poll is carried out 8 s after it was sent, while the lease lasts,
  // and extends it by 6 s.
  constexpr seconds kDelay{8};
  constexpr seconds kMaxLease{6};
  RunWithHeartbeats(polled_at + kDelay + kMaxLease - clock_.Now());
  EXPECT_EQ(CountStarts("j"), 1u);
}

// Guards against members of a gang that start with different checkpoints: one
// lapsed with the last value that was reported, the others ended with a later
// one. All members of a run must carry the same value.
TEST_F(LapsedRunTest, MembersOfAGangRestartWithOneCheckpoint) {
  for (int i = 1; i <= 4; ++i) AddWorker("w" + std::to_string(i), 1, 1'000);
  BeginTerm();
  workflow::step gang = Step(3, 1'000);
  gang.gang = gang.checkpointing = true;
  Submit("j", {gang}, queue_);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(CountStarts("j"), 3u);
  for (std::uint32_t i = 0; i < 3; ++i) {
    const core::worker_id worker = WorkerOf(RunOf("j", i, 1));
    workers_.states[worker].running[RunOf("j", i, 1)] = "first";
  }
  RunWithHeartbeats(seconds(3));
  Mute(WorkerOf(RunOf("j", 0, 1)));
  for (std::uint32_t i = 1; i < 3; ++i) {
    workers_.End(WorkerOf(RunOf("j", i, 1)), RunOf("j", i, 1),
                 run_end::kGangMemberEnded, "second");
  }
  RunWithHeartbeats(seconds(12));
  ASSERT_EQ(CountStarts("j"), 6u);
  std::set<std::string> checkpoints;
  for (std::size_t i = 3; i < 6; ++i) {
    checkpoints.insert(workers_.starts[i].checkpoint);
  }
  EXPECT_EQ(checkpoints.size(), 1u);
}

// Guards against a job that waits for as long as its worker answers polls and
// carries out no start and no stop: the answered polls renew the lease, so that
// it never ends, and the run is never listed. The order's own lease ends.
TEST_F(LapsedRunTest, AWorkerThatAnswersOnlyPollsDoesNotHoldATask) {
  AddWorker("w1");
  BeginTerm();
  workers_.on_start = [](const worker_target& to, const start_order&) {
    if (to.key.id.v == "w1") return order_result(no_answer{});
    return order_result(order_done{3'600'000});
  };
  workers_.stop_refusals = 1'000'000;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(CountStarts("j"), 1u);
  AddWorker("w2");
  RunWithHeartbeats(seconds(20));
  EXPECT_FALSE(event_log_.state.IsAssigned(RunOf("j", 0, 1)));
  EXPECT_GT(CountStarts("j"), 1u);
}

// Guards against a task that is held for as long as a restarted worker answers
// no order: its run was assigned to the earlier incarnation and never ordered.
TEST_F(LapsedRunTest, ATransferredRunThatWasNeverOrderedEnds) {
  AddWorker("w1");
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  event_log_.on_recorded = [&] {
    event_log_.on_recorded = nullptr;
    Mute({"w1"});
    AddWorker("w1", 2);
  };
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(CountStarts("j"), 0u);
  ASSERT_EQ(event_log_.state.FindJob("j")->tasks[0].last_run, 1u);
  AddWorker("w2");
  RunWithHeartbeats(seconds(20));
  EXPECT_EQ(CountStarts("j"), 1u);
}

// Guards against a late gang that is never checked again: one of its eligible
// workers has fallen mute, and the eligible workers that are free have room for
// it twice over, but most of them have joined later and were not checked.
TEST_F(LapsedRunTest, ALateGangChecksUnknownWorkersAfterALapse) {
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  for (int i = 1; i <= 20; ++i) {
    const std::string id = "w" + std::to_string(i);
    AddWorker(id, 1, 1'000);
    if (i <= 3) eligibility_.eligible.insert({id});
  }
  BeginTerm();
  workflow::step gang = Step(3, 1'000);
  gang.gang = true;
  Submit("j", {gang}, queue_);
  RunWithHeartbeats(seconds(10));
  ASSERT_EQ(CountStarts("j"), 3u);
  Mute(WorkerOf(RunOf("j", 0, 1)));
  for (std::uint32_t i = 1; i < 3; ++i) {
    workers_.End(WorkerOf(RunOf("j", i, 1)), RunOf("j", i, 1),
                 run_end::kGangMemberEnded);
  }
  for (int i = 1; i <= 6; ++i) {
    const std::string id = "x" + std::to_string(i);
    AddWorker(id, 1, 1'000);
    eligibility_.eligible.insert({id});
  }
  RunWithHeartbeats(seconds(30));
  ASSERT_FALSE(event_log_.state.IsAssigned(RunOf("j", 0, 1)));
  EXPECT_EQ(CountStarts("j"), 6u);
}

// Guards against taking a crash for the end of a lease: the worker crashed
// after its last heartbeat, which arrived shortly before the lease ended, so
// that it is not silent yet at that moment.
TEST_F(LapsedRunTest, ACrashShortlyBeforeTheEndOfTheLeaseCounts) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  const core::worker_id lost = WorkerOf(RunOf("j", 0, 1));
  Mute(lost);
  RunWithHeartbeats(milliseconds(4'500));
  unreported_.insert(lost);
  RunWithHeartbeats(seconds(10));
  EXPECT_FALSE(event_log_.state.Workers().contains(lost));
  EXPECT_EQ(event_log_.state.FindJob("j")->tasks[0].losses, 1u);
}

// Guards against showing a job as running although no worker has confirmed a
// start, after the lease of its unconfirmed run has ended.
TEST_F(LapsedRunTest, AJobWithoutAConfirmedStartStaysQueuedAfterTheLapse) {
  AddWorker("w1");
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  Mute({"w1"});
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(15));
  ASSERT_EQ(CountStarts("j"), 1u);
  ASSERT_FALSE(event_log_.state.IsAssigned(RunOf("j", 0, 1)));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kQueued);
}

// Guards against a second run after a freeze of the leader in which heartbeats
// gather: a run must not end before the lease of every order to its worker has
// ended on the worker's slow clock.
TEST_F(LapsedRunTest, AFreezeEndsNoLeaseEarly) {
  workers_.clock_rate = 0.98;
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  std::size_t first_poll = 0;
  std::int64_t start_lease_end = 0;
  std::size_t checked = 0;
  workers_.on_start = [&](const worker_target& to, const start_order& order) {
    workers_.states[to.key.id].running[order.run] = order.checkpoint;
    if (order.run.number == 1) start_lease_end = order.lease_until_ms;
    if (order.run.number == 2) {
      // Only the first run's worker has been sent leases until now.
      std::int64_t lease_end = start_lease_end;
      for (std::size_t i = first_poll; i < workers_.polls.size(); ++i) {
        lease_end =
            std::max(lease_end, workers_.polls[i].lease_until_ms.value_or(0));
      }
      EXPECT_GT(workers_.ClockMs(), lease_end) << order.run.task.job;
      ++checked;
    }
    return order_result(order_done{workers_.ClockMs()});
  };
  std::size_t cases = 0;
  for (int freeze_ms = 1'000; freeze_ms <= 20'000; freeze_ms += 1'000) {
    for (int after_ms = 0; after_ms <= 8'000; after_ms += 250) {
      const std::string id = fmt::format("j{}-{}", freeze_ms, after_ms);
      RunWithHeartbeats(seconds(3));
      first_poll = workers_.polls.size();
      Submit(id, {Step(1, 1'000)}, queue_);
      RunWithHeartbeats(seconds(1));
      const core::worker_id mute = WorkerOf(RunOf(id, 0, 1));
      ASSERT_FALSE(mute.v.empty()) << id;
      Mute(mute);
      RunWithHeartbeats(milliseconds(after_ms));
      clock_.AdvanceTo(clock_.Now() + milliseconds(freeze_ms));
      RunWithHeartbeats(seconds(12));
      ++cases;
      EXPECT_EQ(CountStarts(id), 2u) << id;
      workers_.states[mute].running.clear();
      workers_.silent.clear();
      event_log_.Apply(workflow::job_cancelled{id});
    }
  }
  EXPECT_EQ(checked, cases);
}

}  // namespace
}  // namespace mangoplank::dispatch
