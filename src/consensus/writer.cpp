#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "consensus/codec.h"
#include "consensus/node_impl.h"

/// Log in memory, writes to the disk, and applying committed entries.
namespace mangoplank::consensus {

namespace {

// Bounds the time of one sync, so that a vote does not wait for a long write.
constexpr std::uint64_t kMaxWriteBytes = 4 * 1024 * 1024;
constexpr core::milliseconds kRoomCheckInterval{100};

using kind = core::storage_failed::kind;

/// @return what a write lacked that may be there later, or no value.
std::optional<kind> ShortageOf(const core::outcome<void>& written) {
  if (written) return std::nullopt;
  const core::failure failure = written.error();
  const auto* failed = std::get_if<core::storage_failed>(&failure);
  if (failed == nullptr) return std::nullopt;
  const bool is_shortage =
      failed->k == kind::kFull || failed->k == kind::kNoDescriptor;
  return is_shortage ? std::optional(failed->k) : std::nullopt;
}

}  // namespace

bool node::impl::HasUnsaved() const {
  return unsaved_snapshot || durable_hard_state_version < hard_state_version ||
         first_unsaved <= log.LastRevision();
}

write_batch node::impl::NextBatch() {
  write_batch batch;
  if (durable_hard_state_version < hard_state_version) {
    batch.hard_state = hard_state;
  }
  batch.new_snapshot = std::exchange(unsaved_snapshot, std::nullopt);
  batch.discard_log = std::exchange(unsaved_discard_log, false);
  std::uint64_t bytes = 0;
  while (first_unsaved <= log.LastRevision() && bytes < kMaxWriteBytes) {
    batch.entries.push_back(log.At(first_unsaved));
    bytes += entry_log::Size(*batch.entries.back());
    ++first_unsaved;
  }
  return batch;
}

/// A write that was refused for lack of room or of a descriptor has
/// acknowledged nothing, so it can be repeated. Until it succeeds this member
/// is one with a slow sync: its votes and entries count nowhere, and as leader
/// it still commits what a majority of the others has written. Only a disk that
/// stays full ends the process: descriptors come back as connections end.
core::awaitable<core::outcome<void>> node::impl::RunWhenRoom(
    std::function<core::result<void>()> work) {
  const core::time_point give_up = clock.Now() + settings.full_disk_wait;
  bool has_waited = false;
  while (true) {
    auto attempt = work;
    const auto done = co_await runner.Run(std::move(attempt));
    const std::optional<kind> shortage = ShortageOf(done);
    if (has_waited && !shortage) {
      spdlog::info("{}: the disk can be written again", settings.self.v);
    }
    const bool gives_up = shortage == kind::kFull && clock.Now() >= give_up;
    if (ended || !shortage || gives_up) co_return done;
    if (!std::exchange(has_waited, true)) {
      spdlog::warn("{}: waits to write: {}", settings.self.v,
                   core::Describe(done.error()));
    }
    const core::time_point next = clock.Now() + kRoomCheckInterval;
    while (!ended && clock.Now() < next) {
      co_await writer_wake.WaitUntil(next);
    }
  }
}

/// Group commit: entries that arrive during a sync share the next one.
core::awaitable<void> node::impl::WriterTask() {
  const auto self = shared_from_this();
  while (!ended) {
    if (!HasUnsaved()) {
      co_await writer_wake.Wait();
      continue;
    }
    const auto batch = std::make_shared<const write_batch>(NextBatch());
    const std::uint64_t version = hard_state_version;
    truncated_while_writing.reset();
    is_writing_snapshot = batch->new_snapshot.has_value();
    std::function<core::result<void>()> work = [self, batch] {
      return self->storage.Write(*batch);
    };
    const auto written = co_await RunWhenRoom(std::move(work));
    if (ended) co_return;
    if (!written) {
      // The success of a later sync would not prove that these pages were
      // written, so nothing more is acknowledged.
      End(written.error());
      co_return;
    }
    OnWritten(*batch, version);
  }
}

void node::impl::OnWritten(const write_batch& batch, std::uint64_t version) {
  durable_hard_state_version = version;
  core::revision end = durable_revision;
  if (batch.new_snapshot) end = std::max(end, batch.new_snapshot->revision);
  if (!batch.entries.empty()) {
    end = std::max(end, batch.entries.back()->revision);
  }
  if (truncated_while_writing) {
    end = std::min(end, *truncated_while_writing - 1);
  }
  durable_revision = std::max(durable_revision, end);
  is_writing_snapshot = false;
  if (batch.new_snapshot) OnSnapshotWritten(*batch.new_snapshot);
  durable_changed.NotifyAll();
  for (const auto& inbound : inbound_links) inbound->wake.NotifyAll();
  AdvanceCommit();
}

/// Compacts the log. Part of it stays in memory, so that a member that is
/// slightly behind needs no snapshot.
void node::impl::OnSnapshotWritten(const snapshot& written) {
  if (written.revision < last_snapshot.revision) return;
  last_snapshot = written;
  last_snapshot.data.reset();
  const core::revision limit = std::min(written.revision, durable_revision);
  while (log.BaseRevision() < limit &&
         log.Bytes() > settings.snapshot_after_bytes / 2) {
    log.CompactUpTo(log.BaseRevision() + 1);
  }
  while (memberships.size() > 1 &&
         memberships[1].revision <= written.revision) {
    memberships.erase(memberships.begin());
  }
}

/// @return false if the node stopped first.
core::awaitable<bool> node::impl::WaitUntilHardStateDurable() {
  const std::uint64_t version = hard_state_version;
  while (!ended && durable_hard_state_version < version) {
    co_await durable_changed.Wait();
  }
  co_return !ended;
}

void node::impl::AppendEntry(entry_ptr entry) {
  const auto members = entry->kind == entry_kind::kMembership
                           ? DecodeMembership(entry->data, entry->revision)
                           : std::nullopt;
  log.Append(std::move(entry));
  if (members) AddMembership(*members);
  writer_wake.NotifyAll();
}

void node::impl::TruncateLog(core::revision after) {
  log.TruncateAfter(after);
  if (first_unsaved > after + 1) {
    first_unsaved = after + 1;
    truncated_while_writing =
        std::min(truncated_while_writing.value_or(after + 1), after + 1);
  }
  durable_revision = std::min(durable_revision, after);
  while (memberships.size() > 1 && memberships.back().revision > after) {
    memberships.pop_back();
  }
  UpdatePeers();
}

void node::impl::ApplyCommitted() {
  // A state machine that proposes in Apply must not apply entries out of order.
  if (std::exchange(applying, true)) return;
  while (applied < committed) {
    const entry_ptr entry = log.At(applied + 1);
    ++applied;
    ApplyOne(*entry);
  }
  applying = false;
  MaybeTakeSnapshot();
}

void node::impl::ApplyOne(const log_entry& entry) {
  bytes_since_snapshot += entry_log::Size(entry);
  const auto it = proposals.find(entry.revision);
  const bool own = it != proposals.end() && it->second->term == entry.term;
  machine.Apply(entry, own);
  if (own) {
    const auto p = it->second;
    proposals.erase(entry.revision);
    p->result = entry.revision;
    p->done.NotifyAll();
  }
  auto* l = std::get_if<leader_role>(&current_role);
  if (l != nullptr && entry.revision == l->first_revision) {
    l->first_entry_committed = true;
    machine.OnLeadershipChange(true, hard_state.term);
  }
}

void node::impl::MaybeTakeSnapshot() {
  const bool due = bytes_since_snapshot >= settings.snapshot_after_bytes;
  if (!due || unsaved_snapshot || is_writing_snapshot) return;
  bytes_since_snapshot = 0;
  unsaved_snapshot =
      snapshot{applied, log.TermAt(applied), MembershipAt(applied),
               std::make_shared<const std::string>(machine.TakeSnapshot())};
  writer_wake.NotifyAll();
}

}  // namespace mangoplank::consensus
