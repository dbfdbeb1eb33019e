#include <spdlog/spdlog.h>

#include <algorithm>
#include <vector>

#include "dispatch/dispatcher_impl.h"

/// Log lines that tell what jobs wait for: a worker that does not answer,
/// tickets, or capacity.
namespace mangoplank::dispatch {

namespace {

/// Jobs that have waited for less are not logged.
constexpr core::milliseconds kMinLoggedWait{5'000};
/// Lines of one report: with a backlog, the oldest jobs show what it waits for.
constexpr std::size_t kMaxLoggedJobs = 5;

std::int64_t ToMs(core::duration duration) {
  return std::chrono::duration_cast<core::milliseconds>(duration).count();
}

}  // namespace

/// Logs the workers that have runs and do not answer.
void dispatcher::impl::LogUnansweringWorkers() const {
  const core::time_point now = clock.Now();
  for (const auto& [id, monitor] : monitors) {
    if (!monitor->unanswered || monitor->runs.IsEmpty()) continue;
    spdlog::info(
        "worker_unanswering worker={} born={} unanswered_ms={} heard_ms={} "
        "lease_ended_ms={} runs={} first={}",
        id.v, monitor->worker.key.incarnation,
        ToMs(now - monitor->unanswered_since), ToMs(now - monitor->last_heard),
        ToMs(now - monitor->lease_end), monitor->runs.Size(),
        Name(monitor->runs.Runs().begin()->first));
  }
}

/// @return how many tasks of a step are placed on workers that do not answer.
std::size_t dispatcher::impl::CountHeldTasks(const workflow::job& job,
                                             const waiting_tasks& tasks) const {
  std::size_t held = 0;
  const workflow::task_id first{job.spec.id, tasks.occurrence, tasks.step, 0};
  const placement_table::map& placed = placements.Runs();
  for (auto it = placed.lower_bound({first, 0});
       it != placed.end() && it->first.task.job == first.job &&
       it->first.task.occurrence == first.occurrence &&
       it->first.task.step == first.step;
       ++it) {
    held += it->second.monitor->unanswered ? 1 : 0;
  }
  return held;
}

void dispatcher::impl::LogWaitingStep(const workflow::job& job,
                                      const waiting_job& waiting,
                                      const waiting_tasks& tasks) const {
  const workflow::step& step = job.spec.steps[tasks.step];
  const auto view =
      eligibility_by_step.find({job.spec.id, tasks.occurrence, tasks.step});
  const bool is_checked = view != eligibility_by_step.end();
  std::size_t eligible = 0;
  std::size_t valid = 0;
  if (is_checked) {
    eligible = view->second.tickets.size();
    for (const ticket& ticket : view->second.tickets) {
      valid += IsValid(ticket) ? 1 : 0;
    }
  }
  spdlog::info(
      "job_waiting job={} occurrence={} step={} queue={} age_ms={} gang={} "
      "tasks={} waiting={} held={} on_time={} eligible={} valid_tickets={} "
      "pending_calls={}",
      job.spec.id, tasks.occurrence, tasks.step, job.queue.name,
      clock.WallNow() - job.accepted_at, step.gang, step.count,
      tasks.indexes.size(), CountHeldTasks(job, tasks),
      waiting.rank.objective == objective_status::kOnTime, eligible, valid,
      is_checked ? view->second.pending_calls : 0);
}

/// Logs the oldest of the jobs whose tasks wait for a worker.
void dispatcher::impl::LogWaitingJobs() const {
  struct entry {
    const workflow::job* job = nullptr;
    const waiting_job* waiting = nullptr;
  };
  std::vector<entry> oldest;
  for (const auto& [id, waiting] : waiting_jobs) {
    const workflow::job* const job = event_log.State().FindJob(id);
    const bool is_logged =
        job != nullptr && !waiting.steps.empty() &&
        clock.WallNow() >= job->accepted_at + kMinLoggedWait.count();
    if (is_logged) oldest.push_back({job, &waiting});
  }
  const std::size_t count = std::min(oldest.size(), kMaxLoggedJobs);
  std::partial_sort(oldest.begin(),
                    oldest.begin() + static_cast<std::ptrdiff_t>(count),
                    oldest.end(), [](const entry& a, const entry& b) {
                      return a.job->accepted_at < b.job->accepted_at;
                    });
  for (std::size_t i = 0; i < count; ++i) {
    LogWaitingStep(*oldest[i].job, *oldest[i].waiting,
                   oldest[i].waiting->steps.front());
  }
}

}  // namespace mangoplank::dispatch
