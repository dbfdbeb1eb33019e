#ifndef MANGOPLANK_CALLS_WORKER_TRANSPORT_H_
#define MANGOPLANK_CALLS_WORKER_TRANSPORT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "mangoplank/core/clock.h"
#include "mangoplank/metrics/registry.h"

/// Value types of the worker protocol (docs/worker_protocol.md).
namespace mangoplank::calls {

/// One incarnation of a worker.
struct worker_target {
  core::worker_id worker;
  core::incarnation incarnation = 0;
  core::endpoint address;

  friend bool operator==(const worker_target&, const worker_target&) = default;
};

enum class request_kind : std::uint8_t {
  /// POST: run the call.
  kRun,
  /// GET: query how the call ended.
  kQuery,
  /// DELETE: cancel the call unless it has started.
  kCancel
};

struct worker_request {
  request_kind kind = request_kind::kRun;
  /// Identifies the call to the worker, which repeats it in its answer.
  std::string id;
  core::department_id department;
  std::string service;
  std::string operation;
  std::string body;
  /// Not idempotent: the worker stores the id and the answer.
  bool at_most_once = false;
  /// Deadline of the call, sent to the worker as the time left.
  core::time_point deadline;

  friend bool operator==(const worker_request&,
                         const worker_request&) = default;
};

struct worker_done {
  std::string body;
  friend bool operator==(const worker_done&, const worker_done&) = default;
};
/// The call ran and ended with an error.
struct worker_failed {
  std::string body;
  friend bool operator==(const worker_failed&, const worker_failed&) = default;
};
enum class refusal : std::uint8_t {
  kOther,
  kNoSlot,
  kLeaseEnded,
  /// Another incarnation uses the address now.
  kOtherIncarnation,
  kCancelled
};
/// This request was refused before a start. An earlier request with the same
/// id may have started the call unless the reason is kCancelled.
struct worker_refused {
  refusal reason = refusal::kOther;
  friend bool operator==(const worker_refused&,
                         const worker_refused&) = default;
};
struct worker_running {
  friend bool operator==(const worker_running&,
                         const worker_running&) = default;
};
struct worker_unknown_id {
  friend bool operator==(const worker_unknown_id&,
                         const worker_unknown_id&) = default;
};
/// The call had not started, and the worker will not start it.
struct worker_cancelled {
  friend bool operator==(const worker_cancelled&,
                         const worker_cancelled&) = default;
};

enum class fault_kind : std::uint8_t {
  kConnectRefused,
  /// Connecting, or writing the request, timed out.
  kSilent,
  /// The request was written; no byte of an answer came until the deadline.
  kNoAnswer,
  /// The answer is not HTTP, lacks the call id or has an unexpected status.
  kMalformed,
  /// The answer has the id of another call.
  kOtherCall,
  /// A second answer arrived on the connection, which is then closed.
  kSecondAnswer,
  kClosed,
  kClosedInAnswer,
  /// All connections to the worker were in use until the deadline.
  kNoConnection
};
/// The exchange failed: no valid answer was received.
struct exchange_fault {
  fault_kind kind = fault_kind::kClosed;
  /// Whether a byte of the request may have reached the worker.
  bool sent = false;
  friend bool operator==(const exchange_fault&,
                         const exchange_fault&) = default;
};

using worker_reply =
    std::variant<worker_done, worker_failed, worker_refused, worker_running,
                 worker_unknown_id, worker_cancelled, exchange_fault>;

struct exchange_result {
  worker_reply reply;
  std::uint64_t bytes_out = 0;
  std::uint64_t bytes_in = 0;

  friend bool operator==(const exchange_result&,
                         const exchange_result&) = default;
};

/// Sends requests to workers.
class worker_transport {
 public:
  virtual ~worker_transport() = default;
  /// Sends one request on a connection without other requests in progress.
  /// @param deadline time until which to wait for the answer.
  /// @return a complete answer with the id of the request, or exchange_fault.
  virtual core::awaitable<exchange_result> Exchange(
      worker_target to, worker_request request, core::time_point deadline) = 0;
};

/// @return the label value of a refusal in metrics.
std::string_view Name(refusal reason);
/// @return the label value of a fault in metrics.
std::string_view Name(fault_kind kind);

/// Counts a fault in `mangoplank_call_faults_total`.
void CountFault(metrics::registry& metrics, fault_kind kind);

/// @return the call id that identifies an intent to the worker.
/// @param intent_id revision of the intent.
std::string CallIdOf(core::revision intent_id);

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_WORKER_TRANSPORT_H_
