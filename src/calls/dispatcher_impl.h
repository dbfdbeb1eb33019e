#ifndef MANGOPLANK_CALLS_DISPATCHER_IMPL_H_
#define MANGOPLANK_CALLS_DISPATCHER_IMPL_H_

#include <array>
#include <random>

#include "calls/estimate.h"
#include "calls/slot_table.h"
#include "calls/wait_queue.h"
#include "mangoplank/calls/dispatcher.h"

namespace mangoplank::calls {

/// @return the key under which a once-call is recorded.
cell::call_key KeyOf(const call& c);

/// State of the dispatcher. Its tasks share it, so that one which ends after
/// the dispatcher was destroyed finds it.
struct dispatcher::impl : std::enable_shared_from_this<dispatcher::impl> {
  using self_ptr = std::shared_ptr<impl>;
  template <class T>
  using awaitable = core::awaitable<T>;

  /// A slot that a call holds.
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

  /// A worker of a service.
  struct route {
    worker_target target;
    bool own_region = true;
    friend bool operator==(const route&, const route&) = default;
  };
  struct service_routes {
    core::revision at = 0;
    std::vector<route> routes;
  };
  /// How fast the calls of a service leave the queue.
  struct queue_rate {
    /// Time between two calls that leave while others wait.
    duration_estimate interval;
    core::time_point measured_at{};
    core::time_point last_left{};
  };
  struct service_state {
    /// Calls in flight and waiting.
    std::int64_t wanted = 0;
    /// Seconds of slots that the calls since the last report need.
    double work = 0;
    double smoothed = 0;
    /// The same of quick calls only.
    double quick_work = 0;
    double quick_smoothed = 0;
    /// Slots wanted, as last reported.
    double reported = 0;
    core::time_point last_call{};
    /// Of quick and of bulk calls.
    std::array<queue_rate, 2> rates;
    std::map<std::string, duration_estimate> run_time;
  };

  /// Attempts of one idempotent call; the first conclusive answer ends it.
  struct race {
    race(boost::asio::any_io_executor executor, core::clock& clock)
        : changed(std::move(executor), clock) {}
    core::event changed;
    int running = 0;
    bool sent = false;
    std::set<worker_key> tried;
    std::optional<call_end> end;
    end_reason last_fault = end_reason::kConnection;
  };

  /// A once-call in progress; later requests of the same key join it.
  struct flight {
    flight(boost::asio::any_io_executor executor, core::clock& clock)
        : ended(std::move(executor), clock) {}
    core::event ended;
    std::string operation;
    std::string digest;
    /// The intent was, or is being, recorded.
    bool intended = false;
    /// The key is known to belong to this operation and digest.
    bool bound = false;
    /// The caller has gone before any intent.
    bool abandoned = false;
    std::optional<call_end> end;
  };

  impl(dispatcher_settings s, boost::asio::any_io_executor e, core::clock& c,
       const distribution::view& v, control::client& ctl, worker_transport& t,
       metrics::registry& m, core::member_id id, core::incarnation inc,
       core::region_id r, std::uint64_t seed);

  // Routing (routing.cpp).
  const std::vector<route>& RoutesOf(const cell::object_key& service);
  std::optional<worker_target> Pick(const slot_wish& w);
  bool BulkMayRun(const cell::object_key& service,
                  const std::vector<route>& routes);
  /// @return time until a slot, judging by the calls ahead and the measured
  /// rate; zero if nothing was measured.
  core::duration ExpectedWait(const slot_wish& w);
  core::duration ExpectedRun(const slot_wish& w);
  /// @return why a call can't be taken into the queue.
  std::optional<end_reason> RefuseEarly(const slot_wish& w);
  std::optional<slot> TryAcquire(const slot_wish& w);
  /// Waits for a slot until the wish's deadline.
  /// @return no slot and w->refused otherwise.
  static awaitable<std::optional<slot>> Acquire(self_ptr self,
                                                std::shared_ptr<slot_wish> w);
  bool HasGrant(const cell::object_key& service);
  bool ServeWish(slot_wish& w);
  /// Gives free slots to waiting calls.
  void Pump();
  void RefuseWaiting(end_reason why);

  // Exchanges (routing.cpp).
  static awaitable<worker_reply> Exchange(self_ptr self, worker_target to,
                                          worker_request r,
                                          core::time_point deadline);
  /// Feeds a run's result to the limits and estimates.
  void Note(const worker_target& to, const worker_request& r,
            const worker_reply& reply, core::duration took);

  // Idempotent calls (dispatcher.cpp).
  static awaitable<call_end> Run(self_ptr self, call c);
  static awaitable<call_end> RunIdempotent(self_ptr self, call c, bool bulk);
  /// Runs one attempt beside the caller.
  static void StartAttempt(self_ptr self, std::shared_ptr<race> r, slot s,
                           const call& c);
  static awaitable<void> Attempt(self_ptr self, std::shared_ptr<race> r, slot s,
                                 worker_request request);
  /// Waits until the race has an end, has no attempt left, or `until`.
  static awaitable<void> WaitForRace(self_ptr self, std::shared_ptr<race> r,
                                     core::time_point until);
  std::shared_ptr<slot_wish> Wish(const call& c, bool once, bool bulk);
  /// @return why the call can't be accepted at all.
  std::optional<end_reason> Check(const call& c);
  call_end Refusal(end_reason why);
  core::duration Backoff(int tries);
  std::string NextId();
  /// Counts a call that was accepted, for the demand.
  void Arrived(const call& c, bool bulk);
  void Left(const call& c);
  static void Smooth(service_state& s, core::duration since_report);
  void CountEnd(const call_end& end, bool once, bool bulk, core::duration took);

  // Once-calls (once_call.cpp).
  static awaitable<call_end> RunOnce(self_ptr self, call c, bool bulk);
  /// Checks a refusal against the record: the refused request may be a resend
  /// of one that ran, and its caller must not book again under another key.
  /// @return `end`, the recorded outcome, or unknown if the record can't be
  /// read.
  static awaitable<call_end> ConfirmNotRun(self_ptr self, cell::call_key key,
                                           call_end end);
  /// Carries a once-call to its end, whether or not its caller still waits.
  static awaitable<void> Fly(self_ptr self, std::shared_ptr<flight> f, call c,
                             bool bulk);
  /// @return the end, or nothing if a new intent may be tried.
  static awaitable<std::optional<call_end>> TryOnce(
      self_ptr self, std::shared_ptr<flight> f, call c,
      std::shared_ptr<slot_wish> wish);
  /// Ends a call that was recorded earlier.
  static awaitable<std::optional<call_end>> MeetRecord(
      self_ptr self, std::shared_ptr<flight> f, call c,
      cell::call_record record);
  /// Sends a call whose intent was just recorded.
  static awaitable<cell::call_outcome> Send(self_ptr self,
                                            cell::call_record record, call c,
                                            slot s);
  /// Asks a worker, which may have started the call, how it ended.
  /// @param c the call, if this entry may send it again.
  static awaitable<cell::call_outcome> Pursue(self_ptr self,
                                              cell::call_record record,
                                              std::optional<call> c,
                                              core::time_point deadline);
  static awaitable<std::optional<cell::call_outcome>> AskWorker(
      self_ptr self, cell::call_record record, std::optional<call> c,
      bool may_give_up);
  static awaitable<core::outcome<cell::accepted>> Propose(
      self_ptr self, cell::command_body body, core::time_point deadline);
  static awaitable<std::optional<cell::call_record>> RecordIntent(
      self_ptr self, cell::record_intent intent, core::time_point deadline,
      bool* is_new);
  /// Records an outcome until it is accepted or `deadline` passes.
  /// @return the outcome that stands; outcome_unknown if none was accepted.
  static awaitable<cell::call_outcome> RecordOutcome(self_ptr self,
                                                     cell::call_record record,
                                                     cell::call_outcome outcome,
                                                     core::time_point deadline);
  static awaitable<core::outcome<std::optional<cell::call_record>>> ReadRecord(
      self_ptr self, cell::call_key key, core::time_point deadline);
  static awaitable<core::outcome<call_end>> Resolve(self_ptr self,
                                                    cell::call_key key,
                                                    core::time_point deadline);
  static awaitable<void> FlyResolve(self_ptr self, std::shared_ptr<flight> f,
                                    cell::call_record record);
  std::shared_ptr<flight> TakeOff(const cell::call_key& key,
                                  std::string operation, std::string digest);
  void Land(const cell::call_key& key, const std::shared_ptr<flight>& f,
            call_end end);
  /// Waits until the flight has ended or `deadline`.
  static awaitable<void> WaitForFlight(self_ptr self, std::shared_ptr<flight> f,
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
  std::map<cell::call_key, std::shared_ptr<flight>> flights;
  attempt_budget retries;
  attempt_budget hedges;
  core::time_point last_quick{};
  /// When the last reports were sent, by number.
  std::map<std::uint64_t, core::time_point> reports;
  std::uint64_t next_report = 1;
  core::time_point last_report{};
  std::uint64_t next_number = 1;
  /// Calls accepted and not ended, and once-calls whose outcome is sought.
  std::int64_t active = 0;
  core::event idle;
  core::event needs_report;
  bool cut_off = false;
  bool draining = false;
  bool pumping = false;

  metrics::counter& retries_total;
  metrics::counter& hedges_total;
  metrics::counter& cross_region_out;
  metrics::counter& cross_region_in;
  metrics::gauge& waiting_gauge;
  /// By ending, and by class: quick, bulk, once.
  std::array<metrics::counter*, 4> ended_total{};
  std::array<metrics::histogram*, 3> call_seconds{};
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_DISPATCHER_IMPL_H_
