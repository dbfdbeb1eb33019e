#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "consensus/codec.h"
#include "consensus/node_impl.h"

/// Membership and the transfer of leadership.
namespace mangoplank::consensus {

namespace {

// A learner that has not caught up by then is not promoted.
constexpr core::milliseconds kCatchUpLimit{30'000};

std::vector<member> Without(std::vector<member> members,
                            const core::member_id& id) {
  std::erase_if(members, [&](const member& m) { return m.id == id; });
  return members;
}

std::size_t Voters(const std::vector<member>& members) {
  return std::count_if(members.begin(), members.end(),
                       [](const member& m) { return m.voter; });
}

std::vector<member> With(const std::vector<member>& members, const member& m) {
  std::vector<member> out = members;
  const auto it = std::find_if(out.begin(), out.end(),
                               [&](const member& o) { return o.id == m.id; });
  if (it == out.end()) {
    out.push_back(m);
  } else {
    *it = m;
  }
  return out;
}

}  // namespace

const member* node::impl::Find(const core::member_id& id) const {
  for (const member& m : Members().members) {
    if (m.id == id) return &m;
  }
  return nullptr;
}

bool node::impl::IsVoter() const { return Counts(settings.self, own_disk); }

/// A member that is to lose its vote may hold the only copy of the entry that
/// takes it away, so it may be elected until that entry is committed.
bool node::impl::MayCampaign() const {
  const core::revision from = MembersAt(committed).at;
  for (const membership& known : memberships) {
    if (known.at < from) continue;
    for (const member& m : known.members) {
      const bool same_disk = m.disk == 0 || m.disk == own_disk;
      if (m.id == settings.self && m.voter && same_disk) return true;
    }
  }
  return false;
}

bool node::impl::Counts(const core::member_id& id,
                        std::uint64_t disk_id) const {
  const member* m = Find(id);
  if (m == nullptr || !m->voter) return false;
  return m->disk == 0 || m->disk == disk_id;
}

bool node::impl::HasOtherDisk(const core::member_id& id,
                              std::uint64_t disk_id) const {
  const member* m = Find(id);
  return m != nullptr && m->disk != 0 && m->disk != disk_id;
}

std::uint64_t node::impl::MajorityOf(
    const std::function<std::uint64_t(const member&)>& value) const {
  std::vector<std::uint64_t> reached;
  for (const member& m : Members().members) {
    if (!m.voter) continue;
    const auto it = peers.find(m.id);
    const std::uint64_t disk_id = m.id == settings.self ? own_disk
                                  : it == peers.end()   ? 0
                                                        : it->second->disk;
    reached.push_back(Counts(m.id, disk_id) ? value(m) : 0);
  }
  if (reached.empty()) return 0;
  const auto middle = reached.begin() + reached.size() / 2;
  std::nth_element(reached.begin(), middle, reached.end(), std::greater<>());
  return *middle;
}

membership node::impl::MembersAt(core::revision at) const {
  membership found = memberships.front();
  for (const membership& m : memberships) {
    if (m.at <= at) found = m;
  }
  return found;
}

bool node::impl::ChangeInProgress() const {
  const auto* l = std::get_if<leading>(&current_role);
  return l == nullptr || !l->announced || Members().at > committed;
}

void node::impl::RememberMembers(membership m) {
  memberships.push_back(std::move(m));
  UpdatePeers();
}

/// Starts the tasks of new members and ends those of removed ones.
void node::impl::UpdatePeers() {
  if (!started || ended) return;
  for (const member& m : Members().members) {
    if (m.id == settings.self) continue;
    auto& p = peers[m.id];
    const bool moved = p != nullptr && p->who.address != m.address;
    if (moved && p->link) p->link->Close();
    if (p != nullptr) {
      p->who = m;
      continue;
    }
    p = std::make_shared<peer>(m, executor, clock);
    ResetProgress(*p);
    Spawn(PeerTask(p));
  }
  std::erase_if(peers, [&](const auto& entry) {
    if (Find(entry.first) != nullptr) return false;
    entry.second->removed = true;
    if (entry.second->link) entry.second->link->Close();
    entry.second->wake.NotifyAll();
    return true;
  });
  election_moved.NotifyAll();
}

void node::impl::AppendMembers(const std::vector<member>& members) {
  const core::revision at = log.LastAt() + 1;
  const membership m{at, members};
  AppendEntry(std::make_shared<const log_entry>(
      log_entry{at, hard.t, entry_kind::kMembership, EncodeMembers(m)}));
  WakePeers();
}

/// Records the identities of disks when they are first seen. A voter that comes
/// back with another disk has forgotten its votes and acknowledgements, so it
/// becomes a learner.
void node::impl::MaintainDisks() {
  if (ended || ChangeInProgress()) return;
  std::vector<member> members = Members().members;
  for (member& m : members) {
    const auto it = peers.find(m.id);
    const std::uint64_t seen = m.id == settings.self ? own_disk
                               : it == peers.end()   ? 0
                                                     : it->second->disk;
    if (seen == 0 || seen == m.disk) continue;
    if (m.disk != 0) {
      spdlog::warn("{}: member {} has another disk; it becomes a learner",
                   settings.self.v, m.id.v);
      m.voter = false;
    }
    m.disk = seen;
  }
  if (members != Members().members) AppendMembers(members);
}

core::awaitable<core::outcome<core::revision>> node::impl::ProposeMembers(
    std::vector<member> members) {
  if (!Leads()) co_return core::failure(core::not_leader{Leader()});
  if (ChangeInProgress()) {
    co_return core::failure(
        core::unavailable{"another membership change is in progress"});
  }
  if (Voters(members) == 0) {
    co_return core::failure(core::unavailable{"the last voter must stay"});
  }
  const membership m{0, std::move(members)};
  std::string data = EncodeMembers(m);
  co_return co_await Propose(entry_kind::kMembership, std::move(data));
}

core::awaitable<core::outcome<void>> node::impl::WaitCaughtUp(
    core::member_id id) {
  const core::time_point deadline = clock.Now() + kCatchUpLimit;
  const core::revision goal = committed;
  while (Leads() && !ended) {
    const auto it = peers.find(id);
    if (it == peers.end()) co_return core::failure(core::not_found{id.v});
    // The disk must be recorded before its acknowledgements can count.
    const member* m = Find(id);
    const bool known = m != nullptr && m->disk != 0 &&
                       m->disk == it->second->disk && !ChangeInProgress();
    if (known && it->second->match >= goal) co_return core::outcome<void>();
    const bool moved = co_await progress_moved.WaitUntil(deadline);
    if (!moved) co_return core::failure(core::deadline_exceeded{});
  }
  co_return core::failure(core::not_leader{Leader()});
}

bool node::impl::IsCaughtUp(const core::member_id& id) const {
  const auto it = peers.find(id);
  const member* m = Find(id);
  return Leads() && it != peers.end() && m != nullptr && m->disk != 0 &&
         m->disk == it->second->disk && it->second->match >= committed;
}

std::optional<member> node::impl::SilentMember(core::milliseconds limit) const {
  if (!Leads()) return std::nullopt;
  const peer* found = nullptr;
  for (const auto& [id, p] : peers) {
    if (clock.Now() <= p->heard + limit) continue;
    if (found == nullptr || p->heard < found->heard) found = p.get();
  }
  if (found == nullptr) return std::nullopt;
  return found->who;
}

core::awaitable<core::outcome<core::revision>> node::impl::ChangeMember(
    member m, bool remove) {
  if (!Leads()) co_return core::failure(core::not_leader{Leader()});
  const member* present = Find(m.id);
  if (remove) {
    if (present == nullptr) co_return core::failure(core::not_found{m.id.v});
    auto rest = Without(Members().members, m.id);
    co_return co_await ProposeMembers(std::move(rest));
  }
  const bool is_voter = present != nullptr && present->voter;
  const bool promote = m.voter && !is_voter;
  if (present == nullptr || !promote) {
    // A new member is a learner first, so that it does not count before it has
    // the log.
    member first = m;
    first.voter = m.voter && is_voter;
    if (present != nullptr) first.disk = present->disk;
    auto with_learner = With(Members().members, first);
    const auto added = co_await ProposeMembers(std::move(with_learner));
    if (!added || !promote) co_return added;
  }
  const core::member_id id = m.id;
  const auto ready = co_await WaitCaughtUp(id);
  if (!ready) co_return ready.error();
  present = Find(id);
  if (present == nullptr) co_return core::failure(core::not_found{id.v});
  member voter = *present;
  voter.voter = true;
  auto with_voter = With(Members().members, voter);
  co_return co_await ProposeMembers(std::move(with_voter));
}

core::awaitable<core::outcome<void>> node::impl::Transfer(core::member_id to) {
  const auto it = peers.find(to);
  if (!Leads()) co_return core::failure(core::not_leader{Leader()});
  if (to == settings.self) co_return core::outcome<void>();
  if (it == peers.end() || !Counts(to, it->second->disk)) {
    co_return core::failure(core::not_found{to.v});
  }
  const auto p = it->second;
  const core::term t = hard.t;
  const core::time_point deadline = clock.Now() + settings.election_timeout;
  std::get<leading>(current_role).transferring = true;
  while (Leads() && hard.t == t && p->match < log.LastAt()) {
    const bool moved = co_await progress_moved.WaitUntil(deadline);
    if (moved) continue;
    if (Leads()) std::get<leading>(current_role).transferring = false;
    co_return core::failure(core::deadline_exceeded{});
  }
  if (Leads() && hard.t == t) {
    std::get<leading>(current_role).lease_given_up = true;
    p->ask_to_take_over = true;
    p->wake.NotifyAll();
  }
  const core::time_point limit = clock.Now() + settings.election_timeout;
  while (Leads() && hard.t == t && !ended) {
    const bool moved = co_await election_moved.WaitUntil(limit);
    // Without a lease this process must not go on to lead.
    if (!moved) Follow(hard.t, std::nullopt);
    if (!moved) co_return core::failure(core::deadline_exceeded{});
  }
  co_return core::outcome<void>();
}

}  // namespace mangoplank::consensus
