#include "dispatch/step_times.h"

#include <spdlog/spdlog.h>

namespace mangoplank::dispatch {

namespace {

/// @return the time between two points in milliseconds; -1 if one is not known.
std::int64_t Between(const std::optional<core::time_point>& begin,
                     const std::optional<core::time_point>& end) {
  if (!begin || !end) return -1;
  return std::chrono::duration_cast<core::milliseconds>(*end - *begin).count();
}

}  // namespace

step_times* step_timeline::Find(const step_key& step) {
  const auto it = steps_.find(step);
  return it == steps_.end() ? nullptr : &it->second;
}

void step_timeline::NoteReady(const step_key& step, core::time_point now) {
  steps_.try_emplace(step, step_times{now});
}

void step_timeline::NoteCheck(const step_key& step, core::time_point now) {
  step_times* const times = Find(step);
  if (times == nullptr) return;
  ++times->checks;
  if (!times->first_check) times->first_check = now;
}

void step_timeline::NoteAnswer(const step_key& step, core::time_point now) {
  step_times* const times = Find(step);
  if (times != nullptr && !times->first_answer) times->first_answer = now;
}

void step_timeline::NoteAssigned(const step_key& step, core::time_point now) {
  step_times* const times = Find(step);
  if (times == nullptr) return;
  if (!times->first_assigned) times->first_assigned = now;
  times->last_assigned = now;
}

void step_timeline::NoteStarted(const step_key& step, core::time_point now) {
  step_times* const times = Find(step);
  if (times == nullptr) return;
  ++times->starts;
  times->last_started = now;
}

void step_timeline::LogEnd(const step_key& step, const std::string& queue,
                           bool gang, std::uint32_t tasks,
                           core::time_point now) {
  const step_times* const times = Find(step);
  if (times == nullptr) return;
  spdlog::info(
      "step_times job={} step={} queue={} gang={} tasks={} starts={} checks={} "
      "to_check_ms={} to_answer_ms={} to_first_ms={} to_last_ms={} order_ms={} "
      "run_ms={} all_ms={}",
      step.job, step.step, queue, gang, tasks, times->starts, times->checks,
      Between(times->ready, times->first_check),
      Between(times->ready, times->first_answer),
      Between(times->ready, times->first_assigned),
      Between(times->ready, times->last_assigned),
      Between(times->last_assigned, times->last_started),
      Between(times->last_started, now), Between(times->ready, now));
  steps_.erase(step);
}

void step_timeline::Drop(const std::string& job) {
  const auto first = steps_.lower_bound({job, 0, 0});
  auto last = first;
  while (last != steps_.end() && last->first.job == job) ++last;
  steps_.erase(first, last);
}

}  // namespace mangoplank::dispatch
