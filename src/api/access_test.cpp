#include <gtest/gtest.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/spdlog.h>

#include <boost/json.hpp>
#include <sstream>

#include "api/test_cell.h"

namespace mangoplank::api {
namespace {

using fakes::answer;
using fakes::kAdmin;
using fakes::kKitchens;
using fakes::kTally;
using fakes::kViewer;
using fakes::kWorker;
using fakes::raw_client;
using fakes::test_cell;

constexpr const char* kNeed = R"({"spec":{"need":{"cpu_milli":1}}})";

// Guards against a department that learns what another one has, even whether
// it exists.
TEST(AccessTest, OtherDepartmentsLookAbsent) {
  test_cell cell;
  raw_client c(cell.at);
  ASSERT_EQ(c.Send("PUT", "/v1/departments/tally/services/rates", kTally, kNeed)
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
    const answer a = c.Send("GET", path, kKitchens);
    EXPECT_EQ(a.status, 404u) << path;
    seen.push_back(a.body);
  }
  EXPECT_EQ(std::set<std::string>(seen.begin(), seen.end()).size(), 1u);
  for (const char* const department : {"tally", "absent"}) {
    const std::string base =
        std::string("/v1/departments/") + department + "/services/rates";
    EXPECT_EQ(c.Send("PUT", base, kKitchens, kNeed).status, 404u);
    EXPECT_EQ(c.Send("DELETE", base, kKitchens).status, 404u);
    EXPECT_EQ(c.Send("POST", base + "/cancel", kKitchens).status, 404u);
    EXPECT_EQ(c.Send("POST", base + "/calls/check", kKitchens).status, 404u);
  }
}

// Guards against a list or status that shows the others' departments.
TEST(AccessTest, CollectionsShowTheOwnDepartmentOnly) {
  test_cell cell;
  cell.OnCell([&] {
    cell.client.status.shares = {{{"kitchens"}}, {{"tally"}}};
    cell.client.status.entries = {{{"e1"}, {"kalisz"}, 3}};
    cell.client.status.revision = 9;
  });
  raw_client c(cell.at);
  const answer list = c.Send("GET", "/v1/departments", kViewer);
  ASSERT_EQ(list.status, 200u);
  const auto items = boost::json::parse(list.body).at("items").as_array();
  ASSERT_EQ(items.size(), 1u);
  EXPECT_EQ(items[0].at("name").as_string(), "kitchens");
  // Token hashes are for the cell's administrator.
  EXPECT_EQ(list.body.find("sha256"), std::string::npos);
  const answer status = c.Send("GET", "/v1/status", kViewer);
  EXPECT_EQ(status.body.find("tally"), std::string::npos);
  EXPECT_EQ(status.body.find("kalisz"), std::string::npos);
  EXPECT_NE(status.body.find("\"in_force_everywhere\":3"), std::string::npos);
  EXPECT_NE(c.Send("GET", "/v1/status", kAdmin).body.find("tally"),
            std::string::npos);
}

// Guards against roles that allow more than they say.
TEST(AccessTest, RolesLimitRequests) {
  test_cell cell;
  raw_client c(cell.at);
  const std::string own = "/v1/departments/kitchens/services/planner";
  EXPECT_EQ(c.Send("PUT", own, kViewer, kNeed).status, 403u);
  EXPECT_EQ(c.Send("POST", own + "/calls/check", kViewer).status, 403u);
  EXPECT_EQ(c.Send("PUT", own, kKitchens, kNeed).status, 201u);
  EXPECT_EQ(c.Send("GET", own, kViewer).status, 200u);
  EXPECT_EQ(c.Send("PUT", "/v1/departments/kitchens", kKitchens,
                   R"({"spec":{"weight":100}})")
                .status,
            403u);
  EXPECT_EQ(c.Send("POST", "/v1/workers/w1/drain", kKitchens).status, 403u);
  EXPECT_EQ(c.Send("GET", "/v1/configurations", kKitchens).status, 403u);
  EXPECT_EQ(c.Send("GET", "/v1/departments?watch=true", kKitchens).status,
            403u);
  EXPECT_EQ(c.Send("GET", "/metrics", kKitchens).status, 403u);
  EXPECT_EQ(c.Send("GET", "/metrics", kAdmin).status, 200u);
  EXPECT_EQ(c.Send("GET", own, kWorker).status, 403u);
  EXPECT_EQ(c.Send("POST", "/v1/workers/w1/announce", kAdmin, "{}").status,
            403u);
}

// Guards against tokens that work without a grant, or after it is withdrawn.
TEST(AccessTest, UnknownAndWithdrawnTokensAreRefused) {
  test_cell cell;
  raw_client c(cell.at);
  const std::string path = "/v1/departments/kitchens/services";
  EXPECT_EQ(c.Send("GET", path, kKitchens).status, 200u);
  for (const std::string& token :
       {std::string(), std::string("x"), std::string(600, 'x'),
        fakes::Sha256Hex(kKitchens)}) {
    EXPECT_EQ(c.Send("GET", path, token).status, 401u);
    EXPECT_EQ(c.Send("GET", "/no/such/path", token).status, 401u);
  }
  cell.Put({cell::object_kind::kDepartment, {}, "kitchens"},
           cell::department_spec{});
  EXPECT_EQ(c.Send("GET", path, kKitchens).status, 401u);
}

// Guards against a token in the log, and against refusals that leave no trace
// or several.
TEST(AccessTest, LogsEachRefusalOnceWithoutTheToken) {
  std::ostringstream text;
  const auto before = spdlog::default_logger();
  {
    test_cell cell;
    spdlog::set_default_logger(std::make_shared<spdlog::logger>(
        "test", std::make_shared<spdlog::sinks::ostream_sink_mt>(text)));
    raw_client c(cell.at);
    c.Send("GET", "/v1/departments/tally/services?continue=secret", kViewer);
    c.Send("GET", "/v1/status", "wrong-token");
    cell.Stop(core::milliseconds(0));
  }
  spdlog::set_default_logger(before);
  const std::string log = text.str();
  EXPECT_EQ(std::count(log.begin(), log.end(), '\n'), 2) << log;
  EXPECT_NE(log.find("kitchens/view"), std::string::npos);
  EXPECT_EQ(log.find("wrong-token"), std::string::npos);
  EXPECT_EQ(log.find("secret"), std::string::npos);
}

// Guards against an entry that serves from an old view after it was cut off.
TEST(AccessTest, RefusesWhenCutOff) {
  interface_settings s;
  s.freshness = core::milliseconds(200);
  test_cell cell({}, s);
  raw_client c(cell.at);
  EXPECT_EQ(c.Send("GET", "/readyz", "").status, 200u);
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  EXPECT_EQ(c.Send("GET", "/readyz", "").status, 503u);
  EXPECT_EQ(c.Send("GET", "/healthz", "").status, 200u);
  const answer a =
      c.Send("POST", "/v1/departments/kitchens/services/s/calls/o", kKitchens);
  EXPECT_EQ(a.status, 503u);
  EXPECT_EQ(a.headers.at("mangoplank-outcome"), "not_run");
  cell.OnCell([&] { EXPECT_TRUE(cell.runner.seen.empty()); });
  cell.Put({cell::object_kind::kConfiguration, {}, "c"},
           cell::configuration_spec{});
  EXPECT_EQ(c.Send("GET", "/readyz", "").status, 200u);
  cell.OnCell([&] { cell.handler->BeginDrain(); });
  EXPECT_EQ(c.Send("GET", "/readyz", "").status, 503u);
}

}  // namespace
}  // namespace mangoplank::api
