#include <algorithm>
#include <cmath>
#include <numeric>

#include "dispatch/dispatcher_impl.h"

/// Calls to the eligibility service: which workers may run a step.
namespace mangoplank::dispatch {

using core::awaitable;

namespace {

/// Life that a ticket must still have: the start is recorded and sent first.
constexpr core::milliseconds kTicketReserve{150};
/// Time a ticket may have spent on its way here.
constexpr core::milliseconds kTicketTravel{60};
/// Pause after the eligibility service gave no answer.
constexpr core::milliseconds kAskPause{200};
/// Most workers that one call may name.
constexpr std::size_t kMaxAsked = 100;
/// Workers whose tickets are renewed for each task of a gang that waits for
/// room.
constexpr std::size_t kRenewedPerTask = 2;
/// Eligible workers of a gang should hold this multiple of its tasks when they
/// are empty; with less it would wait for nearly all of them.
constexpr std::size_t kCapacityFactor = 2;

/// @return at most `most` of the workers, those with the most room.
std::vector<core::worker_id> Roomiest(std::vector<usable_worker> workers,
                                      std::size_t most) {
  std::sort(workers.begin(), workers.end(),
            [](const usable_worker& a, const usable_worker& b) {
              return (a.room + a.leaving).cpu_milli >
                     (b.room + b.leaving).cpu_milli;
            });
  std::vector<core::worker_id> ids;
  for (const usable_worker& w : workers) {
    if (ids.size() < std::min(most, kMaxAsked)) {
      ids.push_back(w.a->about.key.id);
    }
  }
  return ids;
}

}  // namespace

bool dispatcher::impl::IsValid(const ticket& t) const {
  return t.expires >= clock.Now() + kTicketReserve;
}

core::milliseconds dispatcher::impl::AskCost(const workflow::queue& q,
                                             std::size_t n) const {
  return core::milliseconds(static_cast<std::int64_t>(
      std::ceil(q.eligibility->decision_ms +
                q.eligibility->per_worker_ms * static_cast<double>(n))));
}

void dispatcher::impl::Prepare(const workflow::job_spec& spec,
                               const workflow::queue& q) {
  if (!q.eligibility || spec.repeat_count > 0) return;
  for (std::uint32_t i = 0; i < spec.steps.size(); ++i) {
    const workflow::step& s = spec.steps[i];
    if (!s.depends_on.empty()) continue;
    waiting_tasks all;
    all.indexes.resize(s.count);
    std::iota(all.indexes.begin(), all.indexes.end(), 0U);
    const step_key key{spec.id, 0, i};
    Inquire(q, key, s, all, {}, eligible[key]);
  }
}

void dispatcher::impl::ForgetEligibility(const std::string& job) {
  const auto first = eligible.lower_bound({job, 0, 0});
  auto last = first;
  while (last != eligible.end() && last->first.job == job) ++last;
  eligible.erase(first, last);
}

/// Answers hold for one life of a worker: the next may be of another kind.
void dispatcher::impl::ForgetEligibility(const core::worker_id& worker) {
  for (auto& [key, view] : eligible) {
    view.refused.erase(worker);
    view.tickets.erase(worker);
  }
}

/// Asks about a step whose tasks wait. The first call names all workers, so
/// that it is known who may run the step; later ones those with room whose
/// tickets have expired.
/// For a gang that keeps room tickets are renewed before they expire, also
/// where there is no room yet: it can then start as soon as there is.
void dispatcher::impl::Inquire(const workflow::queue& q, const step_key& key,
                               const workflow::step& s,
                               const waiting_tasks& waiting, gang_outlook gang,
                               eligibility_view& view) {
  if (view.asking || clock.Now() < view.ask_after) return;
  const core::resources need = NeedOf(s);
  const bool is_first = view.tickets.empty() && view.refused.empty();
  std::vector<usable_worker> unknown;
  std::vector<usable_worker> renewed;
  // Tasks that fit on workers known to be eligible if those are empty.
  std::size_t capacity = 0;
  const core::time_point renew_at =
      clock.Now() + kTicketReserve +
      (gang.keeps_room ? AskCost(q, waiting.indexes.size() * kRenewedPerTask)
                       : core::milliseconds(0));
  for (const usable_worker& w : usable[q.pool]) {
    // Spares the look-ups below: most workers are full when many steps wait.
    if (!is_first && !s.gang && !w.room.Holds(need)) continue;
    const core::worker_id& id = w.a->about.key.id;
    if (view.refused.contains(id) || !w.a->about.capacity.Holds(need)) continue;
    const auto t = view.tickets.find(id);
    if (t == view.tickets.end()) {
      const bool has_room = w.room.Holds(need);
      if (has_room || is_first) unknown.push_back(w);
      continue;
    }
    // Room that a step of a higher rank asks about is not there for others.
    const std::size_t fits = Fits(s.gang ? w.free : w.room, need, s.count);
    capacity += Fits(w.a->about.capacity, need, s.count);
    if (fits == 0 && !gang.keeps_room) continue;
    if (t->second.expires < renew_at) renewed.push_back(w);
  }
  const bool gang_fits = !s.gang || gang.fitting >= waiting.indexes.size();
  // Others that have room now are better than a wait for room on those that are
  // known; a wide gang needs more of them than the first call has found.
  const bool too_few =
      s.gang && (gang.fitting < waiting.indexes.size() ||
                 capacity < waiting.indexes.size() * kCapacityFactor);
  const bool ask_more = too_few && !unknown.empty();
  if (!ask_more && !renewed.empty() && (gang_fits || gang.keeps_room)) {
    const std::size_t wanted = waiting.indexes.size() * kRenewedPerTask;
    view.asking = true;
    view.renewed = Roomiest(std::move(renewed), wanted);
    Spawn(Ask(q, key, view.renewed));
    return;
  }
  if (unknown.empty()) return;
  view.asking = true;
  Spawn(Ask(q, key, Roomiest(std::move(unknown), kMaxAsked)));
}

/// Keeps the room of workers whose tickets are being renewed from steps of a
/// lower rank: they would ask about it as well, and only one can have it.
/// @param tasks that wait.
void dispatcher::impl::KeepAskedRoom(const workflow::step& s,
                                     const eligibility_view& view,
                                     std::size_t tasks) {
  const core::resources need = NeedOf(s);
  for (const core::worker_id& id : view.renewed) {
    const auto w = usable_by_id.find(id);
    if (w == usable_by_id.end()) continue;
    for (; tasks > 0 && w->second->room.Holds(need); --tasks) {
      w->second->room = w->second->room - need;
    }
  }
}

awaitable<void> dispatcher::impl::Ask(workflow::queue q, step_key key,
                                      std::vector<core::worker_id> asked) {
  const auto self = shared_from_this();
  const core::milliseconds cost = AskCost(q, asked.size());
  const workflow::task_id step{key.job, key.occurrence, key.step, 0};
  metered.inquiries.Add();
  const auto rows = co_await eligibility.Ask(step, asked, cost, q.priority);
  if (stopped) co_return;
  const auto it = eligible.find(key);
  if (it == eligible.end()) co_return;
  eligibility_view& view = it->second;
  view.asking = false;
  view.renewed.clear();
  if (!rows) {
    view.ask_after = clock.Now() + kAskPause;
    co_return;
  }
  const core::time_point expires =
      clock.Now() + core::milliseconds(q.eligibility->ticket_life_ms) -
      kTicketTravel;
  std::set<core::worker_id> left(asked.begin(), asked.end());
  for (const workflow::eligible_worker& e : *rows) {
    left.erase(e.id);
    view.tickets[e.id] = {e.ticket, expires};
  }
  for (const core::worker_id& id : left) view.refused.insert(id);
  Wake();
}

}  // namespace mangoplank::dispatch
