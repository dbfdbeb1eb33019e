#include <fmt/format.h>

#include <algorithm>

#include "mangoplank/report/render.h"
#include "report/cells.h"

namespace mangoplank::report {

namespace {

using row = std::vector<std::string>;

std::vector<std::size_t> Widths(const std::vector<row>& rows) {
  std::vector<std::size_t> widths(Heads().size());
  for (const row& r : rows) {
    for (std::size_t i = 0; i < r.size(); ++i) {
      widths[i] = std::max(widths[i], r[i].size());
    }
  }
  return widths;
}

std::string Line(const row& r, const std::vector<std::size_t>& widths) {
  std::string line;
  for (std::size_t i = 0; i < r.size(); ++i) {
    const bool is_last = i + 1 == r.size();
    line += is_last ? r[i] : fmt::format("{:<{}}  ", r[i], widths[i]);
  }
  return line + "\n";
}

}  // namespace

std::string Table(const burn_report& r,
                  const std::vector<missing_entry>& missing) {
  std::string out =
      fmt::format("{} at {}; burn of the error budget over 5m to 3d\n",
                  Text(r.worst), TimeText(r.at));
  std::vector<row> rows{Heads()};
  for (const objective_status& s : r.objectives) rows.push_back(Row(s));
  const std::vector<std::size_t> widths = Widths(rows);
  if (!r.objectives.empty()) {
    for (const row& one : rows) out += Line(one, widths);
  }
  for (const std::string& note : Notes(r, missing)) out += note + "\n";
  return out;
}

}  // namespace mangoplank::report
