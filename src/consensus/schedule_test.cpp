#include <gtest/gtest.h>
#include <spdlog/spdlog.h>

#include <cstdlib>
#include <set>

#include "consensus/fake_cluster.h"

/// Random schedules of faults. Each checks that no acknowledged command is lost
/// or changed, that all members apply the same sequence, that no two members
/// hold the lease at once, and that reads see all earlier acknowledged writes.
namespace mangoplank::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDefaultSchedules = 400;
constexpr std::size_t kClients = 4;
constexpr core::duration kTick = milliseconds(1);

class schedule {
 public:
  explicit schedule(std::uint64_t seed)
      : random_(seed),
        c_(seed % 4 == 0 ? 5 : 3, seed + 1,
           [this](const auto& from, const auto& to, const message&) {
             return Fate(from, to);
           }) {
    // Rates differ by less than 5% between any two clocks.
    c_.skew = 0.024;
    // With few writes, a member that hears no leader keeps a current log and
    // can win votes.
    if (seed % 3 == 0) pace_ = milliseconds(2500);
    c_.longest_sync = milliseconds(1 + random_() % 40);
    c_.base.snapshot_after_bytes = 1500;
    c_.base.snapshot_chunk_bytes = 200;
    c_.base.max_batch_bytes = 300;
    c_.base.max_inflight_batches = 3;
    c_.on_apply = [this](core::revision at, const std::string& data) {
      const auto [it, fresh] = history_.emplace(at, data);
      EXPECT_EQ(it->second, data) << "another command at revision " << at;
    };
    c_.check = [this] { CheckLease(); };
  }

  void Run() {
    for (std::size_t i = 0; i < c_.members.size(); ++i) c_.Start(i);
    for (std::size_t i = 0; i < kClients; ++i) c_.Go(Write(i));
    for (std::size_t i = 0; i < kClients; ++i) c_.Go(Read());
    for (int step = 0; step < 40; ++step) {
      c_.RunFor(milliseconds(random_() % 700));
      Disturb();
    }
    Heal();
    // A member that was down may have to pass through a few elections first.
    c_.RunFor(seconds(6));
    const std::size_t writes = acknowledged_.size();
    const std::size_t reads = reads_;
    c_.RunFor(seconds(4));
    EXPECT_GT(acknowledged_.size(), writes) << "no writes after the faults";
    EXPECT_GT(reads_, reads) << "no reads after the faults";
    done_ = true;
    c_.RunFor(seconds(4));
    CheckEnd();
  }

 private:
  std::optional<core::duration> Fate(const core::member_id& from,
                                     const core::member_id& to) {
    if (cuts_.contains({from, to})) return std::nullopt;
    // A link that goes silent for good.
    if (noisy_ && random_() % 300 == 0) return std::nullopt;
    const bool slow = noisy_ && random_() % 50 == 0;
    return core::duration(milliseconds(slow ? random_() % 400 : random_() % 9));
  }

  core::member_id Id(std::size_t i) { return c_.members[i]->who.id; }
  std::size_t Any() { return random_() % c_.members.size(); }

  void Disturb() {
    const std::size_t i = Any();
    const bool runs = c_.members[i]->n != nullptr;
    switch (random_() % 11) {
      case 0:
      case 1:
        if (runs) c_.Crash(i);
        break;
      case 2:
      case 3:
      case 4:
        for (std::size_t k = 0; k < c_.members.size(); ++k) {
          if (!c_.members[k]->n && random_() % 2 == 0) c_.Start(k);
        }
        break;
      case 5:
        cuts_.insert({Id(i), Id(Any())});
        break;
      case 6:
        for (std::size_t k = 0; k < c_.members.size(); ++k) {
          cuts_.insert({Id(i), Id(k)});
          cuts_.insert({Id(k), Id(i)});
        }
        break;
      case 7:
        cuts_.clear();
        break;
      case 8:
        // Loss of power at all members at once.
        for (std::size_t k = 0; k < c_.members.size(); ++k) c_.Crash(k);
        break;
      case 9:
        if (runs) c_.Go(Change(i, c_.members[Any()]->who));
        break;
      default:
        if (runs) c_.Go(Transfer(i, Id(Any())));
    }
  }

  void Heal() {
    noisy_ = false;
    pace_ = milliseconds(150);
    cuts_.clear();
    for (std::size_t i = 0; i < c_.members.size(); ++i) {
      if (!c_.members[i]->n) c_.Start(i);
    }
  }

  core::awaitable<void> Transfer(std::size_t i, core::member_id to) {
    co_await c_.At(i).TransferLeadership(std::move(to));
  }

  core::awaitable<void> Change(std::size_t i, member m) {
    m.voter = random_() % 3 != 0;
    co_await c_.At(i).ChangeMember(m, false);
  }

  core::awaitable<void> Write(std::size_t client) {
    ++running_;
    for (int k = 0; !done_; ++k) {
      co_await core::SleepFor(c_.clock, random_() % pace_.count() * kTick);
      const std::size_t i = Any();
      if (!c_.members[i]->n) continue;
      std::string command = std::to_string(client) + "/" + std::to_string(k);
      command.resize(10 + random_() % 200, '.');
      const auto at = co_await c_.At(i).Propose(command);
      if (at) acknowledged_.emplace(*at, command);
    }
    --running_;
  }

  core::awaitable<void> Read() {
    ++running_;
    while (!done_) {
      co_await core::SleepFor(c_.clock, random_() % pace_.count() * kTick);
      const std::size_t i = Any();
      if (!c_.members[i]->n) continue;
      const core::revision newest =
          acknowledged_.empty() ? 0 : acknowledged_.rbegin()->first;
      const auto machine = c_.members[i]->machine;
      const auto read = co_await c_.At(i).ReadBarrier(read_check::kLease);
      if (!read) continue;
      ++reads_;
      EXPECT_GE(*read, newest) << "a read missed an acknowledged write";
      const core::revision seen =
          machine->applied.empty() ? 0 : machine->applied.back().first;
      EXPECT_GE(seen, newest) << "an acknowledged write is not applied";
    }
    --running_;
  }

  void CheckLease() {
    std::size_t holders = 0;
    for (const auto& m : c_.members) {
      if (m->n && m->n->HoldsLease()) ++holders;
    }
    ASSERT_LE(holders, 1u) << "two members hold the lease";
  }

  std::string Dump() const {
    std::string out;
    for (const auto& m : c_.members) {
      const node_status s = m->n->Status();
      out += "\n" + m->who.id.v + " term " + std::to_string(s.t) +
             " committed " + std::to_string(s.committed) + " members at " +
             std::to_string(s.members.at) + ":";
      for (const member& one : s.members.members) {
        out += " " + one.id.v + (one.voter ? " voter " : " learner ") +
               std::to_string(one.disk);
      }
    }
    return out;
  }

  void CheckEnd() {
    EXPECT_EQ(running_, 0u) << "a proposal or read hangs";
    ASSERT_TRUE(c_.Leader()) << "no leader after all faults ended" << Dump();
    for (const auto& m : c_.members) {
      ASSERT_TRUE(m->HasStarted())
          << (*m->started ? core::Describe((*m->started)->error()) : "waits");
      const auto& applied = m->machine->applied;
      // Equal to the one history, without gaps.
      EXPECT_EQ((std::map(applied.begin(), applied.end())), history_);
      EXPECT_EQ(applied.size(), history_.size());
    }
    for (const auto& [at, command] : acknowledged_) {
      const auto it = history_.find(at);
      ASSERT_NE(it, history_.end()) << "lost: " << command;
      EXPECT_EQ(it->second, command);
    }
  }

  std::mt19937_64 random_;
  /// Longest pause of a client between two requests.
  milliseconds pace_{150};
  bool noisy_ = true;
  bool done_ = false;
  std::size_t running_ = 0;
  std::size_t reads_ = 0;
  std::set<std::pair<core::member_id, core::member_id>> cuts_;
  std::map<core::revision, std::string> history_;
  std::map<core::revision, std::string> acknowledged_;
  fake_cluster c_;
};

std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

TEST(ScheduleTest, KeepsItsPromisesUnderRandomFaults) {
  const std::uint64_t first = FromEnvironment("MANGOPLANK_SEED", 1);
  const std::uint64_t count =
      FromEnvironment("MANGOPLANK_SCHEDULES", kDefaultSchedules);
  const auto level = spdlog::get_level();
  spdlog::set_level(spdlog::level::off);
  if (std::getenv("MANGOPLANK_TRACE") != nullptr) spdlog::set_level(level);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    schedule(seed).Run();
    ASSERT_FALSE(HasFailure()) << "seed " << seed;
  }
  spdlog::set_level(level);
}

}  // namespace
}  // namespace mangoplank::consensus
