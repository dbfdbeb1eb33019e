#include "mangoplank/process/descriptors.h"

#include <fmt/format.h>
#include <sys/resource.h>

#include <limits>

namespace mangoplank::process {

namespace {

/// Standard streams, event loop, listeners, log segment, replacement and
/// reserve of the data folder, connection to the leader.
constexpr std::size_t kFiles = 40;

unsigned TotalWeight(const descriptor_policy& policy) {
  return policy.clients + policy.requests + policy.workers;
}

/// @return the part of a duty: its least need, and its weight of the rest.
std::size_t PartOf(unsigned weight, std::size_t rest, unsigned total) {
  if (weight == 0) return 0;
  return kMinDescriptorsPerDuty + rest * weight / total;
}

}  // namespace

std::size_t MinDescriptors(const descriptor_policy& policy) {
  std::size_t needed = kFiles + policy.members;
  for (const unsigned weight :
       {policy.clients, policy.requests, policy.workers}) {
    if (weight > 0) needed += kMinDescriptorsPerDuty;
  }
  return needed;
}

core::outcome<descriptor_shares> DivideDescriptors(
    std::size_t limit, const descriptor_policy& policy) {
  const std::size_t needed = MinDescriptors(policy);
  if (limit < needed) {
    return core::failure(core::invalid_setting{
        {},
        0,
        "limits.descriptors",
        fmt::format("{} are left, and the program needs at least {}", limit,
                    needed)});
  }
  const std::size_t rest = limit - needed;
  const unsigned total = TotalWeight(policy);
  descriptor_shares shares;
  shares.files = kFiles;
  shares.members = policy.members;
  shares.clients = PartOf(policy.clients, rest, total);
  shares.requests = PartOf(policy.requests, rest, total);
  shares.workers = PartOf(policy.workers, rest, total);
  return shares;
}

std::size_t ReadDescriptorLimit() {
  rlimit limit{};
  const bool is_known = ::getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
                        limit.rlim_cur != RLIM_INFINITY;
  return is_known ? static_cast<std::size_t>(limit.rlim_cur)
                  : std::numeric_limits<std::size_t>::max();
}

}  // namespace mangoplank::process
