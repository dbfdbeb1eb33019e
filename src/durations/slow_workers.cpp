#include "mangoplank/durations/slow_workers.h"

#include <algorithm>
#include <tuple>

namespace mangoplank::durations {

std::vector<core::worker_id> ChooseSlowWorkers(
    const std::vector<paced_worker>& pool, const slow_worker_limits& limits) {
  std::vector<paced_worker> slow;
  for (const paced_worker& worker : pool) {
    const bool is_slow = worker.is_set_aside
                             ? worker.pace.factor >= limits.leave_factor
                             : worker.pace.least_factor >= limits.enter_factor;
    if (is_slow) slow.push_back(worker);
  }
  // Those that are set aside stay so, rather than change places with others.
  std::sort(slow.begin(), slow.end(),
            [](const paced_worker& a, const paced_worker& b) {
              return std::tuple(!a.is_set_aside, -a.pace.factor, a.worker) <
                     std::tuple(!b.is_set_aside, -b.pace.factor, b.worker);
            });
  const auto most = static_cast<std::size_t>(limits.max_share *
                                             static_cast<double>(pool.size()));
  if (slow.size() > most) slow.resize(most);
  std::vector<core::worker_id> chosen;
  for (const paced_worker& worker : slow) chosen.push_back(worker.worker);
  std::sort(chosen.begin(), chosen.end());
  return chosen;
}

}  // namespace mangoplank::durations
