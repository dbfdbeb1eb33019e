#ifndef MANGOPLANK_API_WATCH_H_
#define MANGOPLANK_API_WATCH_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "api/exchange.h"

namespace mangoplank::api {

/// Which objects a watch tells of.
struct watch_filter {
  cell::object_kind k = cell::object_kind::kService;
  core::department_id department;
  /// Empty for all names.
  std::string name;

  bool Matches(const cell::object_key& key) const {
    return key.kind == k && key.department == department &&
           (name.empty() || key.name == name);
  }
  friend bool operator==(const watch_filter&, const watch_filter&) = default;
};

/// Times of a watch, and how it learns that it must end.
struct watch_limits {
  core::milliseconds progress{5'000};
  /// Silence of the feed after which the watch ends with an error line.
  core::milliseconds silence{6'000};
  /// Whether the caller's token is still granted.
  std::function<bool()> allowed;
};

/// Turns batches of the feed into JSON lines (docs/api.md, Watch).
class watch_stream : public body_stream {
 public:
  /// @param first batch, not yet told.
  watch_stream(std::unique_ptr<control::feed> feed, control::feed_batch first,
               watch_filter filter, watch_limits limits, core::clock& clock,
               std::shared_ptr<void> slot);

  core::awaitable<std::optional<std::string>> Next(
      core::time_point deadline) override;

 private:
  /// @return the next lines of the pending batch, which is given up at its end.
  std::string TakeLines();
  std::string Line(const cell::change& c);
  /// @return the last line: why the watch ends.
  std::string End(const core::failure& f);

  std::unique_ptr<control::feed> feed_;
  /// Batch that is told in pieces, and the next change of it to tell. A full
  /// copy may hold thousands of objects.
  std::optional<control::feed_batch> pending_;
  std::size_t next_change_ = 0;
  bool told_any_ = false;
  watch_filter filter_;
  watch_limits limits_;
  core::clock& clock_;
  /// Held while the watch lives; counts it.
  std::shared_ptr<void> slot_;
  /// Jobs by uid, as a removed task is named by uid only.
  std::map<core::revision, cell::object_key> jobs_;
  core::time_point heard_;
  core::time_point told_;
  bool ended_ = false;
};

/// Starts watches and bounds their number.
class watch_handlers {
 public:
  watch_handlers(control::client& client, core::clock& clock,
                 std::size_t max_watches)
      : client_(client), clock_(clock), max_watches_(max_watches) {}

  /// Opens the feed and waits for its first batch, so that a revision that is
  /// no longer kept is told by the status code.
  core::awaitable<core::outcome<reply>> Watch(const exchange& x,
                                              watch_filter filter,
                                              watch_limits limits);

 private:
  control::client& client_;
  core::clock& clock_;
  std::size_t max_watches_;
  std::shared_ptr<std::size_t> open_ = std::make_shared<std::size_t>(0);
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_WATCH_H_
