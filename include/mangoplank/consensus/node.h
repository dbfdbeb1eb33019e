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
  /// Members of a new cell. Read only when the data folder is first made with
  /// `create`.
  std::vector<member> initial_members;
  /// Makes a new data folder; without it a missing folder is a failure, so that
  /// a lost disk is never taken for an empty cell.
  bool create = false;
  /// Makes a new data folder that joins a running cell as a learner.
  bool join = false;
  core::milliseconds election_timeout{1000};
  core::milliseconds heartbeat_interval{200};
  std::uint64_t max_batch_bytes = 256 * 1024;
  std::uint64_t max_inflight_batches = 16;
  std::uint64_t snapshot_chunk_bytes = 256 * 1024;
  /// Log bytes after which a snapshot is taken and the log cut.
  std::uint64_t snapshot_after_bytes = 8 * 1024 * 1024;
  /// Bounds the memory of proposals that wait for a commit.
  std::uint64_t max_pending_bytes = 8 * 1024 * 1024;
};

struct node_status {
  bool leads = false;
  core::term t = 0;
  std::optional<core::member_id> leader;
  core::revision committed = 0;
  core::revision applied = 0;
  core::revision first_kept = 0;
  membership members;

  friend bool operator==(const node_status&, const node_status&) = default;
};

/// How a read makes sure that no other member leads.
enum class read_check : std::uint8_t {
  /// By the lease, which relies on a steady clock that never stands still.
  kLease,
  /// By a round of heartbeats that begins after the call.
  kRound
};

/// One member of the replicated log.
class node {
 public:
  node(node_settings settings, boost::asio::any_io_executor executor,
       core::clock& clock, transport& transport, disk& disk,
       disk_runner& runner, state_machine& machine, std::uint64_t random_seed);
  ~node();

  /// Reads the data folder and starts the tasks.
  /// @return storage_failed with its kind if the folder can't be used.
  core::awaitable<core::outcome<void>> Start();
  /// Serves a link that another member opened, until it fails.
  core::awaitable<void> Serve(std::shared_ptr<peer_link> link);
  /// Passes leadership on if it leads, then ends all tasks.
  core::awaitable<void> Stop();

  /// Appends a command.
  /// @return its revision once committed and applied here; not_leader if
  /// nothing was appended, commit_unknown if the outcome is open, unavailable
  /// if too much is pending.
  core::awaitable<core::outcome<core::revision>> Propose(std::string command);
  /// Waits until all that was committed when it was called is applied here.
  /// @return not_leader or unavailable if that can't be known.
  core::awaitable<core::outcome<core::revision>> ReadBarrier(read_check check);
  /// Whether this process is surely the only leader now.
  bool HoldsLease() const;
  /// @return the start of the last heartbeat round that a majority answered;
  /// the start of time if this process does not lead.
  core::time_point LeadConfirmedAt() const;
  node_status Status() const;

  /// Adds a member, changes its address, promotes or demotes it, or removes it;
  /// one step at a time. A new voter is a learner until it has caught up.
  /// @return the revision of the last step; not_leader, commit_unknown,
  /// not_found, deadline_exceeded if it did not catch up within 30 s, or
  /// unavailable if another change is in progress or no voter would be left.
  core::awaitable<core::outcome<core::revision>> ChangeMember(member m,
                                                              bool remove);
  /// @return whether a member has all that is committed, as this leader knows.
  bool IsCaughtUp(const core::member_id& id) const;
  /// @return the member that this leader has heard nothing of for the longest
  /// time, if that is longer than `limit`.
  std::optional<member> SilentMember(core::milliseconds limit) const;
  /// Makes another voter the leader. Until it leads, proposals are refused.
  /// @return not_leader, not_found if `to` is no voter that can be reached, or
  /// deadline_exceeded.
  core::awaitable<core::outcome<void>> TransferLeadership(core::member_id to);
  /// @return the failure that stopped the node, for the process to end with.
  core::awaitable<core::failure> Stopped();

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_CONSENSUS_NODE_H_
