#ifndef MANGOPLANK_SRC_DISPATCH_AVAILABILITY_INDEX_H_
#define MANGOPLANK_SRC_DISPATCH_AVAILABILITY_INDEX_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <vector>

namespace mangoplank::dispatch {

/// Workers by their available processors, in whole ones, so that those with the
/// most are found without a look at all others. Workers are named by a small
/// number.
class availability_index {
 public:
  /// Workers of a bucket differ by less than one processor; the last one holds
  /// all that have more.
  static constexpr std::size_t kBucketCount = 256;

  /// Removes all workers and makes room for the numbers below `count`.
  void Reset(std::size_t count) {
    for (auto& bucket : buckets_) bucket.clear();
    places_.assign(count, {});
    highest_ = 0;
  }

  /// Adds a worker, or moves it.
  void Set(std::uint32_t worker, std::int64_t cpu_milli) {
    const auto bucket = static_cast<std::uint32_t>(std::clamp<std::int64_t>(
        cpu_milli / kMilliPerProcessor, 0, kBucketCount - 1));
    place& known = places_[worker];
    if (known.is_set && known.bucket == bucket) return;
    if (known.is_set) Remove(known);
    known = {true, bucket, static_cast<std::uint32_t>(buckets_[bucket].size())};
    buckets_[bucket].push_back(worker);
    highest_ = std::max<std::size_t>(highest_, bucket);
  }

  /// Calls `visit(worker)` for each worker, those with the most available
  /// first, until it returns false. It must not change the index.
  template <class F>
  void VisitDescending(F&& visit) const {
    for (std::size_t bucket = highest_ + 1; bucket-- > 0;) {
      for (const std::uint32_t worker : buckets_[bucket]) {
        if (!visit(worker)) return;
      }
    }
  }

 private:
  static constexpr std::int64_t kMilliPerProcessor = 1'000;

  struct place {
    bool is_set = false;
    std::uint32_t bucket = 0;
    std::uint32_t position = 0;
  };

  void Remove(const place& left) {
    auto& bucket = buckets_[left.bucket];
    bucket[left.position] = bucket.back();
    places_[bucket[left.position]].position = left.position;
    bucket.pop_back();
  }

  std::array<std::vector<std::uint32_t>, kBucketCount> buckets_;
  std::vector<place> places_;
  /// No bucket above this one has a worker.
  std::size_t highest_ = 0;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_AVAILABILITY_INDEX_H_
