#ifndef MANGOPLANK_SRC_CONSENSUS_CODEC_H_
#define MANGOPLANK_SRC_CONSENSUS_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mangoplank/consensus/messages.h"

/// Byte format of the data folder and of membership entries: little-endian
/// integers, byte strings with a 32-bit length.
namespace mangoplank::consensus {

class byte_writer {
 public:
  void U8(std::uint8_t v) { out_.push_back(static_cast<char>(v)); }
  void U32(std::uint32_t v) { Integer(v, 4); }
  void U64(std::uint64_t v) { Integer(v, 8); }
  void Bytes(std::string_view v);
  std::string& Out() { return out_; }

 private:
  void Integer(std::uint64_t v, int bytes);

  std::string out_;
};

/// Reads what byte_writer wrote. After a read past the end, `Good` is false and
/// all reads return zero or nothing.
class byte_reader {
 public:
  explicit byte_reader(std::string_view in) : in_(in) {}
  std::uint8_t U8() { return static_cast<std::uint8_t>(Integer(1)); }
  std::uint32_t U32() { return static_cast<std::uint32_t>(Integer(4)); }
  std::uint64_t U64() { return Integer(8); }
  std::string_view Bytes();
  bool Good() const { return good_; }
  bool AtEnd() const { return in_.empty(); }

 private:
  std::uint64_t Integer(std::size_t bytes);

  std::string_view in_;
  bool good_ = true;
};

/// @return CRC-32C of the data.
std::uint32_t Checksum(std::string_view data);

std::string EncodeMembers(const membership& m);
/// @return nothing if the data is malformed.
std::optional<membership> DecodeMembers(std::string_view data,
                                        core::revision at);

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_CODEC_H_
