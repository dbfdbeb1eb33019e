#ifndef MANGOPLANK_WORKFLOW_MACHINE_H_
#define MANGOPLANK_WORKFLOW_MACHINE_H_

#include <string>
#include <string_view>
#include <vector>

#include "mangoplank/consensus/node.h"
#include "mangoplank/workflow/state.h"

namespace mangoplank::workflow {

/// The replicated state of workflows as this process has applied it.
class machine : public consensus::state_machine {
 public:
  /// Hears of events and of leadership, on the executor of the node.
  class observer {
   public:
    virtual ~observer() = default;
    /// An event was applied.
    virtual void OnEvent(const event& e) = 0;
    /// The whole state was replaced.
    virtual void OnRestored() = 0;
    virtual void OnLeadershipChange(bool leads, core::term t) = 0;
  };

  /// @param o must outlive the machine.
  void SetObserver(observer* o) { observer_ = o; }

  const state& State() const { return state_; }

  void Apply(const consensus::log_entry& entry, bool own) override;
  std::string TakeSnapshot() override;
  core::result<void> Restore(std::string_view data, core::revision at) override;
  void OnLeadershipChange(bool leads, core::term t) override;

 private:
  observer* observer_ = nullptr;
  state state_;
};

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_MACHINE_H_
