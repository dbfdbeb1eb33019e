#include "mangoplank/workflow/limits.h"

#include <gtest/gtest.h>

#include "mangoplank/workflow/state.h"

namespace mangoplank::workflow {
namespace {

job_spec MakeSpec(std::size_t steps, std::uint32_t count,
                  std::uint32_t repeat_count) {
  job_spec spec;
  spec.id = "j";
  spec.steps.resize(steps);
  for (step& s : spec.steps) s.count = count;
  spec.repeat_count = repeat_count;
  return spec;
}

struct count_case {
  std::size_t steps;
  std::uint32_t count;
  std::uint32_t repeat_count;
  bool is_valid;
};

constexpr std::uint32_t kLargest = 0xffff'ffff;

constexpr count_case kCounts[] = {{1, 1, 0, true},
                                  {1, 10'000, 0, true},
                                  {1, 10'000, 1, true},
                                  {1, 10'001, 0, false},
                                  {100, 100, 1, true},
                                  {100, 100, 2, false},
                                  {1, 1, 10'000, true},
                                  {1, 1, 10'001, false},
                                  {1, kLargest, 0, false},
                                  {2, 1u << 31, 0, false},
                                  {1, 1, kLargest, false},
                                  {100, kLargest, kLargest, false},
                                  {16, 1u << 30, 1u << 30, false}};

// Guards against counts whose sum or product is small only because it
// overflows: 16 steps of 2^30 tasks, 2^30 times, are 2^64 tasks.
TEST(WorkflowLimitsTest, CountsTasksWithoutOverflow) {
  for (const count_case& c : kCounts) {
    EXPECT_EQ(IsTaskCountValid(MakeSpec(c.steps, c.count, c.repeat_count)),
              c.is_valid)
        << c.steps << " x " << c.count << " x " << c.repeat_count;
  }
}

// Guards against a log entry that every member fails to apply, for lack of
// memory, at every start.
TEST(WorkflowLimitsTest, AJobBeyondTheLimitIsNotApplied) {
  state applied;
  applied.Apply(job_accepted{MakeSpec(16, 1u << 30, 1u << 30), {}, 0});
  EXPECT_EQ(applied.FindJob("j"), nullptr);
  applied.Apply(job_accepted{MakeSpec(2, 3, 4), {}, 0});
  ASSERT_NE(applied.FindJob("j"), nullptr);
  EXPECT_EQ(applied.FindJob("j")->tasks.size(), 24u);
}

// Guards against ids that a path, a header or a JSON text can't carry.
TEST(WorkflowLimitsTest, IdsAreOnePathSegment) {
  for (const std::string& id :
       {std::string("i-7f3a91c2"), std::string("a.b\"%"), std::string(256, 'x'),
        std::string("!"), std::string("~")}) {
    EXPECT_TRUE(IsValidId(id)) << id;
  }
  for (const std::string& id :
       {std::string(), std::string("a/b"), std::string("a b"),
        std::string("\xff"), std::string("a\0b", 3), std::string("\x7f"),
        std::string("a\n"), std::string(257, 'x')}) {
    EXPECT_FALSE(IsValidId(id)) << id;
  }
}

}  // namespace
}  // namespace mangoplank::workflow
