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

/// A call that needs a slot, or waits for one.
struct slot_wish {
  slot_wish(boost::asio::any_io_executor executor, core::clock& clock)
      : decided(std::move(executor), clock) {}

  cell::object_key service;
  std::string operation;
  core::time_point deadline;
  bool once = false;
  bool bulk = false;
  /// Workers that were tried already.
  std::set<worker_key> tried;
  /// Order of arrival.
  std::uint64_t number = 0;

  core::event decided;
  std::optional<worker_target> given;
  std::optional<end_reason> refused;
};

/// Calls that wait for a slot: one lane for each service and class, earliest
/// deadline first, and turns between departments.
class wait_queue {
 public:
  /// @return waiting calls of the department and class of `w`.
  std::size_t Waiting(const slot_wish& w) const;
  /// @return waiting calls of the service and class of `w`.
  std::size_t InLane(const slot_wish& w) const;
  std::size_t Size() const { return size_; }
  /// @return waiting calls that a new one of the lane and deadline follows.
  std::size_t Ahead(const slot_wish& w) const;
  void Add(std::shared_ptr<slot_wish> w);
  /// Does nothing if it does not wait.
  void Remove(const std::shared_ptr<slot_wish>& w);
  /// Offers the first call of each lane, one department after the other, until
  /// a whole round served none.
  /// @param serve returns whether the call needs to wait no more.
  void Serve(const std::function<bool(slot_wish&)>& serve);
  /// Removes all.
  std::vector<std::shared_ptr<slot_wish>> TakeAll();

 private:
  struct earlier {
    bool operator()(const std::shared_ptr<slot_wish>& a,
                    const std::shared_ptr<slot_wish>& b) const {
      return std::tie(a->deadline, a->number) <
             std::tie(b->deadline, b->number);
    }
  };
  using lane = std::set<std::shared_ptr<slot_wish>, earlier>;
  struct lane_key {
    /// Quick lanes come first.
    bool bulk = false;
    std::string service;
    bool once = false;
    friend auto operator<=>(const lane_key&, const lane_key&) = default;
  };
  struct department_queue {
    std::map<lane_key, lane> lanes;
    /// By class.
    std::array<std::size_t, 4> waiting{};
  };

  static lane_key KeyOf(const slot_wish& w);
  /// Quick and bulk calls, idempotent or once, are four classes, so that a
  /// full queue of one refuses no call of another.
  static std::size_t ClassOf(const slot_wish& w) {
    return (w.once ? 1u : 0u) + (w.bulk ? 2u : 0u);
  }
  bool ServeOne(department_queue& q,
                const std::function<bool(slot_wish&)>& serve);

  std::map<core::department_id, department_queue> departments_;
  /// Department that was served last.
  core::department_id last_;
  std::size_t size_ = 0;
};

}  // namespace mangoplank::calls

#endif  // MANGOPLANK_CALLS_WAIT_QUEUE_H_
