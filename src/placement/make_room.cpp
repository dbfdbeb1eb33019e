#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

// Costs of stopping one task. Work that saves its progress loses least, and a
// service is missed by its callers at once.
constexpr std::int64_t kCheckpointCost = 1;
constexpr std::int64_t kRestartCost = 8;
constexpr std::int64_t kServiceCost = 64;
constexpr std::int64_t kUrgencyCost = 2;

std::int64_t EvictionCost(const job& j, const task_slot& t) {
  const std::int64_t urgency = kUrgencyCost * static_cast<std::int64_t>(t.u);
  return std::visit(
      core::overloaded{
          [&](const service_work&) { return kServiceCost + urgency; },
          [&](const batch_work& b) {
            return (b.checkpoint ? kCheckpointCost : kRestartCost) + urgency;
          },
          [&](const gang_work& g) {
            return (kRestartCost + urgency) * g.tasks;
          },
      },
      j.w);
}

std::int64_t Copies(const core::resources& room, const core::resources& need) {
  std::int64_t n = cell::kMaxTasks;
  if (need.cpu_milli > 0) n = std::min(n, room.cpu_milli / need.cpu_milli);
  if (need.memory_mib > 0) n = std::min(n, room.memory_mib / need.memory_mib);
  if (need.accelerators > 0) {
    n = std::min(n, room.accelerators / need.accelerators);
  }
  return std::max<std::int64_t>(n, 0);
}

}  // namespace

bool scheduler::impl::MayEvict(const job& owner, const task_slot& t) const {
  return t.state == slot_state::kHeld && !t.evicting && owner.Restartable();
}

bool scheduler::impl::Reclaim(job& j, const core::resources& need,
                              core::time_point now) {
  if (evictions_ >= policy_.max_evictions) return false;
  if (static_cast<std::int64_t>(j.pledges.size()) >= j.waiting) return false;
  const department& d = departments_.At(j.department);
  bool own_only = false;
  if (!departments_.WithinQuota(j.department, need)) {
    // Urgent work replaces less urgent work of its own department at the
    // quota, so that nobody else's share is moved.
    if (j.u != cell::urgency::kUrgent) return false;
    core::resources as_urgent = d.pledged + need;
    for (auto u = static_cast<std::size_t>(j.u); u < 3; ++u) {
      as_urgent = as_urgent + d.used_by_urgency[u];
    }
    if (!d.quota.Holds(as_urgent)) return false;
    own_only = true;
  }
  std::optional<victims> best;
  std::size_t found = 0;
  const std::size_t n = pool_.Size();
  std::size_t looked = 0;
  for (; looked < n && found < policy_.reclaim_candidates; ++looked) {
    const auto w = static_cast<std::int32_t>((reclaim_from_ + looked) % n);
    auto v = VictimsOn(w, j, need, own_only);
    if (!v) continue;
    ++found;
    if (!best || v->cost < best->cost) best = std::move(v);
  }
  if (n > 0) reclaim_from_ = (reclaim_from_ + looked) % n;
  if (!best) return false;
  Evict(best->tasks,
        own_only ? evict_reason::kMoreUrgent : evict_reason::kReclaimed);
  Pledge(j, best->worker, need, now);
  return true;
}

std::optional<scheduler::impl::victims> scheduler::impl::VictimsOn(
    std::int32_t w, const job& j, const core::resources& need,
    bool own_only) const {
  const worker& n = pool_.At(w);
  const bool usable = n.present && !n.drain && !n.quarantined && !n.kept &&
                      n.reserved_for == 0 && n.capacity.Holds(need) &&
                      (j.region == kNone || n.region == j.region);
  if (!usable) return std::nullopt;
  // For its own urgent work a department's use counts as if that work ran.
  core::resources wanted;
  if (own_only) {
    wanted = core::resources{} - departments_.At(j.department).pledged - need;
  }
  // The cost decides first; of equal costs the latest start loses least work.
  using candidate = std::tuple<std::int64_t, std::int64_t, cell::task_id>;
  std::vector<candidate> candidates;
  for (const cell::task_id& id : n.tasks) {
    const job& owner = *jobs_.Find(id.job);
    const task_slot& t = owner.tasks[id.index];
    if (!MayEvict(owner, t) || owner.uid == j.uid) continue;
    if (own_only && (owner.department != j.department || t.u >= j.u)) continue;
    if (!departments_.IsBorrowed(owner.department, t.need, wanted)) continue;
    candidates.emplace_back(EvictionCost(owner, t), -t.since, id);
  }
  std::sort(candidates.begin(), candidates.end());
  victims v{.worker = w};
  core::resources room = n.free;
  std::vector<std::pair<std::int32_t, core::resources>> stopped;
  std::vector<core::revision> gangs;
  for (const auto& [cost, since, id] : candidates) {
    if (room.Holds(need)) break;
    const job& owner = *jobs_.Find(id.job);
    if (std::find(gangs.begin(), gangs.end(), id.job) != gangs.end()) continue;
    const task_slot& t = owner.tasks[id.index];
    auto it = std::find_if(stopped.begin(), stopped.end(), [&](const auto& s) {
      return s.first == owner.department;
    });
    if (it == stopped.end()) {
      it = stopped.insert(it, {owner.department, wanted});
    }
    if (!departments_.IsBorrowed(owner.department, t.need, it->second)) {
      continue;
    }
    const freed f = FreedBy(id, w);
    it->second = it->second + f.anywhere;
    room = room + f.on_worker;
    v.cost += cost;
    v.tasks.push_back(id);
    if (std::holds_alternative<gang_work>(owner.w)) gangs.push_back(owner.uid);
  }
  if (!room.Holds(need)) return std::nullopt;
  return v;
}

scheduler::impl::freed scheduler::impl::FreedBy(const cell::task_id& id,
                                                std::int32_t w) const {
  const job& owner = *jobs_.Find(id.job);
  const core::resources& need = owner.tasks[id.index].need;
  if (!std::holds_alternative<gang_work>(owner.w)) return {need, need};
  freed f;
  for (const task_slot& t : owner.tasks) {
    if (t.state != slot_state::kHeld || t.evicting) continue;
    f.anywhere = f.anywhere + t.need;
    if (t.worker == w) f.on_worker = f.on_worker + t.need;
  }
  return f;
}

void scheduler::impl::Evict(const std::vector<cell::task_id>& tasks,
                            evict_reason reason) {
  evict saved{{}, true, reason};
  evict stopped{{}, false, reason};
  for (const cell::task_id& id : tasks) {
    job& owner = *jobs_.Find(id.job);
    evict& e = owner.Checkpoints() ? saved : stopped;
    const bool gang = std::holds_alternative<gang_work>(owner.w);
    if (!gang) {
      SetEvicting(owner, owner.tasks[id.index], true);
      e.tasks.push_back(id);
      continue;
    }
    // A gang runs whole or not at all.
    for (std::uint32_t i = 0; i < owner.tasks.size(); ++i) {
      task_slot& t = owner.tasks[i];
      if (t.state != slot_state::kHeld || t.evicting) continue;
      SetEvicting(owner, t, true);
      e.tasks.push_back({owner.uid, i});
    }
  }
  evictions_ += tasks.size();
  if (!saved.tasks.empty()) round_.decisions.emplace_back(std::move(saved));
  if (!stopped.tasks.empty()) round_.decisions.emplace_back(std::move(stopped));
}

void scheduler::impl::Pledge(job& j, std::int32_t w,
                             const core::resources& need,
                             core::time_point now) {
  const pledge p{j.uid, need, now + policy_.pledge_limit};
  pool_.SetPledge(w, p);
  pledges_.insert({p.until, w});
  j.pledges.push_back(w);
  department& d = departments_.At(j.department);
  d.pledged = d.pledged + need;
}

void scheduler::impl::DropPledge(job& j, std::int32_t w) {
  const auto it = std::find(j.pledges.begin(), j.pledges.end(), w);
  if (it == j.pledges.end()) return;
  j.pledges.erase(it);
  const pledge p = *pool_.At(w).kept;
  department& d = departments_.At(j.department);
  d.pledged = d.pledged - p.need;
  pledges_.erase({p.until, w});
  pool_.SetPledge(w, std::nullopt);
}

void scheduler::impl::DropPledges(job& j) {
  while (!j.pledges.empty()) DropPledge(j, j.pledges.back());
}

void scheduler::impl::ExpirePledges(core::time_point now) {
  while (!pledges_.empty() && pledges_.begin()->first <= now) {
    const std::int32_t w = pledges_.begin()->second;
    DropPledge(*jobs_.Find(pool_.At(w).kept->job), w);
  }
}

std::int32_t scheduler::impl::PledgedWorker(const job& j,
                                            const worker_query& q) const {
  for (const std::int32_t w : j.pledges) {
    if (pool_.Fits(pool_.At(w), q)) return w;
  }
  return kNone;
}

std::vector<std::int32_t> scheduler::impl::WorkersFor(const job& j) const {
  const worker_query q = QueryFor(j, j.need);
  std::vector<std::tuple<std::int64_t, std::uint32_t, std::int32_t>> order;
  std::vector<std::int64_t> copies_in(pool_.Regions());
  for (std::int32_t w = 0; w < static_cast<std::int32_t>(pool_.Size()); ++w) {
    const worker& n = pool_.At(w);
    const bool usable = n.present && !n.drain && !n.quarantined && !n.kept &&
                        n.reserved_for == 0 && n.capacity.Holds(j.need) &&
                        (q.region == kNone || n.region == q.region);
    if (!usable) continue;
    order.emplace_back(-Copies(n.free, j.need), n.tie, w);
    copies_in[n.region] += Copies(n.capacity, j.need);
  }
  std::sort(order.begin(), order.end());
  const auto tasks = std::get<gang_work>(j.w).tasks;
  std::int32_t region = kNone;
  if (j.where.one_region && !order.empty()) {
    const auto it =
        std::find_if(order.begin(), order.end(), [&](const auto& entry) {
          return copies_in[pool_.At(std::get<2>(entry)).region] >= tasks;
        });
    if (it == order.end()) return {};
    region = pool_.At(std::get<2>(*it)).region;
  }
  std::vector<std::int32_t> chosen;
  std::int64_t copies = 0;
  for (const auto& [minus_free, tie, w] : order) {
    if (copies >= tasks) break;
    if (region != kNone && pool_.At(w).region != region) continue;
    chosen.push_back(w);
    copies += Copies(pool_.At(w).capacity, j.need);
  }
  if (copies < tasks) chosen.clear();
  return chosen;
}

void scheduler::impl::Reserve(job& j, core::time_point now) {
  if (reservation_ || now < j.reserve_after) return;
  reservation r{j.uid, WorkersFor(j), now + policy_.reservation_limit};
  if (r.workers.empty()) return;
  for (const std::int32_t w : r.workers) pool_.SetReserved(w, j.uid);
  reservation_ = std::move(r);
}

void scheduler::impl::EndReservation() {
  for (const std::int32_t w : reservation_->workers) {
    pool_.SetReserved(w, 0);
    for (const cell::task_id& id : pool_.At(w).tasks)
      FindSlot(id)->lent = false;
  }
  reservation_.reset();
  pool_.SetLending(true);
}

std::int64_t scheduler::impl::Evictable(
    std::int32_t w, const job& gang, bool entitled,
    std::vector<cell::task_id>& tasks) const {
  core::resources room = pool_.At(w).Open();
  for (const cell::task_id& id : pool_.At(w).tasks) {
    const job& owner = *jobs_.Find(id.job);
    const task_slot& t = owner.tasks[id.index];
    if (t.evicting) room = room + t.need;
    if (!MayEvict(owner, t)) continue;
    const bool borrowed = entitled &&
                          std::holds_alternative<batch_work>(owner.w) &&
                          departments_.IsBorrowed(owner.department, t.need);
    if (!t.lent && !borrowed) continue;
    room = room + t.need;
    tasks.push_back(id);
  }
  return Copies(room, gang.need);
}

void scheduler::impl::AdvanceReservation(core::time_point now) {
  if (!reservation_) return;
  job* j = jobs_.Find(reservation_->job);
  const bool wanted = j != nullptr && j->declared && j->waiting > 0 &&
                      !j->unsatisfiable && j->not_before <= now;
  if (!wanted || now >= reservation_->until) {
    // Other gang jobs get their turn first.
    if (wanted) j->reserve_after = now + policy_.reservation_limit;
    EndReservation();
    return;
  }
  const bool entitled = departments_.WithinQuota(
      j->department, j->need * std::get<gang_work>(j->w).tasks);
  std::vector<cell::task_id> tasks;
  std::int64_t copies = 0;
  for (const std::int32_t w : reservation_->workers) {
    copies += Evictable(w, *j, entitled, tasks);
  }
  if (copies < j->waiting) return;
  // All tasks fit once what was lent has stopped.
  pool_.SetLending(false);
  std::vector<cell::task_id> lent;
  for (const cell::task_id& id : tasks) {
    if (FindSlot(id)->lent) lent.push_back(id);
  }
  if (!lent.empty()) Evict(lent, evict_reason::kLent);
  for (const cell::task_id& id : tasks) {
    const task_slot& t = *FindSlot(id);
    // Earlier stops may have brought the department back to its quota.
    const std::int32_t d = jobs_.Find(id.job)->department;
    if (t.evicting || !departments_.IsBorrowed(d, t.need)) continue;
    Evict({id}, evict_reason::kReclaimed);
  }
}

}  // namespace mangoplank::placement
