#ifndef MANGOPLANK_CONTROL_LEADER_H_
#define MANGOPLANK_CONTROL_LEADER_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "mangoplank/calls/slot_allocator.h"
#include "mangoplank/control/machine.h"
#include "mangoplank/control/messages.h"
#include "mangoplank/membership/lease_table.h"
#include "mangoplank/metrics/registry.h"
#include "mangoplank/placement/scheduler.h"

namespace mangoplank::control {

struct leader_settings {
  membership::lease_settings leases;
  calls::slot_settings slots;
  placement::policy policy;
  /// Longest time that the reply to an announcement is held back for orders.
  core::milliseconds max_reply_delay{1'500};
  /// Minimum interval between placement rounds.
  core::milliseconds round_interval{50};
  /// Time for which ended jobs, call records and request ids are kept.
  core::milliseconds retention{3'600'000};
  /// Limit of ended tasks that are kept; beyond it the oldest are removed
  /// early. Bounds the memory of the state: 180 starts/s for an hour would
  /// leave 648,000 tasks of 713 bytes each (docs/CAPACITY.md).
  std::size_t max_ended_tasks = 5'000;
  std::uint64_t seed = 1;
};

/// The duties of the leader: places tasks, grants leases and slots, and answers
/// requests. Idle while another process is the leader.
class leader : public machine::observer {
 public:
  /// Receives the replies for one entry. Held by shared pointer, since replies
  /// are deferred and the connection may close before they are sent.
  class entry_sink {
   public:
    virtual ~entry_sink() = default;
    /// Queues a message; drops it if the connection is closed.
    virtual void Post(message outgoing) = 0;
  };

  leader(leader_settings settings, boost::asio::any_io_executor executor,
         core::clock& clock, machine& machine, consensus::node& node,
         metrics::registry& metrics);
  ~leader() override;

  /// Starts the tasks for placement, leases, replies and compaction.
  void Start();
  void Stop();

  /// Handles announcements that an entry forwarded. Replies go to `sink`.
  core::awaitable<void> OnAnnouncements(announcement_batch batch,
                                        std::shared_ptr<entry_sink> sink);
  /// @return the grants, or not_leader if another process is the leader.
  core::outcome<slot_grants> OnSlotReport(const hello& entry,
                                          const slot_report& report);
  /// Answers one request of an entry.
  core::awaitable<core::outcome<answer>> Answer(request body);
  /// Records that an entry is connected here and its revision in force.
  void OnEntryHeartbeat(const hello& entry, core::revision in_force);

  void OnChanges(const std::vector<cell::change>& changes) override;
  void OnRestored() override;
  void OnLeadershipChange(bool leads, core::term t) override;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_LEADER_H_
