#ifndef MANGOPLANK_REPORT_RECORDING_H_
#define MANGOPLANK_REPORT_RECORDING_H_

#include <array>
#include <map>
#include <string_view>

#include "mangoplank/calls/call.h"
#include "mangoplank/metrics/registry.h"
#include "mangoplank/report/objective.h"

namespace mangoplank::report {

/// What a call counts as.
enum class call_result : std::uint8_t {
  kGood,
  /// not_run.
  kRefused,
  kFailed,
  /// Done, but after the threshold.
  kSlow,
  /// outcome_unknown.
  kUnknown
};
inline constexpr std::size_t kResults = 5;

/// @return the result as one lower-case word.
std::string_view Text(call_result r);

/// Counts of calls by result.
struct tally {
  std::array<std::uint64_t, kResults> counts{};

  std::uint64_t Of(call_result r) const {
    return counts[static_cast<std::size_t>(r)];
  }
  std::uint64_t Total() const;
  /// @return calls that were not good.
  std::uint64_t Missed() const;
  void Add(const tally& other);

  friend bool operator==(const tally&, const tally&) = default;
};

/// Number of a bucket: milliseconds since the Unix epoch over the width.
using bucket_index = std::int64_t;

inline constexpr std::int64_t kMinuteMs = 60'000;
inline constexpr std::int64_t kTenMinutesMs = 10 * kMinuteMs;
inline constexpr std::int64_t kHourMs = 60 * kMinuteMs;
/// Width of the buckets of latency. Hourly ones would take three times the
/// memory of all else for a plot that is hardly finer.
inline constexpr std::int64_t kLatencyMs = 3 * kHourMs;
/// Buckets kept of each width, with the current one: 1 h, 3 d and 3 d.
inline constexpr std::int64_t kMinutes = 60;
inline constexpr std::int64_t kTenMinutes = 432;
inline constexpr std::int64_t kLatencies = 24;

/// The calls of one operation. At most 60 + 432 buckets of some 90 bytes and 24
/// histograms of at most 900 bytes: 66 KB, or 13 MB for the 200 objectives that
/// a configuration object can hold.
struct series {
  std::map<bucket_index, tally> minutes;
  std::map<bucket_index, tally> ten_minutes;
  /// Time taken by calls that were done.
  std::map<bucket_index, metrics::histogram> latency;

  friend bool operator==(const series&, const series&) = default;
};

/// One start of one entry process. It alone adds to its counts.
struct source_id {
  core::member_id entry;
  core::incarnation started = 0;

  friend bool operator==(const source_id&, const source_id&) = default;
  friend auto operator<=>(const source_id&, const source_id&) = default;
};

/// What one source counted.
struct source {
  core::region_id region;
  /// When the source was last read, by its own clock.
  core::wall_time_ms taken = 0;
  /// Calls counted under a time that a correction of the clock made void.
  std::uint64_t dropped = 0;
  std::map<operation_key, series> all;

  friend bool operator==(const source&, const source&) = default;
};

/// Counts of any number of sources. They are kept apart, so that a source can
/// be merged any number of times without being counted twice.
struct recording {
  objective_set objectives;
  std::map<source_id, source> sources;

  friend bool operator==(const recording&, const recording&) = default;
};

/// Merges two recordings. The order of merges and repeated merges make no
/// difference: counts of one source only grow, so the larger is the later.
recording Merge(const recording& a, const recording& b);

/// @return `r` without buckets that are out of the windows at `now` or more
/// than 10 minutes ahead of it, and without sources that have none left.
recording Expire(const recording& r, core::wall_time_ms now);

/// @return the part of `r` that a department may see.
recording OfDepartment(const recording& r, const core::department_id& d);

/// @return what a call counts as, or none for a caller's error with the
/// idempotency key, which says nothing about the service.
std::optional<call_result> Classify(const calls::call_end& end,
                                    core::duration took,
                                    core::milliseconds threshold);

/// Counts the calls of one entry process. Its memory is that of one series for
/// each objective. Used from one thread.
class recorder {
 public:
  /// @param id must differ between two starts of the same entry.
  recorder(source_id id, core::region_id region);

  /// Puts objectives in force. Counts of operations without one are dropped.
  void SetObjectives(objective_set objectives);
  /// Counts the end of a call, if its operation has an objective. A clock that
  /// steps back by up to 10 minutes is ignored until it has caught up; after a
  /// larger step, what was counted ahead of it is dropped.
  /// @param took from the receipt of the call to its end.
  /// @param now wall clock.
  void Add(const operation_key& key, const calls::call_end& end,
           core::duration took, core::wall_time_ms now);
  /// @return all counts that are still in a window at `now`.
  recording Recording(core::wall_time_ms now) const;

 private:
  core::wall_time_ms Follow(core::wall_time_ms now);

  source_id id_;
  objective_set objectives_;
  std::map<operation_key, core::milliseconds> thresholds_;
  source counted_;
  core::wall_time_ms newest_ = 0;
};

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_RECORDING_H_
