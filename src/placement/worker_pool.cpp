#include "worker_pool.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace mangoplank::placement {

namespace {

// Costs are sums of parts whose scales keep them in this order: a worker with
// accelerators, a worker where the job failed, one more task in the same region
// or rack, and last the room left over (at most about 2).
constexpr double kAcceleratorCost = 1e6;
constexpr double kAvoidCost = 1e5;
constexpr double kSpreadRegionCost = 1e3;
constexpr double kSpreadRackCost = 10;
constexpr double kCrossRegionCost = 5;
constexpr double kLikelyOverrunCost = 3;
// Restartable work gains this much from room that others hold and do not use.
constexpr double kUnusedGain = 0.05;
// Part of the room left over that counts besides its imbalance.
constexpr double kLeftOver = 0.05;

std::uint64_t Mix(std::uint64_t x) {
  // SplitMix64.
  x += 0x9e3779b97f4a7c15U;
  x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
  x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
  return x ^ (x >> 31U);
}

double Part(std::int64_t amount, std::int64_t of) {
  return of <= 0 ? 0 : static_cast<double>(amount) / static_cast<double>(of);
}

double SpreadCost(const worker& w, const worker_query& q) {
  if (q.s == cell::spread::kNone) return 0;
  double cost = 0;
  if (q.by_rack != nullptr) {
    cost += kSpreadRackCost * CountAt(*q.by_rack, w.rack);
  }
  if (q.s == cell::spread::kRegions && q.by_region != nullptr) {
    cost += kSpreadRegionCost * CountAt(*q.by_region, w.region);
  }
  return cost;
}

}  // namespace

std::int32_t CountAt(const location_counts& counts, std::int32_t place) {
  for (const auto& [at, n] : counts) {
    if (at == place) return n;
  }
  return 0;
}

void AddAt(location_counts& counts, std::int32_t place, std::int32_t n) {
  for (auto& entry : counts) {
    if (entry.first != place) continue;
    entry.second += n;
    if (entry.second == 0) {
      entry = counts.back();
      counts.pop_back();
    }
    return;
  }
  counts.emplace_back(place, n);
}

worker_pool::worker_pool(const policy& p, std::uint64_t seed)
    : policy_(p), random_(seed) {}

std::uint64_t worker_pool::Random() { return Mix(random_++); }

std::int32_t worker_pool::Intern(const core::worker_id& id) {
  const auto [it, added] =
      index_.try_emplace(id, static_cast<std::int32_t>(workers_.size()));
  if (added) {
    worker w;
    w.id = id;
    w.tie = static_cast<std::uint32_t>(Random());
    workers_.push_back(std::move(w));
  }
  return it->second;
}

std::int32_t worker_pool::IndexOf(const core::worker_id& id) const {
  const auto it = index_.find(id);
  return it == index_.end() ? kNone : it->second;
}

std::int32_t worker_pool::InternRegion(const core::region_id& id) {
  return regions_.try_emplace(id, static_cast<std::int32_t>(regions_.size()))
      .first->second;
}

std::int32_t worker_pool::InternRack(const core::location& where) {
  return racks_.try_emplace(where, static_cast<std::int32_t>(racks_.size()))
      .first->second;
}

void worker_pool::CountShape(const worker& w, std::int64_t n) {
  const worker_shape shape{w.region, w.capacity.cpu_milli,
                           w.capacity.memory_mib, w.capacity.accelerators};
  const auto it = shapes_.try_emplace(shape, 0).first;
  it->second += n;
  if (it->second == 0) shapes_.erase(it);
}

void worker_pool::Set(const cell::worker_record& record) {
  worker& w = workers_[Intern(record.id)];
  const std::int32_t region = InternRegion(record.location.region);
  if (!w.present || w.capacity != record.capacity || region != w.region) {
    ++capacity_version_;
  }
  if (w.present) CountShape(w, -1);
  total_ = total_ - w.capacity + record.capacity;
  w.free = w.free - w.capacity + record.capacity;
  w.capacity = record.capacity;
  w.incarnation = record.incarnation;
  w.region = region;
  w.rack = InternRack(record.location);
  w.drain = record.drain;
  w.present = true;
  CountShape(w, 1);
  Reindex(IndexOf(record.id));
}

void worker_pool::Remove(const core::worker_id& id,
                         core::incarnation incarnation) {
  const std::int32_t index = IndexOf(id);
  if (index == kNone) return;
  worker& w = workers_[index];
  if (!w.present || w.incarnation != incarnation) return;
  ++capacity_version_;
  CountShape(w, -1);
  total_ = total_ - w.capacity;
  w.free = w.free - w.capacity;
  w.capacity = {};
  w.present = false;
  Unindex(index);
}

void worker_pool::SetQuarantined(std::int32_t w, bool quarantined) {
  workers_[w].quarantined = quarantined;
  Reindex(w);
}

void worker_pool::SetReserved(std::int32_t w, core::revision job) {
  workers_[w].reserved_for = job;
}

void worker_pool::SetPledge(std::int32_t w, std::optional<pledge> kept) {
  workers_[w].kept = kept;
  Reindex(w);
}

void worker_pool::AddUnused(std::int32_t w, const core::resources& amount) {
  workers_[w].unused = workers_[w].unused + amount;
}

void worker_pool::Take(std::int32_t w, const core::resources& need) {
  workers_[w].free = workers_[w].free - need;
  Reindex(w);
}

void worker_pool::Give(std::int32_t w, const core::resources& need) {
  workers_[w].free = workers_[w].free + need;
  Reindex(w);
}

std::int32_t worker_pool::PoolOf(const worker& w) {
  const bool accelerators = w.capacity.accelerators > 0;
  for (std::size_t i = 0; i < pools_.size(); ++i) {
    if (pools_[i].region == w.region &&
        pools_[i].accelerators == accelerators) {
      return static_cast<std::int32_t>(i);
    }
  }
  pools_.push_back({w.region, accelerators, {}});
  return static_cast<std::int32_t>(pools_.size() - 1);
}

void worker_pool::Unindex(std::int32_t w) {
  worker& n = workers_[w];
  if (n.pool == kNone) return;
  const std::int32_t moved = pools_[n.pool].rooms.Remove(n.at);
  if (moved != kNone) workers_[moved].at.position = n.at.position;
  n.pool = kNone;
}

void worker_pool::Reindex(std::int32_t w) {
  worker& n = workers_[w];
  if (!n.present || n.drain || n.quarantined) {
    Unindex(w);
    return;
  }
  const std::int32_t pool = PoolOf(n);
  const std::int32_t bucket =
      room_buckets::BucketOf(n.Open(), pools_[pool].accelerators);
  if (n.pool == pool && n.at.bucket == bucket) return;
  Unindex(w);
  n.pool = pool;
  n.at = pools_[pool].rooms.Insert(w, bucket);
}

bool worker_pool::Fits(const worker& w, const worker_query& q) const {
  if (!w.present || w.drain || w.quarantined != q.probe) return false;
  if (q.region != kNone && w.region != q.region) return false;
  if (!q.may_cross && w.region != q.home) return false;
  const bool own_pledge = w.kept && w.kept->job == q.job;
  const bool reserved = w.reserved_for != 0 && w.reserved_for != q.job;
  if (reserved && !own_pledge && !(q.lendable && lending_)) return false;
  return (own_pledge ? w.free : w.Open()).Holds(q.need);
}

double worker_pool::Score(const worker& w, const worker_query& q) const {
  const core::resources left = w.free - q.need;
  const double cpu = Part(left.cpu_milli, w.capacity.cpu_milli);
  const double memory = Part(left.memory_mib, w.capacity.memory_mib);
  double cost =
      policy_.w.packing * (std::abs(cpu - memory) + kLeftOver * (cpu + memory));
  if (q.need.accelerators == 0 && w.capacity.accelerators > 0) {
    cost += kAcceleratorCost;
  }
  if (q.home != kNone && w.region != q.home) {
    cost += policy_.w.control * kCrossRegionCost;
  }
  if (!w.free.Holds(q.likely)) cost += kLikelyOverrunCost;
  if (q.lendable) {
    cost -= kUnusedGain * Part(w.unused.cpu_milli, w.capacity.cpu_milli);
  }
  const bool failed_here = std::find(q.avoid.begin(), q.avoid.end(),
                                     &w - workers_.data()) != q.avoid.end();
  return cost + SpreadCost(w, q) + (failed_here ? kAvoidCost : 0);
}

void worker_pool::Consider(std::int32_t w, const worker_query& q,
                           choice& best) const {
  if (!Fits(workers_[w], q)) return;
  ++best.scored;
  const double cost = Score(workers_[w], q);
  const bool better =
      best.w == kNone || cost < best.cost ||
      (cost == best.cost && workers_[w].tie < workers_[best.w].tie);
  if (!better) return;
  best.w = w;
  best.cost = cost;
}

std::int32_t worker_pool::Find(const worker_query& q) {
  return std::visit(
      core::overloaded{
          [&](const room_index& s) { return Indexed(q, s.candidates); },
          [&](const full_scan&) { return Scan(q); },
          [&](const sampled_scan& s) { return Sample(q, s.samples); },
          [&](const first_fit&) { return First(q); },
      },
      policy_.s);
}

std::int32_t worker_pool::Indexed(const worker_query& q,
                                  std::size_t candidates) const {
  choice best;
  // Tight rooms of one rack lie together, so spreading needs more to choose
  // from.
  if (q.s != cell::spread::kNone) candidates *= 4;
  for (const bool accelerators : {false, true}) {
    if (!accelerators && q.need.accelerators > 0) continue;
    for (const indexed_pool& pool : pools_) {
      if (pool.accelerators != accelerators) continue;
      if (q.region != kNone && pool.region != q.region) continue;
      if (!q.may_cross && pool.region != q.home) continue;
      SearchPool(pool, q, candidates, best);
    }
    if (best.w != kNone) return best.w;
  }
  return best.w;
}

void worker_pool::SearchPool(const indexed_pool& pool, const worker_query& q,
                             std::size_t candidates, choice& best) const {
  constexpr std::int32_t kClasses = room_buckets::kClasses;
  const std::int32_t least = room_buckets::BucketOf(q.need, pool.accelerators);
  const std::int32_t first_column = least % kClasses;
  const std::uint32_t columns = ~0U << first_column;
  best.scored = 0;
  // Rows and columns of the task's own classes hold workers with and without
  // room for it, so few of them are looked at first, and all if no other
  // worker has room.
  for (const std::size_t probes : {4 * candidates, std::size_t{0}}) {
    for (std::int32_t row = least / kClasses; row < kClasses; ++row) {
      for (std::uint32_t bits = pool.rooms.Row(row) & columns; bits != 0;
           bits &= bits - 1) {
        const std::int32_t column = std::countr_zero(bits);
        SearchBucket(pool.rooms.In(row * kClasses + column), q, candidates,
                     probes, best);
        if (best.scored >= candidates) return;
      }
    }
    if (best.scored > 0) return;
  }
}

void worker_pool::SearchBucket(const std::vector<std::int32_t>& in,
                               const worker_query& q, std::size_t candidates,
                               std::size_t probes, choice& best) const {
  const std::size_t end = probes == 0 ? in.size() : std::min(probes, in.size());
  for (std::size_t i = 0; i < end && best.scored < candidates; ++i) {
    Consider(in[i], q, best);
  }
}

std::int32_t worker_pool::Scan(const worker_query& q) const {
  choice best;
  for (std::int32_t i = 0; i < static_cast<std::int32_t>(Size()); ++i) {
    Consider(i, q, best);
  }
  return best.w;
}

std::int32_t worker_pool::Sample(const worker_query& q, std::size_t samples) {
  choice best;
  for (std::size_t i = 0; i < samples && Size() > 0; ++i) {
    Consider(static_cast<std::int32_t>(Random() % Size()), q, best);
  }
  return best.w == kNone ? Scan(q) : best.w;
}

std::int32_t worker_pool::First(const worker_query& q) const {
  for (std::int32_t i = 0; i < static_cast<std::int32_t>(Size()); ++i) {
    if (Fits(workers_[i], q)) return i;
  }
  return kNone;
}

}  // namespace mangoplank::placement
