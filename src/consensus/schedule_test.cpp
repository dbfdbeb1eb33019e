#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <set>

#include "consensus/fake_cluster.h"

/// Random fault schedules. Each checks that no acknowledged command is lost or
/// changed, that all members apply the same sequence, that no two members hold
/// the lease at once, and that reads see all previously acknowledged writes.
namespace mangoplank::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDefaultSchedules = 400;
constexpr std::size_t kClients = 4;
constexpr core::duration kTick = milliseconds(1);

class fault_schedule {
 public:
  explicit fault_schedule(std::uint64_t seed)
      : random_(seed),
        cluster_(seed % 4 == 0 ? 5 : 3, seed + 1,
                 [this](const auto& from, const auto& to, const message&) {
                   return DecideDelay(from, to);
                 }) {
    // The rates of any two clocks differ by less than 5%.
    cluster_.max_clock_skew = 0.024;
    // With few writes, a member that receives nothing from the leader keeps an
    // up-to-date log and can win votes.
    if (seed % 3 == 0) max_pause_ = milliseconds(2500);
    cluster_.max_sync_delay = milliseconds(1 + random_() % 40);
    cluster_.base.snapshot_after_bytes = 1500;
    cluster_.base.snapshot_chunk_bytes = 200;
    cluster_.base.max_batch_bytes = 300;
    cluster_.base.max_inflight_batches = 3;
    if (seed % 2 == 0) cluster_.base.send_interval = milliseconds(4);
    cluster_.on_apply = [this](core::revision revision,
                               const std::string& data) {
      const auto [it, fresh] = applied_commands_.emplace(revision, data);
      EXPECT_EQ(it->second, data) << "another command at revision " << revision;
    };
    cluster_.after_step = [this] { CheckLease(); };
  }

  void Run() {
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) cluster_.Start(i);
    for (std::size_t i = 0; i < kClients; ++i) cluster_.Spawn(WriteLoop(i));
    for (std::size_t i = 0; i < kClients; ++i) cluster_.Spawn(ReadLoop());
    for (int step = 0; step < 40; ++step) {
      cluster_.RunFor(milliseconds(random_() % 700));
      InjectFault();
    }
    EndFaults();
    // A member that was down may cause a few elections first.
    cluster_.RunFor(seconds(6));
    const std::size_t writes = acknowledged_.size();
    const std::size_t reads = reads_;
    cluster_.RunFor(seconds(4));
    EXPECT_GT(acknowledged_.size(), writes) << "no writes after the faults";
    EXPECT_GT(reads_, reads) << "no reads after the faults";
    done_ = true;
    cluster_.RunFor(seconds(4));
    CheckFinalState();
  }

 private:
  std::optional<core::duration> DecideDelay(const core::member_id& from,
                                            const core::member_id& to) {
    if (blocked_links_.contains({from, to})) return std::nullopt;
    // The link drops this and all later messages.
    if (inject_link_faults_ && random_() % 300 == 0) return std::nullopt;
    const bool slow = inject_link_faults_ && random_() % 50 == 0;
    return core::duration(milliseconds(slow ? random_() % 400 : random_() % 9));
  }

  core::member_id MemberId(std::size_t i) {
    return cluster_.members[i]->info.id;
  }
  std::size_t RandomIndex() { return random_() % cluster_.members.size(); }

  void InjectFault() {
    const std::size_t i = RandomIndex();
    const bool runs = cluster_.members[i]->node != nullptr;
    switch (random_() % 12) {
      case 0:
      case 1:
        if (runs) cluster_.Crash(i);
        break;
      case 2:
      case 3:
      case 4:
        for (std::size_t k = 0; k < cluster_.members.size(); ++k) {
          if (!cluster_.members[k]->node && random_() % 2 == 0) {
            cluster_.Start(k);
          }
        }
        break;
      case 5:
        blocked_links_.insert({MemberId(i), MemberId(RandomIndex())});
        break;
      case 6:
        for (std::size_t k = 0; k < cluster_.members.size(); ++k) {
          blocked_links_.insert({MemberId(i), MemberId(k)});
          blocked_links_.insert({MemberId(k), MemberId(i)});
        }
        break;
      case 7:
        blocked_links_.clear();
        break;
      case 8:
        // Power loss at all members at once.
        for (std::size_t k = 0; k < cluster_.members.size(); ++k) {
          cluster_.Crash(k);
        }
        break;
      case 9:
        if (runs) cluster_.EndProcess(i);
        break;
      case 10:
        if (runs) {
          cluster_.Spawn(
              ChangeMember(i, cluster_.members[RandomIndex()]->info));
        }
        break;
      default:
        if (runs) {
          cluster_.Spawn(TransferLeadership(i, MemberId(RandomIndex())));
        }
    }
  }

  void EndFaults() {
    inject_link_faults_ = false;
    max_pause_ = milliseconds(150);
    blocked_links_.clear();
    for (std::size_t i = 0; i < cluster_.members.size(); ++i) {
      if (!cluster_.members[i]->node) cluster_.Start(i);
    }
  }

  core::awaitable<void> TransferLeadership(std::size_t i, core::member_id to) {
    co_await cluster_.At(i).TransferLeadership(std::move(to));
  }

  core::awaitable<void> ChangeMember(std::size_t i, member m) {
    m.voter = random_() % 3 != 0;
    co_await cluster_.At(i).ChangeMember(m, false);
  }

  core::awaitable<void> WriteLoop(std::size_t client) {
    ++running_clients_;
    for (int k = 0; !done_; ++k) {
      co_await core::SleepFor(cluster_.clock,
                              random_() % max_pause_.count() * kTick);
      const std::size_t i = RandomIndex();
      if (!cluster_.members[i]->node) continue;
      std::string command = std::to_string(client) + "/" + std::to_string(k);
      command.resize(10 + random_() % 200, '.');
      const auto revision = co_await cluster_.At(i).Propose(command);
      if (revision) acknowledged_.emplace(*revision, command);
    }
    --running_clients_;
  }

  core::awaitable<void> ReadLoop() {
    ++running_clients_;
    while (!done_) {
      co_await core::SleepFor(cluster_.clock,
                              random_() % max_pause_.count() * kTick);
      const std::size_t i = RandomIndex();
      if (!cluster_.members[i]->node) continue;
      const core::revision newest =
          acknowledged_.empty() ? 0 : acknowledged_.rbegin()->first;
      const auto machine = cluster_.members[i]->machine;
      const auto read = co_await cluster_.At(i).ReadBarrier(read_check::kLease);
      if (!read) continue;
      ++reads_;
      EXPECT_GE(*read, newest) << "a read missed an acknowledged write";
      const core::revision seen =
          machine->applied.empty() ? 0 : machine->applied.back().first;
      EXPECT_GE(seen, newest) << "an acknowledged write is not applied";
    }
    --running_clients_;
  }

  void CheckLease() {
    std::size_t holders = 0;
    for (const auto& m : cluster_.members) {
      if (m->node && m->node->HoldsLease()) ++holders;
    }
    ASSERT_LE(holders, 1u) << "two members hold the lease";
  }

  std::string Dump() const {
    std::string out;
    for (const auto& m : cluster_.members) {
      const node_status s = m->node->Status();
      out += "\n" + m->info.id.v + " term " + std::to_string(s.term) +
             " committed " + std::to_string(s.committed) + " members at " +
             std::to_string(s.members.revision) + ":";
      for (const member& listed : s.members.members) {
        out += " " + listed.id.v + (listed.voter ? " voter " : " learner ") +
               std::to_string(listed.disk_id);
      }
    }
    return out;
  }

  void CheckFinalState() {
    EXPECT_EQ(running_clients_, 0u) << "a proposal or read hangs";
    ASSERT_TRUE(cluster_.Leader())
        << "no leader after all faults ended" << Dump();
    for (const auto& m : cluster_.members) {
      ASSERT_TRUE(m->HasStarted())
          << (*m->started ? core::Describe((*m->started)->error()) : "waits");
      const auto& applied = m->machine->applied;
      // Each member applied the same commands, without gaps.
      EXPECT_EQ((std::map(applied.begin(), applied.end())), applied_commands_);
      EXPECT_EQ(applied.size(), applied_commands_.size());
    }
    for (const auto& [revision, command] : acknowledged_) {
      const auto it = applied_commands_.find(revision);
      ASSERT_NE(it, applied_commands_.end()) << "lost: " << command;
      EXPECT_EQ(it->second, command);
    }
  }

  std::mt19937_64 random_;
  /// Longest pause of a client between two requests.
  milliseconds max_pause_{150};
  bool inject_link_faults_ = true;
  bool done_ = false;
  std::size_t running_clients_ = 0;
  std::size_t reads_ = 0;
  std::set<std::pair<core::member_id, core::member_id>> blocked_links_;
  std::map<core::revision, std::string> applied_commands_;
  std::map<core::revision, std::string> acknowledged_;
  fake_cluster cluster_;
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

TEST(ScheduleTest, KeepsItsGuaranteesUnderRandomFaults) {
  const std::uint64_t first = FromEnvironment("MANGOPLANK_SEED", 1);
  const std::uint64_t count =
      FromEnvironment("MANGOPLANK_SCHEDULES", kDefaultSchedules);
  const auto level = spdlog::get_level();
  spdlog::set_level(spdlog::level::off);
  if (std::getenv("MANGOPLANK_TRACE") != nullptr) spdlog::set_level(level);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    fault_schedule(seed).Run();
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
  spdlog::set_level(level);
}

}  // namespace
}  // namespace mangoplank::consensus
