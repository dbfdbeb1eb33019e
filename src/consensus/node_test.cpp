#include "mangoplank/consensus/node.h"

#include <gtest/gtest.h>

#include <set>

#include "consensus/fake_cluster.h"

namespace mangoplank::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void StartAll(fake_cluster& c) {
  for (std::size_t i = 0; i < c.members.size(); ++i) c.Start(i);
}

// Guards against a member that waits for others although it is alone.
TEST(NodeTest, OneMemberCommits) {
  fake_cluster c(1, 1);
  c.Start(0);
  c.AwaitLeader();
  const auto at = c.Await(c.At(0).Propose("a"));
  ASSERT_TRUE(at) << core::Describe(at.error());
  const auto read = c.Await(c.At(0).ReadBarrier(read_check::kLease));
  ASSERT_TRUE(read);
  EXPECT_GE(*read, *at);
  EXPECT_EQ(c.members[0]->machine->applied.back().second, "a");
}

// Guards against entries that are committed but never reach the followers.
TEST(NodeTest, ThreeMembersReplicate) {
  fake_cluster c(3, 2);
  StartAll(c);
  const std::size_t leader = c.AwaitLeader();
  for (int i = 0; i < 100; ++i) {
    const auto at = c.Await(c.At(leader).Propose(std::to_string(i)));
    ASSERT_TRUE(at) << core::Describe(at.error());
  }
  c.RunFor(seconds(1));
  for (const auto& m : c.members) {
    EXPECT_EQ(m->machine->applied.size(), 100u);
    EXPECT_EQ(m->machine->applied, c.members[0]->machine->applied);
  }
  const std::size_t other = (leader + 1) % 3;
  const auto refused = c.Await(c.At(other).Propose("x"));
  ASSERT_FALSE(refused);
  EXPECT_EQ(refused.error(),
            core::failure(core::not_leader{c.members[leader]->who.id}));
}

// Guards against a cell that stays without a leader after one has died.
TEST(NodeTest, AnotherMemberLeadsAfterACrash) {
  fake_cluster c(3, 3);
  StartAll(c);
  const std::size_t first = c.AwaitLeader();
  ASSERT_TRUE(c.Await(c.At(first).Propose("before")));
  const auto start = c.clock.Now();
  c.Crash(first);
  const std::size_t second = c.AwaitLeader();
  EXPECT_LT(c.clock.Now() - start, seconds(2));
  ASSERT_TRUE(c.Await(c.At(second).Propose("after")));
  c.Start(first);
  c.RunFor(seconds(1));
  const auto& applied = c.members[first]->machine->applied;
  ASSERT_EQ(applied.size(), 2u);
  EXPECT_EQ(applied[1].second, "after");
}

// Guards against commits that a restart of all members forgets.
TEST(NodeTest, ARestartOfAllMembersKeepsTheLog) {
  fake_cluster c(3, 4);
  StartAll(c);
  ASSERT_TRUE(c.Await(c.At(c.AwaitLeader()).Propose("kept")));
  for (std::size_t i = 0; i < 3; ++i) c.Crash(i);
  StartAll(c);
  const std::size_t leader = c.AwaitLeader();
  ASSERT_TRUE(c.Await(c.At(leader).ReadBarrier(read_check::kLease)));
  ASSERT_EQ(c.members[leader]->machine->applied.size(), 1u);
  EXPECT_EQ(c.members[leader]->machine->applied[0].second, "kept");
}

// Guards against a member that can't catch up once the log is cut, and against
// a log or memory that grows without bound.
TEST(NodeTest, ALateMemberGetsASnapshotInChunks) {
  fake_cluster c(3, 5);
  c.base.snapshot_after_bytes = 4000;
  c.base.snapshot_chunk_bytes = 500;
  StartAll(c);
  const std::size_t leader = c.AwaitLeader();
  const std::size_t late = (leader + 1) % 3;
  c.Crash(late);
  for (int i = 0; i < 300; ++i) {
    ASSERT_TRUE(c.Await(c.At(leader).Propose(std::string(50, 'a' + i % 26))));
  }
  EXPECT_GT(c.At(leader).Status().first_kept, 200u);
  c.Start(late);
  c.RunFor(seconds(3));
  EXPECT_EQ(c.members[late]->machine->applied,
            c.members[leader]->machine->applied);
  EXPECT_EQ(c.members[late]->machine->restores, 1u);
  EXPECT_LE(c.members[leader]->files->files.size(), 5u);
  c.Crash(late);
  c.Start(late);
  c.RunFor(seconds(1));
  EXPECT_EQ(c.members[late]->machine->applied,
            c.members[leader]->machine->applied);
}

// Guards against a proposal that waits for ever at a leader without followers.
TEST(NodeTest, AnIsolatedLeaderEndsItsProposals) {
  std::set<core::member_id> cut;
  fake_cluster c(3, 6, [&](const auto& from, const auto& to, const auto&) {
    const bool lost = cut.contains(from) || cut.contains(to);
    return lost ? std::nullopt : std::optional<core::duration>(1000);
  });
  StartAll(c);
  const std::size_t old = c.AwaitLeader();
  cut.insert(c.members[old]->who.id);
  const auto open = c.Go(c.At(old).Propose("open"));
  ASSERT_TRUE(c.RunUntil([&] { return open->has_value(); }, seconds(2)));
  EXPECT_EQ((*open)->error(), core::failure(core::commit_unknown{}));
  EXPECT_FALSE(c.At(old).HoldsLease());
  EXPECT_FALSE(c.Await(c.At(old).ReadBarrier(read_check::kLease)));
  const std::size_t next = c.AwaitLeader();
  ASSERT_NE(next, old);
  ASSERT_TRUE(c.Await(c.At(next).Propose("next")));
  cut.clear();
  c.RunFor(seconds(3));
  EXPECT_EQ(c.members[old]->machine->applied,
            c.members[next]->machine->applied);
  // Pre-vote keeps the member that was cut off from ending the new term.
  EXPECT_EQ(c.Leader(), next);
}

// Guards against a stop that leaves the cell without a leader for an election
// timeout.
TEST(NodeTest, StopPassesLeadershipOn) {
  fake_cluster c(3, 7);
  StartAll(c);
  const std::size_t first = c.AwaitLeader();
  for (int i = 0; i < 20; ++i) c.Go(c.At(first).Propose(std::to_string(i)));
  c.Go(c.At(first).Stop());
  const auto led = [&] { return c.Leader() && c.Leader() != first; };
  EXPECT_TRUE(c.RunUntil(led, milliseconds(300)));
  const std::size_t second = c.AwaitLeader();
  c.RunFor(milliseconds(100));
  EXPECT_EQ(c.members[second]->machine->applied.size(), 20u);
}

// Guards against a member that goes on after a failed sync, when it can't know
// which earlier writes reached the disk.
TEST(NodeTest, AFailedSyncStopsTheMember) {
  fake_cluster c(3, 8);
  StartAll(c);
  const std::size_t leader = c.AwaitLeader();
  const core::storage_failed failure{core::storage_failed::kind::kSync, "log",
                                     "injected"};
  c.members[leader]->files->sync_failure = failure;
  const auto stopped = c.Go(c.At(leader).Stopped());
  const auto lost = c.Go(c.At(leader).Propose("x"));
  ASSERT_TRUE(c.RunUntil([&] { return stopped->has_value(); }, seconds(1)));
  EXPECT_EQ(**stopped, core::failure(failure));
  c.members[leader]->files->sync_failure.reset();
  ASSERT_TRUE(c.RunUntil([&] { return lost->has_value(); }, seconds(1)));
  EXPECT_EQ((*lost)->error(), core::failure(core::commit_unknown{}));
  EXPECT_FALSE(c.Await(c.At(leader).Propose("y")));
  EXPECT_NE(c.AwaitLeader(), leader);
}

// Guards against a new voter that counts before it has the log, and against a
// removed leader that goes on to lead.
TEST(NodeTest, MembersAreAddedAndRemovedOneAtATime) {
  fake_cluster c(3, 9);
  StartAll(c);
  std::size_t leader = c.AwaitLeader();
  for (int i = 0; i < 50; ++i) ASSERT_TRUE(c.Await(c.At(leader).Propose("a")));
  const std::size_t added = c.Add();
  c.base.create = false;
  c.base.join = true;
  c.Start(added);
  const auto first = c.Go(c.At(leader).ChangeMember(c.members[3]->who, false));
  const auto second =
      c.Await(c.At(leader).ChangeMember(c.members[0]->who, true));
  EXPECT_FALSE(second);
  ASSERT_TRUE(c.RunUntil([&] { return first->has_value(); }, seconds(5)));
  ASSERT_TRUE(**first) << core::Describe((*first)->error());
  c.RunFor(seconds(1));
  EXPECT_EQ(c.members[added]->machine->applied.size(), 50u);
  const auto members = c.At(added).Status().members.members;
  ASSERT_EQ(members.size(), 4u);
  EXPECT_TRUE(members[3].voter);
  EXPECT_NE(members[3].disk, 0u);

  const auto removed =
      c.Await(c.At(leader).ChangeMember(c.members[leader]->who, true));
  ASSERT_TRUE(removed) << core::Describe(removed.error());
  c.RunFor(milliseconds(10));
  EXPECT_FALSE(c.At(leader).Status().leads);
  const std::size_t next = c.AwaitLeader();
  EXPECT_NE(next, leader);
  ASSERT_TRUE(c.Await(c.At(next).Propose("b")));
  EXPECT_EQ(c.At(next).Status().members.members.size(), 3u);
}

// Guards against a lost disk that is taken for an empty member: without `join`
// it must not start, and with it, it must not count before it has the log.
TEST(NodeTest, AMemberWithALostDiskRejoinsAsALearner) {
  fake_cluster c(3, 10);
  StartAll(c);
  const std::size_t leader = c.AwaitLeader();
  ASSERT_TRUE(c.Await(c.At(leader).Propose("a")));
  c.RunFor(seconds(1));
  const std::size_t lost = (leader + 1) % 3;
  c.Crash(lost);
  c.members[lost]->files = std::make_shared<fake_disk>();
  c.base.create = false;
  c.Start(lost);
  c.RunFor(seconds(1));
  ASSERT_TRUE(c.members[lost]->started->has_value());
  EXPECT_FALSE(c.members[lost]->HasStarted());
  c.Crash(lost);
  c.base.join = true;
  c.Start(lost);
  c.RunFor(seconds(1));
  EXPECT_FALSE(c.At(leader).Status().members.members[lost].voter);
  EXPECT_EQ(c.members[lost]->machine->applied.size(), 1u);
  const auto back =
      c.Await(c.At(leader).ChangeMember(c.members[lost]->who, false));
  ASSERT_TRUE(back) << core::Describe(back.error());
  EXPECT_TRUE(c.At(leader).Status().members.members[lost].voter);
}

// Guards against an election that a member with a new, empty disk helps to win:
// the winner would lack commits that the lost disk had acknowledged.
TEST(NodeTest, AnEmptyDiskDoesNotVote) {
  fake_cluster c(3, 11);
  StartAll(c);
  const std::size_t leader = c.AwaitLeader();
  const std::size_t lost = (leader + 1) % 3;
  const std::size_t late = (leader + 2) % 3;
  c.RunFor(seconds(1));
  c.Crash(late);
  ASSERT_TRUE(c.Await(c.At(leader).Propose("a")));
  c.Crash(leader);
  c.Crash(lost);
  c.members[lost]->files = std::make_shared<fake_disk>();
  c.Start(lost);
  c.Start(late);
  c.RunFor(seconds(20));
  EXPECT_FALSE(c.Leader());
  c.Start(leader);
  EXPECT_EQ(c.AwaitLeader(), leader);
  c.RunFor(seconds(2));
  for (const auto& m : c.members) EXPECT_EQ(m->machine->applied.size(), 1u);
}

// Guards against a member that stays behind for good: a heartbeat that came
// right after an append that did not match made the member forget to say so,
// and the leader waited for that reply.
TEST(NodeTest, AHeartbeatDoesNotHideAMismatch) {
  fake_cluster c(3, 21);
  c.Start(1);
  ASSERT_TRUE(
      c.RunUntil([&] { return c.members[1]->HasStarted(); }, seconds(1)));
  const auto leader = c.network.TransportOf(c.members[0]->who.id);
  const auto link = c.Await(leader->Connect(c.members[1]->who));
  ASSERT_TRUE(link);
  append_request probe;
  probe.t = 5;
  probe.leader = c.members[0]->who.id;
  probe.previous_at = 10;
  probe.previous_term = 5;
  probe.round = 1;
  append_request heartbeat;
  heartbeat.t = 5;
  heartbeat.leader = probe.leader;
  heartbeat.round = 2;
  const message first = probe;
  const message second = heartbeat;
  ASSERT_TRUE(c.Await((*link)->Send(first)));
  ASSERT_TRUE(c.Await((*link)->Send(second)));
  bool told = false;
  for (std::uint64_t round = 0; !told && round < 2;) {
    const auto m = c.Await((*link)->Receive());
    ASSERT_TRUE(m);
    const auto& reply = std::get<append_reply>(*m);
    round = reply.round;
    told = !reply.matched;
  }
  EXPECT_TRUE(told);
}

// Guards against a change that leaves a cell that can never decide again.
TEST(NodeTest, KeepsTheLastVoter) {
  fake_cluster c(1, 13);
  c.Start(0);
  c.AwaitLeader();
  c.RunFor(seconds(1));
  const member self = c.members[0]->who;
  EXPECT_FALSE(c.Await(c.At(0).ChangeMember(self, true)));
  EXPECT_TRUE(c.Await(c.At(0).Propose("a")));
}

// Guards against an unbounded queue of proposals.
TEST(NodeTest, RefusesProposalsOverTheLimit) {
  fake_cluster c(1, 12);
  c.base.max_pending_bytes = 100;
  c.Start(0);
  c.AwaitLeader();
  const auto first = c.Go(c.At(0).Propose(std::string(90, 'x')));
  const auto second = c.Go(c.At(0).Propose(std::string(90, 'y')));
  c.RunFor(seconds(1));
  EXPECT_TRUE(**first);
  ASSERT_FALSE(**second);
  EXPECT_TRUE(std::holds_alternative<core::unavailable>((*second)->error()));
}

}  // namespace
}  // namespace mangoplank::consensus
