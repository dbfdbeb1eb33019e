#include "digest.h"

#include <string_view>

namespace mangoplank::cell {

namespace {

/// FNV-1a, 64 bits (G. Fowler, L. Noll, K.-P. Vo, draft-eastlake-fnv).
class hasher {
 public:
  void Add(std::string_view text) {
    Add(static_cast<std::uint64_t>(text.size()));
    for (const char c : text) AddByte(static_cast<unsigned char>(c));
  }
  void Add(std::uint64_t number) {
    for (int i = 0; i < 8; ++i) AddByte((number >> (8 * i)) & 0xff);
  }
  void Add(std::int64_t number) { Add(static_cast<std::uint64_t>(number)); }
  void Add(bool flag) { AddByte(flag ? 1 : 0); }
  template <class E>
  requires std::is_enum_v<E>
  void Add(E value) { Add(static_cast<std::uint64_t>(value)); }
  template <class Tag>
  void Add(const core::named_id<Tag>& id) {
    Add(std::string_view(id.v));
  }
  void Add(core::milliseconds ms) { Add(std::int64_t{ms.count()}); }
  template <class T>
  void Add(const std::optional<T>& value) {
    Add(value.has_value());
    if (value) Add(*value);
  }
  template <class T>
  void Add(const std::vector<T>& list) {
    Add(static_cast<std::uint64_t>(list.size()));
    for (const T& item : list) Add(item);
  }
  void Add(const core::resources& amount) {
    Add(amount.cpu_milli);
    Add(amount.memory_mib);
    Add(amount.accelerators);
  }
  void Add(const object_key& key) {
    Add(key.kind);
    Add(key.department);
    Add(std::string_view(key.name));
  }
  void Add(const constraints& where) {
    Add(where.region);
    Add(where.spread);
    Add(where.one_region);
  }
  void Add(const operation& declared) {
    Add(std::string_view(declared.name));
    Add(declared.idempotent);
    Add(declared.deadline);
  }
  void Add(const token_grant& token) {
    Add(std::string_view(token.name));
    Add(std::string_view(token.sha256));
    Add(token.role);
  }
  void Add(const service_spec& spec) {
    Add(spec.replicas);
    Add(spec.need);
    Add(spec.urgency);
    Add(spec.where);
    Add(spec.operations);
    Add(std::string_view(spec.program));
    Add(spec.max_unavailable);
  }
  void Add(const batch_job_spec& spec) {
    AddJob(spec);
    Add(spec.checkpoint);
  }
  void Add(const gang_job_spec& spec) { AddJob(spec); }
  void Add(const department_spec& spec) {
    Add(spec.weight);
    Add(spec.quota);
    Add(spec.parent);
    Add(spec.tokens);
  }
  void Add(const worker_spec& spec) { Add(spec.drain); }
  void Add(const configuration_spec& spec) {
    for (const auto& [name, value] : spec.values) {
      Add(std::string_view(name));
      Add(std::string_view(value));
    }
  }
  void Add(const object_spec& any_spec) {
    Add(static_cast<std::uint64_t>(any_spec.index()));
    std::visit([this](const auto& spec) { Add(spec); }, any_spec);
  }
  std::uint64_t Value() const { return hash_; }

 private:
  template <class Job>
  void AddJob(const Job& spec) {
    Add(spec.tasks);
    Add(spec.need);
    Add(spec.urgency);
    Add(spec.where);
    Add(spec.run_time);
    Add(spec.max_retries);
    Add(spec.idempotent);
    Add(std::string_view(spec.program));
  }
  void AddByte(std::uint64_t byte) {
    constexpr std::uint64_t kPrime = 0x100000001b3;
    hash_ = (hash_ ^ byte) * kPrime;
  }

  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325;
  std::uint64_t hash_ = kOffsetBasis;
};

}  // namespace

std::uint64_t Digest(const command_body& body) {
  hasher digest;
  digest.Add(static_cast<std::uint64_t>(body.index()));
  std::visit(core::overloaded{[&](const put_object& c) {
                                digest.Add(c.key);
                                digest.Add(c.spec);
                                digest.Add(c.expected);
                                digest.Add(c.create_only);
                                digest.Add(c.replace_only);
                              },
                              [&](const delete_object& c) {
                                digest.Add(c.key);
                                digest.Add(c.expected);
                              },
                              [&](const cancel_job& c) { digest.Add(c.key); },
                              // Commands of the system carry no request id.
                              [](const auto&) {}},
             body);
  return digest.Value();
}

}  // namespace mangoplank::cell
