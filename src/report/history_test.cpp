#include "mangoplank/report/history.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <thread>

#include "mangoplank/report/burn.h"
#include "mangoplank/report/json.h"
#include "report/test_streams.h"

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
  void Put(const std::string& text) { std::ofstream(File()) << text; }
  std::string Content() const {
    std::ifstream in(File());
    return {std::istreambuf_iterator<char>(in), {}};
  }

  std::filesystem::path folder_;
};

recording Counted(const std::string& entry, core::incarnation started,
                  int calls, core::wall_time_ms at) {
  recorder r({{entry}, started}, {"sieradz"});
  r.SetObjectives(test::TwoObjectives());
  for (int i = 0; i < calls; ++i) {
    r.Add(test::Declared("check").key, {cell::ending::kDone}, {}, at);
  }
  return r.Recording(at);
}

std::uint64_t Calls(const recording& r, core::wall_time_ms now) {
  const burn_report report = Evaluate(r, now);
  std::uint64_t n = 0;
  for (const objective_status& s : report.objectives) {
    n += s.tallies[std::size_t(window::kThreeDays)].Total();
  }
  return n;
}

// Guards against counts lost with an entry that restarted or was lost, and
// against counts read twice being counted twice.
TEST_F(HistoryTest, KeepsWhatALostEntryCounted) {
  ASSERT_TRUE(Update(Counted("entry-1", 1, 30, kStart), kStart));
  ASSERT_TRUE(Update(Counted("entry-1", 1, 40, kStart), kStart));
  ASSERT_TRUE(Update(Counted("entry-2", 1, 5, kStart), kStart));
  const core::wall_time_ms later = kStart + kHourMs;
  const auto kept = Update(Counted("entry-1", 2, 7, later), later);
  ASSERT_TRUE(kept);
  EXPECT_EQ(Calls(*kept, later), 52u);
  const auto read = core::Capture([&] { return FromJson(Content()); });
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, *kept);
}

// Guards against a file that grows without bound.
TEST_F(HistoryTest, ForgetsWhatIsOutOfAllWindows) {
  ASSERT_TRUE(Update(Counted("entry-1", 1, 30, kStart), kStart));
  const auto kept = Update(recording{}, kStart + 80 * kHourMs);
  ASSERT_TRUE(kept);
  EXPECT_TRUE(kept->sources.empty());
  EXPECT_EQ(kept->objectives, test::TwoObjectives());
}

// Guards against a damaged file being taken for an empty one, and overwritten.
TEST_F(HistoryTest, LeavesADamagedFileAsItIs) {
  const std::string good = ToJson(Counted("entry-1", 1, 3, kStart));
  for (const std::string& bad :
       {std::string(), std::string("{}"), good.substr(0, good.size() / 2),
        good + "x", std::string(64, '\0')}) {
    Put(bad);
    const auto r = Update(recording{}, kStart);
    ASSERT_FALSE(r);
    const auto f = std::get<core::storage_failed>(r.error());
    EXPECT_EQ(f.k, core::storage_failed::kind::kCorrupt);
    EXPECT_EQ(Content(), bad);
  }
}

// Guards against an unusable folder reported as something else.
TEST_F(HistoryTest, NamesAFolderThatIsNotThere) {
  std::filesystem::remove_all(folder_);
  const auto r = Update(recording{}, kStart);
  ASSERT_FALSE(r);
  EXPECT_TRUE(std::holds_alternative<core::storage_failed>(r.error()));
}

// Guards against two reports at once that lose each other's counts.
TEST_F(HistoryTest, UpdatesAtOnceKeepAllCounts) {
  std::vector<std::thread> threads;
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([this, i] {
      const std::string entry = "entry-" + std::to_string(i);
      EXPECT_TRUE(Update(Counted(entry, 1, 10, kStart), kStart));
    });
  }
  for (std::thread& t : threads) t.join();
  const auto kept = Update(recording{}, kStart);
  ASSERT_TRUE(kept);
  EXPECT_EQ(Calls(*kept, kStart), 80u);
}

}  // namespace
}  // namespace mangoplank::report
