#ifndef MANGOPLANK_DISPATCH_MEMBERSHIP_H_
#define MANGOPLANK_DISPATCH_MEMBERSHIP_H_

#include <map>

#include "mangoplank/consensus/node.h"
#include "mangoplank/workflow/messages.h"

/// Which processes are members of the replicated log.
namespace mangoplank::dispatch {

struct membership_settings {
  /// Target number of voting members of the cell. Members in excess are
  /// removed, starting with the one that has been silent for the longest time.
  std::size_t members = 5;
  /// Time since the last contact after which a member in excess is removed.
  core::milliseconds member_silence{1'500};

  friend bool operator==(const membership_settings&,
                         const membership_settings&) = default;
};

/// Changes the members while this process leads, one step at a time.
///
/// A silent member may be gone for good or only cut off, and the leader can't
/// tell which. One that is removed by mistake requests to join again once it is
/// in touch. Then there is one voter too many, and the silent one is removed.
class membership_manager {
 public:
  /// @param node must outlive the manager.
  membership_manager(membership_settings settings, consensus::node& node);

  /// Adds a process in a later step, unless it is a member.
  void RequestJoin(core::member_id id, core::endpoint address);
  /// Takes the next step that is due, if any: adds a process as a learner,
  /// removes a silent member in excess, or makes a learner a voter.
  core::awaitable<void> Step();

 private:
  core::awaitable<bool> AddJoining(const consensus::membership& current);
  core::awaitable<bool> RemoveSilent(const consensus::membership& current);
  core::awaitable<void> Promote(const consensus::membership& current);

  const membership_settings settings_;
  consensus::node& node_;
  /// Processes that have requested to join and are not added yet.
  std::map<core::member_id, core::endpoint> joining_;
};

/// A process that was removed while it was cut off is still a member by its own
/// log, as nobody sends it the entry that removed it.
/// @param reported the newest members that a leader has reported.
/// @return whether the process must request to join.
bool MustRequestToJoin(const core::member_id& self,
                       const workflow::member_list& reported);

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_DISPATCH_MEMBERSHIP_H_
