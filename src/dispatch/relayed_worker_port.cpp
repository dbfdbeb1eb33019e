#include "mangoplank/dispatch/relayed_worker_port.h"

#include <map>
#include <unordered_map>
#include <utility>

#include "dispatch/relay_table.h"

namespace mangoplank::dispatch {

namespace asio = boost::asio;
using core::awaitable;

namespace {

/// @return the relay's answer as a result of type Result; no_answer if it is of
/// another kind of order.
template <class Result>
Result ResultOf(workflow::order_answer answer) {
  return std::visit(
      [](auto&& value) -> Result {
        using value_type = std::remove_cvref_t<decltype(value)>;
        if constexpr (std::is_constructible_v<Result, value_type>) {
          return std::forward<decltype(value)>(value);
        } else {
          return no_answer{};
        }
      },
      std::move(answer));
}

}  // namespace

struct relayed_worker_port::impl {
  /// An order that a relay has not answered.
  struct pending_order {
    pending_order(const asio::any_io_executor& executor, core::clock& clock,
                  relay_id used_relay)
        : relay(used_relay), done(executor, clock) {}
    const relay_id relay;
    std::optional<workflow::order_answer> answer;
    bool is_lost = false;
    core::event done;
  };

  impl(worker_port& direct_port, asio::any_io_executor io_executor,
       core::clock& process_clock, std::string data_centre)
      : direct(direct_port),
        executor(std::move(io_executor)),
        clock(process_clock),
        relays(std::move(data_centre)) {}

  std::optional<relay_id> ChooseRelay(const worker_target& to) const;
  void RemoveRelay(relay_id relay);
  /// @return the answer; no value if the relay was lost.
  awaitable<std::optional<workflow::order_answer>> Send(
      relay_id relay, worker_target to, workflow::order order,
      core::milliseconds timeout);
  template <class Result>
  awaitable<Result> Relay(relay_id relay, worker_target to,
                          workflow::order order, core::milliseconds timeout);

  worker_port& direct;
  const asio::any_io_executor executor;
  core::clock& clock;
  relay_table relays;
  std::map<relay_id, request_sender> senders;
  std::unordered_map<std::uint64_t, std::shared_ptr<pending_order>> pending;
  std::uint64_t next_id = 1;
};

std::optional<relay_id> relayed_worker_port::impl::ChooseRelay(
    const worker_target& to) const {
  if (to.route == order_route::kDirect) return std::nullopt;
  return relays.Choose(to.key.id, to.data_centre, clock.Now());
}

void relayed_worker_port::impl::RemoveRelay(relay_id relay) {
  relays.Remove(relay);
  senders.erase(relay);
  for (auto it = pending.begin(); it != pending.end();) {
    const auto order = it->second;
    if (order->relay != relay) {
      ++it;
      continue;
    }
    it = pending.erase(it);
    order->is_lost = true;
    order->done.NotifyAll();
  }
}

/// A relay answers each order within its time, or its connection ends.
awaitable<std::optional<workflow::order_answer>>
relayed_worker_port::impl::Send(relay_id relay, worker_target to,
                                workflow::order order,
                                core::milliseconds timeout) {
  const std::uint64_t id = next_id++;
  const auto sent = std::make_shared<pending_order>(executor, clock, relay);
  pending.emplace(id, sent);
  const auto sent_at = std::chrono::duration_cast<core::milliseconds>(
      clock.Now().time_since_epoch());
  senders.at(relay)({id, std::move(to.key), std::move(to.address),
                     std::move(order), timeout, sent_at.count()});
  while (!sent->answer && !sent->is_lost) co_await sent->done.Wait();
  co_return std::move(sent->answer);
}

template <class Result>
awaitable<Result> relayed_worker_port::impl::Relay(relay_id relay,
                                                   worker_target to,
                                                   workflow::order order,
                                                   core::milliseconds timeout) {
  auto answer = co_await Send(relay, std::move(to), std::move(order), timeout);
  if (!answer) co_return relay_lost{};
  if (std::holds_alternative<not_sent>(*answer)) {
    relays.Avoid(relay, clock.Now());
  }
  co_return ResultOf<Result>(std::move(*answer));
}

relayed_worker_port::relayed_worker_port(worker_port& direct,
                                         asio::any_io_executor executor,
                                         core::clock& clock,
                                         std::string data_centre)
    : impl_(std::make_shared<impl>(direct, std::move(executor), clock,
                                   std::move(data_centre))) {}

relayed_worker_port::~relayed_worker_port() = default;

std::unique_ptr<relayed_worker_port::registration>
relayed_worker_port::AddRelay(std::string data_centre, request_sender send) {
  const relay_id relay = impl_->relays.Add(std::move(data_centre));
  impl_->senders.emplace(relay, std::move(send));
  return std::make_unique<registration>(impl_, relay);
}

relayed_worker_port::registration::~registration() {
  owner_->RemoveRelay(relay_);
}

void relayed_worker_port::OnReply(workflow::order_reply reply) {
  const auto it = impl_->pending.find(reply.id);
  if (it == impl_->pending.end()) return;
  const auto order = it->second;
  impl_->pending.erase(it);
  order->answer = std::move(reply.answer);
  order->done.NotifyAll();
}

awaitable<order_result> relayed_worker_port::Start(worker_target to,
                                                   start_order order,
                                                   core::milliseconds timeout) {
  const auto self = impl_;
  const auto relay = self->ChooseRelay(to);
  if (!relay) {
    co_return co_await self->direct.Start(std::move(to), std::move(order),
                                          timeout);
  }
  workflow::order relayed = std::move(order);
  co_return co_await self->Relay<order_result>(*relay, std::move(to),
                                               std::move(relayed), timeout);
}

awaitable<order_result> relayed_worker_port::Stop(worker_target to,
                                                  stop_order order,
                                                  core::milliseconds timeout) {
  const auto self = impl_;
  const auto relay = self->ChooseRelay(to);
  if (!relay) {
    co_return co_await self->direct.Stop(std::move(to), std::move(order),
                                         timeout);
  }
  workflow::order relayed = std::move(order);
  co_return co_await self->Relay<order_result>(*relay, std::move(to),
                                               std::move(relayed), timeout);
}

awaitable<poll_result> relayed_worker_port::Poll(worker_target to,
                                                 poll_order order,
                                                 core::milliseconds timeout) {
  const auto self = impl_;
  const auto relay = self->ChooseRelay(to);
  if (!relay) {
    co_return co_await self->direct.Poll(std::move(to), std::move(order),
                                         timeout);
  }
  workflow::order relayed = std::move(order);
  co_return co_await self->Relay<poll_result>(*relay, std::move(to),
                                              std::move(relayed), timeout);
}

}  // namespace mangoplank::dispatch
