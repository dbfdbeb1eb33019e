#include <spdlog/spdlog.h>

#include "dispatch/dispatcher_impl.h"

/// Orders to start and stop the runs of one worker.
namespace mangoplank::dispatch {

using core::awaitable;

awaitable<void> dispatcher::impl::StartRun(planned_run planned) {
  const auto self = shared_from_this();
  const auto monitor = planned.monitor;
  const workflow::job* const job =
      event_log.State().FindJob(planned.run.task.job);
  if (job == nullptr || !IsAssignedTo(planned.run, *monitor) ||
      monitor->removed) {
    co_return;
  }
  if (IsFinal(job->phase) || monitor->deregistered_at) {
    // Cancelled, or the worker has left, before any order was sent.
    co_await RecordRunEnd(planned.run, workflow::run_end::kNotStarted);
    co_return;
  }
  tracked_run* tracked = monitor->runs.Find(planned.run);
  if (tracked == nullptr) co_return;
  // The capacity may have shrunk since the round that planned the run.
  if (!monitor->worker.capacity.Holds(monitor->runs.Ordered() +
                                      tracked->need)) {
    spdlog::info("run_held_back run={} worker={}", Name(planned.run),
                 monitor->worker.key.id.v);
    co_await RecordRunEnd(planned.run, workflow::run_end::kNotStarted);
    co_return;
  }
  // The cap may have been lowered since that round. A later one plans the task
  // again once the tenant's other runs leave room for it.
  if (!IsWithinCap(*job)) {
    spdlog::info("run_held_by_cap run={} tenant={}", Name(planned.run),
                 job->tenant.name);
    co_await RecordRunEnd(planned.run, workflow::run_end::kNotStarted);
    co_return;
  }
  monitor->runs.SetOrdered(*tracked);
  start_order order{monitor->token,
                    planned.run,
                    job->spec.payload,
                    NextLeaseEndMs(*monitor).value_or(0),
                    {},
                    planned.ticket};
  order.checkpoint =
      job->tasks[*job->FindTaskIndex(planned.run.task)].checkpoint;
  const bool from_checkpoint = !order.checkpoint.empty();
  monitor->wakeup.NotifyAll();
  tracked->start_expires = monitor->lease_end;
  tracked->may_arrive = true;
  const auto [result, may_arrive] =
      co_await SendStart(monitor, std::move(order));
  if (stopped || monitor->removed) co_return;
  tracked = monitor->runs.Find(planned.run);
  if (tracked == nullptr) co_return;
  tracked->may_arrive = may_arrive;
  const auto* const done = std::get_if<order_done>(&result);
  if (done != nullptr && !IsClockOfOtherIncarnation(*monitor, done->clock_ms)) {
    UpdateClock(*monitor, done->clock_ms, reading_source::kAnswer);
    tracked->resolved_after_poll = monitor->polls_sent;
    tracked->started_at = clock.Now();
    tracked->is_whole = !may_arrive && !from_checkpoint;
    RecordStart(planned.run, *monitor);
    if (monitor->suspected_run) Spawn(PollAfterStart(monitor));
    co_return;
  }
  if (const auto* const refused = std::get_if<order_refused>(&result)) {
    spdlog::info("run_refused run={} worker={} why={}", Name(planned.run),
                 monitor->worker.key.id.v, Name(refused->reason));
    if (refused->reason == refusal::kOldRun) {
      // The worker had the run before; the next poll reports its state.
      tracked->resolved_after_poll = monitor->polls_sent;
      co_return;
    }
    if (refused->reason == refusal::kUnhealthy ||
        refused->reason == refusal::kNoCapacity) {
      NoteOrderFailure(*monitor);
    }
    // The worker may still carry out a try that it has not answered.
    if (!may_arrive) {
      co_await RecordRunEnd(planned.run, workflow::run_end::kNotStarted);
      co_return;
    }
  }
  if (std::holds_alternative<other_incarnation>(result)) {
    std::string reason = "another incarnation refused a start";
    co_await RemoveWorker(monitor, worker_loss::kAddressTaken,
                          std::move(reason));
    co_return;
  }
  if (std::holds_alternative<not_sent>(result)) {
    // No try left this process, so that the worker can't have the run.
    ++load.not_sent;
    spdlog::info("run_not_sent run={} worker={}", Name(planned.run),
                 monitor->worker.key.id.v);
    co_await RecordRunEnd(planned.run, workflow::run_end::kNotStarted);
    co_return;
  }
  stats.orders_unanswered.Add();
  ++load.starts_unconfirmed;
  spdlog::info("run_unconfirmed run={} worker={}", Name(planned.run),
               monitor->worker.key.id.v);
  NoteOrderFailure(*monitor);
  co_await ResolveStart(monitor, planned.run);
}

/// Leaves out a worker for a while that has refused or not answered an order,
/// or whose runs have ended with their lease.
void dispatcher::impl::NoteOrderFailure(worker_monitor& monitor) {
  monitor.backoff.NoteFailure(clock.Now());
}

/// Sends a start order, again under the same run number while it has no answer.
awaitable<tried_order<order_result>> dispatcher::impl::SendStart(
    std::shared_ptr<worker_monitor> monitor, start_order order) {
  const auto self = shared_from_this();
  const workflow::run_id run = order.run;
  const auto tries = std::make_shared<order_tries<order_result>>(
      executor, clock, core::milliseconds(0));
  // A payload may be large, and each try has a copy of `send`.
  const auto shared = std::make_shared<const start_order>(std::move(order));
  // A relay that loses the order would look like a crash of the worker.
  const tracked_run* const tracked = monitor->runs.Find(run);
  const bool is_direct = tracked != nullptr && tracked->worker_confirmed;
  const auto send = [self, monitor, shared, is_direct](
                        core::milliseconds timeout, bool is_repeated) {
    return self->workers.Start(
        self->TargetOf(*monitor, self->RouteOf(is_repeated || is_direct)),
        *shared, timeout);
  };
  const auto may_repeat = [this, &monitor, &run] {
    return MayRepeatStart(*monitor, run);
  };
  auto tried = co_await tries->Run(send, may_repeat, &hedges);
  if (tried.may_arrive) NoteOpenTries(monitor, tries, run);
  co_return tried;
}

/// @return whether a start without an answer may be sent again: the capacity or
/// the tenant's cap may have shrunk, or the run may have been stopped since.
bool dispatcher::impl::MayRepeatStart(const worker_monitor& monitor,
                                      const workflow::run_id& run) {
  if (stopped || monitor.removed || monitor.worker.draining ||
      monitor.deregistered_at) {
    return false;
  }
  const workflow::job* const job = event_log.State().FindJob(run.task.job);
  const auto tracked = monitor.runs.Runs().find(run);
  return tracked != monitor.runs.Runs().end() && !tracked->second.stopping &&
         IsAssignedTo(run, monitor) && job != nullptr && IsWithinCap(*job) &&
         monitor.worker.capacity.Holds(monitor.runs.Ordered());
}

void dispatcher::impl::RecordStart(const workflow::run_id& run,
                                   const worker_monitor& monitor) {
  spdlog::info("run_started run={} worker={} born={}", Name(run),
               monitor.worker.key.id.v, monitor.worker.key.incarnation);
  stats.starts.Add();
  ++load.starts;
  timeline.NoteStarted({run.task.job, run.task.occurrence, run.task.step},
                       clock.Now());
  NoteStarted(run.task.job);
  const workflow::job* const job = event_log.State().FindJob(run.task.job);
  const bool is_first = run.number == 1 && run.task.step == 0 &&
                        run.task.index == 0 && run.task.occurrence == 0;
  if (job == nullptr || !is_first || job->spec.repeat_count > 0) return;
  const auto waited = clock.WallNow() - job->accepted_at;
  stats.first_start.Add(static_cast<double>(waited) / 1000);
}

/// Polls to find out whether a start without an answer was carried out. If not,
/// stops the run, so that a late start is refused.
awaitable<void> dispatcher::impl::ResolveStart(
    std::shared_ptr<worker_monitor> monitor, workflow::run_id run) {
  co_await Poll(monitor, core::milliseconds(0));
  if (stopped || monitor->removed) co_return;
  const tracked_run* const tracked = monitor->runs.Find(run);
  if (tracked == nullptr || tracked->resolved_after_poll) co_return;
  co_await StopRun(monitor, run);
}

/// Sends a stop order, again while it has no answer.
awaitable<order_result> dispatcher::impl::SendStop(
    std::shared_ptr<worker_monitor> monitor, workflow::run_id run) {
  const auto self = shared_from_this();
  const auto tries = std::make_shared<order_tries<order_result>>(
      executor, clock, core::milliseconds(0));
  const auto send = [self, monitor, order = stop_order{monitor->token, run}](
                        core::milliseconds timeout, bool is_repeated) {
    return self->workers.Stop(
        self->TargetOf(*monitor, self->RouteOf(is_repeated)), order, timeout);
  };
  const auto may_repeat = [this, &monitor, &run] {
    return !stopped && !monitor->removed && monitor->runs.Contains(run);
  };
  auto tried = co_await tries->Run(send, may_repeat, &hedges);
  if (tried.may_arrive) NoteOpenTries(monitor, tries, std::nullopt);
  co_return std::move(tried.result);
}

/// Sends stop orders for a run until the worker confirms, then polls for the
/// end of the run.
awaitable<void> dispatcher::impl::StopRun(
    std::shared_ptr<worker_monitor> monitor, workflow::run_id run) {
  const auto self = shared_from_this();
  tracked_run* tracked = monitor->runs.Find(run);
  if (tracked == nullptr || tracked->stopping) co_return;
  monitor->runs.SetStopping(*tracked);
  while (!stopped && !monitor->removed && monitor->runs.Contains(run)) {
    const auto result = co_await SendStop(monitor, run);
    if (stopped || monitor->removed) co_return;
    if (std::holds_alternative<other_incarnation>(result)) {
      std::string reason = "another incarnation refused a stop";
      co_await RemoveWorker(monitor, worker_loss::kAddressTaken,
                            std::move(reason));
      co_return;
    }
    // After any other refusal the worker has not stopped the run: it would
    // still carry out a late start.
    const auto* const refused = std::get_if<order_refused>(&result);
    const bool is_old =
        refused != nullptr && refused->reason == refusal::kOldRun;
    if (std::holds_alternative<order_done>(result) || is_old) {
      tracked = monitor->runs.Find(run);
      if (tracked == nullptr) co_return;
      tracked->resolved_after_poll = monitor->polls_sent;
      monitor->wakeup.NotifyAll();
      co_await Poll(monitor, core::milliseconds(0));
      co_return;
    }
    co_await core::SleepFor(clock, kRetryPause);
  }
}

/// Records an end until that succeeds or a later event has ended the run.
awaitable<void> dispatcher::impl::RecordRunEnd(workflow::run_id run,
                                               workflow::run_end ending) {
  const auto self = shared_from_this();
  while (!stopped && event_log.State().IsAssigned(run)) {
    std::vector<workflow::event> events;
    events.emplace_back(workflow::run_ended{run, ending, {}});
    const auto recorded = co_await Record(std::move(events));
    if (recorded) co_return;
    spdlog::warn("end_not_recorded run={} error={}", Name(run),
                 core::Describe(recorded.error()));
    co_await core::SleepFor(clock, kRetryPause);
  }
}

/// Polls soon after a start that may crash the worker, so that other tasks need
/// not wait for the next report.
awaitable<void> dispatcher::impl::PollAfterStart(
    std::shared_ptr<worker_monitor> monitor) {
  const auto self = shared_from_this();
  co_await core::SleepFor(clock, kStartTime);
  if (stopped || monitor->removed) co_return;
  co_await Poll(monitor, core::milliseconds(0));
}

}  // namespace mangoplank::dispatch
