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

/// Weight of the last report interval in the demand: a jump is followed within
/// a second, noise is not.
constexpr double kJumpWeight = 0.8;
constexpr double kUsualWeight = 0.2;
constexpr double kJump = 1.5;
/// Demand is reported in parts of a slot, as only the proportions count.
constexpr double kDemandUnit = 0.1;
/// Standard deviations of Poisson arrivals above the mean: a small entry needs
/// relatively more slots for the same waiting time.
constexpr double kMargin = 2;
constexpr core::duration kIdleServiceMemory = std::chrono::seconds(60);
/// Relative change below which the last value is reported again. A share that
/// shrinks leaves no free slot until calls in flight have ended, so shares
/// should not follow the noise of arrivals.
constexpr double kDemandStep = 0.12;
constexpr core::duration kUnknownRunTime = std::chrono::milliseconds(20);
constexpr core::milliseconds kRetryAfter{1000};
constexpr int kMostBackoffDoublings = 10;
/// An answer to an older report is ignored, its lease being over or nearly so.
constexpr std::size_t kReportsKept = 16;

cell::object_key ServiceOf(const call& c) {
  return {cell::object_kind::kService, c.department, c.service};
}

const cell::operation* FindOperation(const distribution::view& view,
                                     const call& c) {
  const cell::object* const o = view.Find(ServiceOf(c));
  if (o == nullptr) return nullptr;
  const auto& operations = std::get<cell::service_spec>(o->spec).operations;
  const auto it =
      std::find_if(operations.begin(), operations.end(),
                   [&](const auto& op) { return op.name == c.operation; });
  return it == operations.end() ? nullptr : &*it;
}

constexpr std::array<const char*, 4> kEndingNames{"done", "failed", "not_run",
                                                  "outcome_unknown"};
constexpr std::array<const char*, 3> kClassNames{"quick", "bulk", "once"};

}  // namespace

dispatcher::impl::impl(dispatcher_settings s, asio::any_io_executor e,
                       core::clock& c, const distribution::view& v,
                       control::client& ctl, worker_transport& t,
                       metrics::registry& m, core::member_id id,
                       core::incarnation inc, core::region_id r,
                       std::uint64_t seed)
    : settings(s),
      executor(std::move(e)),
      clock(c),
      view(v),
      control(ctl),
      transport(t),
      metrics(m),
      self_id(std::move(id)),
      incarnation(inc),
      region(std::move(r)),
      random(seed),
      retries(s.retry_budget),
      hedges(s.hedge_budget),
      idle(executor, clock),
      needs_report(executor, clock),
      retries_total(m.Counter("mangoplank_call_retries_total",
                              "Attempts after a failed or slow one.")),
      hedges_total(m.Counter("mangoplank_call_hedges_total",
                             "Attempts beside one in the slow tail.")),
      cross_region_out(m.Counter("mangoplank_call_cross_region_bytes_total",
                                 "Bytes exchanged with other regions' workers.",
                                 {{"direction", "out"}})),
      cross_region_in(m.Counter("mangoplank_call_cross_region_bytes_total",
                                "Bytes exchanged with other regions' workers.",
                                {{"direction", "in"}})),
      waiting_gauge(
          m.Gauge("mangoplank_calls_waiting", "Calls that wait for a slot.")) {
  for (std::size_t i = 0; i < ended_total.size(); ++i) {
    ended_total[i] = &m.Counter("mangoplank_calls_total", "Calls by outcome.",
                                {{"outcome", kEndingNames[i]}});
  }
  for (std::size_t i = 0; i < call_seconds.size(); ++i) {
    call_seconds[i] = &m.Histogram("mangoplank_call_seconds",
                                   "Time from acceptance to the end of a call.",
                                   {{"class", kClassNames[i]}});
  }
}

std::shared_ptr<slot_wish> dispatcher::impl::Wish(const call& c, bool once,
                                                  bool bulk) {
  auto w = std::make_shared<slot_wish>(executor, clock);
  w->service = ServiceOf(c);
  w->operation = c.operation;
  w->deadline = c.deadline;
  w->once = once;
  w->bulk = bulk;
  w->number = next_number++;
  return w;
}

call_end dispatcher::impl::Refusal(end_reason why) {
  call_end end;
  end.e = ending::kNotRun;
  end.why = why;
  const bool may_succeed_later =
      why == end_reason::kOverloaded || why == end_reason::kNoWorker ||
      why == end_reason::kDraining || why == end_reason::kCutOff;
  if (may_succeed_later) end.retry_after = kRetryAfter;
  return end;
}

core::duration dispatcher::impl::Backoff(int tries) {
  const int doublings = std::min(tries, kMostBackoffDoublings);
  const core::duration most = std::min<core::duration>(
      settings.backoff_cap, settings.backoff_base * (1 << doublings));
  std::uniform_int_distribution<std::int64_t> jitter(most.count() / 2,
                                                     most.count());
  return core::duration(jitter(random));
}

std::string dispatcher::impl::NextId() {
  return self_id.v + "-" + std::to_string(incarnation) + "-" +
         std::to_string(next_number++);
}

void dispatcher::impl::Arrived(const call& c, bool bulk) {
  service_state& s = services[ServiceOf(c)];
  ++s.wanted;
  s.last_call = clock.Now();
  const auto known = s.run_time.find(c.operation);
  const core::duration run =
      known == s.run_time.end() ? kUnknownRunTime : known->second.Mean();
  const double seconds = std::chrono::duration<double>(run).count();
  s.work += seconds;
  if (!bulk) s.quick_work += seconds;
}

void dispatcher::impl::Left(const call& c) { --services[ServiceOf(c)].wanted; }

void dispatcher::impl::Smooth(service_state& s, core::duration since_report) {
  const double seconds =
      std::max(1e-3, std::chrono::duration<double>(since_report).count());
  // Slots that the arrivals keep busy (Little's law). The length of the queue
  // is left out: it grows with each moment of shortage, and shares that follow
  // it swing from one entry to another.
  const double needed = s.work / seconds;
  const double weight =
      needed > kJump * s.smoothed ? kJumpWeight : kUsualWeight;
  s.smoothed += weight * (needed - s.smoothed);
  s.work = 0;
  const double quick = s.quick_work / seconds;
  s.quick_smoothed += kUsualWeight * (quick - s.quick_smoothed);
  s.quick_work = 0;
  const double wanted = s.smoothed + kMargin * std::sqrt(s.smoothed);
  const double change = std::abs(wanted - s.reported);
  if (change > kDemandStep * s.reported) s.reported = wanted;
}

void dispatcher::impl::CountEnd(const call_end& end, bool once, bool bulk,
                                core::duration took) {
  ended_total[static_cast<std::size_t>(end.e)]->Add();
  const std::size_t kind = once ? 2 : bulk ? 1 : 0;
  call_seconds[kind]->Add(std::chrono::duration<double>(took).count());
}

std::optional<end_reason> dispatcher::impl::Check(const call& c) {
  if (cut_off) return end_reason::kCutOff;
  if (draining) return end_reason::kDraining;
  if (view.Find(ServiceOf(c)) == nullptr) return end_reason::kUnknownService;
  const cell::operation* const op = FindOperation(view, c);
  if (op == nullptr) return end_reason::kUnknownOperation;
  if (!op->idempotent && c.idempotency_key.empty()) {
    return end_reason::kKeyMissing;
  }
  if (clock.Now() >= c.deadline) return end_reason::kDeadline;
  return std::nullopt;
}

core::awaitable<call_end> dispatcher::impl::Run(self_ptr self, call c) {
  const core::time_point start = self->clock.Now();
  const auto refused = self->Check(c);
  if (refused) {
    call_end end = self->Refusal(*refused);
    if (!c.idempotency_key.empty()) {
      end = co_await ConfirmNotRun(self, c, std::move(end));
    }
    self->CountEnd(end, false, false, self->clock.Now() - start);
    co_return end;
  }
  const cell::operation* const op = FindOperation(self->view, c);
  const bool once = !op->idempotent;
  const bool bulk = op->deadline >= self->settings.bulk_deadline;
  if (!bulk) self->last_quick = start;
  ++self->active;
  self->Arrived(c, bulk);
  call_end end;
  if (once) {
    end = co_await RunOnce(self, c, bulk);
    end = co_await ConfirmNotRun(self, c, std::move(end));
  } else {
    end = co_await RunIdempotent(self, c, bulk);
  }
  self->Left(c);
  if (--self->active == 0) self->idle.NotifyAll();
  self->CountEnd(end, once, bulk, self->clock.Now() - start);
  co_return end;
}

core::awaitable<void> dispatcher::impl::WaitForRace(self_ptr self,
                                                    std::shared_ptr<race> r,
                                                    core::time_point until) {
  while (!r->end && r->running > 0 && self->clock.Now() < until) {
    co_await r->changed.WaitUntil(until);
  }
}

core::awaitable<void> dispatcher::impl::Attempt(self_ptr self,
                                                std::shared_ptr<race> r, slot s,
                                                worker_request request) {
  const core::time_point start = self->clock.Now();
  const worker_target target = s.Target();
  const worker_reply reply =
      co_await Exchange(self, target, request, request.deadline);
  self->Note(target, request, reply, self->clock.Now() - start);
  const auto fault = [&](end_reason why, bool sent) {
    r->last_fault = why;
    r->sent |= sent;
  };
  const auto unexpected = [&] { fault(end_reason::kConnection, true); };
  const auto finish = [&](ending e, end_reason why, const std::string& body) {
    if (!r->end) r->end = call_end{e, why, body, std::nullopt, std::nullopt};
  };
  std::visit(
      overloaded{
          [&](const worker_done& d) {
            finish(ending::kDone, end_reason::kNone, d.body);
          },
          [&](const worker_failed& f) {
            finish(ending::kFailed, end_reason::kWorkerError, f.body);
          },
          [&](const worker_refused&) { fault(end_reason::kOverloaded, false); },
          [&](const exchange_fault& f) {
            fault(end_reason::kConnection, f.sent);
          },
          [&](const worker_running&) { unexpected(); },
          [&](const worker_unknown_id&) { unexpected(); },
          [&](const worker_gave_up&) { unexpected(); }},
      reply);
  --r->running;
  r->changed.NotifyAll();
}

void dispatcher::impl::StartAttempt(self_ptr self, std::shared_ptr<race> r,
                                    slot s, const call& c) {
  worker_request request;
  request.id = self->NextId();
  request.department = c.department;
  request.service = c.service;
  request.operation = c.operation;
  request.body = c.body;
  request.deadline = c.deadline;
  r->tried.insert({s.Target().worker, s.Target().incarnation});
  ++r->running;
  const asio::any_io_executor executor = self->executor;
  asio::co_spawn(
      executor,
      Attempt(std::move(self), std::move(r), std::move(s), std::move(request)),
      asio::detached);
}

core::awaitable<call_end> dispatcher::impl::RunIdempotent(self_ptr self, call c,
                                                          bool bulk) {
  const auto r = std::make_shared<race>(self->executor, self->clock);
  const auto give_up = [&](end_reason why) {
    const bool may_have_run = r->sent || r->running > 0;
    if (!may_have_run) return self->Refusal(why);
    const bool late = self->clock.Now() >= c.deadline;
    return call_end{ending::kFailed,
                    late ? end_reason::kDeadline : r->last_fault, "",
                    std::nullopt, std::nullopt};
  };
  self->retries.Earn();
  self->hedges.Earn();
  bool may_hedge = true;
  bool may_retry = true;
  for (int tries = 0;; ++tries) {
    if (tries > 0 && r->running == 0) {
      if (!self->retries.Spend()) co_return give_up(end_reason::kOverloaded);
      self->retries_total.Add();
      const core::time_point at = self->clock.Now() + self->Backoff(tries);
      co_await core::SleepUntil(self->clock, std::min(at, c.deadline));
    }
    if (self->clock.Now() >= c.deadline) co_return give_up(r->last_fault);
    const auto wish = self->Wish(c, false, bulk);
    wish->tried = r->tried;
    std::optional<slot> s;
    if (r->running == 0) {
      s = co_await Acquire(self, wish);
      if (!s) co_return give_up(*wish->refused);
    } else {
      s = self->TryAcquire(*wish);
    }
    if (s) StartAttempt(self, r, std::move(*s), c);
    // Waits for the answer; a hedge starts in the slow tail, and a retry at
    // half of the time left, both beside the attempts that run.
    const core::time_point now = self->clock.Now();
    const core::time_point retry_at = now + (c.deadline - now) / 2;
    const duration_estimate& known =
        self->services[wish->service].run_time[c.operation];
    const bool hedge_first = may_hedge && known.IsKnown() &&
                             now + known.Tail() < retry_at &&
                             self->queue.Size() == 0;
    if (hedge_first) {
      co_await WaitForRace(self, r, now + known.Tail());
      if (r->end) co_return *r->end;
      may_hedge = false;
      if (r->running > 0 && self->hedges.Spend()) {
        self->hedges_total.Add();
        continue;
      }
    }
    co_await WaitForRace(self, r, may_retry ? retry_at : c.deadline);
    if (r->end) co_return *r->end;
    if (r->running == 0) continue;
    may_retry =
        may_retry && self->clock.Now() < c.deadline && self->retries.Spend();
    if (may_retry) {
      self->retries_total.Add();
      may_retry = false;
      continue;
    }
    co_await WaitForRace(self, r, c.deadline);
    if (r->end) co_return *r->end;
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

void dispatcher::Grant(const control::slot_grants& grants) {
  const auto sent = impl_->reports.find(grants.report_number);
  if (sent == impl_->reports.end()) return;
  if (impl_->slots.Grant(grants, sent->second)) impl_->Pump();
}

control::slot_report dispatcher::Report() {
  const core::time_point now = impl_->clock.Now();
  control::slot_report report;
  report.number = impl_->next_report++;
  impl_->reports[report.number] = now;
  if (impl_->reports.size() > kReportsKept) {
    impl_->reports.erase(impl_->reports.begin());
  }
  const slot_table::kept_set& kept = impl_->slots.Kept();
  report.term = kept.t;
  report.applied_sequence = kept.sequence;
  if (now < kept.end) report.held = kept.grants;
  for (auto& [service, s] : impl_->services) {
    impl::Smooth(s, now - impl_->last_report);
    // A service without demand keeps a share for a while; listing all that
    // were ever called would cost too much of the entry's bandwidth.
    if (s.wanted == 0 && s.last_call + kIdleServiceMemory < now) continue;
    report.demand.push_back({service, static_cast<std::int64_t>(std::ceil(
                                          s.reported / kDemandUnit))});
  }
  impl_->last_report = now;
  std::erase_if(impl_->services, [this](const auto& entry) {
    return entry.second.wanted == 0 && impl_->view.Find(entry.first) == nullptr;
  });
  return report;
}

core::event& dispatcher::NeedsReport() { return impl_->needs_report; }

void dispatcher::SetCutOff(bool cut_off) {
  impl_->cut_off = cut_off;
  if (cut_off) impl_->RefuseWaiting(end_reason::kCutOff);
}

core::awaitable<void> dispatcher::Drain(core::time_point deadline) {
  const auto self = impl_;
  self->draining = true;
  while (self->active > 0 && self->clock.Now() < deadline) {
    co_await self->idle.WaitUntil(deadline);
  }
}

}  // namespace mangoplank::calls
