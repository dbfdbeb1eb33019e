#include "mangoplank/dispatch/dispatcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dispatch/dispatcher_impl.h"

namespace mangoplank::dispatch {

namespace asio = boost::asio;
using core::awaitable;
using core::overloaded;

namespace {

constexpr core::milliseconds kForgetInterval{5'000};
/// Jobs that fail on a worker one after the other before it is taken for
/// unsound; one may fail by its own fault.
constexpr std::size_t kUnsoundAfter = 2;
/// Time for which an unsound worker gets no tasks.
constexpr core::milliseconds kUnsoundTime{2'000};

}  // namespace

dispatcher::impl::impl(dispatcher_settings s, core::term t,
                       asio::any_io_executor e, core::clock& c, journal& l,
                       worker_port& w, eligibility_port& p,
                       metrics::registry& r)
    : settings(s),
      term(t),
      executor(std::move(e)),
      clock(c),
      log(l),
      workers(w),
      eligibility(p),
      metered(r),
      began(c.Now()),
      work(executor, c) {}

void dispatcher::impl::Spawn(awaitable<void> task) {
  asio::co_spawn(executor, std::move(task), asio::detached);
}

/// Asks for a round, also if the loop is not waiting for it.
void dispatcher::impl::Wake() {
  round_due = true;
  work.NotifyAll();
}

void dispatcher::impl::Start() {
  for (const auto& [id, j] : log.State().Jobs()) TrackJob(j);
  SyncWorkers();
  AdoptRuns();
  Spawn(PlanLoop());
  Spawn(ForgetLoop());
}

void dispatcher::impl::Stop() {
  stopped = true;
  for (const auto& [id, a] : agents) {
    a->gone = true;
    a->wake.NotifyAll();
  }
  Wake();
}

/// Follows a job that this term has not seen yet.
void dispatcher::impl::TrackJob(const workflow::job& j) {
  if (!IsFinal(j.phase)) {
    active.insert(j.spec.id);
    waiting_jobs.insert(j.spec.id);
  } else {
    ended_jobs.emplace_back(clock.Now() + settings.keep_ended, j.spec.id);
  }
}

/// Follows the runs that earlier leaders have recorded.
void dispatcher::impl::AdoptRuns() {
  for (const auto& [name, j] : log.State().Jobs()) {
    workflow::task_id id{name, 0, 0, 0};
    for (std::size_t at = 0; at < j.tasks.size(); ++at) {
      const workflow::task& t = j.tasks[at];
      const workflow::step& s = j.spec.steps[id.step];
      if (t.phase == workflow::task_phase::kAssigned) {
        const auto a = agents.find(t.where.id);
        const workflow::run_id run{id, t.last_run};
        if (a != agents.end()) {
          a->second->runs[run] = {.need = NeedOf(s),
                                  .followed_from = clock.Now(),
                                  .settled_after = 0,
                                  .priority = log.State().QueueOf(j).priority,
                                  .resumable = s.checkpointing};
          places[run] = a->second;
          if (IsFinal(j.phase)) Spawn(StopRun(a->second, run));
        }
      }
      if (++id.index < s.count) continue;
      id.index = 0;
      if (++id.step < j.spec.steps.size()) continue;
      id.step = 0;
      ++id.occurrence;
    }
  }
}

/// Compares the agents with the registered workers.
void dispatcher::impl::SyncWorkers() {
  const auto& known = log.State().Workers();
  std::vector<core::worker_id> ended;
  for (const auto& [id, a] : agents) {
    const auto it = known.find(id);
    if (it != known.end() && it->second.key == a->about.key) {
      a->about = it->second;
      continue;
    }
    a->gone = true;
    a->wake.NotifyAll();
    for (const auto& [run, r] : a->runs) {
      places.erase(run);
      waiting_jobs.insert(run.task.job);
    }
    ended.push_back(id);
    ForgetEligibility(id);
  }
  for (const core::worker_id& id : ended) {
    const auto former = agents.extract(id).mapped();
    const auto w = known.find(id);
    if (w == known.end()) continue;
    AddWorker(w->second);
    for (const auto& [run, r] : former->runs) InheritRun(id, run, r);
  }
  for (const auto& [id, w] : known) {
    if (!agents.contains(id)) AddWorker(w);
  }
  Wake();
}

/// Follows a run of an earlier life of a worker in the present one. Its start
/// may have reached the new life: a confirmed one before that was announced,
/// which the first look shows; one without an answer may still do so, and is
/// stopped.
void dispatcher::impl::InheritRun(const core::worker_id& id,
                                  const workflow::run_id& run,
                                  const followed_run& r) {
  if (!log.State().IsAssigned(run)) return;
  const auto& a = agents[id];
  followed_run& followed = a->runs[run];
  followed = r;
  followed.stopping = false;
  places[run] = a;
  if (r.settled_after && !r.stopping) {
    followed.settled_after = 0;
    return;
  }
  followed.settled_after.reset();
  Spawn(StopRun(a, run));
}

void dispatcher::impl::AddWorker(const workflow::worker& w) {
  const auto a = std::make_shared<agent>(w, executor, clock);
  // An earlier leader may have renewed the lease until this term began.
  a->lease_end = std::max(clock.Now(), began) +
                 std::chrono::duration_cast<core::duration>(
                     settings.max_lease * (1 + settings.clock_drift));
  a->heard = clock.Now();
  agents[w.key.id] = a;
  Spawn(Watch(a));
}

void dispatcher::impl::OnEvent(const workflow::event& e) {
  const workflow::state& s = log.State();
  const auto final_job = [&](const std::string& id) {
    const workflow::job* const j = s.FindJob(id);
    if (j != nullptr && IsFinal(j->phase)) OnJobFinal(*j);
  };
  std::visit(
      overloaded{[&](const workflow::job_accepted& v) {
                   const workflow::job* const j = s.FindJob(v.spec.id);
                   if (j != nullptr && !IsFinal(j->phase)) TrackJob(*j);
                 },
                 [&](const workflow::job_cancelled& v) { final_job(v.job); },
                 [&](const workflow::run_ended& v) {
                   OnRunEnded(v);
                   final_job(v.run.task.job);
                 },
                 [&](const workflow::worker_announced&) { SyncWorkers(); },
                 [&](const workflow::worker_removed&) { SyncWorkers(); },
                 [](const auto&) {}},
      e);
  Wake();
}

void dispatcher::impl::OnRunEnded(const workflow::run_ended& e) {
  // One end of a gang ends its other members' tasks too.
  const workflow::job* const j = log.State().FindJob(e.run.task.job);
  if (j == nullptr) return;
  waiting_jobs.insert(e.run.task.job);
  const workflow::step& s = j->spec.steps[e.run.task.step];
  workflow::run_id run = e.run;
  const std::uint32_t first = s.gang ? 0 : run.task.index;
  const std::uint32_t last = s.gang ? s.count - 1 : run.task.index;
  for (run.task.index = first; run.task.index <= last; ++run.task.index) {
    const auto it = places.find(run);
    if (it == places.end() || log.State().IsAssigned(run)) continue;
    metered.Ended(e.how).Add();
    NoteEnd(*it->second, run, e.how);
    it->second->runs.erase(run);
    places.erase(it);
  }
  // Workers end the rest of a gang by themselves if a member that ran ends.
  if (s.gang && e.how == workflow::run_end::kNotStarted) {
    StopGang(e.run, s.count);
  }
}

/// Learns from an end how long tasks take and whether the worker is sound.
void dispatcher::impl::NoteEnd(agent& a, const workflow::run_id& run,
                               workflow::run_end how) {
  if (how == workflow::run_end::kDone) {
    NoteRunTime(run, a.runs[run]);
    a.failed_jobs.clear();
  }
  if (how != workflow::run_end::kFailed) return;
  const workflow::task_id& t = run.task;
  failed_on[{t.job, t.occurrence, t.step}].insert(a.about.key.id);
  a.failed_jobs.insert(t.job);
  if (a.failed_jobs.size() < kUnsoundAfter) return;
  a.avoid_until = clock.Now() + kUnsoundTime;
  spdlog::info("worker_unsound worker={} failed_jobs={} avoided_ms={}",
               a.about.key.id.v, a.failed_jobs.size(), kUnsoundTime.count());
}

/// Stops the other members of a gang's run, which would wait for the one that
/// was not started.
void dispatcher::impl::StopGang(const workflow::run_id& member,
                                std::uint32_t count) {
  workflow::run_id run = member;
  for (run.task.index = 0; run.task.index < count; ++run.task.index) {
    const auto it = places.find(run);
    if (it != places.end()) Spawn(StopRun(it->second, run));
  }
}

void dispatcher::impl::OnJobFinal(const workflow::job& j) {
  if (active.erase(j.spec.id) == 0) return;
  spdlog::info("job_ended job={} phase={} queue={} age_ms={}", j.spec.id,
               Name(j.phase), j.q.name, clock.WallNow() - j.accepted_at);
  ended_jobs.emplace_back(clock.Now() + settings.keep_ended, j.spec.id);
  ForgetEligibility(j.spec.id);
  std::erase_if(failed_on, [&](const auto& entry) {
    return entry.first.job == j.spec.id;
  });
  for (auto it = places.lower_bound({{j.spec.id, 0, 0, 0}, 0});
       it != places.end() && it->first.task.job == j.spec.id; ++it) {
    Spawn(StopRun(it->second, it->first));
  }
}

void dispatcher::impl::OnHeard(const workflow::worker_key& key,
                               std::int64_t clock_ms) {
  const auto it = agents.find(key.id);
  if (it == agents.end() || it->second->about.key != key) return;
  ReadClock(*it->second, clock_ms);
}

awaitable<void> dispatcher::impl::ForgetLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kForgetInterval);
    workflow::jobs_forgotten due;
    const auto end = std::find_if(
        ended_jobs.begin(), ended_jobs.end(),
        [&](const auto& entry) { return entry.first > clock.Now(); });
    for (auto it = ended_jobs.begin(); it != end; ++it) {
      due.jobs.push_back(it->second);
    }
    ended_jobs.erase(ended_jobs.begin(), end);
    if (stopped || due.jobs.empty()) continue;
    std::vector<workflow::event> events;
    events.emplace_back(std::move(due));
    const auto recorded = co_await log.Record(std::move(events));
    if (!recorded) {
      spdlog::warn("jobs_not_forgotten error={}",
                   core::Describe(recorded.error()));
    }
  }
}

dispatcher::dispatcher(dispatcher_settings settings, core::term term,
                       asio::any_io_executor executor, core::clock& clock,
                       journal& log, worker_port& workers,
                       eligibility_port& eligibility,
                       metrics::registry& registry)
    : impl_(std::make_shared<impl>(settings, term, std::move(executor), clock,
                                   log, workers, eligibility, registry)) {}

dispatcher::~dispatcher() { Stop(); }

void dispatcher::Start() { impl_->Start(); }
void dispatcher::Stop() { impl_->Stop(); }
void dispatcher::Prepare(const workflow::job_spec& spec,
                         const workflow::queue& q) {
  impl_->Prepare(spec, q);
}
void dispatcher::Abandon(const std::string& job) {
  impl_->ForgetEligibility(job);
}
void dispatcher::OnEvent(const workflow::event& e) { impl_->OnEvent(e); }
void dispatcher::OnHeard(const workflow::worker_key& key,
                         std::int64_t clock_ms) {
  impl_->OnHeard(key, clock_ms);
}

}  // namespace mangoplank::dispatch
