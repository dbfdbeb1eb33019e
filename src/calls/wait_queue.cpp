#include "calls/wait_queue.h"

#include <algorithm>

namespace mangoplank::calls {

wait_queue::subqueue_key wait_queue::KeyOf(const slot_request& request) {
  return {request.bulk, request.service.name, request.at_most_once};
}

std::size_t wait_queue::CountWaiting(const slot_request& request) const {
  const auto it = departments_.find(request.service.department);
  return it == departments_.end()
             ? 0
             : it->second.waiting_by_class[ClassOf(request)];
}

std::size_t wait_queue::CountInSubqueue(const slot_request& request) const {
  const auto it = departments_.find(request.service.department);
  if (it == departments_.end()) return 0;
  const auto found = it->second.subqueues.find(KeyOf(request));
  return found == it->second.subqueues.end() ? 0 : found->second.size();
}

std::size_t wait_queue::CountAhead(const slot_request& request) const {
  const auto it = departments_.find(request.service.department);
  if (it == departments_.end()) return 0;
  std::size_t ahead = 0;
  for (const auto& [key, requests] : it->second.subqueues) {
    if (key.service != request.service.name || key.bulk > request.bulk)
      continue;
    // Most requests of a subqueue have the same timeout and arrive in order of
    // their deadlines, so the search starts at the end.
    auto position = requests.rbegin();
    std::size_t later = 0;
    while (position != requests.rend() &&
           (*position)->deadline > request.deadline) {
      ++position;
      ++later;
    }
    ahead +=
        key.bulk == request.bulk ? requests.size() - later : requests.size();
  }
  return ahead;
}

void wait_queue::Add(std::shared_ptr<slot_request> request) {
  department_queue& queue = departments_[request->service.department];
  ++queue.waiting_by_class[ClassOf(*request)];
  ++size_;
  subqueue& requests = queue.subqueues[KeyOf(*request)];
  requests.insert(std::move(request));
}

void wait_queue::Remove(const std::shared_ptr<slot_request>& request) {
  const auto it = departments_.find(request->service.department);
  if (it == departments_.end()) return;
  department_queue& queue = it->second;
  const auto found = queue.subqueues.find(KeyOf(*request));
  if (found == queue.subqueues.end() || found->second.erase(request) == 0)
    return;
  --queue.waiting_by_class[ClassOf(*request)];
  --size_;
  if (found->second.empty()) queue.subqueues.erase(found);
  if (queue.subqueues.empty()) departments_.erase(it);
}

bool wait_queue::ServeOne(department_queue& queue,
                          const std::function<bool(slot_request&)>& serve) {
  std::vector<std::pair<subqueue_key, std::shared_ptr<slot_request>>> heads;
  heads.reserve(queue.subqueues.size());
  for (const auto& [key, requests] : queue.subqueues)
    heads.emplace_back(key, *requests.begin());
  std::sort(heads.begin(), heads.end(), [](const auto& a, const auto& b) {
    return std::tie(a.first.bulk, a.second->deadline,
                    a.second->arrival_number) <
           std::tie(b.first.bulk, b.second->deadline, b.second->arrival_number);
  });
  for (const auto& [key, head] : heads) {
    if (!serve(*head)) continue;
    Remove(head);
    return true;
  }
  return false;
}

void wait_queue::Serve(const std::function<bool(slot_request&)>& serve) {
  std::size_t idle_turns = 0;
  while (!departments_.empty() && idle_turns < departments_.size()) {
    auto it = departments_.upper_bound(last_served_);
    if (it == departments_.end()) it = departments_.begin();
    last_served_ = it->first;
    idle_turns = ServeOne(it->second, serve) ? 0 : idle_turns + 1;
  }
}

std::vector<std::shared_ptr<slot_request>> wait_queue::RemoveAll() {
  std::vector<std::shared_ptr<slot_request>> all;
  for (const auto& [department, queue] : departments_) {
    for (const auto& [key, requests] : queue.subqueues) {
      all.insert(all.end(), requests.begin(), requests.end());
    }
  }
  departments_.clear();
  size_ = 0;
  return all;
}

}  // namespace mangoplank::calls
