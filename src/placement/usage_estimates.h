#ifndef MANGOPLANK_PLACEMENT_USAGE_ESTIMATES_H_
#define MANGOPLANK_PLACEMENT_USAGE_ESTIMATES_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "mangoplank/core/types.h"

namespace mangoplank::placement {

/// Quantiles of the reported resource usage of each job's tasks. Declared sizes
/// are far from actual usage; an estimate only ranks workers and never replaces
/// the declared size in a sum that must stay within a capacity.
class usage_estimates {
 public:
  void Add(core::revision job, const core::resources& used);
  void Forget(core::revision job) { jobs_.erase(job); }
  /// @return the 90th percentile of the reported usage, or no value if there
  /// are too few reports.
  std::optional<core::resources> Estimate(core::revision job) const;

 private:
  using quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::p_square_quantile>>;
  struct entry {
    entry();
    quantile cpu;
    quantile memory;
  };

  std::unordered_map<core::revision, entry> jobs_;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_USAGE_ESTIMATES_H_
