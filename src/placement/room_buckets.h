#ifndef MANGOPLANK_PLACEMENT_ROOM_BUCKETS_H_
#define MANGOPLANK_PLACEMENT_ROOM_BUCKETS_H_

#include <array>
#include <cstdint>
#include <vector>

#include "mangoplank/core/types.h"

namespace mangoplank::placement {

/// Workers of one pool by class of room. A class is half an octave wide, so a
/// class above that of a task surely has room for it in that dimension.
class room_buckets {
 public:
  static constexpr std::int32_t kClasses = 32;

  /// Where a worker is kept, so that it is moved without a search.
  struct handle {
    std::int32_t bucket = -1;
    std::uint32_t position = 0;

    friend bool operator==(const handle&, const handle&) = default;
  };

  room_buckets();

  /// @return bucket for this much room; room below zero counts as none.
  /// @param by_accelerators rows are numbers of accelerators instead of
  /// classes of processors.
  static std::int32_t BucketOf(const core::resources& room,
                               bool by_accelerators);

  /// @return where `w` is kept now.
  handle Insert(std::int32_t w, std::int32_t bucket);
  /// @return the worker that now has the handle of the removed one, or -1.
  std::int32_t Remove(const handle& h);

  const std::vector<std::int32_t>& In(std::int32_t bucket) const {
    return buckets_[bucket];
  }
  /// @return columns of the row that hold workers, one bit each.
  std::uint32_t Row(std::int32_t row) const { return rows_[row]; }

 private:
  std::vector<std::vector<std::int32_t>> buckets_;
  std::array<std::uint32_t, kClasses> rows_{};
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_ROOM_BUCKETS_H_
