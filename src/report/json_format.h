#ifndef MANGOPLANK_SRC_REPORT_JSON_FORMAT_H_
#define MANGOPLANK_SRC_REPORT_JSON_FORMAT_H_

#include <cstdint>

namespace mangoplank::report {

/// Version of the format of a recording; incremented with each change that an
/// older reader would misread.
inline constexpr std::uint64_t kFormatVersion = 1;

}  // namespace mangoplank::report

#endif  // MANGOPLANK_SRC_REPORT_JSON_FORMAT_H_
