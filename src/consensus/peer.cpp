#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "consensus/node_impl.h"

/// The task of each other member: opens a link while this process leads or asks
/// for votes, and sends what the member lacks.
namespace mangoplank::consensus {

namespace {

// Keeps a member that refuses connections from being asked in a tight loop.
constexpr core::milliseconds kReconnectDelay{50};

}  // namespace

silence_guard::silence_guard(core::clock& clock,
                             std::shared_ptr<peer_link> link,
                             core::duration limit)
    : clock_(clock),
      link_(std::move(link)),
      limit_(limit),
      heard_(clock.Now()) {
  Arm();
}

silence_guard::~silence_guard() { clock_.Cancel(timer_); }

void silence_guard::Arm() {
  timer_ = clock_.CallAt(heard_ + limit_, [this] {
    if (clock_.Now() >= heard_ + limit_) {
      link_->Close();
    } else {
      Arm();
    }
  });
}

bool node::impl::NeedsLink(const peer& p) const {
  if (ended || p.removed) return false;
  return std::visit(
      core::overloaded{[](const following&) { return false; },
                       [&](const campaigning&) { return p.who.voter; },
                       [](const leading&) { return true; }},
      current_role);
}

core::awaitable<void> node::impl::PeerTask(std::shared_ptr<peer> p) {
  while (!ended && !p->removed) {
    if (!NeedsLink(*p)) {
      co_await p->wake.Wait();
      continue;
    }
    const member to = p->who;
    const auto link = co_await links.Connect(to);
    if (link && NeedsLink(*p)) {
      p->link = *link;
      BeginSession(*p);
      Spawn(ReplyLoop(p, *link));
      co_await SendLoop(p, *link);
    }
    if (link) (*link)->Close();
    p->link.reset();
    if (NeedsLink(*p)) co_await core::SleepFor(clock, kReconnectDelay);
  }
}

core::awaitable<void> node::impl::SendLoop(std::shared_ptr<peer> p,
                                           std::shared_ptr<peer_link> link) {
  while (p->link == link && NeedsLink(*p)) {
    if (NeedsSnapshot(*p) && !p->sending) co_await LoadSnapshot(*p);
    auto m = NextMessage(*p);
    if (!m) {
      co_await p->wake.Wait();
      continue;
    }
    const auto sent = co_await link->Send(std::move(*m));
    if (!sent) co_return;
  }
}

core::awaitable<void> node::impl::ReplyLoop(std::shared_ptr<peer> p,
                                            std::shared_ptr<peer_link> link) {
  silence_guard guard(clock, link, SilenceLimit(settings));
  while (p->link == link && !ended) {
    const auto m = co_await link->Receive();
    if (!m || p->link != link || ended) break;
    guard.Heard();
    OnReply(*p, *m);
  }
  if (p->link == link) p->link.reset();
  link->Close();
  p->wake.NotifyAll();
}

void node::impl::WakePeers() {
  for (const auto& [id, p] : peers) p->wake.NotifyAll();
}

void node::impl::ResetProgress(peer& p) {
  p.match = 0;
  p.answered_round = 0;
  p.ask_to_take_over = false;
  p.next = log.LastAt() + 1;
  BeginSession(p);
}

/// Forgets what was in flight; the member may not have received it.
void node::impl::BeginSession(peer& p) {
  p.asked_campaign = 0;
  p.probing = true;
  p.probe_at.reset();
  p.in_flight.clear();
  if (p.match > 0) p.next = p.match + 1;
  p.sent_round = 0;
  p.sent_commit = 0;
  p.sending.reset();
  p.chunk_sent = false;
  p.wanted_offset = 0;
}

bool node::impl::NeedsSnapshot(const peer& p) const {
  return Leads() && p.next <= log.BaseAt();
}

core::awaitable<void> node::impl::LoadSnapshot(peer& p) {
  snapshot wanted = last_snapshot;
  const auto data = std::make_shared<std::string>();
  const auto self = shared_from_this();
  std::function<core::result<void>()> work = [self, at = wanted.at,
                                              data]() -> core::result<void> {
    BOOST_LEAF_ASSIGN(*data, self->files.ReadSnapshot(at));
    return {};
  };
  const auto read = co_await runner.Run(std::move(work));
  if (read) {
    wanted.data = data;
    p.sending = std::move(wanted);
    p.wanted_offset = 0;
    p.chunk_sent = false;
  } else if (last_snapshot.at == wanted.at) {
    End(read.error());
  }
}

std::optional<message> node::impl::NextMessage(peer& p) {
  using maybe = std::optional<message>;
  return std::visit(
      core::overloaded{
          [](const following&) { return maybe(); },
          [&](const campaigning& c) { return NextVoteRequest(p, c); },
          [&](const leading& l) { return NextLeaderMessage(p, l); }},
      current_role);
}

std::optional<message> node::impl::NextVoteRequest(peer& p,
                                                   const campaigning& c) {
  if (p.asked_campaign == c.number) return std::nullopt;
  p.asked_campaign = c.number;
  const core::term t = c.pre ? hard.t + 1 : hard.t;
  return vote_request{
      t,     settings.self, own_disk, log.LastAt(), log.LastTerm(),
      c.pre, c.transfer};
}

std::optional<message> node::impl::NextLeaderMessage(peer& p,
                                                     const leading& l) {
  const bool round_due = p.sent_round < l.round;
  if (NeedsSnapshot(p) || p.probing) {
    const bool in_snapshot = NeedsSnapshot(p);
    if (in_snapshot && p.sending && !p.chunk_sent) return NextChunk(p);
    if (!in_snapshot && !p.probe_at) return NextAppend(p, l);
    if (round_due) return NextHeartbeat(p, l);
    return std::nullopt;
  }
  if (p.ask_to_take_over && p.match == log.LastAt()) {
    p.ask_to_take_over = false;
    return take_over{hard.t, settings.self};
  }
  const bool room = p.in_flight.size() < settings.max_inflight_batches;
  const bool entries_due = p.next <= log.LastAt() && room;
  const bool commit_due = p.sent_commit < committed && p.in_flight.empty();
  if (!entries_due && !round_due && !commit_due) return std::nullopt;
  return NextAppend(p, l);
}

message node::impl::NextAppend(peer& p, const leading& l) {
  append_request m;
  m.t = hard.t;
  m.leader = settings.self;
  m.previous_at = p.next - 1;
  m.previous_term = log.TermAt(m.previous_at);
  m.committed = committed;
  m.round = l.round;
  const bool room = p.in_flight.size() < settings.max_inflight_batches;
  std::uint64_t bytes = 0;
  while (room && p.next <= log.LastAt() && bytes < settings.max_batch_bytes) {
    const log_entry& e = *log.At(p.next);
    bytes += entry_log::Size(e);
    m.entries.push_back(e);
    ++p.next;
  }
  if (!m.entries.empty()) p.in_flight.push_back(p.next - 1);
  if (p.probing) p.probe_at = m.previous_at;
  p.sent_round = l.round;
  p.sent_commit = committed;
  return m;
}

/// A heartbeat that matches any log, for a member whose log is not known yet.
message node::impl::NextHeartbeat(peer& p, const leading& l) {
  append_request m;
  m.t = hard.t;
  m.leader = settings.self;
  m.round = l.round;
  p.sent_round = l.round;
  return m;
}

std::optional<message> node::impl::NextChunk(peer& p) {
  const snapshot& s = *p.sending;
  snapshot_chunk m;
  m.t = hard.t;
  m.leader = settings.self;
  m.at = s.at;
  m.at_term = s.at_term;
  m.members = s.members;
  m.offset = std::min<std::uint64_t>(p.wanted_offset, s.data->size());
  m.total = s.data->size();
  m.data = s.data->substr(m.offset, settings.snapshot_chunk_bytes);
  p.chunk_sent = true;
  return m;
}

void node::impl::OnReply(peer& p, const message& m) {
  p.heard = clock.Now();
  std::visit(
      core::overloaded{[&](const vote_reply& r) { OnVoteReply(p, r); },
                       [&](const append_reply& r) { OnAppendReply(p, r); },
                       [&](const snapshot_reply& r) { OnSnapshotReply(p, r); },
                       [&](const auto&) {
                         spdlog::warn("{}: request on a reply link from {}",
                                      settings.self.v, p.who.id.v);
                         p.link->Close();
                       }},
      m);
}

void node::impl::NoteDisk(peer& p, std::uint64_t disk_id) {
  if (p.disk == disk_id) return;
  // What another disk acknowledged says nothing about this one.
  p.disk = disk_id;
  p.match = 0;
  p.answered_round = 0;
}

void node::impl::OnAppendReply(peer& p, const append_reply& m) {
  if (m.t > hard.t) return Follow(m.t, std::nullopt);
  if (!Leads() || m.t < hard.t) return;
  NoteDisk(p, m.disk);
  MaintainDisks();
  if (m.round > p.answered_round) {
    p.answered_round = m.round;
    OnRoundAnswered();
  }
  if (!m.matched) {
    p.probing = true;
    p.probe_at.reset();
    p.in_flight.clear();
    p.next = std::clamp(m.matched_at + 1, p.match + 1, log.LastAt() + 1);
    p.wake.NotifyAll();
    return;
  }
  const bool found = p.probe_at && m.matched_at >= *p.probe_at;
  if (p.probing && found) p.probing = false;
  if (m.matched_at > p.match) {
    p.match = m.matched_at;
    p.next = std::max(p.next, p.match + 1);
    while (!p.in_flight.empty() && p.in_flight.front() <= p.match) {
      p.in_flight.pop_front();
    }
    progress_moved.NotifyAll();
    AdvanceCommit();
  }
  p.wake.NotifyAll();
}

void node::impl::OnSnapshotReply(peer& p, const snapshot_reply& m) {
  if (m.t > hard.t) return Follow(m.t, std::nullopt);
  if (!Leads() || m.t < hard.t) return;
  NoteDisk(p, m.disk);
  if (!p.sending || p.sending->at != m.at) return;
  p.chunk_sent = false;
  p.wanted_offset = m.next_offset;
  if (m.next_offset >= p.sending->data->size()) {
    p.match = std::max(p.match, m.at);
    p.next = p.match + 1;
    p.sending.reset();
    p.probing = true;
    p.probe_at.reset();
    AdvanceCommit();
  }
  p.wake.NotifyAll();
}

}  // namespace mangoplank::consensus
