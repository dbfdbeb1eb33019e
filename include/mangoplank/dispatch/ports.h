#ifndef MANGOPLANK_DISPATCH_PORTS_H_
#define MANGOPLANK_DISPATCH_PORTS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mangoplank/core/clock.h"
#include "mangoplank/core/failure.h"
#include "mangoplank/workflow/messages.h"
#include "mangoplank/workflow/state.h"

/// External interfaces of the leader's dispatcher: orders to workers, the
/// eligibility service, and the replicated log.
namespace mangoplank::dispatch {

struct worker_target {
  workflow::worker_key key;
  core::endpoint address;

  friend bool operator==(const worker_target&, const worker_target&) = default;
};

/// Order to start a run. Like all orders it carries the leader's term: a worker
/// refuses a term lower than the highest that it has seen.
struct start_order {
  core::term term = 0;
  workflow::run_id run;
  std::string payload;
  /// End of the lease on the worker's own clock, in milliseconds.
  std::int64_t lease_until_ms = 0;
  std::string checkpoint;
  std::string ticket;

  friend bool operator==(const start_order&, const start_order&) = default;
};

/// Order to stop a run. A worker without the run refuses any later start of it.
struct stop_order {
  core::term term = 0;
  workflow::run_id run;

  friend bool operator==(const stop_order&, const stop_order&) = default;
};

/// Renews the lease and reads which runs are active and which have ended.
struct poll_order {
  core::term term = 0;
  /// Ends up to this number are recorded; the worker may discard them.
  std::uint64_t recorded_ends = 0;
  /// End of the lease on the worker's own clock; without one the lease stays.
  std::optional<std::int64_t> lease_until_ms;
  /// The worker answers when a run ends, or after this time.
  core::milliseconds wait{0};

  friend bool operator==(const poll_order&, const poll_order&) = default;
};

enum class refusal : std::uint8_t {
  /// The worker has seen a later term.
  kOutdatedTerm,
  /// The run was stopped or has ended on the worker.
  kOldRun,
  /// The lease in the order has expired.
  kLeaseExpired,
  kNoCapacity,
  kInvalidTicket,
  kInvalid,
  /// The worker can't run tasks now.
  kUnhealthy,
};

/// @return the name used in logs.
constexpr std::string_view Name(refusal reason) {
  constexpr std::string_view kNames[] = {"outdated_term", "old_run", "too_late",
                                         "no_room",       "ticket",  "invalid",
                                         "unhealthy"};
  return kNames[static_cast<std::size_t>(reason)];
}

struct order_done {
  /// The worker's clock, in milliseconds.
  std::int64_t clock_ms = 0;
  friend bool operator==(const order_done&, const order_done&) = default;
};
/// The worker did not carry out the order.
struct order_refused {
  refusal reason = refusal::kInvalid;
  friend bool operator==(const order_refused&, const order_refused&) = default;
};
/// Another incarnation of the worker answered: the addressed one has ended.
struct other_incarnation {
  friend bool operator==(const other_incarnation&,
                         const other_incarnation&) = default;
};
/// The order may have been carried out, or may still be.
struct no_answer {
  friend bool operator==(const no_answer&, const no_answer&) = default;
};

using order_result =
    std::variant<order_done, order_refused, other_incarnation, no_answer>;

struct running_run {
  workflow::run_id run;
  std::string checkpoint;
  int percent = 0;
  friend bool operator==(const running_run&, const running_run&) = default;
};
struct ended_run {
  /// Increases by one with each end in an incarnation of the worker.
  std::uint64_t number = 0;
  workflow::run_id run;
  workflow::run_end ending = workflow::run_end::kDone;
  std::string checkpoint;
  friend bool operator==(const ended_run&, const ended_run&) = default;
};
struct worker_report {
  std::int64_t clock_ms = 0;
  std::vector<running_run> running;
  std::vector<ended_run> ended;
  /// Whether the answer names the incarnation that was polled, which shows that
  /// no later one has taken its place.
  bool names_incarnation = false;
  friend bool operator==(const worker_report&, const worker_report&) = default;
};

using poll_result =
    std::variant<worker_report, order_refused, other_incarnation, no_answer>;

/// Sends orders to workers. All failures are reported as the results above.
class worker_port {
 public:
  virtual ~worker_port() = default;
  virtual core::awaitable<order_result> Start(worker_target to,
                                              start_order order,
                                              core::milliseconds timeout) = 0;
  virtual core::awaitable<order_result> Stop(worker_target to, stop_order order,
                                             core::milliseconds timeout) = 0;
  virtual core::awaitable<poll_result> Poll(worker_target to, poll_order order,
                                            core::milliseconds timeout) = 0;
};

/// Checks with the eligibility service which workers may run a step.
class eligibility_port {
 public:
  virtual ~eligibility_port() = default;
  /// @param cost expected time of the call, used to choose a proxy.
  /// @param priority of the queue; calls of a lower number go first.
  /// @return the eligible workers among those given, or no value if the service
  /// did not answer in time.
  virtual core::awaitable<std::optional<std::vector<workflow::eligible_worker>>>
  Check(workflow::task_id step, std::vector<core::worker_id> workers,
        core::milliseconds cost, std::int32_t priority) = 0;
};

/// The leader's interface to the replicated log of events.
class event_log {
 public:
  virtual ~event_log() = default;
  /// Records events. They are applied to State() before it returns.
  /// @return not_leader if nothing was recorded, commit_unknown if the events
  /// may have been recorded.
  virtual core::awaitable<core::outcome<void>> Record(
      std::vector<workflow::event> events) = 0;
  virtual const workflow::state& State() const = 0;
  /// @return the latest time at which this process is known to have been the
  /// leader. The term of a later leader begins after it.
  virtual core::time_point LeadershipConfirmedAt() const = 0;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_PORTS_H_
