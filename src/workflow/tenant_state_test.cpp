#include <gtest/gtest.h>

#include "mangoplank/wire/codec.h"
#include "mangoplank/workflow/state.h"

/// Tenants in the replicated state.
namespace mangoplank::workflow {
namespace {

using tenancy::Digest;

tenancy::tenant MakeTenant(const std::string& name, std::int64_t cap_cpu_milli,
                           const std::string& key) {
  return {{name, 2, {cap_cpu_milli, 0, 0}}, {Digest(key)}};
}

catalog MakeCatalog(std::uint64_t version,
                    std::vector<tenancy::tenant> tenants) {
  catalog catalog;
  catalog.version = version;
  catalog.queues.resize(1);
  catalog.queues[0].host = "host";
  catalog.queues[0].path_prefix = "/q/";
  catalog.tenants = std::move(tenants);
  return catalog;
}

job_accepted MakeJob(const std::string& id, const tenancy::terms& tenant) {
  job_accepted accepted;
  accepted.spec.id = id;
  accepted.spec.steps.resize(1);
  accepted.tenant = tenant;
  return accepted;
}

/// Passes the state through a snapshot, as a process that restarts does.
state Restored(const state& state) {
  const auto image = core::Capture(
      [&] { return wire::DecodeWorkflowImage(wire::Encode(state.Image())); });
  EXPECT_TRUE(image);
  return image ? state::FromImage(*image) : workflow::state{};
}

std::int64_t CapOf(const state& state, const std::string& job) {
  return state::TenantOf(*state.FindJob(job)).cap.cpu_milli;
}

// Guards against jobs that lose their tenant, and keys that are lost or come
// back, when a process restarts from a snapshot.
TEST(TenantStateTest, SnapshotsKeepTenantsAndTheirJobs) {
  state s;
  s.Apply(catalog_declared{MakeCatalog(1, {MakeTenant("a", 5, "k1")})});
  s.Apply(MakeJob("j", s.Tenants().Tenants().front()));
  s.Apply(catalog_declared{MakeCatalog(2, {MakeTenant("a", 5, "k2")})});
  const state restored = Restored(s);
  EXPECT_EQ(restored, s);
  EXPECT_EQ(restored.FindJob("j")->tenant.name, "a");
  EXPECT_EQ(restored.Tenants().FindByKey(Digest("k1")), nullptr);
  EXPECT_EQ(restored.Tenants().FindByKey(Digest("k2"))->name, "a");
}

// Guards against a removed tenant whose jobs are bound by an earlier cap than
// its last one, on a process that has applied all or on one that restarted.
TEST(TenantStateTest, ARemovedTenantsJobsKeepItsLastTerms) {
  state s;
  s.Apply(catalog_declared{MakeCatalog(1, {MakeTenant("a", 8'000, "k")})});
  s.Apply(MakeJob("j", s.Tenants().Tenants().front()));
  s.Apply(catalog_declared{MakeCatalog(2, {MakeTenant("a", 1'000, "k")})});
  EXPECT_EQ(CapOf(s, "j"), 1'000);
  s = Restored(s);
  s.Apply(catalog_declared{MakeCatalog(3, {MakeTenant("b", 9'000, "k")})});
  EXPECT_EQ(CapOf(s, "j"), 1'000);
  EXPECT_EQ(CapOf(Restored(s), "j"), 1'000);
  s.Apply(catalog_declared{MakeCatalog(4, {MakeTenant("a", 2'000, "k")})});
  EXPECT_EQ(CapOf(s, "j"), 2'000);
}

// Guards against a job with the terms of an earlier catalog: its caller was
// authenticated before the newest one was recorded, and the job after it.
TEST(TenantStateTest, AJobGetsTheTermsInForceWhenItIsRecorded) {
  state s;
  s.Apply(catalog_declared{MakeCatalog(2, {MakeTenant("a", 1'000, "k")})});
  s.Apply(MakeJob("j", {"a", 2, {8'000, 0, 0}}));
  EXPECT_EQ(CapOf(s, "j"), 1'000);
  s.Apply(MakeJob("i", {"removed", 2, {8'000, 0, 0}}));
  EXPECT_EQ(CapOf(s, "i"), 8'000);
}

// Guards against a catalog of many tenants that the codec's limits refuse.
TEST(TenantStateTest, TenThousandTenantsAreRecordedAndRestored) {
  constexpr int kCount = 10'000;
  std::vector<tenancy::tenant> tenants;
  for (int i = 0; i < kCount; ++i) {
    const std::string number = std::to_string(i);
    tenants.push_back(MakeTenant("t" + number, i, "k" + number));
  }
  const std::vector<event> events = {
      catalog_declared{MakeCatalog(1, std::move(tenants))}};
  const auto decoded = core::Capture(
      [&] { return wire::DecodeWorkflowEvents(wire::Encode(events)); });
  ASSERT_TRUE(decoded);
  EXPECT_EQ(*decoded, events);
  state s;
  s.Apply(decoded->front());
  EXPECT_EQ(Restored(s).Tenants().Tenants().size(), 10'000u);
}

}  // namespace
}  // namespace mangoplank::workflow
