#include "mangoplank/process/descriptors.h"

#include <gtest/gtest.h>

namespace mangoplank::process {
namespace {

constexpr descriptor_policy kPolicy{
    .members = 64, .clients = 1, .requests = 3, .workers = 4};

// Guards against parts that exceed the limit together, and against a duty that
// gets nothing.
TEST(DescriptorsTest, DividesAnyLimitThatSuffices) {
  const std::size_t needed = MinDescriptors(kPolicy);
  for (std::size_t limit = needed; limit < 10'000; limit += 97) {
    const auto shares = DivideDescriptors(limit, kPolicy);
    ASSERT_TRUE(shares) << limit;
    EXPECT_LE(shares->files + shares->members + shares->clients +
                  shares->requests + shares->workers,
              limit);
    EXPECT_EQ(shares->members, 64u);
    for (const std::size_t part :
         {shares->clients, shares->requests, shares->workers}) {
      EXPECT_GE(part, kMinDescriptorsPerDuty);
    }
  }
}

// Guards against a program that starts with a limit under which it can't work,
// and against a refusal that doesn't say what is needed.
TEST(DescriptorsTest, RefusesALimitThatIsTooLow) {
  const std::size_t needed = MinDescriptors(kPolicy);
  const auto refused = DivideDescriptors(needed - 1, kPolicy);
  ASSERT_FALSE(refused);
  const core::failure failure = refused.error();
  const auto* const invalid = std::get_if<core::invalid_setting>(&failure);
  ASSERT_NE(invalid, nullptr);
  EXPECT_EQ(invalid->key, "limits.descriptors");
  EXPECT_NE(invalid->reason.find(std::to_string(needed)), std::string::npos);
}

// Guards against descriptors for duties that a program does not have.
TEST(DescriptorsTest, ADutyWithoutWeightGetsNone) {
  const auto shares =
      DivideDescriptors(1'000, {.members = 0, .requests = 15, .workers = 1});
  ASSERT_TRUE(shares);
  EXPECT_EQ(shares->members, 0u);
  EXPECT_EQ(shares->clients, 0u);
  EXPECT_GT(shares->requests, shares->workers);
}

}  // namespace
}  // namespace mangoplank::process
