#ifndef MANGOPLANK_CTL_DECLARATIONS_H_
#define MANGOPLANK_CTL_DECLARATIONS_H_

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "api/json_codec.h"

namespace mangoplank::ctl {

/// A declaration and where it was read.
struct declared {
  std::string file;
  api::declaration d;
  friend bool operator==(const declared&, const declared&) = default;
};

/// Reads a file, or all files `*.json` of a folder and its sub-folders. A file
/// holds one declaration or a list of them. Fields are checked as the server
/// checks them, so that a wrong file is found before anything is sent.
/// @param department of declarations that name none.
/// @return the declarations, departments first, or invalid_request whose
/// fields begin with the name of the file.
core::outcome<std::vector<declared>> LoadDeclarations(
    const std::string& path, const std::string& department);

/// @return one line for each difference: `+ path: value`, `- path: value` or
/// `~ path: old -> new`.
std::vector<std::string> Differences(const boost::json::value& before,
                                     const boost::json::value& after,
                                     const std::string& path);

}  // namespace mangoplank::ctl

#endif  // MANGOPLANK_CTL_DECLARATIONS_H_
