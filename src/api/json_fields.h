#ifndef MANGOPLANK_API_JSON_FIELDS_H_
#define MANGOPLANK_API_JSON_FIELDS_H_

#include <fmt/format.h>

#include <boost/json.hpp>
#include <concepts>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "mangoplank/core/failure.h"

/// Strict reading and writing of JSON objects. A type lists its members once,
/// in a function `VisitFields(visitor, value)` that both directions call.
namespace mangoplank::api {

namespace json = boost::json;

using field_errors = std::vector<core::field_error>;

/// A name and a value of an enumeration.
template <class E>
using enum_name = std::pair<std::string_view, E>;

/// Names of an enumeration `E`, found by overload on a null pointer to E.
template <class E>
concept has_enum_names = requires {
  EnumNames(static_cast<E*>(nullptr));
};

template <has_enum_names E>
std::string_view EnumName(E value) {
  for (const auto& [name, named] : EnumNames(static_cast<E*>(nullptr))) {
    if (named == value) return name;
  }
  return "unknown";
}

template <has_enum_names E>
std::optional<E> ParseEnumName(std::string_view text) {
  for (const auto& [name, value] : EnumNames(static_cast<E*>(nullptr))) {
    if (name == text) return value;
  }
  return std::nullopt;
}

/// Reads one JSON object, member by member. Absent or null members leave the
/// value of the target unchanged.
class object_reader {
 public:
  /// @param path of the object in its document, empty for the root.
  object_reader(const json::value& value, std::string path,
                field_errors& errors)
      : object_(value.if_object()), path_(std::move(path)), errors_(errors) {
    if (object_ == nullptr) Report(path_, "must be an object");
  }

  template <class T>
  void operator()(std::string_view name, T& out) {
    accepted_names_.insert(name);
    if (object_ == nullptr) return;
    const json::value* const v = object_->if_contains(name);
    if (v == nullptr || v->is_null()) return;
    Read(*v, PathOf(name), out);
  }

  /// Reports an error if a required member is absent or null.
  void Require(std::string_view name) {
    if (object_ == nullptr) return;
    const json::value* const v = object_->if_contains(name);
    if (v == nullptr || v->is_null()) Report(PathOf(name), "is required");
  }

  /// Accepts a member without reading it.
  void Skip(std::string_view name) { accepted_names_.insert(name); }

  /// @return the member, or nullptr if it is absent.
  const json::value* FindMember(std::string_view name) {
    accepted_names_.insert(name);
    return object_ == nullptr ? nullptr : object_->if_contains(name);
  }

  /// Reports the members that were neither read nor skipped.
  void ReportUnknownMembers() {
    if (object_ == nullptr) return;
    for (const auto& member : *object_) {
      const std::string_view name = member.key();
      if (!accepted_names_.contains(name))
        Report(PathOf(name), "unknown field");
    }
  }

  std::string PathOf(std::string_view name) const {
    // A name in a request may be as long as its body.
    const std::string_view shown = name.substr(0, 64);
    return path_.empty() ? std::string(shown)
                         : fmt::format("{}.{}", path_, shown);
  }

 private:
  void Report(std::string path, std::string reason) {
    // A body may have a million invalid fields; the first ones suffice.
    constexpr std::size_t kMaxErrors = 32;
    if (errors_.size() >= kMaxErrors) return;
    errors_.push_back(core::field_error{std::move(path), std::move(reason)});
  }

  template <std::integral T>
  void Read(const json::value& value, const std::string& path, T& out) {
    const bool fits = value.is_int64()    ? std::in_range<T>(value.get_int64())
                      : value.is_uint64() ? std::in_range<T>(value.get_uint64())
                                          : false;
    if (fits) {
      out = value.is_int64() ? static_cast<T>(value.get_int64())
                             : static_cast<T>(value.get_uint64());
      return;
    }
    Report(path, fmt::format("must be a whole number from {} to {}",
                             std::numeric_limits<T>::min(),
                             std::numeric_limits<T>::max()));
  }

  void Read(const json::value& value, const std::string& path, bool& out) {
    if (const bool* const b = value.if_bool()) {
      out = *b;
    } else {
      Report(path, "must be true or false");
    }
  }

  void Read(const json::value& value, const std::string& path,
            std::string& out) {
    if (const json::string* const s = value.if_string()) {
      out.assign(s->data(), s->size());
    } else {
      Report(path, "must be a string");
    }
  }

  template <class Tag>
  void Read(const json::value& value, const std::string& path,
            core::named_id<Tag>& out) {
    Read(value, path, out.v);
  }

  void Read(const json::value& value, const std::string& path,
            core::milliseconds& out) {
    // Leaves headroom to convert to nanoseconds and to add to a time point.
    constexpr std::int64_t kMaxMilliseconds = std::int64_t{1} << 40;
    std::int64_t count = 0;
    Read(value, path, count);
    if (count < 0 || count > kMaxMilliseconds) {
      Report(path, fmt::format("must be from 0 to {}", kMaxMilliseconds));
      return;
    }
    out = core::milliseconds(count);
  }

  template <has_enum_names E>
  void Read(const json::value& value, const std::string& path, E& out) {
    const json::string* const s = value.if_string();
    const auto e = s ? ParseEnumName<E>(std::string_view(s->data(), s->size()))
                     : std::optional<E>();
    if (e) {
      out = *e;
      return;
    }
    std::string all;
    for (const auto& [name, unused] : EnumNames(static_cast<E*>(nullptr))) {
      all += fmt::format("{}{}", all.empty() ? "" : ", ", name);
    }
    Report(path, "must be one of: " + all);
  }

  template <class T>
  void Read(const json::value& value, const std::string& path,
            std::optional<T>& out) {
    Read(value, path, out.emplace());
  }

  template <class T>
  void Read(const json::value& value, const std::string& path,
            std::vector<T>& out) {
    const json::array* const a = value.if_array();
    if (a == nullptr) {
      Report(path, "must be a list");
      return;
    }
    out.clear();
    for (std::size_t i = 0; i < a->size(); ++i) {
      Read((*a)[i], fmt::format("{}[{}]", path, i), out.emplace_back());
    }
  }

  void Read(const json::value& value, const std::string& path,
            std::map<std::string, std::string>& out) {
    const json::object* const o = value.if_object();
    if (o == nullptr) {
      Report(path, "must be an object of strings");
      return;
    }
    out.clear();
    for (const auto& member : *o) {
      const std::string name = member.key();
      Read(member.value(), fmt::format("{}.{}", path, name.substr(0, 64)),
           out[name]);
    }
  }

  template <class T>
  requires requires(object_reader& r, T& t) { VisitFields(r, t); }
  void Read(const json::value& value, const std::string& path, T& out) {
    object_reader inner(value, path, errors_);
    VisitFields(inner, out);
    inner.ReportUnknownMembers();
  }

  const json::object* object_;
  std::string path_;
  field_errors& errors_;
  std::set<std::string_view> accepted_names_;
};

/// Writes one JSON object, member by member. Optional members without a value
/// are omitted.
class object_writer {
 public:
  template <class T>
  void operator()(std::string_view name, const T& value) {
    Put(name, value);
  }
  void Require(std::string_view) {}

  json::object Release() { return std::move(object_); }

  static json::value Value(bool value) { return value; }
  static json::value Value(double value) { return value; }
  template <std::signed_integral T>
  static json::value Value(T value) {
    return std::int64_t{value};
  }
  template <std::unsigned_integral T>
  static json::value Value(T value) {
    return std::uint64_t{value};
  }
  static json::value Value(const std::string& value) {
    return json::string(value);
  }
  template <class Tag>
  static json::value Value(const core::named_id<Tag>& value) {
    return json::string(value.v);
  }
  static json::value Value(core::milliseconds value) {
    return std::int64_t{value.count()};
  }
  template <has_enum_names E>
  static json::value Value(E value) {
    return json::string(EnumName(value));
  }
  template <class T>
  static json::value Value(const std::vector<T>& values) {
    json::array a;
    for (const T& value : values) a.push_back(Value(value));
    return a;
  }
  static json::value Value(const std::map<std::string, std::string>& values) {
    json::object o;
    for (const auto& [name, value] : values) o[name] = json::string(value);
    return o;
  }
  template <class T>
  requires requires(object_writer& w, const T& t) { VisitFields(w, t); }
  static json::value Value(const T& value) {
    object_writer inner;
    VisitFields(inner, value);
    return inner.Release();
  }

 private:
  template <class T>
  void Put(std::string_view name, const T& value) {
    object_[name] = Value(value);
  }
  template <class T>
  void Put(std::string_view name, const std::optional<T>& value) {
    if (value) Put(name, *value);
  }

  json::object object_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_JSON_FIELDS_H_
