#include "mangoplank/durations/slow_workers.h"

#include <gtest/gtest.h>

namespace mangoplank::durations {
namespace {

std::vector<paced_worker> MakePool(int workers, int slow, double factor) {
  std::vector<paced_worker> pool;
  for (int i = 0; i < workers; ++i) {
    const double pace = i < slow ? factor + 0.01 * i : 1;
    pool.push_back({{"worker-" + std::to_string(100 + i)}, {pace, pace * 0.9}});
  }
  return pool;
}

// Guards against a pool that can't carry its load, as a fault that hits many
// workers sets aside too many of them; the slowest go first.
TEST(SlowWorkersTest, SetsAsideAFifthAtMost) {
  const auto slow = ChooseSlowWorkers(MakePool(50, 25, 3), {});
  ASSERT_EQ(slow.size(), 10u);
  EXPECT_EQ(slow.front().v, "worker-115");
  EXPECT_TRUE(ChooseSlowWorkers(MakePool(4, 1, 3), {}).empty());
  EXPECT_TRUE(ChooseSlowWorkers({}, {}).empty());
}

// Guards against workers that are set aside and used by turns.
TEST(SlowWorkersTest, ComesBackBelowALowerFactor) {
  std::vector<paced_worker> pool = MakePool(50, 1, 1.3);
  EXPECT_TRUE(ChooseSlowWorkers(pool, {}).empty());
  pool.front().is_set_aside = true;
  EXPECT_EQ(ChooseSlowWorkers(pool, {}).size(), 1u);
  pool.front().pace.factor = 1.1;
  EXPECT_TRUE(ChooseSlowWorkers(pool, {}).empty());
}

}  // namespace
}  // namespace mangoplank::durations
