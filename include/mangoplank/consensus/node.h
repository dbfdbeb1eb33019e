#ifndef MANGOPLANK_CONSENSUS_NODE_H_
#define MANGOPLANK_CONSENSUS_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "mangoplank/consensus/interfaces.h"

namespace mangoplank::consensus {

struct node_settings {
  core::cell_id cell;
  core::member_id self;
  /// Members of a new cell. Used only when `create` creates a data folder.
  std::vector<member> initial_members;
  /// Creates a missing data folder. Otherwise a missing folder is a failure, so
  /// that a lost disk is never mistaken for a new cell.
  bool create = false;
  /// Creates a missing data folder to join a running cell as a learner.
  bool join = false;
  core::milliseconds election_timeout{1000};
  core::milliseconds heartbeat_interval{200};
  std::uint64_t max_batch_bytes = 256 * 1024;
  std::uint64_t max_inflight_batches = 16;
  /// Least time between two messages to one member: entries that are proposed
  /// meanwhile share the next one.
  core::milliseconds send_interval{0};
  std::uint64_t snapshot_chunk_bytes = 256 * 1024;
  /// Log bytes after which a snapshot is taken and the log is compacted.
  std::uint64_t snapshot_after_bytes = 8 * 1024 * 1024;
  /// Bounds the memory of uncommitted proposals.
  std::uint64_t max_pending_bytes = 8 * 1024 * 1024;
  /// How long a write waits for room on a full disk before the node stops. The
  /// entries that arrive meanwhile are held in memory.
  core::milliseconds full_disk_wait{10'000};
};

struct node_status {
  bool is_leader = false;
  core::term term = 0;
  std::optional<core::member_id> leader;
  core::revision committed = 0;
  core::revision applied = 0;
  core::revision first_log_revision = 0;
  membership members;

  friend bool operator==(const node_status&, const node_status&) = default;
};

/// How a read verifies that no other member is leader.
enum class read_check : std::uint8_t {
  /// By the lease, which relies on a steady clock that is never suspended.
  kLease,
  /// By the Raft read index: a heartbeat round that starts after the call.
  kReadIndex
};

/// A member of the replicated log.
class node {
 public:
  node(node_settings settings, boost::asio::any_io_executor executor,
       core::clock& clock, transport& transport, disk& disk,
       disk_runner& runner, state_machine& machine, std::uint64_t random_seed);
  ~node();

  /// Reads the data folder and starts the tasks.
  /// @return storage_failed with its kind if the folder can't be used.
  core::awaitable<core::outcome<void>> Start();
  /// Serves a link opened by another member until the link fails.
  core::awaitable<void> Serve(std::shared_ptr<peer_link> link);
  /// Transfers leadership if this node is leader, then ends all tasks.
  core::awaitable<void> Stop();

  /// Appends a command.
  /// @return its revision once committed and applied here; not_leader if
  /// nothing was appended, commit_unknown if the outcome is unknown,
  /// unavailable if too much is pending.
  core::awaitable<core::outcome<core::revision>> Propose(std::string command);
  /// Waits until all entries committed before the call are applied here.
  /// @return their last revision; not_leader or unavailable if unconfirmed.
  core::awaitable<core::outcome<core::revision>> ReadBarrier(read_check check);
  /// @return whether this process is leader and no other member can be.
  bool HoldsLease() const;
  /// @return the start of the last heartbeat round that a quorum acknowledged;
  /// the epoch of the clock if this process is not leader.
  core::time_point LeadershipConfirmedAt() const;
  node_status Status() const;
  /// Notified when the members in the status may have changed.
  core::event& MembersChanged();

  /// Adds a member, changes its address, promotes or demotes it, or removes it,
  /// one step at a time. A new voter is a learner until it has caught up.
  /// @return the revision of the last step; not_leader, commit_unknown,
  /// not_found, deadline_exceeded if it did not catch up within 30 s, or
  /// unavailable if another change is in progress or no voter would be left.
  core::awaitable<core::outcome<core::revision>> ChangeMember(member target,
                                                              bool remove);
  /// @return whether this leader knows that a member has all committed entries.
  bool IsCaughtUp(const core::member_id& id) const;
  /// @return the member with the oldest last reply to this leader, if that
  /// reply is older than `limit`.
  std::optional<member> FindSilentMember(core::milliseconds limit) const;
  /// Makes another voter the leader. Proposals are refused during the transfer.
  /// @return not_leader, not_found if `to` is not a reachable voter, or
  /// deadline_exceeded.
  core::awaitable<core::outcome<void>> TransferLeadership(core::member_id to);
  /// Waits until the node has stopped.
  /// @return the failure that stopped it, to be reported by the process.
  core::awaitable<core::failure> Stopped();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_CONSENSUS_NODE_H_
