#ifndef MANGOPLANK_REPORT_BURN_H_
#define MANGOPLANK_REPORT_BURN_H_

#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "mangoplank/report/recording.h"

namespace mangoplank::report {

enum class window : std::uint8_t {
  kFiveMinutes,
  kHalfHour,
  kHour,
  kSixHours,
  kThreeDays
};
inline constexpr std::size_t kWindows = 5;

/// @return the window as text, such as `5m`.
std::string_view Text(window w);

/// Counts of one objective by window.
using window_tallies = std::array<tally, kWindows>;

/// What an operator has to do.
enum class verdict : std::uint8_t { kFine, kTicket, kPage };

/// @return the verdict as one lower-case word.
std::string_view Text(verdict v);

/// @return how many times faster than allowed the budget is spent: 1 spends
/// all of it within the period of the objective; 0 without calls.
double Burn(const tally& t, std::int64_t target_ppm);

/// The rule that made the verdict, and the long window that it looks at.
struct decision {
  verdict v = verdict::kFine;
  window w = window::kThreeDays;

  friend bool operator==(const decision&, const decision&) = default;
};

/// Alerts on two windows at once: the long one shows that the burn matters,
/// the short one that it goes on. Page: above 14.4 over 1 h and 5 min, or above
/// 6 over 6 h and 30 min. Ticket: above 1 over 3 d and 6 h. (The Site
/// Reliability Workbook, chapter 5, "Alerting on SLOs".)
decision Decide(const window_tallies& tallies, std::int64_t target_ppm);

/// The largest group of missed calls.
struct largest_cause {
  call_result cause = call_result::kRefused;
  core::region_id region;
  core::department_id department;
  std::uint64_t calls = 0;
  /// Part of all calls that were missed; above 0, at most 1.
  double share = 0;

  friend bool operator==(const largest_cause&, const largest_cause&) = default;
};

/// Burn over the hour that ended at a time.
struct burn_point {
  core::wall_time_ms at = 0;
  double burn = 0;

  friend bool operator==(const burn_point&, const burn_point&) = default;
};

/// Time taken by the calls done in one bucket of latency, in seconds.
struct latency_point {
  core::wall_time_ms from = 0;
  double p50 = 0;
  double p99 = 0;

  friend bool operator==(const latency_point&, const latency_point&) = default;
};

struct objective_status {
  objective declared;
  window_tallies tallies;
  std::array<double, kWindows> burn{};
  /// Part of the budget of 3 d that is not spent; below 0 when overspent.
  double budget_left = 1;
  decision d;
  /// In the window of the decision; none if no call was missed.
  std::optional<largest_cause> largest;
  /// Calls done in 3 d.
  metrics::histogram latency;
  /// Every 10 minutes of 3 d that has calls in the hour before.
  std::vector<burn_point> burn_points;
  std::vector<latency_point> latency_points;

  friend bool operator==(const objective_status&,
                         const objective_status&) = default;
};

/// State of all objectives at one time.
struct burn_report {
  core::wall_time_ms at = 0;
  verdict worst = verdict::kFine;
  /// The largest verdict first, then in order of name.
  std::vector<objective_status> objectives;
  /// Calls dropped by all sources, see `source::dropped`.
  std::uint64_t dropped = 0;

  friend bool operator==(const burn_report&, const burn_report&) = default;
};

/// An entry whose counts the report lacks.
struct missing_entry {
  core::endpoint entry;
  core::failure why;

  friend bool operator==(const missing_entry&, const missing_entry&) = default;
};

/// @return `ADDRESS:PORT`, with brackets around an IPv6 address.
std::string Text(const core::endpoint& e);

/// A window takes in the bucket of `now` and those before it: 5, 30 and 60 of
/// a minute, 36 and 432 of ten minutes. Later buckets are left out.
burn_report Evaluate(const recording& r, core::wall_time_ms now);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_BURN_H_
