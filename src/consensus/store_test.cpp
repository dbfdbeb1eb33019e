#include "consensus/store.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>

#include "consensus/fake_cluster.h"
#include "mangoplank/consensus/local_disk.h"

namespace mangoplank::consensus {
namespace {

using kind = core::storage_failed::kind;

constexpr char kFirstSegment[] = "log-00000000000000000001";

entry_ptr Entry(core::revision at, core::term t, std::string data) {
  return std::make_shared<const log_entry>(
      log_entry{at, t, entry_kind::kCommand, std::move(data)});
}

struct opened {
  std::unique_ptr<store> s;
  core::outcome<recovered> content;
};

opened Reopen(disk& d, const std::string& cell = "c") {
  auto s =
      std::make_unique<store>(d, core::cell_id{cell}, core::member_id{"a"});
  auto content = core::Capture([&] { return s->Open(); });
  return {std::move(s), std::move(content)};
}

kind RefusalOf(disk& d, const std::string& cell = "c") {
  const auto o = Reopen(d, cell);
  EXPECT_FALSE(o.content);
  if (o.content) return kind::kIo;
  return std::get<core::storage_failed>(o.content.error()).k;
}

void Write(store& s, const write_batch& b) {
  const auto written = core::Capture([&] { return s.Write(b); });
  ASSERT_TRUE(written) << core::Describe(written.error());
}

/// A folder with three synced batches: entries 1, 2 and 3.
void Fill(disk& d) {
  store s(d, {"c"}, {"a"});
  const std::vector<member> members = {{{"a"}, {"127.0.0.1", 1}, true, 0}};
  ASSERT_TRUE(core::Capture([&] { return s.Create(7, members); }));
  ASSERT_TRUE(core::Capture([&] { return s.Open(); }));
  for (core::revision at = 1; at <= 3; ++at) {
    write_batch b;
    if (at == 1) b.hard = hard_state{1, {"a"}};
    b.entries.push_back(Entry(at, 1, std::string(700, 'x')));
    Write(s, b);
  }
}

snapshot SnapshotAt(core::revision at) {
  return {at, 1, membership{}, std::make_shared<const std::string>("state")};
}

// Guards against acknowledged data that a restart does not find.
TEST(StoreTest, ReadsWhatWasWritten) {
  fake_disk d;
  Fill(d);
  const auto o = Reopen(d);
  ASSERT_TRUE(o.content) << core::Describe(o.content.error());
  EXPECT_EQ(o.content->disk, 7u);
  EXPECT_EQ(o.content->hard, (hard_state{1, {"a"}}));
  EXPECT_EQ(o.content->last_snapshot.members.members.size(), 1u);
  ASSERT_EQ(o.content->entries.size(), 3u);
  EXPECT_EQ(*o.content->entries[2], *Entry(3, 1, std::string(700, 'x')));
}

// Guards against a replaced entry that comes back at a restart.
TEST(StoreTest, AnEntryReplacesThoseFromItsRevisionOn) {
  fake_disk d;
  Fill(d);
  auto o = Reopen(d);
  write_batch b;
  b.entries.push_back(Entry(2, 2, "new"));
  Write(*o.s, b);
  o = Reopen(d);
  ASSERT_TRUE(o.content);
  ASSERT_EQ(o.content->entries.size(), 2u);
  EXPECT_EQ(o.content->entries[1]->data, "new");
}

// Guards against a torn write that stops a restart, at any length and with
// sectors that were not written; and against a log that can't go on after it.
TEST(StoreTest, CutsATornTailAtEveryOffset) {
  fake_disk whole;
  Fill(whole);
  const std::size_t synced = whole.files[kFirstSegment].data.size();
  auto o = Reopen(whole);
  write_batch b;
  b.entries.push_back(Entry(4, 1, std::string(1500, 'y')));
  Write(*o.s, b);
  const std::string data = whole.files[kFirstSegment].data;
  for (std::size_t size = synced; size < data.size(); ++size) {
    fake_disk torn;
    torn.files = whole.files;
    torn.files[kFirstSegment].data = data.substr(0, size);
    o = Reopen(torn);
    ASSERT_TRUE(o.content) << size;
    ASSERT_EQ(o.content->entries.size(), 3u) << size;
    ASSERT_EQ(torn.files[kFirstSegment].data.size(), synced);
    Write(*o.s, b);
    o = Reopen(torn);
    ASSERT_EQ(o.content->entries.size(), 4u) << size;
  }
  for (std::size_t at = (synced / 512 + 1) * 512; at + 512 < data.size();
       at += 512) {
    fake_disk torn;
    torn.files = whole.files;
    torn.files[kFirstSegment].data.replace(at, 512, 512, '\0');
    o = Reopen(torn);
    ASSERT_TRUE(o.content) << at;
    EXPECT_EQ(o.content->entries.size(), 3u) << at;
  }
}

// Guards against a changed bit that is taken for a torn write, which would drop
// acknowledged entries.
TEST(StoreTest, RefusesAFlippedBitAnywhere) {
  fake_disk whole;
  Fill(whole);
  for (const auto& [name, f] : whole.files) {
    for (std::size_t at = 0; at < f.data.size(); ++at) {
      fake_disk flipped;
      flipped.files = whole.files;
      flipped.files[name].data[at] ^= 1 << (at % 8);
      ASSERT_EQ(RefusalOf(flipped), kind::kCorrupt) << name << " " << at;
    }
  }
}

// Guards against a start from the wrong folder.
TEST(StoreTest, NamesWhyAFolderCantBeUsed) {
  fake_disk none;
  EXPECT_EQ(RefusalOf(none), kind::kIo);
  fake_disk d;
  Fill(d);
  EXPECT_EQ(RefusalOf(d, "other"), kind::kOtherCell);

  std::string header = d.files["header"].data;
  header.resize(header.size() - 4);
  header[4] = store::kVersion + 1;
  byte_writer w;
  w.Out() = header;
  w.U32(Checksum(header));
  fake_disk newer;
  newer.files = d.files;
  newer.files["header"].data = w.Out();
  EXPECT_EQ(RefusalOf(newer), kind::kNewerVersion);

  fake_disk no_log;
  no_log.files = d.files;
  no_log.files.erase(kFirstSegment);
  EXPECT_EQ(RefusalOf(no_log), kind::kCorrupt);
}

// Guards against a log that is applied without the state it continues.
TEST(StoreTest, RefusesAMissingSnapshot) {
  fake_disk d;
  Fill(d);
  auto o = Reopen(d);
  write_batch b;
  b.new_snapshot = SnapshotAt(3);
  b.entries.push_back(Entry(4, 1, "d"));
  Write(*o.s, b);
  EXPECT_EQ(d.files.count(kFirstSegment), 0u);
  o = Reopen(d);
  ASSERT_TRUE(o.content);
  EXPECT_EQ(o.content->last_snapshot.at, 3u);
  EXPECT_EQ(*o.content->last_snapshot.data, "state");
  ASSERT_EQ(o.content->entries.size(), 1u);
  std::string name;
  for (const auto& [n, f] : d.files) {
    if (n.starts_with("snapshot-")) name = n;
  }
  d.files.erase(name);
  EXPECT_EQ(RefusalOf(d), kind::kMissingSnapshot);
}

// Guards against a crash between the steps of a snapshot that leaves a folder
// that can't be opened or lacks entries.
TEST(StoreTest, SurvivesACrashAtEachStepOfASnapshot) {
  for (const bool discard : {false, true}) {
    for (std::uint64_t calls = 0; calls < 8; ++calls) {
      fake_disk d;
      Fill(d);
      auto o = Reopen(d);
      write_batch b;
      b.new_snapshot = SnapshotAt(discard ? 9 : 2);
      b.discard_log = discard;
      d.calls_left = calls;
      (void)core::Capture([&] { return o.s->Write(b); });
      std::mt19937_64 random(calls);
      const auto after = d.AfterCrash(random);
      o = Reopen(*after);
      ASSERT_TRUE(o.content) << calls << core::Describe(o.content.error());
      const auto& c = *o.content;
      const core::revision last =
          c.entries.empty() ? c.last_snapshot.at : c.entries.back()->at;
      EXPECT_EQ(last, discard && c.last_snapshot.at == 9 ? 9u : 3u) << calls;
      EXPECT_EQ(c.hard, (hard_state{1, {"a"}}));
    }
  }
}

// Guards against a folder on the real file system that differs from the fake.
TEST(LocalDiskTest, KeepsFiles) {
  char pattern[] = "/tmp/mangoplank-disk-XXXXXX";
  ASSERT_NE(::mkdtemp(pattern), nullptr);
  const std::string folder = std::string(pattern) + "/data";
  {
    local_disk d(folder);
    Fill(d);
    auto o = Reopen(d);
    ASSERT_TRUE(o.content) << core::Describe(o.content.error());
    write_batch b;
    b.new_snapshot = SnapshotAt(3);
    Write(*o.s, b);
  }
  local_disk d(folder);
  const auto o = Reopen(d);
  ASSERT_TRUE(o.content) << core::Describe(o.content.error());
  EXPECT_EQ(o.content->last_snapshot.at, 3u);
  const auto missing = core::Capture([&] { return d.Read("missing"); });
  ASSERT_FALSE(missing);
  EXPECT_EQ(std::get<core::storage_failed>(missing.error()).k, kind::kIo);
  std::filesystem::remove_all(pattern);
}

// Guards against a full disk that is reported as a broken one. /dev/full is a
// file on which each write fails for lack of room.
TEST(LocalDiskTest, ReportsAFullDisk) {
  local_disk d("/dev");
  const auto written = core::Capture([&] { return d.Append("full", "x"); });
  ASSERT_FALSE(written);
  EXPECT_EQ(std::get<core::storage_failed>(written.error()).k, kind::kFull);
}

}  // namespace
}  // namespace mangoplank::consensus
