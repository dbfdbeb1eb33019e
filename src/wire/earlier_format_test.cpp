#include <capnp/serialize-packed.h>
#include <gtest/gtest.h>
#include <kj/io.h>

#include "mangoplank/wire/codec.h"

/// Bytes of code that knew no tenants, as `capnp encode --packed` wrote them
/// with its schema: logs and snapshots outlive an update, and gateways may be
/// updated after the controllers.
namespace mangoplank::wire {
namespace {

/// A declaration and a job, with all other fields at their defaults.
constexpr char kEvents[] =
    "1044400111014751080202000151140103000001010105516c030351a408040103110967"
    "11491711551251040804016400001002c0f83f0003110d12110d2a110d22110d2a01710f"
    "686f7374072f712f0f706f6f6c51040101000011012a0f706f6f6c037b7d000211091200"
    "0011053f016a5104030401010005016400001002c0f83f0003110d12110d2a110d22110d"
    "2a01710f686f7374072f712f0f706f6f6c";
/// The same as a snapshot.
constexpr char kImage[] =
    "104b400351080103116d370000010311096711491711551251040804016400001002c0f8"
    "3f0003110d12110d2a110d22110d2a01710f686f7374072f712f0f706f6f6c5104010100"
    "0011012a0f706f6f6c037b7d5104020401050000510c0303514408041181370003110912"
    "000011053f016a5104030401010005016400001002c0f83f0003110d12110d2a110d2211"
    "0d2a01710f686f7374072f712f0f706f6f6c510403030005";
/// Request 7: reads /q/1.
constexpr char kGet[] =
    "100f50020304010000510803020001010701010000410402000011052a11052a0f686f73"
    "740f2f712f31";
/// Request 7: submits /q/1.
constexpr char kSubmit[] =
    "101e50020304010000510803020001010700014104025110030311052a11052a0f686f73"
    "740f2f712f31000311052211053f0f746578745104030401010005";

/// @return the message in the form that the codec reads.
std::string Unpack(std::string_view hex) {
  std::vector<kj::byte> packed;
  for (std::size_t i = 0; i < hex.size(); i += 2) {
    const std::string digits(hex.substr(i, 2));
    packed.push_back(static_cast<kj::byte>(std::stoi(digits, nullptr, 16)));
  }
  kj::ArrayInputStream stream(kj::arrayPtr(packed.data(), packed.size()));
  capnp::PackedMessageReader reader(stream);
  capnp::MallocMessageBuilder builder;
  builder.setRoot(reader.getRoot<capnp::AnyPointer>());
  const auto words = capnp::messageToFlatArray(builder);
  const auto bytes = words.asBytes();
  return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

workflow::queue ExpectedQueue() {
  workflow::queue queue;
  queue.name = "q";
  queue.host = "host";
  queue.path_prefix = "/q/";
  queue.timeout_ms = 100;
  queue.pool = "pool";
  queue.max_attempts = 2;
  queue.stretch_factor = 1.5;
  return queue;
}

// Guards against a log that can't be read after an update, and against jobs
// from before it that get a tenant, or other terms than new ones without one.
TEST(EarlierFormatTest, EventsDecodeWithoutTenants) {
  const auto events =
      core::Capture([] { return DecodeWorkflowEvents(Unpack(kEvents)); });
  ASSERT_TRUE(events);
  ASSERT_EQ(events->size(), 2u);
  const auto& declared =
      std::get<workflow::catalog_declared>((*events)[0]).catalog;
  EXPECT_FALSE(declared.tenants.has_value());
  EXPECT_EQ(declared.queues, std::vector{ExpectedQueue()});
  const auto& accepted = std::get<workflow::job_accepted>((*events)[1]);
  EXPECT_EQ(accepted.tenant, tenancy::terms{});
  EXPECT_EQ(accepted.queue, ExpectedQueue());
}

// Guards against a snapshot that can't be read after an update.
TEST(EarlierFormatTest, ImagesDecodeWithoutTenants) {
  const auto image = core::Capture(
      [] { return DecodeWorkflowImage(Unpack(kImage), core::failure()); });
  ASSERT_TRUE(image);
  EXPECT_FALSE(image->catalog.tenants.has_value());
  ASSERT_EQ(image->jobs.size(), 1u);
  EXPECT_EQ(image->jobs[0].tenant, tenancy::terms{});
  EXPECT_EQ(image->jobs[0].accepted_at, 5);
}

// Guards against a gateway of earlier code that is refused by a controller.
TEST(EarlierFormatTest, RequestsDecodeWithoutAKey) {
  const workflow::job_address address{"host", "/q/1"};
  const auto get =
      core::Capture([] { return DecodeWorkflowMessage(Unpack(kGet)); });
  ASSERT_TRUE(get);
  EXPECT_EQ(*get, workflow::message(
                      workflow::request{7, workflow::get_job{address}}));
  const auto submit =
      core::Capture([] { return DecodeWorkflowMessage(Unpack(kSubmit)); });
  ASSERT_TRUE(submit);
  workflow::submit_job expected{address, {}};
  expected.spec.payload = "text";
  expected.spec.steps = {workflow::step{}};
  EXPECT_EQ(*submit, workflow::message(workflow::request{7, expected}));
}

// Guards against messages of a deployment without tenants that grow, or that
// gateways and controllers of earlier code can't read.
TEST(EarlierFormatTest, ARequestWithoutAKeyHasTheSameContentAsBefore) {
  const workflow::message get =
      workflow::request{7, workflow::get_job{{"host", "/q/1"}}};
  // The pointer to the key, which is null, and the time that a read may wait.
  EXPECT_EQ(Encode(get).size(), Unpack(kGet).size() + 16);
}

}  // namespace
}  // namespace mangoplank::wire
