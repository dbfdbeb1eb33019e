#include "consensus/codec.h"

#include <boost/crc.hpp>

namespace mangoplank::consensus {

void byte_writer::Integer(std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    out_.push_back(static_cast<char>(value >> (8 * i)));
  }
}

void byte_writer::Bytes(std::string_view value) {
  U32(static_cast<std::uint32_t>(value.size()));
  out_.append(value);
}

std::uint64_t byte_reader::Integer(std::size_t bytes) {
  if (in_.size() < bytes) {
    valid_ = false;
    in_ = {};
    return 0;
  }
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value |= std::uint64_t{static_cast<unsigned char>(in_[i])} << (8 * i);
  }
  in_.remove_prefix(bytes);
  return value;
}

std::string_view byte_reader::Bytes() {
  const std::size_t size = U32();
  if (in_.size() < size) {
    valid_ = false;
    in_ = {};
    return {};
  }
  const std::string_view value = in_.substr(0, size);
  in_.remove_prefix(size);
  return value;
}

std::uint32_t Checksum(std::string_view data) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(data.data(), data.size());
  return crc.checksum();
}

std::string EncodeMembership(const membership& membership) {
  byte_writer writer;
  writer.U32(static_cast<std::uint32_t>(membership.members.size()));
  for (const member& member : membership.members) {
    writer.Bytes(member.id.v);
    writer.Bytes(member.address.address);
    writer.U32(member.address.port);
    writer.U8(member.voter ? 1 : 0);
    writer.U64(member.disk_id);
  }
  return std::move(writer.Out());
}

std::optional<membership> DecodeMembership(std::string_view data,
                                           core::revision revision) {
  byte_reader reader(data);
  membership decoded{revision, {}};
  for (std::uint32_t left = reader.U32(); left > 0 && reader.IsValid();
       --left) {
    member added;
    added.id.v = std::string(reader.Bytes());
    added.address.address = std::string(reader.Bytes());
    added.address.port = static_cast<std::uint16_t>(reader.U32());
    added.voter = reader.U8() != 0;
    added.disk_id = reader.U64();
    decoded.members.push_back(std::move(added));
  }
  if (!reader.IsValid() || !reader.AtEnd()) return std::nullopt;
  return decoded;
}

}  // namespace mangoplank::consensus
