#include "report/plot.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "report/cells.h"

namespace mangoplank::report {

namespace {

constexpr core::wall_time_ms kSpanMs = kTenMinutes * kTenMinutesMs;
constexpr core::wall_time_ms kDayMs = 24 * kHourMs;
/// Size of a plot and of its margins, in units of the SVG.
constexpr double kWidth = 640;
constexpr double kHeight = 200;
constexpr double kLeft = 64;
constexpr double kRight = 12;
constexpr double kTop = 12;
constexpr double kBottom = 28;
/// The limits of the alert rules are always in view.
constexpr double kLeastTopBurn = 20;
constexpr double kLeastLatency = 1e-5;

struct point {
  core::wall_time_ms at = 0;
  double value = 0;
};
using points = std::vector<point>;

/// Maps times and values to the plot. Values are on a scale that is linear
/// near `knee` and logarithmic far above it.
class scale {
 public:
  scale(core::wall_time_ms now, double knee, double top)
      : start_(now - kSpanMs), knee_(knee), top_(top) {}

  double X(core::wall_time_ms t) const {
    const double part =
        static_cast<double>(t - start_) / static_cast<double>(kSpanMs);
    return kLeft + std::clamp(part, 0.0, 1.0) * (kWidth - kLeft - kRight);
  }
  double Y(double value) const {
    const double part = std::log1p(value / knee_) / std::log1p(top_ / knee_);
    return kHeight - kBottom - part * (kHeight - kTop - kBottom);
  }
  core::wall_time_ms Start() const { return start_; }

 private:
  core::wall_time_ms start_;
  double knee_;
  double top_;
};

/// A line that is interrupted where points are further apart than `gap`.
std::string Curve(const scale& s, const points& all, core::wall_time_ms gap,
                  std::string_view style) {
  std::string path;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const bool joined = i > 0 && all[i].at - all[i - 1].at <= gap;
    path += fmt::format("{}{:.1f} {:.1f}", joined ? 'L' : 'M', s.X(all[i].at),
                        s.Y(all[i].value));
    // A point without neighbours shows as a dot of the round line end.
    if (!joined) path += "h0";
  }
  return fmt::format("<path class=\"{}\" d=\"{}\"/>\n", style, path);
}

std::string Level(const scale& s, double value, std::string_view label,
                  std::string_view style) {
  const double y = s.Y(value);
  return fmt::format(
      "<path class=\"{}\" d=\"M{} {:.1f}H{}\"/>"
      "<text x=\"{}\" y=\"{:.1f}\" text-anchor=\"end\">{}</text>\n",
      style, kLeft, y, kWidth - kRight, kLeft - 6, y + 4, label);
}

/// Vertical lines at midnight, UTC.
std::string Days(const scale& s) {
  std::string out;
  const core::wall_time_ms first = (s.Start() / kDayMs + 1) * kDayMs;
  for (core::wall_time_ms t = first; t <= s.Start() + kSpanMs; t += kDayMs) {
    out += fmt::format(
        "<path class=\"grid\" d=\"M{0:.1f} {1}V{2}\"/>"
        "<text x=\"{0:.1f}\" y=\"{3}\" text-anchor=\"middle\">{4}</text>\n",
        s.X(t), kTop, kHeight - kBottom, kHeight - 8,
        TimeText(t).substr(0, 10));
  }
  return out;
}

std::string Svg(const std::string& id, const std::string& title,
                const std::string& description, const std::string& content) {
  return fmt::format(
      "<svg viewBox=\"0 0 {0} {1}\" role=\"img\" "
      "aria-labelledby=\"{2}-t {2}-d\">\n<title id=\"{2}-t\">{3}</title>\n"
      "<desc id=\"{2}-d\">{4}</desc>\n{5}</svg>\n",
      kWidth, kHeight, id, Escape(title), Escape(description), content);
}

const point* Highest(const points& all) {
  const auto it = std::max_element(
      all.begin(), all.end(),
      [](const point& a, const point& b) { return a.value < b.value; });
  return it == all.end() ? nullptr : &*it;
}

std::string DescribeBurn(const objective_status& s, const points& all) {
  const point* highest = Highest(all);
  if (highest == nullptr) return "No calls in 3 days.";
  return fmt::format(
      "Burn over 1 h, every 10 minutes of 3 days. Highest {} at {}, last {} at "
      "{}. Over 3 days {}; {:.1f}% of the budget is left.",
      BurnText(highest->value), TimeText(highest->at),
      BurnText(all.back().value), TimeText(all.back().at),
      BurnText(s.burn[static_cast<std::size_t>(window::kThreeDays)]),
      s.budget_left * 100);
}

std::string DescribeLatency(const points& p50, const points& p99) {
  const point* highest = Highest(p99);
  if (highest == nullptr) return "No calls done in 3 days.";
  return fmt::format(
      "p50 and p99 of each 3 hours of 3 days. Highest p99 {} in the 3 hours "
      "around {}; last p50 {}, last p99 {}.",
      DurationText(highest->value), TimeText(highest->at),
      DurationText(p50.back().value), DurationText(p99.back().value));
}

}  // namespace

std::string Escape(std::string_view text) {
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

std::string BurnPlot(const objective_status& s, core::wall_time_ms now,
                     const std::string& id) {
  points all;
  for (const burn_point& p : s.burn_points) all.push_back({p.at, p.burn});
  const point* highest = Highest(all);
  const double top =
      std::max(kLeastTopBurn, highest == nullptr ? 0 : highest->value);
  const scale to(now, 1, top);
  std::string content = Days(to);
  content += Level(to, 0, "0", "grid");
  content += Level(to, 1, "1", "limit");
  content += Level(to, 6, "6", "limit");
  content += Level(to, 14.4, "14.4", "limit");
  // Labels closer to the topmost limit would overlap it.
  if (top > 2 * kLeastTopBurn) content += Level(to, top, BurnText(top), "grid");
  content += Curve(to, all, kTenMinutesMs, "one");
  return Svg(id, "Burn of the error budget of " + s.declared.name,
             DescribeBurn(s, all), content);
}

std::string LatencyPlot(const objective_status& s, core::wall_time_ms now,
                        const std::string& id) {
  points p50;
  points p99;
  for (const latency_point& p : s.latency_points) {
    const core::wall_time_ms middle = p.from + kLatencyMs / 2;
    p50.push_back({std::min(middle, now), p.p50});
    p99.push_back({std::min(middle, now), p.p99});
  }
  const double threshold =
      static_cast<double>(s.declared.threshold.count()) / 1000;
  const point* highest = Highest(p99);
  const double top = std::max({kLeastLatency, 1.5 * threshold,
                               highest == nullptr ? 0 : highest->value});
  const scale to(now, threshold, top);
  std::string content = Days(to) + Level(to, 0, "0", "grid");
  content += Level(to, threshold, DurationText(threshold), "limit");
  if (top > 2 * threshold) {
    content += Level(to, top, DurationText(top), "grid");
  }
  content += Curve(to, p50, kLatencyMs, "one");
  content += Curve(to, p99, kLatencyMs, "two");
  return Svg(id, "Latency of " + s.declared.name, DescribeLatency(p50, p99),
             content);
}

}  // namespace mangoplank::report
