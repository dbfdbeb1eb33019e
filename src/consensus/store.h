#ifndef MANGOPLANK_SRC_CONSENSUS_STORE_H_
#define MANGOPLANK_SRC_CONSENSUS_STORE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangoplank/consensus/interfaces.h"

namespace mangoplank::consensus {

/// Entries are shared between the log, the disk thread and the peers.
using entry_ptr = std::shared_ptr<const log_entry>;

/// What a member must remember of elections.
struct hard_state {
  core::term t = 0;
  /// Empty if no vote was given in this term.
  core::member_id vote;

  friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// State after the entry at `at`, of which earlier entries are not needed.
struct snapshot {
  core::revision at = 0;
  core::term at_term = 0;
  membership members;
  std::shared_ptr<const std::string> data;
};

/// Content of a data folder at the start.
struct recovered {
  std::uint64_t disk = 0;
  hard_state hard;
  snapshot last_snapshot;
  /// Entries after the snapshot.
  std::vector<entry_ptr> entries;
};

/// What one sync makes durable.
struct write_batch {
  std::optional<hard_state> hard;
  /// Entries in order; the first one replaces all stored entries from its
  /// revision on.
  std::vector<entry_ptr> entries;
  std::optional<snapshot> new_snapshot;
  /// The stored log does not continue the snapshot and is dropped.
  bool discard_log = false;
};

/// The data folder of a member: a header file, snapshot files, and numbered
/// segment files of the log. A segment is a sequence of checksummed frames. A
/// frame holds one batch and is written only after the one before it was
/// synced, so only the last frame of the last segment can be torn. Used on the
/// disk thread only.
class store {
 public:
  static constexpr std::uint32_t kVersion = 1;

  store(disk& files, core::cell_id cell, core::member_id self);

  /// Makes a new folder.
  /// @return storage_failed::kOtherCell if the folder is in use.
  core::result<void> Create(std::uint64_t disk_id,
                            const std::vector<member>& members);
  /// @return whether the folder holds a header file.
  core::result<bool> Exists();
  /// Reads the folder and cuts a torn tail.
  /// @return storage_failed with its kind if the folder can't be used.
  core::result<recovered> Open();
  /// Makes a batch durable.
  core::result<void> Write(const write_batch& batch);
  /// @return the data of the current snapshot if it is the one at `at`.
  core::result<std::string> ReadSnapshot(core::revision at);

 private:
  struct segment {
    std::uint64_t number = 0;
    /// Highest revision in the segment.
    core::revision last = 0;
  };
  struct scan;

  core::result<std::uint64_t> ReadHeader();
  core::result<snapshot> ReadSnapshotFile(const std::string& name);
  core::result<void> ReadSnapshots(const std::vector<std::string>& names,
                                   recovered& out);
  core::result<void> ReadSegments(const std::vector<std::string>& names,
                                  recovered& out);
  core::result<void> ReadSegment(const std::string& name, bool last, scan& s);
  core::result<void> ApplyFrame(const std::string& name,
                                std::string_view payload, scan& s);
  core::result<void> CutTail(const std::string& name, std::uint64_t from,
                             std::uint64_t size);
  core::result<void> WriteSnapshot(const snapshot& s);
  core::result<void> RemoveOld(core::revision snapshot_at, bool all_segments);

  disk& files_;
  core::cell_id cell_;
  core::member_id self_;
  std::vector<segment> segments_;
  std::vector<core::revision> snapshots_;
  hard_state hard_;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_STORE_H_
