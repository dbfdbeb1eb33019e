#include "mangoplank/tenancy/directory.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <algorithm>

namespace mangoplank::tenancy {

key_digest Digest(std::string_view key) {
  key_digest digest;
  static_assert(sizeof(digest.bytes) == SHA256_DIGEST_LENGTH);
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.bytes.data());
  return digest;
}

std::string Abbreviate(const key_digest& digest) {
  constexpr std::size_t kBytes = 8;
  return fmt::format("{:02x}", fmt::join(digest.bytes.begin(),
                                         digest.bytes.begin() + kBytes, ""));
}

directory::directory(const std::vector<tenant>& tenants) {
  std::vector<const tenant*> ordered;
  for (const tenant& tenant : tenants) ordered.push_back(&tenant);
  std::sort(ordered.begin(), ordered.end(),
            [](const tenant* a, const tenant* b) {
              return a->terms.name < b->terms.name;
            });
  for (const tenant* const tenant : ordered) {
    for (const key_digest& key : tenant->keys) {
      keys_.emplace_back(key, tenants_.size());
    }
    tenants_.push_back(tenant->terms);
  }
  std::sort(keys_.begin(), keys_.end());
}

const terms* directory::FindByKey(const key_digest& key) const {
  const auto it = std::lower_bound(
      keys_.begin(), keys_.end(), key,
      [](const auto& entry, const key_digest& k) { return entry.first < k; });
  const bool is_known = it != keys_.end() && it->first == key;
  return is_known ? &tenants_[it->second] : nullptr;
}

const terms* directory::FindByName(std::string_view name) const {
  const auto it = std::lower_bound(
      tenants_.begin(), tenants_.end(), name,
      [](const terms& terms, std::string_view n) { return terms.name < n; });
  const bool is_known = it != tenants_.end() && it->name == name;
  return is_known ? &*it : nullptr;
}

}  // namespace mangoplank::tenancy
