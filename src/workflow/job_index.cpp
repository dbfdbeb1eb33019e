#include "mangoplank/workflow/job_index.h"

#include "mangoplank/workflow/state.h"

namespace mangoplank::workflow {

void job_index::Update(const job& job) {
  const std::string& id = job.spec.id;
  if (job.tasks.empty()) {
    with_tasks_.erase(id);
  } else {
    with_tasks_.insert(id);
  }
  const address queue{job.queue.host, job.queue.path_prefix};
  if (job.phase == job_phase::kQueued) {
    queued_[queue].insert(id);
    return;
  }
  const auto it = queued_.find(queue);
  if (it == queued_.end()) return;
  it->second.erase(id);
  if (it->second.empty()) queued_.erase(it);
}

const std::set<std::string>& job_index::Queued(const queue& queue) const {
  static const std::set<std::string> kNone;
  const auto it = queued_.find({queue.host, queue.path_prefix});
  return it == queued_.end() ? kNone : it->second;
}

}  // namespace mangoplank::workflow
