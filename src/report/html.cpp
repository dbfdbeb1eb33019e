#include <fmt/format.h>

#include "mangoplank/report/render.h"
#include "report/plot.h"
#include "report/text_format.h"

namespace mangoplank::report {

namespace {

constexpr std::string_view kHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level objectives</title>
<style>
body { font: 15px/1.5 sans-serif; margin: 1.5em auto; max-width: 90em;
  padding: 0 1em; color: #1b1b1b; background: #fff; }
table { border-collapse: collapse; }
.wide { overflow-x: auto; }
th, td { border-bottom: 1px solid #bbb; padding: .3em .6em; text-align: left; }
.page { background: #9b1c1c; color: #fff; }
.ticket { background: #ffe08a; color: #1b1b1b; }
.plots { display: flex; flex-wrap: wrap; gap: 1em; }
figure { margin: 0; flex: 1 1 26em; max-width: 44em; }
svg { width: 100%; height: auto; }
svg text { font: 11px sans-serif; fill: #444; }
path { fill: none; stroke-width: 2; stroke-linecap: round; }
.grid { stroke: #ccc; stroke-width: 1; }
.limit { stroke: #9b1c1c; stroke-width: 1; stroke-dasharray: 5 4; }
.one { stroke: #0b5394; }
.two { stroke: #b45f06; stroke-dasharray: 1 4; stroke-width: 3; }
</style>
</head>
<body>
<main>
)";

std::string RenderCells(const std::vector<std::string>& cells,
                        std::string_view tag) {
  std::string out;
  for (const std::string& c : cells) {
    out += fmt::format("<{0}>{1}</{2}>", tag, EscapeHtml(c), tag.substr(0, 2));
  }
  return out;
}

std::string RenderOverview(const burn_report& report) {
  std::string out =
      "<div class=\"wide\" tabindex=\"0\">\n<table>\n<caption>Burn of the "
      "error "
      "budgets: 1 spends all of a budget within 3 days</caption>\n<thead><tr>" +
      RenderCells(GetColumnHeaders(), "th scope=\"col\"") +
      "</tr></thead>\n<tbody>\n";
  for (const objective_status& s : report.objectives) {
    out += fmt::format("<tr class=\"{}\">{}</tr>\n", Name(s.decision.verdict),
                       RenderCells(FormatRow(s), "td"));
  }
  return out + "</tbody>\n</table>\n</div>\n";
}

std::string RenderFigure(const std::string& plot, std::string_view caption) {
  return fmt::format("<figure>\n{}<figcaption>{}</figcaption>\n</figure>\n",
                     plot, caption);
}

std::string RenderSection(const objective_status& status,
                          core::wall_time_ms now, std::size_t number) {
  return fmt::format(
      "<section>\n<h2>{}: {}</h2>\n<p>{}: {} within {}. Largest cause: "
      "{}.</p>\n"
      "<div class=\"plots\">\n{}{}</div>\n</section>\n",
      EscapeHtml(status.objective.name), Name(status.decision.verdict),
      EscapeHtml(Format(status.objective.key)),
      FormatTarget(status.objective.target_ppm),
      FormatDuration(static_cast<double>(status.objective.threshold.count()) /
                     1000),
      EscapeHtml(FormatCause(status)),
      RenderFigure(
          RenderBurnPlot(status, now, fmt::format("burn-{}", number)),
          "Burn over 1 h. Dashed: 1, and the limits of pages, 6 and 14.4."),
      RenderFigure(
          RenderLatencyPlot(status, now, fmt::format("latency-{}", number)),
          "Latency of calls done: p50 solid, p99 dotted. Dashed: the "
          "threshold."));
}

}  // namespace

std::string RenderHtml(const burn_report& report,
                       const std::vector<missing_entry>& missing) {
  std::string out(kHead);
  out +=
      fmt::format("<h1>Service-level objectives: {}</h1>\n<p>{}</p>\n",
                  Name(report.worst_verdict), FormatTime(report.evaluated_at));
  for (const std::string& note : FormatNotes(report, missing)) {
    out += fmt::format("<p role=\"note\"><strong>{}</strong></p>\n",
                       EscapeHtml(note));
  }
  if (!report.objectives.empty()) out += RenderOverview(report);
  for (std::size_t i = 0; i < report.objectives.size(); ++i) {
    out += RenderSection(report.objectives[i], report.evaluated_at, i + 1);
  }
  return out + "</main>\n</body>\n</html>\n";
}

}  // namespace mangoplank::report
