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

std::optional<std::array<unsigned char, kDigestBytes>> FromHex(
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

// @return the token of "Bearer TOKEN", or an empty text.
std::string_view TokenOf(std::string_view header) {
  constexpr std::string_view kScheme = "bearer ";
  constexpr std::size_t kMostBytes = 512;
  if (header.size() > kMostBytes || header.size() <= kScheme.size()) return {};
  const std::string_view scheme = header.substr(0, kScheme.size());
  if (!boost::beast::iequals(scheme, kScheme)) return {};
  return header.substr(kScheme.size());
}

std::optional<core::failure> RefusalOfMember(const department_member& m,
                                             const access_need& need) {
  const bool elsewhere =
      !need.department.v.empty() && need.department != m.department;
  if (elsewhere) return core::not_found{"department"};
  const core::forbidden refused{std::string(WordOf(m.r))};
  switch (need.l) {
    case access_need::level::kRead:
      return std::nullopt;
    case access_need::level::kOperate:
      if (m.r == cell::role::kViewer) return refused;
      return std::nullopt;
    case access_need::level::kAdminister:
    case access_need::level::kAnnounce:
      break;
  }
  return refused;
}

}  // namespace

core::department_id DepartmentOf(const principal& p) {
  const auto* const m = std::get_if<department_member>(&p);
  return m == nullptr ? core::department_id{} : m->department;
}

std::string NameOf(const principal& p) {
  return std::visit(
      overloaded{[](const cell_admin&) { return std::string("cell admin"); },
                 [](const worker_agent&) { return std::string("worker"); },
                 [](const department_member& m) {
                   return fmt::format("{}/{}", m.department.v, m.grant);
                 }},
      p);
}

std::optional<core::failure> RefusalOf(const principal& p,
                                       const access_need& need) {
  const bool announces = need.l == access_need::level::kAnnounce;
  return std::visit(
      overloaded{
          [&](const cell_admin&) -> std::optional<core::failure> {
            if (announces) return core::forbidden{"cell admin"};
            return std::nullopt;
          },
          [&](const worker_agent&) -> std::optional<core::failure> {
            if (!announces) return core::forbidden{"worker"};
            return std::nullopt;
          },
          [&](const department_member& m) { return RefusalOfMember(m, need); }},
      p);
}

authority::authority(const distribution::view& view,
                     const interface_settings& settings)
    : view_(view), settings_(settings) {}

void authority::Add(std::string_view hex, principal p) {
  const auto bytes = FromHex(hex);
  if (!bytes) return;
  grant g;
  std::memcpy(g.d.data(), bytes->data(), kDigestBytes);
  g.p = std::move(p);
  grants_.push_back(std::move(g));
}

void authority::Rebuild() {
  grants_.clear();
  Add(settings_.admin_token_sha256, cell_admin{});
  Add(settings_.worker_token_sha256, worker_agent{});
  const cell::object_key first{cell::object_kind::kDepartment, {}, ""};
  for (auto it = view_.Objects().lower_bound(first);
       it != view_.Objects().end(); ++it) {
    if (it->first.kind != cell::object_kind::kDepartment) break;
    const auto& spec = std::get<cell::department_spec>(it->second.spec);
    for (const cell::token_grant& g : spec.tokens) {
      Add(g.sha256, department_member{core::department_id{it->first.name},
                                      g.role, g.name});
    }
  }
}

void authority::Refresh() {
  if (checked_at_ == view_.Revision()) return;
  fingerprint now;
  const cell::object_key first{cell::object_kind::kDepartment, {}, ""};
  for (auto it = view_.Objects().lower_bound(first);
       it != view_.Objects().end(); ++it) {
    if (it->first.kind != cell::object_kind::kDepartment) break;
    ++now.count;
    now.newest = std::max(now.newest, it->second.version);
  }
  if (!checked_at_ || !(now == built_from_)) Rebuild();
  built_from_ = now;
  checked_at_ = view_.Revision();
}

std::optional<principal> authority::Find(std::string_view header) {
  Refresh();
  const std::string_view token = TokenOf(header);
  if (token.empty()) return std::nullopt;
  std::array<unsigned char, kDigestBytes> bytes{};
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(),
         bytes.data());
  digest sought{};
  std::memcpy(sought.data(), bytes.data(), kDigestBytes);
  // The loop has no branch on secret data; `found` is 0 or an index plus one.
  std::size_t found = 0;
  // It runs from the end, so that the first of several equal grants is chosen.
  for (std::size_t i = grants_.size(); i-- > 0;) {
    const digest& d = grants_[i].d;
    const std::uint64_t differs = (d[0] ^ sought[0]) | (d[1] ^ sought[1]) |
                                  (d[2] ^ sought[2]) | (d[3] ^ sought[3]);
    const std::uint64_t nonzero = (differs | (0 - differs)) >> 63;
    const std::uint64_t mask = nonzero - 1;
    found = (mask & (i + 1)) | (~mask & found);
  }
  if (found == 0 || found > grants_.size()) return std::nullopt;
  return grants_[found - 1].p;
}

}  // namespace mangoplank::api
