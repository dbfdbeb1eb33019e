#include "mangoplank/report/burn.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/multiprecision/cpp_int.hpp>

namespace mangoplank::report {

namespace {

using uint128 = boost::multiprecision::uint128_t;

/// Number of buckets of a window and their width.
struct window_layout {
  std::int64_t width_ms = 0;
  std::int64_t bucket_count = 0;
};

window_layout GetLayout(window window) {
  switch (window) {
    case window::kFiveMinutes:
      return {kMinuteMs, 5};
    case window::kHalfHour:
      return {kMinuteMs, 30};
    case window::kHour:
      return {kMinuteMs, kMinuteBuckets};
    case window::kSixHours:
      return {kTenMinutesMs, 36};
    case window::kThreeDays:
      return {kTenMinutesMs, kTenMinuteBuckets};
  }
  return {kTenMinutesMs, kTenMinuteBuckets};
}

/// Alerts if the burn rate is above `limit_tenths` / 10 in both windows.
struct alert_rule {
  report::verdict verdict;
  window long_window;
  window short_window;
  std::uint64_t limit_tenths;
};

constexpr alert_rule kAlertRules[] = {
    {verdict::kPage, window::kHour, window::kFiveMinutes, 144},
    {verdict::kPage, window::kSixHours, window::kHalfHour, 60},
    {verdict::kTicket, window::kThreeDays, window::kSixHours, 10},
};

constexpr std::int64_t kBucketsPerBurnPoint = kHourMs / kTenMinutesMs;

tally SumBuckets(const std::map<bucket_index, tally>& buckets,
                 std::int64_t count, bucket_index last) {
  tally sum;
  auto it = buckets.upper_bound(last - count);
  for (; it != buckets.end() && it->first <= last; ++it) sum.Add(it->second);
  return sum;
}

tally SumWindow(const series& series, window window, core::wall_time_ms now) {
  const window_layout layout = GetLayout(window);
  const auto& buckets =
      layout.width_ms == kMinuteMs ? series.minutes : series.ten_minutes;
  return SumBuckets(buckets, layout.bucket_count, now / layout.width_ms);
}

/// Computes in integers, so that a rate equal to the limit is not above it.
bool IsAbove(const tally& tally, std::int64_t target_ppm,
             std::uint64_t limit_tenths) {
  const auto budget_ppm =
      static_cast<std::uint64_t>(kPartsPerMillion - target_ppm);
  return uint128(tally.CountMissed()) * uint128(10 * kPartsPerMillion) >
         uint128(tally.CountAll()) * uint128(limit_tenths * budget_ppm);
}

std::size_t IndexOf(window window) { return static_cast<std::size_t>(window); }

/// A source and its counts of one operation.
struct source_series {
  const report::source* source = nullptr;
  const report::series* series = nullptr;
};

std::vector<source_series> FindSeries(const recording& recording,
                                      const operation_key& key) {
  std::vector<source_series> all_series;
  for (const auto& [id, s] : recording.sources) {
    const auto it = s.series.find(key);
    if (it != s.series.end()) all_series.push_back({&s, &it->second});
  }
  return all_series;
}

std::optional<largest_cause> FindLargestCause(
    const std::vector<source_series>& all_series,
    const core::department_id& department, window window,
    core::wall_time_ms now) {
  std::map<core::region_id, tally> by_region;
  std::uint64_t missed = 0;
  for (const source_series& p : all_series) {
    const tally t = SumWindow(*p.series, window, now);
    by_region[p.source->region].Add(t);
    missed += t.CountMissed();
  }
  if (missed == 0) return {};
  largest_cause largest;
  for (const auto& [region, t] : by_region) {
    for (std::size_t i = 1; i < kCallResultCount; ++i) {
      if (t.counts[i] <= largest.calls) continue;
      largest = {
          static_cast<call_result>(i), region, department, t.counts[i],
          static_cast<double>(t.counts[i]) / static_cast<double>(missed)};
    }
  }
  return largest;
}

/// Excludes buckets before the window, which only some recordings still have.
std::map<bucket_index, tally> SumTenMinuteBuckets(
    const std::vector<source_series>& all_series, bucket_index last) {
  std::map<bucket_index, tally> sum;
  for (const source_series& p : all_series) {
    const auto& buckets = p.series->ten_minutes;
    auto it = buckets.upper_bound(last - kTenMinuteBuckets);
    for (; it != buckets.end(); ++it) sum[it->first].Add(it->second);
  }
  return sum;
}

std::vector<burn_point> ComputeBurnPoints(
    const std::vector<source_series>& all_series, std::int64_t target_ppm,
    core::wall_time_ms now) {
  const bucket_index last = now / kTenMinutesMs;
  const std::map<bucket_index, tally> buckets =
      SumTenMinuteBuckets(all_series, last);
  std::vector<burn_point> points;
  for (bucket_index i = last - kTenMinuteBuckets + 1; i <= last; ++i) {
    const tally t = SumBuckets(buckets, kBucketsPerBurnPoint, i);
    if (t.CountAll() == 0) continue;
    const core::wall_time_ms end = (i + 1) * kTenMinutesMs;
    points.push_back({std::min(end, now), ComputeBurnRate(t, target_ppm)});
  }
  return points;
}

std::map<bucket_index, metrics::histogram> SumLatencyBuckets(
    const std::vector<source_series>& all_series, core::wall_time_ms now) {
  const bucket_index last = now / kLatencyBucketMs;
  std::map<bucket_index, metrics::histogram> sum;
  for (const source_series& p : all_series) {
    for (const auto& [index, h] : p.series->latency) {
      if (index > last - kLatencyBuckets && index <= last) sum[index].Merge(h);
    }
  }
  return sum;
}

objective_status EvaluateObjective(const recording& recording,
                                   const objective& objective,
                                   core::wall_time_ms now) {
  const std::vector<source_series> all_series =
      FindSeries(recording, objective.key);
  objective_status s;
  s.objective = objective;
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    for (const source_series& p : all_series) {
      s.tallies[i].Add(SumWindow(*p.series, static_cast<window>(i), now));
    }
    s.burn_rates[i] = ComputeBurnRate(s.tallies[i], objective.target_ppm);
  }
  s.budget_left = 1 - s.burn_rates[IndexOf(window::kThreeDays)];
  s.decision = Decide(s.tallies, objective.target_ppm);
  s.largest_cause = FindLargestCause(all_series, objective.key.department,
                                     s.decision.window, now);
  s.burn_points = ComputeBurnPoints(all_series, objective.target_ppm, now);
  for (const auto& [index, h] : SumLatencyBuckets(all_series, now)) {
    s.latency.Merge(h);
    s.latency_points.push_back(
        {index * kLatencyBucketMs, h.Quantile(0.5), h.Quantile(0.99)});
  }
  return s;
}

}  // namespace

std::string_view Name(window window) {
  constexpr std::string_view kNames[] = {"5m", "30m", "1h", "6h", "3d"};
  return kNames[IndexOf(window)];
}

std::string_view Name(verdict verdict) {
  constexpr std::string_view kNames[] = {"fine", "ticket", "page"};
  return kNames[static_cast<std::size_t>(verdict)];
}

std::string Format(const core::endpoint& endpoint) {
  const bool is_v6 = endpoint.address.find(':') != std::string::npos;
  if (is_v6) return fmt::format("[{}]:{}", endpoint.address, endpoint.port);
  return fmt::format("{}:{}", endpoint.address, endpoint.port);
}

double ComputeBurnRate(const tally& tally, std::int64_t target_ppm) {
  if (tally.CountAll() == 0) return 0;
  const double missed = static_cast<double>(tally.CountMissed()) /
                        static_cast<double>(tally.CountAll());
  return missed * static_cast<double>(kPartsPerMillion) /
         static_cast<double>(kPartsPerMillion - target_ppm);
}

decision Decide(const window_tallies& tallies, std::int64_t target_ppm) {
  for (const alert_rule& r : kAlertRules) {
    if (IsAbove(tallies[IndexOf(r.long_window)], target_ppm, r.limit_tenths) &&
        IsAbove(tallies[IndexOf(r.short_window)], target_ppm, r.limit_tenths)) {
      return {r.verdict, r.long_window};
    }
  }
  return {};
}

burn_report Evaluate(const recording& recording, core::wall_time_ms now) {
  burn_report report;
  report.evaluated_at = now;
  for (const objective& o : recording.objective_set.objectives) {
    report.objectives.push_back(EvaluateObjective(recording, o, now));
    report.worst_verdict = std::max(report.worst_verdict,
                                    report.objectives.back().decision.verdict);
  }
  std::stable_sort(report.objectives.begin(), report.objectives.end(),
                   [](const objective_status& a, const objective_status& b) {
                     return a.decision.verdict > b.decision.verdict;
                   });
  for (const auto& [id, s] : recording.sources) {
    report.dropped_calls += s.dropped_calls;
  }
  return report;
}

}  // namespace mangoplank::report
