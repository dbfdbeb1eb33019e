#include "mangoplank/dispatch/connection_server.h"

#include <spdlog/spdlog.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <map>
#include <set>
#include <utility>

#include "dispatch/eligibility_proxy_queue.h"
#include "mangoplank/core/task.h"
#include "mangoplank/wire/codec.h"

namespace mangoplank::dispatch {

namespace asio = boost::asio;
using core::awaitable;
using core::outcome;
using workflow::message;

namespace {

/// Time-out for the first message of a client.
constexpr core::milliseconds kHelloTimeout{700};
/// Time allowed for a reply beyond the expected time of the call.
constexpr core::milliseconds kReplyTimeout{700};
/// Longest time that a call waits for a proxy.
constexpr core::milliseconds kMaxProxyWait{4'000};

struct pending_check {
  pending_check(const asio::any_io_executor& executor, core::clock& clock)
      : done(executor, clock) {}
  std::optional<workflow::eligibility_reply> result;
  core::event done;
};

}  // namespace

struct connection_server::impl
    : std::enable_shared_from_this<connection_server::impl> {
  impl(const wire::connection_context& server_context, consensus::node& node,
       core::member_id self_id, relayed_worker_port& relayed_orders,
       std::size_t connection_limit)
      : context(server_context),
        node(node),
        self(std::move(self_id)),
        orders(relayed_orders),
        max_connections(connection_limit),
        proxies(context.executor, context.clock) {}

  awaitable<void> Serve(std::shared_ptr<wire::connection> connection);
  awaitable<void> ReadLoop(std::shared_ptr<wire::connection> connection);
  awaitable<void> CloseOnLeadershipLoss();
  awaitable<void> ShareMembers();
  awaitable<void> Answer(std::shared_ptr<wire::connection> connection,
                         workflow::request request);
  std::unique_ptr<relayed_worker_port::registration> RegisterRelay(
      const std::shared_ptr<wire::connection>& connection,
      const workflow::hello& hello, const std::string& address);
  message MakeHelloReply() const;
  workflow::member_list MakeMemberList() const;

  wire::connection_context context;
  consensus::node& node;
  core::member_id self;
  relayed_worker_port& orders;
  std::size_t max_connections;
  service* handler = nullptr;
  std::unique_ptr<wire::listener> listener;
  /// Connections of clients while this process is the leader.
  std::set<std::shared_ptr<wire::connection>> connections;
  eligibility_proxy_queue proxies;
  std::map<proxy_id, std::shared_ptr<wire::connection>> proxy_connections;
  std::uint64_t next_id = 1;
  std::map<std::uint64_t, std::shared_ptr<pending_check>> checks;
};

message connection_server::impl::MakeHelloReply() const {
  const consensus::node_status status = node.Status();
  workflow::hello_reply reply{self, {}, {}};
  if (handler->IsLeader()) {
    reply.leader = self;
  } else if (status.leader && *status.leader != self) {
    reply.leader = *status.leader;
  }
  reply.members = MakeMemberList();
  return reply;
}

workflow::member_list connection_server::impl::MakeMemberList() const {
  const consensus::membership known = node.Status().members;
  workflow::member_list list{known.revision, {}};
  for (const auto& member : known.members) list.ids.push_back(member.id);
  return list;
}

awaitable<void> connection_server::impl::Serve(
    std::shared_ptr<wire::connection> connection) {
  const auto keep_alive = shared_from_this();
  const auto timer =
      context.clock.CallAt(context.clock.Now() + kHelloTimeout,
                           [connection] { connection->Close(); });
  const auto frame = co_await connection->Receive();
  context.clock.Cancel(timer);
  if (!frame) co_return;
  const auto message = core::Capture([&] {
    return wire::DecodeWorkflowMessage(*frame,
                                       wire::Malformed(connection->Peer()));
  });
  const auto* const hello =
      message ? std::get_if<workflow::hello>(&*message) : nullptr;
  if (hello == nullptr) {
    spdlog::warn("client_rejected peer={}: first message is not a hello",
                 connection->Peer());
    co_return;
  }
  const std::string address = connection->Peer();
  connection->SetPeer(hello->name, false);
  connection->Send(wire::Encode(MakeHelloReply()));
  if (!handler->IsLeader()) {
    // The client reads the reply and connects to the leader.
    co_await connection->Receive();
    co_return;
  }
  proxy_id proxy = 0;
  if (hello->can_check_eligibility) {
    proxy = proxies.Add();
    proxy_connections[proxy] = connection;
  }
  connections.insert(connection);
  const auto relay = RegisterRelay(connection, *hello, address);
  co_await ReadLoop(connection);
  connection->Close();
  connections.erase(connection);
  proxies.Remove(proxy);
  proxy_connections.erase(proxy);
}

/// @param address of the client. This process has a client too, and sends its
/// own orders directly.
/// @return null if the client relays no orders.
std::unique_ptr<relayed_worker_port::registration>
connection_server::impl::RegisterRelay(
    const std::shared_ptr<wire::connection>& connection,
    const workflow::hello& hello, const std::string& address) {
  if (!hello.can_relay_orders || address == self.v) return nullptr;
  spdlog::info("relay_connected name={} data_centre={}", hello.name,
               hello.data_centre);
  return orders.AddRelay(
      hello.data_centre, [connection](workflow::order_request request) {
        connection->Send(wire::Encode(message(std::move(request))));
      });
}

/// Closes all connections when this process loses leadership, so that the
/// clients search for the next leader.
awaitable<void> connection_server::impl::CloseOnLeadershipLoss() {
  const auto keep_alive = shared_from_this();
  while (true) {
    co_await handler->LeadershipChanged().Wait();
    if (handler->IsLeader()) continue;
    for (const auto& connection : std::exchange(connections, {})) {
      connection->Close();
    }
  }
}

/// Reports each change of the members to the clients: a client stays connected
/// while one process leads, in which all other members may be replaced.
awaitable<void> connection_server::impl::ShareMembers() {
  const auto keep_alive = shared_from_this();
  while (true) {
    co_await node.MembersChanged().Wait();
    if (!handler->IsLeader()) continue;
    const std::string frame =
        wire::Encode(message(workflow::members_changed{MakeMemberList()}));
    for (const auto& connection : connections) connection->Send(frame);
  }
}

awaitable<void> connection_server::impl::ReadLoop(
    std::shared_ptr<wire::connection> connection) {
  while (connection->IsOpen()) {
    const auto frame = co_await connection->Receive();
    if (!frame) co_return;
    auto message = core::Capture([&] {
      return wire::DecodeWorkflowMessage(*frame,
                                         wire::Malformed(connection->Peer()));
    });
    if (!message) {
      spdlog::warn("client_message_malformed peer={}", connection->Peer());
      co_return;
    }
    if (auto* const request = std::get_if<workflow::request>(&*message)) {
      core::SpawnTask(context.executor, Answer(connection, std::move(*request)),
                      "client_request");
    } else if (auto* const reply =
                   std::get_if<workflow::eligibility_reply>(&*message)) {
      const auto it = checks.find(reply->id);
      if (it == checks.end()) continue;
      it->second->result = std::move(*reply);
      it->second->done.NotifyAll();
    } else if (auto* const ordered =
                   std::get_if<workflow::order_reply>(&*message)) {
      orders.OnReply(std::move(*ordered));
    }
  }
}

awaitable<void> connection_server::impl::Answer(
    std::shared_ptr<wire::connection> connection, workflow::request request) {
  const auto keep_alive = shared_from_this();
  workflow::answer answer;
  answer.id = request.id;
  answer.body = co_await handler->Handle(std::move(request.body));
  connection->Send(wire::Encode(message(std::move(answer))));
}

connection_server::connection_server(const wire::connection_context& context,
                                     consensus::node& node,
                                     core::member_id self,
                                     relayed_worker_port& relayed_orders,
                                     std::size_t max_connections)
    : impl_(std::make_shared<impl>(context, node, std::move(self),
                                   relayed_orders, max_connections)) {}

connection_server::~connection_server() = default;

outcome<void> connection_server::Start(const core::endpoint& address,
                                       service& handler) {
  impl_->handler = &handler;
  impl_->listener = std::make_unique<wire::listener>(
      impl_->context,
      [i = impl_](std::shared_ptr<wire::connection> connection) {
        return i->Serve(std::move(connection));
      },
      impl_->max_connections);
  asio::co_spawn(impl_->context.executor, impl_->CloseOnLeadershipLoss(),
                 asio::detached);
  asio::co_spawn(impl_->context.executor, impl_->ShareMembers(),
                 asio::detached);
  return impl_->listener->Start(address);
}

void connection_server::SetMaxConnections(std::size_t count) {
  impl_->max_connections = count;
  if (impl_->listener) impl_->listener->SetMaxConnections(count);
}

proxy_count connection_server::CountProxies() const {
  return impl_->proxies.Count();
}

awaitable<std::optional<std::vector<workflow::eligible_worker>>>
connection_server::Check(workflow::task_id step,
                         std::vector<core::worker_id> workers,
                         core::milliseconds cost, std::int32_t priority) {
  const auto self = impl_;
  core::clock& clock = self->context.clock;
  const auto proxy = co_await self->proxies.Acquire(
      cost, priority, clock.Now() + kMaxProxyWait);
  if (!proxy) co_return std::nullopt;
  const auto connection = self->proxy_connections.find(*proxy);
  // The proxy's connection was closed after the call was assigned to it.
  if (connection == self->proxy_connections.end()) co_return std::nullopt;
  const std::uint64_t id = self->next_id++;
  const core::time_point deadline = clock.Now() + cost + kReplyTimeout;
  const auto pending = std::make_shared<pending_check>(self->context.executor,
                                                       self->context.clock);
  self->checks.emplace(id, pending);
  connection->second->Send(wire::Encode(message(
      workflow::eligibility_request{id, std::move(step), std::move(workers)})));
  while (!pending->result) {
    const bool notified = co_await pending->done.WaitUntil(deadline);
    if (!notified) break;
  }
  self->checks.erase(id);
  const bool is_known = pending->result && pending->result->known;
  self->proxies.Release(
      *proxy, cost,
      is_known ? call_outcome::kAnswered : call_outcome::kNotAnswered);
  if (!is_known) co_return std::nullopt;
  co_return std::move(pending->result->eligible);
}

}  // namespace mangoplank::dispatch
