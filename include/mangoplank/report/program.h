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
  /// The report is incomplete: no entry answered, or a file could not be read
  /// or written. Takes precedence over a page or a ticket.
  kFailed = 1,
  kUsage = 2,
  kPage = 3,
  kTicket = 4
};

enum class output_format : std::uint8_t { kTable, kJson };

/// The options of the command line.
struct report_request {
  std::vector<core::endpoint> entries;
  std::string token;
  /// For each entry separately.
  core::milliseconds timeout{5000};
  std::optional<std::string> history;
  std::optional<std::string> html;
  report::output_format output_format = report::output_format::kTable;

  friend bool operator==(const report_request&,
                         const report_request&) = default;
};

struct report_result {
  exit_code code = exit_code::kFine;
  /// For standard output.
  std::string text;
  /// The reasons for kFailed.
  std::vector<core::failure> failures;

  friend bool operator==(const report_result&, const report_result&) = default;
};

/// Reads all entries concurrently, merges their recordings with the history and
/// creates the report. A failure does not prevent a report on the other data.
/// @param clock wall clock in step with the entries; must outlive the call.
core::awaitable<report_result> Run(report_request request, core::clock& clock);

}  // namespace mangoplank::report

#endif  // MANGOPLANK_REPORT_PROGRAM_H_
