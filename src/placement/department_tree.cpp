#include "department_tree.h"

#include <algorithm>
#include <cmath>

namespace mangoplank::placement {

namespace {

// Minimum time between two decay steps of the shares; shorter steps cost more
// than they change.
constexpr core::milliseconds kMinAgingInterval{100};

double Fraction(std::int64_t amount, std::int64_t total) {
  return total <= 0 ? 0
                    : static_cast<double>(amount) / static_cast<double>(total);
}

bool Exceeds(std::int64_t used, std::int64_t need, std::int64_t quota) {
  return need > 0 && used > quota;
}

bool ExceedsAny(const core::resources& used, const core::resources& need,
                const core::resources& quota) {
  return Exceeds(used.cpu_milli, need.cpu_milli, quota.cpu_milli) ||
         Exceeds(used.memory_mib, need.memory_mib, quota.memory_mib) ||
         Exceeds(used.accelerators, need.accelerators, quota.accelerators);
}

core::resources AmountAbove(const core::resources& used,
                            const core::resources& quota) {
  return {std::max<std::int64_t>(0, used.cpu_milli - quota.cpu_milli),
          std::max<std::int64_t>(0, used.memory_mib - quota.memory_mib),
          std::max<std::int64_t>(0, used.accelerators - quota.accelerators)};
}

}  // namespace

department_tree::department_tree(const placement::policy& policy)
    : policy_(policy) {
  nodes_.emplace_back();
}

std::int32_t department_tree::Intern(const core::department_id& id) {
  const auto [it, added] =
      index_by_id_.try_emplace(id, static_cast<std::int32_t>(nodes_.size()));
  if (!added) return it->second;
  department_node node;
  node.id = id;
  node.retry_tokens = policy_.retry_burst;
  nodes_.push_back(std::move(node));
  nodes_.back().next_job = nodes_.back().queue.end();
  nodes_[0].children.push_back(it->second);
  return it->second;
}

void department_tree::SetParent(std::int32_t index, std::int32_t parent) {
  for (std::int32_t ancestor = parent; ancestor != 0;
       ancestor = nodes_[ancestor].parent) {
    // A cycle of parents would be unreachable from the root and get no share.
    if (ancestor == index) parent = 0;
    if (ancestor == index) break;
  }
  const std::int32_t old_parent = nodes_[index].parent;
  if (old_parent == parent) return;
  const core::resources usage = nodes_[index].subtree_used;
  std::erase(nodes_[old_parent].children, index);
  for (std::int32_t ancestor = old_parent; ancestor != 0;
       ancestor = nodes_[ancestor].parent) {
    nodes_[ancestor].subtree_used = nodes_[ancestor].subtree_used - usage;
    UpdateRank(ancestor);
  }
  nodes_[index].parent = parent;
  nodes_[parent].children.push_back(index);
  std::sort(nodes_[parent].children.begin(), nodes_[parent].children.end());
  for (std::int32_t ancestor = parent; ancestor != 0;
       ancestor = nodes_[ancestor].parent) {
    nodes_[ancestor].subtree_used = nodes_[ancestor].subtree_used + usage;
    UpdateRank(ancestor);
  }
}

void department_tree::SetSpec(const core::department_id& id,
                              const cell::department_spec& spec) {
  const std::int32_t index = Intern(id);
  const std::int32_t parent = spec.parent.v.empty() ? 0 : Intern(spec.parent);
  nodes_[index].weight = std::max<std::int64_t>(1, spec.weight);
  nodes_[index].quota = spec.quota;
  SetParent(index, parent);
  UpdateRank(index);
}

void department_tree::Remove(const core::department_id& id) {
  const auto it = index_by_id_.find(id);
  if (it == index_by_id_.end()) return;
  // The node stays, as tasks of the department may still run.
  nodes_[it->second].weight = 1;
  nodes_[it->second].quota = {};
  SetParent(it->second, 0);
  UpdateRank(it->second);
}

double department_tree::DominantShare(const core::resources& used) const {
  return std::max({Fraction(used.cpu_milli, capacity_.cpu_milli),
                   Fraction(used.memory_mib, capacity_.memory_mib),
                   Fraction(used.accelerators, capacity_.accelerators)});
}

void department_tree::UpdateRank(std::int32_t index) {
  department_node& node = nodes_[index];
  node.dominant_share = DominantShare(node.subtree_used);
  const double history_weight = policy_.history_weight;
  node.rank = ((1 - history_weight) * node.dominant_share +
               history_weight * node.average_share) /
              static_cast<double>(node.weight);
  node.own_rank = node.children.empty() ? 0 : DominantShare(node.used);
}

void department_tree::SetCapacity(const core::resources& capacity) {
  if (capacity == capacity_) return;
  capacity_ = capacity;
  for (std::size_t i = 1; i < nodes_.size(); ++i) {
    UpdateRank(static_cast<std::int32_t>(i));
  }
}

void department_tree::AddUsage(std::int32_t index, cell::urgency urgency,
                               const core::resources& amount) {
  department_node& node = nodes_[index];
  auto& used_by_urgency =
      node.used_by_urgency[static_cast<std::size_t>(urgency)];
  used_by_urgency = used_by_urgency + amount;
  node.used = node.used + amount;
  for (std::int32_t ancestor = index; ancestor != 0;
       ancestor = nodes_[ancestor].parent) {
    nodes_[ancestor].subtree_used = nodes_[ancestor].subtree_used + amount;
    UpdateRank(ancestor);
  }
}

void department_tree::Allocate(std::int32_t index, cell::urgency urgency,
                               const core::resources& amount) {
  AddUsage(index, urgency, amount);
}

void department_tree::Release(std::int32_t index, cell::urgency urgency,
                              const core::resources& amount) {
  AddUsage(index, urgency, core::resources{} - amount);
}

void department_tree::Advance(core::time_point now) {
  if (!started_) {
    started_ = true;
    last_advance_ = now;
    return;
  }
  if (now - last_advance_ < kMinAgingInterval) return;
  const double seconds =
      std::chrono::duration<double>(now - last_advance_).count();
  const double half_life =
      std::chrono::duration<double>(policy_.history_half_life).count();
  const double decay = half_life <= 0 ? 0 : std::exp2(-seconds / half_life);
  last_advance_ = now;
  for (std::size_t i = 1; i < nodes_.size(); ++i) {
    department_node& node = nodes_[i];
    node.average_share =
        decay * node.average_share + (1 - decay) * node.dominant_share;
    node.retry_tokens =
        std::min(policy_.retry_burst,
                 node.retry_tokens + seconds * policy_.retries_per_second);
    UpdateRank(static_cast<std::int32_t>(i));
  }
}

bool department_tree::IsWithinQuota(std::int32_t index,
                                    const core::resources& need) const {
  const department_node& node = nodes_[index];
  if (ExceedsAny(node.used + node.earmarked + need, need, node.quota)) {
    return false;
  }
  for (std::int32_t ancestor = node.parent; ancestor != 0;
       ancestor = nodes_[ancestor].parent) {
    // A parent without a quota only groups its children.
    if (nodes_[ancestor].quota == core::resources{}) continue;
    if (ExceedsAny(nodes_[ancestor].subtree_used + need, need,
                   nodes_[ancestor].quota)) {
      return false;
    }
  }
  return true;
}

bool department_tree::IsBorrowed(std::int32_t index,
                                 const core::resources& need,
                                 const core::resources& stopped) const {
  const department_node& node = nodes_[index];
  return ExceedsAny(node.used - node.stopping - stopped, need, node.quota);
}

void department_tree::SetDemand(std::int32_t index, placement::demand demand) {
  const placement::demand old_demand = nodes_[index].demand;
  if (old_demand == demand) return;
  nodes_[index].demand = demand;
  for (std::int32_t ancestor = index;; ancestor = nodes_[ancestor].parent) {
    --nodes_[ancestor].demand_counts[static_cast<std::size_t>(old_demand)];
    ++nodes_[ancestor].demand_counts[static_cast<std::size_t>(demand)];
    if (ancestor == 0) return;
  }
}

std::int32_t department_tree::Select(placement::demand demand) const {
  const auto demand_index = static_cast<std::size_t>(demand);
  std::int32_t current = 0;
  if (nodes_[0].demand_counts[demand_index] <= 0) return 0;
  while (true) {
    const department_node& node = nodes_[current];
    std::int32_t best = current;
    bool found = current != 0 && node.demand == demand;
    double best_rank = node.own_rank;
    for (const std::int32_t child_index : node.children) {
      const department_node& child_node = nodes_[child_index];
      if (child_node.demand_counts[demand_index] <= 0 ||
          (found && child_node.rank >= best_rank)) {
        continue;
      }
      found = true;
      best = child_index;
      best_rank = child_node.rank;
    }
    if (best == current) return current;
    current = best;
  }
}

double department_tree::EntitledShare(std::int32_t index) const {
  double entitled = 1;
  for (std::int32_t ancestor = index; ancestor != 0;
       ancestor = nodes_[ancestor].parent) {
    std::int64_t sibling_weights = 0;
    for (const std::int32_t sibling :
         nodes_[nodes_[ancestor].parent].children) {
      sibling_weights += nodes_[sibling].weight;
    }
    entitled *= Fraction(nodes_[ancestor].weight, sibling_weights);
  }
  return entitled;
}

std::vector<share> department_tree::Shares() const {
  std::vector<share> shares;
  for (std::size_t i = 1; i < nodes_.size(); ++i) {
    const department_node& node = nodes_[i];
    shares.push_back({.department = node.id,
                      .used = node.used,
                      .dominant_share = node.dominant_share,
                      .average_share = node.average_share,
                      .entitled = EntitledShare(static_cast<std::int32_t>(i)),
                      .borrowed = AmountAbove(node.used, node.quota)});
  }
  std::sort(shares.begin(), shares.end(), [](const share& a, const share& b) {
    return a.department < b.department;
  });
  return shares;
}

}  // namespace mangoplank::placement
