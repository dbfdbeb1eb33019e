#ifndef MANGOPLANK_SRC_DISPATCH_STEP_TIMES_H_
#define MANGOPLANK_SRC_DISPATCH_STEP_TIMES_H_

#include <map>
#include <optional>
#include <string>

#include "dispatch/planning_types.h"

namespace mangoplank::dispatch {

/// When a step of a job got how far; scripts/step_times.py summarizes the lines
/// of many steps.
struct step_times {
  core::time_point ready;
  std::optional<core::time_point> first_check;
  std::optional<core::time_point> first_answer;
  std::optional<core::time_point> first_assigned;
  std::optional<core::time_point> last_assigned;
  std::optional<core::time_point> last_started;
  unsigned checks = 0;
  unsigned starts = 0;

  friend bool operator==(const step_times&, const step_times&) = default;
};

/// The steps of this term that are under way.
class step_timeline {
 public:
  void NoteReady(const step_key& step, core::time_point now);
  void NoteCheck(const step_key& step, core::time_point now);
  void NoteAnswer(const step_key& step, core::time_point now);
  void NoteAssigned(const step_key& step, core::time_point now);
  void NoteStarted(const step_key& step, core::time_point now);
  /// Writes one line with the parts of the step's time, and forgets the step.
  void LogEnd(const step_key& step, const std::string& queue, bool gang,
              std::uint32_t tasks, core::time_point now);
  /// Forgets the steps of a job that has ended.
  void Drop(const std::string& job);

 private:
  step_times* Find(const step_key& step);

  std::map<step_key, step_times> steps_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_STEP_TIMES_H_
