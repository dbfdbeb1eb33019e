#ifndef MANGOPLANK_CONTROL_LEADER_IMPL_H_
#define MANGOPLANK_CONTROL_LEADER_IMPL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>

#include "mangoplank/control/leader.h"

namespace mangoplank::control {

/// Longest wait of a task of the leader before it looks at its work again.
inline constexpr core::milliseconds kLeaderTick{200};

/// State of the leader, shared by its tasks.
struct leader::impl : std::enable_shared_from_this<leader::impl> {
  impl(leader_settings s, boost::asio::any_io_executor e, core::clock& c,
       machine& m, consensus::node& n, metrics::registry& r)
      : settings(std::move(s)),
        executor(std::move(e)),
        clock(c),
        replicated(m),
        node(n),
        leases(settings.leases),
        slots(settings.slots),
        work(executor, clock),
        replies(executor, clock),
        placed(r.Counter("mangoplank_tasks_placed_total",
                         "Tasks assigned to workers.")),
        refused(r.Counter("mangoplank_placements_refused_total",
                          "Placement groups that no longer fitted.")),
        evicted(r.Counter("mangoplank_tasks_evicted_total",
                          "Tasks asked to stop to give room.")),
        expired(r.Counter("mangoplank_worker_leases_ended_total",
                          "Workers removed because their lease ended.")),
        announced(r.Counter("mangoplank_announcements_total",
                            "Announcements taken by this leader.")),
        decide_time(r.Histogram("mangoplank_placement_round_seconds",
                                "Processor time of one placement round.")) {}

  bool Leads() const { return leads && node.HoldsLease(); }

  void Rebuild();
  core::awaitable<void> PlacementLoop();
  core::awaitable<void> Commit(const placement::round& round);
  core::awaitable<void> Assign(const placement::round& round);
  core::awaitable<void> Evict(const placement::round& round);
  core::awaitable<void> LeaseLoop();
  core::awaitable<void> CompactionLoop();
  core::awaitable<void> PromotionLoop();
  cell::compact_records Compaction() const;
  core::awaitable<void> ReplyLoop();

  bool Admit(const announcement& a, const std::shared_ptr<entry_sink>& sink,
             core::time_point received);
  core::awaitable<void> Register(announcement a, cell::register_worker r,
                                 std::shared_ptr<entry_sink> sink,
                                 core::time_point received);
  core::awaitable<void> Take(std::vector<announcement> admitted,
                             std::shared_ptr<entry_sink> sink,
                             core::time_point received);
  void HoldBack(announcement a, const std::shared_ptr<entry_sink>& sink,
                core::time_point received);
  announcement_reply ReplyTo(const announcement& a) const;

  core::awaitable<core::outcome<answer>> Handle(propose_request r);
  core::awaitable<core::outcome<answer>> Handle(list_request r);
  core::awaitable<core::outcome<answer>> Handle(explain_request r);
  core::awaitable<core::outcome<answer>> Handle(call_request r);
  core::awaitable<core::outcome<answer>> Handle(status_request r);

  struct pending {
    announcement a;
    std::shared_ptr<entry_sink> sink;
    core::time_point due;
  };
  struct known_entry {
    hello h;
    core::revision in_force = 0;
    core::time_point heard;
  };

  leader_settings settings;
  boost::asio::any_io_executor executor;
  core::clock& clock;
  machine& replicated;
  consensus::node& node;
  membership::lease_table leases;
  calls::slot_allocator slots;
  core::event work;
  core::event replies;

  bool stopped = false;
  bool leads = false;
  core::term term = 0;
  /// Counts changes of leadership; work begun under another one is dropped.
  std::uint64_t epoch = 0;
  std::optional<placement::scheduler> scheduler;
  bool work_waits = false;
  std::map<core::worker_id, pending> held;
  std::multimap<core::time_point, core::worker_id> due;
  /// Workers whose tasks changed since the replies were last looked at.
  std::set<core::worker_id> touched;
  std::map<core::member_id, known_entry> entries;

  metrics::counter& placed;
  metrics::counter& refused;
  metrics::counter& evicted;
  metrics::counter& expired;
  metrics::counter& announced;
  metrics::histogram& decide_time;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_LEADER_IMPL_H_
