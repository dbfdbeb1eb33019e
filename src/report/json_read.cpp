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

constexpr std::uint64_t kMaxUint64 = std::numeric_limits<std::uint64_t>::max();
/// Keeps sums over all sources within 64 bits.
constexpr std::uint64_t kMaxCount = 1'000'000'000'000'000;
/// About 30,000 years after 1970, in minutes.
constexpr std::uint64_t kMaxBucketIndex = 16'000'000'000;
constexpr std::uint64_t kMaxTimeMs = kMaxBucketIndex * kMinuteMs;
constexpr std::uint64_t kMaxThresholdMs = 3'600'000;
constexpr std::size_t kMaxObjectives = 200;
/// A history keeps operations for 3 d after their objective was removed.
constexpr std::size_t kMaxSeries = 10 * kMaxObjectives;
/// Runs of entries within 3 d; 9 entries that restart hourly have 648.
constexpr std::size_t kMaxSources = 4096;
/// For one width; above the buckets of a window and those allowed after it.
constexpr std::size_t kMaxBuckets = 512;

boost::leaf::error_id Invalid(const std::string& field, std::string reason) {
  return core::Fail(core::invalid_request{{{field, std::move(reason)}}});
}

result<const json::object*> AsObject(const json::value& v,
                                     const std::string& path) {
  if (const auto* o = v.if_object()) return o;
  return Invalid(path, "must be an object");
}

result<const json::array*> AsArray(const json::value& v, std::size_t max,
                                   const std::string& path) {
  const auto* a = v.if_array();
  if (a == nullptr) return Invalid(path, "must be an array");
  if (a->size() <= max) return a;
  return Invalid(path, fmt::format("must have at most {} items", max));
}

result<std::uint64_t> AsNumber(const json::value& v, std::uint64_t min,
                               std::uint64_t max, const std::string& path) {
  json::error_code ec;
  const auto n = v.to_number<std::uint64_t>(ec);
  if (!ec && !v.is_double() && n >= min && n <= max) return n;
  return Invalid(path,
                 fmt::format("must be a whole number from {} to {}", min, max));
}

/// Excludes control characters, which could corrupt the output of a terminal.
bool IsPrintable(char c) { return c > ' ' && c <= '~'; }

/// Reads the fields of one object.
class field_reader {
 public:
  field_reader(const json::object& o, std::string path)
      : object_(o), path_(std::move(path)) {}

  std::string Path(std::string_view name) const {
    return path_.empty() ? std::string(name)
                         : fmt::format("{}.{}", path_, name);
  }
  /// Fails on a field that is not one of `names`, as its value would be lost.
  result<void> RejectUnknown(
      std::initializer_list<std::string_view> names) const {
    for (const auto& item : object_) {
      const std::string_view key(item.key().data(), item.key().size());
      if (std::find(names.begin(), names.end(), key) == names.end()) {
        return Invalid(Path(key), "is unknown");
      }
    }
    return {};
  }
  result<const json::value*> Find(std::string_view name) const {
    const json::value* v = object_.if_contains(name);
    if (v == nullptr) return Invalid(Path(name), "is missing");
    return v;
  }
  result<std::uint64_t> ReadNumber(std::string_view name, std::uint64_t min,
                                   std::uint64_t max) const {
    BOOST_LEAF_AUTO(v, Find(name));
    return AsNumber(*v, min, max, Path(name));
  }
  result<std::string> ReadName(std::string_view name) const {
    BOOST_LEAF_AUTO(v, Find(name));
    const auto* s = v->if_string();
    if (s != nullptr && !s->empty() && s->size() <= cell::kMaxNameBytes &&
        std::all_of(s->begin(), s->end(), IsPrintable)) {
      return std::string(s->data(), s->size());
    }
    return Invalid(Path(name),
                   fmt::format("must be 1 to {} printable bytes of ASCII",
                               cell::kMaxNameBytes));
  }
  result<const json::array*> ReadArray(std::string_view name,
                                       std::size_t max) const {
    BOOST_LEAF_AUTO(v, Find(name));
    return AsArray(*v, max, Path(name));
  }

 private:
  const json::object& object_;
  std::string path_;
};

/// Calls `read` with each item of an array and its path.
template <class Read>
result<void> ForEachItem(const json::array& items, const std::string& path,
                         Read&& read) {
  for (std::size_t i = 0; i < items.size(); ++i) {
    BOOST_LEAF_CHECK(read(items[i], fmt::format("{}[{}]", path, i)));
  }
  return {};
}

result<operation_key> ReadKey(const field_reader& fields) {
  operation_key k;
  BOOST_LEAF_ASSIGN(k.department.v, fields.ReadName("department"));
  BOOST_LEAF_ASSIGN(k.service, fields.ReadName("service"));
  BOOST_LEAF_ASSIGN(k.operation, fields.ReadName("operation"));
  return k;
}

result<objective> ReadObjective(const json::value& v, const std::string& path) {
  BOOST_LEAF_AUTO(object, AsObject(v, path));
  const field_reader fields(*object, path);
  BOOST_LEAF_CHECK(
      fields.RejectUnknown({"name", "department", "service", "operation",
                            "target_ppm", "threshold_ms"}));
  objective o;
  BOOST_LEAF_ASSIGN(o.name, fields.ReadName("name"));
  BOOST_LEAF_ASSIGN(o.key, ReadKey(fields));
  BOOST_LEAF_AUTO(target,
                  fields.ReadNumber("target_ppm", 1, kPartsPerMillion - 1));
  BOOST_LEAF_AUTO(threshold,
                  fields.ReadNumber("threshold_ms", 1, kMaxThresholdMs));
  o.target_ppm = static_cast<std::int64_t>(target);
  o.threshold = core::milliseconds(threshold);
  return o;
}

result<objective_set> ReadObjectives(const field_reader& fields) {
  objective_set set;
  BOOST_LEAF_ASSIGN(set.version, fields.ReadNumber("version", 0, kMaxUint64));
  BOOST_LEAF_AUTO(items, fields.ReadArray("objectives", kMaxObjectives));
  std::set<operation_key> seen;
  BOOST_LEAF_CHECK(ForEachItem(
      *items, fields.Path("objectives"),
      [&](const json::value& v, const std::string& path) -> result<void> {
        BOOST_LEAF_AUTO(o, ReadObjective(v, path));
        if (!seen.insert(o.key).second) {
          return Invalid(path, "is a duplicate");
        }
        set.objectives.push_back(o);
        return {};
      }));
  return set;
}

result<void> ReadTally(const json::value& v, const std::string& path,
                       std::map<bucket_index, tally>* into) {
  BOOST_LEAF_AUTO(row, AsArray(v, kCallResultCount + 1, path));
  if (row->size() != kCallResultCount + 1) {
    return Invalid(path,
                   fmt::format("must have {} items", kCallResultCount + 1));
  }
  BOOST_LEAF_AUTO(index, AsNumber((*row)[0], 0, kMaxBucketIndex, path + "[0]"));
  tally t;
  for (std::size_t i = 0; i < kCallResultCount; ++i) {
    BOOST_LEAF_ASSIGN(t.counts[i],
                      AsNumber((*row)[i + 1], 0, kMaxCount,
                               fmt::format("{}[{}]", path, i + 1)));
  }
  if (into->emplace(static_cast<bucket_index>(index), t).second) return {};
  return Invalid(path, "is a duplicate");
}

result<std::map<bucket_index, tally>> ReadTallies(const field_reader& fields,
                                                  std::string_view name) {
  std::map<bucket_index, tally> all;
  BOOST_LEAF_AUTO(items, fields.ReadArray(name, kMaxBuckets));
  BOOST_LEAF_CHECK(ForEachItem(
      *items, fields.Path(name),
      [&](const json::value& v, const std::string& path) -> result<void> {
        return ReadTally(v, path, &all);
      }));
  return all;
}

/// Reads counts into `counts`, starting at position `first`.
result<void> ReadCounts(const field_reader& fields,
                        std::vector<std::uint64_t>* counts) {
  BOOST_LEAF_AUTO(first, fields.ReadNumber("first", 0, counts->size()));
  BOOST_LEAF_AUTO(items, fields.ReadArray("counts", counts->size() - first));
  std::uint64_t* next = counts->data() + first;
  return ForEachItem(*items, fields.Path("counts"),
                     [&](const json::value& item,
                         const std::string& item_path) -> result<void> {
                       BOOST_LEAF_ASSIGN(
                           *next++, AsNumber(item, 0, kMaxCount, item_path));
                       return {};
                     });
}

result<void> ReadLatency(const json::value& v, const std::string& path,
                         std::map<bucket_index, metrics::histogram>* into) {
  BOOST_LEAF_AUTO(object, AsObject(v, path));
  const field_reader fields(*object, path);
  BOOST_LEAF_CHECK(
      fields.RejectUnknown({"bucket", "first", "counts", "sum_us", "max_us"}));
  BOOST_LEAF_AUTO(index, fields.ReadNumber("bucket", 0, kMaxBucketIndex));
  metrics::histogram::content c = metrics::histogram().Content();
  BOOST_LEAF_CHECK(ReadCounts(fields, &c.counts));
  BOOST_LEAF_ASSIGN(c.sum_us, fields.ReadNumber("sum_us", 0, kMaxCount));
  BOOST_LEAF_ASSIGN(c.max_us, fields.ReadNumber("max_us", 0, kMaxCount));
  const auto h = metrics::histogram::FromContent(c);
  if (!h) return Invalid(path, "is not a histogram");
  if (into->emplace(static_cast<bucket_index>(index), *h).second) return {};
  return Invalid(path, "is a duplicate");
}

result<void> ReadSeries(const json::value& v, const std::string& path,
                        std::map<operation_key, series>* into) {
  BOOST_LEAF_AUTO(object, AsObject(v, path));
  const field_reader fields(*object, path);
  BOOST_LEAF_CHECK(fields.RejectUnknown({"department", "service", "operation",
                                         "minutes", "ten_minutes", "latency"}));
  BOOST_LEAF_AUTO(key, ReadKey(fields));
  series s;
  BOOST_LEAF_ASSIGN(s.minutes, ReadTallies(fields, "minutes"));
  BOOST_LEAF_ASSIGN(s.ten_minutes, ReadTallies(fields, "ten_minutes"));
  BOOST_LEAF_AUTO(latency, fields.ReadArray("latency", kMaxBuckets));
  BOOST_LEAF_CHECK(
      ForEachItem(*latency, fields.Path("latency"),
                  [&](const json::value& item,
                      const std::string& item_path) -> result<void> {
                    return ReadLatency(item, item_path, &s.latency);
                  }));
  if (into->emplace(key, std::move(s)).second) return {};
  return Invalid(path, "is a duplicate");
}

result<void> ReadSource(const json::value& v, const std::string& path,
                        std::map<source_id, source>* into) {
  BOOST_LEAF_AUTO(object, AsObject(v, path));
  const field_reader fields(*object, path);
  BOOST_LEAF_CHECK(fields.RejectUnknown(
      {"entry", "incarnation", "region", "taken_ms", "dropped", "series"}));
  source_id id;
  BOOST_LEAF_ASSIGN(id.entry.v, fields.ReadName("entry"));
  BOOST_LEAF_ASSIGN(id.incarnation,
                    fields.ReadNumber("incarnation", 0, kMaxUint64));
  source s;
  BOOST_LEAF_ASSIGN(s.region.v, fields.ReadName("region"));
  BOOST_LEAF_AUTO(read_at, fields.ReadNumber("taken_ms", 0, kMaxTimeMs));
  s.read_at = static_cast<core::wall_time_ms>(read_at);
  BOOST_LEAF_ASSIGN(s.dropped_calls,
                    fields.ReadNumber("dropped", 0, kMaxCount));
  BOOST_LEAF_AUTO(items, fields.ReadArray("series", kMaxSeries));
  BOOST_LEAF_CHECK(ForEachItem(
      *items, fields.Path("series"),
      [&](const json::value& item, const std::string& item_path)
          -> result<void> { return ReadSeries(item, item_path, &s.series); }));
  if (into->emplace(id, std::move(s)).second) return {};
  return Invalid(path, "is a duplicate");
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
  BOOST_LEAF_AUTO(object, AsObject(v, ""));
  const field_reader fields(*object, "");
  BOOST_LEAF_CHECK(fields.ReadNumber("format", kFormatVersion, kFormatVersion));
  BOOST_LEAF_CHECK(
      fields.RejectUnknown({"format", "version", "objectives", "sources"}));
  recording r;
  BOOST_LEAF_ASSIGN(r.objective_set, ReadObjectives(fields));
  BOOST_LEAF_AUTO(sources, fields.ReadArray("sources", kMaxSources));
  BOOST_LEAF_CHECK(ForEachItem(
      *sources, "sources",
      [&](const json::value& item, const std::string& item_path)
          -> result<void> { return ReadSource(item, item_path, &r.sources); }));
  return r;
}

}  // namespace mangoplank::report
