#ifndef MANGOPLANK_WORKFLOW_CATALOG_READER_H_
#define MANGOPLANK_WORKFLOW_CATALOG_READER_H_

#include <functional>
#include <memory>
#include <optional>

#include "mangoplank/core/clock.h"
#include "mangoplank/workflow/messages.h"

namespace mangoplank::workflow {

/// Reads the catalog from the leader for many callers at once. Those that come
/// while a request is open share the next one, so that there is one at most and
/// each answer is at least as new as the call that gets it.
class catalog_reader {
 public:
  /// Asks the leader until a deadline.
  using source =
      std::function<core::awaitable<answer_body>(core::time_point deadline)>;

  /// `clock` must outlive this.
  catalog_reader(boost::asio::any_io_executor executor, core::clock& clock,
                 source ask_leader);

  /// @return the leader's answer; `unavailable` if there is none by the
  /// deadline.
  core::awaitable<answer_body> Read(core::time_point deadline);

 private:
  /// Callers that share a request.
  struct shared_read {
    std::optional<answer_body> answer;
  };
  class open_request;

  const source ask_leader_;
  core::event request_ended_;
  bool is_request_open_ = false;
  /// The one that callers still join.
  std::shared_ptr<shared_read> next_;
};

}  // namespace mangoplank::workflow

#endif  // MANGOPLANK_WORKFLOW_CATALOG_READER_H_
