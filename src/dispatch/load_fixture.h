#ifndef MANGOPLANK_SRC_DISPATCH_LOAD_FIXTURE_H_
#define MANGOPLANK_SRC_DISPATCH_LOAD_FIXTURE_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "dispatch/eligibility_proxy_queue.h"
#include "dispatch/fakes.h"

/// A dispatcher under load, with fakes of its interfaces on a fake clock:
/// workers that run tasks, an eligibility service with proxies, and callers
/// that submit jobs of three queues.
namespace mangoplank::dispatch {

/// One queue of callers. Sizes of jobs are log-normal around their means.
struct load_profile {
  workflow::queue queue;
  double jobs_per_s = 0;
  /// Benefit of a job of mean size that is on time.
  double benefit = 1;
  double mean_steps = 1;
  double mean_tasks = 1;
  double mean_run_ms = 1'000;
  /// Standard deviation of the logarithm of the callers' estimates.
  double estimate_spread = 0.4;
  /// Factor on all of the estimates.
  double estimate_factor = 1;
  double mean_cpu_milli = 1'000;
  double mean_memory_mib = 1'000;
  /// Share of the jobs whose tasks start together.
  double gang_share = 0;
  /// Share of the workers that may run a step.
  double eligible_share = 1;
  double failure_share = 0;
  bool checkpointing = false;
  /// Factor on the rate while the burst lasts.
  double burst = 1;
  core::milliseconds burst_begin{0};
  core::milliseconds burst_end{0};
};

struct load_settings {
  std::uint32_t seed = 1;
  std::size_t workers = 350;
  core::resources capacity{32'000, 131'072, 0};
  std::size_t proxies = 43;
  core::milliseconds traffic_time{34'000};
  /// Time after the traffic in which jobs may still end.
  core::milliseconds finish_time{14'000};
  /// One way between the leader and a worker or a proxy, on average.
  core::milliseconds network_delay{6};
  core::milliseconds commit_time{24};
  /// Share of the orders to workers that get no answer and are carried out
  /// seconds later, after newer ones.
  double late_order_share = 0;
  /// Share of the workers on which tasks take longer, and by what factor.
  double slow_share = 0;
  double slow_factor = 1;
  /// Time within the traffic during which they are slow.
  core::milliseconds slow_begin{0};
  core::milliseconds slow_end{3'600'000};
  dispatcher_settings dispatcher;
  std::vector<load_profile> profiles;
};

/// The load of a cell of 350 workers at 81% of its capacity, with bursts.
load_settings MakeTallyLoad();

/// @return the same load on a cell of another size.
load_settings Resize(load_settings load, std::size_t workers);

/// Benefit that the jobs of a queue earned, as a share of what was possible.
struct load_result {
  std::vector<double> earned_share;
  double total_share = 0;
  /// Share of the processors that ran tasks during the traffic.
  double utilization = 0;
  std::size_t starts = 0;
  std::size_t jobs = 0;
  /// Starts of a task that was running, or had succeeded, at that time.
  std::size_t repeated_starts = 0;
  /// Starts that took a worker beyond its capacity.
  std::size_t overcommitted_starts = 0;
  /// Jobs that have ended.
  std::size_t ended_jobs = 0;
  std::size_t failed_jobs = 0;
  /// Processor time of the rounds of placement.
  double round_cpu_s = 0;
};

/// Plays the load against a dispatcher.
class load_run {
 public:
  explicit load_run(load_settings settings);
  ~load_run();
  load_run(const load_run&) = delete;
  load_run& operator=(const load_run&) = delete;

  load_result Play();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_LOAD_FIXTURE_H_
