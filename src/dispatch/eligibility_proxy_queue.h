#ifndef MANGOPLANK_SRC_DISPATCH_ELIGIBILITY_PROXY_QUEUE_H_
#define MANGOPLANK_SRC_DISPATCH_ELIGIBILITY_PROXY_QUEUE_H_

#include <boost/asio/any_io_executor.hpp>
#include <map>
#include <memory>

#include "dispatch/eligibility_proxy_pool.h"

namespace mangoplank::dispatch {

/// Calls that wait for a proxy, by the priority of their queue and by age. Only
/// the first one may acquire a proxy, so that short calls of less urgent queues
/// can't starve a long call that waits until more proxies are idle.
class eligibility_proxy_queue {
 public:
  eligibility_proxy_queue(const boost::asio::any_io_executor& executor,
                          core::clock& clock)
      : executor_(executor), clock_(clock) {}

  proxy_id Add();
  void Remove(proxy_id id);

  /// Waits until the call can be assigned.
  /// @param cost expected time of the call.
  /// @param priority calls of a lower number go first.
  /// @return no value if no proxy accepted the call by the deadline.
  core::awaitable<std::optional<proxy_id>> Acquire(core::milliseconds cost,
                                                   std::int32_t priority,
                                                   core::time_point deadline);
  proxy_count Count() const {
    const proxy_count count = pool_.Count(clock_.Now());
    return calls_.empty() ? count : proxy_count{0, count.all};
  }
  /// Ends a call. Does nothing if the proxy was removed.
  void Release(proxy_id id, core::milliseconds cost, call_outcome outcome);

 private:
  struct position {
    std::int32_t priority = 0;
    std::uint64_t id = 0;
    friend auto operator<=>(const position&, const position&) = default;
  };
  struct waiting_call {
    waiting_call(const boost::asio::any_io_executor& executor,
                 core::clock& clock, core::milliseconds expected_cost)
        : cost(expected_cost), assigned(executor, clock) {}
    const core::milliseconds cost;
    std::optional<proxy_id> proxy;
    core::event assigned;
  };

  void AssignWaitingCalls();

  boost::asio::any_io_executor executor_;
  core::clock& clock_;
  eligibility_proxy_pool pool_;
  std::uint64_t next_call_ = 1;
  std::map<position, std::shared_ptr<waiting_call>> calls_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_ELIGIBILITY_PROXY_QUEUE_H_
