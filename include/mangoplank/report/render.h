#ifndef MANGOPLANK_REPORT_RENDER_H_
#define MANGOPLANK_REPORT_RENDER_H_

#include <string>
#include <vector>

#include "mangoplank/report/burn.h"

namespace mangoplank::report {

/// @return a report as lines for a terminal, of ASCII only.
std::string Table(const burn_report& r,
                  const std::vector<missing_entry>& missing);

/// @return a report as one HTML page with its style and plots inside. It needs
/// no scripts and no other files; each plot has a text alternative.
std::string Html(const burn_report& r,
                 const std::vector<missing_entry>& missing);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_RENDER_H_
