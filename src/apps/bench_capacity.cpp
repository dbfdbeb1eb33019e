#include <fmt/format.h>
#include <malloc.h>
#include <unistd.h>

#include <chrono>
#include <cmath>
#include <ctime>
#include <fstream>
#include <functional>

#include "bench.h"
#include "mangoplank/cell/state.h"
#include "mangoplank/control/messages.h"
#include "mangoplank/distribution/history.h"
#include "mangoplank/membership/lease_table.h"
#include "mangoplank/placement/scheduler.h"
#include "mangoplank/wire/codec.h"

namespace mangoplank::bench {

namespace {

using cell::object_kind;
using cell::task_phase;

/// Sizes at which each slope is measured, as multiples of a base.
constexpr int kSizes[] = {1, 2, 4, 8};

struct point {
  double x = 0;
  double y = 0;
};

/// Least-squares line through points, with its largest relative residual.
struct line {
  double slope = 0;
  double offset = 0;
  double residual = 0;
};

line Fit(const std::vector<point>& points) {
  double sx = 0, sy = 0, sxx = 0, sxy = 0;
  const auto n = static_cast<double>(points.size());
  for (const point& p : points) {
    sx += p.x;
    sy += p.y;
    sxx += p.x * p.x;
    sxy += p.x * p.y;
  }
  line l;
  l.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  l.offset = (sy - l.slope * sx) / n;
  for (const point& p : points) {
    const double fitted = l.offset + l.slope * p.x;
    l.residual = std::max(l.residual, std::abs(p.y - fitted) / p.y);
  }
  return l;
}

void Print(const std::string& name, double value, const char* unit) {
  fmt::print("{} {:.6g} {}\n", name, value, unit);
}

void PrintSlope(const std::string& name, const std::vector<point>& points,
                const char* unit) {
  const line l = Fit(points);
  for (const point& p : points) {
    Print(fmt::format("{}.at_{}", name, p.x), p.y, unit);
  }
  Print(name + ".slope", l.slope, unit);
  Print(name + ".fit_error", 100 * l.residual, "%");
}

double HeapBytes() { return static_cast<double>(mallinfo2().uordblks); }

/// Memory of a process that has loaded the program and holds no state.
double ResidentBytes() {
  std::ifstream in("/proc/self/statm");
  double total = 0, resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

double CpuSeconds() {
  timespec t{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) + 1e-9 * static_cast<double>(t.tv_nsec);
}

/// Heap taken by what `build` returns, at each size.
template <class F>
void MeasureMemory(const std::string& name, int base, F&& build) {
  std::vector<point> points;
  for (const int size : kSizes) {
    malloc_trim(0);
    const double before = HeapBytes();
    const auto built = build(base * size);
    points.push_back({double(base * size), HeapBytes() - before});
  }
  PrintSlope(name + ".memory", points, "bytes");
}

/// Processor time of `run(n)`, at each size.
template <class F>
void MeasureCpu(const std::string& name, int base, F&& run) {
  std::vector<point> points;
  for (const int size : kSizes) {
    const double before = CpuSeconds();
    run(base * size);
    points.push_back({double(base * size), 1e6 * (CpuSeconds() - before)});
  }
  PrintSlope(name + ".cpu", points, "us");
}

// --- Sample values
// -------------------------------------------------------------

const core::department_id kDepartment{"kitchens"};

cell::object_key JobKey(int i) {
  return {object_kind::kBatchJob, kDepartment, fmt::format("plan-{:06}", i)};
}

cell::batch_job_spec JobSpec(int tasks) {
  cell::batch_job_spec s;
  s.tasks = tasks;
  s.need = {1000, 1024, 0};
  s.program = "reduce --season 2026 --shower perseids --input sheets";
  return s;
}

cell::worker_record WorkerRecord(int i) {
  return {.id = {fmt::format("worker-{:05}", i)},
          .incarnation = 1,
          .address = {"10.0.0.1", 7000},
          .location = {{fmt::format("region-{}", i % 5)},
                       {fmt::format("dc-{}", i % 12)},
                       {fmt::format("rack-{}", i / 8)}},
          .capacity = {64'000, 131'072, i % 3 == 0 ? 4 : 0}};
}

cell::effect Apply(cell::state* s, cell::command_body body,
                   std::string request = {}) {
  return s->Apply(
      s->Revision() + 1,
      {1'800'000'000'000, {std::move(request)}, kDepartment, std::move(body)});
}

cell::state EmptyCell() {
  cell::state s;
  Apply(&s, cell::put_object{{object_kind::kDepartment, {}, kDepartment.v},
                             cell::department_spec{}});
  return s;
}

cell::state CellWithWorkers(int n) {
  cell::state s = EmptyCell();
  for (int i = 0; i < n; ++i) {
    Apply(&s, cell::register_worker{WorkerRecord(i)});
  }
  return s;
}

/// `n` running tasks on workers of 20 tasks each.
cell::state CellWithTasks(int n) {
  cell::state s = CellWithWorkers((n + 19) / 20);
  constexpr int kTasksPerJob = 10;
  for (int i = 0; i < n / kTasksPerJob; ++i) {
    const auto uid =
        Apply(&s, cell::put_object{JobKey(i), JobSpec(kTasksPerJob)})
            .answer->object->uid;
    cell::place_tasks place;
    cell::report_tasks report;
    for (std::uint32_t t = 0; t < kTasksPerJob; ++t) {
      const cell::task_id id{uid, t};
      const int w = (i * kTasksPerJob + static_cast<int>(t)) / 20;
      place.groups.push_back({{id, WorkerRecord(w).id, 1}});
      report.reports.push_back({id, 1, task_phase::kRunning, ""});
    }
    Apply(&s, place);
    Apply(&s, report);
  }
  return s;
}

control::announcement Announcement(int tasks) {
  control::announcement a{.worker = WorkerRecord(0), .sequence = 12345};
  for (int i = 0; i < tasks; ++i) {
    a.tasks.push_back({{1000, static_cast<std::uint32_t>(i)},
                       1,
                       task_phase::kRunning,
                       {900, 700, 0},
                       ""});
  }
  return a;
}

// --- Areas -------------------------------------------------------------------

void MeasureState() {
  MeasureMemory("state.worker", 500, CellWithWorkers);
  MeasureMemory("state.task", 2000, CellWithTasks);
  MeasureMemory("state.department", 50, [](int n) {
    cell::state s;
    for (int i = 0; i < n; ++i) {
      cell::department_spec d;
      d.tokens = {{"ci", std::string(64, 'a'), cell::role::kOperator}};
      Apply(&s,
            cell::put_object{
                {object_kind::kDepartment, {}, fmt::format("team-{}", i)}, d});
    }
    return s;
  });
  MeasureMemory("state.call", 2000, [](int n) {
    cell::state s = EmptyCell();
    for (int i = 0; i < n; ++i) {
      const cell::call_key key{kDepartment, "planner", fmt::format("k{}", i)};
      const auto id = Apply(&s, cell::record_intent{key,
                                                    "book",
                                                    std::string(64, 'a'),
                                                    {"entry-1"},
                                                    1,
                                                    {"worker-00001"},
                                                    1})
                          .answer->call->id;
      Apply(&s, cell::record_outcome{
                    key, id, {cell::ending::kDone, std::string(200, 'x')}});
    }
    return s;
  });
  MeasureCpu("state.start", 2000, [](int n) { CellWithTasks(n); });
}

void MeasureScheduler() {
  const auto follow = [](const cell::state& s) {
    auto p = std::make_unique<placement::scheduler>(placement::policy{}, 1);
    const core::time_point now{};
    for (const auto& [key, o] : s.Objects()) {
      p->Observe(cell::object_changed{o}, now);
    }
    for (const auto& [id, w] : s.Workers()) {
      p->Observe(cell::worker_changed{w}, now);
    }
    for (const auto& [id, t] : s.Tasks()) {
      p->Observe(cell::task_changed{t}, now);
    }
    return p;
  };
  const auto memory = [&](const char* name, int base, auto&& make) {
    std::vector<point> points;
    for (const int size : kSizes) {
      const cell::state s = make(base * size);
      malloc_trim(0);
      const double before = HeapBytes();
      const auto p = follow(s);
      points.push_back({double(base * size), HeapBytes() - before});
    }
    PrintSlope(fmt::format("scheduler.{}.memory", name), points, "bytes");
  };
  memory("worker", 500, CellWithWorkers);
  memory("task", 2000, CellWithTasks);
  MeasureCpu("scheduler.rebuild", 2000,
             [&](int n) { follow(CellWithTasks(n)); });
}

void MeasureMessages() {
  std::vector<point> bytes;
  for (const int tasks : {1, 4, 8, 16}) {
    const control::message m =
        control::announcement_batch{{Announcement(tasks)}};
    bytes.push_back({double(tasks), double(wire::Encode(m).size())});
  }
  PrintSlope("announcement.task.bytes", bytes, "bytes");
  Print("announcement.bytes", Fit(bytes).offset, "bytes");

  const auto command_bytes = [](cell::command_body body) {
    const cell::command c{1, {}, kDepartment, std::move(body)};
    return double(wire::Encode(c).size());
  };
  std::vector<point> place, report;
  for (const int n : {1, 4, 16, 64}) {
    cell::place_tasks p;
    cell::report_tasks r;
    for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(n); ++i) {
      p.groups.push_back({{{1000, i}, {"worker-00001"}, 1}});
      r.reports.push_back({{1000, i}, 1, task_phase::kRunning, ""});
    }
    place.push_back({double(n), command_bytes(p)});
    report.push_back({double(n), command_bytes(r)});
  }
  PrintSlope("log.placement.bytes", place, "bytes");
  PrintSlope("log.report.bytes", report, "bytes");
  Print("log.job.bytes",
        command_bytes(cell::put_object{JobKey(1), JobSpec(10)}), "bytes");
  const cell::call_key key{kDepartment, "planner", "booking-000001"};
  Print(
      "log.intent.bytes",
      command_bytes(cell::record_intent{
          key, "book", std::string(64, 'a'), {"entry-1"}, 1, {"worker-1"}, 1}),
      "bytes");
  Print("log.outcome.bytes",
        command_bytes(cell::record_outcome{
            key, 1, {cell::ending::kDone, std::string(200, 'x')}}),
        "bytes");
  cell::configuration_spec spec;
  for (int i = 0; i < 10; ++i) spec.values[fmt::format("key-{}", i)] = "value";
  const cell::object o{.key = {object_kind::kConfiguration, {}, "limits"},
                       .spec = spec};
  Print("feed.configuration.bytes",
        double(wire::Encode(control::message(control::feed_batch{
                                .changes = {cell::object_changed{o}}}))
                   .size()),
        "bytes");
  Print("feed.mark.bytes",
        double(wire::Encode(control::message(control::feed_batch{})).size()),
        "bytes");
  Print("heartbeat.bytes",
        double(wire::Encode(control::message(control::heartbeat{})).size()),
        "bytes");
}

void MeasureAnnouncements() {
  const cell::state s = CellWithTasks(2000);
  membership::lease_table leases{{}};
  const core::time_point now{};
  leases.Reset(s, now);
  MeasureCpu("announcement", 5000, [&](int n) {
    for (int i = 0; i < n; ++i) {
      const std::string bytes = wire::Encode(
          control::message(control::announcement_batch{{Announcement(8)}}));
      const auto m =
          core::Capture([&] { return wire::DecodeControlMessage(bytes); });
      const auto& a =
          std::get<control::announcement_batch>(*m).announcements[0];
      leases.Admit(s, a, now);
      leases.Renew(a, now);
      membership::NewReports(s, a);
      membership::OrdersFor(s, a);
    }
  });
}

void MeasureSnapshot() {
  std::vector<point> bytes;
  for (const int size : kSizes) {
    const cell::state s = CellWithTasks(2000 * size);
    bytes.push_back(
        {double(2000 * size), double(wire::Encode(s.Image()).size())});
  }
  PrintSlope("snapshot.task.bytes", bytes, "bytes");
  MeasureCpu("snapshot.task", 2000, [](int n) {
    const cell::state s = CellWithTasks(n);
    wire::Encode(s.Image());
  });
}

}  // namespace

int RunCapacityBench() {
  Print("process.memory", ResidentBytes(), "bytes");
  MeasureState();
  MeasureScheduler();
  MeasureMessages();
  MeasureAnnouncements();
  MeasureSnapshot();
  return 0;
}

}  // namespace mangoplank::bench
