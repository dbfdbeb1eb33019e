#ifndef MANGOPLANK_API_WATCH_H_
#define MANGOPLANK_API_WATCH_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "api/request_context.h"

namespace mangoplank::api {

/// Selects the objects that a watch reports.
struct watch_filter {
  cell::object_kind kind = cell::object_kind::kService;
  core::department_id department;
  /// Empty for objects of any name.
  std::string name;

  bool Matches(const cell::object_key& key) const {
    return key.kind == kind && key.department == department &&
           (name.empty() || key.name == name);
  }
  friend bool operator==(const watch_filter&, const watch_filter&) = default;
};

/// Time limits and authorization of a watch.
struct watch_limits {
  core::milliseconds progress_interval{5'000};
  /// Time without a batch of the feed after which the watch ends with an error.
  core::milliseconds feed_timeout{6'000};
  /// Whether the caller's token is still valid.
  std::function<bool()> is_authorized;
};

/// Renders batches of the feed as JSON lines (docs/api.md, Watch).
class watch_stream : public body_stream {
 public:
  /// @param first batch of the feed, still to be rendered.
  watch_stream(std::unique_ptr<control::feed> feed, control::feed_batch first,
               watch_filter filter, watch_limits limits, core::clock& clock,
               std::shared_ptr<void> watch_slot);

  core::awaitable<std::optional<std::string>> Next(
      core::time_point deadline) override;

 private:
  /// @return the next lines of the pending batch; drops the batch at its end.
  std::string RenderNextLines();
  std::string RenderChange(const cell::change& change);
  /// @return the last line, which states why the watch ends.
  std::string EndWithError(const core::failure& failure);

  std::unique_ptr<control::feed> feed_;
  /// Batch that is sent in pieces, and its next change to send. A full copy of
  /// the state may hold thousands of objects.
  std::optional<control::feed_batch> pending_;
  std::size_t next_change_ = 0;
  bool has_rendered_lines_ = false;
  watch_filter filter_;
  watch_limits limits_;
  core::clock& clock_;
  /// Counts the watch as open while it exists.
  std::shared_ptr<void> watch_slot_;
  /// Jobs by uid, as a removed task has only the uid of its job.
  std::map<core::revision, cell::object_key> jobs_;
  core::time_point last_batch_;
  core::time_point last_progress_;
  bool ended_ = false;
};

/// Starts watches and limits their number.
class watch_handlers {
 public:
  watch_handlers(control::client& client, core::clock& clock,
                 std::size_t max_watches)
      : client_(client), clock_(clock), max_watches_(max_watches) {}

  /// Subscribes to the feed and waits for its first batch, so that a compacted
  /// revision is reported by the status code.
  core::awaitable<core::outcome<reply>> Watch(const request_context& context,
                                              watch_filter filter,
                                              watch_limits limits);

 private:
  control::client& client_;
  core::clock& clock_;
  std::size_t max_watches_;
  std::shared_ptr<std::size_t> open_watches_ = std::make_shared<std::size_t>(0);
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_WATCH_H_
