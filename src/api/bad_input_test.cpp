#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "api/test_cell.h"

namespace mangoplank::api {
namespace {

using fakes::answer;
using fakes::kAdminToken;
using fakes::kKitchensToken;
using fakes::kWorkerToken;
using fakes::raw_client;
using fakes::test_cell;

constexpr const char* kServices = "/v1/departments/kitchens/services";

std::string TypeOf(const answer& received) {
  const auto v = boost::json::parse(received.body);
  return std::string(v.at("type").as_string());
}

/// @return the names of the fields that a problem lists.
std::vector<std::string> FieldsOf(const answer& received) {
  std::vector<std::string> out;
  const auto v = boost::json::parse(received.body);
  for (const auto& f : v.at("fields").as_array()) {
    out.emplace_back(f.at("field").as_string());
  }
  return out;
}

std::string Put(const std::string& spec) { return R"({"spec":)" + spec + "}"; }

/// Limits that a test can reach quickly.
server_limits TestLimits() {
  server_limits limits;
  limits.max_header_bytes = 2048;
  limits.max_body_bytes = 4096;
  limits.idle_timeout = core::milliseconds(5'000);
  limits.header_timeout = core::milliseconds(150);
  limits.body_timeout = core::milliseconds(150);
  limits.linger_timeout = core::milliseconds(100);
  return limits;
}

// Guards against a partly applied body: each invalid field is reported and
// nothing is changed.
TEST(BadInputTest, ReportsEachInvalidField) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const auto put = [&](const std::string& spec) {
    return client.Send("PUT", std::string(kServices) + "/planner",
                       kKitchensToken, Put(spec));
  };
  using names = std::vector<std::string>;
  answer a = put(R"({"replicas":"2","need":{"cpu_milli":1.5},"x":1})");
  EXPECT_EQ(a.status, 400u);
  EXPECT_EQ(TypeOf(a), "urn:mangoplank:problem:invalid-request");
  EXPECT_EQ(FieldsOf(a),
            (names{"spec.replicas", "spec.need.cpu_milli", "spec.x"}));
  EXPECT_EQ(FieldsOf(put(R"({"replicas":-1,"need":{"cpu_milli":-5}})")),
            (names{"spec.replicas", "spec.need.cpu_milli", "spec.need"}));
  EXPECT_EQ(FieldsOf(put(R"({"replicas":99999999999999999999,)"
                         R"("need":{"cpu_milli":18446744073709551615}})")),
            (names{"spec.replicas", "spec.need.cpu_milli"}));
  EXPECT_EQ(FieldsOf(put(R"({"urgency":"soon","where":7,"operations":{}})")),
            (names{"spec.urgency", "spec.where", "spec.operations"}));
  EXPECT_EQ(FieldsOf(put(R"({"operations":[{"name":"a","deadline_ms":-1},)"
                         R"({"idempotent":1}]})")),
            (names{"spec.operations[0].deadline_ms", "spec.operations[1].name",
                   "spec.operations[1].idempotent"}));
  cell.RunOnCell([&] { EXPECT_EQ(cell.client.state.Objects().size(), 2u); });
}

// Guards against a parser that accepts part of a malformed body.
TEST(BadInputTest, RejectsMalformedJson) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::string deep(1000, '[');
  for (const std::string& body :
       {std::string(), std::string("{"), std::string("[]"), std::string("7"),
        std::string(R"({"spec":{}} x)"), std::string("{\"spec\":\"\xff\"}"),
        deep, std::string(R"({"kind":"batch_job","spec":{}})"),
        std::string(R"({"name":"other","spec":{}})")}) {
    const answer a = client.Send("PUT", std::string(kServices) + "/planner",
                                 kKitchensToken, body);
    EXPECT_EQ(a.status, 400u) << body;
  }
}

// Guards against names that escape from their segment of a path or store key.
TEST(BadInputTest, RejectsInvalidNames) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::string need = Put(R"({"need":{"cpu_milli":1}})");
  for (const std::string& name :
       {std::string("Planner"), std::string("-a"), std::string("%2e%2e"),
        std::string("a%00b"), std::string("a%2fb"), std::string("%zz"),
        std::string("a%20b"), std::string(64, 'a'), std::string("%c3%a9")}) {
    const answer a = client.Send("PUT", std::string(kServices) + "/" + name,
                                 kKitchensToken, need);
    EXPECT_EQ(a.status, 400u) << name;
  }
  EXPECT_EQ(client
                .Send("PUT", "/v1/departments/kitchens/services//x",
                      kKitchensToken, need)
                .status,
            400u);
  EXPECT_EQ(
      client.Send("GET", std::string(kServices) + "?limit=0", kKitchensToken)
          .status,
      400u);
  EXPECT_EQ(
      client.Send("GET", std::string(kServices) + "?unknown=1", kKitchensToken)
          .status,
      400u);
  EXPECT_EQ(
      client.Send("GET", "/v1/departments/kitchens/tables", kKitchensToken)
          .status,
      404u);
  EXPECT_EQ(
      client.Send("BREW", std::string(kServices) + "/x", kKitchensToken).status,
      405u);
}

// Guards against malformed HTTP that gets a success response or no response.
TEST(BadInputTest, RejectsMalformedHttp) {
  test_cell cell;
  for (const char* const text :
       {"nonsense\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
        "GET /healthz HTTP/1.1\r\nContent-Length: x\r\n\r\n",
        "POST /healthz HTTP/1.1\r\nContent-Length: 3\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        "POST /healthz HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
    raw_client client(cell.endpoint);
    client.Write(text);
    const answer a = client.Read();
    EXPECT_EQ(a.status, 400u) << text;
    EXPECT_TRUE(client.IsClosed());
  }
}

// Guards against a client that uses unlimited memory.
TEST(BadInputTest, LimitsHeaderAndBodySize) {
  test_cell cell(TestLimits());
  raw_client big_header(cell.endpoint);
  big_header.Write("GET /healthz HTTP/1.1\r\nX: " + std::string(4000, 'x') +
                   "\r\n\r\n");
  EXPECT_EQ(big_header.Read().status, 431u);

  raw_client big_body(cell.endpoint);
  const answer a = big_body.Send("PUT", std::string(kServices) + "/planner",
                                 kKitchensToken, std::string(5000, ' '));
  EXPECT_EQ(a.status, 413u);
  EXPECT_EQ(TypeOf(a), "urn:mangoplank:problem:body-too-large");

  raw_client chunked(cell.endpoint);
  chunked.Write(
      "PUT /healthz HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1400\r\n" +
      std::string(0x1400, ' ') + "\r\n0\r\n\r\n");
  EXPECT_EQ(chunked.Read().status, 413u);

  // The client waits for 100 Continue, which must not be sent.
  raw_client waits_for_continue(cell.endpoint);
  waits_for_continue.Write(
      "PUT /healthz HTTP/1.1\r\nExpect: 100-continue\r\n"
      "Content-Length: 5000\r\n\r\n");
  EXPECT_EQ(waits_for_continue.Read().status, 413u);
}

// Guards against a slow sender that occupies its connection forever.
TEST(BadInputTest, LimitsRequestTime) {
  test_cell cell(TestLimits());
  raw_client slow_header(cell.endpoint);
  slow_header.Write("GET /healthz HTTP/1.1\r\n");
  EXPECT_EQ(slow_header.Read().status, 408u);
  raw_client slow_body(cell.endpoint);
  slow_body.Write("PUT /healthz HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  EXPECT_EQ(slow_body.Read().status, 408u);
  raw_client half(cell.endpoint);
  half.Write("PUT /healthz HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
  half.HalfClose();
  EXPECT_EQ(half.Read().status, 400u);
}

// Guards against a rejected query that reports the earlier call as not run, and
// a rejected call without an outcome.
TEST(BadInputTest, RejectionsStateOutcomeOfNewCallsOnly) {
  test_cell cell(TestLimits());
  const std::string calls = std::string(kServices) + "/planner/calls";
  const std::string large = " HTTP/1.1\r\nContent-Length: 99999\r\n\r\n";
  raw_client call(cell.endpoint);
  call.Write("POST " + calls + "/book" + large);
  EXPECT_EQ(call.Read().headers.at("mangoplank-outcome"), "not_run");
  raw_client query(cell.endpoint);
  query.Write("GET " + calls + "?key=k" + large);
  EXPECT_FALSE(query.Read().headers.contains("mangoplank-outcome"));
  raw_client malformed(cell.endpoint);
  malformed.Write("nonsense\r\n\r\n");
  EXPECT_FALSE(malformed.Read().headers.contains("mangoplank-outcome"));
}

// Guards against idle connections that keep out clients with requests.
TEST(BadInputTest, ClosesOldestIdleConnectionAtLimit) {
  server_limits limits = TestLimits();
  limits.max_connections = 4;
  test_cell cell(limits);
  std::vector<std::unique_ptr<raw_client>> idle;
  for (int i = 0; i < 4; ++i) {
    idle.push_back(std::make_unique<raw_client>(cell.endpoint));
    ASSERT_EQ(idle.back()->Send("GET", "/healthz", "").status, 200u);
  }
  raw_client late(cell.endpoint);
  EXPECT_EQ(late.Send("GET", "/healthz", "").status, 200u);
  EXPECT_TRUE(idle[0]->IsClosed());
  EXPECT_EQ(idle[3]->Send("GET", "/healthz", "").status, 200u);
}

// Guards against a full entry that accepts a connection but does not respond.
TEST(BadInputTest, RejectsConnectionsWhenAllAreBusy) {
  server_limits limits = TestLimits();
  limits.max_connections = 1;
  limits.header_timeout = core::milliseconds(2'000);
  test_cell cell(limits);
  raw_client busy(cell.endpoint);
  ASSERT_EQ(busy.Send("GET", "/healthz", "").status, 200u);
  busy.Write("GET /healthz HTTP/1.1\r\n");
  cell.RunOnCell([] {});
  raw_client late(cell.endpoint);
  const answer a = late.Read();
  EXPECT_EQ(a.status, 503u);
  EXPECT_EQ(a.headers.at("retry-after"), "1");
  busy.Write("\r\n");
  EXPECT_EQ(busy.Read().status, 200u);
}

// Guards against announcement fields that are committed unchecked.
TEST(BadInputTest, RejectsInvalidAnnouncements) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const auto announce = [&](const std::string& body) {
    return client.Send("POST", "/v1/workers/w1/announce", kWorkerToken, body);
  };
  const answer a = announce(R"({"incarnation":-1,"sequence":1,)"
                            R"("address":"x","region":"","rack":"r",)"
                            R"("data_centre":"d","capacity":[],"slots":"8"})");
  EXPECT_EQ(FieldsOf(a),
            (std::vector<std::string>{"incarnation", "capacity", "slots"}));
  const answer b = announce(
      R"({"incarnation":1,"sequence":1,"address":"host:1","region":"k",)"
      R"("data_centre":"k-1","rack":"r1","capacity":{"cpu_milli":-1},)"
      R"("tasks":[{"job":1,"index":0,"attempt":1,"phase":"waiting"}]})");
  EXPECT_EQ(FieldsOf(b), (std::vector<std::string>{"address", "capacity",
                                                   "tasks[0].phase"}));
  cell.RunOnCell([&] { EXPECT_TRUE(cell.announcer.received.empty()); });
}

// Guards against a crash on input that combines several faults: random bytes
// must never end the server.
TEST(BadInputTest, SurvivesRandomBytes) {
  test_cell cell(TestLimits());
  std::uint32_t seed = 12345;
  for (int i = 0; i < 200; ++i) {
    std::string bytes = i % 2 == 0 ? "PUT /v1/workers/a HTTP/1.1\r\n" : "";
    for (int j = 0; j < 64; ++j) {
      seed = seed * 1664525 + 1013904223;
      bytes += static_cast<char>(seed >> 24);
    }
    raw_client client(cell.endpoint);
    client.Write(bytes);
    client.HalfClose();
    const unsigned status = client.Read().status;
    EXPECT_TRUE(status == 0 || (status >= 400 && status < 500)) << status;
  }
  raw_client client(cell.endpoint);
  EXPECT_EQ(client.Send("GET", "/healthz", "").status, 200u);
}

}  // namespace
}  // namespace mangoplank::api
