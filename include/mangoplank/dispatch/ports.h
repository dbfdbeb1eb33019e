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

/// What the leader's dispatcher needs of the outside: orders to workers, the
/// eligibility service, and the replicated log.
namespace mangoplank::dispatch {

struct worker_target {
  workflow::worker_key key;
  core::endpoint address;

  friend bool operator==(const worker_target&, const worker_target&) = default;
};

/// Order to begin a run. Carries the leader's term, as all orders do: a worker
/// refuses a lower term than it has seen.
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

/// Order to stop a run. A run that is not there is refused from then on.
struct stop_order {
  core::term term = 0;
  workflow::run_id run;

  friend bool operator==(const stop_order&, const stop_order&) = default;
};

/// Renews the lease and asks what runs and what has ended.
struct look_order {
  core::term term = 0;
  /// Ends up to this number are recorded and may be forgotten.
  std::uint64_t recorded_ends = 0;
  /// End of the lease on the worker's own clock; none leaves it as it is.
  std::optional<std::int64_t> lease_until_ms;
  /// The worker answers at the next end, or after this time.
  core::milliseconds wait{0};

  friend bool operator==(const look_order&, const look_order&) = default;
};

enum class refusal : std::uint8_t {
  /// A later leader has given orders.
  kOutdatedTerm,
  /// The run was stopped or has ended there.
  kOldRun,
  /// The lease in the order is over.
  kTooLate,
  kNoRoom,
  kTicket,
  kInvalid,
  /// The worker is not able to work now.
  kUnhealthy,
};

/// @return the word for logs.
constexpr std::string_view Name(refusal why) {
  constexpr std::string_view kNames[] = {"outdated_term", "old_run", "too_late",
                                         "no_room",       "ticket",  "invalid",
                                         "unhealthy"};
  return kNames[static_cast<std::size_t>(why)];
}

struct order_done {
  /// The worker's clock, in milliseconds.
  std::int64_t clock_ms = 0;
  friend bool operator==(const order_done&, const order_done&) = default;
};
/// The worker did nothing.
struct order_refused {
  refusal why = refusal::kInvalid;
  friend bool operator==(const order_refused&, const order_refused&) = default;
};
/// Another life of the worker answered: the addressed one is over.
struct other_life {
  friend bool operator==(const other_life&, const other_life&) = default;
};
/// The order may have been carried out, or may still be later.
struct no_answer {
  friend bool operator==(const no_answer&, const no_answer&) = default;
};

using order_result =
    std::variant<order_done, order_refused, other_life, no_answer>;

struct running_run {
  workflow::run_id run;
  std::string checkpoint;
  int percent = 0;
  friend bool operator==(const running_run&, const running_run&) = default;
};
struct ended_run {
  /// Grows by one with each end in a life of the worker.
  std::uint64_t number = 0;
  workflow::run_id run;
  workflow::run_end how = workflow::run_end::kDone;
  std::string checkpoint;
  friend bool operator==(const ended_run&, const ended_run&) = default;
};
struct worker_report {
  std::int64_t clock_ms = 0;
  std::vector<running_run> running;
  std::vector<ended_run> ended;
  friend bool operator==(const worker_report&, const worker_report&) = default;
};

using look_result =
    std::variant<worker_report, order_refused, other_life, no_answer>;

/// Carries orders to workers. Never fails but by the results above.
class worker_port {
 public:
  virtual ~worker_port() = default;
  virtual core::awaitable<order_result> Start(worker_target to, start_order o,
                                              core::milliseconds timeout) = 0;
  virtual core::awaitable<order_result> Stop(worker_target to, stop_order o,
                                             core::milliseconds timeout) = 0;
  virtual core::awaitable<look_result> Look(worker_target to, look_order o,
                                            core::milliseconds timeout) = 0;
};

/// Asks the eligibility service which workers may run a step.
class eligibility_port {
 public:
  virtual ~eligibility_port() = default;
  /// @param cost expected time of the call, for choosing who asks.
  /// @param priority of the queue; calls of a lower number go first.
  /// @return the eligible ones of the workers, or no value if there was no
  /// answer in time.
  virtual core::awaitable<std::optional<std::vector<workflow::eligible_worker>>>
  Ask(workflow::task_id step, std::vector<core::worker_id> workers,
      core::milliseconds cost, std::int32_t priority) = 0;
};

/// The replicated log, as its leader uses it.
class journal {
 public:
  virtual ~journal() = default;
  /// Records events. They are applied to State() before it returns.
  /// @return not_leader if nothing was recorded, commit_unknown if that is
  /// open.
  virtual core::awaitable<core::outcome<void>> Record(
      std::vector<workflow::event> events) = 0;
  virtual const workflow::state& State() const = 0;
  /// @return the latest time at which this process is known to have led. A
  /// later leader begins after it.
  virtual core::time_point LeadershipConfirmedAt() const = 0;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_PORTS_H_
