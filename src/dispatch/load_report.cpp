#include "dispatch/load_report.h"

#include <spdlog/spdlog.h>
#include <time.h>

namespace mangoplank::dispatch {

namespace {

std::int64_t ToMs(core::duration duration) {
  return std::chrono::duration_cast<core::milliseconds>(duration).count();
}

std::int64_t MeanMs(core::duration sum, std::uint64_t count) {
  return count == 0 ? 0 : ToMs(sum) / static_cast<std::int64_t>(count);
}

}  // namespace

core::duration ThreadCpuTime() {
  timespec t{};
  if (clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t) != 0) return {};
  return std::chrono::seconds(t.tv_sec) + std::chrono::nanoseconds(t.tv_nsec);
}

void LogLoad(const load_counts& counts, const load_state& state,
             core::duration period) {
  spdlog::info(
      "leader_load period_ms={} loop_delay_ms={} rounds={} "
      "round_ms={} heartbeats={} submissions={} polls={} "
      "polls_unanswered={} starts={} unconfirmed={} not_sent={} ends={} "
      "checks={} "
      "checks_unanswered={} check_mean_ms={} commits={} commit_mean_ms={} "
      "workers={} refused={} usable={} unanswering={} held_runs={} avoided={} "
      "waiting_jobs={} pending_checks={} cpu={} free_cpu={}",
      ToMs(period), ToMs(counts.max_loop_delay), counts.rounds,
      ToMs(counts.round_time), counts.heartbeats, counts.submissions,
      counts.polls, counts.polls_unanswered, counts.starts,
      counts.starts_unconfirmed, counts.not_sent, counts.ends, counts.checks,
      counts.checks_unanswered,
      MeanMs(counts.check_time, counts.checks_answered), counts.commits,
      MeanMs(counts.commit_time, counts.commits), state.workers,
      counts.workers_refused, state.usable_workers, state.unanswering_workers,
      state.held_runs, state.avoided_workers, state.waiting_jobs,
      state.pending_checks, state.cpu_milli / 1000,
      state.free_cpu_milli / 1000);
}

}  // namespace mangoplank::dispatch
