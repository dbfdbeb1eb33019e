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
  /// Connects to a raw socket on which the test acts as the peer.
  core::awaitable<std::shared_ptr<connection>> ConnectToRaw(
      bool other_region = false) {
    tcp::acceptor acceptor(io_, {asio::ip::address_v4::loopback(), 0});
    core::endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    const auto conn = co_await Connect(Context(), address, "raw", other_region);
    raw_ = co_await acceptor.async_accept(asio::use_awaitable);
    co_return *conn;
  }

  core::awaitable<kind> ReceiveCloseReason(std::shared_ptr<connection> conn) {
    while (true) {
      const auto frame = co_await conn->Receive();
      if (!frame) co_return std::get<connection_failed>(frame.error()).k;
    }
  }

  core::awaitable<void> WriteRaw(std::string bytes) {
    co_await asio::async_write(raw_, asio::buffer(bytes), asio::use_awaitable);
  }

  /// Plays a peer that sends heartbeats and reads nothing.
  core::awaitable<void> SendHeartbeats(std::shared_ptr<connection> conn) {
    while (conn->IsOpen()) {
      co_await WriteRaw(std::string(kHeartbeatFrame, 8));
      co_await core::SleepFor(clock_, 200ms);
    }
  }

  tcp::socket raw_{io_};
};

core::awaitable<void> Echo(std::shared_ptr<connection> conn) {
  while (true) {
    auto frame = co_await conn->Receive();
    if (!frame) co_return;
    if (!conn->Send(std::move(*frame))) co_return;
  }
}

// Guards against frames that are truncated, merged, lost or reordered, up to
// the size limit.
TEST_F(connection_test, FramesArriveIntactAndInOrder) {
  listener echo(Context(), Echo, 4);
  ASSERT_TRUE(echo.Start({"127.0.0.1", 0}));
  Run([](connection_test& test, std::uint16_t port) -> core::awaitable<void> {
    core::endpoint address{"127.0.0.1", port};
    const auto conn = co_await Connect(test.Context(), address, "echo", true);
    std::vector<std::string> sent;
    for (const std::size_t size : {1, 2, 65'536, 65'537, 16 * 1024 * 1024}) {
      sent.push_back(std::string(size, static_cast<char>('a' + sent.size())));
      EXPECT_TRUE((*conn)->Send(sent.back()));
    }
    for (const std::string& s : sent) {
      const auto back = co_await (*conn)->Receive();
      EXPECT_TRUE(back && *back == s);
    }
    std::string large(16 * 1024 * 1024 + 1, 'x');
    const auto refused = (*conn)->Send(std::move(large));
    EXPECT_EQ(std::get<connection_failed>(refused.error()).k, kind::kTooLarge);
    EXPECT_TRUE((*conn)->IsOpen());
  }(*this, echo.Port()));
  const metrics::labels other = {{"direction", "sent"}, {"region", "other"}};
  EXPECT_GE(CounterValue("mangoplank_wire_bytes_total", other),
            16u * 1024 * 1024);
  echo.Stop();
}

// Guards against an idle connection that is closed by the receive timeout.
TEST_F(connection_test, HeartbeatsKeepAnIdleConnectionOpen) {
  listener echo(Context(), Echo, 4);
  ASSERT_TRUE(echo.Start({"127.0.0.1", 0}));
  Run([](connection_test& test, std::uint16_t port) -> core::awaitable<void> {
    core::endpoint address{"127.0.0.1", port};
    const auto conn = co_await Connect(test.Context(), address, "echo", false);
    co_await core::SleepFor(test.clock_, 2500ms);
    EXPECT_TRUE((*conn)->IsOpen());
  }(*this, echo.Port()));
  EXPECT_EQ(CountClosed("silent"), 0u);
  echo.Stop();
}

// Guards against a connection that stays open although its peer sends nothing.
// TCP alone does not report this: the peer still reads everything.
TEST_F(connection_test, SilentPeerIsDisconnectedAfterReceiveTimeout) {
  Run([](connection_test& test) -> core::awaitable<void> {
    const auto conn = co_await test.ConnectToRaw();
    const auto start = test.clock_.Now();
    EXPECT_EQ(co_await test.ReceiveCloseReason(conn), kind::kSilent);
    EXPECT_GE(test.clock_.Now() - start, 1400ms);
    EXPECT_LE(test.clock_.Now() - start, 2s);
  }(*this));
  EXPECT_EQ(CountClosed("silent"), 1u);
}

// Guards against a corrupted frame that is delivered to the receiver.
TEST_F(connection_test, FrameWithWrongChecksumIsMalformed) {
  Run([](connection_test& test) -> core::awaitable<void> {
    const auto conn = co_await test.ConnectToRaw();
    co_await test.WriteRaw(
        std::string("\x04\0\0\0\x01\x02\x03\x04"
                    "abcd",
                    12));
    EXPECT_EQ(co_await test.ReceiveCloseReason(conn), kind::kMalformed);
  }(*this));
}

// Guards against allocating the size that a bogus length field ("GET ") gives.
TEST_F(connection_test, OversizedFrameIsRejectedByItsLengthField) {
  Run([](connection_test& test) -> core::awaitable<void> {
    const auto conn = co_await test.ConnectToRaw();
    co_await test.WriteRaw("GET / HTTP/1.1\r\n\r\n");
    EXPECT_EQ(co_await test.ReceiveCloseReason(conn), kind::kTooLarge);
  }(*this));
}

// Guards against a send queue that grows without bound on a slow reader.
TEST_F(connection_test, SlowReaderIsDisconnectedAndCounted) {
  settings_.max_queue_bytes = 4 * 1024 * 1024;
  Run([](connection_test& test) -> core::awaitable<void> {
    const auto conn = co_await test.ConnectToRaw();
    asio::co_spawn(test.io_, test.SendHeartbeats(conn), asio::detached);
    int sent = 0;
    while (sent < 200 && conn->Send(std::string(256 * 1024, 'x'))) {
      ++sent;
      co_await core::SleepFor(test.clock_, 1ms);
    }
    EXPECT_LT(sent, 200);
    EXPECT_FALSE(conn->IsOpen());
  }(*this));
  EXPECT_EQ(CounterValue("mangoplank_wire_slow_peers_total"), 1u);
}

// Guards against a write that blocks forever on a peer that is alive but reads
// nothing, while the queue stays below its bound.
TEST_F(connection_test, StalledWriteIsDisconnectedAndCounted) {
  settings_.write_stall_timeout = 500ms;
  Run([](connection_test& test) -> core::awaitable<void> {
    const auto conn = co_await test.ConnectToRaw();
    asio::co_spawn(test.io_, test.SendHeartbeats(conn), asio::detached);
    const auto written =
        co_await conn->SendAndWait(std::string(15 * 1024 * 1024, 'x'));
    EXPECT_FALSE(written);
  }(*this));
  EXPECT_EQ(CounterValue("mangoplank_wire_slow_peers_total"), 1u);
}

// Guards against a receive timeout while reading is paused by a full inbox, and
// against frames lost during the pause.
TEST_F(connection_test, ReadingPausesWhileInboxIsFull) {
  settings_.max_received_bytes = 64 * 1024;
  std::shared_ptr<connection> accepted;
  listener receiver(
      Context(),
      [&](std::shared_ptr<connection> conn) -> core::awaitable<void> {
        accepted = conn;
        return core::SleepFor(clock_, 3s);
      },
      4);
  ASSERT_TRUE(receiver.Start({"127.0.0.1", 0}));
  Run([](connection_test& test, std::uint16_t port,
         std::shared_ptr<connection>& accepted) -> core::awaitable<void> {
    core::endpoint address{"127.0.0.1", port};
    const auto conn =
        co_await Connect(test.Context(), address, "receiver", false);
    for (int i = 0; i < 100; ++i) {
      EXPECT_TRUE((*conn)->Send(std::string(64 * 1024, 'x')));
    }
    co_await core::SleepFor(test.clock_, 2s);
    for (int i = 0; i < 100; ++i) {
      const auto frame = co_await accepted->Receive();
      EXPECT_TRUE(frame && frame->size() == 64 * 1024);
      if (!frame) co_return;
    }
  }(*this, receiver.Port(), accepted));
  EXPECT_EQ(CountClosed("silent"), 0u);
  receiver.Stop();
}

// Guards against a heartbeat payload that other traffic delays.
TEST_F(connection_test, HeartbeatPayloadIsSentBetweenOtherFrames) {
  int heartbeats = 0;
  listener counting_listener(
      Context(),
      [&](std::shared_ptr<connection> conn) {
        return [](std::shared_ptr<connection> conn,
                  int& beats) -> core::awaitable<void> {
          while (const auto frame = co_await conn->Receive()) {
            if (*frame == "beat") ++beats;
          }
        }(conn, heartbeats);
      },
      4);
  ASSERT_TRUE(counting_listener.Start({"127.0.0.1", 0}));
  Run([](connection_test& test, std::uint16_t port) -> core::awaitable<void> {
    core::endpoint address{"127.0.0.1", port};
    const auto conn = co_await Connect(test.Context(), address, "count", false);
    (*conn)->SetHeartbeat([] { return std::string("beat"); });
    for (int i = 0; i < 22; ++i) {
      EXPECT_TRUE((*conn)->Send("other"));
      co_await core::SleepFor(test.clock_, 100ms);
    }
  }(*this, counting_listener.Port()));
  EXPECT_GE(heartbeats, 3);
  EXPECT_LE(heartbeats, 5);
  counting_listener.Stop();
}

// Guards against a connect that does not fail for a closed port or bad address.
TEST_F(connection_test, ConnectFailsForUnreachableAddress) {
  Run([](connection_test& test) -> core::awaitable<void> {
    core::endpoint closed{"127.0.0.1", 1};
    const auto none = co_await Connect(test.Context(), closed, "none", false);
    EXPECT_EQ(std::get<connection_failed>(none.error()).k, kind::kRefused);
    core::endpoint bad{"not-an-address", 1};
    const auto malformed = co_await Connect(test.Context(), bad, "none", false);
    EXPECT_EQ(std::get<connection_failed>(malformed.error()).k, kind::kRefused);
  }(*this));
}

}  // namespace
}  // namespace mangoplank::wire
