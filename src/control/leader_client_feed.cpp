#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>

#include "control/leader_client_impl.h"

/// Feeds of committed changes, taken from one control process at a time.
namespace mangoplank::control {

namespace {

/// Batches that wait for a follower. Beyond it the subscription ends, and a
/// new one starts once the follower has taken them.
constexpr std::size_t kMaxWaitingBatches = 256;
/// Time for which a process that was silent or behind is not used if another
/// can be reached.
constexpr core::milliseconds kAvoidFor{5000};

bool IsMark(const feed_batch& b) { return !b.reset && b.changes.empty(); }

/// Joins the parts of a full copy: all but the last have `to` 0.
void Join(feed_batch& copy, feed_batch part) {
  copy.to = part.to;
  copy.sent_at = part.sent_at;
  copy.changes.insert(copy.changes.end(),
                      std::make_move_iterator(part.changes.begin()),
                      std::make_move_iterator(part.changes.end()));
}

}  // namespace

std::optional<std::size_t> leader_client::impl::BestSource(
    const feed_state& f) const {
  const bool avoiding = f.avoid && Now() < f.avoid_until;
  for (std::size_t i = 0; i < processes.size(); ++i) {
    if (Usable(i) && !(avoiding && f.avoid == i)) return i;
  }
  if (avoiding && Usable(*f.avoid)) return f.avoid;
  return std::nullopt;
}

void leader_client::impl::Unsubscribe(feed_state& f) {
  if (f.source && Usable(*f.source)) Post(*f.source, unsubscribe_request{f.id});
  f.source.reset();
  f.copy.reset();
}

void leader_client::impl::Subscribe(feed_state& f) {
  Unsubscribe(f);
  f.source = BestSource(f);
  if (!f.source) return;
  // Batches of an earlier subscription carry another number and are ignored.
  f.id = next_number++;
  f.heard = Now();
  Post(*f.source, subscribe_request{f.id, f.t, f.department, f.last});
}

void leader_client::impl::Avoid(feed_state& f) {
  f.avoid = f.source;
  f.avoid_until = Now() + kAvoidFor;
  if (BestSource(f) != f.source) return Subscribe(f);
  // There is no other process. A pause keeps it from sending one full copy
  // after another.
  f.not_before = Now() + settings.feed_timeout;
  Unsubscribe(f);
}

void leader_client::impl::Received(std::size_t index, feed_batch batch) {
  const auto it = std::find_if(feeds.begin(), feeds.end(), [&](const auto& f) {
    return f->source == index && f->id == batch.feed;
  });
  if (it == feeds.end()) return;
  feed_state& f = **it;
  f.heard = Now();
  if (!batch.reset && !f.copy) return Deliver(f, std::move(batch));
  if (batch.reset) {
    f.copy = std::move(batch);
  } else {
    Join(*f.copy, std::move(batch));
  }
  if (f.copy->to == 0) return;
  feed_batch whole = std::move(*f.copy);
  f.copy.reset();
  Deliver(f, std::move(whole));
}

void leader_client::impl::Deliver(feed_state& f, feed_batch batch) {
  if (batch.to < f.last) {
    // What is in force must not go back to an earlier revision.
    spdlog::warn("{} is behind revision {}: it sent {}",
                 processes[*f.source]->who.id.v, f.last, batch.to);
    return Avoid(f);
  }
  f.last = batch.to;
  if (IsMark(batch) && !f.inbox.empty()) {
    f.inbox.back().to = batch.to;
    f.inbox.back().sent_at = batch.sent_at;
  } else {
    f.inbox.push_back(std::move(batch));
  }
  f.arrived.NotifyAll();
  if (f.inbox.size() > kMaxWaitingBatches) {
    Unsubscribe(f);
    return;
  }
  if (BestSource(f) != f.source) Subscribe(f);
}

core::awaitable<core::outcome<feed_batch>> leader_client::impl::Next(
    self_ptr self, std::shared_ptr<feed_state> f, core::time_point deadline) {
  const core::duration silence = self->settings.feed_timeout;
  while (f->inbox.empty()) {
    if (self->stopped) co_return core::failure(core::shutting_down{});
    const core::time_point now = self->Now();
    if (!f->source && now >= f->not_before) self->Subscribe(*f);
    if (now >= deadline) {
      co_return core::failure(
          core::unavailable{"no control process sends changes"});
    }
    const bool silent = f->source && now >= f->heard + silence;
    if (silent) self->Avoid(*f);
    core::time_point until = f->heard + silence;
    if (!f->source) until = std::max(f->not_before, now + silence);
    co_await f->arrived.WaitUntil(std::min(deadline, until));
  }
  feed_batch batch = std::move(f->inbox.front());
  f->inbox.pop_front();
  co_return batch;
}

namespace {

/// Ends its subscription when it is destroyed.
class subscription : public feed {
 public:
  using next_batch = std::function<core::awaitable<core::outcome<feed_batch>>(
      core::time_point)>;
  subscription(next_batch next, std::function<void()> end)
      : next_(std::move(next)), end_(std::move(end)) {}
  ~subscription() override { end_(); }

  core::awaitable<core::outcome<feed_batch>> Next(
      core::time_point deadline) override {
    return next_(deadline);
  }

 private:
  next_batch next_;
  std::function<void()> end_;
};

}  // namespace

std::unique_ptr<feed> leader_client::Subscribe(
    topic t, const core::department_id& department, core::revision from) {
  const auto self = impl_;
  const auto f =
      std::make_shared<feed_state>(self->context.executor, self->context.clock);
  f->t = t;
  f->department = department;
  f->last = from;
  f->heard = self->Now();
  self->feeds.push_back(f);
  self->Subscribe(*f);
  return std::make_unique<subscription>(
      [self, f](core::time_point deadline) {
        return impl::Next(self, f, deadline);
      },
      [self, f] {
        self->Unsubscribe(*f);
        std::erase(self->feeds, f);
      });
}

}  // namespace mangoplank::control
