#include "dispatch/asker_pool.h"

#include <gtest/gtest.h>

namespace mangoplank::dispatch {
namespace {

using std::chrono::milliseconds;

// Guards against askers that are idle while a short call is on its way, and
// against short calls that wait behind long ones.
TEST(AskerPoolTest, ShortCallsShareAskers) {
  asker_pool pool;
  EXPECT_FALSE(pool.Take(milliseconds(20)));
  const asker_id first = pool.Add();
  EXPECT_EQ(pool.Take(milliseconds(20)), first);
  EXPECT_EQ(pool.Take(milliseconds(20)), first);
  const asker_id second = pool.Add();
  EXPECT_EQ(pool.Take(milliseconds(150)), second);
  // The second has 150 ms to do, the first 40 ms.
  EXPECT_EQ(pool.Take(milliseconds(20)), first);
  EXPECT_EQ(pool.Take(milliseconds(20)), first);
  EXPECT_FALSE(pool.Take(milliseconds(20)));
  EXPECT_FALSE(pool.Take(milliseconds(150)));
  pool.Release(second, milliseconds(150));
  EXPECT_EQ(pool.Take(milliseconds(20)), second);
}

// Guards against long calls that take all askers, so that a quick check waits
// for a second.
TEST(AskerPoolTest, LongCallsLeaveSomeAskers) {
  asker_pool pool;
  for (int i = 0; i < 16; ++i) pool.Add();
  for (int i = 0; i < 14; ++i) EXPECT_TRUE(pool.Take(milliseconds(900)));
  EXPECT_FALSE(pool.Take(milliseconds(900)));
  EXPECT_TRUE(pool.Take(milliseconds(150)));
  EXPECT_TRUE(pool.Take(milliseconds(20)));
}

// Guards against the end of a call that counts for another asker.
TEST(AskerPoolTest, ARemovedAskerIsForgotten) {
  asker_pool pool;
  const asker_id gone = pool.Add();
  EXPECT_EQ(pool.Take(milliseconds(900)), gone);
  pool.Remove(gone);
  EXPECT_FALSE(pool.Take(milliseconds(900)));
  const asker_id next = pool.Add();
  EXPECT_NE(next, gone);
  pool.Release(gone, milliseconds(900));
  EXPECT_EQ(pool.Take(milliseconds(900)), next);
}

}  // namespace
}  // namespace mangoplank::dispatch
