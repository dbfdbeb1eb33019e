#ifndef MANGOPLANK_API_ACCESS_H_
#define MANGOPLANK_API_ACCESS_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mangoplank/api/resource_interface.h"

/// Authentication and authorization of requests.
namespace mangoplank::api {

/// Holder of the cell administrator's token.
struct cell_admin {
  friend bool operator==(const cell_admin&, const cell_admin&) = default;
};
/// Holder of the workers' token.
struct worker_agent {
  friend bool operator==(const worker_agent&, const worker_agent&) = default;
};
/// Holder of a token that a department object grants.
struct department_member {
  core::department_id department;
  cell::role role = cell::role::kViewer;
  /// Name of the grant, for logs.
  std::string grant;
  friend bool operator==(const department_member&,
                         const department_member&) = default;
};
using principal = std::variant<cell_admin, worker_agent, department_member>;

/// @return the department of a member; empty for other principals.
core::department_id DepartmentOf(const api::principal& principal);
/// @return a name for logs.
std::string NameOf(const api::principal& principal);

/// The access that a request requires.
struct required_access {
  enum class access_level {
    /// Read objects of the caller's department.
    kRead,
    /// Change work or call a service.
    kOperate,
    /// Read or change objects of the cell.
    kAdminister,
    /// Announce a worker.
    kAnnounce
  };
  access_level level = access_level::kAdminister;
  /// Department in the path; empty if there is none.
  core::department_id department;

  friend bool operator==(const required_access&,
                         const required_access&) = default;
};

/// @return the failure to report if `principal` lacks the access, or no value.
/// Another department's path is not_found whether the department exists or not.
std::optional<core::failure> CheckAccess(const api::principal& principal,
                                         const required_access& required);

/// Maps tokens to principals. Caches the grants of all departments and rebuilds
/// the cache when a department object has changed.
class authenticator {
 public:
  authenticator(const distribution::view& view,
                const interface_settings& settings);

  /// Compares the token with every grant, in a time that does not depend on
  /// which one matches.
  /// @param header value of Authorization.
  /// @return no value if no grant matches.
  std::optional<principal> Authenticate(std::string_view header);

 private:
  using digest = std::array<std::uint64_t, 4>;
  struct grant {
    digest token_digest{};
    principal holder;
  };
  /// Differs after each change of a department object.
  struct fingerprint {
    std::size_t count = 0;
    core::revision newest_version = 0;
    friend bool operator==(const fingerprint&, const fingerprint&) = default;
  };

  void AddGrant(std::string_view hex_digest, principal holder);
  void Refresh();
  void Rebuild();

  const distribution::view& view_;
  const interface_settings& settings_;
  std::optional<core::revision> checked_revision_;
  fingerprint grants_fingerprint_;
  std::vector<grant> grants_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_ACCESS_H_
