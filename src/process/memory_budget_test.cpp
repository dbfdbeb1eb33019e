#include "mangoplank/process/memory_budget.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

namespace mangoplank::process {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kMiB = 1024 * 1024;
constexpr memory_limits kLimits{8 * kMiB, 2 * kMiB};

class MemoryBudgetTest : public testing::Test {
 protected:
  /// A request with its lease; gives everything back when it is evicted, if it
  /// is told to.
  struct holder {
    holder(memory_budget& budget, bool returns)
        : lease(budget, [this] { evicted = true; }), returns(returns) {}
    memory_lease lease;
    bool returns;
    bool evicted = false;
    std::optional<bool> granted;
  };

  holder& Add(bool returns = true) {
    holders_.push_back(std::make_unique<holder>(budget_, returns));
    return *holders_.back();
  }
  /// Starts a resize and runs what is ready.
  std::optional<bool> Resize(holder& of, std::uint64_t bytes) {
    of.granted.reset();
    boost::asio::co_spawn(
        context_,
        [](holder& own, std::uint64_t wanted) -> core::awaitable<void> {
          own.granted = co_await own.lease.Resize(wanted);
        }(of, bytes),
        boost::asio::detached);
    Poll();
    return of.granted;
  }
  void Poll() {
    context_.restart();
    while (context_.poll() > 0) context_.restart();
    bool has_returned = false;
    for (const auto& each : holders_) {
      if (!each->lease.IsEvicted() || !each->returns) continue;
      each->lease.Release();
      has_returned = true;
    }
    if (has_returned) Poll();
  }
  void Advance(core::duration time) {
    clock_.AdvanceTo(clock_.Now() + time);
    Poll();
  }

  boost::asio::io_context context_;
  core::fake_clock clock_;
  metrics::registry registry_;
  memory_budget budget_{context_.get_executor(), clock_, registry_, kLimits};
  std::vector<std::unique_ptr<holder>> holders_;
};

// Guards against a crowd of unfinished bodies that together exceed the limit,
// or that leave nothing to ordinary requests.
TEST_F(MemoryBudgetTest, ACrowdOfLargeRequestsLeavesTheReserve) {
  for (int round = 1; round <= 20; ++round) {
    for (int i = 0; i < 64; ++i) {
      if (round == 1) Add();
      holder& each = *holders_[static_cast<std::size_t>(i)];
      if (!each.evicted) Resize(each, 100 * 1024 * round);
      ASSERT_LE(budget_.Usage().used, kLimits.bytes - kLimits.reserve);
    }
    Advance(milliseconds(10));
    EXPECT_EQ(Resize(Add(), 8 * 1024), true);
    holders_.back()->lease.Release();
    holders_.pop_back();
  }
}

// Guards against small requests that are locked out once small ones that never
// end hold the reserve as well.
TEST_F(MemoryBudgetTest, AnOrdinaryRequestTakesThePlaceOfOneThatStays) {
  for (std::uint64_t held = 0; held < kLimits.bytes;
       held += kSmallRequestBytes) {
    Resize(Add(), kSmallRequestBytes);
  }
  Advance(seconds(1));
  EXPECT_EQ(Resize(Add(), 8 * 1024), true);
}

// Guards against a request that is given up for another although a client has
// held more for longer.
TEST_F(MemoryBudgetTest, EvictsWhatHasHeldMostForLongest) {
  holder& old = Add();
  ASSERT_EQ(Resize(old, 2 * kMiB), true);
  Advance(seconds(5));
  holder& recent = Add();
  ASSERT_EQ(Resize(recent, 3 * kMiB), true);
  Advance(seconds(1));
  EXPECT_EQ(Resize(Add(), 2 * kMiB), true);
  EXPECT_TRUE(old.evicted);
  EXPECT_FALSE(recent.evicted);
}

// Guards against a request that is cut off while it is being handled: it may
// have taken effect.
TEST_F(MemoryBudgetTest, EvictsNothingThatIsPinned) {
  holder& handled = Add();
  ASSERT_EQ(Resize(handled, 6 * kMiB), true);
  handled.lease.Pin();
  Advance(seconds(1));
  EXPECT_EQ(Resize(Add(), kMiB), false);
  EXPECT_FALSE(handled.evicted);
  EXPECT_EQ(Resize(Add(), 8 * 1024), true);
}

// Guards against a client that grows and grows at the cost of all others.
TEST_F(MemoryBudgetTest, RefusesWhatHoldsMostItself) {
  holder& other = Add();
  ASSERT_EQ(Resize(other, kMiB), true);
  holder& greedy = Add();
  ASSERT_EQ(Resize(greedy, 5 * kMiB), true);
  Advance(seconds(1));
  EXPECT_EQ(Resize(greedy, 6 * kMiB), false);
  EXPECT_FALSE(other.evicted);
  EXPECT_EQ(budget_.Usage().used, 6 * kMiB);
}

// Guards against memory that is granted while it is still in use, and against a
// wait without an end for a connection that doesn't give it back.
TEST_F(MemoryBudgetTest, WaitsForWhatIsEvictedWithinATime) {
  holder& stuck = Add(false);
  ASSERT_EQ(Resize(stuck, 6 * kMiB), true);
  Advance(seconds(1));
  holder& first = Add();
  EXPECT_EQ(Resize(first, kMiB), std::nullopt);
  EXPECT_TRUE(stuck.evicted);
  EXPECT_EQ(budget_.Usage().used, 6 * kMiB);
  Advance(seconds(1));
  EXPECT_EQ(first.granted, false);

  holder& second = Add();
  EXPECT_EQ(Resize(second, kMiB), std::nullopt);
  stuck.lease.Release();
  Poll();
  EXPECT_EQ(second.granted, true);
  EXPECT_EQ(budget_.Usage(), (memory_usage{kMiB, 1}));
}

// Guards against an evicted request that goes on.
TEST_F(MemoryBudgetTest, AnEvictedLeaseGetsNothing) {
  holder& evicted = Add(false);
  ASSERT_EQ(Resize(evicted, 6 * kMiB), true);
  Advance(seconds(1));
  Resize(Add(), kMiB);
  EXPECT_EQ(Resize(evicted, 7 * kMiB), false);
}

// Guards against a division that refuses a single request inside the limits, or
// that is larger than the VM.
TEST(MemorySharesTest, AnyMemoryServesTheLargestBodyAlone) {
  for (const std::uint64_t mb : {1, 16, 64, 160, 256, 640, 100'000}) {
    const memory_shares shares = DivideMemory(mb * 1'000'000);
    EXPECT_GE(shares.max_body_bytes, 256u * 1024) << mb;
    EXPECT_LE(4 * shares.max_body_bytes + kSmallRequestBytes,
              shares.requests.bytes - shares.requests.reserve)
        << mb;
    EXPECT_GE(shares.requests.reserve, 4 * kSmallRequestBytes) << mb;
    if (mb < 64) continue;
    EXPECT_LE(shares.requests.bytes + 26 * shares.max_body_bytes +
                  shares.max_connections * 24 * 1024,
              mb * 1'000'000)
        << mb;
  }
}

}  // namespace
}  // namespace mangoplank::process
