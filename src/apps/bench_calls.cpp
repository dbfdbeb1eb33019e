#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <iostream>

#include "bench.h"
#include "calls/fakes.h"
#include "mangoplank/calls/slot_allocator.h"

namespace mangoplank::bench {

namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
namespace asio = boost::asio;
using calls::call;
using calls::call_end;
using cell::ending;

constexpr int kWorkers = 10;
constexpr int kEntries = 4;
constexpr std::int64_t kSlots = 8;
constexpr core::duration kCheckTime = 10ms;
constexpr core::duration kPlanTime = 200ms;
constexpr core::duration kReportEvery = 500ms;
/// Calls asked before this time are not measured: shares follow the demand
/// within about ten reports.
constexpr core::duration kWarmUp = 6s;
constexpr core::duration kMeasured = 3s;
/// Calls per second that all slots serve; the way to a worker and back holds
/// a slot of the entry as well.
constexpr double kCapacity = kWorkers * kSlots / 0.012;

const cell::object_key kService{
    cell::object_kind::kService, {"kitchens"}, "meals"};

/// What callers of one operation saw in the measured time.
struct seen {
  std::uint64_t asked = 0;
  std::uint64_t done = 0;
  /// Calls done within the measured time, whenever they were asked.
  std::uint64_t ended_in_time = 0;
  std::vector<double> milliseconds;

  double Quantile(double q) {
    if (milliseconds.empty()) return 0;
    std::sort(milliseconds.begin(), milliseconds.end());
    const auto last = static_cast<double>(milliseconds.size() - 1);
    return milliseconds[static_cast<std::size_t>(q * last)];
  }
  double Goodput() const {
    return static_cast<double>(ended_in_time) /
           std::chrono::duration<double>(kMeasured).count();
  }
};

/// The alternative without leases: the less loaded of two random workers, by
/// the entry's own calls; a worker that is full refuses and another pair is
/// drawn.
class two_choices : public calls::runner {
 public:
  two_choices(const distribution::view& view,
              calls::worker_transport& transport, core::clock& clock,
              std::string name, std::uint64_t seed)
      : view_(view),
        transport_(transport),
        clock_(clock),
        name_(std::move(name)),
        random_(seed) {}

  core::awaitable<call_end> Run(call c) override {
    calls::worker_request r;
    r.id = name_ + "-" + std::to_string(++next_id_);
    r.department = c.department;
    r.service = c.service;
    r.operation = c.operation;
    r.body = c.body;
    r.deadline = c.deadline;
    while (clock_.Now() < c.deadline) {
      const auto workers = view_.FindWorkersOf(kService);
      const cell::worker_record* a = workers[random_() % workers.size()];
      const cell::worker_record* b = workers[random_() % workers.size()];
      const cell::worker_record* w =
          in_flight_[a->id] <= in_flight_[b->id] ? a : b;
      const calls::worker_target to{w->id, w->incarnation, w->address};
      ++in_flight_[to.worker];
      const auto result = co_await transport_.Exchange(to, r, c.deadline);
      --in_flight_[to.worker];
      if (const auto* done = std::get_if<calls::worker_done>(&result.reply)) {
        co_return call_end{ending::kDone, calls::end_reason::kNone, done->body,
                           std::nullopt, std::nullopt};
      }
    }
    co_return call_end{ending::kFailed, calls::end_reason::kDeadline, "",
                       std::nullopt, std::nullopt};
  }
  core::awaitable<core::outcome<call_end>> Resolve(cell::call_key,
                                                   core::time_point) override {
    co_return core::failure(core::not_found{});
  }

 private:
  const distribution::view& view_;
  calls::worker_transport& transport_;
  core::clock& clock_;
  std::string name_;
  std::mt19937_64 random_;
  std::uint64_t next_id_ = 0;
  std::map<core::worker_id, int> in_flight_;
};

enum class routing { kShares, kTwoChoices };

/// Entries, workers and the slot allocator of a leader, in fake time.
class bench_cell {
 public:
  explicit bench_cell(routing how, std::uint64_t seed)
      : control_(time_.clock, seed),
        transport_(time_.io.get_executor(), time_.clock, seed + 1),
        allocator_({}),
        random_(seed + 2) {
    Declare();
    allocator_.Reset(1, time_.clock.Now() - 1h);
    for (int i = 0; i < kEntries; ++i) AddEntry(how, i);
    time_.RunFor(1s);
  }

  /// Adds open-loop arrivals of an operation, spread unevenly over entries.
  void Load(const std::string& operation, double per_second,
            core::duration deadline) {
    double weights = 0;
    for (int i = 0; i < kEntries; ++i) weights += i + 1;
    for (int i = 0; i < kEntries; ++i) {
      asio::co_spawn(time_.io,
                     Arrivals(this, i, operation,
                              per_second * (i + 1) / weights, deadline),
                     asio::detached);
    }
  }
  void Run() {
    measure_from_ = time_.clock.Now() + kWarmUp;
    measure_until_ = measure_from_ + kMeasured;
    time_.RunUntil(measure_until_ + 1s);
  }
  seen& Seen(const std::string& operation) { return seen_[operation]; }
  std::uint64_t Overcommitted() const {
    std::uint64_t n = 0;
    for (const auto& [id, w] : transport_.workers) n += w.overcommitted;
    return n;
  }
  std::uint64_t Signature() const { return transport_.signature; }
  std::uint64_t Asked() const { return asked_; }

 private:
  void Do(cell::command_body body) {
    const cell::effect e =
        control_.state.Apply(control_.state.Revision() + 1, {0, {}, {}, body});
    if (!e.answer) {
      std::cerr << core::Describe(e.answer.error()) << "\n";
      std::exit(1);
    }
    control::feed_batch batch;
    batch.to = control_.state.Revision();
    batch.changes = e.changes;
    view_.Apply(batch, time_.clock.Now());
  }
  void Declare() {
    Do(cell::put_object{{cell::object_kind::kDepartment, {}, "kitchens"},
                        cell::department_spec{}});
    cell::service_spec spec;
    spec.replicas = kWorkers;
    spec.need = {1000, 512, 0};
    spec.operations = {{"check", true, 300ms}, {"plan", true, 10'000ms}};
    Do(cell::put_object{kService, spec});
    for (int i = 0; i < kWorkers; ++i) {
      cell::worker_record w;
      w.id = {"w" + std::to_string(i)};
      w.incarnation = 1;
      w.location.region = {"kalisz"};
      w.slots = kSlots;
      w.capacity = {64'000, 131'072, 0};
      Do(cell::register_worker{w});
      calls::fakes::fake_worker& fake = transport_.Add(w);
      fake.operation_times = {{"check", kCheckTime}, {"plan", kPlanTime}};
      const cell::task_id task{control_.state.Find(kService)->uid,
                               static_cast<std::uint32_t>(i)};
      Do(cell::place_tasks{{{{task, w.id, 1}}}});
      Do(cell::report_tasks{{{task, 1, cell::task_phase::kRunning, ""}}});
    }
  }
  void AddEntry(routing how, int i) {
    const std::string name = "e" + std::to_string(i);
    const auto seed = static_cast<std::uint64_t>(i + 1);
    if (how == routing::kTwoChoices) {
      runners_.push_back(std::make_unique<two_choices>(
          view_, transport_, time_.clock, name, seed));
      return;
    }
    auto d = std::make_unique<calls::dispatcher>(
        calls::dispatcher_settings{}, time_.io.get_executor(), time_.clock,
        view_, control_, transport_, metrics_, core::member_id{name}, 1,
        core::region_id{"kalisz"}, seed);
    asio::co_spawn(time_.io, Reports(this, d.get(), name), asio::detached);
    runners_.push_back(std::move(d));
  }
  static core::awaitable<void> Reports(bench_cell* self, calls::dispatcher* d,
                                       std::string name) {
    while (true) {
      const control::slot_report report = d->BuildReport();
      co_await core::SleepFor(self->time_.clock, 8ms);
      const control::slot_grants grants = self->allocator_.OnReport(
          {name}, {"kalisz"}, report, self->control_.state,
          self->time_.clock.Now());
      co_await core::SleepFor(self->time_.clock, 8ms);
      d->ApplyGrants(grants);
      co_await core::SleepFor(self->time_.clock, kReportEvery);
    }
  }
  static core::awaitable<void> Arrivals(bench_cell* self, int entry,
                                        std::string operation, double rate,
                                        core::duration deadline) {
    std::exponential_distribution<double> gap(rate);
    while (true) {
      co_await core::SleepFor(
          self->time_.clock,
          std::chrono::duration_cast<core::duration>(
              std::chrono::duration<double>(gap(self->random_))));
      asio::co_spawn(self->time_.io, One(self, entry, operation, deadline),
                     asio::detached);
    }
  }
  static core::awaitable<void> One(bench_cell* self, int entry,
                                   std::string operation,
                                   core::duration deadline) {
    const core::time_point start = self->time_.clock.Now();
    call c;
    c.department = kService.department;
    c.service = kService.name;
    c.operation = operation;
    c.body = std::to_string(++self->asked_);
    c.deadline = start + deadline;
    const call_end end =
        co_await self->runners_[static_cast<std::size_t>(entry)]->Run(c);
    seen& s = self->seen_[operation];
    const auto is_measured = [&](core::time_point t) {
      return t >= self->measure_from_ && t < self->measure_until_;
    };
    const bool done = end.ending == ending::kDone;
    if (done && is_measured(self->time_.clock.Now())) ++s.ended_in_time;
    if (!is_measured(start)) co_return;
    ++s.asked;
    if (!done) co_return;
    ++s.done;
    s.milliseconds.push_back(std::chrono::duration<double, std::milli>(
                                 self->time_.clock.Now() - start)
                                 .count());
  }

  calls::fakes::fake_time time_;
  metrics::registry metrics_;
  distribution::view view_;
  calls::fakes::fake_control control_;
  calls::fakes::fake_transport transport_;
  calls::slot_allocator allocator_;
  std::vector<std::unique_ptr<calls::runner>> runners_;
  std::mt19937_64 random_;
  std::map<std::string, seen> seen_;
  std::uint64_t asked_ = 0;
  core::time_point measure_from_{};
  core::time_point measure_until_{};
};

std::uint64_t signature = 14695981039346656037u;

void Sign(const bench_cell& cell) {
  signature = (signature ^ cell.Signature()) * 1099511628211u;
}

void Print(const std::string& name, double value, const char* unit) {
  std::cout << fmt::format("{} {:.4g} {}\n", name, value, unit);
}

void CompareRouting(int load_percent) {
  for (const routing how : {routing::kShares, routing::kTwoChoices}) {
    bench_cell cell(how, 1);
    cell.Load("check", kCapacity * load_percent / 100, 300ms);
    cell.Run();
    const std::string name =
        fmt::format("{}_{}", how == routing::kShares ? "shares" : "two_choices",
                    load_percent);
    seen& s = cell.Seen("check");
    const double per_call =
        static_cast<double>(cell.Overcommitted()) /
        static_cast<double>(std::max<std::uint64_t>(cell.Asked(), 1));
    Print(name + "_refusals_per_call", per_call, "1");
    Print(name + "_done", 100.0 * s.done / std::max<double>(s.asked, 1), "%");
    Print(name + "_p50", s.Quantile(0.5), "ms");
    Print(name + "_p99", s.Quantile(0.99), "ms");
    Sign(cell);
  }
}

double Goodput(double factor) {
  bench_cell cell(routing::kShares, 2);
  cell.Load("check", kCapacity * factor, 300ms);
  cell.Run();
  Sign(cell);
  return cell.Seen("check").Goodput();
}

void MeasureOverload() {
  double peak = 0;
  for (const double factor : {0.8, 0.9, 1.0, 1.1}) {
    peak = std::max(peak, Goodput(factor));
  }
  Print("goodput_peak", peak, "calls/s");
  Print("goodput_2x_of_peak", 100 * Goodput(2) / peak, "%");
  Print("goodput_5x_of_peak", 100 * Goodput(5) / peak, "%");
}

void MeasureQuickBesideBulk() {
  double idle = 0;
  for (const bool with_bulk : {false, true}) {
    bench_cell cell(routing::kShares, 3);
    cell.Load("check", kCapacity / 10, 300ms);
    if (with_bulk) {
      const double bulk_capacity =
          kWorkers * kSlots / std::chrono::duration<double>(kPlanTime).count();
      cell.Load("plan", 1.5 * bulk_capacity, 10s);
    }
    cell.Run();
    Sign(cell);
    seen& s = cell.Seen("check");
    const double p99 = s.Quantile(0.99);
    Print(with_bulk ? "quick_p99_beside_bulk" : "quick_p99_idle", p99, "ms");
    if (!with_bulk) {
      idle = p99;
      continue;
    }
    Print("quick_p99_ratio", p99 / idle, "1");
    Print("quick_done_beside_bulk", 100.0 * s.done / s.asked, "%");
    Print("bulk_goodput", cell.Seen("plan").Goodput(), "calls/s");
  }
}

void MeasureCpu() {
  bench_cell cell(routing::kShares, 4);
  cell.Load("check", kCapacity * 0.7, 300ms);
  const std::clock_t before = std::clock();
  cell.Run();
  const double seconds =
      static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
  // The fake workers and timers are part of it; the HTTP exchange is not.
  Print("cpu_per_call", 1e6 * seconds / static_cast<double>(cell.Asked()),
        "us");
  Sign(cell);
}

}  // namespace

int RunCallsBench() {
  for (const int load : {50, 70, 90, 110}) CompareRouting(load);
  MeasureOverload();
  MeasureQuickBesideBulk();
  MeasureCpu();
  std::cout << fmt::format("signature {:016x} hash\n", signature);
  return 0;
}

}  // namespace mangoplank::bench
