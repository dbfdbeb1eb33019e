#include "mangoplank/distribution/history.h"

#include <gtest/gtest.h>

#include <random>

#include "mangoplank/distribution/view.h"

namespace mangoplank::distribution {
namespace {

using control::subscribe_request;
using control::topic;

/// Commands at random against a real state, with a history beside it.
class random_cell {
 public:
  random_cell(std::uint64_t seed, std::size_t bytes)
      : history_(bytes), random_(seed) {
    for (const char* d : {"kitchens", "tally"}) {
      Do(cell::put_object{{cell::object_kind::kDepartment, {}, d},
                          cell::department_spec{}});
    }
  }

  std::size_t Pick(std::size_t n) { return random_() % n; }

  void Step() {
    const std::string name(1, static_cast<char>('a' + Pick(4)));
    const core::department_id d{Pick(2) == 0 ? "kitchens" : "tally"};
    const cell::object_key service{cell::object_kind::kService, d, name};
    const cell::object_key job{cell::object_kind::kBatchJob, d, name};
    const cell::object_key any = Pick(2) == 0 ? service : job;
    switch (Pick(7)) {
      case 0:
        return Do(cell::put_object{
            service, cell::service_spec{.replicas = 3, .need = {1, 1, 0}}});
      case 1:
        return Do(cell::put_object{
            job, cell::batch_job_spec{.tasks = 3, .need = {1, 1, 0}}});
      case 2:
        return Do(cell::delete_object{any});
      case 3:
        return Do(cell::register_worker{
            {.id = {name}, .incarnation = 1 + Pick(3), .capacity = {9, 9, 9}}});
      case 4:
        return Do(cell::remove_worker{{name}, 1 + Pick(3)});
      case 5:
        return Place();
      default:
        return Report();
    }
  }

  cell::state state_;
  history history_;

 private:
  void Do(cell::command_body body) {
    const core::revision at = state_.Revision() + 1;
    auto e = state_.Apply(
        at, {static_cast<core::wall_time_ms>(at), {}, {}, std::move(body)});
    history_.Append(at, std::move(e.changes));
  }
  void Place() {
    cell::place_tasks p;
    for (const auto& [id, t] : state_.Tasks()) {
      for (const auto& [worker, w] : state_.Workers()) {
        if (Pick(4) == 0) p.groups.push_back({{id, worker, w.incarnation}});
      }
    }
    Do(std::move(p));
  }
  void Report() {
    cell::report_tasks r;
    for (const auto& [id, t] : state_.Tasks()) {
      const auto phase = static_cast<cell::task_phase>(2 + Pick(3));
      if (Pick(2) == 0) r.reports.push_back({id, t.attempt, phase, ""});
    }
    Do(std::move(r));
  }

  std::mt19937_64 random_;
};

// Guards against a follower that misses, repeats or keeps a change over any
// gaps and resumptions, also beyond what is kept.
TEST(HistoryTest, FollowerWithGapsEndsWithTheContentOfAFullCopy) {
  int resets = 0;
  int resumed = 0;
  std::size_t tasks = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    random_cell cell(seed, 8'000);
    const subscribe_request follower{
        1, seed % 2 == 0 ? topic::kRouting : topic::kDepartment, {"tally"}, 0};
    view followed;
    for (int batch = 0; batch < 40; ++batch) {
      for (std::size_t n = cell.Pick(12); n > 0; --n) cell.Step();
      const auto read = core::Capture(
          [&] { return cell.history_.Read(follower, followed.At()); });
      const bool whole = !read || followed.At() == 0;
      ++(whole ? resets : resumed);
      followed.Apply(whole ? FullCopy(cell.state_, follower) : *read, {});
    }
    view fresh;
    fresh.Apply(FullCopy(cell.state_, follower), {});
    tasks += fresh.Tasks().size();
    EXPECT_EQ(followed.At(), cell.state_.Revision());
    EXPECT_EQ(followed.Objects(), fresh.Objects()) << "seed " << seed;
    EXPECT_EQ(followed.Workers(), fresh.Workers()) << "seed " << seed;
    EXPECT_EQ(followed.Tasks(), fresh.Tasks()) << "seed " << seed;
  }
  EXPECT_GT(tasks, 100u);
  EXPECT_GT(resets, 150);
  EXPECT_GT(resumed, 1000);
}

// Guards against memory that grows with the values of configurations.
TEST(HistoryTest, CountsTheValuesOfConfigurations) {
  history kept(1024 * 1024);
  cell::object o;
  o.spec = cell::configuration_spec{{{"key", std::string(100'000, 'x')}}};
  for (core::revision at = 1; at <= 30; ++at) {
    kept.Append(at, {cell::object_changed{o}});
  }
  EXPECT_GE(kept.KeptAfter(), 20u);
}

}  // namespace
}  // namespace mangoplank::distribution
