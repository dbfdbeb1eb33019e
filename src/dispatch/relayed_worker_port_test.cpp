#include "mangoplank/dispatch/relayed_worker_port.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dispatch/dispatcher_fixture.h"
#include "dispatch/relay_table.h"

namespace mangoplank::dispatch {
namespace {

constexpr char kOwn[] = "own";
constexpr char kNear[] = "near";
constexpr char kFar[] = "far";

// Guards against traffic between data centres that a relay was there to avoid.
TEST(RelayTableTest, PrefersARelayInTheDataCentreOfTheWorker) {
  relay_table table(kOwn);
  const core::time_point now{};
  EXPECT_EQ(table.Choose({"w"}, kNear, now), std::nullopt);
  table.Add(kFar);
  const relay_id near = table.Add(kNear);
  table.Add(kFar);
  for (int i = 0; i < 50; ++i) {
    EXPECT_EQ(table.Choose({"w" + std::to_string(i)}, kNear, now), near);
  }
  EXPECT_EQ(table.Choose({"w"}, kOwn, now), std::nullopt);
}

// Guards against one relay that gets all workers of a data centre without one,
// and against workers that change their relay for no reason.
TEST(RelayTableTest, SpreadsOtherWorkersAndKeepsTheirRelays) {
  constexpr int kWorkers = 400;
  relay_table table(kOwn);
  const core::time_point now{};
  for (int i = 0; i < 4; ++i) table.Add(kFar);
  std::map<relay_id, int> counts;
  std::vector<relay_id> before;
  for (int i = 0; i < kWorkers; ++i) {
    before.push_back(*table.Choose({"w" + std::to_string(i)}, kNear, now));
    ++counts[before.back()];
  }
  for (const auto& [relay, count] : counts) EXPECT_GT(count, kWorkers / 8);
  const relay_id lost = before[0];
  table.Remove(lost);
  for (int i = 0; i < kWorkers; ++i) {
    const auto after = table.Choose({"w" + std::to_string(i)}, kNear, now);
    ASSERT_TRUE(after);
    if (before[i] != lost) EXPECT_EQ(*after, before[i]);
  }
}

// Guards against a relay that is out of connections and gets all orders again.
TEST(RelayTableTest, AvoidsARelayThatDidNotSend) {
  relay_table table(kOwn);
  core::time_point now{};
  const relay_id relay = table.Add(kNear);
  table.Avoid(relay, now);
  EXPECT_EQ(table.Choose({"w"}, kNear, now), std::nullopt);
  now += seconds(2);
  EXPECT_EQ(table.Choose({"w"}, kNear, now), relay);
}

/// A dispatcher whose orders go over a relay, which carries them out at the
/// fakes until it is paused.
class RelayTest : public DispatcherTest {
 protected:
  RelayTest() : port_(workers_, context_.get_executor(), clock_, kOwn) {}

  void BeginRelayedTerm() {
    dispatcher_settings settings;
    settings.min_relayed_workers = 1;
    workflow::catalog catalog;
    catalog.version = 1;
    catalog.queues = {queue_};
    catalog.pools = {{"pool", false, false}};
    event_log_.Apply(workflow::catalog_declared{catalog});
    dispatcher_ = std::make_unique<dispatcher>(
        settings, kTerm, context_.get_executor(), clock_, event_log_, port_,
        eligibility_, registry_);
    event_log_.observer = dispatcher_.get();
    dispatcher_->Start();
    RunFor(milliseconds(50));
  }
  void ConnectRelay() {
    relay_ = port_.AddRelay(kNear, [this](workflow::order_request request) {
      requests_.push_back(request);
      if (!is_paused_) {
        boost::asio::co_spawn(context_, CarryOut(std::move(request)),
                              boost::asio::detached);
      }
    });
  }
  core::awaitable<void> CarryOut(workflow::order_request request) {
    const worker_target to{request.worker, request.address, {}, {}};
    if (refuses_) {
      port_.OnReply({request.id, not_sent{}});
      co_return;
    }
    if (auto* const start = std::get_if<start_order>(&request.order)) {
      auto result = co_await workers_.Start(to, *start, request.timeout);
      port_.OnReply({request.id, std::get<order_done>(result)});
    } else if (auto* const poll = std::get_if<poll_order>(&request.order)) {
      auto result = co_await workers_.Poll(to, *poll, request.timeout);
      port_.OnReply({request.id, std::get<worker_report>(result)});
    }
  }
  std::size_t CountRelayedStarts() const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(), [](const auto& r) {
          return std::holds_alternative<start_order>(r.order);
        }));
  }

  relayed_worker_port port_;
  std::unique_ptr<relayed_worker_port::registration> relay_;
  std::vector<workflow::order_request> requests_;
  bool is_paused_ = false;
  bool refuses_ = false;
};

// Guards against orders that the leader sends itself although a relay is there.
TEST_F(RelayTest, OrdersGoOverTheRelay) {
  AddWorker("w1");
  ConnectRelay();
  BeginRelayedTerm();
  Submit("j", {Step(2, 1'000)}, queue_);
  RunFor(milliseconds(100));
  EXPECT_EQ(CountRelayedStarts(), 2u);
  EXPECT_EQ(workers_.starts.size(), 2u);
  workers_.End({"w1"}, RunOf("j", 0, 1), run_end::kDone);
  workers_.End({"w1"}, RunOf("j", 1, 1), run_end::kDone);
  RunWithHeartbeats(seconds(3));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
}

// Guards against a task that is given up or started under another run, as the
// relay that had its order was lost.
TEST_F(RelayTest, AnOrderOfALostRelayIsSentAgainUnderTheSameRun) {
  AddWorker("w1");
  ConnectRelay();
  BeginRelayedTerm();
  is_paused_ = true;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(60));
  ASSERT_EQ(CountRelayedStarts(), 1u);
  ASSERT_TRUE(workers_.starts.empty());
  relay_.reset();
  RunFor(milliseconds(50));
  ASSERT_EQ(workers_.starts.size(), 1u);
  EXPECT_EQ(workers_.starts[0].run, RunOf("j", 0, 1));
  EXPECT_EQ(WorkerOf(RunOf("j", 0, 1)).v, "w1");
}

// Guards against an answer that a lost relay still sends, and that is taken for
// the answer to a later order: the worker would be removed under its run.
TEST_F(RelayTest, AnAnswerOfALostRelayIsIgnored) {
  AddWorker("w1");
  BeginRelayedTerm();
  ConnectRelay();
  RunWithHeartbeats(seconds(1));
  is_paused_ = true;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunFor(milliseconds(50));
  ASSERT_FALSE(requests_.empty());
  const std::vector<workflow::order_request> lost = requests_;
  relay_.reset();
  is_paused_ = false;
  ConnectRelay();
  RunFor(milliseconds(50));
  for (const workflow::order_request& request : lost) {
    port_.OnReply({request.id, other_incarnation{}});
  }
  RunWithHeartbeats(seconds(2));
  EXPECT_TRUE(event_log_.state.Workers().contains({"w1"}));
  EXPECT_EQ(CountStarts("j"), 1u);
  EXPECT_TRUE(workers_.states[{"w1"}].running.contains(RunOf("j", 0, 1)));
}

// Guards against a worker that is taken for silent, and loses its tasks, as the
// relay to it is paused.
TEST_F(RelayTest, APausedRelayDoesNotMakeItsWorkersSilent) {
  AddWorker("w1");
  ConnectRelay();
  BeginRelayedTerm();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  is_paused_ = true;
  RunWithHeartbeats(seconds(20));
  EXPECT_EQ(WorkerOf(RunOf("j", 0, 1)).v, "w1");
  EXPECT_EQ(CountStarts("j"), 1u);
  EXPECT_TRUE(workers_.stops.empty());
  workers_.End({"w1"}, RunOf("j", 0, 1), run_end::kDone);
  RunWithHeartbeats(seconds(4));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
}

// Guards against a relay without connections that holds up the orders of its
// workers.
TEST_F(RelayTest, AnOrderThatTheRelayDidNotSendGoesTheOtherWay) {
  AddWorker("w1");
  ConnectRelay();
  BeginRelayedTerm();
  refuses_ = true;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(milliseconds(400));
  ASSERT_EQ(workers_.starts.size(), 1u);
  EXPECT_EQ(workers_.starts[0].run, RunOf("j", 0, 1));
}

/// The process has no connection for any order for a while.
class ShortageTest : public DispatcherTest {
 protected:
  class port : public worker_port {
   public:
    port(refusing_workers& workers, core::fake_clock& clock)
        : workers_(workers), clock_(clock) {}
    core::awaitable<order_result> Start(worker_target to, start_order order,
                                        core::milliseconds timeout) override {
      if (!has_connections) {
        co_await core::SleepFor(clock_, timeout - milliseconds(100));
        co_return not_sent{};
      }
      co_return co_await workers_.Start(to, order, timeout);
    }
    core::awaitable<order_result> Stop(worker_target to, stop_order order,
                                       core::milliseconds timeout) override {
      if (!has_connections) co_return not_sent{};
      co_return co_await workers_.Stop(to, order, timeout);
    }
    core::awaitable<poll_result> Poll(worker_target to, poll_order order,
                                      core::milliseconds timeout) override {
      if (!has_connections) {
        co_await core::SleepFor(clock_, timeout - milliseconds(100));
        co_return not_sent{};
      }
      co_return co_await workers_.Poll(to, order, timeout);
    }
    bool has_connections = true;

   private:
    refusing_workers& workers_;
    core::fake_clock& clock_;
  };

  void BeginTermWithPort() {
    BeginTerm();
    dispatcher_->Stop();
    dispatcher_ = std::make_unique<dispatcher>(
        dispatcher_settings{}, kTerm + 1, context_.get_executor(), clock_,
        event_log_, port_, eligibility_, registry_);
    event_log_.observer = dispatcher_.get();
    dispatcher_->Start();
    RunFor(milliseconds(50));
  }

  port port_{workers_, clock_};
};

// Guards against runs that are shown as ended, and workers that are removed, as
// the leader itself had no connection to ask them.
TEST_F(ShortageTest, WhatTheLeaderCannotAskIsUnknownAndNotOver) {
  AddWorker("w1");
  BeginTermWithPort();
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(seconds(1));
  ASSERT_EQ(CountStarts("j"), 1u);
  port_.has_connections = false;
  unreported_.insert({"w1"});
  RunWithHeartbeats(seconds(15));
  EXPECT_EQ(WorkerOf(RunOf("j", 0, 1)).v, "w1");
  EXPECT_TRUE(event_log_.state.Workers().contains({"w1"}));
  unreported_.clear();
  port_.has_connections = true;
  workers_.End({"w1"}, RunOf("j", 0, 1), run_end::kDone);
  RunWithHeartbeats(seconds(4));
  EXPECT_EQ(Phase("j"), workflow::job_phase::kSucceeded);
}

// Guards against a start that was never sent and whose worker is left out, or
// whose task waits until the run is found missing.
TEST_F(ShortageTest, AStartThatWasNotSentIsPlacedAgainAtOnce) {
  AddWorker("w1");
  BeginTermWithPort();
  port_.has_connections = false;
  Submit("j", {Step(1, 1'000)}, queue_);
  RunWithHeartbeats(milliseconds(900));
  port_.has_connections = true;
  RunWithHeartbeats(milliseconds(900));
  ASSERT_EQ(workers_.starts.size(), 1u);
  EXPECT_GT(workers_.starts[0].run.number, 1u);
  EXPECT_TRUE(workers_.stops.empty());
  EXPECT_EQ(event_log_.state.FindJob("j")->tasks[0].failures, 0u);
}

}  // namespace
}  // namespace mangoplank::dispatch
