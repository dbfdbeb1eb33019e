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

/// Fakes for the tests of this slice: a disk that loses what was not synced, a
/// clock of another rate, and a group of members in one thread.
namespace mangoplank::consensus {

/// Files in memory. A crash keeps a part of what was not synced.
class fake_disk : public disk {
 public:
  struct file {
    std::string data;
    std::size_t synced = 0;
    bool entry_synced = false;
  };
  std::map<std::string, file> files;
  /// Calls that still take effect; later ones fail.
  std::uint64_t calls_left = UINT64_MAX;
  /// Answer of Sync and Append while set.
  std::optional<core::storage_failed> sync_failure;
  std::optional<core::storage_failed> append_failure;

  core::result<std::vector<std::string>> List() override {
    std::vector<std::string> names;
    for (const auto& [name, f] : files) names.push_back(name);
    return names;
  }
  core::result<std::string> Read(const std::string& name) override {
    const auto it = files.find(name);
    if (it == files.end()) return Failed();
    return it->second.data;
  }
  core::result<void> Append(const std::string& name,
                            std::string_view data) override {
    if (append_failure) return core::Fail(*append_failure);
    if (!Use()) return Failed();
    files[name].data += data;
    return {};
  }
  core::result<void> Sync(const std::string& name) override {
    if (sync_failure) return core::Fail(*sync_failure);
    if (!Use()) return Failed();
    files[name].synced = files[name].data.size();
    files[name].entry_synced = true;
    return {};
  }
  core::result<void> Replace(const std::string& name,
                             std::string_view data) override {
    if (!Use()) return Failed();
    files[name] = file{std::string(data), data.size(), true};
    return {};
  }
  core::result<void> Truncate(const std::string& name,
                              std::uint64_t size) override {
    if (!Use()) return Failed();
    files[name].data.resize(size);
    files[name].synced = std::min<std::size_t>(files[name].synced, size);
    return {};
  }
  core::result<void> Remove(const std::string& name) override {
    if (!Use() || files.erase(name) == 0) return Failed();
    return {};
  }

  /// What a power loss leaves: of each unsynced tail a prefix, in which some
  /// sectors may not have been written.
  std::shared_ptr<fake_disk> AfterCrash(std::mt19937_64& random) const {
    auto out = std::make_shared<fake_disk>();
    for (const auto& [name, f] : files) {
      if (!f.entry_synced && random() % 2 == 0) continue;
      const std::size_t tail = f.data.size() - f.synced;
      const std::size_t kept = f.synced + (tail ? random() % (tail + 1) : 0);
      std::string data = f.data.substr(0, kept);
      for (std::size_t s = (f.synced / 512 + 1) * 512; s < kept; s += 512) {
        const std::size_t size = std::min<std::size_t>(512, kept - s);
        if (random() % 4 == 0) data.replace(s, size, size, '\0');
      }
      out->files[name] = file{data, data.size(), true};
    }
    return out;
  }

 private:
  bool Use() { return calls_left > 0 && calls_left-- > 0; }
  static boost::leaf::error_id Failed() {
    return core::Fail(core::storage_failed{});
  }
};

/// Runs work after a delay, one piece at a time. At a crash the piece that runs
/// is cut off after a random number of disk calls.
class fake_runner : public disk_runner {
 public:
  fake_runner(core::clock& clock, core::duration longest, std::uint64_t seed)
      : clock_(clock), longest_(longest), random_(seed) {}

  core::awaitable<core::outcome<void>> Run(
      std::function<core::result<void>()> work) override {
    const std::uint64_t turn = last_turn_++;
    while (turn != next_turn_) co_await core::SleepFor(clock_, longest_ / 4);
    running_ = work;
    const auto delay = core::duration(random_() % (longest_.count() + 1));
    co_await core::SleepFor(clock_, delay);
    ++next_turn_;
    if (!std::exchange(running_, nullptr)) co_return core::failure();
    co_return core::Capture(work);
  }
  void Crash(fake_disk& d) {
    d.calls_left = random_() % 4;
    if (const auto work = std::exchange(running_, nullptr)) {
      (void)core::Capture(work);
    }
    d.calls_left = 0;
  }

 private:
  core::clock& clock_;
  core::duration longest_;
  std::mt19937_64 random_;
  std::uint64_t last_turn_ = 0;
  std::uint64_t next_turn_ = 0;
  std::function<core::result<void>()> running_;
};

/// A clock whose rate differs from the true one.
class skewed_clock : public core::clock {
 public:
  skewed_clock(core::clock& base, double rate) : base_(base), rate_(rate) {}
  core::time_point Now() const override {
    return core::time_point(Scale(base_.Now().time_since_epoch(), rate_));
  }
  core::wall_time_ms WallNow() const override { return base_.WallNow(); }
  timer_id CallAt(core::time_point at, std::function<void()> f) override {
    // A little more, so that rounding never fires a timer early.
    const auto base = Scale(at.time_since_epoch(), 1 / rate_);
    return base_.CallAt(core::time_point(base + core::duration(4)),
                        std::move(f));
  }
  void Cancel(timer_id id) override { base_.Cancel(id); }

 private:
  static core::duration Scale(core::duration d, double by) {
    return core::duration(
        static_cast<std::int64_t>(static_cast<long double>(d.count()) * by));
  }
  core::clock& base_;
  double rate_;
};

/// Keeps all commands that were applied.
class recording_machine : public state_machine {
 public:
  std::vector<std::pair<core::revision, std::string>> applied;
  std::size_t restores = 0;
  bool leads = false;
  /// Called with each command in the order of the log, also after a restore.
  std::function<void(core::revision, const std::string&)> on_apply;

  void Apply(const log_entry& e, bool) override {
    if (e.k == entry_kind::kCommand) Add(e.at, e.data);
  }
  std::string TakeSnapshot() override {
    byte_writer w;
    for (const auto& [at, data] : applied) {
      w.U64(at);
      w.Bytes(data);
    }
    return std::move(w.Out());
  }
  core::result<void> Restore(std::string_view data, core::revision) override {
    ++restores;
    applied.clear();
    for (byte_reader r(data); !r.AtEnd();) {
      const core::revision at = r.U64();
      Add(at, std::string(r.Bytes()));
    }
    return {};
  }
  void OnLeadership(bool l, core::term) override { leads = l; }

 private:
  void Add(core::revision at, std::string data) {
    if (on_apply) on_apply(at, data);
    applied.emplace_back(at, std::move(data));
  }
};

/// One member with its disk. The node, its machine and its links end together.
struct fake_member {
  member who;
  std::shared_ptr<fake_disk> files = std::make_shared<fake_disk>();
  std::unique_ptr<skewed_clock> clock;
  std::unique_ptr<transport> links;
  std::shared_ptr<fake_runner> runner;
  std::shared_ptr<recording_machine> machine;
  std::unique_ptr<node> n;
  /// Result of Start, once it has ended.
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
  core::duration longest_sync = std::chrono::milliseconds(4);
  /// Largest difference of a clock's rate from the true one.
  double skew = 0;
  /// Handed to each machine.
  std::function<void(core::revision, const std::string&)> on_apply;
  /// Called after each step.
  std::function<void()> check = [] {};

  fake_cluster(std::size_t voters, std::uint64_t seed,
               memory_network::fate fate = nullptr)
      : random(seed), network(context.get_executor(), clock, std::move(fate)) {
    clock.AdvanceTo(core::time_point(std::chrono::hours(1)));
    base.cell = {"test"};
    base.create = true;
    for (std::size_t i = 0; i < voters; ++i) Add();
    for (const auto& m : members) base.initial_members.push_back(m->who);
  }
  ~fake_cluster() {
    for (std::size_t i = 0; i < members.size(); ++i) Crash(i);
    Pump();
  }

  std::size_t Add() {
    auto m = std::make_unique<fake_member>();
    m->who.id = {"m" + std::to_string(members.size())};
    m->who.address = {"127.0.0.1", 1};
    members.push_back(std::move(m));
    return members.size() - 1;
  }

  void Start(std::size_t i) {
    fake_member& m = *members[i];
    std::uniform_real_distribution<double> rate(1 - skew, 1 + skew);
    m.clock = std::make_unique<skewed_clock>(clock, rate(random));
    m.links = network.TransportOf(m.who.id);
    m.runner = std::make_shared<fake_runner>(clock, longest_sync, random());
    m.machine = std::make_shared<recording_machine>();
    m.machine->on_apply = on_apply;
    node_settings s = base;
    s.self = m.who.id;
    m.n = std::make_unique<node>(s, context.get_executor(), *m.clock, *m.links,
                                 *m.files, *m.runner, *m.machine, random());
    network.Listen(m.who.id, [this, i](std::shared_ptr<peer_link> l) {
      Go(members[i]->n->Serve(std::move(l)));
    });
    m.started = Go(m.n->Start());
    Pump();
  }

  /// Ends a member as a loss of power does. What its tasks still refer to is
  /// kept until the end of the test.
  void Crash(std::size_t i) {
    fake_member& m = *members[i];
    if (!m.n) return;
    network.Listen(m.who.id, nullptr);
    m.runner->Crash(*m.files);
    m.n.reset();
    network.CloseLinksOf(m.who.id);
    Pump();
    const auto after = m.files->AfterCrash(random);
    const member who = m.who;
    graveyard_.push_back(
        std::exchange(members[i], std::make_unique<fake_member>()));
    members[i]->who = who;
    members[i]->files = after;
  }

  void Pump() {
    context.restart();
    while (context.poll() > 0) context.restart();
  }
  void RunFor(core::duration d) {
    const core::time_point end = clock.Now() + d;
    RunUntil([] { return false; }, end - clock.Now());
  }
  /// @return whether the condition was met within `limit`.
  template <class F>
  bool RunUntil(F condition, core::duration limit) {
    const core::time_point end = clock.Now() + limit;
    while (true) {
      Pump();
      check();
      if (condition()) return true;
      if (clock.Now() >= end) return false;
      clock.AdvanceTo(std::min(end, clock.NextTimer()));
    }
  }

  /// Starts a task; its result appears in the returned place.
  template <class T>
  std::shared_ptr<std::optional<T>> Go(core::awaitable<T> task) {
    auto place = std::make_shared<std::optional<T>>();
    boost::asio::co_spawn(context, Store(std::move(task), place),
                          boost::asio::detached);
    return place;
  }
  void Go(core::awaitable<void> task) {
    boost::asio::co_spawn(context, std::move(task), boost::asio::detached);
  }
  /// Runs a task to its end.
  template <class T>
  T Await(core::awaitable<T> task) {
    const auto place = Go(std::move(task));
    RunUntil([&] { return place->has_value(); }, std::chrono::seconds(60));
    return std::move(place->value());
  }

  /// @return the member that holds the lease, or nothing.
  std::optional<std::size_t> Leader() const {
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (members[i]->n && members[i]->n->HoldsLease()) return i;
    }
    return std::nullopt;
  }
  std::size_t AwaitLeader() {
    RunUntil([&] { return Leader().has_value(); }, std::chrono::seconds(60));
    return Leader().value();
  }
  node& At(std::size_t i) { return *members[i]->n; }

 private:
  template <class T>
  static core::awaitable<void> Store(core::awaitable<T> task,
                                     std::shared_ptr<std::optional<T>> place) {
    *place = co_await std::move(task);
  }
  std::vector<std::unique_ptr<fake_member>> graveyard_;
};

}  // namespace mangoplank::consensus

#endif  // MANGOPLANK_SRC_CONSENSUS_FAKE_CLUSTER_H_
