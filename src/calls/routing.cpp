#include <algorithm>
#include <cmath>

#include "calls/dispatcher_impl.h"

namespace mangoplank::calls {

using core::overloaded;

namespace {

/// Bulk work leaves slots free for this time after the last quick call.
constexpr core::duration kQuickCallWindow = std::chrono::seconds(30);
constexpr double kQuickMarginSigmas = 2;
/// Time for which a measured rate is used.
constexpr core::duration kRateValidity = std::chrono::seconds(1);
/// Lower bound of run-time estimates: a call with less time left is not
/// started.
constexpr core::duration kMinRunTime = std::chrono::milliseconds(1);

worker_key KeyOf(const worker_target& target) {
  return {target.worker, target.incarnation};
}

/// Order of preference among free workers: lower is better.
struct worker_rank {
  bool avoided = true;
  std::int64_t in_flight = 0;

  friend auto operator<=>(const worker_rank&, const worker_rank&) = default;
};

struct candidate {
  const worker_target* target = nullptr;
  worker_rank rank;
};

void KeepBetter(candidate& best, const worker_target& target,
                worker_rank rank) {
  if (best.target != nullptr && !(rank < best.rank)) return;
  best = {&target, rank};
}

}  // namespace

dispatcher::impl::slot::slot(self_ptr self, worker_target target, bool bulk)
    : self_(std::move(self)), target_(std::move(target)), bulk_(bulk) {
  self_->slots.Acquire(KeyOf(target_), bulk_);
}

dispatcher::impl::slot& dispatcher::impl::slot::operator=(
    slot&& other) noexcept {
  std::swap(self_, other.self_);
  std::swap(target_, other.target_);
  std::swap(bulk_, other.bulk_);
  return *this;
}

dispatcher::impl::slot::~slot() {
  if (!self_) return;
  self_->slots.Release(KeyOf(target_), bulk_);
  self_->ServeWaiting();
}

bool dispatcher::impl::slot::IsCovered() const {
  return self_->slots.IsCovered(KeyOf(target_), self_->clock.Now());
}

const std::vector<dispatcher::impl::route>& dispatcher::impl::RoutesOf(
    const cell::object_key& service) {
  service_routes& known = routes[service];
  if (known.revision == view.Revision() && known.revision != 0)
    return known.routes;
  known.revision = view.Revision();
  known.routes.clear();
  for (const cell::worker_record* worker : view.FindWorkersOf(service)) {
    known.routes.push_back({{worker->id, worker->incarnation, worker->address},
                            worker->location.region == region});
  }
  return known.routes;
}

bool dispatcher::impl::CanRunBulk(const cell::object_key& service,
                                  const std::vector<route>& candidates) {
  const core::time_point now = clock.Now();
  if (last_quick_arrival + kQuickCallWindow < now) return true;
  std::int64_t granted = 0;
  std::int64_t bulk_in_flight = 0;
  for (const route& worker_route : candidates) {
    const slot_use* const use = slots.Find(KeyOf(worker_route.target), now);
    if (use == nullptr) continue;
    granted += use->granted;
    bulk_in_flight += use->bulk_in_flight;
  }
  // Slots reserved for the quick calls of the service, with a margin for
  // bursts of Poisson arrivals.
  const double quick_slots = services[service].smoothed_quick_slots;
  const double reserved_slots =
      quick_slots + kQuickMarginSigmas * std::sqrt(quick_slots) + 1;
  const auto granted_slots = static_cast<double>(granted);
  const auto max_bulk = static_cast<std::int64_t>(std::min(
      granted_slots * settings.bulk_share, granted_slots - reserved_slots));
  return bulk_in_flight < std::max<std::int64_t>(max_bulk, 1);
}

std::optional<worker_target> dispatcher::impl::PickWorker(
    const slot_request& request) {
  const core::time_point now = clock.Now();
  const std::vector<route>& candidates = RoutesOf(request.service);
  if (candidates.empty() ||
      (request.bulk && !CanRunBulk(request.service, candidates)))
    return std::nullopt;
  // If all workers were tried, another attempt may use any of them.
  const bool all_tried = std::all_of(
      candidates.begin(), candidates.end(), [&](const route& worker_route) {
        return request.tried.contains(KeyOf(worker_route.target));
      });
  candidate local;
  candidate remote;
  bool local_has_slots = false;
  const std::size_t first = random() % candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const route& worker_route = candidates[(first + i) % candidates.size()];
    const worker_key key = KeyOf(worker_route.target);
    if (!all_tried && request.tried.contains(key)) continue;
    const slot_use* const use = slots.Find(key, now);
    if (use == nullptr) continue;
    local_has_slots |= worker_route.own_region;
    if (use->CountFree() <= 0) continue;
    KeepBetter(worker_route.own_region ? local : remote, worker_route.target,
               {use->avoid_until > now, use->in_flight});
  }
  if (local.target != nullptr) return *local.target;
  if (remote.target == nullptr) return std::nullopt;
  const bool local_in_time =
      local_has_slots &&
      now + EstimateWait(request) + EstimateRunTime(request) < request.deadline;
  if (local_in_time) return std::nullopt;
  return *remote.target;
}

core::duration dispatcher::impl::EstimateRunTime(const slot_request& request) {
  const service_state& state = services[request.service];
  const auto it = state.run_times.find(request.operation);
  if (it == state.run_times.end()) return kMinRunTime;
  return std::max(kMinRunTime, it->second.Mean());
}

core::duration dispatcher::impl::EstimateWait(const slot_request& request) {
  const queue_rate& rate =
      services[request.service].rates[request.bulk ? 1 : 0];
  // An old rate may be wrong, and refusals based on it would prevent a new
  // measurement.
  const bool is_old = rate.measured_at + kRateValidity < clock.Now();
  if (is_old || !rate.interval.HasEnoughSamples())
    return core::duration::zero();
  const auto ahead = static_cast<std::int64_t>(queue.CountAhead(request));
  return rate.interval.Mean() * (ahead + 1);
}

std::optional<end_reason> dispatcher::impl::CheckAdmission(
    const slot_request& request) {
  if (RoutesOf(request.service).empty()) return end_reason::kNoWorker;
  if (queue.CountWaiting(request) >= settings.max_waiting) {
    return end_reason::kOverloaded;
  }
  if (clock.Now() + EstimateWait(request) + EstimateRunTime(request) >
      request.deadline) {
    return end_reason::kOverloaded;
  }
  return std::nullopt;
}

std::optional<dispatcher::impl::slot> dispatcher::impl::TryAcquire(
    const slot_request& request) {
  auto target = PickWorker(request);
  if (!target) return std::nullopt;
  return slot(shared_from_this(), std::move(*target), request.bulk);
}

core::awaitable<std::optional<dispatcher::impl::slot>>
dispatcher::impl::Acquire(self_ptr self,
                          std::shared_ptr<slot_request> request) {
  // A new call does not overtake queued calls of the same service.
  if (self->queue.CountAhead(*request) == 0) {
    auto free = self->TryAcquire(*request);
    if (free) co_return free;
  }
  request->refusal_reason = self->CheckAdmission(*request);
  if (request->refusal_reason) co_return std::nullopt;
  self->queue.Add(request);
  if (!self->HasGrant(request->service)) self->report_needed.NotifyAll();
  self->waiting_gauge.Set(static_cast<double>(self->queue.Size()));
  while (!request->assigned && !request->refusal_reason) {
    if (co_await request->decided.WaitUntil(request->deadline)) continue;
    if (request->assigned || request->refusal_reason) break;
    self->queue.Remove(request);
    request->refusal_reason = end_reason::kOverloaded;
  }
  self->waiting_gauge.Set(static_cast<double>(self->queue.Size()));
  if (!request->assigned) co_return std::nullopt;
  // ServeRequest acquired the slot; its ownership moves to `held`.
  slot held(self, *request->assigned, request->bulk);
  self->slots.Release(KeyOf(*request->assigned), request->bulk);
  co_return std::optional<slot>(std::move(held));
}

bool dispatcher::impl::HasGrant(const cell::object_key& service) {
  const std::vector<route>& candidates = RoutesOf(service);
  return std::any_of(
      candidates.begin(), candidates.end(), [&](const route& worker_route) {
        return slots.Find(KeyOf(worker_route.target), clock.Now()) != nullptr;
      });
}

bool dispatcher::impl::ServeRequest(slot_request& request) {
  const core::time_point now = clock.Now();
  if (now + EstimateRunTime(request) > request.deadline) {
    request.refusal_reason = end_reason::kOverloaded;
    request.decided.NotifyAll();
    return true;
  }
  auto target = PickWorker(request);
  if (!target) return false;
  slots.Acquire(KeyOf(*target), request.bulk);
  request.assigned = std::move(target);
  request.decided.NotifyAll();
  queue_rate& rate = services[request.service].rates[request.bulk ? 1 : 0];
  // An interval during which the queue was empty does not measure the rate.
  if (rate.last_departure != core::time_point{}) {
    rate.interval.Add(now - rate.last_departure);
    rate.measured_at = now;
  }
  rate.last_departure =
      queue.CountInSubqueue(request) > 1 ? now : core::time_point{};
  return true;
}

void dispatcher::impl::ServeWaiting() {
  if (is_serving || queue.Size() == 0) return;
  is_serving = true;
  queue.Serve([this](slot_request& request) { return ServeRequest(request); });
  is_serving = false;
}

void dispatcher::impl::RefuseWaiting(end_reason reason) {
  for (const auto& request : queue.RemoveAll()) {
    request->refusal_reason = reason;
    request->decided.NotifyAll();
  }
}

core::awaitable<worker_reply> dispatcher::impl::Exchange(
    self_ptr self, worker_target to, worker_request request,
    core::time_point deadline) {
  const cell::worker_record* const record = self->view.FindWorker(to.worker);
  const bool is_cross_region =
      record != nullptr && record->location.region != self->region;
  exchange_result result =
      co_await self->transport.Exchange(to, request, deadline);
  if (is_cross_region) {
    self->cross_region_out.Add(result.bytes_out);
    self->cross_region_in.Add(result.bytes_in);
  }
  if (const auto* fault = std::get_if<exchange_fault>(&result.reply)) {
    CountFault(self->metrics, fault->kind);
  }
  co_return std::move(result.reply);
}

void dispatcher::impl::ObserveReply(const worker_target& to,
                                    const worker_request& request,
                                    const worker_reply& reply,
                                    core::duration took) {
  const worker_key key = KeyOf(to);
  const auto observe_run = [&] {
    slots.OnAnswer(key);
    const cell::object_key service{cell::object_kind::kService,
                                   request.department, request.service};
    services[service].run_times[request.operation].Add(took);
  };
  std::visit(
      overloaded{
          [&](const worker_done&) { observe_run(); },
          [&](const worker_failed&) { observe_run(); },
          [&](const worker_refused& refused) {
            metrics
                .Counter("mangoplank_call_worker_refusals_total",
                         "Calls that a worker refused.",
                         {{"reason", std::string(Name(refused.reason))}})
                .Add();
            slots.OnRefusal(key, clock.Now());
          },
          [&](const exchange_fault&) { slots.OnRefusal(key, clock.Now()); },
          [](const worker_running&) {}, [](const worker_unknown_id&) {},
          [](const worker_cancelled&) {}},
      reply);
}

}  // namespace mangoplank::calls
