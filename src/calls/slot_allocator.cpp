#include "mangoplank/calls/slot_allocator.h"

#include <algorithm>

#include "mangoplank/membership/lease_table.h"

namespace mangoplank::calls {

namespace {

using worker_map = std::map<core::worker_id, const cell::worker_record*>;

/// @return workers that run a replica of the service and are not draining.
worker_map ServingWorkers(const cell::state& state,
                          const cell::object& service) {
  worker_map serving;
  for (auto it = state.Tasks().lower_bound({service.uid, 0});
       it != state.Tasks().end() && it->first.job == service.uid; ++it) {
    const cell::task_record& task = it->second;
    if (task.phase != cell::task_phase::kRunning || task.stopping) continue;
    const cell::worker_record* const worker = state.FindWorker(task.worker);
    const bool serves = worker && !worker->drain &&
                        worker->incarnation == task.worker_incarnation;
    if (serves) serving[worker->id] = worker;
  }
  return serving;
}

/// Splits `slots` into whole slots in proportion to the weights (largest
/// remainder method); ties go to earlier items.
std::vector<std::int64_t> SplitProportionally(
    std::int64_t slots, const std::vector<std::int64_t>& weights) {
  std::int64_t total = 0;
  for (const std::int64_t weight : weights) total += weight;
  std::vector<std::int64_t> parts(weights.size(), 0);
  if (total == 0) return parts;
  std::vector<std::pair<std::int64_t, std::size_t>> remainders;
  std::int64_t remaining = slots;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    parts[i] = slots * weights[i] / total;
    remaining -= parts[i];
    remainders.emplace_back(-(slots * weights[i] % total), i);
  }
  std::sort(remainders.begin(), remainders.end());
  for (std::size_t i = 0; remaining > 0 && i < remainders.size();
       ++i, --remaining) {
    parts[remainders[i].second] += 1;
  }
  return parts;
}

/// An idle entry keeps a slot for a first call, so that it can serve it
/// without a request to control.
constexpr std::int64_t kMinDemand = 1;

/// Demand of an entry, and the slots of each worker assigned to it.
struct claim {
  core::region_id region;
  std::int64_t demand = 0;
  /// Slots still to be assigned.
  std::int64_t unassigned = 0;
  std::map<core::worker_id, std::int64_t> slots;
};

struct offer {
  const cell::worker_record* worker = nullptr;
  std::int64_t free = 0;
};

std::int64_t CountFree(const std::vector<offer>& offers) {
  std::int64_t free = 0;
  for (const offer& offered : offers) free += offered.free;
  return free;
}

/// Assigns `count` slots to a claim, round-robin over the workers from `first`,
/// so that an entry can reach many workers with few slots.
void AssignSlots(claim* receiver, std::int64_t count, std::size_t first,
                 std::vector<offer>* offers) {
  count = std::min({count, receiver->unassigned, CountFree(*offers)});
  for (std::size_t i = first; count > 0; ++i) {
    offer& offered = (*offers)[i % offers->size()];
    if (offered.free == 0) continue;
    --offered.free;
    --count;
    --receiver->unassigned;
    ++receiver->slots[offered.worker->id];
  }
}

/// Divides all slots of a service's workers among the entries by demand. An
/// entry gets slots of workers in its own region first, since calls to other
/// regions cross a billed link.
void DivideSlots(const worker_map& workers, std::vector<claim>* claims) {
  std::vector<offer> all;
  for (const auto& [id, worker] : workers)
    all.push_back({worker, worker->slots});
  std::vector<std::int64_t> demands;
  for (const claim& receiver : *claims) demands.push_back(receiver.demand);
  const std::int64_t total = CountFree(all);
  const auto entries = static_cast<std::int64_t>(claims->size());
  const std::int64_t min_slots = total >= entries ? kMinDemand : 0;
  const auto quotas = SplitProportionally(total - min_slots * entries, demands);
  for (std::size_t i = 0; i < claims->size(); ++i) {
    (*claims)[i].unassigned = quotas[i] + min_slots;
  }
  std::map<core::region_id, std::vector<offer>> regions;
  for (const offer& offered : all)
    regions[offered.worker->location.region].push_back(offered);
  std::vector<offer> remaining;
  for (auto& [region, offers] : regions) {
    std::vector<claim*> same_region;
    std::vector<std::int64_t> unassigned_slots;
    for (claim& receiver : *claims) {
      if (receiver.region != region) continue;
      same_region.push_back(&receiver);
      unassigned_slots.push_back(receiver.unassigned);
    }
    const auto shares =
        SplitProportionally(CountFree(offers), unassigned_slots);
    for (std::size_t i = 0; i < same_region.size(); ++i) {
      AssignSlots(same_region[i], shares[i],
                  i * offers.size() / same_region.size(), &offers);
    }
    remaining.insert(remaining.end(), offers.begin(), offers.end());
  }
  for (std::size_t i = 0; i < claims->size(); ++i) {
    claim& receiver = (*claims)[i];
    AssignSlots(&receiver, receiver.unassigned,
                i * remaining.size() / claims->size(), &remaining);
  }
}

}  // namespace

core::duration slot_allocator::LeaseWithDrift() const {
  return settings_.lease * (100 + membership::kMaxClockDriftPercent) / 100;
}

void slot_allocator::Reset(core::term term, core::time_point now) {
  term_ = term;
  previous_leases_end_ = now + LeaseWithDrift();
  entries_.clear();
}

std::int64_t slot_allocator::CountHeld(const entry_state& entry,
                                       const core::worker_id& worker) {
  std::int64_t max_slots = 0;
  for (const grant_set& granted : entry.grant_sets) {
    const auto it = granted.slots.find(worker);
    if (it != granted.slots.end()) max_slots = std::max(max_slots, it->second);
  }
  return max_slots;
}

std::int64_t slot_allocator::CountHeldByOthers(
    const core::member_id& id, const core::worker_id& worker) const {
  std::int64_t held = 0;
  for (const auto& [other_id, entry] : entries_) {
    if (other_id != id) held += CountHeld(entry, worker);
  }
  return held;
}

std::int64_t slot_allocator::CountGranted(const core::worker_id& worker,
                                          core::time_point now) const {
  std::int64_t held = 0;
  for (const auto& [name, entry] : entries_) {
    std::int64_t max_slots = 0;
    for (const grant_set& set : entry.grant_sets) {
      const auto it = set.slots.find(worker);
      if (set.lease_end > now && it != set.slots.end()) {
        max_slots = std::max(max_slots, it->second);
      }
    }
    held += max_slots;
  }
  return held;
}

void slot_allocator::DropExpired(core::time_point now) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    entry_state& entry = it->second;
    std::erase_if(entry.grant_sets,
                  [&](const grant_set& set) { return set.lease_end <= now; });
    const bool is_gone =
        entry.grant_sets.empty() && entry.last_heard + LeaseWithDrift() <= now;
    it = is_gone ? entries_.erase(it) : std::next(it);
  }
}

void slot_allocator::ReconcileGrants(entry_state& entry,
                                     const control::slot_report& report,
                                     core::time_point now) {
  if (report.term == term_) {
    std::erase_if(entry.grant_sets, [&](const grant_set& set) {
      return set.sequence < report.applied_sequence;
    });
    return;
  }
  // The grants of an earlier leader do not overlap, so each entry may keep its
  // own until this leader has computed a set for it.
  if (!entry.grant_sets.empty() || report.held.empty()) return;
  grant_set adopted{0, now + LeaseWithDrift(), {}};
  for (const control::slot_grant& grant : report.held) {
    adopted.slots[grant.worker] = grant.slots;
  }
  entry.grant_sets.push_back(std::move(adopted));
}

slot_allocator::slot_counts slot_allocator::ComputeShares(
    const core::member_id& id, const cell::state& state) const {
  std::map<cell::object_key, int> services;
  for (const auto& [name, entry] : entries_) {
    for (const auto& [service, demand] : entry.demand) services[service] = 0;
  }
  slot_counts shares;
  for (const auto& [key, unused] : services) {
    const cell::object* const service = state.Find(key);
    if (!service) continue;
    std::vector<claim> claims;
    std::size_t own_index = 0;
    for (const auto& [name, entry] : entries_) {
      const auto it = entry.demand.find(key);
      const std::int64_t demand = it == entry.demand.end() ? 0 : it->second;
      if (name == id) own_index = claims.size();
      claims.push_back({.region = entry.region, .demand = demand + kMinDemand});
    }
    DivideSlots(ServingWorkers(state, *service), &claims);
    for (const auto& [worker, slots] : claims[own_index].slots) {
      shares[worker] = std::max(shares[worker], slots);
    }
  }
  return shares;
}

control::slot_grants slot_allocator::OnReport(
    const core::member_id& id, const core::region_id& region,
    const control::slot_report& report, const cell::state& state,
    core::time_point now) {
  DropExpired(now);
  entry_state& entry = entries_[id];
  entry.region = region;
  entry.last_heard = now;
  entry.demand.clear();
  for (const control::slot_demand& demand : report.demand) {
    entry.demand[demand.service] = demand.wanted;
  }
  ReconcileGrants(entry, report, now);
  control::slot_grants answer{.term = term_,
                              .sequence = ++entry.last_sequence,
                              .report_number = report.number,
                              .lease = settings_.lease};
  grant_set next{answer.sequence, now + LeaseWithDrift(), {}};
  for (const auto& [worker, share] : ComputeShares(id, state)) {
    const cell::worker_record& record = *state.FindWorker(worker);
    const std::int64_t free = record.slots - CountHeldByOthers(id, worker);
    std::int64_t slots = std::min(share, free);
    if (now < previous_leases_end_)
      slots = std::min(slots, CountHeld(entry, worker));
    if (slots <= 0) continue;
    next.slots[worker] = slots;
    answer.grants.push_back({worker, record.incarnation, slots});
  }
  entry.grant_sets.push_back(std::move(next));
  return answer;
}

}  // namespace mangoplank::calls
