#include <map>
#include <utility>

#include "dispatch/dispatcher_fixture.h"
#include "mangoplank/wire/codec.h"

/// Runs of a gang of which several members end as failed: each is one attempt,
/// and `max_attempts` of them are the end of the job.
namespace mangoplank::dispatch {
namespace {

constexpr std::uint32_t kMembers = 6;
constexpr std::uint32_t kMaxAttempts = 3;
constexpr milliseconds kPollTime{500};
/// A lease, the tries of the poll before it, and the check after it.
constexpr seconds kLapseTime{16};
/// Time in which the next run of a gang is ordered: workers that failed it are
/// avoided for 6 s at most, and those that answer no order for 4 s.
constexpr seconds kMaxRetryTime{20};

class GangFailureTest : public DispatcherTest {
 protected:
  GangFailureTest() { queue_.max_attempts = kMaxAttempts; }

  void AddWorkers(int count) {
    for (int i = 1; i <= count; ++i) AddWorker("w" + std::to_string(i + 10));
  }
  void SubmitGang(std::int64_t cpu = 4'000) {
    workflow::step gang = Step(kMembers, cpu);
    gang.gang = true;
    Submit("j", {gang}, queue_);
  }
  /// Starts a cell and the first run of a gang, two members on each of three
  /// workers.
  void StartGang() {
    AddWorkers(12);
    BeginTerm();
    SubmitGang();
    WaitForRun(1);
    ASSERT_EQ(Members(1).size(), 3u);
  }

  /// Waits until all members of a run have started.
  void WaitForRun(std::uint32_t number) {
    const core::time_point end = clock_.Now() + kMaxRetryTime;
    while (CountRunning(number) < kMembers && clock_.Now() < end) {
      RunWithHeartbeats(milliseconds(100));
    }
    ASSERT_EQ(CountRunning(number), kMembers) << "run " << number;
  }
  std::uint32_t CountRunning(std::uint32_t number) {
    std::uint32_t count = 0;
    for (const auto& [worker, state] : workers_.states) {
      for (std::uint32_t i = 0; i < kMembers; ++i) {
        if (state.running.contains(RunOf("j", i, number))) ++count;
      }
    }
    return count;
  }
  /// @return the members of a run that are at work, by worker.
  std::map<core::worker_id, std::vector<workflow::run_id>> Members(
      std::uint32_t number) {
    std::map<core::worker_id, std::vector<workflow::run_id>> members;
    for (const auto& [worker, state] : workers_.states) {
      for (const auto& [run, checkpoint] : state.running) {
        if (run.number == number) members[worker].push_back(run);
      }
    }
    return members;
  }
  /// @return the worker with the given rank of those that have the run; an
  /// empty id if there is none.
  core::worker_id WorkerAt(std::uint32_t number, std::size_t rank) {
    const auto members = Members(number);
    if (rank >= members.size()) {
      ADD_FAILURE() << "run " << number << " has no worker " << rank;
      return {};
    }
    return std::next(members.begin(), static_cast<std::ptrdiff_t>(rank))->first;
  }
  void EndAll(const core::worker_id& worker, std::uint32_t number,
              run_end ending) {
    const auto members = Members(number);
    const auto found = members.find(worker);
    if (found == members.end()) return;
    for (const workflow::run_id& run : found->second) {
      workers_.End(worker, run, ending);
    }
  }
  void EndOne(const workflow::run_id& run, run_end ending) {
    for (const auto& [worker, runs] : Members(run.number)) {
      if (std::find(runs.begin(), runs.end(), run) == runs.end()) continue;
      workers_.End(worker, run, ending);
      return;
    }
    ADD_FAILURE() << "member " << run.task.index << " of run " << run.number
                  << " is at work nowhere";
  }
  /// Ends what is left of a run, as workers do once a member has ended.
  void BreakRest(std::uint32_t number) {
    for (const auto& [worker, runs] : Members(number)) {
      EndAll(worker, number, run_end::kGangMemberEnded);
    }
  }
  /// The worker crashes and returns under its id, 0.7 s later.
  void CrashAndReturn(const core::worker_id& worker) {
    Mute(worker);
    workers_.Restart(worker);
    RunWithHeartbeats(milliseconds(700));
    workers_.silent.erase(worker);
    AddWorker(worker.v, ++last_incarnation_);
  }
  /// Another leader, with the state as a snapshot of it restores it.
  void ChangeLeader() {
    dispatcher_->Stop();
    event_log_.observer = nullptr;
    const auto image = core::Capture([&] {
      return wire::DecodeWorkflowImage(wire::Encode(event_log_.state.Image()));
    });
    ASSERT_TRUE(image);
    event_log_.state = workflow::state::FromImage(*image);
    event_log_.leadership_lost = false;
    BeginTerm(++term_);
  }

  /// @return the attempts that are used; all if the job has ended.
  std::uint32_t Attempts() const {
    const workflow::job& job = *event_log_.state.FindJob("j");
    return job.tasks.empty() ? kMaxAttempts : job.CountAttempts({"j", 0, 0, 0});
  }

  /// Expects that the runs before `next` have used that many attempts: as many
  /// further runs as are left are started and fail, each by another member, and
  /// none after them.
  void ExpectUsedAttempts(std::uint32_t used, std::uint32_t next) {
    for (; used < kMaxAttempts; ++used, ++next) {
      ASSERT_FALSE(IsFinal(Phase("j"))) << "before run " << next;
      EXPECT_EQ(Attempts(), used) << "before run " << next;
      ASSERT_NO_FATAL_FAILURE(WaitForRun(next));
      EndOne(RunOf("j", next % kMembers, next), run_end::kFailed);
      BreakRest(next);
      RunWithHeartbeats(kPollTime);
    }
    EXPECT_EQ(Phase("j"), workflow::job_phase::kFailed);
    EXPECT_EQ(event_log_.state.FindJob("j")->failure,
              workflow::job_failure::kAttempts);
    const std::size_t starts = CountStarts("j");
    RunWithHeartbeats(kMaxRetryTime);
    EXPECT_EQ(CountStarts("j"), starts);
  }

 private:
  core::wall_time_ms last_incarnation_ = 1;
  core::term term_ = kTerm;
};

struct order_of_ends {
  std::string name;
  /// Need of a member: on a worker of 8,000 two or all of them.
  std::int64_t cpu;
  /// Members in the order in which they end, and whether they fail.
  std::vector<std::pair<std::uint32_t, bool>> ends;
  /// Pause after each end; with none, a poll lists all of its worker's ends.
  milliseconds pause;
};

class GangFailureOrderTest : public GangFailureTest,
                             public testing::WithParamInterface<order_of_ends> {
};

// Guards against LOST: members of one run that end as failed use up the
// attempts of the gang, for some order of their ends or number of polls.
TEST_P(GangFailureOrderTest, IsOneAttempt) {
  AddWorkers(12);
  BeginTerm();
  SubmitGang(GetParam().cpu);
  ASSERT_NO_FATAL_FAILURE(WaitForRun(1));
  for (const auto& [member, has_failed] : GetParam().ends) {
    EndOne(RunOf("j", member, 1),
           has_failed ? run_end::kFailed : run_end::kGangMemberEnded);
    if (GetParam().pause.count() > 0) RunWithHeartbeats(GetParam().pause);
  }
  RunWithHeartbeats(kPollTime);
  ExpectUsedAttempts(1, 2);
}

INSTANTIATE_TEST_SUITE_P(
    Orders, GangFailureOrderTest,
    testing::Values(
        order_of_ends{
            "OneWorkerOnePoll",
            1'000,
            {{0, true}, {1, true}, {2, true}, {3, true}, {4, true}, {5, true}},
            milliseconds(0)},
        order_of_ends{
            "OneWorkerSixPolls",
            1'000,
            {{0, true}, {1, true}, {2, true}, {3, true}, {4, true}, {5, true}},
            milliseconds(300)},
        order_of_ends{
            "ThreeWorkersOnePollEach",
            4'000,
            {{0, true}, {1, true}, {2, true}, {3, true}, {4, true}, {5, true}},
            milliseconds(0)},
        order_of_ends{
            "ThreeWorkersSixPolls",
            4'000,
            {{5, true}, {2, true}, {4, true}, {0, true}, {3, true}, {1, true}},
            milliseconds(300)},
        order_of_ends{"BrokenBetween",
                      4'000,
                      {{3, true},
                       {0, false},
                       {5, true},
                       {1, false},
                       {2, true},
                       {4, false}},
                      milliseconds(300)},
        order_of_ends{"BrokenFirst",
                      4'000,
                      {{4, false},
                       {3, false},
                       {1, false},
                       {0, true},
                       {5, true},
                       {2, true}},
                      milliseconds(300)},
        order_of_ends{"BrokenBetweenInOnePoll",
                      1'000,
                      {{2, true},
                       {1, false},
                       {0, true},
                       {5, false},
                       {4, true},
                       {3, true}},
                      milliseconds(0)}),
    [](const auto& tested) { return tested.param.name; });

// Guards against LOST around a crash: a worker lists the failed end of one
// member, crashes with another one, and returns under its id.
TEST_F(GangFailureTest, IsOneAttemptIfAWorkerCrashesAfterAnEnd) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  const core::worker_id crashing = WorkerAt(1, 1);
  EndAll(WorkerAt(1, 0), 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  ASSERT_EQ(Members(1)[crashing].size(), 2u);
  EndOne(Members(1)[crashing].front(), run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  ASSERT_EQ(Members(1)[crashing].size(), 1u);
  CrashAndReturn(crashing);
  RunWithHeartbeats(kPollTime);
  EndAll(WorkerAt(1, 0), 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  ExpectUsedAttempts(1, 2);
}

// Guards against LOST around a crash: failed ends that nobody has read are lost
// with the crash, and others of the run are read before and after it.
TEST_F(GangFailureTest, IsOneAttemptIfFailedEndsAreLostInACrash) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  const core::worker_id first = WorkerAt(1, 0);
  const core::worker_id crashing = WorkerAt(1, 1);
  const core::worker_id last = WorkerAt(1, 2);
  EndAll(first, 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  Mute(crashing);
  EndAll(crashing, 1, run_end::kFailed);
  CrashAndReturn(crashing);
  RunWithHeartbeats(kPollTime);
  EndAll(last, 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  ExpectUsedAttempts(1, 2);
}

// Guards against BUDGET and LOST by a crash that hides all failed ends of a
// run: it counts for nothing, and the runs after it use one attempt each.
TEST_F(GangFailureTest, IsNoAttemptIfAllFailedEndsAreLostInACrash) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  const core::worker_id crashing = WorkerAt(1, 1);
  Mute(crashing);
  EndAll(crashing, 1, run_end::kFailed);
  CrashAndReturn(crashing);
  BreakRest(1);
  RunWithHeartbeats(kPollTime);
  ExpectUsedAttempts(0, 2);
}

// Guards against LOST by a late start: a member's start had no answer and is
// carried out by the worker's next incarnation, where the member fails. It is
// the same run as that in which the others have failed.
TEST_F(GangFailureTest, IsOneAttemptIfTheNextIncarnationRunsAMember) {
  AddWorkers(12);
  BeginTerm();
  RunWithHeartbeats(kPollTime);
  core::worker_id crashing;
  core::worker_id first;
  std::vector<start_order> late;
  workers_.on_start = [&](const worker_target& to,
                          const start_order& order) -> order_result {
    if (first.v.empty()) first = to.key.id;
    if (crashing.v.empty() && to.key.id != first) crashing = to.key.id;
    if (to.key.id != crashing) {
      workers_.CarryOut(to.key.id, order);
      return order_done{workers_.ClockMs()};
    }
    late.push_back(order);
    Mute(crashing);
    return no_answer{};
  };
  SubmitGang();
  RunWithHeartbeats(kPollTime);
  ASSERT_FALSE(late.empty());
  workers_.on_start = nullptr;
  EndAll(first, 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  workers_.Restart(crashing);
  ASSERT_TRUE(workers_.CarryOut(crashing, late.front()));
  workers_.silent.erase(crashing);
  EndAll(crashing, 1, run_end::kFailed);
  AddWorker(crashing.v, 2);
  RunWithHeartbeats(seconds(2));
  EXPECT_EQ(Attempts(), 1u);
  BreakRest(1);
  RunWithHeartbeats(kPollTime);
  ExpectUsedAttempts(1, 2);
}

// Guards against LOST around a cut: the failed ends of a run are listed before
// and after it.
TEST_F(GangFailureTest, IsOneAttemptIfFailedEndsAreListedAfterACut) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  const core::worker_id cut = WorkerAt(1, 1);
  EndAll(WorkerAt(1, 0), 1, run_end::kFailed);
  Mute(cut);
  EndAll(cut, 1, run_end::kFailed);
  BreakRest(1);
  RunWithHeartbeats(seconds(3));
  ASSERT_FALSE(event_log_.state.FindJob("j")->tasks.empty());
  workers_.silent.clear();
  RunWithHeartbeats(kPollTime);
  ExpectUsedAttempts(1, 2);
}

// Guards against LOST by ends that are listed after the lease has lapsed and
// the next run was ordered: the run they belong to has its attempt.
TEST_F(GangFailureTest, IsOneAttemptIfFailedEndsAreListedAfterALapse) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  const core::worker_id cut = WorkerAt(1, 1);
  EndAll(WorkerAt(1, 0), 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  Mute(cut);
  EndAll(cut, 1, run_end::kFailed);
  BreakRest(1);
  RunWithHeartbeats(kLapseTime);
  ASSERT_NO_FATAL_FAILURE(WaitForRun(2));
  workers_.silent.clear();
  RunWithHeartbeats(seconds(5));
  EXPECT_TRUE(workers_.states[cut].ended.empty());
  ExpectUsedAttempts(1, 2);
}

// Guards against LOST and BUDGET by one report that lists failed ends of two
// runs: those of the earlier one, whose lease has lapsed, were not acknowledged
// when the worker failed the later one.
TEST_F(GangFailureTest, IsOneAttemptEachIfAPollListsTheEndsOfTwoRuns) {
  AddWorkers(3);
  BeginTerm();
  SubmitGang();
  ASSERT_NO_FATAL_FAILURE(WaitForRun(1));
  const core::worker_id cut = WorkerAt(1, 1);
  EndAll(WorkerAt(1, 0), 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  Mute(cut);
  EndAll(cut, 1, run_end::kFailed);
  BreakRest(1);
  RunWithHeartbeats(kLapseTime);
  workers_.loses_acknowledgements = true;
  workers_.silent.clear();
  ASSERT_NO_FATAL_FAILURE(WaitForRun(2));
  ASSERT_EQ(workers_.states[cut].ended.size(), 2u);
  EndAll(cut, 2, run_end::kFailed);
  ASSERT_EQ(workers_.states[cut].ended.size(), 4u);
  RunWithHeartbeats(kPollTime);
  workers_.loses_acknowledgements = false;
  BreakRest(2);
  RunWithHeartbeats(seconds(3));
  EXPECT_TRUE(workers_.states[cut].ended.empty());
  ExpectUsedAttempts(2, 3);
}

// Guards against LOST by ends that are listed after a lapse, if they are the
// only ones of the run that failed: an end counts for nothing once its worker's
// lease has lapsed and the next run was ordered.
TEST_F(GangFailureTest, IsNoAttemptIfAllFailedEndsAreListedAfterALapse) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  const core::worker_id cut = WorkerAt(1, 1);
  Mute(cut);
  EndAll(cut, 1, run_end::kFailed);
  BreakRest(1);
  RunWithHeartbeats(kLapseTime);
  ASSERT_NO_FATAL_FAILURE(WaitForRun(2));
  workers_.silent.clear();
  RunWithHeartbeats(seconds(5));
  ExpectUsedAttempts(0, 2);
}

// Guards against LOST by ends of a worker that was silent, was removed, and has
// returned in the same incarnation.
TEST_F(GangFailureTest, IsOneAttemptIfARemovedWorkerReturns) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  const core::worker_id cut = WorkerAt(1, 1);
  EndAll(WorkerAt(1, 0), 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  Mute(cut);
  unreported_.insert(cut);
  EndAll(cut, 1, run_end::kFailed);
  BreakRest(1);
  RunWithHeartbeats(kLapseTime);
  ASSERT_NO_FATAL_FAILURE(WaitForRun(2));
  ASSERT_FALSE(event_log_.state.Workers().contains(cut));
  workers_.silent.clear();
  unreported_.clear();
  AddWorker(cut.v, 1);
  RunWithHeartbeats(seconds(5));
  ExpectUsedAttempts(1, 2);
}

// Guards against LOST around changes of the leader: each leader sees the failed
// ends of other members of one run, and restores the rest from a snapshot.
TEST_F(GangFailureTest, IsOneAttemptIfEachLeaderSeesAFailedEnd) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  for (std::uint32_t member = 0; member < kMembers; ++member) {
    EndOne(RunOf("j", member, 1), run_end::kFailed);
    RunWithHeartbeats(kPollTime);
    ASSERT_NO_FATAL_FAILURE(ChangeLeader());
  }
  RunWithHeartbeats(kPollTime);
  ExpectUsedAttempts(1, 2);
}

// Guards against LOST by an end that a leader has read and could not record:
// the next one reads it again, after the ends of other members.
TEST_F(GangFailureTest, IsOneAttemptIfALeaderCouldNotRecordAnEnd) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  const core::worker_id first = WorkerAt(1, 0);
  const core::worker_id second = WorkerAt(1, 1);
  EndAll(first, 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  event_log_.leadership_lost = true;
  EndAll(second, 1, run_end::kFailed);
  RunWithHeartbeats(kPollTime);
  ASSERT_TRUE(workers_.states[first].ended.empty());
  ASSERT_EQ(workers_.states[second].ended.size(), 2u);
  EndAll(WorkerAt(1, 0), 1, run_end::kFailed);
  ASSERT_NO_FATAL_FAILURE(ChangeLeader());
  RunWithHeartbeats(kPollTime);
  ExpectUsedAttempts(1, 2);
}

// Guards against LOST by ends that a leader has recorded and not acknowledged:
// they are listed again to the next leader, before the ends of other members,
// and to a third one after the next run was ordered.
TEST_F(GangFailureTest, IsOneAttemptIfRecordedEndsAreListedAgain) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  const core::worker_id first = WorkerAt(1, 0);
  workers_.loses_acknowledgements = true;
  EndAll(first, 1, run_end::kFailed);
  RunWithHeartbeats(milliseconds(100));
  ASSERT_EQ(Attempts(), 1u);
  ASSERT_EQ(workers_.states[first].ended.size(), 2u);
  ASSERT_NO_FATAL_FAILURE(ChangeLeader());
  RunWithHeartbeats(milliseconds(100));
  ASSERT_EQ(workers_.states[first].ended.size(), 2u);
  EndAll(WorkerAt(1, 0), 1, run_end::kFailed);
  RunWithHeartbeats(milliseconds(100));
  BreakRest(1);
  ASSERT_NO_FATAL_FAILURE(WaitForRun(2));
  ASSERT_EQ(workers_.states[first].ended.size(), 2u);
  ASSERT_NO_FATAL_FAILURE(ChangeLeader());
  workers_.loses_acknowledgements = false;
  RunWithHeartbeats(seconds(3));
  EXPECT_TRUE(workers_.states[first].ended.empty());
  ExpectUsedAttempts(1, 2);
}

// Guards against a start, or another state shown, after a job was cancelled
// between the failed ends of two members of one run.
TEST_F(GangFailureTest, ACancelledGangStaysCancelled) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  workers_.unstoppable = {WorkerAt(1, 0), WorkerAt(1, 1), WorkerAt(1, 2)};
  for (std::uint32_t member = 0; member < kMembers; ++member) {
    if (member == 1) event_log_.Apply(workflow::job_cancelled{"j"});
    EndOne(RunOf("j", member, 1), run_end::kFailed);
    RunWithHeartbeats(milliseconds(300));
  }
  RunWithHeartbeats(kMaxRetryTime);
  EXPECT_EQ(Phase("j"), workflow::job_phase::kCancelled);
  EXPECT_EQ(CountStarts("j"), kMembers);
}

struct other_end {
  std::string name;
  run_end ending;
  /// The worker of a member crashes and returns under its id.
  bool crashes = false;
};

class GangBudgetTest : public GangFailureTest,
                       public testing::WithParamInterface<other_end> {};

// Guards against BUDGET and LOST: runs that end otherwise between those that
// fail use no attempt, and hide none. Of the failed runs each has several
// failed members, others each time.
TEST_P(GangBudgetTest, OnlyFailedRunsAreAttempts) {
  ASSERT_NO_FATAL_FAILURE(StartGang());
  for (std::uint32_t attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const std::uint32_t other = 2 * attempt + 1;
    ASSERT_NO_FATAL_FAILURE(WaitForRun(other));
    if (GetParam().crashes) {
      CrashAndReturn(WorkerAt(other, attempt));
    } else {
      EndOne(RunOf("j", attempt, other), GetParam().ending);
    }
    BreakRest(other);
    RunWithHeartbeats(kPollTime);
    ASSERT_FALSE(IsFinal(Phase("j")));
    ASSERT_EQ(Attempts(), attempt);
    ASSERT_NO_FATAL_FAILURE(WaitForRun(other + 1));
    EndOne(RunOf("j", 2 * attempt, other + 1), run_end::kFailed);
    RunWithHeartbeats(kPollTime);
    // The last attempt ends the job, so that its other members are stopped.
    ASSERT_EQ(IsFinal(Phase("j")), attempt + 1 == kMaxAttempts);
    if (IsFinal(Phase("j"))) break;
    EndOne(RunOf("j", 2 * attempt + 1, other + 1), run_end::kFailed);
    BreakRest(other + 1);
    RunWithHeartbeats(kPollTime);
  }
  ExpectUsedAttempts(kMaxAttempts, 0);
  EXPECT_EQ(CountStarts("j"), 2 * kMaxAttempts * kMembers);
}

INSTANTIATE_TEST_SUITE_P(
    Ends, GangBudgetTest,
    testing::Values(other_end{"Lapsed", run_end::kLeaseExpired},
                    other_end{"Broken", run_end::kGangMemberEnded},
                    other_end{"Alone", run_end::kGangIncomplete},
                    other_end{"Stopped", run_end::kStopped},
                    other_end{"Lost", run_end::kCrashed, true}),
    [](const auto& tested) { return tested.param.name; });

}  // namespace
}  // namespace mangoplank::dispatch
