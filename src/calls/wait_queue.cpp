#include "calls/wait_queue.h"

#include <algorithm>

namespace mangoplank::calls {

wait_queue::lane_key wait_queue::KeyOf(const slot_wish& w) {
  return {w.bulk, w.service.name, w.once};
}

std::size_t wait_queue::Waiting(const slot_wish& w) const {
  const auto it = departments_.find(w.service.department);
  return it == departments_.end() ? 0 : it->second.waiting[ClassOf(w)];
}

std::size_t wait_queue::InLane(const slot_wish& w) const {
  const auto it = departments_.find(w.service.department);
  if (it == departments_.end()) return 0;
  const auto found = it->second.lanes.find(KeyOf(w));
  return found == it->second.lanes.end() ? 0 : found->second.size();
}

std::size_t wait_queue::Ahead(const slot_wish& w) const {
  const auto it = departments_.find(w.service.department);
  if (it == departments_.end()) return 0;
  std::size_t n = 0;
  for (const auto& [key, l] : it->second.lanes) {
    if (key.service != w.service.name || key.bulk > w.bulk) continue;
    // Most calls of a lane have the same time to live and come in order of
    // their deadline, so the count starts at the end.
    auto behind = l.rbegin();
    std::size_t later = 0;
    while (behind != l.rend() && (*behind)->deadline > w.deadline) {
      ++behind;
      ++later;
    }
    n += key.bulk == w.bulk ? l.size() - later : l.size();
  }
  return n;
}

void wait_queue::Add(std::shared_ptr<slot_wish> w) {
  department_queue& q = departments_[w->service.department];
  ++q.waiting[ClassOf(*w)];
  ++size_;
  lane& l = q.lanes[KeyOf(*w)];
  l.insert(std::move(w));
}

void wait_queue::Remove(const std::shared_ptr<slot_wish>& w) {
  const auto it = departments_.find(w->service.department);
  if (it == departments_.end()) return;
  department_queue& q = it->second;
  const auto found = q.lanes.find(KeyOf(*w));
  if (found == q.lanes.end() || found->second.erase(w) == 0) return;
  --q.waiting[ClassOf(*w)];
  --size_;
  if (found->second.empty()) q.lanes.erase(found);
  if (q.lanes.empty()) departments_.erase(it);
}

bool wait_queue::ServeOne(department_queue& q,
                          const std::function<bool(slot_wish&)>& serve) {
  std::vector<std::pair<lane_key, std::shared_ptr<slot_wish>>> heads;
  heads.reserve(q.lanes.size());
  for (const auto& [key, l] : q.lanes) heads.emplace_back(key, *l.begin());
  std::sort(heads.begin(), heads.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first.bulk, a.second->deadline, a.second->number) <
           std::tie(b.first.bulk, b.second->deadline, b.second->number);
  });
  for (const auto& [key, head] : heads) {
    if (!serve(*head)) continue;
    Remove(head);
    return true;
  }
  return false;
}

void wait_queue::Serve(const std::function<bool(slot_wish&)>& serve) {
  std::size_t idle_turns = 0;
  while (!departments_.empty() && idle_turns < departments_.size()) {
    auto it = departments_.upper_bound(last_);
    if (it == departments_.end()) it = departments_.begin();
    last_ = it->first;
    idle_turns = ServeOne(it->second, serve) ? 0 : idle_turns + 1;
  }
}

std::vector<std::shared_ptr<slot_wish>> wait_queue::TakeAll() {
  std::vector<std::shared_ptr<slot_wish>> all;
  for (const auto& [d, q] : departments_) {
    for (const auto& [key, l] : q.lanes) {
      all.insert(all.end(), l.begin(), l.end());
    }
  }
  departments_.clear();
  size_ = 0;
  return all;
}

}  // namespace mangoplank::calls
