#include "mangoplank/workflow/client.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>

#include "mangoplank/wire/codec.h"
#include "wire/loop_test_support.h"

namespace mangoplank::workflow {
namespace {

using namespace std::chrono_literals;

/// A leader that closes the connection on its first request, as if it failed
/// after recording it, and refuses all later requests.
class client_test : public wire::loop_test {
 public:
  core::awaitable<void> Serve(std::shared_ptr<wire::connection> connection) {
    const auto hello_frame = co_await connection->Receive();
    if (!hello_frame) co_return;
    const core::member_id self{"127.0.0.1"};
    connection->Send(
        wire::Encode(message(hello_reply{self, self, {1, {self}}})));
    while (true) {
      const auto frame = co_await connection->Receive();
      if (!frame) co_return;
      if (++requests_ == 1) {
        connection->Close();
        co_return;
      }
      const auto decoded = core::Capture([&] {
        return wire::DecodeWorkflowMessage(*frame, wire::Malformed("client"));
      });
      const std::uint64_t id = std::get<request>(*decoded).id;
      if (repeats_answers_) {
        connection->Send(wire::Encode(message(answer{id - 1, accepted{}})));
      }
      connection->Send(wire::Encode(message(answer{id, refusal_})));
    }
  }

  answer_body refusal_ = core::failure(core::not_leader{});
  /// Each answer follows one to the request before, of an earlier connection.
  bool repeats_answers_ = false;
  int requests_ = 0;
};

// Guards against a refusal returned for a request whose first attempt may have
// been recorded before the connection was lost.
TEST_F(client_test, RefusedRetryOfASentRequestIsCommitUnknown) {
  wire::listener leader(
      Context(), [this](auto c) { return Serve(std::move(c)); }, 4);
  ASSERT_TRUE(leader.Start({"127.0.0.1", 0}));
  client_settings s;
  s.name = "test";
  s.port = leader.Port();
  const std::vector<core::endpoint> seeds{{"127.0.0.1", leader.Port()}};
  client c(s, Context(), [&] { return seeds; }, {});
  c.Start();
  for (const core::failure& refusal :
       {core::failure(core::not_leader{}), core::failure(core::not_found{})}) {
    requests_ = 0;
    refusal_ = refusal;
    Run([](client_test& test, client& tested) -> core::awaitable<void> {
      request_body r = submit_job{};
      const auto a =
          co_await tested.Request(std::move(r), test.clock_.Now() + 1s);
      const auto* const f = std::get_if<core::failure>(&a);
      EXPECT_GT(test.requests_, 1);
      EXPECT_TRUE(f != nullptr &&
                  std::holds_alternative<core::commit_unknown>(*f));
    }(*this, c));
  }
}

// Guards against an answer to a request of a former connection that is taken
// for the answer to the present one: a refused job would be shown as accepted.
TEST_F(client_test, AnAnswerToAFormerRequestIsIgnored) {
  wire::listener leader(
      Context(), [this](auto c) { return Serve(std::move(c)); }, 4);
  ASSERT_TRUE(leader.Start({"127.0.0.1", 0}));
  client_settings s;
  s.name = "test";
  s.port = leader.Port();
  const std::vector<core::endpoint> seeds{{"127.0.0.1", leader.Port()}};
  client c(s, Context(), [&] { return seeds; }, {});
  c.Start();
  repeats_answers_ = true;
  refusal_ = core::failure(core::not_found{});
  Run([](client_test& test, client& tested) -> core::awaitable<void> {
    request_body r = submit_job{};
    const auto a =
        co_await tested.Request(std::move(r), test.clock_.Now() + 1s);
    EXPECT_GT(test.requests_, 1);
    EXPECT_TRUE(std::holds_alternative<core::failure>(a));
  }(*this, c));
}

/// Control processes on loopback addresses, with one port as in a cell. They
/// report the members they are given, and close all connections when they stop.
class members_test : public wire::loop_test {
 public:
  static constexpr std::size_t kMaxClients = 300;

  struct control {
    std::unique_ptr<wire::listener> listener;
    std::vector<std::shared_ptr<wire::connection>> connections;
    hello_reply reply;
  };

  static std::string Address(int number) {
    return "127.0.0." + std::to_string(number);
  }
  static core::member_id Id(int number) { return {Address(number)}; }
  static member_list Members(core::revision revision,
                             const std::vector<int>& numbers) {
    member_list list{revision, {}};
    for (const int number : numbers) list.ids.push_back(Id(number));
    return list;
  }

  /// Starts a control process that names `leader`, or none if that is 0.
  control& StartControl(int number, int leader, member_list members) {
    auto& started = controls_[number];
    started = std::make_unique<control>();
    control* const c = started.get();
    c->reply = {Id(number), leader == 0 ? core::member_id() : Id(leader),
                std::move(members)};
    c->listener = std::make_unique<wire::listener>(
        Context(),
        [c](auto connection) { return Greet(*c, std::move(connection)); },
        kMaxClients);
    EXPECT_TRUE(c->listener->Start({Address(number), port_}));
    port_ = c->listener->Port();
    return *c;
  }
  static core::awaitable<void> Greet(
      control& c, std::shared_ptr<wire::connection> connection) {
    c.connections.push_back(connection);
    const auto hello_frame = co_await connection->Receive();
    if (!hello_frame) co_return;
    connection->Send(wire::Encode(message(c.reply)));
    bool is_open = true;
    while (is_open) {
      const auto frame = co_await connection->Receive();
      is_open = frame.has_value();
    }
  }
  void StopControl(int number) {
    control& c = *controls_[number];
    c.listener.reset();
    for (const auto& connection : c.connections) connection->Close();
    c.connections.clear();
  }
  static void Report(const control& c, const member_list& members) {
    for (const auto& connection : c.connections) {
      connection->Send(wire::Encode(message(members_changed{members})));
    }
  }
  client MakeClient() {
    client_settings s;
    s.name = "test";
    s.port = port_;
    return client(s, Context(),
                  [this] {
                    std::vector<core::endpoint> seeds;
                    for (const int number : seeds_) {
                      seeds.push_back({Address(number), port_});
                    }
                    return seeds;
                  },
                  {});
  }
  /// @return whether the client connects to this leader within 5 s.
  bool AwaitLeader(const client& c, int number) {
    bool found = false;
    Run([](members_test& test, const client& tested, core::member_id leader,
           bool& connected) -> core::awaitable<void> {
      const auto end = test.clock_.Now() + 5s;
      while (!connected && test.clock_.Now() < end) {
        connected = tested.Leader() == leader;
        co_await core::SleepFor(test.clock_, 20ms);
      }
    }(*this, c, Id(number), found));
    return found;
  }
  void Wait(core::milliseconds time) {
    Run([](members_test& test,
           core::milliseconds delay) -> core::awaitable<void> {
      co_await core::SleepFor(test.clock_, delay);
    }(*this, time));
  }

  std::vector<int> seeds_{2};
  std::uint16_t port_ = 0;
  std::map<int, std::unique_ptr<control>> controls_;
};

// Guards against a client that finds no leader once all members that it knew
// when it connected were replaced while its leader stayed.
TEST_F(members_test, ConnectedClientLearnsNewMembersFromTheLeader) {
  control& first = StartControl(2, 2, Members(1, {2, 3, 4}));
  client c = MakeClient();
  c.Start();
  ASSERT_TRUE(AwaitLeader(c, 2));
  StartControl(5, 5, Members(9, {5, 6, 7}));
  Report(first, Members(8, {2, 5, 6}));
  Wait(100ms);
  StopControl(2);
  EXPECT_TRUE(AwaitLeader(c, 5));
}

// Guards against a client that was without a leader while all members and
// seeds were replaced, and tries those of its start for good.
TEST_F(members_test, ClientWithoutALeaderReadsTheSeedsAgain) {
  StartControl(2, 2, Members(1, {2, 3, 4}));
  client c = MakeClient();
  c.Start();
  ASSERT_TRUE(AwaitLeader(c, 2));
  StopControl(2);
  StartControl(8, 8, Members(9, {8, 9}));
  Wait(1s);
  seeds_ = {8, 9};
  EXPECT_TRUE(AwaitLeader(c, 8));
}

// Guards against members of an earlier time, as a removed process reports them,
// that replace the present ones.
TEST_F(members_test, AnOlderListOfAnotherProcessIsIgnored) {
  control& leader = StartControl(2, 2, Members(5, {2, 6}));
  client c = MakeClient();
  c.Start();
  ASSERT_TRUE(AwaitLeader(c, 2));
  // The seed was removed from the members and does not know it.
  StartControl(3, 0, Members(1, {3, 4}));
  seeds_ = {3};
  StopControl(2);
  Wait(1500ms);
  EXPECT_EQ(c.Members(), leader.reply.members);
  StartControl(6, 6, Members(7, {6}));
  EXPECT_TRUE(AwaitLeader(c, 6));
}

// Guards against a member that stays unknown because a leader reported its
// removal, lost its lead, and the removal was never committed.
TEST_F(members_test, TheLeadersListReplacesALaterOne) {
  control& first = StartControl(2, 2, Members(5, {2, 3}));
  client c = MakeClient();
  c.Start();
  ASSERT_TRUE(AwaitLeader(c, 2));
  Report(first, Members(9, {2}));
  StartControl(3, 3, Members(5, {2, 3}));
  seeds_ = {3};
  Wait(100ms);
  StopControl(2);
  ASSERT_TRUE(AwaitLeader(c, 3));
  EXPECT_EQ(c.Members(), Members(5, {2, 3}));
}

// Guards against a service that stays out for seconds after machines have lost
// power: they refuse no connection, and each was waited for in turn.
TEST_F(members_test, SilentMachinesDoNotDelayTheNextLeader) {
  StartControl(2, 2, Members(1, {2}));
  std::vector<std::unique_ptr<wire::listener>> silent;
  for (int number = 3; number <= 6; ++number) {
    silent.push_back(std::make_unique<wire::listener>(
        Context(),
        [](std::shared_ptr<wire::connection> connection)
            -> core::awaitable<void> {
          bool is_open = true;
          while (is_open) {
            const auto frame = co_await connection->Receive();
            is_open = frame.has_value();
          }
        },
        kMaxClients));
    ASSERT_TRUE(silent.back()->Start({Address(number), port_}));
  }
  seeds_ = {2, 3, 4, 5, 6};
  client c = MakeClient();
  c.Start();
  ASSERT_TRUE(AwaitLeader(c, 2));
  // The follower still names a leader that has no power.
  StartControl(7, 6, Members(2, {3, 4, 5, 6, 7}));
  control& next = StartControl(8, 8, Members(2, {3, 4, 5, 6, 7, 8}));
  seeds_ = {3, 4, 5, 6, 7, 8};
  Wait(600ms);
  StopControl(2);
  const core::time_point begin = clock_.Now();
  ASSERT_TRUE(AwaitLeader(c, 8));
  // Four silent machines took 0.7 s each.
  EXPECT_LT(clock_.Now() - begin, 1400ms);
  EXPECT_EQ(next.connections.size(), 1u);
}

// Guards against clients that are turned away, or connect one after another,
// when all of them lose their leader at once.
TEST_F(members_test, TwoHundredClientsFindTheNextLeader) {
  constexpr int kClients = 200;
  StartControl(2, 2, Members(1, {2, 3}));
  std::vector<std::unique_ptr<client>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back(new client(MakeClient()));
    clients.back()->Start();
  }
  const auto count_connected = [&](int leader) {
    return std::count_if(clients.begin(), clients.end(), [&](const auto& c) {
      return c->Leader() == Id(leader);
    });
  };
  Wait(2s);
  ASSERT_EQ(count_connected(2), kClients);
  StartControl(3, 3, Members(2, {2, 3}));
  StopControl(2);
  Wait(2s);
  EXPECT_EQ(count_connected(3), kClients);
}

/// A leader that requests orders from the client that connects to it.
class relay_client_test : public members_test {
 public:
  /// Connects a client that relays orders, and counts those it sends.
  client MakeRelay() {
    client_settings s;
    s.name = "relay";
    s.port = port_;
    s.data_centre = "here";
    client_duties duties;
    duties.send_order =
        [this](order_request request) -> core::awaitable<order_answer> {
      sent_.push_back(request.id);
      co_return order_done{7};
    };
    return client(
        s, Context(),
        [this] {
          return std::vector<core::endpoint>{{Address(2), port_}};
        },
        std::move(duties));
  }
  void Request(std::uint64_t id, std::int64_t sent_at_ms) {
    for (const auto& connection : controls_[2]->connections) {
      order_request request;
      request.id = id;
      request.order = stop_order{};
      request.timeout = 800ms;
      request.sent_at_ms = sent_at_ms;
      connection->Send(wire::Encode(message(request)));
    }
  }

  std::vector<std::uint64_t> sent_;
};

// Guards against an order that waited while its sender or the relay was paused,
// and is sent after the leader has decided otherwise.
TEST_F(relay_client_test, AnOrderThatWasHeldUpIsNotSent) {
  StartControl(2, 2, Members(1, {2}));
  client relay = MakeRelay();
  relay.Start();
  ASSERT_TRUE(AwaitLeader(relay, 2));
  const auto now_ms = [this] {
    return std::chrono::duration_cast<core::milliseconds>(
               clock_.Now().time_since_epoch())
        .count();
  };
  // The leader's clock has another start.
  constexpr std::int64_t kOffsetMs = 5'000'000;
  Request(1, now_ms() + kOffsetMs);
  Wait(50ms);
  Request(2, now_ms() + kOffsetMs - 3'000);
  Wait(50ms);
  Request(3, now_ms() + kOffsetMs);
  Wait(50ms);
  // A leader that is only busy sends late; its orders still count.
  Request(4, now_ms() + kOffsetMs - 400);
  Wait(50ms);
  EXPECT_EQ(sent_, (std::vector<std::uint64_t>{1, 3, 4}));
}

}  // namespace
}  // namespace mangoplank::workflow
