#include <algorithm>

#include "control/leader_client_impl.h"

/// Requests of an entry: finding the leader, resending, and the truth about
/// changes without an answer.
namespace mangoplank::control {

/// One request on its way through the control processes.
struct leader_client::impl::attempt {
  core::time_point deadline;
  /// The request may change the state.
  bool changes = false;
  /// It may be sent again although an earlier sending may have had effect.
  bool resendable = true;
  /// Sent at least once without an answer that says it had no effect.
  bool open = false;
  /// The last failure that is no reason to give up.
  std::optional<core::failure> last;
  /// Result of the last try; null if it was not sent.
  std::shared_ptr<pending_request> sent;
  std::optional<std::size_t> avoid;
  std::size_t next = 0;
  /// The last try followed a hint; the next one pauses.
  bool hinted = false;
  bool pause = false;
};

namespace {

/// A try after a refusal needs this time: one that can't be answered before the
/// deadline only leaves open what was known.
constexpr core::milliseconds kLeastTry{20};

const propose_request* Change(const request& r) {
  const auto* const p = std::get_if<propose_request>(&r);
  return p == nullptr || p->dry_run ? nullptr : p;
}

core::milliseconds Left(core::duration d) {
  return std::max(std::chrono::duration_cast<core::milliseconds>(d),
                  core::milliseconds{1});
}

core::failure Expired(const std::optional<core::failure>& last, bool open) {
  if (open) return core::commit_unknown{};
  if (last) return *last;
  return core::unavailable{"no control process can be reached"};
}

}  // namespace

std::optional<std::size_t> leader_client::impl::Pick(attempt& a) const {
  if (leader && leader != a.avoid && Usable(*leader)) return leader;
  const std::size_t n = processes.size();
  for (std::size_t i = 0; i < n; ++i) {
    const std::size_t index = (a.next + i) % n;
    if (index == a.avoid || !Usable(index)) continue;
    a.next = index + 1;
    return index;
  }
  const bool only_one = a.avoid && Usable(*a.avoid);
  return only_one ? a.avoid : std::nullopt;
}

core::awaitable<void> leader_client::impl::Try(std::size_t target,
                                               const request& r, attempt& a) {
  a.sent.reset();
  const std::uint64_t number = next_number++;
  const message m = numbered_request{number, Left(a.deadline - Now()), r};
  if (!Post(target, m)) co_return;
  const auto wait =
      std::make_shared<pending_request>(context.executor, context.clock);
  a.sent = wait;
  processes[target]->pending.emplace(number, wait);
  // A change that can't be resent gains nothing from giving up earlier.
  const core::time_point until =
      a.resendable ? std::min(a.deadline, Now() + settings.attempt_timeout)
                   : a.deadline;
  co_await wait->done.WaitUntil(until);
  processes[target]->pending.erase(number);
  CloseIfLeft(target);
}

void leader_client::impl::TakeHint(const core::not_leader& f,
                                   std::size_t target, attempt& a) {
  if (leader == target) leader.reset();
  a.avoid = target;
  a.pause = true;
  if (!f.leader) return;
  for (std::size_t i = 0; i < processes.size(); ++i) {
    if (processes[i]->who.id != *f.leader || i == target) continue;
    leader = i;
    // Two processes that name each other are not asked in turn without a
    // pause.
    a.pause = a.hinted;
    a.hinted = !a.hinted;
  }
}

/// @return the end of the request, or no value to try again.
std::optional<core::outcome<answer>> leader_client::impl::JudgeFailure(
    std::size_t target, const core::failure& f, attempt& a) {
  a.last = f;
  if (const auto* const n = std::get_if<core::not_leader>(&f)) {
    TakeHint(*n, target, a);
    return std::nullopt;
  }
  a.pause = true;
  if (std::holds_alternative<core::unavailable>(f)) return std::nullopt;
  if (std::holds_alternative<core::shutting_down>(f)) {
    a.avoid = target;
    return std::nullopt;
  }
  if (std::holds_alternative<core::commit_unknown>(f) && a.resendable) {
    a.open = a.changes;
    return std::nullopt;
  }
  return core::outcome<answer>(f);
}

std::optional<core::outcome<answer>> leader_client::impl::Judge(
    std::size_t target, attempt& a) {
  a.pause = false;
  if (!a.sent) {
    a.avoid = target;
    return std::nullopt;
  }
  if (a.sent->a) {
    if (*a.sent->a) return *a.sent->a;
    return JudgeFailure(target, a.sent->a->error(), a);
  }
  if (leader == target) leader.reset();
  a.avoid = target;
  a.open = a.changes;
  if (a.resendable) return std::nullopt;
  return core::outcome<answer>(core::failure(core::commit_unknown{}));
}

core::awaitable<core::outcome<answer>> leader_client::impl::Request(
    self_ptr self, request r, core::time_point deadline) {
  const propose_request* const change = Change(r);
  attempt a{.deadline = deadline};
  a.changes = change != nullptr;
  a.resendable = change == nullptr || !change->command.request.v.empty();
  while (!self->stopped && self->Now() < deadline) {
    if (a.last && deadline - self->Now() < kLeastTry) break;
    const std::optional<std::size_t> target = self->Pick(a);
    if (!target) {
      co_await self->changed.WaitUntil(deadline);
      continue;
    }
    co_await self->Try(*target, r, a);
    auto end = self->Judge(*target, a);
    if (end) co_return std::move(*end);
    if (a.pause && !self->stopped) {
      const core::time_point next =
          self->Now() + self->Jitter(self->settings.retry_pause);
      co_await self->stop.WaitUntil(std::min(next, deadline));
    }
  }
  if (self->stopped && !a.open) co_return core::failure(core::shutting_down{});
  co_return Expired(a.last, a.open);
}

}  // namespace mangoplank::control
