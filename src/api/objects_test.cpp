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

}  // namespace
}  // namespace mangoplank::api
