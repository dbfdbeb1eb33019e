#ifndef MANGOPLANK_SRC_DISPATCH_FAKES_H_
#define MANGOPLANK_SRC_DISPATCH_FAKES_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mangoplank/dispatch/dispatcher.h"

/// Fakes at the interfaces of the dispatcher.
namespace mangoplank::dispatch {

/// Applies events after its latency, unless it has lost the lead.
class fake_journal : public journal {
 public:
  explicit fake_journal(core::fake_clock& c) : clock(c) {}

  core::awaitable<core::outcome<void>> Record(
      std::vector<workflow::event> events) override {
    if (lost) co_return core::failure(core::commit_unknown{});
    if (latency > core::duration(0)) co_await core::SleepFor(clock, latency);
    for (const workflow::event& e : events) Apply(e);
    co_return core::outcome<void>();
  }
  const workflow::state& State() const override { return state; }
  core::time_point LeadershipConfirmedAt() const override {
    return lead_confirmed_at.value_or(clock.Now());
  }
  void Apply(const workflow::event& e) {
    state.Apply(e);
    if (observer != nullptr) observer->OnEvent(e);
  }

  core::fake_clock& clock;
  workflow::state state;
  dispatcher* observer = nullptr;
  bool lost = false;
  core::duration latency{0};
  /// The present time if not set.
  std::optional<core::time_point> lead_confirmed_at;
};

/// Workers that do what they are told, and record it.
class fake_workers : public worker_port {
 public:
  struct place {
    std::map<workflow::run_id, std::string> running;
    std::vector<ended_run> ended;
    std::uint64_t next_end = 1;
    std::uint64_t told = 0;
    core::term term = 0;
    std::int64_t lease_until_ms = 0;
  };
  /// Decides what becomes of a start; by default it is carried out.
  std::function<order_result(const worker_target&, const start_order&)>
      on_start;
  std::map<core::worker_id, place> places;
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<look_order> looks;
  /// Workers that answer nothing.
  std::set<core::worker_id> silent;
  core::fake_clock& clock;
  double clock_rate = 1;

  explicit fake_workers(core::fake_clock& c) : clock(c) {}

  /// Reading of the workers' clocks, which may run slow.
  std::int64_t ClockMs() const {
    return static_cast<std::int64_t>(static_cast<double>(clock.WallNow()) *
                                     clock_rate);
  }

  void End(const core::worker_id& w, const workflow::run_id& run,
           workflow::run_end how, const std::string& checkpoint = "") {
    place& p = places[w];
    p.running.erase(run);
    p.ended.push_back({p.next_end++, run, how, checkpoint});
  }

  core::awaitable<order_result> Start(worker_target to, start_order o,
                                      core::milliseconds timeout) override {
    starts.push_back(o);
    if (silent.contains(to.key.id)) {
      co_await core::SleepFor(clock, timeout);
      co_return no_answer{};
    }
    if (on_start) co_return on_start(to, o);
    places[to.key.id].running[o.run] = o.checkpoint;
    co_return order_done{ClockMs()};
  }
  core::awaitable<order_result> Stop(worker_target to, stop_order o,
                                     core::milliseconds timeout) override {
    stops.push_back(o);
    if (silent.contains(to.key.id)) {
      co_await core::SleepFor(clock, timeout);
      co_return no_answer{};
    }
    if (places[to.key.id].running.contains(o.run)) {
      End(to.key.id, o.run, workflow::run_end::kStopped, "saved");
    }
    co_return order_done{ClockMs()};
  }
  core::awaitable<look_result> Look(worker_target to, look_order o,
                                    core::milliseconds timeout) override {
    looks.push_back(o);
    if (silent.contains(to.key.id)) {
      co_await core::SleepFor(clock, timeout);
      co_return no_answer{};
    }
    place& p = places[to.key.id];
    p.term = std::max(p.term, o.term);
    p.told = o.recorded_ends;
    if (o.lease_until_ms) p.lease_until_ms = *o.lease_until_ms;
    std::erase_if(p.ended, [&](const ended_run& e) {
      return e.number <= o.recorded_ends;
    });
    const core::time_point until = clock.Now() + o.wait;
    while (p.ended.empty() && clock.Now() < until) {
      co_await core::SleepFor(clock, core::milliseconds(20));
    }
    worker_report r;
    r.clock_ms = ClockMs();
    for (const auto& [run, checkpoint] : p.running) {
      r.running.push_back({run, checkpoint, 50});
    }
    r.ended = p.ended;
    co_return r;
  }
};

/// Finds the named workers eligible that are listed, or all.
class fake_eligibility : public eligibility_port {
 public:
  std::set<core::worker_id> eligible;
  std::vector<std::vector<core::worker_id>> asked;

  core::awaitable<std::optional<std::vector<workflow::eligible_worker>>> Ask(
      workflow::task_id, std::vector<core::worker_id> workers,
      core::milliseconds, std::int32_t) override {
    asked.push_back(workers);
    std::vector<workflow::eligible_worker> rows;
    for (const core::worker_id& w : workers) {
      if (eligible.contains(w)) rows.push_back({w, "ticket-" + w.v});
    }
    co_return rows;
  }
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_FAKES_H_
