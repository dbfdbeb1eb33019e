#ifndef MANGOPLANK_CONTROL_CONTROL_PROCESS_H_
#define MANGOPLANK_CONTROL_CONTROL_PROCESS_H_

#include "mangoplank/process/program.h"
#include "mangoplank/settings/settings.h"

namespace mangoplank::control {

/// Runs a control process until SIGTERM, SIGINT or a failure.
process::exit_code RunControl(const settings::values& settings);

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_CONTROL_PROCESS_H_
