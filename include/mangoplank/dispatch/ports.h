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
#include "mangoplank/workflow/orders.h"
#include "mangoplank/workflow/state.h"

/// External interfaces of the leader's dispatcher: orders to workers, the
/// eligibility service, and the replicated log.
namespace mangoplank::dispatch {

using workflow::ended_run;
using workflow::fence;
using workflow::no_answer;
using workflow::not_sent;
using workflow::order_done;
using workflow::order_refused;
using workflow::other_incarnation;
using workflow::poll_order;
using workflow::refusal;
using workflow::running_run;
using workflow::start_order;
using workflow::stop_order;
using workflow::worker_report;

/// Who sends an order to the worker.
enum class order_route : std::uint8_t {
  /// This process.
  kDirect,
  /// Another control process, if one is connected.
  kRelayed
};

struct worker_target {
  workflow::worker_key key;
  core::endpoint address;
  /// Data centre of the worker; a relay there is preferred.
  std::string data_centre;
  order_route route = order_route::kDirect;

  friend bool operator==(const worker_target&, const worker_target&) = default;
};

/// The relay was lost before it told the result: the order may have been
/// carried out, or may still be. It says nothing about the worker.
struct relay_lost {
  friend bool operator==(const relay_lost&, const relay_lost&) = default;
};

using order_result = std::variant<order_done, order_refused, other_incarnation,
                                  no_answer, not_sent, relay_lost>;

using poll_result =
    std::variant<worker_report, order_refused, other_incarnation, no_answer,
                 not_sent, relay_lost>;

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

/// Processes that can call the eligibility service, and those of them that have
/// no call; none while calls wait.
struct proxy_count {
  std::size_t idle = 0;
  std::size_t all = 0;

  friend bool operator==(const proxy_count&, const proxy_count&) = default;
};

/// Checks with the eligibility service which workers may run a step.
class eligibility_port {
 public:
  virtual ~eligibility_port() = default;
  virtual proxy_count CountProxies() const = 0;
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
