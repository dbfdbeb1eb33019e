#ifndef MANGOPLANK_CELL_DIGEST_H_
#define MANGOPLANK_CELL_DIGEST_H_

#include <cstdint>

#include "mangoplank/cell/command.h"

namespace mangoplank::cell {

/// @return a hash of what a client asked for, the same in every process and
/// version, so that a request id that is used for something else is noticed.
std::uint64_t Digest(const command_body& body);

}  // namespace mangoplank::cell

#endif  // MANGOPLANK_CELL_DIGEST_H_
