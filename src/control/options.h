#ifndef MANGOPLANK_CONTROL_OPTIONS_H_
#define MANGOPLANK_CONTROL_OPTIONS_H_

#include <vector>

#include "mangoplank/consensus/node.h"
#include "mangoplank/control/entry_server.h"
#include "mangoplank/control/leader.h"
#include "mangoplank/settings/settings.h"

namespace mangoplank::control {

/// Settings of mangoplank-control, declared once.
std::vector<settings::option> Options();

/// @return the settings of this member of the log.
consensus::node_settings NodeSettings(const settings::values& values);
leader_settings LeaderSettings(const settings::values& values);
entry_server_settings EntryServerSettings(const settings::values& values);

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_OPTIONS_H_
