#ifndef MANGOPLANK_CALLS_SLOT_ALLOCATOR_H_
#define MANGOPLANK_CALLS_SLOT_ALLOCATOR_H_

#include <deque>
#include <map>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/control/messages.h"

namespace mangoplank::calls {

struct slot_settings {
  core::milliseconds lease{5'000};

  friend bool operator==(const slot_settings&, const slot_settings&) = default;
};

/// Divides the slots of workers among entries, at the leader. A slot is
/// granted to one entry at a time. A smaller grant set revokes it; it is free
/// again once the entry reports that it conforms to that set, or once the lease
/// of the last set with it has ended, including the maximum clock drift.
class slot_allocator {
 public:
  explicit slot_allocator(slot_settings settings) : settings_(settings) {}

  /// Called when this process becomes leader in `term`.
  void Reset(core::term term, core::time_point now);

  /// Processes an entry's report and computes its next grant set.
  control::slot_grants OnReport(const core::member_id& entry,
                                const core::region_id& region,
                                const control::slot_report& report,
                                const cell::state& state, core::time_point now);

  /// @return slots of the worker that are granted at `now`, to all entries.
  std::int64_t CountGranted(const core::worker_id& worker,
                            core::time_point now) const;

 private:
  using slot_counts = std::map<core::worker_id, std::int64_t>;
  struct grant_set {
    std::uint64_t sequence = 0;
    core::time_point lease_end;
    slot_counts slots;
  };
  struct entry_state {
    core::region_id region;
    std::map<cell::object_key, std::int64_t> demand;
    core::time_point last_heard;
    std::deque<grant_set> grant_sets;
    std::uint64_t last_sequence = 0;
  };

  core::duration LeaseWithDrift() const;
  void DropExpired(core::time_point now);
  void ReconcileGrants(entry_state& entry, const control::slot_report& report,
                       core::time_point now);
  slot_counts ComputeShares(const core::member_id& id,
                            const cell::state& state) const;
  std::int64_t CountHeldByOthers(const core::member_id& id,
                                 const core::worker_id& worker) const;
  static std::int64_t CountHeld(const entry_state& entry,
                                const core::worker_id& worker);

  slot_settings settings_;
  core::term term_ = 0;
  /// Until then, unreported grants of an earlier leader may be in force.
  core::time_point previous_leases_end_{};
  std::map<core::member_id, entry_state> entries_;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_SLOT_ALLOCATOR_H_
