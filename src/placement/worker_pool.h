#ifndef MANGOPLANK_PLACEMENT_WORKER_POOL_H_
#define MANGOPLANK_PLACEMENT_WORKER_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "capacity_buckets.h"
#include "mangoplank/cell/objects.h"
#include "mangoplank/placement/policy.h"

namespace mangoplank::placement {

/// Marks an absent index.
inline constexpr std::int32_t kNoIndex = -1;

/// Number of a job's tasks in each rack or region; short, so searched linearly.
using location_counts = std::vector<std::pair<std::int32_t, std::int32_t>>;

/// @return the count for `location`, 0 if there is none.
std::int32_t CountAt(const location_counts& counts, std::int32_t location);
/// Adds `delta` to the count for `location`; an entry of 0 is removed.
void AddAt(location_counts& counts, std::int32_t location, std::int32_t delta);

/// Capacity and region that a group of workers has in common.
struct worker_shape {
  std::int32_t region = kNoIndex;
  std::int64_t cpu_milli = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const worker_shape&, const worker_shape&) = default;
  friend auto operator<=>(const worker_shape&, const worker_shape&) = default;
};

/// Freed capacity of a worker, held for tasks of one job until `until`.
struct earmark {
  core::revision job = 0;
  core::resources need;
  core::time_point until;

  friend bool operator==(const earmark&, const earmark&) = default;
};

struct worker_entry {
  core::worker_id id;
  core::incarnation incarnation = 0;
  core::resources capacity;
  /// Capacity minus what tasks hold. Negative if the capacity shrank.
  core::resources free;
  std::optional<placement::earmark> earmark;
  /// Gang job that has reserved this worker; 0 for none.
  core::revision reserved_for = 0;
  std::int32_t region = kNoIndex;
  std::int32_t rack = kNoIndex;
  /// Random order among workers of equal score.
  std::uint32_t tie_break = 0;
  bool present = false;
  bool drain = false;
  bool quarantined = false;
  std::vector<cell::task_id> tasks;
  /// Resources that its tasks hold but do not use, as last reported.
  core::resources unused;
  /// Position in the capacity index.
  std::int32_t pool = kNoIndex;
  capacity_buckets::handle bucket_handle;

  /// @return capacity that is neither held nor earmarked.
  core::resources Available() const {
    return earmark ? free - earmark->need : free;
  }
};

/// Requirements and preferences of a task for its worker.
struct worker_query {
  core::resources need;
  /// Estimated usage of the task; may be above `need`.
  core::resources estimated_usage;
  core::revision job = 0;
  /// Required region; kNoIndex for any.
  std::int32_t region = kNoIndex;
  /// Region of most of the job's other tasks; kNoIndex if there is none.
  std::int32_t home_region = kNoIndex;
  /// Whether workers outside `home_region` may be used.
  bool may_leave_home_region = true;
  /// The task can be evicted at any time, so it may use reserved workers.
  bool can_backfill = false;
  /// Only quarantined workers are considered.
  bool is_probe = false;
  cell::spread spread = cell::spread::kNone;
  const location_counts* tasks_by_rack = nullptr;
  const location_counts* tasks_by_region = nullptr;
  /// Workers on which the job failed since its last success.
  std::span<const std::int32_t> avoided_workers;
};

/// Workers of the cell, their free capacity, and the search for one that fits.
class worker_pool {
 public:
  worker_pool(const placement::policy& policy, std::uint64_t seed);

  /// @return the index of the worker; a new one is not present.
  std::int32_t Intern(const core::worker_id& id);
  /// @return kNoIndex if the worker is not known.
  std::int32_t IndexOf(const core::worker_id& id) const;
  /// @return index of the region, which is created on first use.
  std::int32_t InternRegion(const core::region_id& id);

  void SetRecord(const cell::worker_record& record);
  void Remove(const core::worker_id& id, core::incarnation incarnation);
  void SetQuarantined(std::int32_t worker, bool quarantined);
  void SetReserved(std::int32_t worker, core::revision job);
  /// Forbids or allows backfilling of reserved workers.
  void SetBackfillAllowed(bool allowed) { backfill_allowed_ = allowed; }
  void AddUnused(std::int32_t worker, const core::resources& amount);
  void SetEarmark(std::int32_t worker,
                  std::optional<placement::earmark> earmark);

  void Allocate(std::int32_t worker, const core::resources& need);
  void Release(std::int32_t worker, const core::resources& need);

  const worker_entry& At(std::int32_t worker) const { return workers_[worker]; }
  std::vector<cell::task_id>& TasksOf(std::int32_t worker) {
    return workers_[worker].tasks;
  }
  std::size_t Size() const { return workers_.size(); }
  /// @return sum of the capacities of all present workers.
  core::resources TotalCapacity() const { return total_capacity_; }
  /// @return number of present workers of each shape.
  const std::map<worker_shape, std::int64_t>& Shapes() const { return shapes_; }
  std::size_t RegionCount() const { return regions_.size(); }
  /// @return a version that grows with each change of capacity or region.
  std::uint64_t CapacityVersion() const { return capacity_version_; }

  /// @return whether the task can be placed on the worker now.
  bool Fits(const worker_entry& entry, const worker_query& query) const;
  /// @return cost of the worker for the task; the lowest is best.
  double Score(const worker_entry& entry, const worker_query& query) const;
  /// @return the chosen worker or kNoIndex if none fits.
  std::int32_t FindWorker(const worker_query& query);

 private:
  /// Workers of one region, with or without accelerators.
  struct indexed_pool {
    std::int32_t region = kNoIndex;
    bool accelerators = false;
    capacity_buckets buckets;
  };
  /// Best worker found so far and its cost.
  struct choice {
    std::int32_t worker = kNoIndex;
    double cost = 0;
    std::size_t scored = 0;
  };

  void Reindex(std::int32_t worker);
  void Unindex(std::int32_t worker);
  std::int32_t InternPool(const worker_entry& entry);
  std::int32_t FindIndexed(const worker_query& query,
                           std::size_t candidates) const;
  void SearchPool(const indexed_pool& pool, const worker_query& query,
                  std::size_t candidates, choice& best) const;
  void SearchBucket(const std::vector<std::int32_t>& workers,
                    const worker_query& query, std::size_t candidates,
                    std::size_t max_inspected, choice& best) const;
  void Consider(std::int32_t worker, const worker_query& query,
                choice& best) const;
  std::int32_t FindByFullScan(const worker_query& query) const;
  std::int32_t FindBySampling(const worker_query& query, std::size_t samples);
  std::int32_t FindFirstFit(const worker_query& query) const;
  std::int32_t InternRack(const core::location& location);
  std::uint64_t NextRandom();
  void AddToShape(const worker_entry& entry, std::int64_t delta);

  policy policy_;
  std::uint64_t random_state_;
  std::vector<worker_entry> workers_;
  std::vector<indexed_pool> pools_;
  bool backfill_allowed_ = true;
  std::unordered_map<core::worker_id, std::int32_t> index_by_id_;
  std::map<core::region_id, std::int32_t> regions_;
  std::map<core::location, std::int32_t> racks_;
  std::map<worker_shape, std::int64_t> shapes_;
  core::resources total_capacity_;
  std::uint64_t capacity_version_ = 0;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_WORKER_POOL_H_
