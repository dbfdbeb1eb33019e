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

core::time_point node::LeadConfirmedAt() const {
  return impl_->LeadConfirmedAt();
}

node_status node::Status() const { return impl_->Status(); }

core::awaitable<core::outcome<core::revision>> node::ChangeMember(member m,
                                                                  bool remove) {
  const auto self = impl_;
  co_return co_await self->ChangeMember(std::move(m), remove);
}

bool node::IsCaughtUp(const core::member_id& id) const {
  return impl_->IsCaughtUp(id);
}

std::optional<member> node::SilentMember(core::milliseconds limit) const {
  return impl_->SilentMember(limit);
}

core::awaitable<core::outcome<void>> node::TransferLeadership(
    core::member_id to) {
  const auto self = impl_;
  co_return co_await self->Transfer(std::move(to));
}

core::awaitable<core::failure> node::Stopped() {
  const auto self = impl_;
  co_return co_await self->Stopped();
}

node::impl::impl(node_settings s, asio::any_io_executor e, core::clock& c,
                 transport& t, disk& d, disk_runner& r, state_machine& m,
                 std::uint64_t random_seed)
    : settings(std::move(s)),
      executor(std::move(e)),
      clock(c),
      links(t),
      runner(r),
      machine(m),
      random(random_seed),
      files(d, settings.cell, settings.self),
      memberships({membership{}}),
      writer_wake(executor, c),
      durable_moved(executor, c),
      election_moved(executor, c),
      progress_moved(executor, c),
      tasks_ended(executor, c) {}

void node::impl::Spawn(core::awaitable<void> task) {
  ++tasks;
  asio::co_spawn(executor, std::move(task),
                 [self = shared_from_this()](const std::exception_ptr& e) {
                   --self->tasks;
                   self->tasks_ended.NotifyAll();
                   if (e) std::rethrow_exception(e);
                 });
}

core::awaitable<core::outcome<recovered>> node::impl::OpenFolder() {
  const auto self = shared_from_this();
  const auto found = std::make_shared<recovered>();
  const bool make = settings.create || settings.join;
  const auto members =
      settings.create ? settings.initial_members : std::vector<member>{};
  const std::uint64_t new_disk = std::max<std::uint64_t>(1, random());
  std::function<core::result<void>()> work =
      [self, found, make, members, new_disk]() -> core::result<void> {
    BOOST_LEAF_AUTO(exists, self->files.Exists());
    if (!exists && make) {
      BOOST_LEAF_CHECK(self->files.Create(new_disk, members));
    }
    BOOST_LEAF_ASSIGN(*found, self->files.Open());
    return {};
  };
  const auto opened = co_await runner.Run(std::move(work));
  if (!opened) co_return opened.error();
  co_return std::move(*found);
}

core::outcome<void> node::impl::Adopt(recovered r) {
  own_disk = r.disk;
  hard = std::move(r.hard);
  last_snapshot = std::move(r.last_snapshot);
  memberships = {last_snapshot.members};
  log.Reset(last_snapshot.at, last_snapshot.at_term);
  committed = applied = last_snapshot.at;
  if (last_snapshot.at > 0) {
    const auto restored = core::Capture(
        [&] { return machine.Restore(*last_snapshot.data, last_snapshot.at); });
    if (!restored) return restored;
  }
  last_snapshot.data.reset();
  for (entry_ptr& e : r.entries) AppendEntry(std::move(e));
  durable_at = log.LastAt();
  unsaved_from = durable_at + 1;
  hard.t = std::max(hard.t, log.LastTerm());
  return {};
}

core::awaitable<core::outcome<void>> node::impl::Start() {
  auto found = co_await OpenFolder();
  if (!found) co_return found.error();
  const auto adopted = Adopt(std::move(*found));
  if (!adopted) co_return adopted;
  if (ended) co_return *ended;
  leader_heard = clock.Now();
  started = true;
  UpdatePeers();
  Spawn(WriterTask());
  Spawn(ElectionTask());
  co_return core::outcome<void>();
}

void node::impl::End(core::failure f) {
  if (ended) return;
  ended = f;
  if (!std::holds_alternative<core::shutting_down>(f)) {
    spdlog::critical("{}: stopped: {}", settings.self.v, core::Describe(f));
  }
  Follow(hard.t, std::nullopt);
  for (const auto& [id, p] : peers) {
    p->removed = true;
    if (p->link) p->link->Close();
    p->wake.NotifyAll();
  }
  for (const auto& s : served) {
    s->link->Close();
    s->wake.NotifyAll();
  }
  writer_wake.NotifyAll();
  durable_moved.NotifyAll();
  election_moved.NotifyAll();
  progress_moved.NotifyAll();
  tasks_ended.NotifyAll();
}

core::awaitable<void> node::impl::Stop() {
  if (Leads() && !ended) {
    const peer* best = nullptr;
    for (const auto& [id, p] : peers) {
      const bool able = p->link != nullptr && Counts(id, p->disk);
      if (able && (best == nullptr || p->match > best->match)) best = p.get();
    }
    core::member_id to;
    if (best != nullptr) to = best->who.id;
    if (best != nullptr) co_await Transfer(to);
  }
  End(core::shutting_down{});
  while (tasks > 0) co_await tasks_ended.Wait();
}

core::awaitable<core::failure> node::impl::Stopped() {
  while (!ended) co_await tasks_ended.Wait();
  co_return *ended;
}

std::optional<core::member_id> node::impl::Leader() const {
  return std::visit(
      core::overloaded{
          [](const following& f) { return f.leader; },
          [](const campaigning&) { return std::optional<core::member_id>(); },
          [&](const leading&) { return std::optional(settings.self); }},
      current_role);
}

node_status node::impl::Status() const {
  return {Leads(), hard.t,           Leader(), committed,
          applied, log.BaseAt() + 1, Members()};
}

core::awaitable<core::outcome<core::revision>> node::impl::Propose(
    entry_kind k, std::string data) {
  const auto* l = std::get_if<leading>(&current_role);
  if (l == nullptr || ended || l->transferring) {
    const auto leader = Leads() ? std::nullopt : Leader();
    co_return core::failure(core::not_leader{leader});
  }
  const std::uint64_t bytes = data.size() + entry_log::kEntryBytes;
  const bool full = pending_bytes + bytes > settings.max_pending_bytes;
  if (full && pending_bytes > 0) {
    co_return core::failure(
        core::unavailable{"too many proposals wait for a commit"});
  }
  const core::revision at = log.LastAt() + 1;
  const auto p = std::make_shared<proposal>(hard.t, executor, clock);
  proposals.emplace(at, p);
  pending_bytes += bytes;
  AppendEntry(std::make_shared<const log_entry>(
      log_entry{at, hard.t, k, std::move(data)}));
  WakePeers();
  while (!p->result) co_await p->done.Wait();
  pending_bytes -= bytes;
  co_return *p->result;
}

core::awaitable<core::outcome<core::revision>> node::impl::ReadBarrier(
    read_check check) {
  const core::time_point deadline = clock.Now() + settings.election_timeout;
  const core::term t = hard.t;
  std::optional<std::uint64_t> round;
  std::optional<core::revision> index;
  while (true) {
    auto* l = std::get_if<leading>(&current_role);
    if (l == nullptr || ended || hard.t != t) {
      co_return core::failure(core::not_leader{Leader()});
    }
    // The commit of an entry of this term shows that all earlier commits are
    // known here. Without a lease, a round begun after the call shows that
    // nobody else has led since.
    if (l->announced && !index) index = committed;
    const bool leased = check == read_check::kLease && HoldsLease();
    if (index && leased) co_return *index;
    if (index && !round) {
      BeginRound(*l);
      round = l->round;
    }
    if (round && l->answered_round >= *round) co_return *index;
    const bool moved = co_await progress_moved.WaitUntil(deadline);
    if (!moved) co_return core::failure(core::unavailable{"no majority"});
  }
}

}  // namespace mangoplank::consensus
