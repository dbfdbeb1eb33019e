#include "mangoplank/report/burn.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/multiprecision/cpp_int.hpp>

namespace mangoplank::report {

namespace {

using wide = boost::multiprecision::uint128_t;

/// Buckets of a window and their width.
struct extent {
  std::int64_t width = 0;
  std::int64_t buckets = 0;
};

extent ExtentOf(window w) {
  switch (w) {
    case window::kFiveMinutes:
      return {kMinuteMs, 5};
    case window::kHalfHour:
      return {kMinuteMs, 30};
    case window::kHour:
      return {kMinuteMs, kMinutes};
    case window::kSixHours:
      return {kTenMinutesMs, 36};
    case window::kThreeDays:
      return {kTenMinutesMs, kTenMinutes};
  }
  return {kTenMinutesMs, kTenMinutes};
}

/// Burn above `tenths` / 10 over both windows.
struct rule {
  verdict v;
  window large;
  window small;
  std::uint64_t tenths;
};

constexpr rule kRules[] = {
    {verdict::kPage, window::kHour, window::kFiveMinutes, 144},
    {verdict::kPage, window::kSixHours, window::kHalfHour, 60},
    {verdict::kTicket, window::kThreeDays, window::kSixHours, 10},
};

constexpr std::int64_t kBurnPointBuckets = kHourMs / kTenMinutesMs;

tally Sum(const std::map<bucket_index, tally>& buckets, std::int64_t count,
          bucket_index last) {
  tally sum;
  auto it = buckets.upper_bound(last - count);
  for (; it != buckets.end() && it->first <= last; ++it) sum.Add(it->second);
  return sum;
}

tally Sum(const series& s, window w, core::wall_time_ms now) {
  const extent e = ExtentOf(w);
  const auto& buckets = e.width == kMinuteMs ? s.minutes : s.ten_minutes;
  return Sum(buckets, e.buckets, now / e.width);
}

/// Exact, so that a burn of just the limit is not above it.
bool IsAbove(const tally& t, std::int64_t target_ppm, std::uint64_t tenths) {
  const auto budget_ppm = static_cast<std::uint64_t>(kWholePpm - target_ppm);
  return wide(t.Missed()) * wide(10 * kWholePpm) >
         wide(t.Total()) * wide(tenths * budget_ppm);
}

std::size_t At(window w) { return static_cast<std::size_t>(w); }

/// The counts of one operation at one source.
struct part {
  const source* from = nullptr;
  const series* counts = nullptr;
};

std::vector<part> PartsOf(const recording& r, const operation_key& key) {
  std::vector<part> parts;
  for (const auto& [id, s] : r.sources) {
    const auto it = s.all.find(key);
    if (it != s.all.end()) parts.push_back({&s, &it->second});
  }
  return parts;
}

std::optional<largest_cause> Largest(const std::vector<part>& parts,
                                     const core::department_id& department,
                                     window w, core::wall_time_ms now) {
  std::map<core::region_id, tally> by_region;
  std::uint64_t missed = 0;
  for (const part& p : parts) {
    const tally t = Sum(*p.counts, w, now);
    by_region[p.from->region].Add(t);
    missed += t.Missed();
  }
  if (missed == 0) return {};
  largest_cause largest;
  for (const auto& [region, t] : by_region) {
    for (std::size_t i = 1; i < kResults; ++i) {
      if (t.counts[i] <= largest.calls) continue;
      largest = {
          static_cast<call_result>(i), region, department, t.counts[i],
          static_cast<double>(t.counts[i]) / static_cast<double>(missed)};
    }
  }
  return largest;
}

/// Leaves out buckets before the window, which only some recordings still have.
std::map<bucket_index, tally> TenMinutes(const std::vector<part>& parts,
                                         bucket_index last) {
  std::map<bucket_index, tally> sum;
  for (const part& p : parts) {
    const auto& buckets = p.counts->ten_minutes;
    auto it = buckets.upper_bound(last - kTenMinutes);
    for (; it != buckets.end(); ++it) sum[it->first].Add(it->second);
  }
  return sum;
}

std::vector<burn_point> BurnPoints(const std::vector<part>& parts,
                                   std::int64_t target_ppm,
                                   core::wall_time_ms now) {
  const bucket_index last = now / kTenMinutesMs;
  const std::map<bucket_index, tally> buckets = TenMinutes(parts, last);
  std::vector<burn_point> points;
  for (bucket_index i = last - kTenMinutes + 1; i <= last; ++i) {
    const tally t = Sum(buckets, kBurnPointBuckets, i);
    if (t.Total() == 0) continue;
    const core::wall_time_ms end = (i + 1) * kTenMinutesMs;
    points.push_back({std::min(end, now), Burn(t, target_ppm)});
  }
  return points;
}

std::map<bucket_index, metrics::histogram> Latencies(
    const std::vector<part>& parts, core::wall_time_ms now) {
  const bucket_index last = now / kLatencyMs;
  std::map<bucket_index, metrics::histogram> sum;
  for (const part& p : parts) {
    for (const auto& [index, h] : p.counts->latency) {
      if (index > last - kLatencies && index <= last) sum[index].Merge(h);
    }
  }
  return sum;
}

objective_status StatusOf(const recording& r, const objective& o,
                          core::wall_time_ms now) {
  const std::vector<part> parts = PartsOf(r, o.key);
  objective_status s;
  s.declared = o;
  for (std::size_t i = 0; i < kWindows; ++i) {
    for (const part& p : parts) {
      s.tallies[i].Add(Sum(*p.counts, static_cast<window>(i), now));
    }
    s.burn[i] = Burn(s.tallies[i], o.target_ppm);
  }
  s.budget_left = 1 - s.burn[At(window::kThreeDays)];
  s.d = Decide(s.tallies, o.target_ppm);
  s.largest = Largest(parts, o.key.department, s.d.w, now);
  s.burn_points = BurnPoints(parts, o.target_ppm, now);
  for (const auto& [index, h] : Latencies(parts, now)) {
    s.latency.Merge(h);
    s.latency_points.push_back(
        {index * kLatencyMs, h.Quantile(0.5), h.Quantile(0.99)});
  }
  return s;
}

}  // namespace

std::string_view Text(window w) {
  constexpr std::string_view kNames[] = {"5m", "30m", "1h", "6h", "3d"};
  return kNames[At(w)];
}

std::string_view Text(verdict v) {
  constexpr std::string_view kNames[] = {"fine", "ticket", "page"};
  return kNames[static_cast<std::size_t>(v)];
}

std::string Text(const core::endpoint& e) {
  const bool is_v6 = e.address.find(':') != std::string::npos;
  if (is_v6) return fmt::format("[{}]:{}", e.address, e.port);
  return fmt::format("{}:{}", e.address, e.port);
}

double Burn(const tally& t, std::int64_t target_ppm) {
  if (t.Total() == 0) return 0;
  const double missed =
      static_cast<double>(t.Missed()) / static_cast<double>(t.Total());
  return missed * static_cast<double>(kWholePpm) /
         static_cast<double>(kWholePpm - target_ppm);
}

decision Decide(const window_tallies& tallies, std::int64_t target_ppm) {
  for (const rule& r : kRules) {
    if (IsAbove(tallies[At(r.large)], target_ppm, r.tenths) &&
        IsAbove(tallies[At(r.small)], target_ppm, r.tenths)) {
      return {r.v, r.large};
    }
  }
  return {};
}

burn_report Evaluate(const recording& r, core::wall_time_ms now) {
  burn_report report;
  report.at = now;
  for (const objective& o : r.objectives.all) {
    report.objectives.push_back(StatusOf(r, o, now));
    report.worst = std::max(report.worst, report.objectives.back().d.v);
  }
  std::stable_sort(report.objectives.begin(), report.objectives.end(),
                   [](const objective_status& a, const objective_status& b) {
                     return a.d.v > b.d.v;
                   });
  for (const auto& [id, s] : r.sources) report.dropped += s.dropped;
  return report;
}

}  // namespace mangoplank::report
