#include "dispatch/service_fixture.h"

namespace mangoplank::dispatch {
namespace {

using workflow::run_end;

constexpr milliseconds kWait{250};

/// One worker on which the tasks of the jobs start.
class JobReadTest : public ServiceTest {
 protected:
  JobReadTest() {
    Declare(1, "/q/");
    workflow::worker_heartbeat heartbeat;
    heartbeat.worker.key = {{"w"}, 5};
    heartbeat.worker.pool = "pool";
    heartbeat.worker.capacity = {8'000, 8'000, 0};
    heartbeat.clock_ms = workers_.ClockMs();
    Handle(heartbeat);
    cluster_.RunFor(milliseconds(200));
  }

  /// Submits a job and lets its tasks start.
  void Run(const std::string& id, workflow::step step) {
    workflow::submit_job submit{{"host", "/q/" + id}, {}};
    submit.spec.steps = {step};
    ASSERT_EQ(Handle(submit), accepted_);
    cluster_.RunFor(milliseconds(200));
  }

  /// @return the phase that a read gives, and how long it took.
  std::pair<workflow::job_phase, core::duration> Read(const std::string& id,
                                                      milliseconds wait) {
    const core::time_point begin = cluster_.clock.Now();
    workflow::request_body read =
        workflow::get_job{{"host", "/q/" + id}, std::nullopt, wait};
    const auto answer = Handle(std::move(read));
    return {std::get<workflow::job_view>(answer).phase,
            cluster_.clock.Now() - begin};
  }

  void End(const std::string& id, run_end ending, core::duration delay) {
    cluster_.clock.CallAt(cluster_.clock.Now() + delay, [this, id, ending] {
      workers_.End({"w"}, {{id, 0, 0, 0}, 1}, ending);
    });
  }

  /// Reads the job beside other work.
  core::awaitable<void> ReadInto(std::optional<workflow::answer_body>& answer,
                                 std::string id) {
    workflow::request_body read =
        workflow::get_job{{"host", "/q/" + id}, std::nullopt, kWait};
    answer = co_await service_->Handle(std::move(read));
  }
};

// Guards against a caller that learns of the end only at its next read: it
// often asks between the end of the last task and its record.
TEST_F(JobReadTest, AReadWaitsForAnEndThatIsNear) {
  Run("1", workflow::step{});
  End("1", run_end::kDone, milliseconds(100));
  const auto [phase, time] = Read("1", kWait);
  EXPECT_EQ(phase, workflow::job_phase::kSucceeded);
  EXPECT_GE(time, milliseconds(100));
  EXPECT_LT(time, kWait);
}

// Guards against reads that take longer than their callers allow, or without a
// bound.
TEST_F(JobReadTest, AReadIsAnsweredWhenItsWaitHasEnded) {
  Run("1", workflow::step{});
  const auto [phase, time] = Read("1", milliseconds(50));
  EXPECT_EQ(phase, workflow::job_phase::kRunning);
  EXPECT_EQ(time, milliseconds(50));
  EXPECT_EQ(Read("1", seconds(10)).second, kWait);
  EXPECT_EQ(Read("1", milliseconds(0)).second, milliseconds(0));
}

// Guards against a delay of reads that can't bring news: of a job that has
// ended, that waits for capacity, or that runs until it is cancelled.
TEST_F(JobReadTest, AReadOfAJobThatDoesNotEndSoonIsAnsweredAtOnce) {
  workflow::step step;
  step.need = {8'000, 0, 0};
  Run("ended", step);
  End("ended", run_end::kDone, milliseconds(1));
  cluster_.RunFor(milliseconds(300));
  EXPECT_EQ(Read("ended", kWait).second, milliseconds(0));
  step.count = 2;
  Run("waiting", step);
  EXPECT_EQ(Read("waiting", kWait).second, milliseconds(0));
  workflow::step lasting;
  lasting.long_running = true;
  Run("lasting", lasting);
  EXPECT_EQ(Read("lasting", kWait).second, milliseconds(0));
}

// Guards against a read that waits for its bound although the job was cancelled
// or has failed.
TEST_F(JobReadTest, ACancelEndsTheWait) {
  Run("1", workflow::step{});
  std::optional<workflow::answer_body> answer;
  cluster_.Spawn(ReadInto(answer, "1"));
  cluster_.RunFor(milliseconds(20));
  ASSERT_FALSE(answer);
  workflow::request_body cancel = workflow::cancel_job{{"host", "/q/1"}};
  ASSERT_EQ(Handle(std::move(cancel)), accepted_);
  cluster_.RunFor(milliseconds(1));
  const workflow::answer_body cancelled =
      workflow::job_view{workflow::job_phase::kCancelled};
  EXPECT_EQ(answer, cancelled);
}

}  // namespace
}  // namespace mangoplank::dispatch
