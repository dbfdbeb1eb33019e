#include <limits>
#include <random>

#include "dispatch/run_table.h"
#include "dispatch/tenant_fixture.h"

namespace mangoplank::dispatch {
namespace {

constexpr std::int64_t kNoLimit = std::numeric_limits<std::int64_t>::max();
constexpr int kWorkers = 4;
constexpr int kSteps = 500;
/// Longest time after which a late order is carried out, in milliseconds.
constexpr int kMaxLateMs = 11'000;
constexpr core::milliseconds kWorkerLease{6'000};

/// Random schedules of submissions, ends, cancels, catalogs with other caps,
/// changes of leader, and faults of workers: starts that have no answer and are
/// carried out late, silence beyond the lease, and restarts. The workers here
/// keep leases and refuse starts that are late, stopped or superseded, as the
/// worker protocol asks.
class CapScheduleTest : public TenantTest,
                        public testing::WithParamInterface<std::uint32_t> {
 protected:
  CapScheduleTest() : random_(GetParam()) {
    workers_.on_start = [this](const worker_target& to,
                               const start_order& order) {
      return OnStart(to, order);
    };
  }

  int Draw(int below) { return static_cast<int>(random_() % below); }
  static core::worker_id Worker(int i) { return {"w" + std::to_string(i)}; }
  static std::string Tenant(int i) { return "t" + std::to_string(i); }

  order_result OnStart(const worker_target& to, const start_order& order) {
    if (Draw(100) < late_percent_) {
      const core::milliseconds delay(Draw(kMaxLateMs));
      late_.push_back({to.key, order, clock_.Now(), clock_.Now() + delay});
      return no_answer{};
    }
    if (CarryOut(to.key, order, clock_.Now())) {
      return order_done{workers_.ClockMs()};
    }
    return order_refused{refusal::kOutdatedFencingToken};
  }

  /// @return whether the worker has started the run.
  bool CarryOut(const workflow::worker_key& to, const start_order& order,
                core::time_point sent_at) {
    fake_workers::worker_state& state = workers_.states[to.id];
    const std::int64_t lease_end =
        order.lease_until_ms > 0 ? order.lease_until_ms
                                 : workers_.ClockMs() + kWorkerLease.count();
    const bool is_stopped = std::any_of(
        workers_.stops.begin(), workers_.stops.end(),
        [&](const stop_order& stop) { return stop.run == order.run; });
    std::uint32_t& last = last_runs_[to.id][order.run.task];
    if (is_stopped || order.run.number < last ||
        workers_.ClockMs() > lease_end) {
      return false;
    }
    if (order.run.number == last && !state.running.contains(order.run)) {
      return false;
    }
    if (!workers_.CarryOut(to.id, order)) return false;
    last = order.run.number;
    state.lease_until_ms = std::max(state.lease_until_ms, lease_end);
    const workflow::job* const job =
        event_log_.state.FindJob(order.run.task.job);
    if (job == nullptr) return true;
    const std::string& tenant = job->tenant.name;
    EXPECT_LE(RunningCpu(tenant), HighestCap(tenant, sent_at))
        << tenant << " " << Name(order.run);
    return true;
  }

  /// @return the highest cap of a tenant in force since that time: the declared
  /// one, or that of its jobs while it isn't declared.
  std::int64_t HighestCap(const std::string& tenant,
                          core::time_point since) const {
    std::int64_t highest = 0;
    for (std::size_t i = 0; i < declared_.size(); ++i) {
      const bool is_over =
          i + 1 < declared_.size() && declared_[i + 1].first <= since;
      if (is_over) continue;
      const auto it = declared_[i].second.find(tenant);
      const std::int64_t cap = it == declared_[i].second.end()
                                   ? HighestAcceptedCap(tenant)
                                   : it->second;
      highest = std::max(highest, cap == 0 ? kNoLimit : cap);
    }
    return highest;
  }
  std::int64_t HighestAcceptedCap(const std::string& tenant) const {
    std::int64_t highest = 1;
    for (const auto& [id, job] : event_log_.state.Jobs()) {
      if (job.tenant.name != tenant) continue;
      const std::int64_t cap = job.tenant.cap.cpu_milli;
      highest = std::max(highest, cap == 0 ? kNoLimit : cap);
    }
    return highest;
  }

  void DeclareRandomCaps() {
    std::vector<std::pair<std::string, std::int64_t>> caps;
    for (int i = 0; i < 3; ++i) {
      if (i == 2 && Draw(3) == 0) continue;
      const std::int64_t cap = Draw(5) == 0 ? 0 : 1'000 * (1 + Draw(12));
      caps.emplace_back(Tenant(i), cap);
    }
    declared_.emplace_back(clock_.Now(), std::map<std::string, std::int64_t>(
                                             caps.begin(), caps.end()));
    DeclareCaps(std::move(caps));
  }

  void SubmitRandomJob() {
    const std::string tenant = Tenant(Draw(3));
    if (event_log_.state.Tenants().FindByName(tenant) == nullptr) return;
    const auto count = static_cast<std::uint32_t>(1 + Draw(6));
    const std::int64_t cpu = 500 * (1 + Draw(4));
    const bool is_gang = Draw(3) == 0;
    SubmitFor(tenant, "job" + std::to_string(next_job_++),
              {is_gang ? Gang(count, cpu) : Step(count, cpu)}, queue_);
  }

  /// Ends a run as its worker would, with the rest of its gang.
  void EndRun(const core::worker_id& worker, const workflow::run_id& run,
              run_end ending) {
    const workflow::job* const job = event_log_.state.FindJob(run.task.job);
    workers_.End(worker, run, ending);
    if (job == nullptr || !job->spec.steps[run.task.step].gang) return;
    const run_end others =
        ending == run_end::kDone ? ending : run_end::kGangMemberEnded;
    for (int i = 0; i < kWorkers; ++i) {
      const auto running = workers_.states[Worker(i)].running;
      for (const auto& [other, checkpoint] : running) {
        const bool is_member =
            other.task.job == run.task.job && other.number == run.number;
        if (is_member) workers_.End(Worker(i), other, others);
      }
    }
  }
  void EndRandomRun() {
    const core::worker_id worker = Worker(Draw(kWorkers));
    const auto& running = workers_.states[worker].running;
    if (running.empty()) return;
    const auto chosen =
        std::next(running.begin(), Draw(static_cast<int>(running.size())));
    EndRun(worker, workflow::run_id(chosen->first),
           Draw(5) == 0 ? run_end::kFailed : run_end::kDone);
  }

  void CancelRandomJob() {
    const std::string id = "job" + std::to_string(Draw(next_job_ + 1));
    if (event_log_.state.FindJob(id) != nullptr) {
      event_log_.Apply(workflow::job_cancelled{id});
    }
  }

  void RestartRandomWorker() {
    const core::worker_id worker = Worker(Draw(kWorkers));
    workers_.Restart(worker);
    last_runs_.erase(worker);
    workers_.silent.erase(worker);
    unreported_.erase(worker);
    incarnations_[worker] = ++incarnation_;
    AddWorker(worker.v, incarnation_);
  }

  /// Cuts a worker off, with or without its reports, or ends a cut.
  void ToggleSilence() {
    const core::worker_id worker = Worker(Draw(kWorkers));
    if (workers_.silent.contains(worker)) {
      workers_.silent.erase(worker);
      unreported_.erase(worker);
      // It may have been removed meanwhile, and reports as before.
      Announce(worker);
      return;
    }
    Mute(worker);
    if (Draw(2) == 0) unreported_.insert(worker);
  }
  void Announce(const core::worker_id& worker) {
    if (event_log_.state.Workers().contains(worker)) return;
    AddWorker(worker.v, std::max<core::wall_time_ms>(1, incarnations_[worker]));
  }

  void ChangeLeader() {
    dispatcher_->Stop();
    BeginTerm(++term_);
  }

  void EndLeases() {
    for (int i = 0; i < kWorkers; ++i) {
      fake_workers::worker_state& state = workers_.states[Worker(i)];
      if (workers_.ClockMs() <= state.lease_until_ms) continue;
      const auto running = state.running;
      for (const auto& [run, checkpoint] : running) {
        workers_.End(Worker(i), run, run_end::kLeaseExpired);
      }
    }
  }

  /// Lets time pass in small steps, in which leases end and late orders are
  /// carried out.
  void Pass(core::milliseconds time) {
    constexpr core::milliseconds kSlice{50};
    for (core::milliseconds passed{0}; passed < time; passed += kSlice) {
      RunWithHeartbeats(kSlice);
      EndLeases();
      std::vector<late_order> due;
      std::erase_if(late_, [&](const late_order& late) {
        if (late.due > clock_.Now()) return false;
        due.push_back(late);
        return true;
      });
      for (const late_order& late : due) {
        if (workers_.silent.contains(late.to.id)) continue;
        CarryOut(late.to, late.order, late.sent_at);
      }
    }
  }

  void TakeRandomStep() {
    const int drawn = Draw(100);
    if (drawn < 30) {
      SubmitRandomJob();
    } else if (drawn < 70) {
      EndRandomRun();
    } else if (drawn < 78) {
      DeclareRandomCaps();
    } else if (drawn < 82) {
      CancelRandomJob();
    } else if (drawn < 86) {
      ToggleSilence();
    } else if (drawn < 88) {
      RestartRandomWorker();
    } else if (drawn < 89) {
      ChangeLeader();
    } else if (drawn < 92) {
      late_percent_ = Draw(3) * 20;
    }
    Pass(milliseconds(10 * Draw(20)));
  }

  /// All faults end, and no cap bounds anything.
  void Recover() {
    late_percent_ = 0;
    workers_.silent.clear();
    unreported_.clear();
    for (int i = 0; i < kWorkers; ++i) Announce(Worker(i));
    declared_.emplace_back(clock_.Now(), std::map<std::string, std::int64_t>());
    DeclareCaps({{Tenant(0), 0}, {Tenant(1), 0}, {Tenant(2), 0}});
    for (int i = 0; i < 3; ++i) declared_.back().second[Tenant(i)] = 0;
  }
  void EndAllRuns() {
    for (int i = 0; i < kWorkers; ++i) {
      const auto running = workers_.states[Worker(i)].running;
      for (const auto& [run, checkpoint] : running) {
        if (workers_.states[Worker(i)].running.contains(run)) {
          EndRun(Worker(i), run, run_end::kDone);
        }
      }
    }
  }
  bool AreAllJobsFinal() const {
    const auto& jobs = event_log_.state.Jobs();
    return std::all_of(jobs.begin(), jobs.end(), [](const auto& entry) {
      return IsFinal(entry.second.phase);
    });
  }

  struct late_order {
    workflow::worker_key to;
    start_order order;
    core::time_point sent_at;
    core::time_point due;
  };

  std::mt19937 random_;
  int late_percent_ = 0;
  int next_job_ = 0;
  core::term term_ = kTerm;
  core::wall_time_ms incarnation_ = 1;
  std::map<core::worker_id, core::wall_time_ms> incarnations_;
  std::vector<late_order> late_;
  /// Highest run of each task that a worker has started since its start.
  std::map<core::worker_id, std::map<workflow::task_id, std::uint32_t>>
      last_runs_;
  /// Caps by tenant, and since when they were in force.
  std::vector<std::pair<core::time_point, std::map<std::string, std::int64_t>>>
      declared_;
};

// Guards against a tenant that runs more than its cap after late orders,
// unknown outcomes, lapsed leases, workers that return, cancels, other caps or
// a new leader; and against jobs that never start again after that.
TEST_P(CapScheduleTest, NoTenantRunsMoreThanItsCap) {
  BeginTerm();
  for (int i = 0; i < kWorkers; ++i) AddWorker(Worker(i).v);
  DeclareRandomCaps();
  for (int i = 0; i < kSteps && !HasFailure(); ++i) TakeRandomStep();
  Recover();
  for (int i = 0; i < 120 && !AreAllJobsFinal(); ++i) {
    Pass(milliseconds(500));
    EndAllRuns();
  }
  EXPECT_TRUE(AreAllJobsFinal());
}

INSTANTIATE_TEST_SUITE_P(Seeds, CapScheduleTest, testing::Range(1U, 13U));

}  // namespace
}  // namespace mangoplank::dispatch
