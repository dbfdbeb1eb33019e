#ifndef MANGOPLANK_SRC_DISPATCH_ORDER_TRIES_H_
#define MANGOPLANK_SRC_DISPATCH_ORDER_TRIES_H_

#include <array>
#include <memory>
#include <optional>
#include <span>
#include <utility>

#include "dispatch/hedge_budget.h"
#include "mangoplank/core/task.h"
#include "mangoplank/dispatch/ports.h"

/// Orders that are sent again while they have no answer.
namespace mangoplank::dispatch {

/// Time allowed for an answer beyond the wait of the order, for all tries.
inline constexpr core::milliseconds kOrderTimeout{800};
/// Time after which a start or stop may be sent a second time, directly: one
/// lost packet holds up all orders of a relay until it is sent again, which
/// takes longer than this.
inline constexpr core::milliseconds kHedgeDelay{75};
/// Times of the further tries, beyond the wait of the order. An answer usually
/// takes some 20 ms. With five tries a gang of 20 tasks mostly starts even if
/// half of the orders get no answer.
inline constexpr std::array kFurtherTries{
    core::milliseconds(150), core::milliseconds(300), core::milliseconds(450),
    core::milliseconds(600)};

/// Result of an order with several tries.
template <class Result>
struct tried_order {
  /// The first answer to any try; no_answer if none had one in time.
  Result result;
  /// Whether a try had no answer: it may be carried out later.
  bool may_arrive = false;

  friend bool operator==(const tried_order&, const tried_order&) = default;
};

/// The tries of one order. A worker that is slow may still answer an earlier
/// try while a later one is on its way, so that all of them stay open until the
/// first answer. A connection that fails ends the order: the worker may have
/// crashed, and its next incarnation must not get the order. A relay that fails
/// says nothing about the worker, so that the next try follows at once.
template <class Result>
class order_tries : public std::enable_shared_from_this<order_tries<Result>> {
 public:
  order_tries(boost::asio::any_io_executor executor, core::clock& clock,
              core::milliseconds wait)
      : executor_(executor),
        clock_(clock),
        wait_(wait),
        begin_(clock.Now()),
        deadline_(begin_ + wait + kOrderTimeout),
        changed_(std::move(executor), clock) {}

  /// @param send sends the order once: it is called with the time allowed for
  /// the answer and whether this is a further try.
  /// @param may_repeat whether a further try may be sent now.
  /// @param hedges allows the first further try to be sent after kHedgeDelay;
  /// null if it may not. Must outlive the tries.
  template <class Send, class MayRepeat>
  core::awaitable<tried_order<Result>> Run(Send send, MayRepeat may_repeat,
                                           hedge_budget* hedges = nullptr) {
    const auto self = this->shared_from_this();
    SendOnce(send, false);
    std::span<const core::milliseconds> further = kFurtherTries;
    if (hedges != nullptr) {
      hedges->NoteOrder();
      co_await WaitUntil(begin_ + wait_ + kHedgeDelay);
      const bool is_open = !answer_ && !failed_;
      // A lost relay does not take from the budget.
      const bool was_lost = std::exchange(relay_failed_, false);
      if (is_open && may_repeat() && (was_lost || hedges->Take())) {
        SendOnce(send, true);
        further = further.subspan(1);
      }
    }
    for (const core::milliseconds offset : further) {
      co_await WaitUntil(begin_ + wait_ + offset);
      if (answer_ || failed_) break;
      relay_failed_ = false;
      if (may_repeat()) SendOnce(send, true);
    }
    // A relay that fails now changes nothing: other tries are on their way.
    while (!answer_ && !failed_ && clock_.Now() < deadline_) {
      relay_failed_ = false;
      co_await WaitUntil(deadline_);
    }
    if (!answer_ && sent_ == 0)
      co_return tried_order<Result>{not_sent{}, false};
    if (!answer_) co_return tried_order<Result>{no_answer{}, true};
    co_return tried_order<Result>{std::move(*answer_), sent_ > answers_};
  }

  /// Waits for the answers to the tries that Run has left open.
  /// @return whether all tries have been answered: none can be carried out
  /// later.
  core::awaitable<bool> Settle() {
    const auto self = this->shared_from_this();
    while (sent_ > answers_ && clock_.Now() < deadline_) {
      co_await changed_.WaitUntil(deadline_);
    }
    co_return sent_ == answers_;
  }

 private:
  template <class Send>
  void SendOnce(const Send& send, bool is_repeated) {
    ++sent_;
    core::SpawnTask(executor_, Try(this->shared_from_this(), send, is_repeated),
                    "order");
  }

  template <class Send>
  static core::awaitable<void> Try(std::shared_ptr<order_tries> self, Send send,
                                   bool is_repeated) {
    const auto timeout = std::chrono::duration_cast<core::milliseconds>(
        self->deadline_ - self->clock_.Now());
    const core::time_point try_deadline = self->clock_.Now() + timeout;
    Result result = co_await send(timeout, is_repeated);
    if (std::holds_alternative<not_sent>(result)) {
      --self->sent_;
    } else if (std::holds_alternative<relay_lost>(result)) {
      self->relay_failed_ = true;
    } else if (!std::holds_alternative<no_answer>(result)) {
      ++self->answers_;
      if (!self->answer_) self->answer_ = std::move(result);
    } else if (self->clock_.Now() < try_deadline) {
      self->failed_ = true;
    }
    self->changed_.NotifyAll();
  }

  /// Returns earlier if the order has an answer or has failed, or should be
  /// tried again at once.
  core::awaitable<void> WaitUntil(core::time_point time) {
    while (!answer_ && !failed_ && !relay_failed_ && clock_.Now() < time) {
      co_await changed_.WaitUntil(time);
    }
  }

  const boost::asio::any_io_executor executor_;
  core::clock& clock_;
  const core::milliseconds wait_;
  const core::time_point begin_;
  const core::time_point deadline_;
  core::event changed_;
  std::optional<Result> answer_;
  bool failed_ = false;
  bool relay_failed_ = false;
  /// Tries that were sent, or are being sent.
  unsigned sent_ = 0;
  unsigned answers_ = 0;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_ORDER_TRIES_H_
