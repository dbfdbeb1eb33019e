#ifndef MANGOPLANK_CORE_FAILURE_H_
#define MANGOPLANK_CORE_FAILURE_H_

#include <boost/leaf.hpp>
#include <boost/system/result.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mangoplank/core/types.h"

/// Typed failures. Each alternative carries the data needed to handle it.
namespace mangoplank::core {

/// One field of a request, declaration or setting that is not valid.
struct field_error {
  /// Path of the field, for example `spec.need.cpu_milli`.
  std::string field;
  std::string reason;

  friend bool operator==(const field_error&, const field_error&) = default;
};

/// The request is malformed; nothing was changed.
struct invalid_request {
  std::vector<field_error> fields;
  friend bool operator==(const invalid_request&,
                         const invalid_request&) = default;
};
/// The object does not exist, or the caller may not know that it does.
struct not_found {
  std::string name;
  friend bool operator==(const not_found&, const not_found&) = default;
};
/// The object was changed since the expected version.
struct version_conflict {
  revision current = 0;
  friend bool operator==(const version_conflict&,
                         const version_conflict&) = default;
};
/// An object of the same name exists.
struct already_exists {
  std::string name;
  friend bool operator==(const already_exists&,
                         const already_exists&) = default;
};
/// The caller is not known.
struct unauthenticated {
  friend bool operator==(const unauthenticated&,
                         const unauthenticated&) = default;
};
/// The caller's role does not allow the request.
struct forbidden {
  std::string role;
  friend bool operator==(const forbidden&, const forbidden&) = default;
};
/// This control process is not the leader; `leader` is set if it is known.
struct not_leader {
  std::optional<member_id> leader;
  friend bool operator==(const not_leader&, const not_leader&) = default;
};
/// No leader could commit in time. Whether the change was made is unknown.
struct commit_unknown {
  friend bool operator==(const commit_unknown&,
                         const commit_unknown&) = default;
};
/// The process can't serve now: cut off, draining, starting or full.
struct unavailable {
  std::string reason;
  milliseconds retry_after{1000};
  friend bool operator==(const unavailable&, const unavailable&) = default;
};
/// The deadline passed before an answer came.
struct deadline_exceeded {
  friend bool operator==(const deadline_exceeded&,
                         const deadline_exceeded&) = default;
};
/// A connection could not be opened, broke, or was silent beyond its deadline.
struct connection_failed {
  enum class kind { kRefused, kClosed, kSilent, kMalformed, kTooLarge };
  kind k = kind::kClosed;
  std::string peer;
  friend bool operator==(const connection_failed&,
                         const connection_failed&) = default;
};
/// A file of the data folder can't be used.
struct storage_failed {
  enum class kind {
    kIo,
    kFull,
    kSync,
    kCorrupt,
    kMissingSnapshot,
    kOtherCell,
    kNewerVersion,
    /// The process has no file descriptor left; nothing was written.
    kNoDescriptor
  };
  kind k = kind::kIo;
  std::string path;
  std::string detail;
  friend bool operator==(const storage_failed&,
                         const storage_failed&) = default;
};
/// The requested history is compacted; the reader restarts from a full copy.
struct revision_compacted {
  revision oldest = 0;
  friend bool operator==(const revision_compacted&,
                         const revision_compacted&) = default;
};
/// A setting is unknown, malformed or out of range.
struct invalid_setting {
  std::string file;
  int line = 0;
  std::string key;
  std::string reason;
  friend bool operator==(const invalid_setting&,
                         const invalid_setting&) = default;
};
/// The process or task is shutting down.
struct shutting_down {
  friend bool operator==(const shutting_down&, const shutting_down&) = default;
};

using failure =
    std::variant<invalid_request, not_found, version_conflict, already_exists,
                 unauthenticated, forbidden, not_leader, commit_unknown,
                 unavailable, deadline_exceeded, connection_failed,
                 storage_failed, revision_compacted, invalid_setting,
                 shutting_down>;

/// @return one line for logs and for people, without secrets.
std::string Describe(const failure& f);

/// Thrown by outcome<T>::value() on a failure; a programming error.
class bad_outcome : public std::exception {
 public:
  explicit bad_outcome(failure f) : failure_(std::move(f)) {}
  const char* what() const noexcept override {
    return "outcome holds a failure";
  }

 private:
  failure failure_;
};
[[noreturn]] void throw_exception_from_error(const failure& f,
                                             const boost::source_location&);

/// Result of a coroutine. LEAF results are not used across a suspension, as
/// LEAF keeps error objects in contexts of the thread.
template <class T>
using outcome = boost::system::result<T, failure>;

/// Result of a synchronous function; the error object is a `failure`.
template <class T>
using result = boost::leaf::result<T>;

/// @return a LEAF error that carries `f`.
inline boost::leaf::error_id Fail(failure f) {
  return boost::leaf::new_error(std::move(f));
}

/// The T of a function that returns result<T>.
template <class F>
using captured_value = std::remove_cvref_t<
    decltype(std::declval<std::invoke_result_t<F>&>().value())>;

/// Runs a function that returns result<T>.
/// @return its value, or the failure it reported.
template <class F>
outcome<captured_value<F>> Capture(F&& function) {
  using value = captured_value<F>;
  return boost::leaf::try_handle_all(
      [&]() -> result<outcome<value>> {
        auto r = std::forward<F>(function)();
        if (!r) return r.error();
        if constexpr (std::is_void_v<value>) {
          return outcome<value>();
        } else {
          return outcome<value>(std::move(*r));
        }
      },
      [](const failure& f) { return outcome<value>(f); },
      [] {
        return outcome<value>(failure(unavailable{"unclassified error"}));
      });
}

}  // namespace mangoplank::core

#endif  // MANGOPLANK_CORE_FAILURE_H_
