#include "mangoplank/report/recording.h"

#include <gtest/gtest.h>

#include "mangoplank/report/burn.h"
#include "report/test_streams.h"

namespace mangoplank::report {
namespace {

using test::kStart;
using test::sample;

recorder MakeRecorder(const std::string& entry, core::incarnation started = 1) {
  recorder r({{entry}, started}, {"sieradz"});
  r.SetObjectives(test::TwoObjectives());
  return r;
}

const operation_key kCheck = test::Declared("check").key;

std::uint64_t CallsIn3Days(const recording& r, core::wall_time_ms now) {
  std::uint64_t n = 0;
  for (const objective_status& s : Evaluate(r, now).objectives) {
    n += s.tallies[std::size_t(window::kThreeDays)].Total();
  }
  return n;
}

// Guards against calls lost or counted twice in a merge, in any order and with
// a recording of the same entry merged again.
TEST(MergeTest, EqualsOneRecorderThatSawAllSamples) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SCOPED_TRACE(seed);
    const auto samples = test::RandomCalls(seed, 2000);
    recorder one = MakeRecorder("all");
    std::vector<recorder> entries;
    for (int i = 0; i < 4; ++i) {
      entries.push_back(MakeRecorder("entry-" + std::to_string(i)));
    }
    recording merged;
    std::size_t n = 0;
    for (const sample& s : samples) {
      test::AddTo(&one, s);
      test::AddTo(&entries[n % 4], s);
      // A report in between, so that all later merges repeat some counts.
      if (++n % 500 != 0) continue;
      for (const recorder& e : entries)
        merged = Merge(e.Recording(s.at), merged);
    }
    const core::wall_time_ms now = samples.back().at;
    for (const recorder& e : entries) merged = Merge(merged, e.Recording(now));
    EXPECT_EQ(Merge(merged, merged), merged);
    EXPECT_EQ(Evaluate(merged, now), Evaluate(one.Recording(now), now));
  }
}

// Guards against a restarted entry that replaces what it counted before.
TEST(MergeTest, KeepsTheCountsOfAnEarlierStart) {
  recorder before = MakeRecorder("entry-1", 1);
  recorder after = MakeRecorder("entry-1", 2);
  for (int i = 0; i < 30; ++i) before.Add(kCheck, {}, {}, kStart);
  for (int i = 0; i < 20; ++i) after.Add(kCheck, {}, {}, kStart + 1000);
  const core::wall_time_ms now = kStart + 2000;
  const recording both = Merge(before.Recording(now), after.Recording(now));
  EXPECT_EQ(CallsIn3Days(both, now), 50u);
}

// Guards against objectives of a lagging entry, or those that one department
// sees, taking the place of the newest ones.
TEST(MergeTest, TheNewestAndFullestObjectivesWin) {
  recording full{test::TwoObjectives(), {}};
  recording part = full;
  part.objectives.all.pop_back();
  recording old = full;
  old.objectives.version = 6;
  old.objectives.all[0].target_ppm = 1;
  for (const recording& other : {part, old}) {
    EXPECT_EQ(Merge(full, other).objectives, full.objectives);
    EXPECT_EQ(Merge(other, full).objectives, full.objectives);
  }
}

// Guards against memory that grows with the time an entry runs.
TEST(RecorderTest, KeepsOnlyTheBucketsOfTheWindows) {
  recorder r = MakeRecorder("entry-1");
  core::wall_time_ms at = kStart;
  for (; at < kStart + 200 * kHourMs; at += 30'000) {
    r.Add(kCheck, {cell::ending::kDone}, core::milliseconds(1), at);
  }
  const recording kept = r.Recording(at);
  const series& s = kept.sources.begin()->second.all.at(kCheck);
  EXPECT_LE(s.minutes.size(), std::size_t(kMinutes));
  EXPECT_LE(s.ten_minutes.size(), std::size_t(kTenMinutes));
  EXPECT_LE(s.latency.size(), std::size_t(kLatencies));
  EXPECT_GE(s.ten_minutes.size(), std::size_t(kTenMinutes) - 1);
  const recording later = Expire(kept, at + 100 * kHourMs);
  EXPECT_TRUE(later.sources.empty());
}

// Guards against calls lost, or put into buckets already reported, when the
// clock is corrected by a little.
TEST(RecorderTest, CountsOnWhenTheClockStepsBackALittle) {
  recorder r = MakeRecorder("entry-1");
  for (int i = 0; i < 10; ++i) r.Add(kCheck, {}, {}, kStart);
  for (int i = 0; i < 10; ++i) r.Add(kCheck, {}, {}, kStart - 9 * kMinuteMs);
  const recording kept = r.Recording(kStart - 9 * kMinuteMs);
  EXPECT_EQ(CallsIn3Days(kept, kStart), 20u);
  EXPECT_EQ(kept.sources.begin()->second.dropped, 0u);
}

// Guards against a wrong clock that, once corrected, blocks all counting or
// leaves counts that come due at some later time.
TEST(RecorderTest, DropsAndNamesWhatWasCountedUnderAWrongClock) {
  recorder r = MakeRecorder("entry-1");
  const core::wall_time_ms wrong = kStart + 1000 * kHourMs;
  for (int i = 0; i < 10; ++i) r.Add(kCheck, {}, {}, wrong);
  for (int i = 0; i < 5; ++i) r.Add(kCheck, {}, {}, kStart);
  const recording kept = r.Recording(kStart);
  EXPECT_EQ(CallsIn3Days(kept, kStart), 5u);
  EXPECT_EQ(CallsIn3Days(kept, wrong), 0u);
  EXPECT_EQ(Evaluate(kept, kStart).dropped, 10u);
}

// Guards against callers' mistakes that spend the budget of a service.
TEST(ClassifyTest, EachEndCountsAsOneResult) {
  using calls::end_reason;
  using cell::ending;
  constexpr core::milliseconds kLimit(250);
  const auto of = [&](ending e, end_reason why, int ms) {
    return Classify({e, why}, core::milliseconds(ms), kLimit);
  };
  EXPECT_EQ(of(ending::kDone, end_reason::kNone, 250), call_result::kGood);
  EXPECT_EQ(of(ending::kDone, end_reason::kNone, 251), call_result::kSlow);
  EXPECT_EQ(of(ending::kFailed, end_reason::kWorkerError, 1),
            call_result::kFailed);
  EXPECT_EQ(of(ending::kNotRun, end_reason::kOverloaded, 1),
            call_result::kRefused);
  EXPECT_EQ(of(ending::kOutcomeUnknown, end_reason::kConnection, 1),
            call_result::kUnknown);
  EXPECT_EQ(of(ending::kNotRun, end_reason::kKeyMissing, 1), std::nullopt);
  EXPECT_EQ(of(ending::kNotRun, end_reason::kKeyReused, 1), std::nullopt);
}

// Guards against one department reading the counts of another.
TEST(OfDepartmentTest, LeavesOutOtherDepartments) {
  recorder r = MakeRecorder("entry-1");
  r.Add(kCheck, {}, {}, kStart);
  const recording all = r.Recording(kStart);
  EXPECT_EQ(OfDepartment(all, {"kitchens"}), all);
  const recording none = OfDepartment(all, {"tally"});
  EXPECT_TRUE(none.objectives.all.empty());
  EXPECT_TRUE(none.sources.begin()->second.all.empty());
}

}  // namespace
}  // namespace mangoplank::report
