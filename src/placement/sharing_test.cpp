// Quotas, reclaim, reservations of gang jobs, and worker health.

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

std::vector<evict> Evictions(const round& r) {
  std::vector<evict> found;
  for (const decision& d : r.decisions) {
    if (const auto* e = std::get_if<evict>(&d)) found.push_back(*e);
  }
  return found;
}

// Guards against an owner that waits for room it lent.
TEST(SharingTest, OwnerGetsItsQuotaBackFromBorrowers) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Department("owner", 1, {2000, 8192, 0});
  c.Department("guest", 1, {1000, 1024, 0});
  const auto guest = c.Put("guest", "fill", Batch(4, kSmall));
  c.Step();
  ASSERT_EQ(c.Placed(guest), 4);
  const auto owner = c.Put("owner", "own", Batch(4, kSmall));
  for (int i = 0; i < 6; ++i) c.Step();
  EXPECT_EQ(c.Placed(owner), 2);
  EXPECT_EQ(c.Placed(guest), 2);
  EXPECT_EQ(c.refused, 0);
}

// Guards against eviction of work that is within its owner's quota.
TEST(SharingTest, WorkWithinQuotaIsNotEvicted) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Department("a", 1, {4000, 8192, 0});
  c.Department("b", 100, {4000, 8192, 0});
  const auto a = c.Put("a", "fill", Batch(4, kSmall));
  c.Step();
  c.Put("b", "own", Batch(4, kSmall, cell::urgency::kUrgent));
  EXPECT_THAT(Evictions(c.Step()), IsEmpty());
  EXPECT_EQ(c.Placed(a), 4);
}

// Guards against the loss of progress that a checkpoint would have saved, and
// of older or more urgent work.
TEST(SharingTest, CheckpointedLowUrgencyAndLatestStartedIsEvictedFirst) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Department("owner", 1, {1000, 1024, 0});
  cell::batch_job_spec saved = Batch(1, kSmall);
  saved.checkpoint = true;
  saved.urgency = cell::urgency::kLow;
  c.Put("guest", "plain", Batch(1, kSmall));
  c.Step();
  const auto early = c.Put("guest", "early", saved);
  c.Step();
  c.now += std::chrono::seconds(1);
  const auto late = c.Put("guest", "late", saved);
  c.Step();
  c.Put("guest", "normal", Batch(1, kSmall));
  c.Step();
  ASSERT_EQ(c.Placed(early) + c.Placed(late), 2);
  c.Put("owner", "own", Batch(1, kSmall));
  const auto evictions = Evictions(c.Decide());
  ASSERT_THAT(evictions, SizeIs(1));
  EXPECT_TRUE(evictions[0].checkpoint);
  EXPECT_THAT(evictions[0].tasks, testing::ElementsAre(cell::task_id{late, 0}));
}

// Guards against a task that may run only once and is stopped and run again.
TEST(SharingTest, NonIdempotentWorkIsNotEvicted) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Department("owner", 1, {1000, 1024, 0});
  cell::batch_job_spec once = Batch(4, kSmall);
  once.idempotent = false;
  c.Put("guest", "once", once);
  c.Step();
  c.Put("owner", "own", Batch(1, kSmall));
  EXPECT_THAT(Evictions(c.Step()), IsEmpty());
}

// Guards against room that is freed for one task and taken by another, and
// against a second eviction for the same task while the first one runs.
TEST(SharingTest, FreedRoomIsKeptForItsTask) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Department("owner", 1, {1000, 1024, 0});
  c.Put("guest", "fill", Batch(8, kSmall));
  c.Step();
  const auto own = c.Put("owner", "own", Batch(1, kSmall));
  const round r = c.Decide();
  ASSERT_THAT(Evictions(r), SizeIs(1));
  for (const decision& d : r.decisions) c.Commit(d);
  EXPECT_THAT(c.Decide().decisions, IsEmpty());
  c.RunAll();
  c.Step();
  EXPECT_EQ(c.Placed(own), 1);
}

// Guards against urgent work that waits behind less urgent work of its own
// department at the quota.
TEST(SharingTest, UrgentWorkReplacesBorrowedWorkOfItsOwnDepartment) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Department("a", 1, {2000, 2048, 0});
  const auto low = c.Put("a", "low", Batch(4, kSmall, cell::urgency::kLow));
  c.Step();
  ASSERT_EQ(c.Placed(low), 4);
  const auto urgent =
      c.Put("a", "now", Batch(3, kSmall, cell::urgency::kUrgent));
  for (int i = 0; i < 6; ++i) c.Step();
  EXPECT_EQ(c.Placed(urgent), 2);
  EXPECT_EQ(c.Placed(low), 2);
}

// Guards against urgent work that waits because its department's quota is
// filled exactly, and against room taken from others for it.
TEST(SharingTest, UrgentWorkReplacesOwnWorkAtAFullQuota) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Department("a", 1, {2000, 2048, 0});
  c.Department("b", 1, {2000, 2048, 0});
  const auto a = c.Put("a", "fill", Batch(2, kSmall));
  const auto b = c.Put("b", "fill", Batch(2, kSmall));
  c.Step();
  const auto urgent =
      c.Put("a", "now", Batch(1, kSmall, cell::urgency::kUrgent));
  const auto evictions = Evictions(c.Step());
  ASSERT_THAT(evictions, SizeIs(1));
  EXPECT_EQ(evictions[0].reason, evict_reason::kMoreUrgent);
  c.Step();
  EXPECT_EQ(c.Placed(urgent), 1);
  EXPECT_EQ(c.Placed(a), 1);
  EXPECT_EQ(c.Placed(b), 2);
}

// Guards against departments whose children get more than the parent's share.
TEST(SharingTest, ShareOfParentIsSplitAmongChildren) {
  test_cell c;
  for (int i = 0; i < 10; ++i) c.Worker(Numbered("w", i), kWorker);
  c.Department("x");
  c.Department("y");
  c.Department("x1", 1, {}, "x");
  c.Department("x2", 3, {}, "x");
  const auto x1 = c.Put("x1", "job", Batch(100, kSmall));
  const auto x2 = c.Put("x2", "job", Batch(100, kSmall));
  const auto y = c.Put("y", "job", Batch(100, kSmall));
  c.Step();
  EXPECT_EQ(c.Placed(x1), 5);
  EXPECT_EQ(c.Placed(x2), 15);
  EXPECT_EQ(c.Placed(y), 20);
}

// Guards against a department that waited and gets no more than one that
// used the cell all the time.
TEST(SharingTest, WaitingIsRepaid) {
  test_cell c;
  c.Worker("w1", kWorker);
  const auto a = c.Put("a", "one", Batch(4, kSmall));
  c.Step();
  c.now += std::chrono::minutes(20);
  c.Step();
  for (std::uint32_t i = 0; i < 4; ++i) {
    c.Report({a, i}, cell::task_phase::kSucceeded);
  }
  const auto more = c.Put("a", "two", Batch(4, kSmall));
  const auto b = c.Put("b", "one", Batch(4, kSmall));
  c.Step();
  EXPECT_GT(c.Placed(b), c.Placed(more));
}

// Guards against a gang that never finds all its workers free at a time, and
// against a cell that idles while the gang waits.
TEST(SharingTest, ReservedRoomIsLentUntilTheGangFits) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Worker("w2", kWorker);
  cell::batch_job_spec once = Batch(1, {4000, 1024, 0});
  once.idempotent = false;
  const auto first = c.Put("a", "first", once);
  c.Step();
  const auto gang = c.Put("b", "gang", Gang(8, kSmall));
  c.Step();
  const auto small = c.Put("a", "small", Batch(4, kSmall));
  c.Step();
  EXPECT_EQ(c.Placed(small), 4);
  c.Report({first, 0}, cell::task_phase::kSucceeded);
  for (int i = 0; i < 4; ++i) c.Step();
  EXPECT_EQ(c.Placed(gang), 8);
  EXPECT_EQ(c.refused, 0);
}

// Guards against two gangs that each hold half of the cell.
TEST(SharingTest, GangsRunOneAfterTheOther) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Worker("w2", kWorker);
  const auto one = c.Put("a", "one", Gang(6, kSmall));
  const auto two = c.Put("b", "two", Gang(6, kSmall));
  c.Step();
  EXPECT_EQ(c.Placed(one) + c.Placed(two), 6);
  const auto running = c.Placed(one) > 0 ? one : two;
  for (std::uint32_t i = 0; i < 6; ++i) {
    c.Report({running, i}, cell::task_phase::kSucceeded);
  }
  c.Step();
  EXPECT_EQ(c.Placed(running == one ? two : one), 6);
}

// Guards against a gang member that runs again beside what is left of its
// gang.
TEST(SharingTest, GangThatLostATaskStartsAgainWhole) {
  test_cell c;
  c.Worker("w1", kWorker);
  const auto gang = c.Put("a", "gang", Gang(3, kSmall));
  c.Step();
  c.Report({gang, 1}, cell::task_phase::kFailed);
  EXPECT_THAT(c.Decide().decisions, IsEmpty());
  c.RunAll();
  const round r = c.Step();
  ASSERT_THAT(r.decisions, SizeIs(1));
  EXPECT_THAT(std::get<place>(r.decisions[0]).group, SizeIs(3));
}

// Guards against a worker that fails every task and, being free, attracts all
// work; and against its return without an examination.
TEST(HealthTest, FailingWorkerIsQuarantinedProbedAndReleased) {
  test_cell c;
  c.Worker("bad", kWorker);
  std::vector<core::revision> jobs;
  for (int i = 0; i < 3; ++i) {
    jobs.push_back(c.Put("a", Numbered("job", i), Batch(1, kSmall)));
  }
  c.Step();
  for (const auto job : jobs) c.Report({job, 0}, cell::task_phase::kFailed);
  EXPECT_THAT(c.Step().decisions, IsEmpty());
  EXPECT_THAT(
      c.s.Explain({cell::object_kind::kBatchJob, {"a"}, "job0"}, c.now).lines,
      Contains(HasSubstr("1 workers are set aside")));
  cell::batch_job_spec once = Batch(1, kSmall);
  once.idempotent = false;
  const auto single = c.Put("a", "once", once);
  const auto probe = c.Put("a", "probe", Batch(2, kSmall));
  c.now += std::chrono::seconds(31);
  EXPECT_THAT(c.Step().decisions, SizeIs(1));
  EXPECT_EQ(c.Placed(probe), 1);
  c.Report({probe, 0}, cell::task_phase::kSucceeded);
  c.Step();
  EXPECT_EQ(c.Placed(single), 1);
}

// Guards against good workers that are set aside because of a bad job, and
// against a bad job that takes starts from others.
TEST(HealthTest, JobThatFailsEverywhereIsDelayedAndNotHeldAgainstWorkers) {
  test_cell c;
  for (int i = 0; i < 4; ++i) c.Worker(Numbered("w", i), kWorker);
  cell::batch_job_spec spec = Batch(1, kSmall);
  spec.max_retries = 100;
  std::vector<core::revision> bad;
  for (int i = 0; i < 4; ++i) {
    bad.push_back(c.Put("a", Numbered("bad", i), spec));
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
  // Delays of 1, 2, 4, ... s leave room for about 8 starts of each in 60 s.
  EXPECT_LE(starts, 4 * 9);
  const auto good = c.Put("b", "good", Batch(16, kSmall));
  c.Step();
  c.Step();
  EXPECT_GE(c.Placed(good), 12);
}

// Guards against one department's crashing tasks that use up all starts.
TEST(HealthTest, RestartsAreLimitedByDepartment) {
  policy p;
  p.retry_burst = 5;
  p.retry_rate = 0;
  p.quarantine_jobs = 100;
  test_cell c(p);
  c.Worker("w1", {64000, 65536, 0});
  cell::batch_job_spec spec = Batch(20, kSmall);
  spec.max_retries = 100;
  const auto job = c.Put("a", "job", spec);
  c.Step();
  for (std::uint32_t i = 0; i < 20; ++i) {
    c.Report({job, i}, cell::task_phase::kFailed);
  }
  c.now += std::chrono::minutes(10);
  c.Step();
  EXPECT_EQ(c.Placed(job), 5);
}

// Guards against declared sizes that are too small and crowd a worker.
TEST(EstimateTest, WorkerWithRoomForTheLikelySizeIsPreferred) {
  test_cell c;
  c.Worker("tight", {3000, 8192, 0});
  const auto job = c.Put("a", "job", Batch(3, kSmall));
  c.Step();
  ASSERT_EQ(c.WorkerOf({job, 0}), "tight");
  for (int i = 0; i < 30; ++i) {
    c.s.ObserveUsage({job, 0}, {3500, 1024, 0}, c.now);
  }
  c.Report({job, 0}, cell::task_phase::kFailed);
  c.Worker("wide", {16000, 32768, 0});
  c.Step();
  EXPECT_EQ(c.WorkerOf({job, 0}), "wide");
}

// Guards against bytes between regions that a short wait would have saved, and
// against a wait without an end.
TEST(LocalityTest, BatchWaitsALittleForTheRegionOfItsJob) {
  test_cell c;
  c.Worker("near", kWorker, "r1");
  const auto job = c.Put("a", "job", Batch(8, kSmall));
  c.Step();
  ASSERT_EQ(c.Placed(job), 4);
  c.Worker("far", kWorker, "r2");
  c.now += std::chrono::seconds(1);
  c.Step();
  EXPECT_EQ(c.Placed(job), 4);
  EXPECT_THAT(
      c.s.Explain({cell::object_kind::kBatchJob, {"a"}, "job"}, c.now).lines,
      Contains(HasSubstr("will use another region")));
  c.now += std::chrono::seconds(5);
  c.Step();
  EXPECT_EQ(c.Placed(job), 8);
}

// Guards against an explanation that tells one department about another.
TEST(ExplainTest, NamesNoOtherDepartment) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Put("rival", "secret", Batch(8, kSmall));
  c.Step();
  c.Put("own", "job", Batch(1, kSmall));
  c.Step();
  const auto lines =
      c.s.Explain({cell::object_kind::kBatchJob, {"own"}, "job"}, c.now).lines;
  EXPECT_THAT(lines, Contains("No worker has room for one of its tasks now."));
  for (const std::string& line : lines) {
    EXPECT_THAT(line, Not(HasSubstr("rival")));
    EXPECT_THAT(line, Not(HasSubstr("secret")));
  }
}

}  // namespace
}  // namespace mangoplank::placement
