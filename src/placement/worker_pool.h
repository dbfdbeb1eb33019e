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

#include "mangoplank/cell/objects.h"
#include "mangoplank/placement/policy.h"
#include "room_buckets.h"

namespace mangoplank::placement {

/// Marks an absent index.
inline constexpr std::int32_t kNone = -1;

/// Tasks of one job in each rack or region; short, so searched linearly.
using location_counts = std::vector<std::pair<std::int32_t, std::int32_t>>;

/// @return the entry for `place`, 0 if there is none.
std::int32_t CountAt(const location_counts& counts, std::int32_t place);
/// Adds `n` to the entry for `place`; an entry of 0 is dropped.
void AddAt(location_counts& counts, std::int32_t place, std::int32_t n);

/// Workers of one capacity in one region.
struct worker_shape {
  std::int32_t region = kNone;
  std::int64_t cpu_milli = 0;
  std::int64_t memory_mib = 0;
  std::int64_t accelerators = 0;

  friend bool operator==(const worker_shape&, const worker_shape&) = default;
  friend auto operator<=>(const worker_shape&, const worker_shape&) = default;
};

/// Room on a worker kept for tasks of one job until `until`.
struct pledge {
  core::revision job = 0;
  core::resources need;
  core::time_point until;

  friend bool operator==(const pledge&, const pledge&) = default;
};

struct worker {
  core::worker_id id;
  core::incarnation incarnation = 0;
  core::resources capacity;
  /// Capacity less what tasks hold. Negative if the capacity shrank.
  core::resources free;
  std::optional<pledge> kept;
  /// Gang job that waits for this worker; 0 for none.
  core::revision reserved_for = 0;
  std::int32_t region = kNone;
  std::int32_t rack = kNone;
  /// Order among workers of equal score.
  std::uint32_t tie = 0;
  bool present = false;
  bool drain = false;
  bool quarantined = false;
  std::vector<cell::task_id> tasks;
  /// Room that its tasks hold but were not seen to use.
  core::resources unused;
  /// Position in the index of room.
  std::int32_t pool = kNone;
  room_buckets::handle at;

  /// @return room that is neither held nor pledged.
  core::resources Open() const { return kept ? free - kept->need : free; }
};

/// What a worker is wanted for.
struct worker_query {
  core::resources need;
  /// What the task will probably use, if more than `need`.
  core::resources likely;
  core::revision job = 0;
  /// Region that is required; kNone for any.
  std::int32_t region = kNone;
  /// Region where the job's other tasks run; kNone if there is none.
  std::int32_t home = kNone;
  /// Whether workers outside `home` may be used.
  bool may_cross = true;
  /// The task may be stopped again at once, so reserved room can be lent.
  bool lendable = false;
  /// Take a quarantined worker.
  bool probe = false;
  cell::spread s = cell::spread::kNone;
  const location_counts* by_rack = nullptr;
  const location_counts* by_region = nullptr;
  /// Workers where the job failed lately.
  std::span<const std::int32_t> avoid;
};

/// Workers of the cell, their room, and the search for one with room.
class worker_pool {
 public:
  worker_pool(const policy& p, std::uint64_t seed);

  /// @return the index of the worker; a new one is absent.
  std::int32_t Intern(const core::worker_id& id);
  /// @return kNone if the worker is not known.
  std::int32_t IndexOf(const core::worker_id& id) const;
  /// @return index of the region, made on first use.
  std::int32_t InternRegion(const core::region_id& id);

  void Set(const cell::worker_record& record);
  void Remove(const core::worker_id& id, core::incarnation incarnation);
  void SetQuarantined(std::int32_t w, bool quarantined);
  void SetReserved(std::int32_t w, core::revision job);
  /// Stops or resumes lending of reserved workers.
  void SetLending(bool lending) { lending_ = lending; }
  void AddUnused(std::int32_t w, const core::resources& amount);
  void SetPledge(std::int32_t w, std::optional<pledge> kept);

  void Take(std::int32_t w, const core::resources& need);
  void Give(std::int32_t w, const core::resources& need);

  const worker& At(std::int32_t w) const { return workers_[w]; }
  std::vector<cell::task_id>& TasksOf(std::int32_t w) {
    return workers_[w].tasks;
  }
  std::size_t Size() const { return workers_.size(); }
  /// Capacity of all workers that are present.
  core::resources Total() const { return total_; }
  /// Number of present workers of each shape.
  const std::map<worker_shape, std::int64_t>& Shapes() const { return shapes_; }
  std::size_t Regions() const { return regions_.size(); }
  /// Grows with each change of capacity or location.
  std::uint64_t CapacityVersion() const { return capacity_version_; }

  /// @return whether the worker may take the task now.
  bool Fits(const worker& w, const worker_query& q) const;
  /// @return cost of the worker for the task; the lowest is best.
  double Score(const worker& w, const worker_query& q) const;
  /// @return the chosen worker or kNone if none has room.
  std::int32_t Find(const worker_query& q);

 private:
  /// Workers of one region, with or without accelerators.
  struct indexed_pool {
    std::int32_t region = kNone;
    bool accelerators = false;
    room_buckets rooms;
  };
  /// Best worker found so far and its cost.
  struct choice {
    std::int32_t w = kNone;
    double cost = 0;
    std::size_t scored = 0;
  };

  void Reindex(std::int32_t w);
  void Unindex(std::int32_t w);
  std::int32_t PoolOf(const worker& w);
  std::int32_t Indexed(const worker_query& q, std::size_t candidates) const;
  void SearchPool(const indexed_pool& pool, const worker_query& q,
                  std::size_t candidates, choice& best) const;
  void SearchBucket(const std::vector<std::int32_t>& in, const worker_query& q,
                    std::size_t candidates, std::size_t probes,
                    choice& best) const;
  void Consider(std::int32_t w, const worker_query& q, choice& best) const;
  std::int32_t Scan(const worker_query& q) const;
  std::int32_t Sample(const worker_query& q, std::size_t samples);
  std::int32_t First(const worker_query& q) const;
  std::int32_t InternRack(const core::location& where);
  std::uint64_t Random();
  void CountShape(const worker& w, std::int64_t n);

  policy policy_;
  std::uint64_t random_;
  std::vector<worker> workers_;
  std::vector<indexed_pool> pools_;
  bool lending_ = true;
  std::unordered_map<core::worker_id, std::int32_t> index_;
  std::map<core::region_id, std::int32_t> regions_;
  std::map<core::location, std::int32_t> racks_;
  std::map<worker_shape, std::int64_t> shapes_;
  core::resources total_;
  std::uint64_t capacity_version_ = 0;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_WORKER_POOL_H_
