#include "dispatch/eligibility_proxy_queue.h"

namespace mangoplank::dispatch {

using core::awaitable;

proxy_id eligibility_proxy_queue::Add() {
  const proxy_id id = pool_.Add();
  AssignWaitingCalls();
  return id;
}

void eligibility_proxy_queue::Remove(proxy_id id) {
  pool_.Remove(id);
  // Those that are left may all be avoided, and are then used.
  AssignWaitingCalls();
}

/// Wakes only the calls that get a proxy: with hundreds of waiting calls,
/// waking all of them for each released proxy takes most of the leader's time.
void eligibility_proxy_queue::AssignWaitingCalls() {
  while (!calls_.empty()) {
    const auto first = calls_.begin();
    const auto call = first->second;
    call->proxy = pool_.Acquire(call->cost, clock_.Now());
    if (!call->proxy) return;
    calls_.erase(first);
    call->assigned.NotifyAll();
  }
}

awaitable<std::optional<proxy_id>> eligibility_proxy_queue::Acquire(
    core::milliseconds cost, std::int32_t priority, core::time_point deadline) {
  const position own{priority, next_call_++};
  const auto call = std::make_shared<waiting_call>(executor_, clock_, cost);
  calls_.emplace(own, call);
  AssignWaitingCalls();
  if (!call->proxy) co_await call->assigned.WaitUntil(deadline);
  if (!call->proxy) {
    calls_.erase(own);
    // The next call may be shorter and fit where this one did not.
    AssignWaitingCalls();
  }
  co_return call->proxy;
}

void eligibility_proxy_queue::Release(proxy_id id, core::milliseconds cost,
                                      call_outcome outcome) {
  pool_.Release(id, cost, outcome, clock_.Now());
  AssignWaitingCalls();
}

}  // namespace mangoplank::dispatch
