#ifndef MANGOPLANK_SRC_REPORT_CELLS_H_
#define MANGOPLANK_SRC_REPORT_CELLS_H_

#include <string>
#include <vector>

#include "mangoplank/report/burn.h"

/// Texts that the table and the page have in common.
namespace mangoplank::report {

/// @return a time in UTC, such as `2027-01-15 08:00Z`.
std::string TimeText(core::wall_time_ms t);
/// @return a duration with 2 or 3 digits and its unit, such as `12.6 ms`.
std::string DurationText(double seconds);
/// @return a target such as `99.9%`.
std::string TargetText(std::int64_t ppm);
/// @return a burn with at most two decimals, such as `14.4`.
std::string BurnText(double burn);
/// @return such as `failed in sieradz for kitchens: 30 calls, 40% of the missed
/// over 1h`, or `-`.
std::string CauseText(const objective_status& s);
/// @return one line each: missing entries, and calls dropped.
std::vector<std::string> Notes(const burn_report& r,
                               const std::vector<missing_entry>& missing);

/// Heads of the columns.
const std::vector<std::string>& Heads();
/// @return one row, a cell for each head.
std::vector<std::string> Row(const objective_status& s);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_SRC_REPORT_CELLS_H_
