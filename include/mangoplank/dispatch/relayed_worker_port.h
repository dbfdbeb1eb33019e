#ifndef MANGOPLANK_DISPATCH_RELAYED_WORKER_PORT_H_
#define MANGOPLANK_DISPATCH_RELAYED_WORKER_PORT_H_

#include <functional>
#include <memory>
#include <string>

#include "mangoplank/dispatch/ports.h"

namespace mangoplank::dispatch {

/// Sends orders to workers over the control processes that are connected to the
/// leader, and over its own port where there is none. Relays take over the
/// connections to workers and their cost; all decisions stay with the leader.
class relayed_worker_port : public worker_port {
 public:
  /// Sends a request to one relay.
  using request_sender = std::function<void(workflow::order_request)>;
  /// A connected relay; it is no longer used once this object is destroyed.
  class registration;

  /// @param direct sends the orders that no relay sends; must outlive this.
  /// @param data_centre of this process.
  relayed_worker_port(worker_port& direct,
                      boost::asio::any_io_executor executor, core::clock& clock,
                      std::string data_centre);
  ~relayed_worker_port() override;

  std::unique_ptr<registration> AddRelay(std::string data_centre,
                                         request_sender send);
  /// Ends the order that the reply belongs to, if it is still expected.
  void OnReply(workflow::order_reply reply);

  core::awaitable<order_result> Start(worker_target to, start_order order,
                                      core::milliseconds timeout) override;
  core::awaitable<order_result> Stop(worker_target to, stop_order order,
                                     core::milliseconds timeout) override;
  core::awaitable<poll_result> Poll(worker_target to, poll_order order,
                                    core::milliseconds timeout) override;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

class relayed_worker_port::registration {
 public:
  registration(std::shared_ptr<impl> owner, std::uint64_t relay)
      : owner_(std::move(owner)), relay_(relay) {}
  registration(const registration&) = delete;
  registration& operator=(const registration&) = delete;
  /// Ends the orders that the relay has not answered.
  ~registration();

 private:
  std::shared_ptr<impl> owner_;
  std::uint64_t relay_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_RELAYED_WORKER_PORT_H_
