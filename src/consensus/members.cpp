#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "consensus/codec.h"
#include "consensus/node_impl.h"

/// Membership and leadership transfer.
namespace mangoplank::consensus {

namespace {

// A learner that has not caught up within this time is not promoted.
constexpr core::milliseconds kCatchUpTimeout{30'000};

std::vector<member> WithoutMember(std::vector<member> members,
                                  const core::member_id& id) {
  std::erase_if(members, [&](const member& m) { return m.id == id; });
  return members;
}

std::size_t CountVoters(const std::vector<member>& members) {
  return std::count_if(members.begin(), members.end(),
                       [](const member& m) { return m.voter; });
}

std::vector<member> WithMember(const std::vector<member>& members,
                               const member& changed) {
  std::vector<member> out = members;
  const auto it =
      std::find_if(out.begin(), out.end(),
                   [&](const member& other) { return other.id == changed.id; });
  if (it == out.end()) {
    out.push_back(changed);
  } else {
    *it = changed;
  }
  return out;
}

}  // namespace

const member* node::impl::FindMember(const core::member_id& id) const {
  for (const member& m : CurrentMembership().members) {
    if (m.id == id) return &m;
  }
  return nullptr;
}

bool node::impl::IsVoter() const {
  return CountsTowardQuorum(settings.self, own_disk_id);
}

/// A member that is being demoted or removed may hold the only copy of the
/// entry that does so, so it can be elected until that entry is committed.
bool node::impl::CanCampaign() const {
  const core::revision from = MembershipAt(committed).revision;
  for (const membership& known : memberships) {
    if (known.revision < from) continue;
    for (const member& m : known.members) {
      const bool is_same_disk = m.disk_id == 0 || m.disk_id == own_disk_id;
      if (m.id == settings.self && m.voter && is_same_disk) return true;
    }
  }
  return false;
}

bool node::impl::CountsTowardQuorum(const core::member_id& id,
                                    std::uint64_t disk_id) const {
  const member* m = FindMember(id);
  if (m == nullptr || !m->voter) return false;
  return m->disk_id == 0 || m->disk_id == disk_id;
}

bool node::impl::HasOtherDiskId(const core::member_id& id,
                                std::uint64_t disk_id) const {
  const member* m = FindMember(id);
  return m != nullptr && m->disk_id != 0 && m->disk_id != disk_id;
}

std::uint64_t node::impl::QuorumValue(
    const std::function<std::uint64_t(const member&)>& value) const {
  std::vector<std::uint64_t> reached;
  for (const member& m : CurrentMembership().members) {
    if (!m.voter) continue;
    const auto it = peers.find(m.id);
    const std::uint64_t disk_id = m.id == settings.self ? own_disk_id
                                  : it == peers.end()   ? 0
                                                        : it->second->disk_id;
    reached.push_back(CountsTowardQuorum(m.id, disk_id) ? value(m) : 0);
  }
  if (reached.empty()) return 0;
  const auto middle = reached.begin() + reached.size() / 2;
  std::nth_element(reached.begin(), middle, reached.end(), std::greater<>());
  return *middle;
}

membership node::impl::MembershipAt(core::revision revision) const {
  membership found = memberships.front();
  for (const membership& m : memberships) {
    if (m.revision <= revision) found = m;
  }
  return found;
}

bool node::impl::IsMembershipChangeInProgress() const {
  const auto* l = std::get_if<leader_role>(&current_role);
  return l == nullptr || !l->first_entry_committed ||
         CurrentMembership().revision > committed;
}

void node::impl::AddMembership(membership added) {
  memberships.push_back(std::move(added));
  UpdatePeers();
}

/// Starts the tasks of new members and ends the tasks of removed members.
void node::impl::UpdatePeers() {
  if (!started || ended) return;
  for (const member& m : CurrentMembership().members) {
    if (m.id == settings.self) continue;
    auto& p = peers[m.id];
    const bool address_changed = p != nullptr && p->info.address != m.address;
    if (address_changed && p->link) p->link->Close();
    if (p != nullptr) {
      p->info = m;
      continue;
    }
    p = std::make_shared<peer>(m, executor, clock);
    ResetProgress(*p);
    Spawn(PeerTask(p));
  }
  std::erase_if(peers, [&](const auto& entry) {
    if (FindMember(entry.first) != nullptr) return false;
    entry.second->removed = true;
    if (entry.second->link) entry.second->link->Close();
    entry.second->wake.NotifyAll();
    return true;
  });
  election_changed.NotifyAll();
  members_changed.NotifyAll();
}

void node::impl::AppendMembership(const std::vector<member>& members) {
  const core::revision revision = log.LastRevision() + 1;
  const membership m{revision, members};
  AppendEntry(std::make_shared<const log_entry>(
      log_entry{revision, hard_state.term, entry_kind::kMembership,
                EncodeMembership(m)}));
  WakePeers();
}

/// Records each disk id when it is first seen. A voter that restarts with
/// another disk id has lost its votes and acknowledged entries, so it becomes a
/// learner.
void node::impl::RecordDiskIds() {
  if (ended || IsMembershipChangeInProgress()) return;
  std::vector<member> members = CurrentMembership().members;
  for (member& m : members) {
    const auto it = peers.find(m.id);
    const std::uint64_t seen = m.id == settings.self ? own_disk_id
                               : it == peers.end()   ? 0
                                                     : it->second->disk_id;
    if (seen == 0 || seen == m.disk_id) continue;
    if (m.disk_id != 0) {
      spdlog::warn("{}: member {} has another disk; it becomes a learner",
                   settings.self.v, m.id.v);
      m.voter = false;
    }
    m.disk_id = seen;
  }
  if (members != CurrentMembership().members) AppendMembership(members);
}

core::awaitable<core::outcome<core::revision>> node::impl::ProposeMembership(
    std::vector<member> members) {
  if (!IsLeader()) co_return core::failure(core::not_leader{Leader()});
  if (IsMembershipChangeInProgress()) {
    co_return core::failure(
        core::unavailable{"another membership change is in progress"});
  }
  if (CountVoters(members) == 0) {
    co_return core::failure(
        core::unavailable{"the last voter can't be removed"});
  }
  const membership m{0, std::move(members)};
  std::string data = EncodeMembership(m);
  co_return co_await Propose(entry_kind::kMembership, std::move(data));
}

core::awaitable<core::outcome<void>> node::impl::WaitUntilCaughtUp(
    core::member_id id) {
  const core::time_point deadline = clock.Now() + kCatchUpTimeout;
  const core::revision target_revision = committed;
  while (IsLeader() && !ended) {
    const auto it = peers.find(id);
    if (it == peers.end()) co_return core::failure(core::not_found{id.v});
    // The disk id must be committed before its acknowledgements count.
    const member* m = FindMember(id);
    const bool known = m != nullptr && m->disk_id != 0 &&
                       m->disk_id == it->second->disk_id &&
                       !IsMembershipChangeInProgress();
    if (known && it->second->match_revision >= target_revision) {
      co_return core::outcome<void>();
    }
    const bool notified = co_await progress_changed.WaitUntil(deadline);
    if (!notified) co_return core::failure(core::deadline_exceeded{});
  }
  co_return core::failure(core::not_leader{Leader()});
}

bool node::impl::IsCaughtUp(const core::member_id& id) const {
  const auto it = peers.find(id);
  const member* m = FindMember(id);
  return IsLeader() && it != peers.end() && m != nullptr && m->disk_id != 0 &&
         m->disk_id == it->second->disk_id &&
         it->second->match_revision >= committed;
}

std::optional<member> node::impl::FindSilentMember(
    core::milliseconds limit) const {
  if (!IsLeader()) return std::nullopt;
  const peer* found = nullptr;
  for (const auto& [id, p] : peers) {
    if (clock.Now() <= p->last_contact + limit) continue;
    if (found == nullptr || p->last_contact < found->last_contact) {
      found = p.get();
    }
  }
  if (found == nullptr) return std::nullopt;
  return found->info;
}

core::awaitable<core::outcome<core::revision>> node::impl::ChangeMember(
    member target, bool remove) {
  if (!IsLeader()) co_return core::failure(core::not_leader{Leader()});
  const member* present = FindMember(target.id);
  if (remove) {
    if (present == nullptr) {
      co_return core::failure(core::not_found{target.id.v});
    }
    auto rest = WithoutMember(CurrentMembership().members, target.id);
    co_return co_await ProposeMembership(std::move(rest));
  }
  const bool is_voter = present != nullptr && present->voter;
  const bool promote = target.voter && !is_voter;
  if (present == nullptr || !promote) {
    // A new member is a learner first, so that it does not count toward a
    // quorum before it has the log.
    member first = target;
    first.voter = target.voter && is_voter;
    if (present != nullptr) first.disk_id = present->disk_id;
    auto with_learner = WithMember(CurrentMembership().members, first);
    const auto added = co_await ProposeMembership(std::move(with_learner));
    if (!added || !promote) co_return added;
  }
  const core::member_id id = target.id;
  const auto ready = co_await WaitUntilCaughtUp(id);
  if (!ready) co_return ready.error();
  present = FindMember(id);
  if (present == nullptr) co_return core::failure(core::not_found{id.v});
  member voter = *present;
  voter.voter = true;
  auto with_voter = WithMember(CurrentMembership().members, voter);
  co_return co_await ProposeMembership(std::move(with_voter));
}

core::awaitable<core::outcome<void>> node::impl::TransferLeadership(
    core::member_id to) {
  const auto it = peers.find(to);
  if (!IsLeader()) co_return core::failure(core::not_leader{Leader()});
  if (to == settings.self) co_return core::outcome<void>();
  if (it == peers.end() || !CountsTowardQuorum(to, it->second->disk_id)) {
    co_return core::failure(core::not_found{to.v});
  }
  const auto p = it->second;
  const core::term term = hard_state.term;
  const core::time_point deadline = clock.Now() + settings.election_timeout;
  std::get<leader_role>(current_role).transferring = true;
  while (IsLeader() && hard_state.term == term &&
         p->match_revision < log.LastRevision()) {
    const bool notified = co_await progress_changed.WaitUntil(deadline);
    if (notified) continue;
    if (IsLeader()) std::get<leader_role>(current_role).transferring = false;
    co_return core::failure(core::deadline_exceeded{});
  }
  if (IsLeader() && hard_state.term == term) {
    std::get<leader_role>(current_role).lease_released = true;
    p->transfer_pending = true;
    p->wake.NotifyAll();
  }
  const core::time_point election_deadline =
      clock.Now() + settings.election_timeout;
  while (IsLeader() && hard_state.term == term && !ended) {
    const bool notified =
        co_await election_changed.WaitUntil(election_deadline);
    // Without a lease this process must not remain leader.
    if (!notified) BecomeFollower(hard_state.term, std::nullopt);
    if (!notified) co_return core::failure(core::deadline_exceeded{});
  }
  co_return core::outcome<void>();
}

}  // namespace mangoplank::consensus
