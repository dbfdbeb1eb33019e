#include "mangoplank/control/leader_client.h"

#include <gtest/gtest.h>

#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangoplank/wire/codec.h"
#include "wire/loop_test_support.h"

namespace mangoplank::control {
namespace {

namespace asio = boost::asio;
using namespace std::chrono_literals;
using wire::connection;

/// A control process whose behaviour is set by the test.
class fake_control {
 public:
  using connection_ptr = std::shared_ptr<connection>;
  std::function<void(connection_ptr, numbered_request)> on_request;
  std::function<void(connection_ptr, subscribe_request)> on_subscribe;
  std::function<void(connection_ptr, announcement_batch)> on_announcements;
  std::vector<hello> hellos;
  std::vector<core::time_point> opened;
  int requests = 0;

  fake_control(const wire::connection_context& context, std::string name)
      : context_(context), name_(std::move(name)) {
    EXPECT_TRUE(listener_.Start({"127.0.0.1", 0}));
  }
  ~fake_control() { listener_.Stop(); }

  control_process Process() const {
    return {{name_}, {"127.0.0.1", listener_.Port()}, false};
  }
  /// Answers each request as the leader does.
  void AnswerAsLeader() {
    on_request = [](connection_ptr connection, numbered_request r) {
      Reply(connection,
            numbered_answer{r.number, answer(cell::accepted{r.number})});
    };
  }
  /// Answers each request as a follower for which `leader` is the leader.
  void AnswerNotLeader(std::optional<core::member_id> leader) {
    on_request = [leader](connection_ptr connection, numbered_request r) {
      Reply(connection,
            numbered_answer{r.number, core::failure(core::not_leader{leader})});
    };
  }
  static void Reply(const connection_ptr& connection, const message& reply) {
    static_cast<void>(connection->Send(wire::Encode(reply)));
  }

 private:
  static core::awaitable<void> Serve(fake_control* self,
                                     connection_ptr connection) {
    self->opened.push_back(self->context_.clock.Now());
    while (true) {
      const auto bytes = co_await connection->Receive();
      if (!bytes) co_return;
      auto m =
          core::Capture([&] { return wire::DecodeControlMessage(*bytes); });
      EXPECT_TRUE(m);
      self->Handle(connection, std::move(*m));
    }
  }
  void Handle(const connection_ptr& connection, message received) {
    if (auto* first = std::get_if<hello>(&received)) hellos.push_back(*first);
    if (auto* r = std::get_if<numbered_request>(&received)) {
      const bool probe = std::holds_alternative<call_request>(r->request);
      if (!probe) ++requests;
      if (on_request) on_request(connection, *r);
    }
    if (auto* f = std::get_if<subscribe_request>(&received);
        f && on_subscribe) {
      on_subscribe(connection, *f);
    }
    if (auto* a = std::get_if<announcement_batch>(&received);
        a && on_announcements) {
      on_announcements(connection, *a);
    }
  }

  wire::connection_context context_;
  std::string name_;
  wire::listener listener_{
      context_,
      [this](connection_ptr connection) { return Serve(this, connection); }, 8};
};

/// A TCP proxy between client and control process. It can drop the data of one
/// direction on the connections that are open at that time.
class tcp_proxy {
 public:
  tcp_proxy(asio::io_context& io, core::endpoint target)
      : io_(io), target_(std::move(target)), acceptor_(io, {Loopback(), 0}) {
    asio::co_spawn(io_, Accept(this), asio::detached);
  }
  void Stop() {
    acceptor_.close();
    for (const auto& s : pairs_) {
      s->client.close();
      s->server.close();
    }
  }
  core::endpoint Address() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  void DropData(bool from_server) {
    for (const auto& s : pairs_) {
      (from_server ? s->drop_down : s->drop_up) = true;
    }
  }

 private:
  using tcp = asio::ip::tcp;
  struct pair {
    tcp::socket client;
    tcp::socket server;
    bool drop_up = false;
    bool drop_down = false;
  };
  static asio::ip::address Loopback() {
    return asio::ip::address_v4::loopback();
  }
  static core::awaitable<void> Accept(tcp_proxy* self) {
    while (true) {
      boost::system::error_code ec;
      auto client = co_await self->acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec) co_return;
      tcp::socket server(self->io_);
      const tcp::endpoint to(Loopback(), self->target_.port);
      co_await server.async_connect(
          to, asio::redirect_error(asio::use_awaitable, ec));
      auto p =
          std::make_shared<pair>(pair{std::move(client), std::move(server)});
      self->pairs_.push_back(p);
      asio::co_spawn(self->io_, Forward(p, true), asio::detached);
      asio::co_spawn(self->io_, Forward(p, false), asio::detached);
    }
  }
  static core::awaitable<void> Forward(std::shared_ptr<pair> sockets, bool up) {
    tcp::socket& from = up ? sockets->client : sockets->server;
    tcp::socket& to = up ? sockets->server : sockets->client;
    std::array<char, 4096> buffer;
    while (true) {
      boost::system::error_code ec;
      const std::size_t n = co_await from.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
      const bool drop = up ? sockets->drop_up : sockets->drop_down;
      if (!ec && drop) continue;
      if (!ec) {
        co_await asio::async_write(
            to, asio::buffer(buffer, n),
            asio::redirect_error(asio::use_awaitable, ec));
      }
      if (ec) break;
    }
    boost::system::error_code ignored;
    sockets->client.close(ignored);
    sockets->server.close(ignored);
  }

  asio::io_context& io_;
  core::endpoint target_;
  tcp::acceptor acceptor_;
  std::vector<std::shared_ptr<pair>> pairs_;
};

class leader_client_test : public wire::loop_test {
 public:
  void Open(std::vector<control_process> processes) {
    leader_client_settings s;
    s.processes = std::move(processes);
    s.self = {{"cell"}, {"entry-1"}, 7, {"kalisz"}, 1};
    leader_handlers h;
    h.replies = [this](reply_batch r) { replies_.push_back(std::move(r)); };
    h.grants = [](slot_grants) {};
    client_ = std::make_unique<leader_client>(s, Context(), 20261204, h);
    client_->Start();
  }
  void TearDown() override {
    client_.reset();
    a_.reset();
    b_.reset();
    loop_test::TearDown();
  }
  static request Put(std::string id) {
    cell::command c;
    c.request = {std::move(id)};
    c.body = cell::put_object{};
    return propose_request{c};
  }
  core::awaitable<core::outcome<answer>> Request(request r,
                                                 core::duration limit = 5s) {
    return client_->Request(std::move(r), clock_.Now() + limit);
  }
  /// Runs one request to its end.
  core::outcome<answer> RequestNow(request r, core::duration limit = 5s) {
    core::outcome<answer> result{answer{}};
    Run([](leader_client_test& t, request q, core::duration d,
           core::outcome<answer>& out) -> core::awaitable<void> {
      out = co_await t.Request(std::move(q), d);
    }(*this, std::move(r), limit, result));
    return result;
  }
  core::outcome<feed_batch> ReadNextBatch(feed& f, core::duration limit = 5s) {
    core::outcome<feed_batch> result{feed_batch{}};
    Run([](feed& from, core::time_point end,
           core::outcome<feed_batch>& out) -> core::awaitable<void> {
      out = co_await from.Next(end);
    }(f, clock_.Now() + limit, result));
    return result;
  }
  static core::awaitable<void> FlushAndClose(
      std::shared_ptr<connection> connection) {
    co_await connection->Flush();
    connection->Close();
  }
  void RunFor(core::duration d) { Run(core::SleepFor(clock_, d)); }

  std::unique_ptr<fake_control> a_ =
      std::make_unique<fake_control>(Context(), "a");
  std::unique_ptr<fake_control> b_ =
      std::make_unique<fake_control>(Context(), "b");
  std::vector<reply_batch> replies_;
  std::unique_ptr<leader_client> client_;
};

// Guards against a process that accepts connections and stays silent, such as a
// paused one: requests and feeds must move to another within 2 s.
TEST_F(leader_client_test, SilentProcessIsReplacedWithinTwoSeconds) {
  tcp::acceptor silent(io_, {asio::ip::address_v4::loopback(), 0});
  b_->AnswerAsLeader();
  b_->on_subscribe = [](auto connection, subscribe_request f) {
    fake_control::Reply(connection, feed_batch{f.feed, 3, 0, true, {}});
  };
  const control_process dead{
      {"dead"}, {"127.0.0.1", silent.local_endpoint().port()}, false};
  Open({dead, b_->Process()});
  // The kernel completes the connection; no process reads from it.
  RunFor(50ms);
  const auto start = clock_.Now();
  const auto feed = client_->Subscribe(topic::kRouting, {}, 0);
  EXPECT_TRUE(RequestNow(status_request{}));
  EXPECT_EQ(ReadNextBatch(*feed)->to, 3u);
  EXPECT_LE(clock_.Now() - start, 2s);
}

// Guards against connections that lose all data of one direction without an
// error, while new connections work.
TEST_F(leader_client_test, OneWaySilenceIsReplacedWithinTwoSeconds) {
  a_->AnswerAsLeader();
  tcp_proxy proxy(io_, a_->Process().address);
  Open({{{"a"}, proxy.Address(), false}});
  EXPECT_TRUE(RequestNow(status_request{}));
  for (const bool from_server : {true, false}) {
    proxy.DropData(from_server);
    const auto start = clock_.Now();
    EXPECT_TRUE(RequestNow(Put("change"))) << from_server;
    EXPECT_LE(clock_.Now() - start, 2s) << from_server;
  }
  EXPECT_EQ(a_->opened.size(), 3u);
  client_->Stop();
  proxy.Stop();
}

// Guards against a process that sends malformed frames or messages, or a frame
// that announces more bytes than the limit.
TEST_F(leader_client_test, MalformedDataClosesOnlyTheConnection) {
  b_->AnswerAsLeader();
  for (const std::string& bytes : {std::string("\x04\0\0\0\x01\x02\x03\x04"
                                               "abcd",
                                               12),
                                   std::string(64, '\xff')}) {
    tcp::acceptor raw(io_, {asio::ip::address_v4::loopback(), 0});
    const control_process bad{
        {"bad"}, {"127.0.0.1", raw.local_endpoint().port()}, false};
    Open({bad, b_->Process()});
    Run([](tcp::acceptor& acceptor, std::string sent) -> core::awaitable<void> {
      auto socket = co_await acceptor.async_accept(asio::use_awaitable);
      co_await asio::async_write(socket, asio::buffer(sent),
                                 asio::use_awaitable);
    }(raw, bytes));
    EXPECT_TRUE(RequestNow(status_request{}, 2s));
    client_->Stop();
  }
  EXPECT_EQ(CountClosed("malformed"), 1u);
  EXPECT_EQ(CountClosed("too_large"), 1u);
}

// Guards against a request that fails when the leader changes meanwhile.
TEST_F(leader_client_test, RequestIsRetriedAtTheNewLeader) {
  a_->AnswerNotLeader(core::member_id{"b"});
  b_->AnswerNotLeader(core::member_id{"a"});
  Open({a_->Process(), b_->Process()});
  const auto timer =
      clock_.CallAt(clock_.Now() + 500ms, [this] { b_->AnswerAsLeader(); });
  EXPECT_TRUE(RequestNow(Put("")));
  clock_.Cancel(timer);
  EXPECT_EQ(client_->Leader(), core::member_id{"b"});
  // The retry delay limits requests to processes that name each other.
  EXPECT_LE(a_->requests + b_->requests, 50);
}

// Guards against a lost answer that loses the change or applies it twice.
TEST_F(leader_client_test, ResendsAfterALostAnswerOnlyWithARequestId) {
  int lost = 0;
  a_->on_request = [&](auto connection, numbered_request r) {
    const bool probe = std::holds_alternative<call_request>(r.request);
    if (!probe && lost++ % 2 == 0) return connection->Close();
    fake_control::Reply(connection,
                        numbered_answer{r.number, answer(cell::accepted{})});
  };
  Open({a_->Process()});
  EXPECT_TRUE(RequestNow(Put("change-1")));
  EXPECT_EQ(a_->requests, 2);
  EXPECT_TRUE(RequestNow(status_request{}));
  EXPECT_EQ(a_->requests, 4);
  const auto unknown = RequestNow(Put(""));
  EXPECT_EQ(unknown.error(), core::failure(core::commit_unknown{}));
  EXPECT_EQ(a_->requests, 5);
}

// Guards against a result that claims more than is known at the deadline.
TEST_F(leader_client_test, DeadlineResultStatesWhatIsKnown) {
  a_->on_request = [](auto, numbered_request) {};
  Open({a_->Process()});
  EXPECT_EQ(RequestNow(Put("change"), 300ms).error(),
            core::failure(core::commit_unknown{}));
  a_->AnswerNotLeader(std::nullopt);
  EXPECT_EQ(RequestNow(Put("change"), 300ms).error(),
            core::failure(core::not_leader{}));
}

// Guards against a last try that can't be answered before the deadline and
// makes a known outcome unknown.
TEST_F(leader_client_test, DoesNotRetryShortlyBeforeTheDeadline) {
  int late = 0;
  a_->on_request = [&](auto connection, numbered_request r) {
    if (r.time_left < 15ms) ++late;
    fake_control::Reply(
        connection,
        numbered_answer{r.number, core::failure(core::not_leader{})});
  };
  Open({a_->Process()});
  for (int i = 0; i < 20; ++i) RequestNow(Put("change"), 150ms + i * 2ms);
  EXPECT_EQ(late, 0);
}

// Guards against lost or repeated changes when a feed resumes, and against a
// truncated full copy that is taken as complete.
TEST_F(leader_client_test, FeedResumesAfterTheLastRevision) {
  std::vector<core::revision> requested;
  a_->on_subscribe = [&](auto connection, subscribe_request f) {
    requested.push_back(f.from);
    const cell::change c = cell::task_removed{{1, 0}};
    if (requested.size() <= 2) {
      fake_control::Reply(connection, feed_batch{f.feed, 0, 0, true, {c}});
    }
    // The first copy is truncated after its first part.
    if (requested.size() == 2) {
      fake_control::Reply(connection, feed_batch{f.feed, 5, 0, false, {c, c}});
    }
    if (requested.size() == 3) {
      fake_control::Reply(connection, feed_batch{f.feed, 6, 0, false, {c}});
      return;
    }
    asio::co_spawn(io_, FlushAndClose(connection), asio::detached);
  };
  Open({a_->Process()});
  const auto feed = client_->Subscribe(topic::kRouting, {}, 0);
  const auto copy = ReadNextBatch(*feed);
  EXPECT_TRUE(copy->reset);
  EXPECT_EQ(copy->to, 5u);
  EXPECT_EQ(copy->changes.size(), 3u);
  EXPECT_EQ(ReadNextBatch(*feed)->to, 6u);
  EXPECT_EQ(requested, (std::vector<core::revision>{0, 0, 5}));
  EXPECT_FALSE(ReadNextBatch(*feed, 100ms));
}

// Guards against a process that is behind and resets the entry to its revision.
TEST_F(leader_client_test, FeedRevisionNeverDecreases) {
  int copies = 0;
  a_->on_subscribe = [&](auto connection, subscribe_request f) {
    ++copies;
    fake_control::Reply(connection, feed_batch{f.feed, 4, 0, true, {}});
  };
  b_->on_subscribe = [](auto connection, subscribe_request f) {
    fake_control::Reply(connection,
                        feed_batch{f.feed, f.from + 1, 0, false, {}});
  };
  Open({a_->Process()});
  const auto alone = client_->Subscribe(topic::kRouting, {}, 9);
  EXPECT_FALSE(ReadNextBatch(*alone, 1s));
  // Full copies are not sent in a row.
  EXPECT_EQ(copies, 1);
  client_->Stop();
  Open({a_->Process(), b_->Process()});
  const auto feed = client_->Subscribe(topic::kRouting, {}, 9);
  EXPECT_EQ(ReadNextBatch(*feed)->to, 10u);
}

// Guards against entries that all reconnect at once after a shutdown.
TEST_F(leader_client_test, ReconnectsAfterTheDelayOfTheShutdownNotice) {
  a_->AnswerAsLeader();
  a_->on_subscribe = [](auto connection, subscribe_request) {
    fake_control::Reply(connection, shutdown_notice{700ms});
  };
  Open({a_->Process()});
  const auto feed = client_->Subscribe(topic::kRouting, {}, 0);
  RunFor(1200ms);
  ASSERT_EQ(a_->opened.size(), 2u);
  EXPECT_GE(a_->opened[1] - a_->opened[0], 700ms);
  EXPECT_EQ(a_->hellos.size(), 2u);
  EXPECT_EQ(a_->hellos[0].entry, core::member_id{"entry-1"});
}

// Guards against announcements to a former leader, which does not answer them.
TEST_F(leader_client_test, AnnouncementsGoToTheLeader) {
  a_->AnswerNotLeader(std::nullopt);
  b_->AnswerAsLeader();
  b_->on_announcements = [](auto connection, announcement_batch batch) {
    reply_batch r;
    for (const announcement& n : batch.announcements) {
      r.replies.push_back({n.worker.id, 0, n.sequence});
    }
    fake_control::Reply(connection, r);
  };
  Open({a_->Process(), b_->Process()});
  EXPECT_FALSE(client_->Send(announcement_batch{}));
  RunFor(500ms);
  announcement_batch batch;
  batch.announcements.push_back({{{"w1"}}, 8});
  EXPECT_TRUE(client_->Send(batch));
  RunFor(200ms);
  ASSERT_EQ(replies_.size(), 1u);
  EXPECT_EQ(replies_[0].replies[0].sequence, 8u);
  // Leadership moves without a message from the old leader.
  b_->AnswerNotLeader(core::member_id{"a"});
  a_->AnswerAsLeader();
  RunFor(1500ms);
  EXPECT_EQ(client_->Leader(), core::member_id{"a"});
}

}  // namespace
}  // namespace mangoplank::control
