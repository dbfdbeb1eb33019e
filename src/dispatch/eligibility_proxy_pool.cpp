#include "dispatch/eligibility_proxy_pool.h"

#include <algorithm>

namespace mangoplank::dispatch {

namespace {

/// Calls that take longer leave a part of the proxies free, so that short calls
/// of urgent queues are assigned at once.
constexpr core::milliseconds kMaxUnreservedCost{200};
constexpr std::size_t kProxiesPerReserved = 8;
/// Calls of at most this cost may be assigned to a busy proxy: the network
/// delay to the proxy and the service is longer than the call.
constexpr core::milliseconds kMaxQueuedCost{50};
/// Longest pending time of a proxy that such a call may wait for.
constexpr core::milliseconds kMaxPendingTime{60};

}  // namespace

proxy_id eligibility_proxy_pool::Add() {
  pending_time_.emplace(next_id_, 0);
  return next_id_++;
}

std::optional<proxy_id> eligibility_proxy_pool::Acquire(
    core::milliseconds cost) {
  const auto least_loaded = std::min_element(
      pending_time_.begin(), pending_time_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (least_loaded == pending_time_.end()) return std::nullopt;
  const core::milliseconds max_pending =
      cost <= kMaxQueuedCost ? kMaxPendingTime : core::milliseconds(0);
  if (least_loaded->second > max_pending) return std::nullopt;
  const auto idle = std::count_if(
      pending_time_.begin(), pending_time_.end(),
      [](const auto& entry) { return entry.second.count() == 0; });
  const std::size_t reserved = cost > kMaxUnreservedCost
                                   ? pending_time_.size() / kProxiesPerReserved
                                   : 0;
  if (reserved > 0 && static_cast<std::size_t>(idle) <= reserved) {
    return std::nullopt;
  }
  least_loaded->second += cost;
  return least_loaded->first;
}

void eligibility_proxy_pool::Release(proxy_id id, core::milliseconds cost) {
  const auto it = pending_time_.find(id);
  if (it != pending_time_.end()) it->second -= cost;
}

}  // namespace mangoplank::dispatch
