#include "mangoplank/core/clock.h"

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <optional>

namespace mangoplank::core {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;

awaitable<void> Await(event& e, time_point deadline, std::optional<bool>* got) {
  *got = co_await e.WaitUntil(deadline);
}

awaitable<void> SleepOn(clock& c) { co_await SleepFor(c, 1h); }

class EventTest : public ::testing::Test {
 protected:
  void Start(time_point deadline) {
    asio::co_spawn(io_, Await(event_, deadline, &got_), asio::detached);
    Poll();
  }
  void Poll() {
    io_.restart();
    io_.poll();
  }

  asio::io_context io_;
  fake_clock clock_;
  event event_{io_.get_executor(), clock_};
  std::optional<bool> got_;
};

TEST_F(EventTest, NotificationEndsTheWait) {
  Start(clock_.Now() + 1s);
  EXPECT_FALSE(got_);
  event_.NotifyAll();
  Poll();
  EXPECT_EQ(got_, true);
  EXPECT_EQ(clock_.NextTimer(), time_point::max());
}

TEST_F(EventTest, DeadlineEndsTheWait) {
  Start(clock_.Now() + 1s);
  clock_.AdvanceTo(clock_.Now() + 999ms);
  Poll();
  EXPECT_FALSE(got_);
  clock_.AdvanceTo(clock_.Now() + 1ms);
  Poll();
  EXPECT_EQ(got_, false);
}

// Guards against a crash at the end of a process or test, when a waiting task
// is destroyed with its io_context, after the clock. (control_test was once
// ended by a signal.)
TEST(ClockTest, TasksMayOutliveTheClock) {
  asio::io_context io;
  auto c = std::make_unique<fake_clock>();
  asio::co_spawn(io, SleepOn(*c), asio::detached);
  io.poll();
  EXPECT_NE(c->NextTimer(), time_point::max());
  c.reset();
}

// Guards against timers of the same instant that run in another order than they
// were set, which would make runs nondeterministic.
TEST(ClockTest, TimersRunInOrder) {
  fake_clock c;
  std::string order;
  c.CallAt(c.Now() + 2s, [&] { order += 'c'; });
  c.CallAt(c.Now() + 1s, [&] { order += 'a'; });
  c.CallAt(c.Now() + 1s, [&] { order += 'b'; });
  c.Cancel(c.CallAt(c.Now() + 1s, [&] { order += 'x'; }));
  c.AdvanceTo(c.Now() + 2s);
  EXPECT_EQ(order, "abc");
}

}  // namespace
}  // namespace mangoplank::core
