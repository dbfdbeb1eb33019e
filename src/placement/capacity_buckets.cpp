#include "capacity_buckets.h"

#include <algorithm>
#include <bit>

namespace mangoplank::placement {

namespace {

// Smallest distinguished amounts: an eighth of a core and 64 MiB. With two
// classes for each doubling, 32 classes reach 4,000 cores and 2 TiB.
constexpr std::int64_t kCpuUnitMilli = 125;
constexpr std::int64_t kMemoryUnitMib = 64;

std::int32_t ClassOf(std::int64_t amount, std::int64_t unit) {
  if (amount < unit) return 0;
  const auto units = static_cast<std::uint64_t>(amount / unit);
  const int octave = std::bit_width(units) - 1;
  const bool upper_half = octave > 0 && ((units >> (octave - 1)) & 1U) != 0;
  return std::min(1 + 2 * octave + (upper_half ? 1 : 0),
                  capacity_buckets::kClassCount - 1);
}

}  // namespace

capacity_buckets::capacity_buckets()
    : buckets_(static_cast<std::size_t>(kClassCount) * kClassCount) {}

std::int32_t capacity_buckets::BucketOf(const core::resources& free,
                                        bool by_accelerators) {
  const std::int32_t row =
      by_accelerators ? static_cast<std::int32_t>(std::clamp<std::int64_t>(
                            free.accelerators, 0, kClassCount - 1))
                      : ClassOf(free.cpu_milli, kCpuUnitMilli);
  return row * kClassCount + ClassOf(free.memory_mib, kMemoryUnitMib);
}

capacity_buckets::handle capacity_buckets::Insert(std::int32_t worker,
                                                  std::int32_t bucket) {
  auto& workers = buckets_[bucket];
  workers.push_back(worker);
  columns_[bucket / kClassCount] |= 1U << (bucket % kClassCount);
  return {bucket, static_cast<std::uint32_t>(workers.size() - 1)};
}

std::int32_t capacity_buckets::Remove(const handle& removed) {
  auto& workers = buckets_[removed.bucket];
  const std::int32_t last = workers.back();
  const bool moved = removed.position + 1 != workers.size();
  workers[removed.position] = last;
  workers.pop_back();
  if (workers.empty()) {
    columns_[removed.bucket / kClassCount] &=
        ~(1U << (removed.bucket % kClassCount));
  }
  return moved ? last : -1;
}

}  // namespace mangoplank::placement
