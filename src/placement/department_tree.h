#ifndef MANGOPLANK_PLACEMENT_DEPARTMENT_TREE_H_
#define MANGOPLANK_PLACEMENT_DEPARTMENT_TREE_H_

#include <array>
#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

#include "mangoplank/cell/objects.h"
#include "mangoplank/placement/decision.h"
#include "mangoplank/placement/policy.h"

namespace mangoplank::placement {

/// Order of jobs within one department: the most urgent first, then by queue
/// time.
struct queue_key {
  std::int32_t rank = 0;
  std::int64_t queue_time_ms = 0;
  core::revision job = 0;

  friend bool operator==(const queue_key&, const queue_key&) = default;
  friend auto operator<=>(const queue_key&, const queue_key&) = default;
};

/// Resources that the next job of a department would use.
enum class demand : std::uint8_t {
  /// The department has no job left to try in this round.
  kNone,
  /// Resources within its quota.
  kWithinQuota,
  /// Resources above its quota, borrowed while no other department needs them.
  kBorrowing
};

struct department_node {
  core::department_id id;
  std::int64_t weight = 1;
  core::resources quota;
  std::int32_t parent = 0;
  std::vector<std::int32_t> children;
  /// Resources held by its own tasks, by urgency.
  std::array<core::resources, 3> used_by_urgency;
  /// Resources held by its own tasks.
  core::resources used;
  /// Resources held by its own tasks and those of its descendants.
  core::resources subtree_used;
  /// Resources being freed for its tasks.
  core::resources earmarked;
  /// Resources held by its own tasks that are being stopped.
  core::resources stopping;
  double dominant_share = 0;
  double average_share = 0;
  /// Weighted share that orders it among its siblings; the lowest is first.
  double rank = 0;
  /// Rank of its own tasks among its children.
  double own_rank = 0;
  std::set<queue_key> queue;
  /// Next job of the current round.
  std::set<queue_key>::const_iterator next_job;
  std::size_t failed_searches = 0;
  placement::demand demand = placement::demand::kNone;
  /// Number of departments in this subtree, by demand.
  std::array<std::int32_t, 3> demand_counts{};
  double retry_tokens = 0;
};

/// Departments as a tree, with weighted dominant-resource shares.
class department_tree {
 public:
  explicit department_tree(const placement::policy& policy);

  /// @return index of the department; a new one has no quota and weight 1.
  std::int32_t Intern(const core::department_id& id);
  void SetSpec(const core::department_id& id,
               const cell::department_spec& spec);
  void Remove(const core::department_id& id);

  department_node& At(std::int32_t index) { return nodes_[index]; }
  const department_node& At(std::int32_t index) const { return nodes_[index]; }
  std::size_t Size() const { return nodes_.size(); }

  /// Sets the capacity of the cell that shares are computed from.
  void SetCapacity(const core::resources& capacity);
  void Allocate(std::int32_t index, cell::urgency urgency,
                const core::resources& amount);
  void Release(std::int32_t index, cell::urgency urgency,
               const core::resources& amount);

  /// Decays past usage and refills the retry budgets.
  void Advance(core::time_point now);

  /// @return whether `need` more stays within the quotas of the department and
  /// of its ancestors that have one.
  bool IsWithinQuota(std::int32_t index, const core::resources& need) const;
  /// @return whether a task of the department that holds `need` uses borrowed
  /// resources after other tasks that hold `stopped` have ended.
  bool IsBorrowed(std::int32_t index, const core::resources& need,
                  const core::resources& stopped = {}) const;

  void SetDemand(std::int32_t index, placement::demand demand);
  /// @return the department with this demand that is furthest below its share,
  /// or 0 if there is none.
  std::int32_t Select(placement::demand demand) const;

  /// @return one entry for each department except the root, sorted by name.
  std::vector<share> Shares() const;

 private:
  void SetParent(std::int32_t index, std::int32_t parent);
  void UpdateRank(std::int32_t index);
  void AddUsage(std::int32_t index, cell::urgency urgency,
                const core::resources& amount);
  double DominantShare(const core::resources& used) const;
  double EntitledShare(std::int32_t index) const;

  policy policy_;
  /// The first node is the root, which stands for the whole cell.
  std::deque<department_node> nodes_;
  std::unordered_map<core::department_id, std::int32_t> index_by_id_;
  core::resources capacity_;
  core::time_point last_advance_{};
  bool started_ = false;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_DEPARTMENT_TREE_H_
