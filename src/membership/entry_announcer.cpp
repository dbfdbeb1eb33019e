#include "mangoplank/membership/entry_announcer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <tuple>

namespace mangoplank::membership {

namespace asio = boost::asio;
using core::awaitable;
using core::failure;
using core::outcome;

struct entry_announcer::impl : std::enable_shared_from_this<impl> {
  impl(asio::any_io_executor e, core::clock& c, sender s,
       core::milliseconds interval, std::size_t max)
      : executor(std::move(e)),
        clock(c),
        send(std::move(s)),
        batch_interval(interval),
        max_waiting(max) {}

  /// One announcement that waits for its reply.
  struct waiter {
    waiter(asio::any_io_executor e, core::clock& c)
        : replied(std::move(e), c) {}
    core::event replied;
    std::optional<control::announcement_reply> reply;
  };
  using key = std::tuple<core::worker_id, core::incarnation, std::uint64_t>;

  awaitable<void> SendSoon();

  asio::any_io_executor executor;
  core::clock& clock;
  sender send;
  core::milliseconds batch_interval;
  std::size_t max_waiting;
  control::announcement_batch batch;
  std::map<key, std::shared_ptr<waiter>> waiters;
};

awaitable<void> entry_announcer::impl::SendSoon() {
  const auto self = shared_from_this();
  co_await core::SleepFor(clock, batch_interval);
  send(std::exchange(batch, {}));
}

entry_announcer::entry_announcer(asio::any_io_executor executor,
                                 core::clock& clock, sender send,
                                 core::milliseconds batch_interval,
                                 std::size_t max_waiting)
    : impl_(std::make_shared<impl>(std::move(executor), clock, std::move(send),
                                   batch_interval, max_waiting)) {}

entry_announcer::~entry_announcer() = default;

awaitable<outcome<control::announcement_reply>> entry_announcer::Announce(
    control::announcement a, core::time_point deadline) {
  const auto i = impl_;
  if (i->waiters.size() >= i->max_waiting) {
    co_return failure(core::unavailable{"too many announcements wait"});
  }
  const impl::key key{a.worker.id, a.worker.incarnation, a.sequence};
  const auto w = std::make_shared<impl::waiter>(i->executor, i->clock);
  // A resend of the same announcement takes the place of the first one.
  i->waiters[key] = w;
  if (i->batch.announcements.empty()) {
    asio::co_spawn(i->executor, i->SendSoon(), asio::detached);
  }
  i->batch.announcements.push_back(std::move(a));
  if (!w->reply) co_await w->replied.WaitUntil(deadline);
  const auto it = i->waiters.find(key);
  if (it != i->waiters.end() && it->second == w) i->waiters.erase(it);
  if (!w->reply) co_return failure(core::unavailable{"no reply of a leader"});
  co_return std::move(*w->reply);
}

void entry_announcer::Replied(control::reply_batch batch) {
  for (control::announcement_reply& r : batch.replies) {
    const impl::key key{r.worker, r.incarnation, r.sequence};
    const auto it = impl_->waiters.find(key);
    if (it == impl_->waiters.end()) continue;
    it->second->reply = std::move(r);
    it->second->replied.NotifyAll();
  }
}

}  // namespace mangoplank::membership
