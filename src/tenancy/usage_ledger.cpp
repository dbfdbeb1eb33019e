#include "mangoplank/tenancy/usage_ledger.h"

#include <algorithm>

namespace mangoplank::tenancy {

namespace {

/// Visits cap, used amount and need of each dimension that the cap bounds.
template <class F>
void ForEachBoundedDimension(const core::resources& cap,
                             const core::resources& used,
                             const core::resources& need, F&& visit) {
  if (cap.cpu_milli > 0) visit(cap.cpu_milli, used.cpu_milli, need.cpu_milli);
  if (cap.memory_mib > 0) {
    visit(cap.memory_mib, used.memory_mib, need.memory_mib);
  }
  if (cap.accelerators > 0) {
    visit(cap.accelerators, used.accelerators, need.accelerators);
  }
}

}  // namespace

bool IsWithinCap(const terms& terms, const core::resources& used) {
  bool is_within = true;
  ForEachBoundedDimension(
      terms.cap, used, {},
      [&](std::int64_t cap, std::int64_t used_amount, std::int64_t) {
        is_within = is_within && used_amount <= cap;
      });
  return is_within;
}

std::size_t CountWithinCap(const terms& terms, const core::resources& used,
                           const core::resources& need, std::size_t limit) {
  auto count = static_cast<std::int64_t>(limit);
  ForEachBoundedDimension(
      terms.cap, used, need,
      [&](std::int64_t cap, std::int64_t used_amount, std::int64_t amount) {
        const std::int64_t left = cap - used_amount;
        if (left < 0) count = 0;
        if (amount > 0) count = std::min(count, left / amount);
      });
  return static_cast<std::size_t>(std::max<std::int64_t>(0, count));
}

void usage_ledger::Add(const usage& added) {
  if (added.tenant.empty()) return;
  core::resources& entry = entries_[added.tenant];
  entry = entry + added.amount;
}

void usage_ledger::Remove(const usage& removed) {
  const auto it = entries_.find(removed.tenant);
  if (it == entries_.end()) return;
  it->second = it->second - removed.amount;
  if (it->second == core::resources{}) entries_.erase(it);
}

core::resources usage_ledger::UsageOf(const std::string& tenant) const {
  const auto it = entries_.find(tenant);
  return it == entries_.end() ? core::resources{} : it->second;
}

}  // namespace mangoplank::tenancy
