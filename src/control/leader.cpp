#include "mangoplank/control/leader.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace mangoplank::control {

namespace asio = boost::asio;
using cell::accepted;
using core::awaitable;
using core::failure;
using core::outcome;
using core::overloaded;

namespace {

constexpr core::milliseconds kTick{200};
constexpr core::milliseconds kPromotionInterval{1'000};
constexpr core::milliseconds kCompactionInterval{30'000};
/// An entry that was not heard of for this long is not listed any more.
constexpr core::milliseconds kEntryForgottenAfter{60'000};
constexpr std::uint32_t kMaxPage = 1000;

object_view ViewOf(const cell::state& s, const cell::object& o) {
  object_view v{.o = o, .status = s.StatusOf(o.uid)};
  if (o.key.k == cell::object_kind::kWorker) {
    const core::worker_id id{o.key.name};
    if (const auto* const w = s.FindWorker(id)) v.worker = *w;
    v.committed = s.Committed(id);
  }
  return v;
}

list_answer List(const cell::state& s, const list_request& r) {
  list_answer a{.at = s.At()};
  const std::uint32_t limit = std::min(r.limit, kMaxPage);
  for (const auto& [key, o] : s.Objects()) {
    if (key.department != r.department || (r.k && key.k != *r.k)) continue;
    if (!r.name.empty() && key.name != r.name) continue;
    if (!r.after.empty() && key.name <= r.after) continue;
    if (a.objects.size() == limit) {
      a.more = true;
      break;
    }
    a.objects.push_back(ViewOf(s, o));
  }
  return a;
}

}  // namespace

struct leader::impl : std::enable_shared_from_this<leader::impl> {
  impl(leader_settings s, asio::any_io_executor e, core::clock& c, machine& m,
       consensus::node& n, metrics::registry& r)
      : settings(std::move(s)),
        executor(std::move(e)),
        clock(c),
        replicated(m),
        node(n),
        leases(settings.leases),
        slots(settings.slots),
        work(executor, clock),
        replies(executor, clock),
        placed(r.Counter("mangoplank_tasks_placed_total",
                         "Tasks assigned to workers.")),
        refused(r.Counter("mangoplank_placements_refused_total",
                          "Placement groups that no longer fitted.")),
        evicted(r.Counter("mangoplank_tasks_evicted_total",
                          "Tasks asked to stop to give room.")),
        expired(r.Counter("mangoplank_worker_leases_ended_total",
                          "Workers removed because their lease ended.")),
        announced(r.Counter("mangoplank_announcements_total",
                            "Announcements taken by this leader.")),
        decide_time(r.Histogram("mangoplank_placement_round_seconds",
                                "Processor time of one placement round.")) {}

  bool Leads() const { return leads && node.HoldsLease(); }

  void Rebuild();
  awaitable<void> PlacementLoop();
  awaitable<void> Commit(const placement::round& round);
  awaitable<void> Assign(const placement::round& round);
  awaitable<void> Evict(const placement::round& round);
  awaitable<void> LeaseLoop();
  awaitable<void> CompactionLoop();
  awaitable<void> PromotionLoop();
  cell::compact_records Compaction() const;
  awaitable<void> ReplyLoop();

  bool Admit(const announcement& a, const std::shared_ptr<entry_sink>& sink,
             core::time_point received);
  awaitable<void> Register(announcement a, cell::register_worker r,
                           std::shared_ptr<entry_sink> sink,
                           core::time_point received);
  awaitable<void> Take(std::vector<announcement> admitted,
                       std::shared_ptr<entry_sink> sink,
                       core::time_point received);
  void HoldBack(announcement a, const std::shared_ptr<entry_sink>& sink,
                core::time_point received);
  announcement_reply ReplyTo(const announcement& a) const;

  awaitable<outcome<answer>> Handle(propose_request r);
  awaitable<outcome<answer>> Handle(list_request r);
  awaitable<outcome<answer>> Handle(explain_request r);
  awaitable<outcome<answer>> Handle(call_request r);
  awaitable<outcome<answer>> Handle(status_request r);

  struct pending {
    announcement a;
    std::shared_ptr<entry_sink> sink;
    core::time_point due;
  };
  struct known_entry {
    hello h;
    core::revision in_force = 0;
    core::time_point heard;
  };

  leader_settings settings;
  asio::any_io_executor executor;
  core::clock& clock;
  machine& replicated;
  consensus::node& node;
  membership::lease_table leases;
  calls::slot_allocator slots;
  core::event work;
  core::event replies;

  bool stopped = false;
  bool leads = false;
  core::term term = 0;
  /// Counts changes of leadership; work begun under another one is dropped.
  std::uint64_t epoch = 0;
  std::optional<placement::scheduler> scheduler;
  bool work_waits = false;
  std::map<core::worker_id, pending> held;
  std::multimap<core::time_point, core::worker_id> due;
  /// Workers whose tasks changed since the replies were last looked at.
  std::set<core::worker_id> touched;
  std::map<core::member_id, known_entry> entries;

  metrics::counter& placed;
  metrics::counter& refused;
  metrics::counter& evicted;
  metrics::counter& expired;
  metrics::counter& announced;
  metrics::histogram& decide_time;
};

// --- Leadership -------------------------------------------------------------

void leader::impl::Rebuild() {
  const core::time_point now = clock.Now();
  const cell::state& s = replicated.State();
  leases.Reset(s, now);
  slots.Reset(term, now);
  scheduler.emplace(settings.policy, settings.seed);
  for (const auto& [key, o] : s.Objects()) {
    scheduler->Observe(cell::object_changed{o}, now);
  }
  for (const auto& [id, w] : s.Workers()) {
    scheduler->Observe(cell::worker_changed{w}, now);
  }
  for (const auto& [id, t] : s.Tasks()) {
    scheduler->Observe(cell::task_changed{t}, now);
  }
}

void leader::OnLeadership(bool leads, core::term t) {
  impl& i = *impl_;
  i.leads = leads;
  i.term = t;
  ++i.epoch;
  i.held.clear();
  i.due.clear();
  i.touched.clear();
  i.scheduler.reset();
  if (leads) i.Rebuild();
  spdlog::info("{} in term {}", leads ? "leads" : "does not lead", t);
  i.work.NotifyAll();
  i.replies.NotifyAll();
}

void leader::OnRestored() {
  if (impl_->leads) impl_->Rebuild();
}

void leader::OnChanges(const std::vector<cell::change>& changes) {
  impl& i = *impl_;
  if (!i.leads) return;
  const core::time_point now = i.clock.Now();
  for (const cell::change& c : changes) {
    i.scheduler->Observe(c, now);
    const auto* const t = std::get_if<cell::task_changed>(&c);
    if (t && cell::HoldsResources(t->now.phase)) {
      i.touched.insert(t->now.worker);
    }
  }
  i.work_waits = true;
  i.work.NotifyAll();
  if (!i.touched.empty()) i.replies.NotifyAll();
}

// --- Placement ---------------------------------------------------------------

awaitable<void> leader::impl::PlacementLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    const core::time_point now = clock.Now();
    placement::round round;
    if (Leads()) {
      work_waits = false;
      round = scheduler->Decide(now);
      decide_time.Add(std::chrono::duration<double>(clock.Now() - now).count());
    }
    if (!round.decisions.empty()) co_await Commit(round);
    if (round.decisions.empty() && !work_waits) {
      co_await work.WaitUntil(now + kTick);
    }
    co_await core::SleepUntil(clock, now + settings.round_interval);
  }
}

awaitable<void> leader::impl::Commit(const placement::round& round) {
  co_await Evict(round);
  co_await Assign(round);
}

awaitable<void> leader::impl::Assign(const placement::round& round) {
  std::vector<placement::decision> proposed;
  cell::place_tasks command;
  for (const placement::decision& d : round.decisions) {
    const auto* const p = std::get_if<placement::place>(&d);
    if (!p) continue;
    proposed.push_back(d);
    command.groups.push_back(p->group);
  }
  if (command.groups.empty()) co_return;
  const std::uint64_t started = epoch;
  cell::command c;
  c.body = command;
  const auto answer = co_await replicated.Propose(node, std::move(c));
  if (epoch != started) co_return;
  const core::time_point now = clock.Now();
  if (!answer) {
    spdlog::warn("placement of {} groups: {}", proposed.size(),
                 core::Describe(answer.error()));
    for (const placement::decision& d : proposed) scheduler->Forget(d, now);
    co_return;
  }
  for (const auto& group : command.groups) placed.Add(group.size());
  for (const std::uint32_t i : answer->refused) {
    refused.Add();
    scheduler->Forget(proposed[i], now);
  }
}

awaitable<void> leader::impl::Evict(const placement::round& round) {
  cell::evict_tasks command;
  for (const placement::decision& d : round.decisions) {
    const auto* const e = std::get_if<placement::evict>(&d);
    if (!e) continue;
    command.tasks.insert(command.tasks.end(), e->tasks.begin(), e->tasks.end());
  }
  if (command.tasks.empty()) co_return;
  evicted.Add(command.tasks.size());
  const std::uint64_t started = epoch;
  cell::command c;
  c.body = std::move(command);
  const auto answer = co_await replicated.Propose(node, std::move(c));
  if (answer || epoch != started) co_return;
  spdlog::warn("eviction: {}", core::Describe(answer.error()));
  for (const placement::decision& d : round.decisions) {
    if (std::holds_alternative<placement::evict>(d)) {
      scheduler->Forget(d, clock.Now());
    }
  }
}

// --- Leases
// -------------------------------------------------------------------

awaitable<void> leader::impl::LeaseLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kTick);
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

cell::compact_records leader::impl::Compaction() const {
  std::vector<core::wall_time_ms> ended;
  for (const auto& [id, t] : replicated.State().Tasks()) {
    if (cell::IsFinal(t.phase)) ended.push_back(t.since);
  }
  const core::wall_time_ms before =
      clock.WallNow() - settings.retention.count();
  cell::compact_records c{.before = before, .jobs_before = before};
  if (ended.size() <= settings.max_ended_tasks) return c;
  const auto first_kept =
      ended.end() - static_cast<std::ptrdiff_t>(settings.max_ended_tasks);
  std::nth_element(ended.begin(), first_kept, ended.end());
  c.jobs_before = std::max(before, *first_kept);
  return c;
}

/// A member that came back with another disk is a learner. It votes again once
/// it has caught up, so that the loss of a second VM leaves a majority.
awaitable<void> leader::impl::PromotionLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kPromotionInterval);
    if (stopped || !Leads()) continue;
    const consensus::membership known = node.Status().members;
    for (consensus::member m : known.members) {
      if (m.voter) continue;
      m.voter = true;
      const auto changed = co_await node.ChangeMember(m, false);
      spdlog::info("member {}: {}", m.id.v,
                   changed ? "votes" : core::Describe(changed.error()));
    }
  }
}

awaitable<void> leader::impl::CompactionLoop() {
  const auto self = shared_from_this();
  while (!stopped) {
    co_await core::SleepFor(clock, kCompactionInterval);
    if (stopped || !Leads()) continue;
    cell::command c;
    c.body = Compaction();
    co_await replicated.Propose(node, std::move(c));
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
                             .t = term};
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

awaitable<void> leader::Announced(announcement_batch batch,
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
  const core::time_point reply_by = received + settings.hold;
  held[id] = {std::move(a), sink, reply_by};
  due.emplace(reply_by, id);
  touched.insert(id);
}

announcement_reply leader::impl::ReplyTo(const announcement& a) const {
  return {.worker = a.worker.id,
          .incarnation = a.worker.incarnation,
          .sequence = a.sequence,
          .t = term,
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
    const core::time_point tick = now + kTick;
    const core::time_point next =
        due.empty() || !Leads() ? tick : std::min(tick, due.begin()->first);
    co_await replies.WaitUntil(next);
  }
}

// --- Requests of entries
// ---------------------------------------------------------

awaitable<outcome<answer>> leader::impl::Handle(propose_request r) {
  if (r.dry_run) {
    const auto at = co_await node.ReadBarrier();
    if (!at) co_return at.error();
    r.c.at = clock.WallNow();
    cell::effect e = replicated.State().DryRun(r.c);
    if (!e.answer) co_return e.answer.error();
    co_return answer(std::move(*e.answer));
  }
  auto a = co_await replicated.Propose(node, std::move(r.c));
  if (!a) co_return a.error();
  co_return answer(std::move(*a));
}

awaitable<outcome<answer>> leader::impl::Handle(list_request r) {
  const auto at = co_await node.ReadBarrier();
  if (!at) co_return at.error();
  co_return answer(List(replicated.State(), r));
}

awaitable<outcome<answer>> leader::impl::Handle(explain_request r) {
  const auto at = co_await node.ReadBarrier();
  if (!at) co_return at.error();
  const cell::state& s = replicated.State();
  const cell::object* const o = s.Find(r.key);
  if (!o) co_return failure(core::not_found{r.key.name});
  if (!Leads()) co_return failure(core::not_leader{});
  explain_answer a{.at = s.At(),
                   .lines = scheduler->Explain(r.key, clock.Now()).lines};
  for (auto it = s.Tasks().lower_bound({o->uid, 0});
       it != s.Tasks().end() && it->first.job == o->uid &&
       a.tasks.size() < kMaxPage;
       ++it) {
    a.tasks.push_back(it->second);
  }
  co_return answer(std::move(a));
}

awaitable<outcome<answer>> leader::impl::Handle(call_request r) {
  const auto at = co_await node.ReadBarrier();
  if (!at) co_return at.error();
  call_answer a;
  if (const auto* const c = replicated.State().FindCall(r.key)) a.call = *c;
  co_return answer(std::move(a));
}

awaitable<outcome<answer>> leader::impl::Handle(status_request) {
  const auto at = co_await node.ReadBarrier();
  if (!at) co_return at.error();
  if (!Leads()) co_return failure(core::not_leader{});
  const core::time_point now = clock.Now();
  status_answer a{.at = replicated.State().At(), .t = term};
  for (const auto& [id, e] : entries) {
    const auto ago =
        std::chrono::duration_cast<core::milliseconds>(now - e.heard);
    a.entries.push_back({id, e.h.region, e.in_force, ago});
  }
  const consensus::node_status status = node.Status();
  for (const consensus::member& m : status.members.members) {
    a.members.push_back({m.id, status.leader == m.id, m.voter});
  }
  std::map<core::department_id, department_share> shares;
  for (const placement::share& s : scheduler->Shares(now)) {
    shares[s.department] = {s.department, s.dominant, s.due, s.history};
  }
  for (const auto& [id, t] : replicated.State().Tasks()) {
    const auto it = shares.find(t.job.department);
    if (it == shares.end()) continue;
    it->second.waiting_tasks += t.phase == cell::task_phase::kWaiting;
    it->second.running_tasks += cell::HoldsResources(t.phase);
  }
  for (const auto& [id, share] : shares) a.shares.push_back(share);
  co_return answer(std::move(a));
}

// --- Public
// ----------------------------------------------------------------------

leader::leader(leader_settings settings, asio::any_io_executor executor,
               core::clock& clock, machine& machine, consensus::node& node,
               metrics::registry& metrics)
    : impl_(std::make_shared<impl>(std::move(settings), std::move(executor),
                                   clock, machine, node, metrics)) {}

leader::~leader() { Stop(); }

void leader::Start() {
  const auto spawn = [&](awaitable<void> task) {
    asio::co_spawn(impl_->executor, std::move(task), asio::detached);
  };
  spawn(impl_->PlacementLoop());
  spawn(impl_->LeaseLoop());
  spawn(impl_->CompactionLoop());
  spawn(impl_->PromotionLoop());
  spawn(impl_->ReplyLoop());
}

void leader::Stop() {
  impl_->stopped = true;
  impl_->work.NotifyAll();
  impl_->replies.NotifyAll();
}

outcome<slot_grants> leader::Slots(const hello& entry, const slot_report& r) {
  impl& i = *impl_;
  if (!i.Leads()) return failure(core::not_leader{i.node.Status().leader});
  return i.slots.Report(entry.entry, entry.region, r, i.replicated.State(),
                        i.clock.Now());
}

awaitable<outcome<answer>> leader::Answer(request r) {
  const auto i = impl_;
  if (!i->leads) {
    co_return failure(core::not_leader{i->node.Status().leader});
  }
  auto handled = std::visit(
      [&](auto&& alternative) { return i->Handle(std::move(alternative)); },
      std::move(r));
  co_return co_await std::move(handled);
}

void leader::EntryHeard(const hello& entry, core::revision in_force) {
  impl_->entries[entry.entry] = {entry, in_force, impl_->clock.Now()};
}

}  // namespace mangoplank::control
