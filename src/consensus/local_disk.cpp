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

boost::leaf::error_id Fail(kind default_kind, const std::string& path,
                           int error) {
  // A sync that fails for lack of room has lost pages like any other.
  const bool full =
      default_kind != kind::kSync && (error == ENOSPC || error == EDQUOT);
  return core::Fail(
      core::storage_failed{full ? kind::kFull : default_kind, path,
                           std::generic_category().message(error)});
}

}  // namespace

/// An open file.
class local_disk::descriptor {
 public:
  descriptor(std::string path, int flags)
      : path_(std::move(path)),
        fd_(::open(path_.c_str(), flags | O_CLOEXEC, 0640)) {}
  ~descriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  descriptor(const descriptor&) = delete;
  descriptor& operator=(const descriptor&) = delete;

  core::result<void> Check() const {
    if (fd_ < 0) return Fail(kind::kIo, path_, errno);
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
};

local_disk::local_disk(std::string folder) : folder_(std::move(folder)) {}

local_disk::~local_disk() = default;

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
  descriptor d(parent, O_RDONLY | O_DIRECTORY);
  BOOST_LEAF_CHECK(d.Check());
  return d.SyncAll();
}

core::result<void> local_disk::SyncFolder() {
  descriptor d(folder_, O_RDONLY | O_DIRECTORY);
  BOOST_LEAF_CHECK(d.Check());
  return d.SyncAll();
}

core::result<std::vector<std::string>> local_disk::List() {
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
  descriptor d(Path(name), O_RDONLY);
  BOOST_LEAF_CHECK(d.Check());
  return d.ReadAll();
}

core::result<void> local_disk::OpenForAppend(const std::string& name) {
  if (open_ && open_name_ == name) return {};
  BOOST_LEAF_CHECK(CreateFolder());
  open_ =
      std::make_unique<descriptor>(Path(name), O_WRONLY | O_APPEND | O_CREAT);
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
  descriptor d(Path(name), O_WRONLY);
  BOOST_LEAF_CHECK(d.Check());
  BOOST_LEAF_CHECK(d.Seek(from));
  return d.Write(data);
}

core::result<void> local_disk::Sync(const std::string& name) {
  BOOST_LEAF_CHECK(OpenForAppend(name));
  BOOST_LEAF_CHECK(open_->SyncData());
  if (!std::exchange(entry_unsynced_, false)) return {};
  return SyncFolder();
}

core::result<void> local_disk::WriteTemporaryFile(std::string_view data) {
  descriptor d(Path(kTemporaryName), O_WRONLY | O_CREAT | O_TRUNC);
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
  descriptor d(Path(name), O_WRONLY | O_CREAT);
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
