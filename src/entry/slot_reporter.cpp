#include "slot_reporter.h"

#include <utility>

namespace mangoplank::entry {

namespace {

/// Reports whose answer may still come.
constexpr std::size_t kMaxOpenReports = 256;

}  // namespace

control::slot_report slot_reporter::Next(control::slot_report report,
                                         core::time_point now) {
  report.number = ++number_;
  sent_[number_] = now;
  if (sent_.size() > kMaxOpenReports) sent_.erase(sent_.begin());
  if (now < end_) report.held = last_.grants;
  return report;
}

std::optional<control::slot_grants> slot_reporter::Received(
    control::slot_grants grants, core::time_point now) {
  const auto sent = sent_.find(grants.report);
  if (sent == sent_.end()) return std::nullopt;
  const core::time_point end = sent->second + grants.lease;
  sent_.erase(sent);
  const auto order = [](const control::slot_grants& g) {
    return std::pair(g.t, g.sequence);
  };
  if (end <= now || order(grants) <= order(last_)) return std::nullopt;
  grants.lease = std::chrono::duration_cast<core::milliseconds>(end - now);
  last_ = grants;
  end_ = end;
  return grants;
}

}  // namespace mangoplank::entry
