#include "mangoplank/report/objective.h"

#include <fmt/format.h>

#include <charconv>
#include <optional>
#include <set>
#include <string_view>

namespace mangoplank::report {

namespace {

constexpr std::int64_t kPpmPerPercent = 10'000;
constexpr std::int64_t kMsPerSecond = 1000;
/// The longest deadline of an operation.
constexpr std::int64_t kMaxThresholdMs = 3'600'000;
constexpr std::size_t kPercentDecimals = 4;
constexpr std::string_view kNameBytes =
    "abcdefghijklmnopqrstuvwxyz0123456789-_.";

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t at = text.find(separator);
    parts.push_back(text.substr(0, at));
    if (at == std::string_view::npos) return parts;
    text.remove_prefix(at + 1);
  }
}

std::optional<std::int64_t> Number(std::string_view text) {
  std::int64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, n);
  if (error != std::errc() || stop != end || text.front() == '-') return {};
  return n;
}

/// Reads `99.9%` without binary fractions, which would not be exact.
std::optional<std::int64_t> TargetPpm(std::string_view text) {
  if (!text.ends_with('%')) return {};
  text.remove_suffix(1);
  const std::size_t dot = text.find('.');
  const auto whole = Number(text.substr(0, dot));
  std::string decimals;
  if (dot != std::string_view::npos) decimals = text.substr(dot + 1);
  if (dot != std::string_view::npos && decimals.empty()) return {};
  if (!whole || *whole > 100 || decimals.size() > kPercentDecimals) return {};
  decimals.resize(kPercentDecimals, '0');
  const auto part = Number(decimals);
  if (!part) return {};
  const std::int64_t ppm = *whole * kPpmPerPercent + *part;
  if (ppm < 1 || ppm >= kWholePpm) return {};
  return ppm;
}

std::optional<core::milliseconds> Threshold(std::string_view text) {
  std::int64_t unit = 1;
  if (text.ends_with("ms")) {
    text.remove_suffix(2);
  } else if (text.ends_with('s')) {
    text.remove_suffix(1);
    unit = kMsPerSecond;
  } else {
    return {};
  }
  const auto n = Number(text);
  if (!n || *n < 1 || *n > kMaxThresholdMs / unit) return {};
  return core::milliseconds(*n * unit);
}

std::optional<operation_key> Key(std::string_view text) {
  const auto parts = Split(text, '/');
  if (parts.size() != 3) return {};
  for (const std::string_view part : parts) {
    if (part.empty() || part.size() > cell::kMaxNameBytes) return {};
    if (part.find_first_not_of(kNameBytes) != part.npos) return {};
  }
  return operation_key{
      {std::string(parts[0])}, std::string(parts[1]), std::string(parts[2])};
}

std::variant<objective, std::string> ParseOne(const std::string& name,
                                              const std::string& value) {
  const auto words = Split(value, ' ');
  if (words.size() != 3) {
    return "must be DEPARTMENT/SERVICE/OPERATION, a target such as 99.9% and "
           "a threshold such as 250ms";
  }
  const auto key = Key(words[0]);
  if (!key) return "must begin with DEPARTMENT/SERVICE/OPERATION";
  const auto target = TargetPpm(words[1]);
  if (!target) {
    return "target must be above 0% and below 100%, with at most 4 decimals";
  }
  const auto threshold = Threshold(words[2]);
  if (!threshold) return "threshold must be from 1ms to 3600s";
  return objective{name, *key, *target, *threshold};
}

}  // namespace

std::string Text(const operation_key& k) {
  return fmt::format("{}/{}/{}", k.department.v, k.service, k.operation);
}

core::result<std::vector<objective>> ParseObjectives(
    const cell::configuration_spec& spec) {
  std::vector<objective> all;
  std::set<operation_key> seen;
  core::invalid_request bad;
  for (const auto& [name, value] : spec.values) {
    const auto parsed = ParseOne(name, value);
    const std::string field = "spec.values." + name;
    if (const auto* reason = std::get_if<std::string>(&parsed)) {
      bad.fields.push_back({field, *reason});
      continue;
    }
    const auto& o = std::get<objective>(parsed);
    if (!seen.insert(o.key).second) {
      bad.fields.push_back(
          {field, "the operation has an objective of another name"});
      continue;
    }
    all.push_back(o);
  }
  if (!bad.fields.empty()) return core::Fail(bad);
  return all;
}

}  // namespace mangoplank::report
