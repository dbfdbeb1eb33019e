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

constexpr core::duration kAskControl = std::chrono::seconds(2);
constexpr core::duration kAskWorker = std::chrono::milliseconds(500);
/// Longest wait for the record of a call that is to be refused.
constexpr core::duration kConfirm = std::chrono::milliseconds(500);
constexpr core::duration kLongestPoll = std::chrono::seconds(1);
/// The record is read again after each so many questions to the worker, as
/// another process may have recorded the outcome.
constexpr int kRoundsPerRead = 4;

std::string Digest(const std::string& body) {
  unsigned char hash[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(body.data()), body.size(),
         hash);
  std::string hex;
  for (const unsigned char byte : hash) hex += fmt::format("{:02x}", byte);
  return hex;
}

call_end Unknown(const cell::call_key& key) {
  return {ending::kOutcomeUnknown, end_reason::kConnection, "", std::nullopt,
          key};
}

call_end EndOf(const call_outcome& o, const cell::call_key& key) {
  switch (o.ending) {
    case ending::kDone:
      return {o.ending, end_reason::kNone, o.body, std::nullopt, std::nullopt};
    case ending::kFailed:
      return {o.ending, end_reason::kWorkerError, o.body, std::nullopt,
              std::nullopt};
    case ending::kNotRun:
      return {o.ending, end_reason::kOverloaded, "", core::milliseconds(1000),
              std::nullopt};
    case ending::kOutcomeUnknown:
      return Unknown(key);
  }
  return Unknown(key);
}

/// What a worker's word on a call says of its outcome.
/// @param first whether no earlier request of this id may have reached it.
std::optional<call_outcome> OutcomeOf(const worker_reply& reply, bool first) {
  using result = std::optional<call_outcome>;
  return std::visit(
      overloaded{[](const worker_done& d) {
                   return result(call_outcome{ending::kDone, d.body});
                 },
                 [](const worker_failed& f) {
                   return result(call_outcome{ending::kFailed, f.body});
                 },
                 [&](const worker_refused& r) {
                   // A worker that restarted or lost its lease refuses a
                   // repeated request although the first one may have run.
                   const bool certain = first || r.why == refusal::kGivenUp;
                   return certain ? result(call_outcome{ending::kNotRun, ""})
                                  : result();
                 },
                 [](const worker_gave_up&) {
                   return result(call_outcome{ending::kNotRun, ""});
                 },
                 [&](const exchange_fault& f) {
                   return first && !f.sent
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

/// @return whether the same proposal may succeed later.
bool IsTransient(const core::failure& f) {
  return std::visit(
      overloaded{[](const core::not_leader&) { return true; },
                 [](const core::commit_unknown&) { return true; },
                 [](const core::unavailable&) { return true; },
                 [](const core::deadline_exceeded&) { return true; },
                 [](const core::connection_failed&) { return true; },
                 [](const auto&) { return false; }},
      f);
}

worker_request RequestFor(const cell::call_record& record, request_kind k) {
  worker_request request;
  request.k = k;
  request.id = CallIdOf(record.id);
  request.department = record.key.department;
  request.service = record.key.service;
  request.operation = record.operation_name;
  request.once = true;
  return request;
}

worker_request RunRequest(const cell::call_record& record, const call& c) {
  worker_request request = RequestFor(record, request_kind::kRun);
  request.body = c.body;
  request.deadline = c.deadline;
  return request;
}

}  // namespace

cell::call_key KeyOf(const call& c) {
  return {c.department, c.service, c.idempotency_key};
}

std::shared_ptr<dispatcher::impl::flight> dispatcher::impl::TakeOff(
    const cell::call_key& key, std::string operation, std::string digest) {
  auto f = std::make_shared<flight>(executor, clock);
  f->operation = std::move(operation);
  f->digest = std::move(digest);
  flights[key] = f;
  ++active;
  return f;
}

void dispatcher::impl::Land(const cell::call_key& key,
                            const std::shared_ptr<flight>& f, call_end end) {
  f->end = std::move(end);
  flights.erase(key);
  f->ended.NotifyAll();
  if (--active == 0) idle.NotifyAll();
}

core::awaitable<void> dispatcher::impl::WaitForFlight(
    self_ptr self, std::shared_ptr<flight> f, core::time_point deadline) {
  while (!f->end && self->clock.Now() < deadline) {
    co_await f->ended.WaitUntil(deadline);
  }
}

core::awaitable<call_end> dispatcher::impl::RunOnce(self_ptr self, call c,
                                                    bool bulk) {
  const cell::call_key key = KeyOf(c);
  const std::string digest = Digest(c.body);
  while (true) {
    const auto it = self->flights.find(key);
    const bool joined = it != self->flights.end();
    std::shared_ptr<flight> f;
    if (joined) {
      f = it->second;
      const bool same = f->operation == c.operation && f->digest == digest;
      if (!same && f->bound) co_return self->Refusal(end_reason::kKeyReused);
      if (!same) {
        // Which of the two bodies the key belongs to is not known yet.
        co_await WaitForFlight(self, f, c.deadline);
        if (f->end && self->clock.Now() < c.deadline) continue;
        co_return self->Refusal(end_reason::kOverloaded);
      }
    } else {
      f = self->TakeOff(key, c.operation, digest);
      asio::co_spawn(self->executor, Fly(self, f, c, bulk), asio::detached);
    }
    co_await WaitForFlight(self, f, c.deadline);
    if (!f->end && !joined && !f->intended) {
      f->abandoned = true;
      co_return self->Refusal(end_reason::kOverloaded);
    }
    if (!f->end) co_return Unknown(key);
    // The flight may have ended at its own caller's deadline.
    const bool try_again = joined && f->end->e == ending::kNotRun &&
                           self->clock.Now() < c.deadline && !self->draining &&
                           !self->cut_off;
    if (!try_again) co_return *f->end;
  }
}

core::awaitable<void> dispatcher::impl::Fly(self_ptr self,
                                            std::shared_ptr<flight> f, call c,
                                            bool bulk) {
  const cell::call_key key = KeyOf(c);
  std::set<worker_key> tried;
  for (int tries = 0;; ++tries) {
    const auto wish = self->Wish(c, true, bulk);
    wish->tried = tried;
    auto end = co_await TryOnce(self, f, c, wish);
    if (end) {
      if (f->refused_id != 0) {
        *end = co_await GiveUp(self, f, c, std::move(*end));
      }
      self->Land(key, f, std::move(*end));
      co_return;
    }
    if (wish->given) {
      tried.insert({wish->given->worker, wish->given->incarnation});
    }
    co_await core::SleepFor(self->clock, self->Backoff(tries));
  }
}

core::awaitable<std::optional<call_end>> dispatcher::impl::TryOnce(
    self_ptr self, std::shared_ptr<flight> f, call c,
    std::shared_ptr<slot_wish> wish) {
  std::optional<slot> s = co_await Acquire(self, wish);
  if (!s) co_return self->Refusal(*wish->refused);
  if (f->abandoned || self->clock.Now() >= c.deadline) {
    co_return self->Refusal(end_reason::kDeadline);
  }
  wish->given = s->Target();
  f->intended = true;
  cell::record_intent intent;
  intent.key = KeyOf(c);
  intent.operation_name = c.operation;
  intent.digest = f->digest;
  intent.entry = self->self_id;
  intent.entry_incarnation = self->incarnation;
  intent.worker = s->Target().worker;
  intent.worker_incarnation = s->Target().incarnation;
  intent.replaces = f->refused_id;
  bool is_new = false;
  const auto record =
      co_await RecordIntent(self, std::move(intent), c.deadline, &is_new);
  // The intent may yet be committed, but only this entry may send the call,
  // and it will not.
  if (!record) co_return self->Refusal(end_reason::kCutOff);
  f->bound = is_new;
  if (!is_new) {
    s.reset();
    co_return co_await MeetRecord(self, f, std::move(c), *record);
  }
  call_outcome outcome = co_await Send(self, *record, c, std::move(*s));
  const bool again =
      outcome.ending == ending::kNotRun && self->clock.Now() < c.deadline;
  if (again) {
    // The record stays open until another worker has it or the call is given
    // up: an outcome, once recorded, is final for its key.
    f->refused_id = record->id;
    co_return std::nullopt;
  }
  if (outcome.ending != ending::kOutcomeUnknown) {
    const core::time_point until = c.deadline + self->settings.once_follow;
    outcome = co_await RecordOutcome(self, *record, outcome, until);
  }
  f->refused_id = 0;
  co_return EndOf(outcome, record->key);
}

core::awaitable<std::optional<call_end>> dispatcher::impl::MeetRecord(
    self_ptr self, std::shared_ptr<flight> f, call c,
    cell::call_record record) {
  const bool same =
      record.operation_name == c.operation && record.digest == f->digest;
  if (!same) co_return self->Refusal(end_reason::kKeyReused);
  f->bound = true;
  if (IsFinal(record)) co_return EndOf(*record.outcome, record.key);
  call_outcome outcome =
      co_await Pursue(self, record, std::nullopt, c.deadline);
  if (outcome.ending != ending::kOutcomeUnknown) {
    const core::time_point until = c.deadline + self->settings.once_follow;
    outcome = co_await RecordOutcome(self, record, outcome, until);
  }
  co_return EndOf(outcome, record.key);
}

core::awaitable<call_outcome> dispatcher::impl::Send(self_ptr self,
                                                     cell::call_record record,
                                                     call c, slot s) {
  const core::time_point start = self->clock.Now();
  // The grant may have ended while the intent was recorded.
  if (!s.IsCovered() || start >= c.deadline) {
    co_return call_outcome{ending::kNotRun, ""};
  }
  const worker_target target = s.Target();
  const worker_request request = RunRequest(record, c);
  // Half of the time is left for a second request on another connection, in
  // case this one no longer carries data.
  const core::time_point until = start + (c.deadline - start) / 2;
  const worker_reply reply = co_await Exchange(self, target, request, until);
  self->Note(target, request, reply, self->clock.Now() - start);
  const auto outcome = OutcomeOf(reply, true);
  if (outcome) co_return *outcome;
  co_return co_await Pursue(self, record, c, c.deadline);
}

core::awaitable<call_outcome> dispatcher::impl::Pursue(
    self_ptr self, cell::call_record record, std::optional<call> c,
    core::time_point deadline) {
  const core::time_point start = self->clock.Now();
  const core::time_point until =
      std::max(start, deadline) + self->settings.once_follow;
  core::duration pause = self->settings.poll_interval;
  for (int round = 1; self->clock.Now() < until; ++round) {
    const core::time_point now = self->clock.Now();
    const cell::worker_record* const w = self->view.FindWorker(record.worker);
    const bool can_ask =
        w != nullptr && w->incarnation == record.worker_incarnation;
    if (can_ask) {
      const bool may_give_up =
          c.has_value() || now - start >= self->settings.give_up_after;
      const auto outcome = co_await AskWorker(self, record, c, may_give_up);
      if (outcome) co_return *outcome;
    }
    if (!can_ask || round % kRoundsPerRead == 0) {
      const auto known =
          co_await ReadRecord(self, record.key, now + kAskControl);
      if (known && *known && (*known)->id == record.id && IsFinal(**known)) {
        co_return *(*known)->outcome;
      }
    }
    co_await core::SleepFor(self->clock, pause);
    pause = std::min(kLongestPoll, pause * 3 / 2);
  }
  co_return call_outcome{ending::kOutcomeUnknown, ""};
}

core::awaitable<std::optional<call_outcome>> dispatcher::impl::AskWorker(
    self_ptr self, cell::call_record record, std::optional<call> c,
    bool may_give_up) {
  const cell::worker_record* const w = self->view.FindWorker(record.worker);
  const worker_target target{record.worker, record.worker_incarnation,
                             w->address};
  const core::time_point now = self->clock.Now();
  // After its deadline a call must not be started any more.
  if (c && now < c->deadline) {
    const worker_request run = RunRequest(record, *c);
    const core::time_point until = now + (c->deadline - now) / 2;
    const worker_reply reply = co_await Exchange(self, target, run, until);
    const auto outcome = OutcomeOf(reply, false);
    if (outcome) co_return outcome;
    // Only a refusal says that the worker answers and does not run the call.
    if (!std::holds_alternative<worker_refused>(reply)) co_return std::nullopt;
  } else {
    const worker_request ask = RequestFor(record, request_kind::kAsk);
    const worker_reply reply =
        co_await Exchange(self, target, ask, now + kAskWorker);
    const auto outcome = OutcomeOf(reply, false);
    if (outcome) co_return outcome;
    if (!std::holds_alternative<worker_unknown_id>(reply)) {
      co_return std::nullopt;
    }
  }
  if (!may_give_up) co_return std::nullopt;
  const worker_request give_up = RequestFor(record, request_kind::kGiveUp);
  const worker_reply reply =
      co_await Exchange(self, target, give_up, self->clock.Now() + kAskWorker);
  co_return OutcomeOf(reply, false);
}

core::awaitable<core::outcome<cell::accepted>> dispatcher::impl::Propose(
    self_ptr self, cell::command_body body, core::time_point deadline) {
  control::propose_request propose;
  propose.command.request.v = "call:" + self->NextId();
  propose.command.body = std::move(body);
  const control::request request = std::move(propose);
  for (int tries = 0;; ++tries) {
    const core::time_point now = self->clock.Now();
    const core::time_point until = std::min(deadline, now + kAskControl);
    auto answer = co_await self->control.Request(request, until);
    if (answer) {
      auto* const accepted = std::get_if<cell::accepted>(&*answer);
      if (accepted != nullptr) co_return std::move(*accepted);
      co_return core::failure(core::unavailable{"unexpected answer"});
    }
    if (!IsTransient(answer.error())) co_return answer.error();
    // The request id makes a resend safe.
    const core::time_point at = self->clock.Now() + self->Backoff(tries);
    if (at >= deadline) co_return answer.error();
    co_await core::SleepUntil(self->clock, at);
  }
}

core::awaitable<std::optional<cell::call_record>>
dispatcher::impl::RecordIntent(self_ptr self, cell::record_intent intent,
                               core::time_point deadline, bool* is_new) {
  cell::command_body body = std::move(intent);
  const auto accepted = co_await Propose(self, std::move(body), deadline);
  if (!accepted || !accepted->call) co_return std::nullopt;
  // An intent's id is the revision at which it was recorded.
  *is_new = accepted->call->id == accepted->revision;
  co_return accepted->call;
}

core::awaitable<call_outcome> dispatcher::impl::RecordOutcome(
    self_ptr self, cell::call_record record, call_outcome outcome,
    core::time_point deadline) {
  cell::command_body body =
      cell::record_outcome{record.key, record.id, outcome};
  const auto accepted = co_await Propose(self, std::move(body), deadline);
  // Only a record that ended as not_run is replaced by another.
  const bool replaced =
      !accepted && std::holds_alternative<core::not_found>(accepted.error());
  if (replaced && outcome.ending == ending::kNotRun) co_return outcome;
  const bool stands =
      accepted && accepted->call && accepted->call->outcome.has_value();
  if (!stands) co_return call_outcome{ending::kOutcomeUnknown, ""};
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

core::awaitable<call_end> dispatcher::impl::GiveUp(self_ptr self,
                                                   std::shared_ptr<flight> f,
                                                   call c, call_end end) {
  cell::call_record record;
  record.key = KeyOf(c);
  record.id = f->refused_id;
  const call_outcome not_run{ending::kNotRun, ""};
  const core::time_point until = c.deadline + self->settings.once_follow;
  const call_outcome outcome =
      co_await RecordOutcome(self, record, not_run, until);
  if (outcome.ending == ending::kNotRun) co_return end;
  co_return EndOf(outcome, record.key);
}

core::awaitable<call_end> dispatcher::impl::ConfirmNotRun(self_ptr self, call c,
                                                          call_end end) {
  const bool callers_error = end.why == end_reason::kKeyMissing ||
                             end.why == end_reason::kKeyReused ||
                             end.why == end_reason::kUnknownService ||
                             end.why == end_reason::kUnknownOperation;
  if (end.e != ending::kNotRun || callers_error) co_return end;
  const cell::call_key key = KeyOf(c);
  if (self->cut_off) co_return Unknown(key);
  cell::record_intent refusal;
  refusal.key = key;
  refusal.operation_name = c.operation;
  refusal.digest = Digest(c.body);
  refusal.entry = self->self_id;
  refusal.entry_incarnation = self->incarnation;
  refusal.refused = true;
  bool is_new = false;
  const core::time_point until = self->clock.Now() + kConfirm;
  const auto record =
      co_await RecordIntent(self, std::move(refusal), until, &is_new);
  if (!record) co_return Unknown(key);
  if (is_new ||
      (record->outcome && record->outcome->ending == ending::kNotRun)) {
    co_return end;
  }
  if (record->digest != Digest(c.body)) {
    co_return self->Refusal(end_reason::kKeyReused);
  }
  co_return record->outcome ? EndOf(*record->outcome, key) : Unknown(key);
}

core::awaitable<void> dispatcher::impl::FlyResolve(self_ptr self,
                                                   std::shared_ptr<flight> f,
                                                   cell::call_record record) {
  const core::time_point now = self->clock.Now();
  call_outcome outcome = co_await Pursue(self, record, std::nullopt, now);
  if (outcome.ending != ending::kOutcomeUnknown) {
    const core::time_point until = now + self->settings.once_follow;
    outcome = co_await RecordOutcome(self, record, outcome, until);
  }
  self->Land(record.key, f, EndOf(outcome, record.key));
}

core::awaitable<core::outcome<call_end>> dispatcher::impl::Resolve(
    self_ptr self, cell::call_key key, core::time_point deadline) {
  if (!self->flights.contains(key)) {
    const auto record = co_await ReadRecord(self, key, deadline);
    if (!record) co_return record.error();
    if (!*record) {
      co_return core::failure(core::not_found{key.idempotency_key});
    }
    if (IsFinal(**record)) co_return EndOf(*(*record)->outcome, key);
    if (!self->flights.contains(key)) {
      const auto f =
          self->TakeOff(key, (*record)->operation_name, (*record)->digest);
      f->intended = true;
      f->bound = true;
      asio::co_spawn(self->executor, FlyResolve(self, f, **record),
                     asio::detached);
    }
  }
  const std::shared_ptr<flight> f = self->flights.at(key);
  co_await WaitForFlight(self, f, deadline);
  if (f->end) co_return *f->end;
  co_return Unknown(key);
}

}  // namespace mangoplank::calls
