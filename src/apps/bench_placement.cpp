#include <fmt/format.h>
#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "bench.h"
#include "bench_placement_world.h"

namespace mangoplank::bench {

namespace {

using placement::policy;

constexpr std::uint64_t kSeed = 11;
constexpr core::milliseconds kEndless{0};
/// Part of the processors in use while speed is measured.
constexpr double kLoad = 0.8;

const world_size kKitchens{"kitchens", 50, 0, {64000, 131072, 0}, 3, 12};
const world_size kTally{"tally", 50, 0, {32000, 131072, 0}, 3, 12};
const world_size kDesign{"design", 3000, 475, {32000, 131072, 0}, 5, 390};

struct strategy {
  std::string name;
  placement::search search;
};

std::vector<strategy> Strategies() {
  return {{"index", placement::capacity_index{}},
          {"index4", placement::capacity_index{4}},
          {"sampled", placement::sampled_scan{}},
          {"full_scan", placement::full_scan{}},
          {"first_fit", placement::first_fit{}}};
}

policy With(const placement::search& s) {
  policy p;
  p.search = s;
  return p;
}

void Print(const std::string& name, double value, const char* unit) {
  fmt::print("{} {:.6g} {}\n", name, value, unit);
}

double Quantile(std::vector<double> v, double q) {
  if (v.empty()) return 0;
  std::sort(v.begin(), v.end());
  const auto last = static_cast<double>(v.size() - 1);
  return v[static_cast<std::size_t>(std::ceil(q * last))];
}

double Sum(const std::vector<double>& v) {
  return std::accumulate(v.begin(), v.end(), 0.0);
}

double Part(std::int64_t amount, std::int64_t of) {
  return of == 0 ? 0 : static_cast<double>(amount) / static_cast<double>(of);
}

/// Fills the cell up to `part` of its processors.
void Fill(placement_world& w, const world_size& size, double part) {
  std::int64_t added = 0;
  for (int t = 0; Part(added, w.Total().cpu_milli) < part; ++t) {
    const core::resources need = w.RandomNeed();
    w.Add(t % size.teams, kind::kBatch, 4, need, kEndless);
    added += 4 * need.cpu_milli;
  }
  while (w.Step() > 0) {
  }
}

/// Time of single decisions: each call may make one.
void MeasureLatency(const world_size& size, const strategy& s, int decisions) {
  policy p = With(s.search);
  p.max_decisions = 1;
  placement_world w(size, p, kSeed);
  Fill(w, size, kLoad);
  w.ClearTimes();
  for (int i = 0; i < decisions; ++i) {
    w.EndSome(1);
    w.Add(static_cast<int>(w.Pick(0, size.teams - 1)), kind::kBatch, 1,
          w.RandomNeed(), kEndless);
    w.Step();
  }
  const std::string name = fmt::format("placement.{}.{}.", size.name, s.name);
  const auto& times = w.DecideTimes();
  Print(name + "decision_p50", Quantile(times, 0.5) / 1e3, "us");
  Print(name + "decision_p99", Quantile(times, 0.99) / 1e3, "us");
  Print(name + "decision_max", Quantile(times, 1) / 1e3, "us");
}

/// Decisions a second in rounds of the peak rate, in processor time.
/// @return nanoseconds for each decision.
double MeasureRate(const world_size& size, const strategy& s, int rounds,
                   std::uint64_t* signature) {
  placement_world w(size, With(s.search), kSeed);
  Fill(w, size, kLoad);
  w.ClearTimes();
  std::size_t placed = 0;
  for (int i = 0; i < rounds; ++i) {
    w.EndSome(180);
    for (int k = 0; k < 45; ++k) {
      w.Add(static_cast<int>(w.Pick(0, size.teams - 1)), kind::kBatch, 4,
            w.RandomNeed(), kEndless);
    }
    placed += w.Step();
  }
  *signature = w.Signature();
  return Sum(w.DecideTimes()) / static_cast<double>(placed);
}

/// Part of the scarcest resource in use when nothing fits any more.
void MeasurePacking(const world_size& size, const strategy& s) {
  placement_world w(size, With(s.search), kSeed);
  // More than twice what the cell holds.
  const int jobs = size.workers * 32;
  for (int i = 0; i < jobs; ++i) {
    w.Add(i % size.teams, kind::kBatch, 1, w.RandomNeed(), kEndless);
  }
  for (int i = 0; i < 1000 && w.Step() > 0; ++i) {
  }
  const double used = std::max(Part(w.Held().cpu_milli, w.Total().cpu_milli),
                               Part(w.Held().memory_mib, w.Total().memory_mib));
  Print(fmt::format("placement.{}.{}.packing", size.name, s.name), 100 * used,
        "percent_of_bound");
}

void PrintWaits(placement_world& w, const std::string& name) {
  const char* kinds[] = {"service", "batch", "urgent", "gang"};
  for (int k = 0; k < kKinds; ++k) {
    const auto& waits = w.Waits(static_cast<kind>(k));
    const std::string of = fmt::format("placement.{}.wait_{}_", name, kinds[k]);
    Print(of + "count", static_cast<double>(waits.size()), "tasks");
    Print(of + "p50", Quantile(waits, 0.5), "s");
    Print(of + "p99", Quantile(waits, 0.99), "s");
    Print(of + "max", Quantile(waits, 1), "s");
  }
}

/// One second of arrivals at the peak: 180 starts.
void Arrive(placement_world& w, const world_size& size, int second) {
  const auto team = [&] { return static_cast<int>(w.Pick(0, size.teams - 1)); };
  const auto run = [&] { return core::milliseconds(w.Pick(20, 180) * 1000); };
  for (int i = 0; i < 15; ++i) {
    w.Add(team(), kind::kBatch, 10, w.RandomNeed(), run());
  }
  for (int i = 0; i < 10; ++i) {
    w.Add(team(), kind::kUrgent, 1, w.RandomNeed(), run());
  }
  if (second % 4 == 0) w.Add(team(), kind::kService, 4, w.RandomNeed(), run());
  if (second % 2 == 0) w.Add(team(), kind::kGang, 32, w.RandomNeed(), run());
}

/// Waiting times on a stream of arrivals, in simulated time.
std::uint64_t MeasureWaits(const world_size& size, int seconds, double backlog,
                           const std::string& name) {
  placement_world w(size, policy{}, kSeed);
  // Long-running services hold a fifth of the cell.
  for (int i = 0; i < size.workers / 4; ++i) {
    w.Add(i % size.teams, kind::kService, 6, {4000, 8192, 0}, kEndless);
  }
  for (int i = 0; i < 10; ++i) w.Step();
  // A few teams fill the cell with work beyond their quotas.
  const auto lent = static_cast<int>(backlog * size.workers / 10);
  for (int i = 0; i < lent; ++i) {
    w.Add(i % 10, kind::kBatch, 100, w.RandomNeed(), kEndless);
  }
  for (int i = 0; i < 200 && w.Step() > 0; ++i) {
  }
  for (int k = 0; k < kKinds; ++k) w.Waits(static_cast<kind>(k)).clear();
  const core::time_point start = w.Now() + std::chrono::seconds(1);
  w.AdvanceTo(start);
  for (int second = 0; second < seconds; ++second) {
    Arrive(w, size, second);
    for (int i = 0; i < 4; ++i) {
      w.AdvanceTo(w.Now() + core::milliseconds(250));
      w.Step();
    }
  }
  w.CountUnstarted(start);
  PrintWaits(w, name);
  Print(fmt::format("placement.{}.evictions", name),
        static_cast<double>(w.Evictions()), "tasks");
  return w.Signature();
}

/// Distance of departments from their shares while all have work waiting.
/// Without quotas, which come before shares.
void MeasureFairness(world_size size, int seconds, double history) {
  size.quotas = 0;
  policy p;
  p.history_weight = history;
  placement_world w(size, p, kSeed);
  double worst = 0;
  double worst_relative = 0;
  double in_use = 0;
  int samples = 0;
  for (int second = 0; second < seconds; ++second) {
    for (int t = 0; second % 20 == 0 && t < size.teams; ++t) {
      // Enough that a team's queue never runs empty.
      w.Add(t, kind::kBatch, 200, w.RandomNeed(),
            core::milliseconds(w.Pick(20, 60) * 1000));
    }
    w.AdvanceTo(w.Now() + std::chrono::seconds(1));
    for (int i = 0; i < 50 && w.Step() > 0; ++i) {
    }
    // The first tasks end after 60 s; before that the mix is one of start-up.
    if (second < 120 || second % 10 != 0) continue;
    in_use += Part(w.Held().cpu_milli, w.Total().cpu_milli);
    ++samples;
    double all = 0;
    double due = 0;
    std::vector<placement::share> shares = w.Scheduler().Shares(w.Now());
    std::erase_if(shares, [](const placement::share& s) {
      return s.department.v.rfind("team", 0) != 0;
    });
    for (const placement::share& s : shares) {
      all += s.dominant_share;
      due += s.entitled;
    }
    for (const placement::share& s : shares) {
      const double off = std::abs(s.dominant_share / all - s.entitled / due);
      worst = std::max(worst, off);
      worst_relative = std::max(worst_relative, off / (s.entitled / due));
    }
  }
  const std::string name =
      fmt::format("placement.{}.history_{:g}.fairness_", size.name, history);
  Print(name + "worst_distance", 100 * worst, "percent_of_cell");
  Print(name + "cpu_in_use", 100 * in_use / samples, "percent");
  Print(name + "worst_relative", 100 * worst_relative, "percent_of_share");
}

/// Cost of a wave of cancellations against that of the placements.
void MeasureCancellations(const world_size& size) {
  placement_world w(size, policy{}, kSeed);
  const auto job = w.Add(0, kind::kBatch, 10000, {250, 1024, 0}, kEndless);
  double start = ThreadNanoseconds();
  while (w.Step() > 0) {
  }
  Print("placement.place_10000", (ThreadNanoseconds() - start) / 1e6, "ms");
  start = ThreadNanoseconds();
  w.Cancel(job);
  w.Step();
  Print("placement.cancel_10000", (ThreadNanoseconds() - start) / 1e6, "ms");
}

std::size_t HeapBytes() { return mallinfo2().uordblks; }

/// Memory of the scheduler alone.
void MeasureMemory() {
  const auto make = [](int workers, int teams, int tasks) {
    const std::size_t before = HeapBytes();
    placement::scheduler s(policy{}, kSeed);
    for (int i = 0; i < workers; ++i) {
      cell::worker_record r;
      r.id = {fmt::format("worker-{}", i)};
      r.incarnation = 1;
      r.capacity = {64000, 131072, 0};
      r.location = {{"r"}, {"r-1"}, {fmt::format("k{}", i / 8)}};
      s.Observe(cell::worker_changed{r}, {});
    }
    for (int i = 0; i < teams; ++i) {
      cell::object o;
      o.key = {cell::object_kind::kDepartment, {}, fmt::format("team-{}", i)};
      o.spec = cell::department_spec{};
      s.Observe(cell::object_changed{o}, {});
    }
    for (int i = 0; i < tasks; ++i) {
      cell::object o;
      o.uid = i / 4 + 1;
      o.key = {cell::object_kind::kBatchJob,
               {fmt::format("team-{}", i % 4)},
               fmt::format("job-{}", o.uid)};
      o.spec = cell::batch_job_spec{.tasks = 4, .need = {1000, 1024, 0}};
      if (i % 4 == 0) s.Observe(cell::object_changed{o}, {});
      cell::task_record t;
      t.id = {o.uid, static_cast<std::uint32_t>(i % 4)};
      t.job = o.key;
      t.need = {1000, 1024, 0};
      t.phase = cell::task_phase::kRunning;
      t.worker = {fmt::format("worker-{}", i % workers)};
      s.Observe(cell::task_changed{t}, {});
    }
    return static_cast<double>(HeapBytes() - before);
  };
  const double base = make(1000, 100, 8000);
  Print("placement.memory_per_worker", (make(3000, 100, 8000) - base) / 2000,
        "bytes");
  Print("placement.memory_per_team", (make(1000, 400, 8000) - base) / 300,
        "bytes");
  Print("placement.memory_per_task", (make(1000, 100, 24000) - base) / 16000,
        "bytes");
  Print("placement.memory_design_size", make(3000, 390, 23000) / 1e6, "MB");
}

/// Exponent of the growth of the time of a decision with the workers.
void MeasureSlope(const strategy& s, int rounds) {
  std::vector<std::pair<double, double>> points;
  for (const int workers : {375, 750, 1500, 3000, 6000}) {
    world_size size = kDesign;
    size.name = fmt::format("{}_workers", workers);
    size.workers = workers;
    size.accelerator_workers = workers * 475 / 3000;
    std::uint64_t unused = 0;
    const double ns = MeasureRate(size, s, rounds, &unused);
    Print(fmt::format("placement.{}.{}.decision_mean", size.name, s.name),
          ns / 1e3, "us");
    points.emplace_back(std::log(workers), std::log(ns));
  }
  double mx = 0;
  double my = 0;
  for (const auto& [x, y] : points) {
    mx += x / static_cast<double>(points.size());
    my += y / static_cast<double>(points.size());
  }
  double xy = 0;
  double xx = 0;
  for (const auto& [x, y] : points) {
    xy += (x - mx) * (y - my);
    xx += (x - mx) * (x - mx);
  }
  Print(fmt::format("placement.{}.growth_exponent", s.name), xy / xx,
        "power_of_workers");
}

}  // namespace

int RunPlacementBench() {
  std::uint64_t all = 0;
  for (const world_size& size : {kKitchens, kTally, kDesign}) {
    const bool large = size.workers > 1000;
    for (const strategy& s : Strategies()) {
      MeasureLatency(size, s, large ? 4000 : 20000);
      std::uint64_t signature = 0;
      const double ns = MeasureRate(size, s, 30, &signature);
      Print(fmt::format("placement.{}.{}.rate", size.name, s.name), 1e9 / ns,
            "decisions/s");
      MeasurePacking(size, s);
      all = all * 31 + signature;
    }
  }
  for (const strategy& s : Strategies()) MeasureSlope(s, 15);
  all = all * 31 + MeasureWaits(kDesign, 300, 0, "design.normal");
  all = all * 31 + MeasureWaits(kDesign, 120, 20, "design.saturated");
  for (const double history : {0.0, 0.5}) {
    MeasureFairness(kDesign, 300, history);
    MeasureFairness(kTally, 300, history);
  }
  MeasureCancellations(kDesign);
  MeasureMemory();
  fmt::print("placement.signature {:016x} hash\n", all);
  return 0;
}

}  // namespace mangoplank::bench
