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

/// Time after its last heartbeat for which an entry is listed.
constexpr core::milliseconds kEntryRetention{60'000};

}  // namespace

awaitable<void> leader::impl::LeaseLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kLeaderTick);
    if (!IsLeaderWithLease()) continue;
    for (const cell::remove_worker& removal :
         leases.FindExpired(state_machine.State(), clock.Now())) {
      spdlog::warn("worker {} incarnation {}: lease ended", removal.id.v,
                   removal.incarnation);
      leases_expired.Add();
      cell::command c;
      c.body = removal;
      co_await state_machine.Propose(node, std::move(c));
    }
    const core::time_point now = clock.Now();
    std::erase_if(entries, [&](const auto& entry) {
      return entry.second.last_heard + kEntryRetention < now;
    });
  }
}

bool leader::impl::Admit(const announcement& received_announcement,
                         const std::shared_ptr<entry_sink>& sink,
                         core::time_point received) {
  const membership::admission admission =
      leases.Admit(state_machine.State(), received_announcement, received);
  announcement_reply refusal{
      .worker = received_announcement.worker.id,
      .incarnation = received_announcement.worker.incarnation,
      .sequence = received_announcement.sequence,
      .term = term};
  return std::visit(
      overloaded{[](const membership::admitted&) { return true; },
                 [&](const membership::needs_registration& needed) {
                   asio::co_spawn(executor,
                                  Register(received_announcement,
                                           needed.command, sink, received),
                                  asio::detached);
                   return false;
                 },
                 [&](const membership::superseded&) {
                   refusal.superseded = true;
                   sink->Post(reply_batch{{refusal}});
                   return false;
                 },
                 [](const membership::overtaken&) { return false; },
                 [&](const membership::lease_ended&) {
                   // The reply grants no lease.
                   sink->Post(reply_batch{{refusal}});
                   return false;
                 },
                 [&](const membership::name_in_use&) {
                   spdlog::warn("worker {}: name is in use by another VM",
                                received_announcement.worker.id.v);
                   sink->Post(reply_batch{{refusal}});
                   return false;
                 }},
      admission);
}

awaitable<void> leader::impl::Register(announcement received_announcement,
                                       cell::register_worker registration,
                                       std::shared_ptr<entry_sink> sink,
                                       core::time_point received) {
  const auto self = shared_from_this();
  cell::command c;
  c.body = std::move(registration);
  const auto answer = co_await state_machine.Propose(node, std::move(c));
  if (!answer) {
    spdlog::warn("worker {}: registration failed: {}",
                 received_announcement.worker.id.v,
                 core::Describe(answer.error()));
    co_return;
  }
  std::vector<announcement> admitted;
  admitted.push_back(std::move(received_announcement));
  co_await ProcessAdmitted(std::move(admitted), std::move(sink), received);
}

awaitable<void> leader::OnAnnouncements(announcement_batch batch,
                                        std::shared_ptr<entry_sink> sink) {
  const auto i = impl_;
  if (!i->IsLeaderWithLease()) co_return;
  const core::time_point received = i->clock.Now();
  std::vector<announcement> admitted;
  for (announcement& next : batch.announcements) {
    i->announcements_received.Add();
    if (i->Admit(next, sink, received)) admitted.push_back(std::move(next));
  }
  co_await i->ProcessAdmitted(std::move(admitted), std::move(sink), received);
}

awaitable<void> leader::impl::ProcessAdmitted(
    std::vector<announcement> admitted, std::shared_ptr<entry_sink> sink,
    core::time_point received) {
  const auto self = shared_from_this();
  const std::uint64_t started_epoch = epoch;
  cell::report_tasks command;
  for (const announcement& next : admitted) {
    for (auto& report : membership::NewReports(state_machine.State(), next)) {
      command.reports.push_back(std::move(report));
    }
    leases.Renew(next, received);
  }
  if (!command.reports.empty()) {
    cell::command c;
    c.body = std::move(command);
    const auto answer = co_await state_machine.Propose(node, std::move(c));
    // A reply acknowledges the reports, so it is sent only after their commit;
    // otherwise the workers resend them.
    if (!answer) co_return;
  }
  if (epoch != started_epoch || !IsLeaderWithLease()) co_return;
  for (announcement& next : admitted) {
    for (const task_state& task : next.tasks) {
      if (task.phase == cell::task_phase::kRunning) {
        scheduler->ObserveUsage(task.id, task.used, clock.Now());
      }
    }
    DeferReply(std::move(next), sink, received);
  }
  replies_available.NotifyAll();
}

void leader::impl::DeferReply(announcement received_announcement,
                              const std::shared_ptr<entry_sink>& sink,
                              core::time_point received) {
  const core::worker_id id = received_announcement.worker.id;
  const core::time_point deadline = received + settings.max_reply_delay;
  deferred_replies[id] = {std::move(received_announcement), sink, deadline};
  reply_deadlines.emplace(deadline, id);
  changed_workers.insert(id);
}

announcement_reply leader::impl::MakeReply(const announcement& answered) const {
  return {.worker = answered.worker.id,
          .incarnation = answered.worker.incarnation,
          .sequence = answered.sequence,
          .term = term,
          .lease = leases.Lease(),
          .orders = membership::OrdersFor(state_machine.State(), answered)};
}

awaitable<void> leader::impl::ReplyLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    std::map<std::shared_ptr<entry_sink>, reply_batch> batches;
    const core::time_point now = clock.Now();
    const auto reply = [&](const core::worker_id& id, bool even_if_empty) {
      const auto it = deferred_replies.find(id);
      if (it == deferred_replies.end()) return;
      announcement_reply message = MakeReply(it->second.announcement);
      if (message.orders.empty() && !even_if_empty) return;
      batches[it->second.sink].replies.push_back(std::move(message));
      deferred_replies.erase(it);
    };
    // Outside its lease a leader grants nothing, not even to overdue replies.
    if (IsLeaderWithLease()) {
      for (const core::worker_id& id : std::exchange(changed_workers, {})) {
        reply(id, false);
      }
      while (!reply_deadlines.empty() &&
             reply_deadlines.begin()->first <= now) {
        const core::worker_id id = reply_deadlines.begin()->second;
        reply_deadlines.erase(reply_deadlines.begin());
        const auto it = deferred_replies.find(id);
        if (it != deferred_replies.end() && it->second.reply_deadline <= now)
          reply(id, true);
      }
    }
    for (auto& [sink, batch] : batches) sink->Post(std::move(batch));
    batches.clear();
    const core::time_point tick = now + kLeaderTick;
    const core::time_point next =
        reply_deadlines.empty() || !IsLeaderWithLease()
            ? tick
            : std::min(tick, reply_deadlines.begin()->first);
    co_await replies_available.WaitUntil(next);
  }
}

}  // namespace mangoplank::control
