#ifndef MANGOPLANK_CALLS_CALL_H_
#define MANGOPLANK_CALLS_CALL_H_

#include <optional>
#include <string>

#include "mangoplank/cell/objects.h"
#include "mangoplank/core/clock.h"
#include "mangoplank/core/failure.h"

/// Calls from callers to services.
namespace mangoplank::calls {

/// One call as a caller asked for it.
struct call {
  core::department_id department;
  std::string service;
  std::string operation;
  /// Needed for operations that are not idempotent.
  std::string idempotency_key;
  std::string body;
  /// Time until which the caller waits.
  core::time_point deadline;

  friend bool operator==(const call&, const call&) = default;
};

/// Why a call was not run or failed.
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
  /// The worker's whole answer when done, or its error text when failed.
  std::string body;
  /// For not_run: when a new try may succeed.
  std::optional<core::milliseconds> retry_after;
  /// For outcome_unknown: names the call record to ask again for.
  std::optional<cell::call_key> handle;

  friend bool operator==(const call_end&, const call_end&) = default;
};

/// Runs calls.
class runner {
 public:
  virtual ~runner() = default;
  virtual core::awaitable<call_end> Run(call c) = 0;
  /// @return the end of an earlier non-idempotent call, asking its worker if
  /// need be; not_found if no such call is known.
  virtual core::awaitable<core::outcome<call_end>> Resolve(
      cell::call_key key, core::time_point deadline) = 0;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_CALL_H_
