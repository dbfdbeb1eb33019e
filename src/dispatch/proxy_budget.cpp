#include "dispatch/proxy_budget.h"

#include <algorithm>

namespace mangoplank::dispatch {

namespace {

/// A proxy has one longer call at a time, or short ones of this time together.
constexpr core::milliseconds kShortCallTime{60};
/// Part of the proxies that longer calls leave to the short ones of urgent
/// queues.
constexpr double kShortCallShare = 0.125;

}  // namespace

double proxy_budget::PartOf(core::milliseconds cost) {
  return std::min(1.0, static_cast<double>(cost.count()) /
                           static_cast<double>(kShortCallTime.count()));
}

std::size_t proxy_budget::Allow(core::milliseconds cost,
                                std::size_t wanted) const {
  const double part = PartOf(cost);
  const double kept =
      part < 1 ? 0 : kShortCallShare * static_cast<double>(proxies_.all);
  const double allowed = (left_ - kept) / std::max(part, 0.01);
  if (allowed < 1) return 0;
  return std::min(wanted, static_cast<std::size_t>(allowed));
}

}  // namespace mangoplank::dispatch
