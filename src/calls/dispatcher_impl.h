#ifndef MANGOPLANK_CALLS_DISPATCHER_IMPL_H_
#define MANGOPLANK_CALLS_DISPATCHER_IMPL_H_

#include <array>
#include <random>

#include "calls/estimate.h"
#include "calls/slot_table.h"
#include "calls/wait_queue.h"
#include "mangoplank/calls/dispatcher.h"

namespace mangoplank::calls {

/// @return the key of the record of an at-most-once call.
cell::call_key KeyOf(const call& c);

/// State of the dispatcher. Its tasks share ownership, since a task may end
/// after the dispatcher was destroyed.
struct dispatcher::impl : std::enable_shared_from_this<dispatcher::impl> {
  using self_ptr = std::shared_ptr<impl>;
  template <class T>
  using awaitable = core::awaitable<T>;

  /// Holds a slot for a call and releases it on destruction.
  class slot {
   public:
    slot(self_ptr self, worker_target target, bool bulk);
    slot(slot&&) = default;
    slot& operator=(slot&& other) noexcept;
    ~slot();
    const worker_target& Target() const { return target_; }
    bool IsCovered() const;

   private:
    self_ptr self_;
    worker_target target_;
    bool bulk_;
  };

  /// A worker that runs a service.
  struct route {
    worker_target target;
    bool own_region = true;
    friend bool operator==(const route&, const route&) = default;
  };
  struct service_routes {
    core::revision revision = 0;
    std::vector<route> routes;
  };
  /// Rate at which the calls of a service leave the queue.
  struct queue_rate {
    /// Time between two departures while calls are queued.
    duration_estimate interval;
    core::time_point measured_at{};
    core::time_point last_departure{};
  };
  struct service_state {
    /// Calls in flight or queued.
    std::int64_t outstanding = 0;
    /// Estimated run time of the calls that arrived since the last report.
    double work_seconds = 0;
    double smoothed_slots = 0;
    /// The same for quick calls only.
    double quick_work_seconds = 0;
    double smoothed_quick_slots = 0;
    /// Demand as last reported.
    double reported_slots = 0;
    core::time_point last_arrival{};
    /// For quick and for bulk calls.
    std::array<queue_rate, 2> rates;
    std::map<std::string, duration_estimate> run_times;
  };

  /// Concurrent attempts of one idempotent call; the first answer ends it.
  struct attempt_group {
    attempt_group(boost::asio::any_io_executor executor, core::clock& clock)
        : changed(std::move(executor), clock) {}
    core::event changed;
    int running_attempts = 0;
    bool any_sent = false;
    std::set<worker_key> tried;
    std::optional<call_end> end;
    end_reason last_fault = end_reason::kConnection;
  };

  /// An at-most-once call in progress; later requests with its key join it.
  struct pending_call {
    pending_call(boost::asio::any_io_executor executor, core::clock& clock)
        : ended(std::move(executor), clock) {}
    core::event ended;
    std::string operation;
    std::string digest;
    /// The intent was proposed to control; it may have been recorded.
    bool intent_proposed = false;
    /// The record binds the key to this operation and digest.
    bool key_bound = false;
    /// Last intent if its worker provably did not start the call; else 0.
    core::revision refused_intent_id = 0;
    /// The caller stopped waiting before an intent was proposed.
    bool abandoned = false;
    std::optional<call_end> end;
  };

  impl(dispatcher_settings options, boost::asio::any_io_executor task_executor,
       core::clock& time_source, const distribution::view& cell_view,
       control::client& control_client, worker_transport& worker_channel,
       metrics::registry& registry, core::member_id id,
       core::incarnation own_incarnation, core::region_id own_region,
       std::uint64_t seed);

  // Routing (routing.cpp).
  const std::vector<route>& RoutesOf(const cell::object_key& service);
  std::optional<worker_target> PickWorker(const slot_request& request);
  bool CanRunBulk(const cell::object_key& service,
                  const std::vector<route>& routes);
  /// @return expected time until a slot is free, from the calls ahead and the
  /// measured rate; zero without a recent measurement.
  core::duration EstimateWait(const slot_request& request);
  core::duration EstimateRunTime(const slot_request& request);
  /// @return why the request is not admitted to the queue, if so.
  std::optional<end_reason> CheckAdmission(const slot_request& request);
  std::optional<slot> TryAcquire(const slot_request& request);
  /// Waits for a slot until the deadline of the request.
  /// @return no slot if refused; then request->refusal_reason is set.
  static awaitable<std::optional<slot>> Acquire(
      self_ptr self, std::shared_ptr<slot_request> request);
  bool HasGrant(const cell::object_key& service);
  bool ServeRequest(slot_request& request);
  /// Assigns free slots to queued requests.
  void ServeWaiting();
  void RefuseWaiting(end_reason reason);

  // Exchanges (routing.cpp).
  static awaitable<worker_reply> Exchange(self_ptr self, worker_target to,
                                          worker_request request,
                                          core::time_point deadline);
  /// Updates the limits and run-time estimates with the reply to a run.
  void ObserveReply(const worker_target& to, const worker_request& request,
                    const worker_reply& reply, core::duration took);

  // Idempotent calls (dispatcher.cpp).
  static awaitable<call_end> Run(self_ptr self, call c);
  static awaitable<call_end> RunIdempotent(self_ptr self, call c, bool bulk);
  /// Starts one attempt in its own task.
  static void StartAttempt(self_ptr self, std::shared_ptr<attempt_group> group,
                           slot s, const call& c);
  static awaitable<void> RunAttempt(self_ptr self,
                                    std::shared_ptr<attempt_group> group,
                                    slot s, worker_request request);
  /// Waits until the call has ended, no attempt is running, or `until`.
  static awaitable<void> WaitForAttempts(self_ptr self,
                                         std::shared_ptr<attempt_group> group,
                                         core::time_point until);
  std::shared_ptr<slot_request> MakeSlotRequest(const call& c,
                                                bool at_most_once, bool bulk);
  /// @return why the call can't be accepted, if so.
  std::optional<end_reason> Validate(const call& c);
  call_end MakeRefusal(end_reason reason);
  core::duration ComputeBackoff(int attempt);
  std::string MakeRequestId();
  /// Adds an accepted call to the demand.
  void CountArrival(const call& c, bool bulk);
  void CountDeparture(const call& c);
  static void UpdateDemand(service_state& state, core::duration since_report);
  void CountEnd(const call_end& end, bool at_most_once, bool bulk,
                core::duration took);

  // At-most-once calls (at_most_once_call.cpp).
  static awaitable<call_end> RunAtMostOnce(self_ptr self, call c, bool bulk);
  /// Records a refusal as the outcome of its key before the caller receives
  /// it. The refused request may be a resend of one that ran, or of one that
  /// is still in transit and must not run later.
  /// @return `end`, the outcome that was recorded before, or outcome_unknown
  /// if the record could not be read.
  static awaitable<call_end> ConfirmNotRun(self_ptr self, call c, call_end end);
  /// Records not_run for a call that its worker refused and that no other
  /// worker can run.
  static awaitable<call_end> RecordNotRun(self_ptr self,
                                          std::shared_ptr<pending_call> pending,
                                          call c, call_end end);
  /// Runs an at-most-once call to its end, even if its caller stops waiting.
  static awaitable<void> RunPending(self_ptr self,
                                    std::shared_ptr<pending_call> pending,
                                    call c, bool bulk);
  /// @return the end, or nothing if the call may be retried with a new intent.
  static awaitable<std::optional<call_end>> TryIntent(
      self_ptr self, std::shared_ptr<pending_call> pending, call c,
      std::shared_ptr<slot_request> request);
  /// Determines the end of a call whose intent was recorded earlier.
  static awaitable<std::optional<call_end>> FinishRecorded(
      self_ptr self, std::shared_ptr<pending_call> pending, call c,
      cell::call_record record);
  /// Sends a call whose intent was recorded by this attempt.
  static awaitable<cell::call_outcome> Send(self_ptr self,
                                            cell::call_record record, call c,
                                            slot s);
  /// Polls a worker that may have started the call for its outcome.
  /// @param c the call, if this entry may resend it.
  static awaitable<cell::call_outcome> PollOutcome(self_ptr self,
                                                   cell::call_record record,
                                                   std::optional<call> c,
                                                   core::time_point deadline);
  static awaitable<std::optional<cell::call_outcome>> QueryWorker(
      self_ptr self, cell::call_record record, std::optional<call> c,
      bool may_cancel);
  static awaitable<core::outcome<cell::accepted>> Propose(
      self_ptr self, cell::command_body body, core::time_point deadline);
  static awaitable<std::optional<cell::call_record>> RecordIntent(
      self_ptr self, cell::record_intent intent, core::time_point deadline,
      bool* is_new);
  /// Retries to record an outcome until it is accepted or `deadline` passes.
  /// @return the outcome in the record; outcome_unknown if none was accepted.
  static awaitable<cell::call_outcome> RecordOutcome(self_ptr self,
                                                     cell::call_record record,
                                                     cell::call_outcome outcome,
                                                     core::time_point deadline);
  static awaitable<core::outcome<std::optional<cell::call_record>>> ReadRecord(
      self_ptr self, cell::call_key key, core::time_point deadline);
  static awaitable<core::outcome<call_end>> Resolve(self_ptr self,
                                                    cell::call_key key,
                                                    core::time_point deadline);
  static awaitable<void> ResolvePending(self_ptr self,
                                        std::shared_ptr<pending_call> pending,
                                        cell::call_record record);
  std::shared_ptr<pending_call> AddPending(const cell::call_key& key,
                                           std::string operation,
                                           std::string digest);
  void EndPending(const cell::call_key& key,
                  const std::shared_ptr<pending_call>& pending, call_end end);
  /// Waits until the call has ended, or until `deadline`.
  static awaitable<void> WaitForPending(self_ptr self,
                                        std::shared_ptr<pending_call> pending,
                                        core::time_point deadline);

  dispatcher_settings settings;
  boost::asio::any_io_executor executor;
  core::clock& clock;
  const distribution::view& view;
  control::client& control;
  worker_transport& transport;
  metrics::registry& metrics;
  core::member_id self_id;
  core::incarnation incarnation;
  core::region_id region;
  std::mt19937_64 random;

  slot_table slots;
  wait_queue queue;
  std::map<cell::object_key, service_routes> routes;
  std::map<cell::object_key, service_state> services;
  std::map<cell::call_key, std::shared_ptr<pending_call>> pending_calls;
  attempt_budget retry_budget;
  attempt_budget hedge_budget;
  core::time_point last_quick_arrival{};
  /// Send times of the last reports, by report number.
  std::map<std::uint64_t, core::time_point> report_times;
  std::uint64_t next_report_number = 1;
  core::time_point last_report_at{};
  std::uint64_t next_number = 1;
  /// Accepted calls that have not ended, and pending at-most-once calls.
  std::int64_t active_calls = 0;
  core::event idle;
  core::event report_needed;
  bool cut_off = false;
  bool draining = false;
  bool is_serving = false;

  metrics::counter& retries_total;
  metrics::counter& hedges_total;
  metrics::counter& cross_region_out;
  metrics::counter& cross_region_in;
  metrics::gauge& waiting_gauge;
  /// Indexed by ending, and by class: quick, bulk, at-most-once.
  std::array<metrics::counter*, 4> ended_total{};
  std::array<metrics::histogram*, 3> call_seconds{};
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_DISPATCHER_IMPL_H_
