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
/// A payload is read in chunks, so that a peer that announces a large frame
/// can't make the process allocate much more than the peer has sent.
constexpr std::size_t kReadChunkBytes = 64 * 1024;
constexpr std::size_t kReadBufferBytes = 16 * 1024;

using frame_header = std::array<unsigned char, kHeaderBytes>;

struct frame {
  frame_header header;
  std::string payload;
};

std::uint32_t Checksum(const frame_header& header, std::string_view payload) {
  boost::crc_32_type crc;
  crc.process_bytes(header.data(), 4);
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

frame MakeFrame(std::string payload) {
  frame f{{}, std::move(payload)};
  boost::endian::store_little_u32(f.header.data(),
                                  static_cast<std::uint32_t>(f.payload.size()));
  boost::endian::store_little_u32(f.header.data() + 4,
                                  Checksum(f.header, f.payload));
  return f;
}

std::uint64_t CountBytes(const frame& f) {
  return kHeaderBytes + f.payload.size();
}

const char* ReasonLabel(connection_failed::kind reason) {
  switch (reason) {
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

metrics::counter& BytesCounter(metrics::registry& registry,
                               const char* direction, bool other_region) {
  return registry.Counter(
      "mangoplank_wire_bytes_total", "Bytes of frames between our processes",
      {{"direction", direction}, {"region", other_region ? "other" : "same"}});
}

}  // namespace

struct connection::impl : std::enable_shared_from_this<impl> {
  impl(const connection_context& ctx, asio::ip::tcp::socket connected_socket,
       std::string peer_name, bool other_region)
      : context(ctx),
        socket(std::move(connected_socket)),
        peer(std::move(peer_name)),
        sent_bytes(&BytesCounter(ctx.registry, "sent", other_region)),
        received_bytes(&BytesCounter(ctx.registry, "received", other_region)),
        queue_changed(ctx.executor, ctx.clock),
        written(ctx.executor, ctx.clock),
        received(ctx.executor, ctx.clock),
        inbox_space_freed(ctx.executor, ctx.clock) {}

  core::time_point Now() const { return context.clock.Now(); }
  connection_failed Reason() const { return {reason, peer}; }

  void Start();
  void Close(connection_failed::kind close_reason);
  void CloseSlowPeer();
  void ArmDeadline();
  void CheckDeadlines();
  core::outcome<void> Enqueue(std::string payload);
  void EnqueueHeartbeat();
  void SendHeartbeatIfDue();
  core::time_point NextHeartbeatTime() const;
  core::awaitable<bool> ReadSome(asio::mutable_buffer buffer,
                                 std::size_t& bytes_read);
  core::awaitable<bool> ReadHeader(frame_header& header);
  core::awaitable<bool> ReadPayload(std::size_t size, std::string& payload);
  core::awaitable<bool> ReadFrame(std::string& payload);
  core::awaitable<void> WriteQueued();

  static core::awaitable<void> ReadFrames(std::shared_ptr<impl> self);
  static core::awaitable<void> WriteFrames(std::shared_ptr<impl> self);

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
  core::time_point last_write_progress{};
  core::time_point last_sent{};
  heartbeat_source heartbeat;
  core::event queue_changed;
  core::event written;

  /// Received bytes that are not part of a frame in the inbox yet. One read
  /// often returns several frames.
  std::array<char, kReadBufferBytes> read_buffer{};
  std::size_t read_begin = 0;
  std::size_t read_end = 0;
  std::deque<std::string> inbox;
  std::uint64_t inbox_bytes = 0;
  /// False while the inbox is full; the receive timeout is then suspended.
  bool reading = true;
  core::time_point last_received{};
  core::event received;
  core::event inbox_space_freed;
};

void connection::impl::Start() {
  error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  last_received = last_sent = Now();
  ArmDeadline();
  asio::co_spawn(context.executor, ReadFrames(shared_from_this()),
                 asio::detached);
  asio::co_spawn(context.executor, WriteFrames(shared_from_this()),
                 asio::detached);
}

void connection::impl::Close(connection_failed::kind close_reason) {
  if (closed) return;
  closed = true;
  reason = close_reason;
  context.clock.Cancel(deadline_timer);
  error_code ignored;
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  socket.close(ignored);
  context.registry
      .Counter("mangoplank_wire_closed_total",
               "Connections between our processes that ended, by reason",
               {{"reason", ReasonLabel(close_reason)}})
      .Add();
  queue_changed.NotifyAll();
  written.NotifyAll();
  received.NotifyAll();
  inbox_space_freed.NotifyAll();
}

void connection::impl::CloseSlowPeer() {
  spdlog::warn(
      "connection to {} closed: peer reads too slowly, {} bytes are queued",
      peer, queue_bytes);
  context.registry
      .Counter("mangoplank_wire_slow_peers_total",
               "Connections closed because the peer read too slowly")
      .Add();
  Close(connection_failed::kind::kClosed);
}

void connection::impl::ArmDeadline() {
  deadline_timer = context.clock.CallAt(
      (reading ? last_received : Now()) + context.settings.receive_timeout,
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) self->CheckDeadlines();
      });
}

void connection::impl::CheckDeadlines() {
  if (closed) return;
  const auto now = Now();
  if (writing &&
      now - last_write_progress >= context.settings.write_stall_timeout) {
    CloseSlowPeer();
    return;
  }
  if (reading && now - last_received >= context.settings.receive_timeout) {
    spdlog::warn("connection to {} closed: silent for {} ms", peer,
                 context.settings.receive_timeout.count());
    Close(connection_failed::kind::kSilent);
    return;
  }
  ArmDeadline();
}

core::outcome<void> connection::impl::Enqueue(std::string payload) {
  if (closed) return core::failure(Reason());
  if (payload.size() > context.settings.max_frame_bytes) {
    return core::failure(
        connection_failed{connection_failed::kind::kTooLarge, peer});
  }
  if (queue_bytes + payload.size() + kHeaderBytes >
      context.settings.max_queue_bytes) {
    CloseSlowPeer();
    return core::failure(Reason());
  }
  queue.push_back(MakeFrame(std::move(payload)));
  queue_bytes += CountBytes(queue.back());
  ++frames_queued;
  queue_changed.NotifyAll();
  return core::outcome<void>();
}

void connection::impl::EnqueueHeartbeat() {
  auto queued = Enqueue(heartbeat ? heartbeat() : std::string());
  if (!queued && !closed) Close(connection_failed::kind::kTooLarge);
}

core::time_point connection::impl::NextHeartbeatTime() const {
  return last_sent + context.settings.heartbeat_interval;
}

core::awaitable<bool> connection::impl::ReadSome(asio::mutable_buffer buffer,
                                                 std::size_t& bytes_read) {
  if (read_begin == read_end) {
    error_code ec;
    read_begin = 0;
    read_end = co_await socket.async_read_some(
        asio::buffer(read_buffer),
        asio::redirect_error(asio::use_awaitable, ec));
    if (closed) co_return false;
    if (ec) {
      Close(connection_failed::kind::kClosed);
      co_return false;
    }
    last_received = Now();
    received_bytes->Add(read_end);
  }
  bytes_read = asio::buffer_copy(
      buffer,
      asio::buffer(read_buffer.data() + read_begin, read_end - read_begin));
  read_begin += bytes_read;
  co_return true;
}

core::awaitable<bool> connection::impl::ReadHeader(frame_header& header) {
  std::size_t filled = 0;
  while (filled < header.size()) {
    std::size_t n = 0;
    if (!co_await ReadSome(
            asio::buffer(header.data() + filled, header.size() - filled), n)) {
      co_return false;
    }
    filled += n;
  }
  co_return true;
}

core::awaitable<bool> connection::impl::ReadPayload(std::size_t size,
                                                    std::string& payload) {
  std::size_t filled = 0;
  while (filled < size) {
    payload.resize(filled + std::min(size - filled, kReadChunkBytes));
    std::size_t n = 0;
    if (!co_await ReadSome(
            asio::buffer(payload.data() + filled, payload.size() - filled),
            n)) {
      co_return false;
    }
    filled += n;
  }
  payload.resize(filled);
  co_return true;
}

core::awaitable<bool> connection::impl::ReadFrame(std::string& payload) {
  frame_header header{};
  if (!co_await ReadHeader(header)) co_return false;
  const std::uint32_t size = boost::endian::load_little_u32(header.data());
  if (size > context.settings.max_frame_bytes) {
    spdlog::warn("connection to {} closed: frame of {} bytes is too large",
                 peer, size);
    Close(connection_failed::kind::kTooLarge);
    co_return false;
  }
  payload.clear();
  if (!co_await ReadPayload(size, payload)) co_return false;
  if (Checksum(header, payload) !=
      boost::endian::load_little_u32(header.data() + 4)) {
    spdlog::warn("connection to {} closed: frame checksum mismatch", peer);
    Close(connection_failed::kind::kMalformed);
    co_return false;
  }
  co_return true;
}

core::awaitable<void> connection::impl::ReadFrames(std::shared_ptr<impl> self) {
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
      co_await self->inbox_space_freed.Wait();
    }
    self->last_received = self->Now();
    self->reading = true;
  }
}

core::awaitable<void> connection::impl::WriteQueued() {
  const std::deque<frame> frames = std::exchange(queue, {});
  std::vector<asio::const_buffer> parts;
  for (const frame& f : frames) {
    parts.push_back(asio::buffer(f.header));
    parts.push_back(asio::buffer(f.payload));
  }
  boost::beast::buffers_suffix<std::vector<asio::const_buffer>> rest(parts);
  std::size_t remaining = asio::buffer_size(parts);
  writing = true;
  last_write_progress = Now();
  while (remaining > 0) {
    error_code ec;
    const std::size_t n = co_await socket.async_write_some(
        rest, asio::redirect_error(asio::use_awaitable, ec));
    if (closed) co_return;
    if (ec) {
      Close(connection_failed::kind::kClosed);
      co_return;
    }
    last_write_progress = Now();
    sent_bytes->Add(n);
    queue_bytes -= n;
    remaining -= n;
    rest.consume(n);
  }
  writing = false;
  frames_written += frames.size();
  written.NotifyAll();
}

void connection::impl::SendHeartbeatIfDue() {
  if (Now() < NextHeartbeatTime()) return;
  EnqueueHeartbeat();
  last_sent = Now();
}

core::awaitable<void> connection::impl::WriteFrames(
    std::shared_ptr<impl> self) {
  while (!self->closed) {
    self->SendHeartbeatIfDue();
    if (self->queue.empty()) {
      const core::time_point due = self->NextHeartbeatTime();
      co_await self->queue_changed.WaitUntil(due);
    } else {
      // A heartbeat with a payload is due at each interval; an empty one only
      // after an interval in which no frame was sent.
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
  impl_->sent_bytes =
      &BytesCounter(impl_->context.registry, "sent", other_region);
  impl_->received_bytes =
      &BytesCounter(impl_->context.registry, "received", other_region);
}

void connection::SetHeartbeat(heartbeat_source source) {
  impl_->heartbeat = std::move(source);
}

core::outcome<void> connection::Send(std::string payload) {
  return impl_->Enqueue(std::move(payload));
}

core::awaitable<core::outcome<void>> connection::SendAndWait(
    std::string payload) {
  auto queued = Send(std::move(payload));
  if (!queued) co_return queued;
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
  self->inbox_space_freed.NotifyAll();
  co_return payload;
}

void connection::Close() { impl_->Close(connection_failed::kind::kClosed); }

bool connection::IsOpen() const { return !impl_->closed; }

const std::string& connection::Peer() const { return impl_->peer; }

core::awaitable<core::outcome<std::shared_ptr<connection>>> Connect(
    const connection_context& context, core::endpoint remote, std::string peer,
    bool other_region) {
  const connection_context ctx = context;
  const core::failure refused =
      connection_failed{connection_failed::kind::kRefused, peer};
  error_code ec;
  const auto address = asio::ip::make_address(remote.address, ec);
  if (ec) co_return refused;
  auto socket = std::make_shared<asio::ip::tcp::socket>(ctx.executor);
  const auto timer = ctx.clock.CallAt(
      ctx.clock.Now() + ctx.settings.connect_timeout, [socket] {
        error_code ignored;
        socket->close(ignored);
      });
  const asio::ip::tcp::endpoint endpoint(address, remote.port);
  co_await socket->async_connect(endpoint,
                                 asio::redirect_error(asio::use_awaitable, ec));
  ctx.clock.Cancel(timer);
  if (ec || !socket->is_open()) co_return refused;
  co_return std::make_shared<connection>(ctx, std::move(*socket),
                                         std::move(peer), other_region);
}

}  // namespace mangoplank::wire
