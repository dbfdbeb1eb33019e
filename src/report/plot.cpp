#include "report/plot.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "report/text_format.h"

namespace mangoplank::report {

namespace {

constexpr core::wall_time_ms kSpanMs = kTenMinuteBuckets * kTenMinutesMs;
constexpr core::wall_time_ms kDayMs = 24 * kHourMs;
/// Size of a plot and of its margins, in units of the SVG.
constexpr double kWidth = 640;
constexpr double kHeight = 200;
constexpr double kLeftMargin = 64;
constexpr double kRightMargin = 12;
constexpr double kTopMargin = 12;
constexpr double kBottomMargin = 28;
/// Keeps the limits of the alert rules, 6 and 14.4, in view.
constexpr double kMinTopBurnRate = 20;
constexpr double kMinTopLatencySeconds = 1e-5;

struct point {
  core::wall_time_ms time = 0;
  double value = 0;
};
using points = std::vector<point>;

/// Maps times and values to plot coordinates. The value axis is linear near
/// `knee` and logarithmic far above it.
class scale {
 public:
  scale(core::wall_time_ms now, double knee, double top)
      : start_(now - kSpanMs), knee_(knee), top_(top) {}

  double ToX(core::wall_time_ms time) const {
    const double fraction =
        static_cast<double>(time - start_) / static_cast<double>(kSpanMs);
    return kLeftMargin + std::clamp(fraction, 0.0, 1.0) *
                             (kWidth - kLeftMargin - kRightMargin);
  }
  double ToY(double value) const {
    const double fraction =
        std::log1p(value / knee_) / std::log1p(top_ / knee_);
    return kHeight - kBottomMargin -
           fraction * (kHeight - kTopMargin - kBottomMargin);
  }
  core::wall_time_ms GetStart() const { return start_; }

 private:
  core::wall_time_ms start_;
  double knee_;
  double top_;
};

/// Draws a line with breaks where points are further apart than `gap`.
std::string DrawCurve(const scale& axes, const points& all,
                      core::wall_time_ms gap, std::string_view style) {
  std::string path;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const bool is_joined = i > 0 && all[i].time - all[i - 1].time <= gap;
    path += fmt::format("{}{:.1f} {:.1f}", is_joined ? 'L' : 'M',
                        axes.ToX(all[i].time), axes.ToY(all[i].value));
    // With round line caps, a point without neighbours is drawn as a dot.
    if (!is_joined) path += "h0";
  }
  return fmt::format("<path class=\"{}\" d=\"{}\"/>\n", style, path);
}

std::string DrawLevel(const scale& axes, double value, std::string_view label,
                      std::string_view style) {
  const double y = axes.ToY(value);
  return fmt::format(
      "<path class=\"{}\" d=\"M{} {:.1f}H{}\"/>"
      "<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{}</text>\n",
      style, kLeftMargin, y, kWidth - kRightMargin, kLeftMargin - 6, y + 4,
      label);
}

/// Draws vertical lines at midnight, UTC.
std::string DrawDayGrid(const scale& axes) {
  std::string out;
  const core::wall_time_ms first = (axes.GetStart() / kDayMs + 1) * kDayMs;
  for (core::wall_time_ms t = first; t <= axes.GetStart() + kSpanMs;
       t += kDayMs) {
    out += fmt::format(
        "<path class=\"grid\" d=\"M{0:.1f} {1}V{2}\"/>"
        "<text x=\"{0:.1f}\" y=\"{3}\" text-anchor=\"middle\">{4}</text>\n",
        axes.ToX(t), kTopMargin, kHeight - kBottomMargin, kHeight - 8,
        FormatTime(t).substr(0, 10));
  }
  return out;
}

std::string BuildSvg(const std::string& id, const std::string& title,
                     const std::string& description,
                     const std::string& content) {
  return fmt::format(
      "<svg viewBox=\"0 0 {0} {1}\" role=\"img\" "
      "aria-labelledby=\"{2}-t {2}-d\">\n<title id=\"{2}-t\">{3}</title>\n"
      "<desc id=\"{2}-d\">{4}</desc>\n{5}</svg>\n",
      kWidth, kHeight, id, EscapeHtml(title), EscapeHtml(description), content);
}

const point* FindHighest(const points& all) {
  const auto it = std::max_element(
      all.begin(), all.end(),
      [](const point& a, const point& b) { return a.value < b.value; });
  return it == all.end() ? nullptr : &*it;
}

std::string DescribeBurn(const objective_status& status, const points& all) {
  const point* highest = FindHighest(all);
  if (highest == nullptr) return "No calls in 3 days.";
  return fmt::format(
      "Burn over 1 h, every 10 minutes of 3 days. Highest {} at {}, last {} at "
      "{}. Over 3 days {}; {:.1f}% of the budget is left.",
      FormatBurnRate(highest->value), FormatTime(highest->time),
      FormatBurnRate(all.back().value), FormatTime(all.back().time),
      FormatBurnRate(
          status.burn_rates[static_cast<std::size_t>(window::kThreeDays)]),
      status.budget_left * 100);
}

std::string DescribeLatency(const points& p50, const points& p99) {
  const point* highest = FindHighest(p99);
  if (highest == nullptr) return "No calls done in 3 days.";
  return fmt::format(
      "p50 and p99 of each 3 hours of 3 days. Highest p99 {} in the 3 hours "
      "around {}; last p50 {}, last p99 {}.",
      FormatDuration(highest->value), FormatTime(highest->time),
      FormatDuration(p50.back().value), FormatDuration(p99.back().value));
}

}  // namespace

std::string EscapeHtml(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&':
        out += "&amp;";
        break;
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string RenderBurnPlot(const objective_status& status,
                           core::wall_time_ms now, const std::string& id) {
  points all;
  for (const burn_point& p : status.burn_points) {
    all.push_back({p.hour_end, p.burn_rate});
  }
  const point* highest = FindHighest(all);
  const double top =
      std::max(kMinTopBurnRate, highest == nullptr ? 0 : highest->value);
  const scale axes(now, 1, top);
  std::string content = DrawDayGrid(axes);
  content += DrawLevel(axes, 0, "0", "grid");
  content += DrawLevel(axes, 1, "1", "limit");
  content += DrawLevel(axes, 6, "6", "limit");
  content += DrawLevel(axes, 14.4, "14.4", "limit");
  // A label closer to that of the highest limit would overlap it.
  if (top > 2 * kMinTopBurnRate) {
    content += DrawLevel(axes, top, FormatBurnRate(top), "grid");
  }
  content += DrawCurve(axes, all, kTenMinutesMs, "one");
  return BuildSvg(id, "Burn of the error budget of " + status.objective.name,
                  DescribeBurn(status, all), content);
}

std::string RenderLatencyPlot(const objective_status& status,
                              core::wall_time_ms now, const std::string& id) {
  points p50;
  points p99;
  for (const latency_point& p : status.latency_points) {
    const core::wall_time_ms middle = p.bucket_start + kLatencyBucketMs / 2;
    p50.push_back({std::min(middle, now), p.p50});
    p99.push_back({std::min(middle, now), p.p99});
  }
  const double threshold =
      static_cast<double>(status.objective.threshold.count()) / 1000;
  const point* highest = FindHighest(p99);
  const double top = std::max({kMinTopLatencySeconds, 1.5 * threshold,
                               highest == nullptr ? 0 : highest->value});
  const scale axes(now, threshold, top);
  std::string content = DrawDayGrid(axes) + DrawLevel(axes, 0, "0", "grid");
  content += DrawLevel(axes, threshold, FormatDuration(threshold), "limit");
  if (top > 2 * threshold) {
    content += DrawLevel(axes, top, FormatDuration(top), "grid");
  }
  content += DrawCurve(axes, p50, kLatencyBucketMs, "one");
  content += DrawCurve(axes, p99, kLatencyBucketMs, "two");
  return BuildSvg(id, "Latency of " + status.objective.name,
                  DescribeLatency(p50, p99), content);
}

}  // namespace mangoplank::report
