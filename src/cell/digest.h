#ifndef MANGOPLANK_CELL_DIGEST_H_
#define MANGOPLANK_CELL_DIGEST_H_

#include <cstdint>

#include "mangoplank/cell/command.h"

namespace mangoplank::cell {

/// @return a hash of the client's command, the same in every process and
/// version, so that the reuse of a request id for another command is detected.
std::uint64_t Digest(const command_body& body);

}  // namespace mangoplank::cell

#endif  // MANGOPLANK_CELL_DIGEST_H_
