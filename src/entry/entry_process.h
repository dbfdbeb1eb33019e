#ifndef MANGOPLANK_ENTRY_ENTRY_PROCESS_H_
#define MANGOPLANK_ENTRY_ENTRY_PROCESS_H_

#include "mangoplank/process/program.h"
#include "mangoplank/settings/settings.h"

namespace mangoplank::entry {

/// Runs an entry process until SIGTERM or SIGINT.
process::exit_code RunEntry(const settings::values& values);

}  // namespace mangoplank::entry

#endif  // MANGOPLANK_ENTRY_ENTRY_PROCESS_H_
