#include "dispatch/load_fixture.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

#include "dispatch/dispatch_metrics.h"

namespace mangoplank::dispatch {

namespace asio = boost::asio;
using core::awaitable;
using core::milliseconds;

namespace {

constexpr core::term kTerm = 1;
constexpr milliseconds kHeartbeatInterval{1'500};
/// Bounds of the delay after which an order without an answer is carried out.
constexpr double kMinOrderDelayMs = 2'000;
constexpr double kMaxOrderDelayMs = 12'000;
/// Time for which members of a gang wait for the others.
constexpr milliseconds kGangWait{4'000};
/// Workers that the objective assumes in each eligibility check.
constexpr double kWorkersPerCheck = 30;
/// A job that is late by less than this factor earns a part of its benefit.
constexpr double kLateFactor = 3;
constexpr double kLateShare = 0.2;
/// Weight of a job of any size, and greatest weight of a large one.
constexpr double kBaseWeight = 0.3;
constexpr double kMaxWeight = 4;
/// Time that a task needs to resume from a checkpoint.
constexpr double kRestoreMs = 600;
/// Standard deviations of the logarithms of sizes.
constexpr double kTasksSpread = 0.7;
constexpr double kCpuSpread = 0.4;
constexpr double kRunTimeSpread = 0.47;
constexpr double kTaskRunTimeSpread = 0.15;
constexpr double kEstimateSpread = 0.4;

double ToMs(core::duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

/// Random sizes that depend on the seed alone.
class size_source {
 public:
  explicit size_source(std::uint32_t seed) : engine_(seed) {}

  double Uniform() {
    return static_cast<double>(engine_()) /
           (static_cast<double>(std::mt19937::max()) + 1);
  }
  double Exponential(double mean) { return -mean * std::log(1 - Uniform()); }
  double LogNormal(double mean, double spread, double most) {
    const double normal = std::sqrt(-2 * std::log(1 - Uniform())) *
                          std::cos(2 * 3.14159265358979 * Uniform());
    return std::min(most,
                    mean * std::exp(normal * spread - spread * spread / 2));
  }

 private:
  std::mt19937 engine_;
};

struct task_plan {
  double run_ms = 0;
  bool fails_once = false;
};

struct job_plan {
  std::size_t profile = 0;
  core::time_point submitted_at;
  double weight = 0;
  double objective_ms = 0;
  std::optional<core::time_point> ended_at;
  /// By step and index.
  std::vector<std::vector<task_plan>> tasks;
};

}  // namespace

struct load_run::impl : worker_port, eligibility_port {
  struct worker_state {
    core::resources used;
    struct run {
      core::resources need;
      core::time_point began;
    };
    std::map<workflow::run_id, run> running;
    std::vector<ended_run> ended;
    /// Highest run of each task that was stopped or has ended here.
    std::map<workflow::task_id, std::uint32_t> last_ended;
    std::int64_t lease_until_ms = 0;
    std::uint64_t next_end = 1;
    std::unique_ptr<core::event> has_ends;
  };
  struct gang_state {
    std::vector<std::pair<workflow::run_id, core::worker_id>> members;
    bool broken = false;
  };

  explicit impl(load_settings load_settings)
      : settings(std::move(load_settings)),
        sizes(settings.seed),
        losses(settings.seed),
        event_log(clock),
        proxy_queue(context.get_executor(), clock) {}

  awaitable<order_result> Start(worker_target to, start_order order,
                                milliseconds timeout) override;
  awaitable<order_result> Stop(worker_target to, stop_order order,
                               milliseconds timeout) override;
  awaitable<poll_result> Poll(worker_target to, poll_order order,
                              milliseconds timeout) override;
  awaitable<std::optional<std::vector<workflow::eligible_worker>>> Check(
      workflow::task_id step, std::vector<core::worker_id> workers,
      milliseconds cost, std::int32_t priority) override;

  awaitable<void> SubmitJobs(std::size_t profile_index);
  awaitable<void> Submit(std::size_t profile_index);
  awaitable<void> SendHeartbeats();
  awaitable<void> TrackEnds();
  workflow::job_spec MakeJob(std::size_t profile_index, job_plan& plan);
  bool IsLate();
  awaitable<void> WaitForLateOrder();
  awaitable<void> StartLate(core::worker_id worker, start_order order);
  awaitable<void> StopLate(core::worker_id worker, workflow::run_id run);
  order_result CarryOut(const core::worker_id& worker,
                        const start_order& order);
  void CarryOutStop(const core::worker_id& worker, const workflow::run_id& run);
  void EndLeases();
  void Begin(const core::worker_id& worker, const workflow::run_id& run);
  void BreakGang(const workflow::run_id& member);
  void SaveProgress(const workflow::run_id& run, core::duration worked);
  void EndAfter(double run_ms, const core::worker_id& worker,
                const workflow::run_id& run, workflow::run_end ending);
  void End(const core::worker_id& worker, const workflow::run_id& run,
           workflow::run_end ending);
  bool IsEligible(const workflow::task_id& step,
                  const core::worker_id& worker) const;
  void Spawn(awaitable<void> task) {
    asio::co_spawn(context, std::move(task), asio::detached);
  }
  void RunFor(core::duration duration);
  load_result Result();

  const load_settings settings;
  size_source sizes;
  size_source losses;
  asio::io_context context;
  core::fake_clock clock;
  metrics::registry registry;
  fake_event_log event_log;
  eligibility_proxy_queue proxy_queue;
  std::map<proxy_id, core::time_point> proxy_busy_until;
  std::map<core::worker_id, worker_state> workers;
  std::map<std::string, job_plan> plans;
  std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, gang_state>
      gangs;
  /// Number of running runs by task, and the tasks that have succeeded.
  std::map<workflow::task_id, int> running_by_task;
  std::set<workflow::task_id> succeeded;
  std::size_t repeated_starts = 0;
  std::unique_ptr<dispatcher> active;
  core::time_point traffic_end;
  std::size_t next_job = 0;
  std::size_t starts = 0;
  double used_cpu_ms = 0;
};

workflow::job_spec load_run::impl::MakeJob(std::size_t profile_index,
                                           job_plan& plan) {
  const load_profile& profile = settings.profiles[profile_index];
  workflow::job_spec spec;
  spec.id =
      "job-" + std::to_string(profile_index) + "-" + std::to_string(next_job++);
  plan.profile = profile_index;
  const bool gang = sizes.Uniform() < profile.gang_share;
  const int steps = 1 + (sizes.Uniform() < profile.mean_steps - 1 ? 1 : 0);
  double work = 0;
  double chain_ms = 0;
  for (int i = 0; i < steps; ++i) {
    workflow::step step;
    step.gang = gang;
    step.checkpointing = profile.checkpointing && sizes.Uniform() < 0.5;
    step.count = static_cast<std::uint32_t>(std::max(
        1.0, std::round(sizes.LogNormal(profile.mean_tasks, kTasksSpread,
                                        profile.mean_tasks * 6))));
    step.need.cpu_milli = static_cast<std::int64_t>(sizes.LogNormal(
        profile.mean_cpu_milli, kCpuSpread, profile.mean_cpu_milli * 1.7));
    step.need.memory_mib = static_cast<std::int64_t>(sizes.LogNormal(
        profile.mean_memory_mib, kCpuSpread, profile.mean_memory_mib * 2));
    if (i > 0) step.depends_on = {static_cast<std::uint32_t>(i - 1)};
    const double run_ms = sizes.LogNormal(profile.mean_run_ms, kRunTimeSpread,
                                          profile.mean_run_ms * 2.4);
    step.estimate_ms = static_cast<std::int64_t>(
        sizes.LogNormal(run_ms, kEstimateSpread, run_ms * 4));
    std::vector<task_plan> tasks;
    double longest_ms = 0;
    for (std::uint32_t index = 0; index < step.count; ++index) {
      const double task_ms =
          gang ? run_ms
               : sizes.LogNormal(run_ms, kTaskRunTimeSpread, run_ms * 2);
      const bool fails = !gang && sizes.Uniform() < profile.failure_share;
      tasks.push_back({task_ms, fails});
      longest_ms = std::max(longest_ms, fails ? 2 * task_ms : task_ms);
      work += task_ms * static_cast<double>(step.need.cpu_milli);
    }
    plan.tasks.push_back(std::move(tasks));
    chain_ms += longest_ms;
    if (profile.queue.eligibility) {
      chain_ms += profile.queue.eligibility->decision_ms +
                  kWorkersPerCheck * profile.queue.eligibility->per_worker_ms;
    }
    spec.steps.push_back(std::move(step));
  }
  const double mean_work = profile.mean_steps * profile.mean_tasks *
                           profile.mean_run_ms * profile.mean_cpu_milli;
  plan.weight =
      profile.benefit *
      std::min(kMaxWeight, kBaseWeight + (1 - kBaseWeight) * work / mean_work);
  plan.objective_ms = profile.queue.stretch_factor * chain_ms +
                      static_cast<double>(profile.queue.target_latency_ms);
  return spec;
}

awaitable<void> load_run::impl::Submit(std::size_t profile_index) {
  job_plan plan;
  plan.submitted_at = clock.Now();
  const workflow::job_spec spec = MakeJob(profile_index, plan);
  plans.emplace(spec.id, std::move(plan));
  const workflow::queue& queue = settings.profiles[profile_index].queue;
  co_await core::SleepFor(clock, settings.network_delay);
  active->Prepare(spec, queue);
  std::vector<workflow::event> events;
  events.emplace_back(workflow::job_accepted{spec, queue, clock.WallNow()});
  co_await event_log.Record(std::move(events));
}

awaitable<void> load_run::impl::SubmitJobs(std::size_t profile_index) {
  const load_profile& profile = settings.profiles[profile_index];
  const core::time_point begin = clock.Now();
  while (true) {
    const core::duration elapsed = clock.Now() - begin;
    const bool in_burst =
        elapsed >= profile.burst_begin && elapsed < profile.burst_end;
    const double rate = profile.jobs_per_s * (in_burst ? profile.burst : 1);
    co_await core::SleepFor(
        clock, std::chrono::duration_cast<core::duration>(
                   std::chrono::duration<double>(sizes.Exponential(1 / rate))));
    if (clock.Now() >= traffic_end) co_return;
    Spawn(Submit(profile_index));
  }
}

awaitable<void> load_run::impl::SendHeartbeats() {
  while (clock.Now() < traffic_end + settings.finish_time) {
    for (const auto& [id, worker] : event_log.state.Workers()) {
      active->OnHeartbeat(worker.key, clock.WallNow());
    }
    co_await core::SleepFor(clock, kHeartbeatInterval);
  }
}

/// Notes when each job ends, as a caller that asks often would see it.
awaitable<void> load_run::impl::TrackEnds() {
  const core::time_point end = traffic_end + settings.finish_time;
  while (clock.Now() < end) {
    co_await core::SleepFor(clock, milliseconds(20));
    EndLeases();
    for (auto& [id, plan] : plans) {
      if (plan.ended_at) continue;
      const workflow::job* const job = event_log.state.FindJob(id);
      const bool succeeded =
          job != nullptr && job->phase == workflow::job_phase::kSucceeded;
      if (succeeded) plan.ended_at = clock.Now();
    }
    if (clock.Now() >= traffic_end) continue;
    for (const auto& [id, worker] : workers) {
      used_cpu_ms += 20 * static_cast<double>(worker.used.cpu_milli);
    }
  }
}

void load_run::impl::End(const core::worker_id& worker,
                         const workflow::run_id& run,
                         workflow::run_end ending) {
  worker_state& state = workers[worker];
  const auto it = state.running.find(run);
  if (it == state.running.end()) return;
  state.used = state.used - it->second.need;
  if (ending == workflow::run_end::kStopped) {
    SaveProgress(run, clock.Now() - it->second.began);
  }
  state.running.erase(it);
  --running_by_task[run.task];
  if (ending == workflow::run_end::kDone) succeeded.insert(run.task);
  std::uint32_t& last = state.last_ended[run.task];
  last = std::max(last, run.number);
  state.ended.push_back({state.next_end++, run, ending, {}});
  state.has_ends->NotifyAll();
  if (ending != workflow::run_end::kDone) BreakGang(run);
}

/// Ends the other members of a gang's run.
void load_run::impl::BreakGang(const workflow::run_id& member) {
  const auto it =
      gangs.find({member.task.job, member.task.step, member.number});
  if (it == gangs.end() || std::exchange(it->second.broken, true)) return;
  const auto members = it->second.members;
  for (const auto& [run, worker] : members) {
    End(worker, run, workflow::run_end::kGangMemberEnded);
  }
}

void load_run::impl::EndLeases() {
  for (auto& [id, worker] : workers) {
    if (worker.running.empty() || clock.WallNow() <= worker.lease_until_ms) {
      continue;
    }
    std::vector<workflow::run_id> expired;
    for (const auto& [run, active_run] : worker.running) expired.push_back(run);
    for (const workflow::run_id& run : expired) {
      End(id, run, workflow::run_end::kLeaseExpired);
    }
  }
}

/// A stopped task that saves checkpoints has less work left.
void load_run::impl::SaveProgress(const workflow::run_id& run,
                                  core::duration worked) {
  const workflow::job* const job = event_log.state.FindJob(run.task.job);
  const workflow::step& step = job->spec.steps[run.task.step];
  if (!step.checkpointing || step.gang) return;
  double& run_ms =
      plans.at(run.task.job).tasks[run.task.step][run.task.index].run_ms;
  run_ms = std::max(0.0, run_ms - ToMs(worked)) + kRestoreMs;
}

void load_run::impl::EndAfter(double run_ms, const core::worker_id& worker,
                              const workflow::run_id& run,
                              workflow::run_end ending) {
  const auto duration = std::chrono::duration_cast<core::duration>(
      std::chrono::duration<double, std::milli>(run_ms));
  clock.CallAt(clock.Now() + duration,
               [this, worker, run, ending] { End(worker, run, ending); });
}

void load_run::impl::Begin(const core::worker_id& worker,
                           const workflow::run_id& run) {
  const job_plan& plan = plans.at(run.task.job);
  const workflow::job* const job = event_log.state.FindJob(run.task.job);
  const workflow::step& step = job->spec.steps[run.task.step];
  const task_plan& task = plan.tasks[run.task.step][run.task.index];
  worker_state& state = workers[worker];
  state.used = state.used + step.need;
  state.running.emplace(run, worker_state::run{step.need, clock.Now()});
  const bool is_repeated =
      running_by_task[run.task]++ > 0 || succeeded.contains(run.task);
  if (is_repeated) ++repeated_starts;
  if (!step.gang) {
    const bool fails = task.fails_once && run.number == 1;
    EndAfter(task.run_ms, worker, run,
             fails ? workflow::run_end::kFailed : workflow::run_end::kDone);
    return;
  }
  gang_state& gang = gangs[{run.task.job, run.task.step, run.number}];
  auto& members = gang.members;
  members.emplace_back(run, worker);
  if (gang.broken || members.size() < step.count) {
    clock.CallAt(clock.Now() + kGangWait, [this, &gang, worker, run,
                                           count = step.count] {
      const bool is_complete = !gang.broken && gang.members.size() == count;
      if (!is_complete) End(worker, run, workflow::run_end::kGangIncomplete);
    });
    return;
  }
  for (const auto& [member, at] : members) {
    EndAfter(task.run_ms, at, member, workflow::run_end::kDone);
  }
}

/// @return whether an order gets no answer.
bool load_run::impl::IsLate() {
  return settings.late_order_share > 0 &&
         losses.Uniform() < settings.late_order_share;
}

awaitable<void> load_run::impl::WaitForLateOrder() {
  const double delay_ms =
      kMinOrderDelayMs +
      losses.Uniform() * (kMaxOrderDelayMs - kMinOrderDelayMs);
  co_await core::SleepFor(
      clock, std::chrono::duration_cast<core::duration>(
                 std::chrono::duration<double, std::milli>(delay_ms)));
}

awaitable<void> load_run::impl::StartLate(core::worker_id worker,
                                          start_order order) {
  co_await WaitForLateOrder();
  CarryOut(worker, order);
}

awaitable<void> load_run::impl::StopLate(core::worker_id worker,
                                         workflow::run_id run) {
  co_await WaitForLateOrder();
  CarryOutStop(worker, run);
}

order_result load_run::impl::CarryOut(const core::worker_id& worker,
                                      const start_order& order) {
  worker_state& state = workers[worker];
  if (state.running.contains(order.run)) return order_done{clock.WallNow()};
  const auto last = state.last_ended.find(order.run.task);
  if (last != state.last_ended.end() && order.run.number <= last->second) {
    return order_refused{refusal::kOldRun};
  }
  if (order.lease_until_ms <= clock.WallNow()) {
    return order_refused{refusal::kLeaseExpired};
  }
  state.lease_until_ms = std::max(state.lease_until_ms, order.lease_until_ms);
  Begin(worker, order.run);
  return order_done{clock.WallNow()};
}

void load_run::impl::CarryOutStop(const core::worker_id& worker,
                                  const workflow::run_id& run) {
  std::uint32_t& last = workers[worker].last_ended[run.task];
  last = std::max(last, run.number);
  End(worker, run, workflow::run_end::kStopped);
}

awaitable<order_result> load_run::impl::Start(worker_target to,
                                              start_order order,
                                              milliseconds timeout) {
  if (IsLate()) {
    Spawn(StartLate(to.key.id, std::move(order)));
    co_await core::SleepFor(clock, timeout);
    co_return no_answer{};
  }
  co_await core::SleepFor(clock, settings.network_delay);
  ++starts;
  const order_result result = CarryOut(to.key.id, order);
  co_await core::SleepFor(clock, settings.network_delay);
  co_return result;
}

awaitable<order_result> load_run::impl::Stop(worker_target to, stop_order order,
                                             milliseconds timeout) {
  if (IsLate()) {
    Spawn(StopLate(to.key.id, order.run));
    co_await core::SleepFor(clock, timeout);
    co_return no_answer{};
  }
  co_await core::SleepFor(clock, settings.network_delay);
  CarryOutStop(to.key.id, order.run);
  co_await core::SleepFor(clock, settings.network_delay);
  co_return order_done{clock.WallNow()};
}

awaitable<poll_result> load_run::impl::Poll(worker_target to, poll_order order,
                                            milliseconds timeout) {
  if (IsLate()) {
    co_await core::SleepFor(clock, timeout);
    co_return no_answer{};
  }
  co_await core::SleepFor(clock, settings.network_delay);
  worker_state& state = workers[to.key.id];
  if (order.lease_until_ms) {
    state.lease_until_ms =
        std::max(state.lease_until_ms, *order.lease_until_ms);
  }
  std::erase_if(state.ended, [&](const ended_run& end) {
    return end.number <= order.recorded_ends;
  });
  const core::time_point until = clock.Now() + order.wait;
  while (state.ended.empty() && clock.Now() < until) {
    co_await state.has_ends->WaitUntil(until);
  }
  worker_report report;
  report.clock_ms = clock.WallNow();
  for (const auto& [run, active_run] : state.running) {
    report.running.push_back({run, {}, 0});
  }
  report.ended = state.ended;
  co_await core::SleepFor(clock, settings.network_delay);
  co_return report;
}

bool load_run::impl::IsEligible(const workflow::task_id& step,
                                const core::worker_id& worker) const {
  const load_profile& profile = settings.profiles[plans.at(step.job).profile];
  const std::size_t hash = std::hash<std::string>{}(
      step.job + "/" + std::to_string(step.step) + "/" + worker.v);
  return static_cast<double>(hash % 1'000) < 1'000 * profile.eligible_share;
}

awaitable<std::optional<std::vector<workflow::eligible_worker>>>
load_run::impl::Check(workflow::task_id step,
                      std::vector<core::worker_id> checked, milliseconds cost,
                      std::int32_t priority) {
  const auto proxy = co_await proxy_queue.Acquire(
      cost, priority, clock.Now() + std::chrono::seconds(4));
  if (!proxy) co_return std::nullopt;
  co_await core::SleepFor(clock, 2 * settings.network_delay);
  core::time_point& busy_until = proxy_busy_until[*proxy];
  busy_until = std::max(busy_until, clock.Now()) + cost;
  const core::time_point answered_at = busy_until;
  co_await core::SleepUntil(clock, answered_at);
  std::vector<workflow::eligible_worker> eligible;
  for (const core::worker_id& worker : checked) {
    if (IsEligible(step, worker)) eligible.push_back({worker, "ticket"});
  }
  co_await core::SleepFor(clock, 2 * settings.network_delay);
  proxy_queue.Release(*proxy, cost, call_outcome::kAnswered);
  co_return eligible;
}

void load_run::impl::RunFor(core::duration duration) {
  const core::time_point end = clock.Now() + duration;
  while (true) {
    context.restart();
    while (context.poll() > 0) context.restart();
    if (clock.Now() >= end) return;
    clock.AdvanceTo(std::min(end, clock.NextTimer()));
  }
}

load_result load_run::impl::Result() {
  load_result result;
  std::vector<double> earned(settings.profiles.size());
  std::vector<double> owed(settings.profiles.size());
  for (const auto& [id, plan] : plans) {
    owed[plan.profile] += plan.weight;
    if (!plan.ended_at) continue;
    const double took_ms = ToMs(*plan.ended_at - plan.submitted_at);
    if (took_ms <= plan.objective_ms) {
      earned[plan.profile] += plan.weight;
    } else if (took_ms <= kLateFactor * plan.objective_ms) {
      earned[plan.profile] += kLateShare * plan.weight;
    }
  }
  double total_earned = 0;
  double total_owed = 0;
  for (std::size_t i = 0; i < earned.size(); ++i) {
    result.earned_share.push_back(owed[i] > 0 ? earned[i] / owed[i] : 1);
    total_earned += earned[i];
    total_owed += owed[i];
  }
  result.total_share = total_earned / total_owed;
  result.utilization = used_cpu_ms / ToMs(settings.traffic_time) /
                       static_cast<double>(settings.capacity.cpu_milli) /
                       static_cast<double>(settings.workers);
  result.starts = starts;
  result.jobs = plans.size();
  result.repeated_starts = repeated_starts;
  result.round_cpu_s = dispatch_metrics(registry).round_time.Sum();
  return result;
}

load_run::load_run(load_settings settings)
    : impl_(std::make_unique<impl>(std::move(settings))) {}

load_run::~load_run() {
  if (impl_->active) impl_->active->Stop();
  impl_->RunFor(std::chrono::seconds(5));
}

load_result load_run::Play() {
  impl& run = *impl_;
  run.clock.AdvanceTo(core::time_point(std::chrono::hours(1)));
  workflow::catalog catalog;
  catalog.version = 1;
  for (const load_profile& profile : run.settings.profiles) {
    catalog.queues.push_back(profile.queue);
  }
  catalog.pools = {{"pool", false, false}};
  run.event_log.Apply(workflow::catalog_declared{catalog});
  for (std::size_t i = 0; i < run.settings.workers; ++i) {
    workflow::worker worker;
    worker.key = {{"worker-" + std::to_string(i)}, 1};
    worker.pool = "pool";
    worker.capacity = run.settings.capacity;
    run.workers[worker.key.id].has_ends =
        std::make_unique<core::event>(run.context.get_executor(), run.clock);
    run.event_log.Apply(workflow::worker_announced{worker});
  }
  for (std::size_t i = 0; i < run.settings.proxies; ++i) run.proxy_queue.Add();
  run.active = std::make_unique<dispatcher>(
      dispatcher_settings{}, kTerm, run.context.get_executor(), run.clock,
      run.event_log, run, run, run.registry);
  run.event_log.observer = run.active.get();
  run.event_log.latency = run.settings.commit_time;
  run.active->Start();
  run.RunFor(std::chrono::seconds(1));
  run.traffic_end = run.clock.Now() + run.settings.traffic_time;
  for (std::size_t i = 0; i < run.settings.profiles.size(); ++i) {
    run.Spawn(run.SubmitJobs(i));
  }
  run.Spawn(run.SendHeartbeats());
  run.Spawn(run.TrackEnds());
  run.RunFor(run.settings.traffic_time + run.settings.finish_time);
  return run.Result();
}

load_settings Resize(load_settings load, std::size_t workers) {
  const double factor =
      static_cast<double>(workers) / static_cast<double>(load.workers);
  load.workers = workers;
  load.proxies = static_cast<std::size_t>(
      std::ceil(static_cast<double>(load.proxies) * factor));
  for (load_profile& profile : load.profiles) profile.jobs_per_s *= factor;
  return load;
}

load_settings MakeTallyLoad() {
  const auto make_queue = [](std::string name, std::int32_t priority,
                             std::int64_t target_latency_ms, double stretch,
                             std::uint32_t attempts,
                             workflow::eligibility_policy eligibility) {
    workflow::queue queue;
    queue.path_prefix = "/" + name + "/";
    queue.name = std::move(name);
    queue.host = "host";
    queue.timeout_ms = 3'000;
    queue.target_latency_ms = target_latency_ms;
    queue.priority = priority;
    queue.pool = "pool";
    queue.max_attempts = attempts;
    queue.stretch_factor = stretch;
    queue.eligibility = eligibility;
    return queue;
  };
  load_settings load;
  load_profile reduction;
  reduction.queue =
      make_queue("reduction", 1, 1'200, 2.2, 2, {430, 6.2, 1'500});
  reduction.jobs_per_s = 4.33;
  reduction.benefit = 10.6;
  reduction.mean_steps = 1.2;
  reduction.mean_tasks = 20;
  reduction.mean_run_ms = 5'000;
  reduction.mean_cpu_milli = 9'000;
  reduction.mean_memory_mib = 33'000;
  reduction.gang_share = 1;
  reduction.eligible_share = 0.3;
  reduction.checkpointing = true;
  reduction.burst = 1.8;
  reduction.burst_begin = milliseconds(20'000);
  reduction.burst_end = milliseconds(24'000);
  load_profile correction;
  correction.queue =
      make_queue("correction", 2, 3'000, 4, 2, {100, 1.4, 1'500});
  correction.jobs_per_s = 8.95;
  correction.benefit = 3.2;
  correction.mean_steps = 1.5;
  correction.mean_tasks = 25;
  correction.mean_run_ms = 2'700;
  correction.mean_cpu_milli = 3'500;
  correction.mean_memory_mib = 10'000;
  correction.eligible_share = 0.45;
  correction.failure_share = 0.01;
  correction.checkpointing = true;
  load_profile check;
  check.queue = make_queue("check", 0, 400, 1.5, 3, {9, 0.13, 1'500});
  check.jobs_per_s = 99.9;
  check.benefit = 0.402;
  check.mean_tasks = 3.2;
  check.mean_run_ms = 800;
  check.mean_cpu_milli = 5'000;
  check.mean_memory_mib = 18'000;
  check.gang_share = 0.3;
  check.eligible_share = 0.7;
  check.failure_share = 0.02;
  check.burst = 1.9;
  check.burst_begin = milliseconds(4'700);
  check.burst_end = milliseconds(8'700);
  load.profiles = {reduction, correction, check};
  return load;
}

}  // namespace mangoplank::dispatch
