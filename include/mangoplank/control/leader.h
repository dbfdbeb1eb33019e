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
  /// Longest time that an announcement waits for orders.
  core::milliseconds max_reply_delay{1'500};
  /// Shortest time between two placement rounds.
  core::milliseconds round_interval{50};
  /// Ended jobs, call records and request ids are kept this long.
  core::milliseconds retention{3'600'000};
  /// Most ended tasks that are kept; older ones go before their time. Bounds
  /// the memory of the state: 180 starts/s for an hour would leave 648,000, at
  /// 713 bytes each (docs/CAPACITY.md).
  std::size_t max_ended_tasks = 5'000;
  std::uint64_t seed = 1;
};

/// What only the leading control process does: places work, grants leases and
/// slots, and answers requests. Idle while another process leads.
class leader : public machine::observer {
 public:
  /// Where answers to an entry go. Kept by shared pointer, since replies are
  /// held back and the connection may end before.
  class entry_sink {
   public:
    virtual ~entry_sink() = default;
    /// Queues a message; drops it if the connection has ended.
    virtual void Post(message m) = 0;
  };

  leader(leader_settings settings, boost::asio::any_io_executor executor,
         core::clock& clock, machine& machine, consensus::node& node,
         metrics::registry& metrics);
  ~leader() override;

  /// Starts the tasks for placement, leases, replies and compaction.
  void Start();
  void Stop();

  /// Handles announcements that an entry passed on. Replies go to `sink`.
  core::awaitable<void> OnAnnouncements(announcement_batch batch,
                                        std::shared_ptr<entry_sink> sink);
  /// @return not_leader if another process leads.
  core::outcome<slot_grants> OnSlotReport(const hello& entry,
                                          const slot_report& r);
  /// Answers one request of an entry.
  core::awaitable<core::outcome<answer>> Answer(request r);
  /// Notes that an entry is connected here and what it has in force.
  void OnEntryHeartbeat(const hello& entry, core::revision in_force);

  void OnChanges(const std::vector<cell::change>& changes) override;
  void OnRestored() override;
  void OnLeadership(bool leads, core::term t) override;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_LEADER_H_
