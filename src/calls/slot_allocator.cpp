#include "mangoplank/calls/slot_allocator.h"

#include <algorithm>
#include <cmath>

#include "mangoplank/membership/lease_table.h"

namespace mangoplank::calls {

namespace {

using worker_map = std::map<core::worker_id, const cell::worker_record*>;

/// @return workers that run a replica of the service and do not drain.
worker_map ServingWorkers(const cell::state& s, const cell::object& service) {
  worker_map found;
  for (auto it = s.Tasks().lower_bound({service.uid, 0});
       it != s.Tasks().end() && it->first.job == service.uid; ++it) {
    const cell::task_record& t = it->second;
    if (t.phase != cell::task_phase::kRunning || t.stopping) continue;
    const cell::worker_record* const w = s.FindWorker(t.worker);
    const bool serves =
        w && !w->drain && w->incarnation == t.worker_incarnation;
    if (serves) found[w->id] = w;
  }
  return found;
}

/// Splits `slots` in proportion to the weights, whole slots only. Rounding
/// starts at `offset`, from 0 to 1: where it differs between workers, the sums
/// over many workers are in proportion too, and a small change of the weights
/// moves slots of few workers.
std::vector<std::int64_t> Split(std::int64_t slots,
                                const std::vector<std::int64_t>& weights,
                                double offset) {
  std::int64_t total = 0;
  for (const std::int64_t w : weights) total += w;
  std::vector<std::int64_t> parts(weights.size(), 0);
  if (total == 0) return parts;
  std::int64_t sum = 0;
  std::int64_t given = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    sum += weights[i];
    const double end = static_cast<double>(slots) * static_cast<double>(sum) /
                       static_cast<double>(total);
    const bool is_last = sum == total;
    const auto upto =
        is_last ? slots : static_cast<std::int64_t>(std::floor(end + offset));
    parts[i] = upto - given;
    given = upto;
  }
  return parts;
}

/// @return a number from 0 to 1 that differs between workers.
double OffsetOf(const core::worker_id& worker) {
  // FNV-1a: std::hash may differ between builds, and a new leader should
  // split as the last one did.
  std::uint32_t hash = 2166136261u;
  for (const char c : worker.v) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  }
  // The last byte of a name reaches few of the upper bits; this spreads it.
  hash = (hash ^ (hash >> 16)) * 2246822507u;
  hash = (hash ^ (hash >> 13)) * 3266489909u;
  hash ^= hash >> 16;
  return static_cast<double>(hash) / 4294967296.0;
}

/// An entry with no calls keeps room for a first one, so that it needs no
/// message to control before it can serve it.
constexpr std::int64_t kLeastDemand = 1;
/// Entries in the worker's region weigh more than others, so that calls rarely
/// cross a billed link.
constexpr std::int64_t kOwnRegionFactor = 16;

}  // namespace

core::duration slot_allocator::WholeLease() const {
  return settings_.lease * (100 + membership::kMaxClockDriftPercent) / 100;
}

void slot_allocator::Reset(core::term t, core::time_point now) {
  term_ = t;
  settled_at_ = now + WholeLease();
  entries_.clear();
}

std::int64_t slot_allocator::HeldBy(const entry& e,
                                    const core::worker_id& worker) {
  std::int64_t most = 0;
  for (const grant_set& set : e.sets) {
    const auto it = set.slots.find(worker);
    if (it != set.slots.end()) most = std::max(most, it->second);
  }
  return most;
}

std::int64_t slot_allocator::HeldByOthers(const core::member_id& id,
                                          const core::worker_id& worker) const {
  std::int64_t held = 0;
  for (const auto& [other, e] : entries_) {
    if (other != id) held += HeldBy(e, worker);
  }
  return held;
}

std::int64_t slot_allocator::Granted(const core::worker_id& id,
                                     core::time_point now) const {
  std::int64_t held = 0;
  for (const auto& [name, e] : entries_) {
    std::int64_t most = 0;
    for (const grant_set& set : e.sets) {
      const auto it = set.slots.find(id);
      if (set.end > now && it != set.slots.end()) {
        most = std::max(most, it->second);
      }
    }
    held += most;
  }
  return held;
}

void slot_allocator::DropEnded(core::time_point now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry& e = it->second;
    std::erase_if(e.sets, [&](const grant_set& s) { return s.end <= now; });
    const bool gone = e.sets.empty() && e.heard + WholeLease() <= now;
    it = gone ? entries_.erase(it) : std::next(it);
  }
}

void slot_allocator::Adopt(entry& e, const control::slot_report& report,
                           core::time_point now) {
  if (report.t == term_) {
    std::erase_if(e.sets, [&](const grant_set& s) {
      return s.sequence < report.kept_sequence;
    });
    return;
  }
  // Grants of an earlier leader exclude each other, so each entry may keep its
  // own until this leader has made a set for it.
  if (!e.sets.empty() || report.held.empty()) return;
  grant_set kept{0, now + WholeLease(), {}};
  for (const control::slot_grant& g : report.held) {
    kept.slots[g.worker] = g.slots;
  }
  e.sets.push_back(std::move(kept));
}

slot_allocator::counts slot_allocator::Wanted(const core::member_id& id,
                                              const cell::state& s) const {
  std::map<cell::object_key, int> services;
  for (const auto& [name, e] : entries_) {
    for (const auto& [service, n] : e.demand) services[service] = 0;
  }
  counts wanted;
  for (const auto& [key, unused] : services) {
    const cell::object* const service = s.Find(key);
    if (!service) continue;
    for (const auto& [worker, serving] : ServingWorkers(s, *service)) {
      std::vector<std::int64_t> weights;
      std::size_t own = 0;
      for (const auto& [name, e] : entries_) {
        const auto it = e.demand.find(key);
        const std::int64_t n =
            std::max(kLeastDemand, it == e.demand.end() ? 0 : it->second);
        const bool near = e.region == serving->where.region;
        if (name == id) own = weights.size();
        weights.push_back(n * (near ? kOwnRegionFactor : 1));
      }
      const std::int64_t share =
          Split(serving->slots, weights, OffsetOf(worker))[own];
      wanted[worker] = std::max(wanted[worker], share);
    }
  }
  return wanted;
}

control::slot_grants slot_allocator::Report(const core::member_id& id,
                                            const core::region_id& region,
                                            const control::slot_report& report,
                                            const cell::state& s,
                                            core::time_point now) {
  DropEnded(now);
  entry& e = entries_[id];
  e.region = region;
  e.heard = now;
  e.demand.clear();
  for (const control::slot_demand& d : report.demand) {
    e.demand[d.service] = d.wanted;
  }
  Adopt(e, report, now);
  control::slot_grants answer{.t = term_,
                              .sequence = ++e.last_sequence,
                              .report = report.number,
                              .lease = settings_.lease};
  grant_set next{answer.sequence, now + WholeLease(), {}};
  for (const auto& [worker, share] : Wanted(id, s)) {
    const cell::worker_record& w = *s.FindWorker(worker);
    const std::int64_t free = w.slots - HeldByOthers(id, worker);
    std::int64_t slots = std::min(share, free);
    if (now < settled_at_) slots = std::min(slots, HeldBy(e, worker));
    if (slots <= 0) continue;
    next.slots[worker] = slots;
    answer.grants.push_back({worker, w.incarnation, slots});
  }
  e.sets.push_back(std::move(next));
  return answer;
}

}  // namespace mangoplank::calls
