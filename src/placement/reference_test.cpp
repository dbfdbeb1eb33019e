// The scheduler against a naive one that derives everything from the state for
// each decision and looks at every worker, and invariants over random events.

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

std::int64_t Pick(random& r, std::int64_t from, std::int64_t to) {
  return from + static_cast<std::int64_t>(
                    r() % static_cast<std::uint64_t>(to - from + 1));
}

core::resources RandomNeed(random& r) {
  return {Pick(r, 1, 16) * 250, Pick(r, 1, 16) * 512,
          Pick(r, 0, 9) == 0 ? Pick(r, 1, 2) : 0};
}

void AddWorkers(test_cell& c, random& r, int n) {
  for (int i = 0; i < n; ++i) {
    const core::resources capacity{Pick(r, 4, 16) * 1000, Pick(r, 4, 16) * 2048,
                                   Pick(r, 0, 3) == 0 ? 4 : 0};
    c.Worker(Numbered("w", i), capacity, Numbered("r", i % 3),
             Numbered("k", i / 6));
  }
}

cell::object_spec RandomJob(random& r, bool gangs) {
  const core::resources need = RandomNeed(r);
  const auto u = static_cast<cell::urgency>(Pick(r, 0, 2));
  switch (Pick(r, 0, gangs ? 3 : 2)) {
    case 0: {
      cell::service_spec s = Service(Pick(r, 1, 5), need);
      s.urgency = u;
      s.max_unavailable = Pick(r, 1, 2);
      return s;
    }
    case 3: {
      cell::gang_job_spec g = Gang(Pick(r, 2, 8), need);
      g.urgency = u;
      g.where.one_region = Pick(r, 0, 1) == 0;
      return g;
    }
    default: {
      cell::batch_job_spec b = Batch(Pick(r, 1, 8), need, u);
      b.idempotent = Pick(r, 0, 3) != 0;
      b.checkpoint = Pick(r, 0, 1) == 0;
      b.max_retries = 100;
      return b;
    }
  }
}

/// What a spec says that the reference needs.
struct demand {
  bool service = false;
  cell::urgency u = cell::urgency::kNormal;
};

demand DemandOf(const cell::object_spec& spec) {
  demand d;
  if (const auto* s = std::get_if<cell::service_spec>(&spec)) {
    d = {true, s->urgency};
  } else if (const auto* b = std::get_if<cell::batch_job_spec>(&spec)) {
    d = {false, b->urgency};
  }
  return d;
}

/// One placement that the naive scheduler would make: the task, and every
/// worker of lowest cost.
struct naive_choice {
  cell::task_id task;
  std::set<core::worker_id> workers;
};

/// Decides services and batch jobs without urgency across departments,
/// eviction, health or history.
class naive_scheduler {
 public:
  explicit naive_scheduler(const cell::state& s) : s_(s) {}

  std::optional<naive_choice> Next() {
    while (const auto d = NextDepartment()) {
      const cell::object o = *Head(*d);
      const cell::task_id task = FirstWaiting(o.uid);
      const auto workers = Cheapest(o, task);
      if (!workers.empty()) return naive_choice{task, workers};
      failed_.insert(o.uid);
    }
    return std::nullopt;
  }

  void Apply(const cell::task_placement& p) { placed_[p.id] = p.worker; }

 private:
  bool IsWaiting(const cell::task_record& t) const {
    return t.phase == cell::task_phase::kWaiting && !placed_.count(t.id);
  }

  std::optional<core::worker_id> WorkerOf(const cell::task_record& t) const {
    if (cell::HoldsResources(t.phase)) return t.worker;
    const auto it = placed_.find(t.id);
    if (it == placed_.end()) return std::nullopt;
    return it->second;
  }

  core::resources UsedBy(const std::string& department) const {
    core::resources sum;
    for (const auto& [id, t] : s_.Tasks()) {
      if (t.job.department.v == department && WorkerOf(t)) sum = sum + t.need;
    }
    return sum;
  }

  core::resources FreeOf(const cell::worker_record& w) const {
    core::resources free = w.capacity;
    for (const auto& [id, t] : s_.Tasks()) {
      if (WorkerOf(t) == w.id) free = free - t.need;
    }
    return free;
  }

  cell::task_id FirstWaiting(core::revision uid) const {
    for (const auto& [id, t] : s_.Tasks()) {
      if (id.job == uid && IsWaiting(t)) return id;
    }
    return {};
  }

  const cell::object* Head(const std::string& department) const {
    const cell::object* head = nullptr;
    for (const auto& [key, o] : s_.Objects()) {
      if (key.department.v != department || failed_.count(o.uid)) continue;
      if (FirstWaiting(o.uid).job == 0) continue;
      if (head == nullptr || Before(o, *head)) head = &o;
    }
    return head;
  }

  static bool Before(const cell::object& a, const cell::object& b) {
    const auto ua = DemandOf(a.spec).u;
    const auto ub = DemandOf(b.spec).u;
    return ua != ub ? ua > ub : a.uid < b.uid;
  }

  static double Dominant(const core::resources& used,
                         const core::resources& of) {
    const auto part = [](std::int64_t a, std::int64_t b) {
      return b == 0 ? 0.0 : static_cast<double>(a) / static_cast<double>(b);
    };
    return std::max({part(used.cpu_milli, of.cpu_milli),
                     part(used.memory_mib, of.memory_mib),
                     part(used.accelerators, of.accelerators)});
  }

  std::optional<std::string> NextDepartment() const {
    core::resources total;
    for (const auto& [id, w] : s_.Workers()) total = total + w.capacity;
    std::optional<std::string> best;
    std::pair<bool, double> best_rank;
    for (const auto& [key, o] : s_.Objects()) {
      const auto* d = std::get_if<cell::department_spec>(&o.spec);
      const cell::object* head = d ? Head(key.name) : nullptr;
      if (head == nullptr) continue;
      const core::resources used = UsedBy(key.name);
      const core::resources need = s_.FindTask(FirstWaiting(head->uid))->need;
      core::resources limit = d->quota;
      // An amount that is not asked for can't exceed a quota.
      if (need.accelerators == 0) {
        limit.accelerators = std::numeric_limits<std::int64_t>::max();
      }
      const std::pair rank{
          !limit.Holds(used + need),
          Dominant(used, total) / static_cast<double>(d->weight)};
      if (best && rank >= best_rank) continue;
      best = key.name;
      best_rank = rank;
    }
    return best;
  }

  std::set<core::worker_id> Cheapest(const cell::object& o,
                                     const cell::task_id& task) const {
    const core::resources need = s_.FindTask(task)->need;
    std::map<core::region_id, int> by_region;
    std::map<core::location, int> by_rack;
    for (const auto& [id, t] : s_.Tasks()) {
      const auto w = id.job == o.uid ? WorkerOf(t) : std::nullopt;
      if (!w) continue;
      ++by_region[s_.FindWorker(*w)->location.region];
      ++by_rack[s_.FindWorker(*w)->location];
    }
    std::optional<core::region_id> home;
    for (const auto& [region, n] : by_region) {
      if (!home || n > by_region[*home]) home = region;
    }
    const demand d = DemandOf(o.spec);
    const bool stays = !d.service && d.u != cell::urgency::kUrgent && home;
    std::set<core::worker_id> best;
    double least = std::numeric_limits<double>::max();
    for (const auto& [id, w] : s_.Workers()) {
      const core::resources free = FreeOf(w);
      if (w.drain || !free.Holds(need)) continue;
      if (stays && w.location.region != *home) continue;
      const double cpu = static_cast<double>(free.cpu_milli - need.cpu_milli) /
                         static_cast<double>(w.capacity.cpu_milli);
      const double memory =
          static_cast<double>(free.memory_mib - need.memory_mib) /
          static_cast<double>(w.capacity.memory_mib);
      double cost = std::abs(cpu - memory) + 0.05 * (cpu + memory);
      if (need.accelerators == 0 && w.capacity.accelerators > 0) cost += 1e6;
      if (home && w.location.region != *home) cost += 5;
      if (d.service) cost += 10.0 * by_rack[w.location];
      if (cost > least + 1e-9) continue;
      if (cost < least - 1e-9) best.clear();
      least = std::min(least, cost);
      best.insert(id);
    }
    return best;
  }

  const cell::state& s_;
  std::map<cell::task_id, core::worker_id> placed_;
  std::set<core::revision> failed_;
};

bool IsPossible(const test_cell& c, const core::resources& need) {
  for (const auto& [id, w] : c.state.Workers()) {
    if (w.capacity.Holds(need)) return true;
  }
  return false;
}

class DifferentialTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against a shortcut (the index of room, cached shares, the memory of
// failed searches, queues) that changes what is decided.
TEST_P(DifferentialTest, DecidesAsTheNaiveScheduler) {
  random r(GetParam());
  policy p;
  p.max_evictions = 0;
  p.history_weight = 0;
  p.max_run_time_credit = {};
  test_cell c(p, GetParam());
  AddWorkers(c, r, static_cast<int>(Pick(r, 1, 12)));
  for (int d = 0; d < 4; ++d) {
    c.Department(Numbered("d", d), Pick(r, 1, 4),
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
      if (!IsPossible(c, need)) continue;
      c.Put(Numbered("d", static_cast<int>(Pick(r, 0, 3))),
            Numbered("job", step * 4 + i), spec);
    }
    const round decided = c.Decide();
    naive_scheduler naive(c.state);
    for (const decision& d : decided.decisions) {
      const auto& group = std::get<place>(d).group;
      ASSERT_EQ(group.size(), 1u);
      const auto expected = naive.Next();
      ASSERT_TRUE(expected) << "step " << step;
      ASSERT_EQ(group[0].id, expected->task) << "step " << step;
      ASSERT_TRUE(expected->workers.count(group[0].worker)) << "step " << step;
      naive.Apply(group[0]);
    }
    ASSERT_FALSE(naive.Next()) << "step " << step;
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
  EXPECT_EQ(c.refused, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, DifferentialTest,
                         testing::Range<std::uint64_t>(1, 201));

/// Random events, and checks of what must hold after each decision.
class random_cell {
 public:
  explicit random_cell(std::uint64_t seed) : r_(seed), c_({}, seed) {
    AddWorkers(c_, r_, 10);
    for (int d = 0; d < 4; ++d) {
      c_.Department(Numbered("d", d), Pick(r_, 1, 4),
                    RandomNeed(r_) * Pick(r_, 0, 6));
    }
  }

  void Step() {
    c_.now += std::chrono::milliseconds(Pick(r_, 0, 5000));
    for (std::int64_t i = Pick(r_, 0, 4); i > 0; --i) Disturb();
    const round decided = c_.Decide();
    CheckEvictions(decided);
    // Some commits come after other changes.
    const bool late = Pick(r_, 0, 3) == 0;
    if (late) Disturb();
    for (const decision& d : decided.decisions) {
      if (!late) CheckGang(d);
      const int refused = c_.refused;
      if (Pick(r_, 0, 9) == 0) {
        c_.s.Forget(d, c_.now);
      } else {
        c_.Commit(d);
      }
      if (late) continue;
      EXPECT_EQ(c_.refused, refused);
    }
    CheckRoom(c_.s);
  }

  // Guards against a new leader that counts room otherwise than the old one.
  void CheckRebuilt() {
    scheduler rebuilt({}, 7);
    const auto image = c_.state.Image();
    for (const auto& t : image.tasks) {
      rebuilt.Observe(cell::task_changed{t}, c_.now);
    }
    for (const auto& w : image.workers) {
      rebuilt.Observe(cell::worker_changed{w}, c_.now);
    }
    for (const auto& o : image.objects) {
      rebuilt.Observe(cell::object_changed{o}, c_.now);
    }
    CheckRoom(rebuilt);
    for (const decision& d : rebuilt.Decide(c_.now).decisions) {
      if (const auto* p = std::get_if<place>(&d)) {
        const auto answer = c_.Do(cell::place_tasks{{p->group}});
        EXPECT_TRUE(answer && answer->refused_groups.empty());
      }
    }
  }

 private:
  void CheckRoom(const scheduler& s) const {
    for (const auto& [id, w] : c_.state.Workers()) {
      EXPECT_EQ(s.FreeOf(id), w.capacity - c_.state.Committed(id)) << id.v;
    }
  }

  void CheckGang(const decision& d) const {
    const auto* p = std::get_if<place>(&d);
    if (p == nullptr) return;
    const cell::task_record& first = *c_.state.FindTask(p->group[0].id);
    if (first.job.kind != cell::object_kind::kGangJob) return;
    const cell::job_status status = c_.state.StatusOf(first.id.job);
    EXPECT_EQ(static_cast<std::int64_t>(p->group.size()), status.waiting);
    EXPECT_EQ(status.assigned + status.running, 0);
  }

  void CheckEvictions(const round& decided) const {
    std::map<core::department_id, core::resources> used;
    for (const auto& [id, t] : c_.state.Tasks()) {
      const bool stays =
          cell::HoldsResources(t.phase) && !t.evicting && !t.stopping;
      if (stays) used[t.job.department] = used[t.job.department] + t.need;
    }
    // Tasks stopped for another reason no longer count as used, and tasks
    // placed in this round count, in the order of the decisions.
    std::set<core::revision> gangs;
    for (const decision& d : decided.decisions) {
      if (const auto* p = std::get_if<place>(&d)) {
        for (const auto& placed : p->group) {
          const cell::task_record& t = *c_.state.FindTask(placed.id);
          used[t.job.department] = used[t.job.department] + t.need;
        }
      }
      const auto* e = std::get_if<evict>(&d);
      if (e == nullptr) continue;
      for (const cell::task_id& id : e->tasks) {
        const cell::task_record& t = *c_.state.FindTask(id);
        core::resources& u = used[t.job.department];
        const bool again = !gangs.insert(id.job).second &&
                           t.job.kind == cell::object_kind::kGangJob;
        if (e->reason == evict_reason::kReclaimed && !again) {
          EXPECT_TRUE(ExceedsQuota(t, u)) << t.job.name;
        }
        if (e->reason == evict_reason::kMoreUrgent) {
          EXPECT_TRUE(HasUrgentWaiting(t.job.department)) << t.job.name;
        }
        ExpectRestartable(t, e->checkpoint);
        u = u - t.need;
      }
    }
  }

  bool ExceedsQuota(const cell::task_record& t,
                    const core::resources& u) const {
    const auto& q =
        std::get<cell::department_spec>(
            c_.state
                .Find({cell::object_kind::kDepartment, {}, t.job.department.v})
                ->spec)
            .quota;
    return (t.need.cpu_milli > 0 && u.cpu_milli > q.cpu_milli) ||
           (t.need.memory_mib > 0 && u.memory_mib > q.memory_mib) ||
           (t.need.accelerators > 0 && u.accelerators > q.accelerators);
  }

  bool HasUrgentWaiting(const core::department_id& department) const {
    for (const auto& [id, t] : c_.state.Tasks()) {
      const bool waits = t.phase == cell::task_phase::kWaiting &&
                         t.job.department == department;
      const cell::object* o = waits ? c_.state.Find(t.job) : nullptr;
      if (o && DemandOf(o->spec).u == cell::urgency::kUrgent) return true;
    }
    return false;
  }

  void ExpectRestartable(const cell::task_record& t, bool checkpoint) const {
    const cell::object* o = c_.state.Find(t.job);
    ASSERT_NE(o, nullptr);
    const auto* b = std::get_if<cell::batch_job_spec>(&o->spec);
    if (b == nullptr) return;
    EXPECT_TRUE(b->idempotent || b->checkpoint);
    EXPECT_EQ(b->checkpoint, checkpoint);
  }

  void Disturb() {
    switch (Pick(r_, 0, 9)) {
      case 0:
      case 1:
      case 2:
        c_.Put(Numbered("d", static_cast<int>(Pick(r_, 0, 3))),
               Numbered("job", ++jobs_), RandomJob(r_, true));
        return;
      case 3:
        return ChangeWorker();
      case 4:
        return EndJob();
      default:
        return ReportSome();
    }
  }

  void ChangeWorker() {
    const int i = static_cast<int>(Pick(r_, 0, 9));
    const core::worker_id id{Numbered("w", i)};
    const auto* w = c_.state.FindWorker(id);
    if (w != nullptr && Pick(r_, 0, 1) == 0) {
      c_.Do(cell::remove_worker{id, w->incarnation});
      return;
    }
    if (w != nullptr && Pick(r_, 0, 2) == 0) {
      const cell::object_key key{cell::object_kind::kWorker, {}, id.v};
      c_.Do(cell::put_object{key, cell::worker_spec{Pick(r_, 0, 1) == 0}});
      return;
    }
    c_.Worker(id.v, {Pick(r_, 4, 16) * 1000, Pick(r_, 4, 16) * 2048, 4},
              Numbered("r", i % 3), Numbered("k", i / 6), ++incarnation_);
  }

  void EndJob() {
    std::vector<cell::object_key> jobs;
    for (const auto& [key, o] : c_.state.Objects()) {
      if (!key.department.v.empty()) jobs.push_back(key);
    }
    if (jobs.empty()) return;
    const auto& key = jobs[r_() % jobs.size()];
    if (Pick(r_, 0, 1) == 0) {
      c_.Do(cell::delete_object{key, std::nullopt});
    } else {
      c_.Do(cell::cancel_job{key});
    }
  }

  void ReportSome() {
    std::vector<cell::task_report> reports;
    for (const auto& [id, t] : c_.state.Tasks()) {
      if (!cell::HoldsResources(t.phase) || Pick(r_, 0, 2) != 0) continue;
      auto phase = cell::task_phase::kRunning;
      if (t.evicting || t.stopping) phase = cell::task_phase::kStopped;
      if (Pick(r_, 0, 7) == 0) phase = cell::task_phase::kFailed;
      if (Pick(r_, 0, 5) == 0) phase = cell::task_phase::kSucceeded;
      reports.push_back({id, t.attempt, phase, ""});
    }
    if (!reports.empty()) c_.Do(cell::report_tasks{reports});
  }

  random r_;
  test_cell c_;
  int jobs_ = 0;
  core::incarnation incarnation_ = 1;
};

class InvariantTest : public testing::TestWithParam<std::uint64_t> {};

// Guards against commitments above a capacity, split gangs, evictions of work
// within its quota, and room that is counted wrong after any order of events.
TEST_P(InvariantTest, HoldsInAnyOrderOfEvents) {
  random_cell c(GetParam());
  for (int i = 0; i < 150 && !HasFailure(); ++i) c.Step();
  c.CheckRebuilt();
}

INSTANTIATE_TEST_SUITE_P(Seeds, InvariantTest,
                         testing::Range<std::uint64_t>(1, 301));

// Guards against decisions that depend on addresses or on hash order.
TEST(DeterminismTest, SameSeedAndCallsGiveTheSameDecisions) {
  std::vector<round> rounds[2];
  for (auto& of : rounds) {
    random r(5);
    test_cell c({}, 5);
    AddWorkers(c, r, 20);
    for (int i = 0; i < 60; ++i) {
      c.Put(Numbered("d", i % 4), Numbered("job", i), RandomJob(r, true));
      c.now += std::chrono::seconds(1);
      of.push_back(c.Step());
    }
  }
  EXPECT_EQ(rounds[0], rounds[1]);
}

}  // namespace
}  // namespace mangoplank::placement
