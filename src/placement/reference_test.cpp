// Differential test against a naive scheduler that derives everything from the
// state and scores every worker, and tests of invariants under random events.

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <map>
#include <random>
#include <set>

#include "test_cell.h"

namespace mangoplank::placement {
namespace {

using random = std::mt19937_64;

std::int64_t Pick(random& generator, std::int64_t from, std::int64_t to) {
  return from + static_cast<std::int64_t>(
                    generator() % static_cast<std::uint64_t>(to - from + 1));
}

core::resources RandomNeed(random& generator) {
  return {Pick(generator, 1, 16) * 250, Pick(generator, 1, 16) * 512,
          Pick(generator, 0, 9) == 0 ? Pick(generator, 1, 2) : 0};
}

void AddWorkers(test_cell& target, random& generator, int count) {
  for (int i = 0; i < count; ++i) {
    const core::resources capacity{Pick(generator, 4, 16) * 1000,
                                   Pick(generator, 4, 16) * 2048,
                                   Pick(generator, 0, 3) == 0 ? 4 : 0};
    target.AddWorker(NumberedName("w", i), capacity, NumberedName("r", i % 3),
                     NumberedName("k", i / 6));
  }
}

cell::object_spec RandomJob(random& generator, bool gangs) {
  const core::resources need = RandomNeed(generator);
  const auto urgency = static_cast<cell::urgency>(Pick(generator, 0, 2));
  switch (Pick(generator, 0, gangs ? 3 : 2)) {
    case 0: {
      cell::service_spec s = MakeService(Pick(generator, 1, 5), need);
      s.urgency = urgency;
      s.max_unavailable = Pick(generator, 1, 2);
      return s;
    }
    case 3: {
      cell::gang_job_spec g = MakeGangJob(Pick(generator, 2, 8), need);
      g.urgency = urgency;
      g.where.one_region = Pick(generator, 0, 1) == 0;
      return g;
    }
    default: {
      cell::batch_job_spec b =
          MakeBatchJob(Pick(generator, 1, 8), need, urgency);
      b.idempotent = Pick(generator, 0, 3) != 0;
      b.checkpoint = Pick(generator, 0, 1) == 0;
      b.max_retries = 100;
      return b;
    }
  }
}

/// Fields of a spec that the naive scheduler uses.
struct spec_summary {
  bool service = false;
  cell::urgency urgency = cell::urgency::kNormal;
};

spec_summary Summarize(const cell::object_spec& spec) {
  spec_summary summary;
  if (const auto* service = std::get_if<cell::service_spec>(&spec)) {
    summary = {true, service->urgency};
  } else if (const auto* batch = std::get_if<cell::batch_job_spec>(&spec)) {
    summary = {false, batch->urgency};
  }
  return summary;
}

/// Next placement of the naive scheduler: the task, and all workers of lowest
/// cost.
struct naive_placement {
  cell::task_id task;
  std::set<core::worker_id> workers;
};

/// Places services and batch jobs. Does not model eviction, health, history or
/// urgency across departments.
class naive_scheduler {
 public:
  explicit naive_scheduler(const cell::state& state) : state_(state) {}

  std::optional<naive_placement> NextPlacement() {
    while (const auto department = NextDepartment()) {
      const cell::object job = *HeadOfQueue(*department);
      const cell::task_id task = FirstWaiting(job.uid);
      const auto workers = CheapestWorkers(job, task);
      if (!workers.empty()) return naive_placement{task, workers};
      unplaceable_jobs_.insert(job.uid);
    }
    return std::nullopt;
  }

  void Apply(const cell::task_placement& placement) {
    placed_[placement.id] = placement.worker;
  }

 private:
  bool IsWaiting(const cell::task_record& task) const {
    return task.phase == cell::task_phase::kWaiting && !placed_.count(task.id);
  }

  std::optional<core::worker_id> WorkerOf(const cell::task_record& task) const {
    if (cell::HoldsResources(task.phase)) return task.worker;
    const auto it = placed_.find(task.id);
    if (it == placed_.end()) return std::nullopt;
    return it->second;
  }

  core::resources UsedBy(const std::string& department) const {
    core::resources sum;
    for (const auto& [id, t] : state_.Tasks()) {
      if (t.job.department.v == department && WorkerOf(t)) sum = sum + t.need;
    }
    return sum;
  }

  core::resources FreeOf(const cell::worker_record& worker) const {
    core::resources free = worker.capacity;
    for (const auto& [id, task] : state_.Tasks()) {
      if (WorkerOf(task) == worker.id) free = free - task.need;
    }
    return free;
  }

  cell::task_id FirstWaiting(core::revision uid) const {
    for (const auto& [id, t] : state_.Tasks()) {
      if (id.job == uid && IsWaiting(t)) return id;
    }
    return {};
  }

  const cell::object* HeadOfQueue(const std::string& department) const {
    const cell::object* head = nullptr;
    for (const auto& [key, object] : state_.Objects()) {
      if (key.department.v != department ||
          unplaceable_jobs_.count(object.uid)) {
        continue;
      }
      if (FirstWaiting(object.uid).job == 0) continue;
      if (head == nullptr || IsBefore(object, *head)) head = &object;
    }
    return head;
  }

  static bool IsBefore(const cell::object& a, const cell::object& b) {
    const auto urgency_a = Summarize(a.spec).urgency;
    const auto urgency_b = Summarize(b.spec).urgency;
    return urgency_a != urgency_b ? urgency_a > urgency_b : a.uid < b.uid;
  }

  static double DominantShare(const core::resources& used,
                              const core::resources& total) {
    const auto part = [](std::int64_t a, std::int64_t b) {
      return b == 0 ? 0.0 : static_cast<double>(a) / static_cast<double>(b);
    };
    return std::max({part(used.cpu_milli, total.cpu_milli),
                     part(used.memory_mib, total.memory_mib),
                     part(used.accelerators, total.accelerators)});
  }

  std::optional<std::string> NextDepartment() const {
    core::resources total;
    for (const auto& [id, worker] : state_.Workers()) {
      total = total + worker.capacity;
    }
    std::optional<std::string> best;
    std::pair<bool, double> best_rank;
    for (const auto& [key, object] : state_.Objects()) {
      const auto* spec = std::get_if<cell::department_spec>(&object.spec);
      const cell::object* head = spec ? HeadOfQueue(key.name) : nullptr;
      if (head == nullptr) continue;
      const core::resources used = UsedBy(key.name);
      const core::resources need =
          state_.FindTask(FirstWaiting(head->uid))->need;
      core::resources limit = spec->quota;
      // An amount that is not requested cannot exceed a quota.
      if (need.accelerators == 0) {
        limit.accelerators = std::numeric_limits<std::int64_t>::max();
      }
      const std::pair rank{
          !limit.Holds(used + need),
          DominantShare(used, total) / static_cast<double>(spec->weight)};
      if (best && rank >= best_rank) continue;
      best = key.name;
      best_rank = rank;
    }
    return best;
  }

  std::set<core::worker_id> CheapestWorkers(const cell::object& job,
                                            const cell::task_id& task) const {
    const core::resources need = state_.FindTask(task)->need;
    std::map<core::region_id, int> by_region;
    std::map<core::location, int> by_rack;
    for (const auto& [id, t] : state_.Tasks()) {
      const auto w = id.job == job.uid ? WorkerOf(t) : std::nullopt;
      if (!w) continue;
      ++by_region[state_.FindWorker(*w)->location.region];
      ++by_rack[state_.FindWorker(*w)->location];
    }
    std::optional<core::region_id> home;
    for (const auto& [region, n] : by_region) {
      if (!home || n > by_region[*home]) home = region;
    }
    const spec_summary summary = Summarize(job.spec);
    const bool stays_home =
        !summary.service && summary.urgency != cell::urgency::kUrgent && home;
    std::set<core::worker_id> best;
    double lowest_cost = std::numeric_limits<double>::max();
    for (const auto& [id, w] : state_.Workers()) {
      const core::resources free = FreeOf(w);
      if (w.drain || !free.Holds(need)) continue;
      if (stays_home && w.location.region != *home) continue;
      const double cpu = static_cast<double>(free.cpu_milli - need.cpu_milli) /
                         static_cast<double>(w.capacity.cpu_milli);
      const double memory =
          static_cast<double>(free.memory_mib - need.memory_mib) /
          static_cast<double>(w.capacity.memory_mib);
      double cost = std::abs(cpu - memory) + 0.05 * (cpu + memory);
      if (need.accelerators == 0 && w.capacity.accelerators > 0) cost += 1e6;
      if (home && w.location.region != *home) cost += 5;
      if (summary.service) cost += 10.0 * by_rack[w.location];
      if (cost > lowest_cost + 1e-9) continue;
      if (cost < lowest_cost - 1e-9) best.clear();
      lowest_cost = std::min(lowest_cost, cost);
      best.insert(id);
    }
    return best;
  }

  const cell::state& state_;
  std::map<cell::task_id, core::worker_id> placed_;
  std::set<core::revision> unplaceable_jobs_;
};

bool FitsOnSomeWorker(const test_cell& target, const core::resources& need) {
  for (const auto& [id, worker] : target.state.Workers()) {
    if (worker.capacity.Holds(need)) return true;
  }
  return false;
}

class DifferentialTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against optimizations (the capacity index, cached shares, remembered
// failed searches, queues) that change the decisions.
TEST_P(DifferentialTest, MatchesNaiveScheduler) {
  random r(GetParam());
  policy p;
  p.max_evictions = 0;
  p.history_weight = 0;
  p.max_run_time_credit = {};
  test_cell c(p, GetParam());
  AddWorkers(c, r, static_cast<int>(Pick(r, 1, 12)));
  for (int d = 0; d < 4; ++d) {
    c.AddDepartment(NumberedName("d", d), Pick(r, 1, 4),
                    RandomNeed(r) * Pick(r, 0, 10));
  }
  for (int step = 0; step < 12; ++step) {
    for (int i = 0; i < 4; ++i) {
      const cell::object_spec spec = RandomJob(r, false);
      const core::resources need = std::visit(
          core::overloaded{[](const cell::service_spec& s) { return s.need; },
                           [](const cell::batch_job_spec& s) { return s.need; },
                           [](const auto&) { return core::resources{}; }},
          spec);
      if (!FitsOnSomeWorker(c, need)) continue;
      c.PutObject(NumberedName("d", static_cast<int>(Pick(r, 0, 3))),
                  NumberedName("job", step * 4 + i), spec);
    }
    const round decided = c.Decide();
    naive_scheduler naive(c.state);
    for (const decision& d : decided.decisions) {
      const auto& group = std::get<place>(d).group;
      ASSERT_EQ(group.size(), 1u);
      const auto expected = naive.NextPlacement();
      ASSERT_TRUE(expected) << "step " << step;
      ASSERT_EQ(group[0].id, expected->task) << "step " << step;
      ASSERT_TRUE(expected->workers.count(group[0].worker)) << "step " << step;
      naive.Apply(group[0]);
    }
    ASSERT_FALSE(naive.NextPlacement()) << "step " << step;
    for (const decision& d : decided.decisions) c.Commit(d);
    c.RunAll();
    const auto tasks = c.state.Tasks();
    for (const auto& [id, t] : tasks) {
      const bool ends = t.job.kind == cell::object_kind::kBatchJob &&
                        t.phase == cell::task_phase::kRunning &&
                        Pick(r, 0, 2) == 0;
      if (ends) c.Report(id, cell::task_phase::kSucceeded);
    }
  }
  EXPECT_EQ(c.refused_placements, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DifferentialTest,
                         testing::Range<std::uint64_t>(1, 201));

/// Applies random events and checks the invariants after each round.
class random_cell {
 public:
  explicit random_cell(std::uint64_t seed) : generator_(seed), cell_({}, seed) {
    AddWorkers(cell_, generator_, 10);
    for (int d = 0; d < 4; ++d) {
      cell_.AddDepartment(NumberedName("d", d), Pick(generator_, 1, 4),
                          RandomNeed(generator_) * Pick(generator_, 0, 6));
    }
  }

  void Step() {
    cell_.now += std::chrono::milliseconds(Pick(generator_, 0, 5000));
    for (std::int64_t i = Pick(generator_, 0, 4); i > 0; --i) {
      ApplyRandomEvent();
    }
    const round decided = cell_.Decide();
    CheckEvictions(decided);
    // Some commits follow other changes.
    const bool late = Pick(generator_, 0, 3) == 0;
    if (late) ApplyRandomEvent();
    for (const decision& d : decided.decisions) {
      if (!late) CheckGang(d);
      const int refused = cell_.refused_placements;
      if (Pick(generator_, 0, 9) == 0) {
        cell_.scheduler.Forget(d, cell_.now);
      } else {
        cell_.Commit(d);
      }
      if (late) continue;
      EXPECT_EQ(cell_.refused_placements, refused);
    }
    CheckFreeCapacity(cell_.scheduler);
  }

  // Guards against a new leader that computes other free capacity than the old.
  void CheckRebuiltScheduler() {
    scheduler rebuilt({}, 7);
    const auto image = cell_.state.Image();
    for (const auto& t : image.tasks) {
      rebuilt.Observe(cell::task_changed{t}, cell_.now);
    }
    for (const auto& w : image.workers) {
      rebuilt.Observe(cell::worker_changed{w}, cell_.now);
    }
    for (const auto& o : image.objects) {
      rebuilt.Observe(cell::object_changed{o}, cell_.now);
    }
    CheckFreeCapacity(rebuilt);
    for (const decision& d : rebuilt.Decide(cell_.now).decisions) {
      if (const auto* p = std::get_if<place>(&d)) {
        const auto answer = cell_.Apply(cell::place_tasks{{p->group}});
        EXPECT_TRUE(answer && answer->refused_groups.empty());
      }
    }
  }

 private:
  void CheckFreeCapacity(const scheduler& observed) const {
    for (const auto& [id, worker] : cell_.state.Workers()) {
      EXPECT_EQ(observed.FreeOf(id),
                worker.capacity - cell_.state.Committed(id))
          << id.v;
    }
  }

  void CheckGang(const decision& decision) const {
    const auto* placement = std::get_if<place>(&decision);
    if (placement == nullptr) return;
    const cell::task_record& first =
        *cell_.state.FindTask(placement->group[0].id);
    if (first.job.kind != cell::object_kind::kGangJob) return;
    const cell::job_status status = cell_.state.StatusOf(first.id.job);
    EXPECT_EQ(static_cast<std::int64_t>(placement->group.size()),
              status.waiting);
    EXPECT_EQ(status.assigned + status.running, 0);
  }

  void CheckEvictions(const round& decided) const {
    std::map<core::department_id, core::resources> used;
    for (const auto& [id, t] : cell_.state.Tasks()) {
      const bool stays =
          cell::HoldsResources(t.phase) && !t.evicting && !t.stopping;
      if (stays) used[t.job.department] = used[t.job.department] + t.need;
    }
    // In the order of the decisions, evicted tasks no longer count as used, and
    // tasks placed in this round do.
    std::set<core::revision> gangs;
    for (const decision& d : decided.decisions) {
      if (const auto* p = std::get_if<place>(&d)) {
        for (const auto& placed : p->group) {
          const cell::task_record& t = *cell_.state.FindTask(placed.id);
          used[t.job.department] = used[t.job.department] + t.need;
        }
      }
      const auto* e = std::get_if<evict>(&d);
      if (e == nullptr) continue;
      for (const cell::task_id& id : e->tasks) {
        const cell::task_record& t = *cell_.state.FindTask(id);
        core::resources& department_used = used[t.job.department];
        const bool counted = !gangs.insert(id.job).second &&
                             t.job.kind == cell::object_kind::kGangJob;
        if (e->reason == evict_reason::kReclaimed && !counted) {
          EXPECT_TRUE(ExceedsQuota(t, department_used)) << t.job.name;
        }
        if (e->reason == evict_reason::kPreempted) {
          EXPECT_TRUE(HasUrgentWaiting(t.job.department)) << t.job.name;
        }
        ExpectRestartable(t, e->checkpoint);
        department_used = department_used - t.need;
      }
    }
  }

  bool ExceedsQuota(const cell::task_record& task,
                    const core::resources& used) const {
    const auto& quota =
        std::get<cell::department_spec>(
            cell_.state
                .Find(
                    {cell::object_kind::kDepartment, {}, task.job.department.v})
                ->spec)
            .quota;
    return (task.need.cpu_milli > 0 && used.cpu_milli > quota.cpu_milli) ||
           (task.need.memory_mib > 0 && used.memory_mib > quota.memory_mib) ||
           (task.need.accelerators > 0 &&
            used.accelerators > quota.accelerators);
  }

  bool HasUrgentWaiting(const core::department_id& department) const {
    for (const auto& [id, t] : cell_.state.Tasks()) {
      const bool waits = t.phase == cell::task_phase::kWaiting &&
                         t.job.department == department;
      const cell::object* o = waits ? cell_.state.Find(t.job) : nullptr;
      if (o && Summarize(o->spec).urgency == cell::urgency::kUrgent) {
        return true;
      }
    }
    return false;
  }

  void ExpectRestartable(const cell::task_record& task, bool checkpoint) const {
    const cell::object* object = cell_.state.Find(task.job);
    ASSERT_NE(object, nullptr);
    const auto* batch = std::get_if<cell::batch_job_spec>(&object->spec);
    if (batch == nullptr) return;
    EXPECT_TRUE(batch->idempotent || batch->checkpoint);
    EXPECT_EQ(batch->checkpoint, checkpoint);
  }

  void ApplyRandomEvent() {
    switch (Pick(generator_, 0, 9)) {
      case 0:
      case 1:
      case 2:
        cell_.PutObject(
            NumberedName("d", static_cast<int>(Pick(generator_, 0, 3))),
            NumberedName("job", ++jobs_), RandomJob(generator_, true));
        return;
      case 3:
        return ChangeRandomWorker();
      case 4:
        return EndRandomJob();
      default:
        return ReportRandomTasks();
    }
  }

  void ChangeRandomWorker() {
    const int i = static_cast<int>(Pick(generator_, 0, 9));
    const core::worker_id id{NumberedName("w", i)};
    const auto* w = cell_.state.FindWorker(id);
    if (w != nullptr && Pick(generator_, 0, 1) == 0) {
      cell_.Apply(cell::remove_worker{id, w->incarnation});
      return;
    }
    if (w != nullptr && Pick(generator_, 0, 2) == 0) {
      const cell::object_key key{cell::object_kind::kWorker, {}, id.v};
      cell_.Apply(cell::put_object{
          key, cell::worker_spec{Pick(generator_, 0, 1) == 0}});
      return;
    }
    cell_.AddWorker(
        id.v,
        {Pick(generator_, 4, 16) * 1000, Pick(generator_, 4, 16) * 2048, 4},
        NumberedName("r", i % 3), NumberedName("k", i / 6), ++incarnation_);
  }

  void EndRandomJob() {
    std::vector<cell::object_key> jobs;
    for (const auto& [key, o] : cell_.state.Objects()) {
      if (!key.department.v.empty()) jobs.push_back(key);
    }
    if (jobs.empty()) return;
    const auto& key = jobs[generator_() % jobs.size()];
    if (Pick(generator_, 0, 1) == 0) {
      cell_.Apply(cell::delete_object{key, std::nullopt});
    } else {
      cell_.Apply(cell::cancel_job{key});
    }
  }

  void ReportRandomTasks() {
    std::vector<cell::task_report> reports;
    for (const auto& [id, t] : cell_.state.Tasks()) {
      if (!cell::HoldsResources(t.phase) || Pick(generator_, 0, 2) != 0) {
        continue;
      }
      auto phase = cell::task_phase::kRunning;
      if (t.evicting || t.stopping) phase = cell::task_phase::kStopped;
      if (Pick(generator_, 0, 7) == 0) phase = cell::task_phase::kFailed;
      if (Pick(generator_, 0, 5) == 0) phase = cell::task_phase::kSucceeded;
      reports.push_back({id, t.attempt, phase, ""});
    }
    if (!reports.empty()) cell_.Apply(cell::report_tasks{reports});
  }

  random generator_;
  test_cell cell_;
  int jobs_ = 0;
  core::incarnation incarnation_ = 1;
};

class InvariantTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against overcommitted workers, partially placed gangs, evictions of
// work within its quota, and wrong free capacity after any order of events.
TEST_P(InvariantTest, HoldsInAnyOrderOfEvents) {
  random_cell c(GetParam());
  for (int i = 0; i < 150 && !HasFailure(); ++i) c.Step();
  c.CheckRebuiltScheduler();
}

INSTANTIATE_TEST_SUITE_P(Seeds, InvariantTest,
                         testing::Range<std::uint64_t>(1, 301));

// Guards against decisions that depend on addresses or hash order.
TEST(DeterminismTest, SameSeedAndCallsGiveTheSameDecisions) {
  std::vector<round> rounds[2];
  for (auto& of : rounds) {
    random r(5);
    test_cell c({}, 5);
    AddWorkers(c, r, 20);
    for (int i = 0; i < 60; ++i) {
      c.PutObject(NumberedName("d", i % 4), NumberedName("job", i),
                  RandomJob(r, true));
      c.now += std::chrono::seconds(1);
      of.push_back(c.Step());
    }
  }
  EXPECT_EQ(rounds[0], rounds[1]);
}

}  // namespace
}  // namespace mangoplank::placement
