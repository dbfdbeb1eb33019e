#include "mangoplank/cell/state.h"

#include "apply.h"
#include "digest.h"

namespace mangoplank::cell {

effect state::Apply(core::revision at, const command& c) {
  at_ = at;
  if (c.request.v.empty()) return applier(this, at, c.proposed_at).Run(c.body);
  const auto key = std::pair(c.caller, c.request);
  const std::uint64_t digest = Digest(c.body);
  const auto kept = requests_.find(key);
  if (kept != requests_.end()) {
    if (kept->second.digest == digest) return {kept->second.answer, {}};
    const core::failure reused =
        core::invalid_request{{{"request_id", "was used for another request"}}};
    return {reused, {}};
  }
  effect e = applier(this, at, c.proposed_at).Run(c.body);
  // A refusal changed nothing, so a resend may be judged anew; only accepted
  // changes must not be made twice.
  if (e.answer) requests_[key] = {digest, c.proposed_at, e.answer};
  return e;
}

effect state::DryRun(const command& c) const {
  state copy = *this;
  return copy.Apply(at_ + 1, c);
}

const object* state::Find(const object_key& key) const {
  const auto it = objects_.find(key);
  return it == objects_.end() ? nullptr : &it->second;
}

const worker_record* state::FindWorker(const core::worker_id& id) const {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : &it->second;
}

const task_record* state::FindTask(const task_id& id) const {
  const auto it = tasks_.find(id);
  return it == tasks_.end() ? nullptr : &it->second;
}

const call_record* state::FindCall(const call_key& key) const {
  const auto it = calls_.find(key);
  return it == calls_.end() ? nullptr : &it->second;
}

core::resources state::Committed(const core::worker_id& id) const {
  const auto it = committed_.find(id);
  return it == committed_.end() ? core::resources{} : it->second;
}

const std::set<task_id>& state::TasksOf(const core::worker_id& id) const {
  static const std::set<task_id> kNone;
  const auto it = tasks_of_worker_.find(id);
  return it == tasks_of_worker_.end() ? kNone : it->second;
}

job_status state::StatusOf(core::revision job_uid) const {
  job_status s;
  for (auto it = tasks_.lower_bound({job_uid, 0});
       it != tasks_.end() && it->first.job == job_uid; ++it) {
    switch (it->second.phase) {
      case task_phase::kWaiting:
        ++s.waiting;
        break;
      case task_phase::kAssigned:
        ++s.assigned;
        break;
      case task_phase::kRunning:
        ++s.running;
        break;
      case task_phase::kSucceeded:
        ++s.succeeded;
        break;
      case task_phase::kFailed:
        ++s.failed;
        break;
      case task_phase::kNotRun:
        ++s.not_run;
        break;
      case task_phase::kStopped:
        ++s.stopped;
        break;
      case task_phase::kUnknown:
        ++s.unknown;
        break;
    }
  }
  return s;
}

state_image state::Image() const {
  state_image image;
  image.revision = at_;
  for (const auto& [key, o] : objects_) image.objects.push_back(o);
  for (const auto& [id, w] : workers_) image.workers.push_back(w);
  for (const auto& [id, t] : tasks_) image.tasks.push_back(t);
  for (const auto& [key, c] : calls_) image.calls.push_back(c);
  for (const auto& [key, kept] : requests_) {
    image.requests.push_back({key.first, key.second, kept});
  }
  return image;
}

state state::FromImage(const state_image& image) {
  state s;
  s.at_ = image.revision;
  for (const object& o : image.objects) s.objects_.emplace(o.key, o);
  for (const worker_record& w : image.workers) s.workers_.emplace(w.id, w);
  for (const task_record& t : image.tasks) {
    s.tasks_.emplace(t.id, t);
    if (!HoldsResources(t.phase)) continue;
    core::resources& held = s.committed_[t.worker];
    held = held + t.need;
    s.tasks_of_worker_[t.worker].insert(t.id);
  }
  for (const call_record& c : image.calls) {
    s.calls_.emplace(c.key, c);
    if (!c.outcome) s.open_calls_[c.worker].insert(c.key);
  }
  for (const auto& r : image.requests) {
    s.requests_.emplace(std::pair(r.caller, r.id), r.answered);
  }
  return s;
}

}  // namespace mangoplank::cell
