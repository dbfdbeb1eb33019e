#include <algorithm>
#include <cmath>

#include "calls/dispatcher_impl.h"

namespace mangoplank::calls {

using core::overloaded;

namespace {

/// Bulk work leaves slots free for this long after the last quick call.
constexpr core::duration kQuickMemory = std::chrono::seconds(30);
constexpr double kQuickMargin = 2;
/// A measured rate counts for this long.
constexpr core::duration kRateMemory = std::chrono::seconds(1);
/// Until a run time is known, a call with less time left than this is not
/// started.
constexpr core::duration kShortestRun = std::chrono::milliseconds(1);

worker_key KeyOf(const worker_target& t) { return {t.worker, t.incarnation}; }

/// What ranks free workers: lower is better.
struct rank {
  bool avoided = true;
  std::int64_t in_flight = 0;

  friend auto operator<=>(const rank&, const rank&) = default;
};

struct candidate {
  const worker_target* target = nullptr;
  rank r;
};

void Offer(candidate& best, const worker_target& target, rank r) {
  if (best.target != nullptr && !(r < best.r)) return;
  best = {&target, r};
}

}  // namespace

dispatcher::impl::slot::slot(self_ptr self, worker_target target, bool bulk)
    : self_(std::move(self)), target_(std::move(target)), bulk_(bulk) {
  self_->slots.Take(KeyOf(target_), bulk_);
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
  self_->Pump();
}

bool dispatcher::impl::slot::IsCovered() const {
  return self_->slots.Covers(KeyOf(target_), self_->clock.Now());
}

const std::vector<dispatcher::impl::route>& dispatcher::impl::RoutesOf(
    const cell::object_key& service) {
  service_routes& known = routes[service];
  if (known.at == view.At() && known.at != 0) return known.routes;
  known.at = view.At();
  known.routes.clear();
  for (const cell::worker_record* w : view.WorkersOf(service)) {
    known.routes.push_back(
        {{w->id, w->incarnation, w->address}, w->location.region == region});
  }
  return known.routes;
}

bool dispatcher::impl::BulkMayRun(const cell::object_key& service,
                                  const std::vector<route>& all) {
  const core::time_point now = clock.Now();
  if (last_quick + kQuickMemory < now) return true;
  std::int64_t granted = 0;
  std::int64_t bulk = 0;
  for (const route& r : all) {
    const slot_use* const use = slots.Find(KeyOf(r.target), now);
    if (use == nullptr) continue;
    granted += use->granted;
    bulk += use->bulk_in_flight;
  }
  // Room for the quick calls of the service, with a margin for bursts of
  // Poisson arrivals.
  const double quick = services[service].quick_smoothed;
  const double room = quick + kQuickMargin * std::sqrt(quick) + 1;
  const auto all_slots = static_cast<double>(granted);
  const auto most = static_cast<std::int64_t>(
      std::min(all_slots * settings.bulk_share, all_slots - room));
  return bulk < std::max<std::int64_t>(most, 1);
}

std::optional<worker_target> dispatcher::impl::Pick(const slot_wish& w) {
  const core::time_point now = clock.Now();
  const std::vector<route>& all = RoutesOf(w.service);
  if (all.empty() || (w.bulk && !BulkMayRun(w.service, all)))
    return std::nullopt;
  // When all were tried, a further try goes to any of them.
  const bool all_tried = std::all_of(
      all.begin(), all.end(),
      [&](const route& r) { return w.tried.contains(KeyOf(r.target)); });
  candidate own;
  candidate other;
  bool own_has_slots = false;
  const std::size_t first = random() % all.size();
  for (std::size_t i = 0; i < all.size(); ++i) {
    const route& r = all[(first + i) % all.size()];
    const worker_key key = KeyOf(r.target);
    if (!all_tried && w.tried.contains(key)) continue;
    const slot_use* const use = slots.Find(key, now);
    if (use == nullptr) continue;
    own_has_slots |= r.own_region;
    if (use->Free() <= 0) continue;
    Offer(r.own_region ? own : other, r.target,
          {use->avoid_until > now, use->in_flight});
  }
  if (own.target != nullptr) return *own.target;
  if (other.target == nullptr) return std::nullopt;
  const bool own_in_time =
      own_has_slots && now + ExpectedWait(w) + ExpectedRun(w) < w.deadline;
  if (own_in_time) return std::nullopt;
  return *other.target;
}

core::duration dispatcher::impl::ExpectedRun(const slot_wish& w) {
  const service_state& s = services[w.service];
  const auto it = s.run_time.find(w.operation);
  if (it == s.run_time.end()) return kShortestRun;
  return std::max(kShortestRun, it->second.Mean());
}

core::duration dispatcher::impl::ExpectedWait(const slot_wish& w) {
  const queue_rate& rate = services[w.service].rates[w.bulk ? 1 : 0];
  // An old rate may no longer hold, and refusals on its account would keep it
  // from being measured again.
  const bool is_old = rate.measured_at + kRateMemory < clock.Now();
  if (is_old || !rate.interval.IsKnown()) return core::duration::zero();
  const auto ahead = static_cast<std::int64_t>(queue.Ahead(w));
  return rate.interval.Mean() * (ahead + 1);
}

std::optional<end_reason> dispatcher::impl::RefuseEarly(const slot_wish& w) {
  if (RoutesOf(w.service).empty()) return end_reason::kNoWorker;
  if (queue.Waiting(w) >= settings.max_waiting) {
    return end_reason::kOverloaded;
  }
  if (clock.Now() + ExpectedWait(w) + ExpectedRun(w) > w.deadline) {
    return end_reason::kOverloaded;
  }
  return std::nullopt;
}

std::optional<dispatcher::impl::slot> dispatcher::impl::TryAcquire(
    const slot_wish& w) {
  auto target = Pick(w);
  if (!target) return std::nullopt;
  return slot(shared_from_this(), std::move(*target), w.bulk);
}

core::awaitable<std::optional<dispatcher::impl::slot>>
dispatcher::impl::Acquire(self_ptr self, std::shared_ptr<slot_wish> w) {
  // A newcomer passes nobody who waits for the same service.
  if (self->queue.Ahead(*w) == 0) {
    auto free = self->TryAcquire(*w);
    if (free) co_return free;
  }
  w->refused = self->RefuseEarly(*w);
  if (w->refused) co_return std::nullopt;
  self->queue.Add(w);
  if (!self->HasGrant(w->service)) self->needs_report.NotifyAll();
  self->waiting_gauge.Set(static_cast<double>(self->queue.Size()));
  while (!w->given && !w->refused) {
    if (co_await w->decided.WaitUntil(w->deadline)) continue;
    if (w->given || w->refused) break;
    self->queue.Remove(w);
    w->refused = end_reason::kOverloaded;
  }
  self->waiting_gauge.Set(static_cast<double>(self->queue.Size()));
  if (!w->given) co_return std::nullopt;
  // Pump took the slot; the holder takes it over.
  slot held(self, *w->given, w->bulk);
  self->slots.Release(KeyOf(*w->given), w->bulk);
  co_return std::optional<slot>(std::move(held));
}

bool dispatcher::impl::HasGrant(const cell::object_key& service) {
  const std::vector<route>& all = RoutesOf(service);
  return std::any_of(all.begin(), all.end(), [&](const route& r) {
    return slots.Find(KeyOf(r.target), clock.Now()) != nullptr;
  });
}

bool dispatcher::impl::ServeWish(slot_wish& w) {
  const core::time_point now = clock.Now();
  if (now + ExpectedRun(w) > w.deadline) {
    w.refused = end_reason::kOverloaded;
    w.decided.NotifyAll();
    return true;
  }
  auto target = Pick(w);
  if (!target) return false;
  slots.Take(KeyOf(*target), w.bulk);
  w.given = std::move(target);
  w.decided.NotifyAll();
  queue_rate& rate = services[w.service].rates[w.bulk ? 1 : 0];
  // An interval across a time without a queue says nothing of the rate.
  if (rate.last_left != core::time_point{}) {
    rate.interval.Add(now - rate.last_left);
    rate.measured_at = now;
  }
  rate.last_left = queue.InLane(w) > 1 ? now : core::time_point{};
  return true;
}

void dispatcher::impl::Pump() {
  if (pumping || queue.Size() == 0) return;
  pumping = true;
  queue.Serve([this](slot_wish& w) { return ServeWish(w); });
  pumping = false;
}

void dispatcher::impl::RefuseWaiting(end_reason why) {
  for (const auto& w : queue.TakeAll()) {
    w->refused = why;
    w->decided.NotifyAll();
  }
}

core::awaitable<worker_reply> dispatcher::impl::Exchange(
    self_ptr self, worker_target to, worker_request r,
    core::time_point deadline) {
  const cell::worker_record* const record = self->view.FindWorker(to.worker);
  const bool crosses =
      record != nullptr && record->location.region != self->region;
  exchange_result result = co_await self->transport.Exchange(to, r, deadline);
  if (crosses) {
    self->cross_region_out.Add(result.bytes_out);
    self->cross_region_in.Add(result.bytes_in);
  }
  if (const auto* fault = std::get_if<exchange_fault>(&result.reply)) {
    CountFault(self->metrics, fault->k);
  }
  co_return std::move(result.reply);
}

void dispatcher::impl::Note(const worker_target& to, const worker_request& r,
                            const worker_reply& reply, core::duration took) {
  const worker_key key = KeyOf(to);
  const auto measured = [&] {
    slots.OnAnswer(key);
    const cell::object_key service{cell::object_kind::kService, r.department,
                                   r.service};
    services[service].run_time[r.operation].Add(took);
  };
  std::visit(
      overloaded{
          [&](const worker_done&) { measured(); },
          [&](const worker_failed&) { measured(); },
          [&](const worker_refused& refused) {
            metrics
                .Counter("mangoplank_call_worker_refusals_total",
                         "Calls that a worker refused.",
                         {{"reason", std::string(Name(refused.why))}})
                .Add();
            slots.OnRefusal(key, clock.Now());
          },
          [&](const exchange_fault&) { slots.OnRefusal(key, clock.Now()); },
          [](const worker_running&) {}, [](const worker_unknown_id&) {},
          [](const worker_gave_up&) {}},
      reply);
}

}  // namespace mangoplank::calls
