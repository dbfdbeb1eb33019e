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

/// A small cell in fake time, for tests and the bench: control, workers and
/// the transport to them.
namespace mangoplank::calls::fakes {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

/// Runs tasks in fake time.
class fake_time {
 public:
  boost::asio::io_context io{1};
  core::fake_clock clock;

  void RunUntil(core::time_point t) {
    while (true) {
      io.restart();
      while (io.poll() > 0) {
      }
      if (clock.NextTimer() > t) break;
      clock.AdvanceTo(clock.NextTimer());
    }
    clock.AdvanceTo(t);
  }
  void RunFor(core::duration d) { RunUntil(clock.Now() + d); }
};

/// Faults of a link or process, as probabilities of each message.
struct fault_rates {
  double connect_refused = 0;
  /// The request is lost after its first byte was sent.
  double request_lost = 0;
  /// The worker runs the call and its answer is lost.
  double answer_lost = 0;
  /// Control: the change is made and its answer is lost.
  double commit_unknown = 0;
  /// Control: the change is not made.
  double unavailable = 0;
};

/// Control process with a replicated state of one copy.
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
      control::request r, core::time_point deadline) override {
    ++asked;
    const core::time_point due = clock_.Now() + latency / 2;
    co_await core::SleepUntil(clock_, std::min(due, deadline));
    if (is_down || due > deadline || Chance(rates.unavailable)) {
      co_return core::failure(core::unavailable{"no leader", 100ms});
    }
    core::outcome<control::answer> a = Answer(r);
    const core::time_point back = clock_.Now() + latency / 2;
    co_await core::SleepUntil(clock_, std::min(back, deadline));
    if (back > deadline || Chance(rates.commit_unknown)) {
      co_return core::failure(core::commit_unknown{});
    }
    co_return std::move(a);
  }

  fault_rates rates;
  core::duration latency = 4ms;
  bool is_down = false;
  std::uint64_t asked = 0;
  cell::state state;

 private:
  bool Chance(double p) { return std::bernoulli_distribution(p)(random_); }
  core::outcome<control::answer> Answer(const control::request& r) {
    if (const auto* get = std::get_if<control::call_request>(&r)) {
      const cell::call_record* const record = state.FindCall(get->key);
      if (record == nullptr) return control::answer(control::call_answer{});
      return control::answer(control::call_answer{*record});
    }
    const cell::command& c = std::get<control::propose_request>(r).command;
    const cell::effect e = state.Apply(state.Revision() + 1, c);
    if (!e.answer) return e.answer.error();
    return control::answer(*e.answer);
  }

  core::clock& clock_;
  std::mt19937_64 random_;
};

/// A worker that keeps to docs/worker_protocol.md.
struct fake_worker {
  cell::worker_record record;
  core::duration service_time = 10ms;
  std::map<std::string, core::duration> operation_time;
  std::int64_t running = 0;
  std::int64_t most_running = 0;
  std::uint64_t refused = 0;
  /// Requests that came while all slots were in use.
  std::uint64_t overcommitted = 0;
  /// Starts by body, over all incarnations.
  std::map<std::string, int> starts;
  struct once_entry {
    bool given_up = false;
    bool ended = false;
    std::string body;
  };
  std::map<std::string, once_entry> once;
  std::shared_ptr<core::event> changed;
};

/// Carries requests to fake workers, with latency and faults.
class fake_transport : public worker_transport {
 public:
  fake_transport(boost::asio::any_io_executor executor, core::clock& clock,
                 std::uint64_t seed)
      : executor_(std::move(executor)), clock_(clock), random_(seed) {}

  fake_worker& Add(cell::worker_record record) {
    fake_worker& w = workers[record.id];
    w.record = std::move(record);
    w.changed = std::make_shared<core::event>(executor_, clock_);
    return w;
  }
  /// The worker comes back under the same address as another incarnation.
  void Restart(const core::worker_id& id) {
    fake_worker& w = workers.at(id);
    ++w.record.incarnation;
    w.once.clear();
    w.running = 0;
    w.changed->NotifyAll();
  }

  core::awaitable<exchange_result> Exchange(
      worker_target to, worker_request r, core::time_point deadline) override {
    ++exchanges;
    Sign(to.worker.v);
    Sign(r.id);
    if (r.k == request_kind::kRun && clock_.Now() >= r.deadline) {
      ++sent_after_deadline;
    }
    const auto fault = [](fault_kind k, bool sent) {
      return exchange_result{exchange_fault{k, sent}, 100, 0};
    };
    if (Chance(rates.connect_refused)) {
      co_await core::SleepFor(clock_, latency);
      co_return fault(fault_kind::kConnectRefused, false);
    }
    if (Chance(rates.request_lost)) {
      co_await core::SleepUntil(clock_, deadline);
      co_return fault(fault_kind::kNoAnswer, true);
    }
    const core::time_point arrival = clock_.Now() + latency / 2;
    if (arrival >= deadline) {
      co_await core::SleepUntil(clock_, deadline);
      // The request is on its way and reaches the worker all the same.
      boost::asio::co_spawn(executor_, ArriveLate(to, r, arrival),
                            boost::asio::detached);
      co_return fault(fault_kind::kNoAnswer, true);
    }
    co_await core::SleepUntil(clock_, arrival);
    worker_reply reply = co_await Arrive(to, r, deadline);
    const core::time_point back = clock_.Now() + latency / 2;
    const bool lost = Chance(rates.answer_lost) || back >= deadline;
    co_await core::SleepUntil(clock_, lost ? deadline : back);
    if (lost) co_return fault(fault_kind::kNoAnswer, true);
    co_return exchange_result{std::move(reply), 100 + r.body.size(), 100};
  }

  std::map<core::worker_id, fake_worker> workers;
  fault_rates rates;
  core::duration latency = 2ms;
  std::uint64_t exchanges = 0;
  std::uint64_t sent_after_deadline = 0;
  /// FNV-1a hash of all routing decisions: time, worker and call.
  std::uint64_t signature = 14695981039346656037u;

 private:
  bool Chance(double p) {
    return p > 0 && std::bernoulli_distribution(p)(random_);
  }
  void Sign(const std::string& text) {
    const std::string timed =
        text + "@" + std::to_string(clock_.Now().time_since_epoch().count());
    for (const char c : timed) {
      signature = (signature ^ static_cast<unsigned char>(c)) * 1099511628211u;
    }
  }
  core::awaitable<void> ArriveLate(worker_target to, worker_request r,
                                   core::time_point arrival) {
    co_await core::SleepUntil(clock_, arrival);
    co_await Arrive(to, r, arrival + 10s);
  }
  core::awaitable<worker_reply> Arrive(worker_target to, worker_request r,
                                       core::time_point deadline) {
    fake_worker& w = workers.at(to.worker);
    if (w.record.incarnation != to.incarnation) {
      co_return worker_refused{refusal::kOtherIncarnation};
    }
    const auto known = w.once.find(r.id);
    if (r.k == request_kind::kGiveUp &&
        (known == w.once.end() || known->second.given_up)) {
      w.once[r.id].given_up = true;
      co_return worker_gave_up{};
    }
    if (known != w.once.end() && known->second.given_up) {
      co_return worker_refused{refusal::kGivenUp};
    }
    if (known != w.once.end() && known->second.ended) {
      co_return worker_done{known->second.body};
    }
    if (r.k == request_kind::kAsk && known == w.once.end()) {
      co_return worker_unknown_id{};
    }
    if (r.k != request_kind::kRun) co_return worker_running{};
    if (known == w.once.end() && w.running >= w.record.slots) {
      ++w.refused;
      ++w.overcommitted;
      co_return worker_refused{refusal::kNoSlot};
    }
    if (known == w.once.end()) {
      if (r.once) w.once[r.id] = {};
      boost::asio::co_spawn(executor_, RunCall(w, r, to.incarnation),
                            boost::asio::detached);
    }
    const auto done = [&] {
      return w.record.incarnation != to.incarnation || ended_.contains(r.id);
    };
    while (!done() && clock_.Now() < deadline) {
      co_await w.changed->WaitUntil(deadline);
    }
    if (w.record.incarnation != to.incarnation) {
      co_return exchange_fault{fault_kind::kClosed, true};
    }
    if (!ended_.contains(r.id)) {
      co_return exchange_fault{fault_kind::kNoAnswer, true};
    }
    co_return worker_done{"answer:" + r.body};
  }
  core::awaitable<void> RunCall(fake_worker& w, worker_request r,
                                core::incarnation incarnation) {
    ++w.running;
    w.most_running = std::max(w.most_running, w.running);
    ++w.starts[r.body];
    const auto it = w.operation_time.find(r.operation);
    const core::duration mean =
        it == w.operation_time.end() ? w.service_time : it->second;
    std::uniform_real_distribution<double> factor(0.5, 1.5);
    co_await core::SleepFor(clock_, std::chrono::duration_cast<core::duration>(
                                        mean * factor(random_)));
    if (w.record.incarnation != incarnation) co_return;
    --w.running;
    ended_.insert(r.id);
    if (r.once) w.once[r.id] = {false, true, "answer:" + r.body};
    w.changed->NotifyAll();
  }

  boost::asio::any_io_executor executor_;
  core::clock& clock_;
  std::mt19937_64 random_;
  std::set<std::string> ended_;
};

/// Workers of one service, and the view that an entry has of them.
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
    cell::object o;
    o.key = key;
    o.uid = ++next_uid_;
    o.spec = spec;
    services.push_back(key);
    Apply(cell::object_changed{o});
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
    PlaceOn(record);
    return transport.Add(record);
  }
  void PlaceOn(const cell::worker_record& record) {
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
  /// Restarts a worker and lets the view follow.
  void RestartWorker(const core::worker_id& id) {
    transport.Restart(id);
    const cell::worker_record& record = transport.workers.at(id).record;
    Apply(cell::worker_changed{record});
    PlaceOn(record);
  }
  void Apply(cell::change c) {
    control::feed_batch batch;
    batch.to = view.At() + 1;
    batch.changes.push_back(std::move(c));
    view.Apply(batch, time.clock.Now());
  }
  std::unique_ptr<dispatcher> MakeDispatcher(const std::string& name,
                                             const std::string& region,
                                             dispatcher_settings settings = {},
                                             core::incarnation i = 1) {
    return std::make_unique<dispatcher>(
        settings, time.io.get_executor(), time.clock, view, control, transport,
        metrics, core::member_id{name}, i, core::region_id{region}, 7);
  }
  /// Grants `slots` slots of each worker.
  void Grant(dispatcher& d, std::int64_t slots,
             core::milliseconds lease = 3'600'000ms) {
    control::slot_grants g;
    g.term = 1;
    g.sequence = ++sequence_;
    g.report_number = d.Report().number;
    g.lease = lease;
    for (const auto& [id, w] : transport.workers) {
      g.grants.push_back({id, w.record.incarnation, slots});
    }
    d.Grant(g);
  }
  call Call(const std::string& operation, const std::string& body,
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
  /// Starts a call; `end` is set when it has ended.
  void Start(runner& r, call c, std::shared_ptr<std::optional<call_end>> end) {
    boost::asio::co_spawn(time.io, Keep(r, std::move(c), std::move(end)),
                          boost::asio::detached);
  }
  std::shared_ptr<std::optional<call_end>> Start(runner& r, call c) {
    auto end = std::make_shared<std::optional<call_end>>();
    Start(r, std::move(c), end);
    return end;
  }
  /// Runs a call to its end.
  call_end Run(runner& r, call c) {
    const core::time_point until = c.deadline + 1ms;
    const auto end = Start(r, std::move(c));
    while (!*end && time.clock.Now() < until) time.RunFor(1ms);
    return end->value();
  }
  int Starts(const std::string& body) const {
    int n = 0;
    for (const auto& [id, w] : transport.workers) {
      const auto it = w.starts.find(body);
      if (it != w.starts.end()) n += it->second;
    }
    return n;
  }

  fake_time time;
  metrics::registry metrics;
  distribution::view view;
  fake_control control;
  fake_transport transport;
  std::vector<cell::object_key> services;

 private:
  static core::awaitable<void> Keep(
      runner& r, call c, std::shared_ptr<std::optional<call_end>> end) {
    *end = co_await r.Run(std::move(c));
  }
  core::revision next_uid_ = 0;
  std::uint32_t next_index_ = 0;
  std::uint64_t sequence_ = 0;
};

}  // namespace mangoplank::calls::fakes

#endif  // MANGOPLANK_CALLS_FAKES_H_
