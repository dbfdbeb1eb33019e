#ifndef MANGOPLANK_SRC_DISPATCH_DISPATCHER_FIXTURE_H_
#define MANGOPLANK_SRC_DISPATCH_DISPATCHER_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "dispatch/fakes.h"
#include "mangoplank/dispatch/dispatcher.h"

/// A dispatcher of one term on a fake clock, with fakes of its interfaces.
namespace mangoplank::dispatch {

using std::chrono::milliseconds;
using std::chrono::seconds;
using workflow::run_end;

inline constexpr core::term kTerm = 4;
inline constexpr milliseconds kHeartbeatInterval{500};

/// Workers that refuse a number of stop orders as unhealthy, and to which a
/// number of orders is lost.
class refusing_workers : public fake_workers {
 public:
  using fake_workers::fake_workers;
  int stop_refusals = 0;
  /// Numbers of the next orders that get no answer.
  int lost_starts = 0;
  int lost_stops = 0;
  int lost_polls = 0;
  /// Number of the next starts that are answered after a delay.
  int slow_starts = 0;
  core::duration start_delay{0};
  /// Polls that acknowledge ends get no answer.
  bool loses_acknowledgements = false;
  /// Polls that go over a relay get no answer.
  bool loses_relayed_polls = false;

  core::awaitable<order_result> Start(worker_target to, start_order order,
                                      core::milliseconds timeout) override {
    if (lost_starts > 0) {
      --lost_starts;
      starts.push_back(order);
      co_await core::SleepFor(clock, timeout);
      co_return no_answer{};
    }
    const bool is_slow = slow_starts > 0;
    if (is_slow) --slow_starts;
    auto result = co_await fake_workers::Start(to, order, timeout);
    if (is_slow) co_await core::SleepFor(clock, start_delay);
    co_return result;
  }
  core::awaitable<order_result> Stop(worker_target to, stop_order order,
                                     core::milliseconds timeout) override {
    if (lost_stops > 0) {
      --lost_stops;
      stops.push_back(order);
      co_await core::SleepFor(clock, timeout);
      co_return no_answer{};
    }
    if (stop_refusals > 0) {
      --stop_refusals;
      stops.push_back(order);
      co_return order_refused{refusal::kUnhealthy};
    }
    co_return co_await fake_workers::Stop(to, order, timeout);
  }

  /// Network delay of the answers to polls without a wait.
  core::duration poll_delay{0};

  core::awaitable<poll_result> Poll(worker_target to, poll_order order,
                                    core::milliseconds timeout) override {
    const bool is_lost_acknowledgement =
        loses_acknowledgements && order.acknowledged_ends > 0;
    const bool is_lost_by_relay =
        loses_relayed_polls && to.route == order_route::kRelayed;
    const bool is_lost = is_lost_acknowledgement || is_lost_by_relay;
    if (is_lost || lost_polls > 0) {
      if (!is_lost) --lost_polls;
      polls.push_back(order);
      co_await core::SleepFor(clock, timeout);
      co_return no_answer{};
    }
    const bool is_delayed = order.wait.count() == 0 && poll_delay.count() > 0;
    auto result = co_await fake_workers::Poll(to, order, timeout);
    if (is_delayed) co_await core::SleepFor(clock, poll_delay);
    co_return result;
  }
};

class DispatcherTest : public testing::Test {
 protected:
  DispatcherTest() : event_log_(clock_), workers_(clock_) {
    clock_.AdvanceTo(core::time_point(std::chrono::hours(1)));
    queue_.name = "q";
    queue_.host = "host";
    queue_.path_prefix = "/q/";
    queue_.timeout_ms = 1'000;
    queue_.target_latency_ms = 1'000;
    queue_.pool = "pool";
    queue_.max_attempts = 2;
    queue_.stretch_factor = 2;
  }
  ~DispatcherTest() override {
    if (dispatcher_) dispatcher_->Stop();
    RunFor(seconds(3));
  }

  /// Declares the queues and starts the dispatcher of a term.
  void BeginTerm(core::term term = kTerm) {
    workflow::catalog catalog;
    catalog.version = 1;
    catalog.queues = {queue_, urgent_};
    catalog.pools = {{"pool", false, false}};
    event_log_.Apply(workflow::catalog_declared{catalog});
    dispatcher_ = std::make_unique<dispatcher>(
        settings_, term, context_.get_executor(), clock_, event_log_, workers_,
        eligibility_, registry_);
    event_log_.observer = dispatcher_.get();
    dispatcher_->Start();
    RunFor(milliseconds(50));
  }

  workflow::worker_key AddWorker(const std::string& id,
                                 core::wall_time_ms incarnation = 1,
                                 std::int64_t cpu = 8'000) {
    workflow::worker worker;
    worker.key = {{id}, incarnation};
    worker.pool = "pool";
    worker.capacity = {cpu, 100'000, 0};
    event_log_.Apply(workflow::worker_announced{worker});
    return worker.key;
  }

  void Submit(const std::string& id, std::vector<workflow::step> steps,
              const workflow::queue& queue) {
    workflow::job_spec spec;
    spec.id = id;
    spec.payload = "payload of " + id;
    spec.steps = std::move(steps);
    event_log_.Apply(workflow::job_accepted{spec, queue, clock_.WallNow()});
  }

  static workflow::step Step(std::uint32_t count, std::int64_t cpu) {
    workflow::step step;
    step.count = count;
    step.need = {cpu, 10, 0};
    step.estimate_ms = 1'000;
    return step;
  }
  static workflow::run_id RunOf(const std::string& job, std::uint32_t index,
                                std::uint32_t number) {
    return {{job, 0, 0, index}, number};
  }

  void RunFor(core::duration duration) {
    const core::time_point end = clock_.Now() + duration;
    while (true) {
      context_.restart();
      while (context_.poll() > 0) context_.restart();
      if (clock_.Now() >= end) return;
      clock_.AdvanceTo(std::min(end, clock_.NextTimer()));
    }
  }

  /// The same with heartbeats of all workers but `unreported_`.
  void RunWithHeartbeats(core::duration duration) {
    const core::time_point end = clock_.Now() + duration;
    while (clock_.Now() < end) {
      const auto workers = event_log_.state.Workers();
      for (const auto& [id, worker] : workers) {
        if (unreported_.contains(id)) continue;
        dispatcher_->OnHeartbeat(worker.key, workers_.ClockMs());
      }
      RunFor(std::min<core::duration>(kHeartbeatInterval, end - clock_.Now()));
    }
  }
  /// From now on the worker answers no order, also none that it has received.
  void Mute(const core::worker_id& worker) {
    workers_.silent.insert(worker);
    ++workers_.interruptions[worker];
  }

  /// @return the worker to which the run is assigned; an empty id if there is
  /// none.
  core::worker_id WorkerOf(const workflow::run_id& run) const {
    const workflow::worker_key* const worker =
        event_log_.state.FindAssignedWorker(run);
    return worker == nullptr ? core::worker_id{} : worker->id;
  }
  /// @return the number of a job's runs that were ordered, each of them perhaps
  /// several times.
  std::size_t CountStarts(const std::string& job) const {
    std::set<workflow::run_id> runs;
    for (const start_order& order : workers_.starts) {
      if (order.run.task.job == job) runs.insert(order.run);
    }
    return runs.size();
  }
  workflow::job_phase Phase(const std::string& job) const {
    return event_log_.state.FindJob(job)->phase;
  }

  dispatcher_settings settings_;
  boost::asio::io_context context_;
  core::fake_clock clock_;
  fake_event_log event_log_;
  refusing_workers workers_;
  fake_eligibility eligibility_;
  metrics::registry registry_;
  workflow::queue queue_;
  workflow::queue urgent_;
  std::unique_ptr<dispatcher> dispatcher_;
  /// Workers whose heartbeats don't arrive.
  std::set<core::worker_id> unreported_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_DISPATCHER_FIXTURE_H_
