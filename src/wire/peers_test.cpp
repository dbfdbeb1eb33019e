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
      auto m = co_await link->Receive();
      if (!m) co_return;
      if (!co_await link->Send(std::move(*m))) co_return;
    }
  }

  static bool Near(const core::member_id&) { return false; }

  consensus::member Member(std::string id) {
    return {{std::move(id)}, {"127.0.0.1", acceptor_.Port()}, true, 0};
  }

  void SetUp() override { ASSERT_TRUE(acceptor_.Start({"127.0.0.1", 0})); }
  void TearDown() override {
    acceptor_.Stop();
    loop_test::TearDown();
  }

  /// @return whether a process of `cell` gets a link to member `id`.
  core::awaitable<bool> Reaches(std::string cell, std::string id) {
    peer_transport transport(Context(), {{std::move(cell)}, {"b"}, 8}, Near);
    const consensus::member to = Member(std::move(id));
    const auto link = co_await transport.Connect(to);
    co_return link.has_value();
  }

  peer_acceptor acceptor_{Context(), {{"cell"}, {"a"}, 7}, Near, EchoLink};
};

TEST_F(peers_test, MessagesCrossALinkInOrder) {
  Run([](peers_test& t) -> core::awaitable<void> {
    peer_transport transport(t.Context(), {{"cell"}, {"b"}, 8}, Near);
    const consensus::member to = t.Member("a");
    const auto link = co_await transport.Connect(to);
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

// Guards against a log that takes messages of another cell, or of a member
// that took over the address of the one that was meant.
TEST_F(peers_test, RefusesAnotherCellAndAnotherMember) {
  Run([](peers_test& t) -> core::awaitable<void> {
    EXPECT_TRUE(co_await t.Reaches("cell", "a"));
    EXPECT_FALSE(co_await t.Reaches("other", "a"));
    EXPECT_FALSE(co_await t.Reaches("cell", "c"));
  }(*this));
}

// Guards against a link that is held open without a hello.
TEST_F(peers_test, ClosesALinkThatSendsNoHello) {
  Run([](peers_test& t) -> core::awaitable<void> {
    core::endpoint at{"127.0.0.1", t.acceptor_.Port()};
    const auto link = co_await Connect(t.Context(), at, "a", false);
    const auto start = t.clock_.Now();
    while (co_await (*link)->Receive()) {
    }
    EXPECT_LE(t.clock_.Now() - start, 1400ms);
  }(*this));
}

}  // namespace
}  // namespace mangoplank::wire
