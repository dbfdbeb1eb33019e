#include "consensus/codec.h"

#include <boost/crc.hpp>

namespace mangoplank::consensus {

void byte_writer::Integer(std::uint64_t v, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    out_.push_back(static_cast<char>(v >> (8 * i)));
  }
}

void byte_writer::Bytes(std::string_view v) {
  U32(static_cast<std::uint32_t>(v.size()));
  out_.append(v);
}

std::uint64_t byte_reader::Integer(std::size_t bytes) {
  if (in_.size() < bytes) {
    good_ = false;
    in_ = {};
    return 0;
  }
  std::uint64_t v = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    v |= std::uint64_t{static_cast<unsigned char>(in_[i])} << (8 * i);
  }
  in_.remove_prefix(bytes);
  return v;
}

std::string_view byte_reader::Bytes() {
  const std::size_t size = U32();
  if (in_.size() < size) {
    good_ = false;
    in_ = {};
    return {};
  }
  const std::string_view v = in_.substr(0, size);
  in_.remove_prefix(size);
  return v;
}

std::uint32_t Checksum(std::string_view data) {
  boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
  crc.process_bytes(data.data(), data.size());
  return crc.checksum();
}

std::string EncodeMembers(const membership& m) {
  byte_writer w;
  w.U32(static_cast<std::uint32_t>(m.members.size()));
  for (const member& one : m.members) {
    w.Bytes(one.id.v);
    w.Bytes(one.address.address);
    w.U32(one.address.port);
    w.U8(one.voter ? 1 : 0);
    w.U64(one.disk);
  }
  return std::move(w.Out());
}

std::optional<membership> DecodeMembers(std::string_view data,
                                        core::revision at) {
  byte_reader r(data);
  membership m{at, {}};
  for (std::uint32_t left = r.U32(); left > 0 && r.Good(); --left) {
    member one;
    one.id.v = std::string(r.Bytes());
    one.address.address = std::string(r.Bytes());
    one.address.port = static_cast<std::uint16_t>(r.U32());
    one.voter = r.U8() != 0;
    one.disk = r.U64();
    m.members.push_back(std::move(one));
  }
  if (!r.Good() || !r.AtEnd()) return std::nullopt;
  return m;
}

}  // namespace mangoplank::consensus
