#ifndef MANGOPLANK_TENANCY_USAGE_LEDGER_H_
#define MANGOPLANK_TENANCY_USAGE_LEDGER_H_

#include <cstddef>
#include <map>
#include <string>

#include "mangoplank/tenancy/tenant.h"

namespace mangoplank::tenancy {

/// Resources that runs of one tenant use.
struct usage {
  /// Empty for runs without a tenant, which no cap bounds.
  std::string tenant;
  core::resources amount;

  friend bool operator==(const usage&, const usage&) = default;
};

/// @return whether a tenant that uses `used` is within its cap in all
/// dimensions.
bool IsWithinCap(const terms& terms, const core::resources& used);

/// @return how many more runs with this need fit under the cap beside `used`,
/// at most `limit`; 0 while a dimension is beyond the cap, even if the runs
/// need nothing of it.
std::size_t CountWithinCap(const terms& terms, const core::resources& used,
                           const core::resources& need, std::size_t limit);

/// What each tenant uses: the sum over its runs. A tenant that uses nothing
/// takes no memory.
class usage_ledger {
 public:
  void Add(const usage& added);
  /// @param removed was added before.
  void Remove(const usage& removed);

  /// @return zero for a tenant without runs.
  core::resources UsageOf(const std::string& tenant) const;
  /// @return what each tenant with runs uses.
  const std::map<std::string, core::resources>& Entries() const {
    return entries_;
  }

  friend bool operator==(const usage_ledger&, const usage_ledger&) = default;

 private:
  std::map<std::string, core::resources> entries_;
};

}  // namespace mangoplank::tenancy

#endif  // MANGOPLANK_TENANCY_USAGE_LEDGER_H_
