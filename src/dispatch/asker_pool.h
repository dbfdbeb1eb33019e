#ifndef MANGOPLANK_SRC_DISPATCH_ASKER_POOL_H_
#define MANGOPLANK_SRC_DISPATCH_ASKER_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "mangoplank/core/clock.h"

namespace mangoplank::dispatch {

/// Number of an asker in the pool; not used again.
using asker_id = std::uint64_t;

/// Processes that can ask the eligibility service for the leader, and the calls
/// that each has. The service works through the calls of one machine in turn.
class asker_pool {
 public:
  asker_id Add();
  void Remove(asker_id id) { pending_.erase(id); }

  /// Adds a call to the asker with the least to do.
  /// @param cost expected time of the call.
  /// @return no value if all have too much to do for it.
  std::optional<asker_id> Take(core::milliseconds cost);
  /// A call has ended. Does nothing if the asker was removed.
  void Release(asker_id id, core::milliseconds cost);

 private:
  asker_id next_ = 1;
  /// Expected time of the calls that each asker has.
  std::map<asker_id, core::milliseconds> pending_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_ASKER_POOL_H_
