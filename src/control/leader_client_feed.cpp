#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

#include "control/leader_client_impl.h"

/// Feeds of committed changes, served by one control process at a time.
namespace mangoplank::control {

namespace {

/// Limit of batches queued for a subscriber. Beyond it the subscription ends,
/// and a new one starts once the subscriber has read them.
constexpr std::size_t kMaxQueuedBatches = 256;
/// Time for which a process that was silent or behind is not used if another
/// can be reached.
constexpr core::milliseconds kAvoidTime{5000};

bool IsProgressMark(const feed_batch& batch) {
  return !batch.reset && batch.changes.empty();
}

/// Appends a part of a full copy; all parts but the last have `to` 0.
void AppendPart(feed_batch& copy, feed_batch part) {
  copy.to = part.to;
  copy.sent_at = part.sent_at;
  copy.changes.insert(copy.changes.end(),
                      std::make_move_iterator(part.changes.begin()),
                      std::make_move_iterator(part.changes.end()));
}

}  // namespace

std::optional<std::size_t> leader_client::impl::PickSource(
    const feed_state& feed) const {
  const bool is_avoiding = feed.avoided_source && Now() < feed.avoid_until;
  for (std::size_t i = 0; i < processes.size(); ++i) {
    if (IsUsable(i) && !(is_avoiding && feed.avoided_source == i)) return i;
  }
  if (is_avoiding && IsUsable(*feed.avoided_source)) return feed.avoided_source;
  return std::nullopt;
}

void leader_client::impl::Unsubscribe(feed_state& feed) {
  if (feed.source && IsUsable(*feed.source))
    Post(*feed.source, unsubscribe_request{feed.id});
  feed.source.reset();
  feed.partial_copy.reset();
}

void leader_client::impl::Subscribe(feed_state& feed) {
  Unsubscribe(feed);
  feed.source = PickSource(feed);
  if (!feed.source) return;
  // Batches of an earlier subscription carry another id and are ignored.
  feed.id = next_number++;
  feed.last_received = Now();
  Post(*feed.source, subscribe_request{feed.id, feed.topic, feed.department,
                                       feed.last_revision});
}

void leader_client::impl::AvoidSource(feed_state& feed) {
  feed.avoided_source = feed.source;
  feed.avoid_until = Now() + kAvoidTime;
  if (PickSource(feed) != feed.source) return Subscribe(feed);
  // There is no other process. The delay keeps this one from sending full
  // copies in a row.
  feed.subscribe_after = Now() + settings.feed_timeout;
  Unsubscribe(feed);
}

void leader_client::impl::OnFeedBatch(std::size_t index, feed_batch batch) {
  const auto it =
      std::find_if(feeds.begin(), feeds.end(), [&](const auto& feed) {
        return feed->source == index && feed->id == batch.feed;
      });
  if (it == feeds.end()) return;
  feed_state& feed = **it;
  feed.last_received = Now();
  if (!batch.reset && !feed.partial_copy)
    return Deliver(feed, std::move(batch));
  if (batch.reset) {
    feed.partial_copy = std::move(batch);
  } else {
    AppendPart(*feed.partial_copy, std::move(batch));
  }
  if (feed.partial_copy->to == 0) return;
  feed_batch whole = std::move(*feed.partial_copy);
  feed.partial_copy.reset();
  Deliver(feed, std::move(whole));
}

void leader_client::impl::Deliver(feed_state& feed, feed_batch batch) {
  if (batch.to < feed.last_revision) {
    // The revision in force must not decrease.
    spdlog::warn("{} is behind revision {}: it sent revision {}",
                 processes[*feed.source]->process.id.v, feed.last_revision,
                 batch.to);
    return AvoidSource(feed);
  }
  feed.last_revision = batch.to;
  if (IsProgressMark(batch) && !feed.inbox.empty()) {
    feed.inbox.back().to = batch.to;
    feed.inbox.back().sent_at = batch.sent_at;
  } else {
    feed.inbox.push_back(std::move(batch));
  }
  feed.batch_arrived.NotifyAll();
  if (feed.inbox.size() > kMaxQueuedBatches) {
    Unsubscribe(feed);
    return;
  }
  if (PickSource(feed) != feed.source) Subscribe(feed);
}

core::awaitable<core::outcome<feed_batch>> leader_client::impl::Next(
    self_ptr self, std::shared_ptr<feed_state> feed,
    core::time_point deadline) {
  const core::duration timeout = self->settings.feed_timeout;
  while (feed->inbox.empty()) {
    if (self->stopped) co_return core::failure(core::shutting_down{});
    const core::time_point now = self->Now();
    if (!feed->source && now >= feed->subscribe_after) self->Subscribe(*feed);
    if (now >= deadline) {
      co_return core::failure(
          core::unavailable{"no control process sends changes"});
    }
    const bool has_timed_out =
        feed->source && now >= feed->last_received + timeout;
    if (has_timed_out) self->AvoidSource(*feed);
    core::time_point until = feed->last_received + timeout;
    if (!feed->source) until = std::max(feed->subscribe_after, now + timeout);
    co_await feed->batch_arrived.WaitUntil(std::min(deadline, until));
  }
  feed_batch batch = std::move(feed->inbox.front());
  feed->inbox.pop_front();
  co_return batch;
}

namespace {

/// A feed that ends its subscription when it is destroyed.
class subscription : public feed {
 public:
  using next_batch = std::function<core::awaitable<core::outcome<feed_batch>>(
      core::time_point)>;
  subscription(next_batch next, std::function<void()> unsubscribe)
      : next_(std::move(next)), unsubscribe_(std::move(unsubscribe)) {}
  ~subscription() override { unsubscribe_(); }

  core::awaitable<core::outcome<feed_batch>> Next(
      core::time_point deadline) override {
    return next_(deadline);
  }

 private:
  next_batch next_;
  std::function<void()> unsubscribe_;
};

}  // namespace

std::unique_ptr<feed> leader_client::Subscribe(
    topic feed_topic, const core::department_id& department,
    core::revision from) {
  const auto self = impl_;
  const auto feed =
      std::make_shared<feed_state>(self->context.executor, self->context.clock);
  feed->topic = feed_topic;
  feed->department = department;
  feed->last_revision = from;
  feed->last_received = self->Now();
  self->feeds.push_back(feed);
  self->Subscribe(*feed);
  return std::make_unique<subscription>(
      [self, feed](core::time_point deadline) {
        return impl::Next(self, feed, deadline);
      },
      [self, feed] {
        self->Unsubscribe(*feed);
        std::erase(self->feeds, feed);
      });
}

}  // namespace mangoplank::control
