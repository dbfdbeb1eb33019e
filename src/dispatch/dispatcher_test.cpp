#include "mangoplank/dispatch/dispatcher.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "dispatch/fakes.h"

namespace mangoplank::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using workflow::run_end;

constexpr core::term kTerm = 4;

/// Workers that refuse a number of stop orders as unhealthy.
class refusing_workers : public fake_workers {
 public:
  using fake_workers::fake_workers;
  int stop_refusals = 0;

  core::awaitable<order_result> Stop(worker_target to, stop_order order,
                                     core::milliseconds timeout) override {
    if (stop_refusals > 0) {
      --stop_refusals;
      stops.push_back(order);
      co_return order_refused{refusal::kUnhealthy};
    }
    co_return co_await fake_workers::Stop(to, order, timeout);
  }

  /// Network delay of the answers to polls without a wait.
  core::duration poll_delay{0};

  core::awaitable<poll_result> Poll(worker_target to, poll_order order,
                                    core::milliseconds timeout) override {
    const bool is_delayed = order.wait.count() == 0 && poll_delay.count() > 0;
    auto result = co_await fake_workers::Poll(to, order, timeout);
    if (is_delayed) co_await core::SleepFor(clock, poll_delay);
    co_return result;
  }
};

class DispatcherTest : public testing::Test {
 protected:
  DispatcherTest() : event_log_(clock_), workers_(clock_) {
    clock_.AdvanceTo(core::time_point(std::chrono::hours(1)));
    queue_.name = "q";
    queue_.host = "host";
    queue_.path_prefix = "/q/";
    queue_.timeout_ms = 1'000;
    queue_.target_latency_ms = 1'000;
    queue_.pool = "pool";
    queue_.max_attempts = 2;
    queue_.stretch_factor = 2;
  }
  ~DispatcherTest() override {
    if (dispatcher_) dispatcher_->Stop();
    RunFor(seconds(3));
  }

  /// Declares the queues and starts the dispatcher of a term.
  void BeginTerm() {
    workflow::catalog catalog;
    catalog.version = 1;
    catalog.queues = {queue_, urgent_};
    catalog.pools = {{"pool", false, false}};
    event_log_.Apply(workflow::catalog_declared{catalog});
    dispatcher_ = std::make_unique<dispatcher>(
        dispatcher_settings{}, kTerm, context_.get_executor(), clock_,
        event_log_, workers_, eligibility_, registry_);
    event_log_.observer = dispatcher_.get();
    dispatcher_->Start();
    RunFor(milliseconds(50));
  }

  workflow::worker_key AddWorker(const std::string& id,
                                 core::wall_time_ms incarnation = 1,
                                 std::int64_t cpu = 8'000) {
    workflow::worker worker;
    worker.key = {{id}, incarnation};
    worker.pool = "pool";
    worker.capacity = {cpu, 100'000, 0};
    event_log_.Apply(workflow::worker_announced{worker});
    return worker.key;
  }

  void Submit(const std::string& id, std::vector<workflow::step> steps,
              const workflow::queue& queue) {
    workflow::job_spec spec;
    spec.id = id;
    spec.payload = "payload of " + id;
    spec.steps = std::move(steps);
    event_log_.Apply(workflow::job_accepted{spec, queue, clock_.WallNow()});
  }

  static workflow::step Step(std::uint32_t count, std::int64_t cpu) {
    workflow::step step;
    step.count = count;
    step.need = {cpu, 10, 0};
    step.estimate_ms = 1'000;
    return step;
  }
  static workflow::run_id RunOf(const std::string& job, std::uint32_t index,
                                std::uint32_t number) {
    return {{job, 0, 0, index}, number};
  }

  void RunFor(core::duration duration) {
    const core::time_point end = clock_.Now() + duration;
    while (true) {
      context_.restart();
      while (context_.poll() > 0) context_.restart();
      if (clock_.Now() >= end) return;
      clock_.AdvanceTo(std::min(end, clock_.NextTimer()));
    }
  }

  std::size_t CountStarts(const std::string& job) const {
    return static_cast<std::size_t>(std::count_if(
        workers_.starts.begin(), workers_.starts.end(),
        [&](const start_order& order) { return order.run.task.job == job; }));
  }
  workflow::job_phase Phase(const std::string& job) const {
    return event_log_.state.FindJob(job)->phase;
  }

  boost::asio::io_context context_;
  core::fake_clock clock_;
  fake_event_log event_log_;
  refusing_workers workers_;
  fake_eligibility eligibility_;
  metrics::registry registry_;
  workflow::queue queue_;
  workflow::queue urgent_;
  std::unique_ptr<dispatcher> dispatcher_;
};

// Guards against a job that does not complete, orders without the leader's term
// or lease, and ends that are not acknowledged.
TEST_F(DispatcherTest, RunsAJobToCompletion) {
  AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(2, 1'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(workers_.starts.size(), 2u);
  EXPECT_EQ(workers_.starts[0].term, kTerm);
  EXPECT_EQ(workers_.starts[0].payload, "payload of j");
  EXPECT_GT(workers_.starts[0].lease_until_ms, workers_.ClockMs() + 4'000);
  workers_.End({"w1"}, RunOf("j", 0, 1), run_end::kDone);
  RunFor(milliseconds(100));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kRunning);
  workers_.End({"w1"}, RunOf("j", 1, 1), run_end::kDone);
  RunFor(seconds(3));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
  EXPECT_EQ(workers_.states[{"w1"}].acknowledged_ends, 2u);
  EXPECT_TRUE(workers_.states[{"w1"}].ended.empty());
}

// Guards against ends that are acknowledged to a worker before they are
// recorded.
TEST_F(DispatcherTest, AcknowledgesOnlyRecordedEnds) {
  AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  event_log_.leadership_lost = true;
  workers_.End({"w1"}, RunOf("j", 0, 1), run_end::kDone);
  RunFor(seconds(3));
  EXPECT_EQ(workers_.states[{"w1"}].acknowledged_ends, 0u);
}

// Guards against overcommitting a worker.
TEST_F(DispatcherTest, StaysWithinTheCapacity) {
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
TEST_F(DispatcherTest, RespectsMaxTasksPerWorker) {
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

// Guards against starting a task on another worker while an unanswered start
// may still be carried out: the run is stopped first.
TEST_F(DispatcherTest, AnUnansweredStartIsStoppedBeforeTheNext) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  std::size_t lost = 1;
  workers_.on_start = [&](const worker_target& to,
                          const start_order& order) -> order_result {
    if (lost > 0) {
      --lost;
      return no_answer{};
    }
    EXPECT_EQ(workers_.stops.size(), 1u);
    workers_.states[to.key.id].running[order.run] = "";
    return order_done{workers_.ClockMs()};
  };
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(seconds(1));
  ASSERT_EQ(workers_.starts.size(), 2u);
  EXPECT_EQ(workers_.stops[0].run, RunOf("j", 0, 1));
  EXPECT_EQ(workers_.starts[1].run, RunOf("j", 0, 2));
}

// Guards against starting a task on another worker after a refused stop: that
// worker may still carry out a start that it has not answered.
TEST_F(DispatcherTest, ARefusedStopDoesNotResolveARun) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  workers_.on_start = [&](const worker_target&,
                          const start_order&) -> order_result {
    return no_answer{};
  };
  workers_.stop_refusals = 2;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(250));
  EXPECT_EQ(workers_.starts.size(), 1u);
  RunFor(seconds(1));
  EXPECT_GE(workers_.stops.size(), 3u);
  EXPECT_GE(workers_.starts.size(), 2u);
}

// Guards against stopping a run although only the answer to its start was lost.
TEST_F(DispatcherTest, ALostAnswerDoesNotStopTheRun) {
  AddWorker("w1");
  BeginTerm();
  workers_.on_start = [&](const worker_target& to,
                          const start_order& order) -> order_result {
    workers_.states[to.key.id].running[order.run] = "";
    return no_answer{};
  };
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(seconds(1));
  EXPECT_EQ(workers_.starts.size(), 1u);
  EXPECT_TRUE(workers_.stops.empty());
}

// Guards against treating a run as missing because an earlier poll, whose
// answer was overtaken, does not list it yet (found by a randomized run on
// mzpz-sieradz, trouble-1, seed 411124762219).
TEST_F(DispatcherTest, AnOvertakenPollDoesNotEndARun) {
  AddWorker("w1");
  BeginTerm();
  Submit("other", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  workers_.on_start = [&](const worker_target&,
                          const start_order&) -> order_result {
    return no_answer{};
  };
  workers_.poll_delay = milliseconds(100);
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(50));
  workers_.states[{"w1"}].running[RunOf("j", 0, 1)] = "";
  workers_.End({"w1"}, RunOf("other", 0, 1), run_end::kDone);
  RunFor(seconds(3));
  EXPECT_EQ(CountStarts("j"), 1u);
  EXPECT_TRUE(workers_.stops.empty());
}

// Guards against two runs of one task when a worker is partitioned: its lease
// must have expired before the task starts on another worker.
TEST_F(DispatcherTest, WaitsForTheLeaseOfASilentWorker) {
  AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(seconds(2));
  ASSERT_EQ(workers_.starts.size(), 1u);
  workers_.silent.insert({"w1"});
  const std::int64_t lease_end = workers_.states[{"w1"}].lease_until_ms;
  const workflow::worker_key w2 = AddWorker("w2");
  while (workers_.starts.size() == 1 &&
         workers_.ClockMs() < lease_end + 5'000) {
    dispatcher_->OnHeartbeat(w2, workers_.ClockMs());
    RunFor(milliseconds(50));
  }
  ASSERT_EQ(workers_.starts.size(), 2u);
  EXPECT_GT(workers_.ClockMs(), lease_end + 100);
  EXPECT_TRUE(workers_.states[{"w2"}].running.contains(RunOf("j", 0, 2)));
}

// Guards against restarting runs of an earlier leader while they are active,
// and against late orders of that leader.
TEST_F(DispatcherTest, ANewLeaderAdoptsActiveRuns) {
  const workflow::worker_key w1 = AddWorker("w1");
  Submit("j", {Step(2, 1'000)}, queue_);
  event_log_.Apply(workflow::run_assigned{RunOf("j", 0, 1), w1});
  event_log_.Apply(workflow::run_assigned{RunOf("j", 1, 1), w1});
  // The first order was carried out, the second never arrived.
  workers_.states[{"w1"}].running[RunOf("j", 0, 1)] = "";
  BeginTerm();
  RunFor(seconds(1));
  EXPECT_EQ(workers_.states[{"w1"}].term, kTerm);
  ASSERT_EQ(workers_.starts.size(), 1u);
  EXPECT_EQ(workers_.starts[0].run, RunOf("j", 1, 2));
}

// Guards against a cancelled job whose tasks keep running.
TEST_F(DispatcherTest, StopsTheTasksOfACancelledJob) {
  AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(2, 1'000)}, queue_);
  RunFor(milliseconds(100));
  event_log_.Apply(workflow::job_cancelled{"j"});
  RunFor(milliseconds(200));
  EXPECT_TRUE(workers_.states[{"w1"}].running.empty());
  EXPECT_EQ(CountStarts("j"), 2u);
}

// Guards against placing tasks on draining workers.
TEST_F(DispatcherTest, ADrainingWorkerGetsNoTasks) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  workflow::worker w = event_log_.state.Workers().at(w1.id);
  w.draining = true;
  event_log_.Apply(workflow::worker_announced{w});
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(seconds(1));
  EXPECT_TRUE(workers_.starts.empty());
}

// Guards against an unanswered start that reaches the next incarnation of the
// worker: it must be stopped there before the next start.
TEST_F(DispatcherTest, AnUnansweredStartIsStoppedInTheNextIncarnation) {
  AddWorker("w1");
  BeginTerm();
  workers_.silent.insert({"w1"});
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(300));
  ASSERT_EQ(workers_.starts.size(), 1u);
  workers_.silent.clear();
  workers_.states[{"w1"}] = {};
  workers_.states[{"w1"}].running[RunOf("j", 0, 1)] = "";
  AddWorker("w1", 2);
  RunFor(milliseconds(200));
  ASSERT_FALSE(workers_.stops.empty());
  EXPECT_EQ(workers_.stops[0].run, RunOf("j", 0, 1));
  EXPECT_FALSE(workers_.states[{"w1"}].running.contains(RunOf("j", 0, 1)));
  EXPECT_EQ(workers_.starts.back().run, RunOf("j", 0, 2));
}

// Guards against running a task twice: a confirmed start is treated as lost
// with the worker's previous incarnation, although it reached the next one
// under the same id.
TEST_F(DispatcherTest, AConfirmedStartMayRunInTheNextIncarnation) {
  AddWorker("w1");
  AddWorker("w2");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(workers_.starts.size(), 1u);
  const core::worker_id id =
      event_log_.state.FindAssignedWorker(RunOf("j", 0, 1))->id;
  // The incarnation that confirmed the start is announced only now.
  AddWorker(id.v, 2);
  RunFor(seconds(1));
  EXPECT_EQ(workers_.starts.size(), 1u);
  EXPECT_TRUE(workers_.stops.empty());
  workers_.End(id, RunOf("j", 0, 1), run_end::kDone);
  RunFor(seconds(1));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
}

// Guards against a run that is lost with a worker's previous incarnation and
// never restarted.
TEST_F(DispatcherTest, ALostRunIsRestarted) {
  AddWorker("w1");
  BeginTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  workers_.states[{"w1"}] = {};
  AddWorker("w1", 2);
  RunFor(milliseconds(200));
  EXPECT_TRUE(workers_.states[{"w1"}].running.contains(RunOf("j", 0, 2)));
}

// Guards against a run number that is assigned to two workers: the first one
// was removed while the assignment was being recorded, so that it is void, and
// its end must not affect the second assignment (found by a randomized run
// on mzpz-sieradz, scale-2, seed 244845874125).
TEST_F(DispatcherTest, AWorkerIsRemovedWhileAnAssignmentIsRecorded) {
  const workflow::worker_key w1 = AddWorker("w1");
  AddWorker("w2", 1, 16'000);
  AddWorker("w3", 1, 24'000);
  BeginTerm();
  event_log_.latency = milliseconds(50);
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(20));
  event_log_.Apply(workflow::worker_removed{w1});
  RunFor(milliseconds(400));
  ASSERT_EQ(workers_.starts.size(), 1u);
  EXPECT_TRUE(workers_.states[{"w2"}].running.contains(RunOf("j", 0, 1)));
  workers_.End({"w2"}, RunOf("j", 0, 1), run_end::kDone);
  RunFor(seconds(3));
  EXPECT_EQ(workers_.starts.size(), 1u);
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
}

// Guards against leases that outlast the leader's wait for a silent worker,
// because the worker's clock runs slow and was last read long ago.
TEST_F(DispatcherTest, ASlowClockGetsNoLongerLease) {
  workers_.clock_rate = 0.98;
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  for (int i = 0; i < 100; ++i) {
    dispatcher_->OnHeartbeat(w1, workers_.ClockMs());
    RunFor(seconds(1));
  }
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(50));
  ASSERT_EQ(workers_.starts.size(), 1u);
  EXPECT_LE(workers_.starts[0].lease_until_ms, workers_.ClockMs() + 5'800);
  EXPECT_GE(workers_.starts[0].lease_until_ms, workers_.ClockMs() + 5'600);
}

// Guards against leases that are too long after the leader was suspended: a
// later leader counts them from the last confirmed time of leadership.
TEST_F(DispatcherTest, LeasesStartAtConfirmedLeadership) {
  AddWorker("w1");
  BeginTerm();
  RunFor(seconds(2));
  event_log_.leadership_confirmed_at = clock_.Now() - seconds(3);
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(50));
  ASSERT_EQ(workers_.starts.size(), 1u);
  EXPECT_LE(workers_.starts[0].lease_until_ms, workers_.ClockMs() + 2'800);
}

// Guards against using tickets and refusals of a worker's previous incarnation,
// which may be of another kind.
TEST_F(DispatcherTest, EligibilityEndsWithTheIncarnation) {
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

// Guards against starts on workers that may not run the step, and starts
// without a ticket.
TEST_F(DispatcherTest, StartsOnlyOnEligibleWorkersWithTheirTicket) {
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
TEST_F(DispatcherTest, ChecksEligibilityWhileAJobIsRecorded) {
  AddWorker("w1");
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  eligibility_.eligible = {{"w1"}};
  BeginTerm();
  workflow::job_spec spec;
  spec.id = "j";
  spec.steps = {Step(2, 1'000)};
  dispatcher_->Prepare(spec, queue_);
  RunFor(milliseconds(50));
  EXPECT_EQ(eligibility_.checks.size(), 1u);
  Submit("j", spec.steps, queue_);
  RunFor(milliseconds(50));
  EXPECT_EQ(workers_.starts.size(), 2u);
  EXPECT_EQ(eligibility_.checks.size(), 1u);
  spec.id = "k";
  dispatcher_->Prepare(spec, queue_);
  RunFor(milliseconds(50));
  dispatcher_->DiscardPrepared("k");
  Submit("k", spec.steps, queue_);
  RunFor(milliseconds(50));
  EXPECT_EQ(eligibility_.checks.size(), 3u);
}

// Guards against a gang that starts partially.
TEST_F(DispatcherTest, AGangStartsAsAWhole) {
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
TEST_F(DispatcherTest, AGangIsStoppedIfAMemberCannotStart) {
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
TEST_F(DispatcherTest, AFailedTaskIsRetriedOnAnotherWorker) {
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

// Guards against placing jobs on a worker that fails all of its runs.
TEST_F(DispatcherTest, AWorkerThatFailsSeveralJobsIsQuarantined) {
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
TEST_F(DispatcherTest, AGangPreemptsResumableTasksOfALessUrgentQueue) {
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

// Guards against an endless planning round for a step without resource needs.
TEST_F(DispatcherTest, StepsWithoutResourceNeedsAreStarted) {
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
TEST_F(DispatcherTest, AWideGangChecksMoreWorkers) {
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

// Guards against a change between two rounds that waits for the next timer: a
// start would be 100 ms late.
TEST_F(DispatcherTest, AChangeBetweenRoundsStartsARound) {
  AddWorker("w1");
  BeginTerm();
  Submit("a", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(1));
  Submit("b", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(30));
  EXPECT_EQ(workers_.starts.size(), 2u);
}

// Guards against a gang that waits for capacity on the workers that its first
// check found eligible, while other eligible workers are free.
TEST_F(DispatcherTest, AGangChecksOtherWorkersWithFreeCapacity) {
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
  dispatcher_->Prepare(spec, queue_);
  RunFor(milliseconds(400));
  workflow::step filling = Step(12, 8'000);
  filling.required_label = "x";
  Submit("filling", {filling}, urgent_);
  RunFor(milliseconds(100));
  ASSERT_EQ(CountStarts("filling"), 12u);
  Submit("gang", spec.steps, queue_);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountStarts("gang"), 2u);
  ASSERT_GE(eligibility_.checks.size(), 2u);
  EXPECT_EQ(eligibility_.checks[1].size(), 2u);
}

// Guards against a task that is never placed again: its job is left out of the
// rounds while an abandoned run that was carried out late is still active
// (found by a randomized run on karamanlis-counts, mix, seed
// 777966546792).
TEST_F(DispatcherTest, ATaskIsPlacedAfterALateRunEnds) {
  AddWorker("w1");
  BeginTerm();
  Submit("other", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(100));
  workers_.on_start = [&](const worker_target& to,
                          const start_order& order) -> order_result {
    if (order.run.number == 1) return no_answer{};
    workers_.states[to.key.id].running[order.run] = "";
    return order_done{workers_.ClockMs()};
  };
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(300));
  workers_.states[{"w1"}].running[RunOf("j", 0, 1)] = "";
  workers_.End({"w1"}, RunOf("other", 0, 1), run_end::kDone);
  // The late run stays active for some rounds.
  workers_.stop_refusals = 3;
  RunFor(seconds(5));
  EXPECT_TRUE(workers_.states[{"w1"}].running.contains(RunOf("j", 0, 2)));
}

// Guards against starvation of other jobs by the reservation of a gang that
// does not fit on all of its workers together.
TEST_F(DispatcherTest, AGangThatCanNeverFitReservesNothing) {
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
TEST_F(DispatcherTest, NoPreemptionAtTheSamePriority) {
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

// Guards against sending orders after the end of a term.
TEST_F(DispatcherTest, SendsNoOrdersAfterItsTerm) {
  AddWorker("w1");
  BeginTerm();
  dispatcher_->Stop();
  event_log_.observer = nullptr;
  Submit("j", {Step(1, 1'000)}, queue_);
  const std::size_t polls = workers_.polls.size();
  RunFor(seconds(2));
  EXPECT_TRUE(workers_.starts.empty());
  EXPECT_EQ(workers_.polls.size(), polls);
}

}  // namespace
}  // namespace mangoplank::dispatch
