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

/// @return the settings of the log member.
consensus::node_settings NodeSettings(const settings::values& v);
leader_settings LeaderSettings(const settings::values& v);
entry_server_settings EntryServerSettings(const settings::values& v);

}  // namespace mangoplank::control

#endif  // MANGOPLANK_CONTROL_OPTIONS_H_
