#include "mangoplank/workflow/client.h"

#include <gtest/gtest.h>

#include "mangoplank/wire/codec.h"
#include "wire/loop_test_support.h"

namespace mangoplank::workflow {
namespace {

using namespace std::chrono_literals;

/// A leader that closes the connection on its first request, as if it failed
/// after recording it, and refuses all later requests.
class client_test : public wire::loop_test {
 public:
  core::awaitable<void> Serve(std::shared_ptr<wire::connection> connection) {
    const auto hello_frame = co_await connection->Receive();
    if (!hello_frame) co_return;
    const core::member_id self{"127.0.0.1"};
    connection->Send(wire::Encode(message(hello_reply{self, self, {self}})));
    while (true) {
      const auto frame = co_await connection->Receive();
      if (!frame) co_return;
      if (++requests_ == 1) {
        connection->Close();
        co_return;
      }
      const auto decoded = core::Capture([&] {
        return wire::DecodeWorkflowMessage(*frame, wire::Malformed("client"));
      });
      const std::uint64_t id = std::get<request>(*decoded).id;
      connection->Send(wire::Encode(message(answer{id, refusal_})));
    }
  }

  answer_body refusal_ = core::failure(core::not_leader{});
  int requests_ = 0;
};

// Guards against a refusal returned for a request whose first attempt may have
// been recorded before the connection was lost.
TEST_F(client_test, RefusedRetryOfASentRequestIsCommitUnknown) {
  wire::listener leader(
      Context(), [this](auto c) { return Serve(std::move(c)); }, 4);
  ASSERT_TRUE(leader.Start({"127.0.0.1", 0}));
  client_settings s;
  s.name = "test";
  s.port = leader.Port();
  s.seeds = {{"127.0.0.1", leader.Port()}};
  client c(s, Context(), {});
  c.Start();
  for (const core::failure& refusal :
       {core::failure(core::not_leader{}), core::failure(core::not_found{})}) {
    requests_ = 0;
    refusal_ = refusal;
    Run([](client_test& test, client& tested) -> core::awaitable<void> {
      request_body r = submit_job{};
      const auto a =
          co_await tested.Request(std::move(r), test.clock_.Now() + 1s);
      const auto* const f = std::get_if<core::failure>(&a);
      EXPECT_GT(test.requests_, 1);
      EXPECT_TRUE(f != nullptr &&
                  std::holds_alternative<core::commit_unknown>(*f));
    }(*this, c));
  }
}

}  // namespace
}  // namespace mangoplank::workflow
