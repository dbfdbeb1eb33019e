#include "mangoplank/report/program.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <filesystem>
#include <fstream>

#include "mangoplank/report/json.h"
#include "mangoplank/report/render.h"
#include "report/test_calls.h"

namespace mangoplank::report {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ::testing::HasSubstr;
using ::testing::Not;

constexpr auto kAsTuple = asio::as_tuple(asio::use_awaitable);

/// A fake entry that answers a connection with fixed bytes. Without an answer
/// it sends nothing.
class fake_entry {
 public:
  fake_entry(asio::io_context& io, std::string answer)
      : acceptor_(io, {asio::ip::address_v4::loopback(), 0}),
        answer_(std::move(answer)) {
    asio::co_spawn(io, Serve(), asio::detached);
  }
  core::endpoint GetAddress() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }
  const std::string& GetRequest() const { return request_; }

 private:
  core::awaitable<void> Serve() {
    auto [accept_error, socket] = co_await acceptor_.async_accept(kAsTuple);
    if (accept_error) co_return;
    co_await asio::async_read_until(socket, asio::dynamic_buffer(request_),
                                    "\r\n\r\n", kAsTuple);
    if (answer_.empty()) {
      // Returns when the client closes the connection.
      char unused = 0;
      co_await socket.async_read_some(asio::buffer(&unused, 1), kAsTuple);
    }
    co_await asio::async_write(socket, asio::buffer(answer_), kAsTuple);
  }

  tcp::acceptor acceptor_;
  std::string answer_;
  std::string request_;
};

std::string MakeHttpResponse(const std::string& status,
                             const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

core::wall_time_ms ReadClock() {
  asio::io_context io;
  return core::system_clock(io.get_executor()).WallNow();
}

std::string MakeAnswer(const std::string& entry, int good, int failed) {
  recorder r({{entry}, 1}, {"sieradz"});
  r.SetObjectives(test::MakeTwoObjectives());
  const operation_key key = test::MakeObjective("check").key;
  for (int i = 0; i < good + failed; ++i) {
    const auto ending = i < good ? cell::ending::kDone : cell::ending::kFailed;
    r.Add(key, {ending}, core::milliseconds(20), ReadClock());
  }
  return MakeHttpResponse("200 OK", ToJson(r.Export(ReadClock())));
}

core::awaitable<void> RunInto(report_request request, core::clock& clock,
                              report_result* result) {
  *result = co_await Run(std::move(request), clock);
}

report_result RunAgainst(asio::io_context& io, report_request request) {
  core::system_clock clock(io.get_executor());
  report_result result;
  request.timeout = core::milliseconds(500);
  asio::co_spawn(io, RunInto(std::move(request), clock, &result),
                 asio::detached);
  io.run_for(std::chrono::seconds(10));
  return result;
}

// Guards against one failing entry hiding the counts of the others, and against
// a missing entry that the report does not mention.
TEST(ProgramTest, ListsMissingEntriesAndReportsTheOthers) {
  asio::io_context io;
  fake_entry good(io, MakeAnswer("entry-1", 100, 0));
  fake_entry silent(io, "");
  fake_entry malformed(io, MakeHttpResponse("200 OK", "{}"));
  fake_entry non_http(io, "hello\r\n\r\n");
  fake_entry denied(io, MakeHttpResponse("403 Forbidden", ""));
  core::endpoint closed;
  {
    const tcp::acceptor unused(io, {asio::ip::address_v4::loopback(), 0});
    closed = {"127.0.0.1", unused.local_endpoint().port()};
  }
  const std::vector<core::endpoint> bad{
      silent.GetAddress(), malformed.GetAddress(), non_http.GetAddress(),
      denied.GetAddress(), closed};
  report_request request{bad, "secret"};
  request.entries.push_back(good.GetAddress());
  const report_result r = RunAgainst(io, request);
  EXPECT_EQ(r.code, exit_code::kFine) << r.text;
  EXPECT_THAT(r.text, HasSubstr("check"));
  for (const core::endpoint& e : bad) {
    EXPECT_THAT(r.text, HasSubstr("entry " + Format(e) + " is missing"));
  }
  EXPECT_THAT(r.text, HasSubstr("deadline exceeded"));
  EXPECT_THAT(r.text, HasSubstr("malformed message"));
  EXPECT_THAT(r.text, HasSubstr("connection refused"));
  EXPECT_THAT(good.GetRequest(), HasSubstr("GET /v1/objectives HTTP/1.1\r\n"));
  EXPECT_THAT(good.GetRequest(), HasSubstr("Authorization: Bearer secret\r\n"));
}

// Guards against an exit code that hides an alert or a failure.
TEST(ProgramTest, ExitCodeIsThatOfTheWorstVerdict) {
  asio::io_context io;
  fake_entry burning(io, MakeAnswer("entry-1", 90, 10));
  report_request request{{burning.GetAddress()}};
  request.output_format = output_format::kJson;
  const report_result r = RunAgainst(io, request);
  EXPECT_EQ(r.code, exit_code::kPage);
  const auto json = boost::json::parse(r.text).as_object();
  EXPECT_EQ(json.at("verdict").as_string(), "page");
  EXPECT_EQ(json.at("objectives").at(0).at("largest_cause").at("cause"),
            "failed");
}

TEST(ProgramTest, FailsIfNoEntryAnswers) {
  asio::io_context io;
  fake_entry denied(io, MakeHttpResponse("401 Unauthorized", ""));
  const report_result r = RunAgainst(io, {{denied.GetAddress()}});
  EXPECT_EQ(r.code, exit_code::kFailed);
  EXPECT_THAT(r.text, HasSubstr("unauthenticated"));
}

// Guards against a page that needs scripts or other files, plots without text
// alternatives, and markup injection through names.
TEST(HtmlTest, IsSelfContainedAndEscapesNames) {
  recorder r({{"entry-1"}, 1}, {"<b>&region"});
  r.SetObjectives(test::MakeTwoObjectives());
  const auto calls = test::MakeRandomCalls(1, 2000);
  for (const test::test_call& call : calls) test::Record(&r, call);
  const core::wall_time_ms now = calls.back().time;
  const std::string page = RenderHtml(
      Evaluate(r.Export(now), now), {{{"::1", 80}, core::deadline_exceeded{}}});
  for (const char* part : {"<script", "http://", "https://", "src=", "@import",
                           "<link", "url(", "<b>&region", "nan", "inf"}) {
    EXPECT_THAT(page, Not(HasSubstr(part)));
  }
  EXPECT_THAT(page, HasSubstr("&lt;b&gt;&amp;region"));
  EXPECT_THAT(page, HasSubstr("entry [::1]:80 is missing"));
  for (const char* id : {"burn-1", "latency-1", "burn-2", "latency-2"}) {
    const std::string name(id);
    EXPECT_THAT(page,
                HasSubstr("aria-labelledby=\"" + name + "-t " + name + "-d\""));
    EXPECT_THAT(page, HasSubstr("<title id=\"" + name + "-t\">"));
    EXPECT_THAT(page, HasSubstr("<desc id=\"" + name + "-d\">"));
  }
}

// Guards against a report that does not read or write the history.
TEST(ProgramTest, ReportsFromTheHistoryAndWritesThePage) {
  const auto folder = std::filesystem::path(::testing::TempDir()) /
                      ("report-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  report_request request;
  request.history = (folder / "history.json").string();
  request.html = (folder / "page.html").string();
  {
    asio::io_context io;
    fake_entry entry(io, MakeAnswer("entry-1", 0, 20));
    report_request first = request;
    first.entries = {entry.GetAddress()};
    EXPECT_EQ(RunAgainst(io, first).code, exit_code::kPage);
  }
  asio::io_context io;
  const report_result r = RunAgainst(io, request);
  EXPECT_EQ(r.code, exit_code::kPage);
  EXPECT_GT(std::filesystem::file_size(*request.html), 0u);
  std::ofstream(*request.history) << "damaged";
  asio::io_context again;
  const report_result damaged = RunAgainst(again, request);
  EXPECT_EQ(damaged.code, exit_code::kFailed);
  EXPECT_THAT(damaged.text, HasSubstr("incomplete report"));
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace mangoplank::report
