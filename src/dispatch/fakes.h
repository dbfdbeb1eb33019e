#ifndef MANGOPLANK_SRC_DISPATCH_FAKES_H_
#define MANGOPLANK_SRC_DISPATCH_FAKES_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mangoplank/dispatch/dispatcher.h"

/// Fakes of the dispatcher's interfaces.
namespace mangoplank::dispatch {

/// Applies events after its latency, unless it has lost leadership.
class fake_event_log : public event_log {
 public:
  explicit fake_event_log(core::fake_clock& fake_clock) : clock(fake_clock) {}

  core::awaitable<core::outcome<void>> Record(
      std::vector<workflow::event> events) override {
    if (leadership_lost) co_return core::failure(core::commit_unknown{});
    if (latency > core::duration(0)) co_await core::SleepFor(clock, latency);
    for (const workflow::event& e : events) Apply(e);
    if (on_recorded) on_recorded();
    co_return core::outcome<void>();
  }
  const workflow::state& State() const override { return state; }
  core::time_point LeadershipConfirmedAt() const override {
    return leadership_confirmed_at.value_or(clock.Now());
  }
  void Apply(const workflow::event& event) {
    state.Apply(event);
    if (observer != nullptr) observer->OnEvent(event);
  }

  core::fake_clock& clock;
  workflow::state state;
  dispatcher* observer = nullptr;
  bool leadership_lost = false;
  core::duration latency{0};
  /// Called when recorded events are applied, before the recorder goes on.
  std::function<void()> on_recorded;
  /// The current time if not set.
  std::optional<core::time_point> leadership_confirmed_at;
};

/// Workers that carry out all orders and record them.
class fake_workers : public worker_port {
 public:
  struct worker_state {
    std::map<workflow::run_id, std::string> running;
    std::vector<ended_run> ended;
    std::uint64_t next_end = 1;
    std::uint64_t acknowledged_ends = 0;
    workflow::fence fence;
    std::int64_t lease_until_ms = 0;
  };
  /// Decides the result of a start; by default it is carried out.
  std::function<order_result(const worker_target&, const start_order&)>
      on_start;
  std::map<core::worker_id, worker_state> states;
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<poll_order> polls;
  /// Incarnations that the answers to polls name, for workers that name them. A
  /// poll of another incarnation counts as not answered.
  std::map<core::worker_id, core::wall_time_ms> named_incarnations;
  /// Workers that do not answer.
  std::set<core::worker_id> silent;
  /// Workers that do not receive stop orders.
  std::set<core::worker_id> unstoppable;
  /// Workers that have ended and at whose address another one answers.
  std::set<core::worker_id> replaced;
  /// Number of crashes and cuts; a poll that waits then gets no answer.
  std::map<core::worker_id, int> interruptions;
  core::fake_clock& clock;
  double clock_rate = 1;
  std::int64_t clock_offset_ms = 0;

  explicit fake_workers(core::fake_clock& fake_clock) : clock(fake_clock) {}

  /// @return the reading of the workers' clocks, which may run slow.
  std::int64_t ClockMs() const {
    return static_cast<std::int64_t>(static_cast<double>(clock.WallNow()) *
                                     clock_rate) +
           clock_offset_ms;
  }

  void End(const core::worker_id& worker, const workflow::run_id& run,
           workflow::run_end ending, const std::string& checkpoint = "") {
    worker_state& state = states[worker];
    state.running.erase(run);
    state.ended.push_back({state.next_end++, run, ending, checkpoint});
  }

  /// Carries out what a poll changes at the worker, also one that had no
  /// answer.
  /// @return false if the worker refuses the poll's fence.
  bool CarryOut(const core::worker_id& worker, const poll_order& order) {
    worker_state& state = states[worker];
    if (!AcceptsFence(state, order.fence)) return false;
    state.acknowledged_ends =
        std::max(state.acknowledged_ends, order.recorded_ends);
    if (order.lease_until_ms) state.lease_until_ms = *order.lease_until_ms;
    std::erase_if(state.ended, [&](const ended_run& end) {
      return end.number <= order.recorded_ends;
    });
    return true;
  }
  /// The same for a start.
  bool CarryOut(const core::worker_id& worker, const start_order& order) {
    worker_state& state = states[worker];
    if (!AcceptsFence(state, order.fence)) return false;
    state.running[order.run] = order.checkpoint;
    return true;
  }
  /// The worker crashes and is there again under its id: it knows nothing.
  void Restart(const core::worker_id& worker) {
    states[worker] = {};
    ++interruptions[worker];
  }

  core::awaitable<order_result> Start(worker_target to, start_order order,
                                      core::milliseconds timeout) override {
    starts.push_back(order);
    if (replaced.contains(to.key.id)) co_return other_incarnation{};
    if (silent.contains(to.key.id)) {
      co_await core::SleepFor(clock, timeout);
      co_return no_answer{};
    }
    if (on_start) co_return on_start(to, order);
    if (!CarryOut(to.key.id, order)) {
      co_return order_refused{refusal::kOutdatedFence};
    }
    co_return order_done{ClockMs()};
  }
  core::awaitable<order_result> Stop(worker_target to, stop_order order,
                                     core::milliseconds timeout) override {
    stops.push_back(order);
    if (replaced.contains(to.key.id)) co_return other_incarnation{};
    if (silent.contains(to.key.id) || unstoppable.contains(to.key.id)) {
      co_await core::SleepFor(clock, timeout);
      co_return no_answer{};
    }
    if (!AcceptsFence(states[to.key.id], order.fence)) {
      co_return order_refused{refusal::kOutdatedFence};
    }
    if (states[to.key.id].running.contains(order.run)) {
      End(to.key.id, order.run, workflow::run_end::kStopped, "saved");
    }
    co_return order_done{ClockMs()};
  }
  core::awaitable<poll_result> Poll(worker_target to, poll_order order,
                                    core::milliseconds timeout) override {
    polls.push_back(order);
    if (replaced.contains(to.key.id)) co_return other_incarnation{};
    if (silent.contains(to.key.id)) {
      co_await core::SleepFor(clock, timeout);
      co_return no_answer{};
    }
    const auto named = named_incarnations.find(to.key.id);
    const bool is_named = named != named_incarnations.end();
    if (is_named && named->second != to.key.incarnation) co_return no_answer{};
    const int interruptions_before = interruptions[to.key.id];
    worker_state& state = states[to.key.id];
    if (!CarryOut(to.key.id, order)) {
      co_return order_refused{refusal::kOutdatedFence};
    }
    const core::time_point until = clock.Now() + order.wait;
    while (state.ended.empty() && clock.Now() < until) {
      co_await core::SleepFor(clock, core::milliseconds(20));
      if (interruptions[to.key.id] != interruptions_before)
        co_return no_answer{};
    }
    worker_report report;
    report.clock_ms = ClockMs();
    for (const auto& [run, checkpoint] : state.running) {
      report.running.push_back({run, checkpoint, 50});
    }
    report.ended = state.ended;
    report.names_incarnation = is_named;
    co_return report;
  }

 private:
  /// A worker refuses orders with a fence below the highest that it has seen.
  static bool AcceptsFence(worker_state& state, workflow::fence fence) {
    if (fence < state.fence) return false;
    state.fence = fence;
    return true;
  }
};

/// Reports those of the given workers as eligible that are listed.
class fake_eligibility : public eligibility_port {
 public:
  /// Waits for the answer delay on this clock; answers at once without one.
  core::fake_clock* clock = nullptr;
  core::duration delay{0};
  std::set<core::worker_id> eligible;
  std::vector<std::vector<core::worker_id>> checks;
  proxy_count proxies{1'000, 1'000};

  proxy_count CountProxies() const override { return proxies; }

  core::awaitable<std::optional<std::vector<workflow::eligible_worker>>> Check(
      workflow::task_id, std::vector<core::worker_id> workers,
      core::milliseconds, std::int32_t) override {
    checks.push_back(workers);
    if (clock != nullptr) co_await core::SleepFor(*clock, delay);
    std::vector<workflow::eligible_worker> eligible_workers;
    for (const core::worker_id& worker : workers) {
      if (eligible.contains(worker)) {
        eligible_workers.push_back({worker, "ticket-" + worker.v});
      }
    }
    co_return eligible_workers;
  }
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_FAKES_H_
