#ifndef MANGOPLANK_PROCESS_CONNECTION_SLOTS_H_
#define MANGOPLANK_PROCESS_CONNECTION_SLOTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string_view>
#include <utility>

#include "mangoplank/core/clock.h"

/// Bounded use of outgoing connections.
namespace mangoplank::process {

/// What a connection is used for; those listed first are more urgent.
enum class connection_duty : std::uint8_t {
  /// An order to start or stop a task: short, and a task waits for it.
  kOrder,
  /// A call to the eligibility service.
  kCheck,
  /// A poll of a worker, which keeps its connection for seconds.
  kPoll
};
inline constexpr std::size_t kConnectionDutyCount = 3;

/// @return the name used in logs and metrics.
constexpr std::string_view Name(connection_duty duty) {
  constexpr std::string_view kNames[] = {"order", "check", "poll"};
  return kNames[static_cast<std::size_t>(duty)];
}

/// How many connections are in use, by duty, and how many tasks wait.
struct connection_usage {
  std::size_t limit = 0;
  std::array<std::size_t, kConnectionDutyCount> in_use{};
  std::size_t waiting = 0;

  friend bool operator==(const connection_usage&,
                         const connection_usage&) = default;
};

/// Grants the use of connections within a limit. A task that gets none waits;
/// those of a more urgent duty come first. Polls leave a part of the
/// connections to the other duties.
class connection_slots {
 public:
  /// The use of one connection; ends with this object, which must not outlive
  /// the slots.
  class permit {
   public:
    permit(connection_slots& slots, connection_duty duty)
        : slots_(&slots), duty_(duty) {}
    permit(permit&& other) noexcept
        : slots_(std::exchange(other.slots_, nullptr)), duty_(other.duty_) {}
    permit& operator=(permit&&) = delete;
    ~permit() {
      if (slots_ != nullptr) slots_->Release(duty_);
    }

   private:
    connection_slots* slots_;
    connection_duty duty_;
  };

  /// @param limit connections that may be open at once.
  connection_slots(boost::asio::any_io_executor executor, core::clock& clock,
                   std::size_t limit);

  /// Waits for the use of a connection.
  /// @return the permit; null if there was none before the deadline.
  core::awaitable<std::unique_ptr<permit>> Acquire(connection_duty duty,
                                                   core::time_point deadline);

  /// Connections in use stay open under a lower limit; no other is granted
  /// until enough of them have ended.
  void SetLimit(std::size_t limit);
  /// @return how many connections may stay open without being used.
  std::size_t MaxIdle() const;
  /// @return how long a poll may wait for news: less than it asks for while
  /// polls of other workers wait for a connection.
  core::milliseconds BoundPollWait(core::milliseconds wait) const;
  connection_usage Usage() const;

 private:
  struct waiter;
  using position = std::pair<connection_duty, std::uint64_t>;

  bool MayUse(connection_duty duty) const;
  std::size_t MaxPolls() const;
  std::size_t InUse() const;
  std::size_t& Count(connection_duty duty) {
    return in_use_.at(static_cast<std::size_t>(duty));
  }
  void Release(connection_duty duty);
  void GrantWaiting();

  const boost::asio::any_io_executor executor_;
  core::clock& clock_;
  std::size_t limit_;
  std::array<std::size_t, kConnectionDutyCount> in_use_{};
  std::map<position, std::shared_ptr<waiter>> waiting_;
  std::uint64_t next_waiter_ = 0;
};

}  // namespace mangoplank::process

#endif  // MANGOPLANK_PROCESS_CONNECTION_SLOTS_H_
