#ifndef MANGOPLANK_SRC_DISPATCH_DISPATCHER_IMPL_H_
#define MANGOPLANK_SRC_DISPATCH_DISPATCHER_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dispatch/dispatch_metrics.h"
#include "dispatch/load_report.h"
#include "dispatch/order_backoff.h"
#include "dispatch/order_tries.h"
#include "dispatch/placement_table.h"
#include "dispatch/planning_types.h"
#include "dispatch/proxy_budget.h"
#include "dispatch/step_runs.h"
#include "dispatch/step_times.h"
#include "mangoplank/dispatch/dispatcher.h"
#include "mangoplank/durations/accuracy.h"
#include "mangoplank/durations/estimator.h"

namespace mangoplank::dispatch {

/// A worker that answers this long after the start of a run has survived it.
inline constexpr core::milliseconds kStartTime{300};
/// Longest time after which an order without an answer may be carried out.
inline constexpr core::milliseconds kMaxOrderDelay{12'000};
/// Pause after an order without an answer.
inline constexpr core::milliseconds kRetryPause{150};

/// Earlier than any time that matters.
inline constexpr core::time_point kNever{-std::chrono::hours(24)};

/// How the leader learned that an incarnation of a worker is lost.
enum class worker_loss : std::uint8_t {
  /// A later incarnation of the worker has reported.
  kNewIncarnation,
  /// Another worker or incarnation answers at its address.
  kAddressTaken,
  /// Its lease has ended without an answer: it may have crashed, or be cut off.
  kSilent,
  /// It has deregistered, and its runs or its lease have ended.
  kDeregistered
};

/// @return the name used in logs.
constexpr std::string_view Name(worker_loss loss) {
  constexpr std::string_view kNames[] = {"new_incarnation", "address_taken",
                                         "silent", "deregistered"};
  return kNames[static_cast<std::size_t>(loss)];
}

/// The leader's view of one incarnation of a worker.
struct worker_monitor {
  worker_monitor(workflow::worker registered, dispatch::fencing_token own_token,
                 worker_slot free_slot,
                 const boost::asio::any_io_executor& executor,
                 core::clock& clock)
      : worker(std::move(registered)),
        token(own_token),
        slot(free_slot),
        wakeup(executor, clock) {}

  workflow::worker worker;
  /// Above those of all earlier incarnations, so that after its first answer
  /// this one carries out no order that was sent to them.
  const dispatch::fencing_token token;
  /// The pool of the worker, for rounds of placement.
  usable_pool* pool = nullptr;
  const worker_slot slot;
  bool removed = false;
  /// The loss of the worker is being recorded.
  bool removing = false;
  /// Time of its first request to deregister. From then on it gets no tasks and
  /// its lease is not renewed.
  std::optional<core::time_point> deregistered_at;
  /// Whether a poll of this term was answered. After that the worker refuses
  /// orders of earlier leaders, and all of its runs are known.
  bool synced = false;
  /// Ends up to this number are recorded.
  std::uint64_t recorded_ends = 0;
  /// Ends up to this number are recorded and no longer listed.
  std::uint64_t acknowledged_ends = 0;
  /// A poll that acknowledges ends is open.
  bool acknowledging = false;
  /// Highest number of an end that the worker has listed. Unset until the first
  /// one if an earlier leader may have acknowledged ends of this incarnation.
  std::optional<std::uint64_t> listed_ends;
  std::uint64_t polls_sent = 0;
  std::uint64_t reports_received = 0;
  /// Whether the last poll had no answer.
  bool unanswered = false;
  /// Its runs have ended with their lease since the last answered poll.
  bool has_lapsed = false;
  /// Time of the first poll without an answer since the last answered one.
  core::time_point unanswered_since{};
  /// Time of the last order of which a try had no answer.
  core::time_point lost_answer_at = kNever;
  /// How often an answer was counted as lost.
  std::uint64_t lost_answers = 0;
  /// The worker's steady clock when it was last read.
  std::optional<std::int64_t> clock_ms;
  core::time_point clock_read_at;
  /// The clock in the worker's last answer, and the time of the answer.
  std::optional<std::int64_t> answered_clock_ms;
  core::time_point answered_at;
  /// A report does not agree with the known clock; an answer decides.
  bool clock_in_doubt = false;
  /// Time of the last order that carried a lease, also to an earlier
  /// incarnation.
  core::time_point leased_at = kNever;
  /// Time by which the lease has provably ended.
  core::time_point lease_end;
  /// Time of the last heartbeat or answer.
  core::time_point last_heard;
  /// Latest time at which the worker is known to have been alive: when the last
  /// heartbeat or answer was sent.
  core::time_point last_alive;
  /// Time at which the last heartbeat was sent. Answers show neither the
  /// capacity nor a drain, so that they don't renew it.
  core::time_point last_reported;
  /// The worker gets no new tasks before this time.
  core::time_point avoid_until{};
  /// The same after orders that failed, unless that leaves too few workers.
  order_backoff backoff;
  /// The worker gets no new tasks, as it is slower than others of its pool.
  bool is_slow = false;
  /// Jobs whose runs have failed on the worker since a run last succeeded.
  std::set<std::string> failed_jobs;
  run_table runs;
  /// The last start of a task that may crash the worker. Nothing else starts
  /// here until the worker has survived it, so that a crash has one cause.
  std::optional<workflow::run_id> suspected_run;
  /// Resources that the current round has reserved.
  core::resources reserved;
  core::event wakeup;
};

/// Where a reading of a worker's clock comes from. An answer comes from the
/// worker itself; a report may be delayed, or be another writer's.
enum class reading_source : std::uint8_t { kAnswer, kReport };

/// Polls of several workers at once, each of which has to answer.
struct worker_confirmation {
  worker_confirmation(std::size_t workers,
                      const boost::asio::any_io_executor& executor,
                      core::clock& clock)
      : pending(workers), changed(executor, clock) {}

  std::size_t pending;
  bool all_answered = true;
  core::event changed;
};

/// What a poll has shown of the worker. A poll that this process could not send
/// shows nothing.
enum class poll_outcome : std::uint8_t { kAnswered, kUnanswered, kNotSent };

struct dispatcher::impl : std::enable_shared_from_this<dispatcher::impl> {
  impl(dispatcher_settings settings, core::term term,
       boost::asio::any_io_executor io_executor, core::clock& clock,
       dispatch::event_log& event_log, worker_port& workers,
       eligibility_port& eligibility, metrics::registry& registry);

  // dispatcher.cpp: start, stop and changes of the state.
  void Start();
  void Stop();
  void Spawn(core::awaitable<void> task);
  void RequestRound();
  void OnEvent(const workflow::event& event);
  void OnHeartbeat(const workflow::worker_key& key, std::int64_t clock_ms);
  void SyncWorkers();
  void SyncWorker(const core::worker_id& id);
  void AdoptRuns();
  void TransferRun(const core::worker_id& id, const workflow::run_id& run,
                   const tracked_run& previous);
  tenancy::usage UsageOf(const workflow::run_id& run) const;
  void AddWorker(const workflow::worker& worker, core::time_point leased_at);
  void TrackJob(const workflow::job& job);
  void LogAttempts(const workflow::job& job, const workflow::run_id& run) const;
  void OnRunEnded(const workflow::run_ended& event);
  void UpdateStatistics(worker_monitor& monitor, const workflow::run_id& run,
                        workflow::run_end ending);
  void StopGang(const workflow::run_id& member, std::uint32_t count);
  void OnJobFinal(const workflow::job& job);
  core::awaitable<void> PruneLoop();
  core::awaitable<void> ReportLoop();
  load_state LoadState() const;
  core::awaitable<core::outcome<void>> Record(
      std::vector<workflow::event> events);
  void NoteStarted(const std::string& job);
  core::awaitable<void> RecordStartedJobs();

  // wait_report.cpp: log lines that tell what jobs wait for.
  void LogUnansweringWorkers() const;
  void LogWaitingJobs() const;
  void LogWaitingStep(const workflow::job& job, const waiting_job& waiting,
                      const waiting_tasks& tasks) const;
  std::size_t CountHeldTasks(const workflow::job& job,
                             const waiting_tasks& tasks) const;

  // worker_monitor.cpp: polls of one worker, its lease and its reports.
  core::awaitable<void> MonitorWorker(std::shared_ptr<worker_monitor> monitor);
  core::awaitable<poll_result> SendPoll(std::shared_ptr<worker_monitor> monitor,
                                        poll_order order);
  void ResolveExpiredStarts(worker_monitor& monitor) const;
  std::uint64_t EndsToAcknowledge(const worker_monitor& monitor) const;
  core::awaitable<poll_outcome> Poll(std::shared_ptr<worker_monitor> monitor,
                                     core::milliseconds wait);
  core::awaitable<bool> OnReport(std::shared_ptr<worker_monitor> monitor,
                                 std::uint64_t poll_number, bool overtaken,
                                 worker_report report);
  void CheckEndNumbers(worker_monitor& monitor, const worker_report& report);
  std::vector<workflow::event> MissingRuns(const worker_monitor& monitor,
                                           std::uint64_t poll_number,
                                           const worker_report& report) const;
  worker_target TargetOf(const worker_monitor& monitor,
                         order_route route) const;
  order_route RouteOf(bool is_repeated) const;
  std::shared_ptr<worker_monitor> FindMonitor(
      const workflow::worker_key& worker) const;
  core::awaitable<core::outcome<bool>> ConfirmIncarnation(
      workflow::worker_key worker);
  std::optional<std::int64_t> NextLeaseEndMs(worker_monitor& monitor);
  void UpdateClock(worker_monitor& monitor, std::int64_t clock_ms,
                   reading_source source);
  std::int64_t MinClockMs(const worker_monitor& monitor,
                          core::time_point time) const;
  core::time_point SentAt(const worker_monitor& monitor,
                          std::int64_t clock_ms) const;
  bool IsPossibleClock(const worker_monitor& monitor,
                       std::int64_t clock_ms) const;
  void CheckClock(worker_monitor& monitor, std::int64_t clock_ms);
  bool IsClockOfOtherIncarnation(const worker_monitor& monitor,
                                 std::int64_t clock_ms) const;

  // run_orders.cpp: orders to start and stop the runs of one worker.
  core::awaitable<void> StartRun(planned_run planned);
  void NoteOrderFailure(worker_monitor& monitor);
  core::awaitable<tried_order<order_result>> SendStart(
      std::shared_ptr<worker_monitor> monitor, start_order order);
  /// Counts an answer as lost while tries of an order have none. Answers that
  /// come late, as after a retransmission, take that back.
  /// @param started the run that the order starts; its tries can't be carried
  /// out later once all have been answered.
  template <class Result>
  void NoteOpenTries(const std::shared_ptr<worker_monitor>& monitor,
                     std::shared_ptr<order_tries<Result>> tries,
                     std::optional<workflow::run_id> started);
  template <class Result>
  core::awaitable<void> AwaitLateAnswers(
      std::shared_ptr<worker_monitor> monitor,
      std::shared_ptr<order_tries<Result>> tries,
      std::optional<workflow::run_id> started, std::uint64_t lost_answer,
      core::time_point lost_before);
  bool MayRepeatStart(const worker_monitor& monitor,
                      const workflow::run_id& run);
  void RecordStart(const workflow::run_id& run, const worker_monitor& monitor);
  core::awaitable<void> ResolveStart(std::shared_ptr<worker_monitor> monitor,
                                     workflow::run_id run);
  core::awaitable<void> PollAfterStart(std::shared_ptr<worker_monitor> monitor);
  core::awaitable<order_result> SendStop(
      std::shared_ptr<worker_monitor> monitor, workflow::run_id run);
  core::awaitable<void> StopRun(std::shared_ptr<worker_monitor> monitor,
                                workflow::run_id run);
  core::awaitable<void> RecordRunEnd(workflow::run_id run,
                                     workflow::run_end ending);

  // worker_loss.cpp: ends of workers and leases, and what they mean for runs.
  bool HasSurvivedStart(const worker_monitor& monitor,
                        const tracked_run& tracked,
                        core::milliseconds time) const;
  workflow::run_end EndingAfterLoss(const worker_monitor& monitor,
                                    const tracked_run& tracked,
                                    worker_loss loss) const;
  void OnWorkerLost(worker_monitor& monitor, worker_loss loss);
  core::awaitable<void> RemoveWorker(std::shared_ptr<worker_monitor> monitor,
                                     worker_loss loss, std::string reason);
  workflow::run_end EndingAfterLease(const tracked_run& tracked) const;
  core::awaitable<void> EndLapsedRuns(std::shared_ptr<worker_monitor> monitor);
  core::awaitable<bool> RemoveUnconfirmed(workflow::worker_key worker);
  core::awaitable<bool> Deregister(workflow::worker_key worker);

  // planner.cpp: rounds, and the order of the waiting jobs.
  core::awaitable<void> PlanLoop();
  void PlanRound();
  void BeginRound();
  bool IsAnswering(const worker_monitor& monitor, core::time_point now) const;
  void CountBackoff(core::time_point now);
  void MarkWaiting(const std::string& job);
  void Refresh(const workflow::job& job, waiting_job& waiting);
  job_rank RankOf(const workflow::job& job) const;
  bool PlanJob(const workflow::job& job, waiting_job& waiting);
  bool IsDue(const workflow::job& job, std::uint32_t occurrence) const;
  waiting_tasks FindWaitingTasks(const workflow::job& job,
                                 std::uint32_t occurrence,
                                 std::uint32_t step) const;
  core::awaitable<void> CommitRuns(std::vector<planned_run> runs);
  core::awaitable<void> CommitSuspects(std::vector<planned_run> runs);
  core::awaitable<void> ConfirmWorker(
      std::shared_ptr<worker_monitor> monitor,
      std::shared_ptr<worker_confirmation> confirmation);
  core::awaitable<bool> ConfirmWorkers(const std::vector<planned_run>& runs);
  void DropPlanned(const planned_run& planned);
  bool IsAssignedTo(const workflow::run_id& run,
                    const worker_monitor& monitor) const;

  // run_times.cpp: run times that are learned, and what follows from them.
  void NoteRunTime(const worker_monitor& monitor, const workflow::run_id& run,
                   const tracked_run& tracked);
  void LearnStep(const workflow::job& job, const step_key& key);
  double ExpectedRunTimeMs(const workflow::queue& queue, std::uint32_t number,
                           const workflow::step& step) const;
  void ReviewPaces();
  void ReportRunTimes();

  // step_planner.cpp: assignment of the waiting tasks of one step.
  bool IsWithinCap(const workflow::job& job) const;
  std::size_t CountStartable(const tenancy::terms& tenant,
                             const workflow::step& step,
                             std::size_t tasks) const;
  std::size_t CountCheckable(const tenancy::terms& tenant,
                             const workflow::step& step,
                             std::size_t tasks) const;
  void PlanStep(const workflow::job& job, objective_status objective,
                const workflow::queue& queue, waiting_tasks& waiting);
  void PlanTasks(const workflow::job& job, const workflow::queue& queue,
                 std::size_t startable, waiting_tasks& waiting,
                 eligibility_view* view);
  void PlanGang(const workflow::job& job, objective_status objective,
                const workflow::queue& queue, waiting_tasks& waiting,
                eligibility_view* view);
  planned_run PlanRun(const workflow::job& job, const workflow::queue& queue,
                      const workflow::task_id& task, std::uint32_t run_number,
                      const placement_option& option);
  double MaxReachableTasks(const workflow::queue& queue,
                           const usable_pool& pool, const core::resources& need,
                           const eligibility_view* view) const;
  void ReserveForGang(usable_pool& pool, std::vector<placement_option>& options,
                      const workflow::step& step, std::size_t tasks,
                      std::int32_t preempting_priority);
  void PreemptRuns(usable_worker& worker, std::int32_t priority);
  std::vector<placement_option> FindOptions(const workflow::step& step,
                                            usable_pool& pool,
                                            const waiting_tasks& waiting,
                                            const eligibility_view* view);
  void AddOption(std::vector<placement_option>& options,
                 usable_worker& candidate, const workflow::step& step,
                 const waiting_tasks& waiting, const ticket* ticket) const;
  placement_option* ChooseOption(std::vector<placement_option>& options,
                                 const core::resources& need, bool start_now);
  placement_option* ChooseIsolatedOption(std::vector<placement_option>& options,
                                         const core::resources& need) const;
  bool HasStartingRuns(const worker_monitor& monitor) const;
  bool IsStartingSuspect(worker_monitor& monitor) const;

  // eligibility_checks.cpp: calls to the eligibility service.
  void Prepare(const workflow::job_spec& spec, const workflow::queue& queue,
               const tenancy::terms& tenant);
  void DropEligibility(const std::string& job);
  void DropEligibility(worker_slot slot);
  bool IsValid(const ticket& ticket) const;
  usable_worker* FindUsable(worker_slot slot, const usable_pool& pool) const;
  double EligibleShare(const workflow::queue& queue) const;
  check_candidates FindCandidates(const workflow::queue& queue,
                                  const workflow::step& step,
                                  const waiting_tasks& waiting,
                                  const eligibility_view& view,
                                  usable_pool& pool, double expected_tasks);
  std::optional<check_candidate> MakeCandidate(const workflow::step& step,
                                               const waiting_tasks& waiting,
                                               usable_worker& worker,
                                               const core::resources& need,
                                               core::time_point cutoff) const;
  void CheckTasks(const workflow::queue& queue, const step_key& key,
                  const workflow::step& step, const waiting_tasks& waiting,
                  eligibility_view& view, usable_pool& pool);
  void CheckGang(const workflow::queue& queue, const step_key& key,
                 const workflow::step& step, const waiting_tasks& waiting,
                 gang_status gang, eligibility_view& view, usable_pool& pool);
  std::vector<check_candidate> FindUnknown(const workflow::step& step,
                                           const eligibility_view& view,
                                           usable_pool& pool) const;
  std::vector<check_candidate> FindExpiring(const workflow::queue& queue,
                                            std::size_t limit,
                                            const eligibility_view& view,
                                            const usable_pool& pool) const;
  void StartCheck(const workflow::queue& queue, const step_key& key,
                  const check_candidates& candidates, check_size size,
                  eligibility_view& view);
  void RecordAnswer(const workflow::queue& queue,
                    const std::vector<std::shared_ptr<worker_monitor>>& checked,
                    const std::vector<workflow::eligible_worker>& answer,
                    eligibility_view& view);
  void ReserveForCheck(const workflow::step& step, const eligibility_view& view,
                       std::size_t tasks, usable_pool& pool);
  void StartCalls(const workflow::queue& queue, const step_key& key,
                  const std::vector<check_candidate>& named,
                  eligibility_view& view);
  core::awaitable<void> RunEligibilityCall(
      workflow::queue queue, step_key key,
      std::vector<std::shared_ptr<worker_monitor>> checked);

  const dispatcher_settings settings;
  const core::term term;
  const boost::asio::any_io_executor executor;
  core::clock& clock;
  dispatch::event_log& event_log;
  worker_port& workers;
  eligibility_port& eligibility_service;
  dispatch_metrics stats;
  /// Since the last report.
  load_counts load;
  const core::time_point term_start;
  bool stopped = false;

  std::map<core::worker_id, std::shared_ptr<worker_monitor>> monitors;
  /// All tracked runs.
  placement_table placements;
  /// Needs of the tasks with a pending eligibility check in the current round,
  /// by tenant. Further checks are limited to what the cap leaves beside them.
  tenancy::usage_ledger checked_usage;
  /// Jobs of which a worker has confirmed a start that is not recorded yet.
  std::set<std::string> started_jobs;
  /// Jobs that are not final.
  std::set<std::string> active_jobs;
  /// Active jobs that may have unassigned tasks.
  std::map<std::string, waiting_job> waiting_jobs;
  core::time_point round_begin{};
  /// Workers of the current round, by pool.
  std::map<std::string, usable_pool> usable_pools;
  /// By slot; null if the worker can't accept tasks.
  std::vector<usable_worker*> usable_by_slot;
  std::vector<worker_slot> free_slots;
  /// Incarnations that this leader has come to know, also those that have
  /// ended.
  std::uint64_t incarnation_count = 0;
  std::map<step_key, eligibility_view> eligibility_by_step;
  std::map<step_key, std::map<core::worker_id, core::time_point>>
      failed_workers;
  /// Workers that were lost under runs of a step. Others are preferred: a
  /// worker may crash again and again for its own reasons.
  std::map<step_key, std::set<core::worker_id>> lost_workers;
  /// Share of the checked workers that were eligible, by queue.
  std::map<std::string, double> eligible_share;
  /// Run times of finished steps; a new leader learns anew.
  durations::estimator run_times;
  durations::accuracy_report accuracy;
  step_runs finished_runs;
  std::vector<planned_run> planned_runs;
  /// The runs of suspected tasks, each with those that have to start with it.
  std::vector<std::vector<planned_run>> planned_suspects;
  step_timeline timeline;
  hedge_budget hedges;
  proxy_budget proxies;
  /// Ended jobs, with the time after which their records are removed.
  std::vector<std::pair<core::time_point, std::string>> ended_jobs;
  core::event round_requested;
  /// Something has changed since the last round began.
  bool round_due = false;
};

template <class Result>
void dispatcher::impl::NoteOpenTries(
    const std::shared_ptr<worker_monitor>& monitor,
    std::shared_ptr<order_tries<Result>> tries,
    std::optional<workflow::run_id> started) {
  const core::time_point before =
      std::exchange(monitor->lost_answer_at, clock.Now());
  Spawn(AwaitLateAnswers(monitor, std::move(tries), std::move(started),
                         ++monitor->lost_answers, before));
}

template <class Result>
core::awaitable<void> dispatcher::impl::AwaitLateAnswers(
    std::shared_ptr<worker_monitor> monitor,
    std::shared_ptr<order_tries<Result>> tries,
    std::optional<workflow::run_id> started, std::uint64_t lost_answer,
    core::time_point lost_before) {
  const auto self = shared_from_this();
  const bool all_answered = co_await tries->Settle();
  if (!all_answered || stopped || monitor->removed) co_return;
  // Unless another one was lost since.
  if (monitor->lost_answers == lost_answer) {
    monitor->lost_answer_at = lost_before;
  }
  tracked_run* const tracked = started ? monitor->runs.Find(*started) : nullptr;
  if (tracked != nullptr) tracked->may_arrive = false;
}

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_DISPATCHER_IMPL_H_
