#ifndef MANGOPLANK_REPORT_JSON_H_
#define MANGOPLANK_REPORT_JSON_H_

#include <string>
#include <string_view>

#include "mangoplank/report/burn.h"

namespace mangoplank::report {

/// Limit on the size of a recording that is read as JSON, in bytes.
inline constexpr std::size_t kMaxRecordingBytes = 256 << 20;

/// @return a recording as JSON, the body of `GET /v1/objectives` and the
/// content of a history file. docs/report.md has the fields.
std::string ToJson(const recording& recording);

/// Parses the output of ToJson.
/// @return the recording, or invalid_request that names the first field that is
/// missing, unknown, of the wrong type or out of range, or a duplicate item.
core::result<recording> FromJson(std::string_view text);

/// @return a report as JSON, with the entries that could not be read.
std::string ToJson(const burn_report& report,
                   const std::vector<missing_entry>& missing);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_JSON_H_
