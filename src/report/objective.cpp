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
/// The maximum deadline of an operation.
constexpr std::int64_t kMaxThresholdMs = 3'600'000;
constexpr std::size_t kPercentDecimals = 4;
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyz0123456789-_.";

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  while (true) {
    const std::size_t end = text.find(separator);
    parts.push_back(text.substr(0, end));
    if (end == std::string_view::npos) return parts;
    text.remove_prefix(end + 1);
  }
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t n = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, n);
  if (error != std::errc() || stop != end || text.front() == '-') return {};
  return n;
}

/// Parses `99.9%` in integers, as binary fractions would not be exact.
std::optional<std::int64_t> ParseTargetPpm(std::string_view text) {
  if (!text.ends_with('%')) return {};
  text.remove_suffix(1);
  const std::size_t dot = text.find('.');
  const auto whole = ParseNumber(text.substr(0, dot));
  std::string decimals;
  if (dot != std::string_view::npos) decimals = text.substr(dot + 1);
  if (dot != std::string_view::npos && decimals.empty()) return {};
  if (!whole || *whole > 100 || decimals.size() > kPercentDecimals) return {};
  decimals.resize(kPercentDecimals, '0');
  const auto fraction = ParseNumber(decimals);
  if (!fraction) return {};
  const std::int64_t ppm = *whole * kPpmPerPercent + *fraction;
  if (ppm < 1 || ppm >= kPartsPerMillion) return {};
  return ppm;
}

std::optional<core::milliseconds> ParseThreshold(std::string_view text) {
  std::int64_t unit = 1;
  if (text.ends_with("ms")) {
    text.remove_suffix(2);
  } else if (text.ends_with('s')) {
    text.remove_suffix(1);
    unit = kMsPerSecond;
  } else {
    return {};
  }
  const auto n = ParseNumber(text);
  if (!n || *n < 1 || *n > kMaxThresholdMs / unit) return {};
  return core::milliseconds(*n * unit);
}

std::optional<operation_key> ParseKey(std::string_view text) {
  const auto parts = Split(text, '/');
  if (parts.size() != 3) return {};
  for (const std::string_view part : parts) {
    if (part.empty() || part.size() > cell::kMaxNameBytes) return {};
    if (part.find_first_not_of(kNameCharacters) != part.npos) return {};
  }
  return operation_key{
      {std::string(parts[0])}, std::string(parts[1]), std::string(parts[2])};
}

std::variant<objective, std::string> ParseObjective(const std::string& name,
                                                    const std::string& value) {
  const auto parts = Split(value, ' ');
  if (parts.size() != 3) {
    return "must be DEPARTMENT/SERVICE/OPERATION, a target such as 99.9% and "
           "a threshold such as 250ms";
  }
  const auto key = ParseKey(parts[0]);
  if (!key) return "must begin with DEPARTMENT/SERVICE/OPERATION";
  const auto target = ParseTargetPpm(parts[1]);
  if (!target) {
    return "target must be above 0% and below 100%, with at most 4 decimals";
  }
  const auto threshold = ParseThreshold(parts[2]);
  if (!threshold) return "threshold must be from 1ms to 3600s";
  return objective{name, *key, *target, *threshold};
}

}  // namespace

std::string Format(const operation_key& key) {
  return fmt::format("{}/{}/{}", key.department.v, key.service, key.operation);
}

core::result<std::vector<objective>> ParseObjectives(
    const cell::configuration_spec& spec) {
  std::vector<objective> objectives;
  std::set<operation_key> seen;
  core::invalid_request invalid;
  for (const auto& [name, value] : spec.values) {
    const auto parsed = ParseObjective(name, value);
    const std::string field = "spec.values." + name;
    if (const auto* reason = std::get_if<std::string>(&parsed)) {
      invalid.fields.push_back({field, *reason});
      continue;
    }
    const auto& o = std::get<objective>(parsed);
    if (!seen.insert(o.key).second) {
      invalid.fields.push_back(
          {field, "another objective names the same operation"});
      continue;
    }
    objectives.push_back(o);
  }
  if (!invalid.fields.empty()) return core::Fail(invalid);
  return objectives;
}

}  // namespace mangoplank::report
