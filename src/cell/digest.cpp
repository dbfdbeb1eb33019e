#include "digest.h"

#include <string_view>

namespace mangoplank::cell {

namespace {

/// FNV-1a, 64 bits (G. Fowler, L. Noll, K.-P. Vo, draft-eastlake-fnv).
class hasher {
 public:
  void Add(std::string_view s) {
    Add(static_cast<std::uint64_t>(s.size()));
    for (const char c : s) AddByte(static_cast<unsigned char>(c));
  }
  void Add(std::uint64_t n) {
    for (int i = 0; i < 8; ++i) AddByte((n >> (8 * i)) & 0xff);
  }
  void Add(std::int64_t n) { Add(static_cast<std::uint64_t>(n)); }
  void Add(bool b) { AddByte(b ? 1 : 0); }
  template <class E>
  requires std::is_enum_v<E>
  void Add(E e) { Add(static_cast<std::uint64_t>(e)); }
  template <class Tag>
  void Add(const core::named_id<Tag>& id) {
    Add(std::string_view(id.v));
  }
  void Add(core::milliseconds ms) { Add(std::int64_t{ms.count()}); }
  template <class T>
  void Add(const std::optional<T>& v) {
    Add(v.has_value());
    if (v) Add(*v);
  }
  template <class T>
  void Add(const std::vector<T>& list) {
    Add(static_cast<std::uint64_t>(list.size()));
    for (const T& item : list) Add(item);
  }
  void Add(const core::resources& r) {
    Add(r.cpu_milli);
    Add(r.memory_mib);
    Add(r.accelerators);
  }
  void Add(const object_key& k) {
    Add(k.kind);
    Add(k.department);
    Add(std::string_view(k.name));
  }
  void Add(const constraints& c) {
    Add(c.region);
    Add(c.spread);
    Add(c.one_region);
  }
  void Add(const operation& o) {
    Add(std::string_view(o.name));
    Add(o.idempotent);
    Add(o.deadline);
  }
  void Add(const token_grant& t) {
    Add(std::string_view(t.name));
    Add(std::string_view(t.sha256));
    Add(t.role);
  }
  void Add(const service_spec& s) {
    Add(s.replicas);
    Add(s.need);
    Add(s.urgency);
    Add(s.where);
    Add(s.operations);
    Add(std::string_view(s.program));
    Add(s.max_unavailable);
  }
  void Add(const batch_job_spec& s) {
    AddJob(s);
    Add(s.checkpoint);
  }
  void Add(const gang_job_spec& s) { AddJob(s); }
  void Add(const department_spec& s) {
    Add(s.weight);
    Add(s.quota);
    Add(s.parent);
    Add(s.tokens);
  }
  void Add(const worker_spec& s) { Add(s.drain); }
  void Add(const configuration_spec& s) {
    for (const auto& [name, value] : s.values) {
      Add(std::string_view(name));
      Add(std::string_view(value));
    }
  }
  void Add(const object_spec& s) {
    Add(static_cast<std::uint64_t>(s.index()));
    std::visit([this](const auto& spec) { Add(spec); }, s);
  }
  std::uint64_t Value() const { return hash_; }

 private:
  template <class Job>
  void AddJob(const Job& s) {
    Add(s.tasks);
    Add(s.need);
    Add(s.urgency);
    Add(s.where);
    Add(s.run_time);
    Add(s.max_retries);
    Add(s.idempotent);
    Add(std::string_view(s.program));
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
  hasher h;
  h.Add(static_cast<std::uint64_t>(body.index()));
  std::visit(core::overloaded{[&](const put_object& c) {
                                h.Add(c.key);
                                h.Add(c.spec);
                                h.Add(c.expected);
                                h.Add(c.create_only);
                                h.Add(c.replace_only);
                              },
                              [&](const delete_object& c) {
                                h.Add(c.key);
                                h.Add(c.expected);
                              },
                              [&](const cancel_job& c) { h.Add(c.key); },
                              // The system's own commands carry no request id.
                              [](const auto&) {}},
             body);
  return h.Value();
}

}  // namespace mangoplank::cell
