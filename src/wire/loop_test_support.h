#ifndef MANGOPLANK_SRC_WIRE_LOOP_TEST_SUPPORT_H_
#define MANGOPLANK_SRC_WIRE_LOOP_TEST_SUPPORT_H_

#include <gtest/gtest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "mangoplank/wire/connection.h"

/// Fixture of tests that use sockets on the loopback interface.
namespace mangoplank::wire {

class loop_test : public testing::Test {
 public:
  using tcp = boost::asio::ip::tcp;

  connection_context Context() {
    return {io_.get_executor(), clock_, registry_, settings_};
  }

  /// Runs `task` until it completes; fails the test if it takes over 20 s.
  void Run(core::awaitable<void> task) {
    bool done = false;
    boost::asio::co_spawn(io_, std::move(task), [&](std::exception_ptr e) {
      done = true;
      if (e) std::rethrow_exception(e);
    });
    const auto end = clock_.Now() + std::chrono::seconds(20);
    io_.restart();
    while (!done && clock_.Now() < end) {
      io_.run_one_for(std::chrono::milliseconds(100));
      io_.restart();
    }
    EXPECT_TRUE(done) << "the task did not complete within 20 s";
  }

  /// Lets the tasks of closed connections end before the clock is destroyed.
  void TearDown() override {
    io_.restart();
    io_.run_for(std::chrono::seconds(3));
  }

  std::uint64_t CounterValue(const std::string& name,
                             const metrics::labels& labels = {}) {
    return registry_.Counter(name, "", labels).Value();
  }
  std::uint64_t CountClosed(const std::string& reason) {
    return CounterValue("mangoplank_wire_closed_total", {{"reason", reason}});
  }

  boost::asio::io_context io_;
  core::system_clock clock_{io_.get_executor()};
  metrics::registry registry_;
  connection_settings settings_;
};

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_SRC_WIRE_LOOP_TEST_SUPPORT_H_
