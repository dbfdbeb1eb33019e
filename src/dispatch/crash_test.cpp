#include <random>
#include <set>

#include "dispatch/dispatcher_fixture.h"
#include "dispatch/dispatcher_impl.h"

namespace mangoplank::dispatch {
namespace {

/// Starts of a task that may follow three crashes of workers under it.
constexpr std::size_t kMaxStarts = 5;
constexpr milliseconds kRestartTime{700};
constexpr milliseconds kTaskTime{1'000};

/// How a worker is found again after a crash.
enum class recovery { kSameId, kOtherId, kNever };

/// Workers that crash when they start a task of a deadly job, and recover
/// later. All other tasks succeed after kTaskTime.
class CrashTest : public DispatcherTest {
 protected:
  CrashTest() {
    workers_.on_start = [this](const worker_target& to,
                               const start_order& order) -> order_result {
      ++starts_per_task_[order.run.task];
      CheckIsolation(to.key.id, order.run);
      const bool deadly = deadly_.contains(order.run.task.job);
      if (deadly && crash_delay_.count() == 0) {
        Crash(to.key);
        return no_answer{};
      }
      workers_.states[to.key.id].running[order.run] = "";
      if (deadly) {
        crash_times_.emplace(clock_.Now() + crash_delay_, to.key);
        return order_done{workers_.ClockMs()};
      }
      ends_.emplace(clock_.Now() + kTaskTime, std::pair(to.key.id, order.run));
      return order_done{workers_.ClockMs()};
    };
  }

  /// Counts starts within kStartTime of each other on one worker of which one
  /// is of a task that has crashed a worker before.
  void CheckIsolation(const core::worker_id& worker,
                      const workflow::run_id& run) {
    const workflow::job* const job = event_log_.state.FindJob(run.task.job);
    const bool suspected =
        job->tasks[*job->FindTaskIndex(run.task)].crashes > 0;
    const auto last = last_start_.find(worker);
    const bool is_close = last != last_start_.end() &&
                          clock_.Now() < last->second.first + kStartTime;
    if (is_close && (suspected || last->second.second)) ++shared_starts_;
    last_start_[worker] = {clock_.Now(), suspected};
  }

  void Crash(const workflow::worker_key& key) {
    if (workers_.silent.contains(key.id)) return;
    ++crashes_;
    ++workers_.interruptions[key.id];
    workers_.states[key.id] = {};
    workers_.silent.insert(key.id);
    if (recovery_ == recovery::kNever) return;
    restarts_.emplace(clock_.Now() + kRestartTime, key);
  }
  void Restart(const workflow::worker_key& key) {
    if (recovery_ == recovery::kSameId) {
      workers_.silent.erase(key.id);
      AddWorker(key.id.v, key.incarnation + 1);
      return;
    }
    workers_.replaced.insert(key.id);
    AddWorker("w" + std::to_string(++last_worker_));
  }
  void AddWorkers(int count) {
    for (int i = 0; i < count; ++i) {
      AddWorker("w" + std::to_string(++last_worker_));
    }
  }
  /// Runs the cell; all workers that answer send heartbeats.
  void RunCell(core::duration duration) {
    const core::time_point end = clock_.Now() + duration;
    while (clock_.Now() < end) {
      while (!restarts_.empty() && restarts_.begin()->first <= clock_.Now()) {
        const workflow::worker_key key = restarts_.begin()->second;
        restarts_.erase(restarts_.begin());
        Restart(key);
      }
      while (!crash_times_.empty() &&
             crash_times_.begin()->first <= clock_.Now()) {
        const workflow::worker_key key = crash_times_.begin()->second;
        crash_times_.erase(crash_times_.begin());
        Crash(key);
      }
      while (!ends_.empty() && ends_.begin()->first <= clock_.Now()) {
        const auto [worker, run] = ends_.begin()->second;
        ends_.erase(ends_.begin());
        const bool is_active = workers_.states[worker].running.contains(run);
        if (is_active) workers_.End(worker, run, run_end::kDone);
      }
      for (const auto& [id, worker] : event_log_.state.Workers()) {
        const bool answers =
            !workers_.silent.contains(id) && !workers_.replaced.contains(id);
        if (answers) dispatcher_->OnHeartbeat(worker.key, workers_.ClockMs());
      }
      RunFor(milliseconds(50));
    }
  }
  /// @return the most starts of one task of a job.
  std::size_t MaxStarts(const std::string& job) const {
    std::size_t most = 0;
    for (const auto& [task, starts] : starts_per_task_) {
      if (task.job == job) most = std::max(most, starts);
    }
    return most;
  }
  workflow::job_failure FailureOf(const std::string& job) const {
    return event_log_.state.FindJob(job)->failure;
  }

  std::set<std::string> deadly_{"deadly"};
  recovery recovery_ = recovery::kSameId;
  std::size_t crashes_ = 0;
  std::size_t shared_starts_ = 0;
  /// Time of the last start on each worker, and whether it was of a suspect.
  std::map<core::worker_id, std::pair<core::time_point, bool>> last_start_;
  int last_worker_ = 0;
  std::map<workflow::task_id, std::size_t> starts_per_task_;
  /// Time from the start of a deadly task to the crash.
  milliseconds crash_delay_{0};
  std::multimap<core::time_point, workflow::worker_key> restarts_;
  std::multimap<core::time_point, workflow::worker_key> crash_times_;
  std::multimap<core::time_point, std::pair<core::worker_id, workflow::run_id>>
      ends_;
};

// Guards against a task that crashes every worker which starts it and goes on
// from worker to worker without an end.
TEST_F(CrashTest, ATaskThatCrashesItsWorkersIsGivenUp) {
  AddWorkers(4);
  BeginTerm();
  Submit("deadly", {Step(1, 1'000)}, queue_);
  RunCell(seconds(30));
  EXPECT_GE(crashes_, 2u);
  EXPECT_LE(MaxStarts("deadly"), kMaxStarts);
  EXPECT_EQ(Phase("deadly"), workflow::job_phase::kFailed);
  EXPECT_EQ(FailureOf("deadly"), workflow::job_failure::kWorkerCrashes);
}

// Guards against the same with workers that are not found again under their id,
// or not at all, so that a crash looks like a partition for some time.
TEST_F(CrashTest, CrashesCountHoweverTheWorkerRecovers) {
  for (const recovery how : {recovery::kOtherId, recovery::kNever}) {
    recovery_ = how;
    const std::string job = how == recovery::kNever ? "lost" : "replaced";
    deadly_.insert(job);
    AddWorkers(8);
    if (!dispatcher_) BeginTerm();
    Submit(job, {Step(1, 1'000)}, queue_);
    RunCell(seconds(40));
    EXPECT_LE(MaxStarts(job), kMaxStarts) << job;
    EXPECT_EQ(Phase(job), workflow::job_phase::kFailed) << job;
  }
}

// Guards against gangs that crash all workers of their members in each run.
TEST_F(CrashTest, AGangThatCrashesItsWorkersIsGivenUp) {
  AddWorkers(6);
  BeginTerm();
  workflow::step gang = Step(3, 5'000);
  gang.gang = true;
  Submit("deadly", {gang}, queue_);
  RunCell(seconds(30));
  EXPECT_LE(MaxStarts("deadly"), kMaxStarts);
  EXPECT_EQ(Phase("deadly"), workflow::job_phase::kFailed);
}

// Guards against sound tasks that are given up since they were beside one that
// crashes its workers: they must complete, and so must those that were hit
// twice.
TEST_F(CrashTest, SoundTasksBesideADeadlyOneComplete) {
  AddWorkers(4);
  BeginTerm();
  deadly_ = {"deadly-0", "deadly-1", "deadly-2"};
  for (int i = 0; i < 12; ++i) {
    Submit("sound-" + std::to_string(i), {Step(4, 1'000)}, queue_);
    if (i % 4 == 1) {
      Submit("deadly-" + std::to_string(i / 4), {Step(1, 1'000)}, queue_);
    }
    RunCell(milliseconds(200));
  }
  RunCell(seconds(40));
  for (int i = 0; i < 12; ++i) {
    EXPECT_EQ(Phase("sound-" + std::to_string(i)),
              workflow::job_phase::kSucceeded);
  }
  for (const std::string& job : deadly_) {
    EXPECT_EQ(Phase(job), workflow::job_phase::kFailed) << job;
    EXPECT_LE(MaxStarts(job), kMaxStarts) << job;
  }
}

// Guards against giving up tasks because workers crash for reasons of their
// own, each some seconds after the tasks have started.
TEST_F(CrashTest, WorkersThatCrashByThemselvesEndNoJob) {
  AddWorkers(3);
  BeginTerm();
  workflow::step slow = Step(6, 2'000);
  Submit("slow", {slow}, queue_);
  for (int i = 0; i < 3; ++i) {
    RunCell(milliseconds(600));
    Crash(event_log_.state.Workers().at({"w" + std::to_string(i + 1)}).key);
  }
  RunCell(seconds(20));
  EXPECT_EQ(Phase("slow"), workflow::job_phase::kSucceeded);
}

// Guards against a task that crashes its worker some time after its start and
// is not counted, since other tasks are starting there all the time.
TEST_F(CrashTest, DelayedCrashesCountBesideOtherStarts) {
  AddWorkers(10);
  BeginTerm();
  int jobs = 0;
  for (const int delay : {200, 400, 700, 1'000, 2'000}) {
    crash_delay_ = milliseconds(delay);
    const std::string job = "deadly-" + std::to_string(delay);
    deadly_ = {job};
    Submit(job, {Step(1, 1'000)}, queue_);
    for (int i = 0; i < 800; ++i) {
      Submit("j" + std::to_string(++jobs), {Step(1, 500)}, queue_);
      RunCell(milliseconds(50));
    }
    EXPECT_LE(MaxStarts(job), kMaxStarts) << job;
    EXPECT_EQ(Phase(job), workflow::job_phase::kFailed) << job;
  }
}

// Guards against a long-running task that crashes its workers and is restarted
// without an end.
TEST_F(CrashTest, ALongRunningTaskThatCrashesItsWorkersIsGivenUp) {
  AddWorkers(8);
  BeginTerm();
  for (const int delay : {0, 600, 2'000}) {
    crash_delay_ = milliseconds(delay);
    const std::string job = "deadly-" + std::to_string(delay);
    deadly_ = {job};
    workflow::step service = Step(1, 1'000);
    service.long_running = true;
    Submit(job, {service}, queue_);
    RunCell(seconds(60));
    EXPECT_LE(MaxStarts(job), kMaxStarts) << job;
    EXPECT_EQ(Phase(job), workflow::job_phase::kFailed) << job;
  }
}

// Guards against giving up a sound job whose orders went to workers that had
// crashed before, unnoticed as they were idle.
TEST_F(CrashTest, OrdersToCrashedWorkersEndNoJob) {
  AddWorkers(4);
  BeginTerm();
  RunCell(seconds(1));
  for (const char* id : {"w1", "w2", "w3"}) {
    Crash(event_log_.state.Workers().at({id}).key);
  }
  Submit("sound", {Step(3, 5'000)}, queue_);
  RunCell(seconds(20));
  EXPECT_EQ(Phase("sound"), workflow::job_phase::kSucceeded);
}

// Guards against giving up a sound job whose workers were cut off one after the
// other: none of them has crashed.
TEST_F(CrashTest, WorkersThatAreCutOffEndNoJob) {
  AddWorkers(6);
  BeginTerm();
  Submit("sound", {Step(1, 1'000)}, queue_);
  for (int i = 0; i < 4; ++i) {
    const auto worker = [&] {
      return event_log_.state.FindJob("sound")->tasks[0].worker;
    };
    for (int n = 0; n < 100 && worker().id.v.empty(); ++n) {
      RunCell(milliseconds(50));
    }
    const workflow::worker_key key = worker();
    ASSERT_FALSE(key.id.v.empty());
    workers_.silent.insert(key.id);
    ++workers_.interruptions[key.id];
    for (int n = 0; n < 200 && worker() == key; ++n) RunCell(milliseconds(50));
    ASSERT_NE(worker(), key);
    workers_.states[key.id] = {};
    workers_.silent.erase(key.id);
    AddWorker(key.id.v, key.incarnation);
  }
  RunCell(seconds(3));
  EXPECT_EQ(Phase("sound"), workflow::job_phase::kSucceeded);
}

// Guards against losses that stay counted although their workers were only cut
// off and have returned: each of six cuts alone would be forgiven.
TEST_F(CrashTest, CutsOfWorkersThatReturnAreNotCounted) {
  AddWorkers(8);
  BeginTerm();
  Submit("sound", {Step(1, 1'000)}, queue_);
  const auto task = [&] { return event_log_.state.FindJob("sound")->tasks[0]; };
  for (int i = 0; i < 6; ++i) {
    for (int n = 0; n < 100 && task().worker.id.v.empty(); ++n) {
      RunCell(milliseconds(50));
    }
    const workflow::worker_key key = task().worker;
    ASSERT_FALSE(key.id.v.empty());
    RunCell(milliseconds(500));
    workers_.silent.insert(key.id);
    ++workers_.interruptions[key.id];
    for (int n = 0; n < 200 && task().losses == 0; ++n) {
      RunCell(milliseconds(50));
    }
    ASSERT_EQ(task().losses, 1u);
    workers_.states[key.id] = {};
    workers_.silent.erase(key.id);
    AddWorker(key.id.v, key.incarnation);
    EXPECT_EQ(task().losses, 0u);
    EXPECT_EQ(task().crashes, 0u);
  }
  RunCell(seconds(3));
  EXPECT_EQ(Phase("sound"), workflow::job_phase::kSucceeded);
}

// Guards against giving up sound jobs on days on which a fifth of the workers
// crashes, three times, while tasks are starting all the time.
TEST_F(CrashTest, WavesOfCrashesEndNoSoundJob) {
  constexpr int kWorkers = 60;
  AddWorkers(kWorkers);
  BeginTerm();
  std::mt19937 random(1);
  int jobs = 0;
  for (int step = 0; step < 600; ++step) {
    for (int i = 0; i < 2; ++i) {
      Submit("j" + std::to_string(++jobs), {Step(1, 1'000)}, queue_);
    }
    const bool is_wave = step % 200 >= 60 && step % 200 < 100;
    if (is_wave && step % 4 == 0) {
      const int worker = std::uniform_int_distribution(1, kWorkers)(random);
      const auto known =
          event_log_.state.Workers().find({"w" + std::to_string(worker)});
      if (known != event_log_.state.Workers().end()) Crash(known->second.key);
    }
    RunCell(milliseconds(50));
  }
  RunCell(seconds(20));
  for (int i = 1; i <= jobs; ++i) {
    EXPECT_EQ(Phase("j" + std::to_string(i)), workflow::job_phase::kSucceeded);
  }
}

// Guards against a crash with several possible causes: after the first one, the
// task starts where nothing else is starting, and nothing else starts there
// until the worker has survived it.
TEST_F(CrashTest, ASuspectedTaskStartsAlone) {
  AddWorkers(2);
  BeginTerm();
  for (int round = 0; round < 10; ++round) {
    const std::string job = "deadly-" + std::to_string(round);
    deadly_ = {job};
    Submit(job, {Step(1, 1'000)}, queue_);
    RunFor(milliseconds(50));
    deadly_.clear();
    for (int i = 0; i < 60; ++i) {
      Submit(job + "-" + std::to_string(i), {Step(1, 1'900)}, queue_);
      RunCell(milliseconds(50));
    }
    RunCell(seconds(10));
    EXPECT_EQ(Phase(job), workflow::job_phase::kSucceeded);
  }
  EXPECT_EQ(shared_starts_, 0u);
}

// Guards against giving up a sound job that no worker has ever run: each of its
// orders went to an idle worker that was lost too shortly before to be known as
// lost (review/7).
TEST_F(CrashTest, OrdersToWorkersThatWereJustLostEndNoJob) {
  // A run on a silent worker ends 6.2 to 7.2 s after its order. The next worker
  // is lost shortly before, too late for its silence to be noticed.
  constexpr milliseconds kNextLoss{5'000};
  recovery_ = recovery::kNever;
  const std::vector<std::int64_t> lost_cpu = {5'000, 32'000, 30'000, 28'000,
                                              26'000};
  std::vector<workflow::worker_key> lost;
  for (std::size_t i = 0; i < lost_cpu.size(); ++i) {
    lost.push_back(AddWorker("lost-" + std::to_string(i), 1, lost_cpu[i]));
  }
  for (int i = 0; i < 8; ++i) AddWorker("w" + std::to_string(i), 1, 16'000);
  BeginTerm();
  RunCell(seconds(1));
  Crash(lost[0]);
  RunCell(seconds(1));
  Submit("sound", {Step(1, 4'000)}, queue_);
  for (std::size_t i = 1; i < lost.size(); ++i) {
    RunCell(kNextLoss);
    Crash(lost[i]);
    const std::size_t starts = CountStarts("sound");
    for (int n = 0; n < 60 && CountStarts("sound") == starts; ++n) {
      RunCell(milliseconds(50));
    }
  }
  RunCell(seconds(20));
  EXPECT_EQ(Phase("sound"), workflow::job_phase::kSucceeded);
}

// Guards against counting runs that an earlier leader has recorded: nothing
// shows that their orders were sent before their workers crashed.
TEST_F(CrashTest, OrdersOfEarlierLeadersEndNoJob) {
  // No worker is eligible, so that this leader orders no run.
  queue_.eligibility = workflow::eligibility_policy{10, 1, 1'500};
  workflow::step gang = Step(2, 1'000);
  gang.gang = true;
  workflow::step service = Step(1, 1'000);
  service.long_running = true;
  workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  Submit("single", {Step(1, 1'000)}, queue_);
  Submit("gang", {gang}, queue_);
  Submit("service", {service}, queue_);
  for (std::uint32_t number = 1; number <= 6; ++number) {
    dispatcher_->Stop();
    for (const workflow::run_id& run :
         {RunOf("single", 0, number), RunOf("gang", 0, number),
          RunOf("gang", 1, number), RunOf("service", 0, number)}) {
      event_log_.Apply(workflow::run_assigned{run, w1});
    }
    w1 = AddWorker("w1", w1.incarnation + 1);
    BeginTerm();
    RunCell(seconds(1));
    ASSERT_FALSE(event_log_.state.IsAssigned(RunOf("single", 0, number)));
  }
  for (const char* job : {"single", "gang", "service"}) {
    EXPECT_EQ(Phase(job), workflow::job_phase::kQueued) << job;
  }
}

// Guards against giving up a job because one worker crashes again and again:
// its tasks go to other workers (review/4).
TEST_F(CrashTest, AWorkerThatKeepsCrashingEndsNoJob) {
  // It has the least room, so that it is preferred while nothing is known.
  AddWorker("bad", 1, 2'000);
  for (int i = 0; i < 3; ++i) AddWorker("w" + std::to_string(i));
  const auto carry_out = workers_.on_start;
  workers_.on_start = [this, carry_out](const worker_target& to,
                                        const start_order& order) {
    order_result result = carry_out(to, order);
    if (to.key.id.v == "bad") {
      crash_times_.emplace(clock_.Now() + kTaskTime / 2, to.key);
    }
    return result;
  };
  BeginTerm();
  Submit("sound", {Step(1, 1'000)}, queue_);
  RunCell(seconds(20));
  EXPECT_EQ(Phase("sound"), workflow::job_phase::kSucceeded);
  EXPECT_EQ(MaxStarts("sound"), 2u);
}

// Guards against an idle worker that is left out for good, as it did not answer
// the poll before a suspected task (soak.py 12 5005 --deadly --shrink).
TEST_F(CrashTest, AnIdleWorkerThatDidNotAnswerIsUsedAgain) {
  const workflow::worker_key w1 = AddWorker("w1");
  BeginTerm();
  RunWithHeartbeats(seconds(1));
  Submit("sound", {Step(1, 1'000)}, queue_);
  event_log_.Apply(workflow::run_assigned{RunOf("sound", 0, 1), w1});
  event_log_.Apply(
      workflow::run_ended{RunOf("sound", 0, 1), run_end::kLostUnconfirmed, ""});
  workers_.silent.insert(w1.id);
  RunWithHeartbeats(seconds(2));
  ASSERT_EQ(CountStarts("sound"), 0u);
  workers_.silent.clear();
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(CountStarts("sound"), 1u);
}

// Guards against a start without evidence after each run that ended otherwise:
// a worker that fails all tasks ends a run before it crashes its worker
// (soak.py 12 5305 --deadly --failing --relay).
TEST_F(CrashTest, AFailedRunDoesNotEndTheSuspicion) {
  AddWorkers(8);
  BeginTerm();
  const auto crash = workers_.on_start;
  workers_.on_start = [this, crash](const worker_target& to,
                                    const start_order& order) -> order_result {
    if (order.run.number != 2) return crash(to, order);
    ++starts_per_task_[order.run.task];
    workers_.End(to.key.id, order.run, run_end::kFailed);
    return order_done{workers_.ClockMs()};
  };
  Submit("deadly", {Step(1, 1'000)}, queue_);
  RunCell(seconds(40));
  EXPECT_LE(MaxStarts("deadly"), kMaxStarts);
  EXPECT_EQ(FailureOf("deadly"), workflow::job_failure::kWorkerCrashes);
}

// Guards against a count that begins again with each leader.
TEST_F(CrashTest, ANewLeaderKnowsOfEarlierCrashes) {
  AddWorkers(6);
  BeginTerm();
  Submit("deadly", {Step(1, 1'000)}, queue_);
  for (int term = 0; term < 8; ++term) {
    RunCell(milliseconds(900));
    dispatcher_->Stop();
    BeginTerm();
  }
  RunCell(seconds(20));
  EXPECT_LE(MaxStarts("deadly"), kMaxStarts);
  EXPECT_EQ(Phase("deadly"), workflow::job_phase::kFailed);
}

// Guards against an occurrence whose crashes are counted for another one.
TEST_F(CrashTest, EachOccurrenceHasItsOwnCount) {
  const workflow::worker_key w1 = AddWorker("w1");
  workflow::job_spec spec;
  spec.id = "periodic";
  spec.steps = {Step(1, 1'000)};
  spec.repeat_count = 2;
  event_log_.Apply(workflow::job_accepted{spec, queue_, 0});
  for (std::uint32_t occurrence = 0; occurrence < 2; ++occurrence) {
    workflow::run_id run{{"periodic", occurrence, 0, 0}, 1};
    for (; run.number <= 3; ++run.number) {
      event_log_.Apply(workflow::run_assigned{run, w1});
      event_log_.Apply(workflow::run_ended{run, run_end::kCrashedAtStart, ""});
    }
  }
  EXPECT_FALSE(IsFinal(Phase("periodic")));
}

}  // namespace
}  // namespace mangoplank::dispatch
