#include "mangoplank/calls/http_transport.h"

#include <gtest/gtest.h>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace mangoplank::calls {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto kTuple = asio::as_tuple(asio::use_awaitable);
constexpr const char* kNoResponse = "never";

std::string Answer(const std::string& id, const std::string& body,
                   const std::string& status = "200 OK",
                   const std::string& more = "") {
  return "HTTP/1.1 " + status + "\r\nMangoplank-Call: " + id + "\r\n" + more +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Answers the n-th request of each connection with the n-th text of that
/// connection's script, and closes at the end of the script.
class scripted_server {
 public:
  using script = std::vector<std::string>;
  scripted_server(asio::io_context& io, std::vector<script> scripts)
      : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    asio::co_spawn(io, Accept(this, std::move(scripts)), asio::detached);
  }
  worker_target Target() const {
    return {{"w1"}, 1, {"127.0.0.1", acceptor_.local_endpoint().port()}};
  }
  int connections = 0;

 private:
  static asio::awaitable<void> Accept(scripted_server* self,
                                      std::vector<script> scripts) {
    for (script& s : scripts) {
      auto [ec, socket] = co_await self->acceptor_.async_accept(kTuple);
      if (ec) co_return;
      ++self->connections;
      asio::co_spawn(self->acceptor_.get_executor(),
                     Serve(self, std::move(socket), std::move(s)),
                     asio::detached);
    }
  }
  static asio::awaitable<void> Serve(scripted_server* self, tcp::socket socket,
                                     script s) {
    asio::streambuf buffer;
    for (const std::string& text : s) {
      const auto [ec, n] =
          co_await asio::async_read_until(socket, buffer, "\r\n\r\n", kTuple);
      if (ec) co_return;
      buffer.consume(n);
      if (text == kNoResponse) {
        self->open_sockets_.push_back(std::move(socket));
        co_return;
      }
      co_await asio::async_write(socket, asio::buffer(text), kTuple);
    }
  }

  tcp::acceptor acceptor_;
  std::vector<tcp::socket> open_sockets_;
};

class HttpTransportTest : public ::testing::Test {
 protected:
  worker_reply Exchange(const worker_target& to, const std::string& id,
                        core::duration timeout = 2s) {
    worker_request r;
    r.id = id;
    r.department = {"kitchens"};
    r.service = "meals";
    r.operation = "check";
    r.deadline = clock_.Now() + timeout;
    worker_reply reply = worker_running{};
    asio::co_spawn(io_, StoreReply(transport_, to, r, reply), asio::detached);
    const auto until = clock_.Now() + 5s;
    while (std::holds_alternative<worker_running>(reply) &&
           clock_.Now() < until) {
      io_.restart();
      io_.run_one_for(100ms);
    }
    return reply;
  }
  static core::awaitable<void> StoreReply(http_transport& t, worker_target to,
                                          worker_request r,
                                          worker_reply& reply) {
    const exchange_result result = co_await t.Exchange(to, r, r.deadline);
    reply = result.reply;
  }
  std::uint64_t CountSecondAnswers() {
    return metrics_
        .Counter("mangoplank_call_faults_total", "",
                 {{"kind", "second_answer"}})
        .Value();
  }

  asio::io_context io_{1};
  core::system_clock clock_{io_.get_executor()};
  metrics::registry metrics_;
  http_transport transport_{{}, io_.get_executor(), clock_, metrics_};
};

worker_reply Fault(fault_kind k, bool sent) { return exchange_fault{k, sent}; }

// Guards against opening a connection for each call.
TEST_F(HttpTransportTest, ReusesConnections) {
  scripted_server server(io_, {{Answer("a", "1"), Answer("b", "2")}});
  EXPECT_EQ(Exchange(server.Target(), "a"), worker_reply(worker_done{"1"}));
  EXPECT_EQ(Exchange(server.Target(), "b"), worker_reply(worker_done{"2"}));
  EXPECT_EQ(server.connections, 1);
}

TEST_F(HttpTransportTest, DecodesFailuresAndRefusals) {
  scripted_server server(
      io_, {{Answer("a", "no", "422 X"),
             Answer("b", "", "503 X",
                    "Mangoplank-End: not_run\r\n"
                    "Mangoplank-Reason: other_incarnation\r\n"),
             Answer("c", "", "503 X", "Mangoplank-End: not_run\r\n")}});
  EXPECT_EQ(Exchange(server.Target(), "a"), worker_reply(worker_failed{"no"}));
  EXPECT_EQ(Exchange(server.Target(), "b"),
            worker_reply(worker_refused{refusal::kOtherIncarnation}));
  EXPECT_EQ(Exchange(server.Target(), "c"), worker_reply(worker_refused{}));
}

// Guards against a connect error after which the call counts as maybe run.
TEST_F(HttpTransportTest, RefusedConnectionCountsAsNotSent) {
  worker_target closed_port;
  {
    scripted_server server(io_, {});
    closed_port = server.Target();
  }
  EXPECT_EQ(Exchange(closed_port, "a"),
            Fault(fault_kind::kConnectRefused, false));
}

// Guards against a connect that hangs beyond the connect timeout.
TEST_F(HttpTransportTest, ConnectTimeoutIsASilentFault) {
  tcp::acceptor listener(io_);
  listener.open(tcp::v4());
  listener.bind(tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
  listener.listen(0);
  // One connection fills the backlog; the next connect is not answered.
  tcp::socket filler(io_);
  filler.connect(listener.local_endpoint());
  const worker_target to{
      {"w1"}, 1, {"127.0.0.1", listener.local_endpoint().port()}};
  const auto start = clock_.Now();
  EXPECT_EQ(Exchange(to, "a"), Fault(fault_kind::kSilent, false));
  EXPECT_LT(clock_.Now() - start, 1500ms);
}

// Guards against waiting past the deadline, and against reusing other
// connections that may be broken as well.
TEST_F(HttpTransportTest, ReplacesAConnectionThatStopsAnswering) {
  scripted_server server(io_,
                         {{Answer("a", "1"), kNoResponse}, {Answer("c", "3")}});
  EXPECT_EQ(Exchange(server.Target(), "a"), worker_reply(worker_done{"1"}));
  EXPECT_EQ(Exchange(server.Target(), "b", 100ms),
            Fault(fault_kind::kNoAnswer, true));
  EXPECT_EQ(Exchange(server.Target(), "c"), worker_reply(worker_done{"3"}));
  EXPECT_EQ(server.connections, 2);
}

TEST_F(HttpTransportTest, AnswerThatIsNotHttpIsMalformed) {
  scripted_server server(io_, {{"\x01\x02garbage\r\n\r\n"}});
  EXPECT_EQ(Exchange(server.Target(), "a"),
            Fault(fault_kind::kMalformed, true));
}

// Guards against accepting an answer that is truncated, of unknown length,
// without a call id, or with the id of another call.
TEST_F(HttpTransportTest, RejectsAnswersWithoutIdOrFullLength) {
  const std::string whole = Answer("a", "12345");
  scripted_server server(
      io_, {{whole.substr(0, whole.size() - 2)},
            {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
            {"HTTP/1.1 200 OK\r\nMangoplank-Call: a\r\n\r\nabc"},
            {Answer("z", "1")},
            {"HTTP/1.1 503 X\r\nMangoplank-Call: a\r\nContent-Length: 0\r\n"
             "\r\n"}});
  EXPECT_EQ(Exchange(server.Target(), "a"),
            Fault(fault_kind::kClosedInAnswer, true));
  EXPECT_EQ(Exchange(server.Target(), "a"),
            Fault(fault_kind::kMalformed, true));
  EXPECT_EQ(Exchange(server.Target(), "a"),
            Fault(fault_kind::kMalformed, true));
  EXPECT_EQ(Exchange(server.Target(), "a"),
            Fault(fault_kind::kOtherCall, true));
  EXPECT_EQ(Exchange(server.Target(), "a"),
            Fault(fault_kind::kMalformed, true));
  EXPECT_EQ(server.connections, 5);
}

// Guards against taking a second answer for that of the next call.
TEST_F(HttpTransportTest, ClosesTheConnectionAfterASecondAnswer) {
  const std::string one = Answer("a", "1");
  scripted_server server(io_, {{one + one, kNoResponse}, {Answer("b", "2")}});
  EXPECT_EQ(Exchange(server.Target(), "a"), worker_reply(worker_done{"1"}));
  EXPECT_EQ(Exchange(server.Target(), "b"), worker_reply(worker_done{"2"}));
  EXPECT_EQ(CountSecondAnswers(), 1u);
  EXPECT_EQ(server.connections, 2);
}

// Guards against exceeding the connection limit of a worker.
TEST_F(HttpTransportTest, CallsAboveTheConnectionLimitWait) {
  scripted_server server(io_, {{kNoResponse}, {Answer("b", "2")}});
  http_transport_settings settings;
  settings.max_connections = 1;
  http_transport transport(settings, io_.get_executor(), clock_, metrics_);
  worker_request first;
  first.id = "a";
  first.deadline = clock_.Now() + 300ms;
  worker_request second = first;
  second.id = "b";
  second.deadline = clock_.Now() + 2s;
  worker_reply reply1 = worker_running{};
  worker_reply reply2 = worker_running{};
  asio::co_spawn(io_, StoreReply(transport, server.Target(), first, reply1),
                 asio::detached);
  asio::co_spawn(io_, StoreReply(transport, server.Target(), second, reply2),
                 asio::detached);
  io_.run_for(200ms);
  EXPECT_EQ(server.connections, 1);
  io_.restart();
  io_.run_for(400ms);
  EXPECT_EQ(reply1, Fault(fault_kind::kNoAnswer, true));
  EXPECT_EQ(reply2, worker_reply(worker_done{"2"}));
}

// Guards against idle connections that are not counted, or that stay open: each
// of them takes a descriptor here and a connection of the worker.
TEST_F(HttpTransportTest, CountsAndClosesIdleConnections) {
  http_transport_settings settings;
  settings.idle_timeout = 200ms;
  http_transport transport(settings, io_.get_executor(), clock_, metrics_);
  const auto count = [&] {
    return metrics_.Gauge("mangoplank_call_connections", "").Value();
  };
  scripted_server server(io_, {{Answer("a", "1"), kNoResponse}});
  worker_request request;
  request.id = "a";
  request.deadline = clock_.Now() + 2s;
  worker_reply reply = worker_running{};
  asio::co_spawn(io_, StoreReply(transport, server.Target(), request, reply),
                 asio::detached);
  io_.run_for(100ms);
  EXPECT_EQ(reply, worker_reply(worker_done{"1"}));
  EXPECT_EQ(count(), 1);
  transport.CloseIdle();
  EXPECT_EQ(count(), 1);
  io_.restart();
  io_.run_for(250ms);
  transport.CloseIdle();
  EXPECT_EQ(count(), 0);
}

}  // namespace
}  // namespace mangoplank::calls
