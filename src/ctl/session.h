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

/// Where a session reads, writes and how often it asks again.
struct session_settings {
  /// Unique to this run; request ids begin with it.
  std::string run_id;
  /// Wait between two tries, and between two looks at work that runs.
  core::milliseconds pause{1'000};
  /// Tries of one request before it is given up.
  int tries = 3;
};

/// Carries out one command.
class session {
 public:
  /// The references must outlive the session.
  session(const command& c, session_settings settings, core::clock& clock,
          std::istream& in, std::ostream& out, std::ostream& err);

  core::awaitable<exit_code> Run();

 private:
  using result = core::awaitable<exit_code>;
  using page = core::outcome<boost::json::value>;

  result Do(apply_verb v);
  result Do(diff_verb v);
  result Do(get_verb v);
  result Do(describe_verb v);
  result Do(watch_verb v);
  result Do(explain_verb v);
  result Do(drain_verb v);
  result Do(cancel_verb v);
  result Do(delete_verb v);
  result Do(run_verb v);
  result Do(call_verb v);
  result Do(rollout_verb v);
  result Do(top_verb v);

  /// What apply does to one object.
  struct step {
    enum class kind { kCreate, kReplace, kDelete, kNone };
    kind k = kind::kNone;
    cell::object_key key;
    std::string body;
    core::revision version = 0;
    std::vector<std::string> differences;
  };

  /// A GET, sent again while no entry answers. A response other than 200 is
  /// printed.
  core::awaitable<std::optional<boost::json::value>> Read(std::string path);
  /// All pages of a collection.
  core::awaitable<std::optional<boost::json::array>> ReadAll(std::string path);
  /// A change, sent again under the same request id while its fate is not
  /// known.
  core::awaitable<std::optional<api::response>> Change(api::request r);
  core::awaitable<core::outcome<api::response>> SendPatiently(api::request r);
  /// A change whose answer is only printed.
  result ChangeAndPrint(api::request r, std::string done);

  core::awaitable<std::optional<std::vector<step>>> Plan(std::string path,
                                                         bool prune);
  core::awaitable<std::optional<step>> PlanOne(declared d);
  core::awaitable<bool> PlanPrune(std::vector<declared> all,
                                  std::vector<step>& steps);
  core::awaitable<bool> Carry(step s, bool dry_run);
  void PrintStep(const step& s, std::string_view word);

  result Follow(std::string path);
  core::awaitable<std::optional<bool>> ServiceRolledOut(target_name of);
  core::awaitable<std::optional<bool>> ConfigurationRolledOut(target_name of);
  void PrintWatchLine(std::string_view line);
  exit_code PrintCallEnd(const api::response& r, const call_verb& v);

  /// Prints why a response is not a success and keeps the exit code.
  void Report(const api::response& r);
  void Report(const core::failure& f, bool changes);
  void PrintValue(const boost::json::value& v);

  const command& c_;
  session_settings settings_;
  core::clock& clock_;
  std::istream& in_;
  std::ostream& out_;
  std::ostream& err_;
  http_client http_;
  int next_id_ = 1;
  /// Of the last failure reported.
  exit_code failed_ = exit_code::kOk;
};

/// @return the path of an object, or of its collection if `name` is empty.
std::string PathOf(cell::object_kind k, const std::string& department,
                   const std::string& name);

}  // namespace mangoplank::ctl

#endif  // MANGOPLANK_CTL_SESSION_H_
