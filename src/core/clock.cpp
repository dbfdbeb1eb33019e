#include "mangoplank/core/clock.h"

#include <time.h>

#include <algorithm>
#include <boost/asio/any_completion_handler.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <unordered_map>
#include <utility>

namespace mangoplank::core {

namespace asio = boost::asio;

namespace {

/// Longest wait of one timer; longer than any wait in use.
constexpr std::chrono::hours kLongestTimer{24 * 365};

}  // namespace

struct system_clock::impl {
  explicit impl(asio::any_io_executor io_executor)
      : executor(std::move(io_executor)) {}

  asio::any_io_executor executor;
  timer_id next_id = 1;
  std::unordered_map<timer_id, std::unique_ptr<asio::steady_timer>> timers;
};

system_clock::system_clock(asio::any_io_executor executor)
    : impl_(std::make_shared<impl>(std::move(executor))) {}

system_clock::~system_clock() { impl_->timers.clear(); }

time_point system_clock::Now() const {
  timespec t{};
  clock_gettime(CLOCK_BOOTTIME, &t);
  return time_point(std::chrono::seconds(t.tv_sec) +
                    std::chrono::nanoseconds(t.tv_nsec));
}

wall_time_ms system_clock::WallNow() const {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(since_epoch).count();
}

clock::timer_id system_clock::CallAt(time_point at, std::function<void()> f) {
  const timer_id id = impl_->next_id++;
  const duration wait = std::min<duration>(at - Now(), kLongestTimer);
  auto timer = std::make_unique<asio::steady_timer>(impl_->executor, wait);
  timer->async_wait([weak = std::weak_ptr(impl_), id,
                     f = std::move(f)](boost::system::error_code ec) {
    const auto self = weak.lock();
    // A timer that was cancelled after it expired still completes without an
    // error, so its entry in `timers` decides.
    if (ec || !self || self->timers.erase(id) == 0) return;
    f();
  });
  impl_->timers.emplace(id, std::move(timer));
  return id;
}

void system_clock::Cancel(timer_id id) { impl_->timers.erase(id); }

wall_time_ms fake_clock::WallNow() const {
  return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch())
      .count();
}

clock::timer_id fake_clock::CallAt(time_point at, std::function<void()> f) {
  const timer_id id = next_id_++;
  timers_.emplace(std::pair(at, id), std::move(f));
  times_.emplace(id, at);
  return id;
}

void fake_clock::Cancel(timer_id id) {
  const auto it = times_.find(id);
  if (it == times_.end()) return;
  timers_.erase({it->second, id});
  times_.erase(it);
}

time_point fake_clock::NextTimer() const {
  return timers_.empty() ? time_point::max() : timers_.begin()->first.first;
}

void fake_clock::AdvanceTo(time_point t) {
  while (!timers_.empty() && timers_.begin()->first.first <= t) {
    auto node = timers_.extract(timers_.begin());
    times_.erase(node.key().second);
    now_ = std::max(now_, node.key().first);
    node.mapped()();
  }
  now_ = std::max(now_, t);
}

struct event::waiter {
  // The move assignment of a handler recurses endlessly in Boost 1.81, so the
  // handler is only constructed.
  explicit waiter(asio::any_completion_handler<void(bool)> completion)
      : handler(std::move(completion)) {}

  asio::any_completion_handler<void(bool)> handler;
  clock::timer_id timer = 0;
};

event::event(asio::any_io_executor executor, clock& clock)
    : executor_(std::move(executor)),
      clock_(clock),
      clock_alive_(clock.Alive()) {}

event::~event() { NotifyAll(); }

namespace {

void Complete(const asio::any_io_executor& executor,
              asio::any_completion_handler<void(bool)> handler, bool notified) {
  asio::post(executor, [h = std::move(handler), notified]() mutable {
    std::move(h)(notified);
  });
}

}  // namespace

awaitable<bool> event::WaitUntil(time_point deadline) {
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>,
                                          void(bool)>(
      [this, deadline](auto handler) {
        auto w = std::make_shared<waiter>(std::move(handler));
        if (deadline != time_point::max()) {
          w->timer = clock_.CallAt(deadline, [this, w] {
            std::erase(waiters_, w);
            Complete(executor_, std::move(w->handler), false);
          });
        }
        waiters_.push_back(std::move(w));
      },
      asio::use_awaitable);
}

awaitable<void> event::Wait() { co_await WaitUntil(time_point::max()); }

void event::NotifyAll() {
  const auto woken = std::exchange(waiters_, {});
  for (const auto& w : woken) {
    if (w->timer != 0 && !clock_alive_.expired()) clock_.Cancel(w->timer);
    Complete(executor_, std::move(w->handler), true);
  }
}

awaitable<void> SleepUntil(clock& clock, time_point at) {
  const auto executor = co_await asio::this_coro::executor;
  event never(executor, clock);
  co_await never.WaitUntil(at);
}

awaitable<void> SleepFor(clock& clock, duration d) {
  co_await SleepUntil(clock, clock.Now() + d);
}

}  // namespace mangoplank::core
