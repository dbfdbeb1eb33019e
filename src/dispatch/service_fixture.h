#ifndef MANGOPLANK_SRC_DISPATCH_SERVICE_FIXTURE_H_
#define MANGOPLANK_SRC_DISPATCH_SERVICE_FIXTURE_H_

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "consensus/fake_cluster.h"
#include "dispatch/fakes.h"
#include "mangoplank/dispatch/service.h"

/// A service that leads a cell on a fake clock, with fakes of its interfaces.
namespace mangoplank::dispatch {

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

}  // namespace mangoplank::dispatch

#endif  // MANGOPLANK_SRC_DISPATCH_SERVICE_FIXTURE_H_
