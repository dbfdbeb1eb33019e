#ifndef MANGOPLANK_REPORT_RENDER_H_
#define MANGOPLANK_REPORT_RENDER_H_

#include <string>
#include <vector>

#include "mangoplank/report/burn.h"

namespace mangoplank::report {

/// @return a report as a table for a terminal, in ASCII only.
std::string RenderTable(const burn_report& report,
                        const std::vector<missing_entry>& missing);

/// @return a report as a self-contained HTML page, with inline style and plots
/// and without scripts; each plot has a text alternative.
std::string RenderHtml(const burn_report& report,
                       const std::vector<missing_entry>& missing);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_RENDER_H_
