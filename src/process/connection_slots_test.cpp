#include "mangoplank/process/connection_slots.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <vector>

namespace mangoplank::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ConnectionSlotsTest : public testing::Test {
 protected:
  using permit_ptr = std::unique_ptr<connection_slots::permit>;

  /// Waits for a permit until the deadline, and keeps it.
  void Request(connection_slots& slots, connection_duty duty,
               core::duration timeout, std::vector<permit_ptr>& granted) {
    boost::asio::co_spawn(
        context_,
        [](connection_slots& from, connection_duty wanted,
           core::time_point deadline,
           std::vector<permit_ptr>& out) -> core::awaitable<void> {
          auto own = co_await from.Acquire(wanted, deadline);
          out.push_back(std::move(own));
        }(slots, duty, clock_.Now() + timeout, granted),
        boost::asio::detached);
    Poll();
  }
  void Poll() {
    context_.restart();
    while (context_.poll() > 0) context_.restart();
  }
  void Advance(core::duration time) {
    clock_.AdvanceTo(clock_.Now() + time);
    Poll();
  }

  boost::asio::io_context context_;
  core::fake_clock clock_;
};

// Guards against polls of 1,500 workers that leave no connection for orders.
TEST_F(ConnectionSlotsTest, PollsLeaveConnectionsToOrders) {
  connection_slots slots(context_.get_executor(), clock_, 3'000);
  std::vector<permit_ptr> polls;
  std::vector<permit_ptr> orders;
  for (int i = 0; i < 2'500; ++i) {
    Request(slots, connection_duty::kPoll, seconds(1), polls);
  }
  EXPECT_GE(polls.size(), 1'500u);
  EXPECT_EQ(slots.Usage().waiting, 2'500 - polls.size());
  for (int i = 0; i < 500; ++i) {
    Request(slots, connection_duty::kOrder, seconds(1), orders);
  }
  EXPECT_EQ(orders.size(), 500u);
}

// Guards against a task that waits past its deadline, or is forgotten.
TEST_F(ConnectionSlotsTest, AWaitEndsAtItsDeadline) {
  connection_slots slots(context_.get_executor(), clock_, 1);
  std::vector<permit_ptr> first;
  std::vector<permit_ptr> second;
  Request(slots, connection_duty::kOrder, seconds(1), first);
  Request(slots, connection_duty::kOrder, milliseconds(300), second);
  EXPECT_TRUE(second.empty());
  Advance(milliseconds(300));
  ASSERT_EQ(second.size(), 1u);
  EXPECT_EQ(second[0], nullptr);
  EXPECT_EQ(slots.Usage().waiting, 0u);
}

// Guards against polls that overtake orders which wait for a connection.
TEST_F(ConnectionSlotsTest, OrdersComeBeforeChecksAndPolls) {
  connection_slots slots(context_.get_executor(), clock_, 4);
  std::vector<permit_ptr> held;
  for (int i = 0; i < 4; ++i) {
    Request(slots, connection_duty::kOrder, seconds(1), held);
  }
  std::vector<permit_ptr> polls;
  std::vector<permit_ptr> checks;
  std::vector<permit_ptr> orders;
  Request(slots, connection_duty::kPoll, seconds(1), polls);
  Request(slots, connection_duty::kCheck, seconds(1), checks);
  Request(slots, connection_duty::kOrder, seconds(1), orders);
  held.pop_back();
  Poll();
  EXPECT_EQ(orders.size(), 1u);
  EXPECT_TRUE(checks.empty());
  held.pop_back();
  Poll();
  EXPECT_EQ(checks.size(), 1u);
  EXPECT_TRUE(polls.empty());
  held.pop_back();
  Poll();
  EXPECT_EQ(polls.size(), 1u);
}

// Guards against connections that are granted beyond a limit which was lowered
// while the process runs, and against tasks that wait on after it was raised.
TEST_F(ConnectionSlotsTest, FollowsALimitThatChanges) {
  connection_slots slots(context_.get_executor(), clock_, 8);
  std::vector<permit_ptr> held;
  for (int i = 0; i < 6; ++i) {
    Request(slots, connection_duty::kOrder, seconds(1), held);
  }
  EXPECT_EQ(slots.MaxIdle(), 2u);
  slots.SetLimit(4);
  EXPECT_EQ(slots.MaxIdle(), 0u);
  std::vector<permit_ptr> more;
  Request(slots, connection_duty::kOrder, seconds(1), more);
  held.resize(4);
  Poll();
  EXPECT_TRUE(more.empty());
  held.resize(3);
  Poll();
  EXPECT_EQ(more.size(), 1u);
  Request(slots, connection_duty::kOrder, seconds(1), more);
  EXPECT_EQ(more.size(), 1u);
  slots.SetLimit(8);
  Poll();
  EXPECT_EQ(more.size(), 2u);
}

// Guards against leases that end while other polls keep their connections for
// the whole wait.
TEST_F(ConnectionSlotsTest, PollsWaitLessWhileOthersHaveNoConnection) {
  connection_slots slots(context_.get_executor(), clock_, 4);
  std::vector<permit_ptr> polls;
  for (int i = 0; i < 3; ++i) {
    Request(slots, connection_duty::kPoll, seconds(1), polls);
  }
  EXPECT_EQ(slots.BoundPollWait(seconds(2)), seconds(2));
  Request(slots, connection_duty::kPoll, seconds(1), polls);
  ASSERT_EQ(polls.size(), 3u);
  EXPECT_LE(slots.BoundPollWait(seconds(2)), milliseconds(500));
}

}  // namespace
}  // namespace mangoplank::process
