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

/// Election state that must survive a restart.
struct hard_state {
  core::term term = 0;
  /// Empty if this member has not voted in this term.
  core::member_id vote;

  friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// State as of the entry at `revision`; replaces the entries up to it.
struct snapshot {
  core::revision revision = 0;
  core::term term = 0;
  membership members;
  std::shared_ptr<const std::string> data;
};

/// Content of a data folder when it is opened.
struct recovered_state {
  std::uint64_t disk_id = 0;
  consensus::hard_state hard_state;
  snapshot last_snapshot;
  /// Entries after the snapshot.
  std::vector<entry_ptr> entries;
};

/// Data made durable by one sync (group commit).
struct write_batch {
  std::optional<consensus::hard_state> hard_state;
  /// Entries in order. The first replaces all stored entries from its revision
  /// onward.
  std::vector<entry_ptr> entries;
  std::optional<snapshot> new_snapshot;
  /// The stored log does not continue the snapshot and is discarded.
  bool discard_log = false;
};

/// The data folder of a member: a header file, snapshot files, and numbered
/// segment files of the log. A segment is a sequence of checksummed frames. A
/// frame holds one batch and is written only after the previous frame was
/// synced, so only the last frame of the last segment can be torn. Used on the
/// disk thread only.
class store {
 public:
  static constexpr std::uint32_t kVersion = 1;

  store(disk& files, core::cell_id cell, core::member_id self);

  /// Creates a new folder.
  /// @return storage_failed::kOtherCell if the folder is in use.
  core::result<void> Create(std::uint64_t disk_id,
                            const std::vector<member>& members);
  /// @return whether the folder holds a header file.
  core::result<bool> Exists();
  /// Reads the folder, truncates a torn write at the end of the log, and makes
  /// durable what it returns.
  /// @return storage_failed with its kind if the folder can't be used.
  core::result<recovered_state> Open();
  /// Makes a batch durable.
  /// @return storage_failed::kFull if the disk has no room: nothing more may be
  /// written until a call with the same batch has succeeded. After any other
  /// failure the folder must be opened again.
  core::result<void> Write(const write_batch& batch);
  /// @return the data of the stored snapshot at `revision`.
  core::result<std::string> ReadSnapshot(core::revision revision);

 private:
  struct segment {
    std::uint64_t number = 0;
    /// Highest revision in the segment.
    core::revision last_revision = 0;
    /// Bytes of its whole frames.
    std::uint64_t size = 0;
  };
  struct segment_scan;

  core::result<std::uint64_t> ReadHeader();
  core::result<snapshot> ReadSnapshotFile(const std::string& name);
  core::result<void> ReadSnapshots(const std::vector<std::string>& names,
                                   recovered_state& out);
  core::result<void> ReadSegments(const std::vector<std::string>& names,
                                  recovered_state& out);
  core::result<void> ReadSegment(const std::string& name, bool is_last,
                                 segment_scan& progress);
  core::result<void> ApplyFrame(const std::string& name,
                                std::string_view payload,
                                segment_scan& progress);
  core::result<void> TruncateTail(const std::string& name, std::uint64_t from,
                                  std::uint64_t size);
  core::result<void> WriteSnapshot(const snapshot& written);
  /// Appends a frame, in place of what a call that failed has written of it.
  core::result<void> AppendFrame(const segment& target,
                                 const std::string& frame);
  core::result<void> RemoveObsoleteFiles(core::revision snapshot_revision,
                                         bool all_segments);

  disk& files_;
  core::cell_id cell_;
  core::member_id self_;
  std::vector<segment> segments_;
  std::vector<core::revision> snapshot_revisions_;
  hard_state hard_state_;
  /// The next frame discards stored entries that the last snapshot replaced.
  bool must_reset_ = false;
  /// The last segment may end with a part of a frame.
  bool has_partial_frame_ = false;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_STORE_H_
