// Tests of quotas, preemption, gang reservations, and worker health.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "test_cell.h"

namespace mangoplank::placement {
namespace {

using ::testing::Contains;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;
using ::testing::SizeIs;

constexpr core::resources kSmall{1000, 1024, 0};
constexpr core::resources kWorker{4000, 8192, 0};

std::vector<evict> Evictions(const round& decided) {
  std::vector<evict> evictions;
  for (const decision& d : decided.decisions) {
    if (const auto* eviction = std::get_if<evict>(&d)) {
      evictions.push_back(*eviction);
    }
  }
  return evictions;
}

// Guards against a department that cannot reclaim its quota from borrowers.
TEST(SharingTest, QuotaIsReclaimedFromBorrowers) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddDepartment("owner", 1, {2000, 8192, 0});
  c.AddDepartment("guest", 1, {1000, 1024, 0});
  const auto guest = c.PutObject("guest", "fill", MakeBatchJob(4, kSmall));
  c.Step();
  ASSERT_EQ(c.Placed(guest), 4);
  const auto owner = c.PutObject("owner", "own", MakeBatchJob(4, kSmall));
  for (int i = 0; i < 6; ++i) c.Step();
  EXPECT_EQ(c.Placed(owner), 2);
  EXPECT_EQ(c.Placed(guest), 2);
  EXPECT_EQ(c.refused_placements, 0);
}

// Guards against eviction of work within its department's quota.
TEST(SharingTest, WorkWithinQuotaIsNotEvicted) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddDepartment("a", 1, {4000, 8192, 0});
  c.AddDepartment("b", 100, {4000, 8192, 0});
  const auto a = c.PutObject("a", "fill", MakeBatchJob(4, kSmall));
  c.Step();
  c.PutObject("b", "own", MakeBatchJob(4, kSmall, cell::urgency::kUrgent));
  EXPECT_THAT(Evictions(c.Step()), IsEmpty());
  EXPECT_EQ(c.Placed(a), 4);
}

// Guards against evicting work without a checkpoint, or older or more urgent
// work, first, which loses progress.
TEST(SharingTest, CheckpointedLowUrgencyAndLatestStartedIsEvictedFirst) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddDepartment("owner", 1, {1000, 1024, 0});
  cell::batch_job_spec saved = MakeBatchJob(1, kSmall);
  saved.checkpoint = true;
  saved.urgency = cell::urgency::kLow;
  c.PutObject("guest", "plain", MakeBatchJob(1, kSmall));
  c.Step();
  const auto early = c.PutObject("guest", "early", saved);
  c.Step();
  c.now += std::chrono::seconds(1);
  const auto late = c.PutObject("guest", "late", saved);
  c.Step();
  c.PutObject("guest", "normal", MakeBatchJob(1, kSmall));
  c.Step();
  ASSERT_EQ(c.Placed(early) + c.Placed(late), 2);
  c.PutObject("owner", "own", MakeBatchJob(1, kSmall));
  const auto evictions = Evictions(c.Decide());
  ASSERT_THAT(evictions, SizeIs(1));
  EXPECT_TRUE(evictions[0].checkpoint);
  EXPECT_THAT(evictions[0].tasks, testing::ElementsAre(cell::task_id{late, 0}));
}

// Guards against running a non-idempotent task twice.
TEST(SharingTest, NonIdempotentWorkIsNotEvicted) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddDepartment("owner", 1, {1000, 1024, 0});
  cell::batch_job_spec once = MakeBatchJob(4, kSmall);
  once.idempotent = false;
  c.PutObject("guest", "once", once);
  c.Step();
  c.PutObject("owner", "own", MakeBatchJob(1, kSmall));
  EXPECT_THAT(Evictions(c.Step()), IsEmpty());
}

// Guards against giving capacity freed for one task to another, and against a
// second eviction for the same task while the first is in progress.
TEST(SharingTest, FreedCapacityIsEarmarkedForItsTask) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddDepartment("owner", 1, {1000, 1024, 0});
  c.PutObject("guest", "fill", MakeBatchJob(8, kSmall));
  c.Step();
  const auto own = c.PutObject("owner", "own", MakeBatchJob(1, kSmall));
  const round r = c.Decide();
  ASSERT_THAT(Evictions(r), SizeIs(1));
  for (const decision& d : r.decisions) c.Commit(d);
  EXPECT_THAT(c.Decide().decisions, IsEmpty());
  c.RunAll();
  c.Step();
  EXPECT_EQ(c.Placed(own), 1);
}

// Guards against urgent work that waits for less urgent work with which its own
// department exceeds its quota.
TEST(SharingTest, UrgentWorkPreemptsBorrowedWorkOfItsDepartment) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddDepartment("a", 1, {2000, 2048, 0});
  const auto low =
      c.PutObject("a", "low", MakeBatchJob(4, kSmall, cell::urgency::kLow));
  c.Step();
  ASSERT_EQ(c.Placed(low), 4);
  const auto urgent =
      c.PutObject("a", "now", MakeBatchJob(3, kSmall, cell::urgency::kUrgent));
  for (int i = 0; i < 6; ++i) c.Step();
  EXPECT_EQ(c.Placed(urgent), 2);
  EXPECT_EQ(c.Placed(low), 2);
}

// Guards against urgent work that waits because its department's quota is
// exactly used up, and against evicting other departments for it.
TEST(SharingTest, UrgentWorkPreemptsWorkOfItsDepartmentAtFullQuota) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddDepartment("a", 1, {2000, 2048, 0});
  c.AddDepartment("b", 1, {2000, 2048, 0});
  const auto a = c.PutObject("a", "fill", MakeBatchJob(2, kSmall));
  const auto b = c.PutObject("b", "fill", MakeBatchJob(2, kSmall));
  c.Step();
  const auto urgent =
      c.PutObject("a", "now", MakeBatchJob(1, kSmall, cell::urgency::kUrgent));
  const auto evictions = Evictions(c.Step());
  ASSERT_THAT(evictions, SizeIs(1));
  EXPECT_EQ(evictions[0].reason, evict_reason::kPreempted);
  c.Step();
  EXPECT_EQ(c.Placed(urgent), 1);
  EXPECT_EQ(c.Placed(a), 1);
  EXPECT_EQ(c.Placed(b), 2);
}

// Guards against children that together get more than their parent's share.
TEST(SharingTest, ShareOfParentIsSplitAmongChildren) {
  test_cell c;
  for (int i = 0; i < 10; ++i) c.AddWorker(NumberedName("w", i), kWorker);
  c.AddDepartment("x");
  c.AddDepartment("y");
  c.AddDepartment("x1", 1, {}, "x");
  c.AddDepartment("x2", 3, {}, "x");
  const auto x1 = c.PutObject("x1", "job", MakeBatchJob(100, kSmall));
  const auto x2 = c.PutObject("x2", "job", MakeBatchJob(100, kSmall));
  const auto y = c.PutObject("y", "job", MakeBatchJob(100, kSmall));
  c.Step();
  EXPECT_EQ(c.Placed(x1), 5);
  EXPECT_EQ(c.Placed(x2), 15);
  EXPECT_EQ(c.Placed(y), 20);
}

// Guards against ignoring past usage when an idle department competes with one
// that has used the cell all the time.
TEST(SharingTest, PastUsageLowersRank) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  const auto a = c.PutObject("a", "one", MakeBatchJob(4, kSmall));
  c.Step();
  c.now += std::chrono::minutes(20);
  c.Step();
  for (std::uint32_t i = 0; i < 4; ++i) {
    c.Report({a, i}, cell::task_phase::kSucceeded);
  }
  const auto more = c.PutObject("a", "two", MakeBatchJob(4, kSmall));
  const auto b = c.PutObject("b", "one", MakeBatchJob(4, kSmall));
  c.Step();
  EXPECT_GT(c.Placed(b), c.Placed(more));
}

// Guards against starvation of a gang whose workers are never all free at once,
// and against idle reserved workers while the gang waits.
TEST(SharingTest, ReservedWorkersAreBackfilledUntilGangFits) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddWorker("w2", kWorker);
  cell::batch_job_spec once = MakeBatchJob(1, {4000, 1024, 0});
  once.idempotent = false;
  const auto first = c.PutObject("a", "first", once);
  c.Step();
  const auto gang = c.PutObject("b", "gang", MakeGangJob(8, kSmall));
  c.Step();
  const auto small = c.PutObject("a", "small", MakeBatchJob(4, kSmall));
  c.Step();
  EXPECT_EQ(c.Placed(small), 4);
  c.Report({first, 0}, cell::task_phase::kSucceeded);
  for (int i = 0; i < 4; ++i) c.Step();
  EXPECT_EQ(c.Placed(gang), 8);
  EXPECT_EQ(c.refused_placements, 0);
}

// Guards against a deadlock of two gangs that each hold half of the cell.
TEST(SharingTest, GangsRunOneAfterTheOther) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddWorker("w2", kWorker);
  const auto one = c.PutObject("a", "one", MakeGangJob(6, kSmall));
  const auto two = c.PutObject("b", "two", MakeGangJob(6, kSmall));
  c.Step();
  EXPECT_EQ(c.Placed(one) + c.Placed(two), 6);
  const auto running = c.Placed(one) > 0 ? one : two;
  for (std::uint32_t i = 0; i < 6; ++i) {
    c.Report({running, i}, cell::task_phase::kSucceeded);
  }
  c.Step();
  EXPECT_EQ(c.Placed(running == one ? two : one), 6);
}

// Guards against restarting a failed gang task while other tasks of the old
// gang still run.
TEST(SharingTest, GangRestartsAsAWholeAfterTaskFailure) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  const auto gang = c.PutObject("a", "gang", MakeGangJob(3, kSmall));
  c.Step();
  c.Report({gang, 1}, cell::task_phase::kFailed);
  EXPECT_THAT(c.Decide().decisions, IsEmpty());
  c.RunAll();
  const round r = c.Step();
  ASSERT_THAT(r.decisions, SizeIs(1));
  EXPECT_THAT(std::get<place>(r.decisions[0]).group, SizeIs(3));
}

// Guards against a faulty worker that fails every task and, being always free,
// attracts all work, and against ending its quarantine without a probe.
TEST(HealthTest, FailingWorkerIsQuarantinedProbedAndReleased) {
  test_cell c;
  c.AddWorker("bad", kWorker);
  std::vector<core::revision> jobs;
  for (int i = 0; i < 3; ++i) {
    jobs.push_back(
        c.PutObject("a", NumberedName("job", i), MakeBatchJob(1, kSmall)));
  }
  c.Step();
  for (const auto job : jobs) c.Report({job, 0}, cell::task_phase::kFailed);
  EXPECT_THAT(c.Step().decisions, IsEmpty());
  EXPECT_THAT(
      c.scheduler.Explain({cell::object_kind::kBatchJob, {"a"}, "job0"}, c.now)
          .lines,
      Contains(HasSubstr("1 workers are quarantined")));
  cell::batch_job_spec once = MakeBatchJob(1, kSmall);
  once.idempotent = false;
  const auto single = c.PutObject("a", "once", once);
  const auto probe = c.PutObject("a", "probe", MakeBatchJob(2, kSmall));
  c.now += std::chrono::seconds(31);
  EXPECT_THAT(c.Step().decisions, SizeIs(1));
  EXPECT_EQ(c.Placed(probe), 1);
  c.Report({probe, 0}, cell::task_phase::kSucceeded);
  c.Step();
  EXPECT_EQ(c.Placed(single), 1);
}

// Guards against quarantining healthy workers because of a faulty job, and
// against a faulty job that uses up starts of other jobs.
TEST(HealthTest, FaultyJobIsDelayedWithoutQuarantiningWorkers) {
  test_cell c;
  for (int i = 0; i < 4; ++i) c.AddWorker(NumberedName("w", i), kWorker);
  cell::batch_job_spec spec = MakeBatchJob(1, kSmall);
  spec.max_retries = 100;
  std::vector<core::revision> bad;
  for (int i = 0; i < 4; ++i) {
    bad.push_back(c.PutObject("a", NumberedName("bad", i), spec));
  }
  int starts = 0;
  for (int second = 0; second < 60; ++second) {
    c.now += std::chrono::seconds(1);
    c.Step();
    for (const auto job : bad) {
      if (c.Placed(job) == 0) continue;
      ++starts;
      c.Report({job, 0}, cell::task_phase::kFailed);
    }
  }
  // Delays of 1, 2, 4, ... s allow about 8 starts of each job in 60 s.
  EXPECT_LE(starts, 4 * 9);
  const auto good = c.PutObject("b", "good", MakeBatchJob(16, kSmall));
  c.Step();
  c.Step();
  EXPECT_GE(c.Placed(good), 12);
}

// Guards against a retry storm of one department's crashing tasks.
TEST(HealthTest, RetriesAreLimitedPerDepartment) {
  policy p;
  p.retry_burst = 5;
  p.retries_per_second = 0;
  p.quarantine_min_jobs = 100;
  test_cell c(p);
  c.AddWorker("w1", {64000, 65536, 0});
  cell::batch_job_spec spec = MakeBatchJob(20, kSmall);
  spec.max_retries = 100;
  const auto job = c.PutObject("a", "job", spec);
  c.Step();
  for (std::uint32_t i = 0; i < 20; ++i) {
    c.Report({job, i}, cell::task_phase::kFailed);
  }
  c.now += std::chrono::minutes(10);
  c.Step();
  EXPECT_EQ(c.Placed(job), 5);
}

// Guards against overloading a worker with tasks that declare too little.
TEST(EstimateTest, WorkerThatFitsEstimatedUsageIsPreferred) {
  test_cell c;
  c.AddWorker("tight", {3000, 8192, 0});
  const auto job = c.PutObject("a", "job", MakeBatchJob(3, kSmall));
  c.Step();
  ASSERT_EQ(c.WorkerOf({job, 0}), "tight");
  for (int i = 0; i < 30; ++i) {
    c.scheduler.ObserveUsage({job, 0}, {3500, 1024, 0}, c.now);
  }
  c.Report({job, 0}, cell::task_phase::kFailed);
  c.AddWorker("wide", {16000, 32768, 0});
  c.Step();
  EXPECT_EQ(c.WorkerOf({job, 0}), "wide");
}

// Guards against traffic between regions that a short wait avoids, and against
// an unbounded wait.
TEST(LocalityTest, BatchTaskWaitsBrieflyForHomeRegion) {
  test_cell c;
  c.AddWorker("near", kWorker, "r1");
  const auto job = c.PutObject("a", "job", MakeBatchJob(8, kSmall));
  c.Step();
  ASSERT_EQ(c.Placed(job), 4);
  c.AddWorker("far", kWorker, "r2");
  c.now += std::chrono::seconds(1);
  c.Step();
  EXPECT_EQ(c.Placed(job), 4);
  EXPECT_THAT(
      c.scheduler.Explain({cell::object_kind::kBatchJob, {"a"}, "job"}, c.now)
          .lines,
      Contains(HasSubstr("will use another region")));
  c.now += std::chrono::seconds(5);
  c.Step();
  EXPECT_EQ(c.Placed(job), 8);
}

// Guards against leaking information about one department to another.
TEST(ExplainTest, DoesNotNameOtherDepartments) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.PutObject("rival", "secret", MakeBatchJob(8, kSmall));
  c.Step();
  c.PutObject("own", "job", MakeBatchJob(1, kSmall));
  c.Step();
  const auto lines =
      c.scheduler.Explain({cell::object_kind::kBatchJob, {"own"}, "job"}, c.now)
          .lines;
  EXPECT_THAT(
      lines,
      Contains("No worker has enough free capacity for one of its tasks."));
  for (const std::string& line : lines) {
    EXPECT_THAT(line, Not(HasSubstr("rival")));
    EXPECT_THAT(line, Not(HasSubstr("secret")));
  }
}

}  // namespace
}  // namespace mangoplank::placement
