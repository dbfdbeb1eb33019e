#include "mangoplank/wire/peers.h"

#include "wire/loop_test_support.h"

namespace mangoplank::wire {
namespace {

using consensus::peer_link;
using core::connection_failed;
using namespace std::chrono_literals;

class peers_test : public loop_test {
 public:
  static core::awaitable<void> EchoLink(peer_hello,
                                        std::shared_ptr<peer_link> link) {
    while (true) {
      auto message = co_await link->Receive();
      if (!message) co_return;
      if (!co_await link->Send(std::move(*message))) co_return;
    }
  }

  static bool IsOtherRegion(const core::member_id&) { return false; }

  consensus::member Member(std::string id) {
    return {{std::move(id)}, {"127.0.0.1", acceptor_.Port()}, true, 0};
  }

  void SetUp() override { ASSERT_TRUE(acceptor_.Start({"127.0.0.1", 0})); }
  void TearDown() override {
    acceptor_.Stop();
    loop_test::TearDown();
  }

  /// @return whether a process of `cell` can open a link to member `id`.
  core::awaitable<bool> CanConnect(std::string cell, std::string id) {
    peer_transport transport(Context(), {{std::move(cell)}, {"b"}, 8},
                             IsOtherRegion);
    const consensus::member member = Member(std::move(id));
    const auto link = co_await transport.Connect(member);
    co_return link.has_value();
  }

  peer_acceptor acceptor_{
      Context(), {{"cell"}, {"a"}, 7}, IsOtherRegion, EchoLink};
};

TEST_F(peers_test, MessagesArriveInOrder) {
  Run([](peers_test& test) -> core::awaitable<void> {
    peer_transport transport(test.Context(), {{"cell"}, {"b"}, 8},
                             IsOtherRegion);
    const consensus::member member = test.Member("a");
    const auto link = co_await transport.Connect(member);
    EXPECT_TRUE(link);
    if (!link) co_return;
    for (core::term n = 0; n < 100; ++n) {
      consensus::message m = consensus::vote_reply{n, true, false};
      EXPECT_TRUE(co_await (*link)->Send(m));
      const auto back = co_await (*link)->Receive();
      EXPECT_TRUE(back && *back == m);
    }
    (*link)->Close();
    EXPECT_FALSE(co_await (*link)->Receive());
  }(*this));
}

// Guards against consensus messages accepted from another cell, or from another
// member that now uses the address of the intended one.
TEST_F(peers_test, RefusesPeersOfAnotherCellAndUnexpectedMembers) {
  Run([](peers_test& test) -> core::awaitable<void> {
    EXPECT_TRUE(co_await test.CanConnect("cell", "a"));
    EXPECT_FALSE(co_await test.CanConnect("other", "a"));
    EXPECT_FALSE(co_await test.CanConnect("cell", "c"));
  }(*this));
}

// Guards against a connection that stays open without a hello.
TEST_F(peers_test, ClosesConnectionWithoutHello) {
  Run([](peers_test& test) -> core::awaitable<void> {
    core::endpoint address{"127.0.0.1", test.acceptor_.Port()};
    const auto link = co_await Connect(test.Context(), address, "a", false);
    const auto start = test.clock_.Now();
    while (co_await (*link)->Receive()) {
    }
    EXPECT_LE(test.clock_.Now() - start, 1400ms);
  }(*this));
}

}  // namespace
}  // namespace mangoplank::wire
