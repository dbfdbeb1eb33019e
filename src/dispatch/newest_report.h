#ifndef MANGOPLANK_SRC_DISPATCH_NEWEST_REPORT_H_
#define MANGOPLANK_SRC_DISPATCH_NEWEST_REPORT_H_

#include <utility>

#include "mangoplank/core/clock.h"
#include "mangoplank/workflow/types.h"

/// Order of a worker's reports, which reach the leader through different
/// control processes and may overtake each other.
namespace mangoplank::dispatch {

/// What a process has learned of a worker while it was the leader.
struct newest_report {
  workflow::worker worker;
  core::time_point received_at{};
  /// Announcements of the worker that are being recorded.
  int recording = 0;

  friend bool operator==(const newest_report&, const newest_report&) = default;
};

/// @return whether a report was sent before the newest one.
inline bool IsLate(const workflow::worker& report,
                   const workflow::worker& newest) {
  if (report.key.incarnation != newest.key.incarnation) {
    return report.key.incarnation < newest.key.incarnation;
  }
  // An incarnation of 0 was not reported: after a restart under the same id the
  // sequence starts anew.
  return report.key.incarnation != 0 &&
         report.report_sequence < newest.report_sequence;
}

/// @return the later one of two reports of a worker. An incarnation that drains
/// never stops draining.
inline workflow::worker Merge(workflow::worker newest,
                              workflow::worker report) {
  const bool is_draining =
      report.key == newest.key && (report.draining || newest.draining);
  workflow::worker merged =
      IsLate(report, newest) ? std::move(newest) : std::move(report);
  merged.draining = merged.draining || is_draining;
  return merged;
}

/// @return whether the reports differ at most in their sequence.
inline bool HaveSameContent(const workflow::worker& a, workflow::worker b) {
  b.report_sequence = a.report_sequence;
  return a == b;
}

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_NEWEST_REPORT_H_
