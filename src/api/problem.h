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

/// A problem details object.
struct problem {
  unsigned status = 500;
  /// Stable name of the failure; the `type` member is
  /// `urn:mangoplank:problem:` and this name.
  std::string type;
  std::string title;
  std::string detail;
  std::vector<core::field_error> fields;
  /// Delay after which a retry may succeed.
  std::optional<core::milliseconds> retry_after;

  friend bool operator==(const problem&, const problem&) = default;
};

/// @return the problem that describes a failure; the only place that maps
/// failures to status codes.
problem ProblemOf(const core::failure& failure);

/// @return an application/problem+json response.
response Render(const api::problem& problem);

/// @return the same for a request whose outcome must be stated, in the header
/// Mangoplank-Outcome and in the member `outcome`.
response Render(const api::problem& problem, cell::ending outcome);

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_PROBLEM_H_
