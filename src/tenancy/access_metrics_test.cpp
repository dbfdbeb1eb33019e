#include "mangoplank/tenancy/access_metrics.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace mangoplank::tenancy {
namespace {

std::size_t CountLines(const std::string& text) {
  return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
}

// Guards against metrics that grow with the tenants of all catalogs.
TEST(AccessMetricsTest, TheNumberOfLabelsIsBounded) {
  metrics::registry registry;
  access_metrics access(registry);
  for (int i = 0; i < 10'000; ++i) {
    access.OnAccepted("t" + std::to_string(i));
  }
  for (int i = 0; i < 10'000; ++i) {
    access.OnForbidden("u" + std::to_string(i));
  }
  access.OnAccepted("t0");
  const std::string text = registry.Expose();
  EXPECT_LE(CountLines(text), 2 * tenant_labels::kMaxNames + 20);
  EXPECT_NE(text.find("accepted_total{tenant=\"t0\"} 2\n"), std::string::npos);
  EXPECT_NE(text.find("accepted_total{tenant=\"other\"} 9950\n"),
            std::string::npos);
  EXPECT_NE(text.find("forbidden_total{tenant=\"other\"} 10000\n"),
            std::string::npos);
}

// Guards against unknown keys that add metrics, and so memory.
TEST(AccessMetricsTest, UnknownKeysAddNoMetrics) {
  metrics::registry registry;
  access_metrics access(registry);
  const std::size_t lines = CountLines(registry.Expose());
  for (int i = 0; i < 1'000; ++i) access.OnUnauthenticated(true);
  access.OnUnauthenticated(false);
  const std::string text = registry.Expose();
  EXPECT_EQ(CountLines(text), lines);
  EXPECT_NE(text.find("{key=\"unknown\"} 1000\n"), std::string::npos);
  EXPECT_NE(text.find("{key=\"none\"} 1\n"), std::string::npos);
}

}  // namespace
}  // namespace mangoplank::tenancy
