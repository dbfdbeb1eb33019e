#ifndef MANGOPLANK_MEMBERSHIP_LEASE_TABLE_H_
#define MANGOPLANK_MEMBERSHIP_LEASE_TABLE_H_

#include <map>
#include <variant>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/control/messages.h"

namespace mangoplank::membership {

struct lease_settings {
  /// Time for which a worker may go on after an announcement it sent.
  core::milliseconds lease{10'000};
  /// Added before the leader counts a lease as ended, beside the drift.
  core::milliseconds margin{1'000};

  friend bool operator==(const lease_settings&,
                         const lease_settings&) = default;
};

/// Clocks of two VMs differ in rate by less than this, in percent.
inline constexpr int kMaxClockDriftPercent = 5;

/// The worker is registered as it says; its lease may be renewed.
struct admitted {
  friend bool operator==(const admitted&, const admitted&) = default;
};
/// The worker must be registered first.
struct needs_registration {
  cell::register_worker command;
  friend bool operator==(const needs_registration&,
                         const needs_registration&) = default;
};
/// A newer incarnation uses the name.
struct superseded {
  friend bool operator==(const superseded&, const superseded&) = default;
};
/// Another VM uses the name and its lease has not ended.
struct name_in_use {
  core::milliseconds retry_after{0};
  friend bool operator==(const name_in_use&, const name_in_use&) = default;
};
using admission =
    std::variant<admitted, needs_registration, superseded, name_in_use>;

/// Leases of all workers, kept by the leader. Announcements renew them; none of
/// it is replicated, so a new leader first grants each worker a whole lease.
class lease_table {
 public:
  explicit lease_table(lease_settings settings) : settings_(settings) {}

  /// Called when this process becomes leader.
  void Reset(const cell::state& s, core::time_point now);

  /// Decides what an announcement needs before its lease is renewed.
  admission Admit(const cell::state& s, const control::announcement& a,
                  core::time_point now) const;

  /// Renews a lease from an announcement that was admitted.
  /// @param received when the announcement came, not before it was sent.
  void Renew(const control::announcement& a, core::time_point received);

  /// @return workers whose lease has certainly ended at the worker.
  std::vector<cell::remove_worker> Expired(const cell::state& s,
                                           core::time_point now) const;

  core::milliseconds Lease() const { return settings_.lease; }

 private:
  struct lease {
    core::incarnation incarnation = 0;
    core::time_point end;
  };
  core::duration WholeLease() const;

  lease_settings settings_;
  std::map<core::worker_id, lease> leases_;
};

/// @return what the worker must be told, from its last word and the committed
/// state; the same until the worker's word changes.
std::vector<control::order> OrdersFor(const cell::state& s,
                                      const control::announcement& a);

/// @return what the announcement tells beyond the committed state.
std::vector<cell::task_report> NewReports(const cell::state& s,
                                          const control::announcement& a);

}  // namespace mangoplank::membership

#endif  // MANGOPLANK_MEMBERSHIP_LEASE_TABLE_H_
