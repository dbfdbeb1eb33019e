#ifndef MANGOPLANK_CONTROL_LEADER_IMPL_H_
#define MANGOPLANK_CONTROL_LEADER_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "mangoplank/control/leader.h"

namespace mangoplank::control {

/// Longest wait of a task of the leader before it checks for work again.
inline constexpr core::milliseconds kLeaderTick{200};

/// State of the leader, shared by its tasks.
struct leader::impl : std::enable_shared_from_this<leader::impl> {
  impl(leader_settings initial_settings,
       boost::asio::any_io_executor io_executor, core::clock& time_source,
       machine& cell_machine, consensus::node& log_node,
       metrics::registry& registry)
      : settings(std::move(initial_settings)),
        executor(std::move(io_executor)),
        clock(time_source),
        state_machine(cell_machine),
        node(log_node),
        leases(settings.leases),
        slots(settings.slots),
        work_available(executor, clock),
        replies_available(executor, clock),
        tasks_placed(registry.Counter("mangoplank_tasks_placed_total",
                                      "Tasks assigned to workers.")),
        groups_refused(
            registry.Counter("mangoplank_placements_refused_total",
                             "Placement groups that no longer fitted.")),
        tasks_evicted(registry.Counter("mangoplank_tasks_evicted_total",
                                       "Tasks asked to stop to give room.")),
        leases_expired(
            registry.Counter("mangoplank_worker_leases_ended_total",
                             "Workers removed because their lease ended.")),
        announcements_received(
            registry.Counter("mangoplank_announcements_total",
                             "Announcements taken by this leader.")),
        placement_round_time(
            registry.Histogram("mangoplank_placement_round_seconds",
                               "Processor time of one placement round.")) {}

  bool IsLeaderWithLease() const { return is_leader && node.HoldsLease(); }

  void Rebuild();
  core::awaitable<void> PlacementLoop();
  core::awaitable<void> ProposeRound(const placement::round& round);
  core::awaitable<void> ProposePlacements(const placement::round& round);
  core::awaitable<void> ProposeEvictions(const placement::round& round);
  core::awaitable<void> LeaseLoop();
  core::awaitable<void> CompactionLoop();
  core::awaitable<void> PromotionLoop();
  cell::compact_records MakeCompaction() const;
  core::awaitable<void> ReplyLoop();

  bool Admit(const announcement& received_announcement,
             const std::shared_ptr<entry_sink>& sink,
             core::time_point received);
  core::awaitable<void> Register(announcement received_announcement,
                                 cell::register_worker registration,
                                 std::shared_ptr<entry_sink> sink,
                                 core::time_point received);
  core::awaitable<void> ProcessAdmitted(std::vector<announcement> admitted,
                                        std::shared_ptr<entry_sink> sink,
                                        core::time_point received);
  void DeferReply(announcement received_announcement,
                  const std::shared_ptr<entry_sink>& sink,
                  core::time_point received);
  announcement_reply MakeReply(const announcement& answered) const;

  core::awaitable<core::outcome<answer>> Handle(propose_request proposal);
  core::awaitable<core::outcome<answer>> Handle(list_request query);
  core::awaitable<core::outcome<answer>> Handle(explain_request query);
  core::awaitable<core::outcome<answer>> Handle(call_request query);
  core::awaitable<core::outcome<answer>> Handle(status_request query);

  struct deferred_reply {
    control::announcement announcement;
    std::shared_ptr<entry_sink> sink;
    core::time_point reply_deadline;
  };
  struct known_entry {
    control::hello hello;
    core::revision in_force = 0;
    core::time_point last_heard;
  };

  leader_settings settings;
  boost::asio::any_io_executor executor;
  core::clock& clock;
  machine& state_machine;
  consensus::node& node;
  membership::lease_table leases;
  calls::slot_allocator slots;
  core::event work_available;
  core::event replies_available;

  bool stopped = false;
  bool is_leader = false;
  core::term term = 0;
  /// Number of leadership changes; work that began in another epoch is dropped.
  std::uint64_t epoch = 0;
  std::optional<placement::scheduler> scheduler;
  bool has_new_changes = false;
  std::map<core::worker_id, deferred_reply> deferred_replies;
  std::multimap<core::time_point, core::worker_id> reply_deadlines;
  /// Workers whose tasks changed since the last pass over the replies.
  std::set<core::worker_id> changed_workers;
  std::map<core::member_id, known_entry> entries;

  metrics::counter& tasks_placed;
  metrics::counter& groups_refused;
  metrics::counter& tasks_evicted;
  metrics::counter& leases_expired;
  metrics::counter& announcements_received;
  metrics::histogram& placement_round_time;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_LEADER_IMPL_H_
