#include "mangoplank/dispatch/membership.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace mangoplank::dispatch {

using core::awaitable;

namespace {

bool IsMember(const consensus::membership& current, const core::member_id& id) {
  return std::any_of(
      current.members.begin(), current.members.end(),
      [&](const consensus::member& member) { return member.id == id; });
}

std::size_t CountVoters(const consensus::membership& current) {
  return static_cast<std::size_t>(
      std::count_if(current.members.begin(), current.members.end(),
                    [](const consensus::member& m) { return m.voter; }));
}

}  // namespace

membership_manager::membership_manager(membership_settings settings,
                                       consensus::node& node)
    : settings_(settings), node_(node) {}

void membership_manager::RequestJoin(core::member_id id,
                                     core::endpoint address) {
  joining_[std::move(id)] = std::move(address);
}

awaitable<void> membership_manager::Step() {
  const consensus::membership current = node_.Status().members;
  const bool added = co_await AddJoining(current);
  if (added) co_return;
  const bool removed = co_await RemoveSilent(current);
  if (removed) co_return;
  co_await Promote(current);
}

/// @return whether a change was attempted.
awaitable<bool> membership_manager::AddJoining(
    const consensus::membership& current) {
  for (const auto& [id, address] : std::exchange(joining_, {})) {
    if (IsMember(current, id)) continue;
    spdlog::info("member_joins member={}", id.v);
    const consensus::member learner{id, address, false, 0};
    const auto added = co_await node_.ChangeMember(learner, false);
    if (!added) {
      spdlog::warn("member_not_added member={} error={}", id.v,
                   core::Describe(added.error()));
    }
    co_return true;
  }
  co_return false;
}

/// @return whether a change was attempted.
awaitable<bool> membership_manager::RemoveSilent(
    const consensus::membership& current) {
  if (current.members.size() <= settings_.members) co_return false;
  const auto silent = node_.FindSilentMember(settings_.member_silence);
  if (!silent) co_return false;
  // A voter is removed only if enough other voters remain.
  const std::size_t voters = CountVoters(current);
  if (silent->voter && voters <= settings_.members) co_return false;
  spdlog::info("member_removed member={} voter={} members={} voters={}",
               silent->id.v, silent->voter, current.members.size(), voters);
  const auto removed = co_await node_.ChangeMember(*silent, true);
  if (!removed) {
    spdlog::warn("member_not_removed member={} error={}", silent->id.v,
                 core::Describe(removed.error()));
  }
  co_return true;
}

awaitable<void> membership_manager::Promote(
    const consensus::membership& current) {
  for (consensus::member member : current.members) {
    if (member.voter || !node_.IsCaughtUp(member.id)) continue;
    member.voter = true;
    const auto changed = co_await node_.ChangeMember(member, false);
    spdlog::info("member_votes member={} changed={}", member.id.v,
                 changed.has_value());
    co_return;
  }
}

bool MustRequestToJoin(const core::member_id& self,
                       const workflow::member_list& reported) {
  return std::find(reported.ids.begin(), reported.ids.end(), self) ==
         reported.ids.end();
}

}  // namespace mangoplank::dispatch
