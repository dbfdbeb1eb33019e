#include "dispatch/eligibility_proxy_pool.h"

#include <algorithm>
#include <tuple>

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

/// Time for which a proxy is avoided after an unanswered call; doubled for each
/// further one.
constexpr core::milliseconds kMinAvoidance{500};
constexpr core::milliseconds kMaxAvoidance{16'000};

core::milliseconds AvoidanceAfter(int unanswered) {
  core::milliseconds time = kMinAvoidance;
  for (int i = 1; i < unanswered && time < kMaxAvoidance; ++i) time *= 2;
  return std::min(time, kMaxAvoidance);
}

}  // namespace

proxy_id eligibility_proxy_pool::Add() {
  proxies_.emplace(next_id_, proxy{});
  return next_id_++;
}

/// @return the proxies that are not avoided, or all if there are none.
std::vector<std::map<proxy_id, eligibility_proxy_pool::proxy>::iterator>
eligibility_proxy_pool::FindCandidates(core::time_point now) {
  std::vector<std::map<proxy_id, proxy>::iterator> all;
  std::vector<std::map<proxy_id, proxy>::iterator> candidates;
  for (auto it = proxies_.begin(); it != proxies_.end(); ++it) {
    all.push_back(it);
    if (now >= it->second.avoid_until) candidates.push_back(it);
  }
  return candidates.empty() ? all : candidates;
}

std::optional<proxy_id> eligibility_proxy_pool::Acquire(core::milliseconds cost,
                                                        core::time_point now) {
  const auto candidates = FindCandidates(now);
  if (candidates.empty()) return std::nullopt;
  const auto preference = [](const auto& candidate) {
    return std::tuple(candidate->second.pending, candidate->second.unanswered);
  };
  const auto best = *std::min_element(candidates.begin(), candidates.end(),
                                      [&](const auto& a, const auto& b) {
                                        return preference(a) < preference(b);
                                      });
  const core::milliseconds max_pending =
      cost <= kMaxQueuedCost ? kMaxPendingTime : core::milliseconds(0);
  if (best->second.pending > max_pending) return std::nullopt;
  const auto idle = std::count_if(
      candidates.begin(), candidates.end(), [](const auto& candidate) {
        return candidate->second.pending.count() == 0;
      });
  const std::size_t reserved =
      cost > kMaxUnreservedCost ? candidates.size() / kProxiesPerReserved : 0;
  if (reserved > 0 && static_cast<std::size_t>(idle) <= reserved) {
    return std::nullopt;
  }
  best->second.pending += cost;
  return best->first;
}

proxy_count eligibility_proxy_pool::Count(core::time_point now) const {
  proxy_count count{0, proxies_.size()};
  for (const auto& [id, proxy] : proxies_) {
    if (proxy.pending.count() == 0 && now >= proxy.avoid_until) ++count.idle;
  }
  return count;
}

void eligibility_proxy_pool::Release(proxy_id id, core::milliseconds cost,
                                     call_outcome outcome,
                                     core::time_point now) {
  const auto it = proxies_.find(id);
  if (it == proxies_.end()) return;
  proxy& released = it->second;
  released.pending -= cost;
  if (outcome == call_outcome::kAnswered) {
    released.unanswered = 0;
    released.avoid_until = {};
    return;
  }
  ++released.unanswered;
  released.avoid_until = now + AvoidanceAfter(released.unanswered);
}

}  // namespace mangoplank::dispatch
