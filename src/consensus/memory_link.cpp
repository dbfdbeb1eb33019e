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
  state(boost::asio::any_io_executor e, core::clock& c, fate f)
      : executor(std::move(e)), clock(c), decide(std::move(f)) {}

  boost::asio::any_io_executor executor;
  core::clock& clock;
  fate decide;
  std::map<core::member_id, acceptor> acceptors;
  std::vector<std::weak_ptr<link>> links;
};

/// One end of a link. Messages of one direction stay in order.
class memory_network::link : public peer_link,
                             public std::enable_shared_from_this<link> {
 public:
  link(std::shared_ptr<state> s, core::member_id self, core::member_id other)
      : state_(std::move(s)),
        self_(std::move(self)),
        other_(std::move(other)),
        arrived_(state_->executor, state_->clock) {}

  static void Join(const std::shared_ptr<link>& a,
                   const std::shared_ptr<link>& b) {
    a->far_ = b;
    b->far_ = a;
  }

  core::awaitable<core::outcome<void>> Send(message m) override {
    const auto far = far_.lock();
    if (closed_ || !far) co_return Closed(other_);
    std::optional<core::duration> delay = core::duration(0);
    if (state_->decide) delay = state_->decide(self_, other_, m);
    silent_ = silent_ || !delay;
    if (silent_) co_return core::outcome<void>();
    const core::time_point now = state_->clock.Now();
    last_arrival_ = std::max(last_arrival_, now + *delay);
    if (last_arrival_ <= now) {
      far->Arrive(std::move(m));
    } else {
      state_->clock.CallAt(
          last_arrival_, [far, held = std::make_shared<message>(std::move(m))] {
            far->Arrive(std::move(*held));
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
    // The end of a silent link is not heard at the other side.
    const auto far = far_.lock();
    if (far && !silent_) far->Close();
  }

  const core::member_id& Self() const { return self_; }

 private:
  void Arrive(message m) {
    if (closed_) return;
    inbox_.push_back(std::move(m));
    arrived_.NotifyAll();
  }

  std::shared_ptr<state> state_;
  core::member_id self_;
  core::member_id other_;
  std::weak_ptr<link> far_;
  core::event arrived_;
  std::deque<message> inbox_;
  core::time_point last_arrival_;
  bool closed_ = false;
  bool silent_ = false;
};

class memory_network::opener : public transport {
 public:
  opener(std::shared_ptr<state> s, core::member_id self)
      : state_(std::move(s)), self_(std::move(self)) {}

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
    std::erase_if(state_->links, [](const auto& l) { return l.expired(); });
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
                               core::clock& clock, fate decide)
    : state_(std::make_shared<state>(std::move(executor), clock,
                                     std::move(decide))) {}

memory_network::~memory_network() = default;

void memory_network::Listen(const core::member_id& self, acceptor a) {
  state_->acceptors[self] = std::move(a);
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
  return std::make_unique<opener>(state_, std::move(self));
}

}  // namespace mangoplank::consensus
