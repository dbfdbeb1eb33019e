#ifndef MANGOPLANK_CONSENSUS_MESSAGES_H_
#define MANGOPLANK_CONSENSUS_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoplank/core/types.h"

/// Replicated log after Raft (D. Ongaro, J. Ousterhout, "In Search of an
/// Understandable Consensus Algorithm", 2014; D. Ongaro, "Consensus: Bridging
/// Theory and Practice", 2014, for pre-vote, leases, membership and leadership
/// transfer).
namespace mangoplank::consensus {

/// A control process that replicates the log.
struct member {
  core::member_id id;
  core::endpoint address;
  /// A learner receives the log but has no vote and counts toward no quorum.
  bool voter = true;
  /// Identity of the member's data folder. A member that lost its folder
  /// restarts with another id and is not the same voter.
  std::uint64_t disk_id = 0;

  friend bool operator==(const member&, const member&) = default;
};

/// Members as of the entry at `revision`.
struct membership {
  core::revision revision = 0;
  std::vector<member> members;

  friend bool operator==(const membership&, const membership&) = default;
};

enum class entry_kind : std::uint8_t { kCommand, kMembership, kLeaderStart };

struct log_entry {
  core::revision revision = 0;
  core::term term = 0;
  entry_kind kind = entry_kind::kCommand;
  /// Encoded command or membership.
  std::string data;

  friend bool operator==(const log_entry&, const log_entry&) = default;
};

struct vote_request {
  core::term term = 0;
  core::member_id candidate;
  std::uint64_t disk_id = 0;
  core::revision last_revision = 0;
  core::term last_term = 0;
  /// A pre-vote changes no term and is not persisted.
  bool pre_vote = false;
  /// Set if the leader requested this election to transfer leadership.
  bool transfer = false;

  friend bool operator==(const vote_request&, const vote_request&) = default;
};

struct vote_reply {
  core::term term = 0;
  bool granted = false;
  bool pre_vote = false;
  /// Disk id of the voter; a vote with another id does not count.
  std::uint64_t disk_id = 0;

  friend bool operator==(const vote_reply&, const vote_reply&) = default;
};

struct append_request {
  core::term term = 0;
  core::member_id leader;
  core::revision previous_revision = 0;
  core::term previous_term = 0;
  core::revision committed = 0;
  /// Heartbeat round for the lease and the read index; echoed in the reply.
  std::uint64_t round = 0;
  std::vector<log_entry> entries;

  friend bool operator==(const append_request&,
                         const append_request&) = default;
};

struct append_reply {
  core::term term = 0;
  bool matched = false;
  /// Last revision known to match, or a hint where to continue if not matched.
  core::revision matched_revision = 0;
  std::uint64_t round = 0;
  std::uint64_t disk_id = 0;

  friend bool operator==(const append_reply&, const append_reply&) = default;
};

struct snapshot_chunk {
  core::term term = 0;
  core::member_id leader;
  core::revision snapshot_revision = 0;
  core::term snapshot_term = 0;
  membership members;
  std::uint64_t offset = 0;
  std::uint64_t total = 0;
  std::string data;

  friend bool operator==(const snapshot_chunk&,
                         const snapshot_chunk&) = default;
};

struct snapshot_reply {
  core::term term = 0;
  core::revision snapshot_revision = 0;
  /// Offset of the next chunk that the receiver expects.
  std::uint64_t next_offset = 0;
  std::uint64_t disk_id = 0;

  friend bool operator==(const snapshot_reply&,
                         const snapshot_reply&) = default;
};

/// Tells the receiver to start an election at once.
struct leadership_transfer {
  core::term term = 0;
  core::member_id leader;

  friend bool operator==(const leadership_transfer&,
                         const leadership_transfer&) = default;
};

using message =
    std::variant<vote_request, vote_reply, append_request, append_reply,
                 snapshot_chunk, snapshot_reply, leadership_transfer>;

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_CONSENSUS_MESSAGES_H_
