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

/// Strict reading and writing of JSON objects. A type names its members once,
/// in a function `Fields(v, t)` that both directions call.
namespace mangoplank::api {

namespace json = boost::json;

using field_errors = std::vector<core::field_error>;

/// A name and a value of an enumeration.
template <class E>
using word = std::pair<std::string_view, E>;

/// Words of an enumeration `E`, found by overload on a null pointer to E.
template <class E>
concept worded = requires {
  Words(static_cast<E*>(nullptr));
};

template <worded E>
std::string_view WordOf(E e) {
  for (const auto& [name, value] : Words(static_cast<E*>(nullptr))) {
    if (value == e) return name;
  }
  return "unknown";
}

template <worded E>
std::optional<E> FromWord(std::string_view text) {
  for (const auto& [name, value] : Words(static_cast<E*>(nullptr))) {
    if (name == text) return value;
  }
  return std::nullopt;
}

/// Reads one JSON object, member by member. Members that are absent or null
/// keep the value that the target has.
class object_reader {
 public:
  /// @param path of the object, empty at the top.
  object_reader(const json::value& v, std::string path, field_errors& errors)
      : object_(v.if_object()), path_(std::move(path)), errors_(errors) {
    if (object_ == nullptr) Report(path_, "must be an object");
  }

  template <class T>
  void operator()(std::string_view name, T& out) {
    known_.insert(name);
    if (object_ == nullptr) return;
    const json::value* const v = object_->if_contains(name);
    if (v == nullptr || v->is_null()) return;
    Read(*v, PathOf(name), out);
  }

  /// Reports a member that must be there but is absent.
  void Require(std::string_view name) {
    if (object_ == nullptr) return;
    const json::value* const v = object_->if_contains(name);
    if (v == nullptr || v->is_null()) Report(PathOf(name), "is required");
  }

  /// Accepts a member without reading it.
  void Skip(std::string_view name) { known_.insert(name); }

  /// @return the member, or nullptr.
  const json::value* Raw(std::string_view name) {
    known_.insert(name);
    return object_ == nullptr ? nullptr : object_->if_contains(name);
  }

  /// Reports the members that were not asked for.
  void Finish() {
    if (object_ == nullptr) return;
    for (const auto& member : *object_) {
      const std::string_view name = member.key();
      if (!known_.contains(name)) Report(PathOf(name), "unknown field");
    }
  }

  std::string PathOf(std::string_view name) const {
    // A name from outside may be as long as a body.
    const std::string_view shown = name.substr(0, 64);
    return path_.empty() ? std::string(shown)
                         : fmt::format("{}.{}", path_, shown);
  }

 private:
  void Report(std::string path, std::string reason) {
    // A body may hold a million wrong fields; the first ones suffice.
    constexpr std::size_t kMostErrors = 32;
    if (errors_.size() >= kMostErrors) return;
    errors_.push_back(core::field_error{std::move(path), std::move(reason)});
  }

  template <std::integral T>
  void Read(const json::value& v, const std::string& path, T& out) {
    const bool fits = v.is_int64()    ? std::in_range<T>(v.get_int64())
                      : v.is_uint64() ? std::in_range<T>(v.get_uint64())
                                      : false;
    if (fits) {
      out = v.is_int64() ? static_cast<T>(v.get_int64())
                         : static_cast<T>(v.get_uint64());
      return;
    }
    Report(path, fmt::format("must be a whole number from {} to {}",
                             std::numeric_limits<T>::min(),
                             std::numeric_limits<T>::max()));
  }

  void Read(const json::value& v, const std::string& path, bool& out) {
    if (const bool* const b = v.if_bool()) {
      out = *b;
    } else {
      Report(path, "must be true or false");
    }
  }

  void Read(const json::value& v, const std::string& path, std::string& out) {
    if (const json::string* const s = v.if_string()) {
      out.assign(s->data(), s->size());
    } else {
      Report(path, "must be a string");
    }
  }

  template <class Tag>
  void Read(const json::value& v, const std::string& path,
            core::named_id<Tag>& out) {
    Read(v, path, out.v);
  }

  void Read(const json::value& v, const std::string& path,
            core::milliseconds& out) {
    // Leaves room to convert to nanoseconds and to add to a time.
    constexpr std::int64_t kMost = std::int64_t{1} << 40;
    std::int64_t count = 0;
    Read(v, path, count);
    if (count < 0 || count > kMost) {
      Report(path, fmt::format("must be from 0 to {}", kMost));
      return;
    }
    out = core::milliseconds(count);
  }

  template <worded E>
  void Read(const json::value& v, const std::string& path, E& out) {
    const json::string* const s = v.if_string();
    const auto e = s ? FromWord<E>(std::string_view(s->data(), s->size()))
                     : std::optional<E>();
    if (e) {
      out = *e;
      return;
    }
    std::string all;
    for (const auto& [name, value] : Words(static_cast<E*>(nullptr))) {
      all += fmt::format("{}{}", all.empty() ? "" : ", ", name);
    }
    Report(path, "must be one of: " + all);
  }

  template <class T>
  void Read(const json::value& v, const std::string& path,
            std::optional<T>& out) {
    Read(v, path, out.emplace());
  }

  template <class T>
  void Read(const json::value& v, const std::string& path,
            std::vector<T>& out) {
    const json::array* const a = v.if_array();
    if (a == nullptr) {
      Report(path, "must be a list");
      return;
    }
    out.clear();
    for (std::size_t i = 0; i < a->size(); ++i) {
      Read((*a)[i], fmt::format("{}[{}]", path, i), out.emplace_back());
    }
  }

  void Read(const json::value& v, const std::string& path,
            std::map<std::string, std::string>& out) {
    const json::object* const o = v.if_object();
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
  requires requires(object_reader& r, T& t) { Fields(r, t); }
  void Read(const json::value& v, const std::string& path, T& out) {
    object_reader inner(v, path, errors_);
    Fields(inner, out);
    inner.Finish();
  }

  const json::object* object_;
  std::string path_;
  field_errors& errors_;
  std::set<std::string_view> known_;
};

/// Writes one JSON object, member by member. Optional members without a value
/// are left out.
class object_writer {
 public:
  template <class T>
  void operator()(std::string_view name, const T& v) {
    Put(name, v);
  }
  void Require(std::string_view) {}

  json::object Take() { return std::move(object_); }

  static json::value Value(bool v) { return v; }
  static json::value Value(double v) { return v; }
  template <std::signed_integral T>
  static json::value Value(T v) {
    return std::int64_t{v};
  }
  template <std::unsigned_integral T>
  static json::value Value(T v) {
    return std::uint64_t{v};
  }
  static json::value Value(const std::string& v) { return json::string(v); }
  template <class Tag>
  static json::value Value(const core::named_id<Tag>& v) {
    return json::string(v.v);
  }
  static json::value Value(core::milliseconds v) {
    return std::int64_t{v.count()};
  }
  template <worded E>
  static json::value Value(E e) {
    return json::string(WordOf(e));
  }
  template <class T>
  static json::value Value(const std::vector<T>& all) {
    json::array a;
    for (const T& v : all) a.push_back(Value(v));
    return a;
  }
  static json::value Value(const std::map<std::string, std::string>& all) {
    json::object o;
    for (const auto& [name, v] : all) o[name] = json::string(v);
    return o;
  }
  template <class T>
  requires requires(object_writer& w, const T& t) { Fields(w, t); }
  static json::value Value(const T& t) {
    object_writer inner;
    Fields(inner, t);
    return inner.Take();
  }

 private:
  template <class T>
  void Put(std::string_view name, const T& v) {
    object_[name] = Value(v);
  }
  template <class T>
  void Put(std::string_view name, const std::optional<T>& v) {
    if (v) Put(name, *v);
  }

  json::object object_;
};

}  // namespace mangoplank::api

#endif  // MANGOPLANK_API_JSON_FIELDS_H_
