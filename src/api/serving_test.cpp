#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <future>

#include "api/test_cell.h"

namespace mangoplank::api {
namespace {

using calls::end_reason;
using fakes::answer;
using fakes::kAdmin;
using fakes::kKitchens;
using fakes::kWorker;
using fakes::raw_client;
using fakes::test_cell;

constexpr const char* kPlanner = "/v1/departments/kitchens/services/planner";
constexpr const char* kNeed = R"({"spec":{"need":{"cpu_milli":1}}})";

boost::json::value Json(const std::string& text) {
  return boost::json::parse(text);
}

// Guards against a call whose end is not told, or told as another one.
TEST(CallsTest, EachEndHasItsStatusAndOutcome) {
  test_cell cell;
  raw_client c(cell.at);
  const cell::call_key key{{"kitchens"}, "planner", "k/1"};
  struct expectation {
    calls::call_end end;
    unsigned status;
    std::string outcome;
  };
  const std::vector<expectation> expected{
      {{cell::ending::kDone, end_reason::kNone, "meal"}, 200, "done"},
      {{cell::ending::kFailed, end_reason::kWorkerError, "no rice"},
       422,
       "failed"},
      {{cell::ending::kFailed, end_reason::kDeadline}, 422, "failed"},
      {{cell::ending::kNotRun, end_reason::kOverloaded}, 429, "not_run"},
      {{cell::ending::kNotRun, end_reason::kNoWorker}, 503, "not_run"},
      {{cell::ending::kNotRun, end_reason::kUnknownService}, 404, "not_run"},
      {{cell::ending::kNotRun, end_reason::kUnknownOperation}, 404, "not_run"},
      {{cell::ending::kNotRun, end_reason::kKeyMissing}, 400, "not_run"},
      {{cell::ending::kNotRun, end_reason::kKeyReused}, 409, "not_run"},
      {{cell::ending::kNotRun, end_reason::kDeadline}, 503, "not_run"},
      {{cell::ending::kOutcomeUnknown, end_reason::kConnection, "",
        std::nullopt, key},
       504,
       "outcome_unknown"}};
  for (const expectation& e : expected) {
    cell.OnCell([&] { cell.runner.next = e.end; });
    const answer a = c.Send("POST", std::string(kPlanner) + "/calls/book",
                            kKitchens, "two meals", {{"Idempotency-Key", "k"}});
    EXPECT_EQ(a.status, e.status);
    EXPECT_EQ(a.headers.at("mangoplank-outcome"), e.outcome);
    if (!e.end.body.empty()) EXPECT_EQ(a.body, e.end.body);
    const bool problem =
        a.headers.at("content-type") == "application/problem+json";
    if (problem) EXPECT_EQ(Json(a.body).at("outcome").as_string(), e.outcome);
    if (e.status == 504) {
      EXPECT_EQ(a.headers.at("location"),
                std::string(kPlanner) + "/calls?key=k%2F1");
    }
    EXPECT_EQ(a.headers.contains("retry-after"),
              e.status == 503 || e.status == 429 || e.status == 504);
  }
  cell.OnCell([&] {
    EXPECT_EQ(cell.runner.seen.front().body, "two meals");
    EXPECT_EQ(cell.runner.seen.front().idempotency_key, "k");
  });
}

// Guards against a call that reaches a worker though the request was refused.
TEST(CallsTest, RefusedCallsAreNotRun) {
  test_cell cell;
  raw_client c(cell.at);
  const std::string path = std::string(kPlanner) + "/calls/book";
  const auto outcome = [&](const answer& a) {
    return std::to_string(a.status) + a.headers.at("mangoplank-outcome");
  };
  EXPECT_EQ(outcome(c.Send("POST", path, "")), "401not_run");
  EXPECT_EQ(outcome(c.Send("POST", path, kKitchens, "",
                           {{"Mangoplank-Deadline-Ms", "-1"}})),
            "400not_run");
  EXPECT_EQ(outcome(c.Send("POST", path, kKitchens, "",
                           {{"Mangoplank-Deadline-Ms", "999999999"}})),
            "400not_run");
  EXPECT_EQ(outcome(c.Send("POST", path, kKitchens, "",
                           {{"Idempotency-Key", std::string(129, 'k')}})),
            "400not_run");
  EXPECT_EQ(outcome(c.Send("POST", path, kKitchens,
                           std::string(cell::kMaxPayloadBytes + 1, 'x'))),
            "413not_run");
  // A refused resend says nothing of the first request of its key.
  EXPECT_EQ(outcome(c.Send("POST", path, "", "", {{"Idempotency-Key", "k"}})),
            "401outcome_unknown");
  cell.OnCell([&] { EXPECT_TRUE(cell.runner.seen.empty()); });
  EXPECT_EQ(outcome(c.Send("POST", path, kKitchens,
                           std::string(cell::kMaxPayloadBytes, 'x'))),
            "503not_run");
}

// Guards against an old call whose end can't be learned.
TEST(CallsTest, AsksAgainByKey) {
  test_cell cell;
  const cell::call_key key{{"kitchens"}, "planner", "k/1"};
  cell.OnCell([&] {
    cell.runner.known[key] = {cell::ending::kDone, end_reason::kNone, "meal"};
  });
  raw_client c(cell.at);
  const std::string calls = std::string(kPlanner) + "/calls";
  const answer known = c.Send("GET", calls + "?key=k%2F1", kKitchens);
  EXPECT_EQ(known.status, 200u);
  EXPECT_EQ(known.body, "meal");
  const answer absent = c.Send("GET", calls + "?key=x", kKitchens);
  EXPECT_EQ(absent.status, 404u);
  EXPECT_EQ(absent.headers.at("mangoplank-outcome"), "outcome_unknown");
  EXPECT_EQ(c.Send("GET", calls, kKitchens).status, 400u);
}

// Guards against an announcement that loses a field on its way, and a reply
// that differs from docs/worker_protocol.md.
TEST(AnnounceTest, FollowsTheWorkerProtocol) {
  test_cell cell;
  cell.OnCell([&] {
    cell.announcer.orders = {
        control::start_order{
            {12, 0}, 1, {1000, 512, 0}, "p", "planner", {"kitchens"}, true},
        control::stop_order{{9, 1}, 2, true},
        control::throttle_order{{9, 2}, 1, {500, 512, 0}}};
  });
  raw_client c(cell.at);
  const answer a = c.Send(
      "POST", "/v1/workers/w1/announce", kWorker,
      R"({"incarnation":17,"sequence":3,"address":"127.0.0.1:7001",)"
      R"("region":"kalisz","data_centre":"kalisz-1","rack":"r1",)"
      R"("capacity":{"cpu_milli":64000,"memory_mib":131072,"accelerators":0},)"
      R"("slots":8,"leaving":true,"tasks":[{"job":12,"index":0,"attempt":1,)"
      R"("phase":"running","used":{"cpu_milli":900,"memory_mib":300,)"
      R"("accelerators":0},"detail":""}]})");
  ASSERT_EQ(a.status, 200u) << a.body;
  EXPECT_EQ(
      Json(a.body),
      Json(R"({"worker":"w1","incarnation":17,"sequence":3,"term":5,)"
           R"("lease_ms":10000,"superseded":false,"orders":[)"
           R"({"order":"start","job":12,"index":0,"attempt":1,"program":"p",)"
           R"("name":"planner","department":"kitchens","service":true,)"
           R"("need":{"cpu_milli":1000,"memory_mib":512,"accelerators":0}},)"
           R"({"order":"stop","job":9,"index":1,"attempt":2,)"
           R"("checkpoint":true},)"
           R"({"order":"throttle","job":9,"index":2,"attempt":1,"limit":)"
           R"({"cpu_milli":500,"memory_mib":512,"accelerators":0}}]})"));
  control::announcement expected;
  expected.worker = {{"w1"},
                     17,
                     {"127.0.0.1", 7001},
                     {{"kalisz"}, {"kalisz-1"}, {"r1"}},
                     {64000, 131072, 0},
                     8};
  expected.sequence = 3;
  expected.leaving = true;
  expected.tasks = {
      {{12, 0}, 1, cell::task_phase::kRunning, {900, 300, 0}, ""}};
  cell.OnCell([&] {
    ASSERT_EQ(cell.announcer.seen.size(), 1u);
    EXPECT_EQ(cell.announcer.seen[0], expected);
    cell.announcer.fails = core::unavailable{"no leader"};
  });
}

/// Reads the lines of a watch up to the first with `mark`.
std::string ReadLine(raw_client& c, const std::string& mark) {
  c.ReadUntil(mark);
  return c.ReadUntil("\n");
}

// Guards against a watch that loses changes when it is resumed, or shows other
// departments' objects.
TEST(WatchTest, ResumesWhereItStopped) {
  test_cell cell;
  raw_client c(cell.at);
  ASSERT_EQ(c.Send("PUT", kPlanner, kKitchens, kNeed).status, 201u);
  const std::string services = "/v1/departments/kitchens/services";
  raw_client w(cell.at);
  EXPECT_EQ(w.Send("GET", services + "?watch=true", kKitchens).status, 200u);
  EXPECT_NE(w.ReadUntil("progress").find("\"reset\""), std::string::npos);
  w.ReadUntil("\"revision\":");
  const std::string at = w.ReadUntil("}");
  const std::string from = at.substr(0, at.size() - 1);

  c.Send("PUT", std::string(kPlanner) + "2", kKitchens, kNeed);
  c.Send("PUT", "/v1/departments/tally/services/rates", fakes::kTally, kNeed);
  c.Send("DELETE", kPlanner, kKitchens);
  const std::string live = w.ReadUntil("deleted");
  EXPECT_NE(live.find("planner2"), std::string::npos) << live;

  raw_client again(cell.at);
  again.Send("GET", services + "?watch=true&from=" + from, kKitchens);
  const std::string resumed = again.ReadUntil("progress");
  EXPECT_NE(resumed.find("planner2"), std::string::npos);
  EXPECT_NE(resumed.find("deleted"), std::string::npos);
  EXPECT_EQ(resumed.find("reset"), std::string::npos);
  EXPECT_EQ(resumed.find("rates"), std::string::npos);

  cell.OnCell([&] { cell.client.compacted = 3; });
  EXPECT_EQ(c.Send("GET", services + "?watch=true&from=1", kKitchens).status,
            410u);
  EXPECT_EQ(c.Send("GET", services + "?watch=true&from=x", kKitchens).status,
            400u);
}

// Guards against watches that take all connections, and against one that goes
// on after its token was withdrawn.
TEST(WatchTest, IsBoundedAndEndsWithItsToken) {
  interface_settings s;
  s.max_watches = 1;
  test_cell cell({}, s);
  const std::string path = std::string(kPlanner) + "?watch=true";
  raw_client first(cell.at);
  EXPECT_EQ(first.Send("GET", path, kKitchens).status, 200u);
  raw_client second(cell.at);
  EXPECT_EQ(second.Send("GET", path, kKitchens).status, 503u);
  cell.Put({cell::object_kind::kDepartment, {}, "kitchens"},
           cell::department_spec{});
  EXPECT_NE(first.ReadUntil("unauthenticated").find("\"error\""),
            std::string::npos);
  first.ReadUntil("0\r\n\r\n");
  EXPECT_TRUE(first.Closed());
  EXPECT_EQ(second.Send("GET", "/v1/workers?watch=true", kAdmin).status, 200u);
}

// Guards against responses to HEAD with a body, and connections that lose step
// after one.
TEST(ServerTest, HeadKeepAliveAndPipelining) {
  test_cell cell;
  raw_client c(cell.at);
  const answer head = c.Send("HEAD", "/healthz", "");
  EXPECT_EQ(head.status, 200u);
  EXPECT_EQ(head.headers.at("content-length"), "3");
  EXPECT_EQ(c.Send("GET", "/healthz", "").body, "ok\n");
  c.Write("GET /healthz HTTP/1.1\r\n\r\nGET /readyz HTTP/1.1\r\n\r\n");
  EXPECT_EQ(c.Read().body, "ok\n");
  EXPECT_EQ(c.Read().body, "ready\n");
  c.Write("GET /healthz HTTP/1.0\r\n\r\n");
  c.ReadUntil("ok\n");
  EXPECT_TRUE(c.Closed());
}

// Guards against a client that waits for 100 for ever.
TEST(ServerTest, AsksForTheBody) {
  test_cell cell;
  raw_client c(cell.at);
  const std::string body = kNeed;
  c.Write("PUT " + std::string(kPlanner) +
          " HTTP/1.1\r\nExpect: 100-continue\r\nAuthorization: Bearer " +
          kKitchens + "\r\nContent-Length: " + std::to_string(body.size()) +
          "\r\n\r\n");
  EXPECT_EQ(c.Read().status, 100u);
  c.Write(body);
  EXPECT_EQ(c.Read().status, 201u);
}

// Guards against a stop that waits for a connection whose response was just
// sent, until its deadline of 5 s.
TEST(ServerTest, StopsSoonAfterAResponse) {
  for (int i = 0; i < 20; ++i) {
    test_cell cell;
    raw_client c(cell.at);
    ASSERT_EQ(c.Send("GET", "/healthz", "").status, 200u);
    const core::time_point begin = cell.clock.Now();
    cell.Stop(core::milliseconds(0));
    EXPECT_LT(cell.clock.Now() - begin, std::chrono::seconds(2));
    EXPECT_TRUE(c.Closed());
  }
}

// Guards against a stop that cuts requests in flight, or one that hangs.
TEST(ServerTest, StopFinishesRequestsInFlight) {
  test_cell cell;
  cell.OnCell([&] { cell.client.delay = core::milliseconds(300); });
  raw_client busy(cell.at);
  raw_client idle(cell.at);
  raw_client watch(cell.at);
  raw_client late(cell.at);
  ASSERT_EQ(idle.Send("GET", "/healthz", "").status, 200u);
  ASSERT_EQ(late.Send("GET", "/healthz", "").status, 200u);
  ASSERT_EQ(watch.Send("GET", std::string(kPlanner) + "?watch=true", kKitchens)
                .status,
            200u);
  busy.Write("PUT " + std::string(kPlanner) +
             " HTTP/1.1\r\nAuthorization: Bearer " + kKitchens +
             "\r\nContent-Length: 33\r\n\r\n" + kNeed);
  cell.OnCell([] {});
  auto stopped = std::async(std::launch::async,
                            [&] { cell.Stop(core::milliseconds(200)); });
  // A request that was on its way when the stop began is still answered.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  EXPECT_EQ(late.Send("GET", "/healthz", "").status, 200u);
  const answer a = busy.Read();
  EXPECT_EQ(a.status, 201u) << a.body;
  EXPECT_EQ(a.headers.at("connection"), "close");
  watch.ReadUntil("0\r\n\r\n");
  EXPECT_TRUE(watch.Closed());
  EXPECT_TRUE(idle.Closed());
  ASSERT_EQ(stopped.wait_for(std::chrono::seconds(5)),
            std::future_status::ready);
  cell.OnCell([&] { EXPECT_EQ(cell.http->ConnectionCount(), 0u); });
}

}  // namespace
}  // namespace mangoplank::api
