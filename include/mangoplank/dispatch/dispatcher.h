#ifndef MANGOPLANK_DISPATCH_DISPATCHER_H_
#define MANGOPLANK_DISPATCH_DISPATCHER_H_

#include <boost/asio/any_io_executor.hpp>
#include <memory>

#include "mangoplank/dispatch/ports.h"
#include "mangoplank/metrics/registry.h"

namespace mangoplank::dispatch {

struct dispatcher_settings {
  /// Time for which a worker goes on without hearing from the leader.
  core::milliseconds lease{5'800};
  /// Longest lease that a worker grants, whatever an order says.
  core::milliseconds max_lease{6'000};
  /// A worker's clock may be slower than ours by this share.
  double clock_drift = 0.03;
  /// Silence after which a worker gets no new tasks.
  core::milliseconds worker_silence{3'500};
  /// Time that records of ended jobs are kept.
  core::milliseconds keep_ended{125'000};

  friend bool operator==(const dispatcher_settings&,
                         const dispatcher_settings&) = default;
};

/// Places the tasks of accepted jobs on workers and follows them to their ends.
/// Lives as long as this process leads in one term.
class dispatcher {
 public:
  dispatcher(dispatcher_settings settings, core::term term,
             boost::asio::any_io_executor executor, core::clock& clock,
             journal& log, worker_port& workers, eligibility_port& eligibility,
             metrics::registry& registry);
  ~dispatcher();

  void Start();
  /// Ends all tasks; no order is sent from then on.
  void Stop();

  /// Asks about the first steps of a job that is being recorded, so that the
  /// answer is there when it can start.
  void Prepare(const workflow::job_spec& spec, const workflow::queue& q);
  /// The job was not recorded after all.
  void Abandon(const std::string& job);
  /// Hears of each applied event.
  void OnEvent(const workflow::event& e);
  /// A worker's own report came in.
  void OnHeard(const workflow::worker_key& key, std::int64_t clock_ms);

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_DISPATCHER_H_
