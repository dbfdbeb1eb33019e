#ifndef MANGOPLANK_ENTRY_OPTIONS_H_
#define MANGOPLANK_ENTRY_OPTIONS_H_

#include <vector>

#include "mangoplank/settings/settings.h"

namespace mangoplank::entry {

/// @return the settings of mangoplank-entry.
std::vector<settings::option> Options();

}  // namespace mangoplank::entry

#endif  // MANGOPLANK_ENTRY_OPTIONS_H_
