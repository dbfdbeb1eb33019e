#include "mangoplank/control/leader_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "control/leader_client_impl.h"
#include "mangoplank/wire/codec.h"

namespace mangoplank::control {

namespace asio = boost::asio;
using core::overloaded;

leader_client::impl::impl(leader_client_settings client_settings,
                          const wire::connection_context& connection_context,
                          std::uint64_t random_seed,
                          leader_handlers message_handlers)
    : settings(std::move(client_settings)),
      context(connection_context),
      handlers(std::move(message_handlers)),
      random(random_seed),
      connections_changed(connection_context.executor,
                          connection_context.clock),
      stop_requested(connection_context.executor, connection_context.clock) {
  for (const control_process& process : settings.processes) {
    processes.push_back(std::make_unique<process_connection>());
    processes.back()->process = process;
  }
}

bool leader_client::impl::IsUsable(std::size_t index) const {
  const process_connection& process = *processes[index];
  return process.connection && process.connection->IsOpen() &&
         !process.reconnect_at;
}

bool leader_client::impl::Post(std::size_t index, const message& outgoing) {
  return processes[index]->connection->Send(wire::Encode(outgoing)).has_value();
}

void leader_client::impl::ConfirmLeader(std::size_t index) {
  if (leader != index) {
    spdlog::info("{} is the leader", processes[index]->process.id.v);
  }
  leader = index;
  leader_confirmed_at = Now();
}

/// @return a time from `limit` / 2 to `limit`, to spread the entries in time.
core::duration leader_client::impl::Jitter(core::duration limit) {
  std::uniform_int_distribution<std::int64_t> spread(limit.count() / 2,
                                                     limit.count());
  return core::duration(spread(random));
}

core::duration leader_client::impl::ReconnectDelay(std::size_t index,
                                                   int failures) {
  const auto requested = std::exchange(processes[index]->reconnect_at, {});
  if (requested) return *requested - Now();
  core::duration delay = settings.min_backoff;
  for (int i = 0; i < failures && delay < settings.max_backoff; ++i) delay *= 2;
  return Jitter(std::min<core::duration>(delay, settings.max_backoff));
}

void leader_client::impl::OnOpened(
    std::size_t index, std::shared_ptr<wire::connection> connection) {
  connection->SetHeartbeat([weak = weak_from_this()] {
    const auto self = weak.lock();
    const message beat = heartbeat{self ? self->in_force : 0};
    return wire::Encode(beat);
  });
  processes[index]->connection = std::move(connection);
  Post(index, settings.self);
  for (const auto& feed : feeds) {
    if (PickSource(*feed) != feed->source) Subscribe(*feed);
  }
  connections_changed.NotifyAll();
}

void leader_client::impl::OnClosed(std::size_t index) {
  process_connection& process = *processes[index];
  process.connection.reset();
  const auto pending = std::exchange(process.pending, {});
  for (const auto& [number, request] : pending) {
    request->connection_lost = true;
    request->done.NotifyAll();
  }
  if (leader == index) leader.reset();
  for (const auto& feed : feeds) {
    if (feed->source == index) Subscribe(*feed);
  }
  connections_changed.NotifyAll();
}

void leader_client::impl::OnAnswer(std::size_t index,
                                   numbered_answer received) {
  process_connection& process = *processes[index];
  // Only the leader answers with a value.
  if (received.answer) ConfirmLeader(index);
  const auto it = process.pending.find(received.number);
  // The request has timed out.
  if (it == process.pending.end()) return;
  it->second->answer = std::move(received.answer);
  it->second->done.NotifyAll();
  process.pending.erase(it);
  CloseIfDrained(index);
}

void leader_client::impl::CloseIfDrained(std::size_t index) {
  process_connection& process = *processes[index];
  if (process.connection && process.reconnect_at && process.pending.empty())
    process.connection->Close();
}

void leader_client::impl::OnShutdownNotice(std::size_t index,
                                           const shutdown_notice& notice) {
  process_connection& process = *processes[index];
  const core::milliseconds delay =
      std::clamp(notice.reconnect_after, core::milliseconds{0},
                 settings.max_reconnect_after);
  process.reconnect_at = Now() + delay;
  if (leader == index) leader.reset();
  for (const auto& feed : feeds) {
    if (feed->source == index) Subscribe(*feed);
  }
  CloseIfDrained(index);
}

void leader_client::impl::Dispatch(std::size_t index, message received) {
  std::visit(
      overloaded{
          [&](numbered_answer& answer) { OnAnswer(index, std::move(answer)); },
          [&](feed_batch& batch) { OnFeedBatch(index, std::move(batch)); },
          [&](reply_batch& batch) {
            ConfirmLeader(index);
            handlers.replies(std::move(batch));
          },
          [&](slot_grants& grants) {
            ConfirmLeader(index);
            handlers.grants(std::move(grants));
          },
          [&](shutdown_notice& notice) { OnShutdownNotice(index, notice); },
          // Heartbeats, and messages that only an entry sends.
          [](auto&) {}},
      received);
}

/// @return whether the process sent at least one valid message.
core::awaitable<bool> leader_client::impl::ReceiveUntilClosed(
    std::size_t index, std::shared_ptr<wire::connection> connection) {
  OnOpened(index, connection);
  bool has_received = false;
  while (true) {
    const auto bytes = co_await connection->Receive();
    if (!bytes || stopped) break;
    auto received =
        core::Capture([&] { return wire::DecodeControlMessage(*bytes); });
    if (!received) {
      spdlog::warn("connection to {} closed: malformed message",
                   connection->Peer());
      break;
    }
    has_received = true;
    Dispatch(index, std::move(*received));
  }
  connection->Close();
  OnClosed(index);
  co_return has_received;
}

core::awaitable<void> leader_client::impl::MaintainConnection(
    self_ptr self, std::size_t index) {
  const control_process process = self->processes[index]->process;
  int failures = 0;
  while (!self->stopped) {
    const auto connection = co_await wire::Connect(
        self->context, process.address, process.id.v, process.other_region);
    if (self->stopped) co_return;
    ++failures;
    if (connection) {
      const bool has_received =
          co_await self->ReceiveUntilClosed(index, *connection);
      // Backoff also applies if the process accepts and closes at once.
      if (has_received) failures = 0;
    }
    const core::time_point next =
        self->Now() + self->ReconnectDelay(index, failures);
    if (!self->stopped) co_await self->stop_requested.WaitUntil(next);
  }
}

/// Requests a call record that does not exist, since only the leader answers
/// that. Other processes do not answer announcements and slot reports.
core::awaitable<void> leader_client::impl::FindLeader(self_ptr self) {
  while (!self->stopped) {
    const core::duration interval = self->settings.leader_check_interval;
    if (!self->leader || self->Now() - self->leader_confirmed_at >= interval) {
      request probe = call_request{};
      const core::time_point deadline = self->Now() + interval;
      co_await Request(self, std::move(probe), deadline);
    }
    if (self->stopped) co_return;
    const core::time_point next = self->Now() + self->Jitter(interval);
    co_await self->stop_requested.WaitUntil(next);
  }
}

core::outcome<void> leader_client::impl::SendToLeader(const message& outgoing) {
  if (stopped) return core::failure(core::shutting_down{});
  if (!leader || !IsUsable(*leader) || !Post(*leader, outgoing)) {
    return core::failure(core::unavailable{"no leader is known"});
  }
  return core::outcome<void>();
}

leader_client::leader_client(leader_client_settings settings,
                             const wire::connection_context& context,
                             std::uint64_t random_seed,
                             leader_handlers handlers)
    : impl_(std::make_shared<impl>(std::move(settings), context, random_seed,
                                   std::move(handlers))) {}

leader_client::~leader_client() { Stop(); }

void leader_client::Start() {
  const auto& executor = impl_->context.executor;
  for (std::size_t i = 0; i < impl_->processes.size(); ++i) {
    asio::co_spawn(executor, impl::MaintainConnection(impl_, i),
                   asio::detached);
  }
  asio::co_spawn(executor, impl::FindLeader(impl_), asio::detached);
}

void leader_client::Stop() {
  if (impl_->stopped) return;
  impl_->stopped = true;
  for (const auto& process : impl_->processes) {
    if (process->connection) process->connection->Close();
  }
  for (const auto& feed : impl_->feeds) feed->batch_arrived.NotifyAll();
  impl_->stop_requested.NotifyAll();
  impl_->connections_changed.NotifyAll();
}

core::awaitable<core::outcome<answer>> leader_client::Request(
    request body, core::time_point deadline) {
  return impl::Request(impl_, std::move(body), deadline);
}

core::outcome<void> leader_client::Send(announcement_batch batch) {
  return impl_->SendToLeader(std::move(batch));
}

core::outcome<void> leader_client::Send(slot_report report) {
  return impl_->SendToLeader(std::move(report));
}

void leader_client::SetInForce(core::revision revision) {
  impl_->in_force = revision;
}

std::optional<core::member_id> leader_client::Leader() const {
  if (!impl_->leader || !impl_->IsUsable(*impl_->leader)) return std::nullopt;
  return impl_->processes[*impl_->leader]->process.id;
}

}  // namespace mangoplank::control
