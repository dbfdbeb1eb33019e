#ifndef MANGOPLANK_PROCESS_PROGRAM_H_
#define MANGOPLANK_PROCESS_PROGRAM_H_

#include <functional>
#include <string>
#include <vector>

#include "mangoplank/settings/settings.h"

/// Shared by all long-running binaries: command line, settings, logging.
namespace mangoplank::process {

/// Exit codes of all binaries of the system.
enum class exit_code : int {
  kOk = 0,
  /// The process ended because of a runtime failure.
  kFailed = 1,
  /// The command line or a setting is not valid.
  kUsage = 2
};

struct program {
  std::string name;
  std::string summary;
  std::vector<settings::option> options;
  std::function<exit_code(const settings::values&)> run;
};

/// Handles --help, --version, --config, --check-config and --document, sets up
/// logging and runs the program.
/// @return the exit code of the process.
int Main(const program& definition, int argc, char** argv);

/// @return the options that every process has: [log].
std::vector<settings::option> LogOptions();

/// @return the options of `first`, then those of `more`.
std::vector<settings::option> Join(std::vector<settings::option> first,
                                   const std::vector<settings::option>& more);

}  // namespace mangoplank::process

#endif  // MANGOPLANK_PROCESS_PROGRAM_H_
