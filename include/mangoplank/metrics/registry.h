#ifndef MANGOPLANK_METRICS_REGISTRY_H_
#define MANGOPLANK_METRICS_REGISTRY_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Metrics of one process, in the Prometheus text exposition format 0.0.4.
namespace mangoplank::metrics {

/// Label names and values; values come from bounded sets only.
using labels = std::map<std::string, std::string>;

/// Monotonic counter that starts at 0 with the process.
class counter {
 public:
  void Add(std::uint64_t amount = 1) { value_ += amount; }
  std::uint64_t Value() const { return value_; }

 private:
  std::uint64_t value_ = 0;
};

class gauge {
 public:
  void Set(double value) { value_ = value; }
  double Value() const { return value_; }

 private:
  double value_ = 0;
};

/// Distribution of durations on a logarithmic axis from 10 us to 100 s with
/// ten buckets per decade, so that a quantile is off by at most 26%.
class histogram {
 public:
  histogram();
  void Add(double seconds);
  /// Adds all samples of another histogram.
  void Merge(const histogram& other);
  std::uint64_t Count() const;
  double Sum() const;
  double Max() const;
  /// @param quantile from 0 to 1.
  /// @return upper bound of the bucket with the quantile, in seconds.
  double Quantile(double quantile) const;
  /// @return number of samples at or below `seconds`, to bucket resolution.
  std::uint64_t CountUpTo(double seconds) const;

  /// Complete state of a histogram, for transfer and storage.
  struct content {
    /// Samples per bucket; the first is below the axis, the last above it.
    std::vector<std::uint64_t> counts;
    /// Whole microseconds hide rounding that depends on the order of additions.
    std::uint64_t sum_us = 0;
    std::uint64_t max_us = 0;

    friend bool operator==(const content&, const content&) = default;
  };
  content Content() const;
  /// @return none if the number of buckets differs from that of Content().
  static std::optional<histogram> FromContent(const content& state);
  /// Compares the results of Content().
  friend bool operator==(const histogram& a, const histogram& b) {
    return a.Content() == b.Content();
  }

 private:
  friend class registry;
  using axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  using buckets = decltype(boost::histogram::make_histogram(axis()));
  using totals = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::sum,
                                         boost::accumulators::tag::max>>;
  buckets buckets_;
  totals totals_;
  /// Totals merged from other histograms; accumulators can't be added.
  std::uint64_t merged_count_ = 0;
  double merged_sum_ = 0;
  double merged_max_ = 0;
};

/// Owns the metrics of a process. Used from one thread. A lookup returns a
/// reference that stays valid; store it to avoid a lookup on each use.
class registry {
 public:
  counter& Counter(std::string_view name, std::string_view help,
                   const labels& label_values = {});
  gauge& Gauge(std::string_view name, std::string_view help,
               const labels& label_values = {});
  histogram& Histogram(std::string_view name, std::string_view help,
                       const labels& label_values = {});
  /// @return all metrics in text form, sorted by name.
  std::string Expose() const;
  /// Name, type and help of a metric, for the documentation check.
  struct description {
    std::string name;
    std::string type;
    std::string help;
  };
  std::vector<description> Describe() const;

 private:
  template <class T>
  struct family {
    std::string help;
    std::map<labels, std::unique_ptr<T>> members;
  };
  template <class T>
  using families = std::map<std::string, family<T>, std::less<>>;

  template <class T>
  static T& Find(families<T>& all, std::string_view name, std::string_view help,
                 const labels& label_values);

  families<counter> counters_;
  families<gauge> gauges_;
  families<histogram> histograms_;
};

}  // namespace mangoplank::metrics

#endif  // MANGOPLANK_METRICS_REGISTRY_H_
