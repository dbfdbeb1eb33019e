#ifndef MANGOPLANK_TENANCY_TENANT_H_
#define MANGOPLANK_TENANCY_TENANT_H_

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "mangoplank/core/types.h"

/// Tenants: parties that share a cell, each with API keys, a share and a cap.
namespace mangoplank::tenancy {

/// SHA-256 of an API key. Keys are compared, sent and logged only in this form:
/// it has a fixed size, and the time of a comparison tells nothing of the key.
struct key_digest {
  std::array<std::uint8_t, 32> bytes{};

  friend bool operator==(const key_digest&, const key_digest&) = default;
  friend auto operator<=>(const key_digest&, const key_digest&) = default;
};

/// @return the digest of a key as the caller sends it.
key_digest Digest(std::string_view key);
/// @return the first 16 hexadecimal digits of the digest: enough to tell for
/// which key a log line is, and useless as a key.
std::string Abbreviate(const key_digest& digest);

/// What a tenant may use. Jobs without a tenant have an empty name.
struct terms {
  std::string name;
  /// Share among tenants when capacity is short, and the jobs a second that the
  /// tenant may expect to be served in time.
  double weight = 1;
  /// Most that the tenant may have running on all workers together; 0 in a
  /// dimension means no limit.
  core::resources cap;

  friend bool operator==(const terms&, const terms&) = default;
};

struct tenant {
  tenancy::terms terms;
  std::vector<key_digest> keys;

  friend bool operator==(const tenant&, const tenant&) = default;
};

}  // namespace mangoplank::tenancy

#endif  // MANGOPLANK_TENANCY_TENANT_H_
