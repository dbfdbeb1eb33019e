#include "mangoplank/dispatch/service.h"

#include <gtest/gtest.h>

#include "consensus/fake_cluster.h"
#include "dispatch/fakes.h"

namespace mangoplank::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The leader of a cell, of one member unless stated otherwise.
class ServiceTest : public testing::Test {
 protected:
  explicit ServiceTest(std::size_t members = 1)
      : cluster_(members, 7),
        workers_(cluster_.clock),
        transport_(cluster_.network.TransportOf({"m0"})),
        runner_(cluster_.clock, milliseconds(4), 1) {
    consensus::node_settings s = cluster_.base;
    s.self = {"m0"};
    node_ = std::make_unique<consensus::node>(
        s, cluster_.context.get_executor(), cluster_.clock, *transport_, disk_,
        runner_, machine_, 1);
    service_ = std::make_unique<service>(
        service_settings{}, cluster_.context.get_executor(), cluster_.clock,
        machine_, *node_, workers_, eligibility_, registry_);
    machine_.SetObserver(service_.get());
    cluster_.network.Listen({"m0"},
                            [this](std::shared_ptr<consensus::peer_link> link) {
                              cluster_.Spawn(node_->Serve(std::move(link)));
                            });
    EXPECT_TRUE(cluster_.Await(node_->Start()));
    for (std::size_t i = 1; i < members; ++i) cluster_.Start(i);
    AwaitLeadership();
  }
  ~ServiceTest() override {
    cluster_.network.Listen({"m0"}, nullptr);
    node_.reset();
    cluster_.network.CloseLinksOf({"m0"});
    cluster_.RunFor(seconds(5));
  }

  /// Waits until the service leads; another leader gives up its leadership.
  void AwaitLeadership() {
    const auto is_decided = [&] {
      return service_->IsLeader() || cluster_.Leader().has_value();
    };
    EXPECT_TRUE(cluster_.RunUntil(is_decided, seconds(5)));
    if (const auto leader = cluster_.Leader()) {
      EXPECT_TRUE(
          cluster_.Await(cluster_.At(*leader).TransferLeadership({"m0"})));
    }
    EXPECT_TRUE(
        cluster_.RunUntil([&] { return service_->IsLeader(); }, seconds(5)));
  }

  workflow::answer_body Handle(workflow::request_body request) {
    return cluster_.Await(service_->Handle(std::move(request)));
  }
  template <class T>
  bool Fails(const workflow::answer_body& answer) {
    const auto* const failure = std::get_if<core::failure>(&answer);
    return failure != nullptr && std::holds_alternative<T>(*failure);
  }
  void Declare(std::uint64_t version, const std::string& prefix,
               const std::string& name = "") {
    workflow::catalog catalog;
    catalog.version = version;
    workflow::queue queue;
    queue.name = name.empty() ? "q" + prefix : name;
    queue.host = "host";
    queue.path_prefix = prefix;
    queue.pool = "pool";
    catalog.queues = {queue};
    catalog.pools = {{"pool", false, false}};
    catalog.document = "version " + std::to_string(version);
    workflow::request_body request = workflow::declare_catalog{catalog};
    EXPECT_EQ(Handle(std::move(request)), accepted_);
  }
  static workflow::request_body Submit(const std::string& path) {
    workflow::submit_job submit{{"host", path}, {}};
    submit.spec.steps = {workflow::step{}};
    return submit;
  }
  static workflow::request_body Get(const std::string& path) {
    return workflow::get_job{{"host", path}};
  }

  workflow::answer_body Report(core::wall_time_ms incarnation) {
    workflow::worker_heartbeat heartbeat;
    heartbeat.worker.key = {{"w"}, incarnation};
    return Handle(std::move(heartbeat));
  }
  core::wall_time_ms KnownIncarnation() const {
    const auto& known = machine_.State().Workers();
    const auto it = known.find({"w"});
    return it == known.end() ? 0 : it->second.key.incarnation;
  }

  const workflow::answer_body accepted_ = workflow::accepted{};
  consensus::fake_cluster cluster_;
  consensus::fake_disk disk_;
  fake_workers workers_;
  fake_eligibility eligibility_;
  metrics::registry registry_;
  workflow::machine machine_;
  std::unique_ptr<consensus::transport> transport_;
  consensus::fake_runner runner_;
  std::unique_ptr<consensus::node> node_;
  std::unique_ptr<service> service_;
};

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
  EXPECT_EQ(workers_.starts.size(), 1u);
  EXPECT_EQ(Handle(Get("/q/")), workflow::answer_body(workflow::queue_view{1}));
  EXPECT_EQ(
      Handle(Get("/q/1")),
      workflow::answer_body(workflow::job_view{workflow::job_phase::kQueued}));
  workers_.silent.clear();
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
  workflow::request_body requests[] = {Get("/q/1"),      Get("/q/2"),
                                       Get("/q/"),       Get("/new/1"),
                                       Submit("/new/1"), cancel};
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

}  // namespace
}  // namespace mangoplank::dispatch
