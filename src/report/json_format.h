#ifndef MANGOPLANK_SRC_REPORT_JSON_FORMAT_H_
#define MANGOPLANK_SRC_REPORT_JSON_FORMAT_H_

#include <cstdint>

namespace mangoplank::report {

/// Number of the format of a recording; grows with each change that an older
/// reader would misread.
inline constexpr std::uint64_t kFormat = 1;

}  // namespace mangoplank::report

#endif  // MANGOPLANK_SRC_REPORT_JSON_FORMAT_H_
