#include "consensus/store.h"

#include <fmt/format.h>
#include <spdlog/spdlog.h>

#include <algorithm>

#include "consensus/codec.h"

namespace mangoplank::consensus {

namespace {

using kind = core::storage_failed::kind;

constexpr char kHeaderName[] = "header";
constexpr char kSnapshotPrefix[] = "snapshot-";
constexpr char kSegmentPrefix[] = "log-";
constexpr std::uint32_t kHeaderMagic = 0x4d50'4844;
constexpr std::uint32_t kSnapshotMagic = 0x4d50'534e;
constexpr std::uint32_t kFrameMagic = 0x4d50'4c46;
constexpr std::size_t kFrameHeaderBytes = 16;
// Smallest unit that a disk writes whole.
constexpr std::size_t kSectorBytes = 512;
// A shorter run of zeros at a sector boundary may be part of a record.
constexpr std::size_t kShortestHoleBytes = 16;

enum class record : std::uint8_t { kSegmentStart, kHardState, kEntry, kReset };

boost::leaf::error_id Refuse(kind k, const std::string& path,
                             std::string detail) {
  return core::Fail(core::storage_failed{k, path, std::move(detail)});
}

std::string SnapshotName(core::revision at) {
  return fmt::format("{}{:020}", kSnapshotPrefix, at);
}

std::string SegmentName(std::uint64_t number) {
  return fmt::format("{}{:020}", kSegmentPrefix, number);
}

std::vector<std::string> WithPrefix(const std::vector<std::string>& names,
                                    std::string_view prefix) {
  std::vector<std::string> out;
  for (const std::string& name : names) {
    const bool whole = name.size() == prefix.size() + 20;
    if (whole && name.starts_with(prefix)) out.push_back(name);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::uint64_t NumberOf(const std::string& name) {
  return std::stoull(name.substr(name.size() - 20));
}

std::string Sealed(byte_writer w) {
  w.U32(Checksum(w.Out()));
  return std::move(w.Out());
}

/// @return the body of a file that ends in its checksum.
core::result<std::string_view> Unsealed(const std::string& name,
                                        const std::string& data,
                                        std::uint32_t magic) {
  if (data.size() < 12) return Refuse(kind::kCorrupt, name, "too short");
  const std::string_view body(data.data(), data.size() - 4);
  byte_reader stored(std::string_view(data).substr(body.size()));
  if (stored.U32() != Checksum(body)) {
    return Refuse(kind::kCorrupt, name, "checksum does not match");
  }
  byte_reader r(body);
  if (r.U32() != magic) return Refuse(kind::kCorrupt, name, "wrong file type");
  const std::uint32_t version = r.U32();
  if (version > store::kVersion) {
    return Refuse(kind::kNewerVersion, name,
                  fmt::format("format version {}", version));
  }
  return body.substr(8);
}

std::string Frame(std::string_view payload) {
  byte_writer w;
  w.U32(kFrameMagic);
  w.U32(static_cast<std::uint32_t>(payload.size()));
  w.U32(Checksum(payload));
  w.U32(Checksum(w.Out()));
  w.Out().append(payload);
  return std::move(w.Out());
}

void PutHardState(byte_writer& w, const hard_state& h) {
  w.U8(static_cast<std::uint8_t>(record::kHardState));
  w.U64(h.t);
  w.Bytes(h.vote.v);
}

void PutEntry(byte_writer& w, const log_entry& e) {
  w.U8(static_cast<std::uint8_t>(record::kEntry));
  w.U64(e.at);
  w.U64(e.t);
  w.U8(static_cast<std::uint8_t>(e.k));
  w.Bytes(e.data);
}

void PutSegmentStart(byte_writer& w, std::uint64_t number,
                     core::revision snapshot_at) {
  w.U8(static_cast<std::uint8_t>(record::kSegmentStart));
  w.U32(store::kVersion);
  w.U64(number);
  w.U64(snapshot_at);
}

struct frame_view {
  std::string_view payload;
  /// End of the frame as its header states it; nothing if the header is bad.
  std::optional<std::size_t> end;
  bool good = false;
};

frame_view ReadFrame(std::string_view data, std::size_t from) {
  const std::string_view rest = data.substr(from);
  if (rest.size() < kFrameHeaderBytes) return {};
  byte_reader r(rest.substr(0, kFrameHeaderBytes));
  const std::uint32_t magic = r.U32();
  const std::uint32_t size = r.U32();
  const std::uint32_t payload_sum = r.U32();
  const bool header_good = r.U32() == Checksum(rest.substr(0, 12));
  if (magic != kFrameMagic || !header_good) return {};
  const std::size_t end = from + kFrameHeaderBytes + size;
  if (end > data.size()) return {{}, end, false};
  const std::string_view payload = rest.substr(kFrameHeaderBytes, size);
  return {payload, end, Checksum(payload) == payload_sum};
}

/// @return whether a sector's part of the range is all zeros, as where a write
/// did not reach the disk.
bool HasHole(std::string_view data, std::size_t from, std::size_t to,
             std::size_t shortest) {
  while (from < to) {
    const std::size_t sector_end = (from / kSectorBytes + 1) * kSectorBytes;
    const std::size_t end = std::min(to, sector_end);
    const std::string_view part = data.substr(from, end - from);
    const bool zeros = part.find_first_not_of('\0') == std::string_view::npos;
    if (zeros && part.size() >= shortest) return true;
    from = end;
  }
  return false;
}

/// A bad last frame is torn if the file ends inside it or a sector of it was
/// never written. A frame that is complete but for a changed bit is not: it
/// may have been acknowledged.
bool IsTorn(std::string_view data, std::size_t from, const frame_view& f) {
  if (f.end && *f.end > data.size()) return true;
  if (f.end && *f.end < data.size()) return false;
  if (data.size() - from < kFrameHeaderBytes) return true;
  // Without a good header the file may end anywhere in the frame, also shortly
  // after a sector that was not written.
  const std::size_t shortest = f.end ? kShortestHoleBytes : 1;
  return HasHole(data, from, data.size(), shortest);
}

}  // namespace

/// What has been read of the segments so far.
struct store::scan {
  recovered& out;
  std::uint64_t expected_number = 0;
  core::revision needs_snapshot = 0;
  core::revision last = 0;
};

store::store(disk& files, core::cell_id cell, core::member_id self)
    : files_(files), cell_(std::move(cell)), self_(std::move(self)) {}

core::result<bool> store::Exists() {
  BOOST_LEAF_AUTO(names, files_.List());
  return std::find(names.begin(), names.end(), kHeaderName) != names.end();
}

core::result<void> store::Create(std::uint64_t disk_id,
                                 const std::vector<member>& members) {
  BOOST_LEAF_AUTO(names, files_.List());
  // Files without a header are left from a creation that did not finish.
  for (const std::string& name : names) {
    if (name == kHeaderName) {
      return Refuse(kind::kOtherCell, name, "the folder is in use");
    }
    BOOST_LEAF_CHECK(files_.Remove(name));
  }
  const snapshot empty{0, 0, membership{0, members},
                       std::make_shared<const std::string>()};
  BOOST_LEAF_CHECK(WriteSnapshot(empty));
  byte_writer first;
  PutSegmentStart(first, 1, 0);
  BOOST_LEAF_CHECK(files_.Append(SegmentName(1), Frame(first.Out())));
  BOOST_LEAF_CHECK(files_.Sync(SegmentName(1)));
  byte_writer header;
  header.U32(kHeaderMagic);
  header.U32(kVersion);
  header.Bytes(cell_.v);
  header.Bytes(self_.v);
  header.U64(disk_id);
  return files_.Replace(kHeaderName, Sealed(std::move(header)));
}

core::result<std::uint64_t> store::ReadHeader() {
  BOOST_LEAF_AUTO(data, files_.Read(kHeaderName));
  BOOST_LEAF_AUTO(body, Unsealed(kHeaderName, data, kHeaderMagic));
  byte_reader r(body);
  const core::cell_id cell{std::string(r.Bytes())};
  const core::member_id self{std::string(r.Bytes())};
  const std::uint64_t disk_id = r.U64();
  if (!r.Good()) return Refuse(kind::kCorrupt, kHeaderName, "too short");
  if (cell != cell_ || self != self_) {
    return Refuse(kind::kOtherCell, kHeaderName,
                  fmt::format("belongs to {} of cell {}", self.v, cell.v));
  }
  return disk_id;
}

core::result<recovered> store::Open() {
  BOOST_LEAF_AUTO(found, Exists());
  if (!found) {
    return Refuse(kind::kIo, kHeaderName,
                  "no data folder; it is made only on request");
  }
  recovered out;
  BOOST_LEAF_ASSIGN(out.disk, ReadHeader());
  BOOST_LEAF_AUTO(names, files_.List());
  BOOST_LEAF_CHECK(ReadSnapshots(names, out));
  BOOST_LEAF_CHECK(ReadSegments(names, out));
  hard_ = out.hard;
  return out;
}

core::result<snapshot> store::ReadSnapshotFile(const std::string& name) {
  BOOST_LEAF_AUTO(data, files_.Read(name));
  BOOST_LEAF_AUTO(body, Unsealed(name, data, kSnapshotMagic));
  byte_reader r(body);
  snapshot s;
  s.at = r.U64();
  s.at_term = r.U64();
  const core::revision members_at = r.U64();
  const auto members = DecodeMembers(r.Bytes(), members_at);
  s.data = std::make_shared<const std::string>(r.Bytes());
  if (!r.Good() || !members || s.at != NumberOf(name)) {
    return Refuse(kind::kCorrupt, name, "malformed snapshot");
  }
  s.members = *members;
  return s;
}

core::result<void> store::ReadSnapshots(const std::vector<std::string>& names,
                                        recovered& out) {
  const auto files = WithPrefix(names, kSnapshotPrefix);
  if (files.empty()) {
    return Refuse(kind::kMissingSnapshot, kSnapshotPrefix, "no snapshot");
  }
  snapshots_.clear();
  for (const std::string& name : files) snapshots_.push_back(NumberOf(name));
  BOOST_LEAF_ASSIGN(out.last_snapshot, ReadSnapshotFile(files.back()));
  return {};
}

core::result<void> store::ReadSegments(const std::vector<std::string>& names,
                                       recovered& out) {
  const auto files = WithPrefix(names, kSegmentPrefix);
  if (files.empty()) return Refuse(kind::kCorrupt, kSegmentPrefix, "no log");
  segments_.clear();
  scan s{out, NumberOf(files.front()), 0, 0};
  for (const std::string& name : files) {
    const std::uint64_t number = NumberOf(name);
    if (number != s.expected_number) {
      return Refuse(kind::kCorrupt, SegmentName(s.expected_number),
                    "segment is missing");
    }
    ++s.expected_number;
    s.last = 0;
    BOOST_LEAF_CHECK(ReadSegment(name, name == files.back(), s));
    segments_.push_back({number, s.last});
  }
  if (s.needs_snapshot > out.last_snapshot.at) {
    return Refuse(kind::kMissingSnapshot, SnapshotName(s.needs_snapshot),
                  "the log continues a snapshot that is not there");
  }
  // Entries up to the snapshot are not needed. Those after it belong to it only
  // if the entry at the snapshot is the same.
  const core::revision at = out.last_snapshot.at;
  auto& entries = out.entries;
  const bool reaches = !entries.empty() && entries.back()->at >= at;
  const bool from_snapshot = reaches && entries.front()->at == at + 1;
  if (!from_snapshot) {
    const auto same =
        std::find_if(entries.begin(), entries.end(), [&](const entry_ptr& e) {
          return e->at == at && e->t == out.last_snapshot.at_term;
        });
    const bool starts_late = reaches && entries.front()->at > at + 1;
    if (starts_late) {
      return Refuse(kind::kMissingSnapshot,
                    SnapshotName(entries.front()->at - 1),
                    "the log starts after the last snapshot");
    }
    entries.erase(entries.begin(), same == entries.end() ? same : same + 1);
  }
  return {};
}

core::result<void> store::ReadSegment(const std::string& name, bool last,
                                      scan& s) {
  BOOST_LEAF_AUTO(data, files_.Read(name));
  std::size_t from = 0;
  while (from < data.size()) {
    const frame_view f = ReadFrame(data, from);
    if (!f.good) {
      if (!last || !IsTorn(data, from, f)) {
        return Refuse(kind::kCorrupt, name,
                      fmt::format("bad frame at offset {}", from));
      }
      return CutTail(name, from, data.size());
    }
    BOOST_LEAF_CHECK(ApplyFrame(name, f.payload, s));
    from = *f.end;
  }
  return {};
}

core::result<void> store::CutTail(const std::string& name, std::uint64_t from,
                                  std::uint64_t size) {
  spdlog::warn("{}: cut {} bytes of a write that was never acknowledged", name,
               size - from);
  BOOST_LEAF_CHECK(files_.Truncate(name, from));
  return files_.Sync(name);
}

core::result<void> store::ApplyFrame(const std::string& name,
                                     std::string_view payload, scan& s) {
  byte_reader r(payload);
  auto& entries = s.out.entries;
  while (!r.AtEnd()) {
    const auto type = static_cast<record>(r.U8());
    if (type == record::kSegmentStart) {
      if (r.U32() > kVersion) return Refuse(kind::kNewerVersion, name, "");
      const bool same = r.U64() == NumberOf(name);
      s.needs_snapshot = std::max(s.needs_snapshot, r.U64());
      if (!same) return Refuse(kind::kCorrupt, name, "segment was renamed");
    } else if (type == record::kHardState) {
      s.out.hard.t = r.U64();
      s.out.hard.vote.v = std::string(r.Bytes());
    } else if (type == record::kReset) {
      entries.clear();
    } else if (type == record::kEntry) {
      log_entry e;
      e.at = r.U64();
      e.t = r.U64();
      e.k = static_cast<entry_kind>(r.U8());
      e.data = std::string(r.Bytes());
      while (!entries.empty() && entries.back()->at >= e.at) entries.pop_back();
      if (!entries.empty() && entries.back()->at + 1 != e.at) {
        return Refuse(kind::kCorrupt, name, "gap between entries");
      }
      s.last = std::max(s.last, e.at);
      entries.push_back(std::make_shared<const log_entry>(std::move(e)));
    } else {
      return Refuse(kind::kCorrupt, name, "unknown record");
    }
    if (!r.Good()) return Refuse(kind::kCorrupt, name, "record too short");
  }
  return {};
}

core::result<void> store::WriteSnapshot(const snapshot& s) {
  byte_writer w;
  w.U32(kSnapshotMagic);
  w.U32(kVersion);
  w.U64(s.at);
  w.U64(s.at_term);
  w.U64(s.members.at);
  w.Bytes(EncodeMembers(s.members));
  w.Bytes(*s.data);
  BOOST_LEAF_CHECK(files_.Replace(SnapshotName(s.at), Sealed(std::move(w))));
  std::erase(snapshots_, s.at);
  snapshots_.push_back(s.at);
  return {};
}

core::result<void> store::Write(const write_batch& batch) {
  if (batch.hard) hard_ = *batch.hard;
  byte_writer w;
  if (batch.new_snapshot) {
    // The snapshot is durable before the segment that needs it exists, and
    // older files go only after that segment is durable.
    BOOST_LEAF_CHECK(WriteSnapshot(*batch.new_snapshot));
    segments_.push_back({segments_.back().number + 1, 0});
    PutSegmentStart(w, segments_.back().number, batch.new_snapshot->at);
    if (batch.discard_log) w.U8(static_cast<std::uint8_t>(record::kReset));
  }
  if (batch.hard || batch.new_snapshot) PutHardState(w, hard_);
  segment& current = segments_.back();
  for (const entry_ptr& e : batch.entries) {
    PutEntry(w, *e);
    current.last = std::max(current.last, e->at);
  }
  const std::string name = SegmentName(current.number);
  BOOST_LEAF_CHECK(files_.Append(name, Frame(w.Out())));
  BOOST_LEAF_CHECK(files_.Sync(name));
  if (!batch.new_snapshot) return {};
  return RemoveOld(batch.new_snapshot->at, batch.discard_log);
}

core::result<void> store::RemoveOld(core::revision snapshot_at,
                                    bool all_segments) {
  // Segments go in order, so that those that remain have no gap.
  while (segments_.size() > 1 &&
         (all_segments || segments_.front().last <= snapshot_at)) {
    BOOST_LEAF_CHECK(files_.Remove(SegmentName(segments_.front().number)));
    segments_.erase(segments_.begin());
  }
  for (const core::revision at : snapshots_) {
    if (at != snapshot_at) BOOST_LEAF_CHECK(files_.Remove(SnapshotName(at)));
  }
  snapshots_ = {snapshot_at};
  return {};
}

core::result<std::string> store::ReadSnapshot(core::revision at) {
  BOOST_LEAF_AUTO(s, ReadSnapshotFile(SnapshotName(at)));
  return *s.data;
}

}  // namespace mangoplank::consensus
