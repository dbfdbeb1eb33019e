#ifndef MANGOPLANK_SRC_DISPATCH_LOAD_REPORT_H_
#define MANGOPLANK_SRC_DISPATCH_LOAD_REPORT_H_

#include <cstdint>

#include "mangoplank/core/clock.h"

namespace mangoplank::dispatch {

/// What the leader did since a report began.
struct load_counts {
  std::uint64_t rounds = 0;
  /// Processor time of the rounds.
  core::duration round_time{0};
  /// Longest delay of a timer of the event loop.
  core::duration max_loop_delay{0};
  std::uint64_t heartbeats = 0;
  std::uint64_t submissions = 0;
  std::uint64_t polls = 0;
  std::uint64_t polls_unanswered = 0;
  std::uint64_t starts = 0;
  std::uint64_t starts_unconfirmed = 0;
  /// Orders that this process or a relay had no connection for.
  std::uint64_t not_sent = 0;
  /// Reports of workers for which there are no connections.
  std::uint64_t workers_refused = 0;
  std::uint64_t ends = 0;
  std::uint64_t checks = 0;
  std::uint64_t checks_answered = 0;
  std::uint64_t checks_unanswered = 0;
  /// Sum over the answered checks, with the wait for a proxy.
  core::duration check_time{0};
  std::uint64_t commits = 0;
  core::duration commit_time{0};

  friend bool operator==(const load_counts&, const load_counts&) = default;
};

/// State of the cell when a report is written.
struct load_state {
  std::size_t workers = 0;
  std::size_t usable_workers = 0;
  /// Workers that did not answer the last poll, and their runs.
  std::size_t unanswering_workers = 0;
  std::size_t held_runs = 0;
  /// Workers that answer and get no tasks for a time.
  std::size_t avoided_workers = 0;
  std::size_t waiting_jobs = 0;
  std::size_t pending_checks = 0;
  /// Processors of usable workers, in thousandths.
  std::int64_t cpu_milli = 0;
  std::int64_t free_cpu_milli = 0;

  friend bool operator==(const load_state&, const load_state&) = default;
};

/// Writes one log line for the counts of a period.
void LogLoad(const load_counts& counts, const load_state& state,
             core::duration period);

/// @return processor time of this thread so far.
core::duration ThreadCpuTime();

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_LOAD_REPORT_H_
