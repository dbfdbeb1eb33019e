#include <algorithm>

#include "control/leader_client_impl.h"

/// Requests of an entry: finding the leader, resending, and the outcome of
/// changes without an answer.
namespace mangoplank::control {

/// Progress of one request, which may need several tries.
struct leader_client::impl::request_progress {
  core::time_point deadline;
  /// The request may change the state.
  bool may_change_state = false;
  /// It may be resent although an earlier try may have taken effect.
  bool resendable = true;
  /// A try may have taken effect: no answer ruled that out.
  bool outcome_unknown = false;
  /// The last failure that allows a retry.
  std::optional<core::failure> last_failure;
  /// Result of the last try; null if it was not sent.
  std::shared_ptr<pending_request> sent;
  std::optional<std::size_t> avoided_process;
  std::size_t next_process = 0;
  /// The last try followed a leader hint; the next one is delayed.
  bool followed_hint = false;
  bool delay_retry = false;
};

namespace {

/// Minimum time for a try after a failure: one that can't be answered before
/// the deadline would only make a known outcome unknown.
constexpr core::milliseconds kMinTryTime{20};

const propose_request* FindChange(const request& body) {
  const auto* const proposal = std::get_if<propose_request>(&body);
  return proposal == nullptr || proposal->dry_run ? nullptr : proposal;
}

core::milliseconds AtLeastOneMs(core::duration time_left) {
  return std::max(std::chrono::duration_cast<core::milliseconds>(time_left),
                  core::milliseconds{1});
}

core::failure DeadlineFailure(const std::optional<core::failure>& last_failure,
                              bool outcome_unknown) {
  if (outcome_unknown) return core::commit_unknown{};
  if (last_failure) return *last_failure;
  return core::unavailable{"no control process can be reached"};
}

}  // namespace

std::optional<std::size_t> leader_client::impl::PickTarget(
    request_progress& progress) const {
  if (leader && leader != progress.avoided_process && IsUsable(*leader))
    return leader;
  const std::size_t count = processes.size();
  for (std::size_t i = 0; i < count; ++i) {
    const std::size_t index = (progress.next_process + i) % count;
    if (index == progress.avoided_process || !IsUsable(index)) continue;
    progress.next_process = index + 1;
    return index;
  }
  const bool only_one =
      progress.avoided_process && IsUsable(*progress.avoided_process);
  return only_one ? progress.avoided_process : std::nullopt;
}

core::awaitable<void> leader_client::impl::TryOnce(std::size_t target,
                                                   const request& body,
                                                   request_progress& progress) {
  progress.sent.reset();
  const std::uint64_t number = next_number++;
  const message outgoing =
      numbered_request{number, AtLeastOneMs(progress.deadline - Now()), body};
  if (!Post(target, outgoing)) co_return;
  const auto wait =
      std::make_shared<pending_request>(context.executor, context.clock);
  progress.sent = wait;
  processes[target]->pending.emplace(number, wait);
  // A shorter time-out has no benefit for a change that can't be resent.
  const core::time_point until =
      progress.resendable
          ? std::min(progress.deadline, Now() + settings.attempt_timeout)
          : progress.deadline;
  co_await wait->done.WaitUntil(until);
  processes[target]->pending.erase(number);
  CloseIfDrained(target);
}

void leader_client::impl::ApplyLeaderHint(const core::not_leader& hint,
                                          std::size_t target,
                                          request_progress& progress) {
  if (leader == target) leader.reset();
  progress.avoided_process = target;
  progress.delay_retry = true;
  if (!hint.leader) return;
  for (std::size_t i = 0; i < processes.size(); ++i) {
    if (processes[i]->process.id != *hint.leader || i == target) continue;
    leader = i;
    // Two processes that name each other as the leader are not tried in turn
    // without a delay.
    progress.delay_retry = progress.followed_hint;
    progress.followed_hint = !progress.followed_hint;
  }
}

/// @return the result of the request, or no value for a retry.
std::optional<core::outcome<answer>> leader_client::impl::EvaluateFailure(
    std::size_t target, const core::failure& failure,
    request_progress& progress) {
  progress.last_failure = failure;
  if (const auto* const hint = std::get_if<core::not_leader>(&failure)) {
    ApplyLeaderHint(*hint, target, progress);
    return std::nullopt;
  }
  progress.delay_retry = true;
  if (std::holds_alternative<core::unavailable>(failure)) return std::nullopt;
  if (std::holds_alternative<core::shutting_down>(failure)) {
    progress.avoided_process = target;
    return std::nullopt;
  }
  if (std::holds_alternative<core::commit_unknown>(failure) &&
      progress.resendable) {
    progress.outcome_unknown = progress.may_change_state;
    return std::nullopt;
  }
  return core::outcome<answer>(failure);
}

std::optional<core::outcome<answer>> leader_client::impl::EvaluateTry(
    std::size_t target, request_progress& progress) {
  progress.delay_retry = false;
  if (!progress.sent) {
    progress.avoided_process = target;
    return std::nullopt;
  }
  if (progress.sent->answer) {
    if (*progress.sent->answer) return *progress.sent->answer;
    return EvaluateFailure(target, progress.sent->answer->error(), progress);
  }
  if (leader == target) leader.reset();
  progress.avoided_process = target;
  progress.outcome_unknown = progress.may_change_state;
  if (progress.resendable) return std::nullopt;
  return core::outcome<answer>(core::failure(core::commit_unknown{}));
}

core::awaitable<core::outcome<answer>> leader_client::impl::Request(
    self_ptr self, request body, core::time_point deadline) {
  const propose_request* const change = FindChange(body);
  request_progress progress{.deadline = deadline};
  progress.may_change_state = change != nullptr;
  progress.resendable = change == nullptr || !change->command.request.v.empty();
  while (!self->stopped && self->Now() < deadline) {
    if (progress.last_failure && deadline - self->Now() < kMinTryTime) break;
    const std::optional<std::size_t> target = self->PickTarget(progress);
    if (!target) {
      co_await self->connections_changed.WaitUntil(deadline);
      continue;
    }
    co_await self->TryOnce(*target, body, progress);
    auto result = self->EvaluateTry(*target, progress);
    if (result) co_return std::move(*result);
    if (progress.delay_retry && !self->stopped) {
      const core::time_point next =
          self->Now() + self->Jitter(self->settings.retry_delay);
      co_await self->stop_requested.WaitUntil(std::min(next, deadline));
    }
  }
  if (self->stopped && !progress.outcome_unknown)
    co_return core::failure(core::shutting_down{});
  co_return DeadlineFailure(progress.last_failure, progress.outcome_unknown);
}

}  // namespace mangoplank::control
