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

/// A line `key = value` and its line number.
struct assignment {
  std::string section;
  std::string key;
  std::string value;
  int line = 0;
};

std::string_view Trim(std::string_view text) {
  const auto first = text.find_first_not_of(" \t\r");
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

/// Finds the line of each key, which PropertyTree's parser does not report. The
/// values come from PropertyTree.
std::map<std::pair<std::string, std::string>, int> LocateKeys(
    std::string_view text) {
  std::map<std::pair<std::string, std::string>, int> lines;
  std::string section;
  int number = 0;
  std::istringstream in{std::string(text)};
  for (std::string line; std::getline(in, line);) {
    ++number;
    const std::string_view trimmed = Trim(line);
    if (trimmed.empty() || trimmed.front() == ';' || trimmed.front() == '#') {
      continue;
    }
    if (trimmed.front() == '[') {
      section = Trim(trimmed.substr(1, trimmed.find(']') - 1));
      continue;
    }
    const std::string key(Trim(trimmed.substr(0, trimmed.find('='))));
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
  for (assignment& entry : found) {
    const auto it = lines.find({entry.section, entry.key});
    if (it != lines.end()) entry.line = it->second;
  }
  return found;
}

const option* FindOption(const std::vector<option>& options,
                         const assignment& entry) {
  for (const option& declared : options) {
    if (declared.section == entry.section &&
        (declared.key == entry.key || declared.key.empty())) {
      return &declared;
    }
  }
  return nullptr;
}

std::string DescribeRange(const integer_option& type) {
  return fmt::format("must be a whole number from {} to {}{}{}", type.min,
                     type.max, type.unit.empty() ? "" : " ", type.unit);
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
  // The parser of addresses stops at a NUL.
  const bool has_nul = address.find('\0') != std::string::npos;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, parsed] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (ec || has_nul || parsed != std::errc() ||
      end != digits.data() + digits.size()) {
    return Fail(error);
  }
  return core::endpoint{std::move(address), port};
}

/// Converts assignments into validated values.
class parser {
 public:
  parser(const std::vector<option>& options, std::string file)
      : options_(options), file_(std::move(file)) {}

  result<values> Run(std::string_view text) {
    BOOST_LEAF_AUTO(found, ReadAssignments(text, file_));
    values_.file_ = file_;
    SetDefaults();
    for (const assignment& entry : found) BOOST_LEAF_CHECK(Set(entry));
    BOOST_LEAF_CHECK(CheckRequired(found));
    return std::move(values_);
  }

 private:
  void SetDefaults() {
    for (const option& declared : options_) {
      std::visit(core::overloaded{
                     [&](const integer_option& type) {
                       Store(declared, type.default_value);
                     },
                     [&](const text_option& type) {
                       Store(declared, std::string(type.default_value));
                     },
                     [&](const flag_option& type) {
                       Store(declared, type.default_value);
                     },
                     [&](const choice_option& type) {
                       Store(declared, std::string(type.default_value));
                     },
                     [&](const endpoint_option& type) {
                       const auto endpoint = core::Capture(
                           [&] { return ParseEndpoint(type.default_value); });
                       Store(declared, endpoint ? *endpoint : core::endpoint{});
                     },
                     [&](const endpoint_table_option&) {
                       Store(declared, std::map<std::string, core::endpoint>());
                     }},
                 declared.type);
    }
  }

  template <class T>
  void Store(const option& declared, T value) {
    values_
        .values_[{std::string(declared.section), std::string(declared.key)}] =
        std::move(value);
  }

  result<void> Set(const assignment& entry) {
    const option* declared = FindOption(options_, entry);
    if (declared == nullptr) return Reject(entry, "unknown key");
    return std::visit(
        [&](const auto& type) { return Assign(*declared, type, entry); },
        declared->type);
  }

  result<void> Assign(const option& declared, const integer_option& type,
                      const assignment& entry) {
    std::int64_t number = 0;
    const char* const end = entry.value.data() + entry.value.size();
    const auto parsed = std::from_chars(entry.value.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < type.min ||
        number > type.max) {
      return Reject(entry, DescribeRange(type));
    }
    Store(declared, number);
    return {};
  }

  result<void> Assign(const option& declared, const text_option& type,
                      const assignment& entry) {
    if (entry.value.size() > type.max_bytes) {
      return Reject(entry,
                    fmt::format("must be at most {} bytes", type.max_bytes));
    }
    Store(declared, entry.value);
    return {};
  }

  result<void> Assign(const option& declared, const flag_option&,
                      const assignment& entry) {
    if (entry.value != "true" && entry.value != "false") {
      return Reject(entry, "must be true or false");
    }
    Store(declared, entry.value == "true");
    return {};
  }

  result<void> Assign(const option& declared, const choice_option& type,
                      const assignment& entry) {
    if (std::find(type.allowed.begin(), type.allowed.end(), entry.value) ==
        type.allowed.end()) {
      return Reject(entry, fmt::format("must be one of: {}",
                                       fmt::join(type.allowed, ", ")));
    }
    Store(declared, entry.value);
    return {};
  }

  result<void> Assign(const option& declared, const endpoint_option&,
                      const assignment& entry) {
    BOOST_LEAF_AUTO(endpoint, ReadEndpoint(entry));
    Store(declared, endpoint);
    return {};
  }

  result<void> Assign(const option& declared, const endpoint_table_option&,
                      const assignment& entry) {
    BOOST_LEAF_AUTO(endpoint, ReadEndpoint(entry));
    auto& stored = values_.values_[{std::string(declared.section),
                                    std::string(declared.key)}];
    std::get<std::map<std::string, core::endpoint>>(stored)[entry.key] =
        endpoint;
    return {};
  }

  result<core::endpoint> ReadEndpoint(const assignment& entry) {
    const auto endpoint =
        core::Capture([&] { return ParseEndpoint(entry.value); });
    if (!endpoint) return Reject(entry, "must be IP-ADDRESS:PORT").error();
    return *endpoint;
  }

  result<void> CheckRequired(const std::vector<assignment>& found) {
    for (const option& declared : options_) {
      const bool required = std::visit(
          core::overloaded{
              [](const text_option& type) { return type.required; },
              [](const endpoint_option& type) { return type.required; },
              [](const auto&) { return false; }},
          declared.type);
      const bool set =
          std::any_of(found.begin(), found.end(), [&](const assignment& entry) {
            return declared.section == entry.section &&
                   declared.key == entry.key;
          });
      if (!required || set) continue;
      return Reject(
          {std::string(declared.section), std::string(declared.key), "", 0},
          "must be set");
    }
    return {};
  }

  result<void> Reject(const assignment& entry, std::string reason) {
    const std::string key =
        entry.section.empty() ? entry.key : entry.section + "." + entry.key;
    return Fail(invalid_setting{file_, entry.line, key, std::move(reason)});
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
  for (const option& declared : options) {
    const auto [default_text, allowed] = std::visit(
        core::overloaded{
            [](const integer_option& type) {
              const std::string unit =
                  type.unit.empty() ? "" : " " + std::string(type.unit);
              return std::pair(
                  fmt::format("{}{}", type.default_value, unit),
                  fmt::format("{} to {}{}", type.min, type.max, unit));
            },
            [](const text_option& type) {
              return std::pair(
                  type.required ? "required"
                                : fmt::format("`{}`", type.default_value),
                  fmt::format("text of at most {} bytes", type.max_bytes));
            },
            [](const flag_option& type) {
              return std::pair(
                  std::string(type.default_value ? "true" : "false"),
                  std::string("true, false"));
            },
            [](const endpoint_option& type) {
              return std::pair(type.required
                                   ? "required"
                                   : fmt::format("`{}`", type.default_value),
                               std::string("IP address and port"));
            },
            [](const choice_option& type) {
              return std::pair(
                  std::string(type.default_value),
                  fmt::format("{}", fmt::join(type.allowed, ", ")));
            },
            [](const endpoint_table_option&) {
              return std::pair(std::string("empty"),
                               std::string("`name = IP-ADDRESS:PORT` lines"));
            }},
        declared.type);
    table += fmt::format("| {} | {} | {} | {} | {} |\n", declared.section,
                         declared.key.empty() ? "*name*" : declared.key,
                         default_text, allowed, declared.help);
  }
  return table;
}

}  // namespace mangoplank::settings
