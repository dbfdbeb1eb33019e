#include "mangoplank/workflow/client.h"

#include <gtest/gtest.h>

#include "mangoplank/wire/codec.h"
#include "wire/loop_test_support.h"

namespace mangoplank::workflow {
namespace {

using namespace std::chrono_literals;

/// A leader that drops the connection at its first request, as if it ended
/// after it had recorded it, and then refuses all others.
class client_test : public wire::loop_test {
 public:
  core::awaitable<void> Serve(std::shared_ptr<wire::connection> c) {
    const auto hello_frame = co_await c->Receive();
    if (!hello_frame) co_return;
    const core::member_id self{"127.0.0.1"};
    c->Send(wire::Encode(message(greeting{self, self, {self}})));
    while (true) {
      const auto frame = co_await c->Receive();
      if (!frame) co_return;
      if (++requests_ == 1) {
        c->Close();
        co_return;
      }
      const auto m = core::Capture([&] {
        return wire::DecodeWorkflowMessage(*frame, wire::Malformed("client"));
      });
      const std::uint64_t id = std::get<request>(*m).id;
      c->Send(wire::Encode(message(answer{id, refusal_})));
    }
  }

  answer_body refusal_ = core::failure(core::not_leader{});
  int requests_ = 0;
};

// Guards against a refusal that says that nothing was recorded, for a request
// whose first try may have been.
TEST_F(client_test, TellsThatAnEarlierTryMayHaveBeenRecorded) {
  wire::listener leader(
      Context(), [this](auto c) { return Serve(std::move(c)); }, 4);
  ASSERT_TRUE(leader.Start({"127.0.0.1", 0}));
  client_settings s;
  s.name = "test";
  s.link_port = leader.Port();
  s.seeds = {{"127.0.0.1", leader.Port()}};
  client c(s, Context(), {});
  c.Start();
  for (const core::failure& refusal :
       {core::failure(core::not_leader{}), core::failure(core::not_found{})}) {
    requests_ = 0;
    refusal_ = refusal;
    Run([](client_test& t, client& asked) -> core::awaitable<void> {
      request_body r = submit_job{};
      const auto a = co_await asked.Ask(std::move(r), t.clock_.Now() + 1s);
      const auto* const f = std::get_if<core::failure>(&a);
      EXPECT_GT(t.requests_, 1);
      EXPECT_TRUE(f != nullptr &&
                  std::holds_alternative<core::commit_unknown>(*f));
    }(*this, c));
  }
}

}  // namespace
}  // namespace mangoplank::workflow
