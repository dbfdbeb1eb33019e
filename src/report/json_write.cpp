#include <boost/json.hpp>

#include "mangoplank/report/json.h"
#include "report/json_format.h"

namespace mangoplank::report {

namespace json = boost::json;

namespace {

json::object Write(const operation_key& k, const json::storage_ptr& memory) {
  json::object out(memory);
  out["department"] = k.department.v;
  out["service"] = k.service;
  out["operation"] = k.operation;
  return out;
}

json::object Write(const objective& o, const json::storage_ptr& memory) {
  json::object out = Write(o.key, memory);
  out["name"] = o.name;
  out["target_ppm"] = o.target_ppm;
  out["threshold_ms"] = o.threshold.count();
  return out;
}

json::array Write(const std::map<bucket_index, tally>& buckets,
                  const json::storage_ptr& memory) {
  json::array all(memory);
  all.reserve(buckets.size());
  for (const auto& [index, t] : buckets) {
    json::array one(memory);
    one.reserve(1 + kCallResultCount);
    one.emplace_back(index);
    for (const std::uint64_t n : t.counts) one.emplace_back(n);
    all.push_back(std::move(one));
  }
  return all;
}

/// Writes the counts from the first to the last one that is not 0.
json::object Write(bucket_index index, const metrics::histogram& h,
                   const json::storage_ptr& memory) {
  const metrics::histogram::content c = h.Content();
  std::size_t first = 0;
  std::size_t end = c.counts.size();
  while (first < end && c.counts[first] == 0) ++first;
  while (end > first && c.counts[end - 1] == 0) --end;
  json::array counts(memory);
  counts.reserve(end - first);
  for (std::size_t i = first; i < end; ++i) counts.emplace_back(c.counts[i]);
  json::object out(memory);
  out["bucket"] = index;
  out["first"] = first;
  out["counts"] = std::move(counts);
  out["sum_us"] = c.sum_us;
  out["max_us"] = c.max_us;
  return out;
}

json::array Write(const std::map<bucket_index, metrics::histogram>& latency,
                  const json::storage_ptr& memory) {
  json::array all(memory);
  all.reserve(latency.size());
  for (const auto& [index, h] : latency) all.push_back(Write(index, h, memory));
  return all;
}

json::object Write(const operation_key& key, const series& s,
                   const json::storage_ptr& memory) {
  json::object out = Write(key, memory);
  out["minutes"] = Write(s.minutes, memory);
  out["ten_minutes"] = Write(s.ten_minutes, memory);
  out["latency"] = Write(s.latency, memory);
  return out;
}

json::object Write(const source_id& id, const source& s,
                   const json::storage_ptr& memory) {
  json::array all(memory);
  for (const auto& [key, one] : s.series) {
    all.push_back(Write(key, one, memory));
  }
  json::object out(memory);
  out["entry"] = id.entry.v;
  out["incarnation"] = id.incarnation;
  out["region"] = s.region.v;
  out["taken_ms"] = s.read_at;
  out["dropped"] = s.dropped_calls;
  out["series"] = std::move(all);
  return out;
}

json::object Write(const tally& t) {
  json::object out;
  for (std::size_t i = 0; i < kCallResultCount; ++i) {
    out[Name(static_cast<call_result>(i))] = t.counts[i];
  }
  return out;
}

json::object Write(const largest_cause& c) {
  return {{"cause", Name(c.cause)},
          {"region", c.region.v},
          {"department", c.department.v},
          {"calls", c.calls},
          {"share", c.share}};
}

json::object WriteWindows(const objective_status& s) {
  json::object out;
  for (std::size_t i = 0; i < kWindowCount; ++i) {
    json::object one = Write(s.tallies[i]);
    one["burn"] = s.burn_rates[i];
    out[Name(static_cast<window>(i))] = std::move(one);
  }
  return out;
}

json::object Write(const objective_status& s) {
  json::object out = Write(s.objective, {});
  out["verdict"] = Name(s.decision.verdict);
  out["budget_left"] = s.budget_left;
  out["windows"] = WriteWindows(s);
  out["latency_s"] = json::object{{"p50", s.latency.Quantile(0.5)},
                                  {"p99", s.latency.Quantile(0.99)},
                                  {"max", s.latency.Max()}};
  out["largest_cause"] =
      s.largest_cause ? json::value(Write(*s.largest_cause)) : json::value();
  return out;
}

}  // namespace

std::string ToJson(const recording& recording) {
  // An entry writes this while it serves calls; one monotonic buffer saves most
  // of the time, as it is freed at once.
  json::monotonic_resource resource;
  const json::storage_ptr memory(&resource);
  json::array objectives(memory);
  for (const objective& o : recording.objective_set.objectives) {
    objectives.push_back(Write(o, memory));
  }
  json::array sources(memory);
  for (const auto& [id, s] : recording.sources) {
    sources.push_back(Write(id, s, memory));
  }
  json::object out(memory);
  out["format"] = kFormatVersion;
  out["version"] = recording.objective_set.version;
  out["objectives"] = std::move(objectives);
  out["sources"] = std::move(sources);
  return json::serialize(out);
}

std::string ToJson(const burn_report& report,
                   const std::vector<missing_entry>& missing) {
  json::array objectives;
  for (const objective_status& s : report.objectives) {
    objectives.push_back(Write(s));
  }
  json::array entries;
  for (const missing_entry& m : missing) {
    entries.push_back(json::object{{"entry", Format(m.entry)},
                                   {"reason", core::Describe(m.failure)}});
  }
  return json::serialize(json::object{{"at_ms", report.evaluated_at},
                                      {"verdict", Name(report.worst_verdict)},
                                      {"objectives", std::move(objectives)},
                                      {"dropped", report.dropped_calls},
                                      {"missing_entries", std::move(entries)}});
}

}  // namespace mangoplank::report
