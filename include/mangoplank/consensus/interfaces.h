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

/// What the log drives. Called on the executor of the node, in order.
class state_machine {
 public:
  virtual ~state_machine() = default;
  /// Applies a committed entry. Entries of other kinds than a command change no
  /// state, but take a revision.
  /// @param own the proposal was made by this process in this term.
  virtual void Apply(const log_entry& entry, bool own) = 0;
  /// @return the state after the last applied entry, encoded.
  virtual std::string TakeSnapshot() = 0;
  /// Replaces the state.
  /// @return a failure if the data can't be decoded; the node then stops.
  virtual core::result<void> Restore(std::string_view data,
                                     core::revision at) = 0;
  /// The node became leader and has committed an entry of its term, or lost
  /// the lead.
  virtual void OnLeadership(bool leads, core::term t) = 0;
};

/// A connection to one other member. Opened again after a failure.
class peer_link {
 public:
  virtual ~peer_link() = default;
  /// Waits until the message is handed to the network; a bounded queue.
  virtual core::awaitable<core::outcome<void>> Send(message m) = 0;
  virtual core::awaitable<core::outcome<message>> Receive() = 0;
  /// Ends pending calls with a failure.
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

/// Files of one folder. Calls may block; the node makes them on its own disk
/// thread, never on its executor.
class disk {
 public:
  virtual ~disk() = default;
  virtual core::result<std::vector<std::string>> List() = 0;
  virtual core::result<std::string> Read(const std::string& name) = 0;
  /// Appends to a file, made if missing. Not durable before Sync.
  virtual core::result<void> Append(const std::string& name,
                                    std::string_view data) = 0;
  /// Makes the file's content and its folder entry durable.
  virtual core::result<void> Sync(const std::string& name) = 0;
  /// Replaces a file by way of a temporary one; durable on return.
  virtual core::result<void> Replace(const std::string& name,
                                     std::string_view data) = 0;
  virtual core::result<void> Truncate(const std::string& name,
                                      std::uint64_t size) = 0;
  /// Removes a file; durable on return.
  virtual core::result<void> Remove(const std::string& name) = 0;
};

/// Runs blocking work. The real one uses a thread; a fake one may delay it on a
/// fake clock.
class disk_runner {
 public:
  virtual ~disk_runner() = default;
  /// Runs `work` away from the executor and resumes the caller with its result.
  virtual core::awaitable<core::outcome<void>> Run(
      std::function<core::result<void>()> work) = 0;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_CONSENSUS_INTERFACES_H_
