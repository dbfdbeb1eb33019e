#ifndef MANGOPLANK_SRC_DISPATCH_RELAY_TABLE_H_
#define MANGOPLANK_SRC_DISPATCH_RELAY_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "mangoplank/core/clock.h"

namespace mangoplank::dispatch {

/// Number of a connected relay; never reused.
using relay_id = std::uint64_t;

/// Decides which control process sends the orders for a worker. All orders for
/// one worker go the same way while the relays stay the same, so that its
/// connections are reused.
class relay_table {
 public:
  /// @param own_data_centre workers there get their orders from this process.
  explicit relay_table(std::string own_data_centre)
      : own_data_centre_(std::move(own_data_centre)) {}

  relay_id Add(std::string data_centre);
  void Remove(relay_id id) { relays_.erase(id); }
  /// Uses other ways for a while, as the relay did not send an order.
  void Avoid(relay_id id, core::time_point now);

  /// @return the relay for a worker, or no value if this process sends its
  /// orders itself.
  std::optional<relay_id> Choose(const core::worker_id& worker,
                                 const std::string& data_centre,
                                 core::time_point now) const;

 private:
  struct relay {
    std::string data_centre;
    core::time_point avoid_until{};
  };

  const std::string own_data_centre_;
  std::map<relay_id, relay> relays_;
  relay_id next_id_ = 1;
};

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_RELAY_TABLE_H_
