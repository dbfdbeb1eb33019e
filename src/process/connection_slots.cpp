#include "mangoplank/process/connection_slots.h"

#include <algorithm>
#include <numeric>

namespace mangoplank::process {

using core::awaitable;

namespace {

/// Part of the connections that polls leave to orders and checks.
constexpr std::size_t kPollDivisor = 4;
/// Wait of a poll while others have no connection.
constexpr core::milliseconds kContendedPollWait{300};

}  // namespace

struct connection_slots::waiter {
  waiter(const boost::asio::any_io_executor& executor, core::clock& clock)
      : granted(executor, clock) {}
  bool has_slot = false;
  core::event granted;
};

connection_slots::connection_slots(boost::asio::any_io_executor executor,
                                   core::clock& clock, std::size_t limit)
    : executor_(std::move(executor)), clock_(clock), limit_(limit) {}

std::size_t connection_slots::InUse() const {
  return std::accumulate(in_use_.begin(), in_use_.end(), std::size_t{0});
}

std::size_t connection_slots::MaxPolls() const {
  return limit_ - limit_ / kPollDivisor;
}

bool connection_slots::MayUse(connection_duty duty) const {
  if (InUse() >= limit_) return false;
  return duty != connection_duty::kPoll ||
         in_use_.at(static_cast<std::size_t>(duty)) < MaxPolls();
}

/// A permit is counted as used when it is granted, so that a task that comes
/// first can't take the slot of one that has waited.
awaitable<std::unique_ptr<connection_slots::permit>> connection_slots::Acquire(
    connection_duty duty, core::time_point deadline) {
  const bool is_first =
      waiting_.empty() || duty < waiting_.begin()->first.first;
  if (is_first && MayUse(duty)) {
    ++Count(duty);
    co_return std::make_unique<permit>(*this, duty);
  }
  const position own{duty, next_waiter_++};
  const auto added = std::make_shared<waiter>(executor_, clock_);
  waiting_.emplace(own, added);
  GrantWaiting();
  if (!added->has_slot) co_await added->granted.WaitUntil(deadline);
  if (!added->has_slot) {
    waiting_.erase(own);
    co_return nullptr;
  }
  co_return std::make_unique<permit>(*this, duty);
}

void connection_slots::Release(connection_duty duty) {
  --Count(duty);
  GrantWaiting();
}

void connection_slots::GrantWaiting() {
  auto it = waiting_.begin();
  while (it != waiting_.end() && InUse() < limit_) {
    const connection_duty duty = it->first.first;
    if (!MayUse(duty)) {
      // Others of this duty have to wait as well.
      it = waiting_.upper_bound({duty, UINT64_MAX});
      continue;
    }
    const auto granted = it->second;
    it = waiting_.erase(it);
    ++Count(duty);
    granted->has_slot = true;
    granted->granted.NotifyAll();
  }
}

void connection_slots::SetLimit(std::size_t limit) {
  limit_ = limit;
  GrantWaiting();
}

std::size_t connection_slots::MaxIdle() const {
  return limit_ - std::min(limit_, InUse());
}

core::milliseconds connection_slots::BoundPollWait(
    core::milliseconds wait) const {
  const bool is_contended =
      std::any_of(waiting_.begin(), waiting_.end(), [](const auto& entry) {
        return entry.first.first == connection_duty::kPoll;
      });
  return is_contended ? std::min(wait, kContendedPollWait) : wait;
}

connection_usage connection_slots::Usage() const {
  return {limit_, in_use_, waiting_.size()};
}

}  // namespace mangoplank::process
