#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "dispatch/dispatcher_impl.h"

/// Which waiting task goes to which worker.
namespace mangoplank::dispatch {

using core::awaitable;

namespace {

/// Changes within this time are planned together.
constexpr core::milliseconds kRoundInterval{10};
/// Longest time without a round: tickets expire and timed jobs come due.
constexpr core::milliseconds kIdleRound{100};
/// Part of the remaining work that must still fit before the objective. Below
/// 1, as estimates are rough and giving up early costs more than trying.
constexpr double kFeasible = 0.7;
/// A job that takes this multiple of its objective is of no use any more.
constexpr int kUseless = 3;
/// A gang keeps room if this part of its tasks would fit now.
constexpr double kNearlyFits = 0.75;
/// Workers that the objective's call to the eligibility service names.
constexpr int kUsualAsked = 30;
/// Weight of each run in the mean run time of a queue.
constexpr double kTimeWeight = 0.05;

bool HasLabel(const workflow::worker& w, const std::string& label) {
  return label.empty() ||
         std::find(w.labels.begin(), w.labels.end(), label) != w.labels.end();
}

/// @return how many tasks of this need fit on the workers now, whether or not
/// they have a valid ticket.
std::size_t CountFitting(const std::vector<placing_option>& options,
                         const core::resources& need) {
  std::size_t n = 0;
  for (const placing_option& o : options) {
    n += Fits(o.where->room, need, o.most);
  }
  return n;
}

/// Longest chain of steps of one occurrence, in milliseconds.
/// @param time of one step; 0 for those that count no more.
template <class F>
double LongestChain(const workflow::job_spec& spec, F&& time) {
  std::vector<double> ends;
  double longest = 0;
  for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
    double begin = 0;
    for (const std::uint32_t d : spec.steps[i].depends_on) {
      begin = std::max(begin, ends[d]);
    }
    ends.push_back(begin + time(i));
    longest = std::max(longest, ends.back());
  }
  return longest;
}

}  // namespace

std::size_t Fits(const core::resources& room, const core::resources& need,
                 std::size_t most) {
  if (!room.Holds(need)) return 0;
  auto n = static_cast<std::int64_t>(most);
  if (need.cpu_milli > 0) n = std::min(n, room.cpu_milli / need.cpu_milli);
  if (need.memory_mib > 0) n = std::min(n, room.memory_mib / need.memory_mib);
  if (need.accelerators > 0) {
    n = std::min(n, room.accelerators / need.accelerators);
  }
  return static_cast<std::size_t>(n);
}

core::resources NeedOf(const workflow::step& s) {
  core::resources need = s.need;
  if (s.filler) need.cpu_milli = 0;
  return need;
}

core::resources dispatcher::impl::Free(const agent& a) const {
  core::resources room = a.about.capacity;
  for (const auto& [run, r] : a.runs) room = room - r.need;
  return room;
}

awaitable<void> dispatcher::impl::PlanLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    round_due = false;
    PlanRound();
    co_await core::SleepFor(clock, kRoundInterval);
    if (stopped) co_return;
    if (!round_due) co_await work.WaitUntil(clock.Now() + kIdleRound);
  }
}

/// Expected run time of a task: what the job declares, corrected by what the
/// queue's tasks took.
double dispatcher::impl::ExpectedMs(const workflow::queue& q,
                                    const workflow::step& s) const {
  const auto mean = mean_run_ms.find(q.name);
  const auto declared = static_cast<double>(s.estimate_ms);
  if (mean == mean_run_ms.end()) return declared;
  if (declared <= 0) return mean->second;
  return std::sqrt(mean->second * declared);
}

void dispatcher::impl::NoteRunTime(const workflow::run_id& run,
                                   const followed_run& r) {
  const workflow::job* const j = log.State().FindJob(run.task.job);
  if (j == nullptr) return;
  const auto took =
      std::chrono::duration<double, std::milli>(clock.Now() - r.followed_from)
          .count();
  const auto [mean, first] = mean_run_ms.emplace(j->q.name, took);
  if (!first) mean->second += kTimeWeight * (took - mean->second);
}

/// Ranks a job by whether it can still be on time, then by the priority of its
/// queue and its age.
job_rank dispatcher::impl::RankOf(const workflow::job& j) const {
  const workflow::queue& q = log.State().QueueOf(j);
  job_rank rank{outlook::kOnTime, q.priority, j.accepted_at, j.spec.id};
  if (j.spec.repeat_count > 0) return rank;
  double per_step = 0;
  if (q.eligibility) {
    per_step =
        q.eligibility->decision_ms + kUsualAsked * q.eligibility->per_worker_ms;
  }
  const double whole = LongestChain(j.spec, [&](std::uint32_t i) {
    return ExpectedMs(q, j.spec.steps[i]) + per_step;
  });
  const double left = LongestChain(j.spec, [&](std::uint32_t i) {
    return j.left[j.StepAt(0, i)] == 0 ? 0.0 : ExpectedMs(q, j.spec.steps[i]);
  });
  const double objective =
      q.stretch_factor * whole + static_cast<double>(q.target_latency_ms);
  const double end =
      static_cast<double>(clock.WallNow() - j.accepted_at) + kFeasible * left;
  if (end > objective) rank.view = outlook::kLate;
  if (end > kUseless * objective) rank.view = outlook::kUseless;
  return rank;
}

void dispatcher::impl::PlanRound() {
  BeginRound();
  std::vector<job_rank> ranks;
  ranks.reserve(waiting_jobs.size());
  std::erase_if(waiting_jobs, [&](const std::string& id) {
    const workflow::job* const j = log.State().FindJob(id);
    const bool is_over = j == nullptr || IsFinal(j->phase);
    if (!is_over) ranks.push_back(RankOf(*j));
    return is_over;
  });
  std::sort(ranks.begin(), ranks.end());
  for (const job_rank& rank : ranks) {
    const bool waits = PlanJob(*log.State().FindJob(rank.id), rank.view);
    if (!waits) waiting_jobs.erase(rank.id);
  }
  metered.active_jobs.Set(static_cast<double>(active.size()));
  if (planned.empty()) return;
  Spawn(Commit(std::exchange(planned, {})));
}

/// Collects the workers that may take tasks, with their room.
void dispatcher::impl::BeginRound() {
  usable.clear();
  usable_by_id.clear();
  waiting_gangs.clear();
  const core::time_point now = clock.Now();
  for (const auto& [id, a] : agents) {
    const bool works = a->synced && !a->unanswered && a->clock_ms &&
                       !a->about.draining && now >= a->avoid_until &&
                       now < a->heard + settings.worker_silence;
    if (!works) continue;
    const core::resources free = Free(*a);
    usable_worker w{a, free, free, {}};
    for (const auto& [run, r] : a->runs) {
      if (r.stopping) w.leaving = w.leaving + r.need;
    }
    usable[a->about.pool].push_back(std::move(w));
  }
  for (auto& [pool, workers_of_pool] : usable) {
    for (usable_worker& w : workers_of_pool) {
      usable_by_id[w.a->about.key.id] = &w;
    }
  }
}

bool dispatcher::impl::IsDue(const workflow::job& j,
                             std::uint32_t occurrence) const {
  if (j.spec.repeat_count == 0) return true;
  return clock.WallNow() >=
         j.spec.first_at + std::int64_t{occurrence} * j.spec.interval_ms;
}

/// @return whether the job may have tasks without a place after this, or
/// occurrences that are not due.
bool dispatcher::impl::PlanJob(const workflow::job& j, outlook view) {
  const workflow::queue& q = log.State().QueueOf(j);
  bool waits = j.spec.repeat_count > 0;
  for (std::uint32_t k = 0; k < j.Occurrences() && IsDue(j, k); ++k) {
    for (std::uint32_t s = 0; s < j.spec.steps.size(); ++s) {
      if (j.left[j.StepAt(k, s)] == 0 || !j.IsStepReady(k, s)) continue;
      const bool step_waits = PlanStep(j, view, q, k, s);
      waits = waits || step_waits;
    }
  }
  return waits;
}

/// @return the tasks of a step that wait for a place, and how many of the
/// others each worker has.
waiting_tasks dispatcher::impl::WaitingTasks(const workflow::job& j,
                                             std::uint32_t occurrence,
                                             std::uint32_t step) const {
  waiting_tasks w;
  const auto failed = failed_on.find({j.spec.id, occurrence, step});
  if (failed != failed_on.end()) w.failed_on = failed->second;
  workflow::task_id id{j.spec.id, occurrence, step, 0};
  for (; id.index < j.spec.steps[step].count; ++id.index) {
    const workflow::task& t = j.tasks[*j.TaskAt(id)];
    w.last_run = std::max(w.last_run, t.last_run);
    // A run that is being recorded has its place already.
    const auto place = places.lower_bound({id, 0});
    const bool has_place = place != places.end() && place->first.task == id;
    if (has_place) ++w.placed[place->second->about.key.id];
    if (t.phase == workflow::task_phase::kWaiting && !has_place) {
      w.indexes.push_back(id.index);
    }
  }
  return w;
}

/// @return whether tasks of the step still wait.
bool dispatcher::impl::PlanStep(const workflow::job& j, outlook view,
                                const workflow::queue& q,
                                std::uint32_t occurrence, std::uint32_t step) {
  const workflow::step& s = j.spec.steps[step];
  const waiting_tasks waiting = WaitingTasks(j, occurrence, step);
  if (waiting.indexes.empty()) return false;
  // Members of the gang's last run have not ended yet.
  if (s.gang && waiting.indexes.size() != s.count) return true;
  const step_key key{j.spec.id, occurrence, step};
  eligibility_view* const known = q.eligibility ? &eligible[key] : nullptr;
  std::vector<placing_option> options = OptionsFor(s, q, waiting, known);
  const core::resources need = NeedOf(s);
  const std::size_t fitting = s.gang ? CountFitting(options, need) : 0;
  std::vector<planned_run> chosen;
  std::vector<placing_option*> taken;
  workflow::task_id id{j.spec.id, occurrence, step, 0};
  for (const std::uint32_t index : waiting.indexes) {
    placing_option* const best = BestOption(options, s, true);
    if (best == nullptr) break;
    best->where->room = best->where->room - need;
    --best->most;
    taken.push_back(best);
    id.index = index;
    const std::uint32_t last =
        s.gang ? waiting.last_run : j.tasks[*j.TaskAt(id)].last_run;
    const ticket* const t = best->admission;
    chosen.push_back(
        {best->where->a, {id, last + 1}, t == nullptr ? "" : t->text});
  }
  const bool all = chosen.size() == waiting.indexes.size();
  bool keeps_room = false;
  if (!all && s.gang) {
    // A gang that is late anyway, or that its workers can't hold even when they
    // are empty, must not keep their room from others.
    const std::size_t rest = waiting.indexes.size() - chosen.size();
    std::size_t holds = 0;
    for (const placing_option& o : options) holds += o.most;
    const bool can_start = view == outlook::kOnTime && holds >= rest;
    // Of the others only the first one, and those that lack little: room that
    // is kept for many at once stands empty.
    const auto wanted = static_cast<double>(waiting.indexes.size());
    keeps_room =
        can_start && (waiting_gangs.insert(q.pool).second ||
                      static_cast<double>(fitting) >= wanted * kNearlyFits);
    if (keeps_room) {
      KeepRoom(options, s, rest, q.priority);
    } else {
      for (placing_option* const o : taken) {
        o->where->room = o->where->room + need;
      }
    }
    chosen.clear();
  }
  if (!all && known != nullptr) {
    Inquire(q, key, s, waiting, {keeps_room, fitting}, *known);
    if (!s.gang) {
      KeepAskedRoom(s, *known, waiting.indexes.size() - chosen.size());
    }
  }
  for (planned_run& p : chosen) {
    p.where->runs[p.run] = {.need = need,
                            .followed_from = clock.Now(),
                            .priority = q.priority,
                            .resumable = s.checkpointing};
    places[p.run] = p.where;
    planned.push_back(std::move(p));
  }
  return !all;
}

/// Keeps room for the tasks of a gang that can't start now, on the workers that
/// it will take: what comes free there goes to no job of a lower rank.
/// @param preempts priority of the gang's queue if it may stop resumable tasks
/// of less urgent ones.
void dispatcher::impl::KeepRoom(std::vector<placing_option>& options,
                                const workflow::step& s, std::size_t tasks,
                                std::optional<std::int32_t> preempts) {
  const core::resources need = NeedOf(s);
  for (std::size_t n = 0; n < tasks; ++n) {
    placing_option* const best = BestOption(options, s, false);
    if (best == nullptr) return;
    best->where->room = best->where->room - need;
    --best->most;
    // Without a ticket the gang could not use the room at once.
    if (preempts && best->has_ticket) Preempt(*best->where, *preempts);
  }
}

/// Stops resumable runs of less urgent queues until what is kept on the worker
/// fits, if that can be reached.
void dispatcher::impl::Preempt(usable_worker& w, std::int32_t priority) {
  const core::resources none;
  std::vector<std::pair<workflow::run_id, core::resources>> victims;
  core::resources room = w.room + w.leaving;
  for (const auto& [run, r] : w.a->runs) {
    if (room.Holds(none)) break;
    if (r.stopping || !r.resumable || !r.settled_after) continue;
    if (r.priority <= priority) continue;
    victims.emplace_back(run, r.need);
    room = room + r.need;
  }
  if (!room.Holds(none)) return;
  for (const auto& [run, need] : victims) {
    w.leaving = w.leaving + need;
    metered.preempted.Add();
    spdlog::info("run_preempted job={} step={} index={} worker={}",
                 run.task.job, run.task.step, run.task.index,
                 w.a->about.key.id.v);
    Spawn(StopRun(w.a, run));
  }
}

/// @return the workers that may run tasks of the step, whatever their room.
/// Those on which some have failed are left out unless there are no others.
std::vector<placing_option> dispatcher::impl::OptionsFor(
    const workflow::step& s, const workflow::queue& q,
    const waiting_tasks& waiting, const eligibility_view* view) {
  std::vector<placing_option> options;
  const std::size_t known =
      view == nullptr ? usable[q.pool].size() : view->tickets.size();
  const bool others = known > waiting.failed_on.size();
  const auto is_left_out = [&](const usable_worker& w) {
    return others && waiting.failed_on.contains(w.a->about.key.id);
  };
  if (view == nullptr) {
    for (usable_worker& w : usable[q.pool]) {
      if (!is_left_out(w)) AddOption(options, w, s, waiting, nullptr);
    }
    return options;
  }
  for (const auto& [id, t] : view->tickets) {
    const auto w = usable_by_id.find(id);
    if (w == usable_by_id.end() || is_left_out(*w->second)) continue;
    if (w->second->a->about.pool != q.pool) continue;
    AddOption(options, *w->second, s, waiting, &t);
  }
  return options;
}

/// @param t the worker's ticket, or null if none is needed.
bool dispatcher::impl::MayStartNow(const usable_worker& w,
                                   const workflow::step& s,
                                   const ticket* t) const {
  return w.room.Holds(NeedOf(s)) && (t == nullptr || IsValid(*t));
}

/// @param t the worker's ticket, or null if none is needed.
void dispatcher::impl::AddOption(std::vector<placing_option>& options,
                                 usable_worker& w, const workflow::step& s,
                                 const waiting_tasks& waiting,
                                 const ticket* t) const {
  const workflow::worker& about = w.a->about;
  // A gang also keeps room where it can't start yet; other steps don't.
  if (!s.gang && !MayStartNow(w, s, t)) return;
  if (!HasLabel(about, s.required_label)) return;
  placing_option o{&w, t, s.count, false, t == nullptr || IsValid(*t)};
  o.near = HasLabel(about, s.preferred_rack);
  if (s.max_per_worker > 0) {
    const auto used = waiting.placed.find(about.key.id);
    const std::uint32_t n = used == waiting.placed.end() ? 0 : used->second;
    o.most = s.max_per_worker > n ? s.max_per_worker - n : 0;
  }
  o.most = static_cast<std::uint32_t>(Fits(about.capacity, NeedOf(s), o.most));
  if (o.most > 0) options.push_back(std::move(o));
}

/// @param now whether the task is to start now. Then the tightest worker that
/// has room is taken, so that large tasks find some too; else the one that has
/// the most.
/// @return the best worker for the next task, or null.
placing_option* dispatcher::impl::BestOption(
    std::vector<placing_option>& options, const workflow::step& s, bool now) {
  const core::resources need = NeedOf(s);
  placing_option* best = nullptr;
  for (placing_option& o : options) {
    if (o.most == 0 || !o.where->a->about.capacity.Holds(need)) continue;
    if (now && (!o.has_ticket || !o.where->room.Holds(need))) continue;
    const auto room_of = [now](const placing_option& x) {
      const std::int64_t leaving = now ? 0 : x.where->leaving.cpu_milli;
      return x.where->room.cpu_milli + leaving;
    };
    const bool better =
        best == nullptr || (o.near && !best->near) ||
        (o.near == best->near &&
         (now ? room_of(o) < room_of(*best) : room_of(o) > room_of(*best)));
    if (better) best = &o;
  }
  return best;
}

/// @return whether the run is recorded as placed on this life of the worker.
bool dispatcher::impl::IsAt(const workflow::run_id& run, const agent& a) const {
  const workflow::worker_key* const at = log.State().PlaceOf(run);
  return at != nullptr && *at == a.about.key;
}

awaitable<void> dispatcher::impl::Commit(std::vector<planned_run> runs) {
  const auto self = shared_from_this();
  std::vector<workflow::event> events;
  for (const planned_run& p : runs) {
    events.emplace_back(workflow::run_assigned{p.run, p.where->about.key});
  }
  const auto recorded = co_await log.Record(std::move(events));
  if (stopped) co_return;
  for (planned_run& p : runs) {
    // If the worker has gone meanwhile, the run was taken from it, and its
    // number may belong to a placement elsewhere.
    if (p.where->gone) continue;
    if (recorded && IsAt(p.run, *p.where)) {
      Spawn(StartRun(std::move(p)));
      continue;
    }
    // Refused by the state, for instance because the job was cancelled.
    p.where->runs.erase(p.run);
    places.erase(p.run);
    waiting_jobs.insert(p.run.task.job);
  }
  if (!recorded) {
    spdlog::warn("placement_not_recorded runs={} error={}", runs.size(),
                 core::Describe(recorded.error()));
  }
}

}  // namespace mangoplank::dispatch
