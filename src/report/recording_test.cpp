#include "mangoplank/report/recording.h"

#include <gtest/gtest.h>

#include "mangoplank/report/burn.h"
#include "report/test_calls.h"

namespace mangoplank::report {
namespace {

using test::kStart;
using test::test_call;

recorder MakeRecorder(const std::string& entry,
                      core::incarnation incarnation = 1) {
  recorder r({{entry}, incarnation}, {"sieradz"});
  r.SetObjectives(test::MakeTwoObjectives());
  return r;
}

const operation_key kCheck = test::MakeObjective("check").key;

std::uint64_t CountCallsIn3Days(const recording& r, core::wall_time_ms now) {
  std::uint64_t n = 0;
  for (const objective_status& s : Evaluate(r, now).objectives) {
    n += s.tallies[std::size_t(window::kThreeDays)].CountAll();
  }
  return n;
}

// Guards against calls lost or counted twice by merges in any order, and by
// repeated merges of the same entry.
TEST(MergeTest, EqualsOneRecorderOfAllCalls) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    const auto calls = test::MakeRandomCalls(seed, 2000);
    recorder one = MakeRecorder("all");
    std::vector<recorder> entries;
    for (int i = 0; i < 4; ++i) {
      entries.push_back(MakeRecorder("entry-" + std::to_string(i)));
    }
    recording merged;
    std::size_t n = 0;
    for (const test_call& call : calls) {
      test::Record(&one, call);
      test::Record(&entries[n % 4], call);
      // Merges part of the counts, so that later merges overlap with them.
      if (++n % 500 != 0) continue;
      for (const recorder& e : entries)
        merged = Merge(e.Export(call.time), merged);
    }
    const core::wall_time_ms now = calls.back().time;
    for (const recorder& e : entries) merged = Merge(merged, e.Export(now));
    EXPECT_EQ(Merge(merged, merged), merged);
    EXPECT_EQ(Evaluate(merged, now), Evaluate(one.Export(now), now));
  }
}

// Guards against a restarted entry replacing the counts of its earlier run.
TEST(MergeTest, KeepsTheCountsOfAnEarlierRun) {
  recorder first_run = MakeRecorder("entry-1", 1);
  recorder second_run = MakeRecorder("entry-1", 2);
  for (int i = 0; i < 30; ++i) first_run.Add(kCheck, {}, {}, kStart);
  for (int i = 0; i < 20; ++i) second_run.Add(kCheck, {}, {}, kStart + 1000);
  const core::wall_time_ms now = kStart + 2000;
  const recording both = Merge(first_run.Export(now), second_run.Export(now));
  EXPECT_EQ(CountCallsIn3Days(both, now), 50u);
}

// Guards against the newest objectives being replaced by those of a lagging
// entry or by those filtered for one department.
TEST(MergeTest, KeepsTheNewestAndLargestObjectiveSet) {
  recording full{test::MakeTwoObjectives(), {}};
  recording part = full;
  part.objective_set.objectives.pop_back();
  recording old = full;
  old.objective_set.version = 6;
  old.objective_set.objectives[0].target_ppm = 1;
  for (const recording& other : {part, old}) {
    EXPECT_EQ(Merge(full, other).objective_set, full.objective_set);
    EXPECT_EQ(Merge(other, full).objective_set, full.objective_set);
  }
}

// Guards against memory that grows with the uptime of an entry.
TEST(RecorderTest, KeepsOnlyTheBucketsOfTheWindows) {
  recorder r = MakeRecorder("entry-1");
  core::wall_time_ms time = kStart;
  for (; time < kStart + 200 * kHourMs; time += 30'000) {
    r.Add(kCheck, {cell::ending::kDone}, core::milliseconds(1), time);
  }
  const recording kept = r.Export(time);
  const series& s = kept.sources.begin()->second.series.at(kCheck);
  EXPECT_LE(s.minutes.size(), std::size_t(kMinuteBuckets));
  EXPECT_LE(s.ten_minutes.size(), std::size_t(kTenMinuteBuckets));
  EXPECT_LE(s.latency.size(), std::size_t(kLatencyBuckets));
  EXPECT_GE(s.ten_minutes.size(), std::size_t(kTenMinuteBuckets) - 1);
  const recording later = Expire(kept, time + 100 * kHourMs);
  EXPECT_TRUE(later.sources.empty());
}

// Guards against calls lost, or counted in buckets already reported, after a
// small correction of the clock.
TEST(RecorderTest, CountsAllCallsAfterASmallStepBackOfTheClock) {
  recorder r = MakeRecorder("entry-1");
  for (int i = 0; i < 10; ++i) r.Add(kCheck, {}, {}, kStart);
  for (int i = 0; i < 10; ++i) r.Add(kCheck, {}, {}, kStart - 9 * kMinuteMs);
  const recording kept = r.Export(kStart - 9 * kMinuteMs);
  EXPECT_EQ(CountCallsIn3Days(kept, kStart), 20u);
  EXPECT_EQ(kept.sources.begin()->second.dropped_calls, 0u);
}

// Guards against a large correction of the clock that stops all counting, or
// leaves counts in the future that enter a window later.
TEST(RecorderTest, DropsAndReportsCountsInTheFuture) {
  recorder r = MakeRecorder("entry-1");
  const core::wall_time_ms wrong = kStart + 1000 * kHourMs;
  for (int i = 0; i < 10; ++i) r.Add(kCheck, {}, {}, wrong);
  for (int i = 0; i < 5; ++i) r.Add(kCheck, {}, {}, kStart);
  const recording kept = r.Export(kStart);
  EXPECT_EQ(CountCallsIn3Days(kept, kStart), 5u);
  EXPECT_EQ(CountCallsIn3Days(kept, wrong), 0u);
  EXPECT_EQ(Evaluate(kept, kStart).dropped_calls, 10u);
}

// Guards against errors of callers that spend the error budget of a service.
TEST(ClassifyTest, ClassifiesEachEnding) {
  using calls::end_reason;
  using cell::ending;
  constexpr core::milliseconds kLimit(250);
  const auto classify = [&](ending ending, end_reason reason, int ms) {
    return Classify({ending, reason}, core::milliseconds(ms), kLimit);
  };
  EXPECT_EQ(classify(ending::kDone, end_reason::kNone, 250),
            call_result::kGood);
  EXPECT_EQ(classify(ending::kDone, end_reason::kNone, 251),
            call_result::kSlow);
  EXPECT_EQ(classify(ending::kFailed, end_reason::kWorkerError, 1),
            call_result::kFailed);
  EXPECT_EQ(classify(ending::kNotRun, end_reason::kOverloaded, 1),
            call_result::kRefused);
  EXPECT_EQ(classify(ending::kOutcomeUnknown, end_reason::kConnection, 1),
            call_result::kUnknown);
  EXPECT_EQ(classify(ending::kNotRun, end_reason::kKeyMissing, 1),
            std::nullopt);
  EXPECT_EQ(classify(ending::kNotRun, end_reason::kKeyReused, 1), std::nullopt);
}

// Guards against one department reading the counts of another.
TEST(FilterByDepartmentTest, ExcludesOtherDepartments) {
  recorder r = MakeRecorder("entry-1");
  r.Add(kCheck, {}, {}, kStart);
  const recording all = r.Export(kStart);
  EXPECT_EQ(FilterByDepartment(all, {"kitchens"}), all);
  const recording none = FilterByDepartment(all, {"tally"});
  EXPECT_TRUE(none.objective_set.objectives.empty());
  EXPECT_TRUE(none.sources.begin()->second.series.empty());
}

}  // namespace
}  // namespace mangoplank::report
