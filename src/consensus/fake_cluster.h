#ifndef MANGOPLANK_SRC_CONSENSUS_FAKE_CLUSTER_H_
#define MANGOPLANK_SRC_CONSENSUS_FAKE_CLUSTER_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "consensus/codec.h"
#include "consensus/memory_link.h"
#include "mangoplank/consensus/node.h"

/// Fakes for the consensus tests: a disk that loses unsynced data, a clock with
/// another rate, and a group of members in one thread.
namespace mangoplank::consensus {

/// Files in memory. A crash keeps a part of the unsynced data.
class fake_disk : public disk {
 public:
  static constexpr char kTemporaryName[] = "replacement.tmp";

  struct file {
    std::string data;
    /// Bytes that a power loss keeps.
    std::size_t synced = 0;
    bool entry_synced = false;
    /// Bytes that the system takes to be on the disk, so that it does not write
    /// them again: more than `synced` after a failed sync.
    std::size_t clean = 0;
  };
  std::map<std::string, file> files;
  /// Number of further calls that take effect; later ones fail.
  std::uint64_t calls_left = UINT64_MAX;
  /// If set, Sync and Append fail with it.
  std::optional<core::storage_failed> sync_failure;
  std::optional<core::storage_failed> append_failure;
  /// Bytes that the files may hold together. A call that needs more writes what
  /// has room and fails.
  std::size_t capacity = SIZE_MAX;
  /// Number of further calls before the disk becomes full.
  std::optional<std::uint64_t> calls_until_full;
  /// Refuses to truncate, remove and rename as well while it is full.
  bool is_read_only_when_full = false;
  /// Calls that failed for lack of room.
  std::size_t refused_calls = 0;

  std::size_t UsedBytes() const {
    std::size_t used = 0;
    for (const auto& [name, f] : files) used += f.data.size();
    return used;
  }
  /// Leaves room for `bytes` more.
  void LimitRoom(std::size_t bytes) { capacity = UsedBytes() + bytes; }

  core::result<std::vector<std::string>> List() override {
    std::vector<std::string> names;
    for (const auto& [name, f] : files) names.push_back(name);
    return names;
  }
  core::result<std::string> Read(const std::string& name) override {
    const auto it = files.find(name);
    if (it == files.end()) return Failure();
    return it->second.data;
  }
  core::result<void> Append(const std::string& name,
                            std::string_view data) override {
    if (append_failure) return core::Fail(*append_failure);
    if (!ConsumeCall()) return Failure();
    return AppendWhatFits(name, data);
  }
  core::result<void> Sync(const std::string& name) override {
    file& f = files[name];
    if (sync_failure) f.clean = f.data.size();
    if (sync_failure) return core::Fail(*sync_failure);
    if (!ConsumeCall()) return Failure();
    if (f.clean <= f.synced) f.synced = f.data.size();
    f.clean = f.data.size();
    f.entry_synced = true;
    return {};
  }
  core::result<void> Overwrite(const std::string& name, std::uint64_t from,
                               std::string_view data) override {
    if (!ConsumeCall()) return Failure();
    if (IsReadOnly()) return Full(name);
    file& f = files[name];
    if (f.data.compare(from, data.size(), data) != 0) return Failure();
    f.clean = std::min<std::size_t>(f.clean, from);
    return {};
  }
  core::result<void> Replace(const std::string& name,
                             std::string_view data) override {
    // A process that ends here leaves the temporary file.
    files.erase(kTemporaryName);
    BOOST_LEAF_CHECK(AppendWhatFits(kTemporaryName, data));
    if (!ConsumeCall()) return Failure();
    files.erase(kTemporaryName);
    files[name] = file{std::string(data), data.size(), true};
    return {};
  }
  void RemoveTemporaryFile() override { files.erase(kTemporaryName); }
  core::result<void> Truncate(const std::string& name,
                              std::uint64_t size) override {
    if (!ConsumeCall()) return Failure();
    if (IsReadOnly()) return Full(name);
    files[name].data.resize(size);
    files[name].synced = std::min<std::size_t>(files[name].synced, size);
    files[name].clean = std::min<std::size_t>(files[name].clean, size);
    return {};
  }
  core::result<void> Remove(const std::string& name) override {
    if (!ConsumeCall()) return Failure();
    if (IsReadOnly()) return Full(name);
    if (files.erase(name) == 0) return Failure();
    return {};
  }

  /// @return the files after a power loss: each unsynced tail is cut to a
  /// prefix in which some sectors may not have been written.
  std::shared_ptr<fake_disk> AfterCrash(std::mt19937_64& random) const {
    auto out = std::make_shared<fake_disk>();
    out->capacity = capacity;
    out->calls_until_full = calls_until_full;
    out->is_read_only_when_full = is_read_only_when_full;
    out->refused_calls = refused_calls;
    for (const auto& [name, f] : files) {
      if (!f.entry_synced && random() % 2 == 0) continue;
      const std::size_t tail = f.data.size() - f.synced;
      const std::size_t kept = f.synced + (tail ? random() % (tail + 1) : 0);
      std::string data = f.data.substr(0, kept);
      for (std::size_t from = (f.synced / 512 + 1) * 512; from < kept;
           from += 512) {
        const std::size_t size = std::min<std::size_t>(512, kept - from);
        if (random() % 4 == 0) data.replace(from, size, size, '\0');
      }
      out->files[name] = file{data, data.size(), true};
    }
    return out;
  }

 private:
  core::result<void> AppendWhatFits(const std::string& name,
                                    std::string_view data) {
    CountTowardFull();
    const std::size_t used = UsedBytes();
    const std::size_t room = capacity > used ? capacity - used : 0;
    files[name].data += data.substr(0, room);
    if (data.size() > room) return Full(name);
    return {};
  }
  void CountTowardFull() {
    if (calls_until_full && (*calls_until_full)-- == 0) {
      calls_until_full.reset();
      LimitRoom(0);
    }
  }
  bool IsReadOnly() {
    CountTowardFull();
    return is_read_only_when_full && capacity != SIZE_MAX;
  }
  boost::leaf::error_id Full(const std::string& name) {
    ++refused_calls;
    return core::Fail(core::storage_failed{core::storage_failed::kind::kFull,
                                           name, "injected"});
  }
  bool ConsumeCall() { return calls_left > 0 && calls_left-- > 0; }
  static boost::leaf::error_id Failure() {
    return core::Fail(core::storage_failed{});
  }
};

/// Runs work after a delay, one call at a time. A crash interrupts the running
/// call after a random number of disk calls.
class fake_runner : public disk_runner {
 public:
  fake_runner(core::clock& clock, core::duration max_delay, std::uint64_t seed)
      : clock_(clock), max_delay_(max_delay), random_(seed) {}

  /// No call starts before this time.
  core::time_point hangs_until;

  core::awaitable<core::outcome<void>> Run(
      std::function<core::result<void>()> work) override {
    const std::uint64_t ticket = last_ticket_++;
    while (ticket != next_ticket_) {
      co_await core::SleepFor(clock_, max_delay_ / 4);
    }
    running_ = work;
    const auto delay = core::duration(random_() % (max_delay_.count() + 1));
    co_await core::SleepFor(clock_, delay);
    while (clock_.Now() < hangs_until) {
      co_await core::SleepFor(clock_, hangs_until - clock_.Now());
    }
    ++next_ticket_;
    if (!std::exchange(running_, nullptr)) co_return core::failure();
    co_return core::Capture(work);
  }
  void Crash(fake_disk& disk) {
    disk.calls_left = random_() % 4;
    if (const auto work = std::exchange(running_, nullptr)) {
      (void)core::Capture(work);
    }
    disk.calls_left = 0;
  }

 private:
  core::clock& clock_;
  core::duration max_delay_;
  std::mt19937_64 random_;
  std::uint64_t last_ticket_ = 0;
  std::uint64_t next_ticket_ = 0;
  std::function<core::result<void>()> running_;
};

/// A clock whose rate differs from the rate of its base clock.
class skewed_clock : public core::clock {
 public:
  skewed_clock(core::clock& base, double rate) : base_(base), rate_(rate) {}
  core::time_point Now() const override {
    return core::time_point(Scale(base_.Now().time_since_epoch(), rate_));
  }
  core::wall_time_ms WallNow() const override { return base_.WallNow(); }
  timer_id CallAt(core::time_point time,
                  std::function<void()> callback) override {
    // Rounded up, so that a timer never fires early.
    const auto base = Scale(time.time_since_epoch(), 1 / rate_);
    return base_.CallAt(core::time_point(base + core::duration(4)),
                        std::move(callback));
  }
  void Cancel(timer_id id) override { base_.Cancel(id); }

 private:
  static core::duration Scale(core::duration duration, double factor) {
    return core::duration(static_cast<std::int64_t>(
        static_cast<long double>(duration.count()) * factor));
  }
  core::clock& base_;
  double rate_;
};

/// Records all applied commands.
class recording_machine : public state_machine {
 public:
  std::vector<std::pair<core::revision, std::string>> applied;
  std::size_t restores = 0;
  std::size_t snapshots = 0;
  bool is_leader = false;
  /// Called with each command in log order, also for a restored snapshot.
  std::function<void(core::revision, const std::string&)> on_apply;

  void Apply(const log_entry& entry, bool) override {
    if (entry.kind == entry_kind::kCommand) Record(entry.revision, entry.data);
  }
  std::string TakeSnapshot() override {
    ++snapshots;
    byte_writer writer;
    for (const auto& [revision, data] : applied) {
      writer.U64(revision);
      writer.Bytes(data);
    }
    return std::move(writer.Out());
  }
  core::result<void> Restore(std::string_view data, core::revision) override {
    ++restores;
    applied.clear();
    for (byte_reader reader(data); !reader.AtEnd();) {
      const core::revision revision = reader.U64();
      Record(revision, std::string(reader.Bytes()));
    }
    return {};
  }
  void OnLeadershipChange(bool leader, core::term) override {
    is_leader = leader;
  }

 private:
  void Record(core::revision revision, std::string data) {
    if (on_apply) on_apply(revision, data);
    applied.emplace_back(revision, std::move(data));
  }
};

/// A member with its disk. Its node, state machine and links end together.
struct fake_member {
  member info;
  /// Has lost its disk once, so it starts with `join`.
  bool joins = false;
  std::shared_ptr<fake_disk> disk = std::make_shared<fake_disk>();
  std::unique_ptr<skewed_clock> clock;
  std::unique_ptr<consensus::transport> transport;
  std::shared_ptr<fake_runner> runner;
  std::shared_ptr<recording_machine> machine;
  std::unique_ptr<consensus::node> node;
  /// Result of Start; empty until it ends.
  std::shared_ptr<std::optional<core::outcome<void>>> started;

  bool HasStarted() const { return started && *started && **started; }
};

class fake_cluster {
 public:
  boost::asio::io_context context;
  core::fake_clock clock;
  std::mt19937_64 random;
  memory_network network;
  std::vector<std::unique_ptr<fake_member>> members;
  node_settings base;
  core::duration max_sync_delay = std::chrono::milliseconds(4);
  /// Largest difference of the rate of a member's clock from 1.
  double max_clock_skew = 0;
  /// Passed to each state machine.
  std::function<void(core::revision, const std::string&)> on_apply;
  /// Called after each step.
  std::function<void()> after_step = [] {};

  fake_cluster(std::size_t voters, std::uint64_t seed,
               memory_network::delay_function delay = nullptr)
      : random(seed), network(context.get_executor(), clock, std::move(delay)) {
    clock.AdvanceTo(core::time_point(std::chrono::hours(1)));
    base.cell = {"test"};
    base.create = true;
    for (std::size_t i = 0; i < voters; ++i) AddMember();
    for (const auto& m : members) base.initial_members.push_back(m->info);
  }
  ~fake_cluster() {
    for (std::size_t i = 0; i < members.size(); ++i) Crash(i);
    RunReadyTasks();
  }

  std::size_t AddMember() {
    auto m = std::make_unique<fake_member>();
    m->info.id = {"m" + std::to_string(members.size())};
    m->info.address = {"127.0.0.1", 1};
    members.push_back(std::move(m));
    return members.size() - 1;
  }

  void Start(std::size_t i) {
    fake_member& m = *members[i];
    std::uniform_real_distribution<double> rate(1 - max_clock_skew,
                                                1 + max_clock_skew);
    m.clock = std::make_unique<skewed_clock>(clock, rate(random));
    m.transport = network.TransportOf(m.info.id);
    m.runner = std::make_shared<fake_runner>(clock, max_sync_delay, random());
    m.machine = std::make_shared<recording_machine>();
    m.machine->on_apply = on_apply;
    node_settings s = base;
    s.self = m.info.id;
    if (m.joins) {
      s.create = false;
      s.join = true;
    }
    m.node = std::make_unique<consensus::node>(s, context.get_executor(),
                                               *m.clock, *m.transport, *m.disk,
                                               *m.runner, *m.machine, random());
    network.Listen(m.info.id, [this, i](std::shared_ptr<peer_link> link) {
      Spawn(members[i]->node->Serve(std::move(link)));
    });
    m.started = Spawn(m.node->Start());
    RunReadyTasks();
  }

  /// Ends a member as a power loss does.
  void Crash(std::size_t i) {
    if (!members[i]->node) return;
    EndProcess(i);
    members[i]->disk = members[i]->disk->AfterCrash(random);
  }
  /// Ends a member and replaces its disk by an empty one.
  void LoseDisk(std::size_t i) {
    Crash(i);
    members[i]->disk = std::make_shared<fake_disk>();
    members[i]->joins = true;
  }
  /// Ends a member as a killed process does: its files stay as they are, also
  /// what is not synced. Objects that its tasks still refer to are kept until
  /// the end of the test.
  void EndProcess(std::size_t i) {
    fake_member& m = *members[i];
    if (!m.node) return;
    network.Listen(m.info.id, nullptr);
    m.runner->Crash(*m.disk);
    m.node.reset();
    network.CloseLinksOf(m.info.id);
    RunReadyTasks();
    const auto files = std::make_shared<fake_disk>(*m.disk);
    files->calls_left = UINT64_MAX;
    const member info = m.info;
    const bool joins = m.joins;
    ended_members_.push_back(
        std::exchange(members[i], std::make_unique<fake_member>()));
    members[i]->info = info;
    members[i]->joins = joins;
    members[i]->disk = files;
  }

  void RunReadyTasks() {
    context.restart();
    while (context.poll() > 0) context.restart();
  }
  void RunFor(core::duration duration) {
    const core::time_point end = clock.Now() + duration;
    RunUntil([] { return false; }, end - clock.Now());
  }
  /// @return whether `condition` became true within `limit`.
  template <class F>
  bool RunUntil(F condition, core::duration limit) {
    const core::time_point end = clock.Now() + limit;
    while (true) {
      RunReadyTasks();
      after_step();
      if (condition()) return true;
      if (clock.Now() >= end) return false;
      clock.AdvanceTo(std::min(end, clock.NextTimer()));
    }
  }

  /// Starts a task. Its result is stored in the returned object.
  template <class T>
  std::shared_ptr<std::optional<T>> Spawn(core::awaitable<T> task) {
    auto result = std::make_shared<std::optional<T>>();
    boost::asio::co_spawn(context, Store(std::move(task), result),
                          boost::asio::detached);
    return result;
  }
  void Spawn(core::awaitable<void> task) {
    boost::asio::co_spawn(context, std::move(task), boost::asio::detached);
  }
  /// Runs a task to its end.
  template <class T>
  T Await(core::awaitable<T> task) {
    const auto result = Spawn(std::move(task));
    RunUntil([&] { return result->has_value(); }, std::chrono::seconds(60));
    return std::move(result->value());
  }

  /// @return the member that holds the lease, or nullopt.
  std::optional<std::size_t> Leader() const {
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i]->node && members[i]->node->HoldsLease()) return i;
    }
    return std::nullopt;
  }
  std::size_t AwaitLeader() {
    RunUntil([&] { return Leader().has_value(); }, std::chrono::seconds(60));
    return Leader().value();
  }
  node& At(std::size_t i) { return *members[i]->node; }

 private:
  template <class T>
  static core::awaitable<void> Store(core::awaitable<T> task,
                                     std::shared_ptr<std::optional<T>> result) {
    *result = co_await std::move(task);
  }
  std::vector<std::unique_ptr<fake_member>> ended_members_;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_FAKE_CLUSTER_H_
