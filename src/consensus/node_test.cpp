#include "mangoplank/consensus/node.h"

#include <gtest/gtest.h>

#include <set>

#include "consensus/fake_cluster.h"

namespace mangoplank::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void StartAll(fake_cluster& cluster) {
  for (std::size_t i = 0; i < cluster.members.size(); ++i) cluster.Start(i);
}

// Guards against a single member that waits for votes from other members.
TEST(NodeTest, OneMemberCommits) {
  fake_cluster cluster(1, 1);
  cluster.Start(0);
  cluster.AwaitLeader();
  const auto revision = cluster.Await(cluster.At(0).Propose("a"));
  ASSERT_TRUE(revision) << core::Describe(revision.error());
  const auto read =
      cluster.Await(cluster.At(0).ReadBarrier(read_check::kLease));
  ASSERT_TRUE(read);
  EXPECT_GE(*read, *revision);
  EXPECT_EQ(cluster.members[0]->machine->applied.back().second, "a");
}

// Guards against committed entries that never reach the followers.
TEST(NodeTest, ThreeMembersReplicate) {
  fake_cluster cluster(3, 2);
  StartAll(cluster);
  const std::size_t leader = cluster.AwaitLeader();
  for (int i = 0; i < 100; ++i) {
    const auto revision =
        cluster.Await(cluster.At(leader).Propose(std::to_string(i)));
    ASSERT_TRUE(revision) << core::Describe(revision.error());
  }
  cluster.RunFor(seconds(1));
  for (const auto& m : cluster.members) {
    EXPECT_EQ(m->machine->applied.size(), 100u);
    EXPECT_EQ(m->machine->applied, cluster.members[0]->machine->applied);
  }
  const std::size_t other = (leader + 1) % 3;
  const auto refused = cluster.Await(cluster.At(other).Propose("x"));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error(),
            core::failure(core::not_leader{cluster.members[leader]->info.id}));
}

// Guards against a cell without a leader after the leader has crashed.
TEST(NodeTest, ElectsANewLeaderAfterACrash) {
  fake_cluster cluster(3, 3);
  StartAll(cluster);
  const std::size_t first = cluster.AwaitLeader();
  ASSERT_TRUE(cluster.Await(cluster.At(first).Propose("before")));
  const auto start = cluster.clock.Now();
  cluster.Crash(first);
  const std::size_t second = cluster.AwaitLeader();
  EXPECT_LT(cluster.clock.Now() - start, seconds(2));
  ASSERT_TRUE(cluster.Await(cluster.At(second).Propose("after")));
  cluster.Start(first);
  cluster.RunFor(seconds(1));
  const auto& applied = cluster.members[first]->machine->applied;
  ASSERT_EQ(applied.size(), 2u);
  EXPECT_EQ(applied[1].second, "after");
}

// Guards against committed entries lost in a restart of all members.
TEST(NodeTest, KeepsTheLogAcrossARestartOfAllMembers) {
  fake_cluster cluster(3, 4);
  StartAll(cluster);
  ASSERT_TRUE(cluster.Await(cluster.At(cluster.AwaitLeader()).Propose("kept")));
  for (std::size_t i = 0; i < 3; ++i) cluster.Crash(i);
  StartAll(cluster);
  const std::size_t leader = cluster.AwaitLeader();
  ASSERT_TRUE(
      cluster.Await(cluster.At(leader).ReadBarrier(read_check::kLease)));
  ASSERT_EQ(cluster.members[leader]->machine->applied.size(), 1u);
  EXPECT_EQ(cluster.members[leader]->machine->applied[0].second, "kept");
}

// Guards against a lagging member that can't catch up after the log has been
// compacted, and against unbounded growth of the log or of memory.
TEST(NodeTest, SendsASnapshotInChunksToALaggingMember) {
  fake_cluster cluster(3, 5);
  cluster.base.snapshot_after_bytes = 4000;
  cluster.base.snapshot_chunk_bytes = 500;
  StartAll(cluster);
  const std::size_t leader = cluster.AwaitLeader();
  const std::size_t lagging = (leader + 1) % 3;
  cluster.Crash(lagging);
  for (int i = 0; i < 300; ++i) {
    ASSERT_TRUE(cluster.Await(
        cluster.At(leader).Propose(std::string(50, 'a' + i % 26))));
  }
  EXPECT_GT(cluster.At(leader).Status().first_log_revision, 200u);
  cluster.Start(lagging);
  cluster.RunFor(seconds(3));
  EXPECT_EQ(cluster.members[lagging]->machine->applied,
            cluster.members[leader]->machine->applied);
  EXPECT_EQ(cluster.members[lagging]->machine->restores, 1u);
  EXPECT_LE(cluster.members[leader]->disk->files.size(), 5u);
  cluster.Crash(lagging);
  cluster.Start(lagging);
  cluster.RunFor(seconds(1));
  EXPECT_EQ(cluster.members[lagging]->machine->applied,
            cluster.members[leader]->machine->applied);
}

// Guards against a member that receives no entries after a snapshot. Its disk
// hung while it wrote its own snapshot, until as many batches were in flight as
// are allowed and the leader had dropped the entries after them. The snapshot
// that it got acknowledged none of the batches, so no further one was sent
// until the link failed. With another member down, changes then stayed
// unanswered while all processes ran.
TEST(NodeTest, SendsEntriesAfterASnapshotReplacedBatchesInFlight) {
  fake_cluster cluster(3, 15);
  cluster.base.snapshot_after_bytes = 4000;
  cluster.base.max_inflight_batches = 3;
  StartAll(cluster);
  const std::size_t leader = cluster.AwaitLeader();
  const std::size_t slow = (leader + 1) % 3;
  const std::string command(50, 'a');
  while (cluster.members[slow]->machine->snapshots == 0) {
    ASSERT_TRUE(cluster.Await(cluster.At(leader).Propose(command)));
  }
  cluster.members[slow]->runner->hangs_until =
      cluster.clock.Now() + milliseconds(500);
  for (int i = 0; i < 80; ++i) {
    ASSERT_TRUE(cluster.Await(cluster.At(leader).Propose(command)));
  }
  cluster.RunFor(seconds(2));
  EXPECT_GE(cluster.members[slow]->machine->restores, 1u);
  cluster.Crash((leader + 2) % 3);
  const auto written = cluster.Spawn(cluster.At(leader).Propose("b"));
  ASSERT_TRUE(
      cluster.RunUntil([&] { return written->has_value(); }, seconds(3)));
  EXPECT_TRUE(**written);
  cluster.RunFor(seconds(1));
  EXPECT_EQ(cluster.members[slow]->machine->applied,
            cluster.members[leader]->machine->applied);
}

// Guards against proposals that never end at a leader without a quorum.
TEST(NodeTest, IsolatedLeaderFailsPendingProposals) {
  std::set<core::member_id> isolated;
  fake_cluster cluster(
      3, 6, [&](const auto& from, const auto& to, const auto&) {
        const bool lost = isolated.contains(from) || isolated.contains(to);
        return lost ? std::nullopt : std::optional<core::duration>(1000);
      });
  StartAll(cluster);
  const std::size_t old = cluster.AwaitLeader();
  isolated.insert(cluster.members[old]->info.id);
  const auto open = cluster.Spawn(cluster.At(old).Propose("open"));
  ASSERT_TRUE(cluster.RunUntil([&] { return open->has_value(); }, seconds(2)));
  EXPECT_EQ((*open)->error(), core::failure(core::commit_unknown{}));
  EXPECT_FALSE(cluster.At(old).HoldsLease());
  EXPECT_FALSE(cluster.Await(cluster.At(old).ReadBarrier(read_check::kLease)));
  const std::size_t next = cluster.AwaitLeader();
  ASSERT_NE(next, old);
  ASSERT_TRUE(cluster.Await(cluster.At(next).Propose("next")));
  isolated.clear();
  cluster.RunFor(seconds(3));
  EXPECT_EQ(cluster.members[old]->machine->applied,
            cluster.members[next]->machine->applied);
  // Pre-vote keeps the isolated member from disrupting the new leader.
  EXPECT_EQ(cluster.Leader(), next);
}

// Guards against a stop that leaves the cell without a leader for an election
// timeout.
TEST(NodeTest, StopTransfersLeadership) {
  fake_cluster cluster(3, 7);
  StartAll(cluster);
  const std::size_t first = cluster.AwaitLeader();
  for (int i = 0; i < 20; ++i) {
    cluster.Spawn(cluster.At(first).Propose(std::to_string(i)));
  }
  cluster.Spawn(cluster.At(first).Stop());
  const auto has_new_leader = [&] {
    return cluster.Leader() && cluster.Leader() != first;
  };
  EXPECT_TRUE(cluster.RunUntil(has_new_leader, milliseconds(300)));
  const std::size_t second = cluster.AwaitLeader();
  cluster.RunFor(milliseconds(100));
  EXPECT_EQ(cluster.members[second]->machine->applied.size(), 20u);
}

// Guards against a member that continues after a failed sync: it can't know
// which earlier writes reached the disk.
TEST(NodeTest, FailedSyncStopsTheMember) {
  fake_cluster cluster(3, 8);
  StartAll(cluster);
  const std::size_t leader = cluster.AwaitLeader();
  const core::storage_failed failure{core::storage_failed::kind::kSync, "log",
                                     "injected"};
  cluster.members[leader]->disk->sync_failure = failure;
  const auto stopped = cluster.Spawn(cluster.At(leader).Stopped());
  const auto lost = cluster.Spawn(cluster.At(leader).Propose("x"));
  ASSERT_TRUE(
      cluster.RunUntil([&] { return stopped->has_value(); }, seconds(1)));
  EXPECT_EQ(**stopped, core::failure(failure));
  cluster.members[leader]->disk->sync_failure.reset();
  ASSERT_TRUE(cluster.RunUntil([&] { return lost->has_value(); }, seconds(1)));
  EXPECT_EQ((*lost)->error(), core::failure(core::commit_unknown{}));
  EXPECT_FALSE(cluster.Await(cluster.At(leader).Propose("y")));
  EXPECT_NE(cluster.AwaitLeader(), leader);
}

// Guards against a member that ends again and again while its disk is full, and
// against one that acknowledges what it has not written, or never ends.
TEST(NodeTest, WaitsForRoomOnAFullDisk) {
  fake_cluster cluster(1, 15);
  cluster.Start(0);
  cluster.AwaitLeader();
  const auto stopped = cluster.Spawn(cluster.At(0).Stopped());
  cluster.members[0]->disk->LimitRoom(10);
  const auto written = cluster.Spawn(cluster.At(0).Propose("a"));
  cluster.RunFor(seconds(3));
  EXPECT_FALSE(written->has_value());
  EXPECT_FALSE(stopped->has_value());
  cluster.members[0]->disk->capacity = SIZE_MAX;
  ASSERT_TRUE(
      cluster.RunUntil([&] { return written->has_value(); }, seconds(1)));
  EXPECT_TRUE(**written);
  cluster.members[0]->disk->LimitRoom(10);
  const auto lost = cluster.Spawn(cluster.At(0).Propose("b"));
  ASSERT_TRUE(
      cluster.RunUntil([&] { return stopped->has_value(); }, seconds(11)));
  const core::failure failure = **stopped;
  EXPECT_EQ(std::get<core::storage_failed>(failure).k,
            core::storage_failed::kind::kFull);
  EXPECT_EQ((*lost)->error(), core::failure(core::commit_unknown{}));
}

// Guards against a process that ends, and loses its term, as its log finds no
// file descriptor for a while.
TEST(NodeTest, WaitsForADescriptor) {
  fake_cluster cluster(1, 15);
  cluster.Start(0);
  cluster.AwaitLeader();
  const auto stopped = cluster.Spawn(cluster.At(0).Stopped());
  cluster.members[0]->disk->append_failure = core::storage_failed{
      core::storage_failed::kind::kNoDescriptor, "log", "injected"};
  const auto written = cluster.Spawn(cluster.At(0).Propose("a"));
  cluster.RunFor(seconds(30));
  EXPECT_FALSE(written->has_value());
  EXPECT_FALSE(stopped->has_value());
  cluster.members[0]->disk->append_failure.reset();
  ASSERT_TRUE(
      cluster.RunUntil([&] { return written->has_value(); }, seconds(1)));
  EXPECT_TRUE(**written);
}

// Guards against a new voter that counts toward a quorum before it has the log,
// and against a removed leader that does not step down.
TEST(NodeTest, AddsAndRemovesMembersOneAtATime) {
  fake_cluster cluster(3, 9);
  StartAll(cluster);
  std::size_t leader = cluster.AwaitLeader();
  for (int i = 0; i < 50; ++i) {
    ASSERT_TRUE(cluster.Await(cluster.At(leader).Propose("a")));
  }
  const std::size_t added = cluster.AddMember();
  cluster.base.create = false;
  cluster.base.join = true;
  cluster.Start(added);
  const auto first = cluster.Spawn(
      cluster.At(leader).ChangeMember(cluster.members[3]->info, false));
  const auto second = cluster.Await(
      cluster.At(leader).ChangeMember(cluster.members[0]->info, true));
  EXPECT_FALSE(second);
  ASSERT_TRUE(cluster.RunUntil([&] { return first->has_value(); }, seconds(5)));
  ASSERT_TRUE(**first) << core::Describe((*first)->error());
  cluster.RunFor(seconds(1));
  EXPECT_EQ(cluster.members[added]->machine->applied.size(), 50u);
  const auto members = cluster.At(added).Status().members.members;
  ASSERT_EQ(members.size(), 4u);
  EXPECT_TRUE(members[3].voter);
  EXPECT_NE(members[3].disk_id, 0u);

  const auto removed = cluster.Await(
      cluster.At(leader).ChangeMember(cluster.members[leader]->info, true));
  ASSERT_TRUE(removed) << core::Describe(removed.error());
  cluster.RunFor(milliseconds(10));
  EXPECT_FALSE(cluster.At(leader).Status().is_leader);
  const std::size_t next = cluster.AwaitLeader();
  EXPECT_NE(next, leader);
  ASSERT_TRUE(cluster.Await(cluster.At(next).Propose("b")));
  EXPECT_EQ(cluster.At(next).Status().members.members.size(), 3u);
}

// Guards against a member with a lost disk that starts without `join`, or that
// counts toward a quorum before it has the log.
TEST(NodeTest, MemberWithALostDiskRejoinsAsALearner) {
  fake_cluster cluster(3, 10);
  StartAll(cluster);
  const std::size_t leader = cluster.AwaitLeader();
  ASSERT_TRUE(cluster.Await(cluster.At(leader).Propose("a")));
  cluster.RunFor(seconds(1));
  const std::size_t lost = (leader + 1) % 3;
  cluster.Crash(lost);
  cluster.members[lost]->disk = std::make_shared<fake_disk>();
  cluster.base.create = false;
  cluster.Start(lost);
  cluster.RunFor(seconds(1));
  ASSERT_TRUE(cluster.members[lost]->started->has_value());
  EXPECT_FALSE(cluster.members[lost]->HasStarted());
  cluster.Crash(lost);
  cluster.base.join = true;
  cluster.Start(lost);
  cluster.RunFor(seconds(1));
  EXPECT_FALSE(cluster.At(leader).Status().members.members[lost].voter);
  EXPECT_EQ(cluster.members[lost]->machine->applied.size(), 1u);
  const auto back = cluster.Await(
      cluster.At(leader).ChangeMember(cluster.members[lost]->info, false));
  ASSERT_TRUE(back) << core::Describe(back.error());
  EXPECT_TRUE(cluster.At(leader).Status().members.members[lost].voter);
}

// Guards against the demotion of a sound voter: a process that leads again knew
// the member's former disk and took it for a newer one.
TEST(NodeTest, ALeaderForgetsTheDiskIdsOfItsFormerTerm) {
  std::optional<core::member_id> slow;
  fake_cluster cluster(3, 31, [&](const auto& from, const auto&, const auto&) {
    const bool is_slow = slow == from;
    return std::optional<core::duration>(milliseconds(is_slow ? 100 : 1));
  });
  StartAll(cluster);
  const std::size_t first = cluster.AwaitLeader();
  const std::size_t lost = (first + 1) % 3;
  const std::size_t second = (first + 2) % 3;
  cluster.RunFor(seconds(1));
  const auto given = cluster.Await(
      cluster.At(first).TransferLeadership(cluster.members[second]->info.id));
  ASSERT_TRUE(given) << core::Describe(given.error());
  ASSERT_EQ(cluster.AwaitLeader(), second);

  cluster.LoseDisk(lost);
  cluster.Start(lost);
  cluster.RunFor(seconds(1));
  const auto promoted = cluster.Await(
      cluster.At(second).ChangeMember(cluster.members[lost]->info, false));
  ASSERT_TRUE(promoted) << core::Describe(promoted.error());
  cluster.RunFor(seconds(1));
  const membership before = cluster.At(second).Status().members;

  // The first commit of the new term comes before the member's first reply.
  slow = cluster.members[lost]->info.id;
  const auto returned = cluster.Await(
      cluster.At(second).TransferLeadership(cluster.members[first]->info.id));
  ASSERT_TRUE(returned) << core::Describe(returned.error());
  ASSERT_EQ(cluster.AwaitLeader(), first);
  cluster.RunFor(seconds(1));
  EXPECT_EQ(cluster.At(first).Status().members, before);
}

// Guards against an election won with the vote of a member with a new, empty
// disk: the winner would lack entries that the lost disk had acknowledged.
TEST(NodeTest, MemberWithAnEmptyDiskDoesNotVote) {
  fake_cluster cluster(3, 11);
  StartAll(cluster);
  const std::size_t leader = cluster.AwaitLeader();
  const std::size_t lost = (leader + 1) % 3;
  const std::size_t lagging = (leader + 2) % 3;
  cluster.RunFor(seconds(1));
  cluster.Crash(lagging);
  ASSERT_TRUE(cluster.Await(cluster.At(leader).Propose("a")));
  cluster.Crash(leader);
  cluster.Crash(lost);
  cluster.members[lost]->disk = std::make_shared<fake_disk>();
  cluster.Start(lost);
  cluster.Start(lagging);
  cluster.RunFor(seconds(20));
  EXPECT_FALSE(cluster.Leader());
  cluster.Start(leader);
  EXPECT_EQ(cluster.AwaitLeader(), leader);
  cluster.RunFor(seconds(2));
  for (const auto& m : cluster.members) {
    EXPECT_EQ(m->machine->applied.size(), 1u);
  }
}

// Guards against the loss of committed entries in a new cell: until the disk
// ids are recorded, nothing tells a lost disk's member from the one that voted.
TEST(NodeTest, AMemberThatJoinsDoesNotVoteBeforeItKnowsTheMembers) {
  fake_cluster cluster(3, 34);
  cluster.members[0]->joins = true;
  cluster.Start(0);
  cluster.Start(1);
  cluster.RunFor(seconds(10));
  EXPECT_FALSE(cluster.Leader());
  cluster.Start(2);
  EXPECT_NE(cluster.AwaitLeader(), 0u);
  cluster.RunFor(seconds(2));
  EXPECT_EQ(cluster.At(0).Status().members, cluster.At(1).Status().members);
}

// Guards against a follower that never catches up: a heartbeat received right
// after a mismatching append cleared the mismatch before it was reported, and
// the leader waited for that reply.
TEST(NodeTest, HeartbeatDoesNotHideAMismatch) {
  fake_cluster cluster(3, 21);
  cluster.Start(1);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.members[1]->HasStarted(); },
                               seconds(1)));
  const auto leader = cluster.network.TransportOf(cluster.members[0]->info.id);
  const auto link = cluster.Await(leader->Connect(cluster.members[1]->info));
  ASSERT_TRUE(link);
  append_request probe;
  probe.term = 5;
  probe.leader = cluster.members[0]->info.id;
  probe.previous_revision = 10;
  probe.previous_term = 5;
  probe.round = 1;
  append_request heartbeat;
  heartbeat.term = 5;
  heartbeat.leader = probe.leader;
  heartbeat.round = 2;
  const message first = probe;
  const message second = heartbeat;
  ASSERT_TRUE(cluster.Await((*link)->Send(first)));
  ASSERT_TRUE(cluster.Await((*link)->Send(second)));
  bool mismatch_reported = false;
  for (std::uint64_t round = 0; !mismatch_reported && round < 2;) {
    const auto received = cluster.Await((*link)->Receive());
    ASSERT_TRUE(received);
    const auto& reply = std::get<append_reply>(*received);
    round = reply.round;
    mismatch_reported = !reply.matched;
  }
  EXPECT_TRUE(mismatch_reported);
}

// Guards against a transfer of leadership that a busy member carries out terms
// later: its election ignores leases, also that of the present leader.
TEST(NodeTest, ATransferEndsWithItsTerm) {
  fake_cluster cluster(3, 32);
  cluster.Start(1);
  ASSERT_TRUE(cluster.RunUntil([&] { return cluster.members[1]->HasStarted(); },
                               seconds(1)));
  const auto send = [&](std::size_t from, core::term term, bool transfer) {
    const core::member_id leader = cluster.members[from]->info.id;
    const auto transport = cluster.network.TransportOf(leader);
    const auto link =
        cluster.Await(transport->Connect(cluster.members[1]->info));
    ASSERT_TRUE(link);
    append_request append;
    append.term = term;
    append.leader = leader;
    const message first = append;
    const message second = leadership_transfer{term, leader};
    ASSERT_TRUE(cluster.Await((*link)->Send(first)));
    if (transfer) ASSERT_TRUE(cluster.Await((*link)->Send(second)));
    cluster.RunFor(milliseconds(20));
  };
  send(0, 5, false);
  // The election of the first transfer waits for the disk meanwhile.
  cluster.members[1]->runner->hangs_until =
      cluster.clock.Now() + milliseconds(500);
  send(0, 5, true);
  EXPECT_EQ(cluster.At(1).Status().term, 6u);
  send(0, 6, true);
  send(2, 7, false);
  cluster.RunFor(milliseconds(600));
  EXPECT_EQ(cluster.At(1).Status().term, 7u);
  EXPECT_EQ(cluster.At(1).Status().leader, cluster.members[2]->info.id);
}

// Guards against a leader that loses its majority while the member that it
// needs writes a snapshot to a slow disk and reads no heartbeats.
TEST(NodeTest, AMemberAnswersHeartbeatsWhileItWritesASnapshot) {
  fake_cluster cluster(3, 33);
  cluster.base.snapshot_after_bytes = 1500;
  StartAll(cluster);
  const std::size_t leader = cluster.AwaitLeader();
  const std::size_t slow = (leader + 1) % 3;
  const std::size_t other = (leader + 2) % 3;
  cluster.Crash(slow);
  for (int i = 0; i < 100; ++i) {
    ASSERT_TRUE(cluster.Await(cluster.At(leader).Propose("command")));
  }
  cluster.Start(slow);
  const auto machine = cluster.members[slow]->machine;
  ASSERT_TRUE(
      cluster.RunUntil([&] { return machine->restores > 0; }, seconds(2)));
  const core::duration hang = 3 * cluster.base.election_timeout;
  cluster.members[slow]->runner->hangs_until = cluster.clock.Now() + hang;
  cluster.Crash(other);
  const core::term term = cluster.At(leader).Status().term;
  const core::time_point end = cluster.clock.Now() + hang;
  while (cluster.clock.Now() < end) {
    cluster.RunFor(cluster.base.heartbeat_interval);
    ASSERT_TRUE(cluster.At(leader).HoldsLease());
  }
  EXPECT_EQ(cluster.At(leader).Status().term, term);
  ASSERT_TRUE(cluster.Await(cluster.At(leader).Propose("after")));
}

// Guards against a membership change that leaves the cell without a quorum.
TEST(NodeTest, RefusesToRemoveTheLastVoter) {
  fake_cluster cluster(1, 13);
  cluster.Start(0);
  cluster.AwaitLeader();
  cluster.RunFor(seconds(1));
  const member self = cluster.members[0]->info;
  EXPECT_FALSE(cluster.Await(cluster.At(0).ChangeMember(self, true)));
  EXPECT_TRUE(cluster.Await(cluster.At(0).Propose("a")));
}

/// A leader whose messages to one member are delayed and then delivered
/// together while that member campaigns; the other member hears nothing of it.
class interrupted_campaign {
 public:
  explicit interrupted_campaign(std::uint64_t seed)
      : cluster_(3, seed,
                 [this](const core::member_id& from, const core::member_id& to,
                        const message&) { return DecideDelay(from, to); }) {
    cluster_.base.election_timeout = milliseconds(600);
    cluster_.base.heartbeat_interval = milliseconds(120);
    StartAll(cluster_);
    leader_ = cluster_.AwaitLeader();
    cluster_.RunFor(seconds(2));
  }
  ~interrupted_campaign() {
    cluster_.after_step = [] {};
  }

  /// @return whether two members held the lease at once.
  bool Run() {
    if (cluster_.Leader() != leader_) return false;
    candidate_ = (leader_ + 1) % 3;
    begin_ = cluster_.clock.Now();
    bool overlapped = false;
    cluster_.after_step = [&] {
      std::size_t leases = 0;
      for (std::size_t i = 0; i < 3; ++i) {
        leases += cluster_.At(i).HoldsLease() ? 1 : 0;
      }
      overlapped = overlapped || leases > 1;
    };
    cluster_.RunFor(milliseconds(1'400));
    return overlapped;
  }

 private:
  static constexpr milliseconds kUsualDelay{4};
  static constexpr milliseconds kLeaderLeavesOther{180};
  static constexpr milliseconds kDelivery{700};
  static constexpr milliseconds kLeaderIsCutOff{720};

  std::optional<core::duration> DecideDelay(const core::member_id& from,
                                            const core::member_id& to) const {
    if (!begin_) return kUsualDelay;
    const core::duration elapsed = cluster_.clock.Now() - *begin_;
    const core::member_id leader = cluster_.members[leader_]->info.id;
    const core::member_id candidate = cluster_.members[candidate_]->info.id;
    if (from != leader && to != leader) return kUsualDelay;
    if (from == leader && to == candidate) {
      if (elapsed >= kDelivery) return std::nullopt;
      return core::duration(kDelivery) - elapsed;
    }
    const milliseconds limit =
        from == candidate ? kLeaderIsCutOff : kLeaderLeavesOther;
    if (elapsed >= limit) return std::nullopt;
    return kUsualDelay;
  }

  fake_cluster cluster_;
  std::size_t leader_ = 0;
  std::size_t candidate_ = 0;
  std::optional<core::time_point> begin_;
};

// Guards against a member that campaigns soon after it has renewed the leader's
// lease, since it was campaigning when the leader's message arrived.
TEST(NodeTest, AContactDuringACampaignHoldsOffTheNextOne) {
  constexpr std::uint64_t kSeeds = 60;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    EXPECT_FALSE(interrupted_campaign(seed).Run()) << "seed " << seed;
  }
}

// Guards against an unbounded queue of proposals.
TEST(NodeTest, RefusesProposalsOverTheLimit) {
  fake_cluster cluster(1, 12);
  cluster.base.max_pending_bytes = 100;
  cluster.Start(0);
  cluster.AwaitLeader();
  const auto first = cluster.Spawn(cluster.At(0).Propose(std::string(90, 'x')));
  const auto second =
      cluster.Spawn(cluster.At(0).Propose(std::string(90, 'y')));
  cluster.RunFor(seconds(1));
  EXPECT_TRUE(**first);
  ASSERT_FALSE(**second);
  EXPECT_TRUE(std::holds_alternative<core::unavailable>((*second)->error()));
}

}  // namespace
}  // namespace mangoplank::consensus
