#ifndef MANGOPLANK_DISTRIBUTION_HISTORY_H_
#define MANGOPLANK_DISTRIBUTION_HISTORY_H_

#include <deque>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/control/messages.h"

namespace mangoplank::distribution {

/// The latest committed changes at a control process, bounded in bytes. A
/// subscriber that needs older ones starts again from a full copy.
class history {
 public:
  /// @param max_bytes bound of the estimated size of the kept changes.
  explicit history(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Adds the changes of the log entry at `revision`, which must increase.
  void Append(core::revision revision, std::vector<cell::change> changes);
  /// Discards all changes, as the state was replaced by one at `revision`.
  void Reset(core::revision revision);

  core::revision Revision() const { return revision_; }
  /// @return the last compacted revision; the changes of later ones are kept.
  core::revision CompactedRevision() const { return compacted_revision_; }

  /// @param from revision that the subscriber has.
  /// @return changes after `from` that belong to the topic, only the last one
  /// of each object; revision_compacted if they are not all kept.
  core::result<control::feed_batch> Read(
      const control::subscribe_request& subscription,
      core::revision from) const;

 private:
  struct entry {
    core::revision revision = 0;
    std::size_t bytes = 0;
    std::vector<cell::change> changes;
  };

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  core::revision revision_ = 0;
  core::revision compacted_revision_ = 0;
  std::deque<entry> entries_;
};

/// @return the part of the state that belongs to the topic, as a batch that
/// resets the subscriber.
control::feed_batch BuildFullCopy(
    const cell::state& state, const control::subscribe_request& subscription);

}  // namespace mangoplank::distribution

#endif  // MANGOPLANK_DISTRIBUTION_HISTORY_H_
