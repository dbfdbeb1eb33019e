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
/// Limit of changes in one message; a full copy is sent in several.
constexpr std::size_t kMaxChangesPerBatch = 2000;

/// Splits a batch into parts. Only the first resets, and only the last has the
/// new revision, so that a subscriber that is cut off in between starts again.
std::vector<feed_batch> SplitBatch(feed_batch whole, core::revision reached) {
  std::vector<feed_batch> parts;
  std::size_t done = 0;
  do {
    const std::size_t count =
        std::min(kMaxChangesPerBatch, whole.changes.size() - done);
    feed_batch part{.feed = whole.feed,
                    .to = reached,
                    .sent_at = whole.sent_at,
                    .reset = whole.reset && done == 0};
    const auto first = whole.changes.begin() + static_cast<long>(done);
    part.changes.assign(
        std::make_move_iterator(first),
        std::make_move_iterator(first + static_cast<long>(count)));
    done += count;
    if (done == whole.changes.size()) part.to = whole.to;
    parts.push_back(std::move(part));
  } while (done < whole.changes.size());
  return parts;
}

}  // namespace

struct entry_server::impl : std::enable_shared_from_this<impl> {
  impl(entry_server_settings server_settings, asio::any_io_executor io_executor,
       core::clock& time_source, machine& cell_machine,
       consensus::node& log_node, leader& own_leader,
       const distribution::history& changes)
      : settings(std::move(server_settings)),
        executor(std::move(io_executor)),
        clock(time_source),
        state_machine(cell_machine),
        node(log_node),
        local_leader(own_leader),
        history(changes) {}

  /// State of one connection, shared by its tasks.
  struct session : leader::entry_sink {
    explicit session(std::shared_ptr<entry_connection> opened)
        : connection(std::move(opened)) {}
    void Post(message outgoing) override {
      if (!ended) connection->Post(std::move(outgoing));
    }

    std::shared_ptr<entry_connection> connection;
    control::hello hello;
    bool ended = false;
    /// A feed that is removed ends with its next change or progress mark.
    std::set<std::uint64_t> feeds;
    std::size_t requests_in_progress = 0;
  };
  using session_ptr = std::shared_ptr<session>;

  awaitable<bool> ReceiveHello(const session_ptr& entry);
  awaitable<void> HandleRequest(session_ptr entry, numbered_request incoming);
  awaitable<void> ServeFeed(session_ptr entry, subscribe_request subscription);
  awaitable<bool> SendChanges(const session_ptr& entry,
                              const subscribe_request& subscription,
                              core::revision* reached);
  void Dispatch(const session_ptr& entry, message incoming);

  entry_server_settings settings;
  asio::any_io_executor executor;
  core::clock& clock;
  machine& state_machine;
  consensus::node& node;
  leader& local_leader;
  const distribution::history& history;
  std::set<session_ptr> sessions;
  bool stopped = false;
};

awaitable<bool> entry_server::impl::ReceiveHello(const session_ptr& entry) {
  const auto first = co_await entry->connection->Receive();
  if (!first) co_return false;
  const auto* const received = std::get_if<hello>(&*first);
  if (received == nullptr || received->cell != settings.cell ||
      received->version != kProtocolVersion) {
    spdlog::warn("refused an entry of another cell or protocol version");
    co_return false;
  }
  entry->hello = *received;
  local_leader.OnEntryHeartbeat(entry->hello, 0);
  co_return true;
}

awaitable<void> entry_server::impl::HandleRequest(session_ptr entry,
                                                  numbered_request incoming) {
  const auto self = shared_from_this();
  numbered_answer reply{.number = incoming.number};
  if (entry->requests_in_progress >= settings.max_requests) {
    reply.answer = core::failure(
        core::unavailable{"too many requests in progress for one entry"});
    entry->Post(std::move(reply));
    co_return;
  }
  ++entry->requests_in_progress;
  reply.answer = co_await local_leader.Answer(std::move(incoming.request));
  --entry->requests_in_progress;
  entry->Post(std::move(reply));
}

/// Sends the changes after `*reached` and advances it.
/// @return false if none of them belongs to the feed.
awaitable<bool> entry_server::impl::SendChanges(
    const session_ptr& entry, const subscribe_request& subscription,
    core::revision* reached) {
  const auto read =
      core::Capture([&] { return history.Read(subscription, *reached); });
  const bool whole = !read || *reached == 0;
  feed_batch batch =
      whole ? distribution::BuildFullCopy(state_machine.State(), subscription)
            : *read;
  // Log entries without changes, such as the first one of a leader, advance the
  // revision as well.
  batch.to = std::max(batch.to, history.Revision());
  batch.sent_at = clock.WallNow();
  if (!whole && batch.changes.empty()) {
    *reached = batch.to;
    co_return false;
  }
  const core::revision before = whole ? 0 : *reached;
  *reached = batch.to;
  for (feed_batch& part : SplitBatch(std::move(batch), before)) {
    entry->Post(std::move(part));
    // Only one part of a feed is queued at a time, so that a large copy does
    // not fill the queue of the connection.
    const auto flushed = co_await entry->connection->Flush();
    if (!flushed || entry->ended) co_return true;
  }
  co_return true;
}

awaitable<void> entry_server::impl::ServeFeed(session_ptr entry,
                                              subscribe_request subscription) {
  const auto self = shared_from_this();
  core::revision reached =
      subscription.from > history.Revision() ? 0 : subscription.from;
  core::time_point next_mark = clock.Now();
  while (!entry->ended && entry->feeds.count(subscription.feed) != 0) {
    const bool sent = co_await SendChanges(entry, subscription, &reached);
    if (entry->ended) break;
    // A progress mark states that nothing was committed after it. A member that
    // is cut off from the leader can't know this and sends none.
    const bool current = node.Status().leader.has_value();
    if (!sent && current && clock.Now() >= next_mark) {
      entry->Post(feed_batch{.feed = subscription.feed,
                             .to = reached,
                             .sent_at = clock.WallNow()});
    }
    if (sent || clock.Now() >= next_mark) {
      next_mark = clock.Now() + settings.progress_interval;
    }
    if (history.Revision() == reached) {
      co_await state_machine.Applied().WaitUntil(next_mark);
    }
  }
}

void entry_server::impl::Dispatch(const session_ptr& entry, message incoming) {
  const auto spawn = [&](awaitable<void> task) {
    asio::co_spawn(executor, std::move(task), asio::detached);
  };
  std::visit(
      overloaded{[&](numbered_request& request) {
                   spawn(HandleRequest(entry, std::move(request)));
                 },
                 [&](announcement_batch& batch) {
                   spawn(local_leader.OnAnnouncements(std::move(batch), entry));
                 },
                 [&](slot_report& report) {
                   if (auto grants =
                           local_leader.OnSlotReport(entry->hello, report))
                     entry->Post(std::move(*grants));
                 },
                 [&](subscribe_request& subscription) {
                   entry->feeds.insert(subscription.feed);
                   spawn(ServeFeed(entry, subscription));
                 },
                 [&](unsubscribe_request& subscription) {
                   entry->feeds.erase(subscription.feed);
                 },
                 [&](heartbeat& beat) {
                   local_leader.OnEntryHeartbeat(entry->hello, beat.revision);
                 },
                 // Messages that only a control process sends.
                 [](auto&) {}},
      incoming);
}

entry_server::entry_server(entry_server_settings settings,
                           asio::any_io_executor executor, core::clock& clock,
                           machine& machine, consensus::node& node,
                           leader& leader, const distribution::history& history)
    : impl_(std::make_shared<impl>(std::move(settings), std::move(executor),
                                   clock, machine, node, leader, history)) {}

entry_server::~entry_server() { Stop(); }

awaitable<void> entry_server::Serve(
    std::shared_ptr<entry_connection> connection) {
  const auto i = impl_;
  const auto entry = std::make_shared<impl::session>(std::move(connection));
  const bool accepted = co_await i->ReceiveHello(entry);
  if (accepted && !i->stopped) {
    i->sessions.insert(entry);
    spdlog::info("entry {} connected", entry->hello.entry.v);
    while (true) {
      auto received = co_await entry->connection->Receive();
      if (!received) {
        spdlog::info("entry {}: {}", entry->hello.entry.v,
                     core::Describe(received.error()));
        break;
      }
      i->Dispatch(entry, std::move(*received));
    }
  }
  entry->ended = true;
  entry->connection->Close();
  i->sessions.erase(entry);
}

void entry_server::Stop() {
  impl_->stopped = true;
  core::milliseconds delay{0};
  for (const auto& entry : impl_->sessions) {
    entry->Post(shutdown_notice{delay});
    delay += impl_->settings.reconnect_interval;
  }
}

}  // namespace mangoplank::control
