#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "dispatch/dispatcher_impl.h"

/// Which waiting task goes to which worker.
namespace mangoplank::dispatch {

using core::awaitable;

namespace {

/// Changes within this time are planned together.
constexpr core::milliseconds kRoundInterval{5};
/// Longest time without a round: tickets expire and timed jobs come due.
constexpr core::milliseconds kIdleRound{100};
/// Life that a ticket must still have: the start is recorded and sent first.
constexpr core::milliseconds kTicketReserve{150};
/// Time a ticket may have spent on its way here.
constexpr core::milliseconds kTicketTravel{60};
/// Pause after the eligibility service gave no answer.
constexpr core::milliseconds kAskPause{200};
/// Most workers that one call may name.
constexpr std::size_t kMaxAsked = 100;
/// Assumed share of eligible workers before a queue has answers, and the weight
/// of each answer.
constexpr double kFirstShare = 0.5;
constexpr double kShareWeight = 0.1;
/// Room asked for, as a multiple of what the step needs.
constexpr double kAskSpare = 1.6;

bool HasLabel(const workflow::worker& w, const std::string& label) {
  return label.empty() ||
         std::find(w.labels.begin(), w.labels.end(), label) != w.labels.end();
}

/// @return how many tasks of this need fit, at most `most`.
std::size_t Fits(core::resources room, const core::resources& need,
                 std::size_t most) {
  std::size_t n = 0;
  while (n < most && room.Holds(need)) {
    room = room - need;
    ++n;
  }
  return n;
}

core::resources NeedOf(const workflow::step& s) {
  core::resources need = s.need;
  if (s.filler) need.cpu_milli = 0;
  return need;
}

}  // namespace

core::resources dispatcher::impl::Free(const agent& a) const {
  core::resources room = a.about.capacity;
  for (const auto& [run, r] : a.runs) room = room - r.need;
  return room;
}

awaitable<void> dispatcher::impl::PlanLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    PlanRound();
    co_await core::SleepFor(clock, kRoundInterval);
    if (stopped) co_return;
    co_await work.WaitUntil(clock.Now() + kIdleRound);
  }
}

void dispatcher::impl::PlanRound() {
  for (const job_rank& rank : active) {
    const workflow::job* const j = log.State().FindJob(rank.id);
    if (j != nullptr) PlanJob(*j);
  }
  if (planned.empty()) return;
  Spawn(Commit(std::exchange(planned, {})));
}

bool dispatcher::impl::IsDue(const workflow::job& j,
                             std::uint32_t occurrence) const {
  if (j.spec.repeat_count == 0) return true;
  return clock.WallNow() >=
         j.spec.first_at + std::int64_t{occurrence} * j.spec.interval_ms;
}

void dispatcher::impl::PlanJob(const workflow::job& j) {
  const workflow::queue& q = log.State().QueueOf(j);
  for (std::uint32_t k = 0; k < j.Occurrences() && IsDue(j, k); ++k) {
    for (std::uint32_t s = 0; s < j.spec.steps.size(); ++s) {
      if (j.left[j.StepAt(k, s)] == 0 || !j.IsStepReady(k, s)) continue;
      PlanStep(j, q, k, s);
    }
  }
}

/// @return workers that may take tasks of a step, apart from their room.
std::vector<std::shared_ptr<agent>> dispatcher::impl::Candidates(
    const workflow::queue& q, const workflow::step& s) {
  std::vector<std::shared_ptr<agent>> found;
  const core::time_point now = clock.Now();
  for (const auto& [id, a] : agents) {
    const bool works = a->synced && a->clock_ms && !a->about.draining &&
                       now >= a->avoid_until &&
                       now < a->heard + settings.worker_silence;
    if (!works || a->about.pool != q.pool) continue;
    if (!HasLabel(a->about, s.required_label)) continue;
    found.push_back(a);
  }
  return found;
}

void dispatcher::impl::PlanStep(const workflow::job& j,
                                const workflow::queue& q,
                                std::uint32_t occurrence, std::uint32_t step) {
  const workflow::step& s = j.spec.steps[step];
  const core::resources need = NeedOf(s);
  workflow::task_id id{j.spec.id, occurrence, step, 0};
  std::vector<std::uint32_t> waiting;
  std::uint32_t last_run = 0;
  std::map<core::worker_id, std::uint32_t> here;
  for (id.index = 0; id.index < s.count; ++id.index) {
    const workflow::task& t = j.tasks[*j.TaskAt(id)];
    last_run = std::max(last_run, t.last_run);
    // A run that is being recorded has its place already.
    const auto place = places.lower_bound({id, 0});
    const bool has_place = place != places.end() && place->first.task == id;
    if (has_place) ++here[place->second->about.key.id];
    if (t.phase == workflow::task_phase::kWaiting && !has_place) {
      waiting.push_back(id.index);
    }
  }
  if (waiting.empty() || (s.gang && waiting.size() != s.count)) return;
  const core::time_point now = clock.Now();
  const auto candidates = Candidates(q, s);
  const step_key key{j.spec.id, occurrence, step};
  eligibility_view* const view = q.eligibility ? &eligible[key] : nullptr;

  struct option {
    std::shared_ptr<agent> a;
    core::resources room;
    std::string ticket;
    std::uint32_t most = 0;
  };
  std::vector<option> options;
  for (const auto& a : candidates) {
    option o{a, Free(*a), {}, s.count};
    if (view != nullptr) {
      const auto t = view->tickets.find(a->about.key.id);
      if (t == view->tickets.end()) continue;
      if (t->second.expires < now + kTicketReserve) continue;
      o.ticket = t->second.text;
    }
    if (s.max_per_worker > 0) {
      const std::uint32_t used = here[a->about.key.id];
      o.most = s.max_per_worker > used ? s.max_per_worker - used : 0;
    }
    if (o.most > 0 && o.room.Holds(need)) options.push_back(std::move(o));
  }
  // The tightest worker that has room, so that large tasks find some too.
  std::vector<planned_run> chosen;
  for (const std::uint32_t index : waiting) {
    option* best = nullptr;
    for (option& o : options) {
      if (o.most == 0 || !o.room.Holds(need)) continue;
      const bool near = HasLabel(o.a->about, s.preferred_rack);
      const bool best_near =
          best != nullptr && HasLabel(best->a->about, s.preferred_rack);
      const bool better =
          best == nullptr || (near && !best_near) ||
          (near == best_near && o.room.cpu_milli < best->room.cpu_milli);
      if (better) best = &o;
    }
    if (best == nullptr) break;
    best->room = best->room - need;
    --best->most;
    id.index = index;
    const workflow::task& t = j.tasks[*j.TaskAt(id)];
    const std::uint32_t number = (s.gang ? last_run : t.last_run) + 1;
    chosen.push_back({best->a, {id, number}, best->ticket});
  }
  const bool all = chosen.size() == waiting.size();
  if (s.gang && !all) chosen.clear();
  for (planned_run& p : chosen) {
    p.where->runs[p.run].need = need;
    places[p.run] = p.where;
    planned.push_back(std::move(p));
  }
  if (!all && view != nullptr) {
    AskEligibility(q, key, s, waiting.size() - chosen.size(), candidates);
  }
}

/// Asks about workers that have room and no valid ticket, the ones known to be
/// eligible first.
void dispatcher::impl::AskEligibility(
    const workflow::queue& q, const step_key& key, const workflow::step& s,
    std::size_t tasks, const std::vector<std::shared_ptr<agent>>& candidates) {
  eligibility_view& view = eligible[key];
  const core::time_point now = clock.Now();
  if (view.asking || now < view.ask_after) return;
  const core::resources need = NeedOf(s);
  struct option {
    bool known = false;
    core::resources room;
    core::worker_id id;
    std::size_t fits = 0;
  };
  std::vector<option> options;
  double have = 0;
  for (const auto& a : candidates) {
    const core::worker_id& id = a->about.key.id;
    if (view.refused.contains(id)) continue;
    option o{false, Free(*a), id, 0};
    const std::size_t most = s.max_per_worker > 0 ? s.max_per_worker : tasks;
    o.fits = Fits(o.room, need, most);
    if (o.fits == 0) continue;
    const auto t = view.tickets.find(id);
    o.known = t != view.tickets.end();
    if (o.known && t->second.expires >= now + kTicketReserve) {
      have += static_cast<double>(o.fits);
      continue;
    }
    options.push_back(std::move(o));
  }
  std::sort(options.begin(), options.end(),
            [](const option& a, const option& b) {
              return std::tuple(!a.known, -a.room.cpu_milli, a.id) <
                     std::tuple(!b.known, -b.room.cpu_milli, b.id);
            });
  const auto found = eligible_share.find(q.name);
  const double share =
      found == eligible_share.end() ? kFirstShare : found->second;
  const double wanted = static_cast<double>(tasks) * kAskSpare;
  std::vector<core::worker_id> asked;
  for (const option& o : options) {
    if (have >= wanted || asked.size() >= kMaxAsked) break;
    have += static_cast<double>(o.fits) * (o.known ? 1.0 : share);
    asked.push_back(o.id);
  }
  if (asked.empty()) return;
  view.asking = true;
  Spawn(Ask(q, key, std::move(asked)));
}

awaitable<void> dispatcher::impl::Ask(workflow::queue q, step_key key,
                                      std::vector<core::worker_id> asked) {
  const auto self = shared_from_this();
  const auto cost = core::milliseconds(static_cast<std::int64_t>(std::ceil(
      q.eligibility->decision_ms +
      q.eligibility->per_worker_ms * static_cast<double>(asked.size()))));
  const workflow::task_id step{key.job, key.occurrence, key.step, 0};
  const auto rows = co_await eligibility.Ask(step, asked, cost);
  if (stopped) co_return;
  const auto it = eligible.find(key);
  if (it == eligible.end()) co_return;
  eligibility_view& view = it->second;
  view.asking = false;
  if (!rows) {
    view.ask_after = clock.Now() + kAskPause;
    co_return;
  }
  const core::time_point expires =
      clock.Now() + core::milliseconds(q.eligibility->ticket_life_ms) -
      kTicketTravel;
  std::set<core::worker_id> left(asked.begin(), asked.end());
  for (const workflow::eligible_worker& e : *rows) {
    left.erase(e.id);
    view.tickets[e.id] = {e.ticket, expires};
  }
  for (const core::worker_id& id : left) view.refused.insert(id);
  const auto [share, added] = eligible_share.emplace(q.name, kFirstShare);
  const double seen =
      static_cast<double>(rows->size()) / static_cast<double>(asked.size());
  share->second += kShareWeight * (seen - share->second);
  work.NotifyAll();
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
    if (recorded && log.State().IsAssigned(p.run) && !p.where->gone) {
      Spawn(StartRun(std::move(p)));
      continue;
    }
    // Refused by the state, for instance because the job was cancelled.
    p.where->runs.erase(p.run);
    places.erase(p.run);
  }
  if (!recorded) {
    spdlog::warn("placement_not_recorded runs={} error={}", runs.size(),
                 core::Describe(recorded.error()));
  }
}

}  // namespace mangoplank::dispatch
