#include "department_tree.h"

#include <algorithm>
#include <cmath>

namespace mangoplank::placement {

namespace {

// Shortest step in which shares are aged; a shorter one costs more than it
// changes.
constexpr core::milliseconds kAgingStep{100};

double Part(std::int64_t amount, std::int64_t of) {
  return of <= 0 ? 0 : static_cast<double>(amount) / static_cast<double>(of);
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

core::resources Above(const core::resources& used,
                      const core::resources& quota) {
  return {std::max<std::int64_t>(0, used.cpu_milli - quota.cpu_milli),
          std::max<std::int64_t>(0, used.memory_mib - quota.memory_mib),
          std::max<std::int64_t>(0, used.accelerators - quota.accelerators)};
}

}  // namespace

department_tree::department_tree(const policy& p) : policy_(p) {
  nodes_.emplace_back();
}

std::int32_t department_tree::Intern(const core::department_id& id) {
  const auto [it, added] =
      index_.try_emplace(id, static_cast<std::int32_t>(nodes_.size()));
  if (!added) return it->second;
  department d;
  d.id = id;
  d.retry_tokens = policy_.retry_burst;
  nodes_.push_back(std::move(d));
  nodes_.back().next = nodes_.back().queue.end();
  nodes_[0].children.push_back(it->second);
  return it->second;
}

void department_tree::Attach(std::int32_t d, std::int32_t parent) {
  for (std::int32_t a = parent; a != 0; a = nodes_[a].parent) {
    // A cycle of parents would have no share at all.
    if (a == d) parent = 0;
    if (a == d) break;
  }
  const std::int32_t old = nodes_[d].parent;
  if (old == parent) return;
  const core::resources moved = nodes_[d].total;
  std::erase(nodes_[old].children, d);
  for (std::int32_t a = old; a != 0; a = nodes_[a].parent) {
    nodes_[a].total = nodes_[a].total - moved;
    Rank(a);
  }
  nodes_[d].parent = parent;
  nodes_[parent].children.push_back(d);
  std::sort(nodes_[parent].children.begin(), nodes_[parent].children.end());
  for (std::int32_t a = parent; a != 0; a = nodes_[a].parent) {
    nodes_[a].total = nodes_[a].total + moved;
    Rank(a);
  }
}

void department_tree::Set(const core::department_id& id,
                          const cell::department_spec& spec) {
  const std::int32_t d = Intern(id);
  const std::int32_t parent = spec.parent.v.empty() ? 0 : Intern(spec.parent);
  nodes_[d].weight = std::max<std::int64_t>(1, spec.weight);
  nodes_[d].quota = spec.quota;
  Attach(d, parent);
  Rank(d);
}

void department_tree::Remove(const core::department_id& id) {
  const auto it = index_.find(id);
  if (it == index_.end()) return;
  // The entry stays, as tasks of the department may still run.
  nodes_[it->second].weight = 1;
  nodes_[it->second].quota = {};
  Attach(it->second, 0);
  Rank(it->second);
}

double department_tree::Dominant(const core::resources& used) const {
  return std::max({Part(used.cpu_milli, capacity_.cpu_milli),
                   Part(used.memory_mib, capacity_.memory_mib),
                   Part(used.accelerators, capacity_.accelerators)});
}

void department_tree::Rank(std::int32_t d) {
  department& n = nodes_[d];
  n.dominant = Dominant(n.total);
  const double past = policy_.history_weight;
  n.rank = ((1 - past) * n.dominant + past * n.history) /
           static_cast<double>(n.weight);
  n.own_rank = n.children.empty() ? 0 : Dominant(n.used);
}

void department_tree::SetCapacity(const core::resources& capacity) {
  if (capacity == capacity_) return;
  capacity_ = capacity;
  for (std::size_t d = 1; d < nodes_.size(); ++d) {
    Rank(static_cast<std::int32_t>(d));
  }
}

void department_tree::Add(std::int32_t d, cell::urgency u,
                          const core::resources& amount) {
  department& n = nodes_[d];
  auto& of_urgency = n.used_by_urgency[static_cast<std::size_t>(u)];
  of_urgency = of_urgency + amount;
  n.used = n.used + amount;
  for (std::int32_t a = d; a != 0; a = nodes_[a].parent) {
    nodes_[a].total = nodes_[a].total + amount;
    Rank(a);
  }
}

void department_tree::Use(std::int32_t d, cell::urgency u,
                          const core::resources& amount) {
  Add(d, u, amount);
}

void department_tree::Release(std::int32_t d, cell::urgency u,
                              const core::resources& amount) {
  Add(d, u, core::resources{} - amount);
}

void department_tree::Advance(core::time_point now) {
  if (!started_) {
    started_ = true;
    advanced_ = now;
    return;
  }
  if (now - advanced_ < kAgingStep) return;
  const double seconds = std::chrono::duration<double>(now - advanced_).count();
  const double half_life =
      std::chrono::duration<double>(policy_.history_half_life).count();
  const double kept = half_life <= 0 ? 0 : std::exp2(-seconds / half_life);
  advanced_ = now;
  for (std::size_t d = 1; d < nodes_.size(); ++d) {
    department& n = nodes_[d];
    n.history = kept * n.history + (1 - kept) * n.dominant;
    n.retry_tokens = std::min(policy_.retry_burst,
                              n.retry_tokens + seconds * policy_.retry_rate);
    Rank(static_cast<std::int32_t>(d));
  }
}

bool department_tree::WithinQuota(std::int32_t d,
                                  const core::resources& need) const {
  const department& n = nodes_[d];
  if (ExceedsAny(n.used + n.pledged + need, need, n.quota)) return false;
  for (std::int32_t a = n.parent; a != 0; a = nodes_[a].parent) {
    // A parent without a quota only groups its children.
    if (nodes_[a].quota == core::resources{}) continue;
    if (ExceedsAny(nodes_[a].total + need, need, nodes_[a].quota)) {
      return false;
    }
  }
  return true;
}

bool department_tree::IsBorrowed(std::int32_t d, const core::resources& need,
                                 const core::resources& stopped) const {
  const department& n = nodes_[d];
  return ExceedsAny(n.used - n.stopping - stopped, need, n.quota);
}

void department_tree::SetClaim(std::int32_t d, claim c) {
  const claim old = nodes_[d].c;
  if (old == c) return;
  nodes_[d].c = c;
  for (std::int32_t a = d;; a = nodes_[a].parent) {
    --nodes_[a].claims[static_cast<std::size_t>(old)];
    ++nodes_[a].claims[static_cast<std::size_t>(c)];
    if (a == 0) return;
  }
}

std::int32_t department_tree::Select(claim c) const {
  const auto kind = static_cast<std::size_t>(c);
  std::int32_t at = 0;
  if (nodes_[0].claims[kind] <= 0) return 0;
  while (true) {
    const department& n = nodes_[at];
    std::int32_t best = at;
    bool found = at != 0 && n.c == c;
    double best_rank = n.own_rank;
    for (const std::int32_t child : n.children) {
      const department& m = nodes_[child];
      if (m.claims[kind] <= 0 || (found && m.rank >= best_rank)) continue;
      found = true;
      best = child;
      best_rank = m.rank;
    }
    if (best == at) return at;
    at = best;
  }
}

double department_tree::Due(std::int32_t d) const {
  double due = 1;
  for (std::int32_t a = d; a != 0; a = nodes_[a].parent) {
    std::int64_t siblings = 0;
    for (const std::int32_t s : nodes_[nodes_[a].parent].children) {
      siblings += nodes_[s].weight;
    }
    due *= Part(nodes_[a].weight, siblings);
  }
  return due;
}

std::vector<share> department_tree::Shares() const {
  std::vector<share> all;
  for (std::size_t d = 1; d < nodes_.size(); ++d) {
    const department& n = nodes_[d];
    all.push_back({.department = n.id,
                   .used = n.used,
                   .dominant = n.dominant,
                   .history = n.history,
                   .due = Due(static_cast<std::int32_t>(d)),
                   .borrowed = Above(n.used, n.quota)});
  }
  std::sort(all.begin(), all.end(), [](const share& a, const share& b) {
    return a.department < b.department;
  });
  return all;
}

}  // namespace mangoplank::placement
