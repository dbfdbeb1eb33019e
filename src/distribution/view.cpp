#include "mangoplank/distribution/view.h"

#include <algorithm>

namespace mangoplank::distribution {

using core::overloaded;

void view::Apply(const control::feed_batch& batch, core::time_point now) {
  if (batch.reset) {
    objects_.clear();
    workers_.clear();
    tasks_.clear();
    replicas_.clear();
  }
  for (const cell::change& change : batch.changes) ApplyChange(change);
  revision_ = batch.to;
  confirmed_at_ = now;
}

void view::ApplyChange(const cell::change& change) {
  std::visit(
      overloaded{[&](const cell::object_changed& o) {
                   objects_[o.object.key] = o.object;
                 },
                 [&](const cell::object_deleted& o) { objects_.erase(o.key); },
                 [&](const cell::worker_changed& w) {
                   workers_[w.record.id] = w.record;
                 },
                 [&](const cell::worker_removed& w) { workers_.erase(w.id); },
                 [&](const cell::task_changed& t) {
                   tasks_[t.record.id] = t.record;
                   if (t.record.phase == cell::task_phase::kRunning) {
                     replicas_[t.record.job][t.record.id] = t.record.worker;
                   } else {
                     replicas_[t.record.job].erase(t.record.id);
                   }
                 },
                 [&](const cell::task_removed& t) {
                   const auto it = tasks_.find(t.id);
                   if (it == tasks_.end()) return;
                   const auto job = replicas_.find(it->second.job);
                   if (job != replicas_.end()) {
                     job->second.erase(t.id);
                     if (job->second.empty()) replicas_.erase(job);
                   }
                   tasks_.erase(it);
                 },
                 [](const cell::call_changed&) {},
                 [](const cell::call_removed&) {}},
      change);
}

const cell::object* view::Find(const cell::object_key& key) const {
  const auto it = objects_.find(key);
  return it == objects_.end() ? nullptr : &it->second;
}

const cell::worker_record* view::FindWorker(const core::worker_id& id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

std::vector<const cell::worker_record*> view::FindWorkersOf(
    const cell::object_key& service) const {
  std::vector<const cell::worker_record*> found;
  const auto it = replicas_.find(service);
  if (it == replicas_.end()) return found;
  for (const auto& [task, worker] : it->second) {
    const cell::worker_record* const record = FindWorker(worker);
    const bool usable =
        record != nullptr && !record->drain &&
        record->incarnation == tasks_.at(task).worker_incarnation;
    // Two replicas may share a worker; it is listed once.
    if (usable &&
        std::find(found.begin(), found.end(), record) == found.end()) {
      found.push_back(record);
    }
  }
  return found;
}

}  // namespace mangoplank::distribution
