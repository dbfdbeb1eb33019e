#ifndef MANGOPLANK_APPS_BENCH_PLACEMENT_WORLD_H_
#define MANGOPLANK_APPS_BENCH_PLACEMENT_WORLD_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "mangoplank/placement/scheduler.h"

namespace mangoplank::bench {

/// @return processor time of this thread, which other processes on a busy
/// machine do not lengthen.
double ThreadNanoseconds();

/// Size of a simulated cell.
struct world_size {
  std::string name;
  int workers = 50;
  int accelerator_workers = 0;
  core::resources capacity;
  int regions = 3;
  int teams = 12;
  /// Quotas of all teams together, as a part of the cell.
  double quotas = 0.8;
};

/// Kinds of work whose waiting times are told apart.
enum class kind : std::uint8_t { kService, kBatch, kUrgent, kGang };
inline constexpr int kKinds = 4;

/// A cell in simulated time: commits every decision at once, runs tasks for
/// drawn times and stops evicted ones after the delay of an announcement.
class placement_world {
 public:
  placement_world(const world_size& size, const placement::policy& p,
                  std::uint64_t seed);

  /// Adds a job of a team.
  /// @param run_time of each task; 0 for one that does not end.
  core::revision Add(int team, kind k, std::int64_t tasks,
                     const core::resources& need, core::milliseconds run_time);
  /// Ends all tasks of a job, as a cancellation does.
  void Cancel(core::revision job);
  /// Ends tasks that are due up to `to` and moves the time there.
  void AdvanceTo(core::time_point to);
  /// Decides once and commits.
  /// @return number of tasks placed.
  std::size_t Step();
  /// Ends `n` running tasks drawn at random.
  void EndSome(std::size_t n);

  core::resources RandomNeed();
  std::int64_t Pick(std::int64_t from, std::int64_t to);
  /// Sum of what placed tasks hold.
  core::resources Held() const { return held_; }
  core::resources Total() const { return total_; }
  std::size_t Running() const { return running_.size(); }
  core::time_point Now() const { return now_; }
  std::uint64_t Signature() const { return signature_; }
  std::size_t Evictions() const { return evictions_; }
  /// Nanoseconds of processor time that each call of Decide took.
  const std::vector<double>& DecideTimes() const { return decide_ns_; }
  void ClearTimes() { decide_ns_.clear(); }
  /// Seconds from arrival to start, by kind.
  std::vector<double>& Waits(kind k) { return waits_[static_cast<int>(k)]; }
  /// Adds the waiting times so far of tasks that arrived from `since` on and
  /// still wait.
  void CountUnstarted(core::time_point since);
  placement::scheduler& Scheduler() { return scheduler_; }
  static std::string TeamName(int team);

 private:
  struct running_task {
    cell::task_record record;
    std::size_t position = 0;
  };
  struct job_info {
    kind k = kind::kBatch;
    core::milliseconds run_time{0};
    core::time_point arrived;
  };

  void Commit(const placement::place& p);
  void Commit(const placement::evict& e);
  void Commit(const placement::unsatisfiable& u);
  void End(cell::task_id id, cell::task_phase phase);
  void Sign(std::uint64_t value);

  std::mt19937_64 random_;
  placement::scheduler scheduler_;
  core::time_point now_{};
  core::revision revision_ = 0;
  core::resources total_;
  core::resources held_;
  std::map<core::revision, job_info> jobs_;
  std::map<cell::task_id, cell::task_record> waiting_;
  std::map<cell::task_id, running_task> running_;
  std::vector<cell::task_id> order_;
  std::multimap<core::time_point, std::pair<cell::task_id, std::uint32_t>>
      ends_;
  std::uint64_t signature_ = 14695981039346656037U;
  std::size_t evictions_ = 0;
  std::vector<double> decide_ns_;
  std::vector<double> waits_[kKinds];
};

}  // namespace mangoplank::bench

#endif  // MANGOPLANK_APPS_BENCH_PLACEMENT_WORLD_H_
