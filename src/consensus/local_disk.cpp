#include "mangoplank/consensus/local_disk.h"

#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <boost/asio/async_result.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/thread_pool.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cerrno>
#include <system_error>
#include <utility>

namespace mangoplank::consensus {

namespace asio = boost::asio;

namespace {

using kind = core::storage_failed::kind;

constexpr char kTemporaryName[] = "replacement.tmp";
/// A replacement and a read may be open beside the segment.
constexpr std::size_t kReservedDescriptors = 3;

bool IsOutOfDescriptors(int error) {
  return error == EMFILE || error == ENFILE;
}

kind KindOf(kind default_kind, int error) {
  // A sync that fails for lack of room has lost pages like any other.
  if (default_kind == kind::kSync) return default_kind;
  if (error == ENOSPC || error == EDQUOT) return kind::kFull;
  if (IsOutOfDescriptors(error)) return kind::kNoDescriptor;
  return default_kind;
}

boost::leaf::error_id Fail(kind default_kind, const std::string& path,
                           int error) {
  return core::Fail(
      core::storage_failed{KindOf(default_kind, error), path,
                           std::generic_category().message(error)});
}

}  // namespace

/// An open file.
class local_disk::descriptor {
 public:
  /// @param fd negative if the file could not be opened; errno tells why.
  descriptor(std::string path, int fd)
      : path_(std::move(path)), fd_(fd), open_error_(fd < 0 ? errno : 0) {}
  ~descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;

  core::result<void> Check() const {
    if (fd_ < 0) return Fail(kind::kIo, path_, open_error_);
    return {};
  }
  core::result<void> Write(std::string_view data) {
    while (!data.empty()) {
      const ssize_t n = ::write(fd_, data.data(), data.size());
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return Fail(kind::kIo, path_, errno);
      data.remove_prefix(static_cast<std::size_t>(n));
    }
    return {};
  }
  core::result<void> Seek(std::uint64_t position) {
    const off_t moved = ::lseek(fd_, static_cast<off_t>(position), SEEK_SET);
    if (moved < 0) return Fail(kind::kIo, path_, errno);
    return {};
  }
  core::result<std::string> ReadAll() {
    struct stat info {};
    if (::fstat(fd_, &info) != 0) return Fail(kind::kIo, path_, errno);
    std::string out(static_cast<std::size_t>(info.st_size), '\0');
    std::size_t bytes_read = 0;
    while (bytes_read < out.size()) {
      const ssize_t n =
          ::read(fd_, out.data() + bytes_read, out.size() - bytes_read);
      if (n < 0 && errno == EINTR) continue;
      if (n < 0) return Fail(kind::kIo, path_, errno);
      if (n == 0) break;
      bytes_read += static_cast<std::size_t>(n);
    }
    out.resize(bytes_read);
    return out;
  }
  /// Syncs the data and the size, but no other metadata.
  core::result<void> SyncData() {
    if (::fdatasync(fd_) != 0) return Fail(kind::kSync, path_, errno);
    return {};
  }
  core::result<void> SyncAll() {
    if (::fsync(fd_) != 0) return Fail(kind::kSync, path_, errno);
    return {};
  }
  core::result<void> Resize(std::uint64_t size) {
    const int truncated = ::ftruncate(fd_, static_cast<off_t>(size));
    if (truncated != 0) return Fail(kind::kIo, path_, errno);
    return {};
  }

 private:
  std::string path_;
  int fd_;
  int open_error_;
};

local_disk::local_disk(std::string folder) : folder_(std::move(folder)) {}

local_disk::~local_disk() {
  for (const int fd : reserve_) ::close(fd);
}

/// @return a descriptor, or -1 with errno set. Uses one of the reserve if there
/// is no other.
int local_disk::Open(const std::string& path, int flags) {
  constexpr mode_t kMode = 0640;
  const int fd = ::open(path.c_str(), flags | O_CLOEXEC, kMode);
  if (fd >= 0 || !IsOutOfDescriptors(errno) || reserve_.empty()) return fd;
  ::close(reserve_.back());
  reserve_.pop_back();
  return ::open(path.c_str(), flags | O_CLOEXEC, kMode);
}

/// Opens the folder as often as the reserve lacks. The first call, at the start
/// of the process, gets low numbers: a limit that is lowered later allows them.
void local_disk::FillReserve() {
  while (reserve_.size() < kReservedDescriptors) {
    const int fd = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return;
    reserve_.push_back(fd);
  }
}

std::string local_disk::Path(const std::string& name) const {
  return folder_ + "/" + name;
}

core::result<void> local_disk::CreateFolder() {
  if (::mkdir(folder_.c_str(), 0750) != 0) {
    if (errno == EEXIST) return {};
    return Fail(kind::kIo, folder_, errno);
  }
  const std::size_t slash = folder_.find_last_of('/');
  const std::string parent =
      slash == std::string::npos ? "." : folder_.substr(0, slash + 1);
  descriptor d(parent, Open(parent, O_RDONLY | O_DIRECTORY));
  BOOST_LEAF_CHECK(d.Check());
  return d.SyncAll();
}

core::result<void> local_disk::SyncFolder() {
  if (!open_folder_) {
    auto opened = std::make_unique<descriptor>(
        folder_, Open(folder_, O_RDONLY | O_DIRECTORY));
    BOOST_LEAF_CHECK(opened->Check());
    open_folder_ = std::move(opened);
  }
  FillReserve();
  return open_folder_->SyncAll();
}

core::result<std::vector<std::string>> local_disk::List() {
  FillReserve();
  std::vector<std::string> names;
  DIR* d = ::opendir(folder_.c_str());
  if (d == nullptr && errno == ENOENT) return names;
  if (d == nullptr) return Fail(kind::kIo, folder_, errno);
  while (const dirent* e = ::readdir(d)) {
    const std::string name = e->d_name;
    if (name != "." && name != "..") names.push_back(name);
  }
  ::closedir(d);
  return names;
}

core::result<std::string> local_disk::Read(const std::string& name) {
  descriptor d(Path(name), Open(Path(name), O_RDONLY));
  BOOST_LEAF_CHECK(d.Check());
  return d.ReadAll();
}

core::result<void> local_disk::OpenForAppend(const std::string& name) {
  if (open_ && open_name_ == name) return {};
  BOOST_LEAF_CHECK(CreateFolder());
  open_.reset();
  open_ = std::make_unique<descriptor>(
      Path(name), Open(Path(name), O_WRONLY | O_APPEND | O_CREAT));
  open_name_ = name;
  entry_unsynced_ = true;
  auto checked = open_->Check();
  if (!checked) open_.reset();
  return checked;
}

core::result<void> local_disk::Append(const std::string& name,
                                      std::string_view data) {
  BOOST_LEAF_CHECK(OpenForAppend(name));
  return open_->Write(data);
}

core::result<void> local_disk::Overwrite(const std::string& name,
                                         std::uint64_t from,
                                         std::string_view data) {
  // Not the file opened for appends: those ignore the position.
  descriptor d(Path(name), Open(Path(name), O_WRONLY));
  BOOST_LEAF_CHECK(d.Check());
  BOOST_LEAF_CHECK(d.Seek(from));
  return d.Write(data);
}

core::result<void> local_disk::Sync(const std::string& name) {
  BOOST_LEAF_CHECK(OpenForAppend(name));
  BOOST_LEAF_CHECK(open_->SyncData());
  if (!entry_unsynced_) return {};
  BOOST_LEAF_CHECK(SyncFolder());
  entry_unsynced_ = false;
  return {};
}

core::result<void> local_disk::WriteTemporaryFile(std::string_view data) {
  const std::string path = Path(kTemporaryName);
  descriptor d(path, Open(path, O_WRONLY | O_CREAT | O_TRUNC));
  BOOST_LEAF_CHECK(d.Check());
  BOOST_LEAF_CHECK(d.Write(data));
  return d.SyncAll();
}

core::result<void> local_disk::Replace(const std::string& name,
                                       std::string_view data) {
  BOOST_LEAF_CHECK(CreateFolder());
  const std::string from = Path(kTemporaryName);
  auto written = WriteTemporaryFile(data);
  if (!written) {
    // On a full disk it holds the room that the next small write needs.
    RemoveTemporaryFile();
    return written.error();
  }
  if (::rename(from.c_str(), Path(name).c_str()) != 0) {
    const auto failed = Fail(kind::kIo, Path(name), errno);
    RemoveTemporaryFile();
    return failed;
  }
  return SyncFolder();
}

void local_disk::RemoveTemporaryFile() {
  ::unlink(Path(kTemporaryName).c_str());
}

core::result<void> local_disk::Truncate(const std::string& name,
                                        std::uint64_t size) {
  descriptor d(Path(name), Open(Path(name), O_WRONLY | O_CREAT));
  BOOST_LEAF_CHECK(d.Check());
  return d.Resize(size);
}

core::result<void> local_disk::Remove(const std::string& name) {
  if (open_name_ == name) {
    open_.reset();
    open_name_.clear();
  }
  if (::unlink(Path(name).c_str()) != 0) {
    return Fail(kind::kIo, Path(name), errno);
  }
  return SyncFolder();
}

struct thread_runner::impl {
  asio::thread_pool pool{1};
};

thread_runner::thread_runner() : impl_(std::make_unique<impl>()) {}

thread_runner::~thread_runner() {
  impl_->pool.stop();
  impl_->pool.join();
}

core::awaitable<core::outcome<void>> thread_runner::Run(
    std::function<core::result<void>()> work) {
  const auto caller_executor = co_await asio::this_coro::executor;
  core::outcome<void> done;
  // GCC 12 destroys a closure with captured objects twice within a co_await
  // expression, so this one only refers to the locals, which outlive the work.
  auto start = [&](auto handler) {
    // Keeps the executor running while the work runs on the disk thread.
    auto guard = asio::make_work_guard(caller_executor);
    asio::post(
        impl_->pool, [&work, &done, caller_executor, guard = std::move(guard),
                      handler = std::move(handler)]() mutable {
          done = core::Capture(work);
          asio::post(caller_executor, [handler = std::move(handler)]() mutable {
            std::move(handler)();
          });
        });
  };
  co_await asio::async_initiate<const asio::use_awaitable_t<>, void()>(
      start, asio::use_awaitable);
  co_return done;
}

}  // namespace mangoplank::consensus
