#include "mangoplank/metrics/registry.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace mangoplank::metrics {

namespace {

namespace acc = boost::accumulators;

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100;
constexpr unsigned kBuckets = 70;
constexpr double kMicroseconds = 1e6;

std::string Escape(std::string_view value) {
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

std::string Render(labels l, std::string_view extra_name = {},
                   std::string_view extra_value = {}) {
  if (!extra_name.empty()) {
    l.emplace(std::string(extra_name), std::string(extra_value));
  }
  if (l.empty()) return {};
  std::string out = "{";
  for (const auto& [name, value] : l) {
    if (out.size() > 1) out += ',';
    out += fmt::format("{}=\"{}\"", name, Escape(value));
  }
  return out + "}";
}

std::string Head(std::string_view name, std::string_view help,
                 std::string_view type) {
  return fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

}  // namespace

histogram::histogram()
    : buckets_(boost::histogram::make_histogram(
          axis(kBuckets, kLowestSeconds, kHighestSeconds))) {}

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

double histogram::Quantile(double q) const {
  const auto wanted =
      static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(Count())));
  std::uint64_t seen = 0;
  const auto& scale = buckets_.axis(0);
  // Index -1 holds samples below the axis, index size() those above it.
  for (int i = -1; i < scale.size(); ++i) {
    seen += static_cast<std::uint64_t>(double(buckets_.at(i)));
    if (seen >= wanted && seen > 0) return scale.bin(i).upper();
  }
  return Max();
}

std::uint64_t histogram::CountUpTo(double seconds) const {
  std::uint64_t seen = 0;
  const auto& scale = buckets_.axis(0);
  for (int i = -1; i < scale.size(); ++i) {
    // The tolerance makes a bound that is a bucket's edge count that bucket.
    if (scale.bin(i).upper() > seconds * (1 + 1e-9)) break;
    seen += static_cast<std::uint64_t>(double(buckets_.at(i)));
  }
  return seen;
}

histogram::content histogram::Content() const {
  content c;
  for (int i = -1; i <= buckets_.axis(0).size(); ++i) {
    c.counts.push_back(static_cast<std::uint64_t>(double(buckets_.at(i))));
  }
  c.sum_us = static_cast<std::uint64_t>(std::llround(Sum() * kMicroseconds));
  c.max_us = static_cast<std::uint64_t>(std::llround(Max() * kMicroseconds));
  return c;
}

std::optional<histogram> histogram::FromContent(const content& c) {
  histogram h;
  const int size = h.buckets_.axis(0).size();
  if (c.counts.size() != static_cast<std::size_t>(size) + 2) return {};
  for (int i = -1; i <= size; ++i) {
    const std::uint64_t n = c.counts[static_cast<std::size_t>(i + 1)];
    h.buckets_.at(i) = n;
    h.merged_count_ += n;
  }
  h.merged_sum_ = static_cast<double>(c.sum_us) / kMicroseconds;
  h.merged_max_ = static_cast<double>(c.max_us) / kMicroseconds;
  return h;
}

template <class T>
T& registry::Find(families<T>& all, std::string_view name,
                  std::string_view help, const labels& l) {
  auto it = all.find(name);
  if (it == all.end()) {
    it = all.emplace(std::string(name), family<T>{std::string(help), {}}).first;
  }
  std::unique_ptr<T>& member = it->second.members[l];
  if (!member) member = std::make_unique<T>();
  return *member;
}

counter& registry::Counter(std::string_view name, std::string_view help,
                           const labels& l) {
  return Find(counters_, name, help, l);
}

gauge& registry::Gauge(std::string_view name, std::string_view help,
                       const labels& l) {
  return Find(gauges_, name, help, l);
}

histogram& registry::Histogram(std::string_view name, std::string_view help,
                               const labels& l) {
  return Find(histograms_, name, help, l);
}

std::string registry::Expose() const {
  std::map<std::string, std::string> parts;
  for (const auto& [name, f] : counters_) {
    std::string& out = parts[name] = Head(name, f.help, "counter");
    for (const auto& [l, c] : f.members) {
      out += fmt::format("{}{} {}\n", name, Render(l), c->Value());
    }
  }
  for (const auto& [name, f] : gauges_) {
    std::string& out = parts[name] = Head(name, f.help, "gauge");
    for (const auto& [l, g] : f.members) {
      out += fmt::format("{}{} {}\n", name, Render(l), g->Value());
    }
  }
  for (const auto& [name, f] : histograms_) {
    std::string& out = parts[name] = Head(name, f.help, "histogram");
    for (const auto& [l, h] : f.members) {
      const auto& scale = h->buckets_.axis(0);
      std::uint64_t seen = 0;
      for (int i = -1; i < scale.size(); ++i) {
        seen += static_cast<std::uint64_t>(double(h->buckets_.at(i)));
        // Two buckets a decade are enough for dashboards and keep it small.
        if ((i + 1) % 5 != 0) continue;
        const std::string le = fmt::format("{:.3g}", scale.bin(i).upper());
        out += fmt::format("{}_bucket{} {}\n", name, Render(l, "le", le), seen);
      }
      out += fmt::format("{}_bucket{} {}\n", name, Render(l, "le", "+Inf"),
                         h->Count());
      out += fmt::format("{0}_sum{1} {2}\n{0}_count{1} {3}\n", name, Render(l),
                         h->Sum(), h->Count());
    }
  }
  std::string all;
  for (const auto& [name, text] : parts) all += text;
  return all;
}

std::vector<registry::description> registry::Describe() const {
  std::vector<description> all;
  for (const auto& [name, f] : counters_) {
    all.push_back({name, "counter", f.help});
  }
  for (const auto& [name, f] : gauges_) all.push_back({name, "gauge", f.help});
  for (const auto& [name, f] : histograms_) {
    all.push_back({name, "histogram", f.help});
  }
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  return all;
}

}  // namespace mangoplank::metrics
