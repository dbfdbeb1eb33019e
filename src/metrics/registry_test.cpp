#include "mangoplank/metrics/registry.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace mangoplank::metrics {
namespace {

using ::testing::HasSubstr;

TEST(RegistryTest, ExposesEachFamilyOnceWithAllMembers) {
  registry r;
  r.Counter("x_total", "Things.", {{"kind", "a\"b"}}).Add(3);
  r.Counter("x_total", "Things.", {{"kind", "c"}}).Add();
  r.Gauge("y", "Level.").Set(1.5);
  EXPECT_EQ(r.Expose(),
            "# HELP x_total Things.\n# TYPE x_total counter\n"
            "x_total{kind=\"a\\\"b\"} 3\nx_total{kind=\"c\"} 1\n"
            "# HELP y Level.\n# TYPE y gauge\ny 1.5\n");
}

// Guards against a quantile that is off by more than one bucket.
TEST(HistogramTest, QuantileIsWithinOneBucket) {
  histogram h;
  for (int i = 1; i <= 1000; ++i) h.Add(i * 1e-3);
  EXPECT_GE(h.Quantile(0.5), 0.5);
  EXPECT_LE(h.Quantile(0.5), 0.5 * 1.26);
  EXPECT_GE(h.Quantile(0.99), 0.99);
  EXPECT_LE(h.Quantile(0.99), 0.99 * 1.26);
  EXPECT_EQ(h.Count(), 1000u);
}

// Guards against samples lost or counted twice in a merge.
TEST(HistogramTest, MergeEqualsOneHistogramOfAllSamples) {
  histogram a, b, both;
  for (int i = 0; i < 100; ++i) {
    (i % 3 ? a : b).Add(i * 1e-2);
    both.Add(i * 1e-2);
  }
  a.Merge(b);
  EXPECT_EQ(a.Count(), both.Count());
  EXPECT_DOUBLE_EQ(a.Max(), both.Max());
  EXPECT_NEAR(a.Sum(), both.Sum(), 1e-9);
  EXPECT_EQ(a.Quantile(0.9), both.Quantile(0.9));
}

TEST(HistogramTest, SamplesOutsideTheAxisAreCounted) {
  registry r;
  histogram& h = r.Histogram("t_seconds", "Time.");
  h.Add(0);
  h.Add(1000);
  EXPECT_EQ(h.CountUpTo(100), 1u);
  EXPECT_THAT(r.Expose(), HasSubstr("t_seconds_bucket{le=\"+Inf\"} 2\n"));
  EXPECT_EQ(h.Quantile(1), 1000);
}

}  // namespace
}  // namespace mangoplank::metrics
