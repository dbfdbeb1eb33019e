#include "mangoplank/settings/settings.h"

#include <fmt/format.h>

#include <boost/asio/ip/address.hpp>
#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <fstream>
#include <set>
#include <sstream>

namespace mangoplank::settings {

using core::Fail;
using core::invalid_setting;
using core::result;

namespace {

constexpr std::size_t kMaxFileBytes = 1024 * 1024;

/// A line `key = value` and where it stands.
struct assignment {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

std::string_view Trim(std::string_view s) {
  const auto first = s.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) return {};
  return s.substr(first, s.find_last_not_of(" \t\r") - first + 1);
}

/// PropertyTree's parser does not say where a key stands, so the lines are
/// located here; the values come from PropertyTree.
std::map<std::pair<std::string, std::string>, int> LocateKeys(
    std::string_view text) {
  std::map<std::pair<std::string, std::string>, int> lines;
  std::string section;
  int number = 0;
  std::istringstream in{std::string(text)};
  for (std::string line; std::getline(in, line);) {
    ++number;
    const std::string_view t = Trim(line);
    if (t.empty() || t.front() == ';' || t.front() == '#') continue;
    if (t.front() == '[') {
      section = Trim(t.substr(1, t.find(']') - 1));
      continue;
    }
    const std::string key(Trim(t.substr(0, t.find('='))));
    lines.emplace(std::pair(section, key), number);
  }
  return lines;
}

result<std::vector<assignment>> ReadAssignments(std::string_view text,
                                                const std::string& file) {
  boost::property_tree::ptree tree;
  std::istringstream in{std::string(text)};
  try {
    boost::property_tree::read_ini(in, tree);
  } catch (const boost::property_tree::ini_parser_error& e) {
    return Fail(
        invalid_setting{file, static_cast<int>(e.line()), "", e.message()});
  }
  const auto lines = LocateKeys(text);
  std::vector<assignment> found;
  for (const auto& [section, keys] : tree) {
    // A key before the first section has a value but no children.
    if (keys.empty() && !keys.data().empty()) {
      found.push_back({"", section, keys.data(), 0});
      continue;
    }
    for (const auto& [key, value] : keys) {
      found.push_back({section, key, value.data(), 0});
    }
  }
  for (assignment& a : found) {
    const auto it = lines.find({a.section, a.key});
    if (it != lines.end()) a.line = it->second;
  }
  return found;
}

const option* FindOption(const std::vector<option>& options,
                         const assignment& a) {
  for (const option& o : options) {
    if (o.section == a.section && (o.key == a.key || o.key.empty())) return &o;
  }
  return nullptr;
}

std::string AllowedRange(const integer_option& o) {
  return fmt::format("must be a whole number from {} to {}{}{}", o.min, o.max,
                     o.unit.empty() ? "" : " ", o.unit);
}

}  // namespace

result<core::endpoint> ParseEndpoint(std::string_view text) {
  const invalid_setting error{"", 0, "", "must be IP-ADDRESS:PORT"};
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return Fail(error);
  std::string address(text.substr(0, colon));
  if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
    address = address.substr(1, address.size() - 2);
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address(address, ec);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, parsed] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec || parsed != std::errc() || end != digits.data() + digits.size()) {
    return Fail(error);
  }
  return core::endpoint{std::move(address), port};
}

/// Turns assignments into checked values.
class parser {
 public:
  parser(const std::vector<option>& options, std::string file)
      : options_(options), file_(std::move(file)) {}

  result<values> Run(std::string_view text) {
    BOOST_LEAF_AUTO(found, ReadAssignments(text, file_));
    SetFallbacks();
    for (const assignment& a : found) BOOST_LEAF_CHECK(Set(a));
    BOOST_LEAF_CHECK(CheckRequired(found));
    return std::move(values_);
  }

 private:
  void SetFallbacks() {
    for (const option& o : options_) {
      std::visit(
          core::overloaded{
              [&](const integer_option& t) { Store(o, t.fallback); },
              [&](const text_option& t) { Store(o, std::string(t.fallback)); },
              [&](const flag_option& t) { Store(o, t.fallback); },
              [&](const choice_option& t) {
                Store(o, std::string(t.fallback));
              },
              [&](const endpoint_option& t) {
                const auto e =
                    core::Capture([&] { return ParseEndpoint(t.fallback); });
                Store(o, e ? *e : core::endpoint{});
              },
              [&](const endpoint_table_option&) {
                Store(o, std::map<std::string, core::endpoint>());
              }},
          o.type);
    }
  }

  template <class T>
  void Store(const option& o, T value) {
    values_.values_[{std::string(o.section), std::string(o.key)}] =
        std::move(value);
  }

  result<void> Set(const assignment& a) {
    const option* o = FindOption(options_, a);
    if (o == nullptr) return Refuse(a, "unknown key");
    return std::visit([&](const auto& type) { return Assign(*o, type, a); },
                      o->type);
  }

  result<void> Assign(const option& o, const integer_option& t,
                      const assignment& a) {
    std::int64_t n = 0;
    const char* const end = a.value.data() + a.value.size();
    const auto parsed = std::from_chars(a.value.data(), end, n);
    if (parsed.ec != std::errc() || parsed.ptr != end || n < t.min ||
        n > t.max) {
      return Refuse(a, AllowedRange(t));
    }
    Store(o, n);
    return {};
  }

  result<void> Assign(const option& o, const text_option& t,
                      const assignment& a) {
    if (a.value.size() > t.max_bytes) {
      return Refuse(a, fmt::format("must be at most {} bytes", t.max_bytes));
    }
    Store(o, a.value);
    return {};
  }

  result<void> Assign(const option& o, const flag_option&,
                      const assignment& a) {
    if (a.value != "true" && a.value != "false") {
      return Refuse(a, "must be true or false");
    }
    Store(o, a.value == "true");
    return {};
  }

  result<void> Assign(const option& o, const choice_option& t,
                      const assignment& a) {
    if (std::find(t.allowed.begin(), t.allowed.end(), a.value) ==
        t.allowed.end()) {
      return Refuse(
          a, fmt::format("must be one of: {}", fmt::join(t.allowed, ", ")));
    }
    Store(o, a.value);
    return {};
  }

  result<void> Assign(const option& o, const endpoint_option&,
                      const assignment& a) {
    BOOST_LEAF_AUTO(e, EndpointOf(a));
    Store(o, e);
    return {};
  }

  result<void> Assign(const option& o, const endpoint_table_option&,
                      const assignment& a) {
    BOOST_LEAF_AUTO(e, EndpointOf(a));
    auto& stored =
        values_.values_[{std::string(o.section), std::string(o.key)}];
    std::get<std::map<std::string, core::endpoint>>(stored)[a.key] = e;
    return {};
  }

  result<core::endpoint> EndpointOf(const assignment& a) {
    const auto e = core::Capture([&] { return ParseEndpoint(a.value); });
    if (!e) return Refuse(a, "must be IP-ADDRESS:PORT").error();
    return *e;
  }

  result<void> CheckRequired(const std::vector<assignment>& found) {
    for (const option& o : options_) {
      const bool required = std::visit(
          core::overloaded{[](const text_option& t) { return t.required; },
                           [](const endpoint_option& t) { return t.required; },
                           [](const auto&) { return false; }},
          o.type);
      const bool set =
          std::any_of(found.begin(), found.end(), [&](const assignment& a) {
            return o.section == a.section && o.key == a.key;
          });
      if (!required || set) continue;
      return Refuse({std::string(o.section), std::string(o.key), "", 0},
                    "must be set");
    }
    return {};
  }

  result<void> Refuse(const assignment& a, std::string reason) {
    const std::string key = a.section.empty() ? a.key : a.section + "." + a.key;
    return Fail(invalid_setting{file_, a.line, key, std::move(reason)});
  }

  const std::vector<option>& options_;
  std::string file_;
  values values_;
};

const values::value& values::At(std::string_view section,
                                std::string_view key) const {
  return values_.at({std::string(section), std::string(key)});
}

std::int64_t values::Integer(std::string_view section,
                             std::string_view key) const {
  return std::get<std::int64_t>(At(section, key));
}

const std::string& values::Text(std::string_view section,
                                std::string_view key) const {
  return std::get<std::string>(At(section, key));
}

bool values::Flag(std::string_view section, std::string_view key) const {
  return std::get<bool>(At(section, key));
}

core::endpoint values::Endpoint(std::string_view section,
                                std::string_view key) const {
  return std::get<core::endpoint>(At(section, key));
}

core::milliseconds values::Milliseconds(std::string_view section,
                                        std::string_view key) const {
  return core::milliseconds(Integer(section, key));
}

const std::map<std::string, core::endpoint>& values::Table(
    std::string_view section) const {
  return std::get<std::map<std::string, core::endpoint>>(At(section, ""));
}

result<values> Parse(const std::vector<option>& options, std::string_view text,
                     const std::string& file) {
  if (text.size() > kMaxFileBytes) {
    return Fail(invalid_setting{file, 0, "", "file is over 1 MiB"});
  }
  return parser(options, file).Run(text);
}

result<values> Load(const std::vector<option>& options,
                    const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf())) {
    return Fail(core::storage_failed{core::storage_failed::kind::kIo, file,
                                     "can't be read"});
  }
  return Parse(options, text.str(), file);
}

std::string Document(const std::vector<option>& options) {
  std::string table =
      "| section | key | default | allowed | meaning |\n"
      "| --- | --- | --- | --- | --- |\n";
  for (const option& o : options) {
    const auto [fallback, allowed] = std::visit(
        core::overloaded{
            [](const integer_option& t) {
              const std::string unit =
                  t.unit.empty() ? "" : " " + std::string(t.unit);
              return std::pair(fmt::format("{}{}", t.fallback, unit),
                               fmt::format("{} to {}{}", t.min, t.max, unit));
            },
            [](const text_option& t) {
              return std::pair(
                  t.required ? "required" : fmt::format("`{}`", t.fallback),
                  fmt::format("text of at most {} bytes", t.max_bytes));
            },
            [](const flag_option& t) {
              return std::pair(std::string(t.fallback ? "true" : "false"),
                               std::string("true, false"));
            },
            [](const endpoint_option& t) {
              return std::pair(
                  t.required ? "required" : fmt::format("`{}`", t.fallback),
                  std::string("IP address and port"));
            },
            [](const choice_option& t) {
              return std::pair(std::string(t.fallback),
                               fmt::format("{}", fmt::join(t.allowed, ", ")));
            },
            [](const endpoint_table_option&) {
              return std::pair(std::string("empty"),
                               std::string("`name = IP-ADDRESS:PORT` lines"));
            }},
        o.type);
    table += fmt::format("| {} | {} | {} | {} | {} |\n", o.section,
                         o.key.empty() ? "*name*" : o.key, fallback, allowed,
                         o.help);
  }
  return table;
}

}  // namespace mangoplank::settings
