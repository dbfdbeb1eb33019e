#include <fmt/format.h>
#include <openssl/sha.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "calls/dispatcher_impl.h"

namespace mangoplank::calls {

namespace asio = boost::asio;
using cell::call_outcome;
using cell::ending;
using core::overloaded;

namespace {

constexpr core::duration kControlTimeout = std::chrono::seconds(2);
constexpr core::duration kQueryTimeout = std::chrono::milliseconds(500);
/// Timeout for recording the refusal of a call.
constexpr core::duration kRefusalRecordTimeout = std::chrono::milliseconds(500);
constexpr core::duration kMaxPollInterval = std::chrono::seconds(1);
/// Polls of the worker between two reads of the record, as another process
/// may have recorded the outcome.
constexpr int kPollsPerRecordRead = 4;

std::string Digest(const std::string& body) {
  unsigned char hash[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(body.data()), body.size(),
         hash);
  std::string hex;
  for (const unsigned char byte : hash) hex += fmt::format("{:02x}", byte);
  return hex;
}

call_end MakeUnknownEnd(const cell::call_key& key) {
  return {ending::kOutcomeUnknown, end_reason::kConnection, "", std::nullopt,
          key};
}

call_end EndOf(const call_outcome& outcome, const cell::call_key& key) {
  switch (outcome.ending) {
    case ending::kDone:
      return {outcome.ending, end_reason::kNone, outcome.body, std::nullopt,
              std::nullopt};
    case ending::kFailed:
      return {outcome.ending, end_reason::kWorkerError, outcome.body,
              std::nullopt, std::nullopt};
    case ending::kNotRun:
      return {outcome.ending, end_reason::kOverloaded, "",
              core::milliseconds(1000), std::nullopt};
    case ending::kOutcomeUnknown:
      return MakeUnknownEnd(key);
  }
  return MakeUnknownEnd(key);
}

/// @param is_first_request false if the worker may have got an earlier one.
/// @return the outcome of the call, if the worker's reply determines it.
std::optional<call_outcome> OutcomeOf(const worker_reply& reply,
                                      bool is_first_request) {
  using result = std::optional<call_outcome>;
  return std::visit(
      overloaded{[](const worker_done& done) {
                   return result(call_outcome{ending::kDone, done.body});
                 },
                 [](const worker_failed& failed) {
                   return result(call_outcome{ending::kFailed, failed.body});
                 },
                 [&](const worker_refused& refused) {
                   // A worker that restarted or lost its lease refuses a
                   // resend although the first request may have run.
                   const bool is_conclusive =
                       is_first_request ||
                       refused.reason == refusal::kCancelled;
                   return is_conclusive
                              ? result(call_outcome{ending::kNotRun, ""})
                              : result();
                 },
                 [](const worker_cancelled&) {
                   return result(call_outcome{ending::kNotRun, ""});
                 },
                 [&](const exchange_fault& fault) {
                   return is_first_request && !fault.sent
                              ? result(call_outcome{ending::kNotRun, ""})
                              : result();
                 },
                 [](const worker_running&) { return result(); },
                 [](const worker_unknown_id&) { return result(); }},
      reply);
}

/// @return whether the outcome of a record is final.
bool IsFinal(const cell::call_record& record) {
  return record.outcome && record.outcome->ending != ending::kOutcomeUnknown;
}

/// @return whether a retry of the same proposal may succeed.
bool IsTransient(const core::failure& failure) {
  return std::visit(
      overloaded{[](const core::not_leader&) { return true; },
                 [](const core::commit_unknown&) { return true; },
                 [](const core::unavailable&) { return true; },
                 [](const core::deadline_exceeded&) { return true; },
                 [](const core::connection_failed&) { return true; },
                 [](const auto&) { return false; }},
      failure);
}

worker_request BuildRequest(const cell::call_record& record,
                            request_kind kind) {
  worker_request request;
  request.kind = kind;
  request.id = CallIdOf(record.id);
  request.department = record.key.department;
  request.service = record.key.service;
  request.operation = record.operation_name;
  request.at_most_once = true;
  return request;
}

worker_request BuildRunRequest(const cell::call_record& record, const call& c) {
  worker_request request = BuildRequest(record, request_kind::kRun);
  request.body = c.body;
  request.deadline = c.deadline;
  return request;
}

}  // namespace

cell::call_key KeyOf(const call& c) {
  return {c.department, c.service, c.idempotency_key};
}

std::shared_ptr<dispatcher::impl::pending_call> dispatcher::impl::AddPending(
    const cell::call_key& key, std::string operation, std::string digest) {
  auto pending = std::make_shared<pending_call>(executor, clock);
  pending->operation = std::move(operation);
  pending->digest = std::move(digest);
  pending_calls[key] = pending;
  ++active_calls;
  return pending;
}

void dispatcher::impl::EndPending(const cell::call_key& key,
                                  const std::shared_ptr<pending_call>& pending,
                                  call_end end) {
  pending->end = std::move(end);
  pending_calls.erase(key);
  pending->ended.NotifyAll();
  if (--active_calls == 0) idle.NotifyAll();
}

core::awaitable<void> dispatcher::impl::WaitForPending(
    self_ptr self, std::shared_ptr<pending_call> pending,
    core::time_point deadline) {
  while (!pending->end && self->clock.Now() < deadline) {
    co_await pending->ended.WaitUntil(deadline);
  }
}

core::awaitable<call_end> dispatcher::impl::RunAtMostOnce(self_ptr self, call c,
                                                          bool bulk) {
  const cell::call_key key = KeyOf(c);
  const std::string digest = Digest(c.body);
  while (true) {
    const auto it = self->pending_calls.find(key);
    const bool joined = it != self->pending_calls.end();
    std::shared_ptr<pending_call> pending;
    if (joined) {
      pending = it->second;
      const bool same_call =
          pending->operation == c.operation && pending->digest == digest;
      if (!same_call && pending->key_bound)
        co_return self->MakeRefusal(end_reason::kKeyReused);
      if (!same_call) {
        // It is not known yet which of the two requests the key is bound to.
        co_await WaitForPending(self, pending, c.deadline);
        if (pending->end && self->clock.Now() < c.deadline) continue;
        co_return self->MakeRefusal(end_reason::kOverloaded);
      }
    } else {
      pending = self->AddPending(key, c.operation, digest);
      asio::co_spawn(self->executor, RunPending(self, pending, c, bulk),
                     asio::detached);
    }
    co_await WaitForPending(self, pending, c.deadline);
    if (!pending->end && !joined && !pending->intent_proposed) {
      pending->abandoned = true;
      co_return self->MakeRefusal(end_reason::kOverloaded);
    }
    if (!pending->end) co_return MakeUnknownEnd(key);
    // The joined call may have ended at the deadline of its own caller.
    const bool try_again = joined && pending->end->ending == ending::kNotRun &&
                           self->clock.Now() < c.deadline && !self->draining &&
                           !self->cut_off;
    if (!try_again) co_return *pending->end;
  }
}

core::awaitable<void> dispatcher::impl::RunPending(
    self_ptr self, std::shared_ptr<pending_call> pending, call c, bool bulk) {
  const cell::call_key key = KeyOf(c);
  std::set<worker_key> tried;
  for (int attempt = 0;; ++attempt) {
    const auto request = self->MakeSlotRequest(c, true, bulk);
    request->tried = tried;
    auto end = co_await TryIntent(self, pending, c, request);
    if (end) {
      if (pending->refused_intent_id != 0) {
        *end = co_await RecordNotRun(self, pending, c, std::move(*end));
      }
      self->EndPending(key, pending, std::move(*end));
      co_return;
    }
    if (request->assigned) {
      tried.insert({request->assigned->worker, request->assigned->incarnation});
    }
    co_await core::SleepFor(self->clock, self->ComputeBackoff(attempt));
  }
}

core::awaitable<std::optional<call_end>> dispatcher::impl::TryIntent(
    self_ptr self, std::shared_ptr<pending_call> pending, call c,
    std::shared_ptr<slot_request> request) {
  std::optional<slot> held_slot = co_await Acquire(self, request);
  if (!held_slot) co_return self->MakeRefusal(*request->refusal_reason);
  if (pending->abandoned || self->clock.Now() >= c.deadline) {
    co_return self->MakeRefusal(end_reason::kDeadline);
  }
  request->assigned = held_slot->Target();
  pending->intent_proposed = true;
  cell::record_intent intent;
  intent.key = KeyOf(c);
  intent.operation_name = c.operation;
  intent.digest = pending->digest;
  intent.entry = self->self_id;
  intent.entry_incarnation = self->incarnation;
  intent.worker = held_slot->Target().worker;
  intent.worker_incarnation = held_slot->Target().incarnation;
  intent.replaces = pending->refused_intent_id;
  bool is_new = false;
  const auto record =
      co_await RecordIntent(self, std::move(intent), c.deadline, &is_new);
  // The intent may still be committed, but only this entry may send the
  // call, and it does not.
  if (!record) co_return self->MakeRefusal(end_reason::kCutOff);
  pending->key_bound = is_new;
  if (!is_new) {
    held_slot.reset();
    co_return co_await FinishRecorded(self, pending, std::move(c), *record);
  }
  call_outcome outcome = co_await Send(self, *record, c, std::move(*held_slot));
  const bool try_another =
      outcome.ending == ending::kNotRun && self->clock.Now() < c.deadline;
  if (try_another) {
    // The call was not run. Its record has no outcome until another worker
    // runs it or not_run is recorded: a recorded outcome is final for its key.
    pending->refused_intent_id = record->id;
    co_return std::nullopt;
  }
  if (outcome.ending != ending::kOutcomeUnknown) {
    const core::time_point until = c.deadline + self->settings.resolve_timeout;
    outcome = co_await RecordOutcome(self, *record, outcome, until);
  }
  pending->refused_intent_id = 0;
  co_return EndOf(outcome, record->key);
}

core::awaitable<std::optional<call_end>> dispatcher::impl::FinishRecorded(
    self_ptr self, std::shared_ptr<pending_call> pending, call c,
    cell::call_record record) {
  const bool same_call =
      record.operation_name == c.operation && record.digest == pending->digest;
  if (!same_call) co_return self->MakeRefusal(end_reason::kKeyReused);
  pending->key_bound = true;
  if (IsFinal(record)) co_return EndOf(*record.outcome, record.key);
  call_outcome outcome =
      co_await PollOutcome(self, record, std::nullopt, c.deadline);
  if (outcome.ending != ending::kOutcomeUnknown) {
    const core::time_point until = c.deadline + self->settings.resolve_timeout;
    outcome = co_await RecordOutcome(self, record, outcome, until);
  }
  co_return EndOf(outcome, record.key);
}

core::awaitable<call_outcome> dispatcher::impl::Send(self_ptr self,
                                                     cell::call_record record,
                                                     call c, slot held_slot) {
  const core::time_point start = self->clock.Now();
  // The grant may have expired while the intent was recorded.
  if (!held_slot.IsCovered() || start >= c.deadline) {
    co_return call_outcome{ending::kNotRun, ""};
  }
  const worker_target target = held_slot.Target();
  const worker_request request = BuildRunRequest(record, c);
  // Half of the time is reserved for a resend on another connection, in case
  // this one no longer carries data.
  const core::time_point until = start + (c.deadline - start) / 2;
  const worker_reply reply = co_await Exchange(self, target, request, until);
  self->ObserveReply(target, request, reply, self->clock.Now() - start);
  const auto outcome = OutcomeOf(reply, true);
  if (outcome) co_return *outcome;
  co_return co_await PollOutcome(self, record, c, c.deadline);
}

core::awaitable<call_outcome> dispatcher::impl::PollOutcome(
    self_ptr self, cell::call_record record, std::optional<call> c,
    core::time_point deadline) {
  const core::time_point start = self->clock.Now();
  const core::time_point until =
      std::max(start, deadline) + self->settings.resolve_timeout;
  core::duration poll_interval = self->settings.poll_interval;
  for (int poll = 1; self->clock.Now() < until; ++poll) {
    const core::time_point now = self->clock.Now();
    const cell::worker_record* const worker =
        self->view.FindWorker(record.worker);
    const bool can_query =
        worker != nullptr && worker->incarnation == record.worker_incarnation;
    if (can_query) {
      const bool may_cancel =
          c.has_value() || now - start >= self->settings.cancel_after;
      const auto outcome = co_await QueryWorker(self, record, c, may_cancel);
      if (outcome) co_return *outcome;
    }
    if (!can_query || poll % kPollsPerRecordRead == 0) {
      const auto current =
          co_await ReadRecord(self, record.key, now + kControlTimeout);
      if (current && *current && (*current)->id == record.id &&
          IsFinal(**current)) {
        co_return *(*current)->outcome;
      }
    }
    co_await core::SleepFor(self->clock, poll_interval);
    poll_interval = std::min(kMaxPollInterval, poll_interval * 3 / 2);
  }
  co_return call_outcome{ending::kOutcomeUnknown, ""};
}

core::awaitable<std::optional<call_outcome>> dispatcher::impl::QueryWorker(
    self_ptr self, cell::call_record record, std::optional<call> c,
    bool may_cancel) {
  const cell::worker_record* const worker =
      self->view.FindWorker(record.worker);
  const worker_target target{record.worker, record.worker_incarnation,
                             worker->address};
  const core::time_point now = self->clock.Now();
  // A call must not be started after its deadline.
  if (c && now < c->deadline) {
    const worker_request run = BuildRunRequest(record, *c);
    const core::time_point until = now + (c->deadline - now) / 2;
    const worker_reply reply = co_await Exchange(self, target, run, until);
    const auto outcome = OutcomeOf(reply, false);
    if (outcome) co_return outcome;
    // Cancel a call only on a refusal: the worker answers and does not run it.
    if (!std::holds_alternative<worker_refused>(reply)) co_return std::nullopt;
  } else {
    const worker_request query = BuildRequest(record, request_kind::kQuery);
    const worker_reply reply =
        co_await Exchange(self, target, query, now + kQueryTimeout);
    const auto outcome = OutcomeOf(reply, false);
    if (outcome) co_return outcome;
    if (!std::holds_alternative<worker_unknown_id>(reply)) {
      co_return std::nullopt;
    }
  }
  if (!may_cancel) co_return std::nullopt;
  const worker_request cancel = BuildRequest(record, request_kind::kCancel);
  const worker_reply reply = co_await Exchange(
      self, target, cancel, self->clock.Now() + kQueryTimeout);
  co_return OutcomeOf(reply, false);
}

core::awaitable<core::outcome<cell::accepted>> dispatcher::impl::Propose(
    self_ptr self, cell::command_body body, core::time_point deadline) {
  control::propose_request propose;
  propose.command.request.v = "call:" + self->MakeRequestId();
  propose.command.body = std::move(body);
  const control::request request = std::move(propose);
  for (int attempt = 0;; ++attempt) {
    const core::time_point now = self->clock.Now();
    const core::time_point until = std::min(deadline, now + kControlTimeout);
    auto answer = co_await self->control.Request(request, until);
    if (answer) {
      auto* const accepted = std::get_if<cell::accepted>(&*answer);
      if (accepted != nullptr) co_return std::move(*accepted);
      co_return core::failure(core::unavailable{"unexpected answer"});
    }
    if (!IsTransient(answer.error())) co_return answer.error();
    // The request id makes a resend safe.
    const core::time_point retry_at =
        self->clock.Now() + self->ComputeBackoff(attempt);
    if (retry_at >= deadline) co_return answer.error();
    co_await core::SleepUntil(self->clock, retry_at);
  }
}

core::awaitable<std::optional<cell::call_record>>
dispatcher::impl::RecordIntent(self_ptr self, cell::record_intent intent,
                               core::time_point deadline, bool* is_new) {
  cell::command_body body = std::move(intent);
  const auto accepted = co_await Propose(self, std::move(body), deadline);
  if (!accepted || !accepted->call) co_return std::nullopt;
  // The id of an intent is the revision at which it was recorded.
  *is_new = accepted->call->id == accepted->revision;
  co_return accepted->call;
}

core::awaitable<call_outcome> dispatcher::impl::RecordOutcome(
    self_ptr self, cell::call_record record, call_outcome outcome,
    core::time_point deadline) {
  cell::command_body body =
      cell::record_outcome{record.key, record.id, outcome};
  const auto accepted = co_await Propose(self, std::move(body), deadline);
  // A record is replaced only after its call was found not to have run.
  const bool replaced =
      !accepted && std::holds_alternative<core::not_found>(accepted.error());
  if (replaced && outcome.ending == ending::kNotRun) co_return outcome;
  const bool has_outcome =
      accepted && accepted->call && accepted->call->outcome.has_value();
  if (!has_outcome) co_return call_outcome{ending::kOutcomeUnknown, ""};
  co_return *accepted->call->outcome;
}

core::awaitable<core::outcome<std::optional<cell::call_record>>>
dispatcher::impl::ReadRecord(self_ptr self, cell::call_key key,
                             core::time_point deadline) {
  const control::request request = control::call_request{std::move(key)};
  auto answer = co_await self->control.Request(request, deadline);
  if (!answer) co_return answer.error();
  auto* const found = std::get_if<control::call_answer>(&*answer);
  if (found != nullptr) co_return std::move(found->call);
  co_return core::failure(core::unavailable{"unexpected answer"});
}

core::awaitable<call_end> dispatcher::impl::RecordNotRun(
    self_ptr self, std::shared_ptr<pending_call> pending, call c,
    call_end end) {
  cell::call_record record;
  record.key = KeyOf(c);
  record.id = pending->refused_intent_id;
  const call_outcome not_run{ending::kNotRun, ""};
  const core::time_point until = c.deadline + self->settings.resolve_timeout;
  const call_outcome outcome =
      co_await RecordOutcome(self, record, not_run, until);
  if (outcome.ending == ending::kNotRun) co_return end;
  co_return EndOf(outcome, record.key);
}

core::awaitable<call_end> dispatcher::impl::ConfirmNotRun(self_ptr self, call c,
                                                          call_end end) {
  const bool is_caller_error = end.reason == end_reason::kKeyMissing ||
                               end.reason == end_reason::kKeyReused ||
                               end.reason == end_reason::kUnknownService ||
                               end.reason == end_reason::kUnknownOperation;
  if (end.ending != ending::kNotRun || is_caller_error) co_return end;
  const cell::call_key key = KeyOf(c);
  if (self->cut_off) co_return MakeUnknownEnd(key);
  cell::record_intent refused_intent;
  refused_intent.key = key;
  refused_intent.operation_name = c.operation;
  refused_intent.digest = Digest(c.body);
  refused_intent.entry = self->self_id;
  refused_intent.entry_incarnation = self->incarnation;
  refused_intent.refused = true;
  bool is_new = false;
  const core::time_point until = self->clock.Now() + kRefusalRecordTimeout;
  const auto record =
      co_await RecordIntent(self, std::move(refused_intent), until, &is_new);
  if (!record) co_return MakeUnknownEnd(key);
  if (is_new ||
      (record->outcome && record->outcome->ending == ending::kNotRun)) {
    co_return end;
  }
  if (record->digest != Digest(c.body)) {
    co_return self->MakeRefusal(end_reason::kKeyReused);
  }
  co_return record->outcome ? EndOf(*record->outcome, key)
                            : MakeUnknownEnd(key);
}

core::awaitable<void> dispatcher::impl::ResolvePending(
    self_ptr self, std::shared_ptr<pending_call> pending,
    cell::call_record record) {
  const core::time_point now = self->clock.Now();
  call_outcome outcome = co_await PollOutcome(self, record, std::nullopt, now);
  if (outcome.ending != ending::kOutcomeUnknown) {
    const core::time_point until = now + self->settings.resolve_timeout;
    outcome = co_await RecordOutcome(self, record, outcome, until);
  }
  self->EndPending(record.key, pending, EndOf(outcome, record.key));
}

core::awaitable<core::outcome<call_end>> dispatcher::impl::Resolve(
    self_ptr self, cell::call_key key, core::time_point deadline) {
  if (!self->pending_calls.contains(key)) {
    const auto record = co_await ReadRecord(self, key, deadline);
    if (!record) co_return record.error();
    if (!*record) {
      co_return core::failure(core::not_found{key.idempotency_key});
    }
    if (IsFinal(**record)) co_return EndOf(*(*record)->outcome, key);
    if (!self->pending_calls.contains(key)) {
      const auto pending =
          self->AddPending(key, (*record)->operation_name, (*record)->digest);
      pending->intent_proposed = true;
      pending->key_bound = true;
      asio::co_spawn(self->executor, ResolvePending(self, pending, **record),
                     asio::detached);
    }
  }
  const std::shared_ptr<pending_call> pending = self->pending_calls.at(key);
  co_await WaitForPending(self, pending, deadline);
  if (pending->end) co_return *pending->end;
  co_return MakeUnknownEnd(key);
}

}  // namespace mangoplank::calls
