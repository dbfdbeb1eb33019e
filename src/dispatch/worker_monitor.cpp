#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "dispatch/dispatcher_impl.h"

/// Polls of one worker, its lease and its reports.
namespace mangoplank::dispatch {

using core::awaitable;
using core::overloaded;

namespace {

/// Longest wait of a poll: short enough to renew the lease several times.
constexpr core::milliseconds kPollWait{2'000};
/// Wait of a poll while answers of the worker are lost: a lost answer to a poll
/// hides the ends of runs for as long as the poll waits.
constexpr core::milliseconds kShortPollWait{300};
/// Time since the last order without an answer for which polls wait less.
constexpr core::milliseconds kLossMemory{10'000};
/// Delay before the ends of a worker without runs are acknowledged, unless
/// another poll is due first.
constexpr core::milliseconds kAckDelay{200};
/// Time allowed for an answer while a report waits for it, which must itself be
/// answered within a second.
constexpr core::milliseconds kConfirmationTimeout{400};
/// Longest time from the reading of a worker's clock to its receipt in an
/// answer.
constexpr core::milliseconds kMaxReadingAge = kPollWait + kOrderTimeout;
/// Allowed difference of two readings of one clock in addition to its drift.
constexpr core::milliseconds kClockSlack{2'000};
/// Longest delay of a reading that is told from a longer one.
constexpr core::milliseconds kMaxDelay{60'000};
/// Maximum number of ends in one report; a full list may be incomplete.
constexpr std::size_t kMaxListedEnds = 500;

/// A run that has started and is missing may have ended in any way. Its task
/// starts again, as its job would otherwise never end.
/// @return how a run ends that its worker does not list.
workflow::run_end EndingOfMissing(const tracked_run& tracked) {
  if (tracked.loss) return *tracked.loss;
  return tracked.started_at ? workflow::run_end::kEndUnread
                            : workflow::run_end::kNotStarted;
}

/// @return the need of a run's step; zero if its job is not known.
core::resources NeedOfRun(const workflow::state& state,
                          const workflow::run_id& run) {
  const workflow::job* const job = state.FindJob(run.task.job);
  if (job == nullptr || run.task.step >= job->spec.steps.size()) return {};
  return NeedOf(job->spec.steps[run.task.step]);
}

}  // namespace

worker_target dispatcher::impl::TargetOf(const worker_monitor& monitor,
                                         order_route route) const {
  return {monitor.worker.key, monitor.worker.address, monitor.worker.zone,
          route};
}

/// A relay adds a hop, which pays in a cell with many workers. A further try
/// takes the other way, as the relay may be what has failed.
order_route dispatcher::impl::RouteOf(bool is_repeated) const {
  const bool is_relayed =
      !is_repeated && monitors.size() >= settings.min_relayed_workers;
  return is_relayed ? order_route::kRelayed : order_route::kDirect;
}

/// @return whether the reading comes from another incarnation, whose clock was
/// reset.
bool dispatcher::impl::IsClockOfOtherIncarnation(const worker_monitor& monitor,
                                                 std::int64_t clock_ms) const {
  if (!monitor.clock_ms) return false;
  const auto elapsed = std::chrono::duration_cast<core::milliseconds>(
      clock.Now() - monitor.clock_read_at);
  const core::milliseconds slack = kClockSlack + elapsed / 10;
  return clock_ms < *monitor.clock_ms + (elapsed - slack).count();
}

void dispatcher::impl::UpdateClock(worker_monitor& monitor,
                                   std::int64_t clock_ms,
                                   reading_source source) {
  const core::time_point now = clock.Now();
  const core::time_point sent_at = SentAt(monitor, clock_ms);
  // A delayed report must not set the clock back. An answer is delayed by less
  // than its time-out; one further behind shows that the known reading was not
  // the worker's.
  const bool is_correction =
      source == reading_source::kAnswer &&
      (!monitor.answered_clock_ms || sent_at < now - kMaxReadingAge);
  monitor.last_heard = now;
  monitor.last_alive =
      std::max(monitor.last_alive, is_correction ? now : sent_at);
  if (source == reading_source::kAnswer) {
    monitor.answered_clock_ms = clock_ms;
    monitor.answered_at = now;
    monitor.clock_in_doubt = false;
  }
  if (sent_at < now && !is_correction) return;
  monitor.clock_ms = clock_ms;
  monitor.clock_read_at = now;
}

/// @return the time at which a reading of the worker's clock was sent, by the
/// known clock; the present time if that is not known.
core::time_point dispatcher::impl::SentAt(const worker_monitor& monitor,
                                          std::int64_t clock_ms) const {
  const core::time_point now = clock.Now();
  if (!monitor.clock_ms) return now;
  const std::int64_t behind = MinClockMs(monitor, now) - clock_ms;
  return now - std::clamp(core::milliseconds(behind), core::milliseconds(0),
                          kMaxDelay);
}

/// @return whether a report may come from the worker: its clock is not ahead of
/// the latest one that is possible after the last answer. Leases are computed
/// from it, and would end later than the leader expects.
bool dispatcher::impl::IsPossibleClock(const worker_monitor& monitor,
                                       std::int64_t clock_ms) const {
  if (!monitor.answered_clock_ms) return true;
  const auto elapsed = std::chrono::duration<double, std::milli>(
      clock.Now() - monitor.answered_at + kMaxReadingAge);
  const auto latest = static_cast<double>(*monitor.answered_clock_ms) +
                      elapsed.count() * (1 + settings.clock_drift);
  return static_cast<double>(clock_ms) <= latest;
}

/// Requests a poll if a report does not agree with the known clock: a clock
/// that has jumped must not leave the worker without tasks for good.
void dispatcher::impl::CheckClock(worker_monitor& monitor,
                                  std::int64_t clock_ms) {
  const bool is_behind =
      monitor.clock_ms && clock_ms < MinClockMs(monitor, clock.Now()) -
                                         settings.worker_silence.count();
  if (!is_behind && IsPossibleClock(monitor, clock_ms)) return;
  if (!monitor.clock_in_doubt) {
    spdlog::info("clock_in_doubt worker={} reported_ms={} known_ms={}",
                 monitor.worker.key.id.v, clock_ms,
                 MinClockMs(monitor, clock.Now()));
  }
  monitor.clock_in_doubt = true;
  monitor.wakeup.NotifyAll();
}

/// @return the earliest reading of the worker's known clock at a time.
std::int64_t dispatcher::impl::MinClockMs(const worker_monitor& monitor,
                                          core::time_point time) const {
  const auto elapsed =
      std::chrono::duration<double, std::milli>(time - monitor.clock_read_at)
          .count();
  const double rate = 1 + (elapsed < 0 ? 1 : -1) * settings.clock_drift;
  return *monitor.clock_ms +
         static_cast<std::int64_t>(std::floor(elapsed * rate));
}

/// @return the end of a lease on the worker's clock; no value if the worker has
/// not answered yet or leadership is not confirmed. The lease starts at the
/// last confirmed time of leadership: the term of a later leader begins after
/// that time, and the later leader waits for one lease.
std::optional<std::int64_t> dispatcher::impl::NextLeaseEndMs(
    worker_monitor& monitor) {
  const core::time_point confirmed_at =
      std::min(event_log.LeadershipConfirmedAt(), clock.Now());
  if (!monitor.answered_clock_ms ||
      confirmed_at + settings.lease < clock.Now()) {
    return std::nullopt;
  }
  const auto longest = std::chrono::duration_cast<core::duration>(
      settings.max_lease * (1 + settings.clock_drift));
  monitor.leased_at = clock.Now();
  monitor.lease_end = std::max(monitor.lease_end, clock.Now() + longest);
  return MinClockMs(monitor, confirmed_at) + settings.lease.count();
}

/// Polls a worker while it has runs: renews its lease and records ends.
awaitable<void> dispatcher::impl::MonitorWorker(
    std::shared_ptr<worker_monitor> monitor) {
  const auto self = shared_from_this();
  while (!stopped && !monitor->removed) {
    const bool has_left =
        monitor->deregistered_at &&
        (monitor->runs.IsEmpty() || clock.Now() > monitor->lease_end);
    if (has_left) {
      std::string reason = "deregistered, and its runs or lease have ended";
      co_await RemoveWorker(monitor, worker_loss::kDeregistered,
                            std::move(reason));
      co_return;
    }
    const bool idle = monitor->synced && !monitor->unanswered &&
                      !monitor->clock_in_doubt && monitor->runs.IsEmpty() &&
                      monitor->acknowledged_ends == monitor->recorded_ends;
    if (idle) {
      co_await monitor->wakeup.Wait();
      continue;
    }
    if (monitor->synced && !monitor->unanswered && monitor->runs.IsEmpty()) {
      co_await monitor->wakeup.WaitUntil(clock.Now() + kAckDelay);
      if (stopped || monitor->removed) co_return;
    }
    const bool waits =
        monitor->synced && !monitor->unanswered && !monitor->runs.IsEmpty();
    const bool needs_short_wait =
        monitor->deregistered_at ||
        clock.Now() < monitor->lost_answer_at + kLossMemory;
    const core::milliseconds wait =
        needs_short_wait ? kShortPollWait : kPollWait;
    const bool had_lapsed = clock.Now() > monitor->lease_end;
    const poll_outcome outcome =
        co_await Poll(monitor, waits ? wait : core::milliseconds(0));
    if (stopped || monitor->removed) co_return;
    if (outcome == poll_outcome::kAnswered) continue;
    if (outcome == poll_outcome::kNotSent) {
      co_await core::SleepFor(clock, kRetryPause);
      continue;
    }
    const bool silent =
        clock.Now() > monitor->last_heard + settings.worker_silence;
    if (silent && clock.Now() > monitor->lease_end) {
      std::string reason = "lease expired without an answer";
      co_await RemoveWorker(monitor, worker_loss::kSilent, std::move(reason));
      co_return;
    }
    // A heartbeat decides only whether the worker is still there; its runs end
    // with their lease. One that was sent after the lease shows that they were
    // not lost in a crash.
    if (had_lapsed && monitor->unanswered &&
        monitor->last_alive > monitor->lease_end) {
      co_await EndLapsedRuns(monitor);
      if (stopped || monitor->removed) co_return;
    }
    co_await core::SleepFor(clock, kRetryPause);
  }
}

/// Sends a poll, again and without a wait while it has no answer: a lost answer
/// hides ends. The lease is the same in all tries. Only the first one
/// acknowledges ends: the worker may have crashed since.
awaitable<poll_result> dispatcher::impl::SendPoll(
    std::shared_ptr<worker_monitor> monitor, poll_order order) {
  const auto self = shared_from_this();
  const auto tries =
      std::make_shared<order_tries<poll_result>>(executor, clock, order.wait);
  const auto send = [self, monitor, order](core::milliseconds timeout,
                                           bool is_repeated) {
    poll_order next = order;
    if (is_repeated) {
      next.wait = core::milliseconds(0);
      next.acknowledged_ends = 0;
    }
    ++self->load.polls;
    // The relay may be what loses the acknowledgements, which no further try
    // has.
    const bool avoids_relay =
        order.acknowledged_ends > 0 &&
        self->clock.Now() < monitor->lost_answer_at + kLossMemory;
    return self->workers.Poll(
        self->TargetOf(*monitor, self->RouteOf(is_repeated || avoids_relay)),
        next, timeout);
  };
  const auto may_repeat = [this, &monitor] {
    return !stopped && !monitor->removed;
  };
  auto tried = co_await tries->Run(send, may_repeat);
  if (tried.may_arrive) NoteOpenTries(monitor, tries, std::nullopt);
  co_return std::move(tried.result);
}

/// A worker may answer polls and no other order. A start whose lease has ended
/// is refused as late, so that a poll sent from now on shows whether the worker
/// has the run.
void dispatcher::impl::ResolveExpiredStarts(worker_monitor& monitor) const {
  for (const auto& [run, tracked] : monitor.runs.Runs()) {
    if (!tracked.ordered || tracked.resolved_after_poll ||
        clock.Now() <= tracked.start_expires) {
      continue;
    }
    monitor.runs.Find(run)->resolved_after_poll = monitor.polls_sent;
  }
}

/// An acknowledgement may reach the next incarnation, which numbers its ends
/// from 1, and would discard some that nobody has read. So only a poll that
/// follows an answer acknowledges ends, only if there are new ones, and only
/// one poll at a time.
/// @return the number up to which ends are acknowledged; 0 for none.
std::uint64_t dispatcher::impl::EndsToAcknowledge(
    const worker_monitor& monitor) const {
  const bool has_new = monitor.recorded_ends > monitor.acknowledged_ends;
  const bool may_acknowledge = !monitor.unanswered && !monitor.acknowledging;
  return has_new && may_acknowledge ? monitor.recorded_ends : 0;
}

awaitable<poll_outcome> dispatcher::impl::Poll(
    std::shared_ptr<worker_monitor> monitor, core::milliseconds wait) {
  poll_order order{monitor->token, EndsToAcknowledge(*monitor), std::nullopt,
                   wait};
  // A poll without an answer may have been carried out. The lease is not
  // renewed after it, so that the lease expires while the worker is silent.
  if (!monitor->runs.IsEmpty() && !monitor->unanswered &&
      !monitor->deregistered_at) {
    order.lease_until_ms = NextLeaseEndMs(*monitor);
  }
  ResolveExpiredStarts(*monitor);
  const std::uint64_t poll_number = ++monitor->polls_sent;
  const std::uint64_t recorded_before = monitor->recorded_ends;
  const std::uint64_t reports_before = monitor->reports_received;
  const bool acknowledges = order.acknowledged_ends > 0;
  if (acknowledges) monitor->acknowledging = true;
  auto result = co_await SendPoll(monitor, order);
  if (acknowledges) monitor->acknowledging = false;
  if (stopped || monitor->removed) co_return poll_outcome::kUnanswered;
  if (std::holds_alternative<not_sent>(result)) {
    ++load.not_sent;
    co_return poll_outcome::kNotSent;
  }
  if (auto* const report = std::get_if<worker_report>(&result)) {
    // Another try than the one that acknowledged them may have been answered.
    const bool lists_recorded = std::any_of(
        report->ended.begin(), report->ended.end(),
        [&](const ended_run& end) { return end.number <= recorded_before; });
    if (!lists_recorded) {
      monitor->acknowledged_ends =
          std::max(monitor->acknowledged_ends, recorded_before);
    }
    monitor->unanswered = false;
    if (std::exchange(monitor->has_lapsed, false)) NoteOrderFailure(*monitor);
    const bool overtaken = monitor->reports_received != reports_before;
    ++monitor->reports_received;
    const bool recorded =
        co_await OnReport(monitor, poll_number, overtaken, std::move(*report));
    co_return recorded ? poll_outcome::kAnswered : poll_outcome::kUnanswered;
  }
  if (!std::exchange(monitor->unanswered, true)) {
    monitor->unanswered_since = clock.Now();
    // The poll may still be carried out, also by a later incarnation.
    spdlog::info(
        "poll_unanswered worker={} born={} fencing_token={} acknowledged={}",
        monitor->worker.key.id.v, monitor->worker.key.incarnation,
        monitor->token.v, order.acknowledged_ends);
  }
  ++load.polls_unanswered;
  if (std::holds_alternative<other_incarnation>(result)) {
    std::string reason = "another incarnation answers at its address";
    co_await RemoveWorker(monitor, worker_loss::kAddressTaken,
                          std::move(reason));
  } else if (std::holds_alternative<order_refused>(result)) {
    spdlog::warn("poll_refused worker={} born={} fencing_token={}",
                 monitor->worker.key.id.v, monitor->worker.key.incarnation,
                 monitor->token.v);
  }
  co_return poll_outcome::kUnanswered;
}

/// @param overtaken whether another report was received since the poll was
/// sent: this one may list runs whose ends are already recorded.
awaitable<bool> dispatcher::impl::OnReport(
    std::shared_ptr<worker_monitor> monitor, std::uint64_t poll_number,
    bool overtaken, worker_report report) {
  UpdateClock(*monitor, report.clock_ms, reading_source::kAnswer);
  CheckEndNumbers(*monitor, report);
  std::vector<workflow::event> events;
  std::uint64_t last = monitor->recorded_ends;
  for (const ended_run& ended : report.ended) {
    last = std::max(last, ended.number);
    // A start sent to an earlier incarnation may have reached this one.
    const workflow::worker_key* const assigned_worker =
        event_log.State().FindAssignedWorker(ended.run);
    if (assigned_worker == nullptr ||
        assigned_worker->id != monitor->worker.key.id) {
      continue;
    }
    spdlog::info("run_ended run={} worker={} how={}", Name(ended.run),
                 monitor->worker.key.id.v, Name(ended.ending));
    events.emplace_back(
        workflow::run_ended{ended.run, ended.ending, ended.checkpoint});
  }
  for (const running_run& run : report.running) {
    tracked_run* const tracked = monitor->runs.Find(run.run);
    if (tracked == nullptr) {
      // The start was carried out late, after the run was ended.
      if (overtaken || placements.Contains(run.run)) continue;
      spdlog::warn("run_unexpected run={} worker={}", Name(run.run),
                   monitor->worker.key.id.v);
      monitor->runs.Add(run.run, {.need = NeedOfRun(event_log.State(), run.run),
                                  .ordered = true,
                                  .resolved_after_poll = monitor->polls_sent});
      placements.Place(run.run, {monitor, UsageOf(run.run)});
      NoteStarted(run.run.task.job);
      // The task must not start elsewhere while this run is active.
      MarkWaiting(run.run.task.job);
      Spawn(StopRun(monitor, run.run));
      continue;
    }
    tracked->loss.reset();
    if (!tracked->started_at) {
      tracked->started_at = clock.Now();
      NoteStarted(run.run.task.job);
    }
    tracked->percent = run.percent;
    tracked->checkpoint = run.checkpoint;
    // Polls that are already sent may have been answered before the start.
    if (!tracked->resolved_after_poll) {
      tracked->resolved_after_poll = monitor->polls_sent;
    }
  }
  for (workflow::event& ended : MissingRuns(*monitor, poll_number, report)) {
    events.push_back(std::move(ended));
  }
  // Unrecorded runs are dropped once the worker no longer lists them.
  monitor->runs.RemoveIf(
      [&](const workflow::run_id& run, const tracked_run& tracked) {
        const bool is_resolved = tracked.resolved_after_poll &&
                                 *tracked.resolved_after_poll < poll_number;
        if (!is_resolved || event_log.State().IsAssigned(run)) return false;
        const bool is_listed = std::any_of(
            report.running.begin(), report.running.end(),
            [&](const running_run& listed) { return listed.run == run; });
        if (is_listed) return false;
        placements.Remove(run);
        MarkWaiting(run.task.job);
        return true;
      });
  if (!events.empty()) {
    const auto recorded = co_await Record(std::move(events));
    if (!recorded) co_return false;
  }
  if (stopped || monitor->removed) co_return false;
  monitor->recorded_ends = std::max(monitor->recorded_ends, last);
  if (!monitor->synced) {
    monitor->synced = true;
    RequestRound();
  }
  co_return true;
}

/// Logs a gap in the numbers of the ends that a worker lists: the ends before
/// it were discarded, although no leader had read them.
void dispatcher::impl::CheckEndNumbers(worker_monitor& monitor,
                                       const worker_report& report) {
  if (report.ended.empty()) return;
  const auto [lowest, highest] =
      std::minmax_element(report.ended.begin(), report.ended.end(),
                          [](const ended_run& a, const ended_run& b) {
                            return a.number < b.number;
                          });
  const std::uint64_t first = lowest->number;
  if (monitor.listed_ends && first > *monitor.listed_ends + 1) {
    const std::uint64_t unread = first - *monitor.listed_ends - 1;
    spdlog::warn("ends_unread worker={} born={} count={} first_listed={}",
                 monitor.worker.key.id.v, monitor.worker.key.incarnation,
                 unread, first);
    stats.ends_unread.Add(unread);
  }
  monitor.listed_ends =
      std::max(monitor.listed_ends.value_or(0), highest->number);
}

/// @return an event for each run that the worker should have and does not list.
std::vector<workflow::event> dispatcher::impl::MissingRuns(
    const worker_monitor& monitor, std::uint64_t poll_number,
    const worker_report& report) const {
  std::vector<workflow::event> events;
  if (report.ended.size() >= kMaxListedEnds) return events;
  std::set<workflow::run_id> listed;
  for (const running_run& listed_run : report.running) {
    listed.insert(listed_run.run);
  }
  for (const ended_run& listed_run : report.ended) {
    listed.insert(listed_run.run);
  }
  for (const auto& [run, tracked] : monitor.runs.Runs()) {
    const bool known = tracked.resolved_after_poll &&
                       *tracked.resolved_after_poll < poll_number;
    if (!known || listed.contains(run)) continue;
    if (!event_log.State().IsAssigned(run)) continue;
    const workflow::run_end ending = EndingOfMissing(tracked);
    spdlog::info("run_missing run={} worker={} born={} how={}", Name(run),
                 monitor.worker.key.id.v, monitor.worker.key.incarnation,
                 Name(ending));
    events.emplace_back(workflow::run_ended{run, ending, {}});
  }
  return events;
}

/// @return the monitor of this incarnation, or null.
std::shared_ptr<worker_monitor> dispatcher::impl::FindMonitor(
    const workflow::worker_key& worker) const {
  const auto it = monitors.find(worker.id);
  const bool is_known =
      it != monitors.end() && it->second->worker.key == worker;
  return is_known ? it->second : nullptr;
}

awaitable<core::outcome<bool>> dispatcher::impl::ConfirmIncarnation(
    workflow::worker_key worker) {
  const auto monitor = FindMonitor(worker);
  if (monitor == nullptr || monitor->removed || monitor->unanswered) {
    co_return false;
  }
  // Neither renews the lease nor acknowledges ends: it may reach the next
  // incarnation.
  const poll_order order{monitor->token, 0, std::nullopt,
                         core::milliseconds(0)};
  const worker_target to = TargetOf(*monitor, order_route::kDirect);
  const auto result = co_await workers.Poll(to, order, kConfirmationTimeout);
  if (std::holds_alternative<not_sent>(result)) {
    co_return core::failure(core::unavailable{"no connection to the worker"});
  }
  const auto* const report = std::get_if<worker_report>(&result);
  co_return report != nullptr && report->names_incarnation && !stopped &&
      !monitor->removed;
}

}  // namespace mangoplank::dispatch
