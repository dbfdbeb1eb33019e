#include "mangoplank/process/memory_budget.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace mangoplank::process {

namespace {

/// Time in which an evicted lease gives its memory back.
constexpr core::milliseconds kReturnTimeout{1'000};
constexpr core::milliseconds kLogInterval{1'000};
/// Part of a process's memory for requests, and part of that for small ones.
constexpr std::uint64_t kRequestsDivisor = 8;
constexpr std::uint64_t kReserveDivisor = 4;
/// Part for the largest body, which takes up to 26 times its length when
/// parsed.
constexpr std::uint64_t kBodyDivisor = 100;
/// Part for connections.
constexpr std::uint64_t kConnectionsDivisor = 2;
/// Task and read buffer (4 KiB each), and what the kernel holds unread and
/// unsent (8 KiB each), of a connection.
constexpr std::uint64_t kConnectionBytes = 24 * 1024;
constexpr std::uint64_t kMinBodyBytes = 256 * 1024;
constexpr std::uint64_t kMaxBodyBytes = 2 * 1024 * 1024;
/// Room for a request with the least body limit, however little memory is set.
constexpr std::uint64_t kMinRequestsBytes = 8 * kMinBodyBytes;
/// A body has been held for at least this time, so that of two new ones the
/// larger one counts as the one that holds more.
constexpr core::milliseconds kMinHeldTime{1};

}  // namespace

memory_shares DivideMemory(std::uint64_t bytes) {
  memory_shares shares;
  shares.max_body_bytes =
      std::clamp(bytes / kBodyDivisor, kMinBodyBytes, kMaxBodyBytes);
  shares.requests.bytes = std::max(bytes / kRequestsDivisor, kMinRequestsBytes);
  shares.requests.reserve = shares.requests.bytes / kReserveDivisor;
  shares.max_connections =
      std::max<std::size_t>(1, bytes / kConnectionsDivisor / kConnectionBytes);
  return shares;
}

memory_budget::memory_budget(boost::asio::any_io_executor executor,
                             core::clock& clock, metrics::registry& metrics,
                             memory_limits limits)
    : clock_(clock),
      limits_(limits),
      returned_(std::move(executor), clock),
      used_gauge_(metrics.Gauge("mangoplank_request_memory_bytes",
                                "Memory that requests of clients hold")),
      refused_(
          metrics.Counter("mangoplank_request_memory_refusals_total",
                          "Requests or answers refused for lack of memory")),
      evicted_(metrics.Counter(
          "mangoplank_request_memory_evictions_total",
          "Connections closed because they held the most memory")) {}

memory_budget::~memory_budget() {
  for (memory_lease* const lease : leases_) lease->bytes_ = 0;
}

memory_decision memory_budget::Decide(const memory_lease& lease,
                                      std::uint64_t bytes) const {
  if (bytes <= lease.bytes_) return memory_granted{};
  const std::uint64_t limit = bytes <= kSmallRequestBytes
                                  ? limits_.bytes
                                  : limits_.bytes - limits_.reserve;
  const std::uint64_t wanted = used_ - lease.bytes_ + bytes;
  if (wanted <= limit) return memory_granted{};
  if (wanted - returning_ <= limit) return memory_pending{};
  const core::time_point now = clock_.Now();
  const double own = lease.ByteSeconds(bytes, now);
  memory_lease* most = nullptr;
  double most_held = own;
  std::uint64_t evictable = 0;
  for (memory_lease* const other : leases_) {
    if (other == &lease || other->pinned_ || other->is_evicted_) continue;
    const double held = other->ByteSeconds(other->bytes_, now);
    if (held < own) continue;
    evictable += other->bytes_;
    if (held < most_held) continue;
    most = other;
    most_held = held;
  }
  // Nothing is evicted if it would not be enough.
  const bool is_enough = wanted - returning_ - evictable <= limit;
  if (most == nullptr || !is_enough) return memory_refused{};
  return memory_eviction{most};
}

std::optional<bool> memory_budget::Apply(const memory_decision& decision,
                                         memory_lease& lease,
                                         std::uint64_t bytes) {
  return std::visit(
      core::overloaded{
          [&](const memory_granted&) {
            Set(lease, bytes);
            return std::optional(true);
          },
          [&](const memory_pending&) { return std::optional<bool>(); },
          [&](const memory_eviction& eviction) {
            Evict(*eviction.lease);
            return Apply(Decide(lease, bytes), lease, bytes);
          },
          [&](const memory_refused&) {
            refused_.Add();
            LogShortage();
            return std::optional(false);
          }},
      decision);
}

void memory_budget::Evict(memory_lease& lease) {
  lease.is_evicted_ = true;
  returning_ += lease.bytes_;
  evicted_.Add();
  LogShortage();
  lease.on_evicted_();
  // The lease itself may wait for memory.
  returned_.NotifyAll();
}

void memory_budget::Set(memory_lease& lease, std::uint64_t bytes) {
  if (lease.is_evicted_) returning_ = returning_ - lease.bytes_ + bytes;
  if (lease.bytes_ == 0) lease.since_ = clock_.Now();
  const bool is_smaller = bytes < lease.bytes_;
  used_ = used_ - lease.bytes_ + bytes;
  lease.bytes_ = bytes;
  if (bytes > 0) {
    leases_.insert(&lease);
  } else {
    leases_.erase(&lease);
  }
  used_gauge_.Set(static_cast<double>(used_));
  if (is_smaller) returned_.NotifyAll();
}

/// However many clients there are, a line a second at most.
void memory_budget::LogShortage() {
  const core::time_point now = clock_.Now();
  if (last_log_ && now < *last_log_ + kLogInterval) return;
  last_log_ = now;
  const std::uint64_t total = refused_.Value() + evicted_.Value();
  spdlog::warn(
      "request_memory_short limit_bytes={} used_bytes={} requests={} "
      "refused_or_closed={}",
      limits_.bytes, used_, leases_.size(), total - reported_);
  reported_ = total;
}

core::awaitable<bool> memory_lease::Resize(std::uint64_t bytes) {
  std::optional<core::time_point> deadline;
  while (!is_evicted_) {
    const auto settled =
        budget_.Apply(budget_.Decide(*this, bytes), *this, bytes);
    if (settled) co_return *settled;
    const core::time_point now = budget_.clock_.Now();
    if (!deadline) deadline = now + kReturnTimeout;
    if (now >= *deadline) {
      co_return budget_.Apply(memory_refused{}, *this, bytes).value_or(false);
    }
    co_await budget_.returned_.WaitUntil(*deadline);
  }
  co_return false;
}

void memory_lease::Unpin() {
  pinned_ = false;
  since_ = budget_.clock_.Now();
}

void memory_lease::Release() {
  if (bytes_ > 0) budget_.Set(*this, 0);
  is_evicted_ = false;
}

double memory_lease::ByteSeconds(std::uint64_t bytes,
                                 core::time_point now) const {
  const core::duration held =
      bytes_ == 0 ? core::duration::zero() : now - since_;
  const auto counted = std::max<core::duration>(held, kMinHeldTime);
  return static_cast<double>(bytes) *
         std::chrono::duration<double>(counted).count();
}

}  // namespace mangoplank::process
