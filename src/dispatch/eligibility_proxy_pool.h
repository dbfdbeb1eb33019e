#ifndef MANGOPLANK_SRC_DISPATCH_ELIGIBILITY_PROXY_POOL_H_
#define MANGOPLANK_SRC_DISPATCH_ELIGIBILITY_PROXY_POOL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "mangoplank/core/clock.h"
#include "mangoplank/dispatch/ports.h"

namespace mangoplank::dispatch {

/// Number of a proxy in the pool; never reused.
using proxy_id = std::uint64_t;

/// How a call to the eligibility service ended.
enum class call_outcome : std::uint8_t { kAnswered, kNotAnswered };

/// Processes that call the eligibility service for the leader, and the pending
/// calls of each. The service handles the calls of one machine one at a time.
/// A proxy that answers no call is free again soon and would draw all calls, so
/// that it gets none for a while that grows with each of them.
class eligibility_proxy_pool {
 public:
  proxy_id Add();
  void Remove(proxy_id id) { proxies_.erase(id); }

  /// Assigns a call to the proxy with the least pending time. Those that have
  /// left calls unanswered are avoided unless there is no other.
  /// @param cost expected time of the call.
  /// @return no value if no proxy can accept the call now.
  std::optional<proxy_id> Acquire(core::milliseconds cost,
                                  core::time_point now);
  /// @return the proxies, and those of them that are idle and not avoided.
  proxy_count Count(core::time_point now) const;
  /// Ends a call. Does nothing if the proxy was removed.
  void Release(proxy_id id, core::milliseconds cost, call_outcome outcome,
               core::time_point now);

 private:
  struct proxy {
    /// Expected time of the pending calls.
    core::milliseconds pending{0};
    /// Unanswered calls since the last answer.
    int unanswered = 0;
    core::time_point avoid_until{};

    friend bool operator==(const proxy&, const proxy&) = default;
  };

  std::vector<std::map<proxy_id, proxy>::iterator> FindCandidates(
      core::time_point now);

  proxy_id next_id_ = 1;
  std::map<proxy_id, proxy> proxies_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_ELIGIBILITY_PROXY_POOL_H_
