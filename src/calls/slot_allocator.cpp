#include "mangoplank/calls/slot_allocator.h"

#include <algorithm>

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

/// Splits `slots` in proportion to the weights, whole slots only. What is left
/// after rounding down goes to the largest remainders, earlier items first.
std::vector<std::int64_t> Split(std::int64_t slots,
                                const std::vector<std::int64_t>& weights) {
  std::int64_t total = 0;
  for (const std::int64_t w : weights) total += w;
  std::vector<std::int64_t> parts(weights.size(), 0);
  if (total == 0) return parts;
  std::vector<std::pair<std::int64_t, std::size_t>> remainders;
  std::int64_t left = slots;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    parts[i] = slots * weights[i] / total;
    left -= parts[i];
    remainders.emplace_back(-(slots * weights[i] % total), i);
  }
  std::sort(remainders.begin(), remainders.end());
  for (std::size_t i = 0; left > 0 && i < remainders.size(); ++i, --left) {
    parts[remainders[i].second] += 1;
  }
  return parts;
}

/// An entry with no calls keeps room for a first one, so that it needs no
/// message to control before it can serve it.
constexpr std::int64_t kLeastDemand = 1;

/// An entry's demand, and the slots that it is given of each worker.
struct claim {
  core::region_id region;
  std::int64_t demand = 0;
  /// Slots still to be given.
  std::int64_t open = 0;
  std::map<core::worker_id, std::int64_t> slots;
};

struct offer {
  const cell::worker_record* w = nullptr;
  std::int64_t free = 0;
};

std::int64_t FreeOf(const std::vector<offer>& offers) {
  std::int64_t free = 0;
  for (const offer& o : offers) free += o.free;
  return free;
}

/// Takes `n` slots for a claim, one of each worker in turn from `first` on, so
/// that an entry can reach many workers with few slots.
void Take(claim* c, std::int64_t n, std::size_t first,
          std::vector<offer>* offers) {
  n = std::min({n, c->open, FreeOf(*offers)});
  for (std::size_t i = first; n > 0; ++i) {
    offer& o = (*offers)[i % offers->size()];
    if (o.free == 0) continue;
    --o.free;
    --n;
    --c->open;
    ++c->slots[o.w->id];
  }
}

/// Divides all slots of a service's workers among the entries: each has its
/// part by demand, of workers in its own region as far as they go, since calls
/// to others cross a billed link.
void Divide(const worker_map& workers, std::vector<claim>* claims) {
  std::vector<offer> all;
  for (const auto& [id, w] : workers) all.push_back({w, w->slots});
  std::vector<std::int64_t> demands;
  for (const claim& c : *claims) demands.push_back(c.demand);
  const std::int64_t total = FreeOf(all);
  const auto entries = static_cast<std::int64_t>(claims->size());
  const std::int64_t least = total >= entries ? kLeastDemand : 0;
  const auto parts = Split(total - least * entries, demands);
  for (std::size_t i = 0; i < claims->size(); ++i) {
    (*claims)[i].open = parts[i] + least;
  }
  std::map<core::region_id, std::vector<offer>> regions;
  for (const offer& o : all) regions[o.w->location.region].push_back(o);
  std::vector<offer> left;
  for (auto& [region, offers] : regions) {
    std::vector<claim*> near;
    std::vector<std::int64_t> open;
    for (claim& c : *claims) {
      if (c.region != region) continue;
      near.push_back(&c);
      open.push_back(c.open);
    }
    const auto shares = Split(FreeOf(offers), open);
    for (std::size_t i = 0; i < near.size(); ++i) {
      Take(near[i], shares[i], i * offers.size() / near.size(), &offers);
    }
    left.insert(left.end(), offers.begin(), offers.end());
  }
  for (std::size_t i = 0; i < claims->size(); ++i) {
    claim& c = (*claims)[i];
    Take(&c, c.open, i * left.size() / claims->size(), &left);
  }
}

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
  if (report.term == term_) {
    std::erase_if(e.sets, [&](const grant_set& s) {
      return s.sequence < report.applied_sequence;
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
    std::vector<claim> claims;
    std::size_t own = 0;
    for (const auto& [name, e] : entries_) {
      const auto it = e.demand.find(key);
      const std::int64_t n = it == e.demand.end() ? 0 : it->second;
      if (name == id) own = claims.size();
      claims.push_back({.region = e.region, .demand = n + kLeastDemand});
    }
    Divide(ServingWorkers(s, *service), &claims);
    for (const auto& [worker, slots] : claims[own].slots) {
      wanted[worker] = std::max(wanted[worker], slots);
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
  control::slot_grants answer{.term = term_,
                              .sequence = ++e.last_sequence,
                              .report_number = report.number,
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
