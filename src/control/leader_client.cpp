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

leader_client::impl::impl(leader_client_settings s,
                          const wire::connection_context& c, std::uint64_t seed,
                          leader_handlers h)
    : settings(std::move(s)),
      context(c),
      handlers(std::move(h)),
      random(seed),
      changed(c.executor, c.clock),
      stop(c.executor, c.clock) {
  for (const control_process& p : settings.processes) {
    processes.push_back(std::make_unique<process_link>());
    processes.back()->who = p;
  }
}

bool leader_client::impl::Usable(std::size_t index) const {
  const process_link& p = *processes[index];
  return p.link && p.link->IsOpen() && !p.reconnect_at;
}

bool leader_client::impl::Post(std::size_t index, const message& m) {
  return processes[index]->link->Send(wire::Encode(m)).has_value();
}

void leader_client::impl::Confirm(std::size_t index) {
  if (leader != index) {
    spdlog::info("{} leads", processes[index]->who.id.v);
  }
  leader = index;
  confirmed = Now();
}

/// @return between half of `d` and `d`, so that entries do not act in step.
core::duration leader_client::impl::Jitter(core::duration d) {
  std::uniform_int_distribution<std::int64_t> spread(d.count() / 2, d.count());
  return core::duration(spread(random));
}

core::duration leader_client::impl::Pause(std::size_t index, int failures) {
  const auto asked = std::exchange(processes[index]->reconnect_at, {});
  if (asked) return *asked - Now();
  core::duration d = settings.min_backoff;
  for (int i = 0; i < failures && d < settings.max_backoff; ++i) d *= 2;
  return Jitter(std::min<core::duration>(d, settings.max_backoff));
}

void leader_client::impl::Opened(std::size_t index,
                                 std::shared_ptr<wire::connection> link) {
  link->SetHeartbeat([weak = weak_from_this()] {
    const auto self = weak.lock();
    const message m = heartbeat{self ? self->in_force : 0};
    return wire::Encode(m);
  });
  processes[index]->link = std::move(link);
  Post(index, settings.self);
  for (const auto& f : feeds) {
    if (BestSource(*f) != f->source) Subscribe(*f);
  }
  changed.NotifyAll();
}

void leader_client::impl::Lost(std::size_t index) {
  process_link& p = *processes[index];
  p.link.reset();
  const auto pending = std::exchange(p.pending, {});
  for (const auto& [number, request] : pending) {
    request->lost = true;
    request->done.NotifyAll();
  }
  if (leader == index) leader.reset();
  for (const auto& f : feeds) {
    if (f->source == index) Subscribe(*f);
  }
  changed.NotifyAll();
}

void leader_client::impl::Answered(std::size_t index, numbered_answer a) {
  process_link& p = *processes[index];
  // Only a leader answers with a value.
  if (a.answer) Confirm(index);
  const auto it = p.pending.find(a.number);
  // The asker has given up.
  if (it == p.pending.end()) return;
  it->second->a = std::move(a.answer);
  it->second->done.NotifyAll();
  p.pending.erase(it);
  CloseIfLeft(index);
}

void leader_client::impl::CloseIfLeft(std::size_t index) {
  process_link& p = *processes[index];
  if (p.link && p.reconnect_at && p.pending.empty()) p.link->Close();
}

void leader_client::impl::Leaving(std::size_t index, const shutdown_notice& g) {
  process_link& p = *processes[index];
  const core::milliseconds delay = std::clamp(
      g.reconnect_after, core::milliseconds{0}, settings.max_reconnect_after);
  p.reconnect_at = Now() + delay;
  if (leader == index) leader.reset();
  for (const auto& f : feeds) {
    if (f->source == index) Subscribe(*f);
  }
  CloseIfLeft(index);
}

void leader_client::impl::Dispatch(std::size_t index, message m) {
  std::visit(
      overloaded{[&](numbered_answer& a) { Answered(index, std::move(a)); },
                 [&](feed_batch& b) { Received(index, std::move(b)); },
                 [&](reply_batch& r) {
                   Confirm(index);
                   handlers.replies(std::move(r));
                 },
                 [&](slot_grants& g) {
                   Confirm(index);
                   handlers.grants(std::move(g));
                 },
                 [&](shutdown_notice& g) { Leaving(index, g); },
                 // Heartbeats, and messages that only an entry sends.
                 [](auto&) {}},
      m);
}

/// @return whether the process sent anything that could be read.
core::awaitable<bool> leader_client::impl::Talk(
    std::size_t index, std::shared_ptr<wire::connection> link) {
  Opened(index, link);
  bool heard = false;
  while (true) {
    const auto bytes = co_await link->Receive();
    if (!bytes || stopped) break;
    auto m = core::Capture([&] { return wire::DecodeControlMessage(*bytes); });
    if (!m) {
      spdlog::warn("connection to {} closed: malformed message", link->Peer());
      break;
    }
    heard = true;
    Dispatch(index, std::move(*m));
  }
  link->Close();
  Lost(index);
  co_return heard;
}

core::awaitable<void> leader_client::impl::Keep(self_ptr self,
                                                std::size_t index) {
  const control_process who = self->processes[index]->who;
  int failures = 0;
  while (!self->stopped) {
    const auto link = co_await wire::Connect(self->context, who.address,
                                             who.id.v, who.other_region);
    if (self->stopped) co_return;
    ++failures;
    if (link) {
      const bool heard = co_await self->Talk(index, *link);
      // One that accepts and closes at once is not asked without a pause.
      if (heard) failures = 0;
    }
    const core::time_point next = self->Now() + self->Pause(index, failures);
    if (!self->stopped) co_await self->stop.WaitUntil(next);
  }
}

/// Asks for a record that does not exist, as only the leader answers that.
/// Announcements and slot reports to another process are not answered at all.
core::awaitable<void> leader_client::impl::FindLeader(self_ptr self) {
  while (!self->stopped) {
    const core::duration check = self->settings.leader_check_interval;
    if (!self->leader || self->Now() - self->confirmed >= check) {
      request probe = call_request{};
      const core::time_point deadline = self->Now() + check;
      co_await Request(self, std::move(probe), deadline);
    }
    if (self->stopped) co_return;
    const core::time_point next = self->Now() + self->Jitter(check);
    co_await self->stop.WaitUntil(next);
  }
}

core::outcome<void> leader_client::impl::SendToLeader(const message& m) {
  if (stopped) return core::failure(core::shutting_down{});
  if (!leader || !Usable(*leader) || !Post(*leader, m)) {
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
    asio::co_spawn(executor, impl::Keep(impl_, i), asio::detached);
  }
  asio::co_spawn(executor, impl::FindLeader(impl_), asio::detached);
}

void leader_client::Stop() {
  if (impl_->stopped) return;
  impl_->stopped = true;
  for (const auto& p : impl_->processes) {
    if (p->link) p->link->Close();
  }
  for (const auto& f : impl_->feeds) f->arrived.NotifyAll();
  impl_->stop.NotifyAll();
  impl_->changed.NotifyAll();
}

core::awaitable<core::outcome<answer>> leader_client::Request(
    request r, core::time_point deadline) {
  return impl::Request(impl_, std::move(r), deadline);
}

core::outcome<void> leader_client::Send(announcement_batch batch) {
  return impl_->SendToLeader(std::move(batch));
}

core::outcome<void> leader_client::Send(slot_report report) {
  return impl_->SendToLeader(std::move(report));
}

void leader_client::SetInForce(core::revision at) { impl_->in_force = at; }

std::optional<core::member_id> leader_client::Leader() const {
  if (!impl_->leader || !impl_->Usable(*impl_->leader)) return std::nullopt;
  return impl_->processes[*impl_->leader]->who.id;
}

}  // namespace mangoplank::control
