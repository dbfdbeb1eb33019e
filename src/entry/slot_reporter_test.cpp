#include "slot_reporter.h"

#include <gtest/gtest.h>

namespace mangoplank::entry {
namespace {

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

// Guards against slots that are used after the leader gave them to another
// entry, since this process was paused before it read the answer.
TEST(SlotReporterTest, LeaseRunsFromTheSendingOfTheReport) {
  slot_reporter r;
  const core::time_point t{};
  EXPECT_EQ(r.Next({}, t).number, 1u);
  control::slot_grants g{.t = 1, .sequence = 1, .report = 1, .lease = 5s};
  EXPECT_EQ(r.Received(g, t + 2s)->lease, 3s);
  r.Next({}, t + 2s);
  g.sequence = 2;
  g.report = 2;
  EXPECT_FALSE(r.Received(g, t + 7s));
}

TEST(SlotReporterTest, IgnoresUnknownAndOlderAnswers) {
  slot_reporter r;
  const core::time_point t{};
  r.Next({}, t);
  r.Next({}, t);
  const control::slot_grants newer{
      .t = 2, .sequence = 5, .report = 2, .lease = 5s};
  const control::slot_grants older{
      .t = 1, .sequence = 9, .report = 1, .lease = 5s};
  EXPECT_TRUE(r.Received(newer, t));
  EXPECT_FALSE(r.Received(older, t));
  EXPECT_FALSE(r.Received(newer, t));
}

// Guards against a new leader that does not learn which slots are in use.
TEST(SlotReporterTest, ReportsWhatItHolds) {
  slot_reporter r;
  const core::time_point t{};
  r.Next({}, t);
  control::slot_grants g{.t = 1, .sequence = 1, .report = 1, .lease = 5s};
  g.grants = {{{"w"}, 1, 4}};
  r.Received(g, t);
  EXPECT_EQ(r.Next({}, t + 1s).held, g.grants);
  EXPECT_TRUE(r.Next({}, t + 6s).held.empty());
}

}  // namespace
}  // namespace mangoplank::entry
