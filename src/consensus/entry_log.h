#ifndef MANGOPLANK_SRC_CONSENSUS_ENTRY_LOG_H_
#define MANGOPLANK_SRC_CONSENSUS_ENTRY_LOG_H_

#include <deque>
#include <vector>

#include "consensus/store.h"

namespace mangoplank::consensus {

/// The part of the log that is in memory.
class entry_log {
 public:
  /// Revision before the first entry in memory.
  core::revision BaseRevision() const { return base_revision_; }
  core::revision LastRevision() const {
    return base_revision_ + entries_.size();
  }
  core::term LastTerm() const { return TermAt(LastRevision()); }
  std::uint64_t Bytes() const { return bytes_; }

  /// @pre BaseRevision() <= revision <= LastRevision()
  core::term TermAt(core::revision revision) const {
    return revision == base_revision_ ? base_term_ : At(revision)->term;
  }
  /// @pre BaseRevision() < revision <= LastRevision()
  const entry_ptr& At(core::revision revision) const {
    return entries_[revision - base_revision_ - 1];
  }

  void Append(entry_ptr entry) {
    bytes_ += Size(*entry);
    entries_.push_back(std::move(entry));
  }
  /// Drops the entries after `revision`.
  void TruncateAfter(core::revision revision) {
    while (LastRevision() > revision) {
      bytes_ -= Size(*entries_.back());
      entries_.pop_back();
    }
  }
  /// Drops the entries up to and including `revision`.
  void CompactUpTo(core::revision revision) {
    while (base_revision_ < revision && !entries_.empty()) {
      base_revision_ = entries_.front()->revision;
      base_term_ = entries_.front()->term;
      bytes_ -= Size(*entries_.front());
      entries_.pop_front();
    }
  }
  /// Drops all entries; the next one appended follows `revision`.
  void Reset(core::revision revision, core::term term) {
    entries_.clear();
    bytes_ = 0;
    base_revision_ = revision;
    base_term_ = term;
  }

  /// Memory used by an entry besides its data.
  static constexpr std::uint64_t kEntryOverheadBytes = 32;
  /// @return the size of an entry as counted against limits.
  static std::uint64_t Size(const log_entry& entry) {
    return entry.data.size() + kEntryOverheadBytes;
  }

 private:
  std::deque<entry_ptr> entries_;
  core::revision base_revision_ = 0;
  core::term base_term_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_ENTRY_LOG_H_
