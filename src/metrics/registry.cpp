#include "mangoplank/metrics/registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace mangoplank::metrics {

namespace {

namespace acc = boost::accumulators;

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100;
constexpr unsigned kBucketCount = 70;
constexpr double kMicrosecondsPerSecond = 1e6;

std::string EscapeLabelValue(std::string_view value) {
  std::string out;
  for (const char c : value) {
    if (c == '\\' || c == '"') out += '\\';
    if (c == '\n') {
      out += "\\n";
    } else {
      out += c;
    }
  }
  return out;
}

std::string FormatLabels(labels all, std::string_view extra_name = {},
                         std::string_view extra_value = {}) {
  if (!extra_name.empty()) {
    all.emplace(std::string(extra_name), std::string(extra_value));
  }
  if (all.empty()) return {};
  std::string out = "{";
  for (const auto& [name, value] : all) {
    if (out.size() > 1) out += ',';
    out += fmt::format("{}=\"{}\"", name, EscapeLabelValue(value));
  }
  return out + "}";
}

std::string FormatHeader(std::string_view name, std::string_view help,
                         std::string_view type) {
  return fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

}  // namespace

histogram::histogram()
    : buckets_(boost::histogram::make_histogram(
          axis(kBucketCount, kLowestSeconds, kHighestSeconds))) {}

void histogram::Add(double seconds) {
  buckets_(std::max(seconds, 0.0));
  totals_(seconds);
}

void histogram::Merge(const histogram& other) {
  buckets_ += other.buckets_;
  merged_count_ += other.Count();
  merged_sum_ += other.Sum();
  merged_max_ = std::max(merged_max_, other.Max());
}

std::uint64_t histogram::Count() const {
  return acc::count(totals_) + merged_count_;
}

double histogram::Sum() const { return acc::sum(totals_) + merged_sum_; }

double histogram::Max() const {
  return acc::count(totals_) == 0 ? merged_max_
                                  : std::max(acc::max(totals_), merged_max_);
}

double histogram::Quantile(double quantile) const {
  const auto rank = static_cast<std::uint64_t>(
      std::ceil(quantile * static_cast<double>(Count())));
  std::uint64_t cumulative = 0;
  const auto& scale = buckets_.axis(0);
  // Index -1 holds samples below the axis, index size() those above it.
  for (int i = -1; i < scale.size(); ++i) {
    cumulative += static_cast<std::uint64_t>(double(buckets_.at(i)));
    if (cumulative >= rank && cumulative > 0) return scale.bin(i).upper();
  }
  return Max();
}

std::uint64_t histogram::CountUpTo(double seconds) const {
  std::uint64_t cumulative = 0;
  const auto& scale = buckets_.axis(0);
  for (int i = -1; i < scale.size(); ++i) {
    // The tolerance includes a bucket whose upper bound equals `seconds`.
    if (scale.bin(i).upper() > seconds * (1 + 1e-9)) break;
    cumulative += static_cast<std::uint64_t>(double(buckets_.at(i)));
  }
  return cumulative;
}

histogram::content histogram::Content() const {
  content state;
  for (int i = -1; i <= buckets_.axis(0).size(); ++i) {
    state.counts.push_back(static_cast<std::uint64_t>(double(buckets_.at(i))));
  }
  state.sum_us =
      static_cast<std::uint64_t>(std::llround(Sum() * kMicrosecondsPerSecond));
  state.max_us =
      static_cast<std::uint64_t>(std::llround(Max() * kMicrosecondsPerSecond));
  return state;
}

std::optional<histogram> histogram::FromContent(const content& state) {
  histogram restored;
  const int size = restored.buckets_.axis(0).size();
  if (state.counts.size() != static_cast<std::size_t>(size) + 2) return {};
  for (int i = -1; i <= size; ++i) {
    const std::uint64_t count = state.counts[static_cast<std::size_t>(i + 1)];
    restored.buckets_.at(i) = count;
    restored.merged_count_ += count;
  }
  restored.merged_sum_ =
      static_cast<double>(state.sum_us) / kMicrosecondsPerSecond;
  restored.merged_max_ =
      static_cast<double>(state.max_us) / kMicrosecondsPerSecond;
  return restored;
}

template <class T>
T& registry::Find(families<T>& all, std::string_view name,
                  std::string_view help, const labels& label_values) {
  auto it = all.find(name);
  if (it == all.end()) {
    it = all.emplace(std::string(name), family<T>{std::string(help), {}}).first;
  }
  std::unique_ptr<T>& member = it->second.members[label_values];
  if (!member) member = std::make_unique<T>();
  return *member;
}

counter& registry::Counter(std::string_view name, std::string_view help,
                           const labels& label_values) {
  return Find(counters_, name, help, label_values);
}

gauge& registry::Gauge(std::string_view name, std::string_view help,
                       const labels& label_values) {
  return Find(gauges_, name, help, label_values);
}

histogram& registry::Histogram(std::string_view name, std::string_view help,
                               const labels& label_values) {
  return Find(histograms_, name, help, label_values);
}

std::string registry::Expose() const {
  std::map<std::string, std::string> parts;
  for (const auto& [name, metric_family] : counters_) {
    std::string& out = parts[name] =
        FormatHeader(name, metric_family.help, "counter");
    for (const auto& [label_values, metric] : metric_family.members) {
      out += fmt::format("{}{} {}\n", name, FormatLabels(label_values),
                         metric->Value());
    }
  }
  for (const auto& [name, metric_family] : gauges_) {
    std::string& out = parts[name] =
        FormatHeader(name, metric_family.help, "gauge");
    for (const auto& [label_values, metric] : metric_family.members) {
      out += fmt::format("{}{} {}\n", name, FormatLabels(label_values),
                         metric->Value());
    }
  }
  for (const auto& [name, metric_family] : histograms_) {
    std::string& out = parts[name] =
        FormatHeader(name, metric_family.help, "histogram");
    for (const auto& [label_values, metric] : metric_family.members) {
      const auto& scale = metric->buckets_.axis(0);
      std::uint64_t cumulative = 0;
      for (int i = -1; i < scale.size(); ++i) {
        cumulative +=
            static_cast<std::uint64_t>(double(metric->buckets_.at(i)));
        // Two buckets per decade suffice for dashboards and limit the size.
        if ((i + 1) % 5 != 0) continue;
        const std::string le = fmt::format("{:.3g}", scale.bin(i).upper());
        out += fmt::format("{}_bucket{} {}\n", name,
                           FormatLabels(label_values, "le", le), cumulative);
      }
      out += fmt::format("{}_bucket{} {}\n", name,
                         FormatLabels(label_values, "le", "+Inf"),
                         metric->Count());
      out += fmt::format("{0}_sum{1} {2}\n{0}_count{1} {3}\n", name,
                         FormatLabels(label_values), metric->Sum(),
                         metric->Count());
    }
  }
  std::string all;
  for (const auto& [name, text] : parts) all += text;
  return all;
}

std::vector<registry::description> registry::Describe() const {
  std::vector<description> all;
  for (const auto& [name, metric_family] : counters_) {
    all.push_back({name, "counter", metric_family.help});
  }
  for (const auto& [name, metric_family] : gauges_) {
    all.push_back({name, "gauge", metric_family.help});
  }
  for (const auto& [name, metric_family] : histograms_) {
    all.push_back({name, "histogram", metric_family.help});
  }
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  return all;
}

}  // namespace mangoplank::metrics
