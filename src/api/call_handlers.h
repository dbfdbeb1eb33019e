#ifndef MANGOPLANK_API_CALL_HANDLERS_H_
#define MANGOPLANK_API_CALL_HANDLERS_H_

#include "api/request_context.h"
#include "mangoplank/calls/call.h"

namespace mangoplank::api {

/// Runs calls to services and reports their outcomes.
class call_handlers {
 public:
  using result = core::awaitable<core::outcome<response>>;

  call_handlers(calls::runner& runner, const distribution::view& view,
                core::clock& clock, core::milliseconds max_timeout)
      : runner_(runner),
        view_(view),
        clock_(clock),
        max_timeout_(max_timeout) {}

  result Call(const request_context& context, call_route route);
  /// Reports the outcome of an earlier call by its idempotency key.
  result Resolve(const request_context& context, call_record_route route);

 private:
  core::outcome<core::milliseconds> TimeoutFor(const request_context& context,
                                               const call_route& route) const;

  calls::runner& runner_;
  const distribution::view& view_;
  core::clock& clock_;
  core::milliseconds max_timeout_;
};

/// @return the response that reports the end of a call.
response RenderCallEnd(const calls::call_end& end);

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_CALL_HANDLERS_H_
