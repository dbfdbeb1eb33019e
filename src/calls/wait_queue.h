#ifndef MANGOPLANK_CALLS_WAIT_QUEUE_H_
#define MANGOPLANK_CALLS_WAIT_QUEUE_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "calls/slot_table.h"
#include "mangoplank/calls/call.h"
#include "mangoplank/calls/worker_transport.h"

namespace mangoplank::calls {

/// Request of a call for a slot, queued while none is free.
struct slot_request {
  slot_request(boost::asio::any_io_executor executor, core::clock& clock)
      : decided(std::move(executor), clock) {}

  cell::object_key service;
  std::string operation;
  core::time_point deadline;
  bool at_most_once = false;
  bool bulk = false;
  /// Workers that earlier attempts used.
  std::set<worker_key> tried;
  /// Position in the order of arrival.
  std::uint64_t arrival_number = 0;

  core::event decided;
  std::optional<worker_target> assigned;
  std::optional<end_reason> refusal_reason;
};

/// Requests that wait for a slot: one subqueue for each service and class,
/// earliest deadline first, with round-robin between departments.
class wait_queue {
 public:
  /// @return queued requests of the same department and class.
  std::size_t CountWaiting(const slot_request& request) const;
  /// @return queued requests of the same service and class.
  std::size_t CountInSubqueue(const slot_request& request) const;
  std::size_t Size() const { return size_; }
  /// @return queued requests that would be served before a new `request`.
  std::size_t CountAhead(const slot_request& request) const;
  void Add(std::shared_ptr<slot_request> request);
  /// Does nothing if the request is not queued.
  void Remove(const std::shared_ptr<slot_request>& request);
  /// Offers the first request of each subqueue, with round-robin between
  /// departments, until a full round served none.
  /// @param serve returns whether to remove the request from the queue.
  void Serve(const std::function<bool(slot_request&)>& serve);
  /// Removes all requests and returns them.
  std::vector<std::shared_ptr<slot_request>> RemoveAll();

 private:
  struct earlier_deadline {
    bool operator()(const std::shared_ptr<slot_request>& a,
                    const std::shared_ptr<slot_request>& b) const {
      return std::tie(a->deadline, a->arrival_number) <
             std::tie(b->deadline, b->arrival_number);
    }
  };
  using subqueue = std::set<std::shared_ptr<slot_request>, earlier_deadline>;
  struct subqueue_key {
    /// Subqueues of quick calls come first.
    bool bulk = false;
    std::string service;
    bool at_most_once = false;
    friend auto operator<=>(const subqueue_key&, const subqueue_key&) = default;
  };
  struct department_queue {
    std::map<subqueue_key, subqueue> subqueues;
    /// Indexed by class.
    std::array<std::size_t, 4> waiting_by_class{};
  };

  static subqueue_key KeyOf(const slot_request& request);
  /// Quick and bulk calls, idempotent or at-most-once, form four classes, so
  /// that a full queue of one class does not refuse calls of another.
  static std::size_t ClassOf(const slot_request& request) {
    return (request.at_most_once ? 1u : 0u) + (request.bulk ? 2u : 0u);
  }
  bool ServeOne(department_queue& queue,
                const std::function<bool(slot_request&)>& serve);

  std::map<core::department_id, department_queue> departments_;
  /// Department whose turn was last.
  core::department_id last_served_;
  std::size_t size_ = 0;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_WAIT_QUEUE_H_
