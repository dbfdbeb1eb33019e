#include "worker_pool.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace mangoplank::placement {

namespace {

// The cost of a worker is a sum of terms whose scales rank them in this order:
// accelerators that the task does not need, an earlier failure of the job, one
// more task in the same region or rack, and last the free capacity that would
// remain (at most about 2).
constexpr double kAcceleratorCost = 1e6;
constexpr double kFailedJobCost = 1e5;
constexpr double kSpreadRegionCost = 1e3;
constexpr double kSpreadRackCost = 10;
constexpr double kCrossRegionCost = 5;
constexpr double kEstimatedOverrunCost = 3;
// Bonus for restartable work on capacity that other tasks hold but do not use.
constexpr double kUnusedCpuGain = 0.05;
// Weight of the remaining free capacity relative to its imbalance.
constexpr double kRemainingWeight = 0.05;

std::uint64_t SplitMix64(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15U;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

double Fraction(std::int64_t amount, std::int64_t of) {
  return of <= 0 ? 0 : static_cast<double>(amount) / static_cast<double>(of);
}

double SpreadCost(const worker_entry& entry, const worker_query& query) {
  if (query.spread == cell::spread::kNone) return 0;
  double cost = 0;
  if (query.tasks_by_rack != nullptr) {
    cost += kSpreadRackCost * CountAt(*query.tasks_by_rack, entry.rack);
  }
  if (query.spread == cell::spread::kRegions &&
      query.tasks_by_region != nullptr) {
    cost += kSpreadRegionCost * CountAt(*query.tasks_by_region, entry.region);
  }
  return cost;
}

}  // namespace

std::int32_t CountAt(const location_counts& counts, std::int32_t location) {
  for (const auto& [entry_location, count] : counts) {
    if (entry_location == location) return count;
  }
  return 0;
}

void AddAt(location_counts& counts, std::int32_t location, std::int32_t delta) {
  for (auto& entry : counts) {
    if (entry.first != location) continue;
    entry.second += delta;
    if (entry.second == 0) {
      entry = counts.back();
      counts.pop_back();
    }
    return;
  }
  counts.emplace_back(location, delta);
}

worker_pool::worker_pool(const placement::policy& policy, std::uint64_t seed)
    : policy_(policy), random_state_(seed) {}

std::uint64_t worker_pool::NextRandom() { return SplitMix64(random_state_++); }

std::int32_t worker_pool::Intern(const core::worker_id& id) {
  const auto [it, added] =
      index_by_id_.try_emplace(id, static_cast<std::int32_t>(workers_.size()));
  if (added) {
    worker_entry entry;
    entry.id = id;
    entry.tie_break = static_cast<std::uint32_t>(NextRandom());
    workers_.push_back(std::move(entry));
  }
  return it->second;
}

std::int32_t worker_pool::IndexOf(const core::worker_id& id) const {
  const auto it = index_by_id_.find(id);
  return it == index_by_id_.end() ? kNoIndex : it->second;
}

std::int32_t worker_pool::InternRegion(const core::region_id& id) {
  return regions_.try_emplace(id, static_cast<std::int32_t>(regions_.size()))
      .first->second;
}

std::int32_t worker_pool::InternRack(const core::location& location) {
  return racks_.try_emplace(location, static_cast<std::int32_t>(racks_.size()))
      .first->second;
}

void worker_pool::AddToShape(const worker_entry& entry, std::int64_t delta) {
  const worker_shape shape{entry.region, entry.capacity.cpu_milli,
                           entry.capacity.memory_mib,
                           entry.capacity.accelerators};
  const auto it = shapes_.try_emplace(shape, 0).first;
  it->second += delta;
  if (it->second == 0) shapes_.erase(it);
}

void worker_pool::SetRecord(const cell::worker_record& record) {
  worker_entry& entry = workers_[Intern(record.id)];
  const std::int32_t region = InternRegion(record.location.region);
  if (!entry.present || entry.capacity != record.capacity ||
      region != entry.region) {
    ++capacity_version_;
  }
  if (entry.present) AddToShape(entry, -1);
  total_capacity_ = total_capacity_ - entry.capacity + record.capacity;
  entry.free = entry.free - entry.capacity + record.capacity;
  entry.capacity = record.capacity;
  entry.incarnation = record.incarnation;
  entry.region = region;
  entry.rack = InternRack(record.location);
  entry.drain = record.drain;
  entry.present = true;
  AddToShape(entry, 1);
  Reindex(IndexOf(record.id));
}

void worker_pool::Remove(const core::worker_id& id,
                         core::incarnation incarnation) {
  const std::int32_t index = IndexOf(id);
  if (index == kNoIndex) return;
  worker_entry& entry = workers_[index];
  if (!entry.present || entry.incarnation != incarnation) return;
  ++capacity_version_;
  AddToShape(entry, -1);
  total_capacity_ = total_capacity_ - entry.capacity;
  entry.free = entry.free - entry.capacity;
  entry.capacity = {};
  entry.present = false;
  Unindex(index);
}

void worker_pool::SetQuarantined(std::int32_t worker, bool quarantined) {
  workers_[worker].quarantined = quarantined;
  Reindex(worker);
}

void worker_pool::SetReserved(std::int32_t worker, core::revision job) {
  workers_[worker].reserved_for = job;
}

void worker_pool::SetEarmark(std::int32_t worker,
                             std::optional<placement::earmark> earmark) {
  workers_[worker].earmark = earmark;
  Reindex(worker);
}

void worker_pool::AddUnused(std::int32_t worker,
                            const core::resources& amount) {
  workers_[worker].unused = workers_[worker].unused + amount;
}

void worker_pool::Allocate(std::int32_t worker, const core::resources& need) {
  workers_[worker].free = workers_[worker].free - need;
  Reindex(worker);
}

void worker_pool::Release(std::int32_t worker, const core::resources& need) {
  workers_[worker].free = workers_[worker].free + need;
  Reindex(worker);
}

std::int32_t worker_pool::InternPool(const worker_entry& entry) {
  const bool accelerators = entry.capacity.accelerators > 0;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    if (pools_[i].region == entry.region &&
        pools_[i].accelerators == accelerators) {
      return static_cast<std::int32_t>(i);
    }
  }
  pools_.push_back({entry.region, accelerators, {}});
  return static_cast<std::int32_t>(pools_.size() - 1);
}

void worker_pool::Unindex(std::int32_t worker) {
  worker_entry& entry = workers_[worker];
  if (entry.pool == kNoIndex) return;
  const std::int32_t moved =
      pools_[entry.pool].buckets.Remove(entry.bucket_handle);
  if (moved != kNoIndex) {
    workers_[moved].bucket_handle.position = entry.bucket_handle.position;
  }
  entry.pool = kNoIndex;
}

void worker_pool::Reindex(std::int32_t worker) {
  worker_entry& entry = workers_[worker];
  if (!entry.present || entry.drain || entry.quarantined) {
    Unindex(worker);
    return;
  }
  const std::int32_t pool = InternPool(entry);
  const std::int32_t bucket =
      capacity_buckets::BucketOf(entry.Available(), pools_[pool].accelerators);
  if (entry.pool == pool && entry.bucket_handle.bucket == bucket) return;
  Unindex(worker);
  entry.pool = pool;
  entry.bucket_handle = pools_[pool].buckets.Insert(worker, bucket);
}

bool worker_pool::Fits(const worker_entry& entry,
                       const worker_query& query) const {
  if (!entry.present || entry.drain || entry.quarantined != query.is_probe) {
    return false;
  }
  if (query.region != kNoIndex && entry.region != query.region) return false;
  if (!query.may_leave_home_region && entry.region != query.home_region) {
    return false;
  }
  const bool earmarked_for_job =
      entry.earmark && entry.earmark->job == query.job;
  const bool reserved =
      entry.reserved_for != 0 && entry.reserved_for != query.job;
  if (reserved && !earmarked_for_job &&
      !(query.can_backfill && backfill_allowed_)) {
    return false;
  }
  return (earmarked_for_job ? entry.free : entry.Available()).Holds(query.need);
}

double worker_pool::Score(const worker_entry& entry,
                          const worker_query& query) const {
  const core::resources remaining = entry.free - query.need;
  const double cpu = Fraction(remaining.cpu_milli, entry.capacity.cpu_milli);
  const double memory =
      Fraction(remaining.memory_mib, entry.capacity.memory_mib);
  double cost = policy_.weights.packing *
                (std::abs(cpu - memory) + kRemainingWeight * (cpu + memory));
  if (query.need.accelerators == 0 && entry.capacity.accelerators > 0) {
    cost += kAcceleratorCost;
  }
  if (query.home_region != kNoIndex && entry.region != query.home_region) {
    cost += policy_.weights.cross_region * kCrossRegionCost;
  }
  if (!entry.free.Holds(query.estimated_usage)) cost += kEstimatedOverrunCost;
  if (query.can_backfill) {
    cost -= kUnusedCpuGain *
            Fraction(entry.unused.cpu_milli, entry.capacity.cpu_milli);
  }
  const bool failed_here =
      std::find(query.avoided_workers.begin(), query.avoided_workers.end(),
                &entry - workers_.data()) != query.avoided_workers.end();
  return cost + SpreadCost(entry, query) + (failed_here ? kFailedJobCost : 0);
}

void worker_pool::Consider(std::int32_t worker, const worker_query& query,
                           choice& best) const {
  if (!Fits(workers_[worker], query)) return;
  ++best.scored;
  const double cost = Score(workers_[worker], query);
  const bool better =
      best.worker == kNoIndex || cost < best.cost ||
      (cost == best.cost &&
       workers_[worker].tie_break < workers_[best.worker].tie_break);
  if (!better) return;
  best.worker = worker;
  best.cost = cost;
}

std::int32_t worker_pool::FindWorker(const worker_query& query) {
  return std::visit(core::overloaded{
                        [&](const capacity_index& search) {
                          return FindIndexed(query, search.candidates);
                        },
                        [&](const full_scan&) { return FindByFullScan(query); },
                        [&](const sampled_scan& search) {
                          return FindBySampling(query, search.samples);
                        },
                        [&](const first_fit&) { return FindFirstFit(query); },
                    },
                    policy_.search);
}

std::int32_t worker_pool::FindIndexed(const worker_query& query,
                                      std::size_t candidates) const {
  choice best;
  // Workers of one rack tend to be in the same bucket, so spreading needs more
  // candidates.
  if (query.spread != cell::spread::kNone) candidates *= 4;
  for (const bool accelerators : {false, true}) {
    if (!accelerators && query.need.accelerators > 0) continue;
    for (const indexed_pool& pool : pools_) {
      if (pool.accelerators != accelerators) continue;
      if (query.region != kNoIndex && pool.region != query.region) continue;
      if (!query.may_leave_home_region && pool.region != query.home_region) {
        continue;
      }
      SearchPool(pool, query, candidates, best);
    }
    if (best.worker != kNoIndex) return best.worker;
  }
  return best.worker;
}

void worker_pool::SearchPool(const indexed_pool& pool,
                             const worker_query& query, std::size_t candidates,
                             choice& best) const {
  constexpr std::int32_t kClassCount = capacity_buckets::kClassCount;
  const std::int32_t first_bucket =
      capacity_buckets::BucketOf(query.need, pool.accelerators);
  const std::int32_t first_column = first_bucket % kClassCount;
  const std::uint32_t columns = ~0U << first_column;
  best.scored = 0;
  // Buckets in the row or column of the task's own size classes also hold
  // workers that do not fit. The first pass inspects a bounded number of
  // workers of each bucket; the second inspects all if the first found none.
  for (const std::size_t max_inspected : {4 * candidates, std::size_t{0}}) {
    for (std::int32_t row = first_bucket / kClassCount; row < kClassCount;
         ++row) {
      for (std::uint32_t bits = pool.buckets.NonEmptyColumns(row) & columns;
           bits != 0; bits &= bits - 1) {
        const std::int32_t column = std::countr_zero(bits);
        SearchBucket(pool.buckets.WorkersIn(row * kClassCount + column), query,
                     candidates, max_inspected, best);
        if (best.scored >= candidates) return;
      }
    }
    if (best.scored > 0) return;
  }
}

void worker_pool::SearchBucket(const std::vector<std::int32_t>& workers,
                               const worker_query& query,
                               std::size_t candidates,
                               std::size_t max_inspected, choice& best) const {
  const std::size_t end = max_inspected == 0
                              ? workers.size()
                              : std::min(max_inspected, workers.size());
  for (std::size_t i = 0; i < end && best.scored < candidates; ++i) {
    Consider(workers[i], query, best);
  }
}

std::int32_t worker_pool::FindByFullScan(const worker_query& query) const {
  choice best;
  for (std::int32_t i = 0; i < static_cast<std::int32_t>(Size()); ++i) {
    Consider(i, query, best);
  }
  return best.worker;
}

std::int32_t worker_pool::FindBySampling(const worker_query& query,
                                         std::size_t samples) {
  choice best;
  for (std::size_t i = 0; i < samples && Size() > 0; ++i) {
    Consider(static_cast<std::int32_t>(NextRandom() % Size()), query, best);
  }
  return best.worker == kNoIndex ? FindByFullScan(query) : best.worker;
}

std::int32_t worker_pool::FindFirstFit(const worker_query& query) const {
  for (std::int32_t i = 0; i < static_cast<std::int32_t>(Size()); ++i) {
    if (Fits(workers_[i], query)) return i;
  }
  return kNoIndex;
}

}  // namespace mangoplank::placement
