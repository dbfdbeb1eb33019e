#include "dispatch/asker_pool.h"

#include <algorithm>

namespace mangoplank::dispatch {

namespace {

/// A call that takes longer leaves a part of the askers to others, so that
/// short ones of urgent queues find one at once.
constexpr core::milliseconds kLongCall{200};
constexpr std::size_t kAskersPerReserved = 8;
/// Calls up to this length are given to askers that have others: the way to the
/// asker and the service takes longer than the call.
constexpr core::milliseconds kShortCall{50};
/// Longest work that a short call waits for there.
constexpr core::milliseconds kQueuedWork{60};

}  // namespace

asker_id asker_pool::Add() {
  pending_.emplace(next_, 0);
  return next_++;
}

std::optional<asker_id> asker_pool::Take(core::milliseconds cost) {
  const auto best = std::min_element(
      pending_.begin(), pending_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  if (best == pending_.end()) return std::nullopt;
  const core::milliseconds bearable =
      cost <= kShortCall ? kQueuedWork : core::milliseconds(0);
  if (best->second > bearable) return std::nullopt;
  const auto idle = std::count_if(
      pending_.begin(), pending_.end(),
      [](const auto& entry) { return entry.second.count() == 0; });
  const std::size_t reserved =
      cost > kLongCall ? pending_.size() / kAskersPerReserved : 0;
  if (reserved > 0 && static_cast<std::size_t>(idle) <= reserved) {
    return std::nullopt;
  }
  best->second += cost;
  return best->first;
}

void asker_pool::Release(asker_id id, core::milliseconds cost) {
  const auto it = pending_.find(id);
  if (it != pending_.end()) it->second -= cost;
}

}  // namespace mangoplank::dispatch
