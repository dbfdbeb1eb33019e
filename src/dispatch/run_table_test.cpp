#include "dispatch/run_table.h"

#include <gtest/gtest.h>

namespace mangoplank::dispatch {
namespace {

workflow::run_id RunOf(std::uint32_t index) { return {{"j", 0, 0, index}, 1}; }

// Guards against sums that differ from the runs: a worker would get more tasks
// than it holds, or none.
TEST(RunTableTest, SumsFollowTheRuns) {
  run_table runs;
  runs.Add(RunOf(0), {.need = {2'000, 10, 0}});
  runs.Add(RunOf(1), {.need = {3'000, 20, 1}});
  EXPECT_EQ(runs.Used(), (core::resources{5'000, 30, 1}));
  tracked_run* const tracked = runs.Find(RunOf(1));
  ASSERT_NE(tracked, nullptr);
  runs.SetStopping(*tracked);
  runs.SetStopping(*tracked);
  EXPECT_EQ(runs.Releasing(), (core::resources{3'000, 20, 1}));
  runs.Add(RunOf(0), {.need = {1'000, 5, 0}});
  EXPECT_EQ(runs.Used(), (core::resources{4'000, 25, 1}));
  runs.RemoveIf([](const workflow::run_id& run, const tracked_run&) {
    return run.task.index == 1;
  });
  EXPECT_EQ(runs.Used(), (core::resources{1'000, 5, 0}));
  EXPECT_EQ(runs.Releasing(), core::resources{});
  runs.Remove(RunOf(0));
  runs.Remove(RunOf(0));
  tracked_run& planned = runs.Add(RunOf(2), {.need = {500, 5, 0}});
  runs.Add(RunOf(3), {.need = {700, 7, 0}});
  EXPECT_EQ(runs.Used(), (core::resources{1'200, 12, 0}));
  EXPECT_EQ(runs.Ordered(), core::resources{});
  runs.SetOrdered(planned);
  runs.SetOrdered(planned);
  EXPECT_EQ(runs.Ordered(), (core::resources{500, 5, 0}));
  runs.Add(RunOf(4), {.need = {300, 3, 0}, .ordered = true});
  EXPECT_EQ(runs.Ordered(), (core::resources{800, 8, 0}));
  runs.Remove(RunOf(4));
  runs.Remove(RunOf(3));
  EXPECT_EQ(runs.Ordered(), (core::resources{500, 5, 0}));
  runs.Remove(RunOf(2));
  EXPECT_EQ(runs.Ordered(), core::resources{});
  EXPECT_EQ(runs.Used(), core::resources{});
  EXPECT_TRUE(runs.IsEmpty());
}

}  // namespace
}  // namespace mangoplank::dispatch
