#include "mangoplank/dispatch/membership.h"

#include <gtest/gtest.h>

#include <set>

#include "consensus/fake_cluster.h"

namespace mangoplank::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Five members, each with the tasks of a control process that concern the
/// members: the leader changes them, and each requests to join when it must.
/// As in a real cell, a process learns the members from the leader it reaches.
class MembershipTest : public testing::Test {
 protected:
  MembershipTest()
      : cluster_(
            5, 11,
            [this](const core::member_id& from, const core::member_id& to,
                   const consensus::message&) -> std::optional<core::duration> {
              if (cut_.contains(from) != cut_.contains(to)) {
                return std::nullopt;
              }
              return milliseconds(1);
            }) {
    for (std::size_t i = 0; i < 5; ++i) cluster_.Start(i);
    cluster_.AwaitLeader();
    Settle(seconds(1));
  }

  static core::member_id Id(std::size_t i) { return {"m" + std::to_string(i)}; }
  std::size_t Leader() { return cluster_.AwaitLeader(); }
  std::vector<std::size_t> Followers() {
    std::vector<std::size_t> followers;
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) {
      const bool is_running = cluster_.members[i]->node != nullptr;
      if (is_running && i != Leader()) followers.push_back(i);
    }
    return followers;
  }
  void Cut(std::size_t i) { cut_.insert(Id(i)); }
  void Heal(std::size_t i) { cut_.erase(Id(i)); }
  /// Ends a member for good and starts an empty one in its place.
  std::size_t Replace(std::size_t i) {
    cluster_.LoseDisk(i);
    const std::size_t added = cluster_.AddMember();
    cluster_.members[added]->joins = true;
    Settle(seconds(1));
    cluster_.Start(added);
    return added;
  }
  void WipeAndRestart(const std::vector<std::size_t>& lost) {
    for (const std::size_t i : lost) cluster_.LoseDisk(i);
    Settle(milliseconds(1'600));
    for (const std::size_t i : lost) cluster_.Start(i);
  }

  /// Lets time pass while all processes see to the members.
  void Settle(core::duration duration) {
    const core::time_point end = cluster_.clock.Now() + duration;
    while (cluster_.clock.Now() < end) {
      cluster_.RunFor(milliseconds(250));
      const auto leader = cluster_.Leader();
      if (!leader) continue;
      if (leader != managed_by_) {
        manager_ = std::make_unique<membership_manager>(membership_settings{},
                                                        cluster_.At(*leader));
        managed_by_ = leader;
      }
      RequestJoins(*leader);
      cluster_.Await(StepOnce(*manager_));
    }
  }
  void RequestJoins(std::size_t leader) {
    const auto known = cluster_.At(leader).Status().members;
    workflow::member_list reported{known.revision, {}};
    for (const auto& m : known.members) reported.ids.push_back(m.id);
    for (const std::size_t i : Followers()) {
      if (cut_.contains(Id(i)) != cut_.contains(Id(leader))) continue;
      if (!MustRequestToJoin(Id(i), reported)) continue;
      manager_->RequestJoin(Id(i), cluster_.members[i]->info.address);
    }
  }
  static core::awaitable<core::outcome<void>> StepOnce(
      membership_manager& manager) {
    co_await manager.Step();
    co_return core::outcome<void>();
  }
  std::set<core::member_id> Voters() {
    std::set<core::member_id> voters;
    for (const auto& m : cluster_.At(Leader()).Status().members.members) {
      if (m.voter) voters.insert(m.id);
    }
    return voters;
  }
  std::set<core::member_id> Running() {
    std::set<core::member_id> running;
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) {
      if (cluster_.members[i]->node) running.insert(Id(i));
    }
    return running;
  }
  bool CanCommit() {
    const auto leader = cluster_.Leader();
    return leader &&
           cluster_.Await(cluster_.At(*leader).Propose("x")).has_value();
  }

  std::set<core::member_id> cut_;
  consensus::fake_cluster cluster_;
  std::unique_ptr<membership_manager> manager_;
  std::optional<std::size_t> managed_by_;
};

// Guards against a member that is removed while it is cut off, in place of the
// one that was replaced, and never votes again: two lost disks then end the
// cell for good.
TEST_F(MembershipTest, AMemberThatWasCutOffDuringAReplacementVotesAgain) {
  const auto followers = Followers();
  const std::size_t cut = followers[0];
  Cut(cut);
  Settle(milliseconds(600));
  Replace(followers[1]);
  Settle(seconds(4));
  Heal(cut);
  Settle(seconds(4));
  EXPECT_EQ(Voters(), Running());
  WipeAndRestart({Leader(), followers[2]});
  Settle(seconds(12));
  EXPECT_TRUE(CanCommit());
  EXPECT_EQ(Voters(), Running());
}

// Guards against the same if the leader is replaced while a member is cut off,
// so that the next leader does not know since when others have been silent.
TEST_F(MembershipTest, AMemberThatWasCutOffVotesAgainAfterALeaderChange) {
  const std::size_t cut = Followers()[0];
  Cut(cut);
  Settle(milliseconds(600));
  Replace(Leader());
  Settle(seconds(4));
  Heal(cut);
  Settle(seconds(4));
  EXPECT_EQ(Voters(), Running());
}

// Guards against a member that returns after all others were replaced: its own
// copy of the log names none that is left.
TEST_F(MembershipTest, AMemberThatReturnsAfterAllOthersWereReplacedVotesAgain) {
  const std::size_t cut = Followers()[0];
  Cut(cut);
  for (std::size_t i = 0; i < 5; ++i) {
    if (i == cut) continue;
    Replace(i);
    Settle(seconds(5));
  }
  Heal(cut);
  Settle(seconds(4));
  EXPECT_EQ(Voters(), Running());
  EXPECT_EQ(Voters().size(), 5u);
}

// Guards against fewer tolerated losses than promised while members are
// replaced one after the other.
TEST_F(MembershipTest, EachReplacementLeavesFiveVotersThatRun) {
  for (std::size_t i = 0; i < 5; ++i) {
    Replace(i);
    Settle(seconds(4));
    EXPECT_EQ(Voters(), Running()) << "after " << i + 1;
  }
  EXPECT_TRUE(CanCommit());
}

TEST(MustRequestToJoinTest, DependsOnTheReportedMembers) {
  const workflow::member_list reported{7, {{"m0"}, {"m1"}}};
  EXPECT_FALSE(MustRequestToJoin({"m1"}, reported));
  EXPECT_TRUE(MustRequestToJoin({"m2"}, reported));
}

}  // namespace
}  // namespace mangoplank::dispatch
