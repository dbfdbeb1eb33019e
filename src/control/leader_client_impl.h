#ifndef MANGOPLANK_SRC_CONTROL_LEADER_CLIENT_IMPL_H_
#define MANGOPLANK_SRC_CONTROL_LEADER_CLIENT_IMPL_H_

#include <deque>
#include <map>
#include <random>

#include "mangoplank/control/leader_client.h"

namespace mangoplank::control {

/// A request that was sent and waits for its answer.
struct pending_request {
  pending_request(boost::asio::any_io_executor executor, core::clock& clock)
      : done(std::move(executor), clock) {}

  core::event done;
  std::optional<core::outcome<control::answer>> answer;
  /// The connection closed before an answer arrived.
  bool connection_lost = false;
};

/// The connection to one control process.
struct process_connection {
  control_process process;
  /// Null while there is none.
  std::shared_ptr<wire::connection> connection;
  std::map<std::uint64_t, std::shared_ptr<pending_request>> pending;
  /// Set by a shutdown notice: the process gets no new requests, and the
  /// connection is closed once the pending ones have ended.
  std::optional<core::time_point> reconnect_at;
};

/// State of one subscription to changes.
struct feed_state {
  feed_state(boost::asio::any_io_executor executor, core::clock& clock)
      : batch_arrived(std::move(executor), clock) {}

  control::topic topic = control::topic::kRouting;
  core::department_id department;
  /// Last received revision; a new subscription resumes after it.
  core::revision last_revision = 0;
  std::deque<feed_batch> inbox;
  /// Subscription id, and the index of the process that serves it.
  std::uint64_t id = 0;
  std::optional<std::size_t> source;
  /// The parts of a full copy that have arrived.
  std::optional<feed_batch> partial_copy;
  core::time_point last_received{};
  /// A process that was silent or behind is not used until `avoid_until`.
  std::optional<std::size_t> avoided_source;
  core::time_point avoid_until{};
  /// Earliest time of the next subscription.
  core::time_point subscribe_after{};
  core::event batch_arrived;
};

struct leader_client::impl : std::enable_shared_from_this<impl> {
  impl(leader_client_settings client_settings,
       const wire::connection_context& connection_context,
       std::uint64_t random_seed, leader_handlers message_handlers);

  using self_ptr = std::shared_ptr<impl>;

  // Connections.
  static core::awaitable<void> MaintainConnection(self_ptr self,
                                                  std::size_t index);
  static core::awaitable<void> FindLeader(self_ptr self);
  core::awaitable<bool> ReceiveUntilClosed(
      std::size_t index, std::shared_ptr<wire::connection> connection);
  void OnOpened(std::size_t index,
                std::shared_ptr<wire::connection> connection);
  void OnClosed(std::size_t index);
  void Dispatch(std::size_t index, message received);
  void OnAnswer(std::size_t index, numbered_answer received);
  void CloseIfDrained(std::size_t index);
  void OnShutdownNotice(std::size_t index, const shutdown_notice& notice);
  core::duration ReconnectDelay(std::size_t index, int failures);
  core::duration Jitter(core::duration limit);
  void ConfirmLeader(std::size_t index);
  bool IsUsable(std::size_t index) const;
  bool Post(std::size_t index, const message& outgoing);
  core::outcome<void> SendToLeader(const message& outgoing);
  core::time_point Now() const { return context.clock.Now(); }

  // Requests.
  struct request_progress;
  static core::awaitable<core::outcome<answer>> Request(
      self_ptr self, request body, core::time_point deadline);
  std::optional<std::size_t> PickTarget(request_progress& progress) const;
  core::awaitable<void> TryOnce(std::size_t target, const request& body,
                                request_progress& progress);
  std::optional<core::outcome<answer>> EvaluateTry(std::size_t target,
                                                   request_progress& progress);
  std::optional<core::outcome<answer>> EvaluateFailure(
      std::size_t target, const core::failure& failure,
      request_progress& progress);
  void ApplyLeaderHint(const core::not_leader& hint, std::size_t target,
                       request_progress& progress);

  // Feeds.
  static core::awaitable<core::outcome<feed_batch>> Next(
      self_ptr self, std::shared_ptr<feed_state> feed,
      core::time_point deadline);
  std::optional<std::size_t> PickSource(const feed_state& feed) const;
  void Subscribe(feed_state& feed);
  void Unsubscribe(feed_state& feed);
  void AvoidSource(feed_state& feed);
  void OnFeedBatch(std::size_t index, feed_batch batch);
  void Deliver(feed_state& feed, feed_batch batch);

  const leader_client_settings settings;
  const wire::connection_context context;
  const leader_handlers handlers;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<process_connection>> processes;
  std::vector<std::shared_ptr<feed_state>> feeds;
  /// Index of the process that is assumed to be the leader.
  std::optional<std::size_t> leader;
  /// Time of the last message that confirmed its leadership.
  core::time_point leader_confirmed_at{};
  std::uint64_t next_number = 1;
  core::revision in_force = 0;
  bool stopped = false;
  /// Notified when a connection is opened or closed.
  core::event connections_changed;
  core::event stop_requested;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_SRC_CONTROL_LEADER_CLIENT_IMPL_H_
