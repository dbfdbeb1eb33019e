#ifndef MANGOPLANK_CTL_COMMAND_LINE_H_
#define MANGOPLANK_CTL_COMMAND_LINE_H_

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoplank/cell/objects.h"
#include "mangoplank/core/failure.h"

/// The operators' command line.
namespace mangoplank::ctl {

/// Exit codes; docs/ctl.md and `--help` list them.
enum class exit_code : int {
  kOk = 0,
  kRefused = 1,
  kUsage = 2,
  kNotFound = 3,
  kConflict = 4,
  kNotAllowed = 5,
  kUnavailable = 6,
  /// The job, rollout or call ended without success.
  kWorkFailed = 7,
  /// It is unknown whether the change or call took effect.
  kOutcomeUnknown = 8,
  /// `diff` found differences.
  kDiffers = 9
};

/// One object or all objects of a kind, as named on the command line.
struct target_name {
  cell::object_kind kind = cell::object_kind::kService;
  std::string department;
  /// Empty for all objects of the kind.
  std::string name;
  friend bool operator==(const target_name&, const target_name&) = default;
};

struct apply_verb {
  std::string path;
  bool prune = false;
  bool dry_run = false;
  friend bool operator==(const apply_verb&, const apply_verb&) = default;
};
struct diff_verb {
  std::string path;
  bool prune = false;
  friend bool operator==(const diff_verb&, const diff_verb&) = default;
};
struct get_verb {
  target_name target;
  friend bool operator==(const get_verb&, const get_verb&) = default;
};
struct describe_verb {
  target_name target;
  friend bool operator==(const describe_verb&, const describe_verb&) = default;
};
struct watch_verb {
  target_name target;
  core::revision from = 0;
  friend bool operator==(const watch_verb&, const watch_verb&) = default;
};
struct explain_verb {
  target_name target;
  friend bool operator==(const explain_verb&, const explain_verb&) = default;
};
struct drain_verb {
  std::string worker;
  bool drain = true;
  friend bool operator==(const drain_verb&, const drain_verb&) = default;
};
struct cancel_verb {
  target_name target;
  friend bool operator==(const cancel_verb&, const cancel_verb&) = default;
};
struct delete_verb {
  target_name target;
  std::optional<core::revision> expected_version;
  friend bool operator==(const delete_verb&, const delete_verb&) = default;
};
struct run_verb {
  std::string path;
  bool wait = true;
  friend bool operator==(const run_verb&, const run_verb&) = default;
};
struct call_verb {
  std::string department;
  std::string service;
  std::string operation;
  std::string key;
  std::int64_t deadline_ms = 0;
  /// File with the body; `-` for the standard input, empty for none.
  std::string body_file;
  /// Query the outcome of an earlier call instead of making one.
  bool query = false;
  friend bool operator==(const call_verb&, const call_verb&) = default;
};
struct rollout_verb {
  target_name target;
  bool wait = false;
  friend bool operator==(const rollout_verb&, const rollout_verb&) = default;
};
struct top_verb {
  friend bool operator==(const top_verb&, const top_verb&) = default;
};

using verb =
    std::variant<apply_verb, diff_verb, get_verb, describe_verb, watch_verb,
                 explain_verb, drain_verb, cancel_verb, delete_verb, run_verb,
                 call_verb, rollout_verb, top_verb>;

enum class output_format { kTable, kJson };

struct command {
  core::endpoint server;
  std::string token;
  /// Department of declarations and names that do not specify one.
  std::string department;
  output_format output = output_format::kTable;
  core::milliseconds timeout{10'000};
  ctl::verb verb;
  friend bool operator==(const command&, const command&) = default;
};

/// Text to print instead of running a verb.
struct usage {
  exit_code code = exit_code::kOk;
  std::string text;
  friend bool operator==(const usage&, const usage&) = default;
};

/// Looks up an environment variable; empty if it is not set.
using environment = std::function<std::string(const std::string&)>;

/// @param arguments without the name of the program.
std::variant<command, usage> ParseCommandLine(
    const std::vector<std::string>& arguments, const environment& env);

}  // namespace mangoplank::ctl

#endif  // MANGOPLANK_CTL_COMMAND_LINE_H_
