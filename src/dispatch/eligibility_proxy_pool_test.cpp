#include "dispatch/eligibility_proxy_pool.h"

#include <gtest/gtest.h>

namespace mangoplank::dispatch {
namespace {

using std::chrono::milliseconds;

// Guards against proxies that are idle while a short call is in transit, and
// against short calls that wait behind long ones.
TEST(EligibilityProxyPoolTest, ShortCallsShareAProxy) {
  eligibility_proxy_pool pool;
  EXPECT_FALSE(pool.Acquire(milliseconds(20)));
  const proxy_id first = pool.Add();
  EXPECT_EQ(pool.Acquire(milliseconds(20)), first);
  EXPECT_EQ(pool.Acquire(milliseconds(20)), first);
  const proxy_id second = pool.Add();
  EXPECT_EQ(pool.Acquire(milliseconds(150)), second);
  // The second proxy has 150 ms of pending calls, the first one 40 ms.
  EXPECT_EQ(pool.Acquire(milliseconds(20)), first);
  EXPECT_EQ(pool.Acquire(milliseconds(20)), first);
  EXPECT_FALSE(pool.Acquire(milliseconds(20)));
  EXPECT_FALSE(pool.Acquire(milliseconds(150)));
  pool.Release(second, milliseconds(150));
  EXPECT_EQ(pool.Acquire(milliseconds(20)), second);
}

// Guards against long calls that occupy all proxies, which delays a short check
// by a second.
TEST(EligibilityProxyPoolTest, LongCallsLeaveProxiesFree) {
  eligibility_proxy_pool pool;
  for (int i = 0; i < 16; ++i) pool.Add();
  for (int i = 0; i < 14; ++i) EXPECT_TRUE(pool.Acquire(milliseconds(900)));
  EXPECT_FALSE(pool.Acquire(milliseconds(900)));
  EXPECT_TRUE(pool.Acquire(milliseconds(150)));
  EXPECT_TRUE(pool.Acquire(milliseconds(20)));
}

// Guards against counting a removed proxy's call for another proxy.
TEST(EligibilityProxyPoolTest, ReleaseAfterRemovalAffectsNoOtherProxy) {
  eligibility_proxy_pool pool;
  const proxy_id removed = pool.Add();
  EXPECT_EQ(pool.Acquire(milliseconds(900)), removed);
  pool.Remove(removed);
  EXPECT_FALSE(pool.Acquire(milliseconds(900)));
  const proxy_id next = pool.Add();
  EXPECT_NE(next, removed);
  pool.Release(removed, milliseconds(900));
  EXPECT_EQ(pool.Acquire(milliseconds(900)), next);
}

}  // namespace
}  // namespace mangoplank::dispatch
