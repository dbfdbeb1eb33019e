#ifndef MANGOPLANK_PROCESS_DESCRIPTORS_H_
#define MANGOPLANK_PROCESS_DESCRIPTORS_H_

#include <cstddef>

#include "mangoplank/core/failure.h"

/// Division of a process's file descriptors. Each duty has a part of its own,
/// so that the least important one can't take the last descriptor of the
/// others.
namespace mangoplank::process {

/// How a program divides what is left after its fixed needs.
struct descriptor_policy {
  /// Links between the members of the replicated log; 0 for other processes.
  std::size_t members = 0;
  /// Weights of the duties that share the rest.
  unsigned clients = 0;
  unsigned requests = 0;
  unsigned workers = 0;

  friend bool operator==(const descriptor_policy&,
                         const descriptor_policy&) = default;
};

/// Descriptors of each duty, in the order of their importance.
struct descriptor_shares {
  /// Log and its files, standard streams, event loop and listeners.
  std::size_t files = 0;
  /// Links between the members of the replicated log.
  std::size_t members = 0;
  /// Connections of gateways and other control processes to the leader.
  std::size_t clients = 0;
  /// Connections over which callers, workers and operators send requests.
  std::size_t requests = 0;
  /// Connections to workers and to the eligibility service.
  std::size_t workers = 0;

  friend bool operator==(const descriptor_shares&,
                         const descriptor_shares&) = default;
};

/// Least number of descriptors that a duty with a weight can work with.
inline constexpr std::size_t kMinDescriptorsPerDuty = 16;

/// @return the least limit with which a program of this policy can work.
std::size_t MinDescriptors(const descriptor_policy& policy);

/// @return the parts; invalid_setting, with the needed figure, if the limit is
/// below MinDescriptors.
core::outcome<descriptor_shares> DivideDescriptors(
    std::size_t limit, const descriptor_policy& policy);

/// @return the limit that the system sets this process now (RLIMIT_NOFILE).
std::size_t ReadDescriptorLimit();

}  // namespace mangoplank::process

#endif  // MANGOPLANK_PROCESS_DESCRIPTORS_H_
