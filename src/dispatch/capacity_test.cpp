#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <limits>
#include <sstream>

#include "dispatch/dispatcher_fixture.h"
#include "dispatch/planning_types.h"
#include "dispatch/service_fixture.h"

/// Workers whose capacity shrinks and grows while they run tasks.
namespace mangoplank::dispatch {
namespace {

/// Notes each start that brings a worker over the capacity it last announced.
class CapacityTest : public DispatcherTest {
 protected:
  CapacityTest() {
    workers_.on_start = [this](const worker_target& to,
                               const start_order& order) -> order_result {
      auto& running = workers_.states[to.key.id].running;
      core::resources used = NeedOfRun(order.run);
      for (const auto& [run, checkpoint] : running) {
        used = used + NeedOfRun(run);
      }
      const auto& capacity = event_log_.state.Workers().at(to.key.id).capacity;
      if (!capacity.Holds(used)) starts_over_capacity_.push_back(order);
      running[order.run] = order.checkpoint;
      return order_done{workers_.ClockMs()};
    };
    eligibility_.clock = &clock_;
  }
  ~CapacityTest() override { EXPECT_TRUE(starts_over_capacity_.empty()); }

  core::resources NeedOfRun(const workflow::run_id& run) const {
    return NeedOf(
        event_log_.state.FindJob(run.task.job)->spec.steps[run.task.step]);
  }

  void Announce(const workflow::worker_key& key,
                const core::resources& capacity) {
    workflow::worker worker;
    worker.key = key;
    worker.pool = "pool";
    worker.capacity = capacity;
    event_log_.Apply(workflow::worker_announced{worker});
  }
  void Resize(const workflow::worker_key& key, std::int64_t cpu) {
    Announce(key, {cpu, 100'000, 0});
  }

  void RunWithHeartbeats(core::duration duration) {
    const core::time_point end = clock_.Now() + duration;
    while (clock_.Now() < end) {
      for (const auto& [id, worker] : event_log_.state.Workers()) {
        dispatcher_->OnHeartbeat(worker.key, workers_.ClockMs());
      }
      RunFor(std::min<core::duration>(milliseconds(500), end - clock_.Now()));
    }
  }

  static workflow::step Gang(std::uint32_t count, std::int64_t cpu) {
    workflow::step gang = Step(count, cpu);
    gang.gang = true;
    return gang;
  }
  std::size_t CountRunning(const std::string& worker) {
    return workers_.states[{worker}].running.size();
  }

  std::vector<start_order> starts_over_capacity_;
};

// Guards against a start on a worker that runs more than its capacity, and
// against runs that are stopped because they no longer fit.
TEST_F(CapacityTest, NothingStartsUntilItFitsTheSmallerCapacity) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  Submit("a", {Step(4, 1'500)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(CountStarts("a"), 4u);
  Resize(w1, 4'000);
  Submit("b", {Step(1, 1'500)}, queue_);
  for (std::uint32_t ended = 0; ended < 3; ++ended) {
    RunWithHeartbeats(seconds(2));
    EXPECT_EQ(CountStarts("b"), 0u) << ended;
    workers_.End({"w1"}, RunOf("a", ended, 1), run_end::kDone);
  }
  RunWithHeartbeats(milliseconds(300));
  EXPECT_EQ(CountStarts("b"), 1u);
  EXPECT_TRUE(workers_.stops.empty());
}

// Guards against a worker that stays unused after its capacity has grown again.
TEST_F(CapacityTest, StartsResumeWhenTheCapacityGrows) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  Submit("a", {Step(2, 3'000)}, queue_);
  RunFor(milliseconds(100));
  Resize(w1, 1'000);
  Submit("b", {Step(2, 1'000)}, queue_);
  RunWithHeartbeats(seconds(5));
  EXPECT_EQ(CountStarts("b"), 0u);
  Resize(w1, 7'000);
  RunFor(milliseconds(100));
  EXPECT_EQ(CountStarts("b"), 1u);
  Resize(w1, 8'000);
  RunFor(milliseconds(100));
  EXPECT_EQ(CountStarts("b"), 2u);
}

// Guards against a start in the place of a run whose stop order was sent: its
// capacity is in use until its end is listed.
TEST_F(CapacityTest, RunsThatAreBeingStoppedCount) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  Submit("a", {Step(2, 3'000)}, queue_);
  RunFor(milliseconds(100));
  Resize(w1, 4'000);
  Submit("b", {Step(1, 3'000)}, queue_);
  workers_.stop_refusals = 20;
  event_log_.Apply(workflow::job_cancelled{"a"});
  RunWithHeartbeats(seconds(1));
  EXPECT_EQ(CountRunning("w1"), 2u);
  EXPECT_EQ(CountStarts("b"), 0u);
  RunWithHeartbeats(seconds(5));
  EXPECT_EQ(CountStarts("b"), 1u);
}

// Guards against a bound on what a gang can reach that other workers' excess
// use lowers: the gang would be passed over although it fits.
TEST_F(CapacityTest, ExcessUseOfOneWorkerHidesNoCapacityOfOthers) {
  const workflow::worker_key w1 = AddWorker("w1");
  queue_.target_latency_ms = 0;
  queue_.stretch_factor = 0.5;
  BeginTerm();
  Submit("a", {Step(4, 2'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(CountRunning("w1"), 4u);
  Resize(w1, 0);
  AddWorker("w2");
  RunFor(milliseconds(100));
  Submit("gang", {Gang(3, 2'500)}, queue_);
  RunFor(milliseconds(200));
  EXPECT_EQ(CountRunning("w2"), 3u);
}

// Guards against capacity that stays reserved for a gang that no longer fits on
// its workers even when they are empty.
TEST_F(CapacityTest, AGangThatNoLongerFitsReservesNothing) {
  AddWorker("w1");
  const workflow::worker_key w2 = AddWorker("w2");
  BeginTerm();
  Submit("a", {Step(2, 4'000)}, queue_);
  RunFor(milliseconds(100));
  ASSERT_EQ(CountRunning("w1") + CountRunning("w2"), 2u);
  Submit("gang", {Gang(2, 6'000)}, queue_);
  RunFor(milliseconds(50));
  Submit("b", {Step(1, 4'000)}, queue_);
  RunFor(milliseconds(200));
  EXPECT_EQ(CountStarts("b"), 0u);
  Resize(w2, 5'000);
  RunFor(milliseconds(200));
  EXPECT_EQ(CountStarts("b"), 1u);
  EXPECT_EQ(CountStarts("gang"), 0u);
}

// Guards against a gang whose members start on the capacity that their workers
// had while it was reserved.
TEST_F(CapacityTest, AGangDoesNotUseAReservationOfMoreThanTheCapacity) {
  const workflow::worker_key w1 = AddWorker("w1");
  AddWorker("w2");
  queue_.stretch_factor = 100;
  BeginTerm();
  Submit("a", {Step(2, 4'000)}, queue_);
  RunFor(milliseconds(100));
  Submit("gang", {Gang(2, 6'000)}, queue_);
  RunFor(milliseconds(200));
  Resize(w1, 5'000);
  for (std::uint32_t i = 0; i < 2; ++i) {
    for (const char* worker : {"w1", "w2"}) {
      if (workers_.states[{worker}].running.contains(RunOf("a", i, 1))) {
        workers_.End({worker}, RunOf("a", i, 1), run_end::kDone);
      }
    }
  }
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("gang"), 0u);
  Resize(w1, 8'000);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountStarts("gang"), 2u);
}

// Guards against tasks and gangs that start by tickets for capacity that has
// shrunk while the check was pending.
TEST_F(CapacityTest, TicketsDoNotOutweighASmallerCapacity) {
  const workflow::worker_key w1 = AddWorker("w1");
  eligibility_.eligible = {{"w1"}};
  eligibility_.delay = milliseconds(300);
  queue_.eligibility = workflow::eligibility_policy{200, 1, 10'000};
  queue_.stretch_factor = 100;
  BeginTerm();
  Submit("gang", {Gang(2, 3'000)}, queue_);
  Submit("single", {Step(1, 2'000)}, queue_);
  RunFor(milliseconds(200));
  ASSERT_FALSE(eligibility_.checks.empty());
  ASSERT_TRUE(workers_.starts.empty());
  Resize(w1, 1'000);
  RunWithHeartbeats(seconds(2));
  EXPECT_TRUE(workers_.starts.empty());
  Resize(w1, 8'000);
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("gang"), 2u);
  EXPECT_EQ(CountStarts("single"), 1u);
}

// Guards against start orders that go by the capacity of the planning round
// when a smaller one is announced while the assignments are being recorded.
TEST_F(CapacityTest, AShrinkDuringTheCommitHoldsBackWhatNoLongerFits) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  event_log_.latency = milliseconds(50);
  Submit("j", {Step(4, 2'000)}, queue_);
  RunFor(milliseconds(20));
  ASSERT_TRUE(workers_.starts.empty());
  Resize(w1, 5'000);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountRunning("w1"), 2u);
  EXPECT_EQ(workers_.starts.size(), 2u);
  AddWorker("w2");
  RunFor(milliseconds(300));
  EXPECT_EQ(CountRunning("w2"), 2u);
  EXPECT_EQ(workers_.starts.size(), 4u);
  EXPECT_TRUE(workers_.stops.empty());
}

// The same if the smaller capacity is announced when the assignment is already
// recorded, before the order is sent.
TEST_F(CapacityTest, AShrinkAfterTheCommitHoldsBackWhatNoLongerFits) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  event_log_.on_recorded = [&] {
    if (event_log_.state.IsAssigned(RunOf("j", 0, 1))) Resize(w1, 3'000);
  };
  Submit("j", {Step(3, 2'000)}, queue_);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountRunning("w1"), 1u);
  event_log_.on_recorded = nullptr;
  Resize(w1, 6'000);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountRunning("w1"), 3u);
}

// Guards against a start that fits being held back for the sake of runs of
// another round that are not ordered yet, and against both being ordered.
TEST_F(CapacityTest, AShrinkBetweenTwoRoundsHoldsBackOnlyWhatNoLongerFits) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  event_log_.latency = milliseconds(100);
  Submit("a", {Step(2, 2'000)}, queue_);
  RunFor(milliseconds(40));
  Submit("b", {Step(2, 2'000)}, queue_);
  RunFor(milliseconds(40));
  ASSERT_TRUE(workers_.starts.empty());
  Resize(w1, 5'000);
  RunFor(seconds(1));
  EXPECT_EQ(CountStarts("a"), 2u);
  EXPECT_EQ(CountStarts("b"), 0u);
}

// Guards against a gang that waits on some workers for a member that no longer
// fits on its own.
TEST_F(CapacityTest, AGangIsStoppedIfAMemberNoLongerFits) {
  const workflow::worker_key w1 = AddWorker("w1");
  AddWorker("w2");
  queue_.stretch_factor = 100;
  BeginTerm();
  event_log_.latency = milliseconds(50);
  Submit("gang", {Gang(2, 5'000)}, queue_);
  RunFor(milliseconds(20));
  Resize(w1, 4'000);
  RunFor(seconds(1));
  EXPECT_EQ(CountRunning("w1"), 0u);
  EXPECT_EQ(CountRunning("w2"), 0u);
  EXPECT_EQ(workers_.stops.size(), 1u);
  Resize(w1, 8'000);
  RunFor(seconds(1));
  EXPECT_EQ(CountRunning("w1"), 1u);
  EXPECT_EQ(CountRunning("w2"), 1u);
}

// Guards against a gang that preempts too few runs on a worker that runs more
// than its capacity, or starts before enough of them have ended.
TEST_F(CapacityTest, AGangPreemptsTheExcessUseToo) {
  const workflow::worker_key w1 = AddWorker("w1");
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
  ASSERT_EQ(CountRunning("w1"), 4u);
  Resize(w1, 4'000);
  RunFor(milliseconds(200));
  EXPECT_TRUE(workers_.stops.empty());
  Submit("gang", {Gang(1, 3'000)}, urgent_);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountStarts("gang"), 1u);
  EXPECT_EQ(workers_.stops.size(), 4u);
}

// Guards against a new leader that starts tasks on a worker whose adopted runs
// exceed its capacity, or stops them.
TEST_F(CapacityTest, ANewLeaderStartsNothingBesideRunsThatExceedTheCapacity) {
  const workflow::worker_key w1 = AddWorker("w1");
  Submit("a", {Step(3, 2'000)}, queue_);
  for (std::uint32_t i = 0; i < 3; ++i) {
    event_log_.Apply(workflow::run_assigned{RunOf("a", i, 1), w1});
    workers_.states[{"w1"}].running[RunOf("a", i, 1)] = "";
  }
  Resize(w1, 5'000);
  Submit("b", {Step(1, 1'000)}, queue_);
  BeginTerm();
  RunWithHeartbeats(seconds(3));
  EXPECT_EQ(CountStarts("b"), 0u);
  EXPECT_TRUE(workers_.stops.empty());
  EXPECT_EQ(CountRunning("w1"), 3u);
  workers_.End({"w1"}, RunOf("a", 0, 1), run_end::kDone);
  RunWithHeartbeats(milliseconds(300));
  EXPECT_EQ(CountStarts("b"), 1u);
}

// Guards against starts on a worker without capacity, and against tasks without
// a need that wait for some.
TEST_F(CapacityTest, AWorkerWithoutCapacityGetsOnlyTasksWithoutNeed) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  Announce(w1, {});
  workflow::step filler = Step(2, 500);
  filler.filler = true;
  filler.need.memory_mib = 0;
  Submit("filler", {filler}, queue_);
  Submit("small", {Step(1, 1)}, queue_);
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("filler"), 2u);
  EXPECT_EQ(CountStarts("small"), 0u);
}

// Guards against a line of the log that reports less free capacity than there
// is, as the excess use of one worker is taken from the free part of others.
TEST_F(CapacityTest, TheLoadLineCountsNoExcessUse) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  Submit("a", {Step(4, 2'000)}, queue_);
  RunFor(milliseconds(100));
  Resize(w1, 2'000);
  AddWorker("w2");
  std::ostringstream log;
  const auto sink = std::make_shared<spdlog::sinks::ostream_sink_mt>(log);
  auto& sinks = spdlog::default_logger()->sinks();
  sinks.push_back(sink);
  RunWithHeartbeats(seconds(3));
  std::erase(sinks, sink);
  EXPECT_NE(log.str().find(" cpu=10 free_cpu=8"), std::string::npos)
      << log.str();
}

// Guards against any start on a worker that runs more than its capacity: one
// that needs no processors leaves it over its capacity as well.
TEST_F(CapacityTest, ATaskWithoutNeedWaitsUntilTheExcessUseEnds) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  Submit("a", {Step(2, 3'000)}, queue_);
  RunFor(milliseconds(100));
  Resize(w1, 5'000);
  workflow::step filler = Step(1, 500);
  filler.filler = true;
  Submit("filler", {filler}, queue_);
  RunWithHeartbeats(seconds(1));
  EXPECT_EQ(CountStarts("filler"), 0u);
  workers_.End({"w1"}, RunOf("a", 0, 1), run_end::kDone);
  RunWithHeartbeats(milliseconds(300));
  EXPECT_EQ(CountStarts("filler"), 1u);
}

// Guards against runs of an earlier incarnation that start over the capacity of
// the next one, which may be smaller.
TEST_F(CapacityTest, ARestartWithLessCapacityDuringTheCommit) {
  AddWorker("w1");
  BeginTerm();
  event_log_.latency = milliseconds(50);
  Submit("j", {Step(3, 2'000)}, queue_);
  RunFor(milliseconds(20));
  ASSERT_TRUE(workers_.starts.empty());
  AddWorker("w1", 2, 3'000);
  RunWithHeartbeats(seconds(3));
  EXPECT_EQ(CountRunning("w1"), 1u);
  EXPECT_EQ(workers_.starts.size(), 1u);
}

// Guards against a bound on what a gang can reach that counts processors for
// tasks that need none.
TEST_F(CapacityTest, AGangWithoutNeedOfProcessorsStartsWithoutAvailableOnes) {
  const workflow::worker_key w1 = AddWorker("w1");
  queue_.target_latency_ms = 0;
  queue_.stretch_factor = 0.5;
  BeginTerm();
  Announce(w1, {0, 100, 0});
  workflow::step gang = Gang(2, 500);
  gang.filler = true;
  Submit("gang", {gang}, queue_);
  RunFor(milliseconds(300));
  EXPECT_EQ(CountStarts("gang"), 2u);
}

/// Reports of one worker to the leader, which may arrive in another order.
class WorkerReportTest : public ServiceTest {
 protected:
  static workflow::worker_heartbeat Report(std::int64_t sequence,
                                           std::int64_t cpu) {
    workflow::worker_heartbeat report;
    report.worker.key = {{"w"}, 5};
    report.worker.address = {"10.0.0.1", 80};
    report.worker.pool = "pool";
    report.worker.capacity = {cpu, 8'000, 0};
    report.worker.report_sequence = sequence;
    report.clock_ms = 1'000 + sequence;
    return report;
  }
  const workflow::worker& Registered() const {
    return machine_.State().Workers().at({"w"});
  }
  std::int64_t RegisteredCpu() const { return Registered().capacity.cpu_milli; }

  /// Replaces the service by one that knows only the replicated state.
  void BeginNextTerm() {
    service_->OnLeadershipChange(false, 0);
    service_ = std::make_unique<service>(
        service_settings{}, cluster_.context.get_executor(), cluster_.clock,
        machine_, *node_, workers_, eligibility_, registry_);
    machine_.SetObserver(service_.get());
    service_->OnLeadershipChange(true, node_->Status().term);
  }
};

// Guards against a late report of an earlier, larger capacity that is taken for
// the present one: tasks would start over the smaller one.
TEST_F(WorkerReportTest, ALateReportDoesNotBringTheCapacityBack) {
  Handle(Report(1, 8'000));
  Handle(Report(3, 2'000));
  EXPECT_EQ(Handle(Report(2, 8'000)), accepted_);
  EXPECT_EQ(RegisteredCpu(), 2'000);
  Handle(Report(4, 8'000));
  EXPECT_EQ(RegisteredCpu(), 8'000);
}

// The same if the late report arrives while the newer one is being recorded, or
// the newer one while a change that it takes back is being recorded.
TEST_F(WorkerReportTest, TheNewestReportCountsDuringACommit) {
  Handle(Report(1, 8'000));
  cluster_.Spawn(service_->Handle(Report(3, 2'000)));
  cluster_.Spawn(service_->Handle(Report(2, 8'000)));
  cluster_.RunFor(seconds(1));
  EXPECT_EQ(RegisteredCpu(), 2'000);
  cluster_.Spawn(service_->Handle(Report(4, 8'000)));
  cluster_.Spawn(service_->Handle(Report(5, 2'000)));
  cluster_.RunFor(seconds(1));
  EXPECT_EQ(RegisteredCpu(), 2'000);
}

// Guards against a new leader that takes a report for new which is older than
// the last change that an earlier leader has recorded.
TEST_F(WorkerReportTest, ANewLeaderRecognizesReportsBeforeTheLastChange) {
  Handle(Report(1, 8'000));
  Handle(Report(3, 2'000));
  BeginNextTerm();
  EXPECT_EQ(Handle(Report(2, 8'000)), accepted_);
  EXPECT_EQ(RegisteredCpu(), 2'000);
}

// Guards against a commit for each report: there are thousands of workers.
TEST_F(WorkerReportTest, AReportWithoutAChangeIsNotRecorded) {
  Handle(Report(1, 8'000));
  Handle(Report(2, 8'000));
  EXPECT_EQ(Registered().report_sequence, 1);
  Handle(Report(4, 2'000));
  Handle(Report(5, 2'000));
  EXPECT_EQ(Registered().report_sequence, 4);
  // Unchanged reports count as the newest too.
  Handle(Report(7, 2'000));
  Handle(Report(6, 8'000));
  EXPECT_EQ(RegisteredCpu(), 2'000);
}

// Guards against a late report that hides a drain or brings an earlier address
// back, and against a drain that is acknowledged and not recorded since its
// report is late.
TEST_F(WorkerReportTest, ALateReportHidesNoDrainAndNoAddress) {
  Handle(Report(1, 8'000));
  workflow::worker_heartbeat moved = Report(4, 8'000);
  moved.worker.address = {"10.0.0.2", 80};
  Handle(moved);
  workflow::worker_heartbeat draining = Report(3, 8'000);
  draining.worker.draining = true;
  EXPECT_EQ(Handle(draining), accepted_);
  EXPECT_TRUE(Registered().draining);
  Handle(Report(2, 8'000));
  EXPECT_TRUE(Registered().draining);
  EXPECT_EQ(Registered().address, moved.worker.address);
}

// Guards against reports of a new incarnation that are taken for late, as its
// sequence starts anew, and against an ended incarnation that returns.
TEST_F(WorkerReportTest, TheSequenceStartsAnewWithAnIncarnation) {
  Handle(Report(9, 8'000));
  workflow::worker_heartbeat restarted = Report(1, 4'000);
  restarted.worker.key.incarnation = 6;
  Handle(restarted);
  EXPECT_EQ(RegisteredCpu(), 4'000);
  Handle(workflow::deregister_worker{{"w"}, 6});
  Handle(Report(10, 8'000));
  EXPECT_TRUE(machine_.State().Workers().empty());
}

// Guards against amounts whose sums overflow, and against negative ones: a
// malformed report must leave the registered capacity as it is.
TEST_F(WorkerReportTest, AReportOfAnImpossibleCapacityIsRefused) {
  Handle(Report(1, 2'000));
  constexpr std::int64_t kLargest = std::numeric_limits<std::int64_t>::max();
  const core::resources impossible[] = {
      {-1, 8'000, 0},           {2'000, -1, 0},       {2'000, 8'000, -1},
      {kLargest, 8'000, 0},     {2'000, kLargest, 0}, {2'000, 8'000, kLargest},
      {-kLargest - 1, 8'000, 0}};
  std::int64_t sequence = 1;
  for (const core::resources& capacity : impossible) {
    workflow::worker_heartbeat report = Report(++sequence, 0);
    report.worker.capacity = capacity;
    EXPECT_TRUE(Fails<core::invalid_request>(Handle(report)));
    EXPECT_EQ(RegisteredCpu(), 2'000);
  }
  Handle(Report(++sequence, 0));
  EXPECT_EQ(RegisteredCpu(), 0);
}

}  // namespace
}  // namespace mangoplank::dispatch
