#ifndef MANGOPLANK_REPORT_PROGRAM_H_
#define MANGOPLANK_REPORT_PROGRAM_H_

#include <optional>
#include <string>
#include <vector>

#include "mangoplank/core/clock.h"
#include "mangoplank/core/failure.h"

namespace mangoplank::report {

/// Exit codes of mangoplank-report.
enum class exit_code : int {
  kFine = 0,
  /// The report is not whole: no entry answered, or a file could not be read or
  /// written. This goes before a page or a ticket.
  kFailed = 1,
  kUsage = 2,
  kPage = 3,
  kTicket = 4
};

enum class output : std::uint8_t { kTable, kJson };

/// What the command line asks for.
struct report_request {
  std::vector<core::endpoint> entries;
  std::string token;
  /// For each entry.
  core::milliseconds timeout{5000};
  std::optional<std::string> history;
  std::optional<std::string> html;
  output o = output::kTable;

  friend bool operator==(const report_request&,
                         const report_request&) = default;
};

struct report_result {
  exit_code code = exit_code::kFine;
  /// For standard output.
  std::string text;
  /// Why the code is kFailed.
  std::vector<core::failure> failures;

  friend bool operator==(const report_result&, const report_result&) = default;
};

/// Reads all entries at once, merges them with the history and reports. What
/// could be read is reported even if something else failed.
/// @param clock wall time is that of the entries; it must outlive the call.
core::awaitable<report_result> Run(report_request request, core::clock& clock);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_PROGRAM_H_
