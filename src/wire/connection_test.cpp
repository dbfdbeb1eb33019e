#include "mangoplank/wire/connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "wire/loop_test_support.h"

namespace mangoplank::wire {
namespace {

namespace asio = boost::asio;
using core::connection_failed;
using kind = connection_failed::kind;
using namespace std::chrono_literals;

constexpr char kHeartbeatFrame[] = "\x00\x00\x00\x00\x1c\xdf\x44\x21";

class connection_test : public loop_test {
 public:
  /// A connection to a raw socket that the test plays.
  core::awaitable<std::shared_ptr<connection>> ToRaw(
      bool other_region = false) {
    tcp::acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
    core::endpoint at{"127.0.0.1", acceptor.local_endpoint().port()};
    const auto link = co_await Connect(Context(), at, "raw", other_region);
    raw_ = co_await acceptor.async_accept(asio::use_awaitable);
    co_return *link;
  }

  core::awaitable<kind> EndOf(std::shared_ptr<connection> link) {
    while (true) {
      const auto frame = co_await link->Receive();
      if (!frame) co_return std::get<connection_failed>(frame.error()).k;
    }
  }

  core::awaitable<void> WriteRaw(std::string bytes) {
    co_await asio::async_write(raw_, asio::buffer(bytes), asio::use_awaitable);
  }

  /// A peer that sends heartbeats and reads nothing.
  core::awaitable<void> Heartbeats(std::shared_ptr<connection> link) {
    while (link->IsOpen()) {
      co_await WriteRaw(std::string(kHeartbeatFrame, 8));
      co_await core::SleepFor(clock_, 200ms);
    }
  }

  tcp::socket raw_{io_};
};

core::awaitable<void> Echo(std::shared_ptr<connection> link) {
  while (true) {
    auto frame = co_await link->Receive();
    if (!frame) co_return;
    if (!link->Send(std::move(*frame))) co_return;
  }
}

// Guards against frames that are cut, joined, lost or out of order, up to the
// size limit.
TEST_F(connection_test, FramesArriveWholeAndInOrder) {
  listener echo(Context(), Echo, 4);
  ASSERT_TRUE(echo.Start({"127.0.0.1", 0}));
  Run([](connection_test& t, std::uint16_t port) -> core::awaitable<void> {
    core::endpoint at{"127.0.0.1", port};
    const auto link = co_await Connect(t.Context(), at, "echo", true);
    std::vector<std::string> sent;
    for (const std::size_t size : {1, 2, 65'536, 65'537, 16 * 1024 * 1024}) {
      sent.push_back(std::string(size, static_cast<char>('a' + sent.size())));
      EXPECT_TRUE((*link)->Send(sent.back()));
    }
    for (const std::string& s : sent) {
      const auto back = co_await (*link)->Receive();
      EXPECT_TRUE(back && *back == s);
    }
    std::string large(16 * 1024 * 1024 + 1, 'x');
    const auto refused = (*link)->Send(std::move(large));
    EXPECT_EQ(std::get<connection_failed>(refused.error()).k, kind::kTooLarge);
    EXPECT_TRUE((*link)->IsOpen());
  }(*this, echo.Port()));
  const metrics::labels other = {{"direction", "sent"}, {"region", "other"}};
  EXPECT_GE(Count("mangoplank_wire_bytes_total", other), 16u * 1024 * 1024);
  echo.Stop();
}

// Guards against an idle connection that is taken for a silent one.
TEST_F(connection_test, HeartbeatsKeepAnIdleConnectionOpen) {
  listener echo(Context(), Echo, 4);
  ASSERT_TRUE(echo.Start({"127.0.0.1", 0}));
  Run([](connection_test& t, std::uint16_t port) -> core::awaitable<void> {
    core::endpoint at{"127.0.0.1", port};
    const auto link = co_await Connect(t.Context(), at, "echo", false);
    co_await core::SleepFor(t.clock_, 2500ms);
    EXPECT_TRUE((*link)->IsOpen());
  }(*this, echo.Port()));
  EXPECT_EQ(Closed("silent"), 0u);
  echo.Stop();
}

// Guards against a connection that carries nothing in one direction, which TCP
// alone does not report: the peer reads all and answers nothing.
TEST_F(connection_test, SilentPeerIsClosedAtTheDeadline) {
  Run([](connection_test& t) -> core::awaitable<void> {
    const auto link = co_await t.ToRaw();
    const auto start = t.clock_.Now();
    EXPECT_EQ(co_await t.EndOf(link), kind::kSilent);
    EXPECT_GE(t.clock_.Now() - start, 1400ms);
    EXPECT_LE(t.clock_.Now() - start, 2s);
  }(*this));
  EXPECT_EQ(Closed("silent"), 1u);
}

// Guards against a frame that is damaged on the way and handed on.
TEST_F(connection_test, GarbageFrameIsMalformed) {
  Run([](connection_test& t) -> core::awaitable<void> {
    const auto link = co_await t.ToRaw();
    co_await t.WriteRaw(
        std::string("\x04\0\0\0\x01\x02\x03\x04"
                    "abcd",
                    12));
    EXPECT_EQ(co_await t.EndOf(link), kind::kMalformed);
  }(*this));
}

// Guards against a length that makes the process allocate it.
TEST_F(connection_test, OversizedFrameIsRefusedByItsLength) {
  Run([](connection_test& t) -> core::awaitable<void> {
    const auto link = co_await t.ToRaw();
    co_await t.WriteRaw("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(co_await t.EndOf(link), kind::kTooLarge);
  }(*this));
}

// Guards against memory that grows with a peer that reads too slowly.
TEST_F(connection_test, SlowReaderIsCutOffAndCounted) {
  settings_.max_queue_bytes = 4 * 1024 * 1024;
  Run([](connection_test& t) -> core::awaitable<void> {
    const auto link = co_await t.ToRaw();
    asio::co_spawn(t.io_, t.Heartbeats(link), asio::detached);
    int sent = 0;
    while (sent < 200 && link->Send(std::string(256 * 1024, 'x'))) {
      ++sent;
      co_await core::SleepFor(t.clock_, 1ms);
    }
    EXPECT_LT(sent, 200);
    EXPECT_FALSE(link->IsOpen());
  }(*this));
  EXPECT_EQ(Count("mangoplank_wire_slow_peers_total"), 1u);
}

// Guards against a write that waits for ever on a peer that is alive but reads
// nothing, while the queue stays below its bound.
TEST_F(connection_test, StalledWriteIsCutOffAndCounted) {
  settings_.write_stall_limit = 500ms;
  Run([](connection_test& t) -> core::awaitable<void> {
    const auto link = co_await t.ToRaw();
    asio::co_spawn(t.io_, t.Heartbeats(link), asio::detached);
    const auto written =
        co_await link->SendAndWait(std::string(15 * 1024 * 1024, 'x'));
    EXPECT_FALSE(written);
  }(*this));
  EXPECT_EQ(Count("mangoplank_wire_slow_peers_total"), 1u);
}

// Guards against a receiver that is closed as silent while it does not take
// its frames, and against frames lost while nothing is read.
TEST_F(connection_test, ReaderWaitsWhileFramesAreNotTaken) {
  settings_.max_received_bytes = 64 * 1024;
  std::shared_ptr<connection> accepted;
  listener hold(
      Context(),
      [&](std::shared_ptr<connection> link) -> core::awaitable<void> {
        accepted = link;
        return core::SleepFor(clock_, 3s);
      },
      4);
  ASSERT_TRUE(hold.Start({"127.0.0.1", 0}));
  Run([](connection_test& t, std::uint16_t port,
         std::shared_ptr<connection>& accepted) -> core::awaitable<void> {
    core::endpoint at{"127.0.0.1", port};
    const auto link = co_await Connect(t.Context(), at, "hold", false);
    for (int i = 0; i < 100; ++i) {
      EXPECT_TRUE((*link)->Send(std::string(64 * 1024, 'x')));
    }
    co_await core::SleepFor(t.clock_, 2s);
    for (int i = 0; i < 100; ++i) {
      const auto frame = co_await accepted->Receive();
      EXPECT_TRUE(frame && frame->size() == 64 * 1024);
      if (!frame) co_return;
    }
  }(*this, hold.Port(), accepted));
  EXPECT_EQ(Closed("silent"), 0u);
  hold.Stop();
}

// Guards against a heartbeat payload that is held back by other traffic.
TEST_F(connection_test, HeartbeatPayloadComesBetweenOtherFrames) {
  int heartbeats = 0;
  listener count(
      Context(),
      [&](std::shared_ptr<connection> link) {
        return
            [](std::shared_ptr<connection> c, int& n) -> core::awaitable<void> {
              while (const auto frame = co_await c->Receive()) {
                if (*frame == "beat") ++n;
              }
            }(link, heartbeats);
      },
      4);
  ASSERT_TRUE(count.Start({"127.0.0.1", 0}));
  Run([](connection_test& t, std::uint16_t port) -> core::awaitable<void> {
    core::endpoint at{"127.0.0.1", port};
    const auto link = co_await Connect(t.Context(), at, "count", false);
    (*link)->SetHeartbeat([] { return std::string("beat"); });
    for (int i = 0; i < 22; ++i) {
      EXPECT_TRUE((*link)->Send("other"));
      co_await core::SleepFor(t.clock_, 100ms);
    }
  }(*this, count.Port()));
  EXPECT_GE(heartbeats, 3);
  EXPECT_LE(heartbeats, 5);
  count.Stop();
}

// Guards against a connect that waits for an address that does not answer.
TEST_F(connection_test, RefusesAnAddressThatCannotBeReached) {
  Run([](connection_test& t) -> core::awaitable<void> {
    core::endpoint closed{"127.0.0.1", 1};
    const auto none = co_await Connect(t.Context(), closed, "none", false);
    EXPECT_EQ(std::get<connection_failed>(none.error()).k, kind::kRefused);
    core::endpoint bad{"not-an-address", 1};
    const auto malformed = co_await Connect(t.Context(), bad, "none", false);
    EXPECT_EQ(std::get<connection_failed>(malformed.error()).k, kind::kRefused);
  }(*this));
}

}  // namespace
}  // namespace mangoplank::wire
