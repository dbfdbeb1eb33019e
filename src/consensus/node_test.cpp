#include "mangoplank/consensus/node.h"

#include <gtest/gtest.h>

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
  const auto read = c.Await(c.At(0).ReadBarrier());
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

}  // namespace
}  // namespace mangoplank::consensus
