#ifndef MANGOPLANK_WORKFLOW_ORDERS_H_
#define MANGOPLANK_WORKFLOW_ORDERS_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mangoplank/workflow/types.h"

/// Orders of the leader to workers, and their results. A worker gets them from
/// the leader or from another control process that relays them.
namespace mangoplank::workflow {

/// Orders everything that is sent to one worker: a worker refuses an order with
/// a lower fence than the highest that it has seen. A term alone would not do:
/// an order may be carried out seconds later, by the next incarnation of its
/// worker, for which the numbers and the lease in it mean something else.
struct fence {
  std::uint64_t v = 0;

  friend auto operator<=>(const fence&, const fence&) = default;
};

/// Fences of one term. With 2^33 terms they stay below 2^53, the largest whole
/// number that every JSON reader holds exactly.
inline constexpr std::uint64_t kFencesPerTerm = std::uint64_t{1} << 20;

/// @param number of the incarnation in the order in which the leader of the
/// term came to know of them. All above the last one of a term share its fence,
/// so that none reaches into the next term.
constexpr fence MakeFence(core::term term, std::uint64_t number) {
  return {term * kFencesPerTerm + std::min(number, kFencesPerTerm - 1)};
}

/// Order to start a run.
struct start_order {
  workflow::fence fence;
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
  workflow::fence fence;
  workflow::run_id run;

  friend bool operator==(const stop_order&, const stop_order&) = default;
};

/// Renews the lease and reads which runs are active and which have ended.
struct poll_order {
  workflow::fence fence;
  /// Ends up to this number are recorded, and the worker discards them; 0 for
  /// none.
  std::uint64_t recorded_ends = 0;
  /// End of the lease on the worker's own clock; without one the lease stays.
  std::optional<std::int64_t> lease_until_ms;
  /// The worker answers when a run ends, or after this time.
  core::milliseconds wait{0};

  friend bool operator==(const poll_order&, const poll_order&) = default;
};

enum class refusal : std::uint8_t {
  /// The worker has seen a higher fence.
  kOutdatedFence,
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
  constexpr std::string_view kNames[] = {
      "outdated_fence", "old_run", "too_late", "no_room",
      "ticket",         "invalid", "unhealthy"};
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
/// The order was not sent: the sending process had no connection for it, or the
/// order had waited too long. It says nothing about the worker.
struct not_sent {
  friend bool operator==(const not_sent&, const not_sent&) = default;
};

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

using order = std::variant<start_order, stop_order, poll_order>;

/// What the process that sends an order to a worker learns of it.
using order_answer = std::variant<order_done, order_refused, other_incarnation,
                                  no_answer, not_sent, worker_report>;

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_ORDERS_H_
