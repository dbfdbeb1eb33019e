#ifndef MANGOPLANK_SETTINGS_SETTINGS_H_
#define MANGOPLANK_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mangoplank/core/failure.h"

/// Settings of a process, read from one INI file.
namespace mangoplank::settings {

/// An integer with bounds and a unit.
struct integer_option {
  std::int64_t default_value = 0;
  std::int64_t min = 0;
  std::int64_t max = 0;
  std::string_view unit;
};
/// Free text. The option must be set if it is `required`.
struct text_option {
  std::string_view default_value;
  bool required = false;
  std::size_t max_bytes = 4096;
};
/// `true` or `false`.
struct flag_option {
  bool default_value = false;
};
/// ADDRESS:PORT with an IP address.
struct endpoint_option {
  std::string_view default_value;
  bool required = false;
};
/// One of a fixed set of words.
struct choice_option {
  std::string_view default_value;
  std::vector<std::string_view> allowed;
};
/// `name = ADDRESS:PORT` lines, one for each entry of the section.
struct endpoint_table_option {};

using option_type =
    std::variant<integer_option, text_option, flag_option, endpoint_option,
                 choice_option, endpoint_table_option>;

/// Declaration of one setting, the source of its checks and documentation.
struct option {
  std::string_view section;
  /// Empty for a table, whose keys are names.
  std::string_view key;
  option_type type;
  std::string_view help;
};

/// Validated content of a settings file.
class values {
 public:
  std::int64_t Integer(std::string_view section, std::string_view key) const;
  const std::string& Text(std::string_view section, std::string_view key) const;
  bool Flag(std::string_view section, std::string_view key) const;
  core::endpoint Endpoint(std::string_view section, std::string_view key) const;
  core::milliseconds Milliseconds(std::string_view section,
                                  std::string_view key) const;
  const std::map<std::string, core::endpoint>& Table(
      std::string_view section) const;
  /// @return the name of the file that they were read from.
  const std::string& File() const { return file_; }

  friend bool operator==(const values&, const values&) = default;

 private:
  friend class parser;
  using value = std::variant<std::int64_t, std::string, bool, core::endpoint,
                             std::map<std::string, core::endpoint>>;
  const value& At(std::string_view section, std::string_view key) const;

  std::map<std::pair<std::string, std::string>, value, std::less<>> values_;
  std::string file_;
};

/// Parses INI text and checks it against the declared options.
/// @param file name of the file in failures.
/// @return the values, or invalid_setting with file, line, key and the allowed
/// range for the first line that is unknown, repeated, malformed or out of
/// range, or for a required option that is not set (line 0).
core::result<values> Parse(const std::vector<option>& options,
                           std::string_view text, const std::string& file);

/// Reads and parses a file.
/// @return as Parse, or storage_failed if the file can't be read.
core::result<values> Load(const std::vector<option>& options,
                          const std::string& file);

/// @return the endpoint for `ADDRESS:PORT`, or invalid_setting.
core::result<core::endpoint> ParseEndpoint(std::string_view text);

/// @return a Markdown table of the options.
std::string Document(const std::vector<option>& options);

}  // namespace mangoplank::settings

#endif  // MANGOPLANK_SETTINGS_SETTINGS_H_
