#include "dispatch/eligibility_proxy_queue.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <vector>

namespace mangoplank::dispatch {
namespace {

using core::milliseconds;

class EligibilityProxyQueueTest : public testing::Test {
 protected:
  EligibilityProxyQueueTest() : queue_(context_.get_executor(), clock_) {}

  /// Starts a call that notes its name when it gets a proxy, or the name with a
  /// minus if it does not within a second.
  void Call(int name, std::int32_t priority) { Spawn(Acquire(name, priority)); }
  core::awaitable<void> Acquire(int name, std::int32_t priority) {
    const auto proxy = co_await queue_.Acquire(
        milliseconds(500), priority, clock_.Now() + std::chrono::seconds(1));
    order_.push_back(proxy ? name : -name);
  }
  void Spawn(core::awaitable<void> task) {
    boost::asio::co_spawn(context_, std::move(task), boost::asio::detached);
    Settle();
  }
  void Settle() {
    context_.restart();
    while (context_.poll() > 0) context_.restart();
  }
  void Advance(core::duration duration) {
    clock_.AdvanceTo(clock_.Now() + duration);
    Settle();
  }

  boost::asio::io_context context_;
  core::fake_clock clock_;
  eligibility_proxy_queue queue_;
  std::vector<int> order_;
};

// Guards against calls of a less urgent queue that go first.
TEST_F(EligibilityProxyQueueTest, AssignsByPriorityAndAge) {
  const proxy_id proxy = queue_.Add();
  Call(1, 2);
  Call(2, 2);
  Call(3, 0);
  Call(4, 2);
  EXPECT_EQ(order_, (std::vector<int>{1}));
  queue_.Release(proxy, milliseconds(500), call_outcome::kAnswered);
  Settle();
  queue_.Release(proxy, milliseconds(500), call_outcome::kAnswered);
  Settle();
  EXPECT_EQ(order_, (std::vector<int>{1, 3, 2}));
}

// Guards against a call that keeps its place, or gets a proxy, after its caller
// has given up.
TEST_F(EligibilityProxyQueueTest, ACallThatTimesOutLeavesTheQueue) {
  const proxy_id proxy = queue_.Add();
  Call(1, 0);
  Call(2, 0);
  Advance(milliseconds(600));
  Call(3, 0);
  Advance(milliseconds(500));
  EXPECT_EQ(order_, (std::vector<int>{1, -2}));
  queue_.Release(proxy, milliseconds(500), call_outcome::kAnswered);
  Settle();
  EXPECT_EQ(order_, (std::vector<int>{1, -2, 3}));
}

// Guards against calls that wait although a proxy has connected.
TEST_F(EligibilityProxyQueueTest, ANewProxyGetsTheFirstCall) {
  Call(1, 1);
  Call(2, 0);
  queue_.Add();
  Settle();
  EXPECT_EQ(order_, (std::vector<int>{2}));
}

}  // namespace
}  // namespace mangoplank::dispatch
