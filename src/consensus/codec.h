#ifndef MANGOPLANK_SRC_CONSENSUS_CODEC_H_
#define MANGOPLANK_SRC_CONSENSUS_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mangoplank/consensus/messages.h"

/// Byte format of the data folder and of membership entries: little-endian
/// integers, and byte strings prefixed with a 32-bit length.
namespace mangoplank::consensus {

class byte_writer {
 public:
  void U8(std::uint8_t value) { out_.push_back(static_cast<char>(value)); }
  void U32(std::uint32_t value) { Integer(value, 4); }
  void U64(std::uint64_t value) { Integer(value, 8); }
  void Bytes(std::string_view value);
  std::string& Out() { return out_; }

 private:
  void Integer(std::uint64_t value, int bytes);

  std::string out_;
};

/// Reads the output of byte_writer. After a read past the end, IsValid is false
/// and all reads return zero or an empty string.
class byte_reader {
 public:
  explicit byte_reader(std::string_view in) : in_(in) {}
  std::uint8_t U8() { return static_cast<std::uint8_t>(Integer(1)); }
  std::uint32_t U32() { return static_cast<std::uint32_t>(Integer(4)); }
  std::uint64_t U64() { return Integer(8); }
  std::string_view Bytes();
  bool IsValid() const { return valid_; }
  bool AtEnd() const { return in_.empty(); }

 private:
  std::uint64_t Integer(std::size_t bytes);

  std::string_view in_;
  bool valid_ = true;
};

/// @return CRC-32C of the data.
std::uint32_t Checksum(std::string_view data);

std::string EncodeMembership(const membership& membership);
/// @return nothing if the data is malformed.
std::optional<membership> DecodeMembership(std::string_view data,
                                           core::revision revision);

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_CODEC_H_
