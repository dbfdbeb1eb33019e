#include "mangoplank/dispatch/service.h"

#include <gtest/gtest.h>

#include "consensus/fake_cluster.h"
#include "dispatch/fakes.h"

namespace mangoplank::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One member that leads a cell of its own.
class ServiceTest : public testing::Test {
 protected:
  ServiceTest()
      : cluster_(1, 7),
        workers_(cluster_.clock),
        links_(cluster_.network.TransportOf({"m0"})),
        runner_(cluster_.clock, milliseconds(4), 1) {
    consensus::node_settings s = cluster_.base;
    s.self = {"m0"};
    node_ = std::make_unique<consensus::node>(
        s, cluster_.context.get_executor(), cluster_.clock, *links_, disk_,
        runner_, machine_, 1);
    service_ = std::make_unique<service>(
        service_settings{}, cluster_.context.get_executor(), cluster_.clock,
        machine_, *node_, workers_, eligibility_, registry_);
    machine_.SetObserver(service_.get());
    EXPECT_TRUE(cluster_.Await(node_->Start()));
    EXPECT_TRUE(
        cluster_.RunUntil([&] { return service_->Leads(); }, seconds(5)));
  }
  ~ServiceTest() override {
    node_.reset();
    cluster_.RunFor(seconds(5));
  }

  workflow::answer_body Ask(workflow::request_body r) {
    return cluster_.Await(service_->Handle(std::move(r)));
  }
  template <class T>
  bool Fails(const workflow::answer_body& a) {
    const auto* const f = std::get_if<core::failure>(&a);
    return f != nullptr && std::holds_alternative<T>(*f);
  }
  void Declare(std::uint64_t version, const std::string& prefix) {
    workflow::catalog c;
    c.version = version;
    workflow::queue q;
    q.name = "q" + prefix;
    q.host = "host";
    q.path_prefix = prefix;
    q.pool = "pool";
    c.queues = {q};
    c.pools = {{"pool", false, false}};
    c.document = "version " + std::to_string(version);
    workflow::request_body r = workflow::declare_catalog{c};
    EXPECT_EQ(Ask(std::move(r)), accepted_);
  }
  static workflow::request_body Submit(const std::string& path) {
    workflow::submit_job s{{"host", path}, {}};
    s.spec.steps = {workflow::step{}};
    return s;
  }
  static workflow::request_body Get(const std::string& path) {
    return workflow::get_job{{"host", path}};
  }

  const workflow::answer_body accepted_ = workflow::accepted{};
  consensus::fake_cluster cluster_;
  consensus::fake_disk disk_;
  fake_workers workers_;
  fake_eligibility eligibility_;
  metrics::registry registry_;
  workflow::machine machine_;
  std::unique_ptr<consensus::transport> links_;
  consensus::fake_runner runner_;
  std::unique_ptr<consensus::node> node_;
  std::unique_ptr<service> service_;
};

// Guards against jobs that are accepted without a queue to run them.
TEST_F(ServiceTest, AcceptsJobsOnlyForDeclaredQueues) {
  EXPECT_TRUE(Fails<core::unavailable>(Ask(Submit("/q/1"))));
  Declare(1, "/q/");
  EXPECT_EQ(Ask(Submit("/q/1")), accepted_);
  EXPECT_TRUE(Fails<core::not_found>(Ask(Submit("/other/1"))));
  EXPECT_TRUE(Fails<core::invalid_request>(Ask(Submit("/q/1/2"))));
  EXPECT_TRUE(Fails<core::invalid_request>(Ask(Submit("/q/"))));
  Declare(2, "/new/");
  EXPECT_TRUE(Fails<core::not_found>(Ask(Submit("/q/2"))));
}

// Guards against a job or queue that is shown in another state.
TEST_F(ServiceTest, ShowsJobsAndQueues) {
  Declare(1, "/q/");
  EXPECT_EQ(Ask(Get("/q/1")), workflow::answer_body(workflow::no_such_job{}));
  Ask(Submit("/q/1"));
  Ask(Submit("/q/2"));
  EXPECT_EQ(
      Ask(Get("/q/1")),
      workflow::answer_body(workflow::job_view{workflow::job_phase::kQueued}));
  EXPECT_EQ(Ask(Get("/q/")), workflow::answer_body(workflow::queue_view{2}));
  workflow::request_body cancel = workflow::cancel_job{{"host", "/q/1"}};
  EXPECT_EQ(Ask(cancel), accepted_);
  EXPECT_EQ(Ask(cancel), accepted_);
  EXPECT_EQ(Ask(Get("/q/1")), workflow::answer_body(workflow::job_view{
                                  workflow::job_phase::kCancelled}));
}

// Guards against an older declaration, or other content under the version that
// is held, that is read back.
TEST_F(ServiceTest, ReadsBackTheHighestVersion) {
  EXPECT_TRUE(Fails<core::unavailable>(Ask(workflow::read_catalog{})));
  Declare(5, "/q/");
  Declare(4, "/old/");
  Declare(5, "/same/");
  EXPECT_EQ(Ask(workflow::read_catalog{}),
            workflow::answer_body(workflow::catalog_view{5, "version 5"}));
}

// Guards against a drain that a report that was held up ends, and against a
// worker that a report of an earlier life replaces.
TEST_F(ServiceTest, LateReportsChangeNothing) {
  workflow::announce_worker a;
  a.w.key = {{"w"}, 5};
  a.w.draining = true;
  Ask(a);
  a.w.draining = false;
  Ask(a);
  EXPECT_TRUE(machine_.State().Workers().at({"w"}).draining);
  a.w.key.born = 4;
  Ask(a);
  EXPECT_EQ(machine_.State().Workers().at({"w"}).key.born, 5);
  Ask(workflow::remove_worker{{"w"}, 4});
  EXPECT_EQ(machine_.State().Workers().size(), 1u);
  Ask(workflow::remove_worker{{"w"}, 5});
  EXPECT_TRUE(machine_.State().Workers().empty());
}

// Guards against a farewell without a time of birth that comes late, from a
// life that drained and ended, and removes the present one while it works.
TEST_F(ServiceTest, AFarewellEndsOnlyADrainedLife) {
  workflow::announce_worker a;
  a.w.key = {{"w"}, 5};
  Ask(a);
  EXPECT_EQ(Ask(workflow::remove_worker{{"w"}, 0}), accepted_);
  EXPECT_EQ(machine_.State().Workers().size(), 1u);
  a.w.draining = true;
  Ask(a);
  EXPECT_EQ(Ask(workflow::remove_worker{{"w"}, 0}), accepted_);
  EXPECT_TRUE(machine_.State().Workers().empty());
}

}  // namespace
}  // namespace mangoplank::dispatch
