#ifndef MANGOPLANK_CALLS_FAKES_H_
#define MANGOPLANK_CALLS_FAKES_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <random>
#include <set>

#include "mangoplank/calls/dispatcher.h"
#include "mangoplank/cell/state.h"

/// A small cell in simulated time, for tests and the benchmark: control,
/// workers and the transport to them.
namespace mangoplank::calls::fakes {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

/// Runs tasks in simulated time.
class fake_time {
 public:
  boost::asio::io_context io{1};
  core::fake_clock clock;

  void RunUntil(core::time_point until) {
    while (true) {
      io.restart();
      while (io.poll() > 0) {
      }
      if (clock.NextTimer() > until) break;
      clock.AdvanceTo(clock.NextTimer());
    }
    clock.AdvanceTo(until);
  }
  void RunFor(core::duration d) { RunUntil(clock.Now() + d); }
};

/// Probabilities of faults, per message.
struct fault_rates {
  double connect_refused = 0;
  /// The request is lost after its first byte was sent.
  double request_lost = 0;
  /// The worker runs the call but its answer is lost.
  double answer_lost = 0;
  /// Control: the change is committed but its answer is lost.
  double commit_unknown = 0;
  /// Control: the change is not committed.
  double unavailable = 0;
};

/// Control process with a single copy of the replicated state.
class fake_control : public control::client {
 public:
  fake_control(core::clock& clock, std::uint64_t seed)
      : clock_(clock), random_(seed) {}

  std::unique_ptr<control::feed> Subscribe(control::topic,
                                           const core::department_id&,
                                           core::revision) override {
    return nullptr;
  }
  core::awaitable<core::outcome<control::answer>> Request(
      control::request request, core::time_point deadline) override {
    ++requests_received;
    const core::time_point arrival = clock_.Now() + latency / 2;
    co_await core::SleepUntil(clock_, std::min(arrival, deadline));
    if (is_down || arrival > deadline || Draw(rates.unavailable)) {
      co_return core::failure(core::unavailable{"no leader", 100ms});
    }
    core::outcome<control::answer> answer = Answer(request);
    const core::time_point reply_at = clock_.Now() + latency / 2;
    co_await core::SleepUntil(clock_, std::min(reply_at, deadline));
    if (reply_at > deadline || Draw(rates.commit_unknown)) {
      co_return core::failure(core::commit_unknown{});
    }
    co_return std::move(answer);
  }

  fault_rates rates;
  core::duration latency = 4ms;
  bool is_down = false;
  std::uint64_t requests_received = 0;
  cell::state state;

 private:
  bool Draw(double probability) {
    return std::bernoulli_distribution(probability)(random_);
  }
  core::outcome<control::answer> Answer(const control::request& request) {
    if (const auto* query = std::get_if<control::call_request>(&request)) {
      const cell::call_record* const record = state.FindCall(query->key);
      if (record == nullptr) return control::answer(control::call_answer{});
      return control::answer(control::call_answer{*record});
    }
    const cell::command& command =
        std::get<control::propose_request>(request).command;
    const cell::effect effect = state.Apply(state.Revision() + 1, command);
    if (!effect.answer) return effect.answer.error();
    return control::answer(*effect.answer);
  }

  core::clock& clock_;
  std::mt19937_64 random_;
};

/// A worker that implements docs/worker_protocol.md.
struct fake_worker {
  cell::worker_record record;
  core::duration service_time = 10ms;
  std::map<std::string, core::duration> operation_times;
  std::int64_t running = 0;
  std::int64_t max_running = 0;
  std::uint64_t refused = 0;
  /// Requests that arrived while all slots were in use.
  std::uint64_t overcommitted = 0;
  /// Number of starts by body, over all incarnations.
  std::map<std::string, int> starts;
  struct recorded_call {
    bool cancelled = false;
    bool ended = false;
    std::string body;
  };
  std::map<std::string, recorded_call> recorded_calls;
  std::shared_ptr<core::event> changed;
};

/// Delivers requests to fake workers, with latency and faults.
class fake_transport : public worker_transport {
 public:
  fake_transport(boost::asio::any_io_executor executor, core::clock& clock,
                 std::uint64_t seed)
      : executor_(std::move(executor)), clock_(clock), random_(seed) {}

  fake_worker& Add(cell::worker_record record) {
    fake_worker& worker = workers[record.id];
    worker.record = std::move(record);
    worker.changed = std::make_shared<core::event>(executor_, clock_);
    return worker;
  }
  /// Restarts the worker at the same address, with a new incarnation.
  void Restart(const core::worker_id& id) {
    fake_worker& worker = workers.at(id);
    ++worker.record.incarnation;
    worker.recorded_calls.clear();
    worker.running = 0;
    worker.changed->NotifyAll();
  }

  core::awaitable<exchange_result> Exchange(
      worker_target to, worker_request request,
      core::time_point deadline) override {
    ++exchanges;
    HashDecision(to.worker.v);
    HashDecision(request.id);
    if (request.kind == request_kind::kRun &&
        clock_.Now() >= request.deadline) {
      ++sent_after_deadline;
    }
    const auto fault = [](fault_kind k, bool sent) {
      return exchange_result{exchange_fault{k, sent}, 100, 0};
    };
    if (Draw(rates.connect_refused)) {
      co_await core::SleepFor(clock_, latency);
      co_return fault(fault_kind::kConnectRefused, false);
    }
    if (Draw(rates.request_lost)) {
      co_await core::SleepUntil(clock_, deadline);
      co_return fault(fault_kind::kNoAnswer, true);
    }
    const core::time_point arrival = clock_.Now() + latency / 2;
    if (arrival >= deadline) {
      co_await core::SleepUntil(clock_, deadline);
      // The request is in transit and still reaches the worker.
      boost::asio::co_spawn(executor_, DeliverLate(to, request, arrival),
                            boost::asio::detached);
      co_return fault(fault_kind::kNoAnswer, true);
    }
    co_await core::SleepUntil(clock_, arrival);
    worker_reply reply = co_await Deliver(to, request, deadline);
    const core::time_point reply_at = clock_.Now() + latency / 2;
    const bool lost = Draw(rates.answer_lost) || reply_at >= deadline;
    co_await core::SleepUntil(clock_, lost ? deadline : reply_at);
    if (lost) co_return fault(fault_kind::kNoAnswer, true);
    co_return exchange_result{std::move(reply), 100 + request.body.size(), 100};
  }

  std::map<core::worker_id, fake_worker> workers;
  fault_rates rates;
  core::duration latency = 2ms;
  std::uint64_t exchanges = 0;
  std::uint64_t sent_after_deadline = 0;
  /// FNV-1a hash of all routing decisions: time, worker and call.
  std::uint64_t signature = 14695981039346656037u;

 private:
  bool Draw(double probability) {
    return probability > 0 && std::bernoulli_distribution(probability)(random_);
  }
  void HashDecision(const std::string& text) {
    const std::string timed =
        text + "@" + std::to_string(clock_.Now().time_since_epoch().count());
    for (const char c : timed) {
      signature = (signature ^ static_cast<unsigned char>(c)) * 1099511628211u;
    }
  }
  core::awaitable<void> DeliverLate(worker_target to, worker_request request,
                                    core::time_point arrival) {
    co_await core::SleepUntil(clock_, arrival);
    co_await Deliver(to, request, arrival + 10s);
  }
  core::awaitable<worker_reply> Deliver(worker_target to,
                                        worker_request request,
                                        core::time_point deadline) {
    fake_worker& worker = workers.at(to.worker);
    if (worker.record.incarnation != to.incarnation) {
      co_return worker_refused{refusal::kOtherIncarnation};
    }
    const auto known = worker.recorded_calls.find(request.id);
    if (request.kind == request_kind::kCancel &&
        (known == worker.recorded_calls.end() || known->second.cancelled)) {
      worker.recorded_calls[request.id].cancelled = true;
      co_return worker_cancelled{};
    }
    if (known != worker.recorded_calls.end() && known->second.cancelled) {
      co_return worker_refused{refusal::kCancelled};
    }
    if (known != worker.recorded_calls.end() && known->second.ended) {
      co_return worker_done{known->second.body};
    }
    if (request.kind == request_kind::kQuery &&
        known == worker.recorded_calls.end()) {
      co_return worker_unknown_id{};
    }
    if (request.kind != request_kind::kRun) co_return worker_running{};
    if (known == worker.recorded_calls.end() &&
        worker.running >= worker.record.slots) {
      ++worker.refused;
      ++worker.overcommitted;
      co_return worker_refused{refusal::kNoSlot};
    }
    if (known == worker.recorded_calls.end()) {
      if (request.at_most_once) worker.recorded_calls[request.id] = {};
      boost::asio::co_spawn(executor_, RunCall(worker, request, to.incarnation),
                            boost::asio::detached);
    }
    const auto done = [&] {
      return worker.record.incarnation != to.incarnation ||
             ended_.contains(request.id);
    };
    while (!done() && clock_.Now() < deadline) {
      co_await worker.changed->WaitUntil(deadline);
    }
    if (worker.record.incarnation != to.incarnation) {
      co_return exchange_fault{fault_kind::kClosed, true};
    }
    if (!ended_.contains(request.id)) {
      co_return exchange_fault{fault_kind::kNoAnswer, true};
    }
    co_return worker_done{"answer:" + request.body};
  }
  core::awaitable<void> RunCall(fake_worker& worker, worker_request request,
                                core::incarnation incarnation) {
    ++worker.running;
    worker.max_running = std::max(worker.max_running, worker.running);
    ++worker.starts[request.body];
    const auto it = worker.operation_times.find(request.operation);
    const core::duration mean =
        it == worker.operation_times.end() ? worker.service_time : it->second;
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    co_await core::SleepFor(clock_, std::chrono::duration_cast<core::duration>(
                                        mean * factor(random_)));
    if (worker.record.incarnation != incarnation) co_return;
    --worker.running;
    ended_.insert(request.id);
    if (request.at_most_once)
      worker.recorded_calls[request.id] = {false, true,
                                           "answer:" + request.body};
    worker.changed->NotifyAll();
  }

  boost::asio::any_io_executor executor_;
  core::clock& clock_;
  std::mt19937_64 random_;
  std::set<std::string> ended_;
};

/// Workers and services, and the view that an entry has of them.
class fake_cell {
 public:
  explicit fake_cell(std::uint64_t seed)
      : control(time.clock, seed + 1),
        transport(time.io.get_executor(), time.clock, seed + 2) {
    AddService("kitchens", "meals");
  }

  void AddService(const std::string& department, const std::string& name) {
    cell::service_spec spec;
    spec.operations = {{"check", true, 300ms},
                       {"book", false, 1000ms},
                       {"plan", true, 10'000ms}};
    const cell::object_key key{cell::object_kind::kService, {department}, name};
    cell::object object;
    object.key = key;
    object.uid = ++next_uid_;
    object.spec = spec;
    services.push_back(key);
    Apply(cell::object_changed{object});
  }
  /// Adds a worker that runs all services.
  fake_worker& AddWorker(const std::string& name, const std::string& region,
                         std::int64_t slots) {
    cell::worker_record record;
    record.id = {name};
    record.incarnation = 1;
    record.address = {"127.0.0.1", 1};
    record.location.region = {region};
    record.slots = slots;
    Apply(cell::worker_changed{record});
    PlaceTasks(record);
    return transport.Add(record);
  }
  void PlaceTasks(const cell::worker_record& record) {
    for (std::size_t i = 0; i < services.size(); ++i) {
      cell::task_record task;
      task.id = {i + 1, ++next_index_};
      task.job = services[i];
      task.phase = cell::task_phase::kRunning;
      task.worker = record.id;
      task.worker_incarnation = record.incarnation;
      Apply(cell::task_changed{task});
    }
  }
  /// Restarts a worker and updates the view.
  void RestartWorker(const core::worker_id& id) {
    transport.Restart(id);
    const cell::worker_record& record = transport.workers.at(id).record;
    Apply(cell::worker_changed{record});
    PlaceTasks(record);
  }
  void Apply(cell::change c) {
    control::feed_batch batch;
    batch.to = view.Revision() + 1;
    batch.changes.push_back(std::move(c));
    view.Apply(batch, time.clock.Now());
  }
  std::unique_ptr<dispatcher> MakeDispatcher(
      const std::string& name, const std::string& region,
      dispatcher_settings settings = {}, core::incarnation incarnation = 1) {
    return std::make_unique<dispatcher>(
        settings, time.io.get_executor(), time.clock, view, control, transport,
        metrics, core::member_id{name}, incarnation, core::region_id{region},
        7);
  }
  /// Grants `slots` slots of each worker.
  void GrantSlots(dispatcher& d, std::int64_t slots,
                  core::milliseconds lease = 3'600'000ms) {
    control::slot_grants grants;
    grants.term = 1;
    grants.sequence = ++sequence_;
    grants.report_number = d.BuildReport().number;
    grants.lease = lease;
    for (const auto& [id, w] : transport.workers) {
      grants.grants.push_back({id, w.record.incarnation, slots});
    }
    d.ApplyGrants(grants);
  }
  call MakeCall(const std::string& operation, const std::string& body,
                core::duration timeout, const std::string& key = "") {
    call c;
    c.department = {"kitchens"};
    c.service = "meals";
    c.operation = operation;
    c.idempotency_key = key;
    c.body = body;
    c.deadline = time.clock.Now() + timeout;
    return c;
  }
  /// Starts a call; sets `end` when the call has ended.
  void Start(runner& calls_runner, call c,
             std::shared_ptr<std::optional<call_end>> end) {
    boost::asio::co_spawn(time.io,
                          StoreEnd(calls_runner, std::move(c), std::move(end)),
                          boost::asio::detached);
  }
  std::shared_ptr<std::optional<call_end>> Start(runner& calls_runner, call c) {
    auto end = std::make_shared<std::optional<call_end>>();
    Start(calls_runner, std::move(c), end);
    return end;
  }
  /// Runs a call to its end.
  call_end Run(runner& calls_runner, call c) {
    const core::time_point until = c.deadline + 1ms;
    const auto end = Start(calls_runner, std::move(c));
    while (!*end && time.clock.Now() < until) time.RunFor(1ms);
    return end->value();
  }
  int CountStarts(const std::string& body) const {
    int starts = 0;
    for (const auto& [id, worker] : transport.workers) {
      const auto it = worker.starts.find(body);
      if (it != worker.starts.end()) starts += it->second;
    }
    return starts;
  }

  fake_time time;
  metrics::registry metrics;
  distribution::view view;
  fake_control control;
  fake_transport transport;
  std::vector<cell::object_key> services;

 private:
  static core::awaitable<void> StoreEnd(
      runner& calls_runner, call c,
      std::shared_ptr<std::optional<call_end>> end) {
    *end = co_await calls_runner.Run(std::move(c));
  }
  core::revision next_uid_ = 0;
  std::uint32_t next_index_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace mangoplank::calls::fakes

#endif  // MANGOPLANK_CALLS_FAKES_H_
