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
  impl(asio::any_io_executor init_executor, core::clock& init_clock,
       sender init_send, core::milliseconds init_interval,
       std::size_t init_max_pending)
      : executor(std::move(init_executor)),
        clock(init_clock),
        send(std::move(init_send)),
        batch_interval(init_interval),
        max_pending(init_max_pending) {}

  /// An announcement that waits for its reply.
  struct pending_announcement {
    pending_announcement(asio::any_io_executor executor, core::clock& clock)
        : replied(std::move(executor), clock) {}
    core::event replied;
    std::optional<control::announcement_reply> reply;
  };
  using key = std::tuple<core::worker_id, core::incarnation, std::uint64_t>;

  awaitable<void> SendBatchAfterInterval();

  asio::any_io_executor executor;
  core::clock& clock;
  sender send;
  core::milliseconds batch_interval;
  std::size_t max_pending;
  control::announcement_batch batch;
  std::map<key, std::shared_ptr<pending_announcement>> pending;
};

awaitable<void> entry_announcer::impl::SendBatchAfterInterval() {
  const auto self = shared_from_this();
  co_await core::SleepFor(clock, batch_interval);
  send(std::exchange(batch, {}));
}

entry_announcer::entry_announcer(asio::any_io_executor executor,
                                 core::clock& clock, sender send,
                                 core::milliseconds batch_interval,
                                 std::size_t max_pending)
    : impl_(std::make_shared<impl>(std::move(executor), clock, std::move(send),
                                   batch_interval, max_pending)) {}

entry_announcer::~entry_announcer() = default;

awaitable<outcome<control::announcement_reply>> entry_announcer::Announce(
    control::announcement announcement, core::time_point deadline) {
  const auto self = impl_;
  if (self->pending.size() >= self->max_pending) {
    co_return failure(
        core::unavailable{"too many announcements are waiting for a reply"});
  }
  const impl::key key{announcement.worker.id, announcement.worker.incarnation,
                      announcement.sequence};
  const auto waiting =
      std::make_shared<impl::pending_announcement>(self->executor, self->clock);
  // A resend of the same announcement replaces the first one.
  self->pending[key] = waiting;
  if (self->batch.announcements.empty()) {
    asio::co_spawn(self->executor, self->SendBatchAfterInterval(),
                   asio::detached);
  }
  self->batch.announcements.push_back(std::move(announcement));
  if (!waiting->reply) co_await waiting->replied.WaitUntil(deadline);
  const auto it = self->pending.find(key);
  if (it != self->pending.end() && it->second == waiting) {
    self->pending.erase(it);
  }
  if (!waiting->reply) {
    co_return failure(core::unavailable{"no reply from a leader"});
  }
  co_return std::move(*waiting->reply);
}

void entry_announcer::OnReplies(control::reply_batch batch) {
  for (control::announcement_reply& reply : batch.replies) {
    const impl::key key{reply.worker, reply.incarnation, reply.sequence};
    const auto it = impl_->pending.find(key);
    if (it == impl_->pending.end()) continue;
    it->second->reply = std::move(reply);
    it->second->replied.NotifyAll();
  }
}

}  // namespace mangoplank::membership
