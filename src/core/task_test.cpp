#include "mangoplank/core/task.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <stdexcept>

namespace mangoplank::core {
namespace {

awaitable<void> FailAfter(fake_clock& clock, bool& began) {
  began = true;
  co_await SleepFor(clock, std::chrono::milliseconds(10));
  throw std::runtime_error("injected");
}

// Guards against one message or order with an unexpected error that ends the
// process, and with it the tasks of all others.
TEST(TaskTest, AnExceptionEndsOnlyItsTask) {
  boost::asio::io_context context;
  fake_clock clock;
  bool first = false;
  bool second = false;
  SpawnTask(context.get_executor(), FailAfter(clock, first), "first");
  context.poll();
  SpawnTask(context.get_executor(), FailAfter(clock, second), "second");
  context.restart();
  context.poll();
  clock.AdvanceTo(clock.Now() + std::chrono::milliseconds(20));
  context.restart();
  EXPECT_NO_THROW(context.poll());
  EXPECT_TRUE(first);
  EXPECT_TRUE(second);
}

}  // namespace
}  // namespace mangoplank::core
