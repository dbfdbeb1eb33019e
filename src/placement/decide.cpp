#include <algorithm>
#include <utility>

#include "scheduler_impl.h"

namespace mangoplank::placement {

namespace {

std::int64_t Copies(const core::resources& room, const core::resources& need) {
  std::int64_t n = cell::kMaxTasks;
  if (need.cpu_milli > 0) n = std::min(n, room.cpu_milli / need.cpu_milli);
  if (need.memory_mib > 0) n = std::min(n, room.memory_mib / need.memory_mib);
  if (need.accelerators > 0) {
    n = std::min(n, room.accelerators / need.accelerators);
  }
  return std::max<std::int64_t>(n, 0);
}

// Region with most of the job's tasks.
std::int32_t HomeOf(const job& j) {
  const auto most = std::max_element(
      j.by_region.begin(), j.by_region.end(), [](const auto& a, const auto& b) {
        return a.second != b.second ? a.second < b.second : a.first > b.first;
      });
  return most->first;
}

void AddShort(std::vector<shortage>& what, shortage::kind k, std::int64_t need,
              std::int64_t most) {
  if (need > most) what.push_back({k, need, most});
}

// What `need` lacks on the workers of `region`, were they empty; `copies` is
// the number of tasks that must run together.
std::vector<shortage> Lacks(const worker_pool& pool, std::int32_t region,
                            const core::resources& need, std::int64_t copies) {
  std::vector<shortage> what;
  core::resources most;
  std::int64_t fitting = 0;
  std::int64_t workers = 0;
  for (const auto& [shape, n] : pool.Shapes()) {
    if (region != kNone && shape.region != region) continue;
    workers += n;
    most.cpu_milli = std::max(most.cpu_milli, shape.cpu_milli);
    most.memory_mib = std::max(most.memory_mib, shape.memory_mib);
    most.accelerators = std::max(most.accelerators, shape.accelerators);
    const core::resources room{shape.cpu_milli, shape.memory_mib,
                               shape.accelerators};
    if (room.Holds(need)) fitting += n * Copies(room, need);
  }
  if (workers == 0) return {{shortage::kind::kRegion, 1, 0}};
  AddShort(what, shortage::kind::kCpu, need.cpu_milli, most.cpu_milli);
  AddShort(what, shortage::kind::kMemory, need.memory_mib, most.memory_mib);
  AddShort(what, shortage::kind::kAccelerators, need.accelerators,
           most.accelerators);
  if (!what.empty()) return what;
  if (fitting == 0) return {{shortage::kind::kCombination, 1, 0}};
  AddShort(what, shortage::kind::kGangSize, copies, fitting);
  return what;
}

}  // namespace

round scheduler::impl::Decide(core::time_point now) {
  StartRound(now);
  while (round_.decisions.size() < policy_.max_decisions) {
    std::int32_t d = departments_.Select(claim::kEntitled);
    if (d == 0) d = departments_.Select(claim::kBorrowing);
    if (d == 0) break;
    TryNext(d, now);
  }
  EndRound();
  return std::exchange(round_, {});
}

void scheduler::impl::StartRound(core::time_point now) {
  departments_.SetCapacity(pool_.Total());
  departments_.Advance(now);
  failed_queries_.clear();
  evictions_ = 0;
  ExpirePledges(now);
  while (!delayed_.empty() && delayed_.begin()->first <= now) {
    job* j = jobs_.Find(delayed_.begin()->second);
    delayed_.erase(delayed_.begin());
    if (j != nullptr) UpdateQueue(*j, now);
  }
  CheckJobs(now);
  ReplaceOutdated();
  AdvanceReservation(now);
  for (const std::int32_t d : active_) {
    department& n = departments_.At(d);
    n.next = n.queue.begin();
    n.misses = 0;
    SetNext(d);
  }
}

void scheduler::impl::EndRound() {
  for (std::size_t d = 1; d < departments_.Size(); ++d) {
    departments_.SetClaim(static_cast<std::int32_t>(d), claim::kNothing);
  }
}

void scheduler::impl::CheckJobs(core::time_point now) {
  if (pool_.Shapes().empty()) return;
  if (checked_version_ != pool_.CapacityVersion()) {
    checked_version_ = pool_.CapacityVersion();
    unchecked_.insert(unsatisfiable_.begin(), unsatisfiable_.end());
  }
  while (!unchecked_.empty() &&
         round_.decisions.size() < policy_.max_decisions) {
    job* j = jobs_.Find(*unchecked_.begin());
    unchecked_.erase(unchecked_.begin());
    if (j == nullptr || !j->declared) continue;
    CheckSatisfiable(*j);
    UpdateQueue(*j, now);
  }
}

bool scheduler::impl::CheckSatisfiable(job& j) {
  j.checked_at = pool_.CapacityVersion();
  const auto* gang = std::get_if<gang_work>(&j.w);
  const std::int64_t copies = gang == nullptr ? 1 : gang->tasks;
  std::vector<shortage> what;
  if (gang != nullptr && j.where.one_region && j.region == kNone) {
    for (std::size_t r = 0; r < pool_.Regions(); ++r) {
      what = Lacks(pool_, static_cast<std::int32_t>(r), j.need, copies);
      if (what.empty()) break;
    }
    if (!what.empty()) {
      const auto anywhere = Lacks(pool_, kNone, j.need, copies);
      if (!anywhere.empty()) what = anywhere;
    }
  } else {
    what = Lacks(pool_, j.region, j.need, copies);
  }
  const bool news = !what.empty() && (!j.unsatisfiable || j.shortages != what);
  j.unsatisfiable = !what.empty();
  j.shortages = std::move(what);
  if (j.unsatisfiable) {
    unsatisfiable_.insert(j.uid);
  } else {
    unsatisfiable_.erase(j.uid);
  }
  if (news) {
    round_.decisions.emplace_back(unsatisfiable{j.key, j.uid, j.shortages});
  }
  return !j.unsatisfiable;
}

void scheduler::impl::SetNext(std::int32_t d) {
  department& n = departments_.At(d);
  if (n.next == n.queue.end() || n.misses >= policy_.backfill_depth) {
    departments_.SetClaim(d, claim::kNothing);
    return;
  }
  const job& j = *jobs_.Find(n.next->job);
  const auto* gang = std::get_if<gang_work>(&j.w);
  const core::resources need = gang == nullptr ? j.need : j.need * gang->tasks;
  departments_.SetClaim(d, departments_.WithinQuota(d, need)
                               ? claim::kEntitled
                               : claim::kBorrowing);
}

void scheduler::impl::TryNext(std::int32_t d, core::time_point now) {
  department& n = departments_.At(d);
  const auto at = n.next;
  job& j = *jobs_.Find(at->job);
  const bool usable =
      j.checked_at == pool_.CapacityVersion() || CheckSatisfiable(j);
  const attempt result = usable ? Try(j, now) : attempt::kBlocked;
  if (result == attempt::kNoRoom) ++n.misses;
  if (result != attempt::kPlaced && n.next == at) ++n.next;
  if (j.waiting == 0) DropPledges(j);
  UpdateQueue(j, now);
  SetNext(d);
}

scheduler::impl::attempt scheduler::impl::Try(job& j, core::time_point now) {
  return std::visit(core::overloaded{
                        [&](const service_work&) { return TryOne(j, now); },
                        [&](const batch_work&) { return TryOne(j, now); },
                        [&](const gang_work&) { return TryGang(j, now); },
                    },
                    j.w);
}

worker_query scheduler::impl::QueryFor(const job& j,
                                       const core::resources& need) const {
  worker_query q;
  q.need = need;
  q.job = j.uid;
  q.region = j.region;
  q.likely = estimates_.For(j.uid).value_or(need);
  q.lendable = std::holds_alternative<batch_work>(j.w) && j.Restartable();
  q.s = j.where.spread;
  if (q.s == cell::spread::kNone && std::holds_alternative<service_work>(j.w)) {
    // Replicas of a service share neither a rack nor its switch if possible.
    q.s = cell::spread::kRacks;
  }
  q.by_rack = &j.by_rack;
  q.by_region = &j.by_region;
  if (j.where.one_region && !j.by_region.empty()) {
    q.region = j.by_region.front().first;
  }
  if (q.s != cell::spread::kRegions && !j.by_region.empty()) {
    q.home = HomeOf(j);
  }
  q.avoid = j.failed_on;
  return q;
}

bool scheduler::impl::MayCross(const job& j, core::time_point now) const {
  const auto* batch = std::get_if<batch_work>(&j.w);
  if (batch == nullptr || j.u == cell::urgency::kUrgent) return true;
  const auto waited =
      std::chrono::duration<double>(now - j.waiting_since).count();
  const auto price =
      std::chrono::duration<double>(policy_.cross_region_wait).count();
  return policy_.w.waiting * waited >= policy_.w.control * price;
}

bool scheduler::impl::FailedThisRound(const worker_query& q) const {
  return std::any_of(failed_queries_.begin(), failed_queries_.end(),
                     [&](const worker_query& f) {
                       return (f.region == kNone || f.region == q.region) &&
                              f.lendable >= q.lendable && q.need.Holds(f.need);
                     });
}

scheduler::impl::attempt scheduler::impl::TryOne(job& j, core::time_point now) {
  const auto index = FirstWaiting(j);
  if (!index) return attempt::kBlocked;
  double& tokens = departments_.At(j.department).retry_tokens;
  const bool retry = j.tasks[*index].failures > 0;
  if (retry && tokens < 1) return attempt::kBlocked;
  worker_query q = QueryFor(j, j.tasks[*index].need);
  if (q.home != kNone) q.may_cross = MayCross(j, now);
  std::int32_t w = PledgedWorker(j, q);
  if (w == kNone && TryProbe(j, *index, q, now)) return attempt::kPlaced;
  const bool known = w == kNone && FailedThisRound(q);
  if (w == kNone && !known) w = pool_.Find(q);
  if (w == kNone) {
    if (!known && q.may_cross) failed_queries_.push_back(q);
    Reclaim(j, q.need, now);
    return known ? attempt::kBlocked : attempt::kNoRoom;
  }
  if (retry) tokens -= 1;
  PlaceOne(j, *index, w);
  return attempt::kPlaced;
}

bool scheduler::impl::TryProbe(job& j, std::uint32_t index,
                               const worker_query& q, core::time_point now) {
  // A task that may run only once, or that fails anyway, tells nothing about
  // the worker and may be lost.
  const auto* batch = std::get_if<batch_work>(&j.w);
  if (batch == nullptr || !batch->idempotent || !j.failed_on.empty()) {
    return false;
  }
  const auto w = health_.ProbeFor(q, now);
  if (!w) return false;
  PlaceOne(j, index, *w);
  j.tasks[index].probe = true;
  health_.ProbeStarted(*w);
  return true;
}

void scheduler::impl::PlaceOne(job& j, std::uint32_t index, std::int32_t w) {
  DropPledge(j, w);
  Promise(j, index, w);
  round_.decisions.emplace_back(place{{Placement(j, index)}});
}

void scheduler::impl::Promise(job& j, std::uint32_t index, std::int32_t w) {
  Leave(j, index);
  j.tasks[index].generation = j.generation;
  Hold(j, index, w, slot_state::kPromised);
}

cell::task_placement scheduler::impl::Placement(const job& j,
                                                std::uint32_t index) const {
  const worker& w = pool_.At(j.tasks[index].worker);
  return {{j.uid, index}, w.id, w.incarnation};
}

scheduler::impl::attempt scheduler::impl::TryGang(job& j,
                                                  core::time_point now) {
  // A gang that lost a task waits until the others have stopped.
  if (j.held + j.promised > 0) return attempt::kBlocked;
  std::vector<std::uint32_t> taken;
  bool filled = false;
  if (j.where.one_region && j.region == kNone && j.by_region.empty()) {
    for (std::size_t r = 0; r < pool_.Regions() && !filled; ++r) {
      filled = FillGang(j, static_cast<std::int32_t>(r), taken);
    }
  } else {
    filled = FillGang(j, QueryFor(j, j.need).region, taken);
  }
  if (!filled) {
    Reserve(j, now);
    return attempt::kNoRoom;
  }
  if (reservation_ && reservation_->job == j.uid) EndReservation();
  place p;
  for (const std::uint32_t index : taken) {
    p.group.push_back(Placement(j, index));
  }
  round_.decisions.emplace_back(std::move(p));
  return attempt::kPlaced;
}

bool scheduler::impl::FillGang(job& j, std::int32_t region,
                               std::vector<std::uint32_t>& taken) {
  taken.clear();
  const core::time_point waiting_since = j.waiting_since;
  while (const auto index = FirstWaiting(j)) {
    worker_query q = QueryFor(j, j.tasks[*index].need);
    q.region = region;
    const std::int32_t w = pool_.Find(q);
    if (w == kNone) break;
    Promise(j, *index, w);
    taken.push_back(*index);
  }
  if (j.waiting == 0) return !taken.empty();
  for (const std::uint32_t index : taken) {
    Leave(j, index);
    EnterWaiting(j, index, waiting_since);
  }
  return false;
}

bool scheduler::impl::IsOutdated(const job& j, const task_slot& t) const {
  if (!j.declared || t.state != slot_state::kHeld || t.evicting) return false;
  if (!std::holds_alternative<service_work>(j.w)) return false;
  return t.generation < j.generation || pool_.At(t.worker).drain;
}

void scheduler::impl::ReplaceOutdated() {
  const auto uids = std::exchange(outdated_, {});
  for (const core::revision uid : uids) {
    job* j = jobs_.Find(uid);
    if (j == nullptr || !j->declared) continue;
    const auto* service = std::get_if<service_work>(&j->w);
    if (service != nullptr) Replace(*j, *service);
  }
}

void scheduler::impl::Replace(job& j, const service_work& service) {
  std::int64_t up = 0;
  for (const task_slot& t : j.tasks) {
    up += t.state == slot_state::kHeld && t.running && !t.evicting;
  }
  const auto allowed = std::max<std::int64_t>(1, service.max_unavailable);
  std::int64_t may_stop = allowed - (service.replicas - up);
  evict replaced{{}, false, evict_reason::kReplaced};
  evict drained{{}, false, evict_reason::kDrained};
  for (std::uint32_t i = 0; i < j.tasks.size(); ++i) {
    task_slot& t = j.tasks[i];
    if (!IsOutdated(j, t)) continue;
    // A replica that is not up yet is not missed.
    if (t.running && may_stop <= 0) continue;
    if (t.running) --may_stop;
    SetEvicting(j, t, true);
    (t.generation < j.generation ? replaced : drained)
        .tasks.push_back({j.uid, i});
  }
  if (!replaced.tasks.empty()) round_.decisions.emplace_back(replaced);
  if (!drained.tasks.empty()) round_.decisions.emplace_back(drained);
}

}  // namespace mangoplank::placement
