#ifndef MANGOPLANK_PLACEMENT_TEST_CELL_H_
#define MANGOPLANK_PLACEMENT_TEST_CELL_H_

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/placement/scheduler.h"

namespace mangoplank::placement {

/// @return `prefix` followed by a number.
inline std::string NumberedName(const char* prefix, int number) {
  return fmt::format("{}{}", prefix, number);
}

/// A scheduler together with a cell state: commands are applied at once and
/// their changes are observed. Counts placements that the state refuses.
class test_cell {
 public:
  explicit test_cell(const placement::policy& policy = {},
                     std::uint64_t seed = 1)
      : scheduler(policy, seed) {}

  /// Applies a command and lets the scheduler observe its changes.
  core::outcome<cell::accepted> Apply(const cell::command_body& body) {
    cell::command c;
    c.proposed_at = WallNow();
    c.body = body;
    const cell::effect effect = state.Apply(state.Revision() + 1, c);
    for (const cell::change& change : effect.changes) {
      scheduler.Observe(change, now);
    }
    return effect.answer;
  }

  core::wall_time_ms WallNow() const {
    return std::chrono::duration_cast<core::milliseconds>(
               now.time_since_epoch())
        .count();
  }

  void AddWorker(const std::string& name, core::resources capacity,
                 const std::string& region = "r1",
                 const std::string& rack = "k1",
                 core::incarnation incarnation = 1) {
    cell::worker_record w;
    w.id = {name};
    w.incarnation = incarnation;
    w.capacity = capacity;
    w.location = {{region}, {region + "-1"}, {rack}};
    EXPECT_TRUE(Apply(cell::register_worker{w}));
  }

  void Drain(const std::string& name) {
    const cell::object_key key{cell::object_kind::kWorker, {}, name};
    EXPECT_TRUE(Apply(cell::put_object{key, cell::worker_spec{true}}));
  }

  void AddDepartment(const std::string& name, std::int64_t weight = 1,
                     core::resources quota = {},
                     const std::string& parent = "") {
    cell::department_spec d;
    d.weight = weight;
    d.quota = quota;
    d.parent = {parent};
    const cell::object_key key{cell::object_kind::kDepartment, {}, name};
    EXPECT_TRUE(Apply(cell::put_object{key, d}));
  }

  /// @return uid of the object; its tasks are waiting.
  core::revision PutObject(const std::string& department,
                           const std::string& name,
                           const cell::object_spec& spec) {
    const cell::object_key key{cell::KindOf(spec), {department}, name};
    if (!state.Find({cell::object_kind::kDepartment, {}, department})) {
      AddDepartment(department);
    }
    const auto answer = Apply(cell::put_object{key, spec});
    EXPECT_TRUE(answer);
    return answer ? answer->object->uid : 0;
  }

  void Report(const cell::task_id& id, cell::task_phase phase) {
    const cell::task_record* t = state.FindTask(id);
    ASSERT_NE(t, nullptr);
    Apply(cell::report_tasks{{{id, t->attempt, phase, ""}}});
  }

  /// Reports all assigned tasks as running and evicted ones as stopped.
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
    if (!reports.empty()) Apply(cell::report_tasks{reports});
  }

  void Commit(const placement::decision& decision) {
    std::visit(core::overloaded{
                   [&](const place& p) {
                     const auto a = Apply(cell::place_tasks{{p.group}});
                     const bool done = a && a->refused_groups.empty();
                     if (!done) scheduler.Forget(decision, now);
                     refused_placements += done ? 0 : 1;
                   },
                   [&](const evict& e) { Apply(cell::evict_tasks{e.tasks}); },
                   [](const unsatisfiable&) {},
               },
               decision);
  }

  round Decide() { return scheduler.Decide(now); }

  /// Decides, commits, and reports tasks as running or stopped.
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

  placement::scheduler scheduler;
  cell::state state;
  core::time_point now{};
  /// Placements that the state did not accept.
  int refused_placements = 0;
};

inline cell::batch_job_spec MakeBatchJob(
    std::int64_t tasks, core::resources need,
    cell::urgency urgency = cell::urgency::kNormal) {
  cell::batch_job_spec b;
  b.tasks = tasks;
  b.need = need;
  b.urgency = urgency;
  return b;
}

inline cell::gang_job_spec MakeGangJob(std::int64_t tasks,
                                       core::resources need) {
  cell::gang_job_spec g;
  g.tasks = tasks;
  g.need = need;
  return g;
}

inline cell::service_spec MakeService(std::int64_t replicas,
                                      core::resources need) {
  cell::service_spec s;
  s.replicas = replicas;
  s.need = need;
  return s;
}

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_TEST_CELL_H_
