#include "dispatch/relay_table.h"

#include <boost/container_hash/hash.hpp>

namespace mangoplank::dispatch {

namespace {

constexpr core::milliseconds kAvoidance{1'000};

/// @return the weight of a relay for a worker. The relay with the highest one
/// is used, so that a relay that joins or leaves moves only its own workers.
std::size_t WeightOf(relay_id relay, const core::worker_id& worker) {
  std::size_t weight = boost::hash<std::string>()(worker.v);
  boost::hash_combine(weight, relay);
  return weight;
}

}  // namespace

relay_id relay_table::Add(std::string data_centre) {
  relays_.emplace(next_id_, relay{std::move(data_centre)});
  return next_id_++;
}

void relay_table::Avoid(relay_id id, core::time_point now) {
  const auto it = relays_.find(id);
  if (it != relays_.end()) it->second.avoid_until = now + kAvoidance;
}

std::optional<relay_id> relay_table::Choose(const core::worker_id& worker,
                                            const std::string& data_centre,
                                            core::time_point now) const {
  if (data_centre == own_data_centre_) return std::nullopt;
  std::optional<relay_id> best;
  bool best_is_near = false;
  std::size_t best_weight = 0;
  for (const auto& [id, candidate] : relays_) {
    if (now < candidate.avoid_until) continue;
    const bool is_near = candidate.data_centre == data_centre;
    if (best && best_is_near && !is_near) continue;
    const std::size_t weight = WeightOf(id, worker);
    const bool is_better =
        !best || (is_near && !best_is_near) || weight > best_weight;
    if (!is_better) continue;
    best = id;
    best_is_near = is_near;
    best_weight = weight;
  }
  return best;
}

}  // namespace mangoplank::dispatch
