#include "mangoplank/workflow/job_index.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>

#include "mangoplank/workflow/state.h"

namespace mangoplank::workflow {
namespace {

queue MakeQueue(const std::string& prefix) {
  queue q;
  q.host = "host";
  q.path_prefix = prefix;
  q.max_attempts = 2;
  return q;
}

worker MakeWorker(int number, core::wall_time_ms incarnation) {
  worker w;
  w.key = {{"w" + std::to_string(number)}, incarnation};
  return w;
}

job_accepted MakeJob(int number, const queue& queue) {
  job_spec spec;
  spec.id = "j" + std::to_string(number);
  spec.steps = {step{}};
  spec.steps[0].count = 2;
  return {spec, queue, 5};
}

std::size_t CountSlowly(const state& state, const queue& queue,
                        bool only_assigned) {
  return static_cast<std::size_t>(
      std::ranges::count_if(state.Jobs(), [&](const auto& entry) {
        const job& job = entry.second;
        const bool is_assigned =
            std::ranges::any_of(job.tasks, [](const task& task) {
              return task.phase == task_phase::kAssigned;
            });
        return HaveSameAddress(job.queue, queue) &&
               job.phase == job_phase::kQueued &&
               (is_assigned || !only_assigned);
      }));
}

/// Draws one of the events that change jobs, of few jobs and workers, so that
/// most of them have an effect.
event DrawEvent(std::mt19937& random, const std::vector<queue>& queues) {
  const auto draw = [&](int bound) {
    return static_cast<int>(random() % static_cast<unsigned>(bound));
  };
  const int number = draw(12);
  const std::string id = "j" + std::to_string(number);
  const worker worker = MakeWorker(draw(3), 1 + draw(2));
  const run_id run{{id, 0, 0, static_cast<std::uint32_t>(draw(2))},
                   static_cast<std::uint32_t>(1 + draw(4))};
  switch (draw(9)) {
    case 0:
      return MakeJob(number, queues[random() % queues.size()]);
    case 1:
      return job_cancelled{id};
    case 2:
      return job_started{id};
    case 3:
    case 4:
      return run_assigned{run, worker.key, draw(2) == 0};
    case 5:
      return run_ended{
          run, draw(2) == 0 ? run_end::kDone : run_end::kFailed, {}};
    case 6:
      return worker_announced{worker};
    case 7:
      return worker_removed{worker.key};
    default:
      return jobs_pruned{{id}};
  }
}

// Guards against counts that miss a change of a job, and an index that differs
// on a member that has read a snapshot.
TEST(JobIndexTest, CountsAreThoseOfASearchThroughAllJobs) {
  const std::vector<queue> queues{MakeQueue("/a/"), MakeQueue("/b/")};
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    state state;
    for (int i = 0; i < 2'000; ++i) {
      state.Apply(DrawEvent(random, queues));
      for (const queue& queue : queues) {
        ASSERT_EQ(state.CountQueued(queue), CountSlowly(state, queue, false))
            << "seed " << seed << " event " << i;
        ASSERT_EQ(state.CountOnlyAssigned(queue),
                  CountSlowly(state, queue, true))
            << "seed " << seed << " event " << i;
      }
    }
    EXPECT_EQ(state::FromImage(state.Image()), state) << "seed " << seed;
  }
}

/// @return the least time of several reads of a queue and returns of a worker,
/// with one waiting job and so many that have ended.
std::chrono::nanoseconds TimeWithEndedJobs(int ended) {
  const queue queue = MakeQueue("/a/");
  state state;
  state.Apply(MakeJob(0, queue));
  for (int i = 1; i <= ended; ++i) {
    state.Apply(MakeJob(i, queue));
    state.Apply(job_cancelled{"j" + std::to_string(i)});
  }
  auto least = std::chrono::nanoseconds::max();
  for (int repeat = 0; repeat < 20; ++repeat) {
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 100; ++i) {
      EXPECT_EQ(state.CountQueued(queue), 1u);
      EXPECT_EQ(state.CountOnlyAssigned(queue), 0u);
      state.Apply(worker_announced{MakeWorker(1, 1)});
      state.Apply(worker_removed{MakeWorker(1, 1).key});
    }
    least = std::min<std::chrono::nanoseconds>(
        least, std::chrono::steady_clock::now() - begin);
  }
  return least;
}

// Load: many reads of a queue and many workers that come and go, late in a day,
// with thousands of records of ended jobs. Guards against a leader that spends
// its time on these records.
TEST(JobIndexTest, EndedJobsDontSlowDownReadsOrReturnsOfWorkers) {
  const auto few = TimeWithEndedJobs(10);
  const auto many = TimeWithEndedJobs(10'000);
  EXPECT_LT(many.count(), 10 * few.count());
}

}  // namespace
}  // namespace mangoplank::workflow
