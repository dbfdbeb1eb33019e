#ifndef MANGOPLANK_MEMBERSHIP_LEASE_TABLE_H_
#define MANGOPLANK_MEMBERSHIP_LEASE_TABLE_H_

#include <map>
#include <variant>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/control/messages.h"

namespace mangoplank::membership {

struct lease_settings {
  /// Time that a worker may continue after sending an announcement.
  core::milliseconds lease{10'000};
  /// Added, besides the clock drift, before the leader ends a lease.
  core::milliseconds margin{1'000};

  friend bool operator==(const lease_settings&,
                         const lease_settings&) = default;
};

/// The clock rates of two VMs differ by less than this.
inline constexpr int kMaxClockDriftPercent = 5;

/// The worker is registered as announced; its lease may be renewed.
struct admitted {
  friend bool operator==(const admitted&, const admitted&) = default;
};
/// The worker must be registered first.
struct needs_registration {
  cell::register_worker command;
  friend bool operator==(const needs_registration&,
                         const needs_registration&) = default;
};
/// A newer incarnation of the worker is registered.
struct superseded {
  friend bool operator==(const superseded&, const superseded&) = default;
};
/// A worker on another VM uses the name, and its lease has not ended.
struct name_in_use {
  core::milliseconds retry_after{0};
  friend bool operator==(const name_in_use&, const name_in_use&) = default;
};
/// A later announcement of the same incarnation was received before; this one
/// says nothing of the worker's present tasks.
struct overtaken {
  friend bool operator==(const overtaken&, const overtaken&) = default;
};
/// The worker was removed with its lease. It returns under a later incarnation.
struct lease_ended {
  friend bool operator==(const lease_ended&, const lease_ended&) = default;
};
using admission = std::variant<admitted, needs_registration, superseded,
                               name_in_use, overtaken, lease_ended>;

/// Leases of all workers, held by the leader and renewed by announcements. They
/// are not replicated, so a new leader first grants each worker a full lease.
class lease_table {
 public:
  explicit lease_table(lease_settings settings) : settings_(settings) {}

  /// Called when this process becomes leader.
  void Reset(const cell::state& state, core::time_point now);

  /// Decides whether an announcement may renew its lease.
  admission Admit(const cell::state& state,
                  const control::announcement& announcement,
                  core::time_point now) const;

  /// Renews a lease for an admitted announcement.
  /// @param received time of receipt, not before the announcement was sent.
  void Renew(const control::announcement& announcement,
             core::time_point received);

  /// @return workers whose lease has provably ended by the worker's own clock.
  std::vector<cell::remove_worker> FindExpired(const cell::state& state,
                                               core::time_point now) const;

  core::milliseconds Lease() const { return settings_.lease; }

 private:
  struct lease {
    core::incarnation incarnation = 0;
    core::time_point end;
    /// Of the newest announcement of the incarnation; 0 if none was received.
    std::uint64_t sequence = 0;
  };
  core::duration FullLease() const;

  lease_settings settings_;
  std::map<core::worker_id, lease> leases_;
};

/// @return the orders for a worker, from its last announcement and the
/// committed state. They are repeated until the announcement changes.
std::vector<control::order> OrdersFor(
    const cell::state& state, const control::announcement& announcement);

/// @return announced task phases that differ from the committed state.
std::vector<cell::task_report> NewReports(
    const cell::state& state, const control::announcement& announcement);

}  // namespace mangoplank::membership

#endif  // MANGOPLANK_MEMBERSHIP_LEASE_TABLE_H_
