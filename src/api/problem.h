#ifndef MANGOPLANK_API_PROBLEM_H_
#define MANGOPLANK_API_PROBLEM_H_

#include <string>
#include <string_view>
#include <vector>

#include "mangoplank/api/http.h"
#include "mangoplank/cell/objects.h"
#include "mangoplank/core/failure.h"

/// Failures as problem details (RFC 9457).
namespace mangoplank::api {

inline constexpr std::string_view kOutcomeHeader = "mangoplank-outcome";

/// What a response says about a failure.
struct problem {
  unsigned status = 500;
  /// Stable name of the failure; the `type` member is
  /// `urn:mangoplank:problem:` and this name.
  std::string type;
  std::string title;
  std::string detail;
  std::vector<core::field_error> fields;
  /// Time after which a new try may succeed.
  std::optional<core::milliseconds> retry_after;

  friend bool operator==(const problem&, const problem&) = default;
};

/// @return the problem that describes a failure; the only place that maps
/// failures to status codes.
problem ProblemOf(const core::failure& f);

/// @return an application/problem+json response.
response Render(const problem& p);

/// @return the same, for a request whose outcome must be named: in the header
/// Mangoplank-Outcome and in the member `outcome`.
response Render(const problem& p, cell::ending outcome);

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_PROBLEM_H_
