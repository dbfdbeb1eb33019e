#include <fcntl.h>
#include <fmt/format.h>
#include <spdlog/spdlog.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "bench.h"
#include "consensus/memory_link.h"
#include "mangoplank/consensus/local_disk.h"
#include "mangoplank/consensus/node.h"
#include "mangoplank/wire/codec.h"

namespace mangoplank::bench {

namespace {

namespace asio = boost::asio;
using std::chrono::seconds;

constexpr std::size_t kMembers = 3;
constexpr std::size_t kCommandBytes = 100;
constexpr std::size_t kWriters = 512;
constexpr core::duration kLoadTime = seconds(4);
constexpr std::size_t kSingleWrites = 500;
constexpr std::size_t kBehind = 100'000;
constexpr std::size_t kFailovers = 5;
constexpr core::duration kIdleTime = seconds(5);
constexpr core::duration kLongestWait = seconds(30);
// Length, checksum and type of a frame on the wire.
constexpr std::size_t kFrameBytes = 12;

void Print(const std::string& name, double value, const char* unit) {
  fmt::print("{} {:.2f} {}\n", name, value, unit);
}

double Milliseconds(core::duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

/// @return the value below which the share `q` of the samples lies, in ms.
double Quantile(std::vector<core::duration> samples, double q) {
  if (samples.empty()) return 0;
  std::sort(samples.begin(), samples.end());
  const auto last = static_cast<double>(samples.size() - 1);
  return Milliseconds(samples[static_cast<std::size_t>(q * last)]);
}

/// Keeps the commands, so that its snapshot has the size of what was written.
class kept_commands : public consensus::state_machine {
 public:
  std::size_t count = 0;

  void Apply(const consensus::log_entry& e, bool) override {
    if (e.kind != consensus::entry_kind::kCommand) return;
    ++count;
    data_ += e.data;
  }
  std::string TakeSnapshot() override { return data_; }
  core::result<void> Restore(std::string_view data, core::revision) override {
    data_ = data;
    count = data.size() / kCommandBytes;
    return {};
  }
  void OnLeadershipChange(bool, core::term) override {}

 private:
  std::string data_;
};

struct bench_member {
  consensus::member who;
  std::unique_ptr<consensus::local_disk> files;
  std::unique_ptr<consensus::thread_runner> runner;
  std::unique_ptr<consensus::transport> links;
  std::unique_ptr<kept_commands> machine;
  std::unique_ptr<consensus::node> n;
};

/// Three members in one thread, each with its own folder and disk thread.
class bench_cell {
 public:
  explicit bench_cell(std::uint64_t snapshot_after_bytes)
      : clock(context_.get_executor()),
        network_(context_.get_executor(), clock,
                 [this](const auto&, const auto&, const auto& m) {
                   return Count(m);
                 }) {
    char pattern[] = "/tmp/mangoplank-bench-XXXXXX";
    if (::mkdtemp(pattern) != nullptr) folder = pattern;
    settings_.cell = {"bench"};
    settings_.create = true;
    settings_.snapshot_after_bytes = snapshot_after_bytes;
    for (std::size_t i = 0; i < kMembers; ++i) {
      members[i].who.id = {fmt::format("m{}", i)};
      members[i].who.address = {"127.0.0.1", 1};
      settings_.initial_members.push_back(members[i].who);
    }
  }
  ~bench_cell() {
    for (std::size_t i = 0; i < kMembers; ++i) Kill(i);
    context_.restart();
    context_.poll();
    for (bench_member& m : members) m.runner.reset();
    std::filesystem::remove_all(folder);
  }

  core::awaitable<void> Start(std::size_t i) {
    bench_member& m = members[i];
    m.files =
        std::make_unique<consensus::local_disk>(folder + "/" + m.who.id.v);
    m.runner = std::make_unique<consensus::thread_runner>();
    m.links = network_.TransportOf(m.who.id);
    m.machine = std::make_unique<kept_commands>();
    consensus::node_settings s = settings_;
    s.self = m.who.id;
    m.n = std::make_unique<consensus::node>(s, context_.get_executor(), clock,
                                            *m.links, *m.files, *m.runner,
                                            *m.machine, i + 1);
    network_.Listen(m.who.id, [this, i](auto link) {
      asio::co_spawn(context_, members[i].n->Serve(std::move(link)),
                     asio::detached);
    });
    const auto started = co_await m.n->Start();
    if (!started) spdlog::error("{}", core::Describe(started.error()));
  }
  core::awaitable<void> StartAll() {
    for (std::size_t i = 0; i < kMembers; ++i) co_await Start(i);
    co_await AwaitLeader();
  }
  /// Ends a member without notice.
  void Kill(std::size_t i) {
    network_.Listen(members[i].who.id, nullptr);
    members[i].n.reset();
    network_.CloseLinksOf(members[i].who.id);
  }
  /// Ends a member in order, so that it can start again.
  core::awaitable<void> Stop(std::size_t i) {
    network_.Listen(members[i].who.id, nullptr);
    network_.CloseLinksOf(members[i].who.id);
    co_await members[i].n->Stop();
    members[i].n.reset();
  }
  core::awaitable<std::size_t> AwaitLeader() {
    const core::time_point limit = clock.Now() + kLongestWait;
    while (clock.Now() < limit) {
      for (std::size_t i = 0; i < kMembers; ++i) {
        if (members[i].n && members[i].n->HoldsLease()) co_return i;
      }
      co_await core::SleepFor(clock, core::milliseconds(1));
    }
    fmt::print(stderr, "no leader within the limit\n");
    std::filesystem::remove_all(folder);
    std::_Exit(1);
  }
  void Spawn(core::awaitable<void> task) {
    asio::co_spawn(context_, std::move(task), asio::detached);
  }
  /// Runs a task to its end.
  void Run(core::awaitable<void> task) {
    bool done = false;
    asio::co_spawn(context_, std::move(task),
                   [&](const std::exception_ptr&) { done = true; });
    context_.restart();
    while (!done) context_.run_one();
  }

 private:
  std::optional<core::duration> Count(const consensus::message& m) {
    if (counting) sent_bytes += wire::Encode(m).size() + kFrameBytes;
    return core::duration(0);
  }

  asio::io_context context_;

 public:
  core::system_clock clock;
  bench_member members[kMembers];
  std::string folder;
  bool counting = false;
  std::size_t sent_bytes = 0;

 private:
  consensus::memory_network network_;
  consensus::node_settings settings_;
};

struct load {
  std::vector<core::duration> latencies;
  std::size_t running = 0;
  std::size_t failed = 0;
};

core::awaitable<void> WriteUntil(bench_cell& c, std::size_t leader,
                                 core::time_point end, load& l) {
  while (c.clock.Now() < end) {
    const core::time_point from = c.clock.Now();
    std::string command(kCommandBytes, 'x');
    const auto at = co_await c.members[leader].n->Propose(std::move(command));
    if (at) {
      l.latencies.push_back(c.clock.Now() - from);
    } else {
      ++l.failed;
    }
  }
  --l.running;
}

/// Appends and syncs without anything else, in the folder of the cell.
class bare_file {
 public:
  explicit bare_file(const std::string& folder)
      : fd_(::open((folder + "/bare").c_str(), O_WRONLY | O_APPEND | O_CREAT,
                   0600)) {}
  ~bare_file() { ::close(fd_); }
  bare_file(const bare_file&) = delete;
  bare_file& operator=(const bare_file&) = delete;

  /// @return the time of one append and fdatasync of a command.
  core::duration Sync() {
    const std::string data(kCommandBytes, 'x');
    const auto from = std::chrono::steady_clock::now();
    const bool good =
        ::write(fd_, data.data(), data.size()) > 0 && ::fdatasync(fd_) == 0;
    if (!good) spdlog::error("the bare file can't be written");
    return std::chrono::steady_clock::now() - from;
  }

 private:
  int fd_;
};

core::awaitable<void> MeasureLoad(bench_cell& c) {
  const std::size_t leader = co_await c.AwaitLeader();
  load l;
  l.running = kWriters;
  const core::time_point from = c.clock.Now();
  for (std::size_t i = 0; i < kWriters; ++i) {
    c.Spawn(WriteUntil(c, leader, from + kLoadTime, l));
  }
  while (l.running > 0) {
    co_await core::SleepFor(c.clock, core::milliseconds(5));
  }
  const double elapsed = Milliseconds(c.clock.Now() - from) / 1000;
  const auto writes = static_cast<double>(l.latencies.size());
  Print("writers", kWriters, "count");
  Print("committed_writes", writes / elapsed, "1/s");
  Print("failed_writes", static_cast<double>(l.failed), "count");
  Print("loaded_write_p50", Quantile(l.latencies, 0.5), "ms");
  Print("loaded_write_p99", Quantile(l.latencies, 0.99), "ms");
}

/// Bare syncs and writes take turns, and bare syncs run on a disk thread like
/// those of the log, so that both meet the same load of the machine.
core::awaitable<void> MeasureSingleWrites(bench_cell& c) {
  const std::size_t leader = co_await c.AwaitLeader();
  bare_file file(c.folder);
  consensus::thread_runner runner;
  std::vector<core::duration> bare;
  std::vector<core::duration> writes;
  for (std::size_t i = 0; i < kSingleWrites; ++i) {
    std::function<core::result<void>()> sync = [&]() -> core::result<void> {
      bare.push_back(file.Sync());
      return {};
    };
    co_await runner.Run(std::move(sync));
    const core::time_point from = c.clock.Now();
    std::string command(kCommandBytes, 'x');
    const auto at = co_await c.members[leader].n->Propose(std::move(command));
    if (at) writes.push_back(c.clock.Now() - from);
  }
  Print("single_writes", static_cast<double>(writes.size()), "count");
  Print("bare_sync_p10", Quantile(bare, 0.1), "ms");
  Print("bare_sync_p50", Quantile(bare, 0.5), "ms");
  Print("bare_sync_p99", Quantile(bare, 0.99), "ms");
  Print("write_p50", Quantile(writes, 0.5), "ms");
  Print("write_p99", Quantile(writes, 0.99), "ms");
  Print("write_p50_in_bare_syncs", Quantile(writes, 0.5) / Quantile(bare, 0.5),
        "ratio");
}

core::awaitable<void> MeasureIdle(bench_cell& c) {
  co_await core::SleepFor(c.clock, seconds(1));
  c.sent_bytes = 0;
  c.counting = true;
  co_await core::SleepFor(c.clock, kIdleTime);
  c.counting = false;
  const double elapsed = Milliseconds(kIdleTime) / 1000;
  Print("idle_bytes_per_member",
        static_cast<double>(c.sent_bytes) / kMembers / elapsed, "B/s");
}

/// Tries all members until one commits.
core::awaitable<void> CommitAnywhere(bench_cell& c) {
  while (true) {
    for (bench_member& m : c.members) {
      if (!m.n) continue;
      std::string command(kCommandBytes, 'x');
      const auto at = co_await m.n->Propose(std::move(command));
      if (at) co_return;
    }
    co_await core::SleepFor(c.clock, core::milliseconds(1));
  }
}

core::awaitable<void> MeasureFailover(bench_cell& c) {
  std::vector<core::duration> times;
  for (std::size_t i = 0; i < kFailovers; ++i) {
    const std::size_t leader = co_await c.AwaitLeader();
    co_await core::SleepFor(c.clock, core::milliseconds(700));
    const core::time_point from = c.clock.Now();
    c.Kill(leader);
    co_await CommitAnywhere(c);
    times.push_back(c.clock.Now() - from);
    co_await core::SleepFor(c.clock, core::milliseconds(100));
    co_await c.Start(leader);
    co_await core::SleepFor(c.clock, seconds(1));
  }
  Print("failover_p50", Quantile(times, 0.5), "ms");
  Print("failover_max", Quantile(times, 1), "ms");
}

struct countdown {
  std::size_t left = kBehind;
  std::size_t running = kWriters;
};

core::awaitable<void> WriteCount(bench_cell& c, std::size_t leader,
                                 countdown& n) {
  while (n.left > 0) {
    --n.left;
    std::string command(kCommandBytes, 'x');
    const auto at = co_await c.members[leader].n->Propose(std::move(command));
    if (!at) ++n.left;
  }
  --n.running;
}

core::awaitable<void> MeasureCatchUp(bench_cell& c, std::string name) {
  const std::size_t leader = co_await c.AwaitLeader();
  const std::size_t late = (leader + 1) % kMembers;
  co_await c.Stop(late);
  countdown n;
  for (std::size_t i = 0; i < kWriters; ++i) {
    c.Spawn(WriteCount(c, leader, n));
  }
  while (n.running > 0) {
    co_await core::SleepFor(c.clock, core::milliseconds(5));
  }
  const core::time_point from = c.clock.Now();
  co_await c.Start(late);
  while (c.members[late].machine->count < c.members[leader].machine->count) {
    co_await core::SleepFor(c.clock, core::milliseconds(1));
  }
  Print(name, Milliseconds(c.clock.Now() - from), "ms");
}

core::awaitable<void> MeasureAll(bench_cell& c) {
  co_await c.StartAll();
  co_await MeasureSingleWrites(c);
  co_await MeasureIdle(c);
  co_await MeasureLoad(c);
  co_await MeasureFailover(c);
}

core::awaitable<void> MeasureRestart(bench_cell& c, std::string name) {
  co_await c.StartAll();
  co_await MeasureCatchUp(c, std::move(name));
}

}  // namespace

int RunStateBench() {
  spdlog::set_level(spdlog::level::warn);
  const std::uint64_t normal = consensus::node_settings{}.snapshot_after_bytes;
  {
    bench_cell c(normal);
    c.Run(MeasureAll(c));
  }
  {
    bench_cell c(normal);
    c.Run(MeasureRestart(c, "restart_100k_behind_by_log"));
  }
  {
    // So small that the log no longer reaches back to the late member.
    bench_cell c(normal / 8);
    c.Run(MeasureRestart(c, "restart_100k_behind_by_snapshot"));
  }
  return 0;
}

}  // namespace mangoplank::bench
