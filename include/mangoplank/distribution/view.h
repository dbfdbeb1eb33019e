#ifndef MANGOPLANK_DISTRIBUTION_VIEW_H_
#define MANGOPLANK_DISTRIBUTION_VIEW_H_

#include <map>
#include <vector>

#include "mangoplank/control/messages.h"

/// The feed of committed changes, from control processes to entries.
namespace mangoplank::distribution {

/// An entry's copy of the committed state, updated by the feed. Must be used
/// from a single thread.
class view {
 public:
  /// Applies the next batch of the feed.
  void Apply(const control::feed_batch& batch, core::time_point now);

  /// Revision in force; 0 before the first batch.
  core::revision Revision() const { return revision_; }
  /// Time at which the last batch or progress mark arrived.
  core::time_point ConfirmedAt() const { return confirmed_at_; }

  /// @return nullptr if there is no such object.
  const cell::object* Find(const cell::object_key& key) const;
  const cell::worker_record* FindWorker(const core::worker_id& id) const;
  /// @return workers with a running replica of the service, except those that
  /// are draining.
  std::vector<const cell::worker_record*> FindWorkersOf(
      const cell::object_key& service) const;
  const std::map<cell::object_key, cell::object>& Objects() const {
    return objects_;
  }
  const std::map<core::worker_id, cell::worker_record>& Workers() const {
    return workers_;
  }
  const std::map<cell::task_id, cell::task_record>& Tasks() const {
    return tasks_;
  }

 private:
  void ApplyChange(const cell::change& change);

  core::revision revision_ = 0;
  core::time_point confirmed_at_{};
  std::map<cell::object_key, cell::object> objects_;
  std::map<core::worker_id, cell::worker_record> workers_;
  std::map<cell::task_id, cell::task_record> tasks_;
  std::map<cell::object_key, std::map<cell::task_id, core::worker_id>>
      replicas_;
};

}  // namespace mangoplank::distribution

#endif  // MANGOPLANK_DISTRIBUTION_VIEW_H_
