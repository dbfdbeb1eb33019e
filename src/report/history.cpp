#include "mangoplank/report/history.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <system_error>

#include "mangoplank/consensus/local_disk.h"
#include "mangoplank/report/json.h"

namespace mangoplank::report {

namespace {

using core::result;
using kind = core::storage_failed::kind;

boost::leaf::error_id Failed(kind k, const std::string& path,
                             std::string detail) {
  return core::Fail(core::storage_failed{k, path, std::move(detail)});
}

/// The path of a file, split into its folder and its file name.
struct split_path {
  std::string folder;
  std::string name;
};

split_path SplitPath(const std::string& file) {
  const std::filesystem::path path(file);
  const std::string folder = path.parent_path().string();
  return {folder.empty() ? "." : folder, path.filename().string()};
}

/// Locks a folder against other processes. local_disk writes every replacement
/// to the same temporary file, so concurrent writers would corrupt it.
class folder_lock {
 public:
  explicit folder_lock(std::string folder)
      : folder_(std::move(folder)),
        fd_(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)) {}
  /// Closing the descriptor releases the lock.
  ~folder_lock() {
    if (fd_ >= 0) ::close(fd_);
  }
  folder_lock(const folder_lock&) = delete;
  folder_lock& operator=(const folder_lock&) = delete;

  result<void> Acquire() const {
    if (fd_ < 0) return Fail();
    while (::flock(fd_, LOCK_EX) != 0) {
      if (errno != EINTR) return Fail();
    }
    return {};
  }

 private:
  boost::leaf::error_id Fail() const {
    return Failed(kind::kIo, folder_, std::generic_category().message(errno));
  }

  std::string folder_;
  int fd_;
};

result<recording> Parse(const std::string& file, const std::string& text) {
  auto parsed = core::Capture([&] { return FromJson(text); });
  if (parsed) return std::move(*parsed);
  return Failed(kind::kCorrupt, file, core::Describe(parsed.error()));
}

/// @return an empty recording if the file does not exist.
result<recording> Read(const std::string& file, const split_path& path,
                       consensus::local_disk* disk) {
  std::error_code ec;
  const std::uintmax_t size = std::filesystem::file_size(file, ec);
  if (ec == std::errc::no_such_file_or_directory) return recording{};
  if (ec) return Failed(kind::kIo, file, ec.message());
  if (size > kMaxRecordingBytes) {
    return Failed(kind::kCorrupt, file,
                  "is larger than the limit for a recording");
  }
  BOOST_LEAF_AUTO(text, disk->Read(path.name));
  return Parse(file, text);
}

}  // namespace

result<recording> UpdateHistory(const std::string& file, const recording& fresh,
                                core::wall_time_ms now) {
  const split_path path = SplitPath(file);
  const folder_lock lock(path.folder);
  BOOST_LEAF_CHECK(lock.Acquire());
  consensus::local_disk disk(path.folder);
  BOOST_LEAF_AUTO(stored, Read(file, path, &disk));
  recording updated = Expire(Merge(stored, fresh), now);
  const std::string text = ToJson(updated);
  // A merge that exceeds the limits could be written but not read again.
  BOOST_LEAF_CHECK(Parse(file, text));
  BOOST_LEAF_CHECK(disk.Replace(path.name, text));
  return updated;
}

result<void> WriteFile(const std::string& file, const std::string& data) {
  const split_path path = SplitPath(file);
  const folder_lock lock(path.folder);
  BOOST_LEAF_CHECK(lock.Acquire());
  return consensus::local_disk(path.folder).Replace(path.name, data);
}

}  // namespace mangoplank::report
