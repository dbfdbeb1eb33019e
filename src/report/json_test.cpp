#include "mangoplank/report/json.h"

#include <gtest/gtest.h>

#include "report/test_calls.h"

namespace mangoplank::report {
namespace {

recording MakeRecording(std::uint64_t seed, std::size_t count) {
  recorder r({{"entry-1"}, ~std::uint64_t{0}}, {"sieradz"});
  r.SetObjectives(test::MakeTwoObjectives());
  const auto calls = test::MakeRandomCalls(seed, count);
  for (const test::test_call& call : calls) test::Record(&r, call);
  return r.Export(calls.back().time);
}

core::outcome<recording> Read(const std::string& text) {
  return core::Capture([&] { return FromJson(text); });
}

// Guards against loss of digits in counts, times or the incarnation.
TEST(JsonTest, RoundTripsRandomRecordings) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    const recording r = MakeRecording(seed, 1000);
    const auto back = Read(ToJson(r));
    ASSERT_TRUE(back) << core::Describe(back.error());
    EXPECT_EQ(*back, r);
  }
}

// Guards against accepting invalid input as a recording. Each case replaces one
// part of a valid text.
TEST(JsonTest, ReportsTheInvalidField) {
  const std::string valid =
      R"({"format":1,"version":7,"objectives":[{"name":"n","department":"d",)"
      R"("service":"s","operation":"o","target_ppm":999000,"threshold_ms":1}],)"
      R"("sources":[{"entry":"e","incarnation":1,"region":"r","taken_ms":5,)"
      R"("dropped":0,"series":[{"department":"d","service":"s",)"
      R"("operation":"o","minutes":[[1,2,0,0,0,0]],"ten_minutes":[],)"
      R"("latency":[{"bucket":1,"first":70,"counts":[1,2],"sum_us":4,"max_us":2}]}]}]})";
  ASSERT_TRUE(Read(valid));
  const std::string series = "sources[0].series[0]";
  const struct {
    std::string part, replacement, field;
  } cases[] = {
      {R"("format":1)", R"("format":2)", "format"},
      {R"("version":7,)", "", "version"},
      {R"("version":7)", R"("version":-7)", "version"},
      {R"("version":7)", R"("version":7.5)", "version"},
      {R"("version":7)", R"("version":7,"extra":1)", "extra"},
      {R"("target_ppm":999000)", R"("target_ppm":1000000)",
       "objectives[0].target_ppm"},
      {R"("threshold_ms":1)", R"("threshold_ms":"1")",
       "objectives[0].threshold_ms"},
      {R"("sources":[{)", R"("sources":[7,{)", "sources[0]"},
      {R"("entry":"e")", R"("entry":"")", "sources[0].entry"},
      {R"("entry":"e")", R"("entry":"\u001b[2J")", "sources[0].entry"},
      {R"([1,2,0,0,0,0])", R"([1,2,0,0,0])", series + ".minutes[0]"},
      {R"([1,2,0,0,0,0])", R"([1,2,0,0,0,1e300])", series + ".minutes[0][5]"},
      {R"([1,2,0,0,0,0])", R"([1,2,0,0,0,0],[1,2,0,0,0,0])",
       series + ".minutes[1]"},
      {R"("ten_minutes":[])", R"("ten_minutes":{})", series + ".ten_minutes"},
      {R"("first":70)", R"("first":71)", series + ".latency[0].counts"},
      {R"("first":70)", R"("first":73)", series + ".latency[0].first"},
      {R"("counts":[1,2])", R"("counts":[1,-2])",
       series + ".latency[0].counts[1]"},
  };
  for (const auto& c : cases) {
    std::string text = valid;
    const std::size_t position = text.find(c.part);
    ASSERT_NE(position, std::string::npos) << c.part;
    text.replace(position, c.part.size(), c.replacement);
    const auto r = Read(text);
    ASSERT_FALSE(r) << c.replacement;
    const auto fields = std::get<core::invalid_request>(r.error()).fields;
    EXPECT_EQ(fields.at(0).field, c.field) << c.replacement;
  }
}

// Guards against a crash or an empty recording on truncated input.
TEST(JsonTest, RejectsEveryProperPrefix) {
  const std::string text = ToJson(MakeRecording(1, 5));
  for (std::size_t n = 0; n < text.size(); ++n) {
    EXPECT_FALSE(Read(text.substr(0, n))) << n;
  }
  EXPECT_FALSE(Read(std::string(100'000, '[')));
}

}  // namespace
}  // namespace mangoplank::report
