#ifndef MANGOPLANK_CALLS_SLOT_TABLE_H_
#define MANGOPLANK_CALLS_SLOT_TABLE_H_

#include <map>

#include "mangoplank/control/messages.h"

namespace mangoplank::calls {

/// Identifies a worker process by name and incarnation.
struct worker_key {
  core::worker_id worker;
  core::incarnation incarnation = 0;

  friend bool operator==(const worker_key&, const worker_key&) = default;
  friend auto operator<=>(const worker_key&, const worker_key&) = default;
};

/// Slots of one worker that this entry uses.
struct slot_use {
  std::int64_t granted = 0;
  std::int64_t in_flight = 0;
  std::int64_t bulk_in_flight = 0;
  /// Adaptive limit on calls in flight, at most max(`granted`, 1).
  double limit = 1;
  int consecutive_faults = 0;
  /// Until then, other workers are preferred.
  core::time_point avoid_until{};

  std::int64_t CountFree() const {
    return std::min(granted, static_cast<std::int64_t>(limit)) - in_flight;
  }
  friend bool operator==(const slot_use&, const slot_use&) = default;
};

/// Slots granted by the leader and the calls that hold them.
class slot_table {
 public:
  /// Grants of one answer of the leader, under one lease.
  struct grant_set {
    core::term term = 0;
    std::uint64_t sequence = 0;
    core::time_point lease_end{};
    std::vector<control::slot_grant> grants;
  };

  /// Replaces the grants unless `set` is older than the current set.
  /// @param report_sent when the report that `set` answers was sent; the lease
  /// starts then.
  /// @return whether the grants were replaced.
  bool ApplyGrants(const control::slot_grants& set,
                   core::time_point report_sent);
  /// @return nullptr if no slot of the worker is granted at `now`.
  const slot_use* Find(const worker_key& worker, core::time_point now) const;
  void Acquire(const worker_key& worker, bool bulk);
  void Release(const worker_key& worker, bool bulk);
  /// @return whether the grants still cover all slots in use of the worker.
  bool IsCovered(const worker_key& worker, core::time_point now) const;
  /// The worker answered: raises its limit by 1/limit, one per round of calls.
  void OnAnswer(const worker_key& worker);
  /// The worker refused or did not answer: lowers its limit and avoids it.
  void OnRefusal(const worker_key& worker, core::time_point now);
  /// @return the newest grant set that the calls in flight do not exceed.
  const grant_set& ConformingGrants();

 private:
  grant_set newest_;
  grant_set conforming_;
  std::map<worker_key, slot_use> workers_;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_SLOT_TABLE_H_
