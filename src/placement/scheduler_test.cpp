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

// Guards against rounds that commit a worker twice before the first commit is
// observed.
TEST(SchedulerTest, PromisedRoomIsNotPromisedAgain) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Put("a", "one", Batch(3, kSmall));
  const round first = c.Decide();
  EXPECT_THAT(first.decisions, SizeIs(3));
  c.Put("a", "two", Batch(3, kSmall));
  EXPECT_THAT(c.Decide().decisions, SizeIs(1));
  EXPECT_EQ(c.s.FreeOf({"w1"}).cpu_milli, 0);
}

// Guards against room that is lost when a commit is refused.
TEST(SchedulerTest, ForgottenPlacementIsDecidedAgain) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Put("a", "one", Batch(1, kSmall));
  const round first = c.Decide();
  ASSERT_THAT(first.decisions, SizeIs(1));
  EXPECT_THAT(c.Decide().decisions, IsEmpty());
  c.s.Forget(first.decisions[0], c.now);
  EXPECT_EQ(c.s.FreeOf({"w1"}), kWorker);
  EXPECT_EQ(c.Decide(), first);
}

// Guards against new work on a worker that is leaving.
TEST(SchedulerTest, DrainingWorkerGetsNothing) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Drain("w1");
  c.Put("a", "one", Batch(1, kSmall));
  EXPECT_THAT(c.Decide().decisions, IsEmpty());
}

// Guards against half of a gang on a cell that has no room for all of it.
TEST(SchedulerTest, GangStartsWholeOrNotAtAll) {
  test_cell c;
  c.Worker("w1", kWorker);
  c.Worker("w2", kWorker);
  const auto job = c.Put("a", "filler", Batch(1, {4000, 1024, 0}));
  c.Step();
  c.Put("a", "gang", Gang(5, kSmall));
  EXPECT_THAT(c.Step().decisions, IsEmpty());
  c.Report({job, 0}, cell::task_phase::kSucceeded);
  const round r = c.Step();
  ASSERT_THAT(r.decisions, SizeIs(1));
  EXPECT_THAT(std::get<place>(r.decisions[0]).group, SizeIs(5));
}

// Guards against a job that no worker can hold and that waits without a word,
// or that keeps others from running.
TEST(SchedulerTest, ImpossibleJobIsReportedOnceAndExaminedAgain) {
  test_cell c;
  c.Worker("w1", kWorker);
  const auto big = c.Put("a", "big", Batch(1, {9000, 1024, 0}));
  c.Put("a", "small", Batch(1, kSmall));
  const round r = c.Step();
  ASSERT_THAT(r.decisions, SizeIs(2));
  const auto& u = std::get<unsatisfiable>(r.decisions[0]);
  EXPECT_EQ(u.uid, big);
  EXPECT_THAT(u.what,
              testing::ElementsAre(shortage{shortage::kind::kCpu, 9000, 4000}));
  EXPECT_THAT(c.Step().decisions, IsEmpty());
  c.Worker("w2", {16000, 8192, 0});
  EXPECT_THAT(c.Step().decisions, SizeIs(1));
  EXPECT_EQ(c.Placed(big), 1);
}

// Guards against a department that takes all of a shared cell.
TEST(SchedulerTest, SharesFollowWeights) {
  test_cell c;
  c.Department("a", 1, {});
  c.Department("b", 3, {});
  for (int i = 0; i < 10; ++i) c.Worker(Numbered("w", i), kWorker);
  const auto a = c.Put("a", "one", Batch(100, kSmall));
  const auto b = c.Put("b", "one", Batch(100, kSmall));
  c.Step();
  EXPECT_EQ(c.Placed(a), 10);
  EXPECT_EQ(c.Placed(b), 30);
}

// Guards against urgency that takes room from another department.
TEST(SchedulerTest, UrgencyOrdersWorkOfOneDepartmentOnly) {
  test_cell c;
  c.Worker("w1", kWorker);
  const auto low = c.Put("a", "low", Batch(4, kSmall));
  const auto other = c.Put("b", "other", Batch(4, kSmall));
  const auto urgent =
      c.Put("a", "urgent", Batch(2, kSmall, cell::urgency::kUrgent));
  c.Step();
  EXPECT_EQ(c.Placed(urgent), 2);
  EXPECT_EQ(c.Placed(low), 0);
  EXPECT_EQ(c.Placed(other), 2);
}

// Guards against all replicas behind one switch.
TEST(SchedulerTest, ReplicasAreSpreadOverRacks) {
  test_cell c;
  for (int i = 0; i < 8; ++i) {
    c.Worker(Numbered("w", i), kWorker, "r1", Numbered("k", i / 2));
  }
  c.Put("a", "web", Service(4, kSmall));
  c.Step();
  std::set<core::rack_id> racks;
  for (const auto& [id, t] : c.state.Tasks()) {
    racks.insert(c.state.FindWorker(t.worker)->location.rack);
  }
  EXPECT_THAT(racks, SizeIs(4));
}

// Guards against a new generation that takes the whole service down.
TEST(SchedulerTest, ReplacementKeepsAllButMaxUnavailableUp) {
  test_cell c;
  for (int i = 0; i < 4; ++i) c.Worker(Numbered("w", i), kWorker);
  cell::service_spec spec = Service(5, kSmall);
  spec.max_unavailable = 2;
  const auto uid = c.Put("a", "web", spec);
  c.Step();
  ASSERT_EQ(c.Placed(uid), 5);
  spec.program = "new";
  c.Put("a", "web", spec);
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

// Guards against work without accelerators that fills the few workers that
// have them.
TEST(SchedulerTest, AcceleratorsAreLeftToWorkThatNeedsThem) {
  test_cell c;
  c.Worker("gpu", {4000, 8192, 4});
  c.Worker("w1", kWorker);
  const auto uid = c.Put("a", "one", Batch(5, kSmall));
  c.Step();
  int on_gpu = 0;
  for (const auto& [id, t] : c.state.Tasks()) on_gpu += t.worker.v == "gpu";
  EXPECT_EQ(c.Placed(uid), 5);
  EXPECT_EQ(on_gpu, 1);
}

}  // namespace
}  // namespace mangoplank::placement
