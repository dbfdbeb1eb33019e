#include "mangoplank/report/objective.h"

#include <gtest/gtest.h>

#include "mangoplank/cell/state.h"

namespace mangoplank::report {
namespace {

core::outcome<std::vector<objective>> Parse(
    std::map<std::string, std::string> values) {
  return core::Capture([&] { return ParseObjectives({std::move(values)}); });
}

// Guards against rounded targets and against rejection of names with dots.
TEST(ParseObjectivesTest, ReadsTargetsExactly) {
  const auto all = Parse({{"a", "kit.chens/portions/check 99.9% 250ms"},
                          {"b", "tally/sheets/count 99.9999% 2s"},
                          {"c", "tally/sheets/read 50% 1ms"}});
  ASSERT_TRUE(all);
  using core::milliseconds;
  EXPECT_EQ(
      *all,
      (std::vector<objective>{
          {"a",
           {{"kit.chens"}, "portions", "check"},
           999'000,
           milliseconds(250)},
          {"b", {{"tally"}, "sheets", "count"}, 999'999, milliseconds(2000)},
          {"c", {{"tally"}, "sheets", "read"}, 500'000, milliseconds(1)}}));
}

// Guards against a format that the validation of the cell rejects.
TEST(ParseObjectivesTest, DocumentedFormatPassesCellValidation) {
  const cell::configuration_spec spec{
      {{"portion-check", "kitchens/portions/check 99.9% 250ms"}}};
  EXPECT_TRUE(
      cell::Validate({cell::object_kind::kConfiguration, {}, kObjectivesName},
                     spec)
          .empty());
}

// Guards against parsing an invalid value as an objective.
TEST(ParseObjectivesTest, ReportsEachInvalidValue) {
  const std::string bad[] = {"",
                             "a/b/c 99.9%",
                             "a/b 99.9% 250ms",
                             "a/b/c/d 99.9% 250ms",
                             "a//c 99.9% 250ms",
                             "a/b/C\x1b 99.9% 250ms",
                             "a/b/c 99.9 250ms",
                             "a/b/c 100% 250ms",
                             "a/b/c 0% 250ms",
                             "a/b/c 101% 250ms",
                             "a/b/c 99.99999% 250ms",
                             "a/b/c 99.% 250ms",
                             "a/b/c .5% 250ms",
                             "a/b/c 99.-9% 250ms",
                             "a/b/c % 250ms",
                             "a/b/c 99.9% 250",
                             "a/b/c 99.9% 0ms",
                             "a/b/c 99.9% -1s",
                             "a/b/c 99.9% ms",
                             "a/b/c 99.9% 3601s",
                             "a/b/c 99.9%  250ms",
                             "a/b/c 99.9% 250ms x"};
  std::map<std::string, std::string> values;
  for (const std::string& b : bad) values[std::to_string(values.size())] = b;
  const auto all = Parse(values);
  ASSERT_FALSE(all);
  const auto fields = std::get<core::invalid_request>(all.error()).fields;
  EXPECT_EQ(fields.size(), std::size(bad));
}

// Guards against two targets for one operation.
TEST(ParseObjectivesTest, RejectsASecondObjectiveOfAnOperation) {
  const auto all = Parse({{"x", "a/b/c 99% 1s"}, {"y", "a/b/c 99.9% 250ms"}});
  ASSERT_FALSE(all);
  const auto fields = std::get<core::invalid_request>(all.error()).fields;
  ASSERT_EQ(fields.size(), 1u);
  EXPECT_EQ(fields[0].field, "spec.values.y");
}

}  // namespace
}  // namespace mangoplank::report
