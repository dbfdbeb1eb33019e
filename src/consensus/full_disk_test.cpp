#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstdlib>
#include <numeric>

#include "consensus/fake_cluster.h"

/// Disks that are full for some seconds, one member after another, while
/// commands are proposed and snapshots are taken. The room left decides which
/// write fails and how much of it is written before. Ended processes are
/// restarted, as the platform does.
namespace mangoplank::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDefaultSchedules = 200;
constexpr std::size_t kClients = 3;
constexpr core::duration kStep = milliseconds(20);
/// A write is expected within this time while one member has a full disk.
constexpr core::duration kServiceBound = seconds(3);

class full_disk_schedule {
 public:
  explicit full_disk_schedule(std::uint64_t seed)
      : random_(seed), cluster_(1 + seed % 3 * 2, seed + 1) {
    cluster_.max_sync_delay = milliseconds(1 + random_() % 20);
    cluster_.base.snapshot_after_bytes = 1500;
    cluster_.base.snapshot_chunk_bytes = 200;
    cluster_.base.max_batch_bytes = 300;
    cluster_.on_apply = [this](core::revision revision,
                               const std::string& data) {
      const auto [it, fresh] = applied_commands_.emplace(revision, data);
      EXPECT_EQ(it->second, data) << "another command at revision " << revision;
    };
    // Some members end before their disk has room.
    if (random_() % 2 == 0) {
      cluster_.base.full_disk_wait = milliseconds(random_() % 1000);
    }
    is_read_only_ = random_() % 2 == 0;
    loses_power_ = random_() % 4 == 0;
    joins_ = random_() % 4 == 0;
  }

  /// @return the number of processes that ended.
  std::size_t Run() {
    processes_.resize(cluster_.members.size());
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) Start(i);
    if (random_() % 8 != 0) cluster_.AwaitLeader();
    for (std::size_t i = 0; i < kClients; ++i) cluster_.Spawn(WriteLoop(i));
    if (joins_) AddLearner();
    std::vector<std::size_t> order(cluster_.members.size());
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), random_);
    for (std::size_t i : order) {
      RunFor(milliseconds(random_() % 2000));
      // Each second time the leader's disk is next.
      if (random_() % 2 == 0) i = cluster_.Leader().value_or(i);
      FillDisk(i, kServiceBound);
      // Again while the member catches up, maybe by a snapshot.
      if (random_() % 2 == 0) {
        RunFor(milliseconds(random_() % 300));
        FillDisk(i, milliseconds(500));
      }
    }
    // Long enough to write again, too short for the next snapshot.
    RunFor(milliseconds(random_() % 700));
    const std::size_t ends = ends_;
    // What is left on the disks must do for another start.
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) {
      if (loses_power_) {
        cluster_.Crash(i);
      } else {
        cluster_.EndProcess(i);
      }
    }
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) Start(i);
    CheckService();
    return ends;
  }

 private:
  struct process {
    std::shared_ptr<std::optional<core::failure>> stopped;
    std::optional<core::time_point> restart;
  };

  void Start(std::size_t i) {
    cluster_.Start(i);
    processes_[i] = {cluster_.Spawn(cluster_.At(i).Stopped()), std::nullopt};
    cluster_.RunReadyTasks();
  }

  void AddLearner() {
    cluster_.base.create = false;
    cluster_.base.join = true;
    const std::size_t i = cluster_.AddMember();
    processes_.resize(cluster_.members.size());
    cluster_.members[i]->disk->is_read_only_when_full = is_read_only_;
    cluster_.members[i]->disk->LimitRoom(random_() % 400);
    Start(i);
    cluster_.Spawn(Join(i));
  }

  core::awaitable<void> Join(std::size_t i) {
    member joining = cluster_.members[i]->info;
    while (!done_) {
      joining.voter = true;
      const auto leader = cluster_.Leader();
      if (leader) {
        const auto added =
            co_await cluster_.At(*leader).ChangeMember(joining, false);
        if (added) co_return;
      }
      co_await core::SleepFor(cluster_.clock, milliseconds(100));
    }
  }

  void RunFor(core::duration duration) {
    const core::time_point end = cluster_.clock.Now() + duration;
    while (cluster_.clock.Now() < end) {
      cluster_.RunFor(kStep);
      for (std::size_t i = 0; i < processes_.size(); ++i) Supervise(i);
    }
  }

  /// Restarts an ended process after a short delay.
  void Supervise(std::size_t i) {
    process& p = processes_[i];
    const auto& started = cluster_.members[i]->started;
    const bool start_failed = started && *started && !**started;
    if (p.restart && cluster_.clock.Now() >= *p.restart) {
      Start(i);
    } else if (!p.restart && (p.stopped->has_value() || start_failed)) {
      ++ends_;
      cluster_.EndProcess(i);
      p.restart = cluster_.clock.Now() + milliseconds(100 + random_() % 400);
    }
  }

  void FillDisk(std::size_t i, core::duration duration) {
    fake_disk& full = *cluster_.members[i]->disk;
    full.is_read_only_when_full = is_read_only_;
    if (random_() % 2 == 0) {
      full.LimitRoom(random_() % 3000);
    } else {
      full.calls_until_full = random_() % 12;
    }
    const std::size_t before = acknowledged_.size();
    RunFor(duration);
    if (cluster_.members.size() >= 3 && duration >= kServiceBound) {
      EXPECT_GT(acknowledged_.size(), before)
          << "no writes while m" << i << " has a full disk";
    }
    if (loses_power_ && !processes_[i].restart) {
      cluster_.Crash(i);
      processes_[i].restart = cluster_.clock.Now();
    }
    for (const auto& m : cluster_.members) {
      m->disk->capacity = SIZE_MAX;
      m->disk->calls_until_full.reset();
    }
  }

  core::awaitable<void> WriteLoop(std::size_t client) {
    ++running_clients_;
    for (int k = 0; !done_; ++k) {
      co_await core::SleepFor(cluster_.clock,
                              milliseconds(1 + random_() % 400));
      const auto leader = cluster_.Leader();
      if (!leader) continue;
      std::string command = std::to_string(client) + "/" + std::to_string(k);
      command.resize(10 + random_() % 200, '.');
      const auto revision = co_await cluster_.At(*leader).Propose(command);
      if (revision) acknowledged_.emplace(*revision, command);
    }
    --running_clients_;
  }

  void CheckService() {
    RunFor(kServiceBound);
    // Every voter can lead and commit.
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) {
      const auto leader = cluster_.Leader();
      ASSERT_TRUE(leader) << "no leader after the last disk has room";
      const core::member_id to = cluster_.members[i]->info.id;
      if (*leader != i) {
        cluster_.Await(cluster_.At(*leader).TransferLeadership(to));
      }
      RunFor(milliseconds(500));
      ASSERT_EQ(cluster_.Leader(), i) << "m" << i << " can't lead";
      const auto written = cluster_.Await(cluster_.At(i).Propose("last"));
      ASSERT_TRUE(written) << core::Describe(written.error());
      acknowledged_.emplace(*written, "last");
    }
    done_ = true;
    RunFor(seconds(2));
    EXPECT_EQ(running_clients_, 0u) << "a proposal hangs";
    for (const auto& m : cluster_.members) {
      ASSERT_TRUE(m->HasStarted()) << m->info.id.v;
      const auto& applied = m->machine->applied;
      EXPECT_EQ((std::map(applied.begin(), applied.end())), applied_commands_)
          << m->info.id.v;
      EXPECT_FALSE(m->disk->files.contains(fake_disk::kTemporaryName));
    }
    for (const auto& [revision, command] : acknowledged_) {
      const auto it = applied_commands_.find(revision);
      ASSERT_NE(it, applied_commands_.end()) << "lost: " << command;
      EXPECT_EQ(it->second, command);
    }
  }

  std::mt19937_64 random_;
  bool is_read_only_ = false;
  bool loses_power_ = false;
  bool joins_ = false;
  bool done_ = false;
  std::size_t running_clients_ = 0;
  std::size_t ends_ = 0;
  std::vector<process> processes_;
  std::map<core::revision, std::string> applied_commands_;
  std::map<core::revision, std::string> acknowledged_;
  fake_cluster cluster_;
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Guards against a cell that refuses changes, loses them, or has a member that
// never writes again, after each disk was full for some seconds.
TEST(FullDiskTest, CellServesWhileEachDiskIsFullInTurn) {
  const std::uint64_t first = FromEnvironment("MANGOPLANK_SEED", 1);
  const std::uint64_t count =
      FromEnvironment("MANGOPLANK_SCHEDULES", kDefaultSchedules);
  const auto level = spdlog::get_level();
  spdlog::set_level(spdlog::level::off);
  if (std::getenv("MANGOPLANK_TRACE") != nullptr) spdlog::set_level(level);
  std::size_t ends = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    ends += full_disk_schedule(seed).Run();
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
  spdlog::set_level(level);
  RecordProperty("ended_processes", static_cast<int>(ends));
  std::printf("%zu processes ended\n", ends);
}

}  // namespace
}  // namespace mangoplank::consensus
