#include "mangoplank/workflow/state.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <numeric>
#include <random>

#include "mangoplank/wire/codec.h"

namespace mangoplank::workflow {
namespace {

worker_key Key(const std::string& id, core::wall_time_ms incarnation) {
  return {{id}, incarnation};
}

worker MakeWorker(const std::string& id, core::wall_time_ms incarnation = 1) {
  worker w;
  w.key = Key(id, incarnation);
  w.address = {"127.0.0.1", 80};
  w.pool = "pool";
  w.capacity = {8'000, 8'000, 0};
  w.report_sequence = 3;
  return w;
}

queue MakeQueue(const std::string& prefix = "/q/") {
  queue q;
  q.name = "q" + prefix;
  q.host = "host";
  q.path_prefix = prefix;
  q.timeout_ms = 1'000;
  q.pool = "pool";
  q.max_attempts = 2;
  return q;
}

job_spec MakeJob(std::vector<step> steps) {
  job_spec spec;
  spec.id = "j";
  spec.steps = std::move(steps);
  return spec;
}

run_id RunOf(std::uint32_t step, std::uint32_t index, std::uint32_t number) {
  return {{"j", 0, step, index}, number};
}

/// State with two workers, a catalog and the job "j".
state MakeState(std::vector<step> steps) {
  state s;
  catalog c;
  c.version = 3;
  c.queues = {MakeQueue(), MakeQueue("/q/long/")};
  c.pools = {{"pool", false, false}};
  s.Apply(catalog_declared{c});
  s.Apply(worker_announced{MakeWorker("w1")});
  s.Apply(worker_announced{MakeWorker("w2")});
  s.Apply(job_accepted{MakeJob(std::move(steps)), MakeQueue(), 5});
  return s;
}

const task& TaskOf(const state& state, const run_id& run) {
  const job* const job = state.FindJob(run.task.job);
  return job->tasks[*job->FindTaskIndex(run.task)];
}

// Guards against a delayed, older declaration that replaces the catalog.
TEST(WorkflowStateTest, OnlyAHigherVersionReplacesTheCatalog) {
  state s = MakeState({step{}});
  catalog older;
  older.version = 2;
  s.Apply(catalog_declared{older});
  EXPECT_EQ(s.Catalog().version, 3u);
  catalog same;
  same.version = 3;
  s.Apply(catalog_declared{same});
  EXPECT_EQ(s.Catalog().queues.size(), 2u);
}

// Guards against routing a request to the queue of a shorter prefix.
TEST(WorkflowStateTest, TheLongestPrefixSelectsTheQueue) {
  const state s = MakeState({step{}});
  EXPECT_EQ(s.Route("host", "/q/x")->path_prefix, "/q/");
  EXPECT_EQ(s.Route("host", "/q/long/x")->path_prefix, "/q/long/");
  EXPECT_EQ(s.Route("other", "/q/x"), nullptr);
}

// Guards against running a job by the policies, or on the pool, of another
// queue that a later declaration gives the name of the job's queue.
TEST(WorkflowStateTest, AJobFollowsTheQueueAtItsAddress) {
  state s = MakeState({step{}});
  catalog renamed;
  renamed.version = 4;
  queue at_address = MakeQueue();
  at_address.name = "renamed";
  at_address.pool = "other";
  queue elsewhere = MakeQueue("/elsewhere/");
  elsewhere.name = MakeQueue().name;
  renamed.queues = {elsewhere, at_address};
  s.Apply(catalog_declared{renamed});
  EXPECT_EQ(s.QueueOf(*s.FindJob("j")).pool, "other");
  renamed.version = 5;
  renamed.queues = {elsewhere};
  s.Apply(catalog_declared{renamed});
  EXPECT_EQ(s.QueueOf(*s.FindJob("j")), MakeQueue());
}

// Guards against a resubmission that restarts a job.
TEST(WorkflowStateTest, ResubmittingAJobChangesNothing) {
  state s = MakeState({step{}});
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  const state before = s;
  s.Apply(job_accepted{MakeJob({step{}}), MakeQueue(), 9});
  EXPECT_EQ(s, before);
}

// Guards against two runs of one task.
TEST(WorkflowStateTest, AnAssignedTaskIsNotAssignedAgain) {
  state s = MakeState({step{}});
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  s.Apply(run_assigned{RunOf(0, 0, 2), Key("w2", 1)});
  EXPECT_EQ(TaskOf(s, RunOf(0, 0, 1)).worker, Key("w1", 1));
  EXPECT_TRUE(s.IsAssigned(RunOf(0, 0, 1)));
  EXPECT_FALSE(s.IsAssigned(RunOf(0, 0, 2)));
}

// Guards against a run on a removed worker or another incarnation.
TEST(WorkflowStateTest, OnlyAKnownIncarnationGetsRuns) {
  state s = MakeState({step{}});
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 2)});
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w3", 1)});
  EXPECT_EQ(TaskOf(s, RunOf(0, 0, 1)).phase, task_phase::kWaiting);
}

// Guards against the end of an earlier run that is applied to the current one.
TEST(WorkflowStateTest, AnEndOfAnotherRunChangesNothing) {
  state s = MakeState({step{}});
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kStopped, "half"});
  s.Apply(run_assigned{RunOf(0, 0, 2), Key("w2", 1)});
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kDone, ""});
  EXPECT_TRUE(s.IsAssigned(RunOf(0, 0, 2)));
  EXPECT_EQ(TaskOf(s, RunOf(0, 0, 2)).checkpoint, "half");
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kRunning);
}

// Guards against steps that start before their dependencies, and against a job
// that is reported as succeeded too early.
TEST(WorkflowStateTest, StepsWaitForTheirDependencies) {
  step second;
  second.depends_on = {0};
  state s = MakeState({step{}, second});
  EXPECT_FALSE(s.FindJob("j")->IsStepReady(0, 1));
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kDone, ""});
  EXPECT_TRUE(s.FindJob("j")->IsStepReady(0, 1));
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kRunning);
  s.Apply(run_assigned{RunOf(1, 0, 1), Key("w1", 1)});
  s.Apply(run_ended{RunOf(1, 0, 1), run_end::kDone, ""});
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kSucceeded);
}

// Guards against a job that fails before its attempts are exhausted, or never.
TEST(WorkflowStateTest, OnlyFailedRunsCountAsAttempts) {
  state s = MakeState({step{}});
  const run_end ends[] = {run_end::kStopped, run_end::kLost, run_end::kFailed,
                          run_end::kNotStarted};
  std::uint32_t number = 0;
  for (const run_end ending : ends) {
    s.Apply(run_assigned{RunOf(0, 0, ++number), Key("w1", 1)});
    s.Apply(run_ended{RunOf(0, 0, number), ending, ""});
    EXPECT_EQ(s.FindJob("j")->phase, job_phase::kRunning);
  }
  s.Apply(run_assigned{RunOf(0, 0, ++number), Key("w1", 1)});
  s.Apply(run_ended{RunOf(0, 0, number), run_end::kFailed, ""});
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kFailed);
}

// Guards against giving up a job after fewer losses of workers than make its
// task the likely cause, or after none at all.
TEST(WorkflowStateTest, OnlyRepeatedLossesOfItsWorkersEndAJob) {
  struct row {
    std::vector<run_end> ends;
    job_phase phase;
  };
  using enum run_end;
  const row rows[] = {
      {{kCrashedAtStart, kCrashedAtStart, kCrashedAtStart}, job_phase::kQueued},
      {{kCrashedAtStart, kCrashed, kCrashedAtStart, kCrashedAtStart},
       job_phase::kFailed},
      {{kCrashed, kCrashed, kCrashed}, job_phase::kRunning},
      {{kCrashed, kCrashed, kCrashed, kCrashed}, job_phase::kFailed},
      {{kUnreachable, kUnreachable, kUnreachable, kUnreachable},
       job_phase::kQueued},
      {{kUnreachable, kUnreachable, kUnreachable, kUnreachable, kUnreachable},
       job_phase::kFailed},
      {{kUnreachable, kCrashedAtStart, kCrashedAtStart, kCrashedAtStart},
       job_phase::kQueued},
      {{kLost, kLost, kLost, kLost, kLost, kLost}, job_phase::kRunning},
      {{kLostUnconfirmed, kLostUnconfirmed, kLostUnconfirmed, kLostUnconfirmed,
        kLostUnconfirmed, kLostUnconfirmed},
       job_phase::kQueued},
      {{kLostUnconfirmed, kCrashedAtStart, kCrashedAtStart},
       job_phase::kQueued},
      {{kLostUnconfirmed, kCrashedAtStart, kCrashedAtStart, kFailed,
        kCrashedAtStart},
       job_phase::kFailed},
      {{kNotStarted, kNotStarted, kNotStarted, kNotStarted, kNotStarted},
       job_phase::kQueued}};
  for (const row& r : rows) {
    state s = MakeState({step{}});
    std::uint32_t number = 0;
    for (const run_end ending : r.ends) {
      s.Apply(run_assigned{RunOf(0, 0, ++number), Key("w1", 1)});
      s.Apply(run_ended{RunOf(0, 0, number), ending, ""});
    }
    EXPECT_EQ(s.FindJob("j")->phase, r.phase) << Name(r.ends.front());
    const bool failed = r.phase == job_phase::kFailed;
    EXPECT_EQ(s.FindJob("j")->failure == job_failure::kWorkerCrashes, failed);
  }
}

// Guards against giving up a service since workers crashed in the weeks for
// which it runs, and against one that crashes each worker that starts it.
TEST(WorkflowStateTest, ALongRunningTaskIsGivenUpOnlyForCrashesInARow) {
  step service;
  service.long_running = true;
  state s = MakeState({service});
  std::uint32_t number = 0;
  const auto lose = [&](run_end ending) {
    s.Apply(run_assigned{RunOf(0, 0, ++number), Key("w1", 1)});
    s.Apply(run_ended{RunOf(0, 0, number), ending, ""});
  };
  for (int i = 0; i < 10; ++i) {
    for (int n = 0; n < 3; ++n) lose(run_end::kCrashed);
    lose(i % 2 == 0 ? run_end::kLost : run_end::kFailed);
    EXPECT_FALSE(IsFinal(s.FindJob("j")->phase));
  }
  for (int n = 0; n < 4; ++n) lose(run_end::kCrashedAtStart);
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kFailed);
}

// Guards against a gang whose members resume from different checkpoints, since
// one of them ended without one: all must carry the same.
TEST(WorkflowStateTest, AGangResumesFromOneCheckpoint) {
  step gang;
  gang.count = 3;
  gang.gang = gang.checkpointing = true;
  state s = MakeState({gang});
  for (std::uint32_t i = 0; i < 3; ++i) {
    s.Apply(run_assigned{RunOf(0, i, 1), Key("w1", 1)});
  }
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kGangMemberEnded, "third"});
  s.Apply(run_ended{RunOf(0, 1, 1), run_end::kGangMemberEnded, "half"});
  s.Apply(run_ended{RunOf(0, 2, 1), run_end::kLeaseExpired, ""});
  for (std::uint32_t i = 0; i < 3; ++i) {
    EXPECT_EQ(TaskOf(s, RunOf(0, i, 1)).checkpoint, "half") << i;
  }
}

// Guards against gangs whose members succeed separately, or whose failures are
// counted per member.
TEST(WorkflowStateTest, AGangSucceedsAndFailsAsAWhole) {
  step gang;
  gang.count = 2;
  gang.gang = true;
  state s = MakeState({gang});
  for (std::uint32_t run = 1; run <= 2; ++run) {
    s.Apply(run_assigned{RunOf(0, 0, run), Key("w1", 1)});
    s.Apply(run_assigned{RunOf(0, 1, run), Key("w2", 1)});
    if (run == 2) break;
    s.Apply(run_ended{RunOf(0, 0, run), run_end::kFailed, ""});
    s.Apply(run_ended{RunOf(0, 1, run), run_end::kGangMemberEnded, ""});
    EXPECT_EQ(s.FindJob("j")->phase, job_phase::kRunning);
  }
  s.Apply(run_ended{RunOf(0, 1, 2), run_end::kDone, ""});
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kSucceeded);
  EXPECT_FALSE(s.IsAssigned(RunOf(0, 0, 2)));
}

// Guards against counting members of a gang that fail in one run as several
// attempts (review/8): in any order, with a snapshot in between, and with the
// ends of other kinds beside them.
TEST(WorkflowStateTest, ARunOfAGangIsOneAttempt) {
  step gang;
  gang.count = 4;
  gang.gang = true;
  state s = MakeState({gang});
  std::vector<std::uint32_t> order = {0, 1, 2, 3};
  do {
    s = MakeState({gang});
    for (std::uint32_t run = 1; run <= 2; ++run) {
      for (const std::uint32_t member : order) {
        s.Apply(run_assigned{RunOf(0, member, run), Key("w1", 1)});
      }
      for (const std::uint32_t member : order) {
        const run_end ending =
            member == 2 ? run_end::kGangMemberEnded : run_end::kFailed;
        s.Apply(run_ended{RunOf(0, member, run), ending, ""});
        const auto image = core::Capture(
            [&] { return wire::DecodeWorkflowImage(wire::Encode(s.Image())); });
        ASSERT_TRUE(image);
        s = state::FromImage(*image);
      }
      if (run == 2) break;
      EXPECT_FALSE(IsFinal(s.FindJob("j")->phase));
      EXPECT_EQ(s.FindJob("j")->CountAttempts({"j", 0, 0, 0}), 1u);
    }
    EXPECT_EQ(s.FindJob("j")->failure, job_failure::kAttempts);
  } while (std::next_permutation(order.begin(), order.end()));
}

// Guards against a gang without an end, as another member fails in each run,
// and against a late end of an earlier run that counts for a later one.
TEST(WorkflowStateTest, AGangUsesAnAttemptForEachRunThatFails) {
  step gang;
  gang.count = 2;
  gang.gang = true;
  state s = MakeState({gang});
  for (std::uint32_t run = 1; run <= 2; ++run) {
    EXPECT_FALSE(IsFinal(s.FindJob("j")->phase));
    for (std::uint32_t member = 0; member < 2; ++member) {
      s.Apply(run_assigned{RunOf(0, member, run), Key("w1", 1)});
    }
    if (run == 2) s.Apply(run_ended{RunOf(0, 1, 1), run_end::kFailed, ""});
    EXPECT_EQ(s.FindJob("j")->CountAttempts({"j", 0, 0, 1}), run - 1);
    s.Apply(run_ended{RunOf(0, run - 1, run), run_end::kFailed, ""});
    s.Apply(run_ended{RunOf(0, 2 - run, run), run_end::kLeaseExpired, ""});
  }
  EXPECT_EQ(s.FindJob("j")->failure, job_failure::kAttempts);
}

/// Passes the state through a snapshot, as a process that falls behind gets it.
state Restored(const state& state) {
  const auto image = core::Capture(
      [&] { return wire::DecodeWorkflowImage(wire::Encode(state.Image())); });
  EXPECT_TRUE(image);
  return image ? state::FromImage(*image) : workflow::state{};
}

// Guards against LOST and BUDGET by a sequence of ends that no other test has:
// the ends of all members in any order, each end of any kind, late ends of
// earlier runs, and snapshots between them. A run is one attempt if a member
// ended as failed in it.
TEST(WorkflowStateTest, AttemptsOfAGangAreItsRunsWithAFailedMember) {
  constexpr std::uint32_t kMembers = 4;
  constexpr std::uint32_t kMaxAttempts = 3;
  constexpr std::uint32_t kSequences = 3'000;
  const std::vector<run_end> endings = {
      run_end::kFailed,         run_end::kFailed,
      run_end::kFailed,         run_end::kStopped,
      run_end::kLeaseExpired,   run_end::kNotStarted,
      run_end::kLost,           run_end::kGangMemberEnded,
      run_end::kGangIncomplete, run_end::kLostUnconfirmed};
  step gang;
  gang.count = kMembers;
  gang.gang = true;
  for (std::uint32_t seed = 1; seed <= kSequences; ++seed) {
    SCOPED_TRACE(seed);
    std::mt19937 random(seed);
    const auto draw = [&](std::size_t count) { return random() % count; };
    state s = MakeState({gang});
    catalog declared = s.Catalog();
    declared.version = 4;
    declared.queues[0].max_attempts = kMaxAttempts;
    s.Apply(catalog_declared{declared});
    std::uint32_t attempts = 0;
    for (std::uint32_t run = 1; attempts < kMaxAttempts && run < 30; ++run) {
      std::vector<std::uint32_t> order(kMembers);
      std::iota(order.begin(), order.end(), 0);
      std::shuffle(order.begin(), order.end(), random);
      for (const std::uint32_t member : order) {
        s.Apply(run_assigned{RunOf(0, member, run), Key("w1", 1)});
      }
      bool has_failed = false;
      for (const std::uint32_t member : order) {
        if (draw(4) == 0) s = Restored(s);
        if (run > 1 && draw(3) == 0) {
          const auto earlier = static_cast<std::uint32_t>(1 + draw(run - 1));
          const auto late = static_cast<std::uint32_t>(draw(kMembers));
          s.Apply(run_ended{RunOf(0, late, earlier), run_end::kFailed, ""});
        }
        const run_end ending = endings[draw(endings.size())];
        has_failed = has_failed || ending == run_end::kFailed;
        s.Apply(run_ended{RunOf(0, member, run), ending, ""});
        // The same end, listed again.
        if (draw(4) == 0) s.Apply(run_ended{RunOf(0, member, run), ending, ""});
        const bool is_last = attempts + has_failed == kMaxAttempts;
        ASSERT_EQ(IsFinal(s.FindJob("j")->phase), is_last);
        if (s.FindJob("j")->tasks.empty()) continue;
        ASSERT_EQ(s.FindJob("j")->CountAttempts({"j", 0, 0, 0}),
                  attempts + has_failed);
      }
      if (has_failed) ++attempts;
    }
    ASSERT_EQ(s.FindJob("j")->failure, job_failure::kAttempts);
    s.Apply(run_assigned{RunOf(0, 0, 30), Key("w1", 1)});
    ASSERT_FALSE(s.IsAssigned(RunOf(0, 0, 30)));
  }
}

// Guards against gangs of other steps or occurrences that use up the attempts
// of one: their runs have the same numbers.
TEST(WorkflowStateTest, GangsOfOtherStepsAndOccurrencesHaveTheirOwnAttempts) {
  step gang;
  gang.count = 3;
  gang.gang = true;
  state s = MakeState({step{}});
  job_spec repeated = MakeJob({gang, gang});
  repeated.id = "r";
  repeated.repeat_count = 3;
  s.Apply(job_accepted{repeated, MakeQueue(), 5});
  const auto run = [&](std::uint32_t occurrence, std::uint32_t step,
                       std::uint32_t member, std::uint32_t number) {
    return run_id{{"r", occurrence, step, member}, number};
  };
  for (std::uint32_t member = 0; member < 3; ++member) {
    for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence) {
      for (std::uint32_t step = 0; step < 2; ++step) {
        const run_id id = run(occurrence, step, member, 1);
        s.Apply(run_assigned{id, Key("w1", 1)});
        s.Apply(run_ended{id, run_end::kFailed, ""});
        s = Restored(s);
      }
    }
  }
  ASSERT_FALSE(IsFinal(s.FindJob("r")->phase));
  for (std::uint32_t occurrence = 0; occurrence < 3; ++occurrence) {
    for (std::uint32_t step = 0; step < 2; ++step) {
      EXPECT_EQ(s.FindJob("r")->CountAttempts({"r", occurrence, step, 2}), 1u);
    }
  }
  // The second failed run of one of them is the end of the job.
  s.Apply(run_assigned{run(1, 1, 2, 2), Key("w1", 1)});
  s.Apply(run_ended{run(1, 1, 2, 2), run_end::kFailed, ""});
  EXPECT_EQ(s.FindJob("r")->failure, job_failure::kAttempts);
}

// Guards against a cancelled job that is shown as failed, since members of a
// gang fail after the cancelling.
TEST(WorkflowStateTest, FailuresAfterACancelChangeNothing) {
  step gang;
  gang.count = 3;
  gang.gang = true;
  state s = MakeState({gang});
  for (std::uint32_t member = 0; member < 3; ++member) {
    s.Apply(run_assigned{RunOf(0, member, 1), Key("w1", 1)});
  }
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kFailed, ""});
  s.Apply(job_cancelled{"j"});
  s.Apply(run_ended{RunOf(0, 1, 1), run_end::kFailed, ""});
  s = Restored(s);
  s.Apply(run_ended{RunOf(0, 2, 1), run_end::kFailed, ""});
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kCancelled);
  EXPECT_TRUE(s.FindJob("j")->tasks.empty());
}

// Guards against a cancelled job that gets new runs.
TEST(WorkflowStateTest, ACancelledJobGetsNoRuns) {
  state s = MakeState({step{}});
  s.Apply(job_cancelled{"j"});
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kCancelled);
  EXPECT_FALSE(s.IsAssigned(RunOf(0, 0, 1)));
}

// Guards against a delayed report of an earlier incarnation that replaces the
// current one, and against ending runs although a start order may still reach
// the new incarnation.
TEST(WorkflowStateTest, RunsStayAssignedAcrossIncarnations) {
  state s = MakeState({step{}});
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  s.Apply(worker_announced{MakeWorker("w1", 7)});
  s.Apply(worker_announced{MakeWorker("w1", 1)});
  EXPECT_EQ(s.Workers().at({"w1"}).key.incarnation, 7);
  EXPECT_TRUE(s.IsAssigned(RunOf(0, 0, 1)));
  s.Apply(worker_removed{Key("w1", 7)});
  EXPECT_FALSE(s.IsAssigned(RunOf(0, 0, 1)));
}

// Guards against counting a job as started because a run is assigned, and
// against jobs that are not counted as queued although all of their starts were
// abandoned (found by a randomized run with late orders, seed 375614856216).
TEST(WorkflowStateTest, AJobIsQueuedUntilARunHasStarted) {
  state s = MakeState({step{}});
  EXPECT_EQ(s.CountQueued(MakeQueue()), 1u);
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  EXPECT_EQ(s.CountQueued(MakeQueue()), 1u);
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kQueued);
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kNotStarted, ""});
  s.Apply(run_assigned{RunOf(0, 0, 2), Key("w1", 1)});
  EXPECT_EQ(s.CountQueued(MakeQueue()), 1u);
  s.Apply(job_started{"j"});
  EXPECT_EQ(s.CountQueued(MakeQueue()), 0u);
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kRunning);
  s.Apply(run_ended{RunOf(0, 0, 2), run_end::kNotStarted, ""});
  EXPECT_EQ(s.CountQueued(MakeQueue()), 0u);
}

// Guards against a job that stays queued after a run has ended on a worker
// before its start was recorded, and against starts of ended jobs.
TEST(WorkflowStateTest, TheEndOfARunShowsThatItHadStarted) {
  const run_end ends[] = {run_end::kFailed, run_end::kStopped,
                          run_end::kLeaseExpired, run_end::kGangIncomplete};
  for (const run_end ending : ends) {
    state s = MakeState({step{}});
    s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
    s.Apply(run_ended{RunOf(0, 0, 1), ending, ""});
    EXPECT_EQ(s.FindJob("j")->phase, job_phase::kRunning) << Name(ending);
  }
  state s = MakeState({step{}});
  s.Apply(job_cancelled{"j"});
  s.Apply(job_started{"j"});
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kCancelled);
}

// Guards against a log that can't tell jobs whose runs are only assigned from
// those that a worker has started.
TEST(WorkflowStateTest, CountsQueuedJobsWithAssignedRuns) {
  state s = MakeState({step{}});
  EXPECT_EQ(s.CountOnlyAssigned(MakeQueue()), 0u);
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  EXPECT_EQ(s.CountOnlyAssigned(MakeQueue()), 1u);
  EXPECT_EQ(s.CountOnlyAssigned(MakeQueue("/q/long/")), 0u);
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kStopped, "half"});
  s.Apply(run_assigned{RunOf(0, 0, 2), Key("w1", 1)});
  EXPECT_EQ(s.CountOnlyAssigned(MakeQueue()), 0u);
}

// Guards against removing the record of a job while a run may still be active.
TEST(WorkflowStateTest, OnlyEndedJobsWithoutRunsArePruned) {
  state s = MakeState({step{}});
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  s.Apply(jobs_pruned{{"j"}});
  s.Apply(job_cancelled{"j"});
  s.Apply(jobs_pruned{{"j"}});
  ASSERT_NE(s.FindJob("j"), nullptr);
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kStopped, ""});
  s.Apply(jobs_pruned{{"j"}});
  EXPECT_EQ(s.FindJob("j"), nullptr);
}

// Guards against snapshots and counts that grow with the tasks of all recently
// ended jobs, and against late events of such a job.
TEST(WorkflowStateTest, TasksOfAnEndedJobAreDropped) {
  step two;
  two.count = 2;
  state s = MakeState({two});
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  s.Apply(run_assigned{RunOf(0, 1, 1), Key("w1", 1)});
  s.Apply(job_cancelled{"j"});
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kStopped, ""});
  EXPECT_TRUE(s.IsAssigned(RunOf(0, 1, 1)));
  s.Apply(run_ended{RunOf(0, 1, 1), run_end::kStopped, ""});
  EXPECT_TRUE(s.FindJob("j")->tasks.empty());
  EXPECT_TRUE(s.FindJob("j")->spec.payload.empty());
  // The resources that a late run uses are still known.
  EXPECT_EQ(s.FindJob("j")->spec.steps.size(), 1u);
  s.Apply(run_ended{RunOf(0, 1, 1), run_end::kStopped, ""});
  s.Apply(run_assigned{RunOf(0, 1, 2), Key("w1", 1)});
  s.Apply(worker_removed{Key("w1", 1)});
  EXPECT_FALSE(s.IsAssigned(RunOf(0, 1, 2)));
  EXPECT_EQ(s.FindJob("j")->phase, job_phase::kCancelled);
}

// Guards against fields that a snapshot or a log entry omits.
TEST(WorkflowStateTest, ImagesAndEventsSurviveEncoding) {
  step all;
  all.count = 2;
  all.need = {1, 2, 3};
  all.estimate_ms = 4;
  all.gang = all.same_rack = all.checkpointing = true;
  all.required_label = "a";
  all.preferred_rack = "r";
  all.max_per_worker = 5;
  step second;
  second.depends_on = {0};
  second.long_running = second.filler = true;
  state s = MakeState({all, second});
  job_spec failed_spec = MakeJob({step{}});
  failed_spec.id = "failed";
  const run_id failed_run{{"failed", 0, 0, 0}, 1};
  s.Apply(run_assigned{RunOf(0, 0, 1), Key("w1", 1)});
  s.Apply(run_ended{RunOf(0, 0, 1), run_end::kUnreachable, ""});
  s.Apply(run_assigned{RunOf(0, 0, 2), Key("w1", 1), true});
  s.Apply(job_accepted{failed_spec, MakeQueue(), 5});
  for (run_id run = failed_run; run.number <= 4; ++run.number) {
    s.Apply(run_assigned{run, Key("w1", 1)});
    s.Apply(run_ended{run, run_end::kCrashedAtStart, ""});
  }
  ASSERT_EQ(s.FindJob("failed")->failure, job_failure::kWorkerCrashes);
  const auto image = core::Capture(
      [&] { return wire::DecodeWorkflowImage(wire::Encode(s.Image())); });
  ASSERT_TRUE(image);
  EXPECT_EQ(state::FromImage(*image), s);
  const std::vector<event> events = {
      catalog_declared{s.Catalog()},
      job_accepted{s.FindJob("j")->spec, MakeQueue(), 8},
      job_cancelled{"j"},
      run_assigned{RunOf(0, 1, 2), Key("w1", 1), true},
      job_started{"j"},
      run_ended{RunOf(0, 1, 2), run_end::kLeaseExpired, "c"},
      run_ended{RunOf(0, 1, 2), run_end::kCrashedAtStart, ""},
      run_ended{RunOf(0, 1, 2), run_end::kLostUnconfirmed, ""},
      worker_announced{MakeWorker("w9")},
      worker_removed{Key("w1", 1)},
      jobs_pruned{{"a", "b"}}};
  const auto read = core::Capture(
      [&] { return wire::DecodeWorkflowEvents(wire::Encode(events)); });
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, events);
}

// Guards against malformed bytes that crash the process.
TEST(WorkflowStateTest, MalformedBytesAreAFailure) {
  const std::string bytes(64, 'x');
  EXPECT_FALSE(
      core::Capture([&] { return wire::DecodeWorkflowEvents(bytes); }));
  EXPECT_FALSE(core::Capture([&] { return wire::DecodeWorkflowImage(bytes); }));
  EXPECT_FALSE(
      core::Capture([&] { return wire::DecodeWorkflowMessage(bytes); }));
}

}  // namespace
}  // namespace mangoplank::workflow
