#ifndef MANGOPLANK_CORE_CLOCK_H_
#define MANGOPLANK_CORE_CLOCK_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "mangoplank/core/types.h"

namespace mangoplank::core {

template <class T>
using awaitable = boost::asio::awaitable<T>;

/// Source of steady time and timers. Used from one thread.
class clock {
 public:
  using timer_id = std::uint64_t;
  virtual ~clock() = default;

  virtual time_point Now() const = 0;
  /// @return milliseconds since the Unix epoch.
  virtual wall_time_ms WallNow() const = 0;
  /// Calls `f` once, not before `at`.
  /// @return an id for Cancel, never 0.
  virtual timer_id CallAt(time_point at, std::function<void()> f) = 0;
  /// Cancels a timer; does nothing if it has fired.
  virtual void Cancel(timer_id id) = 0;

  /// @return a pointer that expires with the clock. Tasks that wait at the end
  /// of a process or test are destroyed with their io_context, after the clock.
  std::weak_ptr<const void> Alive() const { return alive_; }

 private:
  std::shared_ptr<const void> alive_ = std::make_shared<char>();
};

/// The clock of the operating system.
class system_clock : public clock {
 public:
  explicit system_clock(boost::asio::any_io_executor executor);
  ~system_clock() override;

  time_point Now() const override;
  wall_time_ms WallNow() const override;
  timer_id CallAt(time_point at, std::function<void()> f) override;
  void Cancel(timer_id id) override;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

/// A clock that advances only in AdvanceTo, for tests and the bench.
class fake_clock : public clock {
 public:
  time_point Now() const override { return now_; }
  wall_time_ms WallNow() const override;
  timer_id CallAt(time_point at, std::function<void()> f) override;
  void Cancel(timer_id id) override;

  /// @return the time of the next timer, or time_point::max() if none is set.
  time_point NextTimer() const;
  /// Advances to `t` and runs the timers that expire, in order of time.
  void AdvanceTo(time_point t);

 private:
  time_point now_{};
  timer_id next_id_ = 1;
  std::map<std::pair<time_point, timer_id>, std::function<void()>> timers_;
  std::map<timer_id, time_point> times_;
};

/// Lets tasks of one executor wait for a notification by another task, or for a
/// deadline. A task that checks its condition before it waits misses no
/// notification, as all tasks run on one thread.
class event {
 public:
  event(boost::asio::any_io_executor executor, clock& clock);
  event(const event&) = delete;
  event& operator=(const event&) = delete;
  /// Wakes all waiters with `true`.
  ~event();

  /// @return true if notified, false if `deadline` came first.
  awaitable<bool> WaitUntil(time_point deadline);
  /// Waits without a deadline.
  awaitable<void> Wait();
  /// Wakes all tasks that are waiting.
  void NotifyAll();

 private:
  struct waiter;
  boost::asio::any_io_executor executor_;
  clock& clock_;
  std::weak_ptr<const void> clock_alive_;
  std::vector<std::shared_ptr<waiter>> waiters_;
};

/// Suspends the task until `at`.
awaitable<void> SleepUntil(clock& clock, time_point at);
/// Suspends the task for `d`.
awaitable<void> SleepFor(clock& clock, duration d);

}  // namespace mangoplank::core

#endif  // MANGOPLANK_CORE_CLOCK_H_
