#include "api/access.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <boost/beast/core/string.hpp>
#include <cstring>
#include <utility>

#include "api/json_schema.h"

namespace mangoplank::api {

namespace {

using core::overloaded;

constexpr std::size_t kDigestBytes = 32;

std::optional<std::array<unsigned char, kDigestBytes>> DigestFromHex(
    std::string_view hex) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  if (hex.size() != 2 * kDigestBytes) return std::nullopt;
  std::array<unsigned char, kDigestBytes> out{};
  for (std::size_t i = 0; i < hex.size(); ++i) {
    const std::size_t digit = kDigits.find(hex[i]);
    if (digit == std::string_view::npos) return std::nullopt;
    out[i / 2] = static_cast<unsigned char>(out[i / 2] * 16 + digit);
  }
  return out;
}

// @return the token in "Bearer TOKEN", or an empty string.
std::string_view TokenOf(std::string_view header) {
  constexpr std::string_view kScheme = "bearer ";
  constexpr std::size_t kMaxBytes = 512;
  if (header.size() > kMaxBytes || header.size() <= kScheme.size()) return {};
  const std::string_view scheme = header.substr(0, kScheme.size());
  if (!boost::beast::iequals(scheme, kScheme)) return {};
  return header.substr(kScheme.size());
}

std::optional<core::failure> CheckMemberAccess(
    const department_member& member, const required_access& required) {
  const bool is_other_department = !required.department.v.empty() &&
                                   required.department != member.department;
  if (is_other_department) return core::not_found{"department"};
  const core::forbidden refused{std::string(EnumName(member.role))};
  switch (required.level) {
    case required_access::access_level::kRead:
      return std::nullopt;
    case required_access::access_level::kOperate:
      if (member.role == cell::role::kViewer) return refused;
      return std::nullopt;
    case required_access::access_level::kAdminister:
    case required_access::access_level::kAnnounce:
      break;
  }
  return refused;
}

}  // namespace

core::department_id DepartmentOf(const api::principal& principal) {
  const auto* const member = std::get_if<department_member>(&principal);
  return member == nullptr ? core::department_id{} : member->department;
}

std::string NameOf(const api::principal& principal) {
  return std::visit(
      overloaded{[](const cell_admin&) { return std::string("cell admin"); },
                 [](const worker_agent&) { return std::string("worker"); },
                 [](const department_member& m) {
                   return fmt::format("{}/{}", m.department.v, m.grant);
                 }},
      principal);
}

std::optional<core::failure> CheckAccess(const api::principal& principal,
                                         const required_access& required) {
  const bool announces =
      required.level == required_access::access_level::kAnnounce;
  return std::visit(
      overloaded{[&](const cell_admin&) -> std::optional<core::failure> {
                   if (announces) return core::forbidden{"cell admin"};
                   return std::nullopt;
                 },
                 [&](const worker_agent&) -> std::optional<core::failure> {
                   if (!announces) return core::forbidden{"worker"};
                   return std::nullopt;
                 },
                 [&](const department_member& m) {
                   return CheckMemberAccess(m, required);
                 }},
      principal);
}

authenticator::authenticator(const distribution::view& view,
                             const interface_settings& settings)
    : view_(view), settings_(settings) {}

void authenticator::AddGrant(std::string_view hex_digest, principal holder) {
  const auto bytes = DigestFromHex(hex_digest);
  if (!bytes) return;
  grant added;
  std::memcpy(added.token_digest.data(), bytes->data(), kDigestBytes);
  added.holder = std::move(holder);
  grants_.push_back(std::move(added));
}

void authenticator::Rebuild() {
  grants_.clear();
  AddGrant(settings_.admin_token_sha256, cell_admin{});
  AddGrant(settings_.worker_token_sha256, worker_agent{});
  const cell::object_key first{cell::object_kind::kDepartment, {}, ""};
  for (auto it = view_.Objects().lower_bound(first);
       it != view_.Objects().end(); ++it) {
    if (it->first.kind != cell::object_kind::kDepartment) break;
    const auto& spec = std::get<cell::department_spec>(it->second.spec);
    for (const cell::token_grant& g : spec.tokens) {
      AddGrant(g.sha256, department_member{core::department_id{it->first.name},
                                           g.role, g.name});
    }
  }
}

void authenticator::Refresh() {
  if (checked_revision_ == view_.Revision()) return;
  fingerprint current;
  const cell::object_key first{cell::object_kind::kDepartment, {}, ""};
  for (auto it = view_.Objects().lower_bound(first);
       it != view_.Objects().end(); ++it) {
    if (it->first.kind != cell::object_kind::kDepartment) break;
    ++current.count;
    current.newest_version =
        std::max(current.newest_version, it->second.version);
  }
  if (!checked_revision_ || !(current == grants_fingerprint_)) Rebuild();
  grants_fingerprint_ = current;
  checked_revision_ = view_.Revision();
}

std::optional<principal> authenticator::Authenticate(std::string_view header) {
  Refresh();
  const std::string_view token = TokenOf(header);
  if (token.empty()) return std::nullopt;
  std::array<unsigned char, kDigestBytes> bytes{};
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(),
         bytes.data());
  digest token_digest{};
  std::memcpy(token_digest.data(), bytes.data(), kDigestBytes);
  // The loop does not branch on secret data; `found` is 0 or an index plus one.
  std::size_t found = 0;
  // It runs backwards, so that the first of several equal grants is chosen.
  for (std::size_t i = grants_.size(); i-- > 0;) {
    const digest& d = grants_[i].token_digest;
    const std::uint64_t differs =
        (d[0] ^ token_digest[0]) | (d[1] ^ token_digest[1]) |
        (d[2] ^ token_digest[2]) | (d[3] ^ token_digest[3]);
    const std::uint64_t nonzero = (differs | (0 - differs)) >> 63;
    const std::uint64_t mask = nonzero - 1;
    found = (mask & (i + 1)) | (~mask & found);
  }
  if (found == 0 || found > grants_.size()) return std::nullopt;
  return grants_[found - 1].holder;
}

}  // namespace mangoplank::api
