#include "bench_placement_world.h"

#include <fmt/format.h>

#include <chrono>
#include <ctime>

namespace mangoplank::bench {

namespace {

// A worker hears of an eviction with its next announcement.
constexpr core::milliseconds kStopDelay{2000};
constexpr int kWorkersPerRack = 8;
constexpr int kTeamsPerDivision = 10;

cell::object_spec SpecOf(kind k, std::int64_t tasks,
                         const core::resources& need,
                         core::milliseconds run_time) {
  switch (k) {
    case kind::kService: {
      cell::service_spec s;
      s.replicas = tasks;
      s.need = need;
      return s;
    }
    case kind::kGang: {
      cell::gang_job_spec g;
      g.tasks = tasks;
      g.need = need;
      g.run_time = run_time;
      return g;
    }
    case kind::kBatch:
    case kind::kUrgent:
      break;
  }
  cell::batch_job_spec b;
  b.tasks = tasks;
  b.need = need;
  b.run_time = run_time;
  b.checkpoint = true;
  b.urgency =
      k == kind::kUrgent ? cell::urgency::kUrgent : cell::urgency::kNormal;
  return b;
}

}  // namespace

double ThreadNanoseconds() {
  timespec t{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
  return static_cast<double>(t.tv_sec) * 1e9 + static_cast<double>(t.tv_nsec);
}

std::string placement_world::TeamName(int team) {
  return fmt::format("team{}", team);
}

placement_world::placement_world(const world_size& size,
                                 const placement::policy& p, std::uint64_t seed)
    : random_(seed), scheduler_(p, seed) {
  for (int i = 0; i < size.workers; ++i) {
    cell::worker_record w;
    w.id = {fmt::format("w{}", i)};
    w.incarnation = 1;
    w.capacity = size.capacity;
    const int region = i % size.regions;
    w.location = {{fmt::format("r{}", region)},
                  {fmt::format("r{}-1", region)},
                  {fmt::format("k{}", i / size.regions / kWorkersPerRack)}};
    if (i < size.accelerator_workers) w.capacity.accelerators = 8;
    total_ = total_ + w.capacity;
    scheduler_.Observe(cell::worker_changed{w}, now_);
  }
  for (int t = 0; t < size.teams; ++t) {
    cell::department_spec d;
    d.weight = 1 + t % 4;
    d.parent = {fmt::format("division{}", t / kTeamsPerDivision)};
    const double quota = size.quotas / size.teams;
    const auto part = [&](std::int64_t of) {
      return static_cast<std::int64_t>(quota * static_cast<double>(of));
    };
    d.quota = {part(total_.cpu_milli), part(total_.memory_mib),
               part(total_.accelerators)};
    cell::object o;
    o.key = {cell::object_kind::kDepartment, {}, TeamName(t)};
    o.spec = d;
    scheduler_.Observe(cell::object_changed{o}, now_);
  }
}

std::int64_t placement_world::Pick(std::int64_t from, std::int64_t to) {
  return from + static_cast<std::int64_t>(
                    random_() % static_cast<std::uint64_t>(to - from + 1));
}

core::resources placement_world::RandomNeed() {
  return {Pick(1, 16) * 250, Pick(1, 16) * 1024, 0};
}

core::revision placement_world::Add(int team, kind k, std::int64_t tasks,
                                    const core::resources& need,
                                    core::milliseconds run_time) {
  cell::object o;
  o.uid = ++revision_;
  o.spec = SpecOf(k, tasks, need, run_time);
  o.key = {cell::KindOf(o.spec), {TeamName(team)}, fmt::format("j{}", o.uid)};
  o.created =
      std::chrono::duration_cast<core::milliseconds>(now_.time_since_epoch())
          .count();
  jobs_[o.uid] = {k, run_time, now_};
  scheduler_.Observe(cell::object_changed{o}, now_);
  for (std::int64_t i = 0; i < tasks; ++i) {
    cell::task_record t;
    t.id = {o.uid, static_cast<std::uint32_t>(i)};
    t.job = o.key;
    t.need = need;
    t.generation = 1;
    waiting_[t.id] = t;
    scheduler_.Observe(cell::task_changed{t}, now_);
  }
  return o.uid;
}

void placement_world::Cancel(core::revision job) {
  std::vector<cell::task_id> running;
  for (auto it = running_.lower_bound({job, 0});
       it != running_.end() && it->first.job == job; ++it) {
    running.push_back(it->first);
  }
  for (const cell::task_id& id : running) End(id, cell::task_phase::kStopped);
  auto it = waiting_.lower_bound({job, 0});
  while (it != waiting_.end() && it->first.job == job) {
    it->second.phase = cell::task_phase::kNotRun;
    scheduler_.Observe(cell::task_changed{it->second}, now_);
    it = waiting_.erase(it);
  }
}

void placement_world::End(cell::task_id id, cell::task_phase phase) {
  const auto it = running_.find(id);
  if (it == running_.end()) return;
  cell::task_record t = it->second.record;
  held_ = held_ - t.need;
  const std::size_t position = it->second.position;
  order_[position] = order_.back();
  running_.at(order_[position]).position = position;
  order_.pop_back();
  running_.erase(id);
  t.phase = phase;
  t.evicting = false;
  if (phase == cell::task_phase::kWaiting) waiting_[id] = t;
  scheduler_.Observe(cell::task_changed{t}, now_);
}

void placement_world::EndSome(std::size_t n) {
  for (std::size_t i = 0; i < n && !order_.empty(); ++i) {
    End(order_[random_() % order_.size()], cell::task_phase::kSucceeded);
  }
}

void placement_world::AdvanceTo(core::time_point to) {
  while (!ends_.empty() && ends_.begin()->first <= to) {
    const auto [id, attempt] = ends_.begin()->second;
    now_ = std::max(now_, ends_.begin()->first);
    ends_.erase(ends_.begin());
    const auto it = running_.find(id);
    if (it == running_.end() || it->second.record.attempt != attempt) continue;
    End(id, it->second.record.evicting ? cell::task_phase::kWaiting
                                       : cell::task_phase::kSucceeded);
  }
  now_ = std::max(now_, to);
}

void placement_world::Sign(std::uint64_t value) {
  // FNV-1a over whole words.
  signature_ = (signature_ ^ value) * 1099511628211U;
}

std::size_t placement_world::Step() {
  const double start = ThreadNanoseconds();
  const placement::round r = scheduler_.Decide(now_);
  decide_ns_.push_back(ThreadNanoseconds() - start);
  const std::size_t before = order_.size();
  for (const placement::decision& d : r.decisions) {
    std::visit([&](const auto& one) { Commit(one); }, d);
  }
  return order_.size() - before;
}

void placement_world::Commit(const placement::place& p) {
  for (const cell::task_placement& placed : p.group) {
    auto node = waiting_.extract(placed.id);
    cell::task_record t = node.mapped();
    const job_info& info = jobs_.at(t.id.job);
    if (t.attempt == 0) {
      const std::chrono::duration<double> waited = now_ - info.arrived;
      Waits(info.k).push_back(waited.count());
    }
    t.phase = cell::task_phase::kRunning;
    t.worker = placed.worker;
    t.worker_incarnation = placed.worker_incarnation;
    ++t.attempt;
    t.since =
        std::chrono::duration_cast<core::milliseconds>(now_.time_since_epoch())
            .count();
    held_ = held_ + t.need;
    running_[t.id] = {t, order_.size()};
    order_.push_back(t.id);
    if (info.run_time.count() > 0) {
      ends_.insert({now_ + info.run_time, {t.id, t.attempt}});
    }
    Sign(t.id.job);
    Sign(t.id.index);
    Sign(std::hash<std::string>{}(t.worker.v));
    scheduler_.Observe(cell::task_changed{t}, now_);
  }
}

void placement_world::Commit(const placement::evict& e) {
  for (const cell::task_id& id : e.tasks) {
    auto& running = running_.at(id);
    running.record.evicting = true;
    ends_.insert({now_ + kStopDelay, {id, running.record.attempt}});
    ++evictions_;
    Sign(id.job);
    Sign(id.index);
    scheduler_.Observe(cell::task_changed{running.record}, now_);
  }
}

void placement_world::Commit(const placement::unsatisfiable& u) { Sign(u.uid); }

void placement_world::CountUnstarted(core::time_point since) {
  for (const auto& [id, t] : waiting_) {
    if (t.attempt > 0) continue;
    const job_info& info = jobs_.at(id.job);
    if (info.arrived < since) continue;
    const std::chrono::duration<double> waited = now_ - info.arrived;
    Waits(info.k).push_back(waited.count());
  }
}

}  // namespace mangoplank::bench
