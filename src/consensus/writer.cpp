#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "consensus/codec.h"
#include "consensus/node_impl.h"

/// The log in memory, its way to the disk, and applying it.
namespace mangoplank::consensus {

namespace {

// Bounds the time of one sync, so that a vote does not wait for a long write.
constexpr std::uint64_t kMaxWriteBytes = 4 * 1024 * 1024;

}  // namespace

bool node::impl::HasUnsaved() const {
  return unsaved_snapshot || durable_hard_version < hard_version ||
         unsaved_from <= log.LastAt();
}

write_batch node::impl::TakeBatch() {
  write_batch b;
  if (durable_hard_version < hard_version) b.hard = hard;
  b.new_snapshot = std::exchange(unsaved_snapshot, std::nullopt);
  b.discard_log = std::exchange(unsaved_discard, false);
  std::uint64_t bytes = 0;
  while (unsaved_from <= log.LastAt() && bytes < kMaxWriteBytes) {
    b.entries.push_back(log.At(unsaved_from));
    bytes += entry_log::Size(*b.entries.back());
    ++unsaved_from;
  }
  return b;
}

/// Entries that arrive during a sync share the next one.
core::awaitable<void> node::impl::WriterTask() {
  const auto self = shared_from_this();
  while (!ended) {
    if (!HasUnsaved()) {
      co_await writer_wake.Wait();
      continue;
    }
    const auto batch = std::make_shared<const write_batch>(TakeBatch());
    const std::uint64_t version = hard_version;
    cut_while_writing.reset();
    writing_snapshot = batch->new_snapshot.has_value();
    std::function<core::result<void>()> work = [self, batch] {
      return self->files.Write(*batch);
    };
    const auto written = co_await runner.Run(std::move(work));
    if (ended) co_return;
    if (!written) {
      // A later sync that succeeds would not show that these pages were
      // written, so nothing more is acknowledged.
      End(written.error());
      co_return;
    }
    OnWritten(*batch, version);
  }
}

void node::impl::OnWritten(const write_batch& batch, std::uint64_t version) {
  durable_hard_version = version;
  core::revision end = durable_at;
  if (batch.new_snapshot) end = std::max(end, batch.new_snapshot->at);
  if (!batch.entries.empty()) end = std::max(end, batch.entries.back()->at);
  if (cut_while_writing) end = std::min(end, *cut_while_writing - 1);
  durable_at = std::max(durable_at, end);
  writing_snapshot = false;
  if (batch.new_snapshot) OnSnapshotWritten(*batch.new_snapshot);
  durable_moved.NotifyAll();
  for (const auto& s : served) s->wake.NotifyAll();
  AdvanceCommit();
}

/// Cuts the log. Part of it stays in memory, so that a member that is a little
/// behind needs no snapshot.
void node::impl::OnSnapshotWritten(const snapshot& s) {
  if (s.at < last_snapshot.at) return;
  last_snapshot = s;
  last_snapshot.data.reset();
  const core::revision limit = std::min(s.at, durable_at);
  while (log.BaseAt() < limit &&
         log.Bytes() > settings.snapshot_after_bytes / 2) {
    log.CutUpTo(log.BaseAt() + 1);
  }
  while (memberships.size() > 1 && memberships[1].at <= s.at) {
    memberships.erase(memberships.begin());
  }
}

/// @return false if the node ended first.
core::awaitable<bool> node::impl::WaitHardState() {
  const std::uint64_t version = hard_version;
  while (!ended && durable_hard_version < version) {
    co_await durable_moved.Wait();
  }
  co_return !ended;
}

void node::impl::AppendEntry(entry_ptr e) {
  const auto members = e->k == entry_kind::kMembership
                           ? DecodeMembers(e->data, e->at)
                           : std::nullopt;
  log.Append(std::move(e));
  if (members) RememberMembers(*members);
  writer_wake.NotifyAll();
}

void node::impl::CutLog(core::revision after) {
  log.CutAfter(after);
  if (unsaved_from > after + 1) {
    unsaved_from = after + 1;
    cut_while_writing =
        std::min(cut_while_writing.value_or(after + 1), after + 1);
  }
  durable_at = std::min(durable_at, after);
  while (memberships.size() > 1 && memberships.back().at > after) {
    memberships.pop_back();
  }
  UpdatePeers();
}

void node::impl::ApplyCommitted() {
  // A machine that proposes while it applies must not apply out of order.
  if (std::exchange(applying, true)) return;
  while (applied < committed) {
    const entry_ptr e = log.At(applied + 1);
    ++applied;
    ApplyOne(*e);
  }
  applying = false;
  MaybeTakeSnapshot();
}

void node::impl::ApplyOne(const log_entry& e) {
  bytes_since_snapshot += entry_log::Size(e);
  const auto it = proposals.find(e.at);
  const bool own = it != proposals.end() && it->second->t == e.t;
  machine.Apply(e, own);
  if (own) {
    const auto p = it->second;
    proposals.erase(e.at);
    p->result = e.at;
    p->done.NotifyAll();
  }
  auto* l = std::get_if<leading>(&current_role);
  if (l != nullptr && e.at == l->start_at) {
    l->announced = true;
    machine.OnLeadership(true, hard.t);
  }
}

void node::impl::MaybeTakeSnapshot() {
  const bool due = bytes_since_snapshot >= settings.snapshot_after_bytes;
  if (!due || unsaved_snapshot || writing_snapshot) return;
  bytes_since_snapshot = 0;
  unsaved_snapshot =
      snapshot{applied, log.TermAt(applied), MembersAt(applied),
               std::make_shared<const std::string>(machine.TakeSnapshot())};
  writer_wake.NotifyAll();
}

}  // namespace mangoplank::consensus
