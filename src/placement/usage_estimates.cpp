#include "usage_estimates.h"

#include <cmath>

namespace mangoplank::placement {

namespace {

namespace acc = boost::accumulators;

constexpr double kUsageQuantile = 0.9;
// The P-square estimate needs five reports and is rough before twenty.
constexpr std::size_t kMinReports = 20;

}  // namespace

usage_estimates::entry::entry()
    : cpu(acc::quantile_probability = kUsageQuantile),
      memory(acc::quantile_probability = kUsageQuantile) {}

void usage_estimates::Add(core::revision job, const core::resources& used) {
  entry& quantiles = jobs_[job];
  quantiles.cpu(static_cast<double>(used.cpu_milli));
  quantiles.memory(static_cast<double>(used.memory_mib));
}

std::optional<core::resources> usage_estimates::Estimate(
    core::revision job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || acc::count(it->second.cpu) < kMinReports) {
    return std::nullopt;
  }
  return core::resources{
      std::llround(acc::p_square_quantile(it->second.cpu)),
      std::llround(acc::p_square_quantile(it->second.memory)), 0};
}

}  // namespace mangoplank::placement
