#include "mangoplank/report/recording.h"

#include <algorithm>
#include <numeric>

namespace mangoplank::report {

namespace {

/// Corrections of a synchronized clock are far below this.
constexpr core::wall_time_ms kMaxStepBackMs = 10 * kMinuteMs;

/// Drops buckets out of the window of `kept` buckets that ends at `now`, and
/// those after `latest`.
template <class Value>
void Trim(std::map<bucket_index, Value>* buckets, std::int64_t width,
          std::int64_t kept, core::wall_time_ms now,
          core::wall_time_ms latest) {
  buckets->erase(buckets->begin(), buckets->upper_bound(now / width - kept));
  buckets->erase(buckets->upper_bound(latest / width), buckets->end());
}

void Trim(series* s, core::wall_time_ms now, core::wall_time_ms latest) {
  Trim(&s->minutes, kMinuteMs, kMinutes, now, latest);
  Trim(&s->ten_minutes, kTenMinutesMs, kTenMinutes, now, latest);
  Trim(&s->latency, kLatencyMs, kLatencies, now, latest);
}

void MergeBuckets(std::map<bucket_index, tally>* into,
                  const std::map<bucket_index, tally>& from) {
  for (const auto& [index, t] : from) {
    tally& mine = (*into)[index];
    for (std::size_t i = 0; i < kResults; ++i) {
      mine.counts[i] = std::max(mine.counts[i], t.counts[i]);
    }
  }
}

void MergeLatency(std::map<bucket_index, metrics::histogram>* into,
                  const std::map<bucket_index, metrics::histogram>& from) {
  for (const auto& [index, h] : from) {
    metrics::histogram& mine = (*into)[index];
    if (h.Count() > mine.Count()) mine = h;
  }
}

void MergeSource(source* into, const source& from) {
  if (from.taken > into->taken) {
    into->taken = from.taken;
    into->region = from.region;
  }
  into->dropped = std::max(into->dropped, from.dropped);
  for (const auto& [key, s] : from.all) {
    series& mine = into->all[key];
    MergeBuckets(&mine.minutes, s.minutes);
    MergeBuckets(&mine.ten_minutes, s.ten_minutes);
    MergeLatency(&mine.latency, s.latency);
  }
}

/// Of one version, a part that a department may see is shorter.
bool IsNewer(const objective_set& a, const objective_set& b) {
  return std::pair(a.version, a.all.size()) >
         std::pair(b.version, b.all.size());
}

std::uint64_t CallsAfter(const series& s, core::wall_time_ms now) {
  std::uint64_t n = 0;
  auto it = s.ten_minutes.upper_bound(now / kTenMinutesMs);
  for (; it != s.ten_minutes.end(); ++it) n += it->second.Total();
  return n;
}

bool IsEmpty(const series& s) {
  return s.minutes.empty() && s.ten_minutes.empty() && s.latency.empty();
}

void Trim(source* s, core::wall_time_ms now, core::wall_time_ms latest) {
  for (auto& [key, one] : s->all) Trim(&one, now, latest);
  std::erase_if(s->all, [](const auto& item) { return IsEmpty(item.second); });
}

}  // namespace

std::string_view Text(call_result r) {
  switch (r) {
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

std::uint64_t tally::Total() const {
  return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

std::uint64_t tally::Missed() const { return Total() - Of(call_result::kGood); }

void tally::Add(const tally& other) {
  for (std::size_t i = 0; i < kResults; ++i) counts[i] += other.counts[i];
}

recording Merge(const recording& a, const recording& b) {
  recording merged = a;
  if (IsNewer(b.objectives, a.objectives)) merged.objectives = b.objectives;
  for (const auto& [id, s] : b.sources) {
    const auto [it, added] = merged.sources.emplace(id, s);
    if (!added) MergeSource(&it->second, s);
  }
  return merged;
}

recording Expire(const recording& r, core::wall_time_ms now) {
  recording kept = r;
  for (auto& [id, s] : kept.sources) Trim(&s, now, now + kMaxStepBackMs);
  std::erase_if(kept.sources,
                [](const auto& item) { return item.second.all.empty(); });
  return kept;
}

recording OfDepartment(const recording& r, const core::department_id& d) {
  recording part = r;
  std::erase_if(part.objectives.all,
                [&](const objective& o) { return o.key.department != d; });
  for (auto& [id, s] : part.sources) {
    std::erase_if(s.all,
                  [&](const auto& item) { return item.first.department != d; });
  }
  return part;
}

std::optional<call_result> Classify(const calls::call_end& end,
                                    core::duration took,
                                    core::milliseconds threshold) {
  if (end.reason == calls::end_reason::kKeyMissing ||
      end.reason == calls::end_reason::kKeyReused) {
    return {};
  }
  switch (end.ending) {
    case cell::ending::kDone:
      return took <= threshold ? call_result::kGood : call_result::kSlow;
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
  counted_.region = std::move(region);
}

void recorder::SetObjectives(objective_set objectives) {
  thresholds_.clear();
  for (const objective& o : objectives.all) thresholds_[o.key] = o.threshold;
  std::erase_if(counted_.all, [this](const auto& item) {
    return !thresholds_.contains(item.first);
  });
  objectives_ = std::move(objectives);
}

core::wall_time_ms recorder::Follow(core::wall_time_ms now) {
  const core::wall_time_ms before = newest_;
  if (now >= before || before - now > kMaxStepBackMs) newest_ = now;
  if (newest_ < before) {
    for (const auto& [key, s] : counted_.all) {
      counted_.dropped += CallsAfter(s, newest_);
    }
  }
  if (newest_ / kMinuteMs != before / kMinuteMs) {
    Trim(&counted_, newest_, newest_);
  }
  return newest_;
}

void recorder::Add(const operation_key& key, const calls::call_end& end,
                   core::duration took, core::wall_time_ms now) {
  const auto threshold = thresholds_.find(key);
  if (threshold == thresholds_.end()) return;
  const auto result = Classify(end, took, threshold->second);
  if (!result) return;
  const core::wall_time_ms at = Follow(now);
  series& s = counted_.all[key];
  const auto i = static_cast<std::size_t>(*result);
  ++s.minutes[at / kMinuteMs].counts[i];
  ++s.ten_minutes[at / kTenMinutesMs].counts[i];
  if (end.ending != cell::ending::kDone) return;
  const auto us = std::chrono::duration_cast<std::chrono::microseconds>(took);
  s.latency[at / kLatencyMs].Add(std::chrono::duration<double>(us).count());
}

recording recorder::Recording(core::wall_time_ms now) const {
  recording r{objectives_, {{id_, counted_}}};
  source& s = r.sources.begin()->second;
  s.taken = std::max(now, newest_);
  Trim(&s, s.taken, s.taken);
  return r;
}

}  // namespace mangoplank::report
