#ifndef MANGOPLANK_DISPATCH_DISPATCHER_H_
#define MANGOPLANK_DISPATCH_DISPATCHER_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "mangoplank/dispatch/ports.h"
#include "mangoplank/metrics/registry.h"

namespace mangoplank::dispatch {

struct dispatcher_settings {
  /// Time for which a worker goes on without contact with the leader.
  core::milliseconds lease{5'800};
  /// Longest lease that a worker grants, whatever an order says.
  core::milliseconds max_lease{6'000};
  /// Share by which a worker's clock may be slower than the leader's.
  double clock_drift = 0.03;
  /// Time since the last heartbeat after which a worker gets no new tasks.
  core::milliseconds worker_silence{3'500};
  /// Time for which records of ended jobs are kept.
  core::milliseconds ended_job_retention{125'000};
  /// Number of workers from which other control processes relay orders.
  std::size_t min_relayed_workers = 200;
  /// Expected run times are learned from finished runs; else the callers'
  /// estimates hold.
  bool learn_run_times = true;
  /// Workers on which tasks take longer than elsewhere get no new ones for a
  /// time.
  bool avoid_slow_workers = true;

  friend bool operator==(const dispatcher_settings&,
                         const dispatcher_settings&) = default;
};

/// Places the tasks of accepted jobs on workers and tracks them until they end.
/// Exists for as long as this process is the leader of one term.
class dispatcher {
 public:
  dispatcher(dispatcher_settings settings, core::term term,
             boost::asio::any_io_executor executor, core::clock& clock,
             event_log& event_log, worker_port& workers,
             eligibility_port& eligibility, metrics::registry& registry);
  ~dispatcher();

  void Start();
  /// Ends all coroutines; no order is sent after this.
  void Stop();

  /// Checks eligibility for the first steps of a job that is being recorded, so
  /// that the result is available when the job can start.
  /// Checks nothing beyond the tenant's cap.
  void Prepare(const workflow::job_spec& spec, const workflow::queue& queue,
               const tenancy::terms& tenant);
  /// Discards the results of Prepare for a job that was not recorded.
  void DiscardPrepared(const std::string& job);
  /// Called for each applied event.
  void OnEvent(const workflow::event& event);
  /// Called for each heartbeat; `clock_ms` is the worker's steady clock.
  void OnHeartbeat(const workflow::worker_key& worker, std::int64_t clock_ms);

  /// Called for each report of a worker that can't be registered.
  void OnWorkerRefused();

  /// Polls a registered incarnation of a worker.
  /// @return whether it answers and names itself: a report of a later one under
  /// the same id is then false; unavailable if the poll could not be sent.
  core::awaitable<core::outcome<bool>> ConfirmIncarnation(
      workflow::worker_key worker);
  /// Removes a registered incarnation that has answered no poll of this term
  /// and whose lease has ended, since an earlier one still reports.
  /// @return whether it was removed.
  core::awaitable<bool> RemoveUnconfirmed(workflow::worker_key worker);

  /// Stops the runs of a worker that leaves, and removes it once they have
  /// ended.
  /// @return whether the worker may end: false if some of its runs can still be
  /// stopped and the request should be repeated.
  core::awaitable<bool> Deregister(workflow::worker_key worker);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_DISPATCHER_H_
