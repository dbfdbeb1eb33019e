#ifndef MANGOPLANK_PLACEMENT_TEST_CELL_H_
#define MANGOPLANK_PLACEMENT_TEST_CELL_H_

#include <fmt/format.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "mangoplank/placement/scheduler.h"

namespace mangoplank::placement {

/// @return `prefix` and a number.
inline std::string Numbered(const char* prefix, int i) {
  return fmt::format("{}{}", prefix, i);
}

/// A small stand-in for the replicated state: keeps workers and tasks, turns
/// decisions into changes and checks that they are possible.
class test_cell {
 public:
  explicit test_cell(policy p = {}, std::uint64_t seed = 1)
      : policy_(p), s(p, seed) {}

  void Worker(const std::string& name, core::resources capacity,
              const std::string& region = "r1", const std::string& rack = "k1",
              bool drain = false) {
    cell::worker_record w;
    w.id = {name};
    w.incarnation = 1;
    w.capacity = capacity;
    w.where = {{region}, {region + "-1"}, {rack}};
    w.drain = drain;
    workers[w.id] = w;
    Send(cell::worker_changed{w});
  }

  void Department(const std::string& name, std::int64_t weight,
                  core::resources quota, const std::string& parent = "") {
    cell::department_spec d;
    d.weight = weight;
    d.quota = quota;
    d.parent = {parent};
    cell::object o;
    o.key = {cell::object_kind::kDepartment, {}, name};
    o.spec = d;
    Send(cell::object_changed{o});
  }

  /// @return uid of the new object, whose tasks wait.
  core::revision Put(const std::string& department, const std::string& name,
                     const cell::object_spec& spec) {
    cell::object o;
    o.uid = ++revision;
    o.created = static_cast<core::wall_time_ms>(revision);
    o.spec = spec;
    std::int64_t tasks = 0;
    core::resources need;
    std::visit(core::overloaded{
                   [&](const cell::service_spec& s) {
                     o.key.k = cell::object_kind::kService;
                     tasks = s.replicas;
                     need = s.need;
                   },
                   [&](const cell::batch_job_spec& s) {
                     o.key.k = cell::object_kind::kBatchJob;
                     tasks = s.tasks;
                     need = s.need;
                   },
                   [&](const cell::gang_job_spec& s) {
                     o.key.k = cell::object_kind::kGangJob;
                     tasks = s.tasks;
                     need = s.need;
                   },
                   [](const auto&) {},
               },
               spec);
    o.key.department = {department};
    o.key.name = name;
    objects[o.uid] = o;
    Send(cell::object_changed{o});
    for (std::int64_t i = 0; i < tasks; ++i) {
      cell::task_record t;
      t.id = {o.uid, static_cast<std::uint32_t>(i)};
      t.job = o.key;
      t.need = need;
      Change(t);
    }
    return o.uid;
  }

  void Change(const cell::task_record& t) {
    this->tasks[t.id] = t;
    Send(cell::task_changed{t});
  }

  void Phase(const cell::task_id& id, cell::task_phase p) {
    cell::task_record t = tasks.at(id);
    t.phase = p;
    Change(t);
  }

  /// A start of the task failed; it waits again.
  void Fail(const cell::task_id& id) {
    cell::task_record t = tasks.at(id);
    t.phase = cell::task_phase::kWaiting;
    ++t.failures;
    Change(t);
  }

  /// Commits a placement as assigned and running.
  void Commit(const place& p) {
    for (const cell::task_placement& t : p.group) {
      cell::task_record r = tasks.at(t.id);
      r.phase = cell::task_phase::kAssigned;
      r.worker = t.worker;
      r.worker_incarnation = t.worker_incarnation;
      r.generation = objects.at(t.id.job).generation;
      ++r.attempt;
      Change(r);
    }
    for (const cell::task_placement& t : p.group) {
      Phase(t.id, cell::task_phase::kRunning);
    }
  }

  void Commit(const evict& e) {
    for (const cell::task_id& id : e.tasks) {
      Phase(id, cell::task_phase::kWaiting);
    }
  }

  void Commit(const unsatisfiable&) {}

  void CommitAll(const round& r) {
    for (const decision& d : r.decisions) {
      std::visit([&](const auto& one) { Commit(one); }, d);
    }
  }

  round Decide() { return s.Decide(now); }

  /// Decides and commits once.
  round Step() {
    const round r = Decide();
    CommitAll(r);
    return r;
  }

  /// @return what committed tasks hold of the worker.
  core::resources Held(const core::worker_id& w) const {
    core::resources sum;
    for (const auto& [id, t] : tasks) {
      if (!IsPlaced(t) || t.worker != w) continue;
      sum = sum + t.need;
    }
    return sum;
  }

  /// @return number of placed tasks of the job.
  std::int64_t Placed(core::revision job) const {
    std::int64_t n = 0;
    for (const auto& [id, t] : tasks) n += id.job == job && IsPlaced(t);
    return n;
  }

  static bool IsPlaced(const cell::task_record& t) {
    return t.phase == cell::task_phase::kAssigned ||
           t.phase == cell::task_phase::kRunning;
  }

  void Send(const cell::change& c) { s.Observe(c, now); }

  policy policy_;
  scheduler s;
  core::time_point now{};
  core::revision revision = 0;
  std::map<core::worker_id, cell::worker_record> workers;
  std::map<core::revision, cell::object> objects;
  std::map<cell::task_id, cell::task_record> tasks;
};

inline cell::batch_job_spec Batch(std::int64_t tasks, core::resources need,
                                  cell::urgency u = cell::urgency::kNormal) {
  cell::batch_job_spec b;
  b.tasks = tasks;
  b.need = need;
  b.u = u;
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
