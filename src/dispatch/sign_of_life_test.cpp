#include "dispatch/dispatcher_fixture.h"

namespace mangoplank::dispatch {
namespace {

/// Longer than the time after which a silent worker gets no new tasks.
constexpr milliseconds kSilenceTime{4'500};
/// Time by which the lease of a worker that does not answer has ended.
constexpr milliseconds kLeaseTime{10'000};
/// The longest lease that a worker grants.
constexpr milliseconds kMaxLease{6'000};

/// Workers of which one channel works and another does not.
class SignOfLifeTest : public DispatcherTest {};

// Guards against tasks that start by a capacity and a drain state that are no
// longer known: the worker's heartbeats fail while its polls are answered.
TEST_F(SignOfLifeTest, AnswersDoNotShowThatTheCapacityIsStillTheSame) {
  AddWorker("w1");
  BeginTerm();
  Submit("active", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(CountStarts("active"), 1u);
  unreported_.insert({"w1"});
  RunWithHeartbeats(kSilenceTime);
  Submit("next", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("next"), 0u);
  // Its run goes on: polls renew the lease.
  RunWithHeartbeats(seconds(10));
  EXPECT_TRUE(event_log_.state.IsAssigned(RunOf("active", 0, 1)));
  EXPECT_GT(workers_.states[{"w1"}].lease_until_ms, workers_.ClockMs());
  unreported_.clear();
  RunWithHeartbeats(seconds(1));
  EXPECT_EQ(CountStarts("next"), 1u);
}

// Guards against a new leader that uses the capacity which an earlier leader
// has recorded for longer than it would use its own knowledge.
TEST_F(SignOfLifeTest, ANewLeaderUsesTheRecordedCapacityForOneSilenceTime) {
  const workflow::worker_key w1 = AddWorker("w1");
  Submit("active", {Step(1, 1'000)}, queue_);
  event_log_.Apply(workflow::run_assigned{RunOf("active", 0, 1), w1});
  workers_.states[w1.id].running[RunOf("active", 0, 1)] = "";
  BeginTerm();
  unreported_.insert(w1.id);
  Submit("early", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(kSilenceTime);
  EXPECT_EQ(CountStarts("early"), 1u);
  Submit("next", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("next"), 0u);
}

// Guards against a lease that ends later than the leader expects: its end is
// computed from a report of another writer, whose clock is ahead.
TEST_F(SignOfLifeTest, AReportDoesNotMoveLeasesAhead) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  dispatcher_->OnHeartbeat(w1, workers_.ClockMs() + 60'000);
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(CountStarts("j"), 1u);
  const std::int64_t latest_ms = workers_.ClockMs() + kMaxLease.count();
  EXPECT_LE(workers_.starts[0].lease_until_ms, latest_ms);
  EXPECT_LE(workers_.states[w1.id].lease_until_ms, latest_ms);
}

// The same before the first answer, when nothing is known of the clock.
TEST_F(SignOfLifeTest, AReportAloneGivesNoLease) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(CountStarts("j"), 1u);
  const std::size_t polls = workers_.polls.size();
  const workflow::worker_key next = AddWorker(w1.id.v, w1.incarnation + 1);
  dispatcher_->OnHeartbeat(next, workers_.ClockMs() + 60'000);
  RunFor(milliseconds(100));
  ASSERT_GT(workers_.polls.size(), polls);
  const std::int64_t latest_ms = workers_.ClockMs() + kMaxLease.count();
  for (std::size_t i = polls; i < workers_.polls.size(); ++i) {
    EXPECT_LE(workers_.polls[i].lease_until_ms.value_or(0), latest_ms);
  }
}

// Guards against a worker that gets no tasks for good, since its clock has
// jumped and all of its reports seem to be another writer's.
TEST_F(SignOfLifeTest, AnAnswerConfirmsAClockThatHasJumped) {
  AddWorker("w1");
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  workers_.clock_offset_ms = 60'000;
  RunWithHeartbeats(kSilenceTime);
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  EXPECT_EQ(CountStarts("j"), 1u);
  workers_.clock_offset_ms = 0;
  RunWithHeartbeats(kSilenceTime);
  Submit("next", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  EXPECT_EQ(CountStarts("next"), 1u);
}

// Guards against a heartbeat that was sent before a start and arrives late: it
// does not show that the worker has survived the start, and a task that crashes
// its workers would not be suspected.
TEST_F(SignOfLifeTest, ALateHeartbeatDoesNotShowThatAStartWasSurvived) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  const std::int64_t sent_before_start = workers_.ClockMs();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(CountStarts("j"), 1u);
  Mute(w1.id);
  RunFor(milliseconds(400));
  dispatcher_->OnHeartbeat(w1, sent_before_start);
  workers_.states[w1.id] = {};
  workers_.silent.clear();
  AddWorker(w1.id.v, w1.incarnation + 1);
  RunFor(milliseconds(200));
  EXPECT_TRUE(event_log_.state.FindJob("j")->tasks[0].suspected);
}

// The same with a heartbeat that was sent after the start.
TEST_F(SignOfLifeTest, AHeartbeatAfterAStartShowsThatItWasSurvived) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(CountStarts("j"), 1u);
  Mute(w1.id);
  RunFor(milliseconds(400));
  dispatcher_->OnHeartbeat(w1, workers_.ClockMs());
  workers_.states[w1.id] = {};
  workers_.silent.clear();
  AddWorker(w1.id.v, w1.incarnation + 1);
  RunFor(milliseconds(200));
  ASSERT_EQ(event_log_.state.FindJob("j")->tasks[0].losses, 1u);
  EXPECT_FALSE(event_log_.state.FindJob("j")->tasks[0].suspected);
}

// Guards against a capacity that is taken for recent because its heartbeat has
// arrived now: it was sent long ago, and later ones have failed.
TEST_F(SignOfLifeTest, ALateHeartbeatDoesNotShowThatTheCapacityIsStillTheSame) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  Submit("active", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  const std::int64_t sent = workers_.ClockMs();
  unreported_.insert(w1.id);
  RunWithHeartbeats(kSilenceTime);
  dispatcher_->OnHeartbeat(w1, sent);
  Submit("next", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  EXPECT_EQ(CountStarts("next"), 0u);
}

// Guards against tasks that start on a worker of which a new leader knows only
// heartbeats: it may have runs of an earlier leader, and has not refused its
// orders.
TEST_F(SignOfLifeTest, HeartbeatsAloneMakeNoWorkerUsable) {
  const workflow::worker_key w1 = AddWorker("w1");
  workers_.silent.insert(w1.id);
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(20));
  EXPECT_EQ(CountStarts("j"), 0u);
  workers_.silent.clear();
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("j"), 1u);
}

// Guards against a drained worker that stays registered, with its runs, since
// it has answered no poll of this term: its deregistration arrives.
TEST_F(SignOfLifeTest, ADeregisteredWorkerThatNeverAnsweredHoldsNoRun) {
  const workflow::worker_key w1 = AddWorker("w1");
  AddWorker("w2");
  Submit("j", {Step(1, 1'000)}, queue_);
  event_log_.Apply(workflow::run_assigned{RunOf("j", 0, 1), w1});
  workers_.silent.insert(w1.id);
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(CountStarts("j"), 0u);
  event_log_.Apply(workflow::worker_removed{w1});
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("j"), 1u);
  EXPECT_EQ(WorkerOf(RunOf("j", 0, 2)), core::worker_id{"w2"});
}

// Guards against tickets and reservations for a worker that answers no order
// while its heartbeats go on: a check must not name it.
TEST_F(SignOfLifeTest, AWorkerThatAnswersNoOrderIsNotChecked) {
  AddWorker("w1");
  AddWorker("w2");
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  eligibility_.eligible = {{"w1"}, {"w2"}};
  workers_.silent.insert({"w1"});
  BeginTerm();
  RunWithHeartbeats(seconds(2));
  Submit("j", {Step(4, 1'000)}, queue_);
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("j"), 4u);
  for (const auto& check : eligibility_.checks) {
    EXPECT_EQ(check, (std::vector<core::worker_id>{{"w2"}}));
  }
}

// Guards against a service that stays away for as long as its worker answers no
// order while its heartbeats go on.
TEST_F(SignOfLifeTest, ALongRunningTaskIsStartedElsewhere) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  workflow::step service = Step(1, 1'000);
  service.long_running = true;
  Submit("j", {service}, queue_);
  RunWithHeartbeats(seconds(1));
  const core::worker_id mute = WorkerOf(RunOf("j", 0, 1));
  ASSERT_FALSE(mute.v.empty());
  workers_.silent.insert(mute);
  RunWithHeartbeats(kLeaseTime);
  const core::worker_id next = WorkerOf(RunOf("j", 0, 2));
  EXPECT_FALSE(next.v.empty());
  EXPECT_NE(next, mute);
  EXPECT_EQ(event_log_.state.FindJob("j")->tasks[0].losses, 0u);
}

// Guards against occurrences that wait for an earlier one, and against one that
// is never started again, as its worker answers no order.
TEST_F(SignOfLifeTest, OccurrencesGoOnBesideAWorkerThatAnswersNoOrder) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  workflow::job_spec spec;
  spec.id = "j";
  spec.steps = {Step(1, 1'000)};
  spec.repeat_count = 3;
  spec.first_at = clock_.WallNow();
  spec.interval_ms = 2'000;
  event_log_.Apply(workflow::job_accepted{spec, queue_, clock_.WallNow()});
  RunWithHeartbeats(seconds(1));
  const core::worker_id mute = WorkerOf(RunOf("j", 0, 1));
  ASSERT_FALSE(mute.v.empty());
  Mute(mute);
  RunWithHeartbeats(seconds(4));
  for (std::uint32_t occurrence = 1; occurrence < 3; ++occurrence) {
    const core::worker_id worker = WorkerOf({{"j", occurrence, 0, 0}, 1});
    EXPECT_FALSE(worker.v.empty()) << "occurrence " << occurrence;
    EXPECT_NE(worker, mute) << "occurrence " << occurrence;
  }
  RunWithHeartbeats(kLeaseTime);
  const core::worker_id next = WorkerOf(RunOf("j", 0, 2));
  EXPECT_FALSE(next.v.empty());
  EXPECT_NE(next, mute);
}

}  // namespace
}  // namespace mangoplank::dispatch
