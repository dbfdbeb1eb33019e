#ifndef MANGOPLANK_CTL_OUTPUT_H_
#define MANGOPLANK_CTL_OUTPUT_H_

#include <boost/json.hpp>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "mangoplank/cell/objects.h"

namespace mangoplank::ctl {

/// Rows of text in aligned columns; the first row is the header.
using table = std::vector<std::vector<std::string>>;

void PrintTable(std::ostream& out, const table& rows);

/// @param path member names separated by dots, for example `spec.tasks`.
/// @return the value as text, `-` if there is none.
std::string TextAt(const boost::json::value& value, std::string_view path);

/// @return the integer at `path`, 0 if there is none.
std::int64_t NumberAt(const boost::json::value& value, std::string_view path);

/// @return the columns of a kind, one row for each object.
table MakeObjectTable(cell::object_kind kind,
                      const boost::json::array& objects);

/// Prints each member on a line of its own, indented by its depth.
void PrintIndented(std::ostream& out, const boost::json::value& value,
                   int depth = 0);

/// @return the text for terminals, with `?` for control characters.
std::string Printable(std::string_view text);

}  // namespace mangoplank::ctl

#endif  // MANGOPLANK_CTL_OUTPUT_H_
