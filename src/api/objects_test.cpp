#include <gtest/gtest.h>

#include <boost/json.hpp>

#include "api/test_cell.h"

namespace mangoplank::api {
namespace {

using fakes::answer;
using fakes::kAdmin;
using fakes::kKitchens;
using fakes::kTally;
using fakes::kViewer;
using fakes::raw_client;
using fakes::test_cell;

constexpr const char* kPlanner = "/v1/departments/kitchens/services/planner";
constexpr const char* kPlannerBody =
    R"({"spec":{"replicas":2,"need":{"cpu_milli":500,"memory_mib":64},)"
    R"("operations":[{"name":"check"},{"name":"book","idempotent":false}]}})";

boost::json::value Json(const answer& a) { return boost::json::parse(a.body); }

TEST(ObjectsTest, PutThenGetThenList) {
  test_cell cell;
  raw_client c(cell.at);
  const answer put = c.Send("PUT", kPlanner, kKitchens, kPlannerBody);
  ASSERT_EQ(put.status, 201u) << put.body;
  const answer got = c.Send("GET", kPlanner, kViewer);
  ASSERT_EQ(got.status, 200u) << got.body;
  EXPECT_EQ(got.headers.at("etag"), put.headers.at("etag"));
  EXPECT_EQ(Json(got).at("status").at("waiting").as_int64(), 2);
  EXPECT_EQ(Json(got).at("spec").at("operations").as_array().size(), 2u);
  const answer list =
      c.Send("GET", "/v1/departments/kitchens/services", kKitchens);
  ASSERT_EQ(list.status, 200u) << list.body;
  EXPECT_EQ(Json(list).at("items").as_array().size(), 1u);
}

// Guards against a create that replaces, and a replace that overwrites a change
// made in between.
TEST(ObjectsTest, VersionsDecideConflicts) {
  test_cell cell;
  raw_client c(cell.at);
  const std::string services = "/v1/departments/kitchens/services";
  const std::string body =
      R"({"name":"planner","spec":{"need":{"cpu_milli":1}}})";
  const answer created = c.Send("POST", services, kKitchens, body);
  ASSERT_EQ(created.status, 201u) << created.body;
  EXPECT_EQ(created.headers.at("location"), kPlanner);
  const std::string first = created.headers.at("etag");
  EXPECT_EQ(c.Send("POST", services, kKitchens, body).status, 409u);
  EXPECT_EQ(
      c.Send("PUT", kPlanner, kKitchens, kPlannerBody, {{"If-None-Match", "*"}})
          .status,
      409u);
  const answer second =
      c.Send("PUT", kPlanner, kKitchens, kPlannerBody, {{"If-Match", first}});
  ASSERT_EQ(second.status, 200u) << second.body;
  EXPECT_EQ(Json(second).at("generation").to_number<int>(), 2);
  EXPECT_EQ(
      c.Send("PUT", kPlanner, kKitchens, body, {{"If-Match", first}}).status,
      412u);
  EXPECT_EQ(
      c.Send("DELETE", kPlanner, kKitchens, "", {{"If-Match", first}}).status,
      412u);
  // The version inside a declaration counts like If-Match.
  EXPECT_EQ(c.Send("PUT", kPlanner, kKitchens, created.body).status, 412u);
  EXPECT_EQ(c.Send("PUT", kPlanner, kKitchens, second.body).status, 200u);
  for (const char* const tag : {"1", "W/\"1\"", "\"x\"", "\"1\", \"2\""}) {
    EXPECT_EQ(
        c.Send("PUT", kPlanner, kKitchens, body, {{"If-Match", tag}}).status,
        400u);
  }
  EXPECT_EQ(c.Send("PUT", std::string(kPlanner) + "2", kKitchens, kPlannerBody,
                   {{"If-Match", "*"}})
                .status,
            404u);
  EXPECT_EQ(c.Send("DELETE", kPlanner, kKitchens).status, 200u);
  EXPECT_EQ(c.Send("GET", kPlanner, kKitchens).status, 404u);
}

// Guards against a resend that is carried out twice, or is refused though the
// first one was carried out.
TEST(ObjectsTest, ResendGetsTheFirstAnswer) {
  test_cell cell;
  raw_client c(cell.at);
  const header_map id{{"Mangoplank-Request-Id", "r1"}};
  const std::string services = "/v1/departments/kitchens/services";
  const std::string body =
      R"({"name":"planner","spec":{"need":{"cpu_milli":1}}})";
  cell.OnCell([&] { cell.client.loses = core::commit_unknown{}; });
  EXPECT_EQ(c.Send("POST", services, kKitchens, body, id).status, 504u);
  cell.OnCell([&] { cell.client.loses.reset(); });
  const answer again = c.Send("POST", services, kKitchens, body, id);
  ASSERT_EQ(again.status, 201u) << again.body;
  EXPECT_EQ(Json(again).at("generation").to_number<int>(), 1);
  EXPECT_EQ(c.Send("POST", services, kKitchens, body).status, 409u);
  const std::string other = R"({"name":"b","spec":{"need":{"cpu_milli":1}}})";
  const answer reused = c.Send("POST", services, kKitchens, other, id);
  EXPECT_EQ(reused.status, 400u);
  EXPECT_NE(reused.body.find("request_id"), std::string::npos) << reused.body;
  EXPECT_EQ(c.Send("POST", services, kKitchens, other,
                   {{"Mangoplank-Request-Id", "a:b"}})
                .status,
            400u);
  // Ids of another department do not meet this one.
  EXPECT_EQ(c.Send("POST", "/v1/departments/tally/services", kTally, other, id)
                .status,
            201u);
}

// Guards against a resent patch that is refused or applied to another state.
TEST(ObjectsTest, PatchMergesAndMayBeResent) {
  test_cell cell;
  raw_client c(cell.at);
  const answer put = c.Send("PUT", kPlanner, kKitchens, kPlannerBody);
  const header_map merge{{"Content-Type", "application/merge-patch+json"},
                         {"Mangoplank-Request-Id", "p1"}};
  const std::string patch = R"({"replicas":5,"operations":null})";
  const answer patched = c.Send("PATCH", kPlanner, kKitchens, patch, merge);
  ASSERT_EQ(patched.status, 200u) << patched.body;
  EXPECT_EQ(Json(patched).at("spec").at("replicas").as_int64(), 5);
  EXPECT_TRUE(Json(patched).at("spec").at("operations").as_array().empty());
  EXPECT_EQ(Json(patched).at("spec").at("need").at("cpu_milli").as_int64(),
            500);
  const answer again = c.Send("PATCH", kPlanner, kKitchens, patch, merge);
  EXPECT_EQ(again.status, 200u) << again.body;
  EXPECT_EQ(again.headers.at("etag"), patched.headers.at("etag"));
  header_map stale = merge;
  stale["Mangoplank-Request-Id"] = "p2";
  stale["If-Match"] = put.headers.at("etag");
  EXPECT_EQ(
      c.Send("PATCH", kPlanner, kKitchens, R"({"replicas":6})", stale).status,
      412u);
  EXPECT_EQ(
      c.Send("PATCH", kPlanner, kKitchens, R"({"replica":6})", merge).status,
      400u);
  EXPECT_EQ(c.Send("PATCH", kPlanner, kKitchens, patch).status, 415u);
  EXPECT_EQ(
      c.Send("PATCH", std::string(kPlanner) + "2", kKitchens, patch, merge)
          .status,
      404u);
}

// Guards against a dry run that changes something or accepts what a real run
// refuses.
TEST(ObjectsTest, DryRunChangesNothing) {
  test_cell cell;
  raw_client c(cell.at);
  const std::string dry = std::string(kPlanner) + "?dry_run=true";
  const answer a = c.Send("PUT", dry, kKitchens, kPlannerBody);
  EXPECT_EQ(a.status, 200u) << a.body;
  EXPECT_EQ(a.headers.at("mangoplank-dry-run"), "true");
  EXPECT_EQ(c.Send("GET", kPlanner, kKitchens).status, 404u);
  EXPECT_EQ(c.Send("DELETE", dry, kKitchens).status, 404u);
  EXPECT_EQ(c.Send("PUT", std::string(kPlanner) + "?dry_run=yes", kKitchens,
                   kPlannerBody)
                .status,
            400u);
}

// Guards against pages that repeat or lose objects.
TEST(ObjectsTest, PagesHoldEachObjectOnce) {
  test_cell cell;
  raw_client c(cell.at);
  const std::string jobs = "/v1/departments/kitchens/batch_jobs";
  for (int i = 0; i < 7; ++i) {
    const std::string path = jobs + "/job-" + std::to_string(i);
    ASSERT_EQ(
        c.Send("PUT", path, kKitchens, R"({"spec":{"need":{"cpu_milli":1}}})")
            .status,
        201u);
  }
  std::vector<std::string> names;
  std::string next = jobs + "?limit=3";
  int pages = 0;
  while (!next.empty()) {
    const auto page = Json(c.Send("GET", next, kKitchens));
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
TEST(ObjectsTest, DrainsKnownWorkersOnly) {
  test_cell cell;
  cell::worker_record w;
  w.id.v = "w1";
  w.incarnation = 1;
  cell::command seen;
  seen.body = cell::register_worker{w};
  cell.OnCell([&] { cell.client.Apply(seen); });
  raw_client c(cell.at);
  EXPECT_EQ(c.Send("POST", "/v1/workers/w2/drain", kAdmin).status, 404u);
  EXPECT_EQ(c.Send("POST", "/v1/workers/w1/drain", kAdmin).status / 100, 2u);
  cell.OnCell([&] { EXPECT_TRUE(cell.client.state.FindWorker(w.id)->drain); });
  EXPECT_EQ(c.Send("POST", "/v1/workers/w1/undrain", kAdmin).status, 200u);
  cell.OnCell([&] { EXPECT_FALSE(cell.client.state.FindWorker(w.id)->drain); });
}

// Guards against failures of control that look like answers.
TEST(ObjectsTest, FailuresOfControlKeepTheirType) {
  test_cell cell;
  raw_client c(cell.at);
  const std::vector<std::pair<core::failure, unsigned>> expected{
      {core::unavailable{"busy", core::milliseconds(1500)}, 503},
      {core::commit_unknown{}, 504},
      {core::deadline_exceeded{}, 504},
      {core::not_leader{}, 503},
      {core::storage_failed{core::storage_failed::kind::kFull, "/data", "x"},
       500}};
  for (const auto& [failure, status] : expected) {
    cell.OnCell([&cell, f = failure] { cell.client.fails = f; });
    const answer a = c.Send("GET", kPlanner, kKitchens);
    EXPECT_EQ(a.status, status);
    EXPECT_EQ(a.headers.at("content-type"), "application/problem+json");
    EXPECT_EQ(a.body.find("/data"), std::string::npos);
  }
  cell.OnCell([&] { cell.client.fails = expected[0].first; });
  EXPECT_EQ(c.Send("GET", kPlanner, kKitchens).headers.at("retry-after"), "2");
}

}  // namespace
}  // namespace mangoplank::api
