#ifndef MANGOPLANK_TENANCY_ACCESS_METRICS_H_
#define MANGOPLANK_TENANCY_ACCESS_METRICS_H_

#include <map>
#include <string>
#include <string_view>

#include "mangoplank/metrics/registry.h"

namespace mangoplank::tenancy {

/// Maps tenant names to label values: the first kMaxNames to themselves, later
/// ones to `other`, as the registry never removes a metric.
class tenant_labels {
 public:
  static constexpr std::size_t kMaxNames = 50;

  /// @return the value for a tenant.
  std::string_view Of(std::string_view tenant);

 private:
  std::map<std::string, std::string, std::less<>> values_;
};

/// Counts calls by the result of authentication. Label values come from
/// declared tenants only, so that callers can't add metrics.
class access_metrics {
 public:
  /// @param registry must outlive this.
  explicit access_metrics(metrics::registry& registry);

  /// A job was accepted for the tenant.
  void OnAccepted(std::string_view tenant);
  /// The tenant's caller addressed a job of another one.
  void OnForbidden(std::string_view tenant);
  /// @param has_key false if the caller sent none that can be read.
  void OnUnauthenticated(bool has_key);

 private:
  metrics::registry& registry_;
  tenant_labels labels_;
  metrics::counter& unknown_key_;
  metrics::counter& no_key_;
};

}  // namespace mangoplank::tenancy

#endif  // MANGOPLANK_TENANCY_ACCESS_METRICS_H_
