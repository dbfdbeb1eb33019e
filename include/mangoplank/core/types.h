#ifndef MANGOPLANK_CORE_TYPES_H_
#define MANGOPLANK_CORE_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

/// Small value types that all slices share.
namespace mangoplank::core {

/// Steady time within one process; never compared between VMs.
using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::nanoseconds;
using milliseconds = std::chrono::milliseconds;

/// Milliseconds since the Unix epoch, stamped by the leader for display and
/// retention only; never used to decide the end of a lease.
using wall_time_ms = std::int64_t;

/// Position in the replicated log, and therefore the revision of the state
/// after that entry. The first entry has revision 1.
using revision = std::uint64_t;

/// Term of a leader. Grows with each election.
using term = std::uint64_t;

/// A strongly typed string; ids with different tags are different types.
template <class Tag>
struct named_id {
  std::string v;

  friend bool operator==(const named_id&, const named_id&) = default;
  friend auto operator<=>(const named_id&, const named_id&) = default;
};

using department_id = named_id<struct department_tag>;
using worker_id = named_id<struct worker_tag>;
using region_id = named_id<struct region_tag>;
using data_centre_id = named_id<struct data_centre_tag>;
using rack_id = named_id<struct rack_tag>;
/// Name of a process of the system: an entry or a control member.
using member_id = named_id<struct member_tag>;
/// Sent by a client so that a resend of the same change is recognized.
using request_id = named_id<struct request_tag>;
using cell_id = named_id<struct cell_tag>;

/// Chosen by a worker at each start, so that a worker that restarts under the
/// same name counts as another worker.
using incarnation = std::uint64_t;

/// Amounts that a worker offers or a task requests.
struct resources {
  /// Thousandths of a processor core.
  std::int64_t cpu_milli = 0;
  /// Mebibytes of memory.
  std::int64_t memory_mib = 0;
  /// Whole accelerators.
  std::int64_t accelerators = 0;

  friend bool operator==(const resources&, const resources&) = default;
  friend resources operator+(const resources& a, const resources& b) {
    return {a.cpu_milli + b.cpu_milli, a.memory_mib + b.memory_mib,
            a.accelerators + b.accelerators};
  }
  friend resources operator-(const resources& a, const resources& b) {
    return {a.cpu_milli - b.cpu_milli, a.memory_mib - b.memory_mib,
            a.accelerators - b.accelerators};
  }
  friend resources operator*(const resources& a, std::int64_t n) {
    return {a.cpu_milli * n, a.memory_mib * n, a.accelerators * n};
  }
  /// @return whether `need` fits into this in every dimension.
  bool Holds(const resources& need) const {
    return need.cpu_milli <= cpu_milli && need.memory_mib <= memory_mib &&
           need.accelerators <= accelerators;
  }
};

/// Location of a VM.
struct location {
  region_id region;
  data_centre_id data_centre;
  rack_id rack;

  friend bool operator==(const location&, const location&) = default;
  friend auto operator<=>(const location&, const location&) = default;
};

/// An IP address in text form and a TCP port.
struct endpoint {
  std::string address;
  std::uint16_t port = 0;

  friend bool operator==(const endpoint&, const endpoint&) = default;
  friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Visitor made of lambdas, for std::visit.
template <class... Fs>
struct overloaded : Fs... {
  using Fs::operator()...;
};
template <class... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

}  // namespace mangoplank::core

template <class Tag>
struct std::hash<mangoplank::core::named_id<Tag>> {
  std::size_t operator()(
      const mangoplank::core::named_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.v);
  }
};

#endif  // MANGOPLANK_CORE_TYPES_H_
