#include <fmt/format.h>

#include <algorithm>
#include <boost/json.hpp>
#include <initializer_list>
#include <limits>
#include <set>

#include "mangoplank/report/json.h"
#include "report/json_format.h"

namespace mangoplank::report {

namespace json = boost::json;
using core::result;

namespace {

constexpr std::uint64_t kAny = std::numeric_limits<std::uint64_t>::max();
/// Keeps the sums over all sources within 64 bits.
constexpr std::uint64_t kMaxCount = 1'000'000'000'000'000;
/// Some 30,000 years after 1970 by the minute.
constexpr std::uint64_t kMaxIndex = 16'000'000'000;
constexpr std::uint64_t kMaxTimeMs = kMaxIndex * kMinuteMs;
constexpr std::uint64_t kMaxThresholdMs = 3'600'000;
constexpr std::size_t kMaxObjectives = 200;
/// Operations that have lost their objective stay in a history for 3 d.
constexpr std::size_t kMaxSeries = 10 * kMaxObjectives;
/// Starts of entries within 3 d; 9 entries that restart hourly make 648.
constexpr std::size_t kMaxSources = 4096;
/// Of one width; above what a window holds and what may lie ahead of it.
constexpr std::size_t kMaxBuckets = 512;

boost::leaf::error_id Invalid(const std::string& field, std::string reason) {
  return core::Fail(core::invalid_request{{{field, std::move(reason)}}});
}

result<const json::object*> Object(const json::value& v,
                                   const std::string& path) {
  if (const auto* o = v.if_object()) return o;
  return Invalid(path, "must be an object");
}

result<const json::array*> Array(const json::value& v, std::size_t max,
                                 const std::string& path) {
  const auto* a = v.if_array();
  if (a == nullptr) return Invalid(path, "must be an array");
  if (a->size() <= max) return a;
  return Invalid(path, fmt::format("must have at most {} items", max));
}

result<std::uint64_t> Number(const json::value& v, std::uint64_t min,
                             std::uint64_t max, const std::string& path) {
  json::error_code ec;
  const auto n = v.to_number<std::uint64_t>(ec);
  if (!ec && !v.is_double() && n >= min && n <= max) return n;
  return Invalid(path,
                 fmt::format("must be a whole number from {} to {}", min, max));
}

/// Others could change what a terminal shows.
bool IsPrintable(char c) { return c > ' ' && c <= '~'; }

/// The fields of one object.
class fields {
 public:
  fields(const json::object& o, std::string path)
      : object_(o), path_(std::move(path)) {}

  std::string Path(std::string_view name) const {
    return path_.empty() ? std::string(name)
                         : fmt::format("{}.{}", path_, name);
  }
  /// Fails on a field that is not one of `names`, as it would be lost.
  result<void> Only(std::initializer_list<std::string_view> names) const {
    for (const auto& item : object_) {
      const std::string_view key(item.key().data(), item.key().size());
      if (std::find(names.begin(), names.end(), key) == names.end()) {
        return Invalid(Path(key), "is not known");
      }
    }
    return {};
  }
  result<const json::value*> At(std::string_view name) const {
    const json::value* v = object_.if_contains(name);
    if (v == nullptr) return Invalid(Path(name), "is missing");
    return v;
  }
  result<std::uint64_t> Number(std::string_view name, std::uint64_t min,
                               std::uint64_t max) const {
    BOOST_LEAF_AUTO(v, At(name));
    return report::Number(*v, min, max, Path(name));
  }
  result<std::string> Name(std::string_view name) const {
    BOOST_LEAF_AUTO(v, At(name));
    const auto* s = v->if_string();
    if (s != nullptr && !s->empty() && s->size() <= cell::kMaxNameBytes &&
        std::all_of(s->begin(), s->end(), IsPrintable)) {
      return std::string(s->data(), s->size());
    }
    return Invalid(Path(name),
                   fmt::format("must be 1 to {} printable bytes of ASCII",
                               cell::kMaxNameBytes));
  }
  result<const json::array*> Array(std::string_view name,
                                   std::size_t max) const {
    BOOST_LEAF_AUTO(v, At(name));
    return report::Array(*v, max, Path(name));
  }

 private:
  const json::object& object_;
  std::string path_;
};

/// Reads each item of an array.
template <class Read>
result<void> Each(const json::array& items, const std::string& path,
                  Read&& read) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    BOOST_LEAF_CHECK(read(items[i], fmt::format("{}[{}]", path, i)));
  }
  return {};
}

result<operation_key> ReadKey(const fields& f) {
  operation_key k;
  BOOST_LEAF_ASSIGN(k.department.v, f.Name("department"));
  BOOST_LEAF_ASSIGN(k.service, f.Name("service"));
  BOOST_LEAF_ASSIGN(k.operation, f.Name("operation"));
  return k;
}

result<objective> ReadObjective(const json::value& v, const std::string& path) {
  BOOST_LEAF_AUTO(object, Object(v, path));
  const fields f(*object, path);
  BOOST_LEAF_CHECK(f.Only({"name", "department", "service", "operation",
                           "target_ppm", "threshold_ms"}));
  objective o;
  BOOST_LEAF_ASSIGN(o.name, f.Name("name"));
  BOOST_LEAF_ASSIGN(o.key, ReadKey(f));
  BOOST_LEAF_AUTO(target, f.Number("target_ppm", 1, kWholePpm - 1));
  BOOST_LEAF_AUTO(threshold, f.Number("threshold_ms", 1, kMaxThresholdMs));
  o.target_ppm = static_cast<std::int64_t>(target);
  o.threshold = core::milliseconds(threshold);
  return o;
}

result<objective_set> ReadObjectives(const fields& f) {
  objective_set set;
  BOOST_LEAF_ASSIGN(set.version, f.Number("version", 0, kAny));
  BOOST_LEAF_AUTO(items, f.Array("objectives", kMaxObjectives));
  std::set<operation_key> seen;
  BOOST_LEAF_CHECK(
      Each(*items, f.Path("objectives"),
           [&](const json::value& v, const std::string& path) -> result<void> {
             BOOST_LEAF_AUTO(o, ReadObjective(v, path));
             if (!seen.insert(o.key).second) {
               return Invalid(path, "is repeated");
             }
             set.all.push_back(o);
             return {};
           }));
  return set;
}

result<void> ReadTally(const json::value& v, const std::string& path,
                       std::map<bucket_index, tally>* into) {
  BOOST_LEAF_AUTO(row, Array(v, kResults + 1, path));
  if (row->size() != kResults + 1) {
    return Invalid(path, fmt::format("must have {} items", kResults + 1));
  }
  BOOST_LEAF_AUTO(index, Number((*row)[0], 0, kMaxIndex, path + "[0]"));
  tally t;
  for (std::size_t i = 0; i < kResults; ++i) {
    BOOST_LEAF_ASSIGN(t.counts[i], Number((*row)[i + 1], 0, kMaxCount,
                                          fmt::format("{}[{}]", path, i + 1)));
  }
  if (into->emplace(static_cast<bucket_index>(index), t).second) return {};
  return Invalid(path, "is repeated");
}

result<std::map<bucket_index, tally>> ReadTallies(const fields& f,
                                                  std::string_view name) {
  std::map<bucket_index, tally> all;
  BOOST_LEAF_AUTO(items, f.Array(name, kMaxBuckets));
  BOOST_LEAF_CHECK(
      Each(*items, f.Path(name),
           [&](const json::value& v, const std::string& path) -> result<void> {
             return ReadTally(v, path, &all);
           }));
  return all;
}

/// Reads the counts from position `first` on.
result<void> ReadCounts(const fields& f, std::vector<std::uint64_t>* counts) {
  BOOST_LEAF_AUTO(first, f.Number("first", 0, counts->size()));
  BOOST_LEAF_AUTO(items, f.Array("counts", counts->size() - first));
  std::uint64_t* next = counts->data() + first;
  return Each(
      *items, f.Path("counts"),
      [&](const json::value& item, const std::string& at) -> result<void> {
        BOOST_LEAF_ASSIGN(*next++, Number(item, 0, kMaxCount, at));
        return {};
      });
}

result<void> ReadLatency(const json::value& v, const std::string& path,
                         std::map<bucket_index, metrics::histogram>* into) {
  BOOST_LEAF_AUTO(object, Object(v, path));
  const fields f(*object, path);
  BOOST_LEAF_CHECK(f.Only({"bucket", "first", "counts", "sum_us", "max_us"}));
  BOOST_LEAF_AUTO(index, f.Number("bucket", 0, kMaxIndex));
  metrics::histogram::content c = metrics::histogram().Content();
  BOOST_LEAF_CHECK(ReadCounts(f, &c.counts));
  BOOST_LEAF_ASSIGN(c.sum_us, f.Number("sum_us", 0, kMaxCount));
  BOOST_LEAF_ASSIGN(c.max_us, f.Number("max_us", 0, kMaxCount));
  const auto h = metrics::histogram::FromContent(c);
  if (!h) return Invalid(path, "is not a histogram");
  if (into->emplace(static_cast<bucket_index>(index), *h).second) return {};
  return Invalid(path, "is repeated");
}

result<void> ReadSeries(const json::value& v, const std::string& path,
                        std::map<operation_key, series>* into) {
  BOOST_LEAF_AUTO(object, Object(v, path));
  const fields f(*object, path);
  BOOST_LEAF_CHECK(f.Only({"department", "service", "operation", "minutes",
                           "ten_minutes", "latency"}));
  BOOST_LEAF_AUTO(key, ReadKey(f));
  series s;
  BOOST_LEAF_ASSIGN(s.minutes, ReadTallies(f, "minutes"));
  BOOST_LEAF_ASSIGN(s.ten_minutes, ReadTallies(f, "ten_minutes"));
  BOOST_LEAF_AUTO(latency, f.Array("latency", kMaxBuckets));
  BOOST_LEAF_CHECK(
      Each(*latency, f.Path("latency"),
           [&](const json::value& item, const std::string& at) -> result<void> {
             return ReadLatency(item, at, &s.latency);
           }));
  if (into->emplace(key, std::move(s)).second) return {};
  return Invalid(path, "is repeated");
}

result<void> ReadSource(const json::value& v, const std::string& path,
                        std::map<source_id, source>* into) {
  BOOST_LEAF_AUTO(object, Object(v, path));
  const fields f(*object, path);
  BOOST_LEAF_CHECK(f.Only(
      {"entry", "incarnation", "region", "taken_ms", "dropped", "series"}));
  source_id id;
  BOOST_LEAF_ASSIGN(id.entry.v, f.Name("entry"));
  BOOST_LEAF_ASSIGN(id.started, f.Number("incarnation", 0, kAny));
  source s;
  BOOST_LEAF_ASSIGN(s.region.v, f.Name("region"));
  BOOST_LEAF_AUTO(taken, f.Number("taken_ms", 0, kMaxTimeMs));
  s.taken = static_cast<core::wall_time_ms>(taken);
  BOOST_LEAF_ASSIGN(s.dropped, f.Number("dropped", 0, kMaxCount));
  BOOST_LEAF_AUTO(items, f.Array("series", kMaxSeries));
  BOOST_LEAF_CHECK(
      Each(*items, f.Path("series"),
           [&](const json::value& item, const std::string& at) -> result<void> {
             return ReadSeries(item, at, &s.all);
           }));
  if (into->emplace(id, std::move(s)).second) return {};
  return Invalid(path, "is repeated");
}

}  // namespace

result<recording> FromJson(std::string_view text) {
  if (text.size() > kMaxRecordingBytes) {
    return Invalid("",
                   fmt::format("must be at most {} bytes", kMaxRecordingBytes));
  }
  json::error_code ec;
  json::monotonic_resource memory;
  const json::value v = json::parse(text, ec, &memory);
  if (ec) return Invalid("", "is not JSON: " + ec.message());
  BOOST_LEAF_AUTO(object, Object(v, ""));
  const fields f(*object, "");
  BOOST_LEAF_CHECK(f.Number("format", kFormat, kFormat));
  BOOST_LEAF_CHECK(f.Only({"format", "version", "objectives", "sources"}));
  recording r;
  BOOST_LEAF_ASSIGN(r.objectives, ReadObjectives(f));
  BOOST_LEAF_AUTO(sources, f.Array("sources", kMaxSources));
  BOOST_LEAF_CHECK(
      Each(*sources, "sources",
           [&](const json::value& item, const std::string& at) -> result<void> {
             return ReadSource(item, at, &r.sources);
           }));
  return r;
}

}  // namespace mangoplank::report
