#include "dispatch/service_fixture.h"

namespace mangoplank::dispatch {
namespace {

/// A service with two workers, "w" and "v", of which "w" runs a task.
class DeregisterTest : public ServiceTest {
 protected:
  DeregisterTest() {
    Declare(1, "/q/");
    Heartbeat("w", 5);
    cluster_.RunFor(milliseconds(200));
    EXPECT_EQ(Handle(Submit("/q/j")), accepted_);
    RunUntil([&] { return IsRunningOn("w"); }, seconds(2));
    EXPECT_TRUE(IsRunningOn("w"));
    Heartbeat("w", 5, true);
    Heartbeat("v", 1);
    RunWithHeartbeats(seconds(1));
  }

  void Heartbeat(const std::string& id, core::wall_time_ms incarnation,
                 bool draining = false) {
    workflow::worker_heartbeat heartbeat;
    heartbeat.worker.key = {{id}, incarnation};
    heartbeat.worker.pool = "pool";
    heartbeat.worker.capacity = {8'000, 1'000, 0};
    heartbeat.worker.draining = draining;
    heartbeat.clock_ms = workers_.ClockMs();
    Handle(std::move(heartbeat));
  }
  workflow::answer_body Deregister() {
    workflow::request_body request = workflow::deregister_worker{{"w"}, 5};
    return Handle(std::move(request));
  }
  bool IsRunningOn(const std::string& id) {
    return !workers_.states[{id}].running.empty();
  }
  bool IsRegistered(const std::string& id) const {
    return machine_.State().Workers().contains({id});
  }
  /// Lets time pass with heartbeats of "v" until the condition holds.
  template <class F>
  bool RunUntil(F condition, core::duration limit) {
    const core::time_point end = cluster_.clock.Now() + limit;
    while (!condition() && cluster_.clock.Now() < end) {
      if (IsRegistered("v")) Heartbeat("v", 1);
      cluster_.RunUntil(condition, milliseconds(200));
    }
    return condition();
  }
  void RunWithHeartbeats(core::duration duration) {
    RunUntil([] { return false; }, duration);
  }
  /// From now on no order reaches "w", also none that it has received.
  void CutOrders() {
    workers_.silent.insert({"w"});
    ++workers_.interruptions[{"w"}];
  }
};

// Guards against two runs of a task at once: the answer to a worker that
// deregisters may be lost, and it then works on under its lease.
TEST_F(DeregisterTest,
       ATaskStartsElsewhereOnlyAfterTheLeaseOfTheLeavingWorker) {
  CutOrders();
  Deregister();
  const auto starts_elsewhere = [&] { return IsRunningOn("v"); };
  ASSERT_TRUE(RunUntil(starts_elsewhere, seconds(20)));
  EXPECT_GT(workers_.ClockMs(), workers_.states[{"w"}].lease_until_ms);
  EXPECT_FALSE(IsRegistered("w"));
}

// Guards against a worker that ends with tasks whose progress it could still
// have reported, and which then wait for its lease.
TEST_F(DeregisterTest, TheRunsOfALeavingWorkerAreStoppedBeforeItMayEnd) {
  EXPECT_EQ(Deregister(), accepted_);
  EXPECT_FALSE(IsRegistered("w"));
  EXPECT_FALSE(IsRunningOn("w"));
  EXPECT_EQ(workers_.stops.size(), 1u);
  EXPECT_TRUE(RunUntil([&] { return IsRunningOn("v"); }, milliseconds(500)));
}

// Guards against a leaving worker that renews its lease with each poll, so that
// its tasks never start elsewhere.
TEST_F(DeregisterTest, TheLeaseOfALeavingWorkerIsNotRenewed) {
  workers_.unstoppable.insert({"w"});
  Deregister();
  const std::int64_t lease_until_ms = workers_.states[{"w"}].lease_until_ms;
  const std::size_t polls = workers_.polls.size();
  EXPECT_TRUE(RunUntil([&] { return IsRunningOn("v"); }, seconds(20)));
  EXPECT_GT(workers_.polls.size(), polls);
  EXPECT_EQ(workers_.states[{"w"}].lease_until_ms, lease_until_ms);
  EXPECT_GT(workers_.ClockMs(), lease_until_ms);
  EXPECT_FALSE(IsRegistered("w"));
}

// Guards against a worker that is kept waiting for an answer while it can't be
// reached: it must be told that it may end.
TEST_F(DeregisterTest, ALeavingWorkerIsKeptWaitingForALimitedTime) {
  CutOrders();
  const core::time_point begin = cluster_.clock.Now();
  const auto is_accepted = [&] { return Deregister() == accepted_; };
  EXPECT_FALSE(is_accepted());
  EXPECT_TRUE(RunUntil(is_accepted, seconds(4)));
  EXPECT_LT(cluster_.clock.Now(), begin + seconds(4));
}

// Guards against tasks that are placed on a worker that has deregistered
// without a drain, and that still has a run.
TEST_F(DeregisterTest, ALeavingWorkerGetsNoTasks) {
  CutOrders();
  Handle(Submit("/q/k"));
  ASSERT_TRUE(RunUntil([&] { return IsRunningOn("v"); }, seconds(2)));
  workers_.unstoppable.insert({"v"});
  workflow::request_body request = workflow::deregister_worker{{"v"}, 1};
  Handle(std::move(request));
  ASSERT_TRUE(IsRegistered("v"));
  const std::size_t starts = workers_.starts.size();
  Handle(Submit("/q/l"));
  RunWithHeartbeats(seconds(2));
  EXPECT_TRUE(IsRegistered("v"));
  EXPECT_EQ(workers_.starts.size(), starts);
  // Nor is the task assigned there and taken back again and again.
  EXPECT_EQ(machine_.State().FindJob("l")->tasks[0].last_run, 0u);
}

// Guards against a task that waits for the lease of an incarnation that has
// ended: its successor answers under the same id and does not have the run.
TEST_F(DeregisterTest, ASuccessorUnderTheSameIdEndsTheWaitForTheLease) {
  CutOrders();
  Deregister();
  workers_.silent.clear();
  workers_.states[{"w"}] = {};
  Heartbeat("w", 6);
  const auto starts_again = [&] {
    return IsRunningOn("v") || IsRunningOn("w");
  };
  EXPECT_TRUE(RunUntil(starts_again, seconds(2)));
}

}  // namespace
}  // namespace mangoplank::dispatch
