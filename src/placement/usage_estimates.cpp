#include "usage_estimates.h"

#include <cmath>

namespace mangoplank::placement {

namespace {

namespace acc = boost::accumulators;

constexpr double kQuantile = 0.9;
// The P-square estimate starts from five reports and is rough before twenty.
constexpr std::size_t kLeastReports = 20;

}  // namespace

usage_estimates::entry::entry()
    : cpu(acc::quantile_probability = kQuantile),
      memory(acc::quantile_probability = kQuantile) {}

void usage_estimates::Add(core::revision job, const core::resources& used) {
  entry& e = jobs_[job];
  e.cpu(static_cast<double>(used.cpu_milli));
  e.memory(static_cast<double>(used.memory_mib));
}

std::optional<core::resources> usage_estimates::For(core::revision job) const {
  const auto it = jobs_.find(job);
  if (it == jobs_.end() || acc::count(it->second.cpu) < kLeastReports) {
    return std::nullopt;
  }
  return core::resources{
      std::llround(acc::p_square_quantile(it->second.cpu)),
      std::llround(acc::p_square_quantile(it->second.memory)), 0};
}

}  // namespace mangoplank::placement
