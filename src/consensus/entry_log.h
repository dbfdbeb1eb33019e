#ifndef MANGOPLANK_SRC_CONSENSUS_ENTRY_LOG_H_
#define MANGOPLANK_SRC_CONSENSUS_ENTRY_LOG_H_

#include <deque>
#include <vector>

#include "consensus/store.h"

namespace mangoplank::consensus {

/// The kept part of the log in memory.
class entry_log {
 public:
  /// Revision and term before the first kept entry.
  core::revision BaseAt() const { return base_at_; }
  core::revision LastAt() const { return base_at_ + entries_.size(); }
  core::term LastTerm() const { return TermAt(LastAt()); }
  std::uint64_t Bytes() const { return bytes_; }

  /// @pre BaseAt() <= at <= LastAt()
  core::term TermAt(core::revision at) const {
    return at == base_at_ ? base_term_ : At(at)->t;
  }
  /// @pre BaseAt() < at <= LastAt()
  const entry_ptr& At(core::revision at) const {
    return entries_[at - base_at_ - 1];
  }

  void Append(entry_ptr e) {
    bytes_ += Size(*e);
    entries_.push_back(std::move(e));
  }
  /// Drops the entries after `at`.
  void CutAfter(core::revision at) {
    while (LastAt() > at) {
      bytes_ -= Size(*entries_.back());
      entries_.pop_back();
    }
  }
  /// Drops the entries up to `at`.
  void CutUpTo(core::revision at) {
    while (base_at_ < at && !entries_.empty()) {
      base_at_ = entries_.front()->at;
      base_term_ = entries_.front()->t;
      bytes_ -= Size(*entries_.front());
      entries_.pop_front();
    }
  }
  /// Forgets all; the next entry is the one after `at`.
  void Reset(core::revision at, core::term t) {
    entries_.clear();
    bytes_ = 0;
    base_at_ = at;
    base_term_ = t;
  }

  /// Memory that an entry takes beside its data.
  static constexpr std::uint64_t kEntryBytes = 32;
  /// Bytes that an entry is counted with.
  static std::uint64_t Size(const log_entry& e) {
    return e.data.size() + kEntryBytes;
  }

 private:
  std::deque<entry_ptr> entries_;
  core::revision base_at_ = 0;
  core::term base_term_ = 0;
  std::uint64_t bytes_ = 0;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_ENTRY_LOG_H_
