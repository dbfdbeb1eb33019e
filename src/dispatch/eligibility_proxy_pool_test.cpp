#include "dispatch/eligibility_proxy_pool.h"

#include <gtest/gtest.h>

namespace mangoplank::dispatch {
namespace {

using std::chrono::milliseconds;

constexpr core::time_point kNow{std::chrono::hours(1)};
/// Time of a call until its time-out.
constexpr milliseconds kTimeout{800};

// Guards against proxies that are idle while a short call is in transit, and
// against short calls that wait behind long ones.
TEST(EligibilityProxyPoolTest, ShortCallsShareAProxy) {
  eligibility_proxy_pool pool;
  EXPECT_FALSE(pool.Acquire(milliseconds(20), kNow));
  const proxy_id first = pool.Add();
  EXPECT_EQ(pool.Acquire(milliseconds(20), kNow), first);
  EXPECT_EQ(pool.Acquire(milliseconds(20), kNow), first);
  const proxy_id second = pool.Add();
  EXPECT_EQ(pool.Acquire(milliseconds(150), kNow), second);
  // The second proxy has 150 ms of pending calls, the first one 40 ms.
  EXPECT_EQ(pool.Acquire(milliseconds(20), kNow), first);
  EXPECT_EQ(pool.Acquire(milliseconds(20), kNow), first);
  EXPECT_FALSE(pool.Acquire(milliseconds(20), kNow));
  EXPECT_FALSE(pool.Acquire(milliseconds(150), kNow));
  pool.Release(second, milliseconds(150), call_outcome::kAnswered, kNow);
  EXPECT_EQ(pool.Acquire(milliseconds(20), kNow), second);
}

// Guards against long calls that occupy all proxies, which delays a short check
// by a second.
TEST(EligibilityProxyPoolTest, LongCallsLeaveProxiesFree) {
  eligibility_proxy_pool pool;
  for (int i = 0; i < 16; ++i) pool.Add();
  for (int i = 0; i < 14; ++i)
    EXPECT_TRUE(pool.Acquire(milliseconds(900), kNow));
  EXPECT_FALSE(pool.Acquire(milliseconds(900), kNow));
  EXPECT_TRUE(pool.Acquire(milliseconds(150), kNow));
  EXPECT_TRUE(pool.Acquire(milliseconds(20), kNow));
}

// Guards against counting a removed proxy's call for another proxy.
TEST(EligibilityProxyPoolTest, ReleaseAfterRemovalAffectsNoOtherProxy) {
  eligibility_proxy_pool pool;
  const proxy_id removed = pool.Add();
  EXPECT_EQ(pool.Acquire(milliseconds(900), kNow), removed);
  pool.Remove(removed);
  EXPECT_FALSE(pool.Acquire(milliseconds(900), kNow));
  const proxy_id next = pool.Add();
  EXPECT_NE(next, removed);
  pool.Release(removed, milliseconds(900), call_outcome::kAnswered, kNow);
  EXPECT_EQ(pool.Acquire(milliseconds(900), kNow), next);
}

// Guards against a proxy that stays connected and answers no call: it is free
// again after each time-out, and calls go to it again and again while the
// others could answer them.
TEST(EligibilityProxyPoolTest, AProxyThatAnswersNoCallDrawsFewCalls) {
  eligibility_proxy_pool pool;
  const proxy_id mute = pool.Add();
  for (int i = 0; i < 3; ++i) pool.Add();
  int calls_to_mute = 0;
  core::time_point now = kNow;
  const core::time_point end = now + std::chrono::seconds(60);
  for (; now < end; now += kTimeout) {
    const auto proxy = pool.Acquire(milliseconds(100), now);
    ASSERT_TRUE(proxy);
    const bool answers = *proxy != mute;
    if (!answers) ++calls_to_mute;
    pool.Release(*proxy, milliseconds(100),
                 answers ? call_outcome::kAnswered : call_outcome::kNotAnswered,
                 now + kTimeout);
  }
  // Pauses of 0.5, 1, 2, 4, 8 and 16 s leave room for seven calls in a minute.
  EXPECT_LE(calls_to_mute, 8);
}

// Guards against a proxy that is left out for good after it has answered again.
TEST(EligibilityProxyPoolTest, AnAnswerEndsTheAvoidanceOfAProxy) {
  eligibility_proxy_pool pool;
  const proxy_id first = pool.Add();
  const proxy_id second = pool.Add();
  constexpr milliseconds kCost{100};
  EXPECT_EQ(pool.Acquire(kCost, kNow), first);
  EXPECT_EQ(pool.Acquire(kCost, kNow), second);
  pool.Release(first, kCost, call_outcome::kNotAnswered, kNow);
  EXPECT_FALSE(pool.Acquire(kCost, kNow));
  const core::time_point later = kNow + std::chrono::seconds(1);
  EXPECT_EQ(pool.Acquire(kCost, later), first);
  pool.Release(first, kCost, call_outcome::kAnswered, later);
  EXPECT_EQ(pool.Acquire(kCost, later), first);
}

// Guards against calls that wait although proxies are connected: an outage of
// the service leaves all calls unanswered, and one that ends must be noticed.
TEST(EligibilityProxyPoolTest, AvoidedProxiesAreUsedIfThereIsNoOther) {
  eligibility_proxy_pool pool;
  const proxy_id first = pool.Add();
  const proxy_id second = pool.Add();
  constexpr milliseconds kCost{100};
  EXPECT_EQ(pool.Acquire(kCost, kNow), first);
  EXPECT_EQ(pool.Acquire(kCost, kNow), second);
  pool.Release(first, kCost, call_outcome::kNotAnswered, kNow);
  pool.Release(second, kCost, call_outcome::kNotAnswered, kNow);
  EXPECT_EQ(pool.Acquire(kCost, kNow), first);
  pool.Release(first, kCost, call_outcome::kNotAnswered, kNow);
  // The one with fewer unanswered calls goes first.
  EXPECT_EQ(pool.Acquire(kCost, kNow), second);
  pool.Remove(second);
  EXPECT_EQ(pool.Acquire(kCost, kNow), first);
}

}  // namespace
}  // namespace mangoplank::dispatch
