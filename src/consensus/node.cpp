#include "mangoplank/consensus/node.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "consensus/node_impl.h"

namespace mangoplank::consensus {

namespace asio = boost::asio;

node::node(node_settings settings, asio::any_io_executor executor,
           core::clock& clock, transport& transport, disk& disk,
           disk_runner& runner, state_machine& machine,
           std::uint64_t random_seed)
    : impl_(std::make_shared<impl>(std::move(settings), std::move(executor),
                                   clock, transport, disk, runner, machine,
                                   random_seed)) {}

node::~node() { impl_->End(core::shutting_down{}); }

core::awaitable<core::outcome<void>> node::Start() {
  const auto self = impl_;
  co_return co_await self->Start();
}

core::awaitable<void> node::Serve(std::shared_ptr<peer_link> link) {
  const auto self = impl_;
  co_await self->Serve(std::move(link));
}

core::awaitable<void> node::Stop() {
  const auto self = impl_;
  co_await self->Stop();
}

core::awaitable<core::outcome<core::revision>> node::Propose(
    std::string command) {
  const auto self = impl_;
  co_return co_await self->Propose(entry_kind::kCommand, std::move(command));
}

core::awaitable<core::outcome<core::revision>> node::ReadBarrier(
    read_check check) {
  const auto self = impl_;
  co_return co_await self->ReadBarrier(check);
}

bool node::HoldsLease() const { return impl_->HoldsLease(); }

core::time_point node::LeadershipConfirmedAt() const {
  return impl_->LeadershipConfirmedAt();
}

node_status node::Status() const { return impl_->Status(); }

core::event& node::MembersChanged() { return impl_->members_changed; }

core::awaitable<core::outcome<core::revision>> node::ChangeMember(member target,
                                                                  bool remove) {
  const auto self = impl_;
  co_return co_await self->ChangeMember(std::move(target), remove);
}

bool node::IsCaughtUp(const core::member_id& id) const {
  return impl_->IsCaughtUp(id);
}

std::optional<member> node::FindSilentMember(core::milliseconds limit) const {
  return impl_->FindSilentMember(limit);
}

core::awaitable<core::outcome<void>> node::TransferLeadership(
    core::member_id to) {
  const auto self = impl_;
  co_return co_await self->TransferLeadership(std::move(to));
}

core::awaitable<core::failure> node::Stopped() {
  const auto self = impl_;
  co_return co_await self->Stopped();
}

node::impl::impl(node_settings init_settings,
                 asio::any_io_executor init_executor, core::clock& init_clock,
                 transport& init_transport, disk& data_folder,
                 disk_runner& init_runner, state_machine& init_machine,
                 std::uint64_t random_seed)
    : settings(std::move(init_settings)),
      executor(std::move(init_executor)),
      clock(init_clock),
      peer_transport(init_transport),
      runner(init_runner),
      machine(init_machine),
      random(random_seed),
      storage(data_folder, settings.cell, settings.self),
      memberships({membership{}}),
      writer_wake(executor, init_clock),
      durable_changed(executor, init_clock),
      election_changed(executor, init_clock),
      progress_changed(executor, init_clock),
      members_changed(executor, init_clock),
      task_ended(executor, init_clock) {}

void node::impl::Spawn(core::awaitable<void> task) {
  ++tasks;
  asio::co_spawn(executor, std::move(task),
                 [self = shared_from_this()](const std::exception_ptr& error) {
                   --self->tasks;
                   self->task_ended.NotifyAll();
                   if (error) std::rethrow_exception(error);
                 });
}

core::awaitable<core::outcome<recovered_state>> node::impl::OpenDataFolder() {
  const auto self = shared_from_this();
  const auto found = std::make_shared<recovered_state>();
  const bool create_folder = settings.create || settings.join;
  const auto members =
      settings.create ? settings.initial_members : std::vector<member>{};
  const std::uint64_t new_disk_id = std::max<std::uint64_t>(1, random());
  std::function<core::result<void>()> work =
      [self, found, create_folder, members,
       new_disk_id]() -> core::result<void> {
    BOOST_LEAF_AUTO(exists, self->storage.Exists());
    if (!exists && create_folder) {
      BOOST_LEAF_CHECK(self->storage.Create(new_disk_id, members));
    }
    BOOST_LEAF_ASSIGN(*found, self->storage.Open());
    return {};
  };
  const auto opened = co_await RunWhenRoom(std::move(work));
  if (!opened) co_return opened.error();
  co_return std::move(*found);
}

core::outcome<void> node::impl::RestoreState(recovered_state found) {
  own_disk_id = found.disk_id;
  hard_state = std::move(found.hard_state);
  last_snapshot = std::move(found.last_snapshot);
  memberships = {last_snapshot.members};
  log.Reset(last_snapshot.revision, last_snapshot.term);
  committed = applied = last_snapshot.revision;
  if (last_snapshot.revision > 0) {
    const auto restored = core::Capture([&] {
      return machine.Restore(*last_snapshot.data, last_snapshot.revision);
    });
    if (!restored) return restored;
  }
  last_snapshot.data.reset();
  for (entry_ptr& entry : found.entries) AppendEntry(std::move(entry));
  durable_revision = log.LastRevision();
  first_unsaved = durable_revision + 1;
  hard_state.term = std::max(hard_state.term, log.LastTerm());
  return {};
}

core::awaitable<core::outcome<void>> node::impl::Start() {
  auto found = co_await OpenDataFolder();
  if (!found) co_return found.error();
  const auto restored = RestoreState(std::move(*found));
  if (!restored) co_return restored;
  if (ended) co_return *ended;
  last_leader_contact = clock.Now();
  started = true;
  UpdatePeers();
  Spawn(WriterTask());
  Spawn(ElectionTask());
  co_return core::outcome<void>();
}

void node::impl::End(core::failure failure) {
  if (ended) return;
  ended = failure;
  if (!std::holds_alternative<core::shutting_down>(failure)) {
    spdlog::critical("{}: stopped: {}", settings.self.v,
                     core::Describe(failure));
  }
  BecomeFollower(hard_state.term, std::nullopt);
  for (const auto& [id, peer] : peers) {
    peer->removed = true;
    if (peer->link) peer->link->Close();
    peer->wake.NotifyAll();
  }
  for (const auto& inbound : inbound_links) {
    inbound->link->Close();
    inbound->wake.NotifyAll();
  }
  writer_wake.NotifyAll();
  durable_changed.NotifyAll();
  election_changed.NotifyAll();
  progress_changed.NotifyAll();
  task_ended.NotifyAll();
}

core::awaitable<void> node::impl::Stop() {
  if (IsLeader() && !ended) {
    const peer* best = nullptr;
    for (const auto& [id, p] : peers) {
      const bool is_reachable_voter =
          p->link != nullptr && CountsTowardQuorum(id, p->disk_id);
      if (is_reachable_voter &&
          (best == nullptr || p->match_revision > best->match_revision)) {
        best = p.get();
      }
    }
    core::member_id to;
    if (best != nullptr) to = best->info.id;
    if (best != nullptr) co_await TransferLeadership(to);
  }
  End(core::shutting_down{});
  while (tasks > 0) co_await task_ended.Wait();
}

core::awaitable<core::failure> node::impl::Stopped() {
  while (!ended) co_await task_ended.Wait();
  co_return *ended;
}

std::optional<core::member_id> node::impl::Leader() const {
  return std::visit(
      core::overloaded{
          [](const follower& f) { return f.leader; },
          [](const candidate&) { return std::optional<core::member_id>(); },
          [&](const leader_role&) { return std::optional(settings.self); }},
      current_role);
}

node_status node::impl::Status() const {
  return {IsLeader(), hard_state.term,        Leader(),           committed,
          applied,    log.BaseRevision() + 1, CurrentMembership()};
}

core::awaitable<core::outcome<core::revision>> node::impl::Propose(
    entry_kind kind, std::string data) {
  const auto* l = std::get_if<leader_role>(&current_role);
  if (l == nullptr || ended || l->transferring) {
    const auto leader = IsLeader() ? std::nullopt : Leader();
    co_return core::failure(core::not_leader{leader});
  }
  const std::uint64_t bytes = data.size() + entry_log::kEntryOverheadBytes;
  const bool full = pending_bytes + bytes > settings.max_pending_bytes;
  if (full && pending_bytes > 0) {
    co_return core::failure(
        core::unavailable{"too many uncommitted proposals"});
  }
  const core::revision revision = log.LastRevision() + 1;
  const auto p = std::make_shared<proposal>(hard_state.term, executor, clock);
  proposals.emplace(revision, p);
  pending_bytes += bytes;
  AppendEntry(std::make_shared<const log_entry>(
      log_entry{revision, hard_state.term, kind, std::move(data)}));
  WakePeers();
  while (!p->result) co_await p->done.Wait();
  pending_bytes -= bytes;
  co_return *p->result;
}

core::awaitable<core::outcome<core::revision>> node::impl::ReadBarrier(
    read_check check) {
  const core::time_point deadline = clock.Now() + settings.election_timeout;
  const core::term term = hard_state.term;
  std::optional<std::uint64_t> round;
  std::optional<core::revision> read_index;
  while (true) {
    auto* l = std::get_if<leader_role>(&current_role);
    if (l == nullptr || ended || hard_state.term != term) {
      co_return core::failure(core::not_leader{Leader()});
    }
    // Once an entry of this term is committed, all earlier commits are known
    // here. Without a lease, a heartbeat round started after the call proves
    // that no other member became leader before it.
    if (l->first_entry_committed && !read_index) read_index = committed;
    const bool has_lease = check == read_check::kLease && HoldsLease();
    if (read_index && has_lease) co_return *read_index;
    if (read_index && !round) {
      BeginHeartbeatRound(*l);
      round = l->round;
    }
    if (round && l->quorum_round >= *round) co_return *read_index;
    const bool notified = co_await progress_changed.WaitUntil(deadline);
    if (!notified) co_return core::failure(core::unavailable{"no quorum"});
  }
}

}  // namespace mangoplank::consensus
