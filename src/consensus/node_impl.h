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

/// Follows a leader, or waits for one.
struct following {
  std::optional<core::member_id> leader;
};

/// Asks for votes.
struct campaigning {
  /// Differs between all campaigns of this process.
  std::uint64_t number = 0;
  bool pre = false;
  bool transfer = false;
  std::set<core::member_id> granted;
};

/// Leads in the current term.
struct leading {
  /// First entry of the term; nothing before it counts as committed by it.
  core::revision start_at = 0;
  bool announced = false;
  /// Heartbeat rounds, with the time at which each began.
  std::uint64_t round = 0;
  std::deque<std::pair<std::uint64_t, core::time_point>> round_starts;
  /// Last round that a majority answered, and when it began.
  std::uint64_t answered_round = 0;
  core::time_point answered_from;
  /// New proposals are refused while leadership is passed on.
  bool transferring = false;
  /// Set once another member was asked to take over. It may win at any time
  /// from then on, so there is no lease for the rest of the term.
  bool lease_given_up = false;
};

using role = std::variant<following, campaigning, leading>;

/// Another member, as its peer task sees it.
struct peer {
  peer(member m, const boost::asio::any_io_executor& executor,
       core::clock& clock)
      : who(std::move(m)), wake(executor, clock), heard(clock.Now()) {}

  member who;
  bool removed = false;
  /// Wakes the sending task.
  core::event wake;
  /// Open link, if any.
  std::shared_ptr<peer_link> link;
  std::uint64_t asked_campaign = 0;
  /// Identity that the member's last reply carried.
  std::uint64_t disk = 0;
  /// Time of the member's last reply, or of the start of following it.
  core::time_point heard;

  // What follows is reset when this process becomes leader.
  core::revision next = 1;
  core::revision match = 0;
  /// While it is not known where the logs agree, one append is in flight.
  bool probing = true;
  std::optional<core::revision> probe_at;
  /// Last revisions of the batches in flight.
  std::deque<core::revision> in_flight;
  std::uint64_t sent_round = 0;
  std::uint64_t answered_round = 0;
  bool ask_to_take_over = false;

  core::revision sent_commit = 0;

  /// Snapshot in transfer, the offset that the member wants next, and whether
  /// the chunk there is on its way.
  std::optional<snapshot> sending;
  std::uint64_t wanted_offset = 0;
  bool chunk_sent = false;
};

/// A link that another member opened, as its serving task sees it.
struct served_link {
  served_link(std::shared_ptr<peer_link> l,
              const boost::asio::any_io_executor& executor, core::clock& clock)
      : link(std::move(l)), wake(executor, clock) {}

  std::shared_ptr<peer_link> link;
  core::event wake;
  bool closed = false;
  /// Term of the leader's messages on this link.
  core::term t = 0;
  /// Up to here the log is known to equal the leader's.
  core::revision verified = 0;
  std::uint64_t round = 0;
  /// Hint of an append that did not match.
  std::optional<core::revision> mismatch;
  /// The last request came from a leader of an earlier term.
  bool outdated = false;
  /// Last reply sent.
  core::revision replied_at = 0;
  std::uint64_t replied_round = 0;
  /// Snapshot in transfer.
  core::revision snapshot_at = 0;
  std::string snapshot_data;
};

/// A proposal that waits for its commit.
struct proposal {
  proposal(core::term term, const boost::asio::any_io_executor& executor,
           core::clock& clock)
      : t(term), done(executor, clock) {}

  core::term t;
  std::optional<core::outcome<core::revision>> result;
  core::event done;
};

struct node::impl : std::enable_shared_from_this<node::impl> {
  impl(node_settings s, boost::asio::any_io_executor e, core::clock& c,
       transport& t, disk& d, disk_runner& r, state_machine& m,
       std::uint64_t random_seed);

  // node.cpp: start, end, proposals and reads.
  core::awaitable<core::outcome<void>> Start();
  core::awaitable<void> Stop();
  core::awaitable<core::outcome<core::revision>> Propose(entry_kind k,
                                                         std::string data);
  core::awaitable<core::outcome<core::revision>> ReadBarrier(read_check check);
  core::awaitable<core::failure> Stopped();
  node_status Status() const;
  core::awaitable<core::outcome<recovered>> OpenFolder();
  core::outcome<void> Adopt(recovered r);
  void Spawn(core::awaitable<void> task);
  /// Ends all tasks; the first call decides the failure.
  void End(core::failure f);

  // election.cpp: the timer, campaigns, votes and changes of role.
  core::awaitable<void> ElectionTask();
  core::awaitable<bool> Campaign(bool pre, bool transfer);
  core::awaitable<void> RunElection(bool transfer);
  core::awaitable<vote_reply> OnVoteRequest(vote_request m);
  void OnVoteReply(peer& p, const vote_reply& m);
  void Follow(core::term t, std::optional<core::member_id> leader);
  void Lead();
  void SetTerm(core::term t, core::member_id vote);
  core::duration RandomTimeout(double from, double to);
  bool IsLogCurrent(const vote_request& m) const;

  // lease.cpp: heartbeat rounds, the lease and the commit rule.
  core::awaitable<void> HeartbeatTask(core::term t);
  void BeginRound(leading& l);
  void OnRoundAnswered();
  bool HoldsLease() const;
  core::time_point LeadConfirmedAt() const;
  void AdvanceCommit();
  void Commit(core::revision at);

  // peer.cpp: the task of each other member.
  core::awaitable<void> PeerTask(std::shared_ptr<peer> p);
  core::awaitable<void> SendLoop(std::shared_ptr<peer> p,
                                 std::shared_ptr<peer_link> link);
  core::awaitable<void> ReplyLoop(std::shared_ptr<peer> p,
                                  std::shared_ptr<peer_link> link);
  core::awaitable<void> LoadSnapshot(peer& p);
  bool NeedsLink(const peer& p) const;
  bool NeedsSnapshot(const peer& p) const;
  std::optional<message> NextMessage(peer& p);
  std::optional<message> NextVoteRequest(peer& p, const campaigning& c);
  std::optional<message> NextLeaderMessage(peer& p, const leading& l);
  std::optional<message> NextChunk(peer& p);
  message NextAppend(peer& p, const leading& l);
  message NextHeartbeat(peer& p, const leading& l);
  void ResetProgress(peer& p);
  void BeginSession(peer& p);
  void OnReply(peer& p, const message& m);
  void NoteDisk(peer& p, std::uint64_t disk_id);
  void OnAppendReply(peer& p, const append_reply& m);
  void OnSnapshotReply(peer& p, const snapshot_reply& m);
  void WakePeers();

  // server.cpp: links that other members opened.
  core::awaitable<void> Serve(std::shared_ptr<peer_link> link);
  core::awaitable<void> AckLoop(std::shared_ptr<served_link> s);
  core::awaitable<void> OnRequest(std::shared_ptr<served_link> s, message m);
  core::awaitable<void> OnChunk(std::shared_ptr<served_link> s,
                                snapshot_chunk m);
  append_reply NextReply(served_link& s);
  bool NeedsReply(const served_link& s) const;
  void OnTakeOver(const take_over& m);
  void OnAppend(served_link& s, append_request& m);
  bool AcceptLeader(served_link& s, core::term t, const core::member_id& from);
  std::optional<core::revision> Mismatch(const append_request& m) const;
  bool Install(snapshot s);

  // writer.cpp: the log in memory, its way to the disk, and applying it.
  core::awaitable<void> WriterTask();
  bool HasUnsaved() const;
  write_batch TakeBatch();
  void AppendEntry(entry_ptr e);
  void CutLog(core::revision after);
  void OnWritten(const write_batch& batch, std::uint64_t version);
  void OnSnapshotWritten(const snapshot& s);
  core::awaitable<bool> WaitHardState();
  void ApplyCommitted();
  void ApplyOne(const log_entry& e);
  void MaybeTakeSnapshot();

  // members.cpp: membership and transfer.
  core::awaitable<core::outcome<core::revision>> ChangeMember(member m,
                                                              bool remove);
  core::awaitable<core::outcome<core::revision>> ProposeMembers(
      std::vector<member> members);
  core::awaitable<core::outcome<void>> WaitCaughtUp(core::member_id id);
  bool IsCaughtUp(const core::member_id& id) const;
  std::optional<member> SilentMember(core::milliseconds limit) const;
  core::awaitable<core::outcome<void>> Transfer(core::member_id to);
  void MaintainDisks();
  void AppendMembers(const std::vector<member>& members);
  void RememberMembers(membership m);
  void UpdatePeers();
  const membership& Members() const { return memberships.back(); }
  membership MembersAt(core::revision at) const;
  const member* Find(const core::member_id& id) const;
  bool IsVoter() const;
  bool MayCampaign() const;
  bool ChangeInProgress() const;
  bool HasOtherDisk(const core::member_id& id, std::uint64_t disk_id) const;
  /// @return whether a vote or reply from this member and disk counts.
  bool Counts(const core::member_id& id, std::uint64_t disk_id) const;
  /// @return the highest value that a majority of voters has reached.
  std::uint64_t MajorityOf(
      const std::function<std::uint64_t(const member&)>& value) const;

  bool Leads() const { return std::holds_alternative<leading>(current_role); }
  std::optional<core::member_id> Leader() const;

  const node_settings settings;
  const boost::asio::any_io_executor executor;
  core::clock& clock;
  transport& links;
  disk_runner& runner;
  state_machine& machine;
  std::mt19937_64 random;
  store files;
  std::uint64_t own_disk = 0;

  // Log and term in memory.
  hard_state hard;
  entry_log log;
  snapshot last_snapshot;
  core::revision committed = 0;
  core::revision applied = 0;
  bool applying = false;
  /// Memberships of the snapshot and of the entries after it.
  std::vector<membership> memberships;

  // What the writer has made durable, and what it has still to write.
  core::revision durable_at = 0;
  std::uint64_t hard_version = 0;
  std::uint64_t durable_hard_version = 0;
  core::revision unsaved_from = 1;
  /// Lowest revision that was cut or replaced while a write was running.
  std::optional<core::revision> cut_while_writing;
  std::optional<snapshot> unsaved_snapshot;
  bool unsaved_discard = false;
  /// A snapshot is being written.
  bool writing_snapshot = false;
  std::uint64_t bytes_since_snapshot = 0;

  role current_role = following{};
  /// Last message of a leader, or the start of this process: a voter that has
  /// just restarted may have promised a lease.
  core::time_point leader_heard;
  core::time_point voted_at;
  std::uint64_t last_campaign = 0;
  bool take_over_asked = false;
  std::map<core::member_id, std::shared_ptr<peer>> peers;
  std::set<std::shared_ptr<served_link>> served;
  std::map<core::revision, std::shared_ptr<proposal>> proposals;
  std::uint64_t pending_bytes = 0;

  bool started = false;
  std::optional<core::failure> ended;
  std::size_t tasks = 0;

  core::event writer_wake;
  /// The durable term or revision moved.
  core::event durable_moved;
  /// The role, term or vote count changed, or a leader was heard.
  core::event election_moved;
  /// A round was answered or a commit made; wakes reads and changes.
  core::event progress_moved;
  core::event tasks_ended;
};

/// Closes a link on which nothing arrives for longer than `limit`, since a link
/// can stop carrying data without an error.
class silence_guard {
 public:
  silence_guard(core::clock& clock, std::shared_ptr<peer_link> link,
                core::duration limit);
  ~silence_guard();
  silence_guard(const silence_guard&) = delete;
  silence_guard& operator=(const silence_guard&) = delete;
  void Heard() { heard_ = clock_.Now(); }

 private:
  void Arm();

  core::clock& clock_;
  std::shared_ptr<peer_link> link_;
  core::duration limit_;
  core::time_point heard_;
  core::clock::timer_id timer_ = 0;
};

/// @return the silence after which a link counts as dead; 1.5 s by default.
inline core::duration SilenceLimit(const node_settings& s) {
  return s.election_timeout * 3 / 2;
}

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_NODE_IMPL_H_
