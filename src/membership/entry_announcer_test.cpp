#include "mangoplank/membership/entry_announcer.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace mangoplank::membership {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)
using announce_result = core::outcome<control::announcement_reply>;

class EntryAnnouncerTest : public ::testing::Test {
 protected:
  std::shared_ptr<std::optional<announce_result>> Announce(
      const std::string& worker) {
    const auto result = std::make_shared<std::optional<announce_result>>();
    control::announcement announcement{.worker = {.id = {worker}},
                                       .sequence = 1};
    boost::asio::co_spawn(
        io_, announcer_.Announce(std::move(announcement), clock_.Now() + 2s),
        [result](std::exception_ptr, announce_result r) {
          *result = std::move(r);
        });
    return result;
  }
  void RunFor(core::duration duration) {
    io_.poll();
    clock_.AdvanceTo(clock_.Now() + duration);
    io_.restart();
    io_.poll();
    io_.restart();
  }

  boost::asio::io_context io_;
  core::fake_clock clock_;
  std::vector<control::announcement_batch> sent_;
  entry_announcer announcer_{io_.get_executor(), clock_,
                             [this](control::announcement_batch batch) {
                               sent_.push_back(std::move(batch));
                               return true;
                             },
                             50ms, 2};
};

// Guards against a reply that is delivered to the wrong worker.
TEST_F(EntryAnnouncerTest, RepliesAreMatchedByWorkerAndSequence) {
  const auto a = Announce("a"), b = Announce("b");
  RunFor(50ms);
  ASSERT_EQ(sent_.size(), 1u);
  EXPECT_EQ(sent_[0].announcements.size(), 2u);
  announcer_.OnReplies({{{.worker = {"b"}, .sequence = 2},
                         {.worker = {"b"}, .sequence = 1, .term = 7}}});
  RunFor(0ms);
  ASSERT_TRUE(*b);
  EXPECT_EQ((**b)->term, 7u);
  EXPECT_FALSE(*a);
}

// Guards against hanging workers and growing memory while there is no leader.
TEST_F(EntryAnnouncerTest, FailsAtTheDeadlineAndLimitsPendingAnnouncements) {
  const auto a = Announce("a"), b = Announce("b"), c = Announce("c");
  RunFor(50ms);
  ASSERT_TRUE(*c);
  EXPECT_FALSE(**c);
  RunFor(2s);
  ASSERT_TRUE(*a);
  EXPECT_TRUE(std::holds_alternative<core::unavailable>((*a)->error()));
}

}  // namespace
}  // namespace mangoplank::membership
