// Announcements of workers, their leases, and the replies that carry orders.
#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "leader_impl.h"

namespace mangoplank::control {

namespace asio = boost::asio;
using core::awaitable;
using core::overloaded;

namespace {

/// An entry that was not heard of for this long is not listed any more.
constexpr core::milliseconds kEntryForgottenAfter{60'000};

}  // namespace

awaitable<void> leader::impl::LeaseLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kLeaderTick);
    if (!Leads()) continue;
    for (const cell::remove_worker& w :
         leases.Expired(replicated.State(), clock.Now())) {
      spdlog::warn("worker {} incarnation {}: lease ended", w.id.v,
                   w.incarnation);
      expired.Add();
      cell::command c;
      c.body = w;
      co_await replicated.Propose(node, std::move(c));
    }
    const core::time_point now = clock.Now();
    std::erase_if(entries, [&](const auto& e) {
      return e.second.heard + kEntryForgottenAfter < now;
    });
  }
}

bool leader::impl::Admit(const announcement& a,
                         const std::shared_ptr<entry_sink>& sink,
                         core::time_point received) {
  const membership::admission verdict =
      leases.Admit(replicated.State(), a, received);
  announcement_reply refusal{.worker = a.worker.id,
                             .incarnation = a.worker.incarnation,
                             .sequence = a.sequence,
                             .term = term};
  return std::visit(
      overloaded{[](const membership::admitted&) { return true; },
                 [&](const membership::needs_registration& r) {
                   asio::co_spawn(executor,
                                  Register(a, r.command, sink, received),
                                  asio::detached);
                   return false;
                 },
                 [&](const membership::superseded&) {
                   refusal.superseded = true;
                   sink->Post(reply_batch{{refusal}});
                   return false;
                 },
                 [&](const membership::name_in_use&) {
                   spdlog::warn("worker {}: name is in use by another VM",
                                a.worker.id.v);
                   sink->Post(reply_batch{{refusal}});
                   return false;
                 }},
      verdict);
}

awaitable<void> leader::impl::Register(announcement a, cell::register_worker r,
                                       std::shared_ptr<entry_sink> sink,
                                       core::time_point received) {
  const auto self = shared_from_this();
  cell::command c;
  c.body = std::move(r);
  const auto answer = co_await replicated.Propose(node, std::move(c));
  if (!answer) {
    spdlog::warn("worker {}: {}", a.worker.id.v,
                 core::Describe(answer.error()));
    co_return;
  }
  std::vector<announcement> one;
  one.push_back(std::move(a));
  co_await Take(std::move(one), std::move(sink), received);
}

awaitable<void> leader::OnAnnouncements(announcement_batch batch,
                                        std::shared_ptr<entry_sink> sink) {
  const auto i = impl_;
  if (!i->Leads()) co_return;
  const core::time_point received = i->clock.Now();
  std::vector<announcement> admitted;
  for (announcement& a : batch.announcements) {
    i->announced.Add();
    if (i->Admit(a, sink, received)) admitted.push_back(std::move(a));
  }
  co_await i->Take(std::move(admitted), std::move(sink), received);
}

awaitable<void> leader::impl::Take(std::vector<announcement> admitted,
                                   std::shared_ptr<entry_sink> sink,
                                   core::time_point received) {
  const auto self = shared_from_this();
  const std::uint64_t started = epoch;
  cell::report_tasks command;
  for (const announcement& a : admitted) {
    for (auto& r : membership::NewReports(replicated.State(), a)) {
      command.reports.push_back(std::move(r));
    }
    leases.Renew(a, received);
  }
  if (!command.reports.empty()) {
    cell::command c;
    c.body = std::move(command);
    const auto answer = co_await replicated.Propose(node, std::move(c));
    // A reply acknowledges the reports, so without a commit there is none; the
    // workers send them again.
    if (!answer) co_return;
  }
  if (epoch != started || !Leads()) co_return;
  for (announcement& a : admitted) {
    for (const task_state& t : a.tasks) {
      if (t.phase == cell::task_phase::kRunning) {
        scheduler->ObserveUsage(t.id, t.used, clock.Now());
      }
    }
    HoldBack(std::move(a), sink, received);
  }
  replies.NotifyAll();
}

void leader::impl::HoldBack(announcement a,
                            const std::shared_ptr<entry_sink>& sink,
                            core::time_point received) {
  const core::worker_id id = a.worker.id;
  const core::time_point reply_by = received + settings.max_reply_delay;
  held[id] = {std::move(a), sink, reply_by};
  due.emplace(reply_by, id);
  touched.insert(id);
}

announcement_reply leader::impl::ReplyTo(const announcement& a) const {
  return {.worker = a.worker.id,
          .incarnation = a.worker.incarnation,
          .sequence = a.sequence,
          .term = term,
          .lease = leases.Lease(),
          .orders = membership::OrdersFor(replicated.State(), a)};
}

awaitable<void> leader::impl::ReplyLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    std::map<std::shared_ptr<entry_sink>, reply_batch> batches;
    const core::time_point now = clock.Now();
    const auto reply = [&](const core::worker_id& id, bool even_if_empty) {
      const auto it = held.find(id);
      if (it == held.end()) return;
      announcement_reply r = ReplyTo(it->second.a);
      if (r.orders.empty() && !even_if_empty) return;
      batches[it->second.sink].replies.push_back(std::move(r));
      held.erase(it);
    };
    // Outside its lease a leader grants nothing, not even what is overdue.
    if (Leads()) {
      for (const core::worker_id& id : std::exchange(touched, {})) {
        reply(id, false);
      }
      while (!due.empty() && due.begin()->first <= now) {
        const core::worker_id id = due.begin()->second;
        due.erase(due.begin());
        const auto it = held.find(id);
        if (it != held.end() && it->second.due <= now) reply(id, true);
      }
    }
    for (auto& [sink, batch] : batches) sink->Post(std::move(batch));
    batches.clear();
    const core::time_point tick = now + kLeaderTick;
    const core::time_point next =
        due.empty() || !Leads() ? tick : std::min(tick, due.begin()->first);
    co_await replies.WaitUntil(next);
  }
}

}  // namespace mangoplank::control
