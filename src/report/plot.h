#ifndef MANGOPLANK_SRC_REPORT_PLOT_H_
#define MANGOPLANK_SRC_REPORT_PLOT_H_

#include <string>

#include "mangoplank/report/burn.h"

/// Plots of one objective over the 3 d before a time, as inline SVG.
namespace mangoplank::report {

/// @param id prefix of the ids in the page, unique to the plot.
std::string BurnPlot(const objective_status& s, core::wall_time_ms now,
                     const std::string& id);
/// Latency as p50 and p99 of each 3 h.
std::string LatencyPlot(const objective_status& s, core::wall_time_ms now,
                        const std::string& id);

/// @return text with the characters that HTML gives a meaning replaced.
std::string Escape(std::string_view text);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_SRC_REPORT_PLOT_H_
