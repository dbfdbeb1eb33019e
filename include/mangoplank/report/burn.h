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
inline constexpr std::size_t kWindowCount = 5;

/// @return the window as text, such as `5m`.
std::string_view Name(window window);

/// Counts of the calls of one objective, by window.
using window_tallies = std::array<tally, kWindowCount>;

/// The required action of the operator, in rising order of severity.
enum class verdict : std::uint8_t { kFine, kTicket, kPage };

/// @return the verdict as one lower-case word.
std::string_view Name(verdict verdict);

/// @return the burn rate: how many times faster than allowed the error budget
/// is spent. At 1 it lasts exactly the period of the objective; 0 if no calls.
double ComputeBurnRate(const tally& tally, std::int64_t target_ppm);

/// A verdict and the long window of the alert rule that it results from.
struct decision {
  report::verdict verdict = report::verdict::kFine;
  report::window window = report::window::kThreeDays;

  friend bool operator==(const decision&, const decision&) = default;
};

/// An alert needs a high burn rate in two windows: the long one shows that the
/// burn is significant, the short one that it continues. Page: above 14.4 over
/// 1 h and 5 min, or above 6 over 6 h and 30 min. Ticket: above 1 over 3 d and
/// 6 h. (The Site Reliability Workbook, chapter 5, "Alerting on SLOs".)
decision Decide(const window_tallies& tallies, std::int64_t target_ppm);

/// The result and region with the most missed calls.
struct largest_cause {
  call_result cause = call_result::kRefused;
  core::region_id region;
  core::department_id department;
  std::uint64_t calls = 0;
  /// Fraction of all missed calls; above 0, at most 1.
  double share = 0;

  friend bool operator==(const largest_cause&, const largest_cause&) = default;
};

/// Burn rate over the hour that ends at a time.
struct burn_point {
  core::wall_time_ms hour_end = 0;
  double burn_rate = 0;

  friend bool operator==(const burn_point&, const burn_point&) = default;
};

/// Latency of the calls done in one latency bucket, in seconds.
struct latency_point {
  core::wall_time_ms bucket_start = 0;
  double p50 = 0;
  double p99 = 0;

  friend bool operator==(const latency_point&, const latency_point&) = default;
};

struct objective_status {
  report::objective objective;
  window_tallies tallies;
  std::array<double, kWindowCount> burn_rates{};
  /// Fraction of the error budget of 3 d that is left; below 0 if overspent.
  double budget_left = 1;
  report::decision decision;
  /// In the window of the decision; none if no call was missed.
  std::optional<report::largest_cause> largest_cause;
  /// Latency of the calls done in 3 d.
  metrics::histogram latency;
  /// One for every 10 minutes of 3 d with calls in the preceding hour.
  std::vector<burn_point> burn_points;
  std::vector<latency_point> latency_points;

  friend bool operator==(const objective_status&,
                         const objective_status&) = default;
};

/// Status of all objectives at one time.
struct burn_report {
  core::wall_time_ms evaluated_at = 0;
  verdict worst_verdict = verdict::kFine;
  /// In falling order of verdict, then by name.
  std::vector<objective_status> objectives;
  /// Sum over all sources, see `source::dropped_calls`.
  std::uint64_t dropped_calls = 0;

  friend bool operator==(const burn_report&, const burn_report&) = default;
};

/// An entry whose recording could not be read.
struct missing_entry {
  core::endpoint entry;
  core::failure failure;

  friend bool operator==(const missing_entry&, const missing_entry&) = default;
};

/// @return `ADDRESS:PORT`, with brackets around an IPv6 address.
std::string Format(const core::endpoint& endpoint);

/// Windows end with the bucket of `now`; later buckets are ignored. They have
/// 5, 30 and 60 buckets of one minute, and 36 and 432 buckets of ten minutes.
burn_report Evaluate(const recording& recording, core::wall_time_ms now);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_BURN_H_
