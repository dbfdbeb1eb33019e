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
  /// Queued calls per department and class (idempotent or at-most-once).
  std::size_t max_waiting = 256;
  /// Operations with a declared deadline of at least this are bulk work.
  core::duration bulk_deadline = std::chrono::seconds(2);
  /// Share of the granted slots for bulk work while quick calls arrive.
  double bulk_share = 0.75;
  /// Average number of retries per first attempt.
  double retry_budget = 0.1;
  /// Average number of hedged attempts per first attempt.
  double hedge_budget = 0.05;
  core::duration backoff_base = std::chrono::milliseconds(10);
  core::duration backoff_cap = std::chrono::milliseconds(500);
  /// Time past the deadline for which a started at-most-once call is polled.
  core::duration resolve_timeout = std::chrono::seconds(30);
  /// Initial time between two polls of a running at-most-once call.
  core::duration poll_interval = std::chrono::milliseconds(50);
  /// Time for which a worker may not know an intent of another entry before
  /// the call is cancelled.
  core::duration cancel_after = std::chrono::milliseconds(250);
};

/// Routes calls to workers within the slot shares of this entry. Used from one
/// thread; its tasks run on `executor`.
class dispatcher : public runner {
 public:
  /// @param self own member id; identifies intents, with `incarnation`.
  /// @param region own region, preferred for calls.
  /// @param seed seed for backoff jitter and tie-breaking.
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

  /// Replaces the slot grants; a set older than the current is ignored.
  void ApplyGrants(const control::slot_grants& grants);
  /// @return the demand since the last report, and the newest grant set that
  /// the calls in flight do not exceed.
  control::slot_report BuildReport();
  /// Notified when a call is queued for a service without a granted slot. An
  /// immediate report spares the call the wait for the next periodic one.
  core::event& ReportNeeded();
  /// While cut off from control, calls that have not been sent are refused.
  void SetCutOff(bool cut_off);
  /// Refuses new calls and waits until all accepted calls have ended.
  core::awaitable<void> Drain(core::time_point deadline);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_DISPATCHER_H_
