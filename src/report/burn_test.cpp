#include "mangoplank/report/burn.h"

#include <gtest/gtest.h>

#include "report/test_calls.h"

namespace mangoplank::report {
namespace {

using test::kStart;
using test::test_call;

constexpr std::int64_t kWidths[] = {kMinuteMs, kMinuteMs, kMinuteMs,
                                    kTenMinutesMs, kTenMinutesMs};
constexpr std::int64_t kBucketCounts[] = {5, 30, 60, 36, 432};

/// Counts the calls of a window from the definition.
tally Recount(const std::vector<test_call>& calls, const objective& o,
              std::size_t w, core::wall_time_ms now) {
  tally t;
  for (const test_call& call : calls) {
    const auto age = now / kWidths[w] - call.time / kWidths[w];
    if (call.key != o.key || age < 0 || age >= kBucketCounts[w]) continue;
    const auto r = Classify(call.end, call.latency, o.threshold);
    ++t.counts[static_cast<std::size_t>(*r)];
  }
  return t;
}

// Guards against calls missing from a window, counted twice or not expired.
TEST(BurnTest, WindowsMatchARecountOfAllCalls) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    const auto calls = test::MakeRandomCalls(seed, 2000);
    recorder r({{"entry-1"}, 1}, {"sieradz"});
    r.SetObjectives(test::MakeTwoObjectives());
    std::size_t next = 0;
    for (int hour = 1; hour <= 96; hour += 5) {
      const core::wall_time_ms now = kStart + hour * kHourMs + 1234 * hour;
      for (; next < calls.size() && calls[next].time <= now; ++next) {
        test::Record(&r, calls[next]);
      }
      const std::vector<test_call> recorded(
          calls.begin(), calls.begin() + std::ptrdiff_t(next));
      const burn_report report = Evaluate(r.Export(now), now);
      ASSERT_EQ(report.objectives.size(), 2u);
      for (const objective_status& s : report.objectives) {
        for (std::size_t w = 0; w < kWindowCount; ++w) {
          const tally t = Recount(recorded, s.objective, w, now);
          EXPECT_EQ(s.tallies[w], t) << "window " << w << " hour " << hour;
          if (t.CountAll() == 0) continue;
          const double rate = double(t.CountMissed()) / double(t.CountAll());
          const double budget = 1 - double(s.objective.target_ppm) / 1e6;
          EXPECT_NEAR(s.burn_rates[w], rate / budget, 1e-6);
        }
      }
    }
  }
}

tally MakeTally(std::uint64_t missed, std::uint64_t total) {
  tally t;
  t.counts[0] = total - missed;
  t.counts[2] = missed;
  return t;
}

window_tallies MakeTallies(std::array<std::uint64_t, kWindowCount> missed) {
  window_tallies all;
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    all[i] = MakeTally(missed[i], 10'000);
  }
  return all;
}

// Guards against an alert at exactly the limit, and against an alert on one
// window alone. With a target of 99.9%, 144, 60 and 10 missed calls of 10,000
// are burn rates of exactly 14.4, 6 and 1.
TEST(DecideTest, AlertsOnlyAboveTheLimitInBothWindows) {
  constexpr std::int64_t kTarget = 999'000;
  const auto decide = [](std::array<std::uint64_t, kWindowCount> missed) {
    return Decide(MakeTallies(missed), kTarget);
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

// Guards against a division by zero and an alert if there are no calls.
TEST(DecideTest, IsFineWithoutCalls) {
  EXPECT_EQ(Decide({}, 999'000).verdict, verdict::kFine);
  EXPECT_EQ(ComputeBurnRate({}, 999'000), 0);
}

// Guards against a largest cause that is summed over regions, or taken from a
// window that did not alert.
TEST(BurnTest, ReportsTheLargestCauseInTheAlertingWindow) {
  const core::wall_time_ms now = kStart + 10 * kHourMs;
  recording all;
  const auto add = [&](const char* region, cell::ending ending, int count,
                       core::wall_time_ms time) {
    recorder r({{std::string(region) + std::to_string(int(ending))}, 1},
               {region});
    r.SetObjectives(test::MakeTwoObjectives());
    const operation_key key = test::MakeObjective("check").key;
    for (int i = 0; i < count; ++i) {
      r.Add(key, {ending}, core::duration(0), time);
    }
    all = Merge(all, r.Export(now));
  };
  add("sieradz", cell::ending::kFailed, 30, now);
  add("sieradz", cell::ending::kNotRun, 20, now);
  add("kalisz", cell::ending::kNotRun, 25, now);
  add("olesno", cell::ending::kOutcomeUnknown, 500, now - 5 * kHourMs);
  const burn_report report = Evaluate(all, now);
  EXPECT_EQ(report.worst_verdict, verdict::kPage);
  const objective_status& first = report.objectives.front();
  EXPECT_EQ(first.decision.window, window::kHour);
  ASSERT_TRUE(first.largest_cause);
  EXPECT_EQ(
      *first.largest_cause,
      (largest_cause{
          call_result::kFailed, {"sieradz"}, {"kitchens"}, 30, 30.0 / 75}));
}

}  // namespace
}  // namespace mangoplank::report
