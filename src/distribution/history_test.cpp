#include "mangoplank/distribution/history.h"

#include <gtest/gtest.h>

#include <random>

#include "mangoplank/distribution/view.h"

namespace mangoplank::distribution {
namespace {

using control::subscribe_request;
using control::topic;

/// Applies random commands to a cell state and records them in a history.
class random_cell {
 public:
  random_cell(std::uint64_t seed, std::size_t max_bytes)
      : history_(max_bytes), random_(seed) {
    for (const char* d : {"kitchens", "tally"}) {
      Apply(cell::put_object{{cell::object_kind::kDepartment, {}, d},
                             cell::department_spec{}});
    }
  }

  std::size_t Pick(std::size_t count) { return random_() % count; }

  void Step() {
    const std::string name(1, static_cast<char>('a' + Pick(4)));
    const core::department_id d{Pick(2) == 0 ? "kitchens" : "tally"};
    const cell::object_key service{cell::object_kind::kService, d, name};
    const cell::object_key job{cell::object_kind::kBatchJob, d, name};
    const cell::object_key any = Pick(2) == 0 ? service : job;
    switch (Pick(7)) {
      case 0:
        return Apply(cell::put_object{
            service, cell::service_spec{.replicas = 3, .need = {1, 1, 0}}});
      case 1:
        return Apply(cell::put_object{
            job, cell::batch_job_spec{.tasks = 3, .need = {1, 1, 0}}});
      case 2:
        return Apply(cell::delete_object{any});
      case 3:
        return Apply(cell::register_worker{
            {.id = {name}, .incarnation = 1 + Pick(3), .capacity = {9, 9, 9}}});
      case 4:
        return Apply(cell::remove_worker{{name}, 1 + Pick(3)});
      case 5:
        return PlaceTasks();
      default:
        return ReportTasks();
    }
  }

  cell::state state_;
  history history_;

 private:
  void Apply(cell::command_body body) {
    const core::revision revision = state_.Revision() + 1;
    auto e = state_.Apply(
        revision,
        {static_cast<core::wall_time_ms>(revision), {}, {}, std::move(body)});
    history_.Append(revision, std::move(e.changes));
  }
  void PlaceTasks() {
    cell::place_tasks p;
    for (const auto& [id, t] : state_.Tasks()) {
      for (const auto& [worker, w] : state_.Workers()) {
        if (Pick(4) == 0) p.groups.push_back({{id, worker, w.incarnation}});
      }
    }
    Apply(std::move(p));
  }
  void ReportTasks() {
    cell::report_tasks r;
    for (const auto& [id, t] : state_.Tasks()) {
      const auto phase = static_cast<cell::task_phase>(2 + Pick(3));
      if (Pick(2) == 0) r.reports.push_back({id, t.attempt, phase, ""});
    }
    Apply(std::move(r));
  }

  std::mt19937_64 random_;
};

// Guards against a subscriber that misses, repeats or retains a change when it
// resumes after a gap, also one that exceeds the kept history.
TEST(HistoryTest, ResumedSubscriberMatchesFullCopy) {
  int resets = 0;
  int resumed = 0;
  std::size_t tasks = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    random_cell cell(seed, 8'000);
    const subscribe_request subscription{
        1, seed % 2 == 0 ? topic::kRouting : topic::kDepartment, {"tally"}, 0};
    view resumed_view;
    for (int batch = 0; batch < 40; ++batch) {
      for (std::size_t n = cell.Pick(12); n > 0; --n) cell.Step();
      const auto read = core::Capture([&] {
        return cell.history_.Read(subscription, resumed_view.Revision());
      });
      const bool full = !read || resumed_view.Revision() == 0;
      ++(full ? resets : resumed);
      resumed_view.Apply(
          full ? BuildFullCopy(cell.state_, subscription) : *read, {});
    }
    view expected;
    expected.Apply(BuildFullCopy(cell.state_, subscription), {});
    tasks += expected.Tasks().size();
    EXPECT_EQ(resumed_view.Revision(), cell.state_.Revision());
    EXPECT_EQ(resumed_view.Objects(), expected.Objects()) << "seed " << seed;
    EXPECT_EQ(resumed_view.Workers(), expected.Workers()) << "seed " << seed;
    EXPECT_EQ(resumed_view.Tasks(), expected.Tasks()) << "seed " << seed;
  }
  EXPECT_GT(tasks, 100u);
  EXPECT_GT(resets, 150);
  EXPECT_GT(resumed, 1000);
}

// Guards against unbounded memory for large configuration values.
TEST(HistoryTest, BoundIncludesConfigurationValues) {
  history bounded(1024 * 1024);
  cell::object o;
  o.spec = cell::configuration_spec{{{"key", std::string(100'000, 'x')}}};
  for (core::revision revision = 1; revision <= 30; ++revision) {
    bounded.Append(revision, {cell::object_changed{o}});
  }
  EXPECT_GE(bounded.CompactedRevision(), 20u);
}

}  // namespace
}  // namespace mangoplank::distribution
