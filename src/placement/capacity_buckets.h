#ifndef MANGOPLANK_PLACEMENT_CAPACITY_BUCKETS_H_
#define MANGOPLANK_PLACEMENT_CAPACITY_BUCKETS_H_

#include <array>
#include <cstdint>
#include <vector>

#include "mangoplank/core/types.h"

namespace mangoplank::placement {

/// Workers of one pool by size class of free capacity. A class is half an
/// octave wide, so a class above that of a task always fits in that dimension.
class capacity_buckets {
 public:
  static constexpr std::int32_t kClassCount = 32;

  /// Position of a worker, so that it is moved without a search.
  struct handle {
    std::int32_t bucket = -1;
    std::uint32_t position = 0;

    friend bool operator==(const handle&, const handle&) = default;
  };

  capacity_buckets();

  /// @return bucket for this free capacity; amounts below zero count as zero.
  /// @param by_accelerators rows are numbers of accelerators instead of size
  /// classes of processors.
  static std::int32_t BucketOf(const core::resources& free,
                               bool by_accelerators);

  /// @return the position of the worker.
  handle Insert(std::int32_t worker, std::int32_t bucket);
  /// @return the worker that now has the handle of the removed one, or -1.
  std::int32_t Remove(const handle& removed);

  const std::vector<std::int32_t>& WorkersIn(std::int32_t bucket) const {
    return buckets_[bucket];
  }
  /// @return columns of the row that are not empty, one bit each.
  std::uint32_t NonEmptyColumns(std::int32_t row) const {
    return columns_[row];
  }

 private:
  std::vector<std::vector<std::int32_t>> buckets_;
  std::array<std::uint32_t, kClassCount> columns_{};
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_CAPACITY_BUCKETS_H_
