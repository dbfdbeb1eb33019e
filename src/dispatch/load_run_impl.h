#ifndef MANGOPLANK_SRC_DISPATCH_LOAD_RUN_IMPL_H_
#define MANGOPLANK_SRC_DISPATCH_LOAD_RUN_IMPL_H_

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "dispatch/load_fixture.h"

namespace mangoplank::dispatch {

inline double ToMs(core::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Random sizes that depend on the seed alone.
class size_source {
 public:
  explicit size_source(std::uint32_t seed) : engine_(seed) {}

  double Uniform() {
    return static_cast<double>(engine_()) /
           (static_cast<double>(std::mt19937::max()) + 1);
  }
  double Exponential(double mean) { return -mean * std::log(1 - Uniform()); }
  double LogNormal(double mean, double spread, double most) {
    const double normal = std::sqrt(-2 * std::log(1 - Uniform())) *
                          std::cos(2 * 3.14159265358979 * Uniform());
    return std::min(most,
                    mean * std::exp(normal * spread - spread * spread / 2));
  }

 private:
  std::mt19937 engine_;
};

/// What a task of a submitted job will do.
struct task_plan {
  double run_ms = 0;
  bool fails_once = false;
};

struct job_plan {
  std::size_t profile = 0;
  core::time_point submitted_at;
  double weight = 0;
  double objective_ms = 0;
  std::optional<core::time_point> ended_at;
  /// By step and index.
  std::vector<std::vector<task_plan>> tasks;
};

/// State of a played load: the jobs in load_fixture.cpp, the workers in
/// load_workers_fixture.cpp.
struct load_run::impl : worker_port, eligibility_port {
  struct worker_state {
    core::resources used;
    struct run {
      core::resources need;
      core::time_point began;
    };
    std::map<workflow::run_id, run> running;
    std::vector<ended_run> ended;
    /// Highest run of each task that was stopped or has ended here.
    std::map<workflow::task_id, std::uint32_t> last_ended;
    std::int64_t lease_until_ms = 0;
    std::uint64_t next_end = 1;
    std::unique_ptr<core::event> has_ends;
    /// Factor of the run times of tasks that begin while workers are slow.
    double slowness = 1;
  };
  struct gang_state {
    std::vector<std::pair<workflow::run_id, core::worker_id>> members;
    bool broken = false;
  };

  explicit impl(load_settings load_settings)
      : settings(std::move(load_settings)),
        sizes(settings.seed),
        losses(settings.seed),
        event_log(clock),
        proxy_queue(context.get_executor(), clock) {}

  core::awaitable<order_result> Start(worker_target to, start_order order,
                                      core::milliseconds timeout) override;
  core::awaitable<order_result> Stop(worker_target to, stop_order order,
                                     core::milliseconds timeout) override;
  core::awaitable<poll_result> Poll(worker_target to, poll_order order,
                                    core::milliseconds timeout) override;
  proxy_count CountProxies() const override { return proxy_queue.Count(); }
  core::awaitable<std::optional<std::vector<workflow::eligible_worker>>> Check(
      workflow::task_id step, std::vector<core::worker_id> workers,
      core::milliseconds cost, std::int32_t priority) override;

  core::awaitable<void> SubmitJobs(std::size_t profile_index);
  core::awaitable<void> Submit(std::size_t profile_index);
  core::awaitable<void> SendHeartbeats();
  core::awaitable<void> TrackEnds();
  workflow::job_spec MakeJob(std::size_t profile_index, job_plan& plan);
  bool IsLate();
  core::awaitable<void> WaitForLateOrder();
  core::awaitable<void> StartLate(core::worker_id worker, start_order order);
  core::awaitable<void> StopLate(core::worker_id worker, workflow::run_id run);
  order_result CarryOut(const core::worker_id& worker,
                        const start_order& order);
  void CarryOutStop(const core::worker_id& worker, const workflow::run_id& run);
  void EndLeases();
  void Begin(const core::worker_id& worker, const workflow::run_id& run);
  double SlownessOf(const worker_state& worker) const;
  void BreakGang(const workflow::run_id& member);
  void SaveProgress(const workflow::run_id& run, core::duration worked);
  void EndAfter(double run_ms, const core::worker_id& worker,
                const workflow::run_id& run, workflow::run_end ending);
  void End(const core::worker_id& worker, const workflow::run_id& run,
           workflow::run_end ending);
  bool IsEligible(const workflow::task_id& step,
                  const core::worker_id& worker) const;
  void Spawn(core::awaitable<void> task) {
    boost::asio::co_spawn(context, std::move(task), boost::asio::detached);
  }
  void RunFor(core::duration duration);
  load_result Result();

  const load_settings settings;
  size_source sizes;
  size_source losses;
  boost::asio::io_context context;
  core::fake_clock clock;
  metrics::registry registry;
  fake_event_log event_log;
  eligibility_proxy_queue proxy_queue;
  std::map<proxy_id, core::time_point> proxy_busy_until;
  std::map<core::worker_id, worker_state> workers;
  std::map<std::string, job_plan> plans;
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, gang_state>
      gangs;
  /// Number of running runs by task, and the tasks that have succeeded.
  std::map<workflow::task_id, int> running_by_task;
  std::set<workflow::task_id> succeeded;
  std::size_t repeated_starts = 0;
  std::size_t overcommitted_starts = 0;
  std::unique_ptr<dispatcher> active;
  core::time_point traffic_end;
  std::size_t next_job = 0;
  std::size_t starts = 0;
  double used_cpu_ms = 0;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_LOAD_RUN_IMPL_H_
