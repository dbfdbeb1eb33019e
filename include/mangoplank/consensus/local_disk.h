#ifndef MANGOPLANK_CONSENSUS_LOCAL_DISK_H_
#define MANGOPLANK_CONSENSUS_LOCAL_DISK_H_

#include <memory>
#include <string>

#include "mangoplank/consensus/interfaces.h"

namespace mangoplank::consensus {

/// Files of one folder of the file system. Used from one thread at a time.
/// Failures are storage_failed: kFull if there is no room, kSync if a sync
/// failed, else kIo.
class local_disk : public disk {
 public:
  /// @param folder is made when the first file is written.
  explicit local_disk(std::string folder);
  ~local_disk() override;

  /// @return the names of the files, or none if there is no folder.
  core::result<std::vector<std::string>> List() override;
  core::result<std::string> Read(const std::string& name) override;
  core::result<void> Append(const std::string& name,
                            std::string_view data) override;
  core::result<void> Sync(const std::string& name) override;
  core::result<void> Replace(const std::string& name,
                             std::string_view data) override;
  core::result<void> Truncate(const std::string& name,
                              std::uint64_t size) override;
  core::result<void> Remove(const std::string& name) override;

 private:
  class descriptor;

  std::string Path(const std::string& name) const;
  core::result<void> MakeFolder();
  core::result<void> SyncFolder();
  core::result<void> OpenForAppend(const std::string& name);

  std::string folder_;
  /// The file that was appended to last stays open.
  std::string open_name_;
  std::unique_ptr<descriptor> open_;
  /// The folder entry of the open file is not known to be durable.
  bool entry_unsynced_ = true;
};

/// Runs work on one thread, in order.
class thread_runner : public disk_runner {
 public:
  thread_runner();
  /// Waits for the work in hand; work that has not begun is dropped.
  ~thread_runner() override;

  core::awaitable<core::outcome<void>> Run(
      std::function<core::result<void>()> work) override;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_CONSENSUS_LOCAL_DISK_H_
