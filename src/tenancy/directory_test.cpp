#include "mangoplank/tenancy/directory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>

namespace mangoplank::tenancy {
namespace {

tenant MakeTenant(const std::string& name,
                  const std::vector<std::string>& keys) {
  tenant tenant;
  tenant.terms.name = name;
  for (const std::string& key : keys) tenant.keys.push_back(Digest(key));
  return tenant;
}

// Guards against a digest that another program, or another version of this one,
// computes differently: the value is that of SHA-256 for "abc".
TEST(DirectoryTest, DigestsAreSha256) {
  const key_digest digest = Digest("abc");
  EXPECT_EQ(digest.bytes.front(), 0xba);
  EXPECT_EQ(digest.bytes.back(), 0xad);
  EXPECT_EQ(Abbreviate(digest), "ba7816bf8f01cfea");
  EXPECT_NE(Digest(""), key_digest());
  EXPECT_NE(Digest(std::string("a\0b", 3)), Digest("a"));
}

// Guards against a key that is found under another tenant or not at all, and
// against an unknown one that is found.
TEST(DirectoryTest, FindsTenantsByKeyAndByName) {
  const directory tenants({MakeTenant("b", {"k2", "k3"}),
                           MakeTenant("a", {"k1"}),
                           MakeTenant("without keys", {})});
  EXPECT_EQ(tenants.FindByKey(Digest("k1"))->name, "a");
  EXPECT_EQ(tenants.FindByKey(Digest("k2"))->name, "b");
  EXPECT_EQ(tenants.FindByKey(Digest("k3"))->name, "b");
  EXPECT_EQ(tenants.FindByKey(Digest("k4")), nullptr);
  EXPECT_EQ(tenants.FindByKey(key_digest()), nullptr);
  EXPECT_EQ(tenants.FindByName("without keys")->name, "without keys");
  EXPECT_EQ(tenants.FindByName(""), nullptr);
  EXPECT_EQ(tenants.FindByName("c"), nullptr);
  EXPECT_EQ(directory().FindByKey(Digest("k1")), nullptr);
}

// Guards against a key that its tenant declares twice and that is not found.
TEST(DirectoryTest, ATenantMayDeclareAKeyTwice) {
  const directory tenants({MakeTenant("a", {"k", "k"})});
  EXPECT_EQ(tenants.FindByKey(Digest("k"))->name, "a");
}

// Guards against a directory that is sound only for a few tenants.
TEST(DirectoryTest, FindsEachOfTenThousandTenants) {
  constexpr int kCount = 10'000;
  std::vector<tenant> declared;
  for (int i = 0; i < kCount; ++i) {
    const std::string number = std::to_string(i);
    declared.push_back(MakeTenant("t" + number, {"x" + number, "y" + number}));
  }
  std::shuffle(declared.begin(), declared.end(), std::mt19937_64(1));
  const directory tenants(declared);
  for (int i = 0; i < kCount; ++i) {
    const std::string number = std::to_string(i);
    ASSERT_EQ(tenants.FindByKey(Digest("x" + number))->name, "t" + number);
    ASSERT_EQ(tenants.FindByKey(Digest("y" + number))->name, "t" + number);
    ASSERT_EQ(tenants.FindByName("t" + number)->name, "t" + number);
    ASSERT_EQ(tenants.FindByKey(Digest("z" + number)), nullptr);
  }
}

}  // namespace
}  // namespace mangoplank::tenancy
