#ifndef MANGOPLANK_TENANCY_DIRECTORY_H_
#define MANGOPLANK_TENANCY_DIRECTORY_H_

#include <optional>
#include <utility>
#include <vector>

#include "mangoplank/tenancy/tenant.h"

namespace mangoplank::tenancy {

/// The declared tenants, by key and by name.
class directory {
 public:
  /// Every caller is anonymous.
  directory() = default;
  /// @param tenants have different names and share no key.
  explicit directory(const std::vector<tenant>& tenants);

  /// @return the tenant that holds the key, or null.
  const terms* FindByKey(const key_digest& key) const;
  /// @return the tenant of this name, or null.
  const terms* FindByName(std::string_view name) const;
  const std::vector<terms>& Tenants() const { return tenants_; }

  friend bool operator==(const directory&, const directory&) = default;

 private:
  /// Ordered by name.
  std::vector<terms> tenants_;
  /// Ordered by key, with the index of its tenant.
  std::vector<std::pair<key_digest, std::size_t>> keys_;
};

}  // namespace mangoplank::tenancy

#endif  // MANGOPLANK_TENANCY_DIRECTORY_H_
