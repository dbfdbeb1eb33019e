#include "ctl/session.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "api/test_cell.h"

namespace mangoplank::ctl {
namespace {

using api::fakes::kAdmin;
using api::fakes::kKitchens;
using api::fakes::kTally;
using api::fakes::kViewer;
using api::fakes::test_cell;

constexpr const char* kPlanner =
    R"({"kind":"service","name":"planner","spec":{"replicas":2,)"
    R"("need":{"cpu_milli":500,"memory_mib":64}}})";
constexpr const char* kJob =
    R"({"kind":"batch_job","name":"sheets","spec":{"tasks":1,)"
    R"("need":{"cpu_milli":500}}})";

/// What a command printed and how it ended.
struct ran {
  exit_code code = exit_code::kOk;
  std::string out;
  std::string err;
};

/// A folder for declarations, removed at the end.
class SessionTest : public ::testing::Test {
 protected:
  SessionTest() {
    char name[] = "/tmp/mangoplank-ctl-XXXXXX";
    folder_ = ::mkdtemp(name);
  }
  ~SessionTest() override { std::filesystem::remove_all(folder_); }

  std::string Write(const std::string& name, const std::string& text) {
    std::ofstream(folder_ + "/" + name) << text;
    return folder_ + "/" + name;
  }

  /// Runs a command line against `at`.
  ran RunAt(const core::endpoint& at, const std::string& token,
            std::vector<std::string> arguments, std::string input = {}) {
    const environment env = [&](const std::string& name) -> std::string {
      if (name == "MANGOPLANK_TOKEN") return token;
      if (name == "MANGOPLANK_DEPARTMENT") return "kitchens";
      if (name != "MANGOPLANK_SERVER") return {};
      return at.address + ":" + std::to_string(at.port);
    };
    const auto parsed = ParseCommandLine(arguments, env);
    if (const auto* const text = std::get_if<usage>(&parsed)) {
      return {text->code, text->text, ""};
    }
    ran r;
    boost::asio::io_context io(1);
    core::system_clock clock(io.get_executor());
    session_settings settings;
    settings.run_id = "test-" + std::to_string(next_run_++);
    settings.pause = core::milliseconds(20);
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    session s(std::get<command>(parsed), settings, clock, in, out, err);
    boost::asio::co_spawn(io, s.Run(), [&](std::exception_ptr, exit_code code) {
      r.code = code;
    });
    io.run();
    r.out = out.str();
    r.err = err.str();
    return r;
  }

  ran Run(std::vector<std::string> arguments,
          const std::string& token = kKitchens, std::string input = {}) {
    return RunAt(cell_.at, token, std::move(arguments), std::move(input));
  }

  std::string folder_;
  int next_run_ = 1;
  test_cell cell_;
};

// Guards against an apply that writes what did not change, or misses what did.
TEST_F(SessionTest, ApplyCreatesThenLeavesAloneThenChanges) {
  const std::string file = Write("a.json", kPlanner);
  ran r = Run({"apply", "-f", file});
  ASSERT_EQ(r.code, exit_code::kOk) << r.err;
  EXPECT_EQ(r.out, "service kitchens/planner created\n");
  EXPECT_EQ(Run({"apply", "-f", file}).out,
            "service kitchens/planner unchanged\n");
  Write("a.json", R"([{"kind":"service","name":"planner","spec":{"replicas":3,)"
                  R"("need":{"cpu_milli":500,"memory_mib":64}}}])");
  r = Run({"diff", "-f", folder_});
  EXPECT_EQ(r.code, exit_code::kDiffers);
  EXPECT_EQ(r.out,
            "service kitchens/planner would be changed\n"
            "  ~ spec.replicas: 2 -> 3\n");
  EXPECT_EQ(Run({"apply", "-f", folder_}).out,
            "service kitchens/planner changed\n");
  r = Run({"get", "services"});
  EXPECT_EQ(r.code, exit_code::kOk);
  EXPECT_NE(r.out.find("planner  3"), std::string::npos) << r.out;
}

}  // namespace
}  // namespace mangoplank::ctl
