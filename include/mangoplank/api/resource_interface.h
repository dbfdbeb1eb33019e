#ifndef MANGOPLANK_API_RESOURCE_INTERFACE_H_
#define MANGOPLANK_API_RESOURCE_INTERFACE_H_

#include <functional>
#include <memory>
#include <string>

#include "mangoplank/api/http.h"
#include "mangoplank/calls/call.h"
#include "mangoplank/control/client.h"
#include "mangoplank/distribution/view.h"
#include "mangoplank/membership/announcer.h"
#include "mangoplank/metrics/registry.h"

namespace mangoplank::api {

/// Settings of the resource interface.
struct interface_settings {
  /// Lower-case hexadecimal SHA-256 of the cell administrator's token; if it is
  /// empty, no token has that role.
  std::string admin_token_sha256;
  /// The same for the token that all workers share.
  std::string worker_token_sha256;
  /// Name and incarnation of this process, so unique to one start of it. Prefix
  /// of the request ids assigned to changes that were sent without one.
  std::string process_id;
  /// Time limit of a read or change, including the search for the leader.
  core::milliseconds request_timeout{5'000};
  /// Longest time that the reply to an announcement waits for orders.
  core::milliseconds announce_timeout{2'000};
  /// Age of the last progress mark at which requests are refused.
  core::milliseconds max_view_age{6'000};
  /// Largest deadline that a caller may request.
  core::milliseconds max_call_timeout{600'000};
  /// Interval of progress lines in a watch without changes.
  core::milliseconds watch_progress_interval{5'000};
  std::size_t max_watches = 256;
  /// Whether /metrics is served without a token.
  bool public_metrics = false;

  friend bool operator==(const interface_settings&,
                         const interface_settings&) = default;
};

/// Dependencies of the interface. All must outlive it.
struct interface_dependencies {
  control::client& control;
  const distribution::view& view;
  calls::runner& calls;
  membership::announcer& announcer;
  metrics::registry& metrics;
  core::clock& clock;
  /// @return the calls counted against objectives, as JSON, of one department
  /// or of all if it is empty. If unset, /v1/objectives is not found.
  std::function<std::string(const core::department_id&)> objectives;
};

/// Serves the resource interface described in docs/api.md.
class resource_interface : public handler {
 public:
  resource_interface(interface_dependencies dependencies,
                     interface_settings settings);
  ~resource_interface() override;

  core::awaitable<reply> Handle(api::request request) override;

  /// Makes the readiness check fail, so that the load balancer sends no new
  /// requests. Requests are still served.
  void BeginDrain();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_RESOURCE_INTERFACE_H_
