#ifndef MANGOPLANK_API_CALL_HANDLERS_H_
#define MANGOPLANK_API_CALL_HANDLERS_H_

#include "api/exchange.h"
#include "mangoplank/calls/call.h"

namespace mangoplank::api {

/// Passes calls to services and reports how they ended.
class call_handlers {
 public:
  using result = core::awaitable<core::outcome<response>>;

  call_handlers(calls::runner& runner, const distribution::view& view,
                core::clock& clock, core::milliseconds max_time)
      : runner_(runner), view_(view), clock_(clock), max_time_(max_time) {}

  result Call(const exchange& x, call_route to);
  /// The end of an earlier call with an idempotency key.
  result Resolve(const exchange& x, call_record_route to);

 private:
  core::outcome<core::milliseconds> TimeFor(const exchange& x,
                                            const call_route& to) const;

  calls::runner& runner_;
  const distribution::view& view_;
  core::clock& clock_;
  core::milliseconds max_time_;
};

/// @return the response that tells the end of a call.
response RenderEnd(const calls::call_end& end);

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_CALL_HANDLERS_H_
