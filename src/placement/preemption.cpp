#include <algorithm>
#include <array>
#include <tuple>
#include <utility>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

// Costs of evicting one task. Work with checkpoints loses the least progress,
// and evicting a service replica affects its callers at once.
constexpr std::int64_t kCheckpointCost = 1;
constexpr std::int64_t kRestartCost = 8;
constexpr std::int64_t kServiceCost = 64;
constexpr std::int64_t kUrgencyCost = 2;

std::int64_t EvictionCost(const job_entry& job, const task_slot& slot) {
  const std::int64_t urgency =
      kUrgencyCost * static_cast<std::int64_t>(slot.urgency);
  return std::visit(
      core::overloaded{
          [&](const service_work&) { return kServiceCost + urgency; },
          [&](const batch_work& batch) {
            return (batch.checkpoint ? kCheckpointCost : kRestartCost) +
                   urgency;
          },
          [&](const gang_work& gang) {
            return (kRestartCost + urgency) * gang.tasks;
          },
      },
      job.work);
}

std::int64_t CountCopies(const core::resources& free,
                         const core::resources& need) {
  std::int64_t copies = cell::kMaxTasks;
  if (need.cpu_milli > 0) {
    copies = std::min(copies, free.cpu_milli / need.cpu_milli);
  }
  if (need.memory_mib > 0) {
    copies = std::min(copies, free.memory_mib / need.memory_mib);
  }
  if (need.accelerators > 0) {
    copies = std::min(copies, free.accelerators / need.accelerators);
  }
  return std::max<std::int64_t>(copies, 0);
}

}  // namespace

bool scheduler::impl::MayEvict(const job_entry& owner,
                               const task_slot& slot) const {
  return slot.state == slot_state::kPlaced && !slot.evicting &&
         owner.IsRestartable();
}

bool scheduler::impl::Reclaim(job_entry& job, const core::resources& need,
                              core::time_point now) {
  if (evictions_ >= policy_.max_evictions) return false;
  if (static_cast<std::int64_t>(job.earmarked_workers.size()) >= job.waiting) {
    return false;
  }
  const department_node& node = departments_.At(job.department);
  bool own_department_only = false;
  if (!departments_.IsWithinQuota(job.department, need)) {
    // At the quota, urgent work preempts less urgent work of its own
    // department, so that the shares of other departments do not change.
    if (job.urgency != cell::urgency::kUrgent) return false;
    core::resources urgent_usage = node.earmarked + need;
    for (auto urgency = static_cast<std::size_t>(job.urgency); urgency < 3;
         ++urgency) {
      urgent_usage = urgent_usage + node.used_by_urgency[urgency];
    }
    if (!node.quota.Holds(urgent_usage)) return false;
    own_department_only = true;
  }
  std::optional<victims> best;
  std::size_t found = 0;
  const std::size_t worker_count = pool_.Size();
  std::size_t inspected = 0;
  for (; inspected < worker_count && found < policy_.reclaim_candidates;
       ++inspected) {
    const auto worker = static_cast<std::int32_t>(
        (next_reclaim_worker_ + inspected) % worker_count);
    auto candidate = SelectVictims(worker, job, need, own_department_only);
    if (!candidate) continue;
    ++found;
    if (!best || candidate->cost < best->cost) best = std::move(candidate);
  }
  if (worker_count > 0) {
    next_reclaim_worker_ = (next_reclaim_worker_ + inspected) % worker_count;
  }
  if (!best) return false;
  Evict(best->tasks, own_department_only ? evict_reason::kPreempted
                                         : evict_reason::kReclaimed);
  AddEarmark(job, best->worker, need, now);
  return true;
}

std::optional<scheduler::impl::victims> scheduler::impl::SelectVictims(
    std::int32_t worker, const job_entry& job, const core::resources& need,
    bool own_department_only) const {
  const worker_entry& entry = pool_.At(worker);
  const bool usable = entry.present && !entry.drain && !entry.quarantined &&
                      !entry.earmark && entry.reserved_for == 0 &&
                      entry.capacity.Holds(need) &&
                      (job.region == kNoIndex || entry.region == job.region);
  if (!usable) return std::nullopt;
  // For urgent work, the usage of its department counts as if that work ran.
  core::resources initially_stopped;
  if (own_department_only) {
    initially_stopped =
        core::resources{} - departments_.At(job.department).earmarked - need;
  }
  // Lowest cost first; at equal cost, the latest start loses the least work.
  using candidate = std::tuple<std::int64_t, std::int64_t, cell::task_id>;
  std::vector<candidate> candidates;
  for (const cell::task_id& id : entry.tasks) {
    const job_entry& owner = *jobs_.Find(id.job);
    const task_slot& slot = owner.tasks[id.index];
    if (!MayEvict(owner, slot) || owner.uid == job.uid) continue;
    if (own_department_only &&
        (owner.department != job.department || slot.urgency >= job.urgency)) {
      continue;
    }
    if (!departments_.IsBorrowed(owner.department, slot.need,
                                 initially_stopped)) {
      continue;
    }
    candidates.emplace_back(EvictionCost(owner, slot), -slot.since, id);
  }
  std::sort(candidates.begin(), candidates.end());
  victims selected{.worker = worker};
  core::resources free = entry.free;
  std::vector<std::pair<std::int32_t, core::resources>> stopped_by_department;
  std::vector<core::revision> evicted_gangs;
  for (const auto& [cost, since, id] : candidates) {
    if (free.Holds(need)) break;
    const job_entry& owner = *jobs_.Find(id.job);
    if (std::find(evicted_gangs.begin(), evicted_gangs.end(), id.job) !=
        evicted_gangs.end()) {
      continue;
    }
    const task_slot& slot = owner.tasks[id.index];
    auto it = std::find_if(
        stopped_by_department.begin(), stopped_by_department.end(),
        [&](const auto& item) { return item.first == owner.department; });
    if (it == stopped_by_department.end()) {
      it = stopped_by_department.insert(it,
                                        {owner.department, initially_stopped});
    }
    if (!departments_.IsBorrowed(owner.department, slot.need, it->second)) {
      continue;
    }
    const freed_resources freed = FreedByEvicting(id, worker);
    it->second = it->second + freed.anywhere;
    free = free + freed.on_worker;
    selected.cost += cost;
    selected.tasks.push_back(id);
    if (std::holds_alternative<gang_work>(owner.work)) {
      evicted_gangs.push_back(owner.uid);
    }
  }
  if (!free.Holds(need)) return std::nullopt;
  return selected;
}

scheduler::impl::freed_resources scheduler::impl::FreedByEvicting(
    const cell::task_id& id, std::int32_t worker) const {
  const job_entry& owner = *jobs_.Find(id.job);
  const core::resources& need = owner.tasks[id.index].need;
  if (!std::holds_alternative<gang_work>(owner.work)) return {need, need};
  freed_resources freed;
  for (const task_slot& slot : owner.tasks) {
    if (slot.state != slot_state::kPlaced || slot.evicting) continue;
    freed.anywhere = freed.anywhere + slot.need;
    if (slot.worker == worker) freed.on_worker = freed.on_worker + slot.need;
  }
  return freed;
}

void scheduler::impl::Evict(const std::vector<cell::task_id>& tasks,
                            evict_reason reason) {
  evict checkpointed{{}, true, reason};
  evict stopped{{}, false, reason};
  for (const cell::task_id& id : tasks) {
    job_entry& owner = *jobs_.Find(id.job);
    evict& eviction = owner.CanCheckpoint() ? checkpointed : stopped;
    const bool is_gang = std::holds_alternative<gang_work>(owner.work);
    if (!is_gang) {
      SetEvicting(owner, owner.tasks[id.index], true);
      eviction.tasks.push_back(id);
      continue;
    }
    // All tasks of a gang are evicted together.
    for (std::uint32_t i = 0; i < owner.tasks.size(); ++i) {
      task_slot& slot = owner.tasks[i];
      if (slot.state != slot_state::kPlaced || slot.evicting) continue;
      SetEvicting(owner, slot, true);
      eviction.tasks.push_back({owner.uid, i});
    }
  }
  evictions_ += tasks.size();
  if (!checkpointed.tasks.empty()) {
    round_.decisions.emplace_back(std::move(checkpointed));
  }
  if (!stopped.tasks.empty()) round_.decisions.emplace_back(std::move(stopped));
}

void scheduler::impl::AddEarmark(job_entry& job, std::int32_t worker,
                                 const core::resources& need,
                                 core::time_point now) {
  const placement::earmark earmark{job.uid, need, now + policy_.earmark_limit};
  pool_.SetEarmark(worker, earmark);
  earmarks_.insert({earmark.until, worker});
  job.earmarked_workers.push_back(worker);
  department_node& node = departments_.At(job.department);
  node.earmarked = node.earmarked + need;
}

void scheduler::impl::DropEarmark(job_entry& job, std::int32_t worker) {
  const auto it = std::find(job.earmarked_workers.begin(),
                            job.earmarked_workers.end(), worker);
  if (it == job.earmarked_workers.end()) return;
  job.earmarked_workers.erase(it);
  const placement::earmark earmark = *pool_.At(worker).earmark;
  department_node& node = departments_.At(job.department);
  node.earmarked = node.earmarked - earmark.need;
  earmarks_.erase({earmark.until, worker});
  pool_.SetEarmark(worker, std::nullopt);
}

void scheduler::impl::DropEarmarks(job_entry& job) {
  while (!job.earmarked_workers.empty()) {
    DropEarmark(job, job.earmarked_workers.back());
  }
}

void scheduler::impl::ExpireEarmarks(core::time_point now) {
  while (!earmarks_.empty() && earmarks_.begin()->first <= now) {
    const std::int32_t worker = earmarks_.begin()->second;
    DropEarmark(*jobs_.Find(pool_.At(worker).earmark->job), worker);
  }
}

std::int32_t scheduler::impl::FindEarmarkedWorker(
    const job_entry& job, const worker_query& query) const {
  for (const std::int32_t worker : job.earmarked_workers) {
    if (pool_.Fits(pool_.At(worker), query)) return worker;
  }
  return kNoIndex;
}

std::vector<std::int32_t> scheduler::impl::SelectReservationWorkers(
    const job_entry& job) const {
  const worker_query query = MakeQuery(job, job.need);
  std::vector<std::tuple<std::int64_t, std::uint32_t, std::int32_t>> candidates;
  std::vector<std::int64_t> copies_by_region(pool_.RegionCount());
  for (std::int32_t worker = 0;
       worker < static_cast<std::int32_t>(pool_.Size()); ++worker) {
    const worker_entry& entry = pool_.At(worker);
    const bool usable =
        entry.present && !entry.drain && !entry.quarantined && !entry.earmark &&
        entry.reserved_for == 0 && entry.capacity.Holds(job.need) &&
        (query.region == kNoIndex || entry.region == query.region);
    if (!usable) continue;
    candidates.emplace_back(-CountCopies(entry.free, job.need), entry.tie_break,
                            worker);
    copies_by_region[entry.region] += CountCopies(entry.capacity, job.need);
  }
  std::sort(candidates.begin(), candidates.end());
  const auto tasks = std::get<gang_work>(job.work).tasks;
  std::int32_t region = kNoIndex;
  if (job.where.one_region && !candidates.empty()) {
    const auto it = std::find_if(
        candidates.begin(), candidates.end(), [&](const auto& entry) {
          return copies_by_region[pool_.At(std::get<2>(entry)).region] >= tasks;
        });
    if (it == candidates.end()) return {};
    region = pool_.At(std::get<2>(*it)).region;
  }
  std::vector<std::int32_t> chosen;
  std::int64_t copies = 0;
  for (const auto& [negated_copies, tie_break, worker] : candidates) {
    if (copies >= tasks) break;
    if (region != kNoIndex && pool_.At(worker).region != region) continue;
    chosen.push_back(worker);
    copies += CountCopies(pool_.At(worker).capacity, job.need);
  }
  if (copies < tasks) chosen.clear();
  return chosen;
}

void scheduler::impl::Reserve(job_entry& job, core::time_point now) {
  if (reservation_ || now < job.next_reservation) return;
  reservation candidate{job.uid, SelectReservationWorkers(job),
                        now + policy_.reservation_limit};
  if (candidate.workers.empty()) return;
  for (const std::int32_t worker : candidate.workers) {
    pool_.SetReserved(worker, job.uid);
  }
  reservation_ = std::move(candidate);
}

void scheduler::impl::EndReservation() {
  for (const std::int32_t worker : reservation_->workers) {
    pool_.SetReserved(worker, 0);
    for (const cell::task_id& id : pool_.At(worker).tasks) {
      FindSlot(id)->backfilled = false;
    }
  }
  reservation_.reset();
  pool_.SetBackfillAllowed(true);
}

std::int64_t scheduler::impl::CountCopiesAfterEviction(
    std::int32_t worker, const job_entry& gang, bool entitled,
    std::vector<cell::task_id>& tasks) const {
  core::resources free = pool_.At(worker).Available();
  for (const cell::task_id& id : pool_.At(worker).tasks) {
    const job_entry& owner = *jobs_.Find(id.job);
    const task_slot& slot = owner.tasks[id.index];
    if (slot.evicting) free = free + slot.need;
    if (!MayEvict(owner, slot)) continue;
    const bool borrowed = entitled &&
                          std::holds_alternative<batch_work>(owner.work) &&
                          departments_.IsBorrowed(owner.department, slot.need);
    if (!slot.backfilled && !borrowed) continue;
    free = free + slot.need;
    tasks.push_back(id);
  }
  return CountCopies(free, gang.need);
}

void scheduler::impl::AdvanceReservation(core::time_point now) {
  if (!reservation_) return;
  job_entry* job = jobs_.Find(reservation_->job);
  const bool needed = job != nullptr && job->declared && job->waiting > 0 &&
                      !job->unsatisfiable && job->not_before <= now;
  if (!needed || now >= reservation_->until) {
    // Other gang jobs may reserve first.
    if (needed) job->next_reservation = now + policy_.reservation_limit;
    EndReservation();
    return;
  }
  const bool entitled = departments_.IsWithinQuota(
      job->department, job->need * std::get<gang_work>(job->work).tasks);
  std::vector<cell::task_id> tasks;
  std::int64_t copies = 0;
  for (const std::int32_t worker : reservation_->workers) {
    copies += CountCopiesAfterEviction(worker, *job, entitled, tasks);
  }
  if (copies < job->waiting) return;
  // The gang fits once the backfilled and borrowing tasks have stopped.
  pool_.SetBackfillAllowed(false);
  std::vector<cell::task_id> backfilled;
  for (const cell::task_id& id : tasks) {
    if (FindSlot(id)->backfilled) backfilled.push_back(id);
  }
  if (!backfilled.empty()) Evict(backfilled, evict_reason::kBackfilled);
  for (const cell::task_id& id : tasks) {
    const task_slot& slot = *FindSlot(id);
    // Earlier evictions may have brought the department back to its quota.
    const std::int32_t department = jobs_.Find(id.job)->department;
    if (slot.evicting || !departments_.IsBorrowed(department, slot.need)) {
      continue;
    }
    Evict({id}, evict_reason::kReclaimed);
  }
}

}  // namespace mangoplank::placement
