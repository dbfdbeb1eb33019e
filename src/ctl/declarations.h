#ifndef MANGOPLANK_CTL_DECLARATIONS_H_
#define MANGOPLANK_CTL_DECLARATIONS_H_

#include <boost/json.hpp>
#include <string>
#include <vector>

#include "api/json_codec.h"

namespace mangoplank::ctl {

/// A declaration and its source, for example `jobs.json[2]`.
struct loaded_declaration {
  std::string source;
  api::declaration declaration;
  friend bool operator==(const loaded_declaration&,
                         const loaded_declaration&) = default;
};

/// Reads a file, or all files `*.json` of a folder and its sub-folders. A file
/// contains one declaration or a list of them. Fields get the server's checks,
/// so that an invalid file is rejected before anything is sent.
/// @param department for declarations that specify none.
/// @return the declarations, departments first, or invalid_request whose
/// field names begin with the name of the file.
core::outcome<std::vector<loaded_declaration>> LoadDeclarations(
    const std::string& path, const std::string& department);

/// @return one line for each difference: `+ path: value`, `- path: value` or
/// `~ path: old -> new`.
std::vector<std::string> ListDifferences(const boost::json::value& before,
                                         const boost::json::value& after,
                                         const std::string& path);

}  // namespace mangoplank::ctl

#endif  // MANGOPLANK_CTL_DECLARATIONS_H_
