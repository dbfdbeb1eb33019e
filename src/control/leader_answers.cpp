// Answers to the requests that entries pass on.
#include "leader_impl.h"

namespace mangoplank::control {

using core::awaitable;
using core::failure;
using core::outcome;

namespace {

constexpr std::uint32_t kMaxPage = 1000;

object_view ViewOf(const cell::state& s, const cell::object& o) {
  object_view v{.object = o, .status = s.StatusOf(o.uid)};
  if (o.key.kind == cell::object_kind::kWorker) {
    const core::worker_id id{o.key.name};
    if (const auto* const w = s.FindWorker(id)) v.worker = *w;
    v.committed = s.Committed(id);
  }
  return v;
}

list_answer List(const cell::state& s, const list_request& r) {
  list_answer a{.revision = s.Revision()};
  const std::uint32_t limit = std::min(r.limit, kMaxPage);
  for (const auto& [key, o] : s.Objects()) {
    if (key.department != r.department || (r.kind && key.kind != *r.kind))
      continue;
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

awaitable<outcome<answer>> leader::impl::Handle(propose_request r) {
  if (r.dry_run) {
    const auto at = co_await node.ReadBarrier(consensus::read_check::kLease);
    if (!at) co_return at.error();
    r.command.proposed_at = clock.WallNow();
    cell::effect e = replicated.State().DryRun(r.command);
    if (!e.answer) co_return e.answer.error();
    co_return answer(std::move(*e.answer));
  }
  auto a = co_await replicated.Propose(node, std::move(r.command));
  if (!a) co_return a.error();
  co_return answer(std::move(*a));
}

awaitable<outcome<answer>> leader::impl::Handle(list_request r) {
  const auto at = co_await node.ReadBarrier(consensus::read_check::kLease);
  if (!at) co_return at.error();
  co_return answer(List(replicated.State(), r));
}

awaitable<outcome<answer>> leader::impl::Handle(explain_request r) {
  const auto at = co_await node.ReadBarrier(consensus::read_check::kLease);
  if (!at) co_return at.error();
  const cell::state& s = replicated.State();
  const cell::object* const o = s.Find(r.key);
  if (!o) co_return failure(core::not_found{r.key.name});
  if (!Leads()) co_return failure(core::not_leader{});
  explain_answer a{.revision = s.Revision(),
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
  const auto at = co_await node.ReadBarrier(consensus::read_check::kLease);
  if (!at) co_return at.error();
  call_answer a;
  if (const auto* const c = replicated.State().FindCall(r.key)) a.call = *c;
  co_return answer(std::move(a));
}

awaitable<outcome<answer>> leader::impl::Handle(status_request) {
  const auto at = co_await node.ReadBarrier(consensus::read_check::kLease);
  if (!at) co_return at.error();
  if (!Leads()) co_return failure(core::not_leader{});
  const core::time_point now = clock.Now();
  status_answer a{.revision = replicated.State().Revision(), .term = term};
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

}  // namespace mangoplank::control
