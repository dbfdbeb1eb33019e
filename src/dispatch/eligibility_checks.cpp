#include <algorithm>
#include <cmath>
#include <numeric>
#include <span>
#include <unordered_map>

#include "dispatch/dispatcher_impl.h"
#include "dispatch/placement_needs.h"

/// Calls to the eligibility service, which decides where a step may run.
///
/// A ticket lasts for a second or two and a call takes up to one, so a step is
/// checked only when there is capacity for it, and that capacity is reserved
/// until the answer is there. Checks of steps that could not start would occupy
/// the proxies for nothing: with a backlog, no check would then end in time.
/// Gangs are the exception: each is checked once to learn where it may run, and
/// the few that gather capacity keep their tickets valid.
namespace mangoplank::dispatch {

using core::awaitable;

namespace {

/// Remaining validity that a ticket needs until the start is recorded and sent.
constexpr core::milliseconds kMinTicketValidity{150};
/// Longest delay between the issue of a ticket and its receipt.
constexpr core::milliseconds kTicketDelay{60};
/// Pause after a check without an answer.
constexpr core::milliseconds kCheckRetryPause{200};
/// Pause before the workers are searched again for a gang that did not fit.
constexpr core::milliseconds kGangRetryPause{50};
/// The service accepts no more in one call.
constexpr std::size_t kMaxWorkersPerCall = 100;
/// A check takes several calls at the same time, so that the tickets of a gang
/// with many tasks are valid together.
constexpr std::size_t kMaxWorkersPerCheck = 300;
/// A check of workers whose eligibility is not known names at least as many as
/// the objective allows time for.
constexpr std::size_t kMinWorkersPerCheck = 30;
/// Expected capacity of the checked workers as a multiple of what the tasks
/// need: more for a gang, as one missing task delays all.
constexpr double kTaskMargin = 1.2;
constexpr double kGangMargin = 1.5;
/// The same if the workers are known to be eligible: jobs of a higher rank may
/// still take some of their capacity.
constexpr double kRenewalMargin = 1.2;
/// Workers whose tickets are renewed for each task of a gang that gathers
/// capacity.
constexpr std::size_t kRenewalsPerTask = 2;
/// Empty eligible workers should fit this multiple of a gang's tasks; with less
/// the gang would wait for nearly all of them to be idle.
constexpr std::size_t kCapacityFactor = 2;
/// Share of eligible workers that is assumed before any answer, the least that
/// is assumed later, and the weight of one answer.
constexpr double kInitialEligibleShare = 0.3;
constexpr double kMinEligibleShare = 0.05;
constexpr double kEligibleShareWeight = 0.1;

void SortByAvailable(std::vector<check_candidate>& candidates) {
  std::sort(candidates.begin(), candidates.end(),
            [](const check_candidate& a, const check_candidate& b) {
              return Unreserved(*a.worker).cpu_milli >
                     Unreserved(*b.worker).cpu_milli;
            });
}

std::size_t CountTasks(const std::vector<check_candidate>& candidates) {
  return std::accumulate(candidates.begin(), candidates.end(), std::size_t{0},
                         [](std::size_t sum, const check_candidate& candidate) {
                           return sum + candidate.fitting;
                         });
}

core::milliseconds ExpectedCheckTime(const workflow::queue& queue,
                                     std::size_t worker_count) {
  return core::milliseconds(static_cast<std::int64_t>(std::ceil(
      queue.eligibility->decision_ms +
      queue.eligibility->per_worker_ms * static_cast<double>(worker_count))));
}

std::vector<std::shared_ptr<worker_monitor>> MonitorsOf(
    std::span<const check_candidate> candidates) {
  std::vector<std::shared_ptr<worker_monitor>> monitors;
  monitors.reserve(candidates.size());
  for (const check_candidate& candidate : candidates) {
    monitors.push_back(candidate.worker->monitor);
  }
  return monitors;
}

/// @return how many workers a call names at most: those for which it takes half
/// as long again as for none, so that a check of many workers takes not much
/// longer than one of a few, and the proxies not much more of their time.
std::size_t MaxWorkersPerCall(const workflow::eligibility_policy& policy) {
  if (policy.per_worker_ms <= 0) return kMaxWorkersPerCall;
  const double balanced = policy.decision_ms / policy.per_worker_ms / 2;
  return static_cast<std::size_t>(
      std::clamp(balanced, static_cast<double>(kMinWorkersPerCheck),
                 static_cast<double>(kMaxWorkersPerCall)));
}

}  // namespace

bool dispatcher::impl::IsValid(const ticket& ticket) const {
  return ticket.expires >= round_begin + kMinTicketValidity;
}

/// @return the worker of the slot, or null if it can't accept tasks of the
/// pool.
usable_worker* dispatcher::impl::FindUsable(worker_slot slot,
                                            const usable_pool& pool) const {
  if (slot >= usable_by_slot.size()) return nullptr;
  usable_worker* const worker = usable_by_slot[slot];
  if (worker == nullptr || worker->monitor->removed) return nullptr;
  const bool is_in_pool = worker >= pool.workers.data() &&
                          worker < pool.workers.data() + pool.workers.size();
  return is_in_pool ? worker : nullptr;
}

double dispatcher::impl::EligibleShare(const workflow::queue& queue) const {
  const auto it = eligible_share.find(queue.name);
  return it == eligible_share.end() ? kInitialEligibleShare : it->second;
}

/// Checks eligibility for the first steps of a job that is being recorded.
void dispatcher::impl::Prepare(const workflow::job_spec& spec,
                               const workflow::queue& queue,
                               const tenancy::terms& tenant) {
  ++load.submissions;
  if (!queue.eligibility || spec.repeat_count > 0) return;
  const auto pool = usable_pools.find(queue.pool);
  if (pool == usable_pools.end()) return;
  for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
    const workflow::step& step = spec.steps[i];
    if (!step.depends_on.empty()) continue;
    waiting_tasks waiting;
    waiting.checkable = CountCheckable(tenant, step, step.count);
    if (waiting.checkable < (step.gang ? step.count : 1)) continue;
    waiting.indexes.resize(waiting.checkable);
    std::iota(waiting.indexes.begin(), waiting.indexes.end(), 0U);
    const step_key key{spec.id, 0, i};
    eligibility_view& view = eligibility_by_step[key];
    if (step.gang) {
      CheckGang(queue, key, step, waiting, {}, view, pool->second);
    } else {
      CheckTasks(queue, key, step, waiting, view, pool->second);
    }
    ReserveForCheck(step, view, waiting.checkable, pool->second);
    if (view.pending_calls == 0) continue;
    checked_usage.Add({tenant.name, step.need * static_cast<std::int64_t>(
                                                    waiting.checkable)});
  }
}

void dispatcher::impl::DropEligibility(const std::string& job) {
  const auto first = eligibility_by_step.lower_bound({job, 0, 0});
  auto last = first;
  while (last != eligibility_by_step.end() && last->first.job == job) ++last;
  eligibility_by_step.erase(first, last);
}

/// Results are valid for one incarnation: the next one may be of another kind.
void dispatcher::impl::DropEligibility(worker_slot slot) {
  for (auto& [key, view] : eligibility_by_step) {
    if (view.Of(slot) == eligibility::kUnknown) continue;
    view.Set(slot, eligibility::kUnknown);
    std::erase_if(view.tickets,
                  [slot](const ticket& ticket) { return ticket.slot == slot; });
  }
}

/// @return the worker with the tasks of the step that fit there now; no value
/// if none do, or the step must not run there.
std::optional<check_candidate> dispatcher::impl::MakeCandidate(
    const workflow::step& step, const waiting_tasks& waiting,
    usable_worker& worker, const core::resources& need,
    core::time_point cutoff) const {
  if (!HasLabel(worker.monitor->worker, step.required_label) ||
      HasFailed(waiting, worker, cutoff)) {
    return std::nullopt;
  }
  const std::size_t fitting =
      CountFitting(worker.available, need,
                   MaxTasksOn(step, waiting, worker.monitor->worker.key.id));
  if (fitting == 0) return std::nullopt;
  return check_candidate{&worker, fitting, nullptr};
}

/// @param expected_tasks the search for workers that are not known to be
/// eligible ends when these are expected to fit, and a check can name no more.
/// @return the workers with available capacity that the step may run on, those
/// with the most available first. Those on which tasks of it have failed lately
/// are left out.
check_candidates dispatcher::impl::FindCandidates(const workflow::queue& queue,
                                                  const workflow::step& step,
                                                  const waiting_tasks& waiting,
                                                  const eligibility_view& view,
                                                  usable_pool& pool,
                                                  double expected_tasks) {
  const core::resources need = NeedOf(step);
  const core::time_point cutoff =
      FailureCutoff(step, waiting, &view, pool, clock.Now());
  check_candidates candidates;
  double expected = 0;
  for (const ticket& ticket : view.tickets) {
    usable_worker* const worker = FindUsable(ticket.slot, pool);
    if (worker == nullptr) continue;
    auto candidate = MakeCandidate(step, waiting, *worker, need, cutoff);
    if (!candidate) continue;
    candidate->ticket = &ticket;
    candidates.eligible.push_back(*candidate);
    expected += static_cast<double>(candidate->fitting);
  }
  SortByAvailable(candidates.eligible);
  const double share = EligibleShare(queue);
  bool fits_anywhere = !candidates.eligible.empty();
  pool.by_availability.VisitDescending([&](std::uint32_t position) {
    usable_worker& worker = pool.workers[position];
    if (!worker.available.Holds(need) || worker.monitor->removed) return true;
    fits_anywhere = true;
    if (view.Of(worker.slot) != eligibility::kUnknown) return true;
    const auto candidate = MakeCandidate(step, waiting, worker, need, cutoff);
    if (!candidate) return true;
    candidates.unknown.push_back(*candidate);
    expected += share * static_cast<double>(candidate->fitting);
    return expected < expected_tasks ||
           candidates.unknown.size() < kMaxWorkersPerCheck;
  });
  if (!fits_anywhere) pool.unplaceable.push_back(need);
  return candidates;
}

/// Checks workers with available capacity for tasks that start on their own.
void dispatcher::impl::CheckTasks(const workflow::queue& queue,
                                  const step_key& key,
                                  const workflow::step& step,
                                  const waiting_tasks& waiting,
                                  eligibility_view& view, usable_pool& pool) {
  if (view.pending_calls > 0 || clock.Now() < view.retry_after) return;
  const auto tasks =
      static_cast<double>(std::min(waiting.indexes.size(), waiting.checkable));
  if (tasks == 0) return;
  const check_candidates candidates =
      FindCandidates(queue, step, waiting, view, pool, tasks * kTaskMargin);
  StartCheck(queue, key, candidates,
             {tasks * kRenewalMargin, tasks * kTaskMargin}, view);
}

/// Checks workers for a gang if all of its tasks are expected to fit. If they
/// don't, looks for eligible workers to reserve capacity on, or keeps the
/// tickets of those valid on which it gathers capacity.
void dispatcher::impl::CheckGang(const workflow::queue& queue,
                                 const step_key& key,
                                 const workflow::step& step,
                                 const waiting_tasks& waiting, gang_status gang,
                                 eligibility_view& view, usable_pool& pool) {
  if (view.pending_calls > 0 || clock.Now() < view.retry_after) return;
  const std::size_t tasks = waiting.indexes.size();
  if (waiting.checkable < tasks) return;
  const auto needed = static_cast<double>(tasks);
  const check_candidates candidates =
      FindCandidates(queue, step, waiting, view, pool, needed * kGangMargin);
  const auto eligible = static_cast<double>(CountTasks(candidates.eligible));
  const double expected =
      eligible + EligibleShare(queue) *
                     static_cast<double>(CountTasks(candidates.unknown));
  if (expected >= needed) {
    StartCheck(queue, key, candidates,
               {needed * kRenewalMargin, needed * kGangMargin}, view);
    return;
  }
  const bool needs_more_workers = gang.max_tasks < tasks * kCapacityFactor;
  // Without others it could never start, also one that is late.
  const bool is_unplaceable = view.tickets.empty() || gang.max_tasks < tasks;
  std::vector<check_candidate> named;
  if (is_unplaceable || (gang.may_reserve && needs_more_workers)) {
    named = FindUnknown(step, view, pool);
  }
  if (named.empty() && gang.may_reserve && gang.max_tasks >= tasks) {
    named = FindExpiring(queue, tasks * kRenewalsPerTask, view, pool);
  }
  if (named.empty()) {
    view.retry_after = clock.Now() + kGangRetryPause;
    return;
  }
  StartCalls(queue, key, named, view);
}

/// @return workers that are not known to be eligible or not, whether or not
/// they have available capacity.
std::vector<check_candidate> dispatcher::impl::FindUnknown(
    const workflow::step& step, const eligibility_view& view,
    usable_pool& pool) const {
  const core::resources need = NeedOf(step);
  std::vector<check_candidate> unknown;
  pool.by_availability.VisitDescending([&](std::uint32_t position) {
    usable_worker& worker = pool.workers[position];
    const bool is_candidate =
        view.Of(worker.slot) == eligibility::kUnknown &&
        worker.capacity.Holds(need) &&
        HasLabel(worker.monitor->worker, step.required_label);
    if (is_candidate) unknown.push_back({&worker});
    return unknown.size() < kMaxWorkersPerCall;
  });
  return unknown;
}

/// @return at most `limit` eligible workers whose tickets would expire before
/// the answer to a check of them.
std::vector<check_candidate> dispatcher::impl::FindExpiring(
    const workflow::queue& queue, std::size_t limit,
    const eligibility_view& view, const usable_pool& pool) const {
  const std::size_t most = std::min(limit, kMaxWorkersPerCall);
  const core::time_point answered_at =
      clock.Now() + ExpectedCheckTime(queue, most) + kMinTicketValidity;
  std::vector<check_candidate> expiring;
  for (const ticket& ticket : view.tickets) {
    usable_worker* const worker = FindUsable(ticket.slot, pool);
    if (worker != nullptr && ticket.expires < answered_at) {
      expiring.push_back({worker, 0, &ticket});
    }
  }
  SortByAvailable(expiring);
  expiring.resize(std::min(expiring.size(), most));
  return expiring;
}

/// Starts a check of the workers that are known to be eligible, and of others
/// if the former are expected to be too few.
void dispatcher::impl::StartCheck(const workflow::queue& queue,
                                  const step_key& key,
                                  const check_candidates& candidates,
                                  check_size size, eligibility_view& view) {
  const core::time_point answered_at =
      clock.Now() + ExpectedCheckTime(queue, kMinWorkersPerCheck) +
      kMinTicketValidity;
  view.reserved_on.clear();
  std::vector<check_candidate> chosen;
  double expected = 0;
  for (const check_candidate& candidate : candidates.eligible) {
    if (expected >= size.tasks_if_known ||
        chosen.size() >= kMaxWorkersPerCheck) {
      break;
    }
    expected += static_cast<double>(candidate.fitting);
    view.reserved_on.push_back(candidate.worker->slot);
    // A gang that needs several checks can use the tickets of the earlier ones.
    const bool outlasts_check =
        candidate.ticket != nullptr && candidate.ticket->expires >= answered_at;
    if (!outlasts_check) chosen.push_back(candidate);
  }
  const bool needs_others = expected < size.tasks_if_known;
  const double share = EligibleShare(queue);
  for (const check_candidate& candidate : candidates.unknown) {
    const bool is_enough =
        expected >= size.tasks && chosen.size() >= kMinWorkersPerCheck;
    if (!needs_others || is_enough || chosen.size() >= kMaxWorkersPerCheck) {
      break;
    }
    chosen.push_back(candidate);
    view.reserved_on.push_back(candidate.worker->slot);
    expected += share * static_cast<double>(candidate.fitting);
  }
  if (chosen.empty()) {
    view.reserved_on.clear();
    return;
  }
  StartCalls(queue, key, chosen, view);
}

/// Reserves capacity for the tasks of a step on the workers of its pending
/// check, so that steps of a lower rank don't check the same capacity. Workers
/// that are known to be eligible come first; on the others each gets a part, as
/// it is not known yet which of them are eligible.
void dispatcher::impl::ReserveForCheck(const workflow::step& step,
                                       const eligibility_view& view,
                                       std::size_t tasks, usable_pool& pool) {
  if (view.pending_calls == 0) return;
  const core::resources need = NeedOf(step);
  auto left = static_cast<std::int64_t>(tasks);
  std::vector<check_candidate> unknown;
  for (const worker_slot slot : view.reserved_on) {
    usable_worker* const worker = FindUsable(slot, pool);
    if (worker == nullptr) continue;
    const std::size_t fitting =
        CountFitting(worker->available, need, step.count);
    if (fitting == 0) continue;
    if (view.Of(slot) != eligibility::kEligible) {
      unknown.push_back({worker, fitting});
      continue;
    }
    const auto reserved = std::min(left, static_cast<std::int64_t>(fitting));
    Reserve(pool, *worker, need * reserved);
    left -= reserved;
  }
  const auto total = static_cast<std::int64_t>(CountTasks(unknown));
  if (total == 0) return;
  left = std::min(left, total);
  for (const check_candidate& candidate : unknown) {
    core::resources part =
        need * (static_cast<std::int64_t>(candidate.fitting) * left);
    part.cpu_milli /= total;
    part.memory_mib /= total;
    part.accelerators /= total;
    Reserve(pool, *candidate.worker, part);
  }
}

/// Checks the named workers, in several calls at the same time if they are
/// many. Those for whose call no proxy is idle are left out; if that are all,
/// the step is considered again in the next round.
void dispatcher::impl::StartCalls(const workflow::queue& queue,
                                  const step_key& key,
                                  const std::vector<check_candidate>& named,
                                  eligibility_view& view) {
  const std::size_t most = proxies.IsPlentiful()
                               ? MaxWorkersPerCall(*queue.eligibility)
                               : kMaxWorkersPerCall;
  const std::size_t wanted = (named.size() + most - 1) / most;
  const core::milliseconds cost =
      ExpectedCheckTime(queue, (named.size() + wanted - 1) / wanted);
  const std::size_t calls = proxies.Allow(cost, wanted);
  if (calls == 0) {
    view.reserved_on.clear();
    return;
  }
  proxies.Take(cost, calls);
  const std::span<const check_candidate> all(named);
  for (std::size_t call = 0; call < calls; ++call) {
    const std::size_t begin = named.size() * call / wanted;
    const std::size_t end = named.size() * (call + 1) / wanted;
    ++view.pending_calls;
    Spawn(RunEligibilityCall(queue, key,
                             MonitorsOf(all.subspan(begin, end - begin))));
  }
}

awaitable<void> dispatcher::impl::RunEligibilityCall(
    workflow::queue queue, step_key key,
    std::vector<std::shared_ptr<worker_monitor>> checked) {
  const auto self = shared_from_this();
  const core::milliseconds cost = ExpectedCheckTime(queue, checked.size());
  const workflow::task_id step{key.job, key.occurrence, key.step, 0};
  std::vector<core::worker_id> ids;
  ids.reserve(checked.size());
  for (const auto& monitor : checked) ids.push_back(monitor->worker.key.id);
  stats.eligibility_checks.Add();
  ++load.checks;
  const core::time_point begin = clock.Now();
  timeline.NoteCheck(key, begin);
  const auto answer = co_await eligibility_service.Check(step, std::move(ids),
                                                         cost, queue.priority);
  if (stopped) co_return;
  if (answer) {
    ++load.checks_answered;
    load.check_time += clock.Now() - begin;
    timeline.NoteAnswer(key, clock.Now());
  } else {
    ++load.checks_unanswered;
  }
  const auto it = eligibility_by_step.find(key);
  if (it == eligibility_by_step.end()) co_return;
  eligibility_view& view = it->second;
  --view.pending_calls;
  if (view.pending_calls == 0) view.reserved_on.clear();
  if (!answer) {
    view.retry_after = clock.Now() + kCheckRetryPause;
    co_return;
  }
  RecordAnswer(queue, checked, *answer, view);
  RequestRound();
}

void dispatcher::impl::RecordAnswer(
    const workflow::queue& queue,
    const std::vector<std::shared_ptr<worker_monitor>>& checked,
    const std::vector<workflow::eligible_worker>& answer,
    eligibility_view& view) {
  const core::time_point expires =
      clock.Now() + core::milliseconds(queue.eligibility->ticket_validity_ms) -
      kTicketDelay;
  std::unordered_map<core::worker_id, const std::string*> tickets;
  for (const workflow::eligible_worker& eligible : answer) {
    tickets.emplace(eligible.id, &eligible.ticket);
  }
  double asked = 0;
  double found = 0;
  for (const auto& monitor : checked) {
    // The answer may be about an earlier incarnation.
    if (monitor->removed) continue;
    const worker_slot slot = monitor->slot;
    const auto ticket = tickets.find(monitor->worker.key.id);
    const bool is_eligible = ticket != tickets.end();
    if (view.Of(slot) == eligibility::kUnknown) {
      asked += 1;
      found += is_eligible ? 1 : 0;
    }
    std::erase_if(view.tickets, [slot](const dispatch::ticket& known) {
      return known.slot == slot;
    });
    view.Set(slot,
             is_eligible ? eligibility::kEligible : eligibility::kIneligible);
    if (is_eligible) view.tickets.push_back({slot, *ticket->second, expires});
  }
  if (asked == 0) return;
  const auto [share, is_first] =
      eligible_share.emplace(queue.name, found / asked);
  if (!is_first) {
    share->second += kEligibleShareWeight * (found / asked - share->second);
  }
  share->second = std::max(share->second, kMinEligibleShare);
}

}  // namespace mangoplank::dispatch
