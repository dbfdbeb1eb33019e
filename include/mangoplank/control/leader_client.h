#ifndef MANGOPLANK_CONTROL_LEADER_CLIENT_H_
#define MANGOPLANK_CONTROL_LEADER_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "mangoplank/control/client.h"
#include "mangoplank/wire/connection.h"

namespace mangoplank::control {

/// A control process as listed in the settings of an entry.
struct control_process {
  core::member_id id;
  core::endpoint address;
  bool other_region = false;

  friend bool operator==(const control_process&,
                         const control_process&) = default;
};

struct leader_client_settings {
  /// Own region first; feeds come from the first that can be reached.
  std::vector<control_process> processes;
  hello self;
  /// Bounds of the delay before a reconnect.
  core::milliseconds min_backoff{100};
  core::milliseconds max_backoff{2000};
  /// Upper bound of the reconnect delay in a shutdown notice.
  core::milliseconds max_reconnect_after{60'000};
  /// Time after which a request without an answer is resent, if it may be.
  core::milliseconds attempt_timeout{2000};
  /// Delay before a retry after an answer that no leader is known.
  core::milliseconds retry_delay{50};
  /// A feed without a batch for this time is moved to another process.
  core::milliseconds feed_timeout{1500};
  /// The leader is searched for if nothing arrived from it for this time.
  core::milliseconds leader_check_interval{1000};
};

/// Handlers of unsolicited messages of the leader. Called on the executor.
struct leader_handlers {
  std::function<void(reply_batch)> replies;
  std::function<void(slot_grants)> grants;
};

/// Connections of an entry to all control processes, with one task each. Used
/// from one thread.
class leader_client : public client {
 public:
  /// @param random_seed of the jitter, which differs between entries.
  leader_client(leader_client_settings settings,
                const wire::connection_context& context,
                std::uint64_t random_seed, leader_handlers handlers);
  leader_client(const leader_client&) = delete;
  leader_client& operator=(const leader_client&) = delete;
  ~leader_client() override;

  /// Opens the connections.
  void Start();
  /// Closes the connections. Pending requests and feeds end with shutting_down,
  /// or with commit_unknown.
  void Stop();

  std::unique_ptr<feed> Subscribe(topic feed_topic,
                                  const core::department_id& department,
                                  core::revision from) override;
  core::awaitable<core::outcome<answer>> Request(
      request body, core::time_point deadline) override;

  /// Sends to the leader without waiting for an answer.
  /// @return unavailable if no leader is known or its connection is closed.
  core::outcome<void> Send(announcement_batch batch);
  /// As above.
  core::outcome<void> Send(slot_report report);

  /// Sets the revision that heartbeats report as in force.
  void SetInForce(core::revision revision);
  /// @return the leader, if it is known and connected.
  std::optional<core::member_id> Leader() const;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_LEADER_CLIENT_H_
