#include "mangoplank/workflow/catalog_reader.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <vector>

namespace mangoplank::workflow {
namespace {

constexpr core::milliseconds kTimeout{900};
constexpr core::milliseconds kLeaderDelay{100};

/// A leader that answers after a delay with the version it then has.
class CatalogReaderTest : public testing::Test {
 protected:
  void StartRead() {
    const std::size_t number = answers_.size();
    answers_.emplace_back();
    boost::asio::co_spawn(io_, Read(number), boost::asio::detached);
    RunReady();
  }

  core::awaitable<void> Read(std::size_t number) {
    answer_body answer = co_await reader_.Read(clock_.Now() + kTimeout);
    answers_[number] = std::move(answer);
  }

  void RunReady() {
    io_.restart();
    while (io_.poll() > 0) io_.restart();
  }

  void Advance(core::milliseconds time) {
    const core::time_point end = clock_.Now() + time;
    while (clock_.NextTimer() <= end) {
      clock_.AdvanceTo(clock_.NextTimer());
      RunReady();
    }
    clock_.AdvanceTo(end);
  }

  /// @return the version that a read was answered with; no value if it failed
  /// or has no answer.
  std::optional<std::uint64_t> VersionOf(std::size_t number) const {
    if (!answers_[number]) return std::nullopt;
    const auto* const view = std::get_if<catalog_view>(&*answers_[number]);
    if (view == nullptr) return std::nullopt;
    return view->version;
  }

  core::awaitable<answer_body> AskLeader(core::time_point deadline) {
    ++requests_;
    const core::time_point due = clock_.Now() + leader_delay_;
    co_await core::SleepUntil(clock_, std::min(due, deadline));
    if (due > deadline) {
      co_return core::failure(core::unavailable{"no leader"});
    }
    co_return catalog_view{version_, "{}"};
  }

  boost::asio::io_context io_;
  core::fake_clock clock_;
  core::milliseconds leader_delay_ = kLeaderDelay;
  std::uint64_t version_ = 1;
  int requests_ = 0;
  std::vector<std::optional<answer_body>> answers_;
  catalog_reader reader_{
      io_.get_executor(), clock_,
      [this](core::time_point deadline) { return AskLeader(deadline); }};
};

// Load: a thousand reads of a large declaration at once. Guards against a
// leader that is kept from other work by them.
TEST_F(CatalogReaderTest, ManyReadsTakeTwoRequests) {
  for (int i = 0; i < 1'000; ++i) StartRead();
  Advance(2 * kLeaderDelay);
  EXPECT_EQ(requests_, 2);
  for (std::size_t i = 0; i < answers_.size(); ++i) {
    EXPECT_EQ(VersionOf(i), 1u) << i;
  }
}

// Guards against a read that is answered by a request sent before it, and so
// misses a declaration that was acknowledged in between.
TEST_F(CatalogReaderTest, AReadIsAnsweredByALaterRequest) {
  StartRead();
  Advance(kLeaderDelay / 2);
  StartRead();
  Advance(kLeaderDelay);
  EXPECT_EQ(VersionOf(0), 1u);
  EXPECT_EQ(VersionOf(1), std::nullopt);
  version_ = 2;
  Advance(kLeaderDelay);
  EXPECT_EQ(VersionOf(1), 2u);
  EXPECT_EQ(requests_, 2);
}

// Guards against a caller with time left that gets the failure of one without,
// and against one that waits beyond its own time.
TEST_F(CatalogReaderTest, AFailureEndsOneReadOnly) {
  leader_delay_ = kTimeout + kLeaderDelay;
  StartRead();
  Advance(kTimeout / 2);
  StartRead();
  StartRead();
  leader_delay_ = kLeaderDelay;
  Advance(kTimeout / 2 + 2 * kLeaderDelay);
  EXPECT_TRUE(answers_[0]);
  EXPECT_EQ(VersionOf(0), std::nullopt);
  EXPECT_EQ(VersionOf(1), 1u);
  EXPECT_EQ(VersionOf(2), 1u);
  leader_delay_ = 4 * kTimeout;
  StartRead();
  Advance(kLeaderDelay);
  StartRead();
  Advance(kTimeout);
  EXPECT_TRUE(answers_[4]);
  EXPECT_EQ(VersionOf(4), std::nullopt);
}

}  // namespace
}  // namespace mangoplank::workflow
