#include "dispatch/job_end_waits.h"

#include <utility>

namespace mangoplank::dispatch {

job_end_waits::job_end_waits(boost::asio::any_io_executor executor,
                             core::clock& clock)
    : executor_(std::move(executor)), clock_(clock) {}

core::awaitable<void> job_end_waits::WaitUntil(std::string job,
                                               core::time_point deadline) {
  std::shared_ptr<wait>& known = waits_[job];
  if (known == nullptr) known = std::make_shared<wait>(executor_, clock_);
  const std::shared_ptr<wait> own = known;
  ++own->reads;
  co_await own->ended.WaitUntil(deadline);
  --own->reads;
  // A notification removes the entry, and a later read may have made another.
  const auto entry = waits_.find(job);
  if (own->reads == 0 && entry != waits_.end() && entry->second == own) {
    waits_.erase(entry);
  }
}

void job_end_waits::Notify(const std::string& job) {
  const auto entry = waits_.extract(job);
  if (!entry.empty()) entry.mapped()->ended.NotifyAll();
}

void job_end_waits::NotifyAll() {
  for (const auto& [job, wait] : std::exchange(waits_, {})) {
    wait->ended.NotifyAll();
  }
}

}  // namespace mangoplank::dispatch
