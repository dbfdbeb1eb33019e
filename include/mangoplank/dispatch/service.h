#ifndef MANGOPLANK_DISPATCH_SERVICE_H_
#define MANGOPLANK_DISPATCH_SERVICE_H_

#include <memory>

#include "mangoplank/consensus/node.h"
#include "mangoplank/dispatch/dispatcher.h"
#include "mangoplank/workflow/machine.h"
#include "mangoplank/workflow/messages.h"

namespace mangoplank::dispatch {

struct service_settings {
  dispatcher_settings dispatcher;
  /// Voting members that the cell should have; more are removed, those that
  /// were silent longest first.
  std::size_t members = 5;
  /// Silence after which a member in excess is taken for gone.
  core::milliseconds member_silence{1'500};
};

/// Answers requests while this process leads, and runs the dispatcher.
class service : public workflow::machine::observer, public journal {
 public:
  /// All references must outlive the service.
  service(service_settings settings, boost::asio::any_io_executor executor,
          core::clock& clock, workflow::machine& machine, consensus::node& node,
          worker_port& workers, eligibility_port& eligibility,
          metrics::registry& registry);
  ~service() override;

  /// Starts to look after the members.
  void Start();
  /// @return the answer; not_leader if this process does not lead.
  core::awaitable<workflow::answer_body> Handle(workflow::request_body r);
  /// Notified when this process begins or ceases to lead.
  core::event& LeadershipMoved();
  bool Leads() const;

  core::awaitable<core::outcome<void>> Record(
      std::vector<workflow::event> events) override;
  const workflow::state& State() const override;
  core::time_point LeadershipConfirmedAt() const override;

  void OnEvent(const workflow::event& e) override;
  void OnRestored() override;
  void OnLeadershipChange(bool leads, core::term t) override;

 private:
  struct impl;
  std::shared_ptr<impl> impl_;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_SERVICE_H_
