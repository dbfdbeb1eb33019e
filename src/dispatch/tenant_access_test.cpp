#include <ctime>
#include <iostream>

#include "dispatch/service_fixture.h"

/// Who may do what with the jobs of a tenant, by the newest catalog.
namespace mangoplank::dispatch {
namespace {

/// Keys by the name of their tenant.
using declared_keys = std::map<std::string, std::vector<std::string>>;

constexpr char kQueue[] = "/q/";
constexpr char kAnonymousQueue[] = "/open/";

class TenantAccessTest : public ServiceTest {
 protected:
  explicit TenantAccessTest(std::size_t members = 1) : ServiceTest(members) {}

  static workflow::catalog MakeCatalog(
      std::uint64_t version, const std::optional<declared_keys>& keys) {
    workflow::catalog catalog;
    catalog.version = version;
    for (const std::string prefix : {kQueue, kAnonymousQueue}) {
      workflow::queue queue;
      queue.name = "q" + prefix;
      queue.host = "host";
      queue.path_prefix = prefix;
      queue.pool = "pool";
      queue.anonymous = prefix == kAnonymousQueue;
      catalog.queues.push_back(queue);
    }
    catalog.pools = {{"pool", false, false}};
    if (!keys) return catalog;
    auto& tenants = catalog.tenants.emplace();
    for (const auto& [name, texts] : *keys) {
      tenancy::tenant tenant{{name, 2, {8'000, 0, 0}}, {}};
      for (const std::string& text : texts) {
        tenant.keys.push_back(tenancy::Digest(text));
      }
      tenants.push_back(tenant);
    }
    return catalog;
  }
  void DeclareKeys(std::uint64_t version,
                   const std::optional<declared_keys>& keys) {
    workflow::request_body request =
        workflow::declare_catalog{MakeCatalog(version, keys)};
    EXPECT_EQ(Handle(std::move(request)), accepted_);
  }
  /// @param key empty for a caller without one.
  static std::optional<tenancy::key_digest> KeyOf(const std::string& key) {
    if (key.empty()) return std::nullopt;
    return tenancy::Digest(key);
  }
  static workflow::request_body SubmitWith(const std::string& key,
                                           const std::string& path) {
    workflow::submit_job submit{{"host", path}, {}, KeyOf(key)};
    submit.spec.steps = {workflow::step{}};
    return submit;
  }
  static workflow::request_body GetWith(const std::string& key,
                                        const std::string& path) {
    return workflow::get_job{{"host", path}, KeyOf(key)};
  }
  static workflow::request_body CancelWith(const std::string& key,
                                           const std::string& path) {
    return workflow::cancel_job{{"host", path}, KeyOf(key)};
  }
  /// Submits, reads, counts and cancels.
  /// @return how each call ended.
  std::string TryAll(const std::string& key, const std::string& path) {
    const std::string prefix = path.substr(0, path.rfind('/') + 1);
    return Outcome(SubmitWith(key, path)) + " " + Outcome(GetWith(key, path)) +
           " " + Outcome(GetWith(key, prefix)) + " " +
           Outcome(CancelWith(key, path));
  }
  std::string Outcome(workflow::request_body request) {
    const workflow::answer_body answer = Handle(std::move(request));
    if (Fails<core::unauthenticated>(answer)) return "unauthenticated";
    if (Fails<core::forbidden>(answer)) return "forbidden";
    if (Fails<core::not_found>(answer)) return "not_found";
    return std::holds_alternative<core::failure>(answer) ? "failed" : "served";
  }
  std::string TenantOf(const std::string& job) {
    return machine_.State().FindJob(job)->tenant.name;
  }

  const std::string served_ = "served served served served";
  const std::string unauthenticated_ =
      "unauthenticated unauthenticated unauthenticated unauthenticated";
};

// Guards against a call that is served with a key that no tenant holds, or
// without one, and against one that is refused although its key is declared.
TEST_F(TenantAccessTest, AKeyOfATenantIsNeededUnlessTheQueueIsAnonymous) {
  DeclareKeys(1, declared_keys{{"a", {"k1", "k2"}}, {"b", {"k3"}}});
  EXPECT_EQ(TryAll("k1", "/q/1"), served_);
  EXPECT_EQ(TryAll("k2", "/q/2"), served_);
  EXPECT_EQ(TryAll("k3", "/q/3"), served_);
  EXPECT_EQ(TryAll("unknown", "/q/4"), unauthenticated_);
  EXPECT_EQ(TryAll("", "/q/5"), unauthenticated_);
  EXPECT_EQ(TryAll("", "/open/6"), served_);
  EXPECT_EQ(TryAll("unknown", "/open/7"), served_);
  EXPECT_EQ(TenantOf("1"), "a");
  EXPECT_EQ(TenantOf("3"), "b");
  EXPECT_EQ(TenantOf("7"), "");
  EXPECT_EQ(machine_.State().Jobs().size(), 5u);
  EXPECT_EQ(TryAll("k1", "/none/1"), "not_found not_found not_found not_found");
  EXPECT_EQ(TryAll("x", "/none/1"), "not_found not_found not_found not_found");
}

// Guards against a tenant that reads, cancels or resubmits another's job.
TEST_F(TenantAccessTest, AJobIsAccessedByItsTenantOnly) {
  DeclareKeys(1, declared_keys{{"a", {"k1", "k2"}}, {"b", {"k3"}}});
  EXPECT_EQ(Handle(SubmitWith("k1", "/q/1")), accepted_);
  EXPECT_EQ(TryAll("k3", "/q/1"), "forbidden forbidden served forbidden");
  EXPECT_EQ(machine_.State().FindJob("1")->phase, workflow::job_phase::kQueued);
  EXPECT_EQ(TryAll("k2", "/q/1"), served_);
  EXPECT_EQ(Handle(GetWith("k3", "/q/2")),
            workflow::answer_body(workflow::job_not_found{}));
}

// Guards against a key that is in force after its removal, or not in force
// after its declaration.
TEST_F(TenantAccessTest, TheNewestCatalogDecidesWhichKeysAreInForce) {
  DeclareKeys(1, declared_keys{{"a", {"k1"}}});
  EXPECT_EQ(Handle(SubmitWith("k1", "/q/1")), accepted_);
  EXPECT_EQ(Outcome(SubmitWith("k2", "/q/2")), "unauthenticated");
  DeclareKeys(2, declared_keys{{"a", {"k2"}}});
  EXPECT_EQ(TryAll("k1", "/q/1"), unauthenticated_);
  EXPECT_EQ(TryAll("k2", "/q/1"), served_);
  // An older declaration that arrives late brings no key back.
  DeclareKeys(1, declared_keys{{"a", {"k1"}}});
  EXPECT_EQ(TryAll("k1", "/q/1"), unauthenticated_);
  DeclareKeys(3, declared_keys{{"a", {}}});
  EXPECT_EQ(TryAll("k2", "/q/1"), unauthenticated_);
}

// Guards against a job that is lost, or whose repeated submission creates a
// second one, once the key it was submitted with is gone.
TEST_F(TenantAccessTest, ARepeatedSubmissionNeedsAKeyInForce) {
  DeclareKeys(1, declared_keys{{"a", {"k1"}}});
  EXPECT_EQ(Handle(SubmitWith("k1", "/q/1")), accepted_);
  DeclareKeys(2, declared_keys{{"a", {"k2"}}});
  EXPECT_EQ(Outcome(SubmitWith("k1", "/q/1")), "unauthenticated");
  EXPECT_EQ(Handle(SubmitWith("k2", "/q/1")), accepted_);
  EXPECT_EQ(machine_.State().Jobs().size(), 1u);
  EXPECT_EQ(TenantOf("1"), "a");
}

// Guards against jobs that pass to another tenant with the key that they were
// submitted with.
TEST_F(TenantAccessTest, AKeyThatMovesTakesNoJobsAlong) {
  DeclareKeys(1, declared_keys{{"a", {"k1", "k2"}}, {"b", {}}});
  EXPECT_EQ(Handle(SubmitWith("k1", "/q/1")), accepted_);
  DeclareKeys(2, declared_keys{{"a", {"k2"}}, {"b", {"k1"}}});
  EXPECT_EQ(TryAll("k1", "/q/1"), "forbidden forbidden served forbidden");
  EXPECT_EQ(Handle(SubmitWith("k1", "/q/2")), accepted_);
  EXPECT_EQ(TenantOf("1"), "a");
  EXPECT_EQ(TenantOf("2"), "b");
  EXPECT_EQ(TryAll("k2", "/q/1"), served_);
}

// Guards against callers that are refused by a catalog without tenants, and
// against jobs of the one kind that can't be accessed under the other.
TEST_F(TenantAccessTest, ACatalogWithoutTenantsAsksForNoKey) {
  DeclareKeys(1, std::nullopt);
  EXPECT_EQ(TryAll("", "/q/1"), served_);
  EXPECT_EQ(TryAll("any", "/q/2"), served_);
  EXPECT_EQ(machine_.State().FindJob("2")->tenant, tenancy::terms{});
  DeclareKeys(2, declared_keys{{"a", {"k1"}}});
  EXPECT_EQ(TryAll("", "/q/1"), unauthenticated_);
  EXPECT_EQ(TryAll("k1", "/q/1"), served_);
  EXPECT_EQ(Handle(SubmitWith("k1", "/q/3")), accepted_);
  DeclareKeys(3, std::nullopt);
  EXPECT_EQ(TryAll("", "/q/3"), served_);
  // Declared, but none of them: nobody has a key.
  DeclareKeys(4, declared_keys{});
  EXPECT_EQ(TryAll("", "/q/1"), unauthenticated_);
  EXPECT_EQ(TryAll("k1", "/q/1"), unauthenticated_);
}

// Guards against a deployment without tenants whose job records, or messages,
// differ from those of earlier code.
TEST_F(TenantAccessTest, WithoutTenantsNothingIsKeptOfAKey) {
  DeclareKeys(1, std::nullopt);
  EXPECT_EQ(Handle(SubmitWith("k1", "/q/1")), accepted_);
  EXPECT_EQ(Handle(Submit("/q/2")), accepted_);
  EXPECT_EQ(machine_.State().FindJob("1")->tenant,
            machine_.State().FindJob("2")->tenant);
}

// Guards against callers with unknown keys that grow the log, the state or the
// metrics. Prints what a refused call costs the leader.
TEST_F(TenantAccessTest, AFloodOfUnknownKeysLeavesNothingBehind) {
  constexpr int kCalls = 20'000;
  DeclareKeys(1, declared_keys{{"a", {"k1"}}});
  EXPECT_EQ(TryAll("k0", "/q/1"), unauthenticated_);
  const core::revision revision = node_->Status().committed;
  const std::size_t metrics_bytes = registry_.Expose().size();
  std::vector<workflow::request_body> requests;
  for (int i = 0; i < kCalls; ++i) {
    const std::string number = std::to_string(i);
    requests.push_back(SubmitWith("unknown" + number, "/q/" + number));
  }
  const std::clock_t begin = std::clock();
  for (workflow::request_body& request : requests) {
    ASSERT_TRUE(Fails<core::unauthenticated>(Handle(std::move(request))));
  }
  const double seconds =
      static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
  std::cout << "refused_call " << 1e6 * seconds / kCalls << " us\n";
  EXPECT_EQ(node_->Status().committed, revision);
  EXPECT_TRUE(machine_.State().Jobs().empty());
  // The counter has more digits.
  EXPECT_LT(registry_.Expose().size(), metrics_bytes + 10);
}

class ThreeMemberTenantAccessTest : public TenantAccessTest {
 protected:
  ThreeMemberTenantAccessTest() : TenantAccessTest(3) {}
};

// Guards against a leader that is cut off and goes by its catalog while another
// one has been declared: it may answer for its lease only, and never refuses a
// caller's key, since the key may have been added meanwhile.
TEST_F(ThreeMemberTenantAccessTest, ALeaderThatIsCutOffDecidesNothing) {
  DeclareKeys(1, declared_keys{{"a", {"k1"}}});
  EXPECT_EQ(Handle(SubmitWith("k1", "/q/1")), accepted_);
  cluster_.Crash(1);
  cluster_.Crash(2);
  cluster_.RunFor(cluster_.base.election_timeout);
  for (const std::string key : {"k1", "added meanwhile", ""}) {
    for (const std::string path : {"/q/1", "/q/2", "/q/"}) {
      EXPECT_EQ(Outcome(SubmitWith(key, path)), "failed") << key << path;
      EXPECT_EQ(Outcome(GetWith(key, path)), "failed") << key << path;
      EXPECT_EQ(Outcome(CancelWith(key, path)), "failed") << key << path;
    }
  }
}

// Guards against a new term in which a removed key is in force again, or jobs
// have another tenant.
TEST_F(ThreeMemberTenantAccessTest, ANewTermGoesByTheSameTenants) {
  DeclareKeys(1, declared_keys{{"a", {"k1"}}, {"b", {"k2"}}});
  EXPECT_EQ(Handle(SubmitWith("k1", "/q/1")), accepted_);
  DeclareKeys(2, declared_keys{{"a", {"k3"}}, {"b", {"k2"}}});
  // Long enough for another member to be elected.
  cluster_.clock.AdvanceTo(cluster_.clock.Now() + seconds(5));
  cluster_.RunFor(seconds(2));
  AwaitLeadership();
  EXPECT_EQ(TryAll("k1", "/q/1"), unauthenticated_);
  EXPECT_EQ(TryAll("k2", "/q/1"), "forbidden forbidden served forbidden");
  EXPECT_EQ(TryAll("k3", "/q/1"), served_);
}

}  // namespace
}  // namespace mangoplank::dispatch
