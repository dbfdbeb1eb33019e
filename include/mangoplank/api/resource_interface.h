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

/// What the interface is told by the settings of its process.
struct interface_settings {
  /// Lower-case hexadecimal SHA-256 of the cell administrator's token; empty
  /// lets nobody in under that role.
  std::string admin_token_sha256;
  /// The same for the token that all workers send.
  std::string worker_token_sha256;
  /// Unique to one start of this process: its name and incarnation. Prefix of
  /// the request ids given to changes that came without one.
  std::string process_id;
  /// Time for a read or change, the search for the leader included.
  core::milliseconds request_time{5'000};
  /// Longest time that an announcement is held back for orders.
  core::milliseconds announce_time{2'000};
  /// Age of the last progress mark at which requests are refused.
  core::milliseconds freshness{6'000};
  /// Longest deadline that a caller may name.
  core::milliseconds max_call_time{600'000};
  /// Interval of progress lines in a watch without changes.
  core::milliseconds watch_progress{5'000};
  std::size_t max_watches = 256;
  /// Serves /metrics without a token.
  bool open_metrics = false;

  friend bool operator==(const interface_settings&,
                         const interface_settings&) = default;
};

/// The objects that the interface works on. All must outlive it.
struct interface_parts {
  control::client& control;
  const distribution::view& view;
  calls::runner& calls;
  membership::announcer& announcer;
  metrics::registry& metrics;
  core::clock& clock;
  /// @return the calls counted against objectives, as JSON, of one department
  /// or of all if it is empty. Without it /v1/objectives is not found.
  std::function<std::string(const core::department_id&)> objectives;
};

/// Serves the resource interface described in docs/api.md.
class resource_interface : public handler {
 public:
  resource_interface(interface_parts parts, interface_settings settings);
  ~resource_interface() override;

  core::awaitable<reply> Handle(request r) override;

  /// Fails the readiness check from now on, so that the balancer sends no new
  /// requests; requests are still served.
  void BeginDrain();

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_RESOURCE_INTERFACE_H_
