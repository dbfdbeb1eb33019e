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

/// A file as its folder and its name in it.
struct place {
  std::string folder;
  std::string name;
};

place PlaceOf(const std::string& file) {
  const std::filesystem::path path(file);
  const std::string folder = path.parent_path().string();
  return {folder.empty() ? "." : folder, path.filename().string()};
}

/// Excludes other processes from a folder. local_disk writes each replacement
/// under one name, so two of them at once would mix.
class folder_lock {
 public:
  explicit folder_lock(std::string folder)
      : folder_(std::move(folder)),
        fd_(::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC)) {}
  /// Closing the descriptor ends the lock.
  ~folder_lock() {
    if (fd_ >= 0) ::close(fd_);
  }
  folder_lock(const folder_lock&) = delete;
  folder_lock& operator=(const folder_lock&) = delete;

  result<void> Take() const {
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
  auto r = core::Capture([&] { return FromJson(text); });
  if (r) return std::move(*r);
  return Failed(kind::kCorrupt, file, core::Describe(r.error()));
}

/// @return an empty recording if there is no file.
result<recording> Read(const std::string& file, const place& p,
                       consensus::local_disk* disk) {
  std::error_code ec;
  const std::uintmax_t size = std::filesystem::file_size(file, ec);
  if (ec == std::errc::no_such_file_or_directory) return recording{};
  if (ec) return Failed(kind::kIo, file, ec.message());
  if (size > kMaxRecordingBytes) {
    return Failed(kind::kCorrupt, file, "is larger than any recording");
  }
  BOOST_LEAF_AUTO(text, disk->Read(p.name));
  return Parse(file, text);
}

}  // namespace

result<recording> UpdateHistory(const std::string& file, const recording& fresh,
                                core::wall_time_ms now) {
  const place p = PlaceOf(file);
  const folder_lock lock(p.folder);
  BOOST_LEAF_CHECK(lock.Take());
  consensus::local_disk disk(p.folder);
  BOOST_LEAF_AUTO(before, Read(file, p, &disk));
  recording after = Expire(Merge(before, fresh), now);
  const std::string text = ToJson(after);
  // A merge over the limits could be written but never read again.
  BOOST_LEAF_CHECK(Parse(file, text));
  BOOST_LEAF_CHECK(disk.Replace(p.name, text));
  return after;
}

result<void> WriteFile(const std::string& file, const std::string& data) {
  const place p = PlaceOf(file);
  const folder_lock lock(p.folder);
  BOOST_LEAF_CHECK(lock.Take());
  return consensus::local_disk(p.folder).Replace(p.name, data);
}

}  // namespace mangoplank::report
