#include <gtest/gtest.h>

#include <boost/json.hpp>
#include <future>

#include "api/test_cell.h"

namespace mangoplank::api {
namespace {

using calls::end_reason;
using fakes::answer;
using fakes::kAdminToken;
using fakes::kKitchensToken;
using fakes::kWorkerToken;
using fakes::raw_client;
using fakes::test_cell;

constexpr const char* kPlanner = "/v1/departments/kitchens/services/planner";
constexpr const char* kServiceBody = R"({"spec":{"need":{"cpu_milli":1}}})";

boost::json::value Json(const std::string& text) {
  return boost::json::parse(text);
}

// Guards against a call whose end is not reported or is reported as another.
TEST(CallsTest, EachEndHasItsStatusAndOutcome) {
  test_cell cell;
  raw_client client(cell.endpoint);
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
    cell.RunOnCell([&] { cell.runner.next_end = e.end; });
    const answer a =
        client.Send("POST", std::string(kPlanner) + "/calls/book",
                    kKitchensToken, "two meals", {{"Idempotency-Key", "k"}});
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
  cell.RunOnCell([&] {
    EXPECT_EQ(cell.runner.received.front().body, "two meals");
    EXPECT_EQ(cell.runner.received.front().idempotency_key, "k");
  });
}

// Guards against a refused call that still reaches a worker.
TEST(CallsTest, RefusedCallsAreNotRun) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::string path = std::string(kPlanner) + "/calls/book";
  const auto status_and_outcome = [&](const answer& a) {
    return std::to_string(a.status) + a.headers.at("mangoplank-outcome");
  };
  EXPECT_EQ(status_and_outcome(client.Send("POST", path, "")), "401not_run");
  EXPECT_EQ(status_and_outcome(client.Send("POST", path, kKitchensToken, "",
                                           {{"Mangoplank-Deadline-Ms", "-1"}})),
            "400not_run");
  EXPECT_EQ(status_and_outcome(
                client.Send("POST", path, kKitchensToken, "",
                            {{"Mangoplank-Deadline-Ms", "999999999"}})),
            "400not_run");
  EXPECT_EQ(status_and_outcome(
                client.Send("POST", path, kKitchensToken, "",
                            {{"Idempotency-Key", std::string(129, 'k')}})),
            "400not_run");
  EXPECT_EQ(status_and_outcome(
                client.Send("POST", path, kKitchensToken,
                            std::string(cell::kMaxPayloadBytes + 1, 'x'))),
            "413not_run");
  // A refused resend says nothing about the first request with its key.
  EXPECT_EQ(status_and_outcome(
                client.Send("POST", path, "", "", {{"Idempotency-Key", "k"}})),
            "401outcome_unknown");
  cell.RunOnCell([&] { EXPECT_TRUE(cell.runner.received.empty()); });
  EXPECT_EQ(
      status_and_outcome(client.Send("POST", path, kKitchensToken,
                                     std::string(cell::kMaxPayloadBytes, 'x'))),
      "503not_run");
}

// Guards against an earlier call whose outcome cannot be queried.
TEST(CallsTest, QueriesOutcomeByKey) {
  test_cell cell;
  const cell::call_key key{{"kitchens"}, "planner", "k/1"};
  cell.RunOnCell([&] {
    cell.runner.recorded[key] = {cell::ending::kDone, end_reason::kNone,
                                 "meal"};
  });
  raw_client client(cell.endpoint);
  const std::string calls = std::string(kPlanner) + "/calls";
  const answer known = client.Send("GET", calls + "?key=k%2F1", kKitchensToken);
  EXPECT_EQ(known.status, 200u);
  EXPECT_EQ(known.body, "meal");
  const answer absent = client.Send("GET", calls + "?key=x", kKitchensToken);
  EXPECT_EQ(absent.status, 404u);
  EXPECT_EQ(absent.headers.at("mangoplank-outcome"), "outcome_unknown");
  EXPECT_EQ(client.Send("GET", calls, kKitchensToken).status, 400u);
}

// Guards against an announcement that loses a field in translation, and a reply
// that deviates from docs/worker_protocol.md.
TEST(AnnounceTest, FollowsWorkerProtocol) {
  test_cell cell;
  cell.RunOnCell([&] {
    cell.announcer.orders = {
        control::start_order{
            {12, 0}, 1, {1000, 512, 0}, "p", "planner", {"kitchens"}, true},
        control::stop_order{{9, 1}, 2, true},
        control::throttle_order{{9, 2}, 1, {500, 512, 0}}};
  });
  raw_client client(cell.endpoint);
  const answer a = client.Send(
      "POST", "/v1/workers/w1/announce", kWorkerToken,
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
  cell.RunOnCell([&] {
    ASSERT_EQ(cell.announcer.received.size(), 1u);
    EXPECT_EQ(cell.announcer.received[0], expected);
    cell.announcer.failure = core::unavailable{"no leader"};
  });
}

/// Reads a watch up to `text` and returns the rest of that line.
std::string ReadLine(raw_client& client, const std::string& text) {
  client.ReadUntil(text);
  return client.ReadUntil("\n");
}

// Guards against a watch that loses changes when it is resumed, or shows
// objects of other departments.
TEST(WatchTest, ResumesFromRevision) {
  test_cell cell;
  raw_client client(cell.endpoint);
  ASSERT_EQ(client.Send("PUT", kPlanner, kKitchensToken, kServiceBody).status,
            201u);
  const std::string services = "/v1/departments/kitchens/services";
  raw_client watch(cell.endpoint);
  EXPECT_EQ(watch.Send("GET", services + "?watch=true", kKitchensToken).status,
            200u);
  EXPECT_NE(watch.ReadUntil("progress").find("\"reset\""), std::string::npos);
  watch.ReadUntil("\"revision\":");
  const std::string at = watch.ReadUntil("}");
  const std::string from = at.substr(0, at.size() - 1);

  client.Send("PUT", std::string(kPlanner) + "2", kKitchensToken, kServiceBody);
  client.Send("PUT", "/v1/departments/tally/services/rates", fakes::kTallyToken,
              kServiceBody);
  client.Send("DELETE", kPlanner, kKitchensToken);
  const std::string live = watch.ReadUntil("deleted");
  EXPECT_NE(live.find("planner2"), std::string::npos) << live;

  raw_client again(cell.endpoint);
  again.Send("GET", services + "?watch=true&from=" + from, kKitchensToken);
  const std::string resumed = again.ReadUntil("progress");
  EXPECT_NE(resumed.find("planner2"), std::string::npos);
  EXPECT_NE(resumed.find("deleted"), std::string::npos);
  EXPECT_EQ(resumed.find("reset"), std::string::npos);
  EXPECT_EQ(resumed.find("rates"), std::string::npos);

  cell.RunOnCell([&] { cell.client.compacted = 3; });
  EXPECT_EQ(client.Send("GET", services + "?watch=true&from=1", kKitchensToken)
                .status,
            410u);
  EXPECT_EQ(client.Send("GET", services + "?watch=true&from=x", kKitchensToken)
                .status,
            400u);
}

// Guards against watches that use up all connections, and a watch that
// continues after its token was revoked.
TEST(WatchTest, IsLimitedAndEndsWhenTokenIsRevoked) {
  interface_settings settings;
  settings.max_watches = 1;
  test_cell cell({}, settings);
  const std::string path = std::string(kPlanner) + "?watch=true";
  raw_client first(cell.endpoint);
  EXPECT_EQ(first.Send("GET", path, kKitchensToken).status, 200u);
  raw_client second(cell.endpoint);
  EXPECT_EQ(second.Send("GET", path, kKitchensToken).status, 503u);
  cell.Put({cell::object_kind::kDepartment, {}, "kitchens"},
           cell::department_spec{});
  EXPECT_NE(first.ReadUntil("unauthenticated").find("\"error\""),
            std::string::npos);
  first.ReadUntil("0\r\n\r\n");
  EXPECT_TRUE(first.IsClosed());
  EXPECT_EQ(second.Send("GET", "/v1/workers?watch=true", kAdminToken).status,
            200u);
}

// Guards against responses to HEAD with a body, and against later or pipelined
// responses on the connection that are lost or misread.
TEST(ServerTest, HeadKeepAliveAndPipelining) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const answer head = client.Send("HEAD", "/healthz", "");
  EXPECT_EQ(head.status, 200u);
  EXPECT_EQ(head.headers.at("content-length"), "3");
  EXPECT_EQ(client.Send("GET", "/healthz", "").body, "ok\n");
  client.Write("GET /healthz HTTP/1.1\r\n\r\nGET /readyz HTTP/1.1\r\n\r\n");
  EXPECT_EQ(client.Read().body, "ok\n");
  EXPECT_EQ(client.Read().body, "ready\n");
  client.Write("GET /healthz HTTP/1.0\r\n\r\n");
  client.ReadUntil("ok\n");
  EXPECT_TRUE(client.IsClosed());
}

// Guards against a client that waits forever for 100 Continue.
TEST(ServerTest, SendsContinueBeforeBody) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::string body = kServiceBody;
  client.Write("PUT " + std::string(kPlanner) +
               " HTTP/1.1\r\nExpect: 100-continue\r\nAuthorization: Bearer " +
               kKitchensToken + "\r\nContent-Length: " +
               std::to_string(body.size()) + "\r\n\r\n");
  EXPECT_EQ(client.Read().status, 100u);
  client.Write(body);
  EXPECT_EQ(client.Read().status, 201u);
}

// Guards against a stop that waits until its deadline of 5 s for a connection
// whose response was just sent.
TEST(ServerTest, StopsPromptlyAfterResponse) {
  for (int i = 0; i < 20; ++i) {
    test_cell cell;
    raw_client client(cell.endpoint);
    ASSERT_EQ(client.Send("GET", "/healthz", "").status, 200u);
    const core::time_point begin = cell.clock.Now();
    cell.Stop(core::milliseconds(0));
    EXPECT_LT(cell.clock.Now() - begin, std::chrono::seconds(2));
    EXPECT_TRUE(client.IsClosed());
  }
}

// Guards against a stop that aborts requests in flight or hangs.
TEST(ServerTest, StopFinishesRequestsInFlight) {
  test_cell cell;
  cell.RunOnCell([&] { cell.client.delay = core::milliseconds(300); });
  raw_client busy(cell.endpoint);
  raw_client idle(cell.endpoint);
  raw_client watch(cell.endpoint);
  raw_client late(cell.endpoint);
  ASSERT_EQ(idle.Send("GET", "/healthz", "").status, 200u);
  ASSERT_EQ(late.Send("GET", "/healthz", "").status, 200u);
  ASSERT_EQ(
      watch.Send("GET", std::string(kPlanner) + "?watch=true", kKitchensToken)
          .status,
      200u);
  busy.Write("PUT " + std::string(kPlanner) +
             " HTTP/1.1\r\nAuthorization: Bearer " + kKitchensToken +
             "\r\nContent-Length: 33\r\n\r\n" + kServiceBody);
  cell.RunOnCell([] {});
  auto stopped = std::async(std::launch::async,
                            [&] { cell.Stop(core::milliseconds(200)); });
  // A request that was already under way at the stop is still answered.
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  EXPECT_EQ(late.Send("GET", "/healthz", "").status, 200u);
  const answer a = busy.Read();
  EXPECT_EQ(a.status, 201u) << a.body;
  EXPECT_EQ(a.headers.at("connection"), "close");
  watch.ReadUntil("0\r\n\r\n");
  EXPECT_TRUE(watch.IsClosed());
  EXPECT_TRUE(idle.IsClosed());
  ASSERT_EQ(stopped.wait_for(std::chrono::seconds(5)),
            std::future_status::ready);
  cell.RunOnCell([&] { EXPECT_EQ(cell.http->ConnectionCount(), 0u); });
}

}  // namespace
}  // namespace mangoplank::api
