#ifndef MANGOPLANK_DISPATCH_SERVICE_H_
#define MANGOPLANK_DISPATCH_SERVICE_H_

#include <limits>
#include <memory>

#include "mangoplank/consensus/node.h"
#include "mangoplank/dispatch/dispatcher.h"
#include "mangoplank/dispatch/membership.h"
#include "mangoplank/workflow/machine.h"
#include "mangoplank/workflow/messages.h"

namespace mangoplank::dispatch {

struct service_settings {
  dispatcher_settings dispatcher;
  /// Workers that may be registered at once; more could not be polled in time.
  std::size_t max_workers = std::numeric_limits<std::size_t>::max();
  membership_settings membership;
};

/// Handles requests and runs the dispatcher while this process is the leader.
class service : public workflow::machine::observer, public event_log {
 public:
  /// All references must outlive the service.
  service(service_settings settings, boost::asio::any_io_executor executor,
          core::clock& clock, workflow::machine& machine, consensus::node& node,
          worker_port& workers, eligibility_port& eligibility,
          metrics::registry& registry);
  ~service() override;

  /// Starts to add and remove members of the cell.
  void Start();
  /// @return the answer; not_leader if this process is not the leader.
  core::awaitable<workflow::answer_body> Handle(workflow::request_body request);
  /// Notified when this process gains or loses leadership.
  core::event& LeadershipChanged();
  bool IsLeader() const;

  core::awaitable<core::outcome<void>> Record(
      std::vector<workflow::event> events) override;
  const workflow::state& State() const override;
  core::time_point LeadershipConfirmedAt() const override;

  void OnEvent(const workflow::event& event) override;
  void OnRestored() override;
  void OnLeadershipChange(bool is_leader, core::term term) override;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_SERVICE_H_
