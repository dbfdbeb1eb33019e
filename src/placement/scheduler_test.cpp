#include "mangoplank/placement/scheduler.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <set>

#include "test_cell.h"

namespace mangoplank::placement {
namespace {

using ::testing::IsEmpty;
using ::testing::SizeIs;

constexpr core::resources kSmall{1000, 1024, 0};
constexpr core::resources kWorker{4000, 8192, 0};

// Guards against allocating the same capacity in two rounds before the commit
// of the first is observed.
TEST(SchedulerTest, ProposedCapacityIsNotAllocatedTwice) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.PutObject("a", "one", MakeBatchJob(3, kSmall));
  const round first = c.Decide();
  EXPECT_THAT(first.decisions, SizeIs(3));
  c.PutObject("a", "two", MakeBatchJob(3, kSmall));
  EXPECT_THAT(c.Decide().decisions, SizeIs(1));
  EXPECT_EQ(c.scheduler.FreeOf({"w1"}).cpu_milli, 0);
}

// Guards against leaking capacity when a commit is refused.
TEST(SchedulerTest, ForgottenPlacementIsDecidedAgain) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.PutObject("a", "one", MakeBatchJob(1, kSmall));
  const round first = c.Decide();
  ASSERT_THAT(first.decisions, SizeIs(1));
  EXPECT_THAT(c.Decide().decisions, IsEmpty());
  c.scheduler.Forget(first.decisions[0], c.now);
  EXPECT_EQ(c.scheduler.FreeOf({"w1"}), kWorker);
  EXPECT_EQ(c.Decide(), first);
}

// Guards against placing new tasks on a draining worker.
TEST(SchedulerTest, DrainingWorkerGetsNoTasks) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.Drain("w1");
  c.PutObject("a", "one", MakeBatchJob(1, kSmall));
  EXPECT_THAT(c.Decide().decisions, IsEmpty());
}

// Guards against partial placement of a gang that does not fit as a whole.
TEST(SchedulerTest, GangStartsWholeOrNotAtAll) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  c.AddWorker("w2", kWorker);
  const auto job = c.PutObject("a", "filler", MakeBatchJob(1, {4000, 1024, 0}));
  c.Step();
  c.PutObject("a", "gang", MakeGangJob(5, kSmall));
  EXPECT_THAT(c.Step().decisions, IsEmpty());
  c.Report({job, 0}, cell::task_phase::kSucceeded);
  const round r = c.Step();
  ASSERT_THAT(r.decisions, SizeIs(1));
  EXPECT_THAT(std::get<place>(r.decisions[0]).group, SizeIs(5));
}

// Guards against a job that fits on no worker and waits without a report or
// blocks other jobs.
TEST(SchedulerTest, UnsatisfiableJobIsReportedOnceAndRechecked) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  const auto big = c.PutObject("a", "big", MakeBatchJob(1, {9000, 1024, 0}));
  c.PutObject("a", "small", MakeBatchJob(1, kSmall));
  const round r = c.Step();
  ASSERT_THAT(r.decisions, SizeIs(2));
  const auto& unplaceable = std::get<unsatisfiable>(r.decisions[0]);
  EXPECT_EQ(unplaceable.uid, big);
  EXPECT_THAT(unplaceable.shortages,
              testing::ElementsAre(
                  shortage{shortage::constraint_kind::kCpu, 9000, 4000}));
  EXPECT_THAT(c.Step().decisions, IsEmpty());
  c.AddWorker("w2", {16000, 8192, 0});
  EXPECT_THAT(c.Step().decisions, SizeIs(1));
  EXPECT_EQ(c.Placed(big), 1);
}

// Guards against one department monopolizing a shared cell.
TEST(SchedulerTest, SharesFollowWeights) {
  test_cell c;
  c.AddDepartment("a", 1, {});
  c.AddDepartment("b", 3, {});
  for (int i = 0; i < 10; ++i) c.AddWorker(NumberedName("w", i), kWorker);
  const auto a = c.PutObject("a", "one", MakeBatchJob(100, kSmall));
  const auto b = c.PutObject("b", "one", MakeBatchJob(100, kSmall));
  c.Step();
  EXPECT_EQ(c.Placed(a), 10);
  EXPECT_EQ(c.Placed(b), 30);
}

// Guards against urgent work taking capacity from another department.
TEST(SchedulerTest, UrgencyOrdersWorkOfOneDepartmentOnly) {
  test_cell c;
  c.AddWorker("w1", kWorker);
  const auto low = c.PutObject("a", "low", MakeBatchJob(4, kSmall));
  const auto other = c.PutObject("b", "other", MakeBatchJob(4, kSmall));
  const auto urgent = c.PutObject(
      "a", "urgent", MakeBatchJob(2, kSmall, cell::urgency::kUrgent));
  c.Step();
  EXPECT_EQ(c.Placed(urgent), 2);
  EXPECT_EQ(c.Placed(low), 0);
  EXPECT_EQ(c.Placed(other), 2);
}

// Guards against placing all replicas behind one switch.
TEST(SchedulerTest, ReplicasAreSpreadOverRacks) {
  test_cell c;
  for (int i = 0; i < 8; ++i) {
    c.AddWorker(NumberedName("w", i), kWorker, "r1", NumberedName("k", i / 2));
  }
  c.PutObject("a", "web", MakeService(4, kSmall));
  c.Step();
  std::set<core::rack_id> racks;
  for (const auto& [id, t] : c.state.Tasks()) {
    racks.insert(c.state.FindWorker(t.worker)->location.rack);
  }
  EXPECT_THAT(racks, SizeIs(4));
}

// Guards against replacing all replicas of a service at once.
TEST(SchedulerTest, ReplacementRespectsMaxUnavailable) {
  test_cell c;
  for (int i = 0; i < 4; ++i) c.AddWorker(NumberedName("w", i), kWorker);
  cell::service_spec spec = MakeService(5, kSmall);
  spec.max_unavailable = 2;
  const auto uid = c.PutObject("a", "web", spec);
  c.Step();
  ASSERT_EQ(c.Placed(uid), 5);
  spec.program = "new";
  c.PutObject("a", "web", spec);
  int evicted = 0;
  for (int i = 0; i < 10; ++i) {
    const round r = c.Decide();
    for (const decision& d : r.decisions) {
      if (const auto* e = std::get_if<evict>(&d)) {
        EXPECT_EQ(e->reason, evict_reason::kReplaced);
        EXPECT_LE(e->tasks.size(), 2u);
        evicted += static_cast<int>(e->tasks.size());
      }
    }
    for (const decision& d : r.decisions) c.Commit(d);
    c.RunAll();
    EXPECT_GE(c.Placed(uid), 3);
  }
  EXPECT_EQ(evicted, 5);
  EXPECT_EQ(c.Placed(uid), 5);
}

// Guards against tasks without accelerators filling the few workers that have
// them.
TEST(SchedulerTest, TasksWithoutAcceleratorsAvoidAcceleratorWorkers) {
  test_cell c;
  c.AddWorker("gpu", {4000, 8192, 4});
  c.AddWorker("w1", kWorker);
  const auto uid = c.PutObject("a", "one", MakeBatchJob(5, kSmall));
  c.Step();
  int on_gpu = 0;
  for (const auto& [id, t] : c.state.Tasks()) on_gpu += t.worker.v == "gpu";
  EXPECT_EQ(c.Placed(uid), 5);
  EXPECT_EQ(on_gpu, 1);
}

}  // namespace
}  // namespace mangoplank::placement
