#include "mangoplank/control/entry_server.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <set>

namespace mangoplank::control {

namespace asio = boost::asio;
using core::awaitable;
using core::overloaded;

namespace {

constexpr std::uint32_t kProtocolVersion = 1;
/// A full copy is sent in parts of this many changes.
constexpr std::size_t kMaxChangesPerBatch = 2000;

/// Cuts a batch into parts. Only the first resets, and only the last one names
/// the revision, so that a follower that is cut off between them starts anew.
std::vector<feed_batch> Cut(feed_batch whole, core::revision reached) {
  std::vector<feed_batch> parts;
  std::size_t done = 0;
  do {
    const std::size_t n =
        std::min(kMaxChangesPerBatch, whole.changes.size() - done);
    feed_batch part{.feed = whole.feed,
                    .to = reached,
                    .at = whole.at,
                    .reset = whole.reset && done == 0};
    const auto first = whole.changes.begin() + static_cast<long>(done);
    part.changes.assign(std::make_move_iterator(first),
                        std::make_move_iterator(first + static_cast<long>(n)));
    done += n;
    if (done == whole.changes.size()) part.to = whole.to;
    parts.push_back(std::move(part));
  } while (done < whole.changes.size());
  return parts;
}

}  // namespace

struct entry_server::impl : std::enable_shared_from_this<impl> {
  impl(entry_server_settings s, asio::any_io_executor e, core::clock& c,
       machine& m, consensus::node& n, leader& l,
       const distribution::history& h)
      : settings(std::move(s)),
        executor(std::move(e)),
        clock(c),
        replicated(m),
        node(n),
        lead(l),
        history(h) {}

  /// State of one connection, shared by its tasks.
  struct session : leader::entry_sink {
    session(asio::any_io_executor e, core::clock& c,
            std::shared_ptr<entry_link> l)
        : link(std::move(l)), changed(std::move(e), c) {}
    void Post(message m) override {
      if (!ended) link->Post(std::move(m));
    }

    std::shared_ptr<entry_link> link;
    hello h;
    bool ended = false;
    std::set<std::uint64_t> feeds;
    std::size_t requests = 0;
    /// Notified when a feed is to end.
    core::event changed;
  };
  using session_ptr = std::shared_ptr<session>;

  awaitable<bool> Greet(const session_ptr& s);
  awaitable<void> Handle(session_ptr s, numbered_request r);
  awaitable<void> Follow(session_ptr s, follow_request f);
  awaitable<bool> SendFrom(const session_ptr& s, const follow_request& f,
                           core::revision* reached);
  void Dispatch(const session_ptr& s, message m);

  entry_server_settings settings;
  asio::any_io_executor executor;
  core::clock& clock;
  machine& replicated;
  consensus::node& node;
  leader& lead;
  const distribution::history& history;
  std::set<session_ptr> sessions;
  bool stopped = false;
};

awaitable<bool> entry_server::impl::Greet(const session_ptr& s) {
  const auto first = co_await s->link->Receive();
  if (!first) co_return false;
  const auto* const h = std::get_if<hello>(&*first);
  if (h == nullptr || h->cell != settings.cell ||
      h->version != kProtocolVersion) {
    spdlog::warn("an entry of another cell or version was refused");
    co_return false;
  }
  s->h = *h;
  lead.EntryHeard(s->h, 0);
  co_return true;
}

awaitable<void> entry_server::impl::Handle(session_ptr s, numbered_request r) {
  const auto self = shared_from_this();
  numbered_answer a{.number = r.number};
  if (s->requests >= settings.max_requests) {
    a.a = core::failure(core::unavailable{"too many requests of one entry"});
    s->Post(std::move(a));
    co_return;
  }
  ++s->requests;
  a.a = co_await lead.Answer(std::move(r.r));
  --s->requests;
  s->Post(std::move(a));
}

/// Sends what came after `*reached`.
/// @return false if nothing new belongs to the feed.
awaitable<bool> entry_server::impl::SendFrom(const session_ptr& s,
                                             const follow_request& f,
                                             core::revision* reached) {
  const auto read = core::Capture([&] { return history.Read(f, *reached); });
  const bool whole = !read || *reached == 0;
  feed_batch batch =
      whole ? distribution::BuildFullCopy(replicated.State(), f) : *read;
  // Entries that change nothing, such as the start of a leader, move the
  // revision as well.
  batch.to = std::max(batch.to, history.Revision());
  batch.at = clock.WallNow();
  if (!whole && batch.changes.empty()) {
    *reached = batch.to;
    co_return false;
  }
  const core::revision before = whole ? 0 : *reached;
  *reached = batch.to;
  for (feed_batch& part : Cut(std::move(batch), before)) {
    s->Post(std::move(part));
    // Only one part of a feed waits at a time, so that a large copy does not
    // fill the queue of the connection.
    const auto flushed = co_await s->link->Flush();
    if (!flushed || s->ended) co_return true;
  }
  co_return true;
}

awaitable<void> entry_server::impl::Follow(session_ptr s, follow_request f) {
  const auto self = shared_from_this();
  core::revision reached = f.from > history.Revision() ? 0 : f.from;
  core::time_point next_mark = clock.Now();
  while (!s->ended && s->feeds.count(f.feed) != 0) {
    const bool sent = co_await SendFrom(s, f, &reached);
    if (s->ended) break;
    // A mark says that nothing was committed beyond it, so a member that can't
    // know this, being cut off from the leader, sends none.
    const bool current = node.Status().leader.has_value();
    if (!sent && current && clock.Now() >= next_mark) {
      s->Post(feed_batch{.feed = f.feed, .to = reached, .at = clock.WallNow()});
    }
    if (sent || clock.Now() >= next_mark) {
      next_mark = clock.Now() + settings.progress_interval;
    }
    if (history.Revision() == reached) {
      co_await replicated.Applied().WaitUntil(next_mark);
    }
  }
}

void entry_server::impl::Dispatch(const session_ptr& s, message m) {
  const auto spawn = [&](awaitable<void> task) {
    asio::co_spawn(executor, std::move(task), asio::detached);
  };
  std::visit(
      overloaded{[&](numbered_request& r) { spawn(Handle(s, std::move(r))); },
                 [&](announcement_batch& b) {
                   spawn(lead.Announced(std::move(b), s));
                 },
                 [&](slot_report& r) {
                   if (auto g = lead.Slots(s->h, r)) s->Post(std::move(*g));
                 },
                 [&](follow_request& f) {
                   s->feeds.insert(f.feed);
                   spawn(Follow(s, f));
                 },
                 [&](unfollow_request& f) {
                   s->feeds.erase(f.feed);
                   s->changed.NotifyAll();
                 },
                 [&](heartbeat& b) { lead.EntryHeard(s->h, b.at); },
                 // Messages that only a control process sends.
                 [](auto&) {}},
      m);
}

entry_server::entry_server(entry_server_settings settings,
                           asio::any_io_executor executor, core::clock& clock,
                           machine& machine, consensus::node& node,
                           leader& leader, const distribution::history& history)
    : impl_(std::make_shared<impl>(std::move(settings), std::move(executor),
                                   clock, machine, node, leader, history)) {}

entry_server::~entry_server() { Stop(); }

awaitable<void> entry_server::Serve(std::shared_ptr<entry_link> link) {
  const auto i = impl_;
  const auto s =
      std::make_shared<impl::session>(i->executor, i->clock, std::move(link));
  const bool welcome = co_await i->Greet(s);
  if (welcome && !i->stopped) {
    i->sessions.insert(s);
    spdlog::info("entry {} connected", s->h.entry.v);
    while (true) {
      auto m = co_await s->link->Receive();
      if (!m) {
        spdlog::info("entry {}: {}", s->h.entry.v, core::Describe(m.error()));
        break;
      }
      i->Dispatch(s, std::move(*m));
    }
  }
  s->ended = true;
  s->changed.NotifyAll();
  s->link->Close();
  i->sessions.erase(s);
}

void entry_server::Stop() {
  impl_->stopped = true;
  core::milliseconds delay{0};
  for (const auto& s : impl_->sessions) {
    s->Post(goodbye{delay});
    delay += impl_->settings.reconnect_step;
  }
}

}  // namespace mangoplank::control
