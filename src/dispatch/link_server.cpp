#include "mangoplank/dispatch/link_server.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <set>
#include <utility>

#include "dispatch/asker_pool.h"
#include "mangoplank/wire/codec.h"

namespace mangoplank::dispatch {

namespace asio = boost::asio;
using core::awaitable;
using core::outcome;
using workflow::message;

namespace {

constexpr std::size_t kMaxLinks = 512;
/// Wait for the first message of a client.
constexpr core::milliseconds kHelloTime{700};
/// Time for an answer beyond the expected cost of the call.
constexpr core::milliseconds kAskSlack{700};
/// Longest wait for an asker.
constexpr core::milliseconds kAskWait{4'000};
struct pending_ask {
  pending_ask(const asio::any_io_executor& e, core::clock& c) : done(e, c) {}
  std::optional<workflow::eligibility> result;
  core::event done;
};

/// Place of a call among those that wait for an asker.
struct ask_rank {
  std::int32_t priority = 0;
  std::uint64_t id = 0;
  friend auto operator<=>(const ask_rank&, const ask_rank&) = default;
};

}  // namespace

struct link_server::impl : std::enable_shared_from_this<link_server::impl> {
  impl(const wire::connection_context& c, consensus::node& n,
       core::member_id me)
      : context(c),
        node(n),
        self(std::move(me)),
        freed(context.executor, context.clock) {}

  awaitable<void> Serve(std::shared_ptr<wire::connection> c);
  awaitable<void> ReadLoop(std::shared_ptr<wire::connection> c);
  awaitable<void> CloseOnLoss();
  awaitable<void> Answer(std::shared_ptr<wire::connection> c,
                         workflow::request r);
  message Greeting() const;

  wire::connection_context context;
  consensus::node& node;
  core::member_id self;
  service* handler = nullptr;
  std::unique_ptr<wire::listener> listener;
  /// Connections of clients while this process leads.
  std::set<std::shared_ptr<wire::connection>> links;
  asker_pool askers;
  std::map<asker_id, std::shared_ptr<wire::connection>> asker_links;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, std::shared_ptr<pending_ask>> asks;
  /// Calls that wait for an asker. Only the first may take one: a long call
  /// that waits for the reserve to fill would otherwise be passed for good by
  /// short ones of less urgent queues.
  std::set<ask_rank> line;
  core::event freed;
};

message link_server::impl::Greeting() const {
  const consensus::node_status s = node.Status();
  workflow::greeting g{self, {}, {}};
  if (handler->Leads()) {
    g.leader = self;
  } else if (s.leader && *s.leader != self) {
    g.leader = *s.leader;
  }
  for (const auto& m : s.members.members) g.members.push_back(m.id);
  return g;
}

awaitable<void> link_server::impl::Serve(std::shared_ptr<wire::connection> c) {
  const auto kept = shared_from_this();
  const auto timer = context.clock.CallAt(context.clock.Now() + kHelloTime,
                                          [c] { c->Close(); });
  const auto frame = co_await c->Receive();
  context.clock.Cancel(timer);
  if (!frame) co_return;
  const auto m = core::Capture([&] {
    return wire::DecodeWorkflowMessage(*frame, wire::Malformed(c->Peer()));
  });
  const auto* const h = m ? std::get_if<workflow::hello>(&*m) : nullptr;
  if (h == nullptr) {
    spdlog::warn("link_refused peer={}: no hello", c->Peer());
    co_return;
  }
  c->SetPeer(h->name, false);
  c->Send(wire::Encode(Greeting()));
  if (!handler->Leads()) {
    // The client reads the greeting and goes on to the leader.
    co_await c->Receive();
    co_return;
  }
  asker_id asker = 0;
  if (h->asks_eligibility) {
    asker = askers.Add();
    asker_links[asker] = c;
    freed.NotifyAll();
  }
  links.insert(c);
  co_await ReadLoop(c);
  c->Close();
  links.erase(c);
  askers.Remove(asker);
  asker_links.erase(asker);
}

/// Closes all connections when this process ceases to lead, so that the clients
/// look for the next leader.
awaitable<void> link_server::impl::CloseOnLoss() {
  const auto kept = shared_from_this();
  while (true) {
    co_await handler->LeadershipMoved().Wait();
    if (handler->Leads()) continue;
    for (const auto& c : std::exchange(links, {})) c->Close();
  }
}

awaitable<void> link_server::impl::ReadLoop(
    std::shared_ptr<wire::connection> c) {
  while (c->IsOpen()) {
    const auto frame = co_await c->Receive();
    if (!frame) co_return;
    auto m = core::Capture([&] {
      return wire::DecodeWorkflowMessage(*frame, wire::Malformed(c->Peer()));
    });
    if (!m) {
      spdlog::warn("link_message_malformed peer={}", c->Peer());
      co_return;
    }
    if (auto* const r = std::get_if<workflow::request>(&*m)) {
      asio::co_spawn(context.executor, Answer(c, std::move(*r)),
                     asio::detached);
    } else if (auto* const e = std::get_if<workflow::eligibility>(&*m)) {
      const auto it = asks.find(e->id);
      if (it == asks.end()) continue;
      it->second->result = std::move(*e);
      it->second->done.NotifyAll();
    }
  }
}

awaitable<void> link_server::impl::Answer(std::shared_ptr<wire::connection> c,
                                          workflow::request r) {
  const auto kept = shared_from_this();
  workflow::answer a;
  a.id = r.id;
  a.body = co_await handler->Handle(std::move(r.body));
  c->Send(wire::Encode(message(std::move(a))));
}

link_server::link_server(const wire::connection_context& context,
                         consensus::node& node, core::member_id self)
    : impl_(std::make_shared<impl>(context, node, std::move(self))) {}

link_server::~link_server() = default;

outcome<void> link_server::Start(const core::endpoint& at, service& s) {
  impl_->handler = &s;
  impl_->listener = std::make_unique<wire::listener>(
      impl_->context,
      [i = impl_](std::shared_ptr<wire::connection> c) {
        return i->Serve(std::move(c));
      },
      kMaxLinks);
  asio::co_spawn(impl_->context.executor, impl_->CloseOnLoss(), asio::detached);
  return impl_->listener->Start(at);
}

awaitable<std::optional<std::vector<workflow::eligible_worker>>>
link_server::Ask(workflow::task_id step, std::vector<core::worker_id> workers,
                 core::milliseconds cost, std::int32_t priority) {
  const auto self = impl_;
  core::clock& clock = self->context.clock;
  const std::uint64_t id = self->next_id++;
  auto& line = self->line;
  const ask_rank rank{priority, id};
  line.insert(rank);
  const core::time_point give_up = clock.Now() + kAskWait;
  std::optional<asker_id> used;
  while (!used && clock.Now() < give_up) {
    if (*line.begin() == rank) used = self->askers.Take(cost);
    if (!used) co_await self->freed.WaitUntil(give_up);
  }
  line.erase(rank);
  self->freed.NotifyAll();
  if (!used) co_return std::nullopt;
  const core::time_point deadline = clock.Now() + cost + kAskSlack;
  const auto p = std::make_shared<pending_ask>(self->context.executor,
                                               self->context.clock);
  self->asks.emplace(id, p);
  self->asker_links[*used]->Send(wire::Encode(message(
      workflow::ask_eligibility{id, std::move(step), std::move(workers)})));
  while (!p->result) {
    const bool notified = co_await p->done.WaitUntil(deadline);
    if (!notified) break;
  }
  self->asks.erase(id);
  self->askers.Release(*used, cost);
  self->freed.NotifyAll();
  if (!p->result || !p->result->known) co_return std::nullopt;
  co_return std::move(p->result->eligible);
}

}  // namespace mangoplank::dispatch
