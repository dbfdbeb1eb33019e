#ifndef MANGOPLANK_CALLS_CALL_H_
#define MANGOPLANK_CALLS_CALL_H_

#include <optional>
#include <string>

#include "mangoplank/cell/objects.h"
#include "mangoplank/core/clock.h"
#include "mangoplank/core/failure.h"

/// Routes calls from callers to workers of services.
namespace mangoplank::calls {

/// A call as the caller submitted it.
struct call {
  core::department_id department;
  std::string service;
  std::string operation;
  /// Required for operations that are not idempotent.
  std::string idempotency_key;
  std::string body;
  /// Time at which the caller stops waiting.
  core::time_point deadline;

  friend bool operator==(const call&, const call&) = default;
};

/// Reason why a call failed or was not run.
enum class end_reason : std::uint8_t {
  kNone,
  kUnknownService,
  kUnknownOperation,
  kKeyMissing,
  /// The idempotency key was used with another body.
  kKeyReused,
  kOverloaded,
  kNoWorker,
  kDraining,
  /// The entry is cut off from the control processes.
  kCutOff,
  kDeadline,
  kWorkerError,
  kConnection
};

/// How the call ended. Each call ends exactly once.
struct call_end {
  cell::ending ending = cell::ending::kNotRun;
  end_reason reason = end_reason::kNone;
  /// The complete answer of the worker if done, or its error text if failed.
  std::string body;
  /// For not_run: delay after which a retry may succeed.
  std::optional<core::milliseconds> retry_after;
  /// For outcome_unknown: key of the call record, for a later query.
  std::optional<cell::call_key> handle;

  friend bool operator==(const call_end&, const call_end&) = default;
};

/// Runs calls.
class runner {
 public:
  virtual ~runner() = default;
  virtual core::awaitable<call_end> Run(call c) = 0;
  /// @return how an earlier non-idempotent call ended, querying its worker if
  /// necessary; not_found if there is no record of the call.
  virtual core::awaitable<core::outcome<call_end>> Resolve(
      cell::call_key key, core::time_point deadline) = 0;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_CALL_H_
