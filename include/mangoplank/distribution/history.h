#ifndef MANGOPLANK_DISTRIBUTION_HISTORY_H_
#define MANGOPLANK_DISTRIBUTION_HISTORY_H_

#include <deque>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/control/messages.h"

namespace mangoplank::distribution {

/// The last committed changes of a control process, bounded in bytes. A
/// follower that asks for older ones starts again from a full copy.
class history {
 public:
  /// @param max_bytes bound of the kept changes, by their estimated size.
  explicit history(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// Adds what the entry at `at` changed; `at` grows with each call.
  void Append(core::revision at, std::vector<cell::change> changes);
  /// Forgets all; the state was replaced by one of revision `at`.
  void Reset(core::revision at);

  core::revision At() const { return at_; }
  /// @return the revision after which all changes are kept.
  core::revision KeptAfter() const { return kept_after_; }

  /// @param from revision that the follower has.
  /// @return changes after `from` that belong to the topic, the last one of
  /// each object only; revision_compacted if they are not all kept.
  core::result<control::feed_batch> Read(
      const control::subscribe_request& follower, core::revision from) const;

 private:
  struct item {
    core::revision at = 0;
    std::size_t bytes = 0;
    std::vector<cell::change> changes;
  };

  std::size_t max_bytes_;
  std::size_t bytes_ = 0;
  core::revision at_ = 0;
  core::revision kept_after_ = 0;
  std::deque<item> items_;
};

/// @return all of the state that belongs to the topic, as a batch that resets
/// the follower.
control::feed_batch FullCopy(const cell::state& s,
                             const control::subscribe_request& follower);

}  // namespace mangoplank::distribution

#endif  // MANGOPLANK_DISTRIBUTION_HISTORY_H_
