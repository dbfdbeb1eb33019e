#ifndef MANGOPLANK_CALLS_WORKER_TRANSPORT_H_
#define MANGOPLANK_CALLS_WORKER_TRANSPORT_H_

#include <cstdint>
#include <string>
#include <variant>

#include "mangoplank/core/clock.h"
#include "mangoplank/metrics/registry.h"

/// Exchanges with workers (docs/worker_protocol.md), as values.
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
  /// GET: how did the call end?
  kQuery,
  /// DELETE: give the call up unless it has started.
  kCancel
};

struct worker_request {
  request_kind kind = request_kind::kRun;
  /// Names the call towards the worker; repeated in its answer.
  std::string id;
  core::department_id department;
  std::string service;
  std::string operation;
  std::string body;
  /// Not idempotent: the worker keeps the id and the answer.
  bool at_most_once = false;
  /// Deadline of the call, told to the worker.
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
  /// The address is now used by another incarnation.
  kOtherIncarnation,
  kCancelled
};
/// This request was refused before any start. An earlier request of the same
/// id may have started unless the reason is kGivenUp.
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
/// The call had not started and never will.
struct worker_cancelled {
  friend bool operator==(const worker_cancelled&,
                         const worker_cancelled&) = default;
};

enum class fault_kind : std::uint8_t {
  kConnectRefused,
  /// The connection was not set up, or took no data, until the deadline.
  kSilent,
  /// The request was taken and no byte of an answer came until the deadline.
  kNoAnswer,
  /// The answer is not HTTP, lacks the call id or has an unexpected status.
  kMalformed,
  /// The answer names another call.
  kOtherCall,
  /// A second answer came on the connection, which is then closed.
  kSecondAnswer,
  kClosed,
  kClosedInAnswer,
  /// All connections to the worker were in use until the deadline.
  kNoConnection
};
/// No answer was received.
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
  /// Sends one request on a connection that carries no other meanwhile.
  /// @param deadline until which an answer is waited for.
  /// @return a whole answer that names the request's id, or exchange_fault.
  virtual core::awaitable<exchange_result> Exchange(
      worker_target to, worker_request request, core::time_point deadline) = 0;
};

/// @return the label value of a refusal in metrics.
std::string_view Name(refusal reason);
/// @return the label value of a fault in metrics.
std::string_view Name(fault_kind kind);

/// Counts a fault in `mangoplank_call_faults_total`.
void CountFault(metrics::registry& metrics, fault_kind kind);

/// @return the id under which a worker knows the call of an intent.
/// @param id revision of the intent.
std::string CallIdOf(core::revision intent_id);

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_WORKER_TRANSPORT_H_
