#include "mangoplank/placement/scheduler.h"

#include <utility>

#include "scheduler_impl.h"

namespace mangoplank::placement {

scheduler::scheduler(placement::policy policy, std::uint64_t seed)
    : impl_(std::make_unique<impl>(policy, seed)) {}

scheduler::~scheduler() = default;
scheduler::scheduler(scheduler&&) noexcept = default;
scheduler& scheduler::operator=(scheduler&&) noexcept = default;

void scheduler::Observe(const cell::change& change, core::time_point now) {
  impl_->Observe(change, now);
}

void scheduler::ObserveUsage(const cell::task_id& id, core::resources used,
                             core::time_point) {
  impl_->ObserveUsage(id, used);
}

round scheduler::Decide(core::time_point now) { return impl_->Decide(now); }

void scheduler::Forget(const placement::decision& decision,
                       core::time_point now) {
  impl_->Forget(decision, now);
}

explanation scheduler::Explain(const cell::object_key& job,
                               core::time_point now) const {
  return impl_->Explain(job, now);
}

std::vector<share> scheduler::Shares(core::time_point) const {
  return impl_->Shares();
}

core::resources scheduler::FreeOf(const core::worker_id& id) const {
  return impl_->FreeOf(id);
}

}  // namespace mangoplank::placement
