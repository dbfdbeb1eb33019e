#ifndef MANGOPLANK_SRC_REPORT_TEST_STREAMS_H_
#define MANGOPLANK_SRC_REPORT_TEST_STREAMS_H_

#include <random>
#include <string>
#include <vector>

#include "mangoplank/report/recording.h"

/// Random calls for tests.
namespace mangoplank::report::test {

inline constexpr core::wall_time_ms kStart = 1'800'000'000'000;

inline objective Declared(const std::string& operation,
                          std::int64_t target_ppm = 999'000) {
  return {operation,
          {{"kitchens"}, "portions", operation},
          target_ppm,
          core::milliseconds(250)};
}

inline objective_set TwoObjectives() {
  return {7, {Declared("check"), Declared("book", 950'000)}};
}

struct sample {
  operation_key key;
  calls::call_end end;
  core::duration took{};
  core::wall_time_ms at = 0;
};

/// @return `n` calls over the 4 days after kStart, in order of time.
inline std::vector<sample> RandomCalls(std::uint64_t seed, std::size_t n) {
  std::mt19937_64 random(seed);
  std::uniform_int_distribution<core::wall_time_ms> when(0, 96 * kHourMs);
  std::vector<core::wall_time_ms> times(n);
  for (auto& t : times) t = kStart + when(random);
  // Half of the calls come in the last hour, as the short windows need some.
  for (std::size_t i = 0; i < n / 2; ++i) {
    times[i] = kStart + 95 * kHourMs + times[i] % kHourMs;
  }
  std::sort(times.begin(), times.end());
  std::vector<sample> all;
  for (const core::wall_time_ms at : times) {
    sample s;
    s.key = Declared(random() % 3 == 0 ? "book" : "check").key;
    const auto roll = random() % 20;
    s.end.ending = roll < 17 ? cell::ending::kDone
                             : static_cast<cell::ending>(1 + roll % 3);
    s.took = std::chrono::microseconds(random() % 300'000);
    s.at = at;
    all.push_back(s);
  }
  return all;
}

inline void AddTo(recorder* r, const sample& s) {
  r->Add(s.key, s.end, s.took, s.at);
}

}  // namespace mangoplank::report::test

#endif  // MANGOPLANK_SRC_REPORT_TEST_STREAMS_H_
