#include "mangoplank/report/burn.h"

#include <gtest/gtest.h>

#include "report/test_streams.h"

namespace mangoplank::report {
namespace {

using test::kStart;
using test::sample;

constexpr std::int64_t kWidths[] = {kMinuteMs, kMinuteMs, kMinuteMs,
                                    kTenMinutesMs, kTenMinutesMs};
constexpr std::int64_t kBucketsOf[] = {5, 30, 60, 36, 432};

/// Counts all samples of a window anew, from the definition.
tally Recount(const std::vector<sample>& samples, const objective& o,
              std::size_t w, core::wall_time_ms now) {
  tally t;
  for (const sample& s : samples) {
    const auto age = now / kWidths[w] - s.at / kWidths[w];
    if (s.key != o.key || age < 0 || age >= kBucketsOf[w]) continue;
    const auto r = Classify(s.end, s.took, o.threshold);
    ++t.counts[static_cast<std::size_t>(*r)];
  }
  return t;
}

// Guards against calls that a window loses, counts twice or keeps too long.
TEST(BurnTest, EqualsARecountOfAllSamples) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    const auto samples = test::RandomCalls(seed, 2000);
    recorder r({{"entry-1"}, 1}, {"sieradz"});
    r.SetObjectives(test::TwoObjectives());
    std::size_t next = 0;
    for (int hour = 1; hour <= 96; hour += 5) {
      const core::wall_time_ms now = kStart + hour * kHourMs + 1234 * hour;
      for (; next < samples.size() && samples[next].at <= now; ++next) {
        test::AddTo(&r, samples[next]);
      }
      const std::vector<sample> seen(samples.begin(),
                                     samples.begin() + std::ptrdiff_t(next));
      const burn_report report = Evaluate(r.Recording(now), now);
      ASSERT_EQ(report.objectives.size(), 2u);
      for (const objective_status& s : report.objectives) {
        for (std::size_t w = 0; w < kWindows; ++w) {
          const tally t = Recount(seen, s.declared, w, now);
          EXPECT_EQ(s.tallies[w], t) << "window " << w << " hour " << hour;
          if (t.Total() == 0) continue;
          const double rate = double(t.Missed()) / double(t.Total());
          const double budget = 1 - double(s.declared.target_ppm) / 1e6;
          EXPECT_NEAR(s.burn[w], rate / budget, 1e-6);
        }
      }
    }
  }
}

tally Misses(std::uint64_t missed, std::uint64_t total) {
  tally t;
  t.counts[0] = total - missed;
  t.counts[2] = missed;
  return t;
}

window_tallies Tallies(std::array<std::uint64_t, kWindows> missed) {
  window_tallies all;
  for (std::size_t i = 0; i < kWindows; ++i) all[i] = Misses(missed[i], 10'000);
  return all;
}

// With a target of 99.9%, 144, 60 and 10 missed calls of 10,000 burn at just
// 14.4, 6 and 1. Guards against a limit that is itself an alert, and against
// an alert on one window alone.
TEST(DecideTest, PagesAndTicketsOnlyAboveTheLimitsOfBothWindows) {
  constexpr std::int64_t kTarget = 999'000;
  const auto decide = [](std::array<std::uint64_t, kWindows> missed) {
    return Decide(Tallies(missed), kTarget);
  };
  const decision fine{verdict::kFine, window::kThreeDays};
  EXPECT_EQ(decide({144, 0, 144, 0, 0}), fine);
  EXPECT_EQ(decide({145, 0, 144, 0, 0}), fine);
  EXPECT_EQ(decide({144, 0, 145, 0, 0}), fine);
  EXPECT_EQ(decide({145, 0, 145, 0, 0}),
            (decision{verdict::kPage, window::kHour}));
  EXPECT_EQ(decide({0, 60, 0, 60, 0}), fine);
  EXPECT_EQ(decide({0, 61, 0, 60, 0}), fine);
  EXPECT_EQ(decide({0, 60, 0, 61, 0}), fine);
  EXPECT_EQ(decide({0, 61, 0, 61, 0}),
            (decision{verdict::kPage, window::kSixHours}));
  EXPECT_EQ(decide({0, 0, 0, 10, 10}), fine);
  EXPECT_EQ(decide({0, 0, 0, 11, 10}), fine);
  EXPECT_EQ(decide({0, 0, 0, 10, 11}), fine);
  EXPECT_EQ(decide({0, 0, 0, 11, 11}),
            (decision{verdict::kTicket, window::kThreeDays}));
}

// Guards against a division by zero and an alert without any call.
TEST(DecideTest, NoCallsAreFine) {
  EXPECT_EQ(Decide({}, 999'000).v, verdict::kFine);
  EXPECT_EQ(Burn({}, 999'000), 0);
}

// Guards against a cause that is summed over regions, or named for a window
// that did not alert.
TEST(BurnTest, NamesTheLargestCauseOfTheWindowThatAlerts) {
  const core::wall_time_ms now = kStart + 10 * kHourMs;
  recording all;
  const auto add = [&](const char* region, cell::ending e, int n,
                       core::wall_time_ms at) {
    recorder r({{std::string(region) + std::to_string(int(e))}, 1}, {region});
    r.SetObjectives(test::TwoObjectives());
    const operation_key key = test::Declared("check").key;
    for (int i = 0; i < n; ++i) r.Add(key, {e}, core::duration(0), at);
    all = Merge(all, r.Recording(now));
  };
  add("sieradz", cell::ending::kFailed, 30, now);
  add("sieradz", cell::ending::kNotRun, 20, now);
  add("kalisz", cell::ending::kNotRun, 25, now);
  add("olesno", cell::ending::kOutcomeUnknown, 500, now - 5 * kHourMs);
  const burn_report report = Evaluate(all, now);
  EXPECT_EQ(report.worst, verdict::kPage);
  const objective_status& first = report.objectives.front();
  EXPECT_EQ(first.d.w, window::kHour);
  ASSERT_TRUE(first.largest);
  EXPECT_EQ(
      *first.largest,
      (largest_cause{
          call_result::kFailed, {"sieradz"}, {"kitchens"}, 30, 30.0 / 75}));
}

}  // namespace
}  // namespace mangoplank::report
