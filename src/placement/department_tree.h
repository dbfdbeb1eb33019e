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

/// Order of jobs within one department: the most urgent first, then by time of
/// arrival.
struct queue_key {
  std::int32_t rank = 0;
  std::int64_t order = 0;
  core::revision job = 0;

  friend bool operator==(const queue_key&, const queue_key&) = default;
  friend auto operator<=>(const queue_key&, const queue_key&) = default;
};

/// What the next job of a department would use.
enum class claim : std::uint8_t {
  /// It has no job to try in this round.
  kNothing,
  /// Room within its quota.
  kEntitled,
  /// Room above its quota, lent while nobody else needs it.
  kBorrowing
};

struct department {
  core::department_id id;
  std::int64_t weight = 1;
  core::resources quota;
  std::int32_t parent = 0;
  std::vector<std::int32_t> children;
  /// Held by its own tasks, by urgency.
  std::array<core::resources, 3> used_by_urgency;
  /// Held by its own tasks.
  core::resources used;
  /// Held by its own tasks and those of its descendants.
  core::resources total;
  /// Room being freed for its tasks.
  core::resources pledged;
  /// Held by own tasks that are asked to stop.
  core::resources stopping;
  double dominant = 0;
  double history = 0;
  /// Share that orders it among its siblings.
  double rank = 0;
  /// The same for its own tasks among its children.
  double own_rank = 0;
  std::set<queue_key> queue;
  /// Next job of the current round.
  std::set<queue_key>::const_iterator next;
  std::size_t misses = 0;
  claim c = claim::kNothing;
  /// Departments in this subtree by claim.
  std::array<std::int32_t, 3> claims{};
  double retry_tokens = 0;
};

/// Departments as a tree, with weighted dominant-resource shares.
class department_tree {
 public:
  explicit department_tree(const policy& p);

  /// @return index of the department; a new one has no quota and weight 1.
  std::int32_t Intern(const core::department_id& id);
  void Set(const core::department_id& id, const cell::department_spec& spec);
  void Remove(const core::department_id& id);

  department& At(std::int32_t d) { return nodes_[d]; }
  const department& At(std::int32_t d) const { return nodes_[d]; }
  std::size_t Size() const { return nodes_.size(); }

  /// Capacity that shares are parts of.
  void SetCapacity(const core::resources& capacity);
  void Use(std::int32_t d, cell::urgency u, const core::resources& amount);
  void Release(std::int32_t d, cell::urgency u, const core::resources& amount);

  /// Ages the history and refills the budgets of retries.
  void Advance(core::time_point now);

  /// @return whether `need` more stays within the quotas of `d` and of its
  /// ancestors that have one.
  bool WithinQuota(std::int32_t d, const core::resources& need) const;
  /// @return whether a task of `d` that holds `need` uses borrowed room, once
  /// other tasks that hold `stopped` have ended.
  bool IsBorrowed(std::int32_t d, const core::resources& need,
                  const core::resources& stopped = {}) const;

  void SetClaim(std::int32_t d, claim c);
  /// @return the department with claim `c` that is furthest below its share,
  /// or 0 if there is none.
  std::int32_t Select(claim c) const;

  /// @return one entry for each department but the root, by name.
  std::vector<share> Shares() const;

 private:
  void Attach(std::int32_t d, std::int32_t parent);
  void Rank(std::int32_t d);
  void Add(std::int32_t d, cell::urgency u, const core::resources& amount);
  double Dominant(const core::resources& used) const;
  double Due(std::int32_t d) const;

  policy policy_;
  /// The first is the root, the whole cell.
  std::deque<department> nodes_;
  std::unordered_map<core::department_id, std::int32_t> index_;
  core::resources capacity_;
  core::time_point advanced_{};
  bool started_ = false;
};

}  // namespace mangoplank::placement

#endif  // MANGOPLANK_PLACEMENT_DEPARTMENT_TREE_H_
