#include "mangoplank/wire/connection.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <deque>
#include <utility>

namespace mangoplank::wire {

namespace asio = boost::asio;
using boost::system::error_code;
using core::connection_failed;

namespace {

constexpr std::size_t kHeaderBytes = 8;
/// A payload is read in parts, so that a peer that only claims a large frame
/// makes the process allocate no more than it sends.
constexpr std::size_t kReadBytes = 64 * 1024;

using header = std::array<unsigned char, kHeaderBytes>;

struct frame {
  header head;
  std::string payload;
};

std::uint32_t Checksum(const header& head, std::string_view payload) {
  boost::crc_32_type crc;
  crc.process_bytes(head.data(), 4);
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

frame MakeFrame(std::string payload) {
  frame f{{}, std::move(payload)};
  boost::endian::store_little_u32(f.head.data(),
                                  static_cast<std::uint32_t>(f.payload.size()));
  boost::endian::store_little_u32(f.head.data() + 4,
                                  Checksum(f.head, f.payload));
  return f;
}

std::uint64_t Size(const frame& f) { return kHeaderBytes + f.payload.size(); }

const char* ReasonLabel(connection_failed::kind k) {
  switch (k) {
    case connection_failed::kind::kRefused:
      return "refused";
    case connection_failed::kind::kClosed:
      return "closed";
    case connection_failed::kind::kSilent:
      return "silent";
    case connection_failed::kind::kMalformed:
      return "malformed";
    case connection_failed::kind::kTooLarge:
      return "too_large";
  }
  return "closed";
}

metrics::counter& Bytes(metrics::registry& r, const char* direction,
                        bool other_region) {
  return r.Counter(
      "mangoplank_wire_bytes_total", "Bytes of frames between our processes",
      {{"direction", direction}, {"region", other_region ? "other" : "same"}});
}

}  // namespace

struct connection::impl : std::enable_shared_from_this<impl> {
  impl(const connection_context& c, asio::ip::tcp::socket s, std::string name,
       bool other_region)
      : context(c),
        socket(std::move(s)),
        peer(std::move(name)),
        sent_bytes(&Bytes(c.registry, "sent", other_region)),
        received_bytes(&Bytes(c.registry, "received", other_region)),
        queue_changed(c.executor, c.clock),
        written(c.executor, c.clock),
        received(c.executor, c.clock),
        room(c.executor, c.clock) {}

  core::time_point Now() const { return context.clock.Now(); }
  connection_failed Reason() const { return {reason, peer}; }

  void Start();
  void Close(connection_failed::kind why);
  void CloseSlow();
  void ArmDeadline();
  void CheckDeadlines();
  core::outcome<void> Push(std::string payload);
  void PushHeartbeat();
  void SendHeartbeatIfDue();
  core::time_point HeartbeatDue() const;
  core::awaitable<bool> ReadSome(asio::mutable_buffer into, std::size_t& n);
  core::awaitable<bool> ReadHeader(header& head);
  core::awaitable<bool> ReadPayload(std::size_t size, std::string& payload);
  core::awaitable<bool> ReadFrame(std::string& payload);
  core::awaitable<void> WriteQueued();

  static core::awaitable<void> Reader(std::shared_ptr<impl> self);
  static core::awaitable<void> Writer(std::shared_ptr<impl> self);

  const connection_context context;
  asio::ip::tcp::socket socket;
  std::string peer;
  metrics::counter* sent_bytes;
  metrics::counter* received_bytes;

  bool closed = false;
  connection_failed::kind reason = connection_failed::kind::kClosed;
  core::clock::timer_id deadline_timer = 0;

  std::deque<frame> queue;
  std::uint64_t queue_bytes = 0;
  std::uint64_t frames_queued = 0;
  std::uint64_t frames_written = 0;
  bool writing = false;
  core::time_point write_progress{};
  core::time_point last_sent{};
  heartbeat_source heartbeat;
  core::event queue_changed;
  core::event written;

  std::deque<std::string> inbox;
  std::uint64_t inbox_bytes = 0;
  /// Nothing is read while the inbox is full; the peer is not silent then.
  bool reading = true;
  core::time_point last_heard{};
  core::event received;
  core::event room;
};

void connection::impl::Start() {
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  last_heard = last_sent = Now();
  ArmDeadline();
  asio::co_spawn(context.executor, Reader(shared_from_this()), asio::detached);
  asio::co_spawn(context.executor, Writer(shared_from_this()), asio::detached);
}

void connection::impl::Close(connection_failed::kind why) {
  if (closed) return;
  closed = true;
  reason = why;
  context.clock.Cancel(deadline_timer);
  error_code ignored;
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  socket.close(ignored);
  context.registry
      .Counter("mangoplank_wire_closed_total",
               "Connections between our processes that ended, by reason",
               {{"reason", ReasonLabel(why)}})
      .Add();
  queue_changed.NotifyAll();
  written.NotifyAll();
  received.NotifyAll();
  room.NotifyAll();
}

void connection::impl::CloseSlow() {
  spdlog::warn("connection to {} closed: peer does not read, {} bytes wait",
               peer, queue_bytes);
  context.registry
      .Counter("mangoplank_wire_slow_peers_total",
               "Connections closed because the peer read too slowly")
      .Add();
  Close(connection_failed::kind::kClosed);
}

void connection::impl::ArmDeadline() {
  deadline_timer = context.clock.CallAt(
      (reading ? last_heard : Now()) + context.settings.silence_limit,
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->CheckDeadlines();
      });
}

void connection::impl::CheckDeadlines() {
  if (closed) return;
  const auto now = Now();
  if (writing && now - write_progress >= context.settings.write_stall_limit) {
    CloseSlow();
    return;
  }
  if (reading && now - last_heard >= context.settings.silence_limit) {
    spdlog::warn("connection to {} closed: silent for {} ms", peer,
                 context.settings.silence_limit.count());
    Close(connection_failed::kind::kSilent);
    return;
  }
  ArmDeadline();
}

core::outcome<void> connection::impl::Push(std::string payload) {
  if (closed) return core::failure(Reason());
  if (payload.size() > context.settings.max_frame_bytes) {
    return core::failure(
        connection_failed{connection_failed::kind::kTooLarge, peer});
  }
  if (queue_bytes + payload.size() + kHeaderBytes >
      context.settings.max_queue_bytes) {
    CloseSlow();
    return core::failure(Reason());
  }
  queue.push_back(MakeFrame(std::move(payload)));
  queue_bytes += Size(queue.back());
  ++frames_queued;
  queue_changed.NotifyAll();
  return core::outcome<void>();
}

void connection::impl::PushHeartbeat() {
  auto pushed = Push(heartbeat ? heartbeat() : std::string());
  if (!pushed && !closed) Close(connection_failed::kind::kTooLarge);
}

core::time_point connection::impl::HeartbeatDue() const {
  return last_sent + context.settings.heartbeat_interval;
}

core::awaitable<bool> connection::impl::ReadSome(asio::mutable_buffer into,
                                                 std::size_t& n) {
  error_code ec;
  n = co_await socket.async_read_some(
      into, asio::redirect_error(asio::use_awaitable, ec));
  if (closed) co_return false;
  if (ec) {
    Close(connection_failed::kind::kClosed);
    co_return false;
  }
  last_heard = Now();
  received_bytes->Add(n);
  co_return true;
}

core::awaitable<bool> connection::impl::ReadHeader(header& head) {
  std::size_t have = 0;
  while (have < head.size()) {
    std::size_t n = 0;
    if (!co_await ReadSome(asio::buffer(head.data() + have, head.size() - have),
                           n)) {
      co_return false;
    }
    have += n;
  }
  co_return true;
}

core::awaitable<bool> connection::impl::ReadPayload(std::size_t size,
                                                    std::string& payload) {
  std::size_t have = 0;
  while (have < size) {
    payload.resize(have + std::min(size - have, kReadBytes));
    std::size_t n = 0;
    if (!co_await ReadSome(
            asio::buffer(payload.data() + have, payload.size() - have), n)) {
      co_return false;
    }
    have += n;
  }
  payload.resize(have);
  co_return true;
}

core::awaitable<bool> connection::impl::ReadFrame(std::string& payload) {
  header head{};
  if (!co_await ReadHeader(head)) co_return false;
  const std::uint32_t size = boost::endian::load_little_u32(head.data());
  if (size > context.settings.max_frame_bytes) {
    spdlog::warn("connection to {} closed: frame of {} bytes", peer, size);
    Close(connection_failed::kind::kTooLarge);
    co_return false;
  }
  payload.clear();
  if (!co_await ReadPayload(size, payload)) co_return false;
  if (Checksum(head, payload) !=
      boost::endian::load_little_u32(head.data() + 4)) {
    spdlog::warn("connection to {} closed: checksum of a frame differs", peer);
    Close(connection_failed::kind::kMalformed);
    co_return false;
  }
  co_return true;
}

core::awaitable<void> connection::impl::Reader(std::shared_ptr<impl> self) {
  while (!self->closed) {
    std::string payload;
    if (!co_await self->ReadFrame(payload)) co_return;
    if (payload.empty()) continue;
    self->inbox_bytes += payload.size();
    self->inbox.push_back(std::move(payload));
    self->received.NotifyAll();
    while (!self->closed &&
           self->inbox_bytes > self->context.settings.max_received_bytes) {
      self->reading = false;
      co_await self->room.Wait();
    }
    self->last_heard = self->Now();
    self->reading = true;
  }
}

core::awaitable<void> connection::impl::WriteQueued() {
  const std::deque<frame> frames = std::exchange(queue, {});
  std::vector<asio::const_buffer> parts;
  for (const frame& f : frames) {
    parts.push_back(asio::buffer(f.head));
    parts.push_back(asio::buffer(f.payload));
  }
  boost::beast::buffers_suffix<std::vector<asio::const_buffer>> rest(parts);
  std::size_t left = asio::buffer_size(parts);
  writing = true;
  write_progress = Now();
  while (left > 0) {
    error_code ec;
    const std::size_t n = co_await socket.async_write_some(
        rest, asio::redirect_error(asio::use_awaitable, ec));
    if (closed) co_return;
    if (ec) {
      Close(connection_failed::kind::kClosed);
      co_return;
    }
    write_progress = Now();
    sent_bytes->Add(n);
    queue_bytes -= n;
    left -= n;
    rest.consume(n);
  }
  writing = false;
  frames_written += frames.size();
  written.NotifyAll();
}

void connection::impl::SendHeartbeatIfDue() {
  if (Now() < HeartbeatDue()) return;
  PushHeartbeat();
  last_sent = Now();
}

core::awaitable<void> connection::impl::Writer(std::shared_ptr<impl> self) {
  while (!self->closed) {
    self->SendHeartbeatIfDue();
    if (self->queue.empty()) {
      const core::time_point due = self->HeartbeatDue();
      co_await self->queue_changed.WaitUntil(due);
    } else {
      // With a payload the heartbeat is due at each interval; without one,
      // only after an interval in which nothing was sent.
      if (!self->heartbeat) self->last_sent = self->Now();
      co_await self->WriteQueued();
    }
  }
}

connection::connection(const connection_context& context,
                       asio::ip::tcp::socket socket, std::string peer,
                       bool other_region)
    : impl_(std::make_shared<impl>(context, std::move(socket), std::move(peer),
                                   other_region)) {
  impl_->Start();
}

connection::~connection() { Close(); }

void connection::SetPeer(std::string peer, bool other_region) {
  impl_->peer = std::move(peer);
  impl_->sent_bytes = &Bytes(impl_->context.registry, "sent", other_region);
  impl_->received_bytes =
      &Bytes(impl_->context.registry, "received", other_region);
}

void connection::SetHeartbeat(heartbeat_source source) {
  impl_->heartbeat = std::move(source);
}

core::outcome<void> connection::Send(std::string payload) {
  return impl_->Push(std::move(payload));
}

core::awaitable<core::outcome<void>> connection::SendAndWait(
    std::string payload) {
  auto pushed = Send(std::move(payload));
  if (!pushed) co_return pushed;
  co_return co_await Flush();
}

core::awaitable<core::outcome<void>> connection::Flush() {
  const auto self = impl_;
  const std::uint64_t last = self->frames_queued;
  while (self->frames_written < last) {
    if (self->closed) co_return core::failure(self->Reason());
    co_await self->written.Wait();
  }
  co_return core::outcome<void>();
}

core::awaitable<core::outcome<std::string>> connection::Receive() {
  const auto self = impl_;
  while (self->inbox.empty()) {
    if (self->closed) co_return core::failure(self->Reason());
    co_await self->received.Wait();
  }
  std::string payload = std::move(self->inbox.front());
  self->inbox.pop_front();
  self->inbox_bytes -= payload.size();
  self->room.NotifyAll();
  co_return payload;
}

void connection::Close() { impl_->Close(connection_failed::kind::kClosed); }

bool connection::IsOpen() const { return !impl_->closed; }

const std::string& connection::Peer() const { return impl_->peer; }

core::awaitable<core::outcome<std::shared_ptr<connection>>> Connect(
    const connection_context& context, core::endpoint to, std::string peer,
    bool other_region) {
  const connection_context kept = context;
  const core::failure refused =
      connection_failed{connection_failed::kind::kRefused, peer};
  error_code ec;
  const auto address = asio::ip::make_address(to.address, ec);
  if (ec) co_return refused;
  auto socket = std::make_shared<asio::ip::tcp::socket>(kept.executor);
  const auto timer = kept.clock.CallAt(
      kept.clock.Now() + kept.settings.connect_timeout, [socket] {
        error_code ignored;
        socket->close(ignored);
      });
  const asio::ip::tcp::endpoint remote(address, to.port);
  co_await socket->async_connect(remote,
                                 asio::redirect_error(asio::use_awaitable, ec));
  kept.clock.Cancel(timer);
  if (ec || !socket->is_open()) co_return refused;
  co_return std::make_shared<connection>(kept, std::move(*socket),
                                         std::move(peer), other_region);
}

}  // namespace mangoplank::wire
