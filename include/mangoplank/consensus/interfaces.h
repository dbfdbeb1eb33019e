#ifndef MANGOPLANK_CONSENSUS_INTERFACES_H_
#define MANGOPLANK_CONSENSUS_INTERFACES_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mangoplank/consensus/messages.h"
#include "mangoplank/core/clock.h"
#include "mangoplank/core/failure.h"

namespace mangoplank::consensus {

/// Replicated state machine. Called in order on the executor of the node.
class state_machine {
 public:
  virtual ~state_machine() = default;
  /// Applies a committed entry. Entries other than commands change no state but
  /// occupy a revision.
  /// @param own the proposal was made by this process in this term.
  virtual void Apply(const log_entry& entry, bool own) = 0;
  /// @return the state after the last applied entry, encoded.
  virtual std::string TakeSnapshot() = 0;
  /// Replaces the state.
  /// @return a failure if the data can't be decoded; the node then stops.
  virtual core::result<void> Restore(std::string_view data,
                                     core::revision revision) = 0;
  /// The node has committed the first entry of its term as leader, or has lost
  /// leadership.
  virtual void OnLeadershipChange(bool is_leader, core::term term) = 0;
};

/// A connection to another member, reopened after a failure.
class peer_link {
 public:
  virtual ~peer_link() = default;
  /// Waits until the bounded send queue has passed the message to the network.
  virtual core::awaitable<core::outcome<void>> Send(message sent) = 0;
  virtual core::awaitable<core::outcome<message>> Receive() = 0;
  /// Pending calls end with a failure.
  virtual void Close() = 0;
};

/// Opens links to other members.
class transport {
 public:
  virtual ~transport() = default;
  /// @return a link, or a failure within the connect timeout.
  virtual core::awaitable<core::outcome<std::shared_ptr<peer_link>>> Connect(
      const member& to) = 0;
};

/// Files of one folder. Calls may block, so the node makes them on its disk
/// thread and never on its executor.
class disk {
 public:
  virtual ~disk() = default;
  virtual core::result<std::vector<std::string>> List() = 0;
  virtual core::result<std::string> Read(const std::string& name) = 0;
  /// Appends to a file, creating it if missing. Not durable before Sync.
  virtual core::result<void> Append(const std::string& name,
                                    std::string_view data) = 0;
  /// Writes bytes again that a file has, so that a later Sync proves them
  /// durable even if an earlier one failed.
  virtual core::result<void> Overwrite(const std::string& name,
                                       std::uint64_t from,
                                       std::string_view data) = 0;
  /// Makes the content of a file and its folder entry durable.
  virtual core::result<void> Sync(const std::string& name) = 0;
  /// Replaces a file through a temporary file; durable on return. A call that
  /// fails leaves no temporary file if it can be removed.
  virtual core::result<void> Replace(const std::string& name,
                                     std::string_view data) = 0;
  /// Removes the temporary file of a Replace that a crash interrupted, if that
  /// is possible.
  virtual void RemoveTemporaryFile() = 0;
  /// Cuts a file, creating it if missing.
  virtual core::result<void> Truncate(const std::string& name,
                                      std::uint64_t size) = 0;
  /// Removes a file; durable on return.
  virtual core::result<void> Remove(const std::string& name) = 0;
};

/// Runs blocking work: on a thread, or in tests with a delay on a fake clock.
class disk_runner {
 public:
  virtual ~disk_runner() = default;
  /// Runs `work` outside the executor and resumes the caller with its result.
  virtual core::awaitable<core::outcome<void>> Run(
      std::function<core::result<void>()> work) = 0;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_CONSENSUS_INTERFACES_H_
