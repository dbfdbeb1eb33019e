#include "mangoplank/tenancy/access_metrics.h"

namespace mangoplank::tenancy {

namespace {

metrics::counter& UnauthenticatedCounter(metrics::registry& registry,
                                         const std::string& key) {
  return registry.Counter("mangoplank_tenant_unauthenticated_total",
                          "Calls of jobs without a key of a tenant",
                          {{"key", key}});
}

}  // namespace

std::string_view tenant_labels::Of(std::string_view tenant) {
  const auto it = values_.find(tenant);
  if (it != values_.end()) return it->second;
  if (values_.size() >= kMaxNames) return "other";
  return values_.emplace(tenant, tenant).first->second;
}

access_metrics::access_metrics(metrics::registry& registry)
    : registry_(registry),
      unknown_key_(UnauthenticatedCounter(registry, "unknown")),
      no_key_(UnauthenticatedCounter(registry, "none")) {}

void access_metrics::OnAccepted(std::string_view tenant) {
  registry_
      .Counter("mangoplank_tenant_jobs_accepted_total",
               "Jobs accepted, by tenant",
               {{"tenant", std::string(labels_.Of(tenant))}})
      .Add();
}

void access_metrics::OnForbidden(std::string_view tenant) {
  registry_
      .Counter("mangoplank_tenant_forbidden_total",
               "Calls for a job of another tenant, by tenant of the caller",
               {{"tenant", std::string(labels_.Of(tenant))}})
      .Add();
}

void access_metrics::OnUnauthenticated(bool has_key) {
  (has_key ? unknown_key_ : no_key_).Add();
}

}  // namespace mangoplank::tenancy
