#ifndef MANGOPLANK_ENTRY_SLOT_REPORTER_H_
#define MANGOPLANK_ENTRY_SLOT_REPORTER_H_

#include <map>
#include <optional>

#include "mangoplank/control/messages.h"
#include "mangoplank/core/clock.h"

namespace mangoplank::entry {

/// Numbers the entry's slot reports and turns the lease of an answer, which
/// runs from the sending of the report, into one that runs from its receipt.
class slot_reporter {
 public:
  /// Completes a report that is sent now.
  control::slot_report Next(control::slot_report report, core::time_point now);

  /// @return the grants with what is left of their lease; no value if they
  /// have ended, answer no known report or are older than the last.
  std::optional<control::slot_grants> Received(control::slot_grants grants,
                                               core::time_point now);

 private:
  std::uint64_t number_ = 0;
  std::map<std::uint64_t, core::time_point> sent_;
  control::slot_grants last_;
  core::time_point end_{};
};

}  // namespace mangoplank::entry

#endif  // MANGOPLANK_ENTRY_SLOT_REPORTER_H_
