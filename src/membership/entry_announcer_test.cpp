#include "mangoplank/membership/entry_announcer.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace mangoplank::membership {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using reply = core::outcome<control::announcement_reply>;

class EntryAnnouncerTest : public ::testing::Test {
 protected:
  std::shared_ptr<std::optional<reply>> Announce(const std::string& worker) {
    const auto heard = std::make_shared<std::optional<reply>>();
    control::announcement a{.worker = {.id = {worker}}, .sequence = 1};
    boost::asio::co_spawn(
        io_, announcer_.Announce(std::move(a), clock_.Now() + 2s),
        [heard](std::exception_ptr, reply r) { *heard = std::move(r); });
    return heard;
  }
  void Run(core::duration d) {
    io_.poll();
    clock_.AdvanceTo(clock_.Now() + d);
    io_.restart();
    io_.poll();
    io_.restart();
  }

  boost::asio::io_context io_;
  core::fake_clock clock_;
  std::vector<control::announcement_batch> sent_;
  entry_announcer announcer_{io_.get_executor(), clock_,
                             [this](control::announcement_batch b) {
                               sent_.push_back(std::move(b));
                               return true;
                             },
                             50ms, 2};
};

// Guards against a reply that reaches another worker than the one it is for.
TEST_F(EntryAnnouncerTest, RepliesAreMatchedByWorkerAndSequence) {
  const auto a = Announce("a"), b = Announce("b");
  Run(50ms);
  ASSERT_EQ(sent_.size(), 1u);
  EXPECT_EQ(sent_[0].announcements.size(), 2u);
  announcer_.Replied({{{.worker = {"b"}, .sequence = 2},
                       {.worker = {"b"}, .sequence = 1, .term = 7}}});
  Run(0ms);
  ASSERT_TRUE(*b);
  EXPECT_EQ((**b)->term, 7u);
  EXPECT_FALSE(*a);
}

// Guards against workers that hang, and memory that grows, without a leader.
TEST_F(EntryAnnouncerTest, EndsAtTheDeadlineAndBoundsTheNumberThatWait) {
  const auto a = Announce("a"), b = Announce("b"), c = Announce("c");
  Run(50ms);
  ASSERT_TRUE(*c);
  EXPECT_FALSE(**c);
  Run(2s);
  ASSERT_TRUE(*a);
  EXPECT_TRUE(std::holds_alternative<core::unavailable>((*a)->error()));
}

}  // namespace
}  // namespace mangoplank::membership
