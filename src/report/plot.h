#ifndef MANGOPLANK_SRC_REPORT_PLOT_H_
#define MANGOPLANK_SRC_REPORT_PLOT_H_

#include <string>

#include "mangoplank/report/burn.h"

/// Plots of one objective over the 3 d before a time, as inline SVG.
namespace mangoplank::report {

/// @param id prefix of the HTML ids of the plot, unique in the page.
std::string RenderBurnPlot(const objective_status& status,
                           core::wall_time_ms now, const std::string& id);
/// Plots the p50 and p99 latency of each 3 h.
std::string RenderLatencyPlot(const objective_status& status,
                              core::wall_time_ms now, const std::string& id);

/// @return text with the special characters of HTML escaped.
std::string EscapeHtml(std::string_view text);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_SRC_REPORT_PLOT_H_
