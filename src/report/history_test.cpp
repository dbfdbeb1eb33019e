#include "mangoplank/report/history.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "mangoplank/report/burn.h"
#include "mangoplank/report/json.h"
#include "report/test_calls.h"

namespace mangoplank::report {
namespace {

using test::kStart;

class HistoryTest : public ::testing::Test {
 protected:
  HistoryTest()
      : folder_(std::filesystem::path(::testing::TempDir()) /
                ("history-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(folder_);
  }
  ~HistoryTest() override { std::filesystem::remove_all(folder_); }

  std::string File() const { return (folder_ / "history.json").string(); }
  core::outcome<recording> Update(const recording& r, core::wall_time_ms now) {
    return core::Capture([&] { return UpdateHistory(File(), r, now); });
  }
  void WriteContent(const std::string& text) { std::ofstream(File()) << text; }
  std::string ReadContent() const {
    std::ifstream in(File());
    return {std::istreambuf_iterator<char>(in), {}};
  }

  std::filesystem::path folder_;
};

recording MakeRecording(const std::string& entry, core::incarnation incarnation,
                        int calls, core::wall_time_ms time) {
  recorder r({{entry}, incarnation}, {"sieradz"});
  r.SetObjectives(test::MakeTwoObjectives());
  for (int i = 0; i < calls; ++i) {
    r.Add(test::MakeObjective("check").key, {cell::ending::kDone}, {}, time);
  }
  return r.Export(time);
}

std::uint64_t CountCalls(const recording& r, core::wall_time_ms now) {
  const burn_report report = Evaluate(r, now);
  std::uint64_t n = 0;
  for (const objective_status& s : report.objectives) {
    n += s.tallies[std::size_t(window::kThreeDays)].CountAll();
  }
  return n;
}

// Guards against losing the counts of an entry that restarts or is lost, and
// against double counting of an entry that is read twice.
TEST_F(HistoryTest, KeepsCountsOfRestartedAndLostEntries) {
  ASSERT_TRUE(Update(MakeRecording("entry-1", 1, 30, kStart), kStart));
  ASSERT_TRUE(Update(MakeRecording("entry-1", 1, 40, kStart), kStart));
  ASSERT_TRUE(Update(MakeRecording("entry-2", 1, 5, kStart), kStart));
  const core::wall_time_ms later = kStart + kHourMs;
  const auto kept = Update(MakeRecording("entry-1", 2, 7, later), later);
  ASSERT_TRUE(kept);
  EXPECT_EQ(CountCalls(*kept, later), 52u);
  const auto read = core::Capture([&] { return FromJson(ReadContent()); });
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, *kept);
}

// Guards against unbounded growth of the file.
TEST_F(HistoryTest, DropsCountsOutsideAllWindows) {
  ASSERT_TRUE(Update(MakeRecording("entry-1", 1, 30, kStart), kStart));
  const auto kept = Update(recording{}, kStart + 80 * kHourMs);
  ASSERT_TRUE(kept);
  EXPECT_TRUE(kept->sources.empty());
  EXPECT_EQ(kept->objective_set, test::MakeTwoObjectives());
}

// Guards against treating a corrupt file as an empty one and overwriting it.
TEST_F(HistoryTest, LeavesACorruptFileUnchanged) {
  const std::string good = ToJson(MakeRecording("entry-1", 1, 3, kStart));
  for (const std::string& bad :
       {std::string(), std::string("{}"), good.substr(0, good.size() / 2),
        good + "x", std::string(64, '\0')}) {
    WriteContent(bad);
    const auto r = Update(recording{}, kStart);
    ASSERT_FALSE(r);
    const auto f = std::get<core::storage_failed>(r.error());
    EXPECT_EQ(f.k, core::storage_failed::kind::kCorrupt);
    EXPECT_EQ(ReadContent(), bad);
  }
}

// Guards against reporting a missing folder as anything but a storage failure.
TEST_F(HistoryTest, MissingFolderIsAStorageFailure) {
  std::filesystem::remove_all(folder_);
  const auto r = Update(recording{}, kStart);
  ASSERT_FALSE(r);
  EXPECT_TRUE(std::holds_alternative<core::storage_failed>(r.error()));
}

// Guards against lost updates when several reports run concurrently.
TEST_F(HistoryTest, ConcurrentUpdatesKeepAllCounts) {
  std::vector<std::thread> threads;
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([this, i] {
      const std::string entry = "entry-" + std::to_string(i);
      EXPECT_TRUE(Update(MakeRecording(entry, 1, 10, kStart), kStart));
    });
  }
  for (std::thread& t : threads) t.join();
  const auto kept = Update(recording{}, kStart);
  ASSERT_TRUE(kept);
  EXPECT_EQ(CountCalls(*kept, kStart), 80u);
}

}  // namespace
}  // namespace mangoplank::report
