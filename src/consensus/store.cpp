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
// Smallest unit that a disk writes atomically.
constexpr std::size_t kSectorBytes = 512;
// A shorter run of zeros at a sector boundary may be part of a valid record.
constexpr std::size_t kMinUnwrittenBytes = 16;

enum class record_type : std::uint8_t {
  kSegmentStart,
  kHardState,
  kEntry,
  kReset
};

boost::leaf::error_id FailWith(kind failure_kind, const std::string& path,
                               std::string detail) {
  return core::Fail(
      core::storage_failed{failure_kind, path, std::move(detail)});
}

std::string SnapshotName(core::revision revision) {
  return fmt::format("{}{:020}", kSnapshotPrefix, revision);
}

std::string SegmentName(std::uint64_t number) {
  return fmt::format("{}{:020}", kSegmentPrefix, number);
}

std::vector<std::string> WithPrefix(const std::vector<std::string>& names,
                                    std::string_view prefix) {
  std::vector<std::string> out;
  for (const std::string& name : names) {
    const bool has_number = name.size() == prefix.size() + 20;
    if (has_number && name.starts_with(prefix)) out.push_back(name);
  }
  std::sort(out.begin(), out.end());
  return out;
}

std::uint64_t NumberOf(const std::string& name) {
  return std::stoull(name.substr(name.size() - 20));
}

std::string WithChecksum(byte_writer writer) {
  writer.U32(Checksum(writer.Out()));
  return std::move(writer.Out());
}

/// @return the body of a file, without its magic, version and checksum.
core::result<std::string_view> ReadVerifiedBody(const std::string& name,
                                                const std::string& data,
                                                std::uint32_t magic) {
  if (data.size() < 12) return FailWith(kind::kCorrupt, name, "too short");
  const std::string_view body(data.data(), data.size() - 4);
  byte_reader stored(std::string_view(data).substr(body.size()));
  if (stored.U32() != Checksum(body)) {
    return FailWith(kind::kCorrupt, name, "checksum does not match");
  }
  byte_reader reader(body);
  if (reader.U32() != magic) {
    return FailWith(kind::kCorrupt, name, "wrong file type");
  }
  const std::uint32_t version = reader.U32();
  if (version > store::kVersion) {
    return FailWith(kind::kNewerVersion, name,
                    fmt::format("format version {}", version));
  }
  return body.substr(8);
}

std::string Frame(std::string_view payload) {
  byte_writer writer;
  writer.U32(kFrameMagic);
  writer.U32(static_cast<std::uint32_t>(payload.size()));
  writer.U32(Checksum(payload));
  writer.U32(Checksum(writer.Out()));
  writer.Out().append(payload);
  return std::move(writer.Out());
}

void PutHardState(byte_writer& writer, const hard_state& state) {
  writer.U8(static_cast<std::uint8_t>(record_type::kHardState));
  writer.U64(state.term);
  writer.Bytes(state.vote.v);
}

void PutEntry(byte_writer& writer, const log_entry& entry) {
  writer.U8(static_cast<std::uint8_t>(record_type::kEntry));
  writer.U64(entry.revision);
  writer.U64(entry.term);
  writer.U8(static_cast<std::uint8_t>(entry.kind));
  writer.Bytes(entry.data);
}

void PutSegmentStart(byte_writer& writer, std::uint64_t number,
                     core::revision snapshot_revision) {
  writer.U8(static_cast<std::uint8_t>(record_type::kSegmentStart));
  writer.U32(store::kVersion);
  writer.U64(number);
  writer.U64(snapshot_revision);
}

struct frame_view {
  std::string_view payload;
  /// End of the frame according to its header; nullopt if that is invalid.
  std::optional<std::size_t> end;
  bool valid = false;
};

frame_view ReadFrame(std::string_view data, std::size_t from) {
  const std::string_view rest = data.substr(from);
  if (rest.size() < kFrameHeaderBytes) return {};
  byte_reader reader(rest.substr(0, kFrameHeaderBytes));
  const std::uint32_t magic = reader.U32();
  const std::uint32_t size = reader.U32();
  const std::uint32_t payload_checksum = reader.U32();
  const bool header_valid = reader.U32() == Checksum(rest.substr(0, 12));
  if (magic != kFrameMagic || !header_valid) return {};
  const std::size_t end = from + kFrameHeaderBytes + size;
  if (end > data.size()) return {{}, end, false};
  const std::string_view payload = rest.substr(kFrameHeaderBytes, size);
  return {payload, end, Checksum(payload) == payload_checksum};
}

/// @return whether any sector's part in the range is all zeros, as left by a
/// write that did not reach the disk.
bool HasUnwrittenSector(std::string_view data, std::size_t from, std::size_t to,
                        std::size_t min_bytes) {
  while (from < to) {
    const std::size_t sector_end = (from / kSectorBytes + 1) * kSectorBytes;
    const std::size_t end = std::min(to, sector_end);
    const std::string_view part = data.substr(from, end - from);
    const bool zeros = part.find_first_not_of('\0') == std::string_view::npos;
    if (zeros && part.size() >= min_bytes) return true;
    from = end;
  }
  return false;
}

/// An invalid last frame is torn if the file ends inside it or one of its
/// sectors was never written. A complete frame with a flipped bit is not torn:
/// it may have been acknowledged.
bool IsTorn(std::string_view data, std::size_t from, const frame_view& frame) {
  if (frame.end && *frame.end > data.size()) return true;
  if (frame.end && *frame.end < data.size()) return false;
  if (data.size() - from < kFrameHeaderBytes) return true;
  // Without a valid header the frame's end is unknown: the file may end just
  // after the start of an unwritten sector, so one zero byte is enough.
  const std::size_t min_bytes = frame.end ? kMinUnwrittenBytes : 1;
  return HasUnwrittenSector(data, from, data.size(), min_bytes);
}

}  // namespace

/// Progress of reading the segments.
struct store::segment_scan {
  recovered_state& out;
  std::uint64_t next_segment_number = 0;
  core::revision required_snapshot = 0;
  core::revision last_revision = 0;
  std::uint64_t segment_size = 0;
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
  // Files without a header are left over from an interrupted creation.
  for (const std::string& name : names) {
    if (name == kHeaderName) {
      return FailWith(kind::kOtherCell, name, "the folder is in use");
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
  return files_.Replace(kHeaderName, WithChecksum(std::move(header)));
}

core::result<std::uint64_t> store::ReadHeader() {
  BOOST_LEAF_AUTO(data, files_.Read(kHeaderName));
  BOOST_LEAF_AUTO(body, ReadVerifiedBody(kHeaderName, data, kHeaderMagic));
  byte_reader reader(body);
  const core::cell_id cell{std::string(reader.Bytes())};
  const core::member_id self{std::string(reader.Bytes())};
  const std::uint64_t disk_id = reader.U64();
  if (!reader.IsValid()) {
    return FailWith(kind::kCorrupt, kHeaderName, "too short");
  }
  if (cell != cell_ || self != self_) {
    return FailWith(kind::kOtherCell, kHeaderName,
                    fmt::format("belongs to {} of cell {}", self.v, cell.v));
  }
  return disk_id;
}

core::result<recovered_state> store::Open() {
  BOOST_LEAF_AUTO(found, Exists());
  if (!found) {
    return FailWith(kind::kIo, kHeaderName,
                    "no data folder; it is created only on request");
  }
  recovered_state out;
  BOOST_LEAF_ASSIGN(out.disk_id, ReadHeader());
  files_.RemoveTemporaryFile();
  BOOST_LEAF_AUTO(names, files_.List());
  BOOST_LEAF_CHECK(ReadSnapshots(names, out));
  BOOST_LEAF_CHECK(ReadSegments(names, out));
  hard_state_ = out.hard_state;
  return out;
}

core::result<snapshot> store::ReadSnapshotFile(const std::string& name) {
  BOOST_LEAF_AUTO(data, files_.Read(name));
  BOOST_LEAF_AUTO(body, ReadVerifiedBody(name, data, kSnapshotMagic));
  byte_reader reader(body);
  snapshot read;
  read.revision = reader.U64();
  read.term = reader.U64();
  const core::revision members_revision = reader.U64();
  const auto members = DecodeMembership(reader.Bytes(), members_revision);
  read.data = std::make_shared<const std::string>(reader.Bytes());
  if (!reader.IsValid() || !members || read.revision != NumberOf(name)) {
    return FailWith(kind::kCorrupt, name, "malformed snapshot");
  }
  read.members = *members;
  return read;
}

core::result<void> store::ReadSnapshots(const std::vector<std::string>& names,
                                        recovered_state& out) {
  const auto files = WithPrefix(names, kSnapshotPrefix);
  if (files.empty()) {
    return FailWith(kind::kMissingSnapshot, kSnapshotPrefix, "no snapshot");
  }
  snapshot_revisions_.clear();
  for (const std::string& name : files) {
    snapshot_revisions_.push_back(NumberOf(name));
  }
  BOOST_LEAF_ASSIGN(out.last_snapshot, ReadSnapshotFile(files.back()));
  return {};
}

core::result<void> store::ReadSegments(const std::vector<std::string>& names,
                                       recovered_state& out) {
  const auto files = WithPrefix(names, kSegmentPrefix);
  if (files.empty()) return FailWith(kind::kCorrupt, kSegmentPrefix, "no log");
  segments_.clear();
  must_reset_ = has_partial_frame_ = false;
  segment_scan progress{out, NumberOf(files.front()), 0, 0, 0};
  for (const std::string& name : files) {
    const std::uint64_t number = NumberOf(name);
    if (number != progress.next_segment_number) {
      return FailWith(kind::kCorrupt, SegmentName(progress.next_segment_number),
                      "segment is missing");
    }
    ++progress.next_segment_number;
    progress.last_revision = 0;
    BOOST_LEAF_CHECK(ReadSegment(name, name == files.back(), progress));
    segments_.push_back(
        {number, progress.last_revision, progress.segment_size});
  }
  if (progress.required_snapshot > out.last_snapshot.revision) {
    return FailWith(kind::kMissingSnapshot,
                    SnapshotName(progress.required_snapshot),
                    "the log continues a missing snapshot");
  }
  // Entries up to the snapshot are not needed. Later entries continue it only
  // if the entry at its revision has the same term.
  const core::revision revision = out.last_snapshot.revision;
  auto& entries = out.entries;
  const bool reaches_snapshot =
      !entries.empty() && entries.back()->revision >= revision;
  const bool continues_snapshot =
      reaches_snapshot && entries.front()->revision == revision + 1;
  if (!continues_snapshot) {
    const auto snapshot_entry = std::find_if(
        entries.begin(), entries.end(), [&](const entry_ptr& entry) {
          return entry->revision == revision &&
                 entry->term == out.last_snapshot.term;
        });
    const bool starts_late =
        reaches_snapshot && entries.front()->revision > revision + 1;
    if (starts_late) {
      return FailWith(kind::kMissingSnapshot,
                      SnapshotName(entries.front()->revision - 1),
                      "the log starts after the last snapshot");
    }
    // A write of the snapshot that ended before its segment started leaves
    // entries that the next ones don't follow.
    must_reset_ = snapshot_entry == entries.end() && !entries.empty();
    entries.erase(entries.begin(), snapshot_entry == entries.end()
                                       ? snapshot_entry
                                       : snapshot_entry + 1);
  }
  return {};
}

core::result<void> store::ReadSegment(const std::string& name, bool is_last,
                                      segment_scan& progress) {
  BOOST_LEAF_AUTO(data, files_.Read(name));
  std::size_t from = 0;
  std::size_t last_frame = 0;
  while (from < data.size()) {
    const frame_view frame = ReadFrame(data, from);
    if (!frame.valid) {
      if (!is_last || !IsTorn(data, from, frame)) {
        return FailWith(kind::kCorrupt, name,
                        fmt::format("bad frame at offset {}", from));
      }
      BOOST_LEAF_CHECK(TruncateTail(name, from, data.size()));
      break;
    }
    BOOST_LEAF_CHECK(ApplyFrame(name, frame.payload, progress));
    last_frame = from;
    from = *frame.end;
  }
  progress.segment_size = from;
  if (!is_last) return {};
  // The process that wrote the last frame may have ended before its sync, or
  // because the sync failed.
  BOOST_LEAF_CHECK(files_.Overwrite(
      name, last_frame,
      std::string_view(data).substr(last_frame, from - last_frame)));
  return files_.Sync(name);
}

core::result<void> store::TruncateTail(const std::string& name,
                                       std::uint64_t from, std::uint64_t size) {
  spdlog::warn(
      "{}: truncated {} bytes of a torn write that was never acknowledged",
      name, size - from);
  return files_.Truncate(name, from);
}

core::result<void> store::ApplyFrame(const std::string& name,
                                     std::string_view payload,
                                     segment_scan& progress) {
  byte_reader reader(payload);
  auto& entries = progress.out.entries;
  while (!reader.AtEnd()) {
    const auto type = static_cast<record_type>(reader.U8());
    if (type == record_type::kSegmentStart) {
      if (reader.U32() > kVersion) {
        return FailWith(kind::kNewerVersion, name, "");
      }
      const bool matches_name = reader.U64() == NumberOf(name);
      progress.required_snapshot =
          std::max(progress.required_snapshot, reader.U64());
      if (!matches_name)
        return FailWith(kind::kCorrupt, name, "segment was renamed");
    } else if (type == record_type::kHardState) {
      progress.out.hard_state.term = reader.U64();
      progress.out.hard_state.vote.v = std::string(reader.Bytes());
    } else if (type == record_type::kReset) {
      entries.clear();
    } else if (type == record_type::kEntry) {
      log_entry entry;
      entry.revision = reader.U64();
      entry.term = reader.U64();
      entry.kind = static_cast<entry_kind>(reader.U8());
      entry.data = std::string(reader.Bytes());
      while (!entries.empty() && entries.back()->revision >= entry.revision) {
        entries.pop_back();
      }
      if (!entries.empty() && entries.back()->revision + 1 != entry.revision) {
        return FailWith(kind::kCorrupt, name, "gap between entries");
      }
      progress.last_revision = std::max(progress.last_revision, entry.revision);
      entries.push_back(std::make_shared<const log_entry>(std::move(entry)));
    } else {
      return FailWith(kind::kCorrupt, name, "unknown record");
    }
    if (!reader.IsValid()) {
      return FailWith(kind::kCorrupt, name, "record too short");
    }
  }
  return {};
}

core::result<void> store::WriteSnapshot(const snapshot& written) {
  byte_writer writer;
  writer.U32(kSnapshotMagic);
  writer.U32(kVersion);
  writer.U64(written.revision);
  writer.U64(written.term);
  writer.U64(written.members.revision);
  writer.Bytes(EncodeMembership(written.members));
  writer.Bytes(*written.data);
  BOOST_LEAF_CHECK(files_.Replace(SnapshotName(written.revision),
                                  WithChecksum(std::move(writer))));
  std::erase(snapshot_revisions_, written.revision);
  snapshot_revisions_.push_back(written.revision);
  return {};
}

core::result<void> store::Write(const write_batch& batch) {
  if (batch.hard_state) hard_state_ = *batch.hard_state;
  byte_writer writer;
  // Kept only once the frame is durable: a write that failed for lack of room
  // is repeated.
  segment target = segments_.back();
  if (batch.new_snapshot) {
    // The snapshot is durable before the segment that needs it is created, and
    // older files are removed only after that segment is durable.
    BOOST_LEAF_CHECK(WriteSnapshot(*batch.new_snapshot));
    target = {target.number + 1, 0, 0};
    PutSegmentStart(writer, target.number, batch.new_snapshot->revision);
  }
  if (batch.discard_log || must_reset_) {
    writer.U8(static_cast<std::uint8_t>(record_type::kReset));
  }
  if (batch.hard_state || batch.new_snapshot) PutHardState(writer, hard_state_);
  for (const entry_ptr& entry : batch.entries) {
    PutEntry(writer, *entry);
    target.last_revision = std::max(target.last_revision, entry->revision);
  }
  const std::string frame = Frame(writer.Out());
  BOOST_LEAF_CHECK(AppendFrame(target, frame));
  target.size += frame.size();
  BOOST_LEAF_CHECK(files_.Sync(SegmentName(target.number)));
  must_reset_ = false;
  if (!batch.new_snapshot) {
    segments_.back() = target;
    return {};
  }
  segments_.push_back(target);
  // The batch is durable. What can't be removed for a shortage is left to the
  // next snapshot.
  const auto removed = core::Capture([&] {
    return RemoveObsoleteFiles(batch.new_snapshot->revision, batch.discard_log);
  });
  if (removed) return {};
  const core::failure failure = removed.error();
  const auto& failed = std::get<core::storage_failed>(failure);
  if (failed.k == kind::kFull || failed.k == kind::kNoDescriptor) return {};
  return core::Fail(failed);
}

core::result<void> store::AppendFrame(const segment& target,
                                      const std::string& frame) {
  const std::string name = SegmentName(target.number);
  if (has_partial_frame_) BOOST_LEAF_CHECK(files_.Truncate(name, target.size));
  has_partial_frame_ = true;
  BOOST_LEAF_CHECK(files_.Append(name, frame));
  has_partial_frame_ = false;
  return {};
}

core::result<void> store::RemoveObsoleteFiles(core::revision snapshot_revision,
                                              bool all_segments) {
  // Segments are removed in order, so that the remaining ones have no gap.
  while (
      segments_.size() > 1 &&
      (all_segments || segments_.front().last_revision <= snapshot_revision)) {
    BOOST_LEAF_CHECK(files_.Remove(SegmentName(segments_.front().number)));
    segments_.erase(segments_.begin());
  }
  while (snapshot_revisions_.front() != snapshot_revision) {
    BOOST_LEAF_CHECK(files_.Remove(SnapshotName(snapshot_revisions_.front())));
    snapshot_revisions_.erase(snapshot_revisions_.begin());
  }
  return {};
}

core::result<std::string> store::ReadSnapshot(core::revision revision) {
  BOOST_LEAF_AUTO(read, ReadSnapshotFile(SnapshotName(revision)));
  return *read.data;
}

}  // namespace mangoplank::consensus
