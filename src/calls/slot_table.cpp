#include "calls/slot_table.h"

#include <algorithm>

namespace mangoplank::calls {

namespace {

constexpr double kLimitDecreaseFactor = 0.7;
constexpr core::milliseconds kBaseAvoidance{50};
/// 50 ms doubled six times is 3.2 s, shorter than the lease of the grants.
constexpr int kMaxDoublings = 6;

}  // namespace

bool slot_table::ApplyGrants(const control::slot_grants& set,
                             core::time_point report_sent) {
  if (std::pair(set.term, set.sequence) <
      std::pair(newest_.term, newest_.sequence)) {
    return false;
  }
  newest_ = {set.term, set.sequence, report_sent + set.lease, set.grants};
  std::map<worker_key, std::int64_t> granted;
  for (const control::slot_grant& grant : set.grants) {
    granted[{grant.worker, grant.incarnation}] += grant.slots;
  }
  for (auto& [key, use] : workers_) use.granted = 0;
  for (const auto& [key, slots] : granted) {
    const auto [it, is_new] = workers_.try_emplace(key);
    slot_use& use = it->second;
    use.granted = slots;
    const auto max_limit =
        static_cast<double>(std::max<std::int64_t>(slots, 1));
    use.limit = is_new ? max_limit : std::clamp(use.limit, 1.0, max_limit);
  }
  std::erase_if(workers_, [](const auto& entry) {
    return entry.second.granted == 0 && entry.second.in_flight == 0;
  });
  return true;
}

const slot_use* slot_table::Find(const worker_key& worker,
                                 core::time_point now) const {
  if (now >= newest_.lease_end) return nullptr;
  const auto it = workers_.find(worker);
  return it == workers_.end() || it->second.granted == 0 ? nullptr
                                                         : &it->second;
}

void slot_table::Acquire(const worker_key& worker, bool bulk) {
  slot_use& use = workers_[worker];
  ++use.in_flight;
  if (bulk) ++use.bulk_in_flight;
}

void slot_table::Release(const worker_key& worker, bool bulk) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return;
  --it->second.in_flight;
  if (bulk) --it->second.bulk_in_flight;
}

bool slot_table::IsCovered(const worker_key& worker,
                           core::time_point now) const {
  const slot_use* const use = Find(worker, now);
  return use != nullptr && use->in_flight <= use->granted;
}

void slot_table::OnAnswer(const worker_key& worker) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return;
  slot_use& use = it->second;
  use.consecutive_faults = 0;
  use.avoid_until = {};
  const auto max_limit =
      static_cast<double>(std::max<std::int64_t>(use.granted, 1));
  use.limit = std::min(max_limit, use.limit + 1 / use.limit);
}

void slot_table::OnRefusal(const worker_key& worker, core::time_point now) {
  const auto it = workers_.find(worker);
  if (it == workers_.end()) return;
  slot_use& use = it->second;
  use.limit = std::max(1.0, use.limit * kLimitDecreaseFactor);
  const int doublings = std::min(use.consecutive_faults++, kMaxDoublings);
  use.avoid_until = now + kBaseAvoidance * (1 << doublings);
}

const slot_table::grant_set& slot_table::ConformingGrants() {
  const bool conforms =
      std::all_of(workers_.begin(), workers_.end(), [](const auto& entry) {
        return entry.second.in_flight <= entry.second.granted;
      });
  if (conforms) conforming_ = newest_;
  return conforming_;
}

}  // namespace mangoplank::calls
