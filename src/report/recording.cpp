#include "mangoplank/report/recording.h"

#include <algorithm>
#include <numeric>

namespace mangoplank::report {

namespace {

/// A synchronized clock is corrected by far less than this.
constexpr core::wall_time_ms kMaxStepBackMs = 10 * kMinuteMs;

/// Drops the buckets before the window of `kept` buckets that ends at `now`,
/// and those after `latest`.
template <class Value>
void Trim(std::map<bucket_index, Value>* buckets, std::int64_t width,
          std::int64_t kept, core::wall_time_ms now,
          core::wall_time_ms latest) {
  buckets->erase(buckets->begin(), buckets->upper_bound(now / width - kept));
  buckets->erase(buckets->upper_bound(latest / width), buckets->end());
}

void Trim(series* s, core::wall_time_ms now, core::wall_time_ms latest) {
  Trim(&s->minutes, kMinuteMs, kMinuteBuckets, now, latest);
  Trim(&s->ten_minutes, kTenMinutesMs, kTenMinuteBuckets, now, latest);
  Trim(&s->latency, kLatencyBucketMs, kLatencyBuckets, now, latest);
}

void MergeBuckets(std::map<bucket_index, tally>* into,
                  const std::map<bucket_index, tally>& from) {
  for (const auto& [index, t] : from) {
    tally& mine = (*into)[index];
    for (std::size_t i = 0; i < kCallResultCount; ++i) {
      mine.counts[i] = std::max(mine.counts[i], t.counts[i]);
    }
  }
}

void MergeLatencyBuckets(
    std::map<bucket_index, metrics::histogram>* into,
    const std::map<bucket_index, metrics::histogram>& from) {
  for (const auto& [index, h] : from) {
    metrics::histogram& mine = (*into)[index];
    if (h.Count() > mine.Count()) mine = h;
  }
}

void MergeSource(source* into, const source& from) {
  if (from.read_at > into->read_at) {
    into->read_at = from.read_at;
    into->region = from.region;
  }
  into->dropped_calls = std::max(into->dropped_calls, from.dropped_calls);
  for (const auto& [key, s] : from.series) {
    series& mine = into->series[key];
    MergeBuckets(&mine.minutes, s.minutes);
    MergeBuckets(&mine.ten_minutes, s.ten_minutes);
    MergeLatencyBuckets(&mine.latency, s.latency);
  }
}

/// With equal versions, the set filtered for one department is the shorter one.
bool IsNewer(const objective_set& a, const objective_set& b) {
  return std::pair(a.version, a.objectives.size()) >
         std::pair(b.version, b.objectives.size());
}

std::uint64_t CountCallsAfter(const series& s, core::wall_time_ms now) {
  std::uint64_t n = 0;
  auto it = s.ten_minutes.upper_bound(now / kTenMinutesMs);
  for (; it != s.ten_minutes.end(); ++it) n += it->second.CountAll();
  return n;
}

bool IsEmpty(const series& s) {
  return s.minutes.empty() && s.ten_minutes.empty() && s.latency.empty();
}

void Trim(source* s, core::wall_time_ms now, core::wall_time_ms latest) {
  for (auto& [key, series] : s->series) Trim(&series, now, latest);
  std::erase_if(s->series,
                [](const auto& item) { return IsEmpty(item.second); });
}

}  // namespace

std::string_view Name(call_result result) {
  switch (result) {
    case call_result::kGood:
      return "good";
    case call_result::kRefused:
      return "refused";
    case call_result::kFailed:
      return "failed";
    case call_result::kSlow:
      return "slow";
    case call_result::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::uint64_t tally::CountAll() const {
  return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

std::uint64_t tally::CountMissed() const {
  return CountAll() - Count(call_result::kGood);
}

void tally::Add(const tally& other) {
  for (std::size_t i = 0; i < kCallResultCount; ++i) {
    counts[i] += other.counts[i];
  }
}

recording Merge(const recording& a, const recording& b) {
  recording merged = a;
  if (IsNewer(b.objective_set, a.objective_set)) {
    merged.objective_set = b.objective_set;
  }
  for (const auto& [id, s] : b.sources) {
    const auto [it, added] = merged.sources.emplace(id, s);
    if (!added) MergeSource(&it->second, s);
  }
  return merged;
}

recording Expire(const recording& original, core::wall_time_ms now) {
  recording kept = original;
  for (auto& [id, s] : kept.sources) Trim(&s, now, now + kMaxStepBackMs);
  std::erase_if(kept.sources,
                [](const auto& item) { return item.second.series.empty(); });
  return kept;
}

recording FilterByDepartment(const recording& original,
                             const core::department_id& department) {
  recording filtered = original;
  std::erase_if(filtered.objective_set.objectives, [&](const objective& o) {
    return o.key.department != department;
  });
  for (auto& [id, s] : filtered.sources) {
    std::erase_if(s.series, [&](const auto& item) {
      return item.first.department != department;
    });
  }
  return filtered;
}

std::optional<call_result> Classify(const calls::call_end& end,
                                    core::duration latency,
                                    core::milliseconds threshold) {
  if (end.reason == calls::end_reason::kKeyMissing ||
      end.reason == calls::end_reason::kKeyReused) {
    return {};
  }
  switch (end.ending) {
    case cell::ending::kDone:
      return latency <= threshold ? call_result::kGood : call_result::kSlow;
    case cell::ending::kFailed:
      return call_result::kFailed;
    case cell::ending::kNotRun:
      return call_result::kRefused;
    case cell::ending::kOutcomeUnknown:
      return call_result::kUnknown;
  }
  return {};
}

recorder::recorder(source_id id, core::region_id region) : id_(std::move(id)) {
  source_.region = std::move(region);
}

void recorder::SetObjectives(objective_set objectives) {
  thresholds_.clear();
  for (const objective& o : objectives.objectives) {
    thresholds_[o.key] = o.threshold;
  }
  std::erase_if(source_.series, [this](const auto& item) {
    return !thresholds_.contains(item.first);
  });
  objective_set_ = std::move(objectives);
}

core::wall_time_ms recorder::UpdateLatestTime(core::wall_time_ms now) {
  const core::wall_time_ms before = latest_time_;
  if (now >= before || before - now > kMaxStepBackMs) latest_time_ = now;
  if (latest_time_ < before) {
    for (const auto& [key, s] : source_.series) {
      source_.dropped_calls += CountCallsAfter(s, latest_time_);
    }
  }
  if (latest_time_ / kMinuteMs != before / kMinuteMs) {
    Trim(&source_, latest_time_, latest_time_);
  }
  return latest_time_;
}

void recorder::Add(const operation_key& key, const calls::call_end& end,
                   core::duration latency, core::wall_time_ms now) {
  const auto threshold = thresholds_.find(key);
  if (threshold == thresholds_.end()) return;
  const auto result = Classify(end, latency, threshold->second);
  if (!result) return;
  const core::wall_time_ms time = UpdateLatestTime(now);
  series& s = source_.series[key];
  const auto i = static_cast<std::size_t>(*result);
  ++s.minutes[time / kMinuteMs].counts[i];
  ++s.ten_minutes[time / kTenMinutesMs].counts[i];
  if (end.ending != cell::ending::kDone) return;
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(latency);
  s.latency[time / kLatencyBucketMs].Add(
      std::chrono::duration<double>(us).count());
}

recording recorder::Export(core::wall_time_ms now) const {
  recording exported{objective_set_, {{id_, source_}}};
  source& s = exported.sources.begin()->second;
  s.read_at = std::max(now, latest_time_);
  Trim(&s, s.read_at, s.read_at);
  return exported;
}

}  // namespace mangoplank::report
