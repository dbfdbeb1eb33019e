#include "dispatch/availability_index.h"

#include <gtest/gtest.h>

#include <random>

namespace mangoplank::dispatch {
namespace {

constexpr std::uint32_t kWorkers = 300;
constexpr std::int64_t kMilliPerProcessor = 1'000;

// Guards against a worker that is lost, listed twice or out of order after its
// available processors have changed.
TEST(AvailabilityIndexTest, VisitsEachWorkerOnceInDescendingOrder) {
  std::mt19937 random(7);
  availability_index index;
  std::vector<std::int64_t> available(kWorkers);
  index.Reset(kWorkers);
  for (std::uint32_t worker = 0; worker < kWorkers; ++worker) {
    index.Set(worker, 0);
  }
  for (int change = 0; change < 5'000; ++change) {
    const std::uint32_t worker = random() % kWorkers;
    // Beyond both ends of the buckets too.
    available[worker] = static_cast<std::int64_t>(random() % 400'000) - 50'000;
    index.Set(worker, available[worker]);
  }
  std::vector<int> visits(kWorkers);
  std::int64_t last = INT64_MAX;
  index.VisitDescending([&](std::uint32_t worker) {
    ++visits[worker];
    const std::int64_t processors =
        std::clamp<std::int64_t>(available[worker] / kMilliPerProcessor, 0,
                                 availability_index::kBucketCount - 1);
    EXPECT_LE(processors, last);
    last = processors;
    return true;
  });
  EXPECT_EQ(visits, std::vector<int>(kWorkers, 1));
}

// Guards against a search that goes on over all workers.
TEST(AvailabilityIndexTest, EndsWhenTheVisitorHasEnough) {
  availability_index index;
  index.Reset(kWorkers);
  for (std::uint32_t worker = 0; worker < kWorkers; ++worker) {
    index.Set(worker, worker * kMilliPerProcessor);
  }
  int visits = 0;
  index.VisitDescending([&](std::uint32_t) { return ++visits < 5; });
  EXPECT_EQ(visits, 5);
}

}  // namespace
}  // namespace mangoplank::dispatch
