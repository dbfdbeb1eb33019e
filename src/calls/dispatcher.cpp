#include "mangoplank/calls/dispatcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <cmath>

#include "calls/dispatcher_impl.h"

namespace mangoplank::calls {

namespace asio = boost::asio;
using cell::ending;
using core::overloaded;

namespace {

/// Weight of the last report interval in the demand. The demand follows a jump
/// within a second; noise is smoothed.
constexpr double kJumpSmoothingWeight = 0.8;
constexpr double kSmoothingWeight = 0.2;
constexpr double kJumpRatio = 1.5;
/// Demand is reported in fractions of a slot, as only the proportions matter.
constexpr double kDemandUnitSlots = 0.1;
/// Standard deviations of Poisson arrivals above the mean: an entry with low
/// load needs relatively more slots for the same waiting time.
constexpr double kArrivalMarginSigmas = 2;
constexpr core::duration kIdleServiceRetention = std::chrono::seconds(60);
/// Relative change below which the last value is reported again. A shrinking
/// share has no free slot until calls in flight have ended, so shares should
/// not follow the noise of arrivals.
constexpr double kMinDemandChange = 0.12;
constexpr core::duration kDefaultRunTime = std::chrono::milliseconds(20);
constexpr core::milliseconds kRetryAfter{1000};
constexpr int kMaxBackoffDoublings = 10;
/// Answers to older reports are ignored: their lease has ended or soon will.
constexpr std::size_t kMaxReportsKept = 16;

cell::object_key ServiceOf(const call& c) {
  return {cell::object_kind::kService, c.department, c.service};
}

const cell::operation* FindOperation(const distribution::view& view,
                                     const call& c) {
  const cell::object* const service = view.Find(ServiceOf(c));
  if (service == nullptr) return nullptr;
  const auto& operations =
      std::get<cell::service_spec>(service->spec).operations;
  const auto found = std::find_if(
      operations.begin(), operations.end(),
      [&](const auto& operation) { return operation.name == c.operation; });
  return found == operations.end() ? nullptr : &*found;
}

constexpr std::array<const char*, 4> kEndingNames{"done", "failed", "not_run",
                                                  "outcome_unknown"};
constexpr std::array<const char*, 3> kClassNames{"quick", "bulk", "once"};

}  // namespace

dispatcher::impl::impl(dispatcher_settings options,
                       asio::any_io_executor task_executor,
                       core::clock& time_source,
                       const distribution::view& cell_view,
                       control::client& control_client,
                       worker_transport& worker_channel,
                       metrics::registry& registry, core::member_id id,
                       core::incarnation own_incarnation,
                       core::region_id own_region, std::uint64_t seed)
    : settings(options),
      executor(std::move(task_executor)),
      clock(time_source),
      view(cell_view),
      control(control_client),
      transport(worker_channel),
      metrics(registry),
      self_id(std::move(id)),
      incarnation(own_incarnation),
      region(std::move(own_region)),
      random(seed),
      retry_budget(options.retry_budget),
      hedge_budget(options.hedge_budget),
      idle(executor, clock),
      report_needed(executor, clock),
      retries_total(registry.Counter("mangoplank_call_retries_total",
                                     "Attempts after a failed or slow one.")),
      hedges_total(registry.Counter("mangoplank_call_hedges_total",
                                    "Attempts beside one in the slow tail.")),
      cross_region_out(
          registry.Counter("mangoplank_call_cross_region_bytes_total",
                           "Bytes exchanged with other regions' workers.",
                           {{"direction", "out"}})),
      cross_region_in(
          registry.Counter("mangoplank_call_cross_region_bytes_total",
                           "Bytes exchanged with other regions' workers.",
                           {{"direction", "in"}})),
      waiting_gauge(registry.Gauge("mangoplank_calls_waiting",
                                   "Calls that wait for a slot.")) {
  for (std::size_t i = 0; i < ended_total.size(); ++i) {
    ended_total[i] =
        &registry.Counter("mangoplank_calls_total", "Calls by outcome.",
                          {{"outcome", kEndingNames[i]}});
  }
  for (std::size_t i = 0; i < call_seconds.size(); ++i) {
    call_seconds[i] = &registry.Histogram(
        "mangoplank_call_seconds", "Time from acceptance to the end of a call.",
        {{"class", kClassNames[i]}});
  }
}

std::shared_ptr<slot_request> dispatcher::impl::MakeSlotRequest(
    const call& c, bool at_most_once, bool bulk) {
  auto request = std::make_shared<slot_request>(executor, clock);
  request->service = ServiceOf(c);
  request->operation = c.operation;
  request->deadline = c.deadline;
  request->at_most_once = at_most_once;
  request->bulk = bulk;
  request->arrival_number = next_number++;
  return request;
}

call_end dispatcher::impl::MakeRefusal(end_reason reason) {
  call_end end;
  end.ending = ending::kNotRun;
  end.reason = reason;
  const bool may_succeed_later =
      reason == end_reason::kOverloaded || reason == end_reason::kNoWorker ||
      reason == end_reason::kDraining || reason == end_reason::kCutOff;
  if (may_succeed_later) end.retry_after = kRetryAfter;
  return end;
}

core::duration dispatcher::impl::ComputeBackoff(int attempt) {
  const int doublings = std::min(attempt, kMaxBackoffDoublings);
  const core::duration max_delay = std::min<core::duration>(
      settings.backoff_cap, settings.backoff_base * (1 << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(max_delay.count() / 2,
                                                     max_delay.count());
  return core::duration(jitter(random));
}

std::string dispatcher::impl::MakeRequestId() {
  return self_id.v + "-" + std::to_string(incarnation) + "-" +
         std::to_string(next_number++);
}

void dispatcher::impl::CountArrival(const call& c, bool bulk) {
  service_state& state = services[ServiceOf(c)];
  ++state.outstanding;
  state.last_arrival = clock.Now();
  const auto known = state.run_times.find(c.operation);
  const core::duration run_time =
      known == state.run_times.end() ? kDefaultRunTime : known->second.Mean();
  const double seconds = std::chrono::duration<double>(run_time).count();
  state.work_seconds += seconds;
  if (!bulk) state.quick_work_seconds += seconds;
}

void dispatcher::impl::CountDeparture(const call& c) {
  --services[ServiceOf(c)].outstanding;
}

void dispatcher::impl::UpdateDemand(service_state& state,
                                    core::duration since_report) {
  const double seconds =
      std::max(1e-3, std::chrono::duration<double>(since_report).count());
  // Slots that the arrivals keep busy (Little's law). The queue length is not
  // included: it grows during each shortage, and shares that follow it
  // oscillate between entries.
  const double busy_slots = state.work_seconds / seconds;
  const double weight = busy_slots > kJumpRatio * state.smoothed_slots
                            ? kJumpSmoothingWeight
                            : kSmoothingWeight;
  state.smoothed_slots += weight * (busy_slots - state.smoothed_slots);
  state.work_seconds = 0;
  const double quick_slots = state.quick_work_seconds / seconds;
  state.smoothed_quick_slots +=
      kSmoothingWeight * (quick_slots - state.smoothed_quick_slots);
  state.quick_work_seconds = 0;
  const double demand_slots =
      state.smoothed_slots +
      kArrivalMarginSigmas * std::sqrt(state.smoothed_slots);
  const double change = std::abs(demand_slots - state.reported_slots);
  if (change > kMinDemandChange * state.reported_slots)
    state.reported_slots = demand_slots;
}

void dispatcher::impl::CountEnd(const call_end& end, bool at_most_once,
                                bool bulk, core::duration took) {
  ended_total[static_cast<std::size_t>(end.ending)]->Add();
  const std::size_t call_class = at_most_once ? 2 : bulk ? 1 : 0;
  call_seconds[call_class]->Add(std::chrono::duration<double>(took).count());
}

std::optional<end_reason> dispatcher::impl::Validate(const call& c) {
  if (cut_off) return end_reason::kCutOff;
  if (draining) return end_reason::kDraining;
  if (view.Find(ServiceOf(c)) == nullptr) return end_reason::kUnknownService;
  const cell::operation* const operation = FindOperation(view, c);
  if (operation == nullptr) return end_reason::kUnknownOperation;
  if (!operation->idempotent && c.idempotency_key.empty()) {
    return end_reason::kKeyMissing;
  }
  if (clock.Now() >= c.deadline) return end_reason::kDeadline;
  return std::nullopt;
}

core::awaitable<call_end> dispatcher::impl::Run(self_ptr self, call c) {
  const core::time_point start = self->clock.Now();
  const auto refused = self->Validate(c);
  if (refused) {
    call_end end = self->MakeRefusal(*refused);
    if (!c.idempotency_key.empty()) {
      end = co_await ConfirmNotRun(self, c, std::move(end));
    }
    self->CountEnd(end, false, false, self->clock.Now() - start);
    co_return end;
  }
  const cell::operation* const operation = FindOperation(self->view, c);
  const bool at_most_once = !operation->idempotent;
  const bool bulk = operation->deadline >= self->settings.bulk_deadline;
  if (!bulk) self->last_quick_arrival = start;
  ++self->active_calls;
  self->CountArrival(c, bulk);
  call_end end;
  if (at_most_once) {
    end = co_await RunAtMostOnce(self, c, bulk);
    end = co_await ConfirmNotRun(self, c, std::move(end));
  } else {
    end = co_await RunIdempotent(self, c, bulk);
  }
  self->CountDeparture(c);
  if (--self->active_calls == 0) self->idle.NotifyAll();
  self->CountEnd(end, at_most_once, bulk, self->clock.Now() - start);
  co_return end;
}

core::awaitable<void> dispatcher::impl::WaitForAttempts(
    self_ptr self, std::shared_ptr<attempt_group> group,
    core::time_point until) {
  while (!group->end && group->running_attempts > 0 &&
         self->clock.Now() < until) {
    co_await group->changed.WaitUntil(until);
  }
}

core::awaitable<void> dispatcher::impl::RunAttempt(
    self_ptr self, std::shared_ptr<attempt_group> group, slot held_slot,
    worker_request request) {
  const core::time_point start = self->clock.Now();
  const worker_target target = held_slot.Target();
  const worker_reply reply =
      co_await Exchange(self, target, request, request.deadline);
  self->ObserveReply(target, request, reply, self->clock.Now() - start);
  const auto record_fault = [&](end_reason reason, bool sent) {
    group->last_fault = reason;
    group->any_sent |= sent;
  };
  const auto unexpected = [&] { record_fault(end_reason::kConnection, true); };
  const auto finish = [&](ending call_ending, end_reason reason,
                          const std::string& body) {
    if (!group->end)
      group->end =
          call_end{call_ending, reason, body, std::nullopt, std::nullopt};
  };
  std::visit(overloaded{[&](const worker_done& done) {
                          finish(ending::kDone, end_reason::kNone, done.body);
                        },
                        [&](const worker_failed& failed) {
                          finish(ending::kFailed, end_reason::kWorkerError,
                                 failed.body);
                        },
                        [&](const worker_refused&) {
                          record_fault(end_reason::kOverloaded, false);
                        },
                        [&](const exchange_fault& fault) {
                          record_fault(end_reason::kConnection, fault.sent);
                        },
                        [&](const worker_running&) { unexpected(); },
                        [&](const worker_unknown_id&) { unexpected(); },
                        [&](const worker_cancelled&) { unexpected(); }},
             reply);
  --group->running_attempts;
  group->changed.NotifyAll();
}

void dispatcher::impl::StartAttempt(self_ptr self,
                                    std::shared_ptr<attempt_group> group,
                                    slot held_slot, const call& c) {
  worker_request request;
  request.id = self->MakeRequestId();
  request.department = c.department;
  request.service = c.service;
  request.operation = c.operation;
  request.body = c.body;
  request.deadline = c.deadline;
  group->tried.insert(
      {held_slot.Target().worker, held_slot.Target().incarnation});
  ++group->running_attempts;
  const asio::any_io_executor executor = self->executor;
  asio::co_spawn(executor,
                 RunAttempt(std::move(self), std::move(group),
                            std::move(held_slot), std::move(request)),
                 asio::detached);
}

core::awaitable<call_end> dispatcher::impl::RunIdempotent(self_ptr self, call c,
                                                          bool bulk) {
  const auto group =
      std::make_shared<attempt_group>(self->executor, self->clock);
  const auto end_without_answer = [&](end_reason reason) {
    const bool may_have_run = group->any_sent || group->running_attempts > 0;
    if (!may_have_run) return self->MakeRefusal(reason);
    const bool is_late = self->clock.Now() >= c.deadline;
    return call_end{ending::kFailed,
                    is_late ? end_reason::kDeadline : group->last_fault, "",
                    std::nullopt, std::nullopt};
  };
  self->retry_budget.Earn();
  self->hedge_budget.Earn();
  bool may_hedge = true;
  bool may_retry = true;
  for (int attempt = 0;; ++attempt) {
    if (attempt > 0 && group->running_attempts == 0) {
      if (!self->retry_budget.TrySpend())
        co_return end_without_answer(end_reason::kOverloaded);
      self->retries_total.Add();
      const core::time_point backoff_end =
          self->clock.Now() + self->ComputeBackoff(attempt);
      co_await core::SleepUntil(self->clock, std::min(backoff_end, c.deadline));
    }
    if (self->clock.Now() >= c.deadline)
      co_return end_without_answer(group->last_fault);
    const auto request = self->MakeSlotRequest(c, false, bulk);
    request->tried = group->tried;
    std::optional<slot> held_slot;
    if (group->running_attempts == 0) {
      held_slot = co_await Acquire(self, request);
      if (!held_slot) co_return end_without_answer(*request->refusal_reason);
    } else {
      held_slot = self->TryAcquire(*request);
    }
    if (held_slot) StartAttempt(self, group, std::move(*held_slot), c);
    // While waiting for the answer, a hedge starts at the 95th percentile of
    // the run time, and a retry after half of the time left.
    const core::time_point now = self->clock.Now();
    const core::time_point retry_at = now + (c.deadline - now) / 2;
    const duration_estimate& run_time =
        self->services[request->service].run_times[c.operation];
    const bool hedge_first = may_hedge && run_time.HasEnoughSamples() &&
                             now + run_time.Percentile95() < retry_at &&
                             self->queue.Size() == 0;
    if (hedge_first) {
      co_await WaitForAttempts(self, group, now + run_time.Percentile95());
      if (group->end) co_return *group->end;
      may_hedge = false;
      if (group->running_attempts > 0 && self->hedge_budget.TrySpend()) {
        self->hedges_total.Add();
        continue;
      }
    }
    co_await WaitForAttempts(self, group, may_retry ? retry_at : c.deadline);
    if (group->end) co_return *group->end;
    if (group->running_attempts == 0) continue;
    may_retry = may_retry && self->clock.Now() < c.deadline &&
                self->retry_budget.TrySpend();
    if (may_retry) {
      self->retries_total.Add();
      may_retry = false;
      continue;
    }
    co_await WaitForAttempts(self, group, c.deadline);
    if (group->end) co_return *group->end;
  }
}

dispatcher::dispatcher(dispatcher_settings settings,
                       asio::any_io_executor executor, core::clock& clock,
                       const distribution::view& view, control::client& control,
                       worker_transport& transport, metrics::registry& metrics,
                       core::member_id self, core::incarnation incarnation,
                       core::region_id region, std::uint64_t seed)
    : impl_(std::make_shared<impl>(settings, std::move(executor), clock, view,
                                   control, transport, metrics, std::move(self),
                                   incarnation, std::move(region), seed)) {}

dispatcher::~dispatcher() { impl_->RefuseWaiting(end_reason::kDraining); }

core::awaitable<call_end> dispatcher::Run(call c) {
  return impl::Run(impl_, std::move(c));
}

core::awaitable<core::outcome<call_end>> dispatcher::Resolve(
    cell::call_key key, core::time_point deadline) {
  return impl::Resolve(impl_, std::move(key), deadline);
}

void dispatcher::ApplyGrants(const control::slot_grants& grants) {
  const auto report_time = impl_->report_times.find(grants.report_number);
  if (report_time == impl_->report_times.end()) return;
  if (impl_->slots.ApplyGrants(grants, report_time->second))
    impl_->ServeWaiting();
}

control::slot_report dispatcher::BuildReport() {
  const core::time_point now = impl_->clock.Now();
  control::slot_report report;
  report.number = impl_->next_report_number++;
  impl_->report_times[report.number] = now;
  if (impl_->report_times.size() > kMaxReportsKept) {
    impl_->report_times.erase(impl_->report_times.begin());
  }
  const slot_table::grant_set& conforming = impl_->slots.ConformingGrants();
  report.term = conforming.term;
  report.applied_sequence = conforming.sequence;
  if (now < conforming.lease_end) report.held = conforming.grants;
  for (auto& [service, state] : impl_->services) {
    impl::UpdateDemand(state, now - impl_->last_report_at);
    // A service without demand keeps its share for a while; reporting all
    // services ever called would use too much of the entry's bandwidth.
    if (state.outstanding == 0 &&
        state.last_arrival + kIdleServiceRetention < now)
      continue;
    report.demand.push_back(
        {service, static_cast<std::int64_t>(
                      std::ceil(state.reported_slots / kDemandUnitSlots))});
  }
  impl_->last_report_at = now;
  std::erase_if(impl_->services, [this](const auto& entry) {
    return entry.second.outstanding == 0 &&
           impl_->view.Find(entry.first) == nullptr;
  });
  return report;
}

core::event& dispatcher::ReportNeeded() { return impl_->report_needed; }

void dispatcher::SetCutOff(bool cut_off) {
  impl_->cut_off = cut_off;
  if (cut_off) impl_->RefuseWaiting(end_reason::kCutOff);
}

core::awaitable<void> dispatcher::Drain(core::time_point deadline) {
  const auto self = impl_;
  self->draining = true;
  while (self->active_calls > 0 && self->clock.Now() < deadline) {
    co_await self->idle.WaitUntil(deadline);
  }
}

}  // namespace mangoplank::calls
