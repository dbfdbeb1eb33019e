#ifndef MANGOPLANK_SRC_DISPATCH_DISPATCHER_IMPL_H_
#define MANGOPLANK_SRC_DISPATCH_DISPATCHER_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "dispatch/meters.h"
#include "mangoplank/dispatch/dispatcher.h"

namespace mangoplank::dispatch {

/// A run on its way to a worker or there.
struct followed_run {
  core::resources need;
  core::time_point followed_from;
  /// Set once the worker has confirmed the start or a stop, or if an earlier
  /// leader recorded the run: the looks that were sent before. A later look
  /// that does not list the run shows that it is not there.
  std::optional<std::uint64_t> settled_after;
  bool stopping = false;
  /// Of the job's queue.
  std::int32_t priority = 0;
  /// Can be stopped without a loss of work.
  bool resumable = false;
  int percent = 0;
  std::string checkpoint;
};

/// @return the room that a task of the step takes of a worker.
core::resources NeedOf(const workflow::step& s);

/// @return how many tasks of this need fit into the room, at most `most`.
std::size_t Fits(const core::resources& room, const core::resources& need,
                 std::size_t most);

/// What the leader knows of one life of a worker.
struct agent {
  agent(workflow::worker w, const boost::asio::any_io_executor& e,
        core::clock& c)
      : about(std::move(w)), wake(e, c) {}

  workflow::worker about;
  bool gone = false;
  /// A look under our term was answered: orders of earlier leaders are refused
  /// from then on, and all runs there are known.
  bool synced = false;
  std::uint64_t recorded_ends = 0;
  std::uint64_t told_ends = 0;
  std::uint64_t looks_sent = 0;
  std::uint64_t reports = 0;
  /// The last look had no answer.
  bool unanswered = false;
  /// The worker's clock when it was last read.
  std::optional<std::int64_t> clock_ms;
  core::time_point clock_at;
  /// The lease has surely ended after this time.
  core::time_point lease_end;
  core::time_point heard;
  /// No new tasks until then.
  core::time_point avoid_until{};
  /// Jobs of which runs failed here since the last one succeeded.
  std::set<std::string> failed_jobs;
  std::map<workflow::run_id, followed_run> runs;
  core::event wake;
};

/// One step of one occurrence of a job.
struct step_key {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend auto operator<=>(const step_key&, const step_key&) = default;
};

struct ticket {
  std::string text;
  core::time_point expires;
};

/// What is known about who may run a step.
struct eligibility_view {
  bool asking = false;
  core::time_point ask_after{};
  /// Workers whose tickets are being renewed.
  std::vector<core::worker_id> renewed;
  std::set<core::worker_id> refused;
  std::map<core::worker_id, ticket> tickets;
};

/// Whether a job can still meet the objective of its queue.
enum class outlook : std::uint8_t { kOnTime, kLate, kUseless };

/// Place of a job among those that wait.
struct job_rank {
  outlook view = outlook::kOnTime;
  std::int32_t priority = 0;
  core::wall_time_ms accepted_at = 0;
  std::string id;

  friend auto operator<=>(const job_rank&, const job_rank&) = default;
};

/// A worker that may take tasks, and its room in the present round: less what
/// was given to jobs of a higher rank, or is kept for them.
struct usable_worker {
  std::shared_ptr<agent> a;
  /// Room at the start of the round.
  core::resources free;
  core::resources room;
  /// What runs take that are being stopped.
  core::resources leaving;
};

/// A worker for the tasks of one step.
struct placing_option {
  usable_worker* where = nullptr;
  /// Null if none is needed.
  const ticket* admission = nullptr;
  /// Tasks of the step that it may still take.
  std::uint32_t most = 0;
  /// It stands in the rack that holds the data.
  bool near = false;
  bool has_ticket = false;
};

/// How near a gang is to its start.
struct gang_outlook {
  /// It keeps room and will start as soon as there is enough.
  bool keeps_room = false;
  /// Tasks that would fit now on workers known to be eligible.
  std::size_t fitting = 0;
};

/// Tasks of one step without a place.
struct waiting_tasks {
  std::vector<std::uint32_t> indexes;
  /// Highest run number of any task of the step.
  std::uint32_t last_run = 0;
  std::map<core::worker_id, std::uint32_t> placed;
  /// Workers on which tasks of the step have failed.
  std::set<core::worker_id> failed_on;
};

/// A run that a round has decided to start.
struct planned_run {
  std::shared_ptr<agent> where;
  workflow::run_id run;
  std::string ticket;
};

struct dispatcher::impl : std::enable_shared_from_this<dispatcher::impl> {
  impl(dispatcher_settings s, core::term t, boost::asio::any_io_executor e,
       core::clock& c, journal& l, worker_port& w, eligibility_port& p,
       metrics::registry& r);

  // dispatcher.cpp: start, end and changes of the state.
  void Start();
  void Stop();
  void Spawn(core::awaitable<void> task);
  void Wake();
  void OnEvent(const workflow::event& e);
  void OnHeard(const workflow::worker_key& key, std::int64_t clock_ms);
  void SyncWorkers();
  void AdoptRuns();
  void InheritRun(const core::worker_id& id, const workflow::run_id& run,
                  const followed_run& r);
  void AddWorker(const workflow::worker& w);
  void TrackJob(const workflow::job& j);
  void OnRunEnded(const workflow::run_ended& e);
  void NoteEnd(agent& a, const workflow::run_id& run, workflow::run_end how);
  void StopGang(const workflow::run_id& member, std::uint32_t count);
  void OnJobFinal(const workflow::job& j);
  core::awaitable<void> ForgetLoop();

  // agent.cpp: orders to one worker and what it reports.
  core::awaitable<void> Watch(std::shared_ptr<agent> a);
  core::awaitable<bool> Look(std::shared_ptr<agent> a, core::milliseconds wait);
  core::awaitable<bool> OnReport(std::shared_ptr<agent> a, std::uint64_t look,
                                 bool overtaken, worker_report r);
  std::vector<workflow::event> MissingRuns(const agent& a, std::uint64_t look,
                                           const worker_report& r) const;
  core::awaitable<void> StartRun(planned_run p);
  void NoteStart(const workflow::run_id& run, const agent& a);
  core::awaitable<void> Settle(std::shared_ptr<agent> a, workflow::run_id run);
  core::awaitable<void> StopRun(std::shared_ptr<agent> a, workflow::run_id run);
  core::awaitable<void> EndRun(workflow::run_id run, workflow::run_end how);
  worker_target TargetOf(const agent& a) const;
  core::awaitable<void> RemoveWorker(std::shared_ptr<agent> a,
                                     std::string reason);
  std::optional<std::int64_t> LeaseUntil(agent& a);
  void ReadClock(agent& a, std::int64_t clock_ms);
  std::int64_t LeastClock(const agent& a, core::time_point at) const;
  bool IsOtherClock(const agent& a, std::int64_t clock_ms) const;

  // planner.cpp: which waiting task goes where.
  core::awaitable<void> PlanLoop();
  void PlanRound();
  void BeginRound();
  job_rank RankOf(const workflow::job& j) const;
  double ExpectedMs(const workflow::queue& q, const workflow::step& s) const;
  void NoteRunTime(const workflow::run_id& run, const followed_run& r);
  bool PlanJob(const workflow::job& j, outlook view);
  bool PlanStep(const workflow::job& j, outlook view, const workflow::queue& q,
                std::uint32_t occurrence, std::uint32_t step);
  void KeepRoom(std::vector<placing_option>& options, const workflow::step& s,
                std::size_t tasks, std::optional<std::int32_t> preempts);
  void Preempt(usable_worker& w, std::int32_t priority);
  bool IsDue(const workflow::job& j, std::uint32_t occurrence) const;
  waiting_tasks WaitingTasks(const workflow::job& j, std::uint32_t occurrence,
                             std::uint32_t step) const;
  std::vector<placing_option> OptionsFor(const workflow::step& s,
                                         const workflow::queue& q,
                                         const waiting_tasks& waiting,
                                         const eligibility_view* view);
  void AddOption(std::vector<placing_option>& options, usable_worker& w,
                 const workflow::step& s, const waiting_tasks& waiting,
                 const ticket* t) const;
  bool MayStartNow(const usable_worker& w, const workflow::step& s,
                   const ticket* t) const;
  placing_option* BestOption(std::vector<placing_option>& options,
                             const workflow::step& s, bool now);
  core::awaitable<void> Commit(std::vector<planned_run> runs);
  core::resources Free(const agent& a) const;
  bool IsAt(const workflow::run_id& run, const agent& a) const;

  // inquiry.cpp: calls to the eligibility service.
  void Prepare(const workflow::job_spec& spec, const workflow::queue& q);
  void ForgetEligibility(const std::string& job);
  void ForgetEligibility(const core::worker_id& worker);
  bool IsValid(const ticket& t) const;
  core::milliseconds AskCost(const workflow::queue& q, std::size_t n) const;
  void Inquire(const workflow::queue& q, const step_key& key,
               const workflow::step& s, const waiting_tasks& waiting,
               gang_outlook gang, eligibility_view& view);
  void KeepAskedRoom(const workflow::step& s, const eligibility_view& view,
                     std::size_t tasks);
  core::awaitable<void> Ask(workflow::queue q, step_key key,
                            std::vector<core::worker_id> asked);

  const dispatcher_settings settings;
  const core::term term;
  const boost::asio::any_io_executor executor;
  core::clock& clock;
  journal& log;
  worker_port& workers;
  eligibility_port& eligibility;
  meters metered;
  const core::time_point began;
  bool stopped = false;

  std::map<core::worker_id, std::shared_ptr<agent>> agents;
  /// Where each followed run is.
  std::map<workflow::run_id, std::shared_ptr<agent>> places;
  /// Jobs that are not final.
  std::set<std::string> active;
  /// Those of them that may have tasks without a place.
  std::set<std::string> waiting_jobs;
  /// Workers of the present round, by pool.
  std::map<std::string, std::vector<usable_worker>> usable;
  std::unordered_map<core::worker_id, usable_worker*> usable_by_id;
  /// Pools of which a gang keeps room in the present round.
  std::set<std::string> waiting_gangs;
  std::map<step_key, eligibility_view> eligible;
  std::map<step_key, std::set<core::worker_id>> failed_on;
  /// Mean run time of the tasks that succeeded, by queue, in milliseconds.
  std::map<std::string, double> mean_run_ms;
  std::vector<planned_run> planned;
  /// Ended jobs in the order in which their records are dropped.
  std::vector<std::pair<core::time_point, std::string>> ended_jobs;
  core::event work;
  /// Something has changed since the last round began.
  bool round_due = false;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_DISPATCHER_IMPL_H_
