#ifndef MANGOPLANK_REPORT_OBJECTIVE_H_
#define MANGOPLANK_REPORT_OBJECTIVE_H_

#include <string>
#include <vector>

#include "mangoplank/cell/objects.h"
#include "mangoplank/core/failure.h"

/// Service-level objectives (SLOs) and the burn rates of their error budgets.
namespace mangoplank::report {

/// Name of the configuration object that declares the objectives.
inline constexpr char kObjectivesName[] = "objectives";
/// Targets are given in parts per million (ppm).
inline constexpr std::int64_t kPartsPerMillion = 1'000'000;

/// Identifies an operation of a service.
struct operation_key {
  core::department_id department;
  std::string service;
  std::string operation;

  friend bool operator==(const operation_key&, const operation_key&) = default;
  friend auto operator<=>(const operation_key&, const operation_key&) = default;
};

/// @return `DEPARTMENT/SERVICE/OPERATION`.
std::string Format(const operation_key& key);

/// The fraction of an operation's calls that must be good. A call is good if it
/// is done within the threshold.
struct objective {
  std::string name;
  operation_key key;
  /// Good calls per million calls, from 1 to 999,999: a target of 100% leaves
  /// no error budget.
  std::int64_t target_ppm = 0;
  core::milliseconds threshold{0};

  friend bool operator==(const objective&, const objective&) = default;
};

/// The objectives of one revision of the configuration.
struct objective_set {
  /// Version of the configuration object, or the revision at which it was seen
  /// to be missing; a higher one is newer.
  core::revision version = 0;
  /// In order of name.
  std::vector<objective> objectives;

  friend bool operator==(const objective_set&, const objective_set&) = default;
};

/// Parses values of the form `DEPARTMENT/SERVICE/OPERATION 99.9% 250ms` (or
/// `2s`); the keys are the names of the objectives.
/// @return the objectives, or invalid_request with one field for each value
/// that is malformed, out of range, or repeats an operation.
core::result<std::vector<objective>> ParseObjectives(
    const cell::configuration_spec& spec);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_OBJECTIVE_H_
