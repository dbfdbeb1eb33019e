#ifndef MANGOPLANK_SRC_REPORT_TEXT_FORMAT_H_
#define MANGOPLANK_SRC_REPORT_TEXT_FORMAT_H_

#include <string>
#include <vector>

#include "mangoplank/report/burn.h"

/// Text formatting shared by the table and the HTML page.
namespace mangoplank::report {

/// @return a time in UTC, such as `2027-01-15 08:00Z`.
std::string FormatTime(core::wall_time_ms time);
/// @return a duration with up to 3 digits and its unit, such as `12.6 ms`.
std::string FormatDuration(double seconds);
/// @return a target such as `99.9%`.
std::string FormatTarget(std::int64_t ppm);
/// @return a burn rate with at most two decimals, such as `14.4`.
std::string FormatBurnRate(double burn_rate);
/// @return such as `failed in sieradz for kitchens: 30 calls, 40% of the missed
/// over 1h`, or `-`.
std::string FormatCause(const objective_status& status);
/// @return a line for each missing entry, and one for dropped calls.
std::vector<std::string> FormatNotes(const burn_report& report,
                                     const std::vector<missing_entry>& missing);

/// @return the headers of the columns.
const std::vector<std::string>& GetColumnHeaders();
/// @return one row, with a text for each column.
std::vector<std::string> FormatRow(const objective_status& status);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_SRC_REPORT_TEXT_FORMAT_H_
