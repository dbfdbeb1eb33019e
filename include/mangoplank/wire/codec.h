#ifndef MANGOPLANK_WIRE_CODEC_H_
#define MANGOPLANK_WIRE_CODEC_H_

#include <string>
#include <string_view>

#include "mangoplank/cell/state.h"
#include "mangoplank/consensus/messages.h"
#include "mangoplank/control/messages.h"
#include "mangoplank/core/failure.h"
#include "mangoplank/workflow/messages.h"
#include "mangoplank/workflow/state.h"

/// Encoding of values as Cap'n Proto messages. A decoder accepts any bytes: it
/// returns the given failure if they are not a message of its type, and
/// allocates memory in proportion to their size (see kMemoryFactor).
namespace mangoplank::wire {

/// Bound of the memory for the lists of a decoded value, as a multiple of the
/// encoded size. Valid messages stay below 20: a removed task takes
/// 32 bytes in a message and the size of the largest alternative of
/// cell::change, about 600 bytes, as a value.
inline constexpr std::size_t kMemoryFactor = 32;

/// First frame that each side sends on a link between control processes.
struct peer_hello {
  core::cell_id cell;
  core::member_id member;
  /// Id of the member's data directory; 0 if not known yet.
  std::uint64_t disk_id = 0;
  std::uint32_t version = 1;

  friend bool operator==(const peer_hello&, const peer_hello&) = default;
};

std::string Encode(const cell::command& value);
std::string Encode(const cell::state_image& value);
std::string Encode(const consensus::message& value);
std::string Encode(const consensus::membership& value);
std::string Encode(const control::message& value);
std::string Encode(const peer_hello& value);
std::string Encode(const std::vector<workflow::event>& value);
std::string Encode(const workflow::state::image& value);
std::string Encode(const workflow::message& value);

/// @return the failure for a message from a peer that can't be decoded.
inline core::failure Malformed(std::string peer = {}) {
  using core::connection_failed;
  return connection_failed{connection_failed::kind::kMalformed,
                           std::move(peer)};
}

/// @param malformed failure for bytes that are not a command; storage_failed
/// with kCorrupt where they come from a file.
core::result<cell::command> DecodeCommand(
    std::string_view bytes, const core::failure& malformed = Malformed());
/// @param malformed as for DecodeCommand.
core::result<cell::state_image> DecodeStateImage(
    std::string_view bytes, const core::failure& malformed = Malformed());
/// @param malformed as for DecodeCommand.
core::result<consensus::membership> DecodeMembership(
    std::string_view bytes, const core::failure& malformed = Malformed());
/// @param malformed as for DecodeCommand.
core::result<consensus::message> DecodeConsensusMessage(
    std::string_view bytes, const core::failure& malformed = Malformed());
/// @param malformed as for DecodeCommand.
core::result<control::message> DecodeControlMessage(
    std::string_view bytes, const core::failure& malformed = Malformed());

/// @param malformed as for DecodeCommand.
core::result<std::vector<workflow::event>> DecodeWorkflowEvents(
    std::string_view bytes, const core::failure& malformed = Malformed());
/// @param malformed as for DecodeCommand.
core::result<workflow::state::image> DecodeWorkflowImage(
    std::string_view bytes, const core::failure& malformed = Malformed());
/// @param malformed as for DecodeCommand.
core::result<workflow::message> DecodeWorkflowMessage(
    std::string_view bytes, const core::failure& malformed = Malformed());

/// @param malformed as for DecodeCommand.
core::result<peer_hello> DecodePeerHello(
    std::string_view bytes, const core::failure& malformed = Malformed());

}  // namespace mangoplank::wire

#endif  // MANGOPLANK_WIRE_CODEC_H_
