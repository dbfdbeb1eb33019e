#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "api/test_cell.h"

namespace mangoplank::api {
namespace {

using fakes::answer;
using fakes::kAdminToken;
using fakes::kKitchensToken;
using fakes::kTallyToken;
using fakes::kViewerToken;
using fakes::raw_client;
using fakes::test_cell;

constexpr const char* kPlanner = "/v1/departments/kitchens/services/planner";
constexpr const char* kPlannerBody =
    R"({"spec":{"replicas":2,"need":{"cpu_milli":500,"memory_mib":64},)"
    R"("operations":[{"name":"check"},{"name":"book","idempotent":false}]}})";

boost::json::value Json(const answer& received) {
  return boost::json::parse(received.body);
}

TEST(ObjectsTest, PutThenGetThenList) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const answer put = client.Send("PUT", kPlanner, kKitchensToken, kPlannerBody);
  ASSERT_EQ(put.status, 201u) << put.body;
  const answer got = client.Send("GET", kPlanner, kViewerToken);
  ASSERT_EQ(got.status, 200u) << got.body;
  EXPECT_EQ(got.headers.at("etag"), put.headers.at("etag"));
  EXPECT_EQ(Json(got).at("status").at("waiting").as_int64(), 2);
  EXPECT_EQ(Json(got).at("spec").at("operations").as_array().size(), 2u);
  const answer list =
      client.Send("GET", "/v1/departments/kitchens/services", kKitchensToken);
  ASSERT_EQ(list.status, 200u) << list.body;
  EXPECT_EQ(Json(list).at("items").as_array().size(), 1u);
}

// Guards against a create that replaces an object, and a replace that
// overwrites a concurrent change.
TEST(ObjectsTest, VersionsDetectConflicts) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::string services = "/v1/departments/kitchens/services";
  const std::string body =
      R"({"name":"planner","spec":{"need":{"cpu_milli":1}}})";
  const answer created = client.Send("POST", services, kKitchensToken, body);
  ASSERT_EQ(created.status, 201u) << created.body;
  EXPECT_EQ(created.headers.at("location"), kPlanner);
  const std::string first = created.headers.at("etag");
  EXPECT_EQ(client.Send("POST", services, kKitchensToken, body).status, 409u);
  EXPECT_EQ(client
                .Send("PUT", kPlanner, kKitchensToken, kPlannerBody,
                      {{"If-None-Match", "*"}})
                .status,
            409u);
  const answer second = client.Send("PUT", kPlanner, kKitchensToken,
                                    kPlannerBody, {{"If-Match", first}});
  ASSERT_EQ(second.status, 200u) << second.body;
  EXPECT_EQ(Json(second).at("generation").to_number<int>(), 2);
  EXPECT_EQ(
      client.Send("PUT", kPlanner, kKitchensToken, body, {{"If-Match", first}})
          .status,
      412u);
  EXPECT_EQ(
      client.Send("DELETE", kPlanner, kKitchensToken, "", {{"If-Match", first}})
          .status,
      412u);
  // The version in a declaration has the effect of If-Match.
  EXPECT_EQ(client.Send("PUT", kPlanner, kKitchensToken, created.body).status,
            412u);
  EXPECT_EQ(client.Send("PUT", kPlanner, kKitchensToken, second.body).status,
            200u);
  for (const char* const tag : {"1", "W/\"1\"", "\"x\"", "\"1\", \"2\""}) {
    EXPECT_EQ(
        client.Send("PUT", kPlanner, kKitchensToken, body, {{"If-Match", tag}})
            .status,
        400u);
  }
  EXPECT_EQ(client
                .Send("PUT", std::string(kPlanner) + "2", kKitchensToken,
                      kPlannerBody, {{"If-Match", "*"}})
                .status,
            404u);
  EXPECT_EQ(client.Send("DELETE", kPlanner, kKitchensToken).status, 200u);
  EXPECT_EQ(client.Send("GET", kPlanner, kKitchensToken).status, 404u);
}

// Guards against a resend that is applied twice, or is refused although the
// first request was applied.
TEST(ObjectsTest, ResendGetsFirstAnswer) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const header_map id{{"Mangoplank-Request-Id", "r1"}};
  const std::string services = "/v1/departments/kitchens/services";
  const std::string body =
      R"({"name":"planner","spec":{"need":{"cpu_milli":1}}})";
  cell.RunOnCell(
      [&] { cell.client.failure_after_apply = core::commit_unknown{}; });
  EXPECT_EQ(client.Send("POST", services, kKitchensToken, body, id).status,
            504u);
  cell.RunOnCell([&] { cell.client.failure_after_apply.reset(); });
  const answer again = client.Send("POST", services, kKitchensToken, body, id);
  ASSERT_EQ(again.status, 201u) << again.body;
  EXPECT_EQ(Json(again).at("generation").to_number<int>(), 1);
  EXPECT_EQ(client.Send("POST", services, kKitchensToken, body).status, 409u);
  const std::string other = R"({"name":"b","spec":{"need":{"cpu_milli":1}}})";
  const answer reused =
      client.Send("POST", services, kKitchensToken, other, id);
  EXPECT_EQ(reused.status, 400u);
  EXPECT_NE(reused.body.find("request_id"), std::string::npos) << reused.body;
  EXPECT_EQ(client
                .Send("POST", services, kKitchensToken, other,
                      {{"Mangoplank-Request-Id", "a:b"}})
                .status,
            400u);
  // Request ids of different departments are independent.
  EXPECT_EQ(client
                .Send("POST", "/v1/departments/tally/services", kTallyToken,
                      other, id)
                .status,
            201u);
}

// Guards against a resent patch that is refused or applied to another state.
TEST(ObjectsTest, PatchMergesAndCanBeResent) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const answer put = client.Send("PUT", kPlanner, kKitchensToken, kPlannerBody);
  const header_map merge{{"Content-Type", "application/merge-patch+json"},
                         {"Mangoplank-Request-Id", "p1"}};
  const std::string patch = R"({"replicas":5,"operations":null})";
  const answer patched =
      client.Send("PATCH", kPlanner, kKitchensToken, patch, merge);
  ASSERT_EQ(patched.status, 200u) << patched.body;
  EXPECT_EQ(Json(patched).at("spec").at("replicas").as_int64(), 5);
  EXPECT_TRUE(Json(patched).at("spec").at("operations").as_array().empty());
  EXPECT_EQ(Json(patched).at("spec").at("need").at("cpu_milli").as_int64(),
            500);
  const answer again =
      client.Send("PATCH", kPlanner, kKitchensToken, patch, merge);
  EXPECT_EQ(again.status, 200u) << again.body;
  EXPECT_EQ(again.headers.at("etag"), patched.headers.at("etag"));
  header_map stale = merge;
  stale["Mangoplank-Request-Id"] = "p2";
  stale["If-Match"] = put.headers.at("etag");
  EXPECT_EQ(
      client.Send("PATCH", kPlanner, kKitchensToken, R"({"replicas":6})", stale)
          .status,
      412u);
  EXPECT_EQ(
      client.Send("PATCH", kPlanner, kKitchensToken, R"({"replica":6})", merge)
          .status,
      400u);
  EXPECT_EQ(client.Send("PATCH", kPlanner, kKitchensToken, patch).status, 415u);
  EXPECT_EQ(client
                .Send("PATCH", std::string(kPlanner) + "2", kKitchensToken,
                      patch, merge)
                .status,
            404u);
}

// Guards against a dry run that changes something or accepts what a real run
// refuses.
TEST(ObjectsTest, DryRunChangesNothing) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::string dry = std::string(kPlanner) + "?dry_run=true";
  const answer a = client.Send("PUT", dry, kKitchensToken, kPlannerBody);
  EXPECT_EQ(a.status, 200u) << a.body;
  EXPECT_EQ(a.headers.at("mangoplank-dry-run"), "true");
  EXPECT_EQ(client.Send("GET", kPlanner, kKitchensToken).status, 404u);
  EXPECT_EQ(client.Send("DELETE", dry, kKitchensToken).status, 404u);
  EXPECT_EQ(client
                .Send("PUT", std::string(kPlanner) + "?dry_run=yes",
                      kKitchensToken, kPlannerBody)
                .status,
            400u);
}

// Guards against pages that repeat or omit objects.
TEST(ObjectsTest, PagesListEachObjectOnce) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::string jobs = "/v1/departments/kitchens/batch_jobs";
  for (int i = 0; i < 7; ++i) {
    const std::string path = jobs + "/job-" + std::to_string(i);
    ASSERT_EQ(client
                  .Send("PUT", path, kKitchensToken,
                        R"({"spec":{"need":{"cpu_milli":1}}})")
                  .status,
              201u);
  }
  std::vector<std::string> names;
  std::string next = jobs + "?limit=3";
  int pages = 0;
  while (!next.empty()) {
    const auto page = Json(client.Send("GET", next, kKitchensToken));
    ++pages;
    for (const auto& o : page.at("items").as_array()) {
      names.emplace_back(o.at("name").as_string());
    }
    const auto* const more = page.as_object().if_contains("continue");
    next = more == nullptr
               ? ""
               : jobs + "?limit=3&continue=" + std::string(more->as_string());
  }
  EXPECT_EQ(pages, 3);
  EXPECT_EQ(names.size(), 7u);
  EXPECT_EQ(std::set<std::string>(names.begin(), names.end()).size(), 7u);
}

// Guards against a drain of a misspelt name that declares a worker.
TEST(ObjectsTest, DrainsOnlyKnownWorkers) {
  test_cell cell;
  cell::worker_record w;
  w.id.v = "w1";
  w.incarnation = 1;
  cell::command command;
  command.body = cell::register_worker{w};
  cell.RunOnCell([&] { cell.client.Apply(command); });
  raw_client client(cell.endpoint);
  EXPECT_EQ(client.Send("POST", "/v1/workers/w2/drain", kAdminToken).status,
            404u);
  EXPECT_EQ(
      client.Send("POST", "/v1/workers/w1/drain", kAdminToken).status / 100,
      2u);
  cell.RunOnCell(
      [&] { EXPECT_TRUE(cell.client.state.FindWorker(w.id)->drain); });
  EXPECT_EQ(client.Send("POST", "/v1/workers/w1/undrain", kAdminToken).status,
            200u);
  cell.RunOnCell(
      [&] { EXPECT_FALSE(cell.client.state.FindWorker(w.id)->drain); });
}

// Guards against failures of control that are reported as answers.
TEST(ObjectsTest, ControlFailuresKeepTheirType) {
  test_cell cell;
  raw_client client(cell.endpoint);
  const std::vector<std::pair<core::failure, unsigned>> expected{
      {core::unavailable{"busy", core::milliseconds(1500)}, 503},
      {core::commit_unknown{}, 504},
      {core::deadline_exceeded{}, 504},
      {core::not_leader{}, 503},
      {core::storage_failed{core::storage_failed::kind::kFull, "/data", "x"},
       500}};
  for (const auto& [failure, status] : expected) {
    cell.RunOnCell([&cell, f = failure] { cell.client.failure = f; });
    const answer a = client.Send("GET", kPlanner, kKitchensToken);
    EXPECT_EQ(a.status, status);
    EXPECT_EQ(a.headers.at("content-type"), "application/problem+json");
    EXPECT_EQ(a.body.find("/data"), std::string::npos);
  }
  cell.RunOnCell([&] { cell.client.failure = expected[0].first; });
  EXPECT_EQ(
      client.Send("GET", kPlanner, kKitchensToken).headers.at("retry-after"),
      "2");
}

}  // namespace
}  // namespace mangoplank::api
