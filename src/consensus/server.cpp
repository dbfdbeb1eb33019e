#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "consensus/node_impl.h"

/// Links that other members opened: votes, appends and snapshots received.
namespace mangoplank::consensus {

core::awaitable<void> node::impl::Serve(std::shared_ptr<peer_link> link) {
  if (!started || ended) {
    link->Close();
    co_return;
  }
  const auto s = std::make_shared<served_link>(link, executor, clock);
  served.insert(s);
  Spawn(AckLoop(s));
  silence_guard guard(clock, link, SilenceLimit(settings));
  while (!ended) {
    auto m = co_await link->Receive();
    if (!m || ended) break;
    guard.Heard();
    co_await OnRequest(s, std::move(*m));
  }
  s->closed = true;
  s->wake.NotifyAll();
  served.erase(s);
  link->Close();
}

core::awaitable<void> node::impl::OnRequest(std::shared_ptr<served_link> s,
                                            message m) {
  if (auto* append = std::get_if<append_request>(&m)) {
    OnAppend(*s, *append);
  } else if (auto* chunk = std::get_if<snapshot_chunk>(&m)) {
    co_await OnChunk(s, std::move(*chunk));
  } else if (auto* vote = std::get_if<vote_request>(&m)) {
    message reply = co_await OnVoteRequest(std::move(*vote));
    co_await s->link->Send(std::move(reply));
  } else if (const auto* order = std::get_if<take_over>(&m)) {
    OnTakeOver(*order);
  } else {
    spdlog::warn("{}: reply on a request link", settings.self.v);
    s->link->Close();
  }
}

void node::impl::OnTakeOver(const take_over& m) {
  if (m.t != hard.t || Leader() != m.leader || !IsVoter()) return;
  take_over_asked = true;
  election_moved.NotifyAll();
}

/// @return whether the sender leads the current term.
bool node::impl::AcceptLeader(served_link& s, core::term t,
                              const core::member_id& from) {
  s.outdated = t < hard.t;
  if (s.outdated) return false;
  if (t > hard.t || Leader() != from) Follow(t, from);
  leader_heard = clock.Now();
  if (s.t != t) {
    s.t = t;
    s.verified = 0;
    s.round = 0;
    s.mismatch.reset();
    s.replied_at = 0;
    s.replied_round = 0;
  }
  return true;
}

/// @return a hint where the leader should go on, if the logs don't agree at the
/// previous entry.
std::optional<core::revision> node::impl::Mismatch(
    const append_request& m) const {
  // All leaders have what is committed.
  if (m.previous_at <= committed) return std::nullopt;
  if (m.previous_at > log.LastAt()) return log.LastAt();
  const core::term other = log.TermAt(m.previous_at);
  if (other == m.previous_term) return std::nullopt;
  core::revision at = m.previous_at;
  while (at > committed && log.TermAt(at) == other) --at;
  return at;
}

void node::impl::OnAppend(served_link& s, append_request& m) {
  if (AcceptLeader(s, m.t, m.leader)) {
    s.round = std::max(s.round, m.round);
    const auto mismatch = Mismatch(m);
    // Kept until the reply says so, also if a heartbeat comes before that.
    if (mismatch) s.mismatch = mismatch;
    if (!mismatch) {
      for (log_entry& e : m.entries) {
        const bool known = e.at <= log.LastAt();
        if (e.at <= committed || (known && log.TermAt(e.at) == e.t)) continue;
        if (known) CutLog(e.at - 1);
        AppendEntry(std::make_shared<const log_entry>(std::move(e)));
      }
      const core::revision end = m.previous_at + m.entries.size();
      s.verified = std::max(s.verified, end);
      const core::revision commit = std::min(m.committed, end);
      if (commit > committed) Commit(commit);
    }
  }
  s.wake.NotifyAll();
}

core::awaitable<void> node::impl::OnChunk(std::shared_ptr<served_link> s,
                                          snapshot_chunk m) {
  if (!AcceptLeader(*s, m.t, m.leader)) {
    s->wake.NotifyAll();
    co_return;
  }
  snapshot_reply reply{m.t, m.at, m.total, own_disk};
  const bool same = m.at > committed && m.at <= log.LastAt() &&
                    m.at >= log.BaseAt() && log.TermAt(m.at) == m.at_term;
  if (same) Commit(m.at);
  if (m.at > committed) {
    if (s->snapshot_at != m.at) s->snapshot_data.clear();
    s->snapshot_at = m.at;
    if (m.offset == s->snapshot_data.size()) s->snapshot_data += m.data;
    reply.next_offset = s->snapshot_data.size();
  }
  if (m.at > committed && reply.next_offset == m.total) {
    const auto data =
        std::make_shared<const std::string>(std::move(s->snapshot_data));
    s->snapshot_data.clear();
    s->snapshot_at = 0;
    snapshot whole{m.at, m.at_term, m.members, data};
    if (!Install(std::move(whole))) co_return;
  }
  while (reply.next_offset == m.total && durable_at < m.at && !ended) {
    co_await durable_moved.Wait();
  }
  const bool saved = co_await WaitHardState();
  if (!saved) co_return;
  message out = reply;
  co_await s->link->Send(std::move(out));
}

bool node::impl::Install(snapshot s) {
  const auto restored =
      core::Capture([&] { return machine.Restore(*s.data, s.at); });
  if (!restored) {
    End(restored.error());
    return false;
  }
  spdlog::info("{}: installed the snapshot at {}", settings.self.v, s.at);
  log.Reset(s.at, s.at_term);
  committed = applied = s.at;
  bytes_since_snapshot = 0;
  memberships = {s.members};
  UpdatePeers();
  durable_at = std::min(durable_at, s.at - 1);
  cut_while_writing = std::min(cut_while_writing.value_or(s.at), s.at);
  unsaved_from = s.at + 1;
  last_snapshot = s;
  last_snapshot.data.reset();
  unsaved_snapshot = std::move(s);
  unsaved_discard = true;
  writer_wake.NotifyAll();
  progress_moved.NotifyAll();
  return true;
}

bool node::impl::NeedsReply(const served_link& s) const {
  if (s.outdated || s.mismatch) return true;
  if (s.round > s.replied_round) return true;
  return std::min(durable_at, s.verified) > s.replied_at;
}

append_reply node::impl::NextReply(served_link& s) {
  append_reply r;
  r.t = hard.t;
  r.disk = own_disk;
  const bool current = s.t == hard.t && !s.outdated;
  s.outdated = false;
  r.matched = current && !s.mismatch;
  r.matched_at = std::min(durable_at, s.verified);
  if (s.mismatch) r.matched_at = *s.mismatch;
  s.mismatch.reset();
  if (current) r.round = s.round;
  s.replied_round = s.round;
  s.replied_at = std::max(s.replied_at, std::min(durable_at, s.verified));
  return r;
}

/// Sends one reply for all that was received or synced since the last one.
core::awaitable<void> node::impl::AckLoop(std::shared_ptr<served_link> s) {
  while (!s->closed && !ended) {
    if (!NeedsReply(*s)) {
      co_await s->wake.Wait();
      continue;
    }
    const bool saved = co_await WaitHardState();
    if (!saved || s->closed) co_return;
    message reply = NextReply(*s);
    const auto sent = co_await s->link->Send(std::move(reply));
    if (!sent) co_return;
  }
}

}  // namespace mangoplank::consensus
