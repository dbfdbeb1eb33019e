#include "calls/slot_table.h"

#include <algorithm>

namespace mangoplank::calls {

namespace {

constexpr double kLimitDecrease = 0.7;
constexpr core::milliseconds kFirstAvoidance{50};
/// 50 ms doubled six times is 3.2 s, shorter than a lease of grants.
constexpr int kMostDoublings = 6;

}  // namespace

bool slot_table::Grant(const control::slot_grants& g, core::time_point sent) {
  if (std::pair(g.term, g.sequence) < std::pair(last_.t, last_.sequence)) {
    return false;
  }
  last_ = {g.term, g.sequence, sent + g.lease, g.grants};
  std::map<worker_key, std::int64_t> granted;
  for (const control::slot_grant& s : g.grants) {
    granted[{s.worker, s.incarnation}] += s.slots;
  }
  for (auto& [key, use] : workers_) use.granted = 0;
  for (const auto& [key, slots] : granted) {
    const auto [it, is_new] = workers_.try_emplace(key);
    slot_use& use = it->second;
    use.granted = slots;
    const auto most = static_cast<double>(std::max<std::int64_t>(slots, 1));
    use.limit = is_new ? most : std::clamp(use.limit, 1.0, most);
  }
  std::erase_if(workers_, [](const auto& entry) {
    return entry.second.granted == 0 && entry.second.in_flight == 0;
  });
  return true;
}

const slot_use* slot_table::Find(const worker_key& w,
                                 core::time_point now) const {
  if (now >= last_.end) return nullptr;
  const auto it = workers_.find(w);
  return it == workers_.end() || it->second.granted == 0 ? nullptr
                                                         : &it->second;
}

void slot_table::Take(const worker_key& w, bool bulk) {
  slot_use& use = workers_[w];
  ++use.in_flight;
  if (bulk) ++use.bulk_in_flight;
}

void slot_table::Release(const worker_key& w, bool bulk) {
  const auto it = workers_.find(w);
  if (it == workers_.end()) return;
  --it->second.in_flight;
  if (bulk) --it->second.bulk_in_flight;
}

bool slot_table::Covers(const worker_key& w, core::time_point now) const {
  const slot_use* const use = Find(w, now);
  return use != nullptr && use->in_flight <= use->granted;
}

void slot_table::OnAnswer(const worker_key& w) {
  const auto it = workers_.find(w);
  if (it == workers_.end()) return;
  slot_use& use = it->second;
  use.faults_in_a_row = 0;
  use.avoid_until = {};
  const auto most = static_cast<double>(std::max<std::int64_t>(use.granted, 1));
  use.limit = std::min(most, use.limit + 1 / use.limit);
}

void slot_table::OnRefusal(const worker_key& w, core::time_point now) {
  const auto it = workers_.find(w);
  if (it == workers_.end()) return;
  slot_use& use = it->second;
  use.limit = std::max(1.0, use.limit * kLimitDecrease);
  const int doublings = std::min(use.faults_in_a_row++, kMostDoublings);
  use.avoid_until = now + kFirstAvoidance * (1 << doublings);
}

const slot_table::kept_set& slot_table::Kept() {
  const bool keeps =
      std::all_of(workers_.begin(), workers_.end(), [](const auto& entry) {
        return entry.second.in_flight <= entry.second.granted;
      });
  if (keeps) kept_ = last_;
  return kept_;
}

}  // namespace mangoplank::calls
