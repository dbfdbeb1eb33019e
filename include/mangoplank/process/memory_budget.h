#ifndef MANGOPLANK_PROCESS_MEMORY_BUDGET_H_
#define MANGOPLANK_PROCESS_MEMORY_BUDGET_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <variant>

#include "mangoplank/core/clock.h"
#include "mangoplank/metrics/registry.h"

/// Bounded memory for the requests of clients.
namespace mangoplank::process {

/// What the requests of all clients may hold together.
struct memory_limits {
  std::uint64_t bytes = 64 * 1024 * 1024;
  /// Part of `bytes` that large requests leave to small ones.
  std::uint64_t reserve = 16 * 1024 * 1024;

  friend bool operator==(const memory_limits&, const memory_limits&) = default;
};

/// Most that a request holds and still counts as small: a body of 16 KiB with
/// its copies on the way to the leader.
inline constexpr std::uint64_t kSmallRequestBytes = 96 * 1024;

/// Division of a process's memory. What is left is for the program's own state
/// and for the largest body while it is parsed.
struct memory_shares {
  memory_limits requests;
  std::uint64_t max_body_bytes = 0;
  /// Connections that fit, each with its task, its first read buffer and what
  /// the kernel holds for it.
  std::size_t max_connections = 0;

  friend bool operator==(const memory_shares&, const memory_shares&) = default;
};

/// @param bytes that the process may use.
memory_shares DivideMemory(std::uint64_t bytes);

/// What requests hold now.
struct memory_usage {
  std::uint64_t used = 0;
  std::size_t leases = 0;

  friend bool operator==(const memory_usage&, const memory_usage&) = default;
};

class memory_lease;

/// The lease may take what it asks for.
struct memory_granted {};
/// Enough returns soon, since leases that hold it were evicted.
struct memory_pending {};
/// `lease` has held the most for the longest time and has to give it back.
struct memory_eviction {
  memory_lease* lease;
};
/// There is nothing left, and no other lease holds more for longer.
struct memory_refused {};
using memory_decision = std::variant<memory_granted, memory_pending,
                                     memory_eviction, memory_refused>;

/// Divides memory among the requests of one process. Must be used from a single
/// thread.
class memory_budget {
 public:
  memory_budget(boost::asio::any_io_executor executor, core::clock& clock,
                metrics::registry& metrics, memory_limits limits);
  memory_budget(const memory_budget&) = delete;
  memory_budget& operator=(const memory_budget&) = delete;
  /// Leases that are left hold nothing from then on and must not be resized.
  ~memory_budget();

  memory_usage Usage() const { return {used_, leases_.size()}; }

 private:
  friend class memory_lease;

  memory_decision Decide(const memory_lease& lease, std::uint64_t bytes) const;
  /// Carries out a decision.
  /// @return whether the lease has what it asked for; no value if it has to
  /// wait.
  std::optional<bool> Apply(const memory_decision& decision,
                            memory_lease& lease, std::uint64_t bytes);
  void Evict(memory_lease& lease);
  void Set(memory_lease& lease, std::uint64_t bytes);
  void LogShortage();

  core::clock& clock_;
  const memory_limits limits_;
  std::uint64_t used_ = 0;
  /// Part of `used_` that evicted leases are about to give back.
  std::uint64_t returning_ = 0;
  std::set<memory_lease*> leases_;
  core::event returned_;
  metrics::gauge& used_gauge_;
  metrics::counter& refused_;
  metrics::counter& evicted_;
  /// Refusals and evictions that earlier log lines have reported.
  std::uint64_t reported_ = 0;
  std::optional<core::time_point> last_log_;
};

/// What one request holds.
class memory_lease {
 public:
  /// @param on_evicted makes the owner give everything back soon; must not use
  /// the lease.
  memory_lease(memory_budget& budget, std::function<void()> on_evicted)
      : budget_(budget), on_evicted_(std::move(on_evicted)) {}
  memory_lease(const memory_lease&) = delete;
  memory_lease& operator=(const memory_lease&) = delete;
  ~memory_lease() { Release(); }

  /// Grows or shrinks to `bytes`. While too little is left, others are evicted.
  /// @return false if this lease is refused or evicted; it then keeps what it
  /// has.
  core::awaitable<bool> Resize(std::uint64_t bytes);
  /// Gives everything back. The next use counts as a new request.
  void Release();
  /// While it is pinned the lease can't be evicted; that time doesn't count as
  /// held.
  void Pin() { pinned_ = true; }
  void Unpin();
  bool IsEvicted() const { return is_evicted_; }

 private:
  friend class memory_budget;

  /// @return how much the lease, with so many bytes, has held for how long.
  double ByteSeconds(std::uint64_t bytes, core::time_point now) const;

  memory_budget& budget_;
  const std::function<void()> on_evicted_;
  std::uint64_t bytes_ = 0;
  core::time_point since_{};
  bool pinned_ = false;
  bool is_evicted_ = false;
};

}  // namespace mangoplank::process

#endif  // MANGOPLANK_PROCESS_MEMORY_BUDGET_H_
