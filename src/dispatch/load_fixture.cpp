#include "dispatch/load_fixture.h"

#include <algorithm>
#include <cmath>

#include "dispatch/dispatch_metrics.h"
#include "dispatch/load_run_impl.h"

namespace mangoplank::dispatch {

namespace asio = boost::asio;
using core::awaitable;
using core::milliseconds;

namespace {

constexpr core::term kTerm = 1;
constexpr milliseconds kHeartbeatInterval{1'500};
/// Workers that the objective assumes in each eligibility check.
constexpr double kWorkersPerCheck = 30;
/// A job that is late by less than this factor earns a part of its benefit.
constexpr double kLateFactor = 3;
constexpr double kLateShare = 0.2;
/// Weight of a job of any size, and greatest weight of a large one.
constexpr double kBaseWeight = 0.3;
constexpr double kMaxWeight = 4;
/// Standard deviations of the logarithms of sizes.
constexpr double kTasksSpread = 0.7;
constexpr double kCpuSpread = 0.4;
constexpr double kRunTimeSpread = 0.47;
constexpr double kTaskRunTimeSpread = 0.15;
constexpr double kEstimateSpread = 0.4;

}  // namespace

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
  active->Prepare(spec, queue, {});
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
