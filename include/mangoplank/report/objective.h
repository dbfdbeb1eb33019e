#ifndef MANGOPLANK_REPORT_OBJECTIVE_H_
#define MANGOPLANK_REPORT_OBJECTIVE_H_

#include <string>
#include <vector>

#include "mangoplank/cell/objects.h"
#include "mangoplank/core/failure.h"

/// Service-level objectives and the burn of their error budgets.
namespace mangoplank::report {

/// Name of the configuration object that declares the objectives.
inline constexpr char kObjectivesName[] = "objectives";
/// Parts in a million, the unit of targets.
inline constexpr std::int64_t kWholePpm = 1'000'000;

/// Names one operation of one service.
struct operation_key {
  core::department_id department;
  std::string service;
  std::string operation;

  friend bool operator==(const operation_key&, const operation_key&) = default;
  friend auto operator<=>(const operation_key&, const operation_key&) = default;
};

/// @return `DEPARTMENT/SERVICE/OPERATION`.
std::string Text(const operation_key& k);

/// How many of an operation's calls must be good. A call is good if it is done
/// within the threshold.
struct objective {
  std::string name;
  operation_key key;
  /// Good calls in a million; from 1 to 999,999, as a target of all calls
  /// leaves no budget to burn.
  std::int64_t target_ppm = 0;
  core::milliseconds threshold{0};

  friend bool operator==(const objective&, const objective&) = default;
};

/// The objectives of one revision of the configuration.
struct objective_set {
  /// Version of the configuration object, or the revision at which there is
  /// none; the higher one is the newer.
  core::revision version = 0;
  /// In order of name.
  std::vector<objective> all;

  friend bool operator==(const objective_set&, const objective_set&) = default;
};

/// Reads values of the form `DEPARTMENT/SERVICE/OPERATION 99.9% 250ms` (or
/// `2s`); their keys are the names of the objectives.
/// @return the objectives, or invalid_request with one field for each value
/// that is malformed, out of range, or names an operation named before.
core::result<std::vector<objective>> ParseObjectives(
    const cell::configuration_spec& spec);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_OBJECTIVE_H_
