#include "report/cells.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace mangoplank::report {

namespace {

constexpr double kMsPerSecond = 1000;

std::string Percent(double part) { return fmt::format("{:.1f}%", part * 100); }

std::string Latency(const metrics::histogram& h, double q) {
  return h.Count() == 0 ? "-" : DurationText(h.Quantile(q));
}

}  // namespace

std::string TimeText(core::wall_time_ms t) {
  const std::chrono::sys_time<core::milliseconds> at{core::milliseconds(t)};
  return fmt::format("{:%Y-%m-%d %H:%MZ}",
                     std::chrono::floor<std::chrono::seconds>(at));
}

std::string DurationText(double seconds) {
  if (seconds >= 1) return fmt::format("{:.3g} s", seconds);
  return fmt::format("{:.3g} ms", seconds * kMsPerSecond);
}

std::string TargetText(std::int64_t ppm) {
  // Four decimals of a percent are all that a target has.
  return fmt::format("{:g}%", static_cast<double>(ppm) / 10'000);
}

std::string BurnText(double burn) {
  // A burn that is not zero must not look like one.
  if (burn > 0 && burn < 0.005) return "<0.01";
  std::string text = fmt::format("{:.2f}", burn);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') text.pop_back();
  return text;
}

std::string CauseText(const objective_status& s) {
  if (!s.largest) return "-";
  const largest_cause& c = *s.largest;
  return fmt::format("{} in {} for {}: {} calls, {} of the missed over {}",
                     Text(c.cause), c.region.v, c.department.v, c.calls,
                     Percent(c.share), Text(s.d.w));
}

std::vector<std::string> Notes(const burn_report& r,
                               const std::vector<missing_entry>& missing) {
  std::vector<std::string> lines;
  for (const missing_entry& m : missing) {
    lines.push_back(fmt::format(
        "entry {} is missing from this report: {}; its counts are those of the "
        "history, if any",
        Text(m.entry), core::Describe(m.why)));
  }
  if (r.dropped != 0) {
    lines.push_back(fmt::format(
        "{} calls were counted under a wrong clock and are left out",
        r.dropped));
  }
  if (r.objectives.empty()) lines.emplace_back("no objectives are declared");
  return lines;
}

const std::vector<std::string>& Heads() {
  static const std::vector<std::string> kHeads{
      "verdict", "objective", "operation", "target", "within",
      "5m",      "30m",       "1h",        "6h",     "3d",
      "left",    "calls",     "p50",       "p99",    "largest cause"};
  return kHeads;
}

std::vector<std::string> Row(const objective_status& s) {
  const double threshold = static_cast<double>(s.declared.threshold.count());
  std::vector<std::string> row{std::string(Text(s.d.v)), s.declared.name,
                               Text(s.declared.key),
                               TargetText(s.declared.target_ppm),
                               DurationText(threshold / kMsPerSecond)};
  for (const double b : s.burn) row.push_back(BurnText(b));
  const tally& all = s.tallies[static_cast<std::size_t>(window::kThreeDays)];
  row.push_back(Percent(s.budget_left));
  row.push_back(fmt::format("{}", all.Total()));
  row.push_back(Latency(s.latency, 0.5));
  row.push_back(Latency(s.latency, 0.99));
  row.push_back(CauseText(s));
  return row;
}

}  // namespace mangoplank::report
