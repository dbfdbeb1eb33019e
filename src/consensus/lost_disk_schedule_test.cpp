#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <set>

#include "consensus/fake_cluster.h"

/// Schedules in which a member loses its disk while the leader changes. Each
/// round ends its faults and then checks that every member reaches the commit
/// of the leader within a bound.
namespace mangoplank::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDefaultSchedules = 100;
constexpr int kRounds = 6;
constexpr int kFaultsPerRound = 3;
// Elections may fail a few times after the faults, as in schedule_test.cpp.
constexpr int kElections = 6;
// A link that carries nothing is noticed, opened again, and carries the log.
constexpr int kReceiveTimeouts = 2;

class lost_disk_schedule {
 public:
  explicit lost_disk_schedule(std::uint64_t seed)
      : random_(seed),
        cluster_(seed % 4 == 0 ? 5 : 3, seed + 1,
                 [this](const auto& from, const auto& to, const message& sent) {
                   return DecideDelay(from, to, sent);
                 }) {
    cluster_.max_clock_skew = 0.024;
    cluster_.max_sync_delay = milliseconds(1 + random_() % 40);
    // Half of the seeds send snapshots, the others only entries.
    if (seed % 2 == 0) cluster_.base.snapshot_after_bytes = 1500;
    // The snapshot of the fake holds all commands, and has to be sent within
    // the time in which the next one is taken.
    cluster_.base.snapshot_chunk_bytes = 4000;
    cluster_.base.max_batch_bytes = 300;
    cluster_.base.max_inflight_batches = 3;
    if (seed % 3 == 0) cluster_.base.send_interval = milliseconds(4);
  }

  void Run() {
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) cluster_.Start(i);
    cluster_.AwaitLeader();
    cluster_.Spawn(WriteLoop());
    for (int round = 0; round < kRounds; ++round) {
      cluster_.RunFor(milliseconds(random_() % 1500));
      RunRound();
      if (testing::Test::HasFailure()) break;
    }
    done_ = true;
    cluster_.RunFor(seconds(4));
  }

  /// Longest time from the end of the faults of a round until all members had
  /// caught up.
  core::duration LongestCatchUp() const { return longest_; }

 private:
  std::optional<core::duration> DecideDelay(const core::member_id& from,
                                            const core::member_id& to,
                                            const message& sent) {
    if (blocked_links_.contains({from, to})) return std::nullopt;
    const bool is_snapshot = std::holds_alternative<snapshot_chunk>(sent) ||
                             std::holds_alternative<snapshot_reply>(sent);
    // The link drops this and all later messages.
    if (inject_link_faults_ && is_snapshot && random_() % 8 == 0) {
      return std::nullopt;
    }
    if (inject_link_faults_ && random_() % 100 == 0) return std::nullopt;
    const bool slow = inject_link_faults_ && random_() % 50 == 0;
    return core::duration(milliseconds(slow ? random_() % 400 : random_() % 9));
  }

  core::member_id MemberId(std::size_t i) {
    return cluster_.members[i]->info.id;
  }
  std::size_t RandomIndex() { return random_() % cluster_.members.size(); }
  std::size_t LeaderOrRandom() {
    const auto leader = cluster_.Leader();
    return leader && random_() % 2 == 0 ? *leader : RandomIndex();
  }

  void RunRound() {
    inject_link_faults_ = random_() % 2 == 0;
    const int lost_at = static_cast<int>(random_() % kFaultsPerRound);
    for (int fault = 0; fault < kFaultsPerRound; ++fault) {
      if (fault == lost_at) {
        lost_ = LeaderOrRandom();
        cluster_.LoseDisk(lost_);
        if (random_() % 2 == 0) cluster_.RunFor(milliseconds(random_() % 1500));
        cluster_.Start(lost_);
      } else {
        InjectFault();
      }
      cluster_.RunFor(milliseconds(random_() % 1500));
    }
    EndFaults();
    AwaitCatchUp();
    if (!testing::Test::HasFailure()) MakeAllVoters();
  }

  /// Only the round's lost disk is lost; all other members keep theirs.
  void InjectFault() {
    const std::size_t i = LeaderOrRandom();
    const std::size_t other = RandomIndex();
    switch (random_() % 6) {
      case 0:
        cluster_.EndProcess(i);
        if (random_() % 2 == 0) cluster_.Start(i);
        break;
      case 1:
        cluster_.Crash(i);
        if (random_() % 2 == 0) cluster_.Start(i);
        break;
      case 2:
        blocked_links_.insert({MemberId(i), MemberId(other)});
        break;
      case 3:
        for (std::size_t k = 0; k < cluster_.members.size(); ++k) {
          blocked_links_.insert({MemberId(i), MemberId(k)});
          blocked_links_.insert({MemberId(k), MemberId(i)});
        }
        break;
      case 4:
        if (cluster_.members[i]->runner) {
          cluster_.members[i]->runner->hangs_until =
              cluster_.clock.Now() + milliseconds(random_() % 2000);
        }
        break;
      default:
        if (cluster_.members[i]->HasStarted()) {
          cluster_.Spawn(TransferLeadership(i, MemberId(other)));
        }
    }
  }

  void EndFaults() {
    inject_link_faults_ = false;
    blocked_links_.clear();
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) {
      if (!cluster_.members[i]->node) cluster_.Start(i);
      cluster_.members[i]->runner->hangs_until = core::time_point();
    }
  }

  core::duration CatchUpBound() const {
    return kElections * cluster_.base.election_timeout +
           kReceiveTimeouts * cluster_.base.election_timeout * 3 / 2 +
           cluster_.base.heartbeat_interval;
  }

  void AwaitCatchUp() {
    const core::time_point start = cluster_.clock.Now();
    // Writes go on; what is committed now has to arrive.
    core::revision target = 0;
    for (const auto& m : cluster_.members) {
      if (m->HasStarted()) {
        target = std::max(target, m->node->Status().committed);
      }
    }
    const bool caught_up = cluster_.RunUntil(
        [&] {
          const auto leader = cluster_.Leader();
          if (!leader) return false;
          for (const auto& m : cluster_.members) {
            if (!m->HasStarted()) return false;
            if (m->node->Status().applied < target) return false;
          }
          const auto status = cluster_.At(*leader).Status();
          return status.committed > target;
        },
        CatchUpBound());
    longest_ = std::max(longest_, cluster_.clock.Now() - start);
    EXPECT_TRUE(caught_up) << "revision " << target << Dump();
  }

  /// The next disk is lost only once the former one is replaced.
  void MakeAllVoters() {
    const bool all_vote = cluster_.RunUntil(
        [&] {
          const auto leader = cluster_.Leader();
          if (!leader) return false;
          if (!changing_) {
            for (member m : cluster_.At(*leader).Status().members.members) {
              if (m.voter) continue;
              m.voter = true;
              changing_ = true;
              cluster_.Spawn(Promote(*leader, m));
              break;
            }
          }
          return !changing_ && AllVoteWithTheirDisk(*leader);
        },
        seconds(60));
    EXPECT_TRUE(all_vote) << "a member does not vote again" << Dump();
    // Every member knows the present members before the next loss.
    const bool known = cluster_.RunUntil(
        [&] {
          const auto leader = cluster_.Leader();
          if (!leader) return false;
          const node_status s = cluster_.At(*leader).Status();
          for (const auto& m : cluster_.members) {
            if (m->node->Status().members != s.members) return false;
            if (m->node->Status().committed < s.members.revision) return false;
          }
          return true;
        },
        seconds(20));
    EXPECT_TRUE(known) << Dump();
  }

  bool AllVoteWithTheirDisk(std::size_t leader) {
    const node_status s = cluster_.At(leader).Status();
    if (s.members.revision > s.committed) return false;
    for (const member& m : s.members.members) {
      if (!m.voter || m.disk_id == 0) return false;
      if (!cluster_.At(leader).IsCaughtUp(m.id) && m.id != MemberId(leader)) {
        return false;
      }
    }
    return true;
  }

  core::awaitable<void> Promote(std::size_t leader, member m) {
    co_await cluster_.At(leader).ChangeMember(m, false);
    changing_ = false;
  }

  core::awaitable<void> TransferLeadership(std::size_t i, core::member_id to) {
    co_await cluster_.At(i).TransferLeadership(std::move(to));
  }

  core::awaitable<void> WriteLoop() {
    for (int k = 0; !done_; ++k) {
      co_await core::SleepFor(cluster_.clock, milliseconds(random_() % 200));
      const auto leader = cluster_.Leader();
      if (!leader) continue;
      std::string command = std::to_string(k);
      command.resize(10 + random_() % 200, '.');
      cluster_.Spawn(Write(*leader, std::move(command)));
    }
  }

  core::awaitable<void> Write(std::size_t i, std::string command) {
    const auto revision = co_await cluster_.At(i).Propose(command);
    if (revision) newest_ = std::max(newest_, *revision);
  }

  std::string Dump() const {
    std::string out;
    for (const auto& m : cluster_.members) {
      if (!m->HasStarted()) {
        out += "\n" + m->info.id.v + " has not started";
        continue;
      }
      const node_status s = m->node->Status();
      out += "\n" + m->info.id.v + (s.is_leader ? " leads" : "") + " term " +
             std::to_string(s.term) + " committed " +
             std::to_string(s.committed) + " first log revision " +
             std::to_string(s.first_log_revision) + " members at " +
             std::to_string(s.members.revision) + ":";
      for (const member& listed : s.members.members) {
        out += " " + listed.id.v + (listed.voter ? " voter " : " learner ") +
               std::to_string(listed.disk_id);
      }
    }
    return out;
  }

  std::mt19937_64 random_;
  bool inject_link_faults_ = false;
  bool done_ = false;
  bool changing_ = false;
  std::size_t lost_ = 0;
  core::revision newest_ = 0;
  core::duration longest_{};
  std::set<std::pair<core::member_id, core::member_id>> blocked_links_;
  fake_cluster cluster_;
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

// Guards against a member that answers its leader and gets neither entries nor
// a snapshot: after the loss of its disk, a change of the leader, or both.
TEST(LostDiskScheduleTest, EveryMemberReachesTheCommitOfTheLeader) {
  const std::uint64_t first = FromEnvironment("MANGOPLANK_SEED", 1);
  const std::uint64_t count =
      FromEnvironment("MANGOPLANK_SCHEDULES", kDefaultSchedules);
  const auto level = spdlog::get_level();
  spdlog::set_level(spdlog::level::off);
  if (std::getenv("MANGOPLANK_TRACE") != nullptr) spdlog::set_level(level);
  core::duration longest{};
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    spdlog::info("seed {}", seed);
    lost_disk_schedule schedule(seed);
    schedule.Run();
    longest = std::max(longest, schedule.LongestCatchUp());
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
  spdlog::set_level(level);
  RecordProperty(
      "longest_catch_up_ms",
      static_cast<int>(
          std::chrono::duration_cast<milliseconds>(longest).count()));
}

}  // namespace
}  // namespace mangoplank::consensus
