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

/// A control process whose behaviour the test sets.
class fake_control {
 public:
  using link_ptr = std::shared_ptr<connection>;
  std::function<void(link_ptr, numbered_request)> on_request;
  std::function<void(link_ptr, follow_request)> on_follow;
  std::function<void(link_ptr, announcement_batch)> on_announcements;
  std::vector<hello> hellos;
  std::vector<core::time_point> opened;
  int requests = 0;

  fake_control(const wire::connection_context& c, std::string name)
      : context_(c), name_(std::move(name)) {
    EXPECT_TRUE(listener_.Start({"127.0.0.1", 0}));
  }
  ~fake_control() { listener_.Stop(); }

  control_process Process() const {
    return {{name_}, {"127.0.0.1", listener_.Port()}, false};
  }
  /// Answers each request as the leader does.
  void Lead() {
    on_request = [](link_ptr link, numbered_request r) {
      Reply(link, numbered_answer{r.number, answer(cell::accepted{r.number})});
    };
  }
  /// Answers each request as a follower that knows `leader`.
  void Refuse(std::optional<core::member_id> leader) {
    on_request = [leader](link_ptr link, numbered_request r) {
      Reply(link,
            numbered_answer{r.number, core::failure(core::not_leader{leader})});
    };
  }
  static void Reply(const link_ptr& link, const message& m) {
    static_cast<void>(link->Send(wire::Encode(m)));
  }

 private:
  static core::awaitable<void> Serve(fake_control* self, link_ptr link) {
    self->opened.push_back(self->context_.clock.Now());
    while (true) {
      const auto bytes = co_await link->Receive();
      if (!bytes) co_return;
      auto m =
          core::Capture([&] { return wire::DecodeControlMessage(*bytes); });
      EXPECT_TRUE(m);
      self->Handle(link, std::move(*m));
    }
  }
  void Handle(const link_ptr& link, message m) {
    if (auto* h = std::get_if<hello>(&m)) hellos.push_back(*h);
    if (auto* r = std::get_if<numbered_request>(&m)) {
      const bool probe = std::holds_alternative<call_request>(r->r);
      if (!probe) ++requests;
      if (on_request) on_request(link, *r);
    }
    if (auto* f = std::get_if<follow_request>(&m); f && on_follow) {
      on_follow(link, *f);
    }
    if (auto* a = std::get_if<announcement_batch>(&m); a && on_announcements) {
      on_announcements(link, *a);
    }
  }

  wire::connection_context context_;
  std::string name_;
  wire::listener listener_{
      context_, [this](link_ptr link) { return Serve(this, link); }, 8};
};

/// Sits between client and control process, and drops what one side sends on
/// the connections that are open when it is told to.
class relay {
 public:
  relay(asio::io_context& io, core::endpoint to)
      : io_(io), to_(std::move(to)), acceptor_(io, {Loopback(), 0}) {
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
  void Mute(bool from_server) {
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
  static core::awaitable<void> Accept(relay* self) {
    while (true) {
      boost::system::error_code ec;
      auto client = co_await self->acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec) co_return;
      tcp::socket server(self->io_);
      const tcp::endpoint to(Loopback(), self->to_.port);
      co_await server.async_connect(
          to, asio::redirect_error(asio::use_awaitable, ec));
      auto p =
          std::make_shared<pair>(pair{std::move(client), std::move(server)});
      self->pairs_.push_back(p);
      asio::co_spawn(self->io_, Pump(p, true), asio::detached);
      asio::co_spawn(self->io_, Pump(p, false), asio::detached);
    }
  }
  static core::awaitable<void> Pump(std::shared_ptr<pair> p, bool up) {
    tcp::socket& from = up ? p->client : p->server;
    tcp::socket& to = up ? p->server : p->client;
    std::array<char, 4096> buffer;
    while (true) {
      boost::system::error_code ec;
      const std::size_t n = co_await from.async_read_some(
          asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, ec));
      const bool drop = up ? p->drop_up : p->drop_down;
      if (!ec && drop) continue;
      if (!ec) {
        co_await asio::async_write(
            to, asio::buffer(buffer, n),
            asio::redirect_error(asio::use_awaitable, ec));
      }
      if (ec) break;
    }
    boost::system::error_code ignored;
    p->client.close(ignored);
    p->server.close(ignored);
  }

  asio::io_context& io_;
  core::endpoint to_;
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
  core::awaitable<core::outcome<answer>> Ask(request r,
                                             core::duration limit = 5s) {
    return client_->Ask(std::move(r), clock_.Now() + limit);
  }
  /// Runs one request to its end.
  core::outcome<answer> AskNow(request r, core::duration limit = 5s) {
    core::outcome<answer> result{answer{}};
    Run([](leader_client_test& t, request q, core::duration d,
           core::outcome<answer>& out) -> core::awaitable<void> {
      out = co_await t.Ask(std::move(q), d);
    }(*this, std::move(r), limit, result));
    return result;
  }
  core::outcome<feed_batch> NextNow(feed& f, core::duration limit = 5s) {
    core::outcome<feed_batch> result{feed_batch{}};
    Run([](feed& from, core::time_point end,
           core::outcome<feed_batch>& out) -> core::awaitable<void> {
      out = co_await from.Next(end);
    }(f, clock_.Now() + limit, result));
    return result;
  }
  static core::awaitable<void> FlushAndClose(std::shared_ptr<connection> link) {
    co_await link->Flush();
    link->Close();
  }
  void RunFor(core::duration d) { Run(core::SleepFor(clock_, d)); }

  std::unique_ptr<fake_control> a_ =
      std::make_unique<fake_control>(Context(), "a");
  std::unique_ptr<fake_control> b_ =
      std::make_unique<fake_control>(Context(), "b");
  std::vector<reply_batch> replies_;
  std::unique_ptr<leader_client> client_;
};

// Guards against a process that accepts connections and is silent, as one that
// was paused: requests and feeds must go elsewhere within 2 s.
TEST_F(leader_client_test, SilentProcessIsReplacedWithinTwoSeconds) {
  tcp::acceptor silent(io_, {asio::ip::address_v4::loopback(), 0});
  b_->Lead();
  b_->on_follow = [](auto link, follow_request f) {
    fake_control::Reply(link, feed_batch{f.feed, 3, 0, true, {}});
  };
  const control_process dead{
      {"dead"}, {"127.0.0.1", silent.local_endpoint().port()}, false};
  Open({dead, b_->Process()});
  // The kernel completes the connection; nobody reads it.
  RunFor(50ms);
  const auto start = clock_.Now();
  const auto feed = client_->Follow(topic::kRouting, {}, 0);
  EXPECT_TRUE(AskNow(status_request{}));
  EXPECT_EQ(NextNow(*feed)->to, 3u);
  EXPECT_LE(clock_.Now() - start, 2s);
}

// Guards against connections that stop carrying data in one direction without
// an error, while new ones work.
TEST_F(leader_client_test, OneWaySilenceIsReplacedWithinTwoSeconds) {
  a_->Lead();
  relay between(io_, a_->Process().address);
  Open({{{"a"}, between.Address(), false}});
  EXPECT_TRUE(AskNow(status_request{}));
  for (const bool from_server : {true, false}) {
    between.Mute(from_server);
    const auto start = clock_.Now();
    EXPECT_TRUE(AskNow(Put("change"))) << from_server;
    EXPECT_LE(clock_.Now() - start, 2s) << from_server;
  }
  EXPECT_EQ(a_->opened.size(), 3u);
  client_->Stop();
  between.Stop();
}

// Guards against a process that sends bytes which are no frame, no message, or
// claim more than the limit.
TEST_F(leader_client_test, GarbageEndsTheConnectionOnly) {
  b_->Lead();
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
    EXPECT_TRUE(AskNow(status_request{}, 2s));
    client_->Stop();
  }
  EXPECT_EQ(CountClosed("malformed"), 1u);
  EXPECT_EQ(CountClosed("too_large"), 1u);
}

// Guards against a request that ends when the leader changes on its way.
TEST_F(leader_client_test, FollowsTheLeaderDuringARequest) {
  a_->Refuse(core::member_id{"b"});
  b_->Refuse(core::member_id{"a"});
  Open({a_->Process(), b_->Process()});
  const auto at = clock_.CallAt(clock_.Now() + 500ms, [this] { b_->Lead(); });
  EXPECT_TRUE(AskNow(Put("")));
  clock_.Cancel(at);
  EXPECT_EQ(client_->Leader(), core::member_id{"b"});
  // Processes that name each other are asked at the pace of the pause.
  EXPECT_LE(a_->requests + b_->requests, 50);
}

// Guards against a lost answer that loses the change or applies it twice.
TEST_F(leader_client_test, ResendsAfterALostAnswerOnlyUnderARequestId) {
  int lost = 0;
  a_->on_request = [&](auto link, numbered_request r) {
    const bool probe = std::holds_alternative<call_request>(r.r);
    if (!probe && lost++ % 2 == 0) return link->Close();
    fake_control::Reply(link,
                        numbered_answer{r.number, answer(cell::accepted{})});
  };
  Open({a_->Process()});
  EXPECT_TRUE(AskNow(Put("change-1")));
  EXPECT_EQ(a_->requests, 2);
  EXPECT_TRUE(AskNow(status_request{}));
  EXPECT_EQ(a_->requests, 4);
  const auto unknown = AskNow(Put(""));
  EXPECT_EQ(unknown.error(), core::failure(core::commit_unknown{}));
  EXPECT_EQ(a_->requests, 5);
}

// Guards against an answer that claims more than is known at the deadline.
TEST_F(leader_client_test, TellsWhatIsKnownAtTheDeadline) {
  a_->on_request = [](auto, numbered_request) {};
  Open({a_->Process()});
  EXPECT_EQ(AskNow(Put("change"), 300ms).error(),
            core::failure(core::commit_unknown{}));
  a_->Refuse(std::nullopt);
  EXPECT_EQ(AskNow(Put("change"), 300ms).error(),
            core::failure(core::not_leader{}));
}

// Guards against a last try that can't be answered in time and leaves open what
// was known before it.
TEST_F(leader_client_test, TriesNoMoreShortlyBeforeTheDeadline) {
  int late = 0;
  a_->on_request = [&](auto link, numbered_request r) {
    if (r.deadline < 15ms) ++late;
    fake_control::Reply(
        link, numbered_answer{r.number, core::failure(core::not_leader{})});
  };
  Open({a_->Process()});
  for (int i = 0; i < 20; ++i) AskNow(Put("change"), 150ms + i * 2ms);
  EXPECT_EQ(late, 0);
}

// Guards against gaps and repeats at a resumption, and against a full copy
// that was cut off and counts as whole.
TEST_F(leader_client_test, FeedResumesAfterTheLastRevision) {
  std::vector<core::revision> asked;
  a_->on_follow = [&](auto link, follow_request f) {
    asked.push_back(f.from);
    const cell::change c = cell::task_removed{{1, 0}};
    if (asked.size() <= 2) {
      fake_control::Reply(link, feed_batch{f.feed, 0, 0, true, {c}});
    }
    // The first copy is cut off after its first part.
    if (asked.size() == 2) {
      fake_control::Reply(link, feed_batch{f.feed, 5, 0, false, {c, c}});
    }
    if (asked.size() == 3) {
      fake_control::Reply(link, feed_batch{f.feed, 6, 0, false, {c}});
      return;
    }
    asio::co_spawn(io_, FlushAndClose(link), asio::detached);
  };
  Open({a_->Process()});
  const auto feed = client_->Follow(topic::kRouting, {}, 0);
  const auto copy = NextNow(*feed);
  EXPECT_TRUE(copy->reset);
  EXPECT_EQ(copy->to, 5u);
  EXPECT_EQ(copy->changes.size(), 3u);
  EXPECT_EQ(NextNow(*feed)->to, 6u);
  EXPECT_EQ(asked, (std::vector<core::revision>{0, 0, 5}));
  EXPECT_FALSE(NextNow(*feed, 100ms));
}

// Guards against a process that is behind and takes the entry back.
TEST_F(leader_client_test, FeedNeverGoesBack) {
  int copies = 0;
  a_->on_follow = [&](auto link, follow_request f) {
    ++copies;
    fake_control::Reply(link, feed_batch{f.feed, 4, 0, true, {}});
  };
  b_->on_follow = [](auto link, follow_request f) {
    fake_control::Reply(link, feed_batch{f.feed, f.from + 1, 0, false, {}});
  };
  Open({a_->Process()});
  const auto alone = client_->Follow(topic::kRouting, {}, 9);
  EXPECT_FALSE(NextNow(*alone, 1s));
  // No full copies one after another.
  EXPECT_EQ(copies, 1);
  client_->Stop();
  Open({a_->Process(), b_->Process()});
  const auto feed = client_->Follow(topic::kRouting, {}, 9);
  EXPECT_EQ(NextNow(*feed)->to, 10u);
}

// Guards against entries that all come back at once after a stop.
TEST_F(leader_client_test, ComesBackWhenAGoodbyeSays) {
  a_->Lead();
  a_->on_follow = [](auto link, follow_request) {
    fake_control::Reply(link, goodbye{700ms});
  };
  Open({a_->Process()});
  const auto feed = client_->Follow(topic::kRouting, {}, 0);
  RunFor(1200ms);
  ASSERT_EQ(a_->opened.size(), 2u);
  EXPECT_GE(a_->opened[1] - a_->opened[0], 700ms);
  EXPECT_EQ(a_->hellos.size(), 2u);
  EXPECT_EQ(a_->hellos[0].entry, core::member_id{"entry-1"});
}

// Guards against announcements to a process that no longer leads, which does
// not answer them.
TEST_F(leader_client_test, AnnouncementsGoToTheLeader) {
  a_->Refuse(std::nullopt);
  b_->Lead();
  b_->on_announcements = [](auto link, announcement_batch batch) {
    reply_batch r;
    for (const announcement& n : batch.announcements) {
      r.replies.push_back({n.worker.id, 0, n.sequence});
    }
    fake_control::Reply(link, r);
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
  // The lead moves without a word of the old leader.
  b_->Refuse(core::member_id{"a"});
  a_->Lead();
  RunFor(1500ms);
  EXPECT_EQ(client_->Leader(), core::member_id{"a"});
}

}  // namespace
}  // namespace mangoplank::control
