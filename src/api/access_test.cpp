#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <boost/json.hpp>
#include <sstream>

#include "api/test_cell.h"

namespace mangoplank::api {
namespace {

using fakes::answer;
using fakes::kAdminToken;
using fakes::kKitchensToken;
using fakes::kTallyToken;
using fakes::kViewerToken;
using fakes::kWorkerToken;
using fakes::raw_client;
using fakes::test_cell;

constexpr const char* kNeed = R"({"spec":{"need":{"cpu_milli":1}}})";

// Guards against a department that learns what another one owns, or even that
// it exists.
TEST(AccessTest, OtherDepartmentsAreNotFound) {
  test_cell cell;
  raw_client client(cell.endpoint);
  ASSERT_EQ(client
                .Send("PUT", "/v1/departments/tally/services/rates",
                      kTallyToken, kNeed)
                .status,
            201u);
  std::vector<std::string> seen;
  for (const char* const path :
       {"/v1/departments/tally/services/rates",
        "/v1/departments/tally/services/absent",
        "/v1/departments/absent/services/rates",
        "/v1/departments/tally/services", "/v1/departments/absent/services",
        "/v1/departments/tally", "/v1/departments/absent",
        "/v1/departments/tally/services?watch=true",
        "/v1/departments/tally/services/rates/explain",
        "/v1/departments/tally/services/absent/explain"}) {
    const answer a = client.Send("GET", path, kKitchensToken);
    EXPECT_EQ(a.status, 404u) << path;
    seen.push_back(a.body);
  }
  EXPECT_EQ(std::set<std::string>(seen.begin(), seen.end()).size(), 1u);
  for (const char* const department : {"tally", "absent"}) {
    const std::string base =
        std::string("/v1/departments/") + department + "/services/rates";
    EXPECT_EQ(client.Send("PUT", base, kKitchensToken, kNeed).status, 404u);
    EXPECT_EQ(client.Send("DELETE", base, kKitchensToken).status, 404u);
    EXPECT_EQ(client.Send("POST", base + "/cancel", kKitchensToken).status,
              404u);
    EXPECT_EQ(client.Send("POST", base + "/calls/check", kKitchensToken).status,
              404u);
  }
}

// Guards against a list or status that shows other departments.
TEST(AccessTest, CollectionsShowOnlyOwnDepartment) {
  test_cell cell;
  cell.RunOnCell([&] {
    cell.client.status.shares = {{{"kitchens"}}, {{"tally"}}};
    cell.client.status.entries = {{{"e1"}, {"kalisz"}, 3}};
    cell.client.status.revision = 9;
  });
  raw_client client(cell.endpoint);
  const answer list = client.Send("GET", "/v1/departments", kViewerToken);
  ASSERT_EQ(list.status, 200u);
  const auto items = boost::json::parse(list.body).at("items").as_array();
  ASSERT_EQ(items.size(), 1u);
  EXPECT_EQ(items[0].at("name").as_string(), "kitchens");
  // Only the cell's administrator sees token hashes.
  EXPECT_EQ(list.body.find("sha256"), std::string::npos);
  const answer status = client.Send("GET", "/v1/status", kViewerToken);
  EXPECT_EQ(status.body.find("tally"), std::string::npos);
  EXPECT_EQ(status.body.find("kalisz"), std::string::npos);
  EXPECT_NE(status.body.find("\"in_force_everywhere\":3"), std::string::npos);
  EXPECT_NE(client.Send("GET", "/v1/status", kAdminToken).body.find("tally"),
            std::string::npos);
}

// Guards against roles that allow more than they grant.
TEST(AccessTest, RolesRestrictRequests) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::string own = "/v1/departments/kitchens/services/planner";
  EXPECT_EQ(client.Send("PUT", own, kViewerToken, kNeed).status, 403u);
  EXPECT_EQ(client.Send("POST", own + "/calls/check", kViewerToken).status,
            403u);
  EXPECT_EQ(client.Send("PUT", own, kKitchensToken, kNeed).status, 201u);
  EXPECT_EQ(client.Send("GET", own, kViewerToken).status, 200u);
  EXPECT_EQ(client
                .Send("PUT", "/v1/departments/kitchens", kKitchensToken,
                      R"({"spec":{"weight":100}})")
                .status,
            403u);
  EXPECT_EQ(client.Send("POST", "/v1/workers/w1/drain", kKitchensToken).status,
            403u);
  EXPECT_EQ(client.Send("GET", "/v1/configurations", kKitchensToken).status,
            403u);
  EXPECT_EQ(
      client.Send("GET", "/v1/departments?watch=true", kKitchensToken).status,
      403u);
  EXPECT_EQ(client.Send("GET", "/metrics", kKitchensToken).status, 403u);
  EXPECT_EQ(client.Send("GET", "/metrics", kAdminToken).status, 200u);
  EXPECT_EQ(client.Send("GET", own, kWorkerToken).status, 403u);
  EXPECT_EQ(
      client.Send("POST", "/v1/workers/w1/announce", kAdminToken, "{}").status,
      403u);
}

// Guards against tokens that work without a grant or after its revocation.
TEST(AccessTest, UnknownAndRevokedTokensAreRejected) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::string path = "/v1/departments/kitchens/services";
  EXPECT_EQ(client.Send("GET", path, kKitchensToken).status, 200u);
  for (const std::string& token :
       {std::string(), std::string("x"), std::string(600, 'x'),
        fakes::Sha256Hex(kKitchensToken)}) {
    EXPECT_EQ(client.Send("GET", path, token).status, 401u);
    EXPECT_EQ(client.Send("GET", "/no/such/path", token).status, 401u);
  }
  cell.Put({cell::object_kind::kDepartment, {}, "kitchens"},
           cell::department_spec{});
  EXPECT_EQ(client.Send("GET", path, kKitchensToken).status, 401u);
}

// Guards against a token in the log, and refusals that are not logged exactly
// once.
TEST(AccessTest, LogsEachRefusalOnceWithoutToken) {
  std::ostringstream text;
  const auto before = spdlog::default_logger();
  {
    test_cell cell;
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(
        "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(text)));
    raw_client client(cell.endpoint);
    client.Send("GET", "/v1/departments/tally/services?continue=secret",
                kViewerToken);
    client.Send("GET", "/v1/status", "wrong-token");
    cell.Stop(core::milliseconds(0));
  }
  spdlog::set_default_logger(before);
  const std::string log = text.str();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 2) << log;
  EXPECT_NE(log.find("kitchens/view"), std::string::npos);
  EXPECT_EQ(log.find("wrong-token"), std::string::npos);
  EXPECT_EQ(log.find("secret"), std::string::npos);
}

// Guards against an entry that serves from an outdated view when cut off.
TEST(AccessTest, RefusesRequestsWhenCutOff) {
  interface_settings settings;
  settings.max_view_age = core::milliseconds(200);
  test_cell cell({}, settings);
  raw_client client(cell.endpoint);
  EXPECT_EQ(client.Send("GET", "/readyz", "").status, 200u);
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  EXPECT_EQ(client.Send("GET", "/readyz", "").status, 503u);
  EXPECT_EQ(client.Send("GET", "/healthz", "").status, 200u);
  const answer a = client.Send(
      "POST", "/v1/departments/kitchens/services/s/calls/o", kKitchensToken);
  EXPECT_EQ(a.status, 503u);
  EXPECT_EQ(a.headers.at("mangoplank-outcome"), "not_run");
  cell.RunOnCell([&] { EXPECT_TRUE(cell.runner.received.empty()); });
  cell.Put({cell::object_kind::kConfiguration, {}, "c"},
           cell::configuration_spec{});
  EXPECT_EQ(client.Send("GET", "/readyz", "").status, 200u);
  cell.RunOnCell([&] { cell.handler->BeginDrain(); });
  EXPECT_EQ(client.Send("GET", "/readyz", "").status, 503u);
}

}  // namespace
}  // namespace mangoplank::api
