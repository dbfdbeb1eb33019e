#include <boost/json.hpp>

#include "mangoplank/report/json.h"
#include "report/json_format.h"

namespace mangoplank::report {

namespace json = boost::json;

namespace {

json::object Write(const operation_key& k) {
  return {{"department", k.department.v},
          {"service", k.service},
          {"operation", k.operation}};
}

json::object Write(const objective& o) {
  json::object out = Write(o.key);
  out["name"] = o.name;
  out["target_ppm"] = o.target_ppm;
  out["threshold_ms"] = o.threshold.count();
  return out;
}

json::array Write(const std::map<bucket_index, tally>& buckets) {
  json::array all;
  for (const auto& [index, t] : buckets) {
    json::array one{index};
    for (const std::uint64_t n : t.counts) one.emplace_back(n);
    all.push_back(std::move(one));
  }
  return all;
}

/// Writes the buckets that have samples, as pairs of position and count.
json::array WriteCounts(const std::vector<std::uint64_t>& counts) {
  json::array all;
  for (std::size_t i = 0; i < counts.size(); ++i) {
    if (counts[i] != 0) all.push_back(json::array{i, counts[i]});
  }
  return all;
}

json::array Write(const std::map<bucket_index, metrics::histogram>& latency) {
  json::array all;
  for (const auto& [index, h] : latency) {
    const metrics::histogram::content c = h.Content();
    all.push_back(json::object{{"bucket", index},
                               {"counts", WriteCounts(c.counts)},
                               {"sum_us", c.sum_us},
                               {"max_us", c.max_us}});
  }
  return all;
}

json::object Write(const operation_key& key, const series& s) {
  json::object out = Write(key);
  out["minutes"] = Write(s.minutes);
  out["ten_minutes"] = Write(s.ten_minutes);
  out["latency"] = Write(s.latency);
  return out;
}

json::object Write(const source_id& id, const source& s) {
  json::array all;
  for (const auto& [key, one] : s.all) all.push_back(Write(key, one));
  return {{"entry", id.entry.v},  {"incarnation", id.started},
          {"region", s.region.v}, {"taken_ms", s.taken},
          {"dropped", s.dropped}, {"series", std::move(all)}};
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
  json::object out = Write(s.declared);
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
  json::array objectives;
  for (const objective& o : r.objectives.all) objectives.push_back(Write(o));
  json::array sources;
  for (const auto& [id, s] : r.sources) sources.push_back(Write(id, s));
  return json::serialize(json::object{{"format", kFormat},
                                      {"version", r.objectives.version},
                                      {"objectives", std::move(objectives)},
                                      {"sources", std::move(sources)}});
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
