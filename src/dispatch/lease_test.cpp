#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

/// Time by which the lease of a worker that does not answer has ended, with
/// heartbeats and a poll after that.
constexpr milliseconds kLeaseTime{10'000};

/// Workers whose heartbeats go on while they answer no order.
class LeaseTest : public DispatcherTest {
 protected:
  /// @return the end of the last lease that an order to the worker carried, on
  /// the worker's clock; all starts so far must have gone to the worker.
  std::int64_t LastLeaseEndMs(const core::worker_id& worker) {
    std::int64_t end = workers_.states[worker].lease_until_ms;
    for (const start_order& order : workers_.starts) {
      end = std::max(end, order.lease_until_ms);
    }
    return end;
  }
  /// Runs until a job has more starts than `starts`, for a lease time at most.
  void RunUntilStarted(const std::string& job, std::size_t starts) {
    const core::time_point end = clock_.Now() + kLeaseTime;
    while (CountStarts(job) <= starts && clock_.Now() < end) {
      RunWithHeartbeats(kHeartbeatInterval);
    }
  }
};

// Guards against a task that waits for as long as its worker answers no order,
// since the worker's heartbeats postpone the end of the run. It must not start
// elsewhere before the lease has ended on the worker's slow clock.
TEST_F(LeaseTest, ARunEndsWithItsLeaseWhileHeartbeatsGoOn) {
  workers_.clock_rate = 0.98;
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  const core::worker_id mute = WorkerOf(RunOf("j", 0, 1));
  Mute(mute);
  const std::int64_t lease_end = LastLeaseEndMs(mute);
  RunUntilStarted("j", 1);
  ASSERT_EQ(CountStarts("j"), 2u);
  EXPECT_GT(workers_.ClockMs(), lease_end);
  EXPECT_NE(WorkerOf(RunOf("j", 0, 2)), mute);
  EXPECT_TRUE(event_log_.state.Workers().contains(mute));
}

// Guards against a gang that is never started again: one of its members is on a
// worker that answers no order, all others have ended.
TEST_F(LeaseTest, AGangIsNotHeldByAMemberOnAWorkerThatDoesNotAnswer) {
  for (int i = 1; i <= 4; ++i) AddWorker("w" + std::to_string(i));
  BeginTerm();
  workflow::step gang = Step(3, 5'000);
  gang.gang = true;
  Submit("j", {gang}, queue_);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(CountStarts("j"), 3u);
  Mute(WorkerOf(RunOf("j", 0, 1)));
  for (std::uint32_t i = 1; i < 3; ++i) {
    workers_.End(WorkerOf(RunOf("j", i, 1)), RunOf("j", i, 1),
                 run_end::kGangMemberEnded);
  }
  RunUntilStarted("j", 3);
  EXPECT_EQ(CountStarts("j"), 6u);
  for (std::uint32_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(event_log_.state.IsAssigned(RunOf("j", i, 2)));
  }
}

// Guards against a run that an earlier leader has started and that is never
// ended: its worker sends heartbeats and has answered no order of this term.
TEST_F(LeaseTest, AnAdoptedRunEndsWithTheLeaseOfTheEarlierLeader) {
  const workflow::worker_key w1 = AddWorker("w1");
  AddWorker("w2");
  Submit("j", {Step(1, 1'000)}, queue_);
  event_log_.Apply(workflow::run_assigned{RunOf("j", 0, 1), w1});
  Mute({"w1"});
  const core::time_point term_start = clock_.Now();
  BeginTerm();
  RunUntilStarted("j", 0);
  ASSERT_EQ(CountStarts("j"), 1u);
  // The earlier leader may have renewed the lease until this term began.
  EXPECT_GE(clock_.Now(), term_start + milliseconds(6'000 * 102 / 100));
  EXPECT_EQ(WorkerOf(RunOf("j", 0, 2)), core::worker_id{"w2"});
}

// Guards against a job whose start was never confirmed and that waits for as
// long as its worker answers no order; and against showing it as running.
TEST_F(LeaseTest, AnUnconfirmedStartEndsWithItsLease) {
  AddWorker("w1");
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  Mute({"w1"});
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(CountStarts("j"), 1u);
  const std::int64_t lease_end = LastLeaseEndMs({"w1"});
  AddWorker("w2");
  RunWithHeartbeats(seconds(4));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kQueued);
  RunUntilStarted("j", 1);
  ASSERT_EQ(CountStarts("j"), 2u);
  EXPECT_GT(workers_.ClockMs(), lease_end);
  EXPECT_EQ(WorkerOf(RunOf("j", 0, 2)), core::worker_id{"w2"});
}

// Guards against counting an end that the worker lists only when it answers
// again, after its lease had ended: the task runs elsewhere by then.
TEST_F(LeaseTest, AnEndListedAfterTheLeaseDoesNotFinishTheTask) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  const core::worker_id mute = WorkerOf(RunOf("j", 0, 1));
  Mute(mute);
  workers_.End(mute, RunOf("j", 0, 1), run_end::kDone);
  RunUntilStarted("j", 1);
  ASSERT_TRUE(event_log_.state.IsAssigned(RunOf("j", 0, 2)));
  workers_.silent.clear();
  RunWithHeartbeats(seconds(3));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kRunning);
  EXPECT_EQ(CountStarts("j"), 2u);
  EXPECT_EQ(workers_.states[mute].acknowledged_ends, 1u);
  workers_.End(WorkerOf(RunOf("j", 0, 2)), RunOf("j", 0, 2), run_end::kDone);
  RunWithHeartbeats(seconds(3));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
}

// Guards against sound jobs that are shown as failed, because ends of leases
// count as crashes of their workers.
TEST_F(LeaseTest, EndsOfLeasesAreNoCrashes) {
  for (int i = 1; i <= 3; ++i) AddWorker("w" + std::to_string(i));
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  constexpr std::uint32_t kLapses = 8;
  for (std::uint32_t run = 1; run <= kLapses; ++run) {
    const core::worker_id worker = WorkerOf(RunOf("j", 0, run));
    ASSERT_FALSE(worker.v.empty()) << "run " << run;
    Mute(worker);
    RunWithHeartbeats(kLeaseTime);
    workers_.states[worker].running.clear();
    workers_.silent.clear();
    RunWithHeartbeats(seconds(1));
  }
  EXPECT_EQ(Phase("j"), workflow::job_phase::kRunning);
  EXPECT_EQ(event_log_.state.FindJob("j")->tasks[0].losses, 0u);
}

// Guards against the records of a cancelled job that are kept for good, as the
// stop of its run is never answered.
TEST_F(LeaseTest, ACancelledRunEndsWithItsLease) {
  AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  Mute({"w1"});
  event_log_.Apply(workflow::job_cancelled{"j"});
  RunWithHeartbeats(kLeaseTime);
  EXPECT_FALSE(event_log_.state.IsAssigned(RunOf("j", 0, 1)));
  const std::size_t stops = workers_.stops.size();
  RunWithHeartbeats(seconds(3));
  EXPECT_EQ(workers_.stops.size(), stops);
}

// Guards against taking the loss of a worker for the end of its lease, so that
// a task which crashes its workers is not counted: a worker that is lost sends
// no heartbeat after the end of its lease.
TEST_F(LeaseTest, ALostWorkerIsNoEndOfALease) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  const core::worker_id lost = WorkerOf(RunOf("j", 0, 1));
  Mute(lost);
  const workflow::worker_key other{{lost.v == "w1" ? "w2" : "w1"}, 1};
  for (int i = 0; i < 20; ++i) {
    dispatcher_->OnHeartbeat(other, workers_.ClockMs());
    RunFor(kHeartbeatInterval);
  }
  EXPECT_FALSE(event_log_.state.Workers().contains(lost));
  EXPECT_EQ(event_log_.state.FindJob("j")->tasks[0].losses, 1u);
}

}  // namespace
}  // namespace mangoplank::dispatch
