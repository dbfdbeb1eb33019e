#ifndef MANGOPLANK_SRC_DISPATCH_ELIGIBILITY_PROXY_POOL_H_
#define MANGOPLANK_SRC_DISPATCH_ELIGIBILITY_PROXY_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "mangoplank/core/clock.h"

namespace mangoplank::dispatch {

/// Number of a proxy in the pool; never reused.
using proxy_id = std::uint64_t;

/// Processes that call the eligibility service for the leader, and the pending
/// calls of each. The service handles the calls of one machine one at a time.
class eligibility_proxy_pool {
 public:
  proxy_id Add();
  void Remove(proxy_id id) { pending_time_.erase(id); }

  /// Assigns a call to the proxy with the least pending time.
  /// @param cost expected time of the call.
  /// @return no value if no proxy can accept the call now.
  std::optional<proxy_id> Acquire(core::milliseconds cost);
  /// Ends a call. Does nothing if the proxy was removed.
  void Release(proxy_id id, core::milliseconds cost);

 private:
  proxy_id next_id_ = 1;
  /// Expected time of the pending calls of each proxy.
  std::map<proxy_id, core::milliseconds> pending_time_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_ELIGIBILITY_PROXY_POOL_H_
