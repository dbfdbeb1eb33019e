#ifndef MANGOPLANK_CTL_SESSION_H_
#define MANGOPLANK_CTL_SESSION_H_

#include <boost/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "ctl/command_line.h"
#include "ctl/declarations.h"
#include "ctl/http_client.h"

namespace mangoplank::ctl {

/// Identity and retry policy of a session.
struct session_settings {
  /// Unique to this run of the program; prefix of its request ids.
  std::string run_id;
  /// Delay before a retry, and between two polls of a running job or rollout.
  core::milliseconds retry_delay{1'000};
  /// Number of times that one request is sent before it fails.
  int max_attempts = 3;
};

/// Executes one command.
class session {
 public:
  /// The references must outlive the session.
  session(const command& command, session_settings settings, core::clock& clock,
          std::istream& in, std::ostream& out, std::ostream& err);

  core::awaitable<exit_code> Run();

 private:
  using result = core::awaitable<exit_code>;
  using page = core::outcome<boost::json::value>;

  result Execute(apply_verb verb);
  result Execute(diff_verb verb);
  result Execute(get_verb verb);
  result Execute(describe_verb verb);
  result Execute(watch_verb verb);
  result Execute(explain_verb verb);
  result Execute(drain_verb verb);
  result Execute(cancel_verb verb);
  result Execute(delete_verb verb);
  result Execute(run_verb verb);
  result Execute(call_verb verb);
  result Execute(rollout_verb verb);
  result Execute(top_verb verb);

  /// What `apply` does to one object.
  struct step {
    enum class action_kind { kCreate, kReplace, kDelete, kNone };
    action_kind action = action_kind::kNone;
    cell::object_key key;
    std::string body;
    core::revision version = 0;
    std::vector<std::string> differences;
  };

  /// Sends a GET, with retries on transient failures. Reports any response
  /// other than 200.
  core::awaitable<std::optional<boost::json::value>> Read(std::string path);
  /// Reads all pages of a collection.
  core::awaitable<std::optional<boost::json::array>> ReadAll(std::string path);
  /// Sends a change. Retries carry the same request id, so that the change is
  /// made at most once.
  core::awaitable<std::optional<api::response>> SendChange(
      api::request request);
  core::awaitable<core::outcome<api::response>> SendWithRetries(
      api::request request);
  /// Sends a change and prints the response, or `message` in table format.
  result SendChangeAndPrint(api::request request, std::string message);

  core::awaitable<std::optional<std::vector<step>>> Plan(std::string path,
                                                         bool prune);
  core::awaitable<std::optional<step>> PlanOne(loaded_declaration loaded);
  core::awaitable<bool> PlanPrune(std::vector<loaded_declaration> all,
                                  std::vector<step>& steps);
  core::awaitable<bool> ApplyStep(step planned, bool dry_run);
  void PrintStep(const step& planned, std::string_view status);

  result WaitForJob(std::string path);
  core::awaitable<std::optional<bool>> CheckServiceRollout(target_name target);
  core::awaitable<std::optional<bool>> CheckConfigurationRollout(
      target_name target);
  void PrintWatchLine(std::string_view line);
  exit_code PrintCallOutcome(const api::response& response,
                             const call_verb& call);

  /// Reports an answer to a read that is not what the interface sends.
  void ReportMalformedAnswer();
  /// Prints the reason of a failure and sets `failure_code_`.
  void ReportFailure(const api::response& response);
  void ReportFailure(const core::failure& failure, bool is_change);
  void PrintValue(const boost::json::value& value);

  const command& command_;
  session_settings settings_;
  core::clock& clock_;
  std::istream& in_;
  std::ostream& out_;
  std::ostream& err_;
  http_client http_;
  int next_id_ = 1;
  /// Exit code for the last failure reported.
  exit_code failure_code_ = exit_code::kOk;
};

/// @return the path of an object, or of its collection if `name` is empty.
std::string PathOf(cell::object_kind kind, const std::string& department,
                   const std::string& name);

}  // namespace mangoplank::ctl

#endif  // MANGOPLANK_CTL_SESSION_H_
