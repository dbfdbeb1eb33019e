#ifndef MANGOPLANK_API_PROCESS_HANDLER_H_
#define MANGOPLANK_API_PROCESS_HANDLER_H_

#include <functional>

#include "mangoplank/api/http.h"
#include "mangoplank/metrics/registry.h"

namespace mangoplank::api {

/// Serves /healthz, /readyz and /metrics of a process that serves nothing else
/// over HTTP.
class process_handler : public handler {
 public:
  /// @param is_ready result of the readiness check.
  process_handler(const metrics::registry& metrics,
                  std::function<bool()> is_ready);

  core::awaitable<reply> Handle(api::request request) override;

 private:
  const metrics::registry& metrics_;
  std::function<bool()> is_ready_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_PROCESS_HANDLER_H_
