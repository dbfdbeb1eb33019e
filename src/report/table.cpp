#include <fmt/format.h>

#include <algorithm>

#include "mangoplank/report/render.h"
#include "report/text_format.h"

namespace mangoplank::report {

namespace {

using row = std::vector<std::string>;

std::vector<std::size_t> MeasureColumns(const std::vector<row>& rows) {
  std::vector<std::size_t> widths(GetColumnHeaders().size());
  for (const row& r : rows) {
    for (std::size_t i = 0; i < r.size(); ++i) {
      widths[i] = std::max(widths[i], r[i].size());
    }
  }
  return widths;
}

std::string FormatLine(const row& r, const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < r.size(); ++i) {
    const bool is_last = i + 1 == r.size();
    line += is_last ? r[i] : fmt::format("{:<{}}  ", r[i], widths[i]);
  }
  return line + "\n";
}

}  // namespace

std::string RenderTable(const burn_report& report,
                        const std::vector<missing_entry>& missing) {
  std::string out =
      fmt::format("{} at {}; burn of the error budget over 5m to 3d\n",
                  Name(report.worst_verdict), FormatTime(report.evaluated_at));
  std::vector<row> rows{GetColumnHeaders()};
  for (const objective_status& s : report.objectives) {
    rows.push_back(FormatRow(s));
  }
  const std::vector<std::size_t> widths = MeasureColumns(rows);
  if (!report.objectives.empty()) {
    for (const row& one : rows) out += FormatLine(one, widths);
  }
  for (const std::string& note : FormatNotes(report, missing)) {
    out += note + "\n";
  }
  return out;
}

}  // namespace mangoplank::report
