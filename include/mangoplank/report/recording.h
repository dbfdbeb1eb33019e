#ifndef MANGOPLANK_REPORT_RECORDING_H_
#define MANGOPLANK_REPORT_RECORDING_H_

#include <array>
#include <map>
#include <string_view>

#include "mangoplank/calls/call.h"
#include "mangoplank/metrics/registry.h"
#include "mangoplank/report/objective.h"

namespace mangoplank::report {

/// Result of a call with respect to its objective.
enum class call_result : std::uint8_t {
  kGood,
  /// The call ended as not_run.
  kRefused,
  kFailed,
  /// Done, but later than the threshold.
  kSlow,
  /// The call ended as outcome_unknown.
  kUnknown
};
inline constexpr std::size_t kCallResultCount = 5;

/// @return the result as one lower-case word.
std::string_view Name(call_result result);

/// Counts of calls by result.
struct tally {
  std::array<std::uint64_t, kCallResultCount> counts{};

  std::uint64_t Count(call_result result) const {
    return counts[static_cast<std::size_t>(result)];
  }
  std::uint64_t CountAll() const;
  /// @return the number of calls that were not good.
  std::uint64_t CountMissed() const;
  void Add(const tally& other);

  friend bool operator==(const tally&, const tally&) = default;
};

/// Milliseconds since the Unix epoch divided by the width of the bucket.
using bucket_index = std::int64_t;

inline constexpr std::int64_t kMinuteMs = 60'000;
inline constexpr std::int64_t kTenMinutesMs = 10 * kMinuteMs;
inline constexpr std::int64_t kHourMs = 60 * kMinuteMs;
/// Width of a latency bucket. Hourly buckets would take three times the memory
/// of all other buckets, and the plot would hardly be finer.
inline constexpr std::int64_t kLatencyBucketMs = 3 * kHourMs;
/// Buckets retained of each width, with the current one: 1 h, 3 d and 3 d.
inline constexpr std::int64_t kMinuteBuckets = 60;
inline constexpr std::int64_t kTenMinuteBuckets = 432;
inline constexpr std::int64_t kLatencyBuckets = 24;

/// Counts of the calls of one operation. At most 60 + 432 buckets of some 90
/// bytes and 24 histograms of at most 900 bytes: 66 KB, or 13 MB for the 200
/// objectives that a configuration object can hold.
struct series {
  std::map<bucket_index, tally> minutes;
  std::map<bucket_index, tally> ten_minutes;
  /// Latency of the calls that were done.
  std::map<bucket_index, metrics::histogram> latency;

  friend bool operator==(const series&, const series&) = default;
};

/// One run of an entry process. The counts of a source have no other writer.
struct source_id {
  core::member_id entry;
  core::incarnation incarnation = 0;

  friend bool operator==(const source_id&, const source_id&) = default;
  friend auto operator<=>(const source_id&, const source_id&) = default;
};

/// The counts of one source.
struct source {
  core::region_id region;
  /// When the source was last read, by its own clock.
  core::wall_time_ms read_at = 0;
  /// Calls dropped when the clock stepped back by more than 10 minutes.
  std::uint64_t dropped_calls = 0;
  std::map<operation_key, report::series> series;

  friend bool operator==(const source&, const source&) = default;
};

/// Counts of any number of sources, stored separately so that merging the same
/// source repeatedly does not count its calls twice.
struct recording {
  report::objective_set objective_set;
  std::map<source_id, source> sources;

  friend bool operator==(const recording&, const recording&) = default;
};

/// Merges two recordings. The merge is commutative and idempotent: the counts
/// of a source only grow, so the larger count is the later one.
recording Merge(const recording& a, const recording& b);

/// @return the recording without the buckets that are outside the windows at
/// `now` or more than 10 minutes after it, and without sources left empty.
recording Expire(const recording& original, core::wall_time_ms now);

/// @return the objectives and counts that a department may see.
recording FilterByDepartment(const recording& original,
                             const core::department_id& department);

/// @return the result of a call, or none if the caller misused the idempotency
/// key, which is not a failure of the service.
std::optional<call_result> Classify(const calls::call_end& end,
                                    core::duration latency,
                                    core::milliseconds threshold);

/// Counts the calls of one entry process. Uses the memory of one series for
/// each objective. Not thread-safe.
class recorder {
 public:
  /// @param id must differ between runs of the same entry.
  recorder(source_id id, core::region_id region);

  /// Replaces the objectives. Drops the counts of operations without one.
  void SetObjectives(objective_set objectives);
  /// Counts the end of a call if its operation has an objective. A clock that
  /// steps back by up to 10 minutes is ignored until it has caught up; a larger
  /// step drops the counts of later buckets.
  /// @param latency from the receipt of the call to its end.
  /// @param now wall clock.
  void Add(const operation_key& key, const calls::call_end& end,
           core::duration latency, core::wall_time_ms now);
  /// @return all counts that are in a window at `now`.
  recording Export(core::wall_time_ms now) const;

 private:
  core::wall_time_ms UpdateLatestTime(core::wall_time_ms now);

  source_id id_;
  objective_set objective_set_;
  std::map<operation_key, core::milliseconds> thresholds_;
  source source_;
  core::wall_time_ms latest_time_ = 0;
};

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_RECORDING_H_
