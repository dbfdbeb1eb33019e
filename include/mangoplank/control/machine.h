#ifndef MANGOPLANK_CONTROL_MACHINE_H_
#define MANGOPLANK_CONTROL_MACHINE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mangoplank/cell/state.h"
#include "mangoplank/consensus/node.h"
#include "mangoplank/core/clock.h"
#include "mangoplank/distribution/history.h"

namespace mangoplank::control {

/// The replicated state of the cell as this process has applied it.
class machine : public consensus::state_machine {
 public:
  /// Notified of changes and of leadership, on the executor of the node.
  class observer {
   public:
    virtual ~observer() = default;
    virtual void OnChanges(const std::vector<cell::change>& changes) = 0;
    /// The whole state was replaced.
    virtual void OnRestored() = 0;
    virtual void OnLeadershipChange(bool leads, core::term t) = 0;
  };

  machine(boost::asio::any_io_executor executor, core::clock& clock,
          distribution::history& history);

  /// @param new_observer must outlive the machine, or be replaced.
  void SetObserver(observer* new_observer) { observer_ = new_observer; }

  const cell::state& State() const { return state_; }
  /// Notified after each applied entry.
  core::event& Applied() { return applied_; }

  /// Proposes a command and waits until this process has applied it.
  /// @return the answer of the state, or the failure of the proposal.
  core::awaitable<core::outcome<cell::accepted>> Propose(consensus::node& node,
                                                         cell::command command);

  void Apply(const consensus::log_entry& entry, bool own) override;
  std::string TakeSnapshot() override;
  core::result<void> Restore(std::string_view data,
                             core::revision revision) override;
  void OnLeadershipChange(bool leads, core::term t) override;

 private:
  void StoreAnswer(core::revision revision,
                   core::outcome<cell::accepted> answer);

  core::clock& clock_;
  core::event applied_;
  distribution::history& history_;
  observer* observer_ = nullptr;
  cell::state state_;
  /// Answers to own proposals that their proposer has not fetched yet.
  std::map<core::revision, core::outcome<cell::accepted>> answers_;
};

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_MACHINE_H_
