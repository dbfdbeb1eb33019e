// Answers to the requests that entries forward.
#include "leader_impl.h"

namespace mangoplank::control {

using core::awaitable;
using core::failure;
using core::outcome;

namespace {

constexpr std::uint32_t kMaxPageItems = 1000;

object_view MakeView(const cell::state& state, const cell::object& object) {
  object_view view{.object = object, .status = state.StatusOf(object.uid)};
  if (object.key.kind == cell::object_kind::kWorker) {
    const core::worker_id id{object.key.name};
    if (const auto* const worker = state.FindWorker(id)) view.worker = *worker;
    view.committed = state.Committed(id);
  }
  return view;
}

list_answer List(const cell::state& state, const list_request& query) {
  list_answer page{.revision = state.Revision()};
  const std::uint32_t limit = std::min(query.limit, kMaxPageItems);
  for (const auto& [key, object] : state.Objects()) {
    if (key.department != query.department ||
        (query.kind && key.kind != *query.kind))
      continue;
    if (!query.name.empty() && key.name != query.name) continue;
    if (!query.after.empty() && key.name <= query.after) continue;
    if (page.objects.size() == limit) {
      page.more = true;
      break;
    }
    page.objects.push_back(MakeView(state, object));
  }
  return page;
}

}  // namespace

awaitable<outcome<answer>> leader::impl::Handle(propose_request proposal) {
  if (proposal.dry_run) {
    const auto barrier =
        co_await node.ReadBarrier(consensus::read_check::kLease);
    if (!barrier) co_return barrier.error();
    proposal.command.proposed_at = clock.WallNow();
    cell::effect effect = state_machine.State().DryRun(proposal.command);
    if (!effect.answer) co_return effect.answer.error();
    co_return answer(std::move(*effect.answer));
  }
  auto accepted =
      co_await state_machine.Propose(node, std::move(proposal.command));
  if (!accepted) co_return accepted.error();
  co_return answer(std::move(*accepted));
}

awaitable<outcome<answer>> leader::impl::Handle(list_request query) {
  const auto barrier = co_await node.ReadBarrier(consensus::read_check::kLease);
  if (!barrier) co_return barrier.error();
  co_return answer(List(state_machine.State(), query));
}

awaitable<outcome<answer>> leader::impl::Handle(explain_request query) {
  const auto barrier = co_await node.ReadBarrier(consensus::read_check::kLease);
  if (!barrier) co_return barrier.error();
  const cell::state& state = state_machine.State();
  const cell::object* const object = state.Find(query.key);
  if (!object) co_return failure(core::not_found{query.key.name});
  if (!IsLeaderWithLease()) co_return failure(core::not_leader{});
  explain_answer explanation{
      .revision = state.Revision(),
      .lines = scheduler->Explain(query.key, clock.Now()).lines};
  for (auto it = state.Tasks().lower_bound({object->uid, 0});
       it != state.Tasks().end() && it->first.job == object->uid &&
       explanation.tasks.size() < kMaxPageItems;
       ++it) {
    explanation.tasks.push_back(it->second);
  }
  co_return answer(std::move(explanation));
}

awaitable<outcome<answer>> leader::impl::Handle(call_request query) {
  const auto barrier = co_await node.ReadBarrier(consensus::read_check::kLease);
  if (!barrier) co_return barrier.error();
  call_answer found;
  if (const auto* const call = state_machine.State().FindCall(query.key))
    found.call = *call;
  co_return answer(std::move(found));
}

awaitable<outcome<answer>> leader::impl::Handle(status_request) {
  const auto barrier = co_await node.ReadBarrier(consensus::read_check::kLease);
  if (!barrier) co_return barrier.error();
  if (!IsLeaderWithLease()) co_return failure(core::not_leader{});
  const core::time_point now = clock.Now();
  status_answer report{.revision = state_machine.State().Revision(),
                       .term = term};
  for (const auto& [id, entry] : entries) {
    const auto ago =
        std::chrono::duration_cast<core::milliseconds>(now - entry.last_heard);
    report.entries.push_back({id, entry.hello.region, entry.in_force, ago});
  }
  const consensus::node_status status = node.Status();
  for (const consensus::member& member : status.members.members) {
    report.members.push_back(
        {member.id, status.leader == member.id, member.voter});
  }
  std::map<core::department_id, department_share> shares;
  for (const placement::share& share : scheduler->Shares(now)) {
    shares[share.department] = {share.department, share.dominant_share,
                                share.entitled, share.average_share};
  }
  for (const auto& [id, task] : state_machine.State().Tasks()) {
    const auto it = shares.find(task.job.department);
    if (it == shares.end()) continue;
    it->second.waiting_tasks += task.phase == cell::task_phase::kWaiting;
    it->second.running_tasks += cell::HoldsResources(task.phase);
  }
  for (const auto& [id, share] : shares) report.shares.push_back(share);
  co_return answer(std::move(report));
}

awaitable<outcome<answer>> leader::Answer(request body) {
  const auto i = impl_;
  if (!i->is_leader) {
    co_return failure(core::not_leader{i->node.Status().leader});
  }
  auto handled = std::visit(
      [&](auto&& alternative) { return i->Handle(std::move(alternative)); },
      std::move(body));
  co_return co_await std::move(handled);
}

}  // namespace mangoplank::control
