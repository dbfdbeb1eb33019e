#include "room_buckets.h"

#include <algorithm>
#include <bit>

namespace mangoplank::placement {

namespace {

// Smallest amounts told apart: an eighth of a core and 64 MiB. With two classes
// for each doubling, 32 classes reach 4,000 cores and 2 TiB.
constexpr std::int64_t kCpuUnit = 125;
constexpr std::int64_t kMemoryUnit = 64;

std::int32_t ClassOf(std::int64_t amount, std::int64_t unit) {
  if (amount < unit) return 0;
  const auto units = static_cast<std::uint64_t>(amount / unit);
  const int octave = std::bit_width(units) - 1;
  const bool upper_half = octave > 0 && ((units >> (octave - 1)) & 1U) != 0;
  return std::min(1 + 2 * octave + (upper_half ? 1 : 0),
                  room_buckets::kClasses - 1);
}

}  // namespace

room_buckets::room_buckets()
    : buckets_(static_cast<std::size_t>(kClasses) * kClasses) {}

std::int32_t room_buckets::BucketOf(const core::resources& room,
                                    bool by_accelerators) {
  const std::int32_t row =
      by_accelerators ? static_cast<std::int32_t>(std::clamp<std::int64_t>(
                            room.accelerators, 0, kClasses - 1))
                      : ClassOf(room.cpu_milli, kCpuUnit);
  return row * kClasses + ClassOf(room.memory_mib, kMemoryUnit);
}

room_buckets::handle room_buckets::Insert(std::int32_t w, std::int32_t bucket) {
  auto& in = buckets_[bucket];
  in.push_back(w);
  rows_[bucket / kClasses] |= 1U << (bucket % kClasses);
  return {bucket, static_cast<std::uint32_t>(in.size() - 1)};
}

std::int32_t room_buckets::Remove(const handle& h) {
  auto& in = buckets_[h.bucket];
  const std::int32_t last = in.back();
  const bool moved = h.position + 1 != in.size();
  in[h.position] = last;
  in.pop_back();
  if (in.empty()) {
    rows_[h.bucket / kClasses] &= ~(1U << (h.bucket % kClasses));
  }
  return moved ? last : -1;
}

}  // namespace mangoplank::placement
