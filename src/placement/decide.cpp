#include <algorithm>
#include <utility>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

std::int64_t CountFittingTasks(const core::resources& free,
                               const core::resources& need) {
  std::int64_t count = cell::kMaxTasks;
  if (need.cpu_milli > 0) {
    count = std::min(count, free.cpu_milli / need.cpu_milli);
  }
  if (need.memory_mib > 0) {
    count = std::min(count, free.memory_mib / need.memory_mib);
  }
  if (need.accelerators > 0) {
    count = std::min(count, free.accelerators / need.accelerators);
  }
  return std::max<std::int64_t>(count, 0);
}

// Returns the region with most of the job's tasks.
std::int32_t HomeRegionOf(const job_entry& job) {
  const auto home = std::max_element(
      job.tasks_by_region.begin(), job.tasks_by_region.end(),
      [](const auto& a, const auto& b) {
        return a.second != b.second ? a.second < b.second : a.first > b.first;
      });
  return home->first;
}

void AddIfShort(std::vector<shortage>& shortages,
                shortage::constraint_kind kind, std::int64_t requested,
                std::int64_t available) {
  if (requested > available) shortages.push_back({kind, requested, available});
}

// Returns why `need` does not fit on the workers of `region` even if they are
// empty; `gang_size` is the number of tasks that must run together.
std::vector<shortage> FindShortages(const worker_pool& pool,
                                    std::int32_t region,
                                    const core::resources& need,
                                    std::int64_t gang_size) {
  std::vector<shortage> shortages;
  core::resources largest;
  std::int64_t fitting = 0;
  std::int64_t workers = 0;
  for (const auto& [shape, count] : pool.Shapes()) {
    if (region != kNoIndex && shape.region != region) continue;
    workers += count;
    largest.cpu_milli = std::max(largest.cpu_milli, shape.cpu_milli);
    largest.memory_mib = std::max(largest.memory_mib, shape.memory_mib);
    largest.accelerators = std::max(largest.accelerators, shape.accelerators);
    const core::resources capacity{shape.cpu_milli, shape.memory_mib,
                                   shape.accelerators};
    if (capacity.Holds(need))
      fitting += count * CountFittingTasks(capacity, need);
  }
  if (workers == 0) return {{shortage::constraint_kind::kRegion, 1, 0}};
  AddIfShort(shortages, shortage::constraint_kind::kCpu, need.cpu_milli,
             largest.cpu_milli);
  AddIfShort(shortages, shortage::constraint_kind::kMemory, need.memory_mib,
             largest.memory_mib);
  AddIfShort(shortages, shortage::constraint_kind::kAccelerators,
             need.accelerators, largest.accelerators);
  if (!shortages.empty()) return shortages;
  if (fitting == 0) return {{shortage::constraint_kind::kCombination, 1, 0}};
  AddIfShort(shortages, shortage::constraint_kind::kGangSize, gang_size,
             fitting);
  return shortages;
}

}  // namespace

round scheduler::impl::Decide(core::time_point now) {
  StartRound(now);
  while (round_.decisions.size() < policy_.max_decisions) {
    std::int32_t department = departments_.Select(demand::kWithinQuota);
    if (department == 0) department = departments_.Select(demand::kBorrowing);
    if (department == 0) break;
    TryNextJob(department, now);
  }
  EndRound();
  return std::exchange(round_, {});
}

void scheduler::impl::StartRound(core::time_point now) {
  departments_.SetCapacity(pool_.TotalCapacity());
  departments_.Advance(now);
  failed_queries_.clear();
  evictions_ = 0;
  ExpireEarmarks(now);
  while (!delayed_jobs_.empty() && delayed_jobs_.begin()->first <= now) {
    job_entry* job = jobs_.Find(delayed_jobs_.begin()->second);
    delayed_jobs_.erase(delayed_jobs_.begin());
    if (job != nullptr) UpdateQueue(*job, now);
  }
  CheckJobs(now);
  ReplaceOutdated();
  AdvanceReservation(now);
  for (const std::int32_t department : active_departments_) {
    department_node& node = departments_.At(department);
    node.next_job = node.queue.begin();
    node.failed_searches = 0;
    UpdateDemand(department);
  }
}

void scheduler::impl::EndRound() {
  for (std::size_t department = 1; department < departments_.Size();
       ++department) {
    departments_.SetDemand(static_cast<std::int32_t>(department),
                           demand::kNone);
  }
}

void scheduler::impl::CheckJobs(core::time_point now) {
  if (pool_.Shapes().empty()) return;
  if (checked_capacity_version_ != pool_.CapacityVersion()) {
    checked_capacity_version_ = pool_.CapacityVersion();
    unchecked_jobs_.insert(unsatisfiable_jobs_.begin(),
                           unsatisfiable_jobs_.end());
  }
  while (!unchecked_jobs_.empty() &&
         round_.decisions.size() < policy_.max_decisions) {
    job_entry* job = jobs_.Find(*unchecked_jobs_.begin());
    unchecked_jobs_.erase(unchecked_jobs_.begin());
    if (job == nullptr || !job->declared) continue;
    CheckSatisfiable(*job);
    UpdateQueue(*job, now);
  }
}

bool scheduler::impl::CheckSatisfiable(job_entry& job) {
  job.checked_capacity_version = pool_.CapacityVersion();
  const auto* gang = std::get_if<gang_work>(&job.work);
  const std::int64_t gang_size = gang == nullptr ? 1 : gang->tasks;
  std::vector<shortage> shortages;
  if (gang != nullptr && job.where.one_region && job.region == kNoIndex) {
    for (std::size_t region = 0; region < pool_.RegionCount(); ++region) {
      shortages = FindShortages(pool_, static_cast<std::int32_t>(region),
                                job.need, gang_size);
      if (shortages.empty()) break;
    }
    if (!shortages.empty()) {
      const auto anywhere = FindShortages(pool_, kNoIndex, job.need, gang_size);
      if (!anywhere.empty()) shortages = anywhere;
    }
  } else {
    shortages = FindShortages(pool_, job.region, job.need, gang_size);
  }
  const bool changed =
      !shortages.empty() && (!job.unsatisfiable || job.shortages != shortages);
  job.unsatisfiable = !shortages.empty();
  job.shortages = std::move(shortages);
  if (job.unsatisfiable) {
    unsatisfiable_jobs_.insert(job.uid);
  } else {
    unsatisfiable_jobs_.erase(job.uid);
  }
  if (changed) {
    round_.decisions.emplace_back(
        unsatisfiable{job.key, job.uid, job.shortages});
  }
  return !job.unsatisfiable;
}

void scheduler::impl::UpdateDemand(std::int32_t department) {
  department_node& node = departments_.At(department);
  if (node.next_job == node.queue.end() ||
      node.failed_searches >= policy_.backfill_depth) {
    departments_.SetDemand(department, demand::kNone);
    return;
  }
  const job_entry& job = *jobs_.Find(node.next_job->job);
  const auto* gang = std::get_if<gang_work>(&job.work);
  const core::resources need =
      gang == nullptr ? job.need : job.need * gang->tasks;
  departments_.SetDemand(department,
                         departments_.IsWithinQuota(department, need)
                             ? demand::kWithinQuota
                             : demand::kBorrowing);
}

void scheduler::impl::TryNextJob(std::int32_t department,
                                 core::time_point now) {
  department_node& node = departments_.At(department);
  const auto current = node.next_job;
  job_entry& job = *jobs_.Find(current->job);
  const bool satisfiable =
      job.checked_capacity_version == pool_.CapacityVersion() ||
      CheckSatisfiable(job);
  const attempt_result result =
      satisfiable ? TryJob(job, now) : attempt_result::kBlocked;
  if (result == attempt_result::kNoCapacity) ++node.failed_searches;
  if (result != attempt_result::kPlaced && node.next_job == current) {
    ++node.next_job;
  }
  if (job.waiting == 0) DropEarmarks(job);
  UpdateQueue(job, now);
  UpdateDemand(department);
}

scheduler::impl::attempt_result scheduler::impl::TryJob(job_entry& job,
                                                        core::time_point now) {
  return std::visit(
      core::overloaded{
          [&](const service_work&) { return TryOneTask(job, now); },
          [&](const batch_work&) { return TryOneTask(job, now); },
          [&](const gang_work&) { return TryGang(job, now); },
      },
      job.work);
}

worker_query scheduler::impl::MakeQuery(const job_entry& job,
                                        const core::resources& need) const {
  worker_query query;
  query.need = need;
  query.job = job.uid;
  query.region = job.region;
  query.estimated_usage = estimates_.Estimate(job.uid).value_or(need);
  query.can_backfill =
      std::holds_alternative<batch_work>(job.work) && job.IsRestartable();
  query.spread = job.where.spread;
  if (query.spread == cell::spread::kNone &&
      std::holds_alternative<service_work>(job.work)) {
    // Replicas of a service avoid sharing a rack and its switch.
    query.spread = cell::spread::kRacks;
  }
  query.tasks_by_rack = &job.tasks_by_rack;
  query.tasks_by_region = &job.tasks_by_region;
  if (job.where.one_region && !job.tasks_by_region.empty()) {
    query.region = job.tasks_by_region.front().first;
  }
  if (query.spread != cell::spread::kRegions && !job.tasks_by_region.empty()) {
    query.home_region = HomeRegionOf(job);
  }
  query.avoided_workers = job.failed_workers;
  return query;
}

bool scheduler::impl::MayLeaveHomeRegion(const job_entry& job,
                                         core::time_point now) const {
  const auto* batch = std::get_if<batch_work>(&job.work);
  if (batch == nullptr || job.urgency == cell::urgency::kUrgent) return true;
  const auto waited =
      std::chrono::duration<double>(now - job.waiting_since).count();
  const auto max_wait =
      std::chrono::duration<double>(policy_.cross_region_wait).count();
  return policy_.weights.waiting * waited >=
         policy_.weights.cross_region * max_wait;
}

bool scheduler::impl::HasFailedThisRound(const worker_query& query) const {
  return std::any_of(
      failed_queries_.begin(), failed_queries_.end(),
      [&](const worker_query& failed) {
        return (failed.region == kNoIndex || failed.region == query.region) &&
               failed.can_backfill >= query.can_backfill &&
               query.need.Holds(failed.need);
      });
}

scheduler::impl::attempt_result scheduler::impl::TryOneTask(
    job_entry& job, core::time_point now) {
  const auto index = FirstWaiting(job);
  if (!index) return attempt_result::kBlocked;
  double& retry_tokens = departments_.At(job.department).retry_tokens;
  const bool is_retry = job.tasks[*index].failures > 0;
  if (is_retry && retry_tokens < 1) return attempt_result::kBlocked;
  worker_query query = MakeQuery(job, job.tasks[*index].need);
  if (query.home_region != kNoIndex) {
    query.may_leave_home_region = MayLeaveHomeRegion(job, now);
  }
  std::int32_t worker = FindEarmarkedWorker(job, query);
  if (worker == kNoIndex && TryProbe(job, *index, query, now)) {
    return attempt_result::kPlaced;
  }
  const bool known_to_fail = worker == kNoIndex && HasFailedThisRound(query);
  if (worker == kNoIndex && !known_to_fail) worker = pool_.FindWorker(query);
  if (worker == kNoIndex) {
    if (!known_to_fail && query.may_leave_home_region) {
      failed_queries_.push_back(query);
    }
    Reclaim(job, query.need, now);
    return known_to_fail ? attempt_result::kBlocked
                         : attempt_result::kNoCapacity;
  }
  if (is_retry) retry_tokens -= 1;
  PlaceTask(job, *index, worker);
  return attempt_result::kPlaced;
}

bool scheduler::impl::TryProbe(job_entry& job, std::uint32_t index,
                               const worker_query& query,
                               core::time_point now) {
  // A task that may run only once could be lost, and a task that fails
  // elsewhere too says nothing about the worker.
  const auto* batch = std::get_if<batch_work>(&job.work);
  if (batch == nullptr || !batch->idempotent || !job.failed_workers.empty()) {
    return false;
  }
  const auto worker = health_.FindProbeWorker(query, now);
  if (!worker) return false;
  PlaceTask(job, index, *worker);
  job.tasks[index].is_probe = true;
  health_.OnProbeStarted(*worker);
  return true;
}

void scheduler::impl::PlaceTask(job_entry& job, std::uint32_t index,
                                std::int32_t worker) {
  DropEarmark(job, worker);
  Propose(job, index, worker);
  round_.decisions.emplace_back(place{{MakePlacement(job, index)}});
}

void scheduler::impl::Propose(job_entry& job, std::uint32_t index,
                              std::int32_t worker) {
  LeaveState(job, index);
  job.tasks[index].generation = job.generation;
  AllocateResources(job, index, worker, slot_state::kProposed);
}

cell::task_placement scheduler::impl::MakePlacement(const job_entry& job,
                                                    std::uint32_t index) const {
  const worker_entry& entry = pool_.At(job.tasks[index].worker);
  return {{job.uid, index}, entry.id, entry.incarnation};
}

scheduler::impl::attempt_result scheduler::impl::TryGang(job_entry& job,
                                                         core::time_point now) {
  // A gang that lost a task waits until its other tasks have stopped.
  if (job.placed + job.proposed > 0) return attempt_result::kBlocked;
  std::vector<std::uint32_t> proposed;
  bool fits = false;
  if (job.where.one_region && job.region == kNoIndex &&
      job.tasks_by_region.empty()) {
    for (std::size_t region = 0; region < pool_.RegionCount() && !fits;
         ++region) {
      fits = ProposeGang(job, static_cast<std::int32_t>(region), proposed);
    }
  } else {
    fits = ProposeGang(job, MakeQuery(job, job.need).region, proposed);
  }
  if (!fits) {
    Reserve(job, now);
    return attempt_result::kNoCapacity;
  }
  if (reservation_ && reservation_->job == job.uid) EndReservation();
  place placement;
  for (const std::uint32_t index : proposed) {
    placement.group.push_back(MakePlacement(job, index));
  }
  round_.decisions.emplace_back(std::move(placement));
  return attempt_result::kPlaced;
}

bool scheduler::impl::ProposeGang(job_entry& job, std::int32_t region,
                                  std::vector<std::uint32_t>& proposed) {
  proposed.clear();
  const core::time_point waiting_since = job.waiting_since;
  while (const auto index = FirstWaiting(job)) {
    worker_query query = MakeQuery(job, job.tasks[*index].need);
    query.region = region;
    const std::int32_t worker = pool_.FindWorker(query);
    if (worker == kNoIndex) break;
    Propose(job, *index, worker);
    proposed.push_back(*index);
  }
  if (job.waiting == 0) return !proposed.empty();
  for (const std::uint32_t index : proposed) {
    LeaveState(job, index);
    EnterWaiting(job, index, waiting_since);
  }
  return false;
}

bool scheduler::impl::IsOutdated(const job_entry& job,
                                 const task_slot& slot) const {
  if (!job.declared || slot.state != slot_state::kPlaced || slot.evicting) {
    return false;
  }
  if (!std::holds_alternative<service_work>(job.work)) return false;
  return slot.generation < job.generation || pool_.At(slot.worker).drain;
}

void scheduler::impl::ReplaceOutdated() {
  const auto uids = std::exchange(outdated_services_, {});
  for (const core::revision uid : uids) {
    job_entry* job = jobs_.Find(uid);
    if (job == nullptr || !job->declared) continue;
    const auto* service = std::get_if<service_work>(&job->work);
    if (service != nullptr) ReplaceReplicas(*job, *service);
  }
}

void scheduler::impl::ReplaceReplicas(job_entry& job,
                                      const service_work& service) {
  std::int64_t available = 0;
  for (const task_slot& slot : job.tasks) {
    available +=
        slot.state == slot_state::kPlaced && slot.running && !slot.evicting;
  }
  const auto max_unavailable =
      std::max<std::int64_t>(1, service.max_unavailable);
  std::int64_t evictable = max_unavailable - (service.replicas - available);
  evict replaced{{}, false, evict_reason::kReplaced};
  evict drained{{}, false, evict_reason::kDrained};
  for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
    task_slot& slot = job.tasks[i];
    if (!IsOutdated(job, slot)) continue;
    // Evicting a replica that does not run yet does not reduce availability.
    if (slot.running && evictable <= 0) continue;
    if (slot.running) --evictable;
    SetEvicting(job, slot, true);
    (slot.generation < job.generation ? replaced : drained)
        .tasks.push_back({job.uid, i});
  }
  if (!replaced.tasks.empty()) round_.decisions.emplace_back(replaced);
  if (!drained.tasks.empty()) round_.decisions.emplace_back(drained);
}

}  // namespace mangoplank::placement
