#include "consensus/store.h"

#include <gtest/gtest.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <vector>

#include "consensus/fake_cluster.h"
#include "mangoplank/consensus/local_disk.h"

namespace mangoplank::consensus {
namespace {

using kind = core::storage_failed::kind;

constexpr char kFirstSegment[] = "log-00000000000000000001";

entry_ptr Entry(core::revision revision, core::term term, std::string data) {
  return std::make_shared<const log_entry>(
      log_entry{revision, term, entry_kind::kCommand, std::move(data)});
}

struct opened {
  std::unique_ptr<consensus::store> store;
  core::outcome<recovered_state> content;
};

opened Reopen(disk& disk, const std::string& cell = "c") {
  auto s =
      std::make_unique<store>(disk, core::cell_id{cell}, core::member_id{"a"});
  auto content = core::Capture([&] { return s->Open(); });
  return {std::move(s), std::move(content)};
}

kind FailureOf(disk& disk, const std::string& cell = "c") {
  const auto reopened = Reopen(disk, cell);
  EXPECT_FALSE(reopened.content);
  if (reopened.content) return kind::kIo;
  return std::get<core::storage_failed>(reopened.content.error()).k;
}

void Write(store& store, const write_batch& batch) {
  const auto written = core::Capture([&] { return store.Write(batch); });
  ASSERT_TRUE(written) << core::Describe(written.error());
}

/// A folder with three synced batches: entries 1, 2 and 3.
void Fill(disk& disk) {
  store s(disk, {"c"}, {"a"});
  const std::vector<member> members = {{{"a"}, {"127.0.0.1", 1}, true, 0}};
  ASSERT_TRUE(core::Capture([&] { return s.Create(7, members); }));
  ASSERT_TRUE(core::Capture([&] { return s.Open(); }));
  for (core::revision revision = 1; revision <= 3; ++revision) {
    write_batch batch;
    if (revision == 1) batch.hard_state = hard_state{1, {"a"}};
    batch.entries.push_back(Entry(revision, 1, std::string(700, 'x')));
    Write(s, batch);
  }
}

snapshot SnapshotAt(core::revision revision) {
  return {revision, 1, membership{},
          std::make_shared<const std::string>("state")};
}

// Guards against acknowledged data that is lost in a restart.
TEST(StoreTest, RecoversWrittenData) {
  fake_disk d;
  Fill(d);
  const auto reopened = Reopen(d);
  ASSERT_TRUE(reopened.content) << core::Describe(reopened.content.error());
  EXPECT_EQ(reopened.content->disk_id, 7u);
  EXPECT_EQ(reopened.content->hard_state, (hard_state{1, {"a"}}));
  EXPECT_EQ(reopened.content->last_snapshot.members.members.size(), 1u);
  ASSERT_EQ(reopened.content->entries.size(), 3u);
  EXPECT_EQ(*reopened.content->entries[2], *Entry(3, 1, std::string(700, 'x')));
}

// Guards against a replaced entry that reappears after a restart.
TEST(StoreTest, EntryReplacesThoseFromItsRevisionOnward) {
  fake_disk d;
  Fill(d);
  auto reopened = Reopen(d);
  write_batch batch;
  batch.entries.push_back(Entry(2, 2, "new"));
  Write(*reopened.store, batch);
  reopened = Reopen(d);
  ASSERT_TRUE(reopened.content);
  ASSERT_EQ(reopened.content->entries.size(), 2u);
  EXPECT_EQ(reopened.content->entries[1]->data, "new");
}

// Guards against a torn write, of any length or with unwritten sectors, that
// prevents a restart, and against a log that can't be extended after it.
TEST(StoreTest, TruncatesATornWriteAtEveryOffset) {
  fake_disk whole;
  Fill(whole);
  const std::size_t synced = whole.files[kFirstSegment].data.size();
  auto reopened = Reopen(whole);
  write_batch batch;
  batch.entries.push_back(Entry(4, 1, std::string(1500, 'y')));
  Write(*reopened.store, batch);
  const std::string data = whole.files[kFirstSegment].data;
  for (std::size_t size = synced; size < data.size(); ++size) {
    fake_disk torn;
    torn.files = whole.files;
    torn.files[kFirstSegment].data = data.substr(0, size);
    reopened = Reopen(torn);
    ASSERT_TRUE(reopened.content) << size;
    ASSERT_EQ(reopened.content->entries.size(), 3u) << size;
    ASSERT_EQ(torn.files[kFirstSegment].data.size(), synced);
    Write(*reopened.store, batch);
    reopened = Reopen(torn);
    ASSERT_EQ(reopened.content->entries.size(), 4u) << size;
  }
  for (std::size_t at = (synced / 512 + 1) * 512; at + 512 < data.size();
       at += 512) {
    fake_disk torn;
    torn.files = whole.files;
    torn.files[kFirstSegment].data.replace(at, 512, 512, '\0');
    reopened = Reopen(torn);
    ASSERT_TRUE(reopened.content) << at;
    EXPECT_EQ(reopened.content->entries.size(), 3u) << at;
  }
}

// Guards against a flipped bit that is mistaken for a torn write, which would
// drop acknowledged entries.
TEST(StoreTest, RefusesAFlippedBitAnywhere) {
  fake_disk whole;
  Fill(whole);
  for (const auto& [name, f] : whole.files) {
    for (std::size_t at = 0; at < f.data.size(); ++at) {
      fake_disk flipped;
      flipped.files = whole.files;
      flipped.files[name].data[at] ^= 1 << (at % 8);
      ASSERT_EQ(FailureOf(flipped), kind::kCorrupt) << name << " " << at;
    }
  }
}

// Guards against a start from a folder that is missing, foreign or unreadable.
TEST(StoreTest, ReportsWhyAFolderCantBeUsed) {
  fake_disk none;
  EXPECT_EQ(FailureOf(none), kind::kIo);
  fake_disk d;
  Fill(d);
  EXPECT_EQ(FailureOf(d, "other"), kind::kOtherCell);

  std::string header = d.files["header"].data;
  header.resize(header.size() - 4);
  header[4] = store::kVersion + 1;
  byte_writer w;
  w.Out() = header;
  w.U32(Checksum(header));
  fake_disk newer;
  newer.files = d.files;
  newer.files["header"].data = w.Out();
  EXPECT_EQ(FailureOf(newer), kind::kNewerVersion);

  fake_disk no_log;
  no_log.files = d.files;
  no_log.files.erase(kFirstSegment);
  EXPECT_EQ(FailureOf(no_log), kind::kCorrupt);
}

// Guards against a log that is applied without the snapshot it continues.
TEST(StoreTest, RefusesAMissingSnapshot) {
  fake_disk d;
  Fill(d);
  auto reopened = Reopen(d);
  write_batch batch;
  batch.new_snapshot = SnapshotAt(3);
  batch.entries.push_back(Entry(4, 1, "d"));
  Write(*reopened.store, batch);
  EXPECT_EQ(d.files.count(kFirstSegment), 0u);
  reopened = Reopen(d);
  ASSERT_TRUE(reopened.content);
  EXPECT_EQ(reopened.content->last_snapshot.revision, 3u);
  EXPECT_EQ(*reopened.content->last_snapshot.data, "state");
  ASSERT_EQ(reopened.content->entries.size(), 1u);
  std::string name;
  for (const auto& [n, f] : d.files) {
    if (n.starts_with("snapshot-")) name = n;
  }
  d.files.erase(name);
  EXPECT_EQ(FailureOf(d), kind::kMissingSnapshot);
}

// Guards against a crash during the writing of a snapshot that leaves a folder
// that can't be opened or lacks entries.
TEST(StoreTest, SurvivesACrashAtEachStepOfASnapshot) {
  for (const bool discard : {false, true}) {
    for (std::uint64_t calls = 0; calls < 8; ++calls) {
      fake_disk d;
      Fill(d);
      auto reopened = Reopen(d);
      write_batch batch;
      batch.new_snapshot = SnapshotAt(discard ? 9 : 2);
      batch.discard_log = discard;
      d.calls_left = calls;
      (void)core::Capture([&] { return reopened.store->Write(batch); });
      std::mt19937_64 random(calls);
      const auto after = d.AfterCrash(random);
      reopened = Reopen(*after);
      ASSERT_TRUE(reopened.content)
          << calls << core::Describe(reopened.content.error());
      const auto& c = *reopened.content;
      const core::revision last = c.entries.empty()
                                      ? c.last_snapshot.revision
                                      : c.entries.back()->revision;
      EXPECT_EQ(last, discard && c.last_snapshot.revision == 9 ? 9u : 3u)
          << calls;
      EXPECT_EQ(c.hard_state, (hard_state{1, {"a"}}));
    }
  }
}

// Guards against a folder that can't be opened, or that lacks written entries,
// after a write of a received snapshot ended between two of its steps. The next
// entries then followed stored ones that the snapshot had replaced.
TEST(StoreTest, WritesAfterACrashAtEachStepOfAReceivedSnapshot) {
  // The stored log ends before the snapshot, or has another entry at it.
  for (const core::revision revision : {9, 3}) {
    for (std::uint64_t calls = 0; calls < 8; ++calls) {
      fake_disk d;
      Fill(d);
      auto reopened = Reopen(d);
      write_batch received;
      received.new_snapshot = SnapshotAt(revision);
      received.new_snapshot->term = 2;
      received.discard_log = true;
      d.calls_left = calls;
      (void)core::Capture([&] { return reopened.store->Write(received); });
      std::mt19937_64 random(calls);
      const auto after = d.AfterCrash(random);
      reopened = Reopen(*after);
      ASSERT_TRUE(reopened.content);
      if (reopened.content->last_snapshot.revision != revision) continue;
      EXPECT_TRUE(reopened.content->entries.empty());
      write_batch next;
      next.entries.push_back(Entry(revision + 1, 2, "next"));
      Write(*reopened.store, next);
      reopened = Reopen(*after);
      ASSERT_TRUE(reopened.content) << revision << " " << calls << " "
                                    << core::Describe(reopened.content.error());
      ASSERT_EQ(reopened.content->entries.size(), 1u) << calls;
      EXPECT_EQ(*reopened.content->entries[0], *next.entries[0]);
    }
  }
}

// Guards against a member that never writes again because the temporary file of
// its own snapshot holds the last room of its disk.
TEST(StoreTest, InterruptedReplaceLeavesRoomAfterARestart) {
  fake_disk d;
  Fill(d);
  auto reopened = Reopen(d);
  write_batch too_large;
  too_large.new_snapshot = SnapshotAt(3);
  too_large.new_snapshot->data = std::make_shared<const std::string>(5000, 's');
  d.LimitRoom(2000);
  const auto written =
      core::Capture([&] { return reopened.store->Write(too_large); });
  ASSERT_FALSE(written);
  EXPECT_EQ(std::get<core::storage_failed>(written.error()).k, kind::kFull);
  ASSERT_EQ(d.UsedBytes(), d.capacity);
  reopened = Reopen(d);
  ASSERT_TRUE(reopened.content);
  write_batch vote;
  vote.hard_state = hard_state{2, {"b"}};
  Write(*reopened.store, vote);
}

// Guards against entries and votes that count as durable after a restart of the
// process, and are gone after a power loss: a start reads what was written but
// not synced, and a sync after a failed one does not write its pages again.
TEST(StoreTest, RestartMakesTheLastFrameDurable) {
  for (const bool sync_fails : {false, true}) {
    fake_disk d;
    Fill(d);
    auto reopened = Reopen(d);
    write_batch batch;
    batch.hard_state = hard_state{2, {"b"}};
    batch.entries.push_back(Entry(4, 2, std::string(700, 'y')));
    if (sync_fails) {
      d.sync_failure = core::storage_failed{kind::kSync, "log", "injected"};
    } else {
      d.calls_left = 1;
    }
    ASSERT_FALSE(core::Capture([&] { return reopened.store->Write(batch); }));
    d.calls_left = UINT64_MAX;
    d.sync_failure.reset();
    reopened = Reopen(d);
    ASSERT_TRUE(reopened.content);
    ASSERT_EQ(reopened.content->entries.size(), 4u);
    for (std::uint64_t seed = 0; seed < 8; ++seed) {
      std::mt19937_64 random(seed);
      const auto after = d.AfterCrash(random);
      const auto again = Reopen(*after);
      ASSERT_TRUE(again.content);
      EXPECT_EQ(again.content->entries.size(), 4u) << sync_fails;
      EXPECT_EQ(again.content->hard_state, *batch.hard_state) << sync_fails;
    }
  }
}

// Guards against a write that can't be repeated once the disk has room: a part
// of a frame, a new segment or a snapshot of the failed call stays, or the
// folder can't be opened if the process ends in between.
TEST(StoreTest, RepeatsAWriteAfterTheDiskWasFull) {
  write_batch entries;
  entries.hard_state = hard_state{2, {"b"}};
  entries.entries.push_back(Entry(4, 2, std::string(300, 'y')));
  write_batch own = entries;
  own.new_snapshot = SnapshotAt(2);
  write_batch received = entries;
  received.new_snapshot = SnapshotAt(3);
  received.discard_log = true;
  for (const write_batch& batch : {entries, own, received}) {
    for (const bool read_only : {false, true}) {
      std::size_t refused = 0;
      for (std::size_t room = 0; room < 600; ++room) {
        fake_disk d;
        Fill(d);
        auto reopened = Reopen(d);
        d.is_read_only_when_full = read_only;
        d.LimitRoom(room);
        for (int attempt = 0; attempt < 2; ++attempt) {
          const auto written =
              core::Capture([&] { return reopened.store->Write(batch); });
          if (written) break;
          ASSERT_EQ(std::get<core::storage_failed>(written.error()).k,
                    kind::kFull);
          ++refused;
        }
        std::mt19937_64 random(room);
        const auto after = d.AfterCrash(random);
        after->capacity = SIZE_MAX;
        ASSERT_TRUE(Reopen(*after).content) << room;
        d.capacity = SIZE_MAX;
        Write(*reopened.store, batch);
        write_batch next;
        next.entries.push_back(Entry(5, 2, "next"));
        Write(*reopened.store, next);
        reopened = Reopen(d);
        ASSERT_TRUE(reopened.content)
            << room << core::Describe(reopened.content.error());
        const auto& c = *reopened.content;
        EXPECT_EQ(c.hard_state, *batch.hard_state);
        const core::revision base = c.last_snapshot.revision;
        EXPECT_EQ(base, batch.new_snapshot ? batch.new_snapshot->revision : 0);
        ASSERT_EQ(c.entries.size(), 5 - base) << room;
        EXPECT_EQ(*c.entries[3 - base], *batch.entries[0]);
        write_batch last;
        last.new_snapshot = SnapshotAt(5);
        Write(*reopened.store, last);
        ASSERT_EQ(d.files.size(), 3u) << room;
      }
      EXPECT_GT(refused, 0u);
    }
  }
}

// Guards against a real file system that behaves differently from the fake.
TEST(LocalDiskTest, KeepsFiles) {
  char pattern[] = "/tmp/mangoplank-disk-XXXXXX";
  ASSERT_NE(::mkdtemp(pattern), nullptr);
  const std::string folder = std::string(pattern) + "/data";
  {
    local_disk d(folder);
    Fill(d);
    auto reopened = Reopen(d);
    ASSERT_TRUE(reopened.content) << core::Describe(reopened.content.error());
    write_batch batch;
    batch.new_snapshot = SnapshotAt(3);
    Write(*reopened.store, batch);
  }
  local_disk d(folder);
  const auto reopened = Reopen(d);
  ASSERT_TRUE(reopened.content) << core::Describe(reopened.content.error());
  EXPECT_EQ(reopened.content->last_snapshot.revision, 3u);
  const auto missing = core::Capture([&] { return d.Read("missing"); });
  ASSERT_FALSE(missing);
  EXPECT_EQ(std::get<core::storage_failed>(missing.error()).k, kind::kIo);
  std::filesystem::remove_all(pattern);
}

// Guards against a failed replacement, or one that a crash interrupted, whose
// temporary file takes room for ever. The size limit of a file stands for a
// full disk, which needs privileges.
TEST(LocalDiskTest, LeavesNoTemporaryFile) {
  char pattern[] = "/tmp/mangoplank-disk-XXXXXX";
  ASSERT_NE(::mkdtemp(pattern), nullptr);
  local_disk d(pattern);
  Fill(d);
  const std::size_t count = d.List()->size();
  const std::string temporary = std::string(pattern) + "/replacement.tmp";
  std::ofstream(temporary) << "partial";
  ASSERT_TRUE(Reopen(d).content);
  EXPECT_EQ(d.List()->size(), count);

  rlimit old_limit{};
  ASSERT_EQ(::getrlimit(RLIMIT_FSIZE, &old_limit), 0);
  const auto old_handler = std::signal(SIGXFSZ, SIG_IGN);
  const rlimit limit{10'000, old_limit.rlim_max};
  ASSERT_EQ(::setrlimit(RLIMIT_FSIZE, &limit), 0);
  const auto replaced = core::Capture(
      [&] { return d.Replace("large", std::string(20'000, 'x')); });
  ::setrlimit(RLIMIT_FSIZE, &old_limit);
  std::signal(SIGXFSZ, old_handler);
  EXPECT_FALSE(replaced);
  EXPECT_EQ(d.List()->size(), count);
  std::filesystem::remove_all(pattern);
}

/// Uses all descriptors of the process that are free.
class all_descriptors {
 public:
  all_descriptors() {
    ::getrlimit(RLIMIT_NOFILE, &old_limit_);
    // Those that are left are opened one by one, so the limit is lowered first.
    const rlimit limit{kLimit, old_limit_.rlim_max};
    ::setrlimit(RLIMIT_NOFILE, &limit);
    for (int fd = ::dup(0); fd >= 0; fd = ::dup(0)) used_.push_back(fd);
  }
  ~all_descriptors() {
    for (const int fd : used_) ::close(fd);
    ::setrlimit(RLIMIT_NOFILE, &old_limit_);
  }
  all_descriptors(const all_descriptors&) = delete;
  all_descriptors& operator=(const all_descriptors&) = delete;

  std::size_t Count() const { return used_.size(); }

 private:
  static constexpr rlim_t kLimit = 100;

  rlimit old_limit_{};
  std::vector<int> used_;
};

// Guards against a log that can't write a snapshot or start a segment, and so
// ends its process, while connections use all descriptors.
TEST(LocalDiskTest, WritesWhileNoDescriptorIsFree) {
  char pattern[] = "/tmp/mangoplank-disk-XXXXXX";
  ASSERT_NE(::mkdtemp(pattern), nullptr);
  {
    local_disk d(std::string(pattern) + "/data");
    Fill(d);
    auto reopened = Reopen(d);
    ASSERT_TRUE(reopened.content);
    const all_descriptors used;
    ASSERT_GT(used.Count(), 0u);
    for (core::revision revision = 3; revision < 6; ++revision) {
      write_batch batch;
      batch.entries = {Entry(revision + 1, 1, "x")};
      batch.new_snapshot = SnapshotAt(revision);
      const auto written =
          core::Capture([&] { return reopened.store->Write(batch); });
      EXPECT_TRUE(written) << core::Describe(written.error());
    }
  }
  std::filesystem::remove_all(pattern);
}

// Guards against a full disk that is reported as an I/O error. Each write to
// /dev/full fails with ENOSPC.
TEST(LocalDiskTest, ReportsAFullDisk) {
  local_disk d("/dev");
  const auto written = core::Capture([&] { return d.Append("full", "x"); });
  ASSERT_FALSE(written);
  EXPECT_EQ(std::get<core::storage_failed>(written.error()).k, kind::kFull);
}

}  // namespace
}  // namespace mangoplank::consensus
