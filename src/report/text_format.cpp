#include "report/text_format.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace mangoplank::report {

namespace {

constexpr double kMsPerSecond = 1000;

std::string FormatPercent(double fraction) {
  return fmt::format("{:.1f}%", fraction * 100);
}

std::string FormatLatency(const metrics::histogram& latency, double quantile) {
  return latency.Count() == 0 ? "-"
                              : FormatDuration(latency.Quantile(quantile));
}

}  // namespace

std::string FormatTime(core::wall_time_ms time) {
  const std::chrono::sys_time<core::milliseconds> utc{core::milliseconds(time)};
  return fmt::format("{:%Y-%m-%d %H:%MZ}",
                     std::chrono::floor<std::chrono::seconds>(utc));
}

std::string FormatDuration(double seconds) {
  if (seconds >= 1) return fmt::format("{:.3g} s", seconds);
  return fmt::format("{:.3g} ms", seconds * kMsPerSecond);
}

std::string FormatTarget(std::int64_t ppm) {
  // A target has at most four decimals of a percent.
  return fmt::format("{:g}%", static_cast<double>(ppm) / 10'000);
}

std::string FormatBurnRate(double burn_rate) {
  // A burn rate above zero must not be shown as zero.
  if (burn_rate > 0 && burn_rate < 0.005) return "<0.01";
  std::string text = fmt::format("{:.2f}", burn_rate);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

std::string FormatCause(const objective_status& status) {
  if (!status.largest_cause) return "-";
  const largest_cause& c = *status.largest_cause;
  return fmt::format("{} in {} for {}: {} calls, {} of the missed over {}",
                     Name(c.cause), c.region.v, c.department.v, c.calls,
                     FormatPercent(c.share), Name(status.decision.window));
}

std::vector<std::string> FormatNotes(
    const burn_report& report, const std::vector<missing_entry>& missing) {
  std::vector<std::string> lines;
  for (const missing_entry& m : missing) {
    lines.push_back(fmt::format(
        "entry {} is missing from this report: {}; its counts are those of the "
        "history, if any",
        Format(m.entry), core::Describe(m.failure)));
  }
  if (report.dropped_calls != 0) {
    lines.push_back(fmt::format(
        "{} calls were counted under a wrong clock and are left out",
        report.dropped_calls));
  }
  if (report.objectives.empty()) {
    lines.emplace_back("no objectives are declared");
  }
  return lines;
}

const std::vector<std::string>& GetColumnHeaders() {
  static const std::vector<std::string> kHeaders{
      "verdict", "objective", "operation", "target", "within",
      "5m",      "30m",       "1h",        "6h",     "3d",
      "left",    "calls",     "p50",       "p99",    "largest cause"};
  return kHeaders;
}

std::vector<std::string> FormatRow(const objective_status& status) {
  const double threshold =
      static_cast<double>(status.objective.threshold.count());
  std::vector<std::string> row{
      std::string(Name(status.decision.verdict)), status.objective.name,
      Format(status.objective.key), FormatTarget(status.objective.target_ppm),
      FormatDuration(threshold / kMsPerSecond)};
  for (const double b : status.burn_rates) row.push_back(FormatBurnRate(b));
  const tally& all =
      status.tallies[static_cast<std::size_t>(window::kThreeDays)];
  row.push_back(FormatPercent(status.budget_left));
  row.push_back(fmt::format("{}", all.CountAll()));
  row.push_back(FormatLatency(status.latency, 0.5));
  row.push_back(FormatLatency(status.latency, 0.99));
  row.push_back(FormatCause(status));
  return row;
}

}  // namespace mangoplank::report
