#ifndef MANGOPLANK_SRC_CONSENSUS_NODE_IMPL_H_
#define MANGOPLANK_SRC_CONSENSUS_NODE_IMPL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "consensus/entry_log.h"
#include "consensus/store.h"
#include "mangoplank/consensus/node.h"

namespace mangoplank::consensus {

/// Follows a leader, or waits for one to be elected.
struct follower {
  std::optional<core::member_id> leader;
};

/// Requests votes for itself.
struct candidate {
  /// Unique among the campaigns of this process.
  std::uint64_t campaign_id = 0;
  bool pre_vote = false;
  bool transfer = false;
  std::set<core::member_id> votes_granted;
};

/// Is the leader of the current term.
struct leader_role {
  /// First entry of the term; earlier ones are committed only together with it.
  core::revision first_revision = 0;
  bool first_entry_committed = false;
  /// Last heartbeat round started, and the start times of recent rounds.
  std::uint64_t round = 0;
  std::deque<std::pair<std::uint64_t, core::time_point>> round_starts;
  /// Last round that a quorum acknowledged, and its start time.
  std::uint64_t quorum_round = 0;
  core::time_point quorum_round_start;
  /// New proposals are refused during a leadership transfer.
  bool transferring = false;
  /// Set once a leadership transfer has been requested. Its target can win an
  /// election at any time, so no lease is held for the rest of the term.
  bool lease_released = false;
};

using role = std::variant<follower, candidate, leader_role>;

/// Replication state of another member, used by its peer task.
struct peer {
  peer(member init_info, const boost::asio::any_io_executor& executor,
       core::clock& clock)
      : info(std::move(init_info)),
        wake(executor, clock),
        last_contact(clock.Now()) {}

  member info;
  bool removed = false;
  /// Wakes the task that sends to the member.
  core::event wake;
  /// Null if there is no open link.
  std::shared_ptr<peer_link> link;
  std::uint64_t sent_campaign_id = 0;
  /// Disk id in the member's last reply.
  std::uint64_t disk_id = 0;
  /// Time of the last reply, or the time from which replies are expected.
  core::time_point last_contact;

  // The fields below are reset when this process becomes leader.
  core::revision next_revision = 1;
  core::revision match_revision = 0;
  /// Until a common entry of both logs is found, one append is in flight.
  bool probing = true;
  std::optional<core::revision> probe_revision;
  /// Last revisions of the batches in flight.
  std::deque<core::revision> in_flight;
  std::uint64_t sent_round = 0;
  std::uint64_t acknowledged_round = 0;
  bool transfer_pending = false;

  core::revision sent_commit = 0;

  /// Snapshot being sent, offset of the next chunk, and whether that chunk has
  /// been sent but not acknowledged.
  std::optional<snapshot> sending_snapshot;
  std::uint64_t next_chunk_offset = 0;
  bool chunk_in_flight = false;

  /// Last time at which the member took entries or a part of a snapshot, did
  /// not answer, or lacked nothing that is committed.
  core::time_point last_progress;
  core::time_point last_stall_report;
};

/// State of a link that another member opened, used by its serving task.
struct inbound_link {
  inbound_link(std::shared_ptr<peer_link> init_link,
               const boost::asio::any_io_executor& executor, core::clock& clock)
      : link(std::move(init_link)), wake(executor, clock) {}

  std::shared_ptr<peer_link> link;
  core::event wake;
  bool closed = false;
  /// Term of the leader's messages on this link.
  core::term term = 0;
  /// Last revision up to which the log is known to equal the leader's.
  core::revision match_revision = 0;
  std::uint64_t round = 0;
  /// Where the leader should continue after an append that did not match.
  std::optional<core::revision> mismatch_hint;
  /// The last request came from a leader of an earlier term.
  bool has_stale_term = false;
  /// Revision and round in the last reply.
  core::revision replied_revision = 0;
  std::uint64_t replied_round = 0;
  /// Snapshot being received.
  core::revision snapshot_revision = 0;
  std::string snapshot_data;
  /// Reply to the last chunk, until it is sent.
  std::optional<snapshot_reply> chunk_reply;
  /// The reply waits until the log is durable up to this revision.
  core::revision chunk_durable_at = 0;
};

/// A proposal that waits for its commit.
struct proposal {
  proposal(core::term term, const boost::asio::any_io_executor& executor,
           core::clock& clock)
      : term(term), done(executor, clock) {}

  core::term term;
  std::optional<core::outcome<core::revision>> result;
  core::event done;
};

struct node::impl : std::enable_shared_from_this<node::impl> {
  impl(node_settings init_settings, boost::asio::any_io_executor init_executor,
       core::clock& init_clock, transport& init_transport, disk& data_folder,
       disk_runner& init_runner, state_machine& init_machine,
       std::uint64_t random_seed);

  // node.cpp: start, stop, proposals and reads.
  core::awaitable<core::outcome<void>> Start();
  core::awaitable<void> Stop();
  core::awaitable<core::outcome<core::revision>> Propose(entry_kind kind,
                                                         std::string data);
  core::awaitable<core::outcome<core::revision>> ReadBarrier(read_check check);
  core::awaitable<core::failure> Stopped();
  node_status Status() const;
  core::awaitable<core::outcome<recovered_state>> OpenDataFolder();
  core::outcome<void> RestoreState(recovered_state found);
  void Spawn(core::awaitable<void> task);
  /// Ends all tasks. The failure of the first call is kept.
  void End(core::failure failure);

  // election.cpp: election timer, campaigns, votes and role changes.
  core::awaitable<void> ElectionTask();
  core::awaitable<bool> Campaign(bool pre_vote, bool transfer);
  core::awaitable<void> RunElection(bool transfer);
  core::awaitable<vote_reply> OnVoteRequest(vote_request request);
  void OnVoteReply(peer& peer, const vote_reply& reply);
  void BecomeFollower(core::term term, std::optional<core::member_id> leader);
  void BecomeLeader();
  void SetTermAndVote(core::term term, core::member_id vote);
  core::duration RandomTimeout(double min_factor, double max_factor);
  bool IsLogUpToDate(const vote_request& request) const;

  // lease.cpp: heartbeat rounds, leader lease and commit rule.
  core::awaitable<void> HeartbeatTask(core::term term);
  void BeginHeartbeatRound(leader_role& leader);
  void AdvanceQuorumRound();
  /// Logs each member that answers and takes nothing of what it lacks.
  void ReportStalledPeers();
  bool HoldsLease() const;
  core::time_point LeadershipConfirmedAt() const;
  void AdvanceCommit();
  void CommitUpTo(core::revision revision);

  // peer.cpp: the task of each other member.
  core::awaitable<void> PeerTask(std::shared_ptr<peer> peer);
  core::awaitable<void> SendLoop(std::shared_ptr<peer> peer,
                                 std::shared_ptr<peer_link> link);
  core::awaitable<void> ReplyLoop(std::shared_ptr<peer> peer,
                                  std::shared_ptr<peer_link> link);
  core::awaitable<void> LoadSnapshot(peer& peer);
  bool NeedsLink(const peer& peer) const;
  bool NeedsSnapshot(const peer& peer) const;
  std::optional<message> NextMessage(peer& peer);
  std::optional<message> NextVoteRequest(peer& peer,
                                         const candidate& candidate);
  std::optional<message> NextLeaderMessage(peer& peer,
                                           const leader_role& leader);
  std::optional<message> NextChunk(peer& peer);
  message NextAppend(peer& peer, const leader_role& leader);
  message NextHeartbeat(peer& peer, const leader_role& leader);
  void ResetProgress(peer& peer);
  void BeginSession(peer& peer);
  void OnReply(peer& peer, const message& reply);
  void UpdateDiskId(peer& peer, std::uint64_t disk_id);
  void OnAppendReply(peer& peer, const append_reply& reply);
  void OnSnapshotReply(peer& peer, const snapshot_reply& reply);
  void WakePeers();

  // server.cpp: links that other members opened.
  core::awaitable<void> Serve(std::shared_ptr<peer_link> link);
  core::awaitable<void> AckLoop(std::shared_ptr<inbound_link> inbound);
  core::awaitable<void> OnRequest(std::shared_ptr<inbound_link> inbound,
                                  message request);
  void OnChunk(inbound_link& inbound, snapshot_chunk chunk);
  append_reply NextReply(inbound_link& inbound);
  bool NeedsReply(const inbound_link& inbound) const;
  bool IsChunkReplyDue(const inbound_link& inbound) const;
  message NextOutgoing(inbound_link& inbound);
  void OnLeadershipTransfer(const leadership_transfer& request);
  void OnAppend(inbound_link& inbound, append_request& request);
  bool AcceptLeader(inbound_link& inbound, core::term term,
                    const core::member_id& from);
  std::optional<core::revision> FindMismatch(
      const append_request& request) const;
  bool InstallSnapshot(snapshot received);

  // writer.cpp: log in memory, writes to the disk, and applying entries.
  core::awaitable<void> WriterTask();
  /// Runs work on the disk thread, again while the disk is full.
  core::awaitable<core::outcome<void>> RunWhenRoom(
      std::function<core::result<void>()> work);
  bool HasUnsaved() const;
  write_batch NextBatch();
  void AppendEntry(entry_ptr entry);
  void TruncateLog(core::revision after);
  void OnWritten(const write_batch& batch, std::uint64_t version);
  void OnSnapshotWritten(const snapshot& written);
  core::awaitable<bool> WaitUntilHardStateDurable();
  void ApplyCommitted();
  void ApplyOne(const log_entry& entry);
  void MaybeTakeSnapshot();

  // members.cpp: membership and leadership transfer.
  core::awaitable<core::outcome<core::revision>> ChangeMember(member target,
                                                              bool remove);
  core::awaitable<core::outcome<core::revision>> ProposeMembership(
      std::vector<member> members);
  core::awaitable<core::outcome<void>> WaitUntilCaughtUp(core::member_id id);
  bool IsCaughtUp(const core::member_id& id) const;
  std::optional<member> FindSilentMember(core::milliseconds limit) const;
  core::awaitable<core::outcome<void>> TransferLeadership(core::member_id to);
  void RecordDiskIds();
  void AppendMembership(const std::vector<member>& members);
  void AddMembership(membership added);
  void UpdatePeers();
  const membership& CurrentMembership() const { return memberships.back(); }
  membership MembershipAt(core::revision revision) const;
  const member* FindMember(const core::member_id& id) const;
  bool IsVoter() const;
  /// @return false for a member that has joined with an empty disk and received
  /// nothing yet. Its vote could stand for entries that a lost disk had, in a
  /// cell that has not recorded its disk id yet.
  bool KnowsMembers() const { return !CurrentMembership().members.empty(); }
  bool CanCampaign() const;
  bool IsMembershipChangeInProgress() const;
  bool HasOtherDiskId(const core::member_id& id, std::uint64_t disk_id) const;
  /// @return whether a vote or reply of the member with this disk id counts.
  bool CountsTowardQuorum(const core::member_id& id,
                          std::uint64_t disk_id) const;
  /// @return the highest value that a majority of the voters has reached.
  std::uint64_t QuorumValue(
      const std::function<std::uint64_t(const member&)>& value) const;

  bool IsLeader() const {
    return std::holds_alternative<leader_role>(current_role);
  }
  std::optional<core::member_id> Leader() const;

  const node_settings settings;
  const boost::asio::any_io_executor executor;
  core::clock& clock;
  transport& peer_transport;
  disk_runner& runner;
  state_machine& machine;
  std::mt19937_64 random;
  store storage;
  std::uint64_t own_disk_id = 0;

  // Log and hard state in memory.
  consensus::hard_state hard_state;
  entry_log log;
  snapshot last_snapshot;
  core::revision committed = 0;
  core::revision applied = 0;
  bool applying = false;
  /// Memberships of the snapshot and of the entries after it.
  std::vector<membership> memberships;

  // What is durable, and what the writer still has to write.
  core::revision durable_revision = 0;
  std::uint64_t hard_state_version = 0;
  std::uint64_t durable_hard_state_version = 0;
  core::revision first_unsaved = 1;
  /// Lowest revision that was truncated or replaced during the current write.
  std::optional<core::revision> truncated_while_writing;
  std::optional<snapshot> unsaved_snapshot;
  bool unsaved_discard_log = false;
  bool is_writing_snapshot = false;
  std::uint64_t bytes_since_snapshot = 0;

  role current_role = follower{};
  /// Time of the last message from a leader. Initially the start time of this
  /// process, since its acknowledgements before a restart may back a lease.
  core::time_point last_leader_contact;
  core::time_point last_vote_time;
  std::uint64_t last_campaign_id = 0;
  /// Term whose leader has requested a transfer to this member. The election
  /// ignores leases, so it must not start in a later term.
  std::optional<core::term> transfer_term;
  std::map<core::member_id, std::shared_ptr<peer>> peers;
  std::set<std::shared_ptr<inbound_link>> inbound_links;
  std::map<core::revision, std::shared_ptr<proposal>> proposals;
  std::uint64_t pending_bytes = 0;

  bool started = false;
  std::optional<core::failure> ended;
  std::size_t tasks = 0;

  core::event writer_wake;
  /// Notified when the durable hard state or revision changes.
  core::event durable_changed;
  /// Notified when the role, term, votes, members or leader change.
  core::event election_changed;
  /// Notified on an acknowledged round, replication progress or a commit.
  core::event progress_changed;
  core::event members_changed;
  core::event task_ended;
};

/// Closes a link that receives nothing for longer than `timeout`, since a link
/// can stop carrying data without an error.
class receive_watchdog {
 public:
  receive_watchdog(core::clock& clock, std::shared_ptr<peer_link> link,
                   core::duration timeout);
  ~receive_watchdog();
  receive_watchdog(const receive_watchdog&) = delete;
  receive_watchdog& operator=(const receive_watchdog&) = delete;
  void OnReceived() { last_received_ = clock_.Now(); }

 private:
  void Arm();

  core::clock& clock_;
  std::shared_ptr<peer_link> link_;
  core::duration timeout_;
  core::time_point last_received_;
  core::clock::timer_id timer_ = 0;
};

/// @return time without messages until a link is closed; 1.5 s by default.
inline core::duration ReceiveTimeout(const node_settings& settings) {
  return settings.election_timeout * 3 / 2;
}

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_NODE_IMPL_H_
