#include "mangoplank/tenancy/usage_ledger.h"

#include <gtest/gtest.h>

namespace mangoplank::tenancy {
namespace {

terms Capped(const core::resources& cap) { return {"kitchen", 1, cap}; }

// Guards against a cap that bounds a dimension for which none is declared, and
// against one that is missed in the last dimension.
TEST(UsageLedgerTest, ACapBoundsOnlyTheDimensionsThatItNames) {
  const core::resources need{100, 1'000, 1};
  EXPECT_EQ(CountWithinCap(Capped({}), {}, need, 7), 7u);
  EXPECT_EQ(CountWithinCap(Capped({350, 0, 0}), {}, need, 7), 3u);
  EXPECT_EQ(CountWithinCap(Capped({0, 2'500, 0}), {}, need, 7), 2u);
  EXPECT_EQ(CountWithinCap(Capped({0, 0, 1}), {}, need, 7), 1u);
  EXPECT_EQ(CountWithinCap(Capped({350, 2'500, 5}), {50, 0, 4}, need, 7), 1u);
}

// Guards against starts beyond a cap that was lowered below what runs.
TEST(UsageLedgerTest, NothingStartsWhileUsageIsBeyondTheCap) {
  const terms lowered = Capped({100, 0, 4});
  EXPECT_FALSE(IsWithinCap(lowered, {101, 0, 0}));
  EXPECT_EQ(CountWithinCap(lowered, {101, 0, 0}, {1, 0, 0}, 5), 0u);
  EXPECT_EQ(CountWithinCap(lowered, {101, 0, 0}, {0, 1, 0}, 5), 0u);
  EXPECT_TRUE(IsWithinCap(lowered, {100, 1'000, 4}));
  EXPECT_EQ(CountWithinCap(lowered, {100, 0, 0}, {0, 1, 0}, 5), 5u);
}

// Guards against usage that stays after the runs of a tenant have ended, and
// against memory that grows with tenants that have left.
TEST(UsageLedgerTest, TheSumIsThatOfTheRunsThatWereNotRemoved) {
  usage_ledger ledger;
  ledger.Add({"a", {100, 10, 0}});
  ledger.Add({"a", {50, 5, 1}});
  ledger.Add({"b", {1, 1, 0}});
  ledger.Add({"", {9, 9, 9}});
  ledger.Remove({"a", {100, 10, 0}});
  ledger.Remove({"b", {1, 1, 0}});
  ledger.Remove({"", {9, 9, 9}});
  EXPECT_EQ(ledger.UsageOf("a"), (core::resources{50, 5, 1}));
  EXPECT_EQ(ledger.UsageOf("b"), core::resources{});
  EXPECT_EQ(ledger.Entries().size(), 1u);
}

}  // namespace
}  // namespace mangoplank::tenancy
