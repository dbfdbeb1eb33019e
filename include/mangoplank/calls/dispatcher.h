#ifndef MANGOPLANK_CALLS_DISPATCHER_H_
#define MANGOPLANK_CALLS_DISPATCHER_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "mangoplank/calls/call.h"
#include "mangoplank/calls/worker_transport.h"
#include "mangoplank/control/client.h"
#include "mangoplank/control/messages.h"
#include "mangoplank/distribution/view.h"
#include "mangoplank/metrics/registry.h"

namespace mangoplank::calls {

struct dispatcher_settings {
  /// Waiting calls of one department and class (idempotent or once).
  std::size_t max_waiting = 256;
  /// An operation whose declared deadline is at least this long is bulk work.
  core::duration bulk_deadline = std::chrono::seconds(2);
  /// Share of the granted slots that bulk work may fill while quick calls come.
  double bulk_share = 0.75;
  /// Retries per first attempt, averaged.
  double retry_budget = 0.1;
  /// Hedges per first attempt, averaged.
  double hedge_budget = 0.05;
  core::duration backoff_base = std::chrono::milliseconds(10);
  core::duration backoff_cap = std::chrono::milliseconds(500);
  /// How long the outcome of a started once-call is sought after its deadline.
  core::duration resolve_timeout = std::chrono::seconds(30);
  /// Time between two questions about a running once-call.
  core::duration poll_interval = std::chrono::milliseconds(50);
  /// How long an intent of another entry may be unknown to its worker before
  /// the call is given up.
  core::duration cancel_after = std::chrono::milliseconds(250);
};

/// Routes calls to workers within the slot shares of this entry. Used from one
/// thread; its tasks run on `executor`.
class dispatcher : public runner {
 public:
  /// @param self own member id; with `incarnation` it marks intents.
  /// @param region own region, preferred for calls.
  /// @param seed of backoff jitter and tie-breaking.
  dispatcher(dispatcher_settings settings,
             boost::asio::any_io_executor executor, core::clock& clock,
             const distribution::view& view, control::client& control,
             worker_transport& transport, metrics::registry& metrics,
             core::member_id self, core::incarnation incarnation,
             core::region_id region, std::uint64_t seed);
  ~dispatcher() override;

  core::awaitable<call_end> Run(call c) override;
  core::awaitable<core::outcome<call_end>> Resolve(
      cell::call_key key, core::time_point deadline) override;

  /// Replaces the slot shares; a set older than the last is ignored.
  void ApplyGrants(const control::slot_grants& grants);
  /// @return demand since the last report, and the newest set of grants that
  /// the calls in flight keep to.
  control::slot_report BuildReport();
  /// Notified when a call waits for a service of which no slot is granted; a
  /// report sent then saves it the wait for the next regular one.
  core::event& ReportNeeded();
  /// While cut off, calls that have not been sent are refused.
  void SetCutOff(bool cut_off);
  /// Refuses new calls and waits until those accepted have ended.
  core::awaitable<void> Drain(core::time_point deadline);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_DISPATCHER_H_
