#ifndef MANGOPLANK_ENTRY_OBJECTIVE_METER_H_
#define MANGOPLANK_ENTRY_OBJECTIVE_METER_H_

#include <string>

#include "mangoplank/calls/call.h"
#include "mangoplank/distribution/view.h"
#include "mangoplank/report/recording.h"

namespace mangoplank::entry {

/// Records the results of calls against the objectives in force, which are the
/// values of the configuration object `objectives`.
class objective_meter : public calls::runner {
 public:
  /// The references must outlive the meter.
  objective_meter(calls::runner& runner, const distribution::view& view,
                  core::clock& clock, report::source_id id,
                  core::region_id region);

  core::awaitable<calls::call_end> Run(calls::call call) override;
  core::awaitable<core::outcome<calls::call_end>> Resolve(
      cell::call_key key, core::time_point deadline) override;

  /// Applies the objectives of the view if they changed.
  void Refresh();

  /// @return the counts of one department, or of all if it is empty, as JSON.
  std::string ToJson(const core::department_id& department) const;

 private:
  calls::runner& runner_;
  const distribution::view& view_;
  core::clock& clock_;
  report::recorder recorder_;
  core::revision objectives_version_ = 0;
};

}  // namespace mangoplank::entry

#endif  // MANGOPLANK_ENTRY_OBJECTIVE_METER_H_
