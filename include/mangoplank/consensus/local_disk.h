#ifndef MANGOPLANK_CONSENSUS_LOCAL_DISK_H_
#define MANGOPLANK_CONSENSUS_LOCAL_DISK_H_

#include <memory>
#include <string>
#include <vector>

#include "mangoplank/consensus/interfaces.h"

namespace mangoplank::consensus {

/// Files of one folder of the file system. Used from one thread at a time.
/// Failures are storage_failed: kFull if the disk is full, kNoDescriptor if
/// the process has no descriptor for a file, kSync if a sync failed, else kIo.
///
/// Holds some descriptors in reserve, so that the log can open its files also
/// while connections use all others.
class local_disk : public disk {
 public:
  /// @param folder is created when the first file is written.
  explicit local_disk(std::string folder);
  ~local_disk() override;

  /// @return the file names; empty if the folder does not exist.
  core::result<std::vector<std::string>> List() override;
  core::result<std::string> Read(const std::string& name) override;
  core::result<void> Append(const std::string& name,
                            std::string_view data) override;
  core::result<void> Overwrite(const std::string& name, std::uint64_t from,
                               std::string_view data) override;
  core::result<void> Sync(const std::string& name) override;
  core::result<void> Replace(const std::string& name,
                             std::string_view data) override;
  void RemoveTemporaryFile() override;
  core::result<void> Truncate(const std::string& name,
                              std::uint64_t size) override;
  core::result<void> Remove(const std::string& name) override;

 private:
  class descriptor;

  std::string Path(const std::string& name) const;
  int Open(const std::string& path, int flags);
  void FillReserve();
  core::result<void> CreateFolder();
  core::result<void> SyncFolder();
  core::result<void> WriteTemporaryFile(std::string_view data);
  core::result<void> OpenForAppend(const std::string& name);

  std::string folder_;
  /// The folder, for syncs of its entries; open once it exists.
  std::unique_ptr<descriptor> open_folder_;
  /// Open descriptors that are closed when a file can't be opened otherwise.
  std::vector<int> reserve_;
  /// The file of the last append stays open.
  std::string open_name_;
  std::unique_ptr<descriptor> open_;
  /// The folder entry of the open file may not be durable yet.
  bool entry_unsynced_ = true;
};

/// Runs work in order on one thread.
class thread_runner : public disk_runner {
 public:
  thread_runner();
  /// Waits for running work; work that has not started is dropped.
  ~thread_runner() override;

  core::awaitable<core::outcome<void>> Run(
      std::function<core::result<void>()> work) override;

 private:
  struct impl;
  std::unique_ptr<impl> impl_;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_CONSENSUS_LOCAL_DISK_H_
