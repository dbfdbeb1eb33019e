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
/// granted to one entry at a time: a grant is withdrawn by a smaller set, and
/// is free again when the entry reports that it keeps to that set, or when the
/// lease of the last set that held it has certainly ended.
class slot_allocator {
 public:
  explicit slot_allocator(slot_settings settings) : settings_(settings) {}

  /// Called when this process becomes leader in term `t`.
  void Reset(core::term t, core::time_point now);

  /// Takes an entry's report and decides its next set of grants.
  control::slot_grants Report(const core::member_id& entry,
                              const core::region_id& region,
                              const control::slot_report& report,
                              const cell::state& s, core::time_point now);

  /// @return slots of the worker that are granted now, to all entries.
  std::int64_t Granted(const core::worker_id& id, core::time_point now) const;

 private:
  using counts = std::map<core::worker_id, std::int64_t>;
  struct grant_set {
    std::uint64_t sequence = 0;
    core::time_point end;
    counts slots;
  };
  struct entry {
    core::region_id region;
    std::map<cell::object_key, std::int64_t> demand;
    core::time_point heard;
    std::deque<grant_set> sets;
    std::uint64_t last_sequence = 0;
  };

  core::duration WholeLease() const;
  void DropEnded(core::time_point now);
  void Adopt(entry& e, const control::slot_report& report,
             core::time_point now);
  counts Wanted(const core::member_id& id, const cell::state& s) const;
  std::int64_t HeldByOthers(const core::member_id& id,
                            const core::worker_id& worker) const;
  static std::int64_t HeldBy(const entry& e, const core::worker_id& worker);

  slot_settings settings_;
  core::term term_ = 0;
  /// Until then an earlier leader's grants may hold that were not reported.
  core::time_point settled_at_{};
  std::map<core::member_id, entry> entries_;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_SLOT_ALLOCATOR_H_
