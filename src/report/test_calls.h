#ifndef MANGOPLANK_SRC_REPORT_TEST_CALLS_H_
#define MANGOPLANK_SRC_REPORT_TEST_CALLS_H_

#include <random>
#include <string>
#include <vector>

#include "mangoplank/report/recording.h"

/// Random calls as input of tests.
namespace mangoplank::report::test {

inline constexpr core::wall_time_ms kStart = 1'800'000'000'000;

inline objective MakeObjective(const std::string& operation,
                               std::int64_t target_ppm = 999'000) {
  return {operation,
          {{"kitchens"}, "portions", operation},
          target_ppm,
          core::milliseconds(250)};
}

inline objective_set MakeTwoObjectives() {
  return {7, {MakeObjective("check"), MakeObjective("book", 950'000)}};
}

struct test_call {
  operation_key key;
  calls::call_end end;
  core::duration latency{};
  core::wall_time_ms time = 0;
};

/// @return `count` calls over the 4 days after kStart, in order of time.
inline std::vector<test_call> MakeRandomCalls(std::uint64_t seed,
                                              std::size_t count) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<core::wall_time_ms> offset(0, 96 * kHourMs);
  std::vector<core::wall_time_ms> times(count);
  for (auto& t : times) t = kStart + offset(random);
  // Half of the calls fall into the last hour, to fill the short windows.
  for (std::size_t i = 0; i < count / 2; ++i) {
    times[i] = kStart + 95 * kHourMs + times[i] % kHourMs;
  }
  std::sort(times.begin(), times.end());
  std::vector<test_call> all;
  for (const core::wall_time_ms time : times) {
    test_call call;
    call.key = MakeObjective(random() % 3 == 0 ? "book" : "check").key;
    const auto roll = random() % 20;
    call.end.ending = roll < 17 ? cell::ending::kDone
                                : static_cast<cell::ending>(1 + roll % 3);
    call.latency = std::chrono::microseconds(random() % 300'000);
    call.time = time;
    all.push_back(call);
  }
  return all;
}

inline void Record(recorder* recorder, const test_call& call) {
  recorder->Add(call.key, call.end, call.latency, call.time);
}

}  // namespace mangoplank::report::test

#endif  // MANGOPLANK_SRC_REPORT_TEST_CALLS_H_
