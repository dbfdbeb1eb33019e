#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "dispatch/dispatcher_impl.h"

/// Orders to one worker, and what it reports.
namespace mangoplank::dispatch {

using core::awaitable;
using core::overloaded;

namespace {

/// Longest wait of a look, so that the lease is renewed several times over.
constexpr core::milliseconds kLookWait{2'000};
/// Ends of a worker without runs are acknowledged after this time, or with the
/// next look that is due.
constexpr core::milliseconds kAckDelay{200};
/// Time for an answer beyond the wait.
constexpr core::milliseconds kOrderTimeout{800};
/// Pause after an order without an answer.
constexpr core::milliseconds kRetryPause{150};
/// A worker that refused or did not answer a start gets no tasks for this time.
constexpr core::milliseconds kAvoidTime{1'500};
/// Difference of two readings of one clock beside its drift.
constexpr core::milliseconds kClockSlack{2'000};
/// Most ends that one report lists; a full list may leave some out.
constexpr std::size_t kMaxListedEnds = 500;

std::string Name(const workflow::run_id& r) {
  return fmt::format("{}.{}.{}.{}/{}", r.task.job, r.task.occurrence,
                     r.task.step, r.task.index, r.number);
}

/// @return the need of a run's step; nothing if its job is not known.
core::resources NeedIn(const workflow::state& s, const workflow::run_id& r) {
  const workflow::job* const j = s.FindJob(r.task.job);
  if (j == nullptr || r.task.step >= j->spec.steps.size()) return {};
  return NeedOf(j->spec.steps[r.task.step]);
}

}  // namespace

worker_target dispatcher::impl::TargetOf(const agent& a) const {
  return {a.about.key, a.about.address};
}

/// @return whether the reading comes from another life, whose clock began
/// anew.
bool dispatcher::impl::IsOtherClock(const agent& a,
                                    std::int64_t clock_ms) const {
  if (!a.clock_ms) return false;
  const auto since =
      std::chrono::duration_cast<core::milliseconds>(clock.Now() - a.clock_at);
  const core::milliseconds slack = kClockSlack + since / 10;
  return clock_ms < *a.clock_ms + (since - slack).count();
}

void dispatcher::impl::ReadClock(agent& a, std::int64_t clock_ms) {
  a.heard = clock.Now();
  // A report that was held up must not set the clock back.
  if (a.clock_ms && clock_ms < LeastClock(a, clock.Now())) return;
  a.clock_ms = clock_ms;
  a.clock_at = clock.Now();
}

/// @return the least that the worker's clock, which is known, shows at a time.
std::int64_t dispatcher::impl::LeastClock(const agent& a,
                                          core::time_point at) const {
  const auto since =
      std::chrono::duration<double, std::milli>(at - a.clock_at).count();
  const double rate = 1 + (since < 0 ? 1 : -1) * settings.clock_drift;
  return *a.clock_ms + static_cast<std::int64_t>(std::floor(since * rate));
}

/// @return the end of a lease on the worker's clock; no value while its clock
/// is not known, or nothing shows that this process leads. The lease counts
/// from the time that it surely led: a later leader begins after that, and
/// waits for one lease.
std::optional<std::int64_t> dispatcher::impl::LeaseUntil(agent& a) {
  const core::time_point led_at =
      std::min(log.LeadershipConfirmedAt(), clock.Now());
  if (!a.clock_ms || led_at + settings.lease < clock.Now()) return std::nullopt;
  const auto longest = std::chrono::duration_cast<core::duration>(
      settings.max_lease * (1 + settings.clock_drift));
  a.lease_end = std::max(a.lease_end, clock.Now() + longest);
  return LeastClock(a, led_at) + settings.lease.count();
}

/// Follows a worker while it has runs, renews its lease and records ends.
awaitable<void> dispatcher::impl::Watch(std::shared_ptr<agent> a) {
  const auto self = shared_from_this();
  while (!stopped && !a->gone) {
    const bool idle = a->synced && !a->unanswered && a->runs.empty() &&
                      a->told_ends == a->recorded_ends;
    if (idle) {
      co_await a->wake.Wait();
      continue;
    }
    if (a->synced && !a->unanswered && a->runs.empty()) {
      co_await a->wake.WaitUntil(clock.Now() + kAckDelay);
      if (stopped || a->gone) co_return;
    }
    const bool waits = a->synced && !a->unanswered && !a->runs.empty();
    const bool answered =
        co_await Look(a, waits ? kLookWait : core::milliseconds(0));
    if (stopped || a->gone) co_return;
    if (answered) continue;
    const bool silent = clock.Now() > a->heard + settings.worker_silence;
    if (silent && clock.Now() > a->lease_end) {
      std::string reason = "lease expired without an answer";
      co_await RemoveWorker(a, std::move(reason));
      co_return;
    }
    co_await core::SleepFor(clock, kRetryPause);
  }
}

/// @return whether the worker answered.
awaitable<bool> dispatcher::impl::Look(std::shared_ptr<agent> a,
                                       core::milliseconds wait) {
  look_order o{term, a->recorded_ends, std::nullopt, wait};
  // A look without an answer may have been carried out. No more leases follow
  // it, so that the last one ends while the worker is silent.
  if (!a->runs.empty() && !a->unanswered) o.lease_until_ms = LeaseUntil(*a);
  const std::uint64_t look = ++a->looks_sent;
  const std::uint64_t told = o.recorded_ends;
  const std::uint64_t reports_before = a->reports;
  const worker_target to = TargetOf(*a);
  auto result = co_await workers.Look(to, o, wait + kOrderTimeout);
  if (stopped || a->gone) co_return false;
  if (auto* const r = std::get_if<worker_report>(&result)) {
    a->told_ends = std::max(a->told_ends, told);
    a->unanswered = false;
    const bool overtaken = a->reports != reports_before;
    ++a->reports;
    co_return co_await OnReport(a, look, overtaken, std::move(*r));
  }
  a->unanswered = true;
  if (std::holds_alternative<other_life>(result)) {
    std::string reason = "another life answers at its address";
    co_await RemoveWorker(a, std::move(reason));
  } else if (std::holds_alternative<order_refused>(result)) {
    spdlog::warn("look_refused worker={} term={}", a->about.key.id.v, term);
  }
  co_return false;
}

/// @param overtaken whether another report came since the look was sent: this
/// one may list runs whose ends are recorded already.
awaitable<bool> dispatcher::impl::OnReport(std::shared_ptr<agent> a,
                                           std::uint64_t look, bool overtaken,
                                           worker_report r) {
  ReadClock(*a, r.clock_ms);
  std::vector<workflow::event> events;
  std::uint64_t last = a->recorded_ends;
  for (const ended_run& e : r.ended) {
    last = std::max(last, e.number);
    // A start that was sent to an earlier life may have reached this one.
    const workflow::worker_key* const at = log.State().PlaceOf(e.run);
    if (at == nullptr || at->id != a->about.key.id) continue;
    spdlog::info("run_ended run={} worker={} how={}", Name(e.run),
                 a->about.key.id.v, Name(e.how));
    events.emplace_back(workflow::run_ended{e.run, e.how, e.checkpoint});
  }
  for (const running_run& run : r.running) {
    const auto it = a->runs.find(run.run);
    if (it == a->runs.end()) {
      // Carried out late, after it was given up.
      if (overtaken || places.contains(run.run)) continue;
      spdlog::warn("run_unexpected run={} worker={}", Name(run.run),
                   a->about.key.id.v);
      a->runs[run.run] = {.need = NeedIn(log.State(), run.run),
                          .settled_after = a->looks_sent};
      places[run.run] = a;
      Spawn(StopRun(a, run.run));
      continue;
    }
    it->second.percent = run.percent;
    it->second.checkpoint = run.checkpoint;
    // Looks that were sent before may have been answered earlier.
    if (!it->second.settled_after) it->second.settled_after = a->looks_sent;
  }
  for (workflow::event& e : MissingRuns(*a, look, r)) {
    events.push_back(std::move(e));
  }
  // Runs that nobody has recorded are dropped once they are not listed.
  std::erase_if(a->runs, [&](const auto& entry) {
    const bool known = log.State().IsAssigned(entry.first);
    const bool listed =
        std::any_of(r.running.begin(), r.running.end(),
                    [&](const running_run& x) { return x.run == entry.first; });
    const bool drop = !known && !listed && entry.second.settled_after &&
                      *entry.second.settled_after < look;
    if (drop) {
      places.erase(entry.first);
      waiting_jobs.insert(entry.first.task.job);
    }
    return drop;
  });
  if (!events.empty()) {
    const auto recorded = co_await log.Record(std::move(events));
    if (!recorded) co_return false;
  }
  if (stopped || a->gone) co_return false;
  a->recorded_ends = std::max(a->recorded_ends, last);
  if (!a->synced) {
    a->synced = true;
    Wake();
  }
  co_return true;
}

/// @return an event for each run that should be there and is not.
std::vector<workflow::event> dispatcher::impl::MissingRuns(
    const agent& a, std::uint64_t look, const worker_report& r) const {
  std::vector<workflow::event> events;
  if (r.ended.size() >= kMaxListedEnds) return events;
  std::set<workflow::run_id> listed;
  for (const running_run& x : r.running) listed.insert(x.run);
  for (const ended_run& x : r.ended) listed.insert(x.run);
  for (const auto& [run, f] : a.runs) {
    const bool known = f.settled_after && *f.settled_after < look;
    if (!known || listed.contains(run)) continue;
    if (!log.State().IsAssigned(run)) continue;
    spdlog::info("run_missing run={} worker={}", Name(run), a.about.key.id.v);
    events.emplace_back(
        workflow::run_ended{run, workflow::run_end::kNotStarted, {}});
  }
  return events;
}

awaitable<void> dispatcher::impl::StartRun(planned_run p) {
  const auto self = shared_from_this();
  const auto a = p.where;
  const workflow::job* const j = log.State().FindJob(p.run.task.job);
  if (j == nullptr || !IsAt(p.run, *a) || a->gone) co_return;
  if (IsFinal(j->phase)) {
    // Cancelled before any order was sent.
    co_await EndRun(p.run, workflow::run_end::kNotStarted);
    co_return;
  }
  start_order o{term, p.run,   j->spec.payload, LeaseUntil(*a).value_or(0),
                {},   p.ticket};
  o.checkpoint = j->tasks[*j->TaskAt(p.run.task)].checkpoint;
  a->wake.NotifyAll();
  const worker_target to = TargetOf(*a);
  const auto result = co_await workers.Start(to, std::move(o), kOrderTimeout);
  if (stopped || a->gone) co_return;
  const auto it = a->runs.find(p.run);
  if (it == a->runs.end()) co_return;
  const auto* const done = std::get_if<order_done>(&result);
  if (done != nullptr && !IsOtherClock(*a, done->clock_ms)) {
    ReadClock(*a, done->clock_ms);
    it->second.settled_after = a->looks_sent;
    NoteStart(p.run, *a);
    co_return;
  }
  if (const auto* const refused = std::get_if<order_refused>(&result)) {
    spdlog::info("run_refused run={} worker={} why={}", Name(p.run),
                 a->about.key.id.v, Name(refused->why));
    if (refused->why == refusal::kOldRun) {
      // The run was there before; the next look tells what became of it.
      it->second.settled_after = a->looks_sent;
      co_return;
    }
    if (refused->why == refusal::kUnhealthy ||
        refused->why == refusal::kNoRoom) {
      a->avoid_until = clock.Now() + kAvoidTime;
    }
    co_await EndRun(p.run, workflow::run_end::kNotStarted);
    co_return;
  }
  if (std::holds_alternative<other_life>(result)) {
    std::string reason = "another life refused a start";
    co_await RemoveWorker(a, std::move(reason));
    co_return;
  }
  metered.orders_unanswered.Add();
  spdlog::info("run_unconfirmed run={} worker={}", Name(p.run),
               a->about.key.id.v);
  a->avoid_until = clock.Now() + kAvoidTime;
  co_await Settle(a, p.run);
}

void dispatcher::impl::NoteStart(const workflow::run_id& run, const agent& a) {
  spdlog::info("run_started run={} worker={} born={}", Name(run),
               a.about.key.id.v, a.about.key.born);
  metered.starts.Add();
  const workflow::job* const j = log.State().FindJob(run.task.job);
  const bool is_first = run.number == 1 && run.task.step == 0 &&
                        run.task.index == 0 && run.task.occurrence == 0;
  if (j == nullptr || !is_first || j->spec.repeat_count > 0) return;
  const auto waited = clock.WallNow() - j->accepted_at;
  metered.first_start.Add(static_cast<double>(waited) / 1000);
}

/// Finds out whether a start without an answer was carried out. If not, the
/// run is stopped, so that a late start is refused.
awaitable<void> dispatcher::impl::Settle(std::shared_ptr<agent> a,
                                         workflow::run_id run) {
  co_await Look(a, core::milliseconds(0));
  if (stopped || a->gone) co_return;
  const auto it = a->runs.find(run);
  if (it == a->runs.end() || it->second.settled_after) co_return;
  co_await StopRun(a, run);
}

/// Orders a run to stop until the worker has confirmed it, and looks for its
/// end.
awaitable<void> dispatcher::impl::StopRun(std::shared_ptr<agent> a,
                                          workflow::run_id run) {
  const auto self = shared_from_this();
  auto it = a->runs.find(run);
  if (it == a->runs.end() || it->second.stopping) co_return;
  it->second.stopping = true;
  while (!stopped && !a->gone && a->runs.contains(run)) {
    const worker_target to = TargetOf(*a);
    const stop_order order{term, run};
    const auto result = co_await workers.Stop(to, order, kOrderTimeout);
    if (stopped || a->gone) co_return;
    if (std::holds_alternative<other_life>(result)) {
      std::string reason = "another life refused a stop";
      co_await RemoveWorker(a, std::move(reason));
      co_return;
    }
    // Other refusals say that the worker did nothing: a late start would still
    // be carried out there.
    const auto* const refused = std::get_if<order_refused>(&result);
    const bool is_old = refused != nullptr && refused->why == refusal::kOldRun;
    if (std::holds_alternative<order_done>(result) || is_old) {
      it = a->runs.find(run);
      if (it == a->runs.end()) co_return;
      it->second.settled_after = a->looks_sent;
      a->wake.NotifyAll();
      co_await Look(a, core::milliseconds(0));
      co_return;
    }
    co_await core::SleepFor(clock, kRetryPause);
  }
}

awaitable<void> dispatcher::impl::EndRun(workflow::run_id run,
                                         workflow::run_end how) {
  std::vector<workflow::event> events;
  events.emplace_back(workflow::run_ended{run, how, {}});
  const auto recorded = co_await log.Record(std::move(events));
  if (!recorded) {
    spdlog::warn("end_not_recorded run={} error={}", Name(run),
                 core::Describe(recorded.error()));
  }
}

awaitable<void> dispatcher::impl::RemoveWorker(std::shared_ptr<agent> a,
                                               std::string reason) {
  if (a->gone) co_return;
  metered.workers_removed.Add();
  spdlog::warn("worker_removed worker={} born={} reason=\"{}\" runs={}",
               a->about.key.id.v, a->about.key.born, reason, a->runs.size());
  std::vector<workflow::event> events;
  events.emplace_back(workflow::worker_removed{a->about.key});
  const auto recorded = co_await log.Record(std::move(events));
  if (!recorded) {
    spdlog::warn("removal_not_recorded worker={} error={}", a->about.key.id.v,
                 core::Describe(recorded.error()));
  }
}

}  // namespace mangoplank::dispatch
