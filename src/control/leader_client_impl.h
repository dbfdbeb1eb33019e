#ifndef MANGOPLANK_SRC_CONTROL_LEADER_CLIENT_IMPL_H_
#define MANGOPLANK_SRC_CONTROL_LEADER_CLIENT_IMPL_H_

#include <deque>
#include <map>
#include <random>

#include "mangoplank/control/leader_client.h"

namespace mangoplank::control {

/// A request that was sent and waits for its answer.
struct pending_request {
  pending_request(boost::asio::any_io_executor e, core::clock& c)
      : done(std::move(e), c) {}

  core::event done;
  std::optional<core::outcome<answer>> a;
  /// The connection ended before an answer came.
  bool lost = false;
};

/// The connection to one control process.
struct process_link {
  control_process who;
  /// Null while there is none.
  std::shared_ptr<wire::connection> link;
  std::map<std::uint64_t, std::shared_ptr<pending_request>> pending;
  /// Set by a goodbye: no new request goes there, and the connection is closed
  /// once the pending ones have ended.
  std::optional<core::time_point> reconnect_at;
};

/// A follower of changes.
struct feed_state {
  feed_state(boost::asio::any_io_executor e, core::clock& c)
      : arrived(std::move(e), c) {}

  topic t = topic::kRouting;
  core::department_id department;
  /// Last revision that was received; where a new subscription goes on.
  core::revision last = 0;
  std::deque<feed_batch> inbox;
  /// Subscription and the process it is at, by index.
  std::uint64_t id = 0;
  std::optional<std::size_t> source;
  /// A full copy of which parts have come.
  std::optional<feed_batch> copy;
  core::time_point heard{};
  /// A process that was silent or behind is not used until then.
  std::optional<std::size_t> avoid;
  core::time_point avoid_until{};
  /// No subscription is made earlier.
  core::time_point not_before{};
  core::event arrived;
};

struct leader_client::impl : std::enable_shared_from_this<impl> {
  impl(leader_client_settings s, const wire::connection_context& c,
       std::uint64_t seed, leader_handlers h);

  using self_ptr = std::shared_ptr<impl>;

  // Connections.
  static core::awaitable<void> Keep(self_ptr self, std::size_t index);
  static core::awaitable<void> FindLeader(self_ptr self);
  core::awaitable<bool> Talk(std::size_t index,
                             std::shared_ptr<wire::connection> link);
  void Opened(std::size_t index, std::shared_ptr<wire::connection> link);
  void Lost(std::size_t index);
  void Dispatch(std::size_t index, message m);
  void Answered(std::size_t index, numbered_answer a);
  void CloseIfLeft(std::size_t index);
  void Leaving(std::size_t index, const shutdown_notice& g);
  core::duration Pause(std::size_t index, int failures);
  core::duration Jitter(core::duration d);
  void Confirm(std::size_t index);
  bool Usable(std::size_t index) const;
  bool Post(std::size_t index, const message& m);
  core::outcome<void> SendToLeader(const message& m);
  core::time_point Now() const { return context.clock.Now(); }

  // Requests.
  struct attempt;
  static core::awaitable<core::outcome<answer>> Request(
      self_ptr self, request r, core::time_point deadline);
  std::optional<std::size_t> Pick(attempt& a) const;
  core::awaitable<void> Try(std::size_t target, const request& r, attempt& a);
  std::optional<core::outcome<answer>> Judge(std::size_t target, attempt& a);
  std::optional<core::outcome<answer>> JudgeFailure(std::size_t target,
                                                    const core::failure& f,
                                                    attempt& a);
  void TakeHint(const core::not_leader& f, std::size_t target, attempt& a);

  // Feeds.
  static core::awaitable<core::outcome<feed_batch>> Next(
      self_ptr self, std::shared_ptr<feed_state> f, core::time_point deadline);
  std::optional<std::size_t> BestSource(const feed_state& f) const;
  void Subscribe(feed_state& f);
  void Unsubscribe(feed_state& f);
  void Avoid(feed_state& f);
  void Received(std::size_t index, feed_batch batch);
  void Deliver(feed_state& f, feed_batch batch);

  const leader_client_settings settings;
  const wire::connection_context context;
  const leader_handlers handlers;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<process_link>> processes;
  std::vector<std::shared_ptr<feed_state>> feeds;
  /// The process that is believed to lead, by index.
  std::optional<std::size_t> leader;
  /// When it last showed that it leads.
  core::time_point confirmed{};
  std::uint64_t next_number = 1;
  core::revision in_force = 0;
  bool stopped = false;
  /// A connection was opened or lost.
  core::event changed;
  core::event stop;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_SRC_CONTROL_LEADER_CLIENT_IMPL_H_
