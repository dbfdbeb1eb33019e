#include "mangoplank/cell/state.h"

#include "apply.h"
#include "digest.h"

namespace mangoplank::cell {

effect state::Apply(core::revision revision, const command& proposed) {
  revision_ = revision;
  if (proposed.request.v.empty())
    return applier(this, revision, proposed.proposed_at).Run(proposed.body);
  const auto key = std::pair(proposed.caller, proposed.request);
  const std::uint64_t digest = Digest(proposed.body);
  const auto answered = requests_.find(key);
  if (answered != requests_.end()) {
    if (answered->second.digest == digest) return {answered->second.answer, {}};
    const core::failure reused =
        core::invalid_request{{{"request_id", "was used for another request"}}};
    return {reused, {}};
  }
  effect result =
      applier(this, revision, proposed.proposed_at).Run(proposed.body);
  // A refused command changed nothing, so a resend may be evaluated again; only
  // accepted changes must not be applied twice.
  if (result.answer)
    requests_[key] = {digest, proposed.proposed_at, result.answer};
  return result;
}

effect state::DryRun(const command& proposed) const {
  state copy = *this;
  return copy.Apply(revision_ + 1, proposed);
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
  job_status status;
  for (auto it = tasks_.lower_bound({job_uid, 0});
       it != tasks_.end() && it->first.job == job_uid; ++it) {
    switch (it->second.phase) {
      case task_phase::kWaiting:
        ++status.waiting;
        break;
      case task_phase::kAssigned:
        ++status.assigned;
        break;
      case task_phase::kRunning:
        ++status.running;
        break;
      case task_phase::kSucceeded:
        ++status.succeeded;
        break;
      case task_phase::kFailed:
        ++status.failed;
        break;
      case task_phase::kNotRun:
        ++status.not_run;
        break;
      case task_phase::kStopped:
        ++status.stopped;
        break;
      case task_phase::kUnknown:
        ++status.unknown;
        break;
    }
  }
  return status;
}

state_image state::Image() const {
  state_image image;
  image.revision = revision_;
  for (const auto& [key, object] : objects_) image.objects.push_back(object);
  for (const auto& [id, worker] : workers_) image.workers.push_back(worker);
  for (const auto& [id, task] : tasks_) image.tasks.push_back(task);
  for (const auto& [key, call] : calls_) image.calls.push_back(call);
  for (const auto& [key, answered] : requests_) {
    image.requests.push_back({key.first, key.second, answered});
  }
  return image;
}

state state::FromImage(const state_image& image) {
  state restored;
  restored.revision_ = image.revision;
  for (const object& declared : image.objects) {
    restored.objects_.emplace(declared.key, declared);
  }
  for (const worker_record& worker : image.workers) {
    restored.workers_.emplace(worker.id, worker);
  }
  for (const task_record& task : image.tasks) {
    restored.tasks_.emplace(task.id, task);
    if (!HoldsResources(task.phase)) continue;
    core::resources& held = restored.committed_[task.worker];
    held = held + task.need;
    restored.tasks_of_worker_[task.worker].insert(task.id);
  }
  for (const call_record& call : image.calls) {
    restored.calls_.emplace(call.key, call);
    if (!call.outcome) restored.open_calls_[call.worker].insert(call.key);
  }
  for (const auto& request : image.requests) {
    restored.requests_.emplace(std::pair(request.caller, request.id),
                               request.answered);
  }
  return restored;
}

}  // namespace mangoplank::cell
