#ifndef MANGOPLANK_PLACEMENT_TEST_CELL_H_
#define MANGOPLANK_PLACEMENT_TEST_CELL_H_

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/placement/scheduler.h"

namespace mangoplank::placement {

/// @return `prefix` and a number.
inline std::string Numbered(const char* prefix, int i) {
  return fmt::format("{}{}", prefix, i);
}

/// A scheduler beside the state it serves: commands are applied at once and
/// their changes observed. Placements that the state refuses are counted.
class test_cell {
 public:
  explicit test_cell(const policy& p = {}, std::uint64_t seed = 1)
      : s(p, seed) {}

  /// Applies a command and shows its changes to the scheduler.
  core::outcome<cell::accepted> Do(const cell::command_body& body) {
    cell::command c;
    c.proposed_at = WallNow();
    c.body = body;
    const cell::effect e = state.Apply(state.Revision() + 1, c);
    for (const cell::change& one : e.changes) s.Observe(one, now);
    return e.answer;
  }

  core::wall_time_ms WallNow() const {
    return std::chrono::duration_cast<core::milliseconds>(
               now.time_since_epoch())
        .count();
  }

  void Worker(const std::string& name, core::resources capacity,
              const std::string& region = "r1", const std::string& rack = "k1",
              core::incarnation incarnation = 1) {
    cell::worker_record w;
    w.id = {name};
    w.incarnation = incarnation;
    w.capacity = capacity;
    w.location = {{region}, {region + "-1"}, {rack}};
    EXPECT_TRUE(Do(cell::register_worker{w}));
  }

  void Drain(const std::string& name) {
    const cell::object_key key{cell::object_kind::kWorker, {}, name};
    EXPECT_TRUE(Do(cell::put_object{key, cell::worker_spec{true}}));
  }

  void Department(const std::string& name, std::int64_t weight = 1,
                  core::resources quota = {}, const std::string& parent = "") {
    cell::department_spec d;
    d.weight = weight;
    d.quota = quota;
    d.parent = {parent};
    const cell::object_key key{cell::object_kind::kDepartment, {}, name};
    EXPECT_TRUE(Do(cell::put_object{key, d}));
  }

  /// @return uid of the object, whose tasks wait.
  core::revision Put(const std::string& department, const std::string& name,
                     const cell::object_spec& spec) {
    const cell::object_key key{cell::KindOf(spec), {department}, name};
    if (!state.Find({cell::object_kind::kDepartment, {}, department})) {
      Department(department);
    }
    const auto answer = Do(cell::put_object{key, spec});
    EXPECT_TRUE(answer);
    return answer ? answer->object->uid : 0;
  }

  void Report(const cell::task_id& id, cell::task_phase phase) {
    const cell::task_record* t = state.FindTask(id);
    ASSERT_NE(t, nullptr);
    Do(cell::report_tasks{{{id, t->attempt, phase, ""}}});
  }

  /// Reports all assigned tasks as running, and evicted ones as stopped.
  void RunAll() {
    std::vector<cell::task_report> reports;
    for (const auto& [id, t] : state.Tasks()) {
      if (!cell::HoldsResources(t.phase)) continue;
      const bool stops = t.evicting || t.stopping;
      if (!stops && t.phase == cell::task_phase::kRunning) continue;
      reports.push_back(
          {id, t.attempt,
           stops ? cell::task_phase::kStopped : cell::task_phase::kRunning,
           ""});
    }
    if (!reports.empty()) Do(cell::report_tasks{reports});
  }

  void Commit(const decision& d) {
    std::visit(core::overloaded{
                   [&](const place& p) {
                     const auto a = Do(cell::place_tasks{{p.group}});
                     const bool done = a && a->refused_groups.empty();
                     if (!done) s.Forget(d, now);
                     refused += done ? 0 : 1;
                   },
                   [&](const evict& e) { Do(cell::evict_tasks{e.tasks}); },
                   [](const unsatisfiable&) {},
               },
               d);
  }

  round Decide() { return s.Decide(now); }

  /// Decides and commits; the tasks run and evicted ones stop.
  round Step() {
    const round r = Decide();
    for (const decision& d : r.decisions) Commit(d);
    RunAll();
    return r;
  }

  /// @return number of placed tasks of the job.
  std::int64_t Placed(core::revision job) const {
    const cell::job_status status = state.StatusOf(job);
    return status.assigned + status.running;
  }

  /// @return the worker of a placed task; empty if it is not placed.
  std::string WorkerOf(const cell::task_id& id) const {
    const cell::task_record* t = state.FindTask(id);
    return t && cell::HoldsResources(t->phase) ? t->worker.v : "";
  }

  scheduler s;
  cell::state state;
  core::time_point now{};
  /// Placements that the state did not accept.
  int refused = 0;
};

inline cell::batch_job_spec Batch(std::int64_t tasks, core::resources need,
                                  cell::urgency u = cell::urgency::kNormal) {
  cell::batch_job_spec b;
  b.tasks = tasks;
  b.need = need;
  b.urgency = u;
  return b;
}

inline cell::gang_job_spec Gang(std::int64_t tasks, core::resources need) {
  cell::gang_job_spec g;
  g.tasks = tasks;
  g.need = need;
  return g;
}

inline cell::service_spec Service(std::int64_t replicas, core::resources need) {
  cell::service_spec s;
  s.replicas = replicas;
  s.need = need;
  return s;
}

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_TEST_CELL_H_
