#ifndef MANGOPLANK_API_ACCESS_H_
#define MANGOPLANK_API_ACCESS_H_

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mangoplank/api/resource_interface.h"

/// Who asks, and what they may do.
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
  cell::role r = cell::role::kViewer;
  /// Name of the grant, for logs.
  std::string grant;
  friend bool operator==(const department_member&,
                         const department_member&) = default;
};
using principal = std::variant<cell_admin, worker_agent, department_member>;

/// @return the department of a member; empty for others.
core::department_id DepartmentOf(const principal& p);
/// @return a name for logs.
std::string NameOf(const principal& p);

/// What a request needs.
struct access_need {
  enum class level {
    /// Read what the caller's department owns.
    kRead,
    /// Change work or call a service.
    kOperate,
    /// Read or change what belongs to the cell.
    kAdminister,
    /// Speak for a worker.
    kAnnounce
  };
  level l = level::kAdminister;
  /// Department named by the path; empty if none.
  core::department_id department;

  friend bool operator==(const access_need&, const access_need&) = default;
};

/// @return why `p` may not do it, or no value if it may. Another department's
/// path is not_found whether the department exists or not.
std::optional<core::failure> RefusalOf(const principal& p,
                                       const access_need& need);

/// Finds the holder of a token. Keeps the grants of all departments, read
/// again when a department object changed.
class authority {
 public:
  authority(const distribution::view& view, const interface_settings& settings);

  /// Compares with every grant, in a time that does not depend on which one
  /// matches.
  /// @param header value of Authorization.
  /// @return no value if no grant matches.
  std::optional<principal> Find(std::string_view header);

 private:
  using digest = std::array<std::uint64_t, 4>;
  struct grant {
    digest d{};
    principal p;
  };
  /// Changes with each change of a department object.
  struct fingerprint {
    std::size_t count = 0;
    core::revision newest = 0;
    friend bool operator==(const fingerprint&, const fingerprint&) = default;
  };

  void Add(std::string_view hex, principal p);
  void Refresh();
  void Rebuild();

  const distribution::view& view_;
  const interface_settings& settings_;
  std::optional<core::revision> checked_at_;
  fingerprint built_from_;
  std::vector<grant> grants_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_ACCESS_H_
