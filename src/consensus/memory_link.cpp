#include "consensus/memory_link.h"

#include <deque>
#include <utility>
#include <vector>

namespace mangoplank::consensus {

namespace {

core::failure Closed(const core::member_id& peer) {
  return core::connection_failed{core::connection_failed::kind::kClosed,
                                 peer.v};
}

}  // namespace

struct memory_network::state {
  state(boost::asio::any_io_executor init_executor, core::clock& init_clock,
        delay_function init_delay)
      : executor(std::move(init_executor)),
        clock(init_clock),
        delay(std::move(init_delay)) {}

  boost::asio::any_io_executor executor;
  core::clock& clock;
  delay_function delay;
  std::map<core::member_id, acceptor> acceptors;
  std::vector<std::weak_ptr<link>> links;
};

/// One end of a link. Messages in one direction stay in order.
class memory_network::link : public peer_link,
                             public std::enable_shared_from_this<link> {
 public:
  link(std::shared_ptr<state> network, core::member_id self,
       core::member_id other)
      : state_(std::move(network)),
        self_(std::move(self)),
        other_(std::move(other)),
        arrived_(state_->executor, state_->clock) {}

  static void Join(const std::shared_ptr<link>& a,
                   const std::shared_ptr<link>& b) {
    a->far_ = b;
    b->far_ = a;
  }

  core::awaitable<core::outcome<void>> Send(message sent) override {
    const auto far = far_.lock();
    if (closed_ || !far) co_return Closed(other_);
    std::optional<core::duration> delay = core::duration(0);
    if (state_->delay) delay = state_->delay(self_, other_, sent);
    blackholed_ = blackholed_ || !delay;
    if (blackholed_) co_return core::outcome<void>();
    const core::time_point now = state_->clock.Now();
    last_delivery_ = std::max(last_delivery_, now + *delay);
    if (last_delivery_ <= now) {
      far->Deliver(std::move(sent));
    } else {
      state_->clock.CallAt(
          last_delivery_,
          [far, held = std::make_shared<message>(std::move(sent))] {
            far->Deliver(std::move(*held));
          });
    }
    co_return core::outcome<void>();
  }

  core::awaitable<core::outcome<message>> Receive() override {
    const auto self = shared_from_this();
    while (inbox_.empty() && !closed_) co_await arrived_.Wait();
    if (closed_) co_return Closed(other_);
    message m = std::move(inbox_.front());
    inbox_.pop_front();
    co_return m;
  }

  void Close() override {
    if (std::exchange(closed_, true)) return;
    arrived_.NotifyAll();
    // Closing a black-holed link is not visible to the other end.
    const auto far = far_.lock();
    if (far && !blackholed_) far->Close();
  }

  const core::member_id& Self() const { return self_; }

 private:
  void Deliver(message received) {
    if (closed_) return;
    inbox_.push_back(std::move(received));
    arrived_.NotifyAll();
  }

  std::shared_ptr<state> state_;
  core::member_id self_;
  core::member_id other_;
  std::weak_ptr<link> far_;
  core::event arrived_;
  std::deque<message> inbox_;
  core::time_point last_delivery_;
  bool closed_ = false;
  bool blackholed_ = false;
};

class memory_network::memory_transport : public transport {
 public:
  memory_transport(std::shared_ptr<state> network, core::member_id self)
      : state_(std::move(network)), self_(std::move(self)) {}

  core::awaitable<core::outcome<std::shared_ptr<peer_link>>> Connect(
      const member& to) override {
    const auto it = state_->acceptors.find(to.id);
    if (it == state_->acceptors.end() || !it->second) {
      co_return core::failure(core::connection_failed{
          core::connection_failed::kind::kRefused, to.id.v});
    }
    const auto near = std::make_shared<link>(state_, self_, to.id);
    const auto far = std::make_shared<link>(state_, to.id, self_);
    link::Join(near, far);
    std::erase_if(state_->links,
                  [](const auto& weak) { return weak.expired(); });
    state_->links.push_back(near);
    state_->links.push_back(far);
    it->second(far);
    co_return std::shared_ptr<peer_link>(near);
  }

 private:
  std::shared_ptr<state> state_;
  core::member_id self_;
};

memory_network::memory_network(boost::asio::any_io_executor executor,
                               core::clock& clock, delay_function delay)
    : state_(std::make_shared<state>(std::move(executor), clock,
                                     std::move(delay))) {}

memory_network::~memory_network() = default;

void memory_network::Listen(const core::member_id& self, acceptor accept) {
  state_->acceptors[self] = std::move(accept);
}

void memory_network::CloseLinksOf(const core::member_id& self) {
  for (const auto& weak : std::exchange(state_->links, {})) {
    const auto l = weak.lock();
    if (!l) continue;
    state_->links.push_back(l);
    if (l->Self() == self) l->Close();
  }
}

std::unique_ptr<transport> memory_network::TransportOf(core::member_id self) {
  return std::make_unique<memory_transport>(state_, std::move(self));
}

}  // namespace mangoplank::consensus
