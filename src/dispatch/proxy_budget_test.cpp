#include "dispatch/proxy_budget.h"

#include <gtest/gtest.h>

namespace mangoplank::dispatch {
namespace {

using std::chrono::milliseconds;

// Guards against calls that wait for a proxy while capacity is reserved for
// their tasks, and against long calls that keep short urgent ones waiting.
TEST(ProxyBudgetTest, AllowsTheCallsThatFindAProxy) {
  proxy_budget budget;
  budget.Reset({16, 40});
  EXPECT_EQ(budget.Allow(milliseconds(700), 100), 11u);
  EXPECT_EQ(budget.Allow(milliseconds(700), 4), 4u);
  budget.Take(milliseconds(700), 11);
  EXPECT_EQ(budget.Allow(milliseconds(700), 1), 0u);
  EXPECT_EQ(budget.Allow(milliseconds(20), 100), 15u);
  budget.Take(milliseconds(20), 15);
  EXPECT_EQ(budget.Allow(milliseconds(20), 1), 0u);
}

// Guards against small calls, which take more of the proxies' time in all,
// while proxies are short.
TEST(ProxyBudgetTest, TellsWhetherProxiesArePlentiful) {
  proxy_budget budget;
  budget.Reset({30, 40});
  EXPECT_TRUE(budget.IsPlentiful());
  budget.Take(milliseconds(300), 10);
  EXPECT_FALSE(budget.IsPlentiful());
}

}  // namespace
}  // namespace mangoplank::dispatch
