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
  /// Receives events and leadership changes, on the executor of the node.
  class observer {
   public:
    virtual ~observer() = default;
    /// Called after an event was applied.
    virtual void OnEvent(const event& event) = 0;
    /// Called after the whole state was replaced by a snapshot.
    virtual void OnRestored() = 0;
    virtual void OnLeadership(bool leads, core::term t) = 0;
  };

  /// @param observer must outlive the machine.
  void SetObserver(observer* observer) { observer_ = observer; }

  const state& State() const { return state_; }

  void Apply(const consensus::log_entry& entry, bool own) override;
  std::string TakeSnapshot() override;
  core::result<void> Restore(std::string_view data, core::revision at) override;
  void OnLeadership(bool leads, core::term t) override;

 private:
  observer* observer_ = nullptr;
  state state_;
};

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_MACHINE_H_
