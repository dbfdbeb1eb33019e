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

using api::fakes::kAdminToken;
using api::fakes::kKitchensToken;
using api::fakes::kTallyToken;
using api::fakes::kViewerToken;
using api::fakes::test_cell;

constexpr const char* kPlanner =
    R"({"kind":"service","name":"planner","spec":{"replicas":2,)"
    R"("need":{"cpu_milli":500,"memory_mib":64}}})";
constexpr const char* kJob =
    R"({"kind":"batch_job","name":"sheets","spec":{"tasks":1,)"
    R"("need":{"cpu_milli":500}}})";

/// Output and exit code of a command.
struct run_result {
  exit_code code = exit_code::kOk;
  std::string out;
  std::string err;
};

/// Provides a folder for declarations, removed after each test.
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

  /// Runs a command line against `server`.
  run_result RunAt(const core::endpoint& server, const std::string& token,
                   std::vector<std::string> arguments, std::string input = {}) {
    const environment env = [&](const std::string& name) -> std::string {
      if (name == "MANGOPLANK_TOKEN") return token;
      if (name == "MANGOPLANK_DEPARTMENT") return "kitchens";
      if (name != "MANGOPLANK_SERVER") return {};
      return server.address + ":" + std::to_string(server.port);
    };
    const auto parsed = ParseCommandLine(arguments, env);
    if (const auto* const text = std::get_if<usage>(&parsed)) {
      return {text->code, text->text, ""};
    }
    run_result result;
    boost::asio::io_context io(1);
    core::system_clock clock(io.get_executor());
    session_settings settings;
    settings.run_id = "test-" + std::to_string(next_run_++);
    settings.retry_delay = core::milliseconds(20);
    std::istringstream in(input);
    std::ostringstream out;
    std::ostringstream err;
    session tested(std::get<command>(parsed), settings, clock, in, out, err);
    boost::asio::co_spawn(
        io, tested.Run(),
        [&](std::exception_ptr, exit_code code) { result.code = code; });
    io.run();
    result.out = out.str();
    result.err = err.str();
    return result;
  }

  run_result Run(std::vector<std::string> arguments,
                 const std::string& token = kKitchensToken,
                 std::string input = {}) {
    return RunAt(cell_.endpoint, token, std::move(arguments), std::move(input));
  }

  std::string folder_;
  int next_run_ = 1;
  test_cell cell_;
};

// Guards against an apply that writes unchanged objects or misses changes.
TEST_F(SessionTest, ApplyCreatesThenSkipsUnchangedThenUpdates) {
  const std::string file = Write("a.json", kPlanner);
  run_result r = Run({"apply", "-f", file});
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

// Guards against an apply that changes some objects before it finds an invalid
// file.
TEST_F(SessionTest, ApplyValidatesAllFilesBeforeSending) {
  Write("a.json", kPlanner);
  Write("b.json", R"({"kind":"service","name":"x","spec":{"replica":1}})");
  Write("c.json", "{");
  Write("d.json", R"({"kind":"table"})");
  const run_result r = Run({"apply", "-f", folder_});
  EXPECT_EQ(r.code, exit_code::kUsage);
  for (const char* const part : {"b.json: spec.replica", "c.json", "d.json"}) {
    EXPECT_NE(r.err.find(part), std::string::npos) << r.err;
  }
  EXPECT_EQ(Run({"get", "service", "planner"}).code, exit_code::kNotFound);
  Write("c.json", kPlanner);
  EXPECT_NE(Run({"apply", "-f", folder_}).err.find("also declared"),
            std::string::npos);
  EXPECT_EQ(Run({"apply", "-f", folder_ + "/none"}).code, exit_code::kUsage);
}

// Guards against a prune that deletes objects of other kinds or departments,
// and a dry run that deletes.
TEST_F(SessionTest, PruneDeletesOnlyDeclaredKindsAndDepartments) {
  const std::string file = Write("a.json", kPlanner);
  ASSERT_EQ(Run({"apply", "-f", file}).code, exit_code::kOk);
  ASSERT_EQ(Run({"apply", "-f", Write("j.json", kJob)}).code, exit_code::kOk);
  ASSERT_EQ(Run({"apply", "-d", "tally", "-f", file}, kTallyToken).code,
            exit_code::kOk);
  const std::string other =
      Write("b.json",
            R"({"kind":"service","name":"b","spec":{"need":{"cpu_milli":1}}})");
  run_result r = Run({"apply", "-f", other, "--prune", "--dry-run"});
  EXPECT_NE(r.out.find("planner deleted (dry run)"), std::string::npos)
      << r.out;
  EXPECT_EQ(Run({"get", "service", "planner"}).code, exit_code::kOk);
  r = Run({"apply", "-f", other, "--prune"});
  EXPECT_EQ(r.code, exit_code::kOk) << r.err;
  EXPECT_EQ(Run({"get", "service", "planner"}).code, exit_code::kNotFound);
  EXPECT_EQ(Run({"get", "batch_job", "sheets"}).code, exit_code::kOk);
  EXPECT_EQ(Run({"get", "service", "planner", "-d", "tally"}, kTallyToken).code,
            exit_code::kOk);
}

// Guards against an apply that undoes a change newer than its declaration.
TEST_F(SessionTest, ApplyOfAnOldVersionConflicts) {
  ASSERT_EQ(Run({"apply", "-f", Write("a.json", kPlanner)}).code,
            exit_code::kOk);
  const run_result got = Run({"get", "service", "planner", "-o", "json"});
  const std::string old = Write("old.json", got.out);
  Write("a.json", R"({"kind":"service","name":"planner","spec":{"replicas":7,)"
                  R"("need":{"cpu_milli":500,"memory_mib":64}}})");
  ASSERT_EQ(Run({"apply", "-f", folder_ + "/a.json"}).code, exit_code::kOk);
  EXPECT_EQ(Run({"apply", "-f", old}).code, exit_code::kConflict);
  EXPECT_EQ(Run({"delete", "service", "planner", "--if-version", "1"}).code,
            exit_code::kConflict);
  EXPECT_EQ(Run({"delete", "service", "planner"}).code, exit_code::kOk);
}

// Guards against a lost response that is reported as a failure or whose retry
// makes the change twice.
TEST_F(SessionTest, RetriesWithTheSameRequestId) {
  cell_.RunOnCell(
      [&] { cell_.client.failure_after_apply = core::commit_unknown{}; });
  const std::string file = Write("j.json", kJob);
  EXPECT_EQ(Run({"run", "-f", file, "--no-wait"}).code,
            exit_code::kOutcomeUnknown);
  cell_.RunOnCell([&] {
    cell_.client.failure_after_apply.reset();
    EXPECT_EQ(cell_.client.state.Objects().size(), 3u);
  });
  cell_.RunOnCell(
      [&] { cell_.client.failure = core::unavailable{"no leader"}; });
  EXPECT_EQ(Run({"get", "batch_job"}).code, exit_code::kUnavailable);
  EXPECT_EQ(Run({"delete", "batch_job", "sheets"}).code,
            exit_code::kUnavailable);
}

/// Ends all tasks of the cell in `phase`.
void EndTasks(test_cell& cell, cell::task_phase phase) {
  cell::worker_record worker;
  worker.id.v = "w1";
  worker.incarnation = 1;
  worker.capacity = {64'000, 1024, 0};
  cell.RunOnCell([&] {
    cell::command command;
    command.body = cell::register_worker{worker};
    cell.client.Apply(command);
    const auto tasks = cell.client.state.Tasks();
    for (const auto& [id, task] : tasks) {
      command.body = cell::place_tasks{{{{id, worker.id, 1}}}};
      cell.client.Apply(command);
      command.body =
          cell::report_tasks{{{id, 1, cell::task_phase::kRunning, ""}}};
      cell.client.Apply(command);
      command.body = cell::report_tasks{{{id, 1, phase, ""}}};
      cell.client.Apply(command);
    }
  });
}

// Guards against a run that returns before the job ends or with a wrong code.
TEST_F(SessionTest, RunWaitsForTheEndOfTheJob) {
  const std::string file = Write("j.json", kJob);
  std::thread worker([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(150));
    EndTasks(cell_, cell::task_phase::kSucceeded);
  });
  const run_result r = Run({"run", "-f", file});
  worker.join();
  EXPECT_EQ(r.code, exit_code::kOk) << r.err;
  EXPECT_NE(r.err.find("1 waiting"), std::string::npos) << r.err;
  EXPECT_NE(r.err.find("1 succeeded"), std::string::npos) << r.err;
  EXPECT_EQ(Run({"run", "-f", file}).code, exit_code::kConflict);
  EXPECT_EQ(Run({"run", "-f", Write("s.json", kPlanner)}).code,
            exit_code::kUsage);
}

// Guards against exit codes that do not distinguish the four outcomes.
TEST_F(SessionTest, CallExitCodeMatchesTheOutcome) {
  using cell::ending;
  const auto call = [&](ending outcome, calls::end_reason reason) {
    cell_.RunOnCell([&] { cell_.runner.next_end = {outcome, reason, "text"}; });
    return Run({"call", "planner", "book", "--key", "k", "--body", "-"},
               kKitchensToken, "two meals");
  };
  run_result r = call(ending::kDone, calls::end_reason::kNone);
  EXPECT_EQ(r.code, exit_code::kOk);
  EXPECT_EQ(r.out, "text");
  EXPECT_EQ(call(ending::kFailed, calls::end_reason::kWorkerError).code,
            exit_code::kWorkFailed);
  EXPECT_EQ(call(ending::kNotRun, calls::end_reason::kOverloaded).code,
            exit_code::kUnavailable);
  EXPECT_EQ(call(ending::kNotRun, calls::end_reason::kUnknownService).code,
            exit_code::kNotFound);
  r = call(ending::kOutcomeUnknown, calls::end_reason::kConnection);
  EXPECT_EQ(r.code, exit_code::kOutcomeUnknown);
  EXPECT_NE(r.err.find("--ask --key k"), std::string::npos) << r.err;
  cell_.RunOnCell([&] {
    EXPECT_EQ(cell_.runner.received.size(), 5u);
    EXPECT_EQ(cell_.runner.received[0].body, "two meals");
    cell_.runner.recorded[{{"kitchens"}, "planner", "k"}] = {
        ending::kDone, calls::end_reason::kNone, "late"};
  });
  r = Run({"call", "planner", "--ask", "--key", "k"});
  EXPECT_EQ(r.code, exit_code::kOk);
  EXPECT_EQ(r.out, "late");
}

// Guards against a rollout that looks complete while replicas or entries lag.
TEST_F(SessionTest, RolloutStatusCountsGenerationsAndEntries) {
  ASSERT_EQ(Run({"apply", "-f", Write("a.json", kPlanner)}).code,
            exit_code::kOk);
  cell::task_record task;
  task.phase = cell::task_phase::kRunning;
  task.generation = 1;
  cell_.RunOnCell([&] { cell_.client.explanation.tasks = {task}; });
  const std::vector<std::string> status{"rollout", "status", "service",
                                        "planner"};
  EXPECT_EQ(Run(status).code, exit_code::kWorkFailed);
  cell_.RunOnCell([&] { cell_.client.explanation.tasks = {task, task}; });
  EXPECT_EQ(Run(status).code, exit_code::kOk);

  cell_.Put({cell::object_kind::kConfiguration, {}, "limits"},
            cell::configuration_spec{{{"a", "b"}}});
  cell_.RunOnCell([&] {
    cell_.client.status.entries = {{{"e1"}, {"kalisz"}, 1}};
  });
  const std::vector<std::string> limits{"rollout", "status", "configuration",
                                        "limits"};
  EXPECT_EQ(Run(limits, kAdminToken).code, exit_code::kWorkFailed);
  cell_.RunOnCell([&] { cell_.client.status.entries[0].in_force = 99; });
  EXPECT_EQ(Run(limits, kAdminToken).code, exit_code::kOk);
  EXPECT_EQ(Run({"top"}, kAdminToken).code, exit_code::kOk);
}

/// Answers each request with 200 and the same body.
class fixed_answer : public api::handler {
 public:
  core::awaitable<api::reply> Handle(api::request) override {
    api::response response;
    response.body = body;
    co_return response;
  }
  std::string body;
};

// Guards against a change that is not made and is reported as made, since the
// answer to a read is not an object of the interface.
TEST_F(SessionTest, AnAnswerWithoutAnObjectIsAFailure) {
  boost::asio::io_context io(1);
  core::system_clock clock(io.get_executor());
  metrics::registry registry;
  fixed_answer handler;
  process::memory_budget budget(io.get_executor(), clock, registry, {});
  auto server =
      std::make_unique<api::server>(io.get_executor(), clock, handler, registry,
                                    budget, api::server_limits{});
  const auto address = server->Listen({"127.0.0.1", 0});
  ASSERT_TRUE(address);
  const std::string file = Write("a.json", kPlanner);
  for (const char* body : {"", "[]", "{}", R"({"spec":null})", "not JSON"}) {
    handler.body = body;
    for (const std::vector<std::string>& arguments :
         {std::vector<std::string>{"apply", "-f", file},
          {"diff", "-f", file},
          {"apply", "-f", file, "--prune"},
          {"get", "services"},
          {"top"}}) {
      std::thread serve([&] { io.run_for(std::chrono::seconds(5)); });
      const run_result r = RunAt(*address, kKitchensToken, arguments);
      io.stop();
      serve.join();
      io.restart();
      const bool is_page =
          std::string(body) == "{}" || std::string(body) == R"({"spec":null})";
      const bool is_read = arguments[0] == "get" || arguments[0] == "top";
      if (is_read && is_page) continue;
      EXPECT_EQ(r.code, exit_code::kUnavailable) << arguments[0] << body;
      EXPECT_NE(r.err, "") << arguments[0] << body;
    }
  }
  // Its connections use the clock and must end before it does.
  server.reset();
  io.run();
}

// Guards against a watch that stops at the first lost connection.
TEST_F(SessionTest, WatchReconnectsUntilNoEntryAnswers) {
  ASSERT_EQ(Run({"apply", "-f", Write("a.json", kPlanner)}).code,
            exit_code::kOk);
  std::thread stop([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    cell_.Stop(core::milliseconds(0));
  });
  const run_result r = Run({"watch", "services"});
  stop.join();
  EXPECT_EQ(r.code, exit_code::kUnavailable);
  EXPECT_NE(r.out.find("planner changed"), std::string::npos) << r.out;
}

// Guards against refusals that a script can't distinguish.
TEST_F(SessionTest, ExitCodesDistinguishRefusals) {
  EXPECT_EQ(Run({"get", "service", "none"}).code, exit_code::kNotFound);
  EXPECT_EQ(Run({"get", "services"}, "wrong").code, exit_code::kNotAllowed);
  EXPECT_EQ(Run({"drain", "w1"}, kViewerToken).code, exit_code::kNotAllowed);
  EXPECT_EQ(Run({"explain", "service", "none"}).code, exit_code::kNotFound);
  EXPECT_EQ(RunAt({"127.0.0.1", 1}, kViewerToken, {"get", "services"}).code,
            exit_code::kUnavailable);
}

// Guards against an invalid command line that is sent, or help that is missing.
TEST_F(SessionTest, InvalidCommandLinesAreNotSent) {
  for (const std::vector<std::string>& invalid :
       {std::vector<std::string>{},
        {"frob"},
        {"get"},
        {"get", "tables"},
        {"get", "services", "a", "b"},
        {"apply"},
        {"describe", "service"},
        {"call", "planner"},
        {"call", "planner", "--ask"},
        {"drain"},
        {"rollout", "start", "service", "x"},
        {"get", "services", "--frob"},
        {"get", "services", "-o", "xml"},
        {"get", "services", "-s", "host:1"},
        {"get", "services", "--timeout-ms", "0"},
        {"get", "services", "--timeout-ms", "x"},
        {"get", "services", "--token-file", "/nonexistent"}}) {
    EXPECT_EQ(Run(invalid).code, exit_code::kUsage);
  }
  EXPECT_NE(Run({"--version"}).out.find("mangoplank-ctl"), std::string::npos);
  for (const char* const verb :
       {"apply", "diff", "get", "describe", "watch", "explain", "drain",
        "undrain", "cancel", "delete", "run", "call", "rollout", "top"}) {
    const run_result r = Run({verb, "--help"});
    EXPECT_EQ(r.code, exit_code::kOk);
    EXPECT_NE(r.out.find("Exit codes"), std::string::npos) << verb;
  }
}

}  // namespace
}  // namespace mangoplank::ctl
