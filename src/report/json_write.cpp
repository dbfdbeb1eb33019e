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
    one.reserve(1 + kResults);
    one.emplace_back(index);
    for (const std::uint64_t n : t.counts) one.emplace_back(n);
    all.push_back(std::move(one));
  }
  return all;
}

/// Writes the counts from the first to the last that is not 0.
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
  for (const auto& [key, one] : s.all) all.push_back(Write(key, one, memory));
  json::object out(memory);
  out["entry"] = id.entry.v;
  out["incarnation"] = id.started;
  out["region"] = s.region.v;
  out["taken_ms"] = s.taken;
  out["dropped"] = s.dropped;
  out["series"] = std::move(all);
  return out;
}

json::object Write(const tally& t) {
  json::object out;
  for (std::size_t i = 0; i < kResults; ++i) {
    out[Text(static_cast<call_result>(i))] = t.counts[i];
  }
  return out;
}

json::object Write(const largest_cause& c) {
  return {{"cause", Text(c.cause)},
          {"region", c.region.v},
          {"department", c.department.v},
          {"calls", c.calls},
          {"share", c.share}};
}

json::object Windows(const objective_status& s) {
  json::object out;
  for (std::size_t i = 0; i < kWindows; ++i) {
    json::object one = Write(s.tallies[i]);
    one["burn"] = s.burn[i];
    out[Text(static_cast<window>(i))] = std::move(one);
  }
  return out;
}

json::object Write(const objective_status& s) {
  json::object out = Write(s.declared, {});
  out["verdict"] = Text(s.d.v);
  out["budget_left"] = s.budget_left;
  out["windows"] = Windows(s);
  out["latency_s"] = json::object{{"p50", s.latency.Quantile(0.5)},
                                  {"p99", s.latency.Quantile(0.99)},
                                  {"max", s.latency.Max()}};
  out["largest_cause"] =
      s.largest ? json::value(Write(*s.largest)) : json::value();
  return out;
}

}  // namespace

std::string ToJson(const recording& r) {
  // An entry writes this between calls; freeing all at once saves most of the
  // time.
  json::monotonic_resource resource;
  const json::storage_ptr memory(&resource);
  json::array objectives(memory);
  for (const objective& o : r.objectives.all) {
    objectives.push_back(Write(o, memory));
  }
  json::array sources(memory);
  for (const auto& [id, s] : r.sources) sources.push_back(Write(id, s, memory));
  json::object out(memory);
  out["format"] = kFormat;
  out["version"] = r.objectives.version;
  out["objectives"] = std::move(objectives);
  out["sources"] = std::move(sources);
  return json::serialize(out);
}

std::string ToJson(const burn_report& r,
                   const std::vector<missing_entry>& missing) {
  json::array objectives;
  for (const objective_status& s : r.objectives) objectives.push_back(Write(s));
  json::array entries;
  for (const missing_entry& m : missing) {
    entries.push_back(json::object{{"entry", Text(m.entry)},
                                   {"reason", core::Describe(m.why)}});
  }
  return json::serialize(json::object{{"at_ms", r.at},
                                      {"verdict", Text(r.worst)},
                                      {"objectives", std::move(objectives)},
                                      {"dropped", r.dropped},
                                      {"missing_entries", std::move(entries)}});
}

}  // namespace mangoplank::report
