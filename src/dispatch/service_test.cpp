#include "dispatch/service_fixture.h"

namespace mangoplank::dispatch {
namespace {

// Guards against accepting jobs without a declared queue.
TEST_F(ServiceTest, AcceptsJobsOnlyForDeclaredQueues) {
  EXPECT_TRUE(Fails<core::unavailable>(Handle(Submit("/q/1"))));
  Declare(1, "/q/");
  EXPECT_EQ(Handle(Submit("/q/1")), accepted_);
  EXPECT_TRUE(Fails<core::not_found>(Handle(Submit("/other/1"))));
  EXPECT_TRUE(Fails<core::invalid_request>(Handle(Submit("/q/1/2"))));
  EXPECT_TRUE(Fails<core::invalid_request>(Handle(Submit("/q/"))));
  Declare(2, "/new/");
  EXPECT_TRUE(Fails<core::not_found>(Handle(Submit("/q/2"))));
}

// Guards against telling a caller that a job is accepted since another queue
// has a job of the same id.
TEST_F(ServiceTest, AnIdNamesOneJob) {
  Declare(1, "/");
  EXPECT_EQ(Handle(Submit("/1")), accepted_);
  EXPECT_EQ(Handle(Submit("/1")), accepted_);
  Declare(2, "/q/");
  EXPECT_TRUE(Fails<core::invalid_request>(Handle(Submit("/q/1"))));
}

// Guards against reporting a job or a queue in a wrong state.
TEST_F(ServiceTest, ReportsJobsAndQueues) {
  Declare(1, "/q/");
  EXPECT_EQ(Handle(Get("/q/1")),
            workflow::answer_body(workflow::job_not_found{}));
  Handle(Submit("/q/1"));
  Handle(Submit("/q/2"));
  EXPECT_EQ(
      Handle(Get("/q/1")),
      workflow::answer_body(workflow::job_view{workflow::job_phase::kQueued}));
  EXPECT_EQ(Handle(Get("/q/")), workflow::answer_body(workflow::queue_view{2}));
  workflow::request_body cancel = workflow::cancel_job{{"host", "/q/1"}};
  EXPECT_EQ(Handle(cancel), accepted_);
  EXPECT_EQ(Handle(cancel), accepted_);
  EXPECT_EQ(Handle(Get("/q/1")), workflow::answer_body(workflow::job_view{
                                     workflow::job_phase::kCancelled}));
}

// Guards against a job that is reported as running, and left out of the count
// of queued jobs, although no worker has confirmed a start of it: the start
// order waits for the end of a silent worker's lease.
TEST_F(ServiceTest, AJobIsQueuedUntilAWorkerConfirmsAStart) {
  Declare(1, "/q/");
  workflow::worker_heartbeat heartbeat;
  heartbeat.worker.key = {{"w"}, 5};
  heartbeat.worker.pool = "pool";
  heartbeat.worker.capacity = {8'000, 8'000, 0};
  heartbeat.clock_ms = workers_.ClockMs();
  Handle(heartbeat);
  cluster_.RunFor(milliseconds(200));
  workers_.silent.insert({"w"});
  Handle(Submit("/q/1"));
  cluster_.RunFor(seconds(5));
  ASSERT_FALSE(workers_.starts.empty());
  for (const start_order& order : workers_.starts) {
    EXPECT_EQ(order.run, workers_.starts.front().run);
  }
  EXPECT_EQ(Handle(Get("/q/")), workflow::answer_body(workflow::queue_view{1}));
  EXPECT_EQ(
      Handle(Get("/q/1")),
      workflow::answer_body(workflow::job_view{workflow::job_phase::kQueued}));
  workers_.silent.clear();
  heartbeat.clock_ms = workers_.ClockMs();
  Handle(heartbeat);
  cluster_.RunFor(seconds(5));
  EXPECT_EQ(Handle(Get("/q/")), workflow::answer_body(workflow::queue_view{0}));
  EXPECT_EQ(
      Handle(Get("/q/1")),
      workflow::answer_body(workflow::job_view{workflow::job_phase::kRunning}));
}

// Guards against jobs that are unknown, and left out of the count, once a
// declaration gives the queue at their address another name.
TEST_F(ServiceTest, JobsStayKnownWhenTheirQueueIsRenamed) {
  Declare(1, "/q/");
  Handle(Submit("/q/1"));
  Declare(2, "/q/", "renamed");
  EXPECT_EQ(
      Handle(Get("/q/1")),
      workflow::answer_body(workflow::job_view{workflow::job_phase::kQueued}));
  EXPECT_EQ(Handle(Get("/q/")), workflow::answer_body(workflow::queue_view{1}));
  workflow::request_body cancel = workflow::cancel_job{{"host", "/q/1"}};
  EXPECT_EQ(Handle(cancel), accepted_);
}

class ThreeMemberServiceTest : public ServiceTest {
 protected:
  ThreeMemberServiceTest() : ServiceTest(3) {}
};

// Guards against answers of a leader that was suspended: others may have
// elected a new one meanwhile, and have recorded jobs and queues that this one
// would report as unknown.
TEST_F(ThreeMemberServiceTest, ASuspendedLeaderAnswersOnlyOnceItIsConfirmed) {
  Declare(1, "/q/");
  EXPECT_EQ(Handle(Submit("/q/1")), accepted_);
  workflow::request_body cancel = workflow::cancel_job{{"host", "/q/2"}};
  workflow::worker_heartbeat heartbeat;
  heartbeat.worker.key = {{"w"}, 5};
  Handle(heartbeat);
  workflow::request_body requests[] = {
      Get("/q/1"),
      Get("/q/2"),
      Get("/q/"),
      Get("/new/1"),
      Submit("/new/1"),
      cancel,
      heartbeat,
      workflow::deregister_worker{{"w"}, 4},
      workflow::deregister_worker{{"unknown"}, 4}};
  const auto resubmitted = cluster_.Spawn(service_->Handle(Submit("/q/1")));
  std::vector<std::shared_ptr<std::optional<workflow::answer_body>>> answers;
  for (workflow::request_body& request : requests) {
    answers.push_back(cluster_.Spawn(service_->Handle(std::move(request))));
  }
  cluster_.clock.AdvanceTo(cluster_.clock.Now() + seconds(5));
  cluster_.RunFor(seconds(2));
  for (const auto& answer : answers) {
    ASSERT_TRUE(answer->has_value());
    EXPECT_TRUE(Fails<core::not_leader>(**answer));
  }
  // What it has applied is recorded, whoever leads.
  EXPECT_EQ(resubmitted->value(), accepted_);
}

// Guards against returning an older declaration, or one with other content
// under the current version.
TEST_F(ServiceTest, ReturnsTheHighestCatalogVersion) {
  EXPECT_TRUE(Fails<core::unavailable>(Handle(workflow::read_catalog{})));
  Declare(5, "/q/");
  Declare(4, "/old/");
  Declare(5, "/same/");
  EXPECT_EQ(Handle(workflow::read_catalog{}),
            workflow::answer_body(workflow::catalog_view{5, "version 5"}));
}

// Guards against a delayed heartbeat that ends a drain, and against one of an
// earlier incarnation that replaces the current one.
TEST_F(ServiceTest, DelayedHeartbeatsChangeNothing) {
  workflow::worker_heartbeat heartbeat;
  heartbeat.worker.key = {{"w"}, 5};
  heartbeat.worker.draining = true;
  Handle(heartbeat);
  heartbeat.worker.draining = false;
  Handle(heartbeat);
  EXPECT_TRUE(machine_.State().Workers().at({"w"}).draining);
  heartbeat.worker.key.incarnation = 4;
  Handle(heartbeat);
  EXPECT_EQ(machine_.State().Workers().at({"w"}).key.incarnation, 5);
  Handle(workflow::deregister_worker{{"w"}, 4});
  EXPECT_EQ(machine_.State().Workers().size(), 1u);
  Handle(workflow::deregister_worker{{"w"}, 5});
  EXPECT_TRUE(machine_.State().Workers().empty());
}

// Guards against a delayed deregistration without an incarnation, from one that
// was drained and has ended, that removes the current one while it runs tasks.
TEST_F(ServiceTest, DeregistrationWithoutIncarnationNeedsADrain) {
  workflow::worker_heartbeat heartbeat;
  heartbeat.worker.key = {{"w"}, 5};
  Handle(heartbeat);
  EXPECT_EQ(Handle(workflow::deregister_worker{{"w"}, 0}), accepted_);
  EXPECT_EQ(machine_.State().Workers().size(), 1u);
  heartbeat.worker.draining = true;
  Handle(heartbeat);
  EXPECT_EQ(Handle(workflow::deregister_worker{{"w"}, 0}), accepted_);
  EXPECT_TRUE(machine_.State().Workers().empty());
}

// Guards against a job whose number of tasks overflows to a small one: applying
// it ends every member, at every start.
TEST_F(ServiceTest, RefusesJobsThatAreTooLarge) {
  Declare(1, "/q/");
  const auto submit = [&](std::size_t steps, std::uint32_t count,
                          std::uint32_t repeat_count) {
    workflow::submit_job request{{"host", "/q/1"}, {}};
    request.spec.steps.resize(steps);
    for (workflow::step& step : request.spec.steps) step.count = count;
    request.spec.repeat_count = repeat_count;
    return Handle(std::move(request));
  };
  EXPECT_TRUE(Fails<core::invalid_request>(submit(16, 1u << 30, 1u << 30)));
  EXPECT_TRUE(Fails<core::invalid_request>(submit(1, 10'001, 0)));
  EXPECT_TRUE(Fails<core::invalid_request>(submit(101, 1, 0)));
  EXPECT_TRUE(Fails<core::invalid_request>(submit(1, 0, 0)));
  EXPECT_TRUE(machine_.State().Jobs().empty());
  EXPECT_EQ(submit(100, 10, 10), accepted_);
}

// Guards against a job id that no order can carry: JSON can't encode it, so
// that workers refuse each start and the task is started again without end.
TEST_F(ServiceTest, RefusesJobIdsThatOrdersCannotCarry) {
  Declare(1, "/q/");
  for (const std::string& id :
       {std::string("\xff"), std::string("a b"), std::string("a\0", 2),
        std::string(257, 'x'), std::string(1'000'000, 'x')}) {
    EXPECT_TRUE(Fails<core::invalid_request>(Handle(Submit("/q/" + id))))
        << id.size();
  }
  EXPECT_TRUE(machine_.State().Jobs().empty());
}

// Guards against a report of another writer, with a later incarnation, that
// shuts out a sound worker.
TEST_F(ServiceTest, AWorkerThatAnswersKeepsItsId) {
  workers_.named_incarnations[{"w"}] = 5;
  EXPECT_EQ(Report(5), accepted_);
  for (int i = 0; i < 10; ++i) {
    EXPECT_TRUE(Fails<core::invalid_request>(Report(9'000'000'000'000)));
    EXPECT_EQ(Report(5), accepted_);
    EXPECT_EQ(KnownIncarnation(), 5);
    cluster_.RunFor(seconds(1));
  }
  // The worker restarts.
  workers_.named_incarnations[{"w"}] = 6;
  EXPECT_EQ(Report(6), accepted_);
  EXPECT_EQ(KnownIncarnation(), 6);
}

// Guards against a false report that came while the sound worker was silent,
// and that is repeated: the worker must get its place back.
TEST_F(ServiceTest, AnIncarnationThatNeverAnswersGivesWay) {
  workers_.named_incarnations[{"w"}] = 5;
  EXPECT_EQ(Report(5), accepted_);
  workers_.silent.insert({"w"});
  EXPECT_EQ(Report(9'000'000'000'000), accepted_);
  EXPECT_EQ(KnownIncarnation(), 9'000'000'000'000);
  workers_.silent.clear();
  for (int i = 0; i < 10; ++i) {
    Report(9'000'000'000'000);
    EXPECT_EQ(Report(5), accepted_);
    cluster_.RunFor(seconds(1));
  }
  EXPECT_EQ(KnownIncarnation(), 5);
}

// Guards against a worker that is removed since an earlier incarnation's report
// is delayed: its tasks would start elsewhere under its lease.
TEST_F(ServiceTest, ADelayedReportRemovesNoWorkerUnderItsLease) {
  workers_.named_incarnations[{"w"}] = 6;
  EXPECT_EQ(Report(6), accepted_);
  workers_.silent.insert({"w"});
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(Report(5), accepted_);
    EXPECT_EQ(Report(6), accepted_);
    EXPECT_EQ(KnownIncarnation(), 6);
    cluster_.RunFor(seconds(1));
  }
}

// Guards against a worker that was removed and is registered again by a report
// from before its loss: it would get orders, and the losses that count against
// the tasks which crash their workers would be taken back.
TEST_F(ServiceTest, ALateReportDoesNotBringARemovedWorkerBack) {
  workflow::worker_heartbeat heartbeat;
  heartbeat.worker.key = {{"w"}, 5};
  heartbeat.worker.report_sequence = 7;
  workers_.silent.insert({"w"});
  EXPECT_EQ(Handle(heartbeat), accepted_);
  cluster_.RunFor(seconds(20));
  ASSERT_EQ(KnownIncarnation(), 0);
  heartbeat.worker.report_sequence = 3;
  EXPECT_EQ(Handle(heartbeat), accepted_);
  EXPECT_EQ(KnownIncarnation(), 0);
  // The worker was only cut off.
  heartbeat.worker.report_sequence = 8;
  EXPECT_EQ(Handle(heartbeat), accepted_);
  EXPECT_EQ(KnownIncarnation(), 5);
}

// Guards against an earlier incarnation that is registered by its late report,
// after the later one has been removed.
TEST_F(ServiceTest, ALateReportOfAFormerIncarnationRegistersNothing) {
  workers_.silent.insert({"w"});
  EXPECT_EQ(Report(5), accepted_);
  EXPECT_EQ(Report(6), accepted_);
  cluster_.RunFor(seconds(20));
  ASSERT_EQ(KnownIncarnation(), 0);
  EXPECT_EQ(Report(5), accepted_);
  EXPECT_EQ(KnownIncarnation(), 0);
}

}  // namespace
}  // namespace mangoplank::dispatch
